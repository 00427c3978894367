//! State of a team on a VM that is one of the team's holders, which grant tokens
//! to the other VMs of the region.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::rate::EventRate;
use super::{DEMAND_WINDOW, DIVISION_INTERVAL, Grant, one_token_bucket};
use crate::bucket::TokenBucket;

/// How long a larger share must have been computed before it is applied.
/// Arrivals in another region are known here only after two heartbeat
/// intervals, and until then the computed share may be too large.
const RISE_DELAY: Duration = Duration::from_millis(800);

/// State of a team on a VM that is one of the team's holders.
#[derive(Debug)]
pub(super) struct HolderState {
    /// Tokens that this holder can grant.
    pub(super) bucket: TokenBucket,
    /// Arrivals that requesters reported to this holder.
    pub(super) arrivals: EventRate,
    /// Arrivals that were last reported to the other VMs, in requests a second.
    pub(super) reported: f64,
    /// When the share was last computed. `None` before the first time, and
    /// after the limit has changed.
    pub(super) divided_at: Option<Instant>,
    /// Shares that were computed within [`RISE_DELAY`], oldest first.
    pub(super) recent_targets: VecDeque<(Instant, f64)>,
    /// The share of the team's limit that is in force, from 0 to 1.
    pub(super) share: f64,
}

impl HolderState {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            bucket: one_token_bucket(now),
            arrivals: EventRate::new(DEMAND_WINDOW, now),
            reported: 0.0,
            divided_at: None,
            recent_targets: VecDeque::new(),
            share: 0.0,
        }
    }

    pub(super) fn is_division_due(&self, now: Instant) -> bool {
        self.divided_at
            .is_none_or(|at| now.saturating_duration_since(at) >= DIVISION_INTERVAL)
    }

    /// Updates the share in force after `target` was computed, and returns it.
    ///
    /// A smaller target is applied immediately, and with `at_once` a larger one
    /// too. Otherwise the share is the smallest target of the last
    /// [`RISE_DELAY`].
    pub(super) fn update_share(&mut self, target: f64, at_once: bool, now: Instant) -> f64 {
        self.recent_targets.push_back((now, target));
        while let Some((at, _)) = self.recent_targets.front() {
            if now.saturating_duration_since(*at) <= RISE_DELAY {
                break;
            }
            self.recent_targets.pop_front();
        }
        let smallest = self
            .recent_targets
            .iter()
            .map(|(_, target)| *target)
            .fold(1.0, f64::min);
        self.share = if at_once { target } else { smallest };
        self.share
    }

    /// Grants one token, and of the others that are wanted at most half of what
    /// is left, so that other VMs find some too. `wanted` is at least 1.
    pub(super) fn grant(&mut self, wanted: u32, now: Instant) -> Grant {
        if !self.bucket.try_take(now) {
            let wait = self.bucket.time_until(1, now);
            return Grant::Empty(wait.unwrap_or(DEMAND_WINDOW));
        }
        let available = (self.bucket.tokens() / 2.0) as u32;
        let extra = available.min(wanted - 1);
        self.bucket.withdraw(f64::from(extra), now);
        Grant::Tokens(1 + extra)
    }
}
