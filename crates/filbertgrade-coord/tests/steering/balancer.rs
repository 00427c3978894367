//! Which endpoint a request goes to.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::affinity::Affinity;
use filbertgrade_coord::steering::balancer::{
    Balancer, LoadReport, Outcome, Pick, PickRefusal, PickRequest, Target,
};
use filbertgrade_coord::steering::endpoint::EndpointKey;
use filbertgrade_coord::steering::placement::endpoint_hash;
use rstest::rstest;

use crate::scene::{balancer, domain, endpoint, pick_request, region, service, vm, with_endpoints};

const NAMES: [&str; 3] = ["east", "north", "south"];

fn send(balancer: &mut Balancer, object: u64, now: Instant) -> Target {
    match balancer.pick(&pick_request(&service(), object), now) {
        Pick::Send(target) => target,
        Pick::Refuse(why) => panic!("refused: {why:?}"),
    }
}

fn answered(latency_ms: u64) -> Outcome {
    Outcome::Answered {
        latency: Duration::from_millis(latency_ms),
        failed: false,
    }
}

/// Guards against VMs that send an object to different endpoints, none of
/// which then remembers it.
#[test]
fn vms_agree_on_a_place_without_a_message() {
    let now = Instant::now();
    let list: Vec<_> = (0..8)
        .map(|n| endpoint(&format!("e{n}"), "north", 3))
        .collect();
    for object in 0..50 {
        let mut a = with_endpoints(balancer("a", "north", &NAMES), &list, now);
        let mut b = with_endpoints(balancer("b", "north", &NAMES), &list, now);
        assert_eq!(send(&mut a, object, now).key, send(&mut b, object, now).key);
    }
}

/// Guards against endpoints with several times the objects of others.
#[test]
fn objects_are_spread_evenly() {
    let now = Instant::now();
    let list: Vec<_> = (0..8)
        .map(|n| endpoint(&format!("e{n}"), "north", 3))
        .collect();
    let mut balancer = with_endpoints(balancer("a", "north", &NAMES), &list, now);
    let mut counts: HashMap<EndpointKey, u32> = HashMap::new();
    for n in 0..40_u64 {
        let object = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let target = send(&mut balancer, object, now);
        balancer.finish(&target, object, answered(200), None, now);
        *counts.entry(target.key).or_default() += 1;
    }
    let most = counts.values().max().unwrap();
    assert!(
        *most <= 10,
        "an endpoint has {most} of 40 objects, an even part is 5"
    );
    assert_eq!(counts.len(), 8, "endpoints without an object: {counts:?}");
}

/// Guards against a VM that puts an object elsewhere although another VM told
/// where it is.
#[test]
fn place_that_another_vm_told_is_used() {
    let now = Instant::now();
    let list: Vec<_> = (0..8)
        .map(|n| endpoint(&format!("e{n}"), "north", 3))
        .collect();
    let mut a = with_endpoints(balancer("a", "north", &NAMES), &list, now);
    let mut b = with_endpoints(balancer("b", "north", &NAMES), &list, now);
    for object in 100..140 {
        send(&mut a, object, now);
    }
    let told = a.affinities().take_pending_updates(1_000);
    b.apply_affinities(told, now);
    for object in 100..140 {
        let expected = a.affinities().get(object);
        send(&mut b, object, now);
        assert_eq!(b.affinities().get(object), expected);
    }
}

/// Guards against requests of callers who are bound to a region that take an
/// object there for all others too.
#[test]
fn callers_bound_to_a_region_do_not_move_the_object_of_others() {
    let now = Instant::now();
    let list: Vec<_> = (0..8)
        .map(|n| endpoint(&format!("e{n}"), ["north", "south"][n % 2], 3))
        .collect();
    let mut balancer = with_endpoints(balancer("a", "north", &NAMES), &list, now);
    let service = service();
    let south = [region("south")];
    for object in 0..40 {
        let free = pick_request(&service, object);
        let mut bound = pick_request(&service, object);
        bound.allowed_regions = [&south, &[]];
        let mut place = |req: &PickRequest<'_>| match balancer.pick(req, now) {
            Pick::Send(target) => {
                let outcome = Outcome::Answered {
                    latency: Duration::from_millis(200),
                    failed: false,
                };
                balancer.finish(&target, object, outcome, None, now);
                target
            }
            Pick::Refuse(refused) => panic!("{refused:?}"),
        };
        // Both orders, because either may be the first to meet the object.
        let (first, second) = if object % 2 == 0 {
            (place(&free), place(&bound))
        } else {
            let bound = place(&bound);
            (place(&free), bound)
        };
        assert_eq!(second.region, south[0]);
        assert_eq!(first.region, place(&free).region);
        let alone = place(&free);
        assert_eq!(alone.key, first.key, "the object has moved");
        assert_eq!(place(&bound).key, second.key);
    }
}

/// Guards against requests for endpoints that must get nothing.
#[rstest]
#[case::draining("draining")]
#[case::evacuated("evacuated")]
#[case::other_region("home")]
#[case::mismatched("mismatched")]
#[case::tried("tried")]
fn endpoint_that_must_get_nothing_gets_nothing(#[case] why: &str) {
    let now = Instant::now();
    let mut list = vec![endpoint("one", "north", 3), endpoint("two", "south", 3)];
    list[0].draining = why == "draining";
    let mut balancer = with_endpoints(balancer("a", "north", &NAMES), &list, now);
    if why == "evacuated" {
        balancer.set_evacuated(HashSet::from([domain("north-a")]), now);
    }
    let south = [region("south")];
    let tried = [list[0].key.clone()];
    let service = service();
    let mut req = pick_request(&service, 1);
    match why {
        "home" => req.allowed_regions = [&south, &[]],
        "tried" => req.tried = &tried,
        "mismatched" => {
            let target = send(&mut balancer, 1, now);
            assert_eq!(target.key, list[0].key);
            balancer.finish(&target, 1, Outcome::Mismatched, None, now);
        }
        _ => {}
    }
    for _ in 0..5 {
        match balancer.pick(&req, now) {
            Pick::Send(target) => assert_eq!(target.key, list[1].key),
            Pick::Refuse(refused) => panic!("{refused:?}"),
        }
    }
}

/// Guards against callers who wait for a request that nobody can serve.
#[test]
fn request_without_an_endpoint_is_refused_at_once() {
    let now = Instant::now();
    let mut balancer = with_endpoints(balancer("a", "north", &NAMES), &[], now);
    let pick = balancer.pick(&pick_request(&service(), 1), now);
    assert_eq!(pick, Pick::Refuse(PickRefusal::NoEndpoint));
}

/// Guards against queues whose requests all miss their deadline: what cannot be
/// answered in time is refused, with a time to come back.
#[test]
fn overload_is_refused_before_deadlines_pass() {
    let now = Instant::now();
    let list = [endpoint("one", "north", 1)];
    let mut balancer = with_endpoints(balancer("a", "north", &NAMES), &list, now);
    let mut sent = 0;
    for object in 0..20 {
        match balancer.pick(&pick_request(&service(), object), now) {
            Pick::Send(target) => {
                assert!(target.expected_latency < Duration::from_secs(3));
                sent += 1;
            }
            Pick::Refuse(PickRefusal::Busy(after)) => assert!(after > Duration::ZERO),
            Pick::Refuse(why) => panic!("{why:?}"),
        }
    }
    assert!((1..20).contains(&sent), "{sent} of 20 were sent");
}

/// Guards against an endpoint that cannot be reached and gets every request of
/// its objects first.
#[test]
fn unreachable_endpoint_rests_and_is_tried_again() {
    let now = Instant::now();
    let list = [endpoint("one", "north", 3), endpoint("two", "north", 3)];
    let mut balancer = with_endpoints(balancer("a", "north", &NAMES), &list, now);
    let first = send(&mut balancer, 7, now);
    let rest = balancer
        .finish(&first, 7, Outcome::Unreachable, None, now)
        .unwrap();
    assert_ne!(send(&mut balancer, 7, now).key, first.key);
    let later = now + rest + Duration::from_millis(1);
    let mut trials = 0;
    for object in 0..20 {
        let target = send(&mut balancer, object, later);
        if target.key == first.key {
            trials += 1;
        } else {
            balancer.finish(&target, object, answered(200), None, later);
        }
    }
    assert_eq!(trials, 1, "one trial at a time");
}

/// Guards against requests that go on to an endpoint that fails every second
/// one while another one does not.
#[rstest]
#[case::refuses(Outcome::Refused)]
#[case::loses(Outcome::ConnectionLost)]
#[case::fails(Outcome::Answered { latency: Duration::from_millis(50), failed: true })]
fn failing_endpoint_loses_its_requests(#[case] outcome: Outcome) {
    let now = Instant::now();
    let list = [endpoint("one", "north", 3), endpoint("two", "north", 3)];
    let mut balancer = with_endpoints(balancer("a", "north", &NAMES), &list, now);
    let bad = send(&mut balancer, 3, now);
    balancer.finish(&bad, 3, outcome, None, now);
    let mut time = now;
    let mut to_bad = 0;
    let service = service();
    for _ in 0..40 {
        time += Duration::from_millis(50);
        let mut req = pick_request(&service, 3);
        req.sticky = false;
        req.idempotent = false;
        let Pick::Send(target) = balancer.pick(&req, time) else {
            panic!("refused");
        };
        let is_bad = target.key == bad.key;
        to_bad += u32::from(is_bad);
        let result = if is_bad { outcome } else { answered(200) };
        balancer.finish(&target, 3, result, None, time);
    }
    assert!(to_bad <= 10, "{to_bad} of 40 went to the failing endpoint");
}

/// Guards against a cold endpoint that gets its full share, from one VM or from
/// several that do not talk to each other.
#[test]
fn cold_endpoint_gets_its_rate_from_all_vms_together() {
    let start = Instant::now();
    let mut cold = endpoint("new", "north", 3);
    cold.cold_for = Duration::from_secs(3);
    let names: Vec<String> = (0..9).map(|n| format!("vm-{n}")).collect();
    let vms: Vec<_> = names.iter().map(|name| vm(name)).collect();
    let mut sent = Vec::new();
    for name in &names {
        let mut balancer = balancer(name, "north", &NAMES);
        balancer.set_vms(vms.clone(), start);
        let mut balancer = with_endpoints(balancer, &[cold.clone()], start);
        for step in 0..300 {
            let now = start + Duration::from_millis(10 * step);
            if let Pick::Send(target) = balancer.pick(&pick_request(&service(), step), now) {
                balancer.finish(&target, step, answered(100), None, now);
                sent.push(now);
            }
        }
    }
    sent.sort();
    // The rate is 4 a second; users bear one and a half times that and 5 more.
    for window in sent.windows(12) {
        assert!(window[11] - window[0] > Duration::from_secs(1));
    }
    assert!(sent.len() >= 6, "only {} requests in 3 s", sent.len());
}

/// Guards against an endpoint of another region that takes over whenever the
/// home has a short queue: at most a part of the requests may leave at once.
#[test]
fn few_requests_leave_their_region_for_want_of_slots() {
    let now = Instant::now();
    let mut list = vec![endpoint("home", "north", 3)];
    list.extend((0..8).map(|n| endpoint(&format!("far{n}"), "south", 30)));
    let mut balancer = with_endpoints(balancer("a", "north", &NAMES), &list, now);
    let service = service();
    let homes = (0..40).map(|object| Affinity {
        object,
        endpoint: endpoint_hash("home"),
        version: 1,
        confirmed: true,
    });
    balancer.apply_affinities(homes.collect(), now);
    let mut left = 0;
    let mut refused = 0;
    for n in 0..100 {
        balancer.count_request(&service, 1, now);
        match balancer.pick(&pick_request(&service, n % 40), now) {
            Pick::Send(target) if target.region != region("north") => left += 1,
            Pick::Send(_) => {}
            Pick::Refuse(_) => refused += 1,
        }
    }
    assert!(
        left <= 15,
        "{left} of 100 left their region, {refused} were refused"
    );
}

/// Guards against a load report that says nothing of requests sent since.
#[test]
fn full_endpoint_is_not_chosen_for_a_new_object() {
    let now = Instant::now();
    let list = [endpoint("one", "north", 3), endpoint("two", "north", 3)];
    let mut balancer = with_endpoints(balancer("a", "north", &NAMES), &list, now);
    let busy = send(&mut balancer, 5, now);
    let report = LoadReport {
        requests: 12,
        slots: 3,
    };
    balancer.finish(&busy, 5, answered(100), Some(report), now);
    for object in 1_000..1_004 {
        assert_ne!(send(&mut balancer, object, now).key, busy.key);
    }
}

/// Guards against refusals for want of time that nobody has measured: a route
/// whose timeout is close to its target latency got no request through.
#[test]
fn first_request_is_sent_whatever_its_timeout() {
    let now = Instant::now();
    let list = [endpoint("one", "north", 3)];
    let mut balancer = with_endpoints(balancer("a", "north", &NAMES), &list, now);
    let service = service();
    let mut req = pick_request(&service, 1);
    req.time_left = req.target_latency;
    assert!(matches!(balancer.pick(&req, now), Pick::Send(_)));
}
