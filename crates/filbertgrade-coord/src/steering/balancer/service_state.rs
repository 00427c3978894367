//! One VM's view of a service: its endpoints and the latency of its requests.

use std::collections::{HashMap, HashSet};
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

/// Step by which one sample changes a latency quantile, as a fraction of its
/// value.
const QUANTILE_STEP: f64 = 0.05;

/// Quantile of the latencies of expected cache misses that is used as the
/// latency of a miss. Some of these requests are fast, because requests of other
/// VMs have already brought the object into the endpoint's cache.
const MISS_QUANTILE: f64 = 0.75;

/// Quantile of the latencies of expected cache hits that is used as the latency
/// of a hit. Some of these requests are slow, because the endpoint has already
/// evicted the object.
const HIT_QUANTILE: f64 = 0.4;

/// Half-life of the part of a learned latency that exceeds the assumed one, since it was
/// last learned. A VM that refuses all requests for it learns nothing new.
const LEARNED_LATENCY_HALF_LIFE: Duration = Duration::from_secs(4);

/// Assumed latency of a cache miss before one is measured, as a fraction of the
/// target latency.
const DEFAULT_MISS_LATENCY_FRACTION: f64 = 1.2;

/// Assumed latency of a cache hit before one is measured, as a fraction of the
/// target latency.
const DEFAULT_HIT_LATENCY_FRACTION: f64 = 0.5;

/// Largest fraction of the time left that an assumed latency may take.
const MAX_DEFAULT_LATENCY_FRACTION: f64 = 0.5;

/// Longest wait for a slot of a less urgent request while more urgent requests
/// use the same service, as a fraction of the target latency.
const MAX_LESS_URGENT_WAIT_FRACTION: f64 = 0.5;

/// How long after a more urgent request the wait of less urgent ones is limited.
const URGENT_WINDOW: Duration = Duration::from_secs(2);

/// Largest fraction of the time left that the expected latency of a request may
/// take.
pub(super) const TIME_LEFT_USED: f64 = 0.95;

/// Fraction of the shift cap for requests that leave their region because there
/// is no free slot. The rest covers affinities that move.
const SPILL_CAP_USED: f64 = 0.5;

/// Period over which the shift of requests between regions is limited.
const SPILL_PERIOD: Duration = Duration::from_secs(2);

/// Requests that may leave their region in addition to the cap.
const SPILL_ALLOWANCE: f64 = 3.0;

#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) endpoints: IndexMap<EndpointKey, EndpointState>,
    pub(super) region_split: RegionSplit,
    pub(super) retry_budget: RetryBudget,
    pub(super) spill: SpillLimit,
    /// Number of requests that left the region of their preferred endpoint.
    pub(super) spilled: u64,
    /// Latency of a request whose object is not in the endpoint's cache; `None` before
    /// one was measured.
    miss_latency: Option<LearnedLatency>,
    /// Latency of a request whose object is in the endpoint's cache; `None` before one
    /// was measured.
    hit_latency: Option<LearnedLatency>,
    /// Priority of the most urgent recent request, and when it was last seen.
    pub(super) most_urgent: Option<(u32, Instant)>,
}

/// A quantile of the latencies of responses.
#[derive(Clone, Copy, Debug)]
struct LearnedLatency {
    seconds: f64,
    learned_at: Instant,
}

/// An endpoint that a request could be sent to, with its estimated cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Index of the endpoint in [`ServiceState::endpoints`].
    pub(super) index: usize,
    /// Position in the ranking for the object, from 0.
    pub(super) rank: usize,
    /// Expected wait for a free slot in seconds.
    pub(super) wait: f64,
    /// Expected latency in seconds, plus the costs of failures and of the rank.
    pub(super) cost: f64,
    /// The endpoint is assumed to have the object in its cache.
    pub(super) object_cached: bool,
}

impl ServiceState {
    pub(super) fn new(cfg: &BalancerConfig, now: Instant) -> Self {
        Self {
            endpoints: IndexMap::new(),
            region_split: RegionSplit::default(),
            retry_budget: RetryBudget::new(cfg.retry),
            spill: SpillLimit::new(&spill_config(cfg), now),
            spilled: 0,
            miss_latency: None,
            hit_latency: None,
            most_urgent: None,
        }
    }

    /// Returns the expected latency of a cache miss in seconds, which is never
    /// shorter than that of a hit.
    pub(super) fn expected_miss_latency(&self, request: &PickRequest<'_>, now: Instant) -> f64 {
        let default = default_latency(request, DEFAULT_MISS_LATENCY_FRACTION);
        self.miss_latency
            .map_or(default, |learned| learned.decayed(default, now))
            .max(self.expected_hit_latency(request, now))
    }

    /// Returns the expected latency of a cache hit in seconds.
    pub(super) fn expected_hit_latency(&self, request: &PickRequest<'_>, now: Instant) -> f64 {
        let default = default_latency(request, DEFAULT_HIT_LATENCY_FRACTION);
        self.hit_latency
            .map_or(default, |learned| learned.decayed(default, now))
    }

    /// Updates the latency of hits or misses with a measured one.
    pub(super) fn record_latency(&mut self, target: &Target, latency: Duration, now: Instant) {
        let slots = f64::from(target.slots);
        if target.load + 1.0 > slots {
            // The latency includes a wait for a slot.
            return;
        }
        let (estimate, quantile) = if target.object_cached {
            (&mut self.hit_latency, HIT_QUANTILE)
        } else {
            (&mut self.miss_latency, MISS_QUANTILE)
        };
        let latency = latency.as_secs_f64();
        let old = estimate.map_or(latency, |learned| learned.decayed(latency, now));
        let up = latency > old;
        let step = if up { quantile } else { quantile - 1.0 };
        *estimate = Some(LearnedLatency {
            seconds: old * (1.0 + QUANTILE_STEP * step),
            learned_at: now,
        });
    }

    pub(super) fn record_priority(&mut self, priority: u32, now: Instant) {
        let replaces = match self.most_urgent {
            Some((urgent, at)) => {
                priority <= urgent || now.saturating_duration_since(at) > URGENT_WINDOW
            }
            None => true,
        };
        if replaces {
            self.most_urgent = Some((priority, now));
        }
    }

    /// Reports whether the request may be sent to the candidate: it must respond
    /// in time, and a less urgent request must not fill the queue that more
    /// urgent ones need.
    pub(super) fn may_send(
        &self,
        request: &PickRequest<'_>,
        candidate: &Candidate,
        now: Instant,
    ) -> bool {
        if candidate.cost > request.time_left.as_secs_f64() * TIME_LEFT_USED {
            return false;
        }
        let is_less_urgent = self.most_urgent.is_some_and(|(urgent, at)| {
            urgent < request.priority && now.saturating_duration_since(at) <= URGENT_WINDOW
        });
        !is_less_urgent
            || candidate.wait
                <= request.target_latency.as_secs_f64() * MAX_LESS_URGENT_WAIT_FRACTION
    }

    /// Sets the load that is assumed at endpoints that have just become known: each of
    /// the `other_vms` of this VM's region is assumed to have as many requests at an
    /// endpoint as this one has at the mean endpoint of the same region. If it were
    /// taken for zero, the first requests of all VMs would fill the queues.
    pub(super) fn assume_load(&mut self, other_vms: usize, now: Instant) {
        let mut endpoints = self.endpoints.values();
        if !endpoints.any(|state| state.is_load_assumed(now)) {
            return;
        }
        let mut regions: HashMap<RegionName, RequestsInRegion> = HashMap::new();
        for state in self.endpoints.values() {
            let region = match regions.get_mut(&state.region) {
                Some(region) => region,
                None => regions.entry(state.region.clone()).or_default(),
            };
            region.endpoints += 1;
            region.in_flight += state.in_flight;
        }
        for state in self.endpoints.values_mut() {
            if let Some(region) = regions.get(&state.region) {
                state.assumed_other_load = other_vms as f64 * region.mean();
            }
        }
    }

    /// Returns the total slots in a region, without endpoints that drain or
    /// whose failure domain is evacuated.
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

impl LearnedLatency {
    /// Returns the latency in seconds as of `now`: what exceeds `base` decays.
    fn decayed(&self, base: f64, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.learned_at);
        let half_lives = age.as_secs_f64() / LEARNED_LATENCY_HALF_LIFE.as_secs_f64();
        let excess = (self.seconds - base).max(0.0);
        self.seconds - excess * (1.0 - 0.5_f64.powf(half_lives))
    }
}

/// Requests of this VM at the endpoints of a service in one region.
#[derive(Debug, Default)]
struct RequestsInRegion {
    endpoints: u32,
    in_flight: u32,
}

impl RequestsInRegion {
    fn mean(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.endpoints.max(1))
    }
}

pub(super) fn spill_config(cfg: &BalancerConfig) -> SpillConfig {
    SpillConfig {
        allowance: SPILL_ALLOWANCE,
        ..SpillConfig::new(cfg.shift_cap * SPILL_CAP_USED, SPILL_PERIOD)
    }
}

/// Returns the assumed latency in seconds of a request before any was measured:
/// `fraction` of the target latency. It is limited to a fraction of the time
/// left, because a request must not be refused for an assumed latency alone.
pub(super) fn default_latency(request: &PickRequest<'_>, fraction: f64) -> f64 {
    let limit = request.time_left.as_secs_f64() * MAX_DEFAULT_LATENCY_FRACTION;
    (request.target_latency.as_secs_f64() * fraction).min(limit)
}
