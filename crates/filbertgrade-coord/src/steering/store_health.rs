//! How current the copy of the store is.

use std::time::{Duration, Instant};

/// When the store last confirmed that the copy of the configuration is the
/// newest, and whether the store can be reached.
///
/// Keys that were withdrawn after the confirmation are not known, so a request
/// with a key is refused when the confirmation is too old.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    /// The store had no newer configuration at this instant; never moves
    /// backward.
    confirmed_at: Option<Instant>,
    /// First of the failed calls since the last answer.
    failing_since: Option<Instant>,
    /// When the store answered last.
    answered_at: Option<Instant>,
    /// When the store answered again after an outage, and when that began.
    back: Option<Outage>,
}

/// An outage of the store that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// When the first call failed.
    pub started_at: Instant,
    /// When a call was answered again.
    pub ended_at: Instant,
}

/// Failing calls for longer than this count as an outage of the store. A
/// single lost answer is shorter.
const OUTAGE_AFTER: Duration = Duration::from_millis(400);

impl StoreHealth {
    /// The store answered that the copy was current at `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Forgets the confirmation, because nobody knows how old it is.
    pub fn clear_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// A call was answered. Returns the length of the outage that it ended.
    pub fn record_success(&mut self, now: Instant) -> Option<Duration> {
        self.answered_at = Some(now);
        let started_at = self.failing_since.take()?;
        let outage = now.saturating_duration_since(started_at);
        if outage < OUTAGE_AFTER {
            return None;
        }
        self.back = Some(Outage {
            started_at,
            ended_at: now,
        });
        Some(outage)
    }

    /// A call that began at `began` was refused or not answered. Returns true
    /// for the first one.
    ///
    /// A call that began before another one was answered says nothing of the
    /// store: its connection was lost.
    pub fn record_failure(&mut self, began: Instant) -> bool {
        if self.answered_at.is_some_and(|at| at >= began) {
            return false;
        }
        let first = self.failing_since.is_none();
        self.failing_since.get_or_insert(began);
        first
    }

    /// No call was answered since one failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Age of the newest confirmation.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// The copy was current at most `limit` ago.
    pub fn is_confirmed_within(&self, limit: Duration, now: Instant) -> bool {
        self.confirmation_age(now).is_some_and(|age| age <= limit)
    }

    /// The last outage that ended.
    pub fn last_outage(&self) -> Option<Outage> {
        self.back
    }

    /// Takes an outage that the VM met through which this one reads the store.
    pub fn adopt_outage(&mut self, outage: Outage) {
        let newer = self
            .back
            .is_none_or(|known| outage.started_at > known.ended_at);
        // Ages are rounded, so an outage that is known may seem a little newer.
        if newer {
            self.back = Some(outage);
        }
    }

    /// Other VMs reached the store during the last outage, so it was only this
    /// VM's.
    pub fn discard_local_outage(&mut self) {
        self.back = None;
    }

    /// How long the store has answered without an outage, as other VMs are
    /// told. Zero while it does not answer.
    pub fn available_for(&self, started: Instant, now: Instant) -> Duration {
        if self.failing_since.is_some() || self.answered_at.is_none() {
            return Duration::ZERO;
        }
        let since = self.back.map_or(started, |outage| outage.ended_at);
        now.saturating_duration_since(since)
    }
}
