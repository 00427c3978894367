//! A short soak of real nodes: the seeds that once failed, and one more.

use std::time::Duration;

use filbertgrade_standins::soak::{Options, run};
use rstest::rstest;

/// Guards the promises to callers, backend servers and operators under faults
/// that overlap.
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
