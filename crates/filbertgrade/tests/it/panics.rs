//! Tests of agents and entries of which a task panics.

use std::time::Duration;

use rstest::rstest;

use crate::fleet::Fleet;
use crate::request_path::serves;

/// Time from the start of a process until it must have ended: 2 s until the panic, and
/// the longest stop of an entry.
const STOP_LIMIT: Duration = Duration::from_secs(12);

/// Guards against a process that goes on with what a task has left behind.
#[rstest]
#[case::agent("agent", &["operator_port", "store", "pulls", "allocator"])]
#[case::entry("entry", &["operator_port", "feed", "peers", "connections", "ledger"])]
#[cfg_attr(not(debug_assertions), ignore = "only a debug build panics on request")]
#[tokio::test(flavor = "multi_thread")]
async fn process_stops_when_a_task_panics(#[case] role: &str, #[case] tasks: &[&str]) {
    let mut fleet = Fleet::start(1).await;
    fleet.apply().await;
    let secret = fleet.create_key("atelier").await;
    for task in tasks {
        fleet
            .wait_until(Duration::from_secs(8), |vm| serves(vm, &secret))
            .await;
        let vm = &mut fleet.vms[0];
        let code = vm.exit_code_after_panic(role, task, STOP_LIMIT).await;
        assert_eq!(code, Some(1), "{task}");
        vm.restart_agent();
        vm.restart_entry();
    }
}
