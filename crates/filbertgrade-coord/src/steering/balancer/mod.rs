//! Picks an endpoint for a request, or refuses the request.
//!
//! Designed for overload and failing endpoints. A request waits at the endpoint
//! that handled its object recently as long as that is faster than sending it to
//! another one. Otherwise it goes to another endpoint, and it is refused at once
//! when no endpoint is expected to respond in time.

mod endpoint_state;
mod limits;
mod notices;
mod ranking;
mod request;
mod service_state;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use self::endpoint_state::EndpointState;
use self::limits::LimitSharing;
use self::notices::EndpointNotices;
pub use self::notices::Pause;
pub use self::request::{
    LimitedEndpoints, LoadReport, Outcome, Pick, PickRefusal, PickRequest, Target,
};
use self::service_state::{Candidate, ServiceState, TIME_LEFT_USED, spill_config};
use crate::names::{FailureDomainName, RegionName, ServiceName, VmName};
use crate::steering::affinity::{Affinity, AffinityTable};
use crate::steering::cold_start::{ColdStartLimit, cold_start_senders};
use crate::steering::deployment::Deployment;
use crate::steering::endpoint::{Endpoint, EndpointKey};
use crate::steering::endpoint_limit::{self, EndpointLimit, EndpointRate};
use crate::steering::placement::{RegionSplit, endpoint_hash, score, unit_interval};
use crate::steering::retry::RetryConfig;

/// Cost in seconds of each further position in the ranking, so that all VMs
/// prefer otherwise equal endpoints in the same order.
const RANK_COST: f64 = 0.010;

/// Assumed round trip to another region in seconds, before one is measured.
const DEFAULT_ROUND_TRIP: f64 = 0.080;

/// How long an endpoint is assumed to keep an object in its cache.
const CACHE_RETENTION: Duration = Duration::from_secs(20);

/// Maximum number of pairs of object and endpoint for which the time of the last
/// request is kept. Bounds memory.
const MAX_CACHED_OBJECTS: usize = 20_000;

/// Base and upper limit of the delay after which a refused caller should retry.
/// Beside the expected wait, the delay contains 0.5 to 1.5 times the base.
const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));

/// Longest delay that callers are given because of pauses, without the spread.
/// Endpoints may be added before a longer one ends.
const LONGEST_PAUSE_RETRY: Duration = Duration::from_secs(10);

/// One in this many requests that leave the region of their preferred endpoint
/// moves its object's affinity, and with it all later requests for the object.
const SPILLS_PER_MOVE: u64 = 4;

/// Settings of a [`Balancer`].
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// Name of this VM.
    pub vm: VmName,
    /// Region of this VM.
    pub region: RegionName,
    /// Region of each failure domain. Endpoints in other failure domains are
    /// ignored.
    pub regions: HashMap<FailureDomainName, RegionName>,
    /// Limits on the retries to each service.
    pub retry: RetryConfig,
    /// Fraction of a region's requests that may change their region in one
    /// period.
    pub shift_cap: f64,
}

/// One VM's estimates of all endpoints, and the placement decisions that it
/// bases on them.
#[derive(Debug)]
pub struct Balancer {
    cfg: BalancerConfig,
    deployment: Arc<Deployment>,
    services: HashMap<ServiceName, ServiceState>,
    evacuated: HashSet<FailureDomainName>,
    /// VMs that are running, including this one.
    vms: Vec<VmName>,
    /// When an endpoint last handled an object, by the hashes of the object and
    /// the endpoint.
    last_served: HashMap<(u64, u64), Instant>,
    /// Which endpoint serves each object.
    affinities: AffinityTable,
    /// Estimated round trips to other regions in seconds.
    round_trips: HashMap<RegionName, f64>,
    /// Rates that endpoints name, as far as other VMs are concerned.
    limits: LimitSharing,
    /// What endpoints have said of themselves.
    notices: EndpointNotices,
}

impl Balancer {
    /// Creates a balancer with an empty configuration and without endpoints, for
    /// which this VM is the only one.
    pub fn new(cfg: BalancerConfig) -> Self {
        let vms = vec![cfg.vm.clone()];
        Self {
            cfg,
            deployment: Arc::default(),
            services: HashMap::new(),
            evacuated: HashSet::new(),
            vms,
            last_served: HashMap::new(),
            affinities: AffinityTable::default(),
            round_trips: HashMap::new(),
            limits: LimitSharing::default(),
            notices: EndpointNotices::default(),
        }
    }

    /// Replaces the configuration in force.
    pub fn set_deployment(&mut self, deployment: Arc<Deployment>) {
        self.deployment = deployment;
    }

    /// Replaces the list of running VMs, which includes this one.
    pub fn set_vms(&mut self, vms: Vec<VmName>, now: Instant) {
        if self.vms == vms {
            return;
        }
        self.vms = vms;
        self.update_cold_limits(now);
    }

    /// Replaces the endpoints. The estimates of those that remain are kept.
    pub fn set_endpoints<'a>(
        &mut self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        now: Instant,
    ) {
        let mut old: HashMap<EndpointKey, EndpointState> = self
            .services
            .values_mut()
            .flat_map(|service| std::mem::take(&mut service.endpoints))
            .collect();
        for endpoint in endpoints {
            let Some(region) = self.cfg.regions.get(&endpoint.failure_domain) else {
                // The region of an unknown failure domain cannot be determined.
                continue;
            };
            let mut state = match old.remove(&endpoint.key) {
                Some(mut state) => {
                    if state.endpoint.address != endpoint.address {
                        state.displaced = None;
                    }
                    state.endpoint = endpoint.clone();
                    state
                }
                None => EndpointState::new(endpoint, region.clone(), now),
            };
            state.endpoint.draining |= self.notices.is_leaving(&endpoint.key);
            state.mark_cold(endpoint.cold_for, now);
            self.services
                .entry(endpoint.service.clone())
                .or_insert_with(|| ServiceState::new(&self.cfg, now))
                .endpoints
                .insert(endpoint.key.clone(), state);
        }
        for service in self.services.values_mut() {
            service.endpoints.sort_unstable_keys();
        }
        self.update_region_splits();
        self.update_cold_limits(now);
    }

    /// Replaces the failure domains whose endpoints must not receive requests.
    /// Endpoints in a failure domain that is no longer evacuated count as cold.
    pub fn set_evacuated(&mut self, evacuated: HashSet<FailureDomainName>, now: Instant) {
        let restored: Vec<FailureDomainName> =
            self.evacuated.difference(&evacuated).cloned().collect();
        self.evacuated = evacuated;
        for (name, service) in &mut self.services {
            let cold_time = self
                .deployment
                .services
                .get(name)
                .map_or(Duration::ZERO, |s| s.cold_time);
            for state in service.endpoints.values_mut() {
                if restored.contains(&state.endpoint.failure_domain) {
                    state.mark_cold(cold_time, now);
                }
            }
        }
        self.update_region_splits();
        self.update_cold_limits(now);
    }

    /// Updates the estimated round trip to a region with the time that it took
    /// to connect to an endpoint there. Ignored for this VM's own region.
    pub fn record_connect_time(&mut self, region: &RegionName, time: Duration) {
        if *region == self.cfg.region {
            return;
        }
        let time = time.as_secs_f64();
        let known = self.round_trips.entry(region.clone()).or_insert(time);
        // A shorter time is adopted at once, because the shortest times reflect
        // the distance. Longer ones include delays caused by load, so they have
        // little weight.
        *known = if time < *known {
            time
        } else {
            *known * 0.98 + time * 0.02
        };
    }

    /// Counts a request that a caller sent to a service.
    pub fn count_request(&mut self, service: &ServiceName, priority: u32, now: Instant) {
        if let Some(state) = self.services.get_mut(service) {
            state.spill.record_request(&spill_config(&self.cfg), now);
            state.retry_budget.count_request(now);
            state.record_priority(priority, now);
        }
    }

    /// Takes one retry from the budget of a service, and returns false if none
    /// is left or the service is unknown.
    pub fn try_take_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let vms = self.vms.len();
        self.services
            .get_mut(service)
            .is_some_and(|state| state.retry_budget.try_take(now, vms))
    }

    /// Picks an endpoint and counts the request there, or refuses the request.
    /// Each picked [`Target`] must be passed to [`Balancer::finish`] once the
    /// request has ended.
    pub fn pick(&mut self, request: &PickRequest<'_>, now: Instant) -> Pick {
        let other_vms = self.limits.other_vms_in(&self.cfg.region);
        let Some(service) = self.services.get_mut(request.service) else {
            return Pick::Refuse(PickRefusal::NoEndpoint);
        };
        service.assume_load(other_vms, now);
        let service = &self.services[request.service];
        let ranking = self.rank_endpoints(service, request, now);
        if ranking.is_empty() {
            return Pick::Refuse(PickRefusal::NoEndpoint);
        }
        if let Some(until) = self.end_of_pauses(request.service, &ranking, now) {
            let wait = until.saturating_duration_since(now);
            return Pick::Refuse(PickRefusal::Busy(after_pause(wait, request.object)));
        }
        if let Some(candidate) = self.granted_candidate(service, request, &ranking, now) {
            let is_preferred = candidate.index == ranking[0];
            return Pick::Send(self.start_request(request, candidate, is_preferred, now));
        }
        let first = self.cheapest(service, request, &ranking[..1], 0, now);
        let candidate = first
            .filter(|candidate| service.may_send(request, candidate, now))
            .or_else(|| self.pick_fallback(service, request, &ranking, now));
        // The spill limit applies only while the preferred endpoint is
        // available and lacks a free slot, not when it cannot be used at all.
        let preferred = &service.endpoints[ranking[0]];
        let is_available = self.is_available(preferred, now);
        let spills = is_available
            && candidate.is_some_and(|candidate| {
                service.endpoints[candidate.index].region != preferred.region
            });
        // An endpoint over its limit must not lose all its objects at once, nor more of
        // them than it needs to for its limit.
        let overflows = preferred.is_limited() && !is_available;
        let objects = self.affinities.object_count(preferred.hash);
        let may_move = !overflows || preferred.may_lose_object(objects);
        let spill = spill_config(&self.cfg);
        let time_left = request.time_left.as_secs_f64() * TIME_LEFT_USED;
        let mut sets_affinity = !spills && !overflows;
        let candidate = candidate.and_then(|candidate| {
            let service = self.services.get_mut(request.service)?;
            if !spills && !overflows {
                return Some(candidate);
            }
            if spills && !service.spill.try_spill(&spill, now) {
                return first.filter(|first| first.cost <= time_left);
            }
            if overflows {
                service.endpoints[ranking[0]].record_pick(true);
            }
            service.spilled += 1;
            sets_affinity = may_move && service.spilled % SPILLS_PER_MOVE == 0;
            Some(candidate)
        });
        match candidate {
            Some(candidate) => self.admit(request, candidate, sets_affinity, now),
            None => {
                let wait = first.map_or(0.0, |candidate| candidate.wait);
                Pick::Refuse(PickRefusal::Busy(retry_after(wait, request.object)))
            }
        }
    }

    /// Reports whether a request may still be sent to the endpoint that was
    /// picked for it. While it waited for a connection, the endpoint may have
    /// started to drain or to pause, left, moved, or been evacuated, and a token of
    /// its limit may have expired.
    pub fn may_still_send(&self, target: &Target, now: Instant) -> bool {
        let service = self.services.get(&target.service);
        let state = service.and_then(|service| service.endpoints.get(&target.key));
        state.is_some_and(|state| {
            !state.endpoint.draining
                && self.notices.pause(&target.key, now).is_none()
                && target
                    .token_at
                    .is_none_or(|at| endpoint_limit::is_token_valid(at, now))
                && state.endpoint.address == target.address
                && !self.evacuated.contains(&state.endpoint.failure_domain)
        })
    }

    /// Records the outcome of a picked request and the endpoint's load report.
    /// Returns the backoff if the endpoint is ejected because of it.
    pub fn finish(
        &mut self,
        target: &Target,
        object: u64,
        outcome: Outcome,
        report: Option<LoadReport>,
        now: Instant,
    ) -> Option<Duration> {
        let service = self.services.get_mut(&target.service)?;
        if let Outcome::Responded {
            latency,
            failed: false,
        } = outcome
        {
            let hash = endpoint_hash(&target.key.id);
            record_served(&mut self.last_served, (object, hash), now);
            service.record_latency(target, latency, now);
        }
        let state = service.endpoints.get_mut(&target.key)?;
        state.in_flight = state.in_flight.saturating_sub(1);
        if let Some(report) = report {
            state.record_report(report, now);
        }
        state.record_outcome(target, outcome, now)
    }

    /// Applies affinities received from another VM.
    pub fn apply_affinities(&mut self, affinities: Vec<Affinity>, now: Instant) {
        for affinity in affinities {
            self.affinities.apply_update(affinity, now);
        }
    }

    /// Returns the affinity table, to send its updates to other VMs.
    pub fn affinities(&mut self) -> &mut AffinityTable {
        &mut self.affinities
    }

    /// Returns the estimates of all endpoints, grouped by service, for the
    /// operator's dump.
    pub fn endpoint_estimates(&self, now: Instant) -> impl Iterator<Item = EndpointEstimate<'_>> {
        self.services.values().flat_map(move |service| {
            service
                .endpoints
                .values()
                .map(move |state| EndpointEstimate {
                    endpoint: &state.endpoint,
                    in_flight: state.in_flight,
                    load: state.load(now),
                    failures: state.decayed(state.failures, 0.0, now),
                    slowness: state.decayed(state.slowness, 1.0, now),
                    ejected: state.ejection.is_some_and(|ejection| now < ejection.until),
                    displaced: state.is_displaced(now),
                    cold: state.is_cold(now),
                    pause: self.notices.pause(&state.endpoint.key, now),
                    rate: state
                        .limit
                        .as_ref()
                        .map_or(EndpointRate::Unlimited, EndpointLimit::rate),
                })
        })
    }

    /// Reports whether a request may be sent to an endpoint now, as far as the
    /// endpoint's own state is concerned.
    fn is_available(&self, state: &EndpointState, now: Instant) -> bool {
        state.is_available(now) && self.notices.pause(&state.endpoint.key, now).is_none()
    }

    /// Returns the endpoint for which the request has a token, if it may still be
    /// sent there.
    fn granted_candidate(
        &self,
        service: &ServiceState,
        request: &PickRequest<'_>,
        ranking: &[usize],
        now: Instant,
    ) -> Option<Candidate> {
        let LimitedEndpoints::Granted(key) = request.limited else {
            return None;
        };
        let index = service.endpoints.get_index_of(key)?;
        let rank = ranking.iter().position(|ranked| *ranked == index)?;
        self.cheapest(service, request, &ranking[rank..=rank], rank, now)
    }

    /// Starts the request at the candidate, or says that it needs a token first.
    fn admit(
        &mut self,
        request: &PickRequest<'_>,
        candidate: Candidate,
        sets_affinity: bool,
        now: Instant,
    ) -> Pick {
        let service = self.services.get_mut(request.service);
        let state = service.and_then(|service| service.endpoints.get_index_mut(candidate.index));
        if let Some((key, state)) = state
            && let Some(limit) = &mut state.limit
            && limit.is_limited()
        {
            if let Some(token_request) = limit.token_request(key) {
                return Pick::RequestToken(token_request);
            }
            // An open endpoint of which this VM is the holder has a token.
            limit.grant(now);
        }
        Pick::Send(self.start_request(request, candidate, sets_affinity, now))
    }

    /// Counts a request at the picked endpoint. If `sets_affinity` is true, the
    /// first attempt of a sticky request also sets the affinity of its object to
    /// that endpoint.
    fn start_request(
        &mut self,
        request: &PickRequest<'_>,
        candidate: Candidate,
        sets_affinity: bool,
        now: Instant,
    ) -> Target {
        let round_trip = |region: &RegionName| self.round_trip(region);
        let service = &self.services[request.service];
        let state = &service.endpoints[candidate.index];
        let hash = state.hash;
        let target = Target {
            service: request.service.clone(),
            key: state.endpoint.key.clone(),
            address: state.endpoint.address,
            region: state.region.clone(),
            expected_latency: Duration::from_secs_f64(
                (candidate.cost - candidate.rank as f64 * RANK_COST).clamp(0.0, 60.0),
            )
            .max(Duration::from_secs_f64(round_trip(&state.region))),
            load: state.load(now),
            slots: state.endpoint.slots,
            object_cached: candidate.object_cached,
            rank: candidate.rank,
            token_at: state.is_limited().then_some(now),
            report_age: state
                .reported_at
                .map(|at| now.saturating_duration_since(at)),
        };
        if request.sticky && request.tried.is_empty() && sets_affinity {
            let key = self.affinity_key(&self.services[request.service], request);
            self.affinities.record_use(key, hash, now);
        }
        if let Some(state) = self
            .services
            .get_mut(request.service)
            .and_then(|service| service.endpoints.get_mut(&target.key))
        {
            state.start_request(now);
            if candidate.rank == 0 {
                state.record_pick(false);
            }
        }
        target
    }

    /// Returns the estimated round trip to a region; zero for this VM's own.
    pub fn round_trip_to(&self, region: &RegionName) -> Duration {
        Duration::from_secs_f64(self.round_trip(region))
    }

    /// Returns the estimated round trip to a region in seconds; zero for this
    /// VM's own.
    fn round_trip(&self, region: &RegionName) -> f64 {
        if *region == self.cfg.region {
            return 0.0;
        }
        self.round_trips
            .get(region)
            .copied()
            .unwrap_or(DEFAULT_ROUND_TRIP)
    }

    /// Reports whether an endpoint is assumed to have an object in its cache.
    fn is_cached(&self, object: u64, endpoint: u64, now: Instant) -> bool {
        self.last_served
            .get(&(object, endpoint))
            .is_some_and(|at| now.saturating_duration_since(*at) <= CACHE_RETENTION)
    }

    /// Divides the objects of each service among regions by their slots. All
    /// regions are assumed to have the same demand.
    fn update_region_splits(&mut self) {
        let mut regions: Vec<RegionName> = self.cfg.regions.values().cloned().collect();
        regions.sort();
        regions.dedup();
        let demand: Vec<(RegionName, f64)> = regions.iter().map(|r| (r.clone(), 1.0)).collect();
        for service in self.services.values_mut() {
            let capacity: Vec<(RegionName, f64)> = regions
                .iter()
                .map(|region| (region.clone(), service.slots_in(region, &self.evacuated)))
                .collect();
            service.region_split = RegionSplit::new(&capacity, &demand);
        }
    }

    /// Creates the rate limits of cold endpoints and removes those of endpoints
    /// that are warm. Existing limits keep their tokens.
    fn update_cold_limits(&mut self, now: Instant) {
        for (name, service) in &mut self.services {
            let rate = self
                .deployment
                .services
                .get(name)
                .map_or(0.0, |s| s.cold_rate);
            for (key, state) in &mut service.endpoints {
                if !state.is_cold(now) {
                    state.cold_limit = None;
                    continue;
                }
                let senders = cold_start_senders(&key.id, &self.cfg.vm, &self.vms);
                match &mut state.cold_limit {
                    Some(limit) => limit.set_senders(rate, senders, now),
                    limit => *limit = Some(ColdStartLimit::new(rate, senders, now)),
                }
            }
        }
    }
}

/// This VM's estimates of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEstimate<'a> {
    /// The registration of the endpoint.
    pub endpoint: &'a Endpoint,
    /// Requests of this VM at the endpoint.
    pub in_flight: u32,
    /// Best known estimate of the requests of all VMs at the endpoint.
    pub load: f64,
    /// Fraction of its requests that fail.
    pub failures: f64,
    /// Its latency as a multiple of that of the other endpoints.
    pub slowness: f64,
    /// It could not be reached and receives no requests until its backoff has
    /// passed.
    pub ejected: bool,
    /// Another endpoint has responded at its address, and it receives no requests
    /// until its backoff has passed.
    pub displaced: bool,
    /// It has just started, and its request rate is limited.
    pub cold: bool,
    /// The time in which it wants no requests from this VM.
    pub pause: Option<Pause>,
    /// The rate that it names for all VMs together.
    pub rate: EndpointRate,
}

fn record_served(
    last_served: &mut HashMap<(u64, u64), Instant>,
    object_and_endpoint: (u64, u64),
    now: Instant,
) {
    if last_served.len() >= MAX_CACHED_OBJECTS {
        last_served.retain(|_, at| now.saturating_duration_since(*at) <= CACHE_RETENTION / 2);
    }
    if last_served.len() < MAX_CACHED_OBJECTS {
        last_served.insert(object_and_endpoint, now);
    }
}

/// Returns the delay after which a refused caller should retry: half of the
/// expected wait in seconds, plus a spread derived from the hash `spread`, so
/// that callers that were refused together do not return together.
fn retry_after(wait: f64, spread: u64) -> Duration {
    let (base, longest) = RETRY_AFTER;
    let wait = Duration::from_secs_f64((wait / 2.0).clamp(0.0, longest.as_secs_f64()));
    let spread = base.mul_f64(unit_interval(score(spread, 1)));
    (wait + base / 2 + spread).min(longest)
}

/// Returns the delay after which a caller should retry that is refused because all
/// endpoints pause for at least `wait`, with a spread as in [`retry_after`].
fn after_pause(wait: Duration, spread: u64) -> Duration {
    let (base, _) = RETRY_AFTER;
    let spread = base.mul_f64(unit_interval(score(spread, 1)));
    wait.min(LONGEST_PAUSE_RETRY) + base / 2 + spread
}
