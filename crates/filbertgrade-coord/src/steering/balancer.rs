//! Picks an endpoint for a request, or refuses the request.
//!
//! Answers overload and failing endpoints: a request waits at the endpoint
//! that handled its object recently while that is faster than another one that
//! did not, goes elsewhere when it is not, and is refused at once when no
//! endpoint would answer in time.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::cold::{ColdLimit, cold_senders};
use super::deployment::Deployment;
use super::endpoint::{Endpoint, EndpointKey};
use super::homes::{Home, Homes};
use super::placement::{RegionSplit, endpoint_hash, score, unit};
use super::retry::{RetryBudget, RetryConfig};
use crate::names::{FailureDomainName, RegionName, ServiceName, VmName};
use crate::spill::{SpillConfig, SpillLimit};

/// Endpoints of which a new object gets the one with the fewest objects. More spread objects more evenly, fewer let
/// VMs agree that were not told.
const HOME_CHOICES: usize = 3;

/// Objects that an endpoint may have more than another of the same size before
/// a new object goes to the other one. It keeps to the ranking otherwise.
const HOME_MARGIN: f64 = 1.0;

/// What each further place in the ranking counts, so that equal endpoints are
/// taken in the same order by all VMs.
const RANK_COST: f64 = 0.010;

/// Assumed round trip to another region before one was measured, in seconds.
const FAR_ROUND_TRIP: f64 = 0.080;

/// Time in which the difference between a load report and the mean of the
/// reports fades, in seconds; about that of a few requests.
const REPORT_FADE: f64 = 0.7;

/// Weight of one load report in their mean.
const REPORT_WEIGHT: f64 = 0.1;

/// Time in which the memory of failures and slowness fades by half, in
/// seconds. Longer keeps endpoints out that have recovered.
const FADE_HALF: f64 = 4.0;

/// Weight of one outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.25;

/// Time that a failure costs a request that may be sent again, in seconds.
const FAILURE_COST_IDEMPOTENT: f64 = 0.8;

/// Time that a failure costs a request that is lost with it, in seconds.
const FAILURE_COST_NON_IDEMPOTENT: f64 = 4.0;

/// Exponent with which one latency changes an endpoint's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// Range of an endpoint's slowness.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.7..=30.0;

/// Step of a latency quantile for one sample, in parts of its value.
const QUANTILE_STEP: f64 = 0.05;

/// Quantile of first requests for an object that counts as the time of one.
/// Some of them meet an object that other VMs sent, and are fast.
const FIRST_QUANTILE: f64 = 0.75;

/// Quantile of repeated requests that counts as the time of one. Some of them
/// meet an endpoint that has forgotten the object, and are slow.
const REPEAT_QUANTILE: f64 = 0.4;

/// What it costs to have another endpoint handle an object that it does not
/// remember, in parts of the time that a repeat saves. The endpoint forgets
/// another object for it, whose next request is slow.
const DISPLACEMENT: f64 = 0.6;

/// Times of a first request for an object and of a repeated one, in parts of
/// the target latency, before they are measured.
const FIRST_GUESS: f64 = 1.2;
const REPEAT_GUESS: f64 = 0.5;

/// Part of the time left that a guess may take.
const GUESS_USED: f64 = 0.5;

/// How long an endpoint is assumed to remember an object.
const OBJECT_MEMORY: Duration = Duration::from_secs(20);

/// Objects that are remembered at most, to bound memory.
const MOST_OBJECTS: usize = 20_000;

/// First rest of an endpoint that cannot be reached, and the longest.
const REST_FIRST: Duration = Duration::from_millis(250);
const REST_LONGEST: Duration = Duration::from_secs(2);

/// Requests that an endpoint is assumed to hold, in multiples of its slots,
/// before it refuses one.
const QUEUE_GUESS: f64 = 4.0;

/// Part of the target latency that a less urgent request may wait for a slot
/// while more urgent requests use the same service.
const LESS_URGENT_WAIT: f64 = 0.5;

/// How long a more urgent request keeps the less urgent ones back.
const URGENT_MEMORY: Duration = Duration::from_secs(2);

/// Part of the time left that a request may be expected to take.
const TIME_USED: f64 = 0.95;

/// Shortest and longest time after which a refused caller should come back.
const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));

/// Length in bytes of a body that stays in the caller's region more often than
/// others do, because links between regions are thin.
const LARGE_BODY: u64 = 16 * 1024;

/// Large bodies that stay in a region, in multiples of its even part. With more
/// of them its endpoints refuse, and the bodies cross the link after all.
const LARGE_BODIES_KEPT: f64 = 2.0;

/// Part of the shift cap that requests may use which leave their region for
/// want of a free slot. The rest covers homes that move.
const SPILL_USED: f64 = 0.5;

/// Requests that leave a region before one takes its object's home with it,
/// which moves all later requests for the object.
const LEAVES_FOR_MOVE: u64 = 4;

/// Period over which a shift of requests between regions is limited.
const SPILL_PERIOD: Duration = Duration::from_secs(2);

/// Requests that may leave a region beyond the cap.
const SPILL_ALLOWANCE: f64 = 3.0;

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
    homes: Homes,
    /// Round trips to other regions in seconds.
    round_trips: HashMap<RegionName, f64>,
}

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Hash of the object, or any number for requests without one.
    pub object: u64,
    /// An endpoint that handled the object recently is faster.
    pub sticky: bool,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Regions in which it may run; empty allows all. All lists bind.
    pub homes: [&'a [RegionName]; 2],
    /// Endpoints that it was sent to already.
    pub tried: &'a [EndpointKey],
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Time within which an answer is of full use.
    pub target_latency: Duration,
    /// Time until the caller gives up.
    pub time_left: Duration,
    /// Length of its body, as far as known.
    pub body_bytes: u64,
}

impl Ask<'_> {
    /// The request may run in the region.
    fn allows(&self, region: &RegionName) -> bool {
        let mut lists = self.homes.iter();
        lists.all(|homes| homes.is_empty() || homes.contains(region))
    }
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// Send it.
    Send(Target),
    /// Refuse it.
    Refuse(NoPick),
}

/// An endpoint that was picked for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Which start of which endpoint.
    pub key: EndpointKey,
    /// Its address.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// When the answer is expected.
    pub expected: Duration,
    /// Requests that it holds, as far as known.
    pub load: f64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// It is assumed to remember the object.
    pub repeat: bool,
    /// Place in the ranking of the endpoints for the object, from 0.
    pub rank: usize,
    /// Age of its last load report.
    pub report_age: Option<Duration>,
}

/// Why no endpoint was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPick {
    /// No endpoint of the service may take the request.
    NoEndpoint,
    /// No endpoint would answer in time. A caller may come back after the time.
    Busy(Duration),
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It was answered.
    Answered {
        /// Time from sending to the answer.
        latency: Duration,
        /// The answer tells that the work failed.
        failed: bool,
    },
    /// The endpoint said that it did not run the request.
    Refused,
    /// Another endpoint has the address.
    Mismatched,
    /// No connection could be made.
    Unreachable,
    /// The connection failed after the request was sent.
    Lost,
    /// No answer came in time.
    Silent,
    /// The caller left, or another attempt was answered first.
    Cancelled,
}

/// Requests that an endpoint reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it runs and that wait there.
    pub requests: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
}

#[derive(Debug)]
struct ServiceState {
    endpoints: IndexMap<EndpointKey, EndpointState>,
    split: RegionSplit,
    budget: RetryBudget,
    spill: SpillLimit,
    /// Requests that left the region of their object's home.
    left: u64,
    /// Time in seconds of a first request for an object at an endpoint.
    first: Option<f64>,
    /// Time in seconds of a repeated one.
    repeat: Option<f64>,
    /// Most urgent rank seen lately, and when.
    urgent: Option<(u32, Instant)>,
}

#[derive(Debug)]
struct EndpointState {
    endpoint: Endpoint,
    hash: u64,
    region: RegionName,
    /// Requests of this VM.
    in_flight: u32,
    /// Requests of other VMs at the last report.
    others: f64,
    /// Requests of other VMs in the mean of the reports.
    others_mean: f64,
    reported_at: Option<Instant>,
    /// Requests that it holds at most, learned from its refusals.
    capacity: f64,
    /// Share of failures, at `faded_at`.
    failures: f64,
    /// Time that it takes in multiples of other endpoints', at `faded_at`.
    slowness: f64,
    faded_at: Instant,
    rest: Option<Rest>,
    /// Another endpoint answered at its address.
    mismatched: bool,
    cold_until: Option<Instant>,
    /// `None` when this VM may not send to it while it is cold.
    cold: Option<ColdLimit>,
}

/// An endpoint that cannot be reached gets one request at a time, after a rest.
#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Instant,
    length: Duration,
    trial: bool,
}

#[derive(Clone, Copy, Debug)]
struct Choice {
    index: usize,
    rank: usize,
    wait: f64,
    cost: f64,
    repeat: bool,
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
            homes: Homes::default(),
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
    pub fn connected(&mut self, region: &RegionName, time: Duration) {
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
    pub fn try_repeat(&mut self, service: &ServiceName, now: Instant) -> bool {
        let vms = self.vms.len();
        self.services
            .get_mut(service)
            .is_some_and(|state| state.budget.try_take(now, vms))
    }

    /// Picks an endpoint and counts the request there, or refuses. Each pick
    /// must be ended by [`Balancer::finish`].
    pub fn pick(&mut self, ask: &Ask<'_>, now: Instant) -> Pick {
        let Some(service) = self.services.get(ask.service) else {
            return Pick::Refuse(NoPick::NoEndpoint);
        };
        let order = self.order(service, ask, now);
        if order.is_empty() {
            return Pick::Refuse(NoPick::NoEndpoint);
        }
        let first = self.best(service, ask, &order[..1], 0, now);
        let choice = first
            .filter(|choice| service.permits(ask, choice, now))
            .or_else(|| self.elsewhere(service, ask, &order, now));
        // A home that cannot be reached is no matter of free slots.
        let home = &service.endpoints[order[0]];
        let leaves = home.is_open(now)
            && choice.is_some_and(|choice| service.endpoints[choice.index].region != home.region);
        let spill = spill_config(&self.cfg);
        let time_left = ask.time_left.as_secs_f64() * TIME_USED;
        let mut moves = !leaves;
        let choice = choice.and_then(|choice| {
            let service = self.services.get_mut(ask.service)?;
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
            Some(choice) => Pick::Send(self.begin(ask, choice, moves, now)),
            None => {
                let wait = first.map_or(0.0, |choice| choice.wait);
                Pick::Refuse(NoPick::Busy(come_back(wait, ask.object)))
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
    pub fn heard_homes(&mut self, homes: Vec<Home>, now: Instant) {
        for home in homes {
            self.homes.heard(home, now);
        }
    }

    /// Homes of objects that are to be told to other VMs.
    pub fn homes(&mut self) -> &mut Homes {
        &mut self.homes
    }

    /// Endpoints by service with what is believed of them, for a dump.
    pub fn beliefs(&self, now: Instant) -> impl Iterator<Item = Belief<'_>> {
        self.services.values().flat_map(move |service| {
            service.endpoints.values().map(move |state| Belief {
                endpoint: &state.endpoint,
                in_flight: state.in_flight,
                load: state.load(now),
                failures: state.faded(state.failures, 0.0, now),
                slowness: state.faded(state.slowness, 1.0, now),
                resting: state.rest.is_some_and(|rest| now < rest.until),
                cold: state.is_cold(now),
            })
        })
    }

    /// Indexes of the endpoints that may take the request, best first.
    fn order(&self, service: &ServiceState, ask: &Ask<'_>, now: Instant) -> Vec<usize> {
        let region = self.region_of(service, ask);
        let mut near = Vec::with_capacity(service.endpoints.len());
        let mut far = Vec::new();
        for (index, state) in service.endpoints.values().enumerate() {
            if !self.may_take(state, ask) {
                continue;
            }
            let entry = (std::cmp::Reverse(score(ask.object, state.hash)), index);
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
        if ask.sticky
            && let Some(place) = self.home(service, ask, &order, now)
        {
            order[..=place].rotate_right(1);
        }
        order
    }

    /// The region that new objects go to.
    fn region_of<'a>(&'a self, service: &'a ServiceState, ask: &Ask<'_>) -> &'a RegionName {
        let kept = if ask.body_bytes >= LARGE_BODY {
            LARGE_BODIES_KEPT
        } else {
            1.0
        };
        let region = service.split.region(&self.cfg.region, ask.object, kept);
        region.unwrap_or(&self.cfg.region)
    }

    /// An endpoint for a request whose home, the first of `order`, cannot take
    /// it in time, or not at all.
    fn elsewhere(
        &self,
        service: &ServiceState,
        ask: &Ask<'_>,
        order: &[usize],
        now: Instant,
    ) -> Option<Choice> {
        let (home, rest) = order.split_first()?;
        let home = &service.endpoints[*home];
        if !home.is_open(now) {
            let choice = self.best(service, ask, rest, 1, now);
            return choice.filter(|choice| service.permits(ask, choice, now));
        }
        // Elsewhere the object pushes others out, so it goes there only where
        // it does not wait as well.
        let fits = |choice: &Choice| choice.wait <= 0.0 && service.permits(ask, choice, now);
        let (same, other): (Vec<usize>, Vec<usize>) = rest
            .iter()
            .partition(|index| service.endpoints[**index].region == home.region);
        self.best(service, ask, &same, 1, now)
            .filter(fits)
            .or_else(|| self.best(service, ask, &other, 1, now).filter(fits))
    }

    /// The place in the ranking of the endpoint that handles the object, or
    /// that a new object should go to.
    fn home(
        &self,
        service: &ServiceState,
        ask: &Ask<'_>,
        order: &[usize],
        now: Instant,
    ) -> Option<usize> {
        let state = |place: usize| &service.endpoints[order[place]];
        if let Some(home) = self.homes.get(self.home_key(service, ask))
            && let Some(place) = (0..order.len()).find(|place| state(*place).hash == home)
        {
            return Some(place);
        }
        let region = order
            .first()
            .map(|index| &service.endpoints[*index].region)?;
        let burden = |place: usize| {
            let state = state(place);
            let objects = f64::from(self.homes.count(state.hash)) + state.load(now);
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
    fn home_key(&self, service: &ServiceState, ask: &Ask<'_>) -> u64 {
        let mut endpoints = service.endpoints.values();
        let region = self
            .homes
            .get(ask.object)
            .and_then(|home| endpoints.find(|state| state.hash == home))
            .map_or_else(|| self.region_of(service, ask), |state| &state.region);
        if ask.allows(region) {
            return ask.object;
        }
        let bound = ask.homes.iter().flat_map(|homes| homes.iter());
        bound.fold(ask.object, |key, region| {
            score(key, endpoint_hash(region.as_str()))
        })
    }

    fn may_take(&self, state: &EndpointState, ask: &Ask<'_>) -> bool {
        !state.endpoint.draining
            && !state.mismatched
            && !self.evacuated.contains(&state.endpoint.failure_domain)
            && ask.allows(&state.region)
            && !ask.tried.contains(&state.endpoint.key)
    }

    fn best(
        &self,
        service: &ServiceState,
        ask: &Ask<'_>,
        order: &[usize],
        first_rank: usize,
        now: Instant,
    ) -> Option<Choice> {
        order
            .iter()
            .enumerate()
            .filter_map(|(rank, index)| self.choice(service, ask, *index, first_rank + rank, now))
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn choice(
        &self,
        service: &ServiceState,
        ask: &Ask<'_>,
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
        let repeat = ask.sticky && self.remembers(ask.object, state.hash, now);
        let slowness = state.faded(state.slowness, 1.0, now);
        let slots = f64::from(state.endpoint.slots);
        let mean = service.repeat_time(ask).min(service.first_time(ask));
        let wait = (load + 1.0 - slots).max(0.0) / slots * mean * slowness;
        let saved = service.first_time(ask) - service.repeat_time(ask);
        let work = if repeat || !ask.sticky {
            service.repeat_time(ask)
        } else if rank == 0 {
            service.first_time(ask)
        } else {
            service.first_time(ask) + saved * DISPLACEMENT
        };
        let cold = if state.is_cold(now) { 2.0 } else { 1.0 };
        let failures = state.faded(state.failures, 0.0, now);
        let failure_cost = if ask.idempotent {
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

    /// Counts a request at its endpoint. One that `moves` its object makes the
    /// endpoint its home.
    fn begin(&mut self, ask: &Ask<'_>, choice: Choice, moves: bool, now: Instant) -> Target {
        let round_trip = |region: &RegionName| self.round_trip(region);
        let service = &self.services[ask.service];
        let state = &service.endpoints[choice.index];
        let hash = state.hash;
        let target = Target {
            service: ask.service.clone(),
            key: state.endpoint.key.clone(),
            address: state.endpoint.address,
            region: state.region.clone(),
            expected: Duration::from_secs_f64(
                (choice.cost - choice.rank as f64 * RANK_COST).clamp(0.0, 60.0),
            )
            .max(Duration::from_secs_f64(round_trip(&state.region))),
            load: state.load(now),
            slots: state.endpoint.slots,
            repeat: choice.repeat,
            rank: choice.rank,
            report_age: state
                .reported_at
                .map(|at| now.saturating_duration_since(at)),
        };
        if ask.sticky && ask.tried.is_empty() && moves {
            let key = self.home_key(&self.services[ask.service], ask);
            self.homes.met(key, hash, now);
        }
        if let Some(state) = self
            .services
            .get_mut(ask.service)
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
                match cold_senders(&key.id, &self.cfg.vm, &self.vms) {
                    Some(senders) if state.cold.is_none() => {
                        state.cold = Some(ColdLimit::new(rate, senders, now));
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
pub struct Belief<'a> {
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
    pub resting: bool,
    /// It has just started.
    pub cold: bool,
}

impl ServiceState {
    fn new(cfg: &BalancerConfig, now: Instant) -> Self {
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

    fn first_time(&self, ask: &Ask<'_>) -> f64 {
        let guess = guess(ask, FIRST_GUESS);
        self.first.unwrap_or(guess).max(self.repeat_time(ask))
    }

    fn repeat_time(&self, ask: &Ask<'_>) -> f64 {
        let guess = guess(ask, REPEAT_GUESS);
        self.repeat.unwrap_or(guess)
    }

    fn learn(&mut self, target: &Target, latency: Duration) {
        let slots = f64::from(target.slots);
        if target.load + 1.0 > slots {
            // The time holds a wait for a slot.
            return;
        }
        let (quantile, part) = if target.repeat {
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

    fn note_priority(&mut self, priority: u32, now: Instant) {
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
    fn permits(&self, ask: &Ask<'_>, choice: &Choice, now: Instant) -> bool {
        if choice.cost > ask.time_left.as_secs_f64() * TIME_USED {
            return false;
        }
        let urgent = self.urgent.is_some_and(|(urgent, at)| {
            urgent < ask.priority && now.saturating_duration_since(at) <= URGENT_MEMORY
        });
        !urgent || choice.wait <= ask.target_latency.as_secs_f64() * LESS_URGENT_WAIT
    }

    fn slots_in(&self, region: &RegionName, evacuated: &HashSet<FailureDomainName>) -> f64 {
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

impl EndpointState {
    fn new(endpoint: &Endpoint, region: RegionName, now: Instant) -> Self {
        Self {
            endpoint: endpoint.clone(),
            hash: endpoint_hash(&endpoint.key.id),
            region,
            in_flight: 0,
            others: 0.0,
            others_mean: 0.0,
            reported_at: None,
            capacity: f64::from(endpoint.slots) * QUEUE_GUESS,
            failures: 0.0,
            slowness: 1.0,
            faded_at: now,
            rest: None,
            mismatched: false,
            cold_until: None,
            cold: None,
        }
    }

    /// The endpoint is cold for at least `time` from now.
    fn warm_up(&mut self, time: Duration, now: Instant) {
        if time > Duration::ZERO {
            self.cold_until = self.cold_until.max(Some(now + time));
        }
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Requests of all VMs, as far as known.
    fn load(&self, now: Instant) -> f64 {
        let age = self.reported_at.map_or(f64::INFINITY, |at| {
            now.saturating_duration_since(at).as_secs_f64()
        });
        let recent = (self.others - self.others_mean) * (-age / REPORT_FADE).exp();
        f64::from(self.in_flight) + (self.others_mean + recent).max(0.0)
    }

    fn is_open(&self, now: Instant) -> bool {
        if self.rest.is_some_and(|rest| rest.trial || now < rest.until) {
            return false;
        }
        if !self.is_cold(now) {
            return true;
        }
        self.cold
            .clone()
            .is_some_and(|mut limit| limit.has_token(now))
    }

    fn begin(&mut self, now: Instant) {
        self.in_flight += 1;
        if self.is_cold(now)
            && let Some(limit) = &mut self.cold
        {
            limit.try_take(now);
        }
        if let Some(rest) = &mut self.rest {
            rest.trial = true;
        }
    }

    fn note_report(&mut self, report: LoadReport, now: Instant) {
        let requests = f64::from(report.requests);
        self.others = (requests - f64::from(self.in_flight)).max(0.0);
        self.others_mean += (self.others - self.others_mean) * REPORT_WEIGHT;
        self.reported_at = Some(now);
        if report.slots > 0 {
            self.endpoint.slots = report.slots;
        }
    }

    fn note_outcome(
        &mut self,
        target: &Target,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Duration> {
        match outcome {
            Outcome::Answered { latency, failed } => {
                self.rest = None;
                self.note_failure(failed, now);
                self.note_latency(target, latency, now);
                self.capacity =
                    (self.capacity + 0.1).min(f64::from(self.endpoint.slots) * QUEUE_GUESS);
            }
            Outcome::Refused => self.note_refusal(now),
            Outcome::Mismatched => self.mismatched = true,
            Outcome::Unreachable => return Some(self.begin_rest(now)),
            Outcome::Lost => {
                self.note_failure(true, now);
                return self.rest.is_some().then(|| self.begin_rest(now));
            }
            Outcome::Silent => {
                self.note_failure(true, now);
                self.note_latency(target, target.expected.saturating_mul(4), now);
                return self.rest.is_some().then(|| self.begin_rest(now));
            }
            Outcome::Cancelled => {
                if let Some(rest) = &mut self.rest {
                    rest.trial = false;
                }
            }
        }
        None
    }

    /// The endpoint refused because it is full, or fails to take work although
    /// it is not.
    fn note_refusal(&mut self, now: Instant) {
        self.rest = None;
        let load = self.load(now) + 1.0;
        let slots = f64::from(self.endpoint.slots);
        if load > slots {
            self.capacity = load.max(slots);
        } else {
            self.note_failure(true, now);
        }
    }

    fn note_failure(&mut self, failed: bool, now: Instant) {
        self.fade(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures += (sample - self.failures) * FAILURE_WEIGHT;
    }

    fn note_latency(&mut self, target: &Target, latency: Duration, now: Instant) {
        self.fade(now);
        let expected = target.expected.as_secs_f64().max(0.001);
        let ratio = latency.as_secs_f64() / expected;
        let slowness = self.slowness * ratio.clamp(0.2, 20.0).powf(SLOWNESS_WEIGHT);
        self.slowness = slowness.clamp(*SLOWNESS.start(), *SLOWNESS.end());
    }

    fn begin_rest(&mut self, now: Instant) -> Duration {
        let length = match self.rest {
            // Requests that were sent together fail together.
            Some(rest) if !rest.trial => rest.length,
            Some(rest) => (rest.length * 2).min(REST_LONGEST),
            None => REST_FIRST,
        };
        let until = now + length;
        self.rest = Some(Rest {
            until,
            length,
            trial: false,
        });
        length
    }

    fn fade(&mut self, now: Instant) {
        self.failures = self.faded(self.failures, 0.0, now);
        self.slowness = self.faded(self.slowness, 1.0, now);
        self.faded_at = self.faded_at.max(now);
    }

    /// `value` as it has come closer to `rest` since `faded_at`.
    fn faded(&self, value: f64, rest: f64, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.faded_at).as_secs_f64();
        rest + (value - rest) * 0.5_f64.powf(elapsed / FADE_HALF)
    }
}

fn spill_config(cfg: &BalancerConfig) -> SpillConfig {
    SpillConfig {
        allowance: SPILL_ALLOWANCE,
        ..SpillConfig::new(cfg.shift_cap * SPILL_USED, SPILL_PERIOD)
    }
}

/// The time of a request before any was measured. A guess must not be what a
/// request is refused for.
fn guess(ask: &Ask<'_>, part: f64) -> f64 {
    let most = ask.time_left.as_secs_f64() * GUESS_USED;
    (ask.target_latency.as_secs_f64() * part).min(most)
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
    let spread = shortest.mul_f64(unit(score(spread, 1)));
    (wait + shortest / 2 + spread).min(longest)
}
