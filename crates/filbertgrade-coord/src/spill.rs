//! How many requests may leave a region that cannot take them.

use std::time::{Duration, Instant};

/// Limits of the requests that leave their region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillConfig {
    /// Fraction of the requests that may newly leave in one period; the shift
    /// cap. With 1, every request may leave.
    pub cap: f64,
    /// Time between two steps of the region weights. With zero, the limit
    /// grows with every request.
    pub period: Duration,
    /// Requests that may leave in addition, once in a while. Default 10: a
    /// fraction of few requests is less than one. A larger number lets a burst
    /// through when a region fails.
    pub allowance: f64,
}

impl SpillConfig {
    /// Limits with the default allowance.
    pub fn new(cap: f64, period: Duration) -> Self {
        Self {
            cap,
            period,
            allowance: 10.0,
        }
    }
}

/// Counts the requests of one service and decides which may leave the region
/// that they were meant for.
///
/// Of any `n` requests in a row, at most `allowance + level * n` leave. The
/// level is the fraction that left in the last period plus the cap, so that it
/// grows by at most one cap for each period, as the weights do.
#[derive(Clone, Debug)]
pub struct SpillLimit {
    /// Invariant: between the cap and 1.
    level: f64,
    /// Invariant: between 0 and the allowance.
    tokens: f64,
    period_start: Instant,
    seen: u64,
    left: u64,
}

impl SpillLimit {
    /// Starts with the level at the cap.
    pub fn new(cfg: &SpillConfig, now: Instant) -> Self {
        Self {
            level: cfg.cap.min(1.0),
            tokens: cfg.allowance,
            period_start: now,
            seen: 0,
            left: 0,
        }
    }

    /// Counts a request of the service.
    pub fn record_request(&mut self, cfg: &SpillConfig, now: Instant) {
        self.end_period(cfg, now);
        self.seen += 1;
        self.tokens = (self.tokens + self.level).min(cfg.allowance);
    }

    /// Reports whether one more request may leave its region, and counts it.
    pub fn try_spill(&mut self, cfg: &SpillConfig, now: Instant) -> bool {
        self.end_period(cfg, now);
        let may_leave = self.tokens >= 1.0;
        if may_leave {
            self.tokens -= 1.0;
            self.left += 1;
        }
        may_leave
    }

    /// Takes back a [`SpillLimit::try_spill`] whose request found no room in
    /// another region.
    pub fn cancel_spill(&mut self, cfg: &SpillConfig) {
        self.tokens = (self.tokens + 1.0).min(cfg.allowance);
        self.left = self.left.saturating_sub(1);
    }

    /// Fraction of the requests that may leave.
    pub fn level(&self) -> f64 {
        self.level
    }

    fn end_period(&mut self, cfg: &SpillConfig, now: Instant) {
        let elapsed = now.saturating_duration_since(self.period_start);
        if elapsed < cfg.period {
            return;
        }
        // What left in a period that ended long ago has come back since.
        let is_recent = elapsed < 2 * cfg.period;
        let used = if is_recent && self.seen > 0 {
            self.left as f64 / self.seen as f64
        } else {
            0.0
        };
        self.level = (used.min(self.level) + cfg.cap).min(1.0);
        self.period_start = now;
        self.seen = 0;
        self.left = 0;
    }
}
