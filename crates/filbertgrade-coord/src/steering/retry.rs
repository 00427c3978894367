//! Limits on sending a request more than once.
//!
//! Designed for the load in which many endpoints fail at once: without a limit,
//! every VM would send each request several times, and these retries would keep
//! the service overloaded.

use std::time::{Duration, Instant};

use super::window::Window;

/// Limits on the retries to one service, from all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Retries allowed in the window in addition, for services that receive few
    /// requests.
    pub allowance: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// One VM's share of the retries to one service.
///
/// In every window it grants at most `ratio` times the VM's own requests plus
/// the VM's share of the allowance. The sum over all VMs thus stays within the
/// limit without communication between them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    requests: Window,
    retries: Window,
}

impl RetryBudget {
    /// Creates a budget with empty windows, which grants only retries from the
    /// allowance.
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            cfg,
            requests: Window::new(cfg.window),
            retries: Window::new(cfg.window),
        }
    }

    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: Instant) {
        self.requests.add(now, 1.0);
    }

    /// Takes one retry from the budget of one among `vms` VMs, and returns false
    /// if none is left.
    pub fn try_take(&mut self, now: Instant, vms: usize) -> bool {
        let allowance = self.cfg.allowance / vms.max(1) as f64;
        let limit = self.cfg.ratio * self.requests.total(now) + allowance;
        if self.retries.total(now) + 1.0 > limit {
            return false;
        }
        self.retries.add(now, 1.0);
        true
    }
}

/// Minimum margin between the expected latency and the hedged attempt, so that
/// common latency variation does not cause one.
const MIN_HEDGE_MARGIN: Duration = Duration::from_millis(150);

/// Returns how long after the first attempt a hedged one may be sent to another
/// endpoint while the first is still running. Hedging covers lost responses and
/// endpoints that have become slow.
pub fn hedge_delay(expected: Duration, target_latency: Duration) -> Duration {
    (expected * 2)
        .max(expected + MIN_HEDGE_MARGIN)
        .max(target_latency / 2)
}
