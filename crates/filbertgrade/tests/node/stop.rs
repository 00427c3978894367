//! Tests of the graceful stop of a node, and of reloading its settings.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

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

/// Guards against a connection that is closed without a response, because the node stops
/// accepting while its first request is on its way.
#[tokio::test]
async fn request_on_its_way_is_answered_when_the_node_stops_accepting() {
    let mut cluster = TestCluster::start(&[1]).await;
    let mut node = cluster.nodes.remove(0);
    node.signal(rustix::process::Signal::TERM);
    node.line_with(&["event=leaving"]).await;
    // It accepts connections for 3 s.
    tokio::time::sleep(Duration::from_millis(2_700)).await;
    let mut callers = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(node.callers).await {
        let id = format!("c{}", callers.len());
        let head = node.request_head("GET", "safe", &id, Some(KEY));
        callers.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(55)).await;
            stream.write_all(head.as_bytes()).await?;
            let mut response = String::new();
            stream.read_to_string(&mut response).await?;
            Ok::<_, std::io::Error>(response)
        }));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(callers.len() > 10, "{}", callers.len());
    for (n, caller) in callers.into_iter().enumerate() {
        let response = caller.await.unwrap();
        let is_answered = response.as_ref().is_ok_and(|response| {
            response.starts_with("HTTP/1.1 200") || response.starts_with("HTTP/1.1 503")
        });
        assert!(is_answered, "caller {n}: {response:?}\n{}", node.log());
    }
    assert!(node.wait_for_exit().await);
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
