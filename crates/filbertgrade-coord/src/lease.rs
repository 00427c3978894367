//! A lease in a store object that is written by conditional updates.
//!
//! The candidates for the lease need not agree on the time of day. A candidate
//! takes the lease over when the stored record has not changed for
//! [`LeaseConfig::takeover_after`] by the candidate's own clock. The holder
//! renews the lease by writing the record again, and it stops relying on a
//! write after the shorter [`LeaseConfig::valid_for`] by its own clock.

use std::time::{Duration, Instant};

use crate::names::VmName;

/// The state of one candidate for a lease, which decides its reads and writes.
#[derive(Clone, Debug)]
pub struct Lease {
    vm: VmName,
    incarnation: u64,
    config: LeaseConfig,
    observed: Option<ObservedRecord>,
    /// When the last read of the object was recorded.
    read_at: Option<Instant>,
    /// The write that was sent and whose outcome is not known yet.
    pending: Option<PendingWrite>,
    held: Option<HeldLease>,
    write_count: u64,
}

/// Settings of a [`Lease`], which must be the same for all candidates.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// Time for which the record must be unchanged before another candidate takes
    /// the lease over. Default 10 s.
    pub takeover_after: Duration,
    /// Time for which a holder relies on its last write, counted from when it sent
    /// the write. Default 7 s.
    ///
    /// It must be shorter than `takeover_after` by more than two clocks can drift
    /// apart during `takeover_after`. Otherwise two holders may act at once.
    pub valid_for: Duration,
    /// Time between two renewals by the holder, and between two reads by another
    /// candidate. Default 2 s.
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
/// A holder includes its token in everything it writes. A write with a lower
/// token than the stored one comes from a holder that was replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Creates a token from its stored number.
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number to store.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Checks that a write with this token may replace an object that was stored
    /// with the token `stored`.
    ///
    /// The write must also be conditional on the revision at which the stored
    /// token was read.
    ///
    /// # Errors
    ///
    /// Returns an error if the stored token is higher.
    pub fn check(self, stored: FencingToken) -> Result<(), StaleToken> {
        if self < stored {
            return Err(StaleToken { own: self, stored });
        }
        Ok(())
    }
}

/// The error returned for a write by a holder that was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fencing token {} is lower than the stored token {}", own.0, stored.0)]
pub struct StaleToken {
    own: FencingToken,
    stored: FencingToken,
}

/// The content of the lease's object in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The holder and its incarnation, or `None` after the holder released the
    /// lease.
    pub holder: Option<(VmName, u64)>,
    /// Token of the holder, or of the last holder after a release.
    pub token: FencingToken,
    /// Number of this write among those of the incarnation that wrote it. With
    /// it, a holder recognizes its own write if the response to it was lost.
    pub write: u64,
}

/// What the caller of [`Lease::next_action`] is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Write the record to the object, on condition of its revision.
    Write {
        /// The revision that the object must still have; `None` means that the
        /// object must not exist.
        expected: Option<u64>,
        /// The record to store.
        record: LeaseRecord,
    },
    /// Read the record, because there is no recent read or the outcome of a write
    /// is unknown.
    Read,
    /// Do nothing until an instant.
    Wait {
        /// When to call [`Lease::next_action`] again.
        until: Instant,
    },
}

/// The newest content of the object that this candidate knows.
#[derive(Clone, Debug)]
struct ObservedRecord {
    /// Revision and record, or `None` if the object does not exist.
    stored: Option<(u64, LeaseRecord)>,
    /// When this revision was first observed.
    since: Instant,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    record: LeaseRecord,
    sent_at: Instant,
}

/// The lease as this candidate holds it, unless the validity has ended.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    token: FencingToken,
    /// Send time of the last write that took effect.
    renewed_at: Instant,
}

impl Lease {
    /// Creates a candidate that has not read the object yet.
    ///
    /// `incarnation` must differ between any two processes of the VM.
    pub fn new(vm: VmName, incarnation: u64, config: LeaseConfig) -> Self {
        Self {
            vm,
            incarnation,
            config,
            observed: None,
            read_at: None,
            pending: None,
            held: None,
            write_count: 0,
        }
    }

    /// Returns the token if this candidate holds the lease at `now` by its own
    /// clock, and `None` otherwise.
    pub fn held(&self, now: Instant) -> Option<FencingToken> {
        self.held
            .filter(|held| now < held.renewed_at + self.config.valid_for)
            .map(|held| held.token)
    }

    /// Records the result of a read. The read must have been sent after all
    /// writes of this candidate had ended.
    ///
    /// `stored` is the object's revision and record, or `None` if the object does
    /// not exist. A revision below the newest observed one is ignored.
    pub fn record_read(&mut self, now: Instant, stored: Option<(u64, LeaseRecord)>) {
        self.read_at = Some(now);
        if let Some(observed) = &self.observed {
            let old = observed.stored.as_ref().map(|(revision, _)| *revision);
            let new = stored.as_ref().map(|(revision, _)| *revision);
            if new < old {
                return;
            }
            if new == old {
                // The read does not show the pending write, so it did not take effect.
                self.pending = None;
                return;
            }
        }
        if let Some(pending) = self.pending.take()
            && stored.as_ref().map(|(_, record)| record) == Some(&pending.record)
        {
            self.apply_write(&pending);
        }
        let is_own = stored.as_ref().is_some_and(|(_, r)| self.is_own_record(r));
        if !is_own {
            self.held = None;
        }
        self.observed = Some(ObservedRecord { stored, since: now });
    }

    /// Decides what to do next.
    ///
    /// A returned write is regarded as sent at `now`, so it is to be sent at once.
    pub fn next_action(&mut self, now: Instant) -> LeaseAction {
        if self.pending.is_some() {
            return LeaseAction::Read;
        }
        let Some(observed) = &self.observed else {
            return LeaseAction::Read;
        };
        let Some((revision, record)) = &observed.stored else {
            return self.prepare_write(now, None, FencingToken(1));
        };
        let (revision, token) = (*revision, record.token);
        if let Some(held) = self.held {
            let renew_at = held.renewed_at + self.config.renew_interval;
            if now < renew_at {
                return LeaseAction::Wait { until: renew_at };
            }
            if self.held(now).is_some() {
                return self.prepare_write(now, Some(revision), held.token);
            }
            // The validity ended while the process was paused. Work that was
            // decided with the old token must not continue, so the lease is
            // acquired again with a new one.
            self.held = None;
            return self.prepare_write(now, Some(revision), FencingToken(token.0 + 1));
        }
        let takeover_at = observed.since + self.config.takeover_after;
        if record.holder.is_some() && now < takeover_at {
            // A waiting candidate has to read regularly to see renewals. Without
            // these reads, the lease of a crashed holder is not taken over for up
            // to twice `takeover_after`.
            let next_read_at = self.read_at.unwrap_or(observed.since) + self.config.renew_interval;
            if next_read_at <= now {
                return LeaseAction::Read;
            }
            let until = takeover_at.min(next_read_at);
            return LeaseAction::Wait { until };
        }
        self.prepare_write(now, Some(revision), FencingToken(token.0 + 1))
    }

    /// Releases the lease if this candidate holds it, so that others can acquire
    /// it at once. Returns the write to send, or `None` if the lease is not held.
    ///
    /// The candidate no longer holds the lease when this method returns.
    pub fn release(&mut self, now: Instant) -> Option<LeaseAction> {
        let token = self.held(now)?;
        self.held = None;
        let observed = self.observed.as_ref()?;
        let (revision, _) = observed.stored.as_ref()?;
        self.write_count += 1;
        Some(LeaseAction::Write {
            expected: Some(*revision),
            record: LeaseRecord {
                holder: None,
                token,
                write: self.write_count,
            },
        })
    }

    /// Records that the pending write took effect at `revision`.
    pub fn record_write(&mut self, now: Instant, revision: u64) {
        if let Some(pending) = self.pending.take() {
            self.apply_write(&pending);
            self.observed = Some(ObservedRecord {
                stored: Some((revision, pending.record)),
                since: now,
            });
        }
    }

    /// Records that the condition of the pending write failed, because another
    /// candidate wrote first.
    pub fn record_conflict(&mut self) {
        self.pending = None;
        self.held = None;
        self.observed = None;
    }

    /// Returns a write that acquires or renews the lease for this candidate, and
    /// records it as pending.
    fn prepare_write(
        &mut self,
        now: Instant,
        expected: Option<u64>,
        token: FencingToken,
    ) -> LeaseAction {
        self.write_count += 1;
        let record = LeaseRecord {
            holder: Some((self.vm.clone(), self.incarnation)),
            token,
            write: self.write_count,
        };
        self.pending = Some(PendingWrite {
            record: record.clone(),
            sent_at: now,
        });
        LeaseAction::Write { expected, record }
    }

    /// Marks the lease as held after `write` took effect.
    ///
    /// The validity is counted from the send time, because the write may have
    /// taken effect as early as that.
    fn apply_write(&mut self, write: &PendingWrite) {
        self.held = Some(HeldLease {
            token: write.record.token,
            renewed_at: write.sent_at,
        });
    }

    fn is_own_record(&self, record: &LeaseRecord) -> bool {
        record
            .holder
            .as_ref()
            .is_some_and(|(vm, incarnation)| *vm == self.vm && *incarnation == self.incarnation)
    }
}
