//! Tests of the share table and the region weights.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertgrade_coord::bucket::RateShare;
use filbertgrade_coord::lease::FencingToken;
use filbertgrade_coord::names::{RegionName, VmName};
use filbertgrade_coord::share_table::{
    AllocatorView, HOLD_OFF, Presence, ShareTable, TableStep, UNITS, next_step,
};
use filbertgrade_coord::weights::{WeightStep, Weights, next_weights};
use proptest::prelude::{ProptestConfig, prop_assert, prop_assert_eq, proptest};

fn vms(presence: &[(&str, Presence)]) -> BTreeMap<VmName, Presence> {
    presence
        .iter()
        .map(|(vm, p)| (VmName::try_from(*vm).unwrap(), *p))
        .collect()
}

struct Allocator {
    table: ShareTable,
    since: Instant,
    vms: BTreeMap<VmName, Presence>,
    acks: BTreeMap<VmName, u64>,
}

impl Allocator {
    fn step(&mut self, now: Instant) -> String {
        let view = AllocatorView {
            token: FencingToken::new(1),
            table: &self.table,
            table_since: self.since,
            vms: &self.vms,
            acks: &self.acks,
        };
        match next_step(view, now) {
            TableStep::Done => "done".to_owned(),
            TableStep::Wait { vm, until } => match until {
                Some(at) => format!("wait for {vm} {}", at.duration_since(now).as_millis()),
                None => format!("wait for {vm}"),
            },
            TableStep::Publish(table) => {
                assert_eq!(table.version(), self.table.version() + 1);
                (self.table, self.since) = (table, now);
                let units = self.table.units().iter();
                units
                    .map(|(vm, units)| format!("{vm}={units} "))
                    .collect::<String>()
                    .trim()
                    .to_owned()
            }
        }
    }

    fn ack(&mut self, names: &[&str]) {
        for name in names {
            self.acks
                .insert(VmName::try_from(*name).unwrap(), self.table.version());
        }
    }
}

fn allocator(start: Instant) -> Allocator {
    Allocator {
        table: ShareTable::default(),
        since: start,
        vms: vms(&[("a", Presence::Live), ("b", Presence::Live)]),
        acks: BTreeMap::new(),
    }
}

// Guards against units that are granted while another VM may still use them.
#[test]
fn a_joining_vm_gains_after_all_others_shrank() {
    let now = Instant::now();
    let mut all = allocator(now);
    assert_eq!(all.step(now), "a=5000 b=5000");
    assert_eq!(all.step(now), "done");
    all.vms.extend(vms(&[("c", Presence::Live)]));
    assert_eq!(all.step(now), "a=3334 b=3333");
    all.ack(&["a"]);
    assert_eq!(all.step(now), "wait for b");
    all.ack(&["b"]);
    assert_eq!(all.step(now), "a=3334 b=3333 c=3333");
    let limit = RateShare::new(100.0, 10.0).unwrap();
    let part = all.table.share(&VmName::try_from("c").unwrap(), limit);
    assert!((part.rate() - 33.33).abs() < 1e-9 && (part.burst() - 3.333).abs() < 1e-9);
}

// Guards against a grant less than 10 s after an absent VM lost its units,
// whether the list or the allocator was late.
#[test]
fn units_of_an_absent_vm_are_granted_after_the_hold_off() {
    let start = Instant::now();
    let mut all = allocator(start);
    all.step(start);
    all.ack(&["a", "b"]);
    all.vms.extend(vms(&[("b", Presence::AbsentSince(start))]));
    // The allocator acts only when the VM has been absent for a long time.
    let late = start + HOLD_OFF * 2;
    assert_eq!(all.step(late), "a=5000 b=0");
    all.ack(&["a"]);
    assert_eq!(all.step(late), "wait for b 10000");
    let before = late + HOLD_OFF - Duration::from_millis(1);
    assert_eq!(all.step(before), "wait for b 1");
    assert_eq!(all.step(late + HOLD_OFF), "a=10000");
}

// Guards against a leaving VM that keeps its units or is forgotten too early.
#[test]
fn a_leaving_vm_hands_its_units_over() {
    let now = Instant::now();
    let mut all = allocator(now);
    all.step(now);
    all.vms.extend(vms(&[("b", Presence::Leaving)]));
    assert_eq!(all.step(now), "a=5000 b=0");
    all.ack(&["a"]);
    assert_eq!(all.step(now), "wait for b");
    all.ack(&["b"]);
    assert_eq!(all.step(now), "a=10000");
    assert_eq!(all.step(now), "done");
}

// Guards against a stored table that would give away more than the whole.
#[test]
fn a_table_over_the_whole_is_rejected() {
    let units =
        BTreeMap::from([("a", UNITS), ("b", 1)].map(|(n, u)| (VmName::try_from(n).unwrap(), u)));
    assert!(ShareTable::new(1, FencingToken::new(1), units).is_err());
}

fn weights(parts: [u32; 3]) -> Weights {
    let sum: u32 = parts.iter().sum::<u32>().max(1);
    let mut units = parts.map(|p| p * 10_000 / sum);
    units[0] += 10_000 - units.iter().sum::<u32>();
    let names = ["x", "y", "z"].map(|n| RegionName::try_from(n).unwrap());
    Weights::new(names.into_iter().zip(units).collect()).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    // Guards against a step over its cap, one that comes too early, weights that
    // do not add up, and a target that is never reached.
    #[test]
    fn weights_reach_their_target_in_capped_steps(
        from in proptest::array::uniform3(0..100u32),
        to in proptest::array::uniform3(0..100u32),
        cap in 100..3_000u32,
    ) {
        let (mut current, target) = (weights(from), weights(to));
        let ttl = Duration::from_secs(5);
        let (mut now, mut last) = (Instant::now(), None);
        let needed = current.distance(&target).div_ceil(cap);
        for _ in 0..needed {
            match next_weights(&current, &target, cap, last, ttl, now) {
                WeightStep::Publish(next) => {
                    prop_assert!(current.distance(&next) <= cap);
                    prop_assert!(Weights::new(next.units().clone()).is_ok());
                    (current, last) = (next, Some(now));
                }
                step => prop_assert!(false, "{step:?}"),
            }
            if current != target {
                let until = now + Duration::from_secs(13);
                let step = next_weights(&current, &target, cap, last, ttl, until - Duration::from_millis(1));
                prop_assert_eq!(step, WeightStep::Wait { until });
                now = until;
            }
        }
        prop_assert_eq!(current, target);
    }
}
