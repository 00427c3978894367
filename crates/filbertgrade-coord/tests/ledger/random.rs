//! Checks a fleet of ledgers under random interleavings of all operations and
//! faults.

use filbertgrade_coord::bucket::RateShare;
use proptest::prelude::{Just, ProptestConfig, Strategy, prop_oneof, proptest};
use proptest::test_runner::TestCaseError;

use crate::fleet::{Fleet, Op};

fn op() -> impl Strategy<Value = Op> {
    let vm = 0..3usize;
    let message = 0..8usize;
    prop_oneof![
        4 => (1..900u64).prop_map(Op::Advance),
        1 => (900..6_000u64).prop_map(Op::Advance),
        5 => vm.clone().prop_map(Op::Spend),
        4 => vm.clone().prop_map(Op::RequestLoan),
        2 => vm.clone().prop_map(Op::RunDueActions),
        1 => vm.clone().prop_map(Op::ReturnLoans),
        2 => vm.clone().prop_map(Op::Abandon),
        8 => message.clone().prop_map(Op::Deliver),
        2 => message.clone().prop_map(Op::Duplicate),
        1 => message.prop_map(Op::Lose),
        1 => vm.clone().prop_map(Op::Crash),
        1 => vm.clone().prop_map(Op::Pause),
        2 => vm.clone().prop_map(Op::Resume),
        4 => vm.clone().prop_map(Op::ApplyTable),
        1 => vm.clone().prop_map(Op::Unlist),
        1 => vm.prop_map(Op::List),
        3 => Just(Op::Allocate),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(600) })]

    // Guards against tokens or rate that two VMs can use at once after lost or
    // duplicated messages, crashes, pauses and changes of the share table.
    #[test]
    fn no_interleaving_exceeds_the_limit(ops in proptest::collection::vec(op(), 1..150)) {
        let mut fleet = Fleet::new(RateShare::new(20.0, 6.0).unwrap(), &[6_000, 3_000, 1_000]);
        for op in ops {
            fleet.step(op).map_err(TestCaseError::fail)?;
        }
    }
}
