//! The guard of idempotency keys: at most one attempt of each key runs.

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

/// Longest time for a claim. The platform answers in milliseconds; when it
/// does not, the caller learns soon that nothing ran.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls that one claim makes at most: the create, and reading and writing
/// again when answers are lost or others write at the same time.
const CLAIM_ROUNDS: u32 = 6;

/// Longest time for recording how an attempt ended. A record that is not
/// written leaves the key refused with outcome unknown, which is safe.
const SETTLE_TIME: Duration = Duration::from_secs(20);

/// Pause between tries to record how an attempt ended.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Longest time that a refusal as not run waits for the release of its key.
const RELEASE_WAIT: Duration = Duration::from_millis(500);

/// Team part of the names of attempts on routes that are open to all. It
/// cannot be the name of a team.
const OPEN_TEAM: &str = "@open";

/// What the platform holds of one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Id of the attempt that wrote the record.
    pub attempt: String,
    /// SHA-256 of the request's method and path, in hexadecimal.
    pub request: String,
    /// How far the attempt got.
    pub state: AttemptRecordState,
    /// Status of the answer, when the attempt is done.
    pub status: Option<u16>,
}

/// How far an attempt with an idempotency key got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptRecordState {
    /// It may have run.
    Started,
    /// A backend server answered it.
    Done,
    /// It did not run; the key may be used again.
    NotRun,
}

/// Claims idempotency keys in the platform.
#[derive(Clone, Debug)]
pub struct Guard {
    platform: Arc<dyn Platform>,
    tasks: Tasks,
}

/// The right of one attempt to run under its idempotency key.
///
/// Dropping a claim whose request was not sent releases the key.
#[derive(Debug)]
pub struct Claim {
    guard: Guard,
    name: String,
    record: AttemptRecord,
    /// Revision of the record; `None` while it is not known that it exists.
    revision: Option<Revision>,
    may_have_run: bool,
    settled: bool,
}

/// What the record of a key means for a new attempt.
#[derive(Debug)]
enum Found {
    Mine(Revision),
    Free(Condition),
    Taken(Refusal),
}

impl Guard {
    /// A guard on `platform`, whose background work counts in `tasks`.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>, tasks: Tasks) -> Self {
        Self { platform, tasks }
    }

    /// Claims `key` for one attempt of a request.
    ///
    /// # Errors
    ///
    /// A refusal when the key was used before, or as not run when the store
    /// does not confirm the claim in time.
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
            // Nothing is written yet.
            settled: true,
        };
        match tokio::time::timeout(CLAIM_TIMEOUT, claim.establish()).await {
            Ok(result) => result.map(|()| claim),
            Err(_) => Err(unavailable),
        }
    }
}

impl Claim {
    async fn establish(&mut self) -> Result<(), Refusal> {
        let mut condition = Condition::Absent;
        let mut maybe_written = false;
        for _ in 0..CLAIM_ROUNDS {
            // From here on a write may take effect, even when this future is
            // dropped, so that the key must be released.
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
            match self.find().await {
                Ok(Found::Mine(revision)) => {
                    self.revision = Some(revision);
                    return Ok(());
                }
                Ok(Found::Free(next)) => condition = next,
                Ok(Found::Taken(refusal)) => {
                    self.settled = true;
                    return Err(refusal);
                }
                Err(error) => return Err(unavailable(&self.name, &error)),
            }
        }
        Err(Refusal::not_run(Cause::GuardUnavailable))
    }

    /// The request is about to be sent; from now on it may run.
    pub fn sending(&mut self) {
        self.may_have_run = true;
    }

    /// The attempts so far did not run after all.
    pub fn not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Records in the background that a backend server answered with `status`.
    pub fn done(mut self, status: u16) {
        self.record.state = AttemptRecordState::Done;
        self.record.status = Some(status);
        drop(self.settle_in_background());
    }

    /// Frees the key, because no attempt ran. The release goes on in the
    /// background when the store is slow.
    pub async fn release(mut self) {
        self.record.state = AttemptRecordState::NotRun;
        let release = self.settle_in_background();
        let _ = tokio::time::timeout(RELEASE_WAIT, release).await;
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

    /// Replaces the own record until it is done or no longer the own one.
    async fn settle(mut self) {
        let give_up = tokio::time::Instant::now() + SETTLE_TIME;
        while tokio::time::Instant::now() < give_up {
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
                // A create whose answer was lost may still take effect.
                Ok(None) | Err(_) => {}
            }
            tokio::time::sleep(SETTLE_PAUSE).await;
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
            .map_err(|e| PlatformError::bad_answer(&self.name, &e))?;
        Ok(Some((revision, record)))
    }

    async fn find(&self) -> Result<Found, PlatformError> {
        let Some((revision, record)) = self.read().await? else {
            return Ok(Found::Free(Condition::Absent));
        };
        if record.attempt == self.record.attempt {
            return Ok(Found::Mine(revision));
        }
        Ok(match record.state {
            AttemptRecordState::NotRun => Found::Free(Condition::At(revision)),
            _ if record.request != self.record.request => {
                Found::Taken(Refusal::not_run(Cause::IdempotencyKeyReused))
            }
            AttemptRecordState::Started | AttemptRecordState::Done => {
                Found::Taken(Refusal::already_attempted(record.status))
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

fn unavailable(name: &str, error: &PlatformError) -> Refusal {
    log::warn!(
        "event=guard_unavailable name={name} error={}",
        logfmt::value(error)
    );
    Refusal::not_run(Cause::GuardUnavailable)
}

fn object_name(team: Option<&TeamName>, key: &str) -> String {
    let team = team.map_or(OPEN_TEAM, TeamName::as_str);
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
