//! Tests of the graceful stop of a node, and of reloading its settings.

use std::time::Duration;

use crate::cluster::{KEY, TestCluster, eventually};

/// Guards against a graceful stop that interrupts running requests, and against
/// lookups that still name the stopping node.
#[tokio::test]
async fn graceful_stop_completes_running_requests() {
    let mut cluster = TestCluster::with_nodes(&[800], 2).await;
    eventually("the lookup names both nodes", || async {
        cluster.nodes[1].look_up().await.len() == 2
    })
    .await;
    let mut stopping = cluster.nodes.remove(0);
    let request = stopping.request("POST", "order", "a1", Some(KEY));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        stopping.signal(rustix::process::Signal::TERM);
    };
    let (response, ()) = tokio::join!(request, stop);
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(
        filbertgrade_standins::node::endpoint::header(&response.head, "connection"),
        "close"
    );
    assert!(!stopping.is_ready().await);
    let address = stopping.callers.to_string();
    assert!(!cluster.nodes[0].look_up().await.contains(&address));
    // Callers with an older lookup may still connect to it for a while.
    let late = stopping.request("GET", "safe", "a2", Some(KEY)).await;
    assert_eq!(late.status, 200);
    let waiting_since = std::time::Instant::now();
    assert!(stopping.wait_for_exit().await);
    assert!(waiting_since.elapsed() < Duration::from_secs(6));
    assert_eq!(cluster.store.names("vms"), ["vm-1"]);
    stopping.line_with(&["event=leaving"]).await;
    stopping.line_with(&["event=node_stopped"]).await;
}

/// Guards against a node that SIGHUP terminates instead of making it reload its
/// settings.
#[tokio::test]
async fn sighup_reloads_the_settings() {
    let cluster = TestCluster::start(&[1]).await;
    cluster.nodes[0].signal(rustix::process::Signal::HUP);
    cluster.nodes[0]
        .line_with(&["event=settings_reloaded", "changed=false"])
        .await;
    assert_eq!(cluster.get("safe", "b1").await.status, 200);
}

/// Guards against a process that does not end because nobody reads its log any
/// more, so that the platform has to kill it.
#[tokio::test]
async fn stop_does_not_wait_for_a_log_reader_that_has_stopped() {
    let mut cluster = TestCluster::start(&[0]).await;
    cluster.nodes[0].stop_reading_log();
    // More lines than the pipe holds.
    for n in 0..15 {
        let ids: Vec<String> = (0..20).map(|m| format!("l{n}-{m}")).collect();
        let requests = ids.iter().map(|id| cluster.get("safe", id));
        // Refused or not, each of them is logged.
        futures::future::join_all(requests).await;
    }
    // The thread that writes the log blocks.
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.nodes[0].signal(rustix::process::Signal::TERM);
    let ended = cluster.nodes[0].wait_for_exit();
    assert_eq!(
        tokio::time::timeout(Duration::from_secs(6), ended).await,
        Ok(true)
    );
}
