//! Tests of nodes of which a task panics.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::cluster::{KEY, Node, TestCluster};

/// Time from the start until the process must have ended: 2 s until the panic, and that
/// of a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(2 + 6);

/// Guards against a node that goes on with what a task has left behind, older and older,
/// and against requests that are lost when it stops because of that.
#[rstest]
#[case("operator_port")]
#[case("lookups")]
#[case("readiness")]
#[case("heartbeats_in")]
#[case("heartbeats_out")]
#[case("pulls")]
#[case("maintenance")]
#[case("settings")]
#[case("configuration")]
#[case("endpoints")]
#[case("evacuations")]
#[case("vms")]
#[case("vm_entry")]
#[cfg_attr(not(debug_assertions), ignore = "only a debug build panics on request")]
#[tokio::test]
async fn node_stops_when_a_task_panics(#[case] task: &str) {
    let mut cluster = TestCluster::without_nodes(&[100]).await;
    cluster.configure(|_| {});
    let mut node = Node::start_with_panic("vm-0", cluster.store.address, task).await;
    node.wait_ready().await;
    let started_at = Instant::now();
    let expected = format!("event=task_panicked task={task} ");
    let mut served = 0;
    // Callers learn of the stop by refusals, and then by connections that are refused.
    for n in 0.. {
        let head = node.request_head("GET", "safe", &format!("a{n}"), Some(KEY));
        let Ok(response) = crate::cluster::exchange(node.callers, &head).await else {
            break;
        };
        assert!(response.is_complete, "{response:?}\n{}", node.log());
        match response.status {
            200 => served += 1,
            503 => assert!(response.body.contains("not_run"), "{response:?}"),
            _ => panic!("{response:?}"),
        }
        assert!(started_at.elapsed() < STOP_LIMIT, "{}", node.log());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(served > 0);
    let left = STOP_LIMIT.saturating_sub(started_at.elapsed());
    let succeeded = tokio::time::timeout(left, node.wait_for_exit()).await;
    assert_eq!(succeeded, Ok(false), "{}", node.log());
    let log = node.log();
    assert_eq!(log.matches("event=task_panicked").count(), 1, "{log}");
    assert!(log.contains(&expected), "{log}");
}
