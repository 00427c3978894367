//! Limits how many requests may spill, which means that they go to another region
//! because the one chosen for them cannot handle them.

use std::time::{Duration, Instant};

/// Settings of a [`SpillLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillConfig {
    /// Maximum increase of the spilled fraction of requests in one period. This
    /// is the shift cap, which also limits the steps of the region weights. With
    /// 1, every request may spill.
    pub cap: f64,
    /// Time between two steps of the region weights. With zero, the limit
    /// grows with every request.
    pub period: Duration,
    /// Number of requests that may spill in a burst, above the fraction.
    /// Default 10.
    ///
    /// It is needed because the fraction of a small number of requests is less
    /// than one request. A large allowance lets a burst of requests leave when a
    /// region fails.
    pub allowance: f64,
}

impl SpillConfig {
    /// Creates settings with the default allowance.
    pub fn new(cap: f64, period: Duration) -> Self {
        Self {
            cap,
            period,
            allowance: 10.0,
        }
    }
}

/// Counts the requests of one service and decides which of them may spill to
/// another region.
///
/// Of any `n` consecutive requests, at most `allowance + level * n` spill. The
/// level is the fraction that spilled in the previous period plus the cap.
/// Like the region weights, it therefore grows by at most one cap in each
/// period.
#[derive(Clone, Debug)]
pub struct SpillLimit {
    /// Fraction of requests that may spill. Invariant: between the cap and 1.
    level: f64,
    /// Requests that may spill now. Invariant: between 0 and the allowance.
    tokens: f64,
    period_start: Instant,
    /// Requests counted in the current period.
    requests: u64,
    /// Requests that spilled in the current period.
    spilled: u64,
}

impl SpillLimit {
    /// Creates a limit with a level equal to the cap and a full allowance.
    pub fn new(cfg: &SpillConfig, now: Instant) -> Self {
        Self {
            level: cfg.cap.min(1.0),
            tokens: cfg.allowance,
            period_start: now,
            requests: 0,
            spilled: 0,
        }
    }

    /// Counts a request of the service, whether it spills or not.
    pub fn record_request(&mut self, cfg: &SpillConfig, now: Instant) {
        self.end_period(cfg, now);
        self.requests += 1;
        self.tokens = (self.tokens + self.level).min(cfg.allowance);
    }

    /// Returns true if another request may spill, and counts it as spilled.
    pub fn try_spill(&mut self, cfg: &SpillConfig, now: Instant) -> bool {
        self.end_period(cfg, now);
        let may_spill = self.tokens >= 1.0;
        if may_spill {
            self.tokens -= 1.0;
            self.spilled += 1;
        }
        may_spill
    }

    /// Reverts a successful [`SpillLimit::try_spill`] for a request that found
    /// no free slot in another region.
    pub fn cancel_spill(&mut self, cfg: &SpillConfig) {
        self.tokens = (self.tokens + 1.0).min(cfg.allowance);
        self.spilled = self.spilled.saturating_sub(1);
    }

    /// Fraction of the requests that may spill in the current period.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Starts a new period, with a new level, if the current one has ended.
    fn end_period(&mut self, cfg: &SpillConfig, now: Instant) {
        let elapsed = now.saturating_duration_since(self.period_start);
        if elapsed < cfg.period {
            return;
        }
        // Requests that spilled in a period that ended long ago are not counted,
        // because traffic has returned to its region since then.
        let is_recent = elapsed < 2 * cfg.period;
        let used = if is_recent && self.requests > 0 {
            self.spilled as f64 / self.requests as f64
        } else {
            0.0
        };
        self.level = (used.min(self.level) + cfg.cap).min(1.0);
        self.period_start = now;
        self.requests = 0;
        self.spilled = 0;
    }
}
