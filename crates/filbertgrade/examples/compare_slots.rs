//! Compares three ways to find a free slot of a backend server.
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

/// Rates of the teams in `examples/vandeputte.toml`, as weights.
const TEAMS: [f64; 8] = [300.0, 240.0, 120.0, 90.0, 60.0, 40.0, 30.0, 20.0];
const ENDPOINTS: usize = 6;
const SLOTS: usize = 3;
const VMS: usize = 10;
/// VMs with callers.
const BUSY_VMS: usize = 3;
const SHORTEST_RUN: Duration = Duration::from_millis(20);
const LONGEST_RUN: Duration = Duration::from_millis(80);
/// One-way latency inside a region.
const LATENCY: Duration = Duration::from_micros(500);
const DEADLINE: Duration = Duration::from_millis(500);
const DURATION: Duration = Duration::from_secs(60);
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.3];
const EXPIRY_PERIOD: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Scheme {
    TwoChoices,
    StaticSplit,
    Book,
}

struct Request {
    team: usize,
    vm: usize,
    arrived: Instant,
    run: Duration,
    /// Endpoints that were full.
    avoid: Vec<usize>,
    permit: Option<PermitId>,
    reached: Option<Instant>,
}

enum Event {
    Arrival(usize),
    /// The owner of the slot book gets the request for a slot.
    Ask(usize),
    /// The request is at an endpoint.
    Reach(usize, usize),
    /// The request's VM hears that the endpoint was full.
    Shed(usize, usize),
    Done(usize, usize),
    Released(PermitId),
    Expire,
}

struct World {
    scheme: Scheme,
    rng: StdRng,
    requests: Vec<Request>,
    events: BTreeMap<(Instant, u64), Event>,
    next: u64,
    /// Requests that run on each endpoint.
    busy: [usize; ENDPOINTS],
    /// What each VM has sent to each endpoint.
    view: [[usize; ENDPOINTS]; VMS],
    /// Free slots that each VM owns, by endpoint.
    owned: [VecDeque<usize>; VMS],
    queues: [VecDeque<usize>; VMS],
    book: SlotPool,
    teams: Vec<TeamName>,
    owner: VmName,
    tickets: BTreeMap<u64, usize>,
    full: u64,
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
            ("slot_book", Scheme::Book),
        ] {
            let report = World::new(scheme, seed, load)?.run();
            println!(
                "{}",
                serde_json::json!({ "seed": seed, "load": load, "scheme": name, "result": report })
            );
        }
    }
    Ok(())
}

impl World {
    fn new(scheme: Scheme, seed: u64, load: f64) -> Result<Self, NameError> {
        let start = Instant::now();
        let mut book = SlotPool::new(1, SlotConfig::default());
        for n in 0..ENDPOINTS {
            let name = EndpointName::try_from(n.to_string().as_str())?;
            book.set_endpoint(start, name, SLOTS as u32, Temperature::Warm);
        }
        let mut owned: [VecDeque<usize>; VMS] = Default::default();
        for slot in 0..ENDPOINTS * SLOTS {
            owned[slot % VMS].push_back(slot % ENDPOINTS);
        }
        let teams = (0..TEAMS.len()).map(|n| TeamName::try_from(format!("team-{n}").as_str()));
        let mut world = World {
            scheme,
            rng: StdRng::seed_from_u64(seed),
            requests: Vec::new(),
            events: BTreeMap::new(),
            next: 0,
            busy: [0; ENDPOINTS],
            view: [[0; ENDPOINTS]; VMS],
            owned,
            queues: Default::default(),
            book,
            teams: teams.collect::<Result<_, _>>()?,
            owner: VmName::try_from("vm-0")?,
            tickets: BTreeMap::new(),
            full: 0,
        };
        world.plan_arrivals(start, load);
        Ok(world)
    }

    /// Plans the same arrivals for every scheme, since it draws first.
    fn plan_arrivals(&mut self, start: Instant, load: f64) {
        let mean = (SHORTEST_RUN + LONGEST_RUN).as_secs_f64() / 2.0;
        let capacity = (ENDPOINTS * SLOTS) as f64 / mean;
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
                let run = self.rng.random_range(SHORTEST_RUN..LONGEST_RUN);
                let vm = self.rng.random_range(0..BUSY_VMS);
                self.requests.push(Request {
                    team,
                    vm,
                    arrived: start + at,
                    run,
                    avoid: Vec::new(),
                    permit: None,
                    reached: None,
                });
                self.plan(start + at, Event::Arrival(self.requests.len() - 1));
            }
        }
        let mut at = start;
        while at < start + DURATION + 2 * DEADLINE {
            at += EXPIRY_PERIOD;
            self.plan(at, Event::Expire);
        }
        // No request runs for as long as a permit's lease of 2 s, so none is renewed.
    }

    fn plan(&mut self, at: Instant, event: Event) {
        self.events.insert((at, self.next), event);
        self.next += 1;
    }

    fn run(mut self) -> serde_json::Value {
        while let Some(((now, _), event)) = self.events.pop_first() {
            match event {
                Event::Arrival(id) => self.arrive(now, id),
                Event::Ask(id) => self.ask(now, id),
                Event::Reach(id, endpoint) => self.reach(now, id, endpoint),
                Event::Shed(id, endpoint) => {
                    let request = &mut self.requests[id];
                    request.avoid.push(endpoint);
                    self.view[request.vm][endpoint] -= 1;
                    self.choose(now, id);
                }
                Event::Done(id, endpoint) => self.done(now, id, endpoint),
                Event::Released(permit) => {
                    let granted = self.book.release(now, permit);
                    self.take_grants(now, granted);
                }
                Event::Expire => {
                    let expired = self.book.expire(now);
                    self.take_grants(now, expired.granted);
                }
            }
        }
        self.report()
    }

    fn arrive(&mut self, now: Instant, id: usize) {
        let vm = self.requests[id].vm;
        match self.scheme {
            Scheme::TwoChoices => self.choose(now, id),
            Scheme::StaticSplit => {
                self.queues[vm].push_back(id);
                self.serve_queue(now, vm);
            }
            Scheme::Book => self.plan(now + LATENCY, Event::Ask(id)),
        }
    }

    /// Sends to the endpoint of two random ones with fewer requests of this VM.
    fn choose(&mut self, now: Instant, id: usize) {
        let Request {
            vm, avoid, arrived, ..
        } = &self.requests[id];
        let vm = *vm;
        let open: Vec<usize> = (0..ENDPOINTS).filter(|e| !avoid.contains(e)).collect();
        if open.is_empty() || now >= *arrived + DEADLINE {
            return;
        }
        let first = open[self.rng.random_range(0..open.len())];
        let second = open[self.rng.random_range(0..open.len())];
        let view = &mut self.view[vm];
        let endpoint = if view[second] < view[first] {
            second
        } else {
            first
        };
        view[endpoint] += 1;
        self.plan(now + LATENCY, Event::Reach(id, endpoint));
    }

    /// Gives the slots that a VM owns to its waiting requests.
    fn serve_queue(&mut self, now: Instant, vm: usize) {
        while let Some(id) = self.queues[vm].front().copied() {
            if now < self.requests[id].arrived + DEADLINE {
                let Some(endpoint) = self.owned[vm].pop_front() else {
                    return;
                };
                self.plan(now + LATENCY, Event::Reach(id, endpoint));
            }
            self.queues[vm].pop_front();
        }
    }

    fn ask(&mut self, now: Instant, id: usize) {
        let request = &self.requests[id];
        let asked = SlotRequest {
            team: self.teams[request.team].clone(),
            holder: self.owner.clone(),
            origin: Origin::Local,
            deadline: request.arrived + DEADLINE,
            avoid: Vec::new(),
        };
        match self.book.acquire(now, asked) {
            AcquireOutcome::Granted(grant) => self.take_grant(now, id, &grant),
            AcquireOutcome::Queued(ticket) => {
                self.tickets.insert(ticket.get(), id);
            }
            AcquireOutcome::Refused(_) => {}
        }
    }

    fn take_grants(&mut self, now: Instant, granted: Vec<QueuedGrant>) {
        for late in granted {
            if let Some(id) = self.tickets.remove(&late.ticket.get()) {
                self.take_grant(now, id, &late.grant);
            }
        }
    }

    /// The permit goes to the VM, which sends the request to the endpoint.
    fn take_grant(&mut self, now: Instant, id: usize, grant: &Grant) {
        self.requests[id].permit = Some(grant.permit);
        let endpoint = grant.endpoint.as_str().parse().unwrap_or(0);
        self.plan(now + 2 * LATENCY, Event::Reach(id, endpoint));
    }

    fn reach(&mut self, now: Instant, id: usize, endpoint: usize) {
        if self.busy[endpoint] >= SLOTS {
            self.full += 1;
            self.plan(now + LATENCY, Event::Shed(id, endpoint));
            return;
        }
        self.busy[endpoint] += 1;
        let request = &mut self.requests[id];
        request.reached = Some(now);
        let done = now + request.run;
        self.plan(done, Event::Done(id, endpoint));
    }

    fn done(&mut self, now: Instant, id: usize, endpoint: usize) {
        self.busy[endpoint] -= 1;
        let Request { vm, permit, .. } = self.requests[id];
        match self.scheme {
            Scheme::TwoChoices => self.view[vm][endpoint] -= 1,
            Scheme::StaticSplit => {
                self.owned[vm].push_back(endpoint);
                self.serve_queue(now, vm);
            }
            // The answer goes to the VM, and the release from there to the owner.
            Scheme::Book => {
                if let Some(permit) = permit {
                    self.plan(now + 2 * LATENCY, Event::Released(permit));
                }
            }
        }
    }

    fn report(self) -> serde_json::Value {
        let mut waits: Vec<u128> = Vec::new();
        let mut by_team = vec![(0_u64, 0_u64); TEAMS.len()];
        for request in &self.requests {
            by_team[request.team].0 += 1;
            if let Some(reached) = request.reached {
                by_team[request.team].1 += 1;
                waits.push((reached - request.arrived).as_micros());
            }
        }
        waits.sort_unstable();
        let wait_ms = |q: f64| {
            let last = waits.len().saturating_sub(1);
            let us = waits.get((last as f64 * q) as usize);
            us.map_or(0.0, |us| *us as f64 / 1_000.0)
        };
        let served = by_team.iter().map(|(sent, ran)| *ran as f64 / *sent as f64);
        let worst = served
            .enumerate()
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .unwrap_or((0, 1.0));
        serde_json::json!({
            "requests": self.requests.len(),
            "served": waits.len(),
            "met_full_endpoint": self.full,
            "wait_ms": { "p50": wait_ms(0.5), "p99": wait_ms(0.99) },
            "worst_team": { "rate": TEAMS[worst.0], "served_fraction": worst.1 },
        })
    }
}
