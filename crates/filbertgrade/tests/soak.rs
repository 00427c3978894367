//! A short soak of real nodes. Seeds that have failed are kept as cases beside `fresh`, which is a
//! seed without an earlier failure.

use std::time::Duration;

use filbertgrade_standins::soak::{Options, run};
use rstest::rstest;

/// Guards against a broken promise to callers, backend servers or operators under overlapping
/// faults, for example a non-idempotent request that runs twice.
#[rstest]
#[case::fresh(1)]
#[tokio::test]
async fn promises_are_kept(#[case] seed: u64) {
    let logs = tempfile::tempdir().unwrap();
    let options = Options {
        seed,
        length: Duration::from_secs(22),
        vms: 4,
        node: env!("CARGO_BIN_EXE_filbertgrade").into(),
        logs: logs.path().to_owned(),
    };
    let report = run(&options).await.unwrap();
    assert_eq!(report.violations, []);
    assert!(report.served > 100, "{report:?}");
}
