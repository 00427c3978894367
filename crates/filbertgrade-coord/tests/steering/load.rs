//! Replays of load: endpoints with few slots that remember few objects, and
//! VMs that place requests with the real decisions, in simulated time.

use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::balancer::{Balancer, LoadReport, Outcome, Pick, Target};
use filbertgrade_coord::steering::placement::object_hash;
use rstest::rstest;
use serde::Deserialize;

use crate::scene::{balancer, endpoint, pick_request, service, with_endpoints};

/// One load, as its file describes it.
#[derive(Deserialize)]
struct Load {
    /// VMs and endpoints of each region.
    regions: Vec<Place>,
    slots: usize,
    /// Requests that wait at an endpoint beside those that run.
    queue: usize,
    /// Objects that an endpoint remembers.
    remembers: usize,
    /// Objects that callers of each region ask for.
    objects: u64,
    /// Requests a second of all regions.
    rate: f64,
    seconds: f64,
    /// Requests are judged from then on.
    judged_from: f64,
    first_ms: u64,
    repeat_ms: u64,
    target_ms: u64,
    timeout_ms: u64,
    #[serde(default)]
    burst: Option<Burst>,
    /// Endpoints that take this many times as long.
    #[serde(default)]
    slow: Option<Slow>,
    /// Endpoints that do not answer at all, by number.
    #[serde(default)]
    lost: Vec<usize>,
    /// Least part of the requests that are answered within the target.
    in_target: f64,
    /// Least part that is answered before the timeout.
    answered: f64,
}

#[derive(Deserialize)]
struct Place {
    name: String,
    vms: usize,
    endpoints: usize,
}

#[derive(Deserialize)]
struct Burst {
    from: f64,
    to: f64,
    times: f64,
}

#[derive(Deserialize)]
struct Slow {
    count: usize,
    times: u32,
}

struct Server {
    running: usize,
    waiting: VecDeque<Waiting>,
    /// Most recent last.
    objects: VecDeque<u64>,
    slow: u32,
    lost: bool,
}

struct Waiting {
    vm: usize,
    target: Target,
    object: u64,
    sent: Duration,
}

enum Event {
    Arrive,
    Done(usize, Waiting),
    /// A refusal or a failed connection reaches the VM.
    Back(Waiting, Outcome),
    Tell,
}

struct Model {
    load: Load,
    start: Instant,
    vms: Vec<(usize, Balancer)>,
    servers: Vec<Server>,
    events: BTreeMap<(Duration, u64), Event>,
    next: u64,
    seed: u64,
    judged: u32,
    in_target: u32,
    answered: u32,
    refused: u32,
}

impl Model {
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
        for (place, region) in load.regions.iter().enumerate() {
            for n in 0..region.vms {
                let name = format!("{}-{n}", region.name);
                let vm = with_endpoints(balancer(&name, &region.name, &names), &endpoints, start);
                vms.push((place, vm));
            }
        }
        let slow = load
            .slow
            .as_ref()
            .map_or((0, 1), |slow| (slow.count, slow.times));
        let servers = (0..endpoints.len())
            .map(|n| Server {
                running: 0,
                waiting: VecDeque::new(),
                objects: VecDeque::new(),
                slow: if n < slow.0 { slow.1 } else { 1 },
                lost: load.lost.contains(&n),
            })
            .collect();
        let mut model = Self {
            load,
            start,
            vms,
            servers,
            events: BTreeMap::new(),
            next: 0,
            seed: 7,
            judged: 0,
            in_target: 0,
            answered: 0,
            refused: 0,
        };
        model.at(Duration::ZERO, Event::Arrive);
        model.at(Duration::ZERO, Event::Tell);
        model
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    /// A number in `0..1`.
    fn random(&mut self) -> f64 {
        self.seed = object_hash("random", &self.seed.to_le_bytes());
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn run(&mut self) {
        while let Some(((time, _), event)) = self.events.pop_first() {
            match event {
                Event::Arrive => self.arrive(time),
                Event::Done(server, waiting) => self.done(server, &waiting, time),
                Event::Back(waiting, outcome) => {
                    let now = self.start + time;
                    let vm = &mut self.vms[waiting.vm].1;
                    vm.finish(&waiting.target, waiting.object, outcome, None, now);
                }
                Event::Tell => self.tell(time),
            }
        }
    }

    fn arrive(&mut self, time: Duration) {
        if time.as_secs_f64() > self.load.seconds {
            return;
        }
        let seconds = time.as_secs_f64();
        let burst = self
            .load
            .burst
            .as_ref()
            .filter(|b| (b.from..b.to).contains(&seconds));
        let rate = self.load.rate * burst.map_or(1.0, |burst| burst.times);
        let pause = -(1.0 - self.random()).ln() / rate;
        self.at(time + Duration::from_secs_f64(pause), Event::Arrive);
        let vm = (self.random() * self.vms.len() as f64) as usize;
        let place = self.vms[vm].0 as u64;
        let object = place * 1_000 + (self.random() * self.load.objects as f64) as u64;
        let object = object_hash("charts", &object.to_le_bytes());
        self.send(vm, object, time);
    }

    fn send(&mut self, vm: usize, object: u64, time: Duration) {
        let judged = time.as_secs_f64() >= self.load.judged_from;
        self.judged += u32::from(judged);
        let service = service();
        let now = self.start + time;
        let balancer = &mut self.vms[vm].1;
        balancer.count_request(&service, 1, now);
        let mut req = pick_request(&service, object);
        req.target_latency = Duration::from_millis(self.load.target_ms);
        req.time_left = Duration::from_millis(self.load.timeout_ms);
        let Pick::Send(target) = balancer.pick(&req, now) else {
            self.refused += u32::from(judged);
            return;
        };
        let number: usize = target.key.id[..3].parse().unwrap();
        let waiting = Waiting {
            vm,
            target,
            object,
            sent: time,
        };
        let server = &mut self.servers[number];
        let back = time + Duration::from_millis(5);
        if server.lost {
            self.at(back, Event::Back(waiting, Outcome::Unreachable));
        } else if server.running < self.load.slots {
            self.begin(number, waiting, time);
        } else if server.waiting.len() < self.load.queue {
            server.waiting.push_back(waiting);
        } else {
            self.at(back, Event::Back(waiting, Outcome::Refused));
        }
    }

    fn begin(&mut self, number: usize, waiting: Waiting, time: Duration) {
        let server = &mut self.servers[number];
        server.running += 1;
        let known = server.objects.iter().position(|o| *o == waiting.object);
        if let Some(place) = known {
            server.objects.remove(place);
        }
        server.objects.push_back(waiting.object);
        if server.objects.len() > self.load.remembers {
            server.objects.pop_front();
        }
        let work = if known.is_some() {
            self.load.repeat_ms
        } else {
            self.load.first_ms
        };
        let work = Duration::from_millis(work) * server.slow;
        self.at(time + work, Event::Done(number, waiting));
    }

    fn done(&mut self, number: usize, waiting: &Waiting, time: Duration) {
        self.servers[number].running -= 1;
        let latency = time - waiting.sent;
        if waiting.sent.as_secs_f64() >= self.load.judged_from {
            self.in_target += u32::from(latency <= Duration::from_millis(self.load.target_ms));
            self.answered += u32::from(latency <= Duration::from_millis(self.load.timeout_ms));
        }
        let server = &self.servers[number];
        let report = LoadReport {
            requests: u32::try_from(server.running + server.waiting.len()).unwrap(),
            slots: u32::try_from(self.load.slots).unwrap(),
        };
        let outcome = Outcome::Answered {
            latency,
            failed: false,
        };
        let now = self.start + time;
        let vm = &mut self.vms[waiting.vm].1;
        vm.finish(&waiting.target, waiting.object, outcome, Some(report), now);
        if let Some(next) = self.servers[number].waiting.pop_front() {
            self.begin(number, next, time);
        }
    }

    /// VMs tell each other homes of objects every 50 ms.
    fn tell(&mut self, time: Duration) {
        let now = self.start + time;
        let news: Vec<_> = self
            .vms
            .iter_mut()
            .map(|(_, vm)| vm.affinities().take_pending_updates(1_000))
            .collect();
        for (to, (_, vm)) in self.vms.iter_mut().enumerate() {
            for (_, homes) in news.iter().enumerate().filter(|(from, _)| *from != to) {
                vm.apply_affinities(homes.clone(), now);
            }
        }
        if time.as_secs_f64() < self.load.seconds {
            self.at(time + Duration::from_millis(50), Event::Tell);
        }
    }
}

/// Guards against placement, waiting or refusal that serves callers worse than
/// the file of the load asks for.
#[rstest]
fn load_is_served(#[files("tests/steering/loads/*.toml")] file: PathBuf) {
    let text = std::fs::read_to_string(&file).unwrap();
    let load: Load = toml::from_str(&text).unwrap();
    let (in_target, answered) = (load.in_target, load.answered);
    let mut model = Model::new(load);
    model.run();
    let part = |count: u32| f64::from(count) / f64::from(model.judged);
    println!(
        "{}: {} judged, {:.3} in target, {:.3} answered, {:.3} refused",
        file.file_stem().unwrap().to_string_lossy(),
        model.judged,
        part(model.in_target),
        part(model.answered),
        part(model.refused),
    );
    assert!(
        part(model.in_target) >= in_target,
        "{:.3} in target",
        part(model.in_target)
    );
    assert!(
        part(model.answered) >= answered,
        "{:.3} answered",
        part(model.answered)
    );
}
