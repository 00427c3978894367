//! Which VMs run, who follows the store, and where objects are.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::affinity::{Affinity, AffinityTable};
use filbertgrade_coord::steering::members::{HEARTBEAT_TIMEOUT, Heartbeat, Member, Members};

use crate::scene::{domain, region, vm};

fn member(name: &str, place: &str, port: u16) -> Member {
    Member {
        vm: vm(name),
        incarnation: u64::from(port),
        caller_address: SocketAddr::from(([10, 0, 0, 1], port)),
        peer_address: SocketAddr::from(([10, 0, 0, 2], port)),
        region: region(place),
        failure_domain: domain(&format!("{place}-a")),
    }
}

fn beat(member: &Member, ready: bool) -> Heartbeat {
    Heartbeat {
        incarnation: member.incarnation,
        ready,
        leaving: false,
    }
}

fn ports(addresses: &[SocketAddr]) -> Vec<u16> {
    addresses.iter().map(SocketAddr::port).collect()
}

/// Guards against answers to look-ups that name VMs which are down, leave or
/// cannot serve, and against empty answers.
#[test]
fn look_ups_name_vms_that_can_serve() {
    let start = Instant::now();
    let (me, a, b, c) = (
        member("me", "north", 1),
        member("a", "north", 2),
        member("b", "north", 3),
        member("c", "south", 4),
    );
    let mut members = Members::new(me);
    members.set_listed(vec![a.clone(), b.clone(), c.clone()], start);
    let north = region("north");
    assert_eq!(
        ports(&members.lookup_addresses(Some(&north), true, start)),
        [2, 3, 1]
    );
    let now = start + HEARTBEAT_TIMEOUT + Duration::from_millis(1);
    members.record_heartbeat(&a.vm, beat(&a, true), now);
    assert_eq!(
        ports(&members.lookup_addresses(Some(&north), true, now)),
        [2, 1],
        "b is silent"
    );
    members.record_heartbeat(&a.vm, beat(&a, false), now);
    assert_eq!(
        ports(&members.lookup_addresses(Some(&north), true, now)),
        [1],
        "a is not ready"
    );
    members.record_heartbeat(&c.vm, beat(&c, true), now);
    assert_eq!(
        ports(&members.lookup_addresses(Some(&north), false, now)),
        [4],
        "another region is ready"
    );
    let leaving = Heartbeat {
        leaving: true,
        ..beat(&c, true)
    };
    members.record_heartbeat(&c.vm, leaving, now);
    let named = ports(&members.lookup_addresses(Some(&north), false, now));
    assert_eq!(named, [2], "a runs, though it is not ready");
    let stale = Heartbeat {
        incarnation: 99,
        ..beat(&b, true)
    };
    assert!(
        !members.record_heartbeat(&b.vm, stale, now),
        "another start of b"
    );
    let alone = Members::new(member("me", "north", 1));
    assert_eq!(
        ports(&alone.lookup_addresses(Some(&north), false, now)),
        [1]
    );
}

/// Guards against two followers of the store in a region, or none, and against
/// a relay that has died.
#[test]
fn one_running_vm_of_a_region_follows_the_store() {
    let start = Instant::now();
    let all: Vec<Member> = (0..5)
        .map(|n| member(&format!("vm-{n}"), "north", n + 1))
        .collect();
    let relay_of = |me: &Member, dead: Option<&Member>| {
        let mut members = Members::new(me.clone());
        members.set_listed(all.clone(), start);
        for peer in all.iter().filter(|peer| Some(*peer) != dead) {
            members.record_heartbeat(&peer.vm, beat(peer, true), start);
        }
        members.relay(start).unwrap_or(me.peer_address)
    };
    let relay = relay_of(&all[0], None);
    assert!(all.iter().all(|me| relay_of(me, None) == relay));
    let dead = all
        .iter()
        .find(|member| member.peer_address == relay)
        .unwrap();
    // The one that takes over asks the relay first, all others ask it second.
    let second_of = |me: &Member| {
        let mut members = Members::new(me.clone());
        members.set_listed(all.clone(), start);
        for peer in &all {
            members.record_heartbeat(&peer.vm, beat(peer, true), start);
        }
        members.relays(start).get(1).copied()
    };
    let living: Vec<_> = all.iter().filter(|member| *member != dead).collect();
    let next = relay_of(living[0], Some(dead));
    assert_ne!(next, relay);
    assert!(living.iter().all(|me| relay_of(me, Some(dead)) == next));
    assert!(
        living
            .iter()
            .all(|me| second_of(me).unwrap_or(me.peer_address) == next)
    );
}

/// Guards against a VM that has to tell all others of a large region what has
/// changed, and against VMs that are not reached.
#[test]
fn relays_of_a_large_region_share_its_questions() {
    let start = Instant::now();
    let all: Vec<Member> = (0..175)
        .map(|n| member(&format!("vm-{n}"), "north", n + 1))
        .collect();
    let mut asked: HashMap<SocketAddr, usize> = HashMap::new();
    let mut parents: HashMap<SocketAddr, SocketAddr> = HashMap::new();
    for me in &all {
        let mut members = Members::new(me.clone());
        members.set_listed(all.clone(), start);
        for peer in &all {
            members.record_heartbeat(&peer.vm, beat(peer, true), start);
        }
        if let Some(parent) = members.relay(start) {
            *asked.entry(parent).or_default() += 1;
            parents.insert(me.peer_address, parent);
        }
    }
    assert_eq!(parents.len(), 174, "one VM follows the store");
    assert!(asked.values().all(|count| *count <= 10), "{asked:?}");
    for me in &all {
        let mut steps = 0;
        let mut at = me.peer_address;
        while let Some(parent) = parents.get(&at) {
            at = *parent;
            steps += 1;
        }
        assert!(steps <= 3, "{steps} steps to the store");
    }
}

/// Guards against VMs of another region that count as down while one of them
/// speaks for all.
#[test]
fn state_of_another_region_comes_from_one_of_its_vms() {
    let start = Instant::now();
    let c = member("c", "south", 4);
    let d = member("d", "south", 5);
    let mut members = Members::new(member("me", "north", 1));
    members.set_listed(vec![c.clone(), d.clone()], start);
    let now = start + HEARTBEAT_TIMEOUT * 2;
    assert_eq!(members.running(now), [vm("me")]);
    let state = HashMap::from([(c.vm.clone(), true)]);
    members.record_region_summary(&region("south"), &state, now);
    assert_eq!(members.running(now), [vm("c"), vm("me")]);
}

/// Guards against VMs that keep different homes of one object for good, after
/// both gave it one at the same time, and against an older change that wins.
#[test]
fn homes_converge_whatever_the_order_of_messages() {
    let now = Instant::now();
    let (mut a, mut b) = (AffinityTable::default(), AffinityTable::default());
    a.record_use(1, 100, now);
    b.record_use(1, 200, now);
    let (from_a, from_b) = (a.take_pending_updates(10), b.take_pending_updates(10));
    for home in from_b {
        a.apply_update(home, now);
    }
    for home in from_a {
        b.apply_update(home, now);
    }
    assert_eq!(a.get(1), b.get(1));
    a.record_use(1, 300, now);
    for home in a.take_pending_updates(10) {
        b.apply_update(home, now);
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

/// Guards against objects that were asked for once and count for good.
#[test]
fn objects_count_while_they_are_asked_for() {
    let start = Instant::now();
    let mut homes = AffinityTable::default();
    homes.record_use(1, 100, start);
    homes.record_use(2, 100, start);
    homes.record_use(2, 100, start);
    assert_eq!(homes.object_count(100), 2);
    let later = start + Duration::from_secs(5);
    homes.record_use(3, 200, later);
    assert_eq!(
        homes.object_count(100),
        1,
        "only the object that came again counts"
    );
    assert_eq!(homes.snapshot(later).len(), 1);
}
