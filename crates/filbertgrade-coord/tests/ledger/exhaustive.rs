//! Checks the ledgers of three VMs in a breadth-first search over all sequences
//! of a few operations.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use filbertgrade_coord::bucket::RateShare;
use rstest::rstest;

use crate::fleet::{Fleet, Op};

/// Hashes the state of the fleet. Sequences that lead to the same state are
/// continued only once.
fn state_hash(fleet: &Fleet) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{fleet:?}").hash(&mut hasher);
    hasher.finish()
}

/// Applies all sequences of `depth` operations and checks the state after each
/// operation. Returns the number of distinct states, and the number of loans
/// summed over the states.
fn search(start: Fleet, ops: &[Op], depth: usize) -> (usize, usize) {
    let mut seen = HashSet::from([state_hash(&start)]);
    let mut level = vec![(start, Vec::new())];
    let mut loans = 0;
    for _ in 0..depth {
        let mut next = Vec::new();
        for (fleet, path) in &level {
            for op in ops {
                let mut after = fleet.clone();
                let checked = after.step(*op);
                if !seen.insert(state_hash(&after)) {
                    continue;
                }
                let mut path: Vec<Op> = path.clone();
                path.push(*op);
                if let Err(violation) = checked {
                    panic!("{violation} after {path:?}");
                }
                let borrowed = |l: &filbertgrade_coord::ledger::ShareLedger| {
                    l.clone().snapshot(after.now).loans_in.len()
                };
                loans += after.ledgers.iter().map(borrowed).sum::<usize>();
                next.push((after, path));
            }
        }
        level = next;
    }
    (seen.len(), loans)
}

/// VM 1 borrows from VM 0.
const BORROW: [Op; 5] = [
    Op::Spend(1),
    Op::RequestLoan(1),
    Op::Deliver(0),
    Op::Lose(0),
    Op::Deliver(0),
];

// Guards against a share that two VMs use at once, in sequences that random
// tests rarely reach.
#[rstest]
// Two VMs borrow from the third while requests and loans are delayed, lost or
// duplicated.
#[case::lend(
    &[],
    &[Op::Spend(0), Op::Spend(1), Op::RequestLoan(1), Op::Spend(2), Op::RequestLoan(2),
      Op::Deliver(0), Op::Deliver(1), Op::Duplicate(0), Op::Lose(0), Op::Advance(1_100)],
    6
)]
// A loan is renewed or returned, or expires during a pause or after a crash.
#[case::renew(
    &[Op::Advance(1_100), Op::Spend(1), Op::RunDueActions(1)],
    &[Op::Spend(0), Op::Spend(1), Op::ReturnLoans(1), Op::Deliver(0), Op::Duplicate(0),
      Op::Pause(1), Op::Crash(0), Op::Crash(1), Op::Advance(700), Op::Advance(950)],
    6
)]
// The lender's base shrinks before its loan ends.
#[case::shrink(
    &[],
    &[Op::Allocate, Op::ApplyTable(0), Op::ApplyTable(1), Op::ApplyTable(2),
      Op::ReturnLoans(1), Op::Deliver(0), Op::Advance(1_100)],
    7
)]
// The lender is no longer listed and has lost its units in the share table.
#[case::absent(
    &[Op::Unlist(0), Op::Allocate, Op::ApplyTable(1), Op::ApplyTable(2)],
    &[Op::Spend(0), Op::ApplyTable(0), Op::ApplyTable(1), Op::ApplyTable(2), Op::Allocate,
      Op::Crash(0), Op::Advance(2_600), Op::Advance(5_100)],
    6
)]
// A running VM is missing from the list, and the allocator removes its units
// only after it has been absent for the whole hold-off.
#[case::missed(
    &[Op::Unlist(0), Op::Advance(10_000), Op::ApplyTable(0), Op::ApplyTable(1),
      Op::ApplyTable(2)],
    &[Op::Spend(0), Op::ApplyTable(0), Op::ApplyTable(1), Op::ApplyTable(2), Op::Allocate,
      Op::Advance(1_100)],
    6
)]
fn every_interleaving_stays_within_the_limit(
    #[case] before: &[Op],
    #[case] ops: &[Op],
    #[case] depth: usize,
) {
    let mut fleet = Fleet::new(RateShare::new(10.0, 4.0).unwrap(), &[8_000, 2_000, 0]);
    for op in [Op::Advance(1_000)].iter().chain(&BORROW).chain(before) {
        fleet.step(*op).unwrap();
    }
    let (states, loans) = search(fleet, ops, depth);
    eprintln!("{states} states, {loans} loans");
    assert!(
        loans > 0 || before.contains(&Op::Advance(10_000)),
        "no loan existed in any state of the search"
    );
}
