//! Every interleaving of a few operations on three VMs, searched breadth first.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use filbertgrade_coord::bucket::RateShare;
use rstest::rstest;

use crate::fleet::{Fleet, Op};

/// Hashes the whole state, so that orders that lead to the same one are searched once.
fn fingerprint(fleet: &Fleet) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{fleet:?}").hash(&mut hasher);
    hasher.finish()
}

/// Applies every operation to every state, `depth` times, and checks each
/// result. Returns the number of different states and of loans seen.
fn search(start: Fleet, ops: &[Op], depth: usize) -> (usize, usize) {
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut level = vec![(start, Vec::new())];
    let mut loans = 0;
    for _ in 0..depth {
        let mut next = Vec::new();
        for (fleet, path) in &level {
            for op in ops {
                let mut after = fleet.clone();
                let checked = after.step(*op);
                if !seen.insert(fingerprint(&after)) {
                    continue;
                }
                let mut path: Vec<Op> = path.clone();
                path.push(*op);
                if let Err(fault) = checked {
                    panic!("{fault} after {path:?}");
                }
                let lent = |l: &filbertgrade_coord::ledger::ShareLedger| {
                    l.clone().snapshot(after.now).loans_in.len()
                };
                loans += after.ledgers.iter().map(lent).sum::<usize>();
                next.push((after, path));
            }
        }
        level = next;
    }
    (seen.len(), loans)
}

/// VM 1 has borrowed from VM 0.
const LOAN: [Op; 5] = [
    Op::Spend(1),
    Op::RequestLoan(1),
    Op::Deliver(0),
    Op::Lose(0),
    Op::Deliver(0),
];

// Guards against double spending in orders that random tests reach rarely.
#[rstest]
// Two VMs borrow from the third; asks and parcels are late, lost or doubled.
#[case::lend(
    &[],
    &[Op::Spend(0), Op::Spend(1), Op::RequestLoan(1), Op::Spend(2), Op::RequestLoan(2), Op::Deliver(0),
      Op::Deliver(1), Op::Duplicate(0), Op::Lose(0), Op::Advance(1_100)],
    6
)]
// A loan is renewed or returned, or outlived by a pause or a crash.
#[case::renew(
    &[Op::Advance(1_100), Op::Spend(1), Op::Due(1)],
    &[Op::Spend(0), Op::Spend(1), Op::ReturnLoans(1), Op::Deliver(0), Op::Duplicate(0),
      Op::Freeze(1), Op::Crash(0), Op::Crash(1), Op::Advance(700), Op::Advance(950)],
    6
)]
// The lender's base shrinks while its loan runs.
#[case::shrink(
    &[],
    &[Op::Allocate, Op::Feed(0), Op::Feed(1), Op::Feed(2), Op::ReturnLoans(1), Op::Deliver(0),
      Op::Advance(1_100)],
    7
)]
// The lender left the list and has lost its units in the table.
#[case::absent(
    &[Op::Unlist(0), Op::Allocate, Op::Feed(1), Op::Feed(2)],
    &[Op::Spend(0), Op::Feed(0), Op::Feed(1), Op::Feed(2), Op::Allocate, Op::Crash(0),
      Op::Advance(2_600), Op::Advance(5_100)],
    6
)]
// The list misses a VM that runs, and the allocator has acted on it late.
#[case::missed(
    &[Op::Unlist(0), Op::Advance(10_000), Op::Feed(0), Op::Feed(1), Op::Feed(2)],
    &[Op::Spend(0), Op::Feed(0), Op::Feed(1), Op::Feed(2), Op::Allocate, Op::Advance(1_100)],
    6
)]
fn every_interleaving_keeps_the_limit(
    #[case] before: &[Op],
    #[case] ops: &[Op],
    #[case] depth: usize,
) {
    let mut fleet = Fleet::new(RateShare::new(10.0, 4.0).unwrap(), &[8_000, 2_000, 0]);
    for op in [Op::Advance(1_000)].iter().chain(&LOAN).chain(before) {
        fleet.step(*op).unwrap();
    }
    let (states, loans) = search(fleet, ops, depth);
    eprintln!("{states} states, {loans} loans");
    assert!(
        loans > 0 || before.contains(&Op::Advance(10_000)),
        "the search saw no loan"
    );
}
