//! A lease that is stored as an object with conditional updates.
//!
//! The stored record carries a duration and no time of day. A candidate takes
//! the lease over when the record has not changed for that duration by the
//! candidate's own clock, and the holder stops earlier by its own clock.

use std::time::{Duration, Instant};

use crate::names::VmName;

/// One candidate's view of a lease, and its decisions.
#[derive(Clone, Debug)]
pub struct Lease {
    me: VmName,
    incarnation: u64,
    cfg: LeaseConfig,
    seen: Option<Seen>,
    /// When the object was last read.
    read_at: Option<Instant>,
    /// The write whose outcome is not known.
    pending: Option<Pending>,
    held: Option<Held>,
    writes: u64,
}

/// Settings of a [`Lease`]; they must be the same for all candidates.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// How long others leave an unchanged record alone. Default 10 s.
    pub takeover_after: Duration,
    /// How long a holder relies on its last write, from its send time. Default 7 s.
    ///
    /// It must be shorter than `takeover_after` by more than the clocks can differ
    /// over one duration; otherwise two holders may act at once.
    pub valid_for: Duration,
    /// Time between a holder's renewals. Default 2 s.
    pub renew_interval: Duration,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            takeover_after: Duration::from_secs(10),
            valid_for: Duration::from_secs(7),
            renew_interval: Duration::from_secs(2),
        }
    }
}

/// A number that grows with every change of holder.
///
/// A holder puts its token into everything it writes. A write under a lower
/// token than the stored one comes from a holder that was replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Creates a token from its stored number.
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number to store.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Checks a write under this token against the token in the stored object.
    ///
    /// The write must also be conditional on the revision at which the stored
    /// token was read.
    ///
    /// # Errors
    ///
    /// Fails if the stored token is higher.
    pub fn check(self, stored: FencingToken) -> Result<(), StaleToken> {
        if self < stored {
            return Err(StaleToken { own: self, stored });
        }
        Ok(())
    }
}

/// The error of a write by a holder that was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fencing token {} is lower than the stored token {}", own.0, stored.0)]
pub struct StaleToken {
    own: FencingToken,
    stored: FencingToken,
}

/// The stored form of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The holder and its incarnation, or `None` after a yield.
    pub holder: Option<(VmName, u64)>,
    /// Token of the holder, or of the last one after a yield.
    pub token: FencingToken,
    /// Counts the writes of one incarnation, so that a holder recognizes its
    /// own write after a lost answer.
    pub write: u64,
}

/// What to do next about the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Write the record if the object is still at this revision; `None` means
    /// that the object must not exist.
    Write {
        /// Condition of the update.
        expected: Option<u64>,
        /// The record to store.
        record: LeaseRecord,
    },
    /// Read the record: no recent read has been seen, or a write's outcome is unknown.
    Read,
    /// Decide again at this instant.
    Wait {
        /// The instant.
        until: Instant,
    },
}

#[derive(Clone, Debug)]
struct Seen {
    /// `None` if the object does not exist.
    stored: Option<(u64, LeaseRecord)>,
    /// When this revision was first seen.
    since: Instant,
}

#[derive(Clone, Debug)]
struct Pending {
    record: LeaseRecord,
    sent_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    token: FencingToken,
    renewed_at: Instant,
}

impl Lease {
    /// Creates a candidate that has seen nothing.
    ///
    /// `incarnation` must differ between any two processes of the VM.
    pub fn new(me: VmName, incarnation: u64, cfg: LeaseConfig) -> Self {
        Self {
            me,
            incarnation,
            cfg,
            seen: None,
            read_at: None,
            pending: None,
            held: None,
            writes: 0,
        }
    }

    /// The token, if this candidate holds the lease at `now` by its own clock.
    pub fn held(&self, now: Instant) -> Option<FencingToken> {
        self.held
            .filter(|held| now < held.renewed_at + self.cfg.valid_for)
            .map(|held| held.token)
    }

    /// Notes a read of the object that was sent after any write of this candidate ended.
    ///
    /// `stored` is its revision and record, or `None` if it does not exist. A
    /// lower revision than the newest seen is ignored.
    pub fn record_read(&mut self, now: Instant, stored: Option<(u64, LeaseRecord)>) {
        self.read_at = Some(now);
        if let Some(seen) = &self.seen {
            let old = seen.stored.as_ref().map(|(revision, _)| *revision);
            let new = stored.as_ref().map(|(revision, _)| *revision);
            if new < old {
                return;
            }
            if new == old {
                // A pending write that the read does not show did not take effect.
                self.pending = None;
                return;
            }
        }
        if let Some(pending) = self.pending.take()
            && stored.as_ref().map(|(_, record)| record) == Some(&pending.record)
        {
            self.take_effect(&pending);
        }
        let mine = stored.as_ref().is_some_and(|(_, r)| self.is_mine(r));
        if !mine {
            self.held = None;
        }
        self.seen = Some(Seen { stored, since: now });
    }

    /// Decides what to do next. A returned write counts as sent at `now`.
    pub fn next_action(&mut self, now: Instant) -> LeaseAction {
        if self.pending.is_some() {
            return LeaseAction::Read;
        }
        let Some(seen) = &self.seen else {
            return LeaseAction::Read;
        };
        let Some((revision, record)) = &seen.stored else {
            return self.write(now, None, FencingToken(1));
        };
        let (revision, token) = (*revision, record.token);
        if let Some(held) = self.held {
            let renew_at = held.renewed_at + self.cfg.renew_interval;
            if now < renew_at {
                return LeaseAction::Wait { until: renew_at };
            }
            if self.held(now).is_some() {
                return self.write(now, Some(revision), held.token);
            }
            // The validity lapsed while paused; what was decided under the
            // old token must not continue, so the lease is acquired anew.
            self.held = None;
            return self.write(now, Some(revision), FencingToken(token.0 + 1));
        }
        let free_at = seen.since + self.cfg.takeover_after;
        if record.holder.is_some() && now < free_at {
            // Without reads, a candidate that waits does not see renewals, and
            // the lease of a dead holder stays taken for up to two durations.
            let read_at = self.read_at.unwrap_or(seen.since) + self.cfg.renew_interval;
            if read_at <= now {
                return LeaseAction::Read;
            }
            let until = free_at.min(read_at);
            return LeaseAction::Wait { until };
        }
        self.write(now, Some(revision), FencingToken(token.0 + 1))
    }

    /// Gives the lease up, if held: others may take it at once.
    ///
    /// The candidate stops holding it before the write is sent.
    pub fn release(&mut self, now: Instant) -> Option<LeaseAction> {
        let token = self.held(now)?;
        self.held = None;
        let seen = self.seen.as_ref()?;
        let (revision, _) = seen.stored.as_ref()?;
        self.writes += 1;
        Some(LeaseAction::Write {
            expected: Some(*revision),
            record: LeaseRecord {
                holder: None,
                token,
                write: self.writes,
            },
        })
    }

    /// Notes that the pending write took effect at `revision`.
    pub fn record_write(&mut self, now: Instant, revision: u64) {
        if let Some(pending) = self.pending.take() {
            self.take_effect(&pending);
            self.seen = Some(Seen {
                stored: Some((revision, pending.record)),
                since: now,
            });
        }
    }

    /// Notes that the pending write's condition failed: another candidate was first.
    pub fn record_conflict(&mut self) {
        self.pending = None;
        self.held = None;
        self.seen = None;
    }

    fn write(&mut self, now: Instant, expected: Option<u64>, token: FencingToken) -> LeaseAction {
        self.writes += 1;
        let record = LeaseRecord {
            holder: Some((self.me.clone(), self.incarnation)),
            token,
            write: self.writes,
        };
        self.pending = Some(Pending {
            record: record.clone(),
            sent_at: now,
        });
        LeaseAction::Write { expected, record }
    }

    /// The validity counts from the send time, since the write may have taken
    /// effect as early as that.
    fn take_effect(&mut self, write: &Pending) {
        self.held = Some(Held {
            token: write.record.token,
            renewed_at: write.sent_at,
        });
    }

    fn is_mine(&self, record: &LeaseRecord) -> bool {
        record
            .holder
            .as_ref()
            .is_some_and(|(vm, incarnation)| *vm == self.me && *incarnation == self.incarnation)
    }
}
