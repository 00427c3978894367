//! What one VM knows of a service: its endpoints, and how long requests take.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::BalancerConfig;
use super::endpoint_state::EndpointState;
use super::request::{PickRequest, Target};
use crate::names::{FailureDomainName, RegionName};
use crate::spill::{SpillConfig, SpillLimit};
use crate::steering::endpoint::EndpointKey;
use crate::steering::placement::RegionSplit;
use crate::steering::retry::RetryBudget;

/// Step of a latency quantile for one sample, in parts of its value.
const QUANTILE_STEP: f64 = 0.05;

/// Quantile of first requests for an object that counts as the time of one.
/// Some of them meet an object that other VMs sent, and are fast.
const FIRST_QUANTILE: f64 = 0.75;

/// Quantile of repeated requests that counts as the time of one. Some of them
/// meet an endpoint that has forgotten the object, and are slow.
const REPEAT_QUANTILE: f64 = 0.4;

/// Times of a first request for an object and of a repeated one, in parts of
/// the target latency, before they are measured.
const FIRST_GUESS: f64 = 1.2;
const REPEAT_GUESS: f64 = 0.5;

/// Part of the time left that a guess may take.
const GUESS_USED: f64 = 0.5;

/// Part of the target latency that a less urgent request may wait for a slot
/// while more urgent requests use the same service.
const LESS_URGENT_WAIT: f64 = 0.5;

/// How long a more urgent request keeps the less urgent ones back.
const URGENT_MEMORY: Duration = Duration::from_secs(2);

/// Part of the time left that a request may be expected to take.
pub(super) const TIME_USED: f64 = 0.95;

/// Part of the shift cap that requests may use which leave their region for
/// want of a free slot. The rest covers homes that move.
const SPILL_USED: f64 = 0.5;

/// Period over which a shift of requests between regions is limited.
const SPILL_PERIOD: Duration = Duration::from_secs(2);

/// Requests that may leave a region beyond the cap.
const SPILL_ALLOWANCE: f64 = 3.0;

#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) endpoints: IndexMap<EndpointKey, EndpointState>,
    pub(super) split: RegionSplit,
    pub(super) budget: RetryBudget,
    pub(super) spill: SpillLimit,
    /// Requests that left the region of their object's home.
    pub(super) left: u64,
    /// Time in seconds of a first request for an object at an endpoint.
    pub(super) first: Option<f64>,
    /// Time in seconds of a repeated one.
    pub(super) repeat: Option<f64>,
    /// Most urgent rank seen lately, and when.
    pub(super) urgent: Option<(u32, Instant)>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) index: usize,
    pub(super) rank: usize,
    pub(super) wait: f64,
    pub(super) cost: f64,
    pub(super) repeat: bool,
}

impl ServiceState {
    pub(super) fn new(cfg: &BalancerConfig, now: Instant) -> Self {
        Self {
            endpoints: IndexMap::new(),
            split: RegionSplit::default(),
            budget: RetryBudget::new(cfg.retry),
            spill: SpillLimit::new(&spill_config(cfg), now),
            left: 0,
            first: None,
            repeat: None,
            urgent: None,
        }
    }

    pub(super) fn first_time(&self, request: &PickRequest<'_>) -> f64 {
        let guess = guess(request, FIRST_GUESS);
        self.first.unwrap_or(guess).max(self.repeat_time(request))
    }

    pub(super) fn repeat_time(&self, request: &PickRequest<'_>) -> f64 {
        let guess = guess(request, REPEAT_GUESS);
        self.repeat.unwrap_or(guess)
    }

    pub(super) fn learn(&mut self, target: &Target, latency: Duration) {
        let slots = f64::from(target.slots);
        if target.load + 1.0 > slots {
            // The time holds a wait for a slot.
            return;
        }
        let (quantile, part) = if target.object_cached {
            (&mut self.repeat, REPEAT_QUANTILE)
        } else {
            (&mut self.first, FIRST_QUANTILE)
        };
        let latency = latency.as_secs_f64();
        let old = quantile.unwrap_or(latency);
        let up = latency > old;
        let step = if up { part } else { part - 1.0 };
        *quantile = Some(old * (1.0 + QUANTILE_STEP * step));
    }

    pub(super) fn note_priority(&mut self, priority: u32, now: Instant) {
        let newer = match self.urgent {
            Some((urgent, at)) => {
                priority <= urgent || now.saturating_duration_since(at) > URGENT_MEMORY
            }
            None => true,
        };
        if newer {
            self.urgent = Some((priority, now));
        }
    }

    /// The choice may be taken: it answers in time, and a less urgent request
    /// does not fill the queue that more urgent ones need.
    pub(super) fn permits(&self, request: &PickRequest<'_>, choice: &Choice, now: Instant) -> bool {
        if choice.cost > request.time_left.as_secs_f64() * TIME_USED {
            return false;
        }
        let urgent = self.urgent.is_some_and(|(urgent, at)| {
            urgent < request.priority && now.saturating_duration_since(at) <= URGENT_MEMORY
        });
        !urgent || choice.wait <= request.target_latency.as_secs_f64() * LESS_URGENT_WAIT
    }

    pub(super) fn slots_in(
        &self,
        region: &RegionName,
        evacuated: &HashSet<FailureDomainName>,
    ) -> f64 {
        self.endpoints
            .values()
            .filter(|state| {
                state.region == *region
                    && !state.endpoint.draining
                    && !evacuated.contains(&state.endpoint.failure_domain)
            })
            .map(|state| f64::from(state.endpoint.slots))
            .sum()
    }
}

pub(super) fn spill_config(cfg: &BalancerConfig) -> SpillConfig {
    SpillConfig {
        allowance: SPILL_ALLOWANCE,
        ..SpillConfig::new(cfg.shift_cap * SPILL_USED, SPILL_PERIOD)
    }
}

/// The time of a request before any was measured. A guess must not be what a
/// request is refused for.
pub(super) fn guess(request: &PickRequest<'_>, part: f64) -> f64 {
    let most = request.time_left.as_secs_f64() * GUESS_USED;
    (request.target_latency.as_secs_f64() * part).min(most)
}
