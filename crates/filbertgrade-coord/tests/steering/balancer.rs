//! Tests of which endpoint the balancer picks for a request, and when it refuses.

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

const REGIONS: [&str; 3] = ["east", "north", "south"];

fn send(balancer: &mut Balancer, object: u64, now: Instant) -> Target {
    match balancer.pick(&pick_request(&service(), object), now) {
        Pick::Send(target) => target,
        other => panic!("not sent: {other:?}"),
    }
}

fn responded(latency_ms: u64) -> Outcome {
    Outcome::Responded {
        latency: Duration::from_millis(latency_ms),
        failed: false,
    }
}

/// Guards against VMs that send requests for the same object to different
/// endpoints, so that each of them has to load it.
#[test]
fn vms_pick_the_same_endpoint_without_communication() {
    let now = Instant::now();
    let list: Vec<_> = (0..8)
        .map(|n| endpoint(&format!("e{n}"), "north", 3))
        .collect();
    for object in 0..50 {
        let mut a = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
        let mut b = with_endpoints(balancer("b", "north", &REGIONS), &list, now);
        assert_eq!(send(&mut a, object, now).key, send(&mut b, object, now).key);
    }
}

/// Guards against placing several times as many objects on one endpoint as on
/// another.
#[test]
fn objects_are_spread_evenly_over_endpoints() {
    let now = Instant::now();
    let list: Vec<_> = (0..8)
        .map(|n| endpoint(&format!("e{n}"), "north", 3))
        .collect();
    let mut balancer = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
    let mut counts: HashMap<EndpointKey, u32> = HashMap::new();
    for n in 0..40_u64 {
        let object = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let target = send(&mut balancer, object, now);
        balancer.finish(&target, object, responded(200), None, now);
        *counts.entry(target.key).or_default() += 1;
    }
    let most = counts.values().max().unwrap();
    assert!(
        *most <= 10,
        "an endpoint has {most} of 40 objects; an even share is 5"
    );
    assert_eq!(
        counts.len(),
        8,
        "some of the 8 endpoints have no object: {counts:?}"
    );
}

/// Guards against a VM that places an object on another endpoint although it
/// has received the object's affinity.
#[test]
fn affinity_received_from_another_vm_is_used() {
    let now = Instant::now();
    let list: Vec<_> = (0..8)
        .map(|n| endpoint(&format!("e{n}"), "north", 3))
        .collect();
    let mut a = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
    let mut b = with_endpoints(balancer("b", "north", &REGIONS), &list, now);
    for object in 100..140 {
        send(&mut a, object, now);
    }
    let updates = a.affinities().take_pending_updates(1_000);
    b.apply_affinities(updates, now);
    for object in 100..140 {
        let expected = a.affinities().get(object);
        send(&mut b, object, now);
        assert_eq!(b.affinities().get(object), expected);
    }
}

/// Guards against requests restricted to one region that move an object there
/// for unrestricted callers too.
#[test]
fn requests_restricted_to_a_region_do_not_move_the_affinity_of_others() {
    let now = Instant::now();
    let list: Vec<_> = (0..8)
        .map(|n| endpoint(&format!("e{n}"), ["north", "south"][n % 2], 3))
        .collect();
    let mut balancer = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
    let service = service();
    let south = [region("south")];
    for object in 0..40 {
        let unrestricted = pick_request(&service, object);
        let mut restricted = pick_request(&service, object);
        restricted.allowed_regions = [&south, &[]];
        let mut send = |req: &PickRequest<'_>| match balancer.pick(req, now) {
            Pick::Send(target) => {
                let outcome = Outcome::Responded {
                    latency: Duration::from_millis(200),
                    failed: false,
                };
                balancer.finish(&target, object, outcome, None, now);
                target
            }
            other => panic!("not sent: {other:?}"),
        };
        // Both orders, because either kind of request may be the first for an
        // object.
        let (first, second) = if object % 2 == 0 {
            (send(&unrestricted), send(&restricted))
        } else {
            let restricted = send(&restricted);
            (send(&unrestricted), restricted)
        };
        assert_eq!(second.region, south[0]);
        assert_eq!(first.region, send(&unrestricted).region);
        let again = send(&unrestricted);
        assert_eq!(again.key, first.key, "the object has moved");
        assert_eq!(send(&restricted).key, second.key);
    }
}

/// Guards against requests to endpoints that must not receive them.
#[rstest]
#[case::draining("draining")]
#[case::evacuated("evacuated")]
#[case::other_region("other region")]
#[case::misdirected("misdirected")]
#[case::tried("tried")]
fn ineligible_endpoint_receives_no_requests(#[case] reason: &str) {
    let now = Instant::now();
    let mut list = vec![endpoint("one", "north", 3), endpoint("two", "south", 3)];
    list[0].draining = reason == "draining";
    let mut balancer = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
    if reason == "evacuated" {
        balancer.set_evacuated(HashSet::from([domain("north-a")]), now);
    }
    let south = [region("south")];
    let tried = [list[0].key.clone()];
    let service = service();
    let mut req = pick_request(&service, 1);
    match reason {
        "other region" => req.allowed_regions = [&south, &[]],
        "tried" => req.tried = &tried,
        "misdirected" => {
            let target = send(&mut balancer, 1, now);
            assert_eq!(target.key, list[0].key);
            balancer.finish(&target, 1, Outcome::Misdirected, None, now);
        }
        _ => {}
    }
    for _ in 0..5 {
        match balancer.pick(&req, now) {
            Pick::Send(target) => assert_eq!(target.key, list[1].key),
            other => panic!("not sent: {other:?}"),
        }
    }
}

/// Guards against callers that wait although no endpoint can serve the request.
#[test]
fn request_without_an_endpoint_is_refused_at_once() {
    let now = Instant::now();
    let mut balancer = with_endpoints(balancer("a", "north", &REGIONS), &[], now);
    let pick = balancer.pick(&pick_request(&service(), 1), now);
    assert_eq!(pick, Pick::Refuse(PickRefusal::NoEndpoint));
}

/// Guards against queues in which every request misses its deadline. A request
/// that cannot be served in time is refused with a delay for the retry.
#[test]
fn requests_that_cannot_meet_their_deadline_are_refused() {
    let now = Instant::now();
    let list = [endpoint("one", "north", 1)];
    let mut balancer = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
    let mut sent = 0;
    for object in 0..20 {
        match balancer.pick(&pick_request(&service(), object), now) {
            Pick::Send(target) => {
                assert!(target.expected_latency < Duration::from_secs(3));
                sent += 1;
            }
            Pick::Refuse(PickRefusal::Busy(after)) => assert!(after > Duration::ZERO),
            other => panic!("not sent: {other:?}"),
        }
    }
    assert!((1..20).contains(&sent), "{sent} of 20 were sent");
}

/// Guards against an unreachable endpoint that remains the first choice for the
/// requests for its objects.
#[test]
fn unreachable_endpoint_is_ejected_and_probed_after_a_backoff() {
    let now = Instant::now();
    let list = [endpoint("one", "north", 3), endpoint("two", "north", 3)];
    let mut balancer = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
    let first = send(&mut balancer, 7, now);
    let backoff = balancer
        .finish(&first, 7, Outcome::Unreachable, None, now)
        .unwrap();
    assert_ne!(send(&mut balancer, 7, now).key, first.key);
    let later = now + backoff + Duration::from_millis(1);
    let mut probes = 0;
    for object in 0..20 {
        let target = send(&mut balancer, object, later);
        if target.key == first.key {
            probes += 1;
        } else {
            balancer.finish(&target, object, responded(200), None, later);
        }
    }
    assert_eq!(probes, 1, "one probe at a time");
}

/// Guards against an endpoint that gets no request any more after one response that
/// says that another endpoint has its address, and against many requests to an
/// address that another endpoint really has.
#[test]
fn endpoint_whose_address_another_one_has_is_probed_after_a_backoff() {
    let mut now = Instant::now();
    let list = [endpoint("one", "north", 3), endpoint("two", "north", 3)];
    let mut balancer = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
    let displaced = send(&mut balancer, 7, now);
    // Sends requests for new objects, and returns those that go to it; the others end
    // at once.
    let mut next_object = 100;
    let mut sent_there = |balancer: &mut Balancer, now| {
        let mut there = Vec::new();
        next_object += 20;
        for object in next_object..next_object + 20 {
            let target = send(balancer, object, now);
            if target.key == displaced.key {
                there.push(target);
            } else {
                balancer.finish(&target, object, responded(200), None, now);
            }
        }
        there
    };
    // Other requests are under way to it, and end in the same way.
    let others = sent_there(&mut balancer, now);
    assert!(!others.is_empty());
    for target in others.iter().chain([&displaced]) {
        balancer.finish(target, 7, Outcome::Misdirected, None, now);
    }
    let mut probes_at = sent_there;
    for backoff_s in [1, 2, 4, 8, 16, 16] {
        assert_eq!(probes_at(&mut balancer, now).len(), 0);
        now += Duration::from_secs(backoff_s) - Duration::from_millis(1);
        assert_eq!(probes_at(&mut balancer, now).len(), 0);
        now += Duration::from_millis(2);
        // A probe that shows nothing is followed by another one.
        let lost = probes_at(&mut balancer, now);
        assert_eq!(lost.len(), 1);
        balancer.finish(&lost[0], 7, Outcome::Cancelled, None, now);
        let probes = probes_at(&mut balancer, now);
        assert_eq!(probes.len(), 1);
        balancer.finish(&probes[0], 7, Outcome::Misdirected, None, now);
    }
    now += Duration::from_secs(17);
    let probes = probes_at(&mut balancer, now);
    balancer.finish(&probes[0], 7, responded(200), None, now);
    assert!(!probes_at(&mut balancer, now).is_empty());
}

/// Guards against sending requests to an endpoint that fails them all while
/// another endpoint works.
#[rstest]
#[case::refuses(Outcome::Refused)]
#[case::loses_connection(Outcome::ConnectionLost)]
#[case::responds_with_an_error(Outcome::Responded { latency: Duration::from_millis(50), failed: true })]
fn failing_endpoint_receives_few_requests(#[case] outcome: Outcome) {
    let now = Instant::now();
    let list = [endpoint("one", "north", 3), endpoint("two", "north", 3)];
    let mut balancer = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
    let failing = send(&mut balancer, 3, now);
    balancer.finish(&failing, 3, outcome, None, now);
    let mut time = now;
    let mut to_failing = 0;
    let service = service();
    for _ in 0..40 {
        time += Duration::from_millis(50);
        let mut req = pick_request(&service, 3);
        req.sticky = false;
        req.idempotent = false;
        let Pick::Send(target) = balancer.pick(&req, time) else {
            panic!("refused");
        };
        let is_failing = target.key == failing.key;
        to_failing += u32::from(is_failing);
        let result = if is_failing { outcome } else { responded(200) };
        balancer.finish(&target, 3, result, None, time);
    }
    assert!(
        to_failing <= 10,
        "{to_failing} of 40 requests went to the failing endpoint"
    );
}

/// Guards against a cold endpoint that receives its full share of the requests,
/// from one VM or from several that do not communicate.
#[test]
fn request_rate_of_a_cold_endpoint_is_limited_over_all_vms() {
    let start = Instant::now();
    let mut cold = endpoint("new", "north", 3);
    cold.cold_for = Duration::from_secs(3);
    let names: Vec<String> = (0..9).map(|n| format!("vm-{n}")).collect();
    let vms: Vec<_> = names.iter().map(|name| vm(name)).collect();
    let mut sent = Vec::new();
    for name in &names {
        let mut balancer = balancer(name, "north", &REGIONS);
        balancer.set_vms(vms.clone(), start);
        let mut balancer = with_endpoints(balancer, &[cold.clone()], start);
        for step in 0..300 {
            let now = start + Duration::from_millis(10 * step);
            if let Pick::Send(target) = balancer.pick(&pick_request(&service(), step), now) {
                balancer.finish(&target, step, responded(100), None, now);
                sent.push(now);
            }
        }
    }
    sent.sort();
    // The configured rate is 4 requests a second. Users accept up to one and a
    // half times that plus 5 in any second, so 12 requests must take longer.
    for window in sent.windows(12) {
        assert!(window[11] - window[0] > Duration::from_secs(1));
    }
    assert!(sent.len() >= 6, "only {} requests in 3 s", sent.len());
}

/// Guards against a further token for each sender whenever the list of running
/// VMs changes, as in a rolling restart while endpoints are cold.
#[test]
fn changes_of_the_running_vms_permit_no_further_request_to_a_cold_endpoint() {
    let start = Instant::now();
    let mut cold = endpoint("new", "north", 3);
    cold.cold_for = Duration::from_secs(3);
    let all: Vec<_> = (0..3).map(|n| vm(&format!("vm-{n}"))).collect();
    let mut sent = 0;
    for local in &all {
        let mut balancer = balancer(local.as_str(), "north", &REGIONS);
        balancer.set_vms(all.clone(), start);
        let mut balancer = with_endpoints(balancer, &[cold.clone()], start);
        for step in 0..100_usize {
            let now = start + Duration::from_millis(10 * step as u64);
            // One VM leaves and returns all the time; this one stays.
            let mut running = all.clone();
            running.retain(|name| name == local || *name != all[step % 3]);
            balancer.set_vms(running, now);
            if let Pick::Send(target) = balancer.pick(&pick_request(&service(), step as u64), now) {
                balancer.finish(&target, step as u64, responded(100), None, now);
                sent += 1;
            }
        }
    }
    // The configured rate is 4 requests a second. Users accept up to one and a
    // half times that plus 5 in any second.
    assert!(sent <= 11, "{sent} requests in a second");
}

/// Guards against sending most requests to another region as soon as the
/// preferred endpoint has a short queue: the spill limit allows only a fraction
/// of them to leave at once.
#[test]
fn few_requests_leave_their_region_when_slots_are_short() {
    let now = Instant::now();
    let mut list = vec![endpoint("near", "north", 3)];
    list.extend((0..8).map(|n| endpoint(&format!("far{n}"), "south", 30)));
    let mut balancer = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
    let service = service();
    let affinities = (0..40).map(|object| Affinity {
        object,
        endpoint: endpoint_hash("near"),
        version: 1,
        confirmed: true,
    });
    balancer.apply_affinities(affinities.collect(), now);
    let mut spilled = 0;
    let mut refused = 0;
    for n in 0..100 {
        balancer.count_request(&service, 1, now);
        match balancer.pick(&pick_request(&service, n % 40), now) {
            Pick::Send(target) if target.region != region("north") => spilled += 1,
            Pick::Send(_) => {}
            Pick::Refuse(_) => refused += 1,
            Pick::RequestToken(request) => panic!("no endpoint has a limit: {request:?}"),
        }
    }
    assert!(
        spilled <= 15,
        "{spilled} of 100 left their region, {refused} were refused"
    );
}

/// Guards against sending new objects to an endpoint whose last load report
/// shows that it is full.
#[test]
fn full_endpoint_is_not_picked_for_a_new_object() {
    let now = Instant::now();
    let list = [endpoint("one", "north", 3), endpoint("two", "north", 3)];
    let mut balancer = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
    let busy = send(&mut balancer, 5, now);
    let report = LoadReport {
        requests: 12,
        slots: 3,
    };
    balancer.finish(&busy, 5, responded(100), Some(report), now);
    for object in 1_000..1_004 {
        assert_ne!(send(&mut balancer, object, now).key, busy.key);
    }
}

/// Guards against refusing requests because of an assumed latency before any was
/// measured: a route whose timeout was close to its target latency never got a
/// request through.
#[test]
fn first_request_is_sent_even_with_a_short_timeout() {
    let now = Instant::now();
    let list = [endpoint("one", "north", 3)];
    let mut balancer = with_endpoints(balancer("a", "north", &REGIONS), &list, now);
    let service = service();
    let mut req = pick_request(&service, 1);
    req.time_left = req.target_latency;
    assert!(matches!(balancer.pick(&req, now), Pick::Send(_)));
}
