//! Age of the local copy of the store, and outages of the store.

use std::time::{Duration, Instant};

/// Records when the store last confirmed that the local copy of the
/// configuration is the newest, and whether the store can be reached.
///
/// The copy does not show keys that were withdrawn after the confirmation, so a
/// request with a key is refused when the confirmation is too old.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    /// Latest instant at which the store had no newer configuration; never
    /// moves backward.
    confirmed_at: Option<Instant>,
    /// Start of the first call that failed since the store was last known to
    /// serve this VM or its relay.
    failing_since: Option<Instant>,
    /// Start of the last call that failed.
    last_failed_call: Option<Instant>,
    /// Time of the last successful call.
    last_success_at: Option<Instant>,
    /// The last outage that has ended.
    last_outage: Option<Outage>,
    /// Failed calls for the configuration since the last successful one.
    failed_probes: u32,
}

/// An outage of the store that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Start of the first call that failed.
    pub started_at: Instant,
    /// When the store was first known to serve this VM or its relay again.
    pub ended_at: Instant,
}

/// Number of consecutive failed calls after which the store is considered
/// unreachable. A single one may have met a moment in which the store drops its
/// connections.
const UNREACHABLE_AFTER_PROBES: u32 = 2;

/// Shortest time of failing calls that is recorded as an outage of the store. A
/// single lost response causes a shorter one.
const MIN_OUTAGE: Duration = Duration::from_millis(400);

impl StoreHealth {
    /// Records that the store confirmed the copy as current at `at`. Earlier
    /// instants than the known one are ignored.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Discards the confirmation, for use when its age is no longer known.
    pub fn clear_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Records a successful call. Returns the length of the outage that it
    /// ended, if there was one.
    pub fn record_success(&mut self, now: Instant) -> Option<Duration> {
        self.last_success_at = Some(now);
        self.failed_probes = 0;
        self.end_outage(now)
    }

    /// Records that the store served the relay of this VM at `served_at`. Returns
    /// the length of the outage that had ended by then, if there was one.
    ///
    /// A VM with a relay makes no calls of its own, so that its next one may follow
    /// long after the outage.
    pub fn record_relay_served(&mut self, served_at: Instant) -> Option<Duration> {
        if self.last_failed_call.is_some_and(|at| served_at <= at) {
            return None;
        }
        self.end_outage(served_at)
    }

    fn end_outage(&mut self, ended_at: Instant) -> Option<Duration> {
        let started_at = self.failing_since.take()?;
        let outage = ended_at.saturating_duration_since(started_at);
        if outage < MIN_OUTAGE {
            return None;
        }
        self.last_outage = Some(Outage {
            started_at,
            ended_at,
        });
        Some(outage)
    }

    /// Records that a call started at `call_started` was rejected or got no
    /// response. Returns true for the first failure since the last success.
    ///
    /// A call that started before the last successful one ended is ignored:
    /// only its connection was lost, and the store can be reached.
    pub fn record_failure(&mut self, call_started: Instant) -> bool {
        if self.last_success_at.is_some_and(|at| at >= call_started) {
            return false;
        }
        self.last_failed_call = self.last_failed_call.max(Some(call_started));
        let first = self.failing_since.is_none();
        self.failing_since.get_or_insert(call_started);
        first
    }

    /// Reports whether calls are failing, that is, neither this VM nor its relay is
    /// known to have been served since the last failure.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Records that a call for the configuration failed. This kind is the one
    /// that is called during an outage.
    pub fn count_failed_probe(&mut self) {
        self.failed_probes = self.failed_probes.saturating_add(1);
    }

    /// Reports whether the store does not respond to this VM: several calls have
    /// failed since the last successful one, or none has succeeded yet.
    pub fn is_unreachable(&self) -> bool {
        self.has_stopped_responding() || self.last_success_at.is_none()
    }

    /// Reports whether several calls in a row have failed. Unlike
    /// [`StoreHealth::is_unreachable`], it is false before the first call.
    pub fn has_stopped_responding(&self) -> bool {
        self.failed_probes >= UNREACHABLE_AFTER_PROBES
    }

    /// Returns the age of the newest confirmation, or `None` if there is none.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// Reports whether the copy was confirmed as current at most `limit` ago.
    pub fn is_confirmed_within(&self, limit: Duration, now: Instant) -> bool {
        self.confirmation_age(now).is_some_and(|age| age <= limit)
    }

    /// Returns the last outage that ended, unless it was discarded.
    pub fn last_outage(&self) -> Option<Outage> {
        self.last_outage
    }

    /// Records an outage seen by the VM that relays the store to this one,
    /// unless it is already known.
    pub fn adopt_outage(&mut self, outage: Outage) {
        let newer = self
            .last_outage
            .is_none_or(|known| outage.started_at > known.ended_at);
        // Relayed ages are rounded, so a known outage may appear slightly
        // newer. Only one that started after the known one ended is new.
        if newer {
            self.last_outage = Some(outage);
        }
    }

    /// Discards the last outage, because other VMs reached the store during it:
    /// only this VM was cut off.
    pub fn discard_local_outage(&mut self) {
        self.last_outage = None;
    }

    /// Returns for how long the store has been available without an outage, as
    /// reported to other VMs; zero while calls fail. `process_started` counts
    /// as the start if there was no outage.
    pub fn available_for(&self, process_started: Instant, now: Instant) -> Duration {
        if self.is_failing() || self.last_success_at.is_none() {
            return Duration::ZERO;
        }
        let since = self
            .last_outage
            .map_or(process_started, |outage| outage.ended_at);
        now.saturating_duration_since(since)
    }
}
