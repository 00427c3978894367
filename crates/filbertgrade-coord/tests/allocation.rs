//! Tests of the steps by which the allocator changes the share table and the
//! region weights.

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

/// The input of the allocator, and the table that it published last.
struct Allocator {
    table: ShareTable,
    table_since: Instant,
    vms: BTreeMap<VmName, Presence>,
    acks: BTreeMap<VmName, u64>,
}

impl Allocator {
    /// Runs one step and describes it; a published table becomes the current one.
    fn step(&mut self, now: Instant) -> String {
        let view = AllocatorView {
            token: FencingToken::new(1),
            table: &self.table,
            table_since: self.table_since,
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
                (self.table, self.table_since) = (table, now);
                let units = self.table.units().iter();
                units
                    .map(|(vm, units)| format!("{vm}={units} "))
                    .collect::<String>()
                    .trim()
                    .to_owned()
            }
        }
    }

    /// Acknowledges the current table for these VMs.
    fn ack(&mut self, names: &[&str]) {
        for name in names {
            self.acks
                .insert(VmName::try_from(*name).unwrap(), self.table.version());
        }
    }
}

/// An allocator with an empty table and two live VMs.
fn allocator(start: Instant) -> Allocator {
    Allocator {
        table: ShareTable::default(),
        table_since: start,
        vms: vms(&[("a", Presence::Live), ("b", Presence::Live)]),
        acks: BTreeMap::new(),
    }
}

// Guards against units that are granted to a joining VM while another VM may
// still use them.
#[test]
fn units_of_a_joining_vm_wait_for_all_acknowledgements() {
    let now = Instant::now();
    let mut allocator = allocator(now);
    assert_eq!(allocator.step(now), "a=5000 b=5000");
    assert_eq!(allocator.step(now), "done");
    allocator.vms.extend(vms(&[("c", Presence::Live)]));
    assert_eq!(allocator.step(now), "a=3334 b=3333");
    allocator.ack(&["a"]);
    assert_eq!(allocator.step(now), "wait for b");
    allocator.ack(&["b"]);
    assert_eq!(allocator.step(now), "a=3334 b=3333 c=3333");
    let limit = RateShare::new(100.0, 10.0).unwrap();
    let share = allocator
        .table
        .share(&VmName::try_from("c").unwrap(), limit);
    assert!((share.rate() - 33.33).abs() < 1e-9 && (share.burst() - 3.333).abs() < 1e-9);
}

// Guards against units that are granted less than 10 s after an absent VM lost
// them in the table, no matter how long the VM was absent before.
#[test]
fn units_of_an_absent_vm_are_granted_after_the_hold_off() {
    let start = Instant::now();
    let mut allocator = allocator(start);
    allocator.step(start);
    allocator.ack(&["a", "b"]);
    allocator
        .vms
        .extend(vms(&[("b", Presence::AbsentSince(start))]));
    // The allocator runs only after the VM has been absent for a long time.
    let late = start + HOLD_OFF * 2;
    assert_eq!(allocator.step(late), "a=5000 b=0");
    allocator.ack(&["a"]);
    assert_eq!(allocator.step(late), "wait for b 10000");
    let before = late + HOLD_OFF - Duration::from_millis(1);
    assert_eq!(allocator.step(before), "wait for b 1");
    assert_eq!(allocator.step(late + HOLD_OFF), "a=10000");
}

// Guards against a leaving VM that keeps its units, and against granting them to
// others before the leaving VM has acknowledged the loss.
#[test]
fn units_of_a_leaving_vm_move_after_its_acknowledgement() {
    let now = Instant::now();
    let mut allocator = allocator(now);
    allocator.step(now);
    allocator.vms.extend(vms(&[("b", Presence::Leaving)]));
    assert_eq!(allocator.step(now), "a=5000 b=0");
    allocator.ack(&["a"]);
    assert_eq!(allocator.step(now), "wait for b");
    allocator.ack(&["b"]);
    assert_eq!(allocator.step(now), "a=10000");
    assert_eq!(allocator.step(now), "done");
}

// Guards against a stored table that assigns more than all of the limits.
#[test]
fn a_table_with_too_many_units_is_rejected() {
    let units =
        BTreeMap::from([("a", UNITS), ("b", 1)].map(|(n, u)| (VmName::try_from(n).unwrap(), u)));
    assert!(ShareTable::new(1, FencingToken::new(1), units).is_err());
}

/// Weights of three regions, approximately in these proportions.
fn weights(proportions: [u32; 3]) -> Weights {
    let sum: u32 = proportions.iter().sum::<u32>().max(1);
    let mut units = proportions.map(|p| p * 10_000 / sum);
    units[0] += 10_000 - units.iter().sum::<u32>();
    let names = ["x", "y", "z"].map(|n| RegionName::try_from(n).unwrap());
    Weights::new(names.into_iter().zip(units).collect()).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    // Guards against steps larger than the cap, steps in too quick succession,
    // weights that do not add up, and a target that is never reached.
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
                // The TTL of 5 s plus the propagation time of 8 s.
                let until = now + Duration::from_secs(13);
                let step = next_weights(&current, &target, cap, last, ttl, until - Duration::from_millis(1));
                prop_assert_eq!(step, WeightStep::Wait { until });
                now = until;
            }
        }
        prop_assert_eq!(current, target);
    }
}
