//! What a VM keeps for a team as one of its holders.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::rate::Rate;
use super::{DEMAND_TIME, DIVIDE_INTERVAL, Grant, one_token};
use crate::bucket::TokenBucket;

/// How long a larger part must be due before it is taken. Arrivals of another
/// region are heard of after two intervals of heartbeats.
const RISE_AFTER: Duration = Duration::from_millis(800);

/// What a VM keeps for a team as one of its holders.
#[derive(Debug)]
pub(super) struct HeldPart {
    pub(super) bucket: TokenBucket,
    pub(super) arrivals: Rate,
    /// Arrivals that the other VMs were told last, in requests a second.
    pub(super) told: f64,
    pub(super) divided_at: Option<Instant>,
    /// Parts that were due lately, oldest first.
    pub(super) due: VecDeque<(Instant, f64)>,
    /// The part in force, from 0 to 1.
    pub(super) share: f64,
}

impl HeldPart {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            bucket: one_token(now),
            arrivals: Rate::new(DEMAND_TIME, now),
            told: 0.0,
            divided_at: None,
            due: VecDeque::new(),
            share: 0.0,
        }
    }

    pub(super) fn is_division_due(&self, now: Instant) -> bool {
        self.divided_at
            .is_none_or(|at| now.saturating_duration_since(at) >= DIVIDE_INTERVAL)
    }

    /// The part to take when `due` is due: `at_once` or when it is smaller, and
    /// otherwise after a while.
    pub(super) fn risen(&mut self, due: f64, at_once: bool, now: Instant) -> f64 {
        self.due.push_back((now, due));
        while let Some((at, _)) = self.due.front() {
            if now.saturating_duration_since(*at) <= RISE_AFTER {
                break;
            }
            self.due.pop_front();
        }
        let least = self.due.iter().map(|(_, due)| *due).fold(1.0, f64::min);
        self.share = if at_once { due } else { least };
        self.share
    }

    /// Takes one token, and of those wanted beyond it at most half of what is
    /// left, so that other VMs find some.
    pub(super) fn take(&mut self, wanted: u32, now: Instant) -> Grant {
        if !self.bucket.try_take(now) {
            let wait = self.bucket.time_until(1, now);
            return Grant::Empty(wait.unwrap_or(DEMAND_TIME));
        }
        let spare = (self.bucket.tokens() / 2.0) as u32;
        let ahead = spare.min(wanted - 1);
        self.bucket.withdraw(f64::from(ahead), now);
        Grant::Tokens(1 + ahead)
    }
}
