//! How many events happen a second.

use std::time::{Duration, Instant};

/// An exponentially weighted rate of events.
#[derive(Clone, Debug)]
pub(super) struct Rate {
    per_second: f64,
    at: Instant,
    time: Duration,
}

impl Rate {
    /// Starts at zero; events count with weights that fall over `time`.
    pub(super) fn new(time: Duration, now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
            time,
        }
    }

    /// Counts events.
    pub(super) fn count(&mut self, events: u32, now: Instant) {
        self.per_second = self.get(now) + f64::from(events) / self.time.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Events a second.
    pub(super) fn get(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-elapsed / self.time.as_secs_f64()).exp()
    }
}
