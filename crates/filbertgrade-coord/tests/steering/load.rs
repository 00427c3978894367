//! Simulations of load. Endpoints with few slots and small object caches receive
//! requests that VMs place with the real balancer, in simulated time.

use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::VmName;
use filbertgrade_coord::steering::balancer::{Balancer, LoadReport, Outcome, Pick, Target};
use filbertgrade_coord::steering::endpoint::Endpoint;
use filbertgrade_coord::steering::placement::object_hash;
use indexmap::IndexMap;
use rstest::rstest;
use serde::Deserialize;

use crate::scene::{balancer, endpoint, pick_request, region, service, vm, with_endpoints};

/// A load and the result that it must reach, as described by its file. All times
/// are in seconds unless the name has another unit.
#[derive(Deserialize)]
struct Load {
    /// VMs and endpoints of each region.
    regions: Vec<Region>,
    /// Requests that an endpoint runs concurrently.
    slots: usize,
    /// Requests that an endpoint queues in addition; it refuses further ones.
    queue: usize,
    /// Objects that fit into the cache of an endpoint.
    #[serde(rename = "remembers")]
    cache_size: usize,
    /// Distinct objects that the callers in each region request.
    objects: u64,
    /// Requests a second from all regions together.
    rate: f64,
    /// Length of the simulation.
    seconds: f64,
    /// Only requests sent from this time on count in the result.
    #[serde(rename = "judged_from")]
    measured_from: f64,
    /// Running time of a request whose object is not in the cache.
    #[serde(rename = "first_ms")]
    miss_ms: u64,
    /// Running time of a request whose object is in the cache.
    #[serde(rename = "repeat_ms")]
    hit_ms: u64,
    target_ms: u64,
    timeout_ms: u64,
    /// A time in which the rate is higher.
    #[serde(default)]
    burst: Option<Burst>,
    /// Endpoints that take longer than the others.
    #[serde(default)]
    slow: Option<Slow>,
    /// Indexes of endpoints that cannot be reached.
    #[serde(default, rename = "lost")]
    unreachable: Vec<usize>,
    /// Minimum fraction of the requests that are answered within the target
    /// latency.
    in_target: f64,
    /// Minimum fraction of the requests that are answered before the timeout.
    answered: f64,
}

#[derive(Deserialize)]
struct Region {
    name: String,
    vms: usize,
    endpoints: usize,
}

#[derive(Deserialize)]
struct Burst {
    from: f64,
    to: f64,
    /// Factor by which the rate is multiplied.
    #[serde(rename = "times")]
    factor: f64,
}

#[derive(Deserialize)]
struct Slow {
    /// Number of slow endpoints, which are the first ones.
    count: usize,
    /// Factor by which their running times are multiplied.
    #[serde(rename = "times")]
    factor: u32,
}

struct SimulatedEndpoint {
    running: usize,
    queue: VecDeque<Request>,
    /// Objects in the cache, the most recently used last.
    cache: VecDeque<u64>,
    slow_factor: u32,
    unreachable: bool,
}

/// A request that was sent to an endpoint.
struct Request {
    /// Index of the VM that sent it.
    vm: usize,
    target: Target,
    object: u64,
    sent_at: Duration,
}

enum Event {
    /// A caller sends a request to a VM.
    Arrival,
    /// The endpoint with this index has finished the request.
    Completion(usize, Request),
    /// The VM receives a refusal or its connection attempt fails.
    Rejection(Request, Outcome),
    /// The VMs exchange affinities.
    AffinityExchange,
}

struct Simulation {
    load: Load,
    start: Instant,
    /// Index of each VM's region, and its balancer.
    vms: Vec<(usize, Balancer)>,
    endpoints: Vec<SimulatedEndpoint>,
    /// By time since the start; events at the same time keep their order.
    events: BTreeMap<(Duration, u64), Event>,
    events_scheduled: u64,
    random_state: u64,
    /// Requests that count in the result.
    measured: u32,
    in_target: u32,
    answered: u32,
    refused: u32,
}

impl Simulation {
    fn new(load: Load) -> Self {
        let start = Instant::now();
        let names: Vec<&str> = load.regions.iter().map(|r| r.name.as_str()).collect();
        let mut endpoints = Vec::new();
        for region in &load.regions {
            for n in 0..region.endpoints {
                let id = format!("{:03}-{}-{n}", endpoints.len(), region.name);
                endpoints.push(endpoint(
                    &id,
                    &region.name,
                    u32::try_from(load.slots).unwrap(),
                ));
            }
        }
        let mut vms = Vec::new();
        for (region_index, region) in load.regions.iter().enumerate() {
            for n in 0..region.vms {
                let name = format!("{}-{n}", region.name);
                let vm = with_endpoints(balancer(&name, &region.name, &names), &endpoints, start);
                vms.push((region_index, vm));
            }
        }
        let slow = load
            .slow
            .as_ref()
            .map_or((0, 1), |slow| (slow.count, slow.factor));
        let endpoints = (0..endpoints.len())
            .map(|n| SimulatedEndpoint {
                running: 0,
                queue: VecDeque::new(),
                cache: VecDeque::new(),
                slow_factor: if n < slow.0 { slow.1 } else { 1 },
                unreachable: load.unreachable.contains(&n),
            })
            .collect();
        let mut simulation = Self {
            load,
            start,
            vms,
            endpoints,
            events: BTreeMap::new(),
            events_scheduled: 0,
            random_state: 7,
            measured: 0,
            in_target: 0,
            answered: 0,
            refused: 0,
        };
        simulation.schedule(Duration::ZERO, Event::Arrival);
        simulation.schedule(Duration::ZERO, Event::AffinityExchange);
        simulation
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.events_scheduled += 1;
        self.events.insert((time, self.events_scheduled), event);
    }

    /// Returns a pseudorandom number in `0..1`, the same sequence in every run.
    fn random(&mut self) -> f64 {
        self.random_state = object_hash("random", &self.random_state.to_le_bytes());
        (self.random_state >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn run(&mut self) {
        while let Some(((time, _), event)) = self.events.pop_first() {
            match event {
                Event::Arrival => self.receive_request(time),
                Event::Completion(index, request) => self.complete(index, &request, time),
                Event::Rejection(request, outcome) => {
                    let now = self.start + time;
                    let vm = &mut self.vms[request.vm].1;
                    vm.finish(&request.target, request.object, outcome, None, now);
                }
                Event::AffinityExchange => self.exchange_affinities(time),
            }
        }
    }

    fn receive_request(&mut self, time: Duration) {
        if time.as_secs_f64() > self.load.seconds {
            return;
        }
        let seconds = time.as_secs_f64();
        let burst = self
            .load
            .burst
            .as_ref()
            .filter(|b| (b.from..b.to).contains(&seconds));
        let rate = self.load.rate * burst.map_or(1.0, |burst| burst.factor);
        let pause = -(1.0 - self.random()).ln() / rate;
        self.schedule(time + Duration::from_secs_f64(pause), Event::Arrival);
        let vm = (self.random() * self.vms.len() as f64) as usize;
        let region = self.vms[vm].0 as u64;
        let object = region * 1_000 + (self.random() * self.load.objects as f64) as u64;
        let object = object_hash("charts", &object.to_le_bytes());
        self.send(vm, object, time);
    }

    fn send(&mut self, vm: usize, object: u64, time: Duration) {
        let measured = time.as_secs_f64() >= self.load.measured_from;
        self.measured += u32::from(measured);
        let service = service();
        let now = self.start + time;
        let balancer = &mut self.vms[vm].1;
        balancer.count_request(&service, 1, now);
        let mut req = pick_request(&service, object);
        req.target_latency = Duration::from_millis(self.load.target_ms);
        req.time_left = Duration::from_millis(self.load.timeout_ms);
        let Pick::Send(target) = balancer.pick(&req, now) else {
            self.refused += u32::from(measured);
            return;
        };
        // Ids start with the index of the endpoint.
        let index: usize = target.key.id[..3].parse().unwrap();
        let request = Request {
            vm,
            target,
            object,
            sent_at: time,
        };
        let endpoint = &mut self.endpoints[index];
        let rejected_at = time + Duration::from_millis(5);
        if endpoint.unreachable {
            self.schedule(rejected_at, Event::Rejection(request, Outcome::Unreachable));
        } else if endpoint.running < self.load.slots {
            self.run_request(index, request, time);
        } else if endpoint.queue.len() < self.load.queue {
            endpoint.queue.push_back(request);
        } else {
            self.schedule(rejected_at, Event::Rejection(request, Outcome::Refused));
        }
    }

    fn run_request(&mut self, index: usize, request: Request, time: Duration) {
        let endpoint = &mut self.endpoints[index];
        endpoint.running += 1;
        let cached = endpoint.cache.iter().position(|o| *o == request.object);
        if let Some(position) = cached {
            endpoint.cache.remove(position);
        }
        endpoint.cache.push_back(request.object);
        if endpoint.cache.len() > self.load.cache_size {
            endpoint.cache.pop_front();
        }
        let running_time = if cached.is_some() {
            self.load.hit_ms
        } else {
            self.load.miss_ms
        };
        let running_time = Duration::from_millis(running_time) * endpoint.slow_factor;
        self.schedule(time + running_time, Event::Completion(index, request));
    }

    fn complete(&mut self, index: usize, request: &Request, time: Duration) {
        self.endpoints[index].running -= 1;
        let latency = time - request.sent_at;
        if request.sent_at.as_secs_f64() >= self.load.measured_from {
            self.in_target += u32::from(latency <= Duration::from_millis(self.load.target_ms));
            self.answered += u32::from(latency <= Duration::from_millis(self.load.timeout_ms));
        }
        let endpoint = &self.endpoints[index];
        let report = LoadReport {
            requests: u32::try_from(endpoint.running + endpoint.queue.len()).unwrap(),
            slots: u32::try_from(self.load.slots).unwrap(),
        };
        let outcome = Outcome::Responded {
            latency,
            failed: false,
        };
        let now = self.start + time;
        let vm = &mut self.vms[request.vm].1;
        vm.finish(&request.target, request.object, outcome, Some(report), now);
        if let Some(next) = self.endpoints[index].queue.pop_front() {
            self.run_request(index, next, time);
        }
    }

    /// Sends the pending affinity updates of each VM to all others, every 50 ms.
    fn exchange_affinities(&mut self, time: Duration) {
        let now = self.start + time;
        let updates: Vec<_> = self
            .vms
            .iter_mut()
            .map(|(_, vm)| vm.affinities().take_pending_updates(1_000))
            .collect();
        for (to, (_, vm)) in self.vms.iter_mut().enumerate() {
            for (_, affinities) in updates.iter().enumerate().filter(|(from, _)| *from != to) {
                vm.apply_affinities(affinities.clone(), now);
            }
        }
        if time.as_secs_f64() < self.load.seconds {
            self.schedule(time + Duration::from_millis(50), Event::AffinityExchange);
        }
    }
}

/// Guards against placement, queueing or refusals that serve fewer requests in
/// time than the load's file requires.
#[rstest]
fn load_is_served(#[files("tests/steering/loads/*.toml")] file: PathBuf) {
    let text = std::fs::read_to_string(&file).unwrap();
    let load: Load = toml::from_str(&text).unwrap();
    let (in_target, answered) = (load.in_target, load.answered);
    let mut simulation = Simulation::new(load);
    simulation.run();
    let fraction = |count: u32| f64::from(count) / f64::from(simulation.measured);
    println!(
        "{}: {} measured, {:.3} in target, {:.3} answered, {:.3} refused",
        file.file_stem().unwrap().to_string_lossy(),
        simulation.measured,
        fraction(simulation.in_target),
        fraction(simulation.answered),
        fraction(simulation.refused),
    );
    assert!(
        fraction(simulation.in_target) >= in_target,
        "{:.3} of the requests were answered within the target latency",
        fraction(simulation.in_target)
    );
    assert!(
        fraction(simulation.answered) >= answered,
        "{:.3} of the requests were answered before the timeout",
        fraction(simulation.answered)
    );
}

/// Guards against first requests that fill the queue of a region's only endpoint,
/// because no VM knows those of the others yet: many wait there, and the region's
/// requests move away together once the load is known. Replays the first half second
/// of a region with more callers than its endpoint has room for, while there is room
/// in other regions.
#[rstest]
#[case::few_vms(4)]
#[case::many_vms(60)]
fn first_requests_of_all_vms_leave_room_at_an_endpoint(#[case] vms: usize) {
    const SLOTS: u32 = 5;
    // Without a report, an endpoint is assumed to hold four requests for each slot.
    const CAPACITY: usize = 4 * SLOTS as usize;
    let now = Instant::now();
    let mut endpoints = vec![endpoint("near", "north", SLOTS)];
    endpoints.extend((0..4).map(|n| endpoint(&format!("far{n}"), "south", SLOTS)));
    let names: Vec<VmName> = (0..vms).map(|n| vm(&format!("vm-{n}"))).collect();
    let by_region = IndexMap::from([(region("north"), names)]);
    let mut at_near = 0;
    for number in 0..vms {
        let name = format!("vm-{number}");
        let balancer = balancer(&name, "north", &["north", "south"]);
        let mut balancer = with_endpoints(balancer, &endpoints, now);
        balancer.set_vms_by_region(by_region.clone(), now);
        for request in 0..30 {
            let object = object_hash(service().as_str(), &[number as u8, request]);
            if let Pick::Send(target) = balancer.pick(&pick_request(&service(), object), now) {
                at_near += usize::from(&*target.key.id == "near");
            }
        }
    }
    // One request of each VM is sent in any case.
    let allowed = CAPACITY.max(vms);
    assert!(at_near <= allowed, "{at_near} requests, allowed {allowed}");
    assert!(at_near >= vms, "{at_near} requests of {vms} VMs");
}

/// Guards against an endpoint that stays unused because its load is assumed for
/// longer than it is unknown: one response ends that, with a load report or not.
#[rstest]
#[case::with_report(Some(LoadReport { requests: 1, slots: 5 }))]
#[case::without_report(None)]
fn assumed_load_ends_with_the_first_response(#[case] report: Option<LoadReport>) {
    let now = Instant::now();
    let endpoints = [endpoint("near", "north", 5)];
    let mut balancer = with_endpoints(balancer("vm-0", "north", &["north"]), &endpoints, now);
    let names = (0..60).map(|n| vm(&format!("vm-{n}"))).collect();
    balancer.set_vms_by_region(IndexMap::from([(region("north"), names)]), now);
    let service = service();
    let Pick::Send(first) = balancer.pick(&pick_request(&service, 1), now) else {
        panic!("the first request is not sent");
    };
    let second = balancer.pick(&pick_request(&service, 2), now);
    assert!(matches!(second, Pick::Refuse(_)), "{second:?}");
    let outcome = Outcome::Responded {
        latency: Duration::from_millis(200),
        failed: false,
    };
    balancer.finish(&first, 1, outcome, report, now);
    for object in 2..7 {
        let pick = balancer.pick(&pick_request(&service, object), now);
        assert!(matches!(pick, Pick::Send(_)), "{pick:?}");
    }
}

/// Guards against an endpoint that stays unused in a large region: until its first
/// response, a few requests of this VM elsewhere would stand for those of many others.
#[test]
fn load_is_assumed_only_while_an_endpoint_is_new() {
    let start = Instant::now();
    let endpoints = [endpoint("busy", "north", 5), endpoint("unused", "north", 5)];
    let mut balancer = with_endpoints(balancer("vm-0", "north", &["north"]), &endpoints, start);
    let names = (0..60).map(|n| vm(&format!("vm-{n}"))).collect();
    balancer.set_vms_by_region(IndexMap::from([(region("north"), names)]), start);
    let sent = |balancer: &mut Balancer, now| {
        let sends = |object| {
            let pick = balancer.pick(&pick_request(&service(), object), now);
            matches!(pick, Pick::Send(_))
        };
        (0..6).map(sends).filter(|sent| *sent).count()
    };
    assert!(sent(&mut balancer, start) < 6);
    assert_eq!(sent(&mut balancer, start + Duration::from_secs(3)), 6);
}

/// Guards against endpoints of a large region that stay unused because each is
/// assumed to have a request of every VM: with three requests of each VM at 20
/// endpoints, less than one for each slot is assumed, and none is refused.
#[test]
fn assumed_load_is_spread_over_the_endpoints_of_a_region() {
    const VMS: usize = 23;
    let now = Instant::now();
    let endpoints: Vec<Endpoint> = (0..20)
        .map(|n| endpoint(&format!("near{n}"), "north", 5))
        .collect();
    let mut balancer = with_endpoints(balancer("vm-0", "north", &["north"]), &endpoints, now);
    let names = (0..VMS).map(|n| vm(&format!("vm-{n}"))).collect();
    balancer.set_vms_by_region(IndexMap::from([(region("north"), names)]), now);
    for object in 0..3 {
        let Pick::Send(target) = balancer.pick(&pick_request(&service(), object), now) else {
            panic!("request {object} is refused");
        };
        assert!(target.load < f64::from(target.slots), "{target:?}");
    }
}

/// Guards against a VM that refuses all requests for good after one slow response: it
/// learns no other latency, because it sends none. As in the soak, seed 617.
#[test]
fn slow_response_ends_no_service() {
    let start = Instant::now();
    let endpoints: Vec<Endpoint> = (0..9)
        .map(|n| endpoint(&format!("near{n}"), "north", 3))
        .collect();
    let mut balancer = with_endpoints(balancer("vm-0", "north", &["north"]), &endpoints, start);
    let service = service();
    let respond = |balancer: &mut Balancer, object, latency, now| {
        let Pick::Send(target) = balancer.pick(&pick_request(&service, object), now) else {
            return false;
        };
        let outcome = Outcome::Responded {
            latency,
            failed: false,
        };
        balancer.finish(&target, object, outcome, None, now);
        true
    };
    let slow = Duration::from_millis(2_900);
    assert!(respond(&mut balancer, 0, slow, start));
    let mut served = 0;
    for n in 1..=100 {
        // Ten requests a second, each for another object.
        let now = start + n * Duration::from_millis(100);
        let fast = Duration::from_millis(130);
        served += u32::from(respond(&mut balancer, n.into(), fast, now));
    }
    // All but those of the first second.
    assert!(served >= 90, "{served} of 100 requests are served");
}
