//! Tests of the decisions that follow failed pulls and stalled watches.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rstest::rstest;

use filbertgrade_coord::steering::following::{
    AfterPullFailure, ProbeDelay, PullFailure, PullOutcomes, ReadFrom, StallDetector, read_from,
};
use filbertgrade_coord::steering::placement::{score, unit_interval};
use filbertgrade_coord::steering::store_revision::StoreRevision;

const TOLERANCE: Duration = Duration::from_millis(400);

fn relay(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Guards against a relay that is given up, with all its load moved to another
/// one, because a single connection to it failed.
#[test]
fn relay_is_excluded_only_after_a_new_connection_failed_as_well() {
    let mut outcomes = PullOutcomes::default();
    let fail = |outcomes: &mut PullOutcomes| {
        outcomes.record_failure(relay(1), PullFailure::Connection, 2, false)
    };
    outcomes.record_success(relay(1));
    assert_eq!(fail(&mut outcomes), AfterPullFailure::Reconnect);
    assert_eq!(fail(&mut outcomes), AfterPullFailure::Exclude);
    outcomes.record_success(relay(1));
    assert_eq!(fail(&mut outcomes), AfterPullFailure::Reconnect);
    outcomes.record_success(relay(1));
    assert_eq!(fail(&mut outcomes), AfterPullFailure::Reconnect);
}

/// Guards against relays that failed together and take twice as long to give up as
/// the first one: the connection to the next relay is a new one.
#[test]
fn relay_that_has_not_replied_yet_is_excluded_at_its_first_failure() {
    let mut outcomes = PullOutcomes::default();
    outcomes.record_success(relay(1));
    outcomes.record_failure(relay(1), PullFailure::Connection, 2, false);
    assert!(!outcomes.is_proven(relay(1)));
    outcomes.record_failure(relay(1), PullFailure::Connection, 2, false);
    assert!(!outcomes.is_proven(relay(2)));
    let step = outcomes.record_failure(relay(2), PullFailure::Connection, 2, false);
    assert_eq!(step, AfterPullFailure::Exclude);
}

/// Guards against a relay without a recent copy that is asked again and again, and
/// against one that is given no time to reach the store although there is another
/// relay.
#[test]
fn relay_without_a_recent_copy_is_pulled_from_once_more_unless_it_is_the_only_one() {
    let mut outcomes = PullOutcomes::default();
    let no_copy = PullFailure::NoRecentCopy;
    let step = outcomes.record_failure(relay(1), no_copy, 1, false);
    assert_eq!(step, AfterPullFailure::Exclude);
    let step = outcomes.record_failure(relay(1), no_copy, 2, false);
    assert_eq!(step, AfterPullFailure::RetryLater);
    let step = outcomes.record_failure(relay(1), no_copy, 2, false);
    assert_eq!(step, AfterPullFailure::Exclude);
    let step = outcomes.record_failure(relay(2), no_copy, 2, false);
    assert_eq!(step, AfterPullFailure::RetryLater);
    outcomes.record_success(relay(2));
    let step = outcomes.record_failure(relay(2), no_copy, 2, false);
    assert_eq!(step, AfterPullFailure::RetryLater);
    let step = outcomes.record_failure(relay(2), PullFailure::Connection, 2, false);
    assert_eq!(step, AfterPullFailure::Exclude);
    // The store is lost, so that waiting for the relay only delays the next probe.
    let step = outcomes.record_failure(relay(1), no_copy, 2, true);
    assert_eq!(step, AfterPullFailure::Exclude);
}

/// Guards against reads that are repeated although nothing has changed.
#[test]
fn watch_that_is_not_behind_never_stalls() {
    let now = Instant::now();
    let mut detector = StallDetector::new(StoreRevision::first_era(7), TOLERANCE);
    assert_eq!(
        detector.record_newest(StoreRevision::first_era(0), now),
        None
    );
    assert_eq!(
        detector.record_newest(StoreRevision::first_era(7), now),
        None
    );
}

/// Guards against a detection that each further change postpones, in a release
/// that changes endpoints several times a second.
#[test]
fn stall_is_counted_from_the_first_missed_change() {
    let now = Instant::now();
    let mut detector = StallDetector::new(StoreRevision::first_era(7), TOLERANCE);
    let stalled_at = detector.record_newest(StoreRevision::first_era(8), now);
    assert_eq!(stalled_at, Some(now + TOLERANCE));
    for n in 1..10 {
        let later = now + Duration::from_millis(100) * n;
        assert_eq!(
            detector.record_newest(StoreRevision::first_era(8 + u64::from(n)), later),
            stalled_at
        );
    }
}

/// Guards against VMs that call the store although a relay works, and against
/// one that never calls it again because its relays are cut off from it.
#[test]
fn vm_reads_from_a_relay_that_works_and_calls_the_store_at_times() {
    let relays = [1, 2].map(|port| SocketAddr::from(([10, 0, 0, 1], port)));
    let none_failed = |_: &SocketAddr| false;
    let first_failed = |relay: &SocketAddr| *relay == relays[0];
    let all_failed = |_: &SocketAddr| true;
    for (unreachable, due) in [(false, false), (true, false), (true, true)] {
        let first = read_from(&relays, none_failed, unreachable, due);
        assert_eq!(first, ReadFrom::Relay(relays[0]));
        let second = read_from(&relays, first_failed, unreachable, due);
        assert_eq!(second, ReadFrom::Relay(relays[1]));
        let root = read_from(&[], none_failed, unreachable, due);
        assert_eq!(root, ReadFrom::Store);
    }
    let from = |unreachable, due| read_from(&relays, all_failed, unreachable, due);
    assert_eq!(from(false, false), ReadFrom::Store);
    assert_eq!(from(true, false), ReadFrom::Wait(relays[0]));
    assert_eq!(from(true, true), ReadFrom::Store);
}

/// Guards against an outage in which the calls to the store grow with the
/// region, and against a region that notices the end of it late.
#[rstest]
#[case(1)]
#[case(3)]
#[case(65)]
#[case(175)]
fn calls_of_a_region_to_a_lost_store_are_bounded(#[case] vms: usize) {
    const OUTAGE: Duration = Duration::from_secs(30);
    let mut calls: Vec<Duration> = Vec::new();
    for vm in 0..vms {
        let mut delay = ProbeDelay::default();
        let mut at = Duration::ZERO;
        for n in 0_u64.. {
            let jitter = unit_interval(score(vm as u64, n));
            at += delay.next(vms, jitter);
            if at > OUTAGE {
                break;
            }
            calls.push(at);
        }
    }
    calls.sort();
    // All VMs start at once; they have slowed down after ten seconds.
    let late: Vec<_> = calls.iter().filter(|at| at.as_secs() >= 10).collect();
    let rate = late.len() as f64 / 20.0;
    // A VM makes one call in at least 0.9 s on average, and in a large region one
    // in 6 s.
    let per_vm = rate / vms as f64;
    assert!(per_vm <= 1.2, "{per_vm} calls a second for each VM");
    assert!(
        vms < 65 || per_vm <= 0.25,
        "{per_vm} calls a second for each VM"
    );
    // Configurations are in force after 2.5 s, also if the VM that follows the
    // store is cut off.
    let longest = late.windows(2).map(|pair| *pair[1] - *pair[0]).max();
    assert!(longest <= Some(Duration::from_millis(2_500)), "{longest:?}");
}
