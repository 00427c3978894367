//! Tests of endpoints that name the rate of requests that they accept, in fleets
//! of ten and of hundreds of VMs whose callers send more than that.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{RegionName, VmName};
use filbertgrade_coord::steering::balancer::{
    Balancer, LimitedEndpoints, Outcome, Pick, PickRefusal, PickRequest, Target,
};
use filbertgrade_coord::steering::endpoint::{Endpoint, EndpointKey};
use filbertgrade_coord::steering::endpoint_limit::{
    EndpointRate, EndpointTokenRequest, RateNotice,
};
use filbertgrade_coord::steering::quota::Grant;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::scene::{balancer, endpoint, pick_request, region, service, vm, with_endpoints};

const REGIONS: [&str; 3] = ["east", "north", "south"];

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// Interval of the datagrams with rates.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Time from a request to its response.
const LATENCY: Duration = Duration::from_millis(200);

/// Period over which arrivals count.
const WINDOW: Duration = Duration::from_secs(4);

/// How long after the limit was named arrivals count.
const SETTLE_TIME: Duration = Duration::from_secs(4);

struct Vm {
    name: VmName,
    region: RegionName,
    balancer: Balancer,
    running: bool,
    /// When it notices that the list of running VMs has changed.
    notices_at: Option<Instant>,
}

/// VMs in three regions, and endpoints of which the first names a limit.
struct Fleet {
    vms: Vec<Vm>,
    endpoints: Vec<Endpoint>,
    /// Number of objects that requests concern.
    objects: u64,
    now: Instant,
    rng: StdRng,
    rate: EndpointRate,
    /// Fraction of the datagrams that are lost.
    loss: f64,
    /// Requests of which the response is due, in the order of their times.
    running: VecDeque<(Instant, usize, Target, u64)>,
    /// When requests arrived at the limited endpoint.
    arrivals: Vec<Instant>,
    refused: usize,
    next_heartbeat: Instant,
    last_holder: Option<VmName>,
}

impl Fleet {
    fn new(vms: usize, endpoints: usize, seed: u64) -> Self {
        let now = Instant::now();
        let region_of = |n: usize| REGIONS[n % REGIONS.len()];
        let endpoints: Vec<Endpoint> = (0..endpoints)
            .map(|n| endpoint(&format!("e{n}"), region_of(n), 5))
            .collect();
        let vms = (0..vms).map(|n| {
            let name = format!("vm-{n}");
            Vm {
                balancer: with_endpoints(balancer(&name, region_of(n), &REGIONS), &endpoints, now),
                name: vm(&name),
                region: region(region_of(n)),
                running: true,
                notices_at: Some(now),
            }
        });
        Self {
            vms: vms.collect(),
            endpoints,
            objects: 4_000,
            now,
            rng: StdRng::seed_from_u64(seed),
            rate: EndpointRate::Unlimited,
            loss: 0.0,
            running: VecDeque::new(),
            arrivals: Vec::new(),
            refused: 0,
            next_heartbeat: now,
            last_holder: None,
        }
    }

    fn limited(&self) -> &EndpointKey {
        &self.endpoints[0].key
    }

    /// Lets all VMs send `rate` requests a second together for `time`.
    fn run(&mut self, time: Duration, rate: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.update_members();
            self.finish_requests();
            self.exchange_rates();
            self.exchange_affinities();
            let mut due = rate * STEP.as_secs_f64();
            while due >= 1.0 || self.rng.random_bool(due.clamp(0.0, 1.0)) {
                due -= 1.0;
                self.send_request();
            }
        }
    }

    /// Passes the running VMs to those that notice a change now.
    fn update_members(&mut self) {
        let mut by_region: IndexMap<RegionName, Vec<VmName>> = IndexMap::new();
        for vm in self.vms.iter().filter(|vm| vm.running) {
            let names = by_region.entry(vm.region.clone()).or_default();
            names.push(vm.name.clone());
        }
        for vm in &mut self.vms {
            if vm.notices_at.is_some_and(|at| at <= self.now) {
                vm.notices_at = None;
                vm.balancer.set_vms_by_region(by_region.clone(), self.now);
            }
        }
    }

    fn finish_requests(&mut self) {
        let limited = self.limited().clone();
        while self.running.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, vm, target, object)) = self.running.pop_front() else {
                return;
            };
            let balancer = &mut self.vms[vm].balancer;
            let rate = if target.key == limited {
                self.rate
            } else {
                EndpointRate::Unlimited
            };
            balancer.record_rate(&target.key, rate, self.now);
            let outcome = Outcome::Responded {
                latency: LATENCY,
                failed: false,
            };
            balancer.finish(&target, object, outcome, None, self.now);
        }
    }

    /// Sends rates within regions, and from one VM of each region to the others.
    fn exchange_rates(&mut self) {
        let is_heartbeat = self.now >= self.next_heartbeat;
        if is_heartbeat {
            self.next_heartbeat = self.now + HEARTBEAT;
        }
        let mut messages: Vec<(RegionName, bool, Vec<RateNotice>)> = Vec::new();
        for vm in self.vms.iter_mut().filter(|vm| vm.running) {
            if is_heartbeat || vm.balancer.has_urgent_rates() {
                let rates = vm.balancer.take_pending_rates(self.now);
                messages.push((vm.region.clone(), true, rates));
            }
        }
        for name in REGIONS.iter().filter(|_| is_heartbeat) {
            let region = region(name);
            let mut vms = self.vms.iter();
            if let Some(vm) = vms.find(|vm| vm.running && vm.region == region) {
                messages.push((region, false, vm.balancer.recent_rates(self.now)));
            }
        }
        for (region, within, rates) in messages.iter().filter(|(.., rates)| !rates.is_empty()) {
            for vm in &mut self.vms {
                if (vm.region == *region) == *within && !self.rng.random_bool(self.loss) {
                    vm.balancer.apply_rate_notices(rates, self.now);
                }
            }
        }
    }

    /// Sends the changed affinities of each VM to all others.
    fn exchange_affinities(&mut self) {
        for sender in 0..self.vms.len() {
            let affinities = self.vms[sender].balancer.affinities();
            let updates = affinities.take_pending_updates(usize::MAX);
            if updates.is_empty() {
                continue;
            }
            for (number, vm) in self.vms.iter_mut().enumerate() {
                if number != sender {
                    vm.balancer.apply_affinities(updates.clone(), self.now);
                }
            }
        }
    }

    fn send_request(&mut self) {
        let sender = self.rng.random_range(0..self.vms.len());
        if !self.vms[sender].running {
            return;
        }
        let object = self
            .rng
            .random_range(0..self.objects)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let service = service();
        let mut granted = None;
        loop {
            let request = PickRequest {
                limited: granted
                    .as_ref()
                    .map_or(LimitedEndpoints::RequestToken, LimitedEndpoints::Granted),
                ..pick_request(&service, object)
            };
            match self.vms[sender].balancer.pick(&request, self.now) {
                Pick::Send(target) => return self.start(sender, target, object),
                Pick::Refuse(PickRefusal::Busy(_) | PickRefusal::NoEndpoint) => {
                    self.refused += 1;
                    return;
                }
                Pick::RequestToken(request) => granted = self.request_token(sender, &request),
            }
        }
    }

    fn request_token(
        &mut self,
        sender: usize,
        request: &EndpointTokenRequest,
    ) -> Option<EndpointKey> {
        self.last_holder = Some(request.holder.clone());
        let is_lost = self.rng.random_bool(self.loss);
        let holder = self.vms.iter_mut().find(|vm| vm.name == request.holder);
        let holder = holder.filter(|vm| vm.running && !is_lost);
        let grant = holder.map(|vm| vm.balancer.grant_endpoint_token(&request.notice, self.now));
        let wait = match grant {
            Some(Grant::Tokens(_)) => return Some(request.notice.endpoint.clone()),
            Some(Grant::Empty(wait)) => wait,
            Some(Grant::NotHolder) | None => Duration::from_millis(250),
        };
        let balancer = &mut self.vms[sender].balancer;
        balancer.close_limited(&request.notice.endpoint, wait, self.now);
        None
    }

    fn start(&mut self, sender: usize, target: Target, object: u64) {
        if target.key == *self.limited() {
            self.arrivals.push(self.now);
        }
        self.running
            .push_back((self.now + LATENCY, sender, target, object));
    }

    /// Stops or starts a VM. The others notice it one after the other within
    /// `delay`.
    fn set_running(&mut self, index: usize, running: bool, delay: Duration) {
        self.vms[index].running = running;
        for vm in &mut self.vms {
            let after = delay.mul_f64(self.rng.random());
            vm.notices_at = Some(self.now + after);
        }
    }

    /// Index of the VM that other VMs last requested a token from.
    fn holder(&self) -> usize {
        let holder = self.last_holder.as_ref();
        let mut vms = self.vms.iter();
        vms.position(|vm| Some(&vm.name) == holder).unwrap()
    }

    fn most_in_a_window(&self, from: Instant) -> usize {
        let counted: Vec<Instant> = self
            .arrivals
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let counts = counted.iter().map(|start| {
            let window = counted
                .iter()
                .filter(|at| *at >= start && **at < *start + WINDOW);
            window.count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Requests that may arrive in one window: one and a half times the rate, and 5.
fn allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

/// Guards against an endpoint that gets the requests of all VMs although it named
/// a lower limit, and against one that hardly any VM uses because each has only a
/// small share of the limit. Without limits, each endpoint gets 5 requests a second.
#[rstest]
#[case::ten_vms(10, 20, 100.0, 0.0)]
#[case::ten_vms_with_loss(10, 20, 100.0, 0.3)]
#[case::many_vms(200, 60, 300.0, 0.0)]
#[case::many_vms_with_loss(200, 60, 300.0, 0.3)]
fn vms_together_keep_the_rate_of_an_endpoint(
    #[case] vms: usize,
    #[case] endpoints: usize,
    #[case] load: f64,
    #[case] loss: f64,
    #[values(0.3, 2.0, 4.0)] rate: f64,
) {
    let mut fleet = Fleet::new(vms, endpoints, 1);
    fleet.run(Duration::from_secs(6), load);
    fleet.loss = loss;
    fleet.rate = EndpointRate::PerSecond(rate);
    fleet.run(SETTLE_TIME, load);
    let from = fleet.now;
    fleet.run(5 * WINDOW, load);
    let most = fleet.most_in_a_window(from);
    assert!(
        most <= allowed(rate),
        "{most} in 4 s, allowed {}",
        allowed(rate)
    );
    let used = fleet.arrivals.iter().filter(|at| **at >= from).count() as f64;
    let used = used / (5 * WINDOW).as_secs_f64();
    assert!(used >= rate / 2.0, "{used:.1} of {rate} requests a second");
    assert_eq!(fleet.refused, 0);
}

/// Guards against an endpoint that loses all its objects to other endpoints while it
/// names a limit, so that hardly any of the rate that it names is used, where callers
/// send requests for few objects again and again.
#[rstest]
#[case::ten_vms(10, 20, 100.0)]
#[case::many_vms(200, 60, 300.0)]
fn limited_endpoint_keeps_objects_for_its_rate(
    #[case] vms: usize,
    #[case] endpoints: usize,
    #[case] load: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let rate = 2.0;
    let mut fleet = Fleet::new(vms, endpoints, seed);
    // Each endpoint gets 5 requests a second for three objects.
    fleet.objects = 3 * endpoints as u64;
    fleet.run(Duration::from_secs(6), load);
    fleet.rate = EndpointRate::PerSecond(rate);
    fleet.run(SETTLE_TIME, load);
    let from = fleet.now;
    fleet.run(10 * WINDOW, load);
    let used = fleet.arrivals.iter().filter(|at| **at >= from).count() as f64;
    let used = used / (10 * WINDOW).as_secs_f64();
    assert!(used >= rate / 2.0, "{used:.1} of {rate} requests a second");
    assert_eq!(fleet.refused, 0);
}

/// Guards against two VMs that both grant the whole rate while the others learn of
/// a stopped or restarted VM one after the other.
#[rstest]
#[case::ten_vms(10, 20, 100.0)]
#[case::many_vms(200, 60, 300.0)]
fn handovers_between_holders_keep_the_rate(
    #[case] vms: usize,
    #[case] endpoints: usize,
    #[case] load: f64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let rate = 3.0;
    let mut fleet = Fleet::new(vms, endpoints, seed);
    fleet.run(Duration::from_secs(6), load);
    fleet.rate = EndpointRate::PerSecond(rate);
    fleet.run(SETTLE_TIME, load);
    let from = fleet.now;
    for _ in 0..3 {
        let holder = fleet.holder();
        fleet.set_running(holder, false, Duration::from_secs(2));
        fleet.run(Duration::from_secs(3), load);
        fleet.set_running(holder, true, Duration::from_secs(2));
        fleet.run(Duration::from_secs(3), load);
    }
    let most = fleet.most_in_a_window(from);
    assert!(
        most <= allowed(rate),
        "{most} in 4 s, allowed {}",
        allowed(rate)
    );
}

/// Guards against a limit that stays in force after the endpoint has stopped to
/// name it, or that VMs go on sending to each other.
#[test]
fn limit_ends_when_the_endpoint_no_longer_names_it() {
    let mut fleet = Fleet::new(10, 20, 1);
    fleet.rate = EndpointRate::PerSecond(0.0);
    fleet.run(Duration::from_secs(20), 100.0);
    let before = fleet.arrivals.len();
    fleet.rate = EndpointRate::Unlimited;
    fleet.run(Duration::from_secs(30), 100.0);
    let arrivals = fleet.arrivals.len() - before;
    // An even share of 20 s, as the end is noticed within 10 s.
    assert!(arrivals >= 50, "{arrivals} requests in 30 s");
    let now = fleet.now;
    let mut vms = fleet.vms.iter();
    assert!(vms.all(|vm| vm.balancer.recent_rates(now).is_empty()));
}
