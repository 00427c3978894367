//! Tests of which VMs are considered running, which ones poll the store, and the
//! affinity of objects.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::affinity::{Affinity, AffinityTable};
use filbertgrade_coord::steering::members::{
    HEARTBEAT_TIMEOUT, Heartbeat, MAX_LOOKUP_VMS, Member, Members, RegionVms,
};
use rstest::rstest;

use crate::scene::{domain, region, vm};

fn member(name: &str, region_name: &str, port: u16) -> Member {
    Member {
        vm: vm(name),
        incarnation: u64::from(port),
        caller_address: SocketAddr::from(([10, 0, 0, 1], port)),
        peer_address: SocketAddr::from(([10, 0, 0, 2], port)),
        region: region(region_name),
        failure_domain: domain(&format!("{region_name}-a")),
    }
}

fn heartbeat(member: &Member, ready: bool) -> Heartbeat {
    Heartbeat {
        incarnation: member.incarnation,
        ready,
        leaving: false,
        store_unreachable: false,
    }
}

fn ports(addresses: &[SocketAddr]) -> Vec<u16> {
    addresses.iter().map(SocketAddr::port).collect()
}

/// Guards against lookups that return VMs which are down, about to stop or not
/// ready, and against empty responses.
#[test]
fn lookups_return_vms_that_can_serve() {
    let start = Instant::now();
    let (local, a, b, c) = (
        member("local", "north", 1),
        member("a", "north", 2),
        member("b", "north", 3),
        member("c", "south", 4),
    );
    let mut members = Members::new(local);
    members.set_listed(vec![a.clone(), b.clone(), c.clone()], start);
    let north = region("north");
    assert_eq!(
        ports(&members.lookup_addresses(Some(&north), true, start)),
        [2, 3, 1]
    );
    let now = start + HEARTBEAT_TIMEOUT + Duration::from_millis(1);
    members.record_heartbeat(&a.vm, heartbeat(&a, true), now);
    assert_eq!(
        ports(&members.lookup_addresses(Some(&north), true, now)),
        [2, 1],
        "b has timed out"
    );
    members.record_heartbeat(&a.vm, heartbeat(&a, false), now);
    assert_eq!(
        ports(&members.lookup_addresses(Some(&north), true, now)),
        [1],
        "a is not ready"
    );
    members.record_heartbeat(&c.vm, heartbeat(&c, true), now);
    assert_eq!(
        ports(&members.lookup_addresses(Some(&north), false, now)),
        [4],
        "only another region has a ready VM"
    );
    let leaving = Heartbeat {
        leaving: true,
        ..heartbeat(&c, true)
    };
    members.record_heartbeat(&c.vm, leaving, now);
    let returned = ports(&members.lookup_addresses(Some(&north), false, now));
    assert_eq!(returned, [2], "no VM is ready, and only a runs");
    let other_incarnation = Heartbeat {
        incarnation: 99,
        ..heartbeat(&b, true)
    };
    assert!(
        !members.record_heartbeat(&b.vm, other_incarnation, now),
        "a heartbeat of another incarnation of b is ignored"
    );
    let single = Members::new(member("local", "north", 1));
    assert_eq!(
        ports(&single.lookup_addresses(Some(&north), false, now)),
        [1]
    );
}

/// Guards against VMs of a large region that no lookup names, so that they are
/// idle while the others are overloaded, and against responses that differ
/// within a failure domain.
#[rstest]
#[case(64)]
#[case(65)]
#[case(100)]
#[case(175)]
#[case(400)]
fn lookups_together_name_all_vms_of_a_large_region(#[case] count: u16) {
    let start = Instant::now();
    let all: Vec<Member> = (0..count)
        .map(|n| Member {
            failure_domain: domain(["north-a", "north-b", "north-c"][usize::from(n % 3)]),
            ..member(&format!("vm-{n}"), "north", n + 1)
        })
        .collect();
    let north = region("north");
    let mut named: HashMap<u16, usize> = HashMap::new();
    let mut by_domain: HashMap<String, Vec<Vec<u16>>> = HashMap::new();
    for local in &all {
        let mut members = Members::new(local.clone());
        members.set_listed(all.clone(), start);
        let returned = ports(&members.lookup_addresses(Some(&north), true, start));
        assert!(returned.len() <= MAX_LOOKUP_VMS);
        for port in &returned {
            *named.entry(*port).or_default() += 1;
        }
        let domain = local.failure_domain.as_str().to_owned();
        by_domain.entry(domain).or_default().push(returned);
    }
    assert_eq!(named.len(), usize::from(count));
    let most = named.values().max().unwrap();
    let least = named.values().min().unwrap();
    assert!(most <= &(2 * least + 3), "named {least} to {most} times");
    if usize::from(count) <= 3 * MAX_LOOKUP_VMS {
        let same = |lists: &Vec<Vec<u16>>| lists.iter().all(|list| *list == lists[0]);
        assert!(by_domain.values().all(same));
    }
}

/// Guards against a region whose relays are all turned away by the store, while
/// other VMs of the region could reach it.
#[test]
fn vm_that_the_store_serves_becomes_the_relay() {
    let start = Instant::now();
    let all: Vec<Member> = (0..30)
        .map(|n| member(&format!("vm-{n}"), "north", n + 1))
        .collect();
    let is_rejected =
        |member: &Member, rejected: &[SocketAddr]| rejected.contains(&member.peer_address);
    let relays_of = |local: &Member, rejected: &[SocketAddr]| {
        let mut members = Members::new(local.clone());
        members.set_listed(all.clone(), start);
        for peer in &all {
            let heartbeat = Heartbeat {
                store_unreachable: is_rejected(peer, rejected),
                ..heartbeat(peer, true)
            };
            members.record_heartbeat(&peer.vm, heartbeat, start);
        }
        members.relays(is_rejected(local, rejected), start)
    };
    let follows_store = |rejected: &[SocketAddr]| -> Vec<SocketAddr> {
        let without_relay = all.iter().filter(|vm| relays_of(vm, rejected).is_empty());
        without_relay.map(|vm| vm.peer_address).collect()
    };
    // One after the other, each VM that polls the store is turned away.
    let mut rejected = Vec::new();
    for _ in 0..all.len() {
        let polling = follows_store(&rejected);
        assert_eq!(polling.len(), 1, "one VM polls the store");
        assert!(!rejected.contains(&polling[0]));
        for vm in &all {
            let relays = relays_of(vm, &rejected);
            assert!(relays.first().is_none_or(|relay| {
                *relay == polling[0] || !rejected.contains(relay) || rejected.len() > 18
            }));
        }
        rejected.push(polling[0]);
    }
    // When the store serves none of them, the first VM keeps trying.
    assert_eq!(follows_store(&rejected), [rejected[0]]);
}

/// Guards against regions in which no VM or more than one polls the store, and
/// against VMs that keep polling a relay which is down.
#[test]
fn exactly_one_running_vm_of_a_region_polls_the_store() {
    let start = Instant::now();
    let all: Vec<Member> = (0..5)
        .map(|n| member(&format!("vm-{n}"), "north", n + 1))
        .collect();
    let relay_of = |local: &Member, down: Option<&Member>| {
        let mut members = Members::new(local.clone());
        members.set_listed(all.clone(), start);
        for peer in all.iter().filter(|peer| Some(*peer) != down) {
            members.record_heartbeat(&peer.vm, heartbeat(peer, true), start);
        }
        members.relay(false, start).unwrap_or(local.peer_address)
    };
    let relay = relay_of(&all[0], None);
    assert!(all.iter().all(|vm| relay_of(vm, None) == relay));
    let down = all
        .iter()
        .find(|member| member.peer_address == relay)
        .unwrap();
    // The VM that takes over has the relay as its first choice, and is the second
    // choice of all others.
    let second_relay_of = |local: &Member| {
        let mut members = Members::new(local.clone());
        members.set_listed(all.clone(), start);
        for peer in &all {
            members.record_heartbeat(&peer.vm, heartbeat(peer, true), start);
        }
        members.relays(false, start).get(1).copied()
    };
    let running: Vec<_> = all.iter().filter(|member| *member != down).collect();
    let next = relay_of(running[0], Some(down));
    assert_ne!(next, relay);
    assert!(running.iter().all(|vm| relay_of(vm, Some(down)) == next));
    assert!(
        running
            .iter()
            .all(|vm| second_relay_of(vm).unwrap_or(vm.peer_address) == next)
    );
}

/// Guards against one VM that has to send each change to all others of a large
/// region, and against VMs that no relay serves.
#[test]
fn relays_of_a_large_region_share_the_load() {
    let start = Instant::now();
    let all: Vec<Member> = (0..175)
        .map(|n| member(&format!("vm-{n}"), "north", n + 1))
        .collect();
    let mut child_counts: HashMap<SocketAddr, usize> = HashMap::new();
    let mut parents: HashMap<SocketAddr, SocketAddr> = HashMap::new();
    for local in &all {
        let mut members = Members::new(local.clone());
        members.set_listed(all.clone(), start);
        for peer in &all {
            members.record_heartbeat(&peer.vm, heartbeat(peer, true), start);
        }
        if let Some(parent) = members.relay(false, start) {
            *child_counts.entry(parent).or_default() += 1;
            parents.insert(local.peer_address, parent);
        }
    }
    assert_eq!(parents.len(), 174, "only one VM polls the store");
    assert!(
        child_counts.values().all(|count| *count <= 10),
        "{child_counts:?}"
    );
    for local in &all {
        let mut steps = 0;
        let mut at = local.peer_address;
        while let Some(parent) = parents.get(&at) {
            at = *parent;
            steps += 1;
        }
        assert!(steps <= 3, "{steps} steps to the store");
    }
}

/// Guards against VMs of another region that are considered down although the
/// summary of their region lists them.
#[test]
fn region_summary_replaces_heartbeats_of_its_vms() {
    let start = Instant::now();
    let c = member("c", "south", 4);
    let d = member("d", "south", 5);
    let mut members = Members::new(member("local", "north", 1));
    members.set_listed(vec![c.clone(), d.clone()], start);
    let now = start + HEARTBEAT_TIMEOUT * 2;
    assert_eq!(members.running(now), [vm("local")]);
    let summary = RegionVms::Running(HashMap::from([(c.vm.clone(), true)]));
    members.record_region_summary(&region("south"), &summary, now);
    assert_eq!(members.running(now), [vm("c"), vm("local")]);
}

/// Guards against a region whose names do not fit a datagram, so that the arrivals
/// of its teams are cut from it, and against exceptions that are not applied.
#[test]
fn summary_of_a_large_region_lists_the_exceptions() {
    const MAX_NAME_BYTES: usize = 500;
    let start = Instant::now();
    let all: Vec<Member> = (0..175)
        .map(|n| member(&format!("front-vlaanderen-{n}"), "north", n + 1))
        .collect();
    let mut sender = Members::new(all[0].clone());
    sender.set_listed(all.clone(), start);
    let now = start + HEARTBEAT_TIMEOUT * 2;
    for peer in &all[3..] {
        sender.record_heartbeat(&peer.vm, heartbeat(peer, peer.vm != all[5].vm), now);
    }
    let summary = sender.region_summary(true, MAX_NAME_BYTES, now);
    let expected = RegionVms::AllExcept {
        not_ready: HashSet::from([all[5].vm.clone()]),
        not_running: HashSet::from([all[1].vm.clone(), all[2].vm.clone()]),
    };
    assert_eq!(summary, expected);
    let mut receiver = Members::new(member("local", "south", 1_000));
    receiver.set_listed(all.clone(), start);
    receiver.record_region_summary(&region("north"), &summary, now);
    assert_eq!(receiver.running(now).len(), 175 - 2 + 1);
    let north = region("north");
    for _ in 0..2 {
        let named = ports(&receiver.lookup_addresses(Some(&north), true, now));
        assert!(![2, 3, 6].iter().any(|port| named.contains(port)));
    }
    // A small region is described as before.
    let mut small = Members::new(all[0].clone());
    small.set_listed(all[..10].to_vec(), now);
    let summary = small.region_summary(true, MAX_NAME_BYTES, now);
    assert!(matches!(summary, RegionVms::Running(running) if running.len() == 10));
}

/// Guards against VMs that keep different affinities for one object after both
/// assigned one at the same time, and against an older version that replaces a
/// newer one.
#[test]
fn affinities_converge_in_any_order_of_updates() {
    let now = Instant::now();
    let (mut a, mut b) = (AffinityTable::default(), AffinityTable::default());
    a.record_use(1, 100, now);
    b.record_use(1, 200, now);
    let (from_a, from_b) = (a.take_pending_updates(10), b.take_pending_updates(10));
    for update in from_b {
        a.apply_update(update, now);
    }
    for update in from_a {
        b.apply_update(update, now);
    }
    assert_eq!(a.get(1), b.get(1));
    a.record_use(1, 300, now);
    for update in a.take_pending_updates(10) {
        b.apply_update(update, now);
    }
    assert_eq!(b.get(1), Some(300));
    b.apply_update(
        Affinity {
            object: 1,
            endpoint: 900,
            version: 1,
            confirmed: true,
        },
        now,
    );
    assert_eq!(b.get(1), Some(300));
}

/// Guards against objects that stay assigned forever after a single request.
#[test]
fn affinity_of_an_object_without_further_requests_expires() {
    let start = Instant::now();
    let mut table = AffinityTable::default();
    table.record_use(1, 100, start);
    table.record_use(2, 100, start);
    table.record_use(2, 100, start);
    assert_eq!(table.object_count(100), 2);
    let later = start + Duration::from_secs(5);
    table.record_use(3, 200, later);
    assert_eq!(
        table.object_count(100),
        1,
        "only the object with a second request is still counted"
    );
    assert_eq!(table.snapshot(later).len(), 1);
}
