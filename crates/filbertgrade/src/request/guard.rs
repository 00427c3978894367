//! The guard of idempotency keys, which lets at most one request run for each
//! key.
//!
//! Before a request is sent, its key is claimed by a conditional write to the
//! platform's store. Afterwards the record is updated with how the attempt
//! ended.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertgrade_coord::names::TeamName;
use http::{Method, Uri};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::task::JoinHandle;

use super::{Cause, Refusal};
use crate::logfmt;
use crate::platform::{Condition, Platform, PlatformError, Revision};
use crate::process::tasks::Tasks;

/// Time limit for a claim. The platform normally responds in milliseconds. When
/// it does not, the caller should learn soon that nothing ran.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest number of rounds of one claim. Each round writes the record, and
/// reads it when the response was lost or another attempt wrote at the same
/// time.
const MAX_CLAIM_ROUNDS: u32 = 6;

/// Time limit for recording how an attempt ended. While the record is missing,
/// further requests with the key are refused with an unknown outcome, which is
/// safe.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay between tries to record how an attempt ended.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest time for which a refusal as not run waits for the release of its
/// key.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Replaces the team in the names of records on routes that need no API key. No
/// team can have this name.
const NO_TEAM: &str = "@open";

/// The stored record of one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Random id of the attempt that wrote the record.
    pub attempt: String,
    /// SHA-256 of the request's method, path and query, in hexadecimal.
    pub request: String,
    /// Progress of the attempt.
    pub state: AttemptRecordState,
    /// Status of the response; `None` until the attempt is done.
    pub status: Option<u16>,
}

/// Progress of an attempt with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptRecordState {
    /// A backend server may have run the request.
    Started,
    /// A backend server ran the request and sent a response.
    Done,
    /// No backend server ran the request; the key may be used again.
    NotRun,
}

/// Claims idempotency keys in the platform's store.
#[derive(Clone, Debug)]
pub struct Guard {
    platform: Arc<dyn Platform>,
    tasks: Tasks,
}

/// The exclusive right of one attempt to run under its idempotency key.
///
/// Dropping a claim whose request was not sent releases the key in the
/// background.
#[derive(Debug)]
pub struct Claim {
    guard: Guard,
    name: String,
    record: AttemptRecord,
    /// Revision of the stored record; `None` while it is not known whether the
    /// record was written.
    revision: Option<Revision>,
    may_have_run: bool,
    /// The stored record needs no update when the claim is dropped.
    settled: bool,
}

/// State of a key for the attempt that claims it.
#[derive(Debug)]
enum ClaimState {
    /// This attempt's own write took effect.
    Claimed(Revision),
    /// The key can be claimed by a write under this condition.
    Free(Condition),
    /// Another attempt used the key; the request is refused.
    Used(Refusal),
}

impl Guard {
    /// Creates a guard that stores records in `platform`, and runs its
    /// background work in `tasks`.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>, tasks: Tasks) -> Self {
        Self { platform, tasks }
    }

    /// Claims `key` for one attempt of a request.
    ///
    /// # Errors
    ///
    /// Refuses the request when the key was used before, and as not run when
    /// the store does not confirm the claim in time.
    pub async fn claim(
        &self,
        team: Option<&TeamName>,
        key: &str,
        method: &Method,
        uri: &Uri,
    ) -> Result<Claim, Refusal> {
        let unavailable = Refusal::not_run(Cause::GuardUnavailable);
        let mut id = [0_u8; 16];
        getrandom::fill(&mut id).map_err(|_| unavailable)?;
        let mut claim = Claim {
            guard: self.clone(),
            name: object_name(team, key),
            record: AttemptRecord {
                attempt: hex(&id),
                request: request_digest(method, uri),
                state: AttemptRecordState::Started,
                status: None,
            },
            revision: None,
            may_have_run: false,
            // Nothing has been written yet.
            settled: true,
        };
        match tokio::time::timeout(CLAIM_TIMEOUT, claim.acquire()).await {
            Ok(result) => result.map(|()| claim),
            Err(_) => Err(unavailable),
        }
    }
}

impl Claim {
    /// Writes the record of the claim.
    async fn acquire(&mut self) -> Result<(), Refusal> {
        let mut condition = Condition::Absent;
        let mut maybe_written = false;
        for _ in 0..MAX_CLAIM_ROUNDS {
            // From here on a write may take effect even if this future is
            // dropped, so the key must be released then.
            self.settled = false;
            let written = self.write(condition).await;
            match written {
                Ok(revision) => {
                    self.revision = Some(revision);
                    return Ok(());
                }
                Err(error) if error.is_outcome_unknown() => maybe_written = true,
                Err(error) => {
                    self.settled = !maybe_written;
                    if !error.is_conflict() {
                        return Err(unavailable(&self.name, &error));
                    }
                }
            }
            match self.claim_state().await {
                Ok(ClaimState::Claimed(revision)) => {
                    self.revision = Some(revision);
                    return Ok(());
                }
                Ok(ClaimState::Free(next)) => condition = next,
                Ok(ClaimState::Used(refusal)) => {
                    self.settled = true;
                    return Err(refusal);
                }
                Err(error) => return Err(unavailable(&self.name, &error)),
            }
        }
        Err(Refusal::not_run(Cause::GuardUnavailable))
    }

    /// Marks the request as about to be sent; from now on it may run.
    pub fn mark_sending(&mut self) {
        self.may_have_run = true;
    }

    /// Marks the request as not run, after all attempts so far failed without
    /// running it.
    pub fn mark_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Records in the background that a backend server ran the request and
    /// responded with `status`.
    pub fn record_response(mut self, status: u16) {
        self.record.state = AttemptRecordState::Done;
        self.record.status = Some(status);
        drop(self.settle_in_background());
    }

    /// Releases the key, because no backend server ran the request. When the
    /// store is slow, the release continues in the background.
    pub async fn release(mut self) {
        self.record.state = AttemptRecordState::NotRun;
        let release = self.settle_in_background();
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, release).await;
    }

    fn settle_in_background(&mut self) -> JoinHandle<()> {
        self.settled = true;
        let claim = Self {
            guard: self.guard.clone(),
            name: self.name.clone(),
            record: self.record.clone(),
            revision: self.revision,
            may_have_run: self.may_have_run,
            settled: true,
        };
        self.guard.tasks.spawn(claim.settle())
    }

    /// Tries to replace the record until it is written, or until the record
    /// belongs to another attempt.
    async fn settle(mut self) {
        let deadline = tokio::time::Instant::now() + SETTLE_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if let Some(revision) = self.revision {
                match self.write(Condition::At(revision)).await {
                    Ok(_) => return,
                    Err(_) => self.revision = None,
                }
            }
            match self.read().await {
                Ok(Some((revision, record))) if record.attempt == self.record.attempt => {
                    if record == self.record {
                        return;
                    }
                    self.revision = Some(revision);
                    continue;
                }
                Ok(Some(_)) => return,
                // A create whose response was lost may still take effect.
                Ok(None) | Err(_) => {}
            }
            tokio::time::sleep(SETTLE_RETRY_DELAY).await;
        }
        log::warn!(
            "event=attempt_not_settled attempt={} state={:?}",
            self.record.attempt,
            self.record.state
        );
    }

    async fn write(&self, condition: Condition) -> Result<Revision, PlatformError> {
        let value = Bytes::from(serde_json::to_vec(&self.record).unwrap_or_default());
        let put = self.guard.platform.put(&self.name, value, condition);
        put.await
    }

    async fn read(&self) -> Result<Option<(Revision, AttemptRecord)>, PlatformError> {
        let object = self.guard.platform.get(&self.name).await?;
        let Some((revision, value)) = object.and_then(|o| o.value.map(|v| (o.revision, v))) else {
            return Ok(None);
        };
        let record = serde_json::from_slice(&value)
            .map_err(|e| PlatformError::malformed_response(&self.name, &e))?;
        Ok(Some((revision, record)))
    }

    /// Reads from the store whether this attempt can use the key.
    async fn claim_state(&self) -> Result<ClaimState, PlatformError> {
        let Some((revision, record)) = self.read().await? else {
            return Ok(ClaimState::Free(Condition::Absent));
        };
        if record.attempt == self.record.attempt {
            return Ok(ClaimState::Claimed(revision));
        }
        Ok(match record.state {
            AttemptRecordState::NotRun => ClaimState::Free(Condition::At(revision)),
            _ if record.request != self.record.request => {
                ClaimState::Used(Refusal::not_run(Cause::IdempotencyKeyReused))
            }
            AttemptRecordState::Started | AttemptRecordState::Done => {
                ClaimState::Used(Refusal::already_attempted(record.status))
            }
        })
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.settled && !self.may_have_run {
            self.record.state = AttemptRecordState::NotRun;
            drop(self.settle_in_background());
        }
    }
}

/// Logs a failed store call and returns the refusal that follows from it.
fn unavailable(name: &str, error: &PlatformError) -> Refusal {
    log::warn!(
        "event=guard_unavailable name={name} error={}",
        logfmt::value(error)
    );
    Refusal::not_run(Cause::GuardUnavailable)
}

/// Name of the record of a key. The key itself is stored only as a digest.
fn object_name(team: Option<&TeamName>, key: &str) -> String {
    let team = team.map_or(NO_TEAM, TeamName::as_str);
    format!("attempts/{team}/{}", hex(&Sha256::digest(key.as_bytes())))
}

fn request_digest(method: &Method, uri: &Uri) -> String {
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    hex(&Sha256::digest(format!("{method} {target}").as_bytes()))
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
