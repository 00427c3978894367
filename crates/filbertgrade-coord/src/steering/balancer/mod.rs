//! Picks an endpoint for a request, or refuses the request.
//!
//! Answers overload and failing endpoints: a request waits at the endpoint
//! that handled its object recently while that is faster than another one that
//! did not, goes elsewhere when it is not, and is refused at once when no
//! endpoint would answer in time.

mod endpoint_state;
mod ranking;
mod request;
mod service_state;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use self::endpoint_state::EndpointState;
pub use self::request::{LoadReport, Outcome, Pick, PickRefusal, PickRequest, Target};
use self::service_state::{Choice, ServiceState, TIME_USED, spill_config};
use crate::names::{FailureDomainName, RegionName, ServiceName, VmName};
use crate::steering::affinity::{Affinity, AffinityTable};
use crate::steering::cold_start::{ColdStartLimit, cold_start_senders};
use crate::steering::deployment::Deployment;
use crate::steering::endpoint::{Endpoint, EndpointKey};
use crate::steering::placement::{RegionSplit, endpoint_hash, score, unit_interval};
use crate::steering::retry::RetryConfig;

/// What each further place in the ranking counts, so that equal endpoints are
/// taken in the same order by all VMs.
const RANK_COST: f64 = 0.010;

/// Assumed round trip to another region before one was measured, in seconds.
const FAR_ROUND_TRIP: f64 = 0.080;

/// How long an endpoint is assumed to remember an object.
const OBJECT_MEMORY: Duration = Duration::from_secs(20);

/// Objects that are remembered at most, to bound memory.
const MOST_OBJECTS: usize = 20_000;

/// Shortest and longest time after which a refused caller should come back.
const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));

/// Requests that leave a region before one takes its object's home with it,
/// which moves all later requests for the object.
const LEAVES_FOR_MOVE: u64 = 4;

/// What the balancer knows from settings.
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// This VM.
    pub vm: VmName,
    /// Its region.
    pub region: RegionName,
    /// Regions of the failure domains.
    pub regions: HashMap<FailureDomainName, RegionName>,
    /// Limits of repeats for each service.
    pub retry: RetryConfig,
    /// Part of a region's requests that may change their region in one period.
    pub shift_cap: f64,
}

/// What one VM believes of all endpoints, and the decisions that follow.
#[derive(Debug)]
pub struct Balancer {
    cfg: BalancerConfig,
    deployment: Arc<Deployment>,
    services: HashMap<ServiceName, ServiceState>,
    evacuated: HashSet<FailureDomainName>,
    /// VMs that run, this one included.
    vms: Vec<VmName>,
    /// When an object was last handled by an endpoint, by their hashes.
    objects: HashMap<(u64, u64), Instant>,
    /// Which endpoint handles each object.
    homes: AffinityTable,
    /// Round trips to other regions in seconds.
    round_trips: HashMap<RegionName, f64>,
}

impl Balancer {
    /// Starts without a configuration and without endpoints.
    pub fn new(cfg: BalancerConfig) -> Self {
        let vms = vec![cfg.vm.clone()];
        Self {
            cfg,
            deployment: Arc::default(),
            services: HashMap::new(),
            evacuated: HashSet::new(),
            vms,
            objects: HashMap::new(),
            homes: AffinityTable::default(),
            round_trips: HashMap::new(),
        }
    }

    /// Puts another configuration in force.
    pub fn set_deployment(&mut self, deployment: Arc<Deployment>) {
        self.deployment = deployment;
    }

    /// Replaces the VMs that run, this one included.
    pub fn set_vms(&mut self, vms: Vec<VmName>, now: Instant) {
        if self.vms == vms {
            return;
        }
        self.vms = vms;
        for service in self.services.values_mut() {
            for state in service.endpoints.values_mut() {
                state.cold = None;
            }
        }
        self.renew_cold_limits(now);
    }

    /// Replaces the endpoints. What is known of those that stay is kept.
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
                // Registrations that name an unknown place cannot be placed.
                continue;
            };
            let mut state = match old.remove(&endpoint.key) {
                Some(mut state) => {
                    state.mismatched &= state.endpoint.address == endpoint.address;
                    state.endpoint = endpoint.clone();
                    state
                }
                None => EndpointState::new(endpoint, region.clone(), now),
            };
            state.warm_up(endpoint.cold_for, now);
            self.services
                .entry(endpoint.service.clone())
                .or_insert_with(|| ServiceState::new(&self.cfg, now))
                .endpoints
                .insert(endpoint.key.clone(), state);
        }
        for service in self.services.values_mut() {
            service.endpoints.sort_unstable_keys();
        }
        self.divide_regions();
        self.renew_cold_limits(now);
    }

    /// Replaces the failure domains whose endpoints get nothing. Endpoints of
    /// a domain that is taken back are cold.
    pub fn set_evacuated(&mut self, evacuated: HashSet<FailureDomainName>, now: Instant) {
        let back: Vec<FailureDomainName> = self.evacuated.difference(&evacuated).cloned().collect();
        self.evacuated = evacuated;
        for (name, service) in &mut self.services {
            let time = self
                .deployment
                .services
                .get(name)
                .map_or(Duration::ZERO, |s| s.cold_time);
            for state in service.endpoints.values_mut() {
                if back.contains(&state.endpoint.failure_domain) {
                    state.warm_up(time, now);
                }
            }
        }
        self.divide_regions();
        self.renew_cold_limits(now);
    }

    /// Notes how long it took to connect to an endpoint of another region.
    pub fn record_connect_time(&mut self, region: &RegionName, time: Duration) {
        if *region == self.cfg.region {
            return;
        }
        let time = time.as_secs_f64();
        let known = self.round_trips.entry(region.clone()).or_insert(time);
        // The shortest times show the distance, longer ones show load.
        *known = if time < *known {
            time
        } else {
            *known * 0.98 + time * 0.02
        };
    }

    /// Counts a request that a caller sent to a service.
    pub fn count_request(&mut self, service: &ServiceName, priority: u32, now: Instant) {
        if let Some(state) = self.services.get_mut(service) {
            state.spill.request(&spill_config(&self.cfg), now);
            state.budget.count_request(now);
            state.note_priority(priority, now);
        }
    }

    /// Takes a repeat from the budget of a service.
    pub fn try_take_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let vms = self.vms.len();
        self.services
            .get_mut(service)
            .is_some_and(|state| state.budget.try_take(now, vms))
    }

    /// Picks an endpoint and counts the request there, or refuses. Each pick
    /// must be ended by [`Balancer::finish`].
    pub fn pick(&mut self, request: &PickRequest<'_>, now: Instant) -> Pick {
        let Some(service) = self.services.get(request.service) else {
            return Pick::Refuse(PickRefusal::NoEndpoint);
        };
        let order = self.order(service, request, now);
        if order.is_empty() {
            return Pick::Refuse(PickRefusal::NoEndpoint);
        }
        let first = self.best(service, request, &order[..1], 0, now);
        let choice = first
            .filter(|choice| service.permits(request, choice, now))
            .or_else(|| self.elsewhere(service, request, &order, now));
        // A home that cannot be reached is no matter of free slots.
        let home = &service.endpoints[order[0]];
        let leaves = home.is_open(now)
            && choice.is_some_and(|choice| service.endpoints[choice.index].region != home.region);
        let spill = spill_config(&self.cfg);
        let time_left = request.time_left.as_secs_f64() * TIME_USED;
        let mut moves = !leaves;
        let choice = choice.and_then(|choice| {
            let service = self.services.get_mut(request.service)?;
            if !leaves {
                return Some(choice);
            }
            if !service.spill.try_leave(&spill, now) {
                return first.filter(|first| first.cost <= time_left);
            }
            service.left += 1;
            moves = service.left % LEAVES_FOR_MOVE == 0;
            Some(choice)
        });
        match choice {
            Some(choice) => Pick::Send(self.begin(request, choice, moves, now)),
            None => {
                let wait = first.map_or(0.0, |choice| choice.wait);
                Pick::Refuse(PickRefusal::Busy(come_back(wait, request.object)))
            }
        }
    }

    /// Ends a pick. Returns how long the endpoint rests when it begins a rest.
    pub fn finish(
        &mut self,
        target: &Target,
        object: u64,
        outcome: Outcome,
        report: Option<LoadReport>,
        now: Instant,
    ) -> Option<Duration> {
        let service = self.services.get_mut(&target.service)?;
        if let Outcome::Answered {
            latency,
            failed: false,
        } = outcome
        {
            let hash = endpoint_hash(&target.key.id);
            remember(&mut self.objects, (object, hash), now);
            service.learn(target, latency);
        }
        let state = service.endpoints.get_mut(&target.key)?;
        state.in_flight = state.in_flight.saturating_sub(1);
        if let Some(report) = report {
            state.note_report(report, now);
        }
        state.note_outcome(target, outcome, now)
    }

    /// Takes homes of objects that another VM told.
    pub fn apply_affinities(&mut self, homes: Vec<Affinity>, now: Instant) {
        for home in homes {
            self.homes.apply_update(home, now);
        }
    }

    /// AffinityTable of objects that are to be told to other VMs.
    pub fn affinities(&mut self) -> &mut AffinityTable {
        &mut self.homes
    }

    /// Endpoints by service with what is believed of them, for a dump.
    pub fn endpoint_estimates(&self, now: Instant) -> impl Iterator<Item = EndpointEstimate<'_>> {
        self.services.values().flat_map(move |service| {
            service
                .endpoints
                .values()
                .map(move |state| EndpointEstimate {
                    endpoint: &state.endpoint,
                    in_flight: state.in_flight,
                    load: state.load(now),
                    failures: state.faded(state.failures, 0.0, now),
                    slowness: state.faded(state.slowness, 1.0, now),
                    ejected: state.rest.is_some_and(|rest| now < rest.until),
                    cold: state.is_cold(now),
                })
        })
    }

    /// Counts a request at its endpoint. One that `moves` its object makes the
    /// endpoint its home.
    fn begin(
        &mut self,
        request: &PickRequest<'_>,
        choice: Choice,
        moves: bool,
        now: Instant,
    ) -> Target {
        let round_trip = |region: &RegionName| self.round_trip(region);
        let service = &self.services[request.service];
        let state = &service.endpoints[choice.index];
        let hash = state.hash;
        let target = Target {
            service: request.service.clone(),
            key: state.endpoint.key.clone(),
            address: state.endpoint.address,
            region: state.region.clone(),
            expected_latency: Duration::from_secs_f64(
                (choice.cost - choice.rank as f64 * RANK_COST).clamp(0.0, 60.0),
            )
            .max(Duration::from_secs_f64(round_trip(&state.region))),
            load: state.load(now),
            slots: state.endpoint.slots,
            object_cached: choice.repeat,
            rank: choice.rank,
            report_age: state
                .reported_at
                .map(|at| now.saturating_duration_since(at)),
        };
        if request.sticky && request.tried.is_empty() && moves {
            let key = self.home_key(&self.services[request.service], request);
            self.homes.record_use(key, hash, now);
        }
        if let Some(state) = self
            .services
            .get_mut(request.service)
            .and_then(|service| service.endpoints.get_mut(&target.key))
        {
            state.begin(now);
        }
        target
    }

    fn round_trip(&self, region: &RegionName) -> f64 {
        if *region == self.cfg.region {
            return 0.0;
        }
        self.round_trips
            .get(region)
            .copied()
            .unwrap_or(FAR_ROUND_TRIP)
    }

    fn remembers(&self, object: u64, endpoint: u64, now: Instant) -> bool {
        self.objects
            .get(&(object, endpoint))
            .is_some_and(|at| now.saturating_duration_since(*at) <= OBJECT_MEMORY)
    }

    fn divide_regions(&mut self) {
        let mut regions: Vec<RegionName> = self.cfg.regions.values().cloned().collect();
        regions.sort();
        regions.dedup();
        let demand: Vec<(RegionName, f64)> = regions.iter().map(|r| (r.clone(), 1.0)).collect();
        for service in self.services.values_mut() {
            let capacity: Vec<(RegionName, f64)> = regions
                .iter()
                .map(|region| (region.clone(), service.slots_in(region, &self.evacuated)))
                .collect();
            service.split = RegionSplit::new(&capacity, &demand);
        }
    }

    fn renew_cold_limits(&mut self, now: Instant) {
        for (name, service) in &mut self.services {
            let rate = self
                .deployment
                .services
                .get(name)
                .map_or(0.0, |s| s.cold_rate);
            for (key, state) in &mut service.endpoints {
                if !state.is_cold(now) {
                    state.cold = None;
                    continue;
                }
                match cold_start_senders(&key.id, &self.cfg.vm, &self.vms) {
                    Some(senders) if state.cold.is_none() => {
                        state.cold = Some(ColdStartLimit::new(rate, senders, now));
                    }
                    Some(_) => {}
                    None => state.cold = None,
                }
            }
        }
    }
}

/// What is believed of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEstimate<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Requests of this VM that it has.
    pub in_flight: u32,
    /// Requests of all VMs that it has, as far as known.
    pub load: f64,
    /// Share of its answers that fail.
    pub failures: f64,
    /// Time that it takes in multiples of other endpoints'.
    pub slowness: f64,
    /// It could not be reached, and gets nothing for now.
    pub ejected: bool,
    /// It has just started.
    pub cold: bool,
}

fn remember(objects: &mut HashMap<(u64, u64), Instant>, entry: (u64, u64), now: Instant) {
    if objects.len() >= MOST_OBJECTS {
        objects.retain(|_, at| now.saturating_duration_since(*at) <= OBJECT_MEMORY / 2);
    }
    if objects.len() < MOST_OBJECTS {
        objects.insert(entry, now);
    }
}

/// When a refused caller should come back: after half of the wait, spread so
/// that those who were refused together do not return together.
fn come_back(wait: f64, spread: u64) -> Duration {
    let (shortest, longest) = RETRY_AFTER;
    let wait = Duration::from_secs_f64((wait / 2.0).clamp(0.0, longest.as_secs_f64()));
    let spread = shortest.mul_f64(unit_interval(score(spread, 1)));
    (wait + shortest / 2 + spread).min(longest)
}
