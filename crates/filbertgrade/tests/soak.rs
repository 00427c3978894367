//! A short soak of real nodes. Seeds that have failed are kept as cases beside `fresh`, which is a
//! seed without an earlier failure.

use std::time::Duration;

use filbertgrade_standins::soak::{Options, run};
use rstest::rstest;

/// Guards against a broken promise to callers, backend servers or operators under overlapping
/// faults, for example a non-idempotent request that runs twice.
#[rstest]
#[case::fresh(1, 22, 4)]
// An endpoint that ran a request and responded 503 or 429.
#[case::unconfirmed_refusal(67, 30, 3)]
// A stop with less time than the work that it had taken.
#[case::short_stop(95, 30, 2)]
#[tokio::test]
async fn promises_are_kept(#[case] seed: u64, #[case] seconds: u64, #[case] vms: usize) {
    let logs = tempfile::tempdir().unwrap();
    let options = Options {
        seed,
        length: Duration::from_secs(seconds),
        vms,
        latency: Duration::ZERO,
        node: env!("CARGO_BIN_EXE_filbertgrade").into(),
        logs: logs.path().to_owned(),
    };
    let report = run(&options).await.unwrap();
    assert_eq!(report.violations, []);
    assert!(report.served > 100, "{report:?}");
}
