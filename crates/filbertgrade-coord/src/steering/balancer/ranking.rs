//! Ranks the endpoints for a request and estimates the cost of each.

use std::time::Instant;

use super::endpoint_state::EndpointState;
use super::request::{LimitedEndpoints, PickRequest};
use super::service_state::{Candidate, ServiceState};
use super::{Balancer, RANK_COST};
use crate::names::RegionName;
use crate::steering::placement::{endpoint_hash, score};

/// Number of top-ranked endpoints among which a new object goes to the one with
/// the lowest load. More of them spread objects more evenly; with fewer, VMs
/// agree more often before they have received each other's affinities.
const NEW_OBJECT_CANDIDATES: usize = 3;

/// Extra objects counted for endpoints other than the top-ranked one when a new
/// object is placed. Of endpoints of the same size, the top-ranked one may thus
/// have this many more objects before the new one goes elsewhere.
const NEW_OBJECT_MARGIN: f64 = 1.0;

/// Extra cost of a cache miss at an endpoint other than the preferred one, as a
/// fraction of the time that a hit saves. The endpoint evicts another object
/// for it, whose next request is then slow.
const EVICTION_COST: f64 = 0.6;

/// Bodies of at least this length in bytes stay in the caller's region more
/// often than others, because the bandwidth between regions is low.
const LARGE_BODY_BYTES: u64 = 16 * 1024;

/// How many times the usual fraction of requests with large bodies stays in the
/// caller's region. With a higher value its endpoints refuse some of them, and
/// their bodies are sent to another region after all.
const LARGE_BODY_LOCAL_BIAS: f64 = 2.0;

/// Cost of a failure in seconds for a request that may be retried.
const FAILURE_COST_IDEMPOTENT: f64 = 0.8;

/// Cost of a failure in seconds for a request that must not be retried and so
/// fails with it.
const FAILURE_COST_NON_IDEMPOTENT: f64 = 4.0;

impl Balancer {
    /// Returns the indexes of the endpoints that may handle the request. The
    /// preferred endpoint is the first; the others follow by region, those of
    /// the object's region first, and by score.
    pub(super) fn rank_endpoints(
        &self,
        service: &ServiceState,
        request: &PickRequest<'_>,
        now: Instant,
    ) -> Vec<usize> {
        let region = self.placement_region(service, request);
        let mut same_region = Vec::with_capacity(service.endpoints.len());
        let mut other_regions = Vec::new();
        for (index, state) in service.endpoints.values().enumerate() {
            if !self.is_eligible(state, request, now) {
                continue;
            }
            let entry = (std::cmp::Reverse(score(request.object, state.hash)), index);
            if state.region == *region {
                same_region.push(entry);
            } else {
                other_regions.push(entry);
            }
        }
        same_region.sort_unstable();
        other_regions.sort_unstable();
        same_region.append(&mut other_regions);
        let mut ranking: Vec<usize> = same_region.into_iter().map(|(_, index)| index).collect();
        if request.sticky
            && let Some(position) = self.preferred_position(service, request, &ranking, now)
        {
            ranking[..=position].rotate_right(1);
        }
        ranking
    }

    /// Returns the region that the request's object is placed in while it has no
    /// affinity.
    fn placement_region<'a>(
        &'a self,
        service: &'a ServiceState,
        request: &PickRequest<'_>,
    ) -> &'a RegionName {
        let local_bias = if request.body_bytes >= LARGE_BODY_BYTES {
            LARGE_BODY_LOCAL_BIAS
        } else {
            1.0
        };
        let region = service
            .region_split
            .region(&self.cfg.region, request.object, local_bias);
        region.unwrap_or(&self.cfg.region)
    }

    /// Returns an endpoint for a request that the preferred one, the first of
    /// `ranking`, cannot handle in time or not at all.
    pub(super) fn pick_fallback(
        &self,
        service: &ServiceState,
        request: &PickRequest<'_>,
        ranking: &[usize],
        now: Instant,
    ) -> Option<Candidate> {
        let (preferred, others) = ranking.split_first()?;
        let preferred = &service.endpoints[*preferred];
        if !preferred.is_available(now) {
            let candidate = self.cheapest(service, request, others, 1, now);
            return candidate.filter(|candidate| service.may_send(request, candidate, now));
        }
        // The object evicts others from the cache of another endpoint, so it
        // goes only to one that has a free slot.
        let has_free_slot = |candidate: &Candidate| {
            candidate.wait <= 0.0 && service.may_send(request, candidate, now)
        };
        let (same_region, other_regions): (Vec<usize>, Vec<usize>) = others
            .iter()
            .partition(|index| service.endpoints[**index].region == preferred.region);
        self.cheapest(service, request, &same_region, 1, now)
            .filter(has_free_slot)
            .or_else(|| {
                self.cheapest(service, request, &other_regions, 1, now)
                    .filter(has_free_slot)
            })
    }

    /// Returns the position in the ranking of the endpoint with the object's
    /// affinity or, for an object without one, of the endpoint that it should go
    /// to.
    fn preferred_position(
        &self,
        service: &ServiceState,
        request: &PickRequest<'_>,
        ranking: &[usize],
        now: Instant,
    ) -> Option<usize> {
        let state = |position: usize| &service.endpoints[ranking[position]];
        if let Some(endpoint) = self.affinities.get(self.affinity_key(service, request))
            && let Some(position) =
                (0..ranking.len()).find(|position| state(*position).hash == endpoint)
        {
            return Some(position);
        }
        let region = ranking
            .first()
            .map(|index| &service.endpoints[*index].region)?;
        let relative_load = |position: usize| {
            let state = state(position);
            let objects = f64::from(self.affinities.object_count(state.hash)) + state.load(now);
            let margin = if position == 0 {
                0.0
            } else {
                NEW_OBJECT_MARGIN
            };
            (objects + margin) / f64::from(state.endpoint.slots)
        };
        (0..ranking.len().min(NEW_OBJECT_CANDIDATES))
            .filter(|position| {
                state(*position).region == *region && state(*position).is_available(now)
            })
            .min_by(|a, b| relative_load(*a).total_cmp(&relative_load(*b)))
    }

    /// Returns the hash under which the affinity of the request's object is
    /// stored.
    ///
    /// If a request may not run in the region of the object's affinity, the key
    /// also covers the regions that it is restricted to. Such requests then have
    /// a separate affinity and do not move that of all others.
    pub(super) fn affinity_key(&self, service: &ServiceState, request: &PickRequest<'_>) -> u64 {
        let mut endpoints = service.endpoints.values();
        let region = self
            .affinities
            .get(request.object)
            .and_then(|endpoint| endpoints.find(|state| state.hash == endpoint))
            .map_or_else(
                || self.placement_region(service, request),
                |state| &state.region,
            );
        if request.allows(region) {
            return request.object;
        }
        let allowed = request
            .allowed_regions
            .iter()
            .flat_map(|regions| regions.iter());
        allowed.fold(request.object, |key, region| {
            score(key, endpoint_hash(region.as_str()))
        })
    }

    /// Reports whether the endpoint may handle the request at all, regardless
    /// of its load and of whether it can be reached.
    fn is_eligible(&self, state: &EndpointState, request: &PickRequest<'_>, now: Instant) -> bool {
        !state.endpoint.draining
            && !state.is_displaced(now)
            && !self.evacuated.contains(&state.endpoint.failure_domain)
            && request.allows(&state.region)
            && (request.limited != LimitedEndpoints::Avoid || !state.is_limited())
            && !request.tried.contains(&state.endpoint.key)
    }

    /// Returns the candidate with the lowest cost among the endpoints in
    /// `ranking`, the first of which has the rank `first_rank`.
    pub(super) fn cheapest(
        &self,
        service: &ServiceState,
        request: &PickRequest<'_>,
        ranking: &[usize],
        first_rank: usize,
        now: Instant,
    ) -> Option<Candidate> {
        ranking
            .iter()
            .enumerate()
            .filter_map(|(rank, index)| {
                self.candidate(service, request, *index, first_rank + rank, now)
            })
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Estimates the cost of sending the request to an endpoint. Returns `None`
    /// if the endpoint is unavailable or full.
    fn candidate(
        &self,
        service: &ServiceState,
        request: &PickRequest<'_>,
        index: usize,
        rank: usize,
        now: Instant,
    ) -> Option<Candidate> {
        let (_, state) = service.endpoints.get_index(index)?;
        if !self.is_available(state, now) {
            return None;
        }
        let load = state.load(now);
        if load >= state.capacity {
            return None;
        }
        let object_cached = request.sticky && self.is_cached(request.object, state.hash, now);
        let slowness = state.decayed(state.slowness, 1.0, now);
        let slots = f64::from(state.endpoint.slots);
        // A hit is expected to be at least as fast as a miss, so queued requests
        // are assumed to take as long as a hit.
        let hit_latency = service.expected_hit_latency(request, now);
        let miss_latency = service.expected_miss_latency(request, now);
        let queued_latency = hit_latency.min(miss_latency);
        let wait = (load + 1.0 - slots).max(0.0) / slots * queued_latency * slowness;
        let work = if object_cached || !request.sticky {
            hit_latency
        } else if rank == 0 {
            miss_latency
        } else {
            miss_latency + (miss_latency - hit_latency) * EVICTION_COST
        };
        let cold_factor = if state.is_cold(now) { 2.0 } else { 1.0 };
        let failures = state.decayed(state.failures, 0.0, now);
        let failure_cost = if request.idempotent {
            FAILURE_COST_IDEMPOTENT
        } else {
            FAILURE_COST_NON_IDEMPOTENT
        };
        let cost = self.round_trip(&state.region)
            + wait
            + work * slowness * cold_factor
            + failures * failure_cost
            + rank as f64 * RANK_COST;
        Some(Candidate {
            index,
            rank,
            wait,
            cost,
            object_cached,
        })
    }
}
