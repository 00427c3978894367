//! The endpoints for a request, in the order in which they suit it.

use std::time::Instant;

use super::endpoint_state::EndpointState;
use super::request::PickRequest;
use super::service_state::{Choice, ServiceState};
use super::{Balancer, RANK_COST};
use crate::names::RegionName;
use crate::steering::placement::{endpoint_hash, score};

/// Endpoints of which a new object gets the one with the fewest objects. More
/// spread objects more evenly, fewer let VMs agree that were not told.
const HOME_CHOICES: usize = 3;

/// Objects that an endpoint may have more than another of the same size before
/// a new object goes to the other one. It keeps to the ranking otherwise.
const HOME_MARGIN: f64 = 1.0;

/// What it costs to have another endpoint handle an object that it does not
/// remember, in parts of the time that a repeat saves. The endpoint forgets
/// another object for it, whose next request is slow.
const DISPLACEMENT: f64 = 0.6;

/// Length in bytes of a body that stays in the caller's region more often than
/// others do, because links between regions are thin.
const LARGE_BODY: u64 = 16 * 1024;

/// Large bodies that stay in a region, in multiples of its even part. With more
/// of them its endpoints refuse, and the bodies cross the link after all.
const LARGE_BODIES_KEPT: f64 = 2.0;

/// Time that a failure costs a request that may be sent again, in seconds.
const FAILURE_COST_IDEMPOTENT: f64 = 0.8;

/// Time that a failure costs a request that is lost with it, in seconds.
const FAILURE_COST_NON_IDEMPOTENT: f64 = 4.0;

impl Balancer {
    /// Indexes of the endpoints that may take the request, best first.
    pub(super) fn order(
        &self,
        service: &ServiceState,
        request: &PickRequest<'_>,
        now: Instant,
    ) -> Vec<usize> {
        let region = self.region_of(service, request);
        let mut near = Vec::with_capacity(service.endpoints.len());
        let mut far = Vec::new();
        for (index, state) in service.endpoints.values().enumerate() {
            if !self.may_take(state, request) {
                continue;
            }
            let entry = (std::cmp::Reverse(score(request.object, state.hash)), index);
            if state.region == *region {
                near.push(entry);
            } else {
                far.push(entry);
            }
        }
        near.sort_unstable();
        far.sort_unstable();
        near.append(&mut far);
        let mut order: Vec<usize> = near.into_iter().map(|(_, index)| index).collect();
        if request.sticky
            && let Some(place) = self.home(service, request, &order, now)
        {
            order[..=place].rotate_right(1);
        }
        order
    }

    /// The region that new objects go to.
    fn region_of<'a>(
        &'a self,
        service: &'a ServiceState,
        request: &PickRequest<'_>,
    ) -> &'a RegionName {
        let kept = if request.body_bytes >= LARGE_BODY {
            LARGE_BODIES_KEPT
        } else {
            1.0
        };
        let region = service.split.region(&self.cfg.region, request.object, kept);
        region.unwrap_or(&self.cfg.region)
    }

    /// An endpoint for a request whose home, the first of `order`, cannot take
    /// it in time, or not at all.
    pub(super) fn elsewhere(
        &self,
        service: &ServiceState,
        request: &PickRequest<'_>,
        order: &[usize],
        now: Instant,
    ) -> Option<Choice> {
        let (home, rest) = order.split_first()?;
        let home = &service.endpoints[*home];
        if !home.is_open(now) {
            let choice = self.best(service, request, rest, 1, now);
            return choice.filter(|choice| service.permits(request, choice, now));
        }
        // Elsewhere the object pushes others out, so it goes there only where
        // it does not wait as well.
        let fits = |choice: &Choice| choice.wait <= 0.0 && service.permits(request, choice, now);
        let (same, other): (Vec<usize>, Vec<usize>) = rest
            .iter()
            .partition(|index| service.endpoints[**index].region == home.region);
        self.best(service, request, &same, 1, now)
            .filter(fits)
            .or_else(|| self.best(service, request, &other, 1, now).filter(fits))
    }

    /// The place in the ranking of the endpoint that handles the object, or
    /// that a new object should go to.
    fn home(
        &self,
        service: &ServiceState,
        request: &PickRequest<'_>,
        order: &[usize],
        now: Instant,
    ) -> Option<usize> {
        let state = |place: usize| &service.endpoints[order[place]];
        if let Some(home) = self.homes.get(self.home_key(service, request))
            && let Some(place) = (0..order.len()).find(|place| state(*place).hash == home)
        {
            return Some(place);
        }
        let region = order
            .first()
            .map(|index| &service.endpoints[*index].region)?;
        let burden = |place: usize| {
            let state = state(place);
            let objects = f64::from(self.homes.object_count(state.hash)) + state.load(now);
            let margin = if place == 0 { 0.0 } else { HOME_MARGIN };
            (objects + margin) / f64::from(state.endpoint.slots)
        };
        (0..order.len().min(HOME_CHOICES))
            .filter(|place| state(*place).region == *region && state(*place).is_open(now))
            .min_by(|a, b| burden(*a).total_cmp(&burden(*b)))
    }

    /// Under which number the home of the object is kept.
    ///
    /// Callers who are bound to regions have a home of their own where that of
    /// the others is not allowed to them, so that they do not move it there.
    pub(super) fn home_key(&self, service: &ServiceState, request: &PickRequest<'_>) -> u64 {
        let mut endpoints = service.endpoints.values();
        let region = self
            .homes
            .get(request.object)
            .and_then(|home| endpoints.find(|state| state.hash == home))
            .map_or_else(|| self.region_of(service, request), |state| &state.region);
        if request.allows(region) {
            return request.object;
        }
        let bound = request
            .allowed_regions
            .iter()
            .flat_map(|homes| homes.iter());
        bound.fold(request.object, |key, region| {
            score(key, endpoint_hash(region.as_str()))
        })
    }

    fn may_take(&self, state: &EndpointState, request: &PickRequest<'_>) -> bool {
        !state.endpoint.draining
            && !state.mismatched
            && !self.evacuated.contains(&state.endpoint.failure_domain)
            && request.allows(&state.region)
            && !request.tried.contains(&state.endpoint.key)
    }

    pub(super) fn best(
        &self,
        service: &ServiceState,
        request: &PickRequest<'_>,
        order: &[usize],
        first_rank: usize,
        now: Instant,
    ) -> Option<Choice> {
        order
            .iter()
            .enumerate()
            .filter_map(|(rank, index)| {
                self.choice(service, request, *index, first_rank + rank, now)
            })
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn choice(
        &self,
        service: &ServiceState,
        request: &PickRequest<'_>,
        index: usize,
        rank: usize,
        now: Instant,
    ) -> Option<Choice> {
        let (_, state) = service.endpoints.get_index(index)?;
        if !state.is_open(now) {
            return None;
        }
        let load = state.load(now);
        if load >= state.capacity {
            return None;
        }
        let repeat = request.sticky && self.remembers(request.object, state.hash, now);
        let slowness = state.faded(state.slowness, 1.0, now);
        let slots = f64::from(state.endpoint.slots);
        let mean = service
            .repeat_time(request)
            .min(service.first_time(request));
        let wait = (load + 1.0 - slots).max(0.0) / slots * mean * slowness;
        let saved = service.first_time(request) - service.repeat_time(request);
        let work = if repeat || !request.sticky {
            service.repeat_time(request)
        } else if rank == 0 {
            service.first_time(request)
        } else {
            service.first_time(request) + saved * DISPLACEMENT
        };
        let cold = if state.is_cold(now) { 2.0 } else { 1.0 };
        let failures = state.faded(state.failures, 0.0, now);
        let failure_cost = if request.idempotent {
            FAILURE_COST_IDEMPOTENT
        } else {
            FAILURE_COST_NON_IDEMPOTENT
        };
        let cost = self.round_trip(&state.region)
            + wait
            + work * slowness * cold
            + failures * failure_cost
            + rank as f64 * RANK_COST;
        Some(Choice {
            index,
            rank,
            wait,
            cost,
            repeat,
        })
    }
}
