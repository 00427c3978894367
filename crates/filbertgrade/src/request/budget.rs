//! The retry budget, which limits retries to a fraction of live traffic.

use std::time::Instant;

/// Retries added to the budget for each live request, that is, 10% of traffic.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Balance up to which the budget refills without traffic, so that a VM with
/// few requests can still retry.
const MIN_RETRIES: f64 = 3.0;

/// Time in seconds in which an empty budget refills to [`MIN_RETRIES`].
const REFILL_SECONDS: f64 = 3.0;

/// Largest balance. Retries saved up over a long time without failures must not
/// allow a burst of retries against a backend server that has just failed.
const MAX_RETRIES: f64 = 100.0;

/// A token bucket of retries, filled by live requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries available; between 0 and [`MAX_RETRIES`].
    balance: f64,
    /// Time of the last refill that is independent of traffic.
    refilled: Instant,
}

impl RetryBudget {
    /// Creates a budget with a balance of 3 retries, the level that it keeps
    /// without traffic.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            balance: MIN_RETRIES,
            refilled: now,
        }
    }

    /// Adds the retries that one live request allows.
    pub fn count_request(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether the balance covers one retry.
    pub fn can_spend(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.balance >= 1.0
    }

    /// Takes one retry from the balance. Returns false, and takes nothing, when
    /// the balance does not cover it.
    pub fn spend(&mut self, now: Instant) -> bool {
        let covered = self.can_spend(now);
        if covered {
            self.balance -= 1.0;
        }
        covered
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        if self.balance < MIN_RETRIES {
            self.balance = (self.balance + MIN_RETRIES * elapsed / REFILL_SECONDS).min(MIN_RETRIES);
        }
    }
}
