//! A limit on how often requests are sent more than once.
//!
//! Answers the load in which many endpoints fail at once: without a limit,
//! every VM would send each request several times and keep the service down.

use std::time::{Duration, Instant};

use super::window::Window;

/// Limits of the repeats to one service, over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Repeats for each request in the window.
    pub ratio: f64,
    /// Repeats beyond that in the window, for services with few requests.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

/// The part of one VM in the repeats to one service.
///
/// In every window it grants at most `ratio` times its own requests and its
/// part of the allowance, so that the sum over all VMs keeps the whole limit
/// without a message between them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    requests: Window,
    repeats: Window,
}

impl RetryBudget {
    /// Starts with no request counted.
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            cfg,
            requests: Window::new(cfg.window),
            repeats: Window::new(cfg.window),
        }
    }

    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: Instant) {
        self.requests.add(now, 1.0);
    }

    /// Takes one repeat, if there is one left for a fleet of `vms`.
    pub fn try_take(&mut self, now: Instant, vms: usize) -> bool {
        let fixed = self.cfg.allowance / vms.max(1) as f64;
        let limit = self.cfg.ratio * self.requests.total(now) + fixed;
        if self.repeats.total(now) + 1.0 > limit {
            return false;
        }
        self.repeats.add(now, 1.0);
        true
    }
}

/// Shortest time before a second attempt beside the first, so that common
/// variation does not cause one.
const SECOND_AFTER_LEAST: Duration = Duration::from_millis(150);

/// How long after the first attempt a second one may be sent beside it, to
/// another endpoint. Answers lost answers and endpoints that turned slow.
pub fn hedge_delay(expected: Duration, target_latency: Duration) -> Duration {
    (expected * 2)
        .max(expected + SECOND_AFTER_LEAST)
        .max(target_latency / 2)
}
