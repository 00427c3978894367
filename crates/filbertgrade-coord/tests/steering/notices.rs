//! Tests of what endpoints say of themselves: that they leave, and that they want
//! no requests for a while.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::balancer::{Balancer, Outcome, Pick, PickRefusal, Target};
use filbertgrade_coord::steering::endpoint::{Endpoint, EndpointKey};
use rstest::rstest;

use crate::scene::{balancer, endpoint, pick_request, service, with_endpoints};

const REGIONS: [&str; 1] = ["north"];

/// Time after the end of a pause by which every VM has returned.
const RETURN_TIME: Duration = Duration::from_secs(1);

fn pick(balancer: &mut Balancer, object: u64, now: Instant) -> Pick {
    balancer.pick(&pick_request(&service(), object), now)
}

fn sent(pick: Pick) -> Target {
    match pick {
        Pick::Send(target) => target,
        other => panic!("not sent: {other:?}"),
    }
}

fn respond(balancer: &mut Balancer, target: &Target, now: Instant) {
    let outcome = Outcome::Responded {
        latency: Duration::from_millis(200),
        failed: false,
    };
    balancer.finish(target, 1, outcome, None, now);
}

/// Number of 100 requests, each for an object that no endpoint has handled yet, that
/// are sent to the endpoint.
fn sent_to(balancer: &mut Balancer, key: &EndpointKey, now: Instant) -> usize {
    static NEXT_OBJECT: AtomicU64 = AtomicU64::new(1_000);
    let first = NEXT_OBJECT.fetch_add(100, Ordering::Relaxed);
    let mut count = 0;
    for object in first..first + 100 {
        if let Pick::Send(target) = pick(balancer, object, now) {
            count += usize::from(target.key == *key);
            respond(balancer, &target, now);
        }
    }
    count
}

fn two_endpoints() -> Vec<Endpoint> {
    vec![endpoint("a", "north", 3), endpoint("b", "north", 3)]
}

/// Guards against an endpoint that gets requests after it has announced its end,
/// because a registration, an older list or a restored store calls it ready.
#[test]
fn leaving_endpoint_gets_nothing_whatever_its_registration_says() {
    let now = Instant::now();
    let list = two_endpoints();
    let mut balancer = with_endpoints(balancer("vm", "north", &REGIONS), &list, now);
    let key = list[0].key.clone();
    assert!(sent_to(&mut balancer, &key, now) > 0);
    let waiting = (0..100)
        .map(|object| sent(pick(&mut balancer, object, now)))
        .find(|target| target.key == key)
        .unwrap();
    assert!(balancer.record_leaving(&key));
    assert!(!balancer.record_leaving(&key), "only the first one is new");
    assert!(!balancer.may_still_send(&waiting, now));
    assert_eq!(sent_to(&mut balancer, &key, now), 0);
    // Still registered as ready; removed; registered again.
    for registered in [&list[..], &list[1..], &list[..]] {
        balancer.set_endpoints(registered.iter(), now);
        assert_eq!(sent_to(&mut balancer, &key, now), 0);
    }
    let mut restarted = list.clone();
    restarted[0].key.started_ms = Some(2);
    balancer.set_endpoints(restarted.iter(), now);
    assert!(sent_to(&mut balancer, &restarted[0].key, now) > 0);
}

/// Guards against callers that wait for endpoints which all leave.
#[test]
fn request_is_refused_at_once_when_all_endpoints_leave() {
    let now = Instant::now();
    let list = two_endpoints();
    let mut balancer = with_endpoints(balancer("vm", "north", &REGIONS), &list, now);
    for endpoint in &list {
        balancer.record_leaving(&endpoint.key);
    }
    let refused = Pick::Refuse(PickRefusal::NoEndpoint);
    assert_eq!(pick(&mut balancer, 1, now), refused);
}

/// Guards against requests to an endpoint that has asked for a pause, and against a
/// later and shorter notice, or a registration that lapses, that ends the pause.
#[test]
fn pausing_endpoint_gets_nothing_until_its_pause_ends() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let list = two_endpoints();
    let mut balancer = with_endpoints(balancer("vm", "north", &REGIONS), &list, now);
    let key = list[0].key.clone();
    let waiting = (0..100)
        .map(|object| sent(pick(&mut balancer, object, now)))
        .find(|target| target.key == key)
        .unwrap();
    assert!(balancer.record_pause(&key, Duration::from_secs(3), now));
    assert!(!balancer.may_still_send(&waiting, at(10)));
    assert!(!balancer.record_pause(&key, Duration::from_millis(500), at(1_000)));
    balancer.set_endpoints(list[1..].iter(), at(1_200));
    balancer.set_endpoints(list.iter(), at(1_400));
    for ms in [0, 500, 1_500, 2_000, 2_999] {
        assert_eq!(sent_to(&mut balancer, &key, at(ms)), 0, "after {ms} ms");
    }
    assert!(balancer.record_pause(&key, Duration::from_secs(2), at(2_500)));
    assert_eq!(sent_to(&mut balancer, &key, at(4_499)), 0);
    assert!(sent_to(&mut balancer, &key, at(4_500) + RETURN_TIME) > 0);
}

/// Guards against a pause that ends with the whole backlog, which would make the
/// endpoint pause again.
#[test]
fn requests_return_one_by_one_after_a_pause() {
    let now = Instant::now();
    let list = [endpoint("a", "north", 4)];
    let mut balancer = with_endpoints(balancer("vm", "north", &REGIONS), &list, now);
    balancer.record_pause(&list[0].key, Duration::from_secs(1), now);
    let now = now + Duration::from_secs(1) + RETURN_TIME;
    let mut running: Vec<Target> = Vec::new();
    for window in 1..=3 {
        while let Pick::Send(target) = pick(&mut balancer, 1, now) {
            running.push(target);
        }
        assert_eq!(running.len(), window);
        let target = running.pop().unwrap();
        respond(&mut balancer, &target, now);
    }
    // The window covers all slots, so that only the load limits it.
    let mut more = 0;
    while let Pick::Send(_) = pick(&mut balancer, 1, now) {
        more += 1;
    }
    assert!(more > 2, "{more}");
}

/// Guards against an endpoint that asks for an hour and costs its service more than
/// itself, and against callers that come back before room can be expected, or all
/// at once.
#[test]
fn refusal_names_the_end_of_the_shortest_pause() {
    let now = Instant::now();
    let list = two_endpoints();
    let mut balancer = with_endpoints(balancer("vm", "north", &REGIONS), &list, now);
    balancer.record_pause(&list[0].key, Duration::from_secs(3_600), now);
    assert_eq!(sent_to(&mut balancer, &list[1].key, now), 100);
    balancer.record_pause(&list[1].key, Duration::from_secs(4), now);
    let delays: Vec<Duration> = (0..50)
        .map(|object| match pick(&mut balancer, object, now) {
            Pick::Refuse(PickRefusal::Busy(delay)) => delay,
            other => panic!("{other:?}"),
        })
        .collect();
    let (first, last) = (delays.iter().min().unwrap(), delays.iter().max().unwrap());
    assert!(*first >= Duration::from_secs(4), "{first:?}");
    assert!(*last <= Duration::from_secs(6), "{last:?}");
    assert!(*last - *first >= Duration::from_millis(100));
}

/// Guards against a rhythm of pauses: an endpoint that returns gets all that has
/// waited from all VMs, refuses it, and pauses again. Half of the endpoints pause
/// again and again, at 1.5 times the room of all.
#[rstest]
#[case(10)]
#[case(300)]
fn endpoints_that_pause_again_and_again_serve_between(#[case] vms: usize) {
    let mut fleet = PausingFleet::new(vms);
    let outcome = fleet.run(Duration::from_secs(30));
    assert_eq!(outcome.in_pauses, 0, "{outcome:?}");
    // Each endpoint pauses for 3 s of every 9 s or so by itself. The others have
    // no reason to pause.
    assert!(outcome.busy_share >= 0.7, "{outcome:?}");
}

/// Endpoints of one service with requests from many VMs, in steps of 10 ms.
struct PausingFleet {
    balancers: Vec<Balancer>,
    endpoints: Vec<SimulatedEndpoint>,
    start: Instant,
    /// Requests that run or wait, with the VM and when they end.
    running: Vec<(usize, Target, u64)>,
}

struct SimulatedEndpoint {
    key: EndpointKey,
    /// When it next asks for a pause although it has room; `None` if it never does.
    next_pause: Option<u64>,
    paused_until: u64,
    requests: u32,
    /// Slot time that was used, in milliseconds.
    busy_ms: u64,
    /// Time outside of its own pauses, in milliseconds.
    open_ms: u64,
}

#[derive(Debug)]
struct FleetOutcome {
    /// Requests that reached an endpoint from a VM that it had asked to pause.
    in_pauses: usize,
    /// Slot time that was used, of that outside of the pauses that the endpoints
    /// take by themselves.
    busy_share: f64,
}

const SLOTS: u32 = 4;

/// Requests that an endpoint holds, running and queued.
const ROOM: u32 = 2 * SLOTS;
const SERVICE_MS: u64 = 200;
const STEP_MS: u64 = 10;
const PAUSE_MS: u64 = 3_000;
const PAUSE_INTERVAL_MS: u64 = 9_000;

impl PausingFleet {
    fn new(vms: usize) -> Self {
        let start = Instant::now();
        let endpoints: Vec<Endpoint> = (0..20)
            .map(|n| endpoint(&format!("e{n:02}"), "north", SLOTS))
            .collect();
        let balancers = (0..vms).map(|n| {
            let balancer = balancer(&format!("vm-{n}"), "north", &REGIONS);
            with_endpoints(balancer, &endpoints, start)
        });
        let simulated = endpoints.iter().enumerate().map(|(n, endpoint)| {
            let n = n as u64;
            SimulatedEndpoint {
                key: endpoint.key.clone(),
                next_pause: n
                    .is_multiple_of(2)
                    .then_some(1_000 + n * PAUSE_INTERVAL_MS / 20),
                paused_until: 0,
                requests: 0,
                busy_ms: 0,
                open_ms: 0,
            }
        });
        Self {
            balancers: balancers.collect(),
            endpoints: simulated.collect(),
            start,
            running: Vec::new(),
        }
    }

    fn run(&mut self, time: Duration) -> FleetOutcome {
        let steps = time.as_millis() as u64 / STEP_MS;
        let per_second = 1.5 * 20.0 * f64::from(SLOTS) * 1_000.0 / SERVICE_MS as f64;
        let mut due = 0.0;
        let mut object = 0_u64;
        let mut in_pauses = 0;
        let mut asked: Vec<Vec<u64>> = vec![vec![0; 20]; self.balancers.len()];
        for step in 0..steps {
            let ms = step * STEP_MS;
            self.end_requests(ms);
            due += per_second * STEP_MS as f64 / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                object = object.wrapping_add(0x9e37_79b9_7f4a_7c15);
                let vm = (object >> 32) as usize % self.balancers.len();
                in_pauses += self.send(vm, object, ms, &mut asked[vm]);
            }
            for endpoint in &mut self.endpoints {
                if ms >= endpoint.paused_until {
                    endpoint.open_ms += STEP_MS;
                }
                let busy = endpoint.requests.min(SLOTS);
                endpoint.busy_ms += u64::from(busy) * STEP_MS;
            }
        }
        let open: u64 = self.endpoints.iter().map(|e| e.open_ms).sum();
        let busy: u64 = self.endpoints.iter().map(|e| e.busy_ms).sum();
        FleetOutcome {
            in_pauses,
            busy_share: busy as f64 / (open * u64::from(SLOTS)) as f64,
        }
    }

    fn end_requests(&mut self, ms: u64) {
        let now = self.start + Duration::from_millis(ms);
        let running = std::mem::take(&mut self.running);
        for (vm, target, ends_at) in running {
            if ms < ends_at {
                self.running.push((vm, target, ends_at));
                continue;
            }
            let endpoint = self.endpoints.iter_mut().find(|e| e.key == target.key);
            endpoint.unwrap().requests -= 1;
            respond(&mut self.balancers[vm], &target, now);
        }
    }

    /// Sends a request if an endpoint is picked. Returns 1 if it reaches one that
    /// has asked this VM to pause.
    fn send(&mut self, vm: usize, object: u64, ms: u64, asked: &mut [u64]) -> usize {
        let now = self.start + Duration::from_millis(ms);
        let Pick::Send(target) = pick(&mut self.balancers[vm], object, now) else {
            return 0;
        };
        let index = self.endpoints.iter().position(|e| e.key == target.key);
        let index = index.unwrap();
        let endpoint = &mut self.endpoints[index];
        let in_pause = usize::from(ms < asked[index]);
        if endpoint.next_pause.is_some_and(|at| ms >= at) {
            endpoint.next_pause = Some(ms + PAUSE_INTERVAL_MS);
            endpoint.paused_until = ms + PAUSE_MS;
        }
        let refused = ms < endpoint.paused_until || endpoint.requests >= ROOM;
        if !refused {
            endpoint.requests += 1;
            let queued = endpoint.requests.saturating_sub(SLOTS);
            let wait = u64::from(queued) * SERVICE_MS / u64::from(SLOTS);
            self.running.push((vm, target, ms + SERVICE_MS + wait));
            return in_pause;
        }
        let pause = endpoint.paused_until.saturating_sub(ms).max(1_000);
        asked[index] = ms + pause;
        let balancer = &mut self.balancers[vm];
        balancer.record_pause(&target.key, Duration::from_millis(pause), now);
        balancer.finish(&target, object, Outcome::Refused, None, now);
        in_pause
    }
}
