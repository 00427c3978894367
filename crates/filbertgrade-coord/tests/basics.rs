//! Tests of names, the token bucket, rendezvous hashing and dissemination.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertgrade_coord::bucket::{RateShare, TokenBucket};
use filbertgrade_coord::dissemination::{
    Member, NEIGHBOURS_PER_TIER, POLL_DELAY, StorePoll, is_relay, neighbours, next_store_poll,
    pull_peers,
};
use filbertgrade_coord::names::{FailureDomainName, RegionName, TeamName, VmName};
use filbertgrade_coord::rendezvous::{owner, top};
use rstest::rstest;

// Guards against names that break a header, a path or a log line.
#[rstest]
#[case("a", true)]
#[case("gent-a-1", true)]
#[case(&"x".repeat(63), true)]
#[case(&"x".repeat(64), false)]
#[case("", false)]
#[case("Gent", false)]
#[case("a/b", false)]
#[case("a b", false)]
#[case("é", false)]
fn names_are_validated(#[case] name: &str, #[case] valid: bool) {
    assert_eq!(TeamName::try_from(name).is_ok(), valid);
    assert_eq!(name.parse::<VmName>().is_ok(), valid);
}

// Guards against shares that are negative, infinite or not a number, which would
// make every sum that contains them invalid.
#[rstest]
#[case(-1.0, 1.0)]
#[case(1.0, f64::NAN)]
#[case(f64::INFINITY, 1.0)]
fn rate_shares_are_validated(#[case] rate: f64, #[case] burst: f64) {
    assert!(RateShare::new(rate, burst).is_err());
}

// Guards against a bucket that starts with tokens, that holds more tokens than its
// burst, or that gains tokens when `now` goes back.
#[test]
fn bucket_starts_empty_and_fills_to_its_burst() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(RateShare::new(10.0, 3.0).unwrap(), start);
    assert!(!bucket.try_take(start));
    assert_eq!(
        bucket.time_until(2, start),
        Some(Duration::from_millis(200))
    );
    let later = start + Duration::from_secs(60);
    assert_eq!((0..5).filter(|_| bucket.try_take(later)).count(), 3);
    bucket.refill(start);
    assert!(!bucket.try_take(later));
}

// Guards against tokens above the burst that remain after a share was removed.
#[test]
fn bucket_keeps_tokens_within_a_smaller_burst() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(RateShare::new(1.0, 2.0).unwrap(), now);
    let share = RateShare::new(5.0, 4.0).unwrap();
    bucket.add_share(share, 9.0, now);
    assert_eq!(bucket.tokens(), 6.0);
    bucket.remove_share(share, now);
    assert_eq!(
        (bucket.tokens(), bucket.share()),
        (2.0, RateShare::new(1.0, 2.0).unwrap())
    );
    bucket.set_share(RateShare::new(0.0, 0.5).unwrap(), now);
    assert_eq!((bucket.tokens(), bucket.time_until(1, now)), (0.5, None));
}

// Guards against owners that differ between builds, by comparing with fixed
// values.
#[test]
fn rendezvous_owners_are_the_same_in_every_build() {
    let nodes = ["a", "b", "c", "d"];
    let owners = ["k1", "k2", "k3", "k4", "k5"].map(|k| owner(k, nodes).unwrap());
    assert_eq!(owners, ["c", "d", "b", "d", "b"]);
    assert_eq!(owner("k1", Vec::<&str>::new()), None);
}

// Guards against keys that get a new owner although their owner is still in the
// list, and against an uneven distribution of keys.
#[test]
fn rendezvous_moves_only_the_keys_of_a_lost_node() {
    let nodes = ["a", "b", "c", "d"];
    let mut owned = BTreeMap::new();
    for key in (0..4_000).map(|i| format!("key-{i}")) {
        let first = owner(&key, nodes).unwrap();
        assert_eq!(top(&key, nodes, 2)[0], first);
        let remaining = nodes.into_iter().filter(|n| *n != "a");
        let next = owner(&key, remaining).unwrap();
        let expected = if first == "a" {
            top(&key, nodes, 2)[1]
        } else {
            first
        };
        assert_eq!(next, expected);
        *owned.entry(first).or_insert(0) += 1;
    }
    assert!(
        owned.values().all(|n| (850..1_150).contains(n)),
        "{owned:?}"
    );
}

/// Returns 18 members in three regions, each with two failure domains.
fn fleet() -> Vec<Member> {
    let member = |i: usize| Member {
        vm: VmName::try_from(format!("vm-{i}").as_str()).unwrap(),
        region: RegionName::try_from(format!("r-{}", i / 6).as_str()).unwrap(),
        failure_domain: FailureDomainName::try_from(format!("d-{}", i / 3).as_str()).unwrap(),
    };
    (0..18).map(member).collect()
}

// Guards against failure domains with too few relays, and against domains in which
// every agent watches the store.
#[test]
fn each_failure_domain_has_two_relays() {
    let fleet = fleet();
    for domain in fleet.chunks(3) {
        assert_eq!(domain.iter().filter(|m| is_relay(m, &fleet)).count(), 2);
    }
}

// Guards against an agent that pulls from itself, twice from one peer, or from its
// own failure domain only.
#[test]
fn pull_peers_are_in_own_domain_own_region_and_another_region() {
    let fleet = fleet();
    let find = |vm: &VmName| fleet.iter().find(|m| m.vm == *vm).unwrap();
    let mut pulled: BTreeMap<VmName, u32> = BTreeMap::new();
    for round in 0..600 {
        let me = &fleet[0];
        let peers = pull_peers(me, &fleet, round, 7);
        let [a, b, c] = [0, 1, 2].map(|i| find(&peers[i]));
        assert!(a.failure_domain == me.failure_domain && a.vm != me.vm);
        assert!(b.region == me.region && b.failure_domain != me.failure_domain);
        assert!(c.region != me.region);
        for peer in peers {
            *pulled.entry(peer).or_default() += 1;
        }
    }
    assert_eq!(pulled.len(), 17, "some agents were never pulled from");
    assert!(pulled.values().all(|n| *n >= 25), "{pulled:?}");
}

// Guards against an agent of a small fleet that pulls from fewer peers than it
// could, for instance with one VM in each failure domain.
#[rstest]
#[case(1, 0)]
#[case(2, 1)]
#[case(3, 2)]
#[case(5, 3)]
fn pull_peers_of_a_small_fleet_are_in_any_tier(#[case] members: usize, #[case] peers: usize) {
    let fleet = &fleet()[..members];
    let mut chosen = pull_peers(&fleet[0], fleet, 1, 7);
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), peers);
    assert!(!chosen.contains(&fleet[0].vm));
}

// Guards against connections that grow in number with the fleet, and against a
// tier without neighbours.
#[test]
fn number_of_neighbours_is_independent_of_the_fleet_size() {
    for domains in [72, 144] {
        let fleet: Vec<Member> = (0..domains * 48)
            .map(|i| Member {
                vm: VmName::try_from(format!("vm-{i}").as_str()).unwrap(),
                region: RegionName::try_from(format!("r-{}", i % domains % 20).as_str()).unwrap(),
                failure_domain: FailureDomainName::try_from(format!("d-{}", i % domains).as_str())
                    .unwrap(),
            })
            .collect();
        let me = &fleet[0];
        let chosen = neighbours(me, &fleet);
        let own_domain = |m: &&&Member| m.failure_domain == me.failure_domain;
        let own_region =
            |m: &&&Member| m.region == me.region && m.failure_domain != me.failure_domain;
        let other_region = |m: &&&Member| m.region != me.region;
        assert_eq!(
            chosen.iter().filter(own_domain).count(),
            NEIGHBOURS_PER_TIER
        );
        assert_eq!(
            chosen.iter().filter(own_region).count(),
            NEIGHBOURS_PER_TIER
        );
        assert_eq!(
            chosen.iter().filter(other_region).count(),
            NEIGHBOURS_PER_TIER
        );
        assert!(chosen.iter().all(|m| m.vm != me.vm));
    }
}

// Guards against VMs of a small fleet that never pull from each other.
#[test]
fn all_vms_of_a_small_fleet_are_neighbours() {
    let fleet = &fleet()[..10];
    for me in fleet {
        assert_eq!(neighbours(me, fleet).len(), 9);
    }
}

// Guards against an agent that no others or too many others pull from, and against
// new connections to most neighbours when one VM leaves.
#[test]
fn neighbours_are_evenly_distributed_and_stable() {
    let fleet: Vec<Member> = (0..960)
        .map(|i| Member {
            vm: VmName::try_from(format!("vm-{i}").as_str()).unwrap(),
            region: RegionName::try_from(format!("r-{}", i % 20 % 5).as_str()).unwrap(),
            failure_domain: FailureDomainName::try_from(format!("d-{}", i % 20).as_str()).unwrap(),
        })
        .collect();
    let mut puller_counts: BTreeMap<&VmName, usize> = BTreeMap::new();
    for me in &fleet {
        let before = neighbours(me, &fleet);
        let after = neighbours(me, &fleet[..fleet.len() - 1]);
        let new = after.iter().filter(|m| !before.contains(m)).count();
        assert!(new <= 1, "{new} new neighbours");
        for m in before {
            *puller_counts.entry(&m.vm).or_default() += 1;
        }
    }
    assert_eq!(
        puller_counts.len(),
        fleet.len(),
        "no agent pulls from some of the agents"
    );
    let most = puller_counts.values().max().unwrap();
    assert!(
        *most <= 6 * NEIGHBOURS_PER_TIER,
        "{most} agents pull from one agent"
    );
}

// Guards against agents that poll the store simultaneously or while confirmations
// arrive, and against a backoff without limits.
#[test]
fn store_polls_are_jittered_and_back_off() {
    let now = Instant::now();
    let polls: Vec<_> = (0..50)
        .map(|seed| next_store_poll(now, None, seed, now))
        .collect();
    let delay = |poll: &StorePoll| match poll {
        StorePoll::At(at) => at.duration_since(now),
        StorePoll::Now => Duration::ZERO,
    };
    assert!(
        polls
            .iter()
            .all(|p| delay(p) >= POLL_DELAY && delay(p) <= POLL_DELAY + Duration::from_millis(500))
    );
    assert!(
        polls
            .iter()
            .collect::<Vec<_>>()
            .windows(2)
            .any(|w| w[0] != w[1])
    );
    assert_eq!(
        next_store_poll(now, None, 1, now + Duration::from_secs(3)),
        StorePoll::Now
    );
    for n in 1..40 {
        let backoff = delay(&next_store_poll(now, Some((now, n)), 1, now));
        assert!(backoff >= Duration::from_millis(500) && backoff <= Duration::from_secs(8));
    }
}
