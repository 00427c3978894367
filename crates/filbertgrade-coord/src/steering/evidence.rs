//! How current the copy of the store is.

use std::time::{Duration, Instant};

/// When the store last confirmed that the copy of the configuration is the
/// newest, and whether the store can be reached.
///
/// Keys that were withdrawn after the confirmation are not known, so a request
/// with a key is refused when the confirmation is too old.
#[derive(Clone, Debug, Default)]
pub struct StoreEvidence {
    /// The store had no newer configuration at this instant; never moves
    /// backward.
    confirmed_at: Option<Instant>,
    /// First of the failed calls since the last answer.
    failing_since: Option<Instant>,
    /// When the store answered again after an outage.
    back_at: Option<Instant>,
}

/// Failing calls for longer than this count as an outage of the store. A
/// single lost answer is shorter.
const OUTAGE_AFTER: Duration = Duration::from_millis(400);

impl StoreEvidence {
    /// The store answered that the copy was current at `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Forgets the confirmation, because nobody knows how old it is.
    pub fn forget(&mut self) {
        self.confirmed_at = None;
    }

    /// A call was answered. Returns the length of the outage that it ended.
    pub fn answered(&mut self, now: Instant) -> Option<Duration> {
        let since = self.failing_since.take()?;
        let outage = now.saturating_duration_since(since);
        if outage < OUTAGE_AFTER {
            return None;
        }
        self.back_at = Some(now);
        Some(outage)
    }

    /// A call that began at `began` was refused or not answered. Returns true
    /// for the first one.
    pub fn failed(&mut self, began: Instant) -> bool {
        let first = self.failing_since.is_none();
        self.failing_since.get_or_insert(began);
        first
    }

    /// Age of the newest confirmation.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// The copy was current at most `limit` ago.
    pub fn is_within(&self, limit: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }

    /// When the last outage ended.
    pub fn back_at(&self) -> Option<Instant> {
        self.back_at
    }
}
