//! Compares three schemes that find a free slot of a backend server: choosing
//! the less loaded of two random endpoints, a static split of the slots over
//! the VMs, and a slot pool with one owner.
//!
//! `cargo run --release -p filbertgrade --example compare_slots -- [--seed N]`
//!
//! Time and message delays are simulated in one thread: the endpoints of one
//! service in one region, and ten VMs, three of which have callers.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{EndpointName, NameError, TeamName, VmName};
use filbertgrade_coord::slots::{
    AcquireOutcome, Grant, Origin, PermitId, QueuedGrant, SlotConfig, SlotPool, SlotRequest,
    Temperature,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Rates of the teams in `examples/vandeputte.toml`, which are used as weights of the load.
const TEAMS: [f64; 8] = [300.0, 240.0, 120.0, 90.0, 60.0, 40.0, 30.0, 20.0];
const ENDPOINTS: usize = 6;
/// Slots of each endpoint.
const SLOTS: usize = 3;
const VMS: usize = 10;
/// Number of VMs with callers.
const VMS_WITH_CALLERS: usize = 3;
/// Minimum run time of a request on an endpoint.
const MIN_RUN_TIME: Duration = Duration::from_millis(20);
/// Maximum run time of a request on an endpoint.
const MAX_RUN_TIME: Duration = Duration::from_millis(80);
/// One-way latency inside a region.
const LATENCY: Duration = Duration::from_micros(500);
/// Time from the arrival of a request to its deadline.
const DEADLINE: Duration = Duration::from_millis(500);
/// Time in which requests arrive.
const DURATION: Duration = Duration::from_secs(60);
/// Offered load in each run, as a fraction of the capacity of all slots.
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.3];
/// Time between two calls of [`SlotPool::expire`].
const EXPIRY_PERIOD: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Scheme {
    /// Each VM picks two random endpoints and uses the one to which it has fewer requests.
    TwoChoices,
    /// Each VM owns a fixed set of slots.
    StaticSplit,
    /// One VM owns all slots in a [`SlotPool`] and grants permits to the others.
    SlotPool,
}

struct Request {
    team: usize,
    vm: usize,
    arrived: Instant,
    run_time: Duration,
    /// Endpoints that refused the request because they were full.
    avoid: Vec<usize>,
    permit: Option<PermitId>,
    /// When the request started to run on an endpoint.
    started: Option<Instant>,
}

/// An event of the simulation. Numbers are the index of the request and, where there are two, the
/// index of the endpoint.
enum Event {
    /// The request arrives at its VM.
    Arrival(usize),
    /// The owner of the slot pool receives the request for a slot.
    SlotRequest(usize),
    /// The request arrives at an endpoint.
    EndpointArrival(usize, usize),
    /// The request's VM receives the refusal of a full endpoint.
    Refused(usize, usize),
    /// The request ends on an endpoint.
    Done(usize, usize),
    /// The owner of the slot pool receives the release of a permit.
    Released(PermitId),
    /// The owner of the slot pool expires permits and waiting requests.
    Expire,
}

struct Simulation {
    scheme: Scheme,
    rng: StdRng,
    requests: Vec<Request>,
    /// By time, and then in the order in which they were scheduled.
    events: BTreeMap<(Instant, u64), Event>,
    next_event_id: u64,
    /// Number of requests that run on each endpoint.
    running: [usize; ENDPOINTS],
    /// Number of outstanding requests of each VM to each endpoint, for [`Scheme::TwoChoices`].
    outstanding: [[usize; ENDPOINTS]; VMS],
    /// The endpoint of each free slot that a VM owns, for [`Scheme::StaticSplit`].
    free_slots: [VecDeque<usize>; VMS],
    /// Requests that wait for a free slot of their VM, for [`Scheme::StaticSplit`].
    waiting: [VecDeque<usize>; VMS],
    slot_pool: SlotPool,
    teams: Vec<TeamName>,
    /// Owner of the slot pool.
    owner: VmName,
    /// The request that each ticket of the slot pool is for.
    tickets: BTreeMap<u64, usize>,
    /// Number of refusals by full endpoints.
    refused_when_full: u64,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let seed = match args.as_slice() {
        [] => 1,
        [flag, seed] if flag == "--seed" => seed.parse()?,
        _ => return Err("usage: compare_slots [--seed N]".into()),
    };
    for load in LOADS {
        for (name, scheme) in [
            ("two_random_choices", Scheme::TwoChoices),
            ("static_split", Scheme::StaticSplit),
            ("slot_book", Scheme::SlotPool),
        ] {
            let report = Simulation::new(scheme, seed, load)?.run();
            println!(
                "{}",
                serde_json::json!({ "seed": seed, "load": load, "scheme": name, "result": report })
            );
        }
    }
    Ok(())
}

impl Simulation {
    fn new(scheme: Scheme, seed: u64, load: f64) -> Result<Self, NameError> {
        let start = Instant::now();
        let mut slot_pool = SlotPool::new(1, SlotConfig::default());
        for n in 0..ENDPOINTS {
            let name = EndpointName::try_from(n.to_string().as_str())?;
            slot_pool.set_endpoint(start, name, SLOTS as u32, Temperature::Warm);
        }
        let mut free_slots: [VecDeque<usize>; VMS] = Default::default();
        for slot in 0..ENDPOINTS * SLOTS {
            free_slots[slot % VMS].push_back(slot % ENDPOINTS);
        }
        let teams = (0..TEAMS.len()).map(|n| TeamName::try_from(format!("team-{n}").as_str()));
        let mut simulation = Simulation {
            scheme,
            rng: StdRng::seed_from_u64(seed),
            requests: Vec::new(),
            events: BTreeMap::new(),
            next_event_id: 0,
            running: [0; ENDPOINTS],
            outstanding: [[0; ENDPOINTS]; VMS],
            free_slots,
            waiting: Default::default(),
            slot_pool,
            teams: teams.collect::<Result<_, _>>()?,
            owner: VmName::try_from("vm-0")?,
            tickets: BTreeMap::new(),
            refused_when_full: 0,
        };
        simulation.schedule_arrivals(start, load);
        Ok(simulation)
    }

    /// Schedules all requests and the calls of [`SlotPool::expire`]. This draws random numbers
    /// before the schemes do, so the arrivals are the same for every scheme.
    fn schedule_arrivals(&mut self, start: Instant, load: f64) {
        let mean_run_s = (MIN_RUN_TIME + MAX_RUN_TIME).as_secs_f64() / 2.0;
        let capacity = (ENDPOINTS * SLOTS) as f64 / mean_run_s;
        let total: f64 = TEAMS.iter().sum();
        for (team, weight) in TEAMS.iter().enumerate() {
            let rate = capacity * load * weight / total;
            let mut at = Duration::ZERO;
            loop {
                let unit: f64 = self.rng.random();
                at += Duration::from_secs_f64(-(1.0 - unit).ln() / rate);
                if at >= DURATION {
                    break;
                }
                let run_time = self.rng.random_range(MIN_RUN_TIME..MAX_RUN_TIME);
                let vm = self.rng.random_range(0..VMS_WITH_CALLERS);
                self.requests.push(Request {
                    team,
                    vm,
                    arrived: start + at,
                    run_time,
                    avoid: Vec::new(),
                    permit: None,
                    started: None,
                });
                self.schedule(start + at, Event::Arrival(self.requests.len() - 1));
            }
        }
        let mut at = start;
        while at < start + DURATION + 2 * DEADLINE {
            at += EXPIRY_PERIOD;
            self.schedule(at, Event::Expire);
        }
        // No request runs as long as the lease of a permit (2 s), so permits are never renewed.
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.events.insert((at, self.next_event_id), event);
        self.next_event_id += 1;
    }

    fn run(mut self) -> serde_json::Value {
        while let Some(((now, _), event)) = self.events.pop_first() {
            match event {
                Event::Arrival(id) => self.arrive(now, id),
                Event::SlotRequest(id) => self.request_slot(now, id),
                Event::EndpointArrival(id, endpoint) => self.arrive_at_endpoint(now, id, endpoint),
                Event::Refused(id, endpoint) => {
                    let request = &mut self.requests[id];
                    request.avoid.push(endpoint);
                    self.outstanding[request.vm][endpoint] -= 1;
                    self.send_to_less_loaded(now, id);
                }
                Event::Done(id, endpoint) => self.finish(now, id, endpoint),
                Event::Released(permit) => {
                    let granted = self.slot_pool.release(now, permit);
                    self.apply_grants(now, granted);
                }
                Event::Expire => {
                    let expired = self.slot_pool.expire(now);
                    self.apply_grants(now, expired.granted);
                }
            }
        }
        self.report()
    }

    /// Starts the search for a slot when a request arrives at its VM.
    fn arrive(&mut self, now: Instant, id: usize) {
        let vm = self.requests[id].vm;
        match self.scheme {
            Scheme::TwoChoices => self.send_to_less_loaded(now, id),
            Scheme::StaticSplit => {
                self.waiting[vm].push_back(id);
                self.serve_waiting(now, vm);
            }
            Scheme::SlotPool => self.schedule(now + LATENCY, Event::SlotRequest(id)),
        }
    }

    /// Picks two random endpoints among those that were not full, and sends the request to the one
    /// with fewer outstanding requests of this VM. Gives up after the deadline.
    fn send_to_less_loaded(&mut self, now: Instant, id: usize) {
        let Request {
            vm, avoid, arrived, ..
        } = &self.requests[id];
        let vm = *vm;
        let candidates: Vec<usize> = (0..ENDPOINTS).filter(|e| !avoid.contains(e)).collect();
        if candidates.is_empty() || now >= *arrived + DEADLINE {
            return;
        }
        let first = candidates[self.rng.random_range(0..candidates.len())];
        let second = candidates[self.rng.random_range(0..candidates.len())];
        let outstanding = &mut self.outstanding[vm];
        let endpoint = if outstanding[second] < outstanding[first] {
            second
        } else {
            first
        };
        outstanding[endpoint] += 1;
        self.schedule(now + LATENCY, Event::EndpointArrival(id, endpoint));
    }

    /// Assigns the free slots of a VM to its waiting requests, and drops requests after their
    /// deadline.
    fn serve_waiting(&mut self, now: Instant, vm: usize) {
        while let Some(id) = self.waiting[vm].front().copied() {
            if now < self.requests[id].arrived + DEADLINE {
                let Some(endpoint) = self.free_slots[vm].pop_front() else {
                    return;
                };
                self.schedule(now + LATENCY, Event::EndpointArrival(id, endpoint));
            }
            self.waiting[vm].pop_front();
        }
    }

    /// Requests a slot for a request from the slot pool.
    fn request_slot(&mut self, now: Instant, id: usize) {
        let request = &self.requests[id];
        let slot_request = SlotRequest {
            team: self.teams[request.team].clone(),
            holder: self.owner.clone(),
            origin: Origin::Local,
            deadline: request.arrived + DEADLINE,
            avoid: Vec::new(),
        };
        match self.slot_pool.acquire(now, slot_request) {
            AcquireOutcome::Granted(grant) => self.apply_grant(now, id, &grant),
            AcquireOutcome::Queued(ticket) => {
                self.tickets.insert(ticket.get(), id);
            }
            AcquireOutcome::Refused(_) => {}
        }
    }

    /// Applies grants to requests that waited in the queue of the slot pool.
    fn apply_grants(&mut self, now: Instant, granted: Vec<QueuedGrant>) {
        for queued in granted {
            if let Some(id) = self.tickets.remove(&queued.ticket.get()) {
                self.apply_grant(now, id, &queued.grant);
            }
        }
    }

    /// Stores the permit and schedules the arrival at the endpoint. This takes two latencies, as
    /// the permit first goes to the VM of the request.
    fn apply_grant(&mut self, now: Instant, id: usize, grant: &Grant) {
        self.requests[id].permit = Some(grant.permit);
        let endpoint = grant.endpoint.as_str().parse().unwrap_or(0);
        self.schedule(now + 2 * LATENCY, Event::EndpointArrival(id, endpoint));
    }

    /// Starts the request on an endpoint, or refuses it if the endpoint is full.
    fn arrive_at_endpoint(&mut self, now: Instant, id: usize, endpoint: usize) {
        if self.running[endpoint] >= SLOTS {
            self.refused_when_full += 1;
            self.schedule(now + LATENCY, Event::Refused(id, endpoint));
            return;
        }
        self.running[endpoint] += 1;
        let request = &mut self.requests[id];
        request.started = Some(now);
        let done = now + request.run_time;
        self.schedule(done, Event::Done(id, endpoint));
    }

    /// Frees the slot of a request that ends.
    fn finish(&mut self, now: Instant, id: usize, endpoint: usize) {
        self.running[endpoint] -= 1;
        let Request { vm, permit, .. } = self.requests[id];
        match self.scheme {
            Scheme::TwoChoices => self.outstanding[vm][endpoint] -= 1,
            Scheme::StaticSplit => {
                self.free_slots[vm].push_back(endpoint);
                self.serve_waiting(now, vm);
            }
            // The response goes to the VM, which then sends the release to the owner of the pool.
            Scheme::SlotPool => {
                if let Some(permit) = permit {
                    self.schedule(now + 2 * LATENCY, Event::Released(permit));
                }
            }
        }
    }

    fn report(self) -> serde_json::Value {
        let mut waits: Vec<u128> = Vec::new();
        // The numbers of sent and of served requests.
        let mut by_team = vec![(0_u64, 0_u64); TEAMS.len()];
        for request in &self.requests {
            by_team[request.team].0 += 1;
            if let Some(started) = request.started {
                by_team[request.team].1 += 1;
                waits.push((started - request.arrived).as_micros());
            }
        }
        waits.sort_unstable();
        let wait_ms = |q: f64| {
            let last = waits.len().saturating_sub(1);
            let us = waits.get((last as f64 * q) as usize);
            us.map_or(0.0, |us| *us as f64 / 1_000.0)
        };
        let served_fractions = by_team
            .iter()
            .map(|(sent, served)| *served as f64 / *sent as f64);
        let worst = served_fractions
            .enumerate()
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .unwrap_or((0, 1.0));
        serde_json::json!({
            "requests": self.requests.len(),
            "served": waits.len(),
            "met_full_endpoint": self.refused_when_full,
            "wait_ms": { "p50": wait_ms(0.5), "p99": wait_ms(0.99) },
            "worst_team": { "rate": TEAMS[worst.0], "served_fraction": worst.1 },
        })
    }
}
