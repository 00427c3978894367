//! The retry budget: what part of live traffic may be sent again.

use std::time::Instant;

/// Retries that each live request pays for: 10% of traffic.
const PER_REQUEST: f64 = 0.1;

/// Retries that are available even without traffic, so that a VM with few
/// requests can still send one again.
const FLOOR: f64 = 3.0;

/// Time in seconds after which an empty budget is back at the floor.
const FLOOR_SECONDS: f64 = 3.0;

/// Most retries that are saved up. A longer quiet time must not pay for a
/// burst of retries against a backend server that just failed.
const CAP: f64 = 100.0;

/// Counts which retries live traffic pays for.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries available; between 0 and [`CAP`].
    balance: f64,
    refilled: Instant,
}

impl RetryBudget {
    /// A budget at its floor.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            balance: FLOOR,
            refilled: now,
        }
    }

    /// Counts one live request.
    pub fn count_request(&mut self) {
        self.balance = (self.balance + PER_REQUEST).min(CAP);
    }

    /// There is room for one retry.
    pub fn has_room(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.balance >= 1.0
    }

    /// Takes one retry; false when there is no room for it.
    pub fn spend(&mut self, now: Instant) -> bool {
        let room = self.has_room(now);
        if room {
            self.balance -= 1.0;
        }
        room
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        if self.balance < FLOOR {
            self.balance = (self.balance + FLOOR * elapsed / FLOOR_SECONDS).min(FLOOR);
        }
    }
}
