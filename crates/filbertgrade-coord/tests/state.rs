//! Tests of the versioned map, the freshness tracker and the lease.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::freshness::{Freshness, FreshnessTracker, IsolationCause};
use filbertgrade_coord::lease::{FencingToken, Lease, LeaseAction, LeaseConfig, LeaseRecord};
use filbertgrade_coord::names::{RegionName, VmName};
use filbertgrade_coord::versioned::{
    ApplyOutcome, CatchUp, Change, Delta, Entry, Snapshot, VersionedMap,
};
use proptest::prelude::{ProptestConfig, prop_assert, prop_assert_eq, proptest};
use rstest::rstest;

fn delta(from: u64, to: u64, changes: &[(&str, u64, Option<u32>)]) -> Delta<u32> {
    let change = |&(name, revision, value): &(&str, u64, Option<u32>)| Change {
        name: Arc::from(name),
        revision,
        value,
    };
    Delta {
        from,
        to,
        changes: changes.iter().map(change).collect(),
    }
}

// Guards against a map whose revision decreases, that skips revisions, or that
// accepts changes outside the range of their delta or snapshot.
#[test]
fn versioned_map_rejects_stale_incomplete_and_malformed_updates() {
    let mut map = VersionedMap::new(10);
    let gap = map.apply_delta(delta(3, 5, &[("a", 4, Some(1))]));
    assert_eq!(gap, Ok(ApplyOutcome::Gap { revision: 0 }));
    let first = delta(0, 5, &[("a", 2, Some(1)), ("b", 5, Some(2))]);
    assert!(
        matches!(map.apply_delta(first), Ok(ApplyOutcome::Advanced(names)) if names.len() == 2)
    );
    assert_eq!(
        map.apply_delta(delta(0, 4, &[("a", 1, Some(9))])),
        Ok(ApplyOutcome::Stale)
    );
    let old = Snapshot {
        revision: 4,
        entries: vec![],
    };
    assert_eq!(map.apply_snapshot(old), Ok(ApplyOutcome::Stale));
    // An overlapping delta must not restore an older value of a name.
    let overlap = delta(1, 7, &[("a", 2, Some(8)), ("b", 7, None)]);
    assert!(
        matches!(map.apply_delta(overlap), Ok(ApplyOutcome::Advanced(names)) if names.len() == 1)
    );
    assert_eq!(
        (map.get("a").unwrap().value, map.get("b"), map.revision()),
        (1, None, 7)
    );
    assert!(map.apply_delta(delta(7, 9, &[("a", 10, Some(1))])).is_err());
    assert!(map.apply_delta(delta(7, 9, &[("a", 7, Some(1))])).is_err());
    let entry = Entry {
        revision: 9,
        value: 1,
    };
    let malformed = Snapshot {
        revision: 8,
        entries: vec![(Arc::from("a"), entry)],
    };
    assert!(map.apply_snapshot(malformed).is_err());
    assert_eq!(map.revision(), 7);
}

fn catch_up(from: &VersionedMap<u32>, to: &mut VersionedMap<u32>, log_limit: usize) {
    match from.catch_up_from(to.revision()) {
        CatchUp::Delta(delta) => {
            assert!(delta.changes.len() <= log_limit);
            to.apply_delta(delta).unwrap();
        }
        CatchUp::SnapshotNeeded => {
            to.apply_snapshot(from.snapshot()).unwrap();
        }
        CatchUp::UpToDate => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    // Guards against a copy that differs from its source after deltas and
    // snapshots in any order, with removals, and against a log that grows beyond
    // its limit.
    #[test]
    fn copy_equals_source_after_deltas_and_snapshots(
        writes in proptest::collection::vec((0..6u8, 0..4u32, 0..4u8), 1..80),
        log_limit in 0..12usize,
    ) {
        let mut source = VersionedMap::new(log_limit);
        let mut copy = VersionedMap::new(log_limit);
        // A copy of the copy, whose log may start at a snapshot.
        let mut second = VersionedMap::new(log_limit);
        let mut model = BTreeMap::new();
        for (name, value, pull) in writes {
            let (name, revision) = (format!("n{name}"), source.revision());
            let value = (value > 0).then_some(value);
            match value {
                Some(value) => model.insert(name.clone(), value),
                None => model.remove(&name),
            };
            source.apply_delta(delta(revision, revision + 1, &[(&name, revision + 1, value)])).unwrap();
            if pull > 1 {
                continue;
            }
            catch_up(&source, &mut copy, log_limit);
            if pull == 1 {
                catch_up(&copy, &mut second, log_limit);
                prop_assert_eq!(second.snapshot(), copy.snapshot());
            }
            let held: BTreeMap<String, u32> =
                copy.iter().map(|(name, entry)| (name.to_string(), entry.value)).collect();
            prop_assert_eq!(&held, &model);
            prop_assert_eq!(copy.revision(), source.revision());
        }
    }
}

fn region(name: &str) -> RegionName {
    RegionName::try_from(name).unwrap()
}

/// Returns the freshness, 20 s after the start, of an agent of region `a` that
/// holds revision 5 and gets the evidence of `record`. The regions `a`, `b` and
/// `c` have live VMs. Times are in milliseconds since the start.
fn freshness_at_20_s(
    record: impl FnOnce(&mut FreshnessTracker, &dyn Fn(u64) -> Instant),
) -> String {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut tracker = FreshnessTracker::new(region("a"));
    record(&mut tracker, &at);
    let live = BTreeSet::from(["a", "b", "c"].map(region));
    match tracker.freshness(at(20_000), 5, &live, false) {
        Freshness::Fresh { until } => format!("fresh {}", until.duration_since(start).as_millis()),
        Freshness::StoreOutage { until } => {
            format!("outage {}", until.duration_since(start).as_millis())
        }
        Freshness::Isolated(IsolationCause::Behind) => "behind".to_owned(),
        Freshness::Isolated(
            IsolationCause::RegionUnreachable | IsolationCause::PeersUnreachable,
        ) => "unreachable".to_owned(),
        Freshness::Isolated(IsolationCause::Empty) => "empty".to_owned(),
    }
}

/// Evidence from an agent of a region: region, time and revision of its store
/// confirmation, time of its reply, and the revision that it holds. Times are in
/// milliseconds since the start.
type RegionReport = (&'static str, Option<(u64, u64)>, u64, u64);

// Guards against keys that work for longer than 5 s after their withdrawal, and
// against requests that are refused although the state cannot have changed.
#[rstest]
#[case::own_confirmation(&[("a", Some((18_000, 5)), 18_000, 5)], "fresh 23000")]
#[case::confirmation_at_the_age_limit(&[("a", Some((15_000, 5)), 15_000, 5)], "fresh 20000")]
#[case::confirmation_by_other_region(&[("b", Some((19_000, 5)), 19_000, 5)], "fresh 24000")]
#[case::confirmation_of_older_revision(&[("b", Some((19_000, 4)), 19_000, 4)], "behind")]
#[case::older_revision_after_confirmation(
    &[("b", Some((18_000, 5)), 18_000, 5), ("b", Some((19_000, 4)), 19_000, 4)], "fresh 23000")]
#[case::confirmation_too_old(&[("a", Some((14_999, 5)), 14_999, 5)], "unreachable")]
#[case::store_outage(&[("a", Some((9_000, 5)), 9_000, 5), ("b", None, 16_000, 5), ("c", None, 19_000, 4)],
    "outage 21000")]
#[case::store_outage_before_confirmation_expires(
    &[("a", Some((15_200, 5)), 15_200, 5), ("b", None, 16_000, 5), ("c", None, 19_000, 5)],
    "outage 21000")]
#[case::region_unreachable(&[("b", None, 16_000, 5), ("c", None, 14_000, 5)], "unreachable")]
#[case::newer_revision_held_elsewhere(&[("b", None, 19_000, 6), ("c", None, 19_000, 5)], "behind")]
#[case::newer_revision_confirmed(&[("b", Some((19_000, 6)), 19_000, 6), ("c", None, 19_000, 5)], "behind")]
#[case::no_evidence(&[], "unreachable")]
fn freshness_depends_on_evidence_of_all_regions(
    #[case] reports: &[RegionReport],
    #[case] expected: &str,
) {
    let freshness = freshness_at_20_s(|tracker, at| {
        for &(name, confirmed, replied_at, revision) in reports {
            let mut other = FreshnessTracker::new(region(name));
            if let Some((millis, revision)) = confirmed {
                other.record_confirmation(at(millis), revision);
            }
            other.record_reply(at(replied_at), &region(name), revision);
            // A report always shows the sender's own region as received just
            // now, so its ages are taken at the time of the reply.
            let sent_at = at(replied_at);
            tracker.record_ages(sent_at, &other.ages(sent_at, revision));
        }
    });
    assert_eq!(freshness, expected);
}

// Guards against evidence that looks newer after it was relayed by other agents.
#[test]
fn relayed_evidence_never_looks_newer() {
    let relayed = freshness_at_20_s(|tracker, at| {
        let mut first = FreshnessTracker::new(region("b"));
        first.record_confirmation(at(16_700), 5);
        let mut second = FreshnessTracker::new(region("c"));
        // The reply takes 300 ms, and its ages are subtracted from the send time
        // of the request.
        second.record_ages(at(17_000), &first.ages(at(17_300), 5));
        tracker.record_ages(at(18_000), &second.ages(at(18_300), 5));
    });
    // 16.7 s, less two delays of 300 ms, plus the maximum age of 5 s.
    assert_eq!(relayed, "fresh 21100");
}

// Guards against requests that are refused while newer state is being fetched,
// against state that is regarded as valid without evidence, and against a network
// partition that is mistaken for an outage of the store.
#[test]
fn freshness_needs_a_confirmation_of_the_held_revision_or_a_store_outage() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let own = BTreeSet::from([region("a")]);
    let mut tracker = FreshnessTracker::new(region("a"));
    let freshness = |tracker: &FreshnessTracker, millis, held, only_vm| {
        tracker.freshness(at(millis), held, &own, only_vm)
    };
    assert_eq!(
        freshness(&tracker, 0, 0, true),
        Freshness::Isolated(IsolationCause::Empty)
    );
    tracker.record_confirmation(at(0), 5);
    tracker.update_held_confirmation(5);
    tracker.record_confirmation(at(1_000), 6);
    let until = at(5_000);
    assert_eq!(
        freshness(&tracker, 5_000, 5, false),
        Freshness::Fresh { until }
    );
    let behind = Freshness::Isolated(IsolationCause::Behind);
    assert_eq!(freshness(&tracker, 5_001, 5, false), behind);
    tracker.update_held_confirmation(6);
    let unreachable = Freshness::Isolated(IsolationCause::PeersUnreachable);
    assert_eq!(freshness(&tracker, 7_000, 6, false), unreachable);
    assert!(matches!(
        freshness(&tracker, 7_000, 6, true),
        Freshness::StoreOutage { .. }
    ));
    tracker.record_reply(at(7_000), &region("a"), 6);
    let until = at(12_000);
    assert_eq!(
        freshness(&tracker, 8_000, 6, false),
        Freshness::StoreOutage { until }
    );
    tracker.record_known_revision(7);
    assert_eq!(freshness(&tracker, 8_000, 6, false), behind);
}

/// A store with conditional writes that holds only the lease's object.
struct Store {
    revision: u64,
    record: Option<LeaseRecord>,
}

impl Store {
    /// Returns the new revision, or `None` if the condition failed.
    fn write(&mut self, action: &LeaseAction) -> Option<u64> {
        let LeaseAction::Write { expected, record } = action else {
            panic!("expected a write, got {action:?}");
        };
        if *expected != self.record.as_ref().map(|_| self.revision) {
            return None;
        }
        let old = self.record.as_ref().map(|r| r.token);
        assert!(Some(record.token) >= old, "the fencing token decreased");
        self.revision += 1;
        self.record = Some(record.clone());
        Some(self.revision)
    }

    fn read(&self) -> Option<(u64, LeaseRecord)> {
        self.record.clone().map(|record| (self.revision, record))
    }
}

fn candidate(name: &str) -> Lease {
    Lease::new(VmName::try_from(name).unwrap(), 1, LeaseConfig::default())
}

// Guards against two holders at the same time, and against a write by a paused
// holder that was replaced.
#[test]
fn paused_holder_is_replaced_and_its_writes_fail() {
    let start = Instant::now();
    let at = |secs| start + Duration::from_secs(secs);
    let mut store = Store {
        revision: 0,
        record: None,
    };
    let (mut a, mut b) = (candidate("a"), candidate("b"));
    assert_eq!(a.next_action(at(0)), LeaseAction::Read);
    a.record_read(at(0), store.read());
    b.record_read(at(0), store.read());
    let (from_a, from_b) = (a.next_action(at(0)), b.next_action(at(0)));
    a.record_write(at(1), store.write(&from_a).unwrap());
    assert_eq!(store.write(&from_b), None);
    b.record_conflict();
    let first = a.held(at(1)).unwrap();
    // The validity is counted from the send time at 0 s.
    assert_eq!((a.held(at(6)), a.held(at(7))), (Some(first), None));
    b.record_read(at(1), store.read());
    // Reads that show no renewal do not delay the takeover.
    assert_eq!(b.next_action(at(2)), LeaseAction::Wait { until: at(3) });
    assert_eq!(b.next_action(at(10)), LeaseAction::Read);
    b.record_read(at(10), store.read());
    assert_eq!(b.next_action(at(10)), LeaseAction::Wait { until: at(11) });
    let takeover = b.next_action(at(11));
    b.record_write(at(11), store.write(&takeover).unwrap());
    let second = b.held(at(11)).unwrap();
    assert!(first < second && first.check(second).is_err() && second.check(first).is_ok());
    // The holder resumes after its pause and no longer holds the lease. Its next
    // write has a higher token, since work decided with the old token must not
    // continue, and its condition fails.
    assert_eq!(a.held(at(12)), None);
    let late = a.next_action(at(12));
    assert!(matches!(&late, LeaseAction::Write { record, .. } if record.token > first));
    assert_eq!(store.write(&late), None);
    a.record_conflict();
    a.record_read(at(12), store.read());
    assert!(matches!(a.next_action(at(12)), LeaseAction::Wait { .. }));
}

// Guards against a holder that loses its lease because the response to a write
// was lost, and against one that relies on a write that did not take effect.
#[rstest]
#[case::took_effect(true)]
#[case::did_not_take_effect(false)]
fn lost_write_response_is_resolved_by_a_read(#[case] took_effect: bool) {
    let start = Instant::now();
    let mut store = Store {
        revision: 0,
        record: None,
    };
    let mut a = candidate("a");
    a.record_read(start, store.read());
    let action = a.next_action(start);
    if took_effect {
        store.write(&action).unwrap();
    }
    assert_eq!(a.next_action(start), LeaseAction::Read);
    a.record_read(start, store.read());
    assert_eq!(a.held(start).is_some(), took_effect);
}

// Guards against candidates that must wait for the takeover time although the
// holder released the lease before it stopped.
#[test]
fn released_lease_can_be_acquired_at_once() {
    let start = Instant::now();
    let mut store = Store {
        revision: 0,
        record: None,
    };
    let (mut a, mut b) = (candidate("a"), candidate("b"));
    a.record_read(start, store.read());
    let acquire = a.next_action(start);
    a.record_write(start, store.write(&acquire).unwrap());
    let release = a.release(start).unwrap();
    assert_eq!(a.held(start), None);
    store.write(&release).unwrap();
    b.record_read(start, store.read());
    let acquire = b.next_action(start);
    b.record_write(start, store.write(&acquire).unwrap());
    assert_eq!(b.held(start), Some(FencingToken::new(2)));
}

// Guards against a holder that lets its lease expire, or that renews it with a
// new token.
#[test]
fn holder_renews_with_the_same_token() {
    let start = Instant::now();
    let at = |secs| start + Duration::from_secs(secs);
    let mut store = Store {
        revision: 0,
        record: None,
    };
    let mut a = candidate("a");
    a.record_read(start, store.read());
    for secs in 0..60 {
        if let action @ LeaseAction::Write { .. } = a.next_action(at(secs)) {
            a.record_write(at(secs), store.write(&action).unwrap());
        }
        assert_eq!(a.held(at(secs)), Some(FencingToken::new(1)));
    }
    assert_eq!(store.revision, 30);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    // Guards against two holders at the same time, and against one token for two
    // holders, under conflicts, lost responses, late writes, pauses and releases.
    #[test]
    fn at_most_one_candidate_holds_the_lease(
        ops in proptest::collection::vec((0..3usize, 0..8u8, 0..4_000u64), 1..150),
    ) {
        let mut now = Instant::now();
        let mut store = Store { revision: 0, record: None };
        let mut candidates = ["a", "b", "c"].map(candidate);
        let mut delayed_writes = Vec::new();
        let mut holders: BTreeMap<FencingToken, usize> = BTreeMap::new();
        for (i, op, millis) in ops {
            let lease = &mut candidates[i];
            match op {
                0 | 1 => now += Duration::from_millis(millis),
                2 => lease.record_read(now, store.read()),
                3 if !delayed_writes.is_empty() => {
                    let write: LeaseAction = delayed_writes.remove(i % delayed_writes.len());
                    store.write(&write);
                }
                4 if millis < 400 => delayed_writes.extend(lease.release(now)),
                _ => match lease.next_action(now) {
                    LeaseAction::Read => lease.record_read(now, store.read()),
                    write @ LeaseAction::Write { .. } if op == 5 => delayed_writes.push(write),
                    write @ LeaseAction::Write { .. } => match store.write(&write) {
                        Some(revision) if op == 6 => lease.record_write(now, revision),
                        Some(_) => {}
                        None => lease.record_conflict(),
                    },
                    LeaseAction::Wait { .. } => {}
                },
            }
            let held: Vec<_> = candidates.iter().map(|lease| lease.held(now)).collect();
            prop_assert!(held.iter().flatten().count() <= 1, "{held:?}");
            for (i, token) in held.iter().enumerate().filter_map(|(i, t)| t.map(|t| (i, t))) {
                prop_assert_eq!(*holders.entry(token).or_insert(i), i);
            }
        }
    }
}
