//! An estimate of how many events happen per second.

use std::time::{Duration, Instant};

/// An exponentially weighted moving rate of events.
#[derive(Clone, Debug)]
pub(super) struct EventRate {
    /// Events per second as of `updated_at`.
    per_second: f64,
    updated_at: Instant,
    window: Duration,
}

impl EventRate {
    /// Starts at zero. The weight of an event falls by a factor of e in each
    /// `window`.
    pub(super) fn new(window: Duration, now: Instant) -> Self {
        Self {
            per_second: 0.0,
            updated_at: now,
            window,
        }
    }

    /// Adds `events` that happened at `now`.
    pub(super) fn record(&mut self, events: u32, now: Instant) {
        self.per_second = self.get(now) + f64::from(events) / self.window.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Events per second as of `now`.
    pub(super) fn get(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed / self.window.as_secs_f64()).exp()
    }
}
