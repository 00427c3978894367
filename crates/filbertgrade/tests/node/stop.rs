//! Stops and settings that change.

use std::time::Duration;

use crate::scene::{KEY, Scene, eventually};

/// Guards against requests that a planned stop cuts, and callers who are sent
/// to a node that stops.
#[tokio::test]
async fn stop_cuts_no_request() {
    let mut scene = Scene::with_nodes(&[800], 2).await;
    eventually("both are named", || async {
        scene.nodes[1].look_up().await.len() == 2
    })
    .await;
    let mut stopping = scene.nodes.remove(0);
    let request = stopping.request("POST", "order", "a1", Some(KEY));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        stopping.signal(rustix::process::Signal::TERM);
    };
    let (answer, ()) = tokio::join!(request, stop);
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(
        filbertgrade_standins::node::endpoint::header(&answer.head, "connection"),
        "close"
    );
    assert!(!stopping.is_ready().await);
    let address = stopping.callers.to_string();
    assert!(!scene.nodes[0].look_up().await.contains(&address));
    // Callers with an older look-up still reach it for a while.
    let late = stopping.request("GET", "safe", "a2", Some(KEY)).await;
    assert_eq!(late.status, 200);
    let began = std::time::Instant::now();
    assert!(stopping.ended().await);
    assert!(began.elapsed() < Duration::from_secs(6));
    assert_eq!(scene.store.names("vms"), ["vm-1"]);
    stopping.line_with(&["event=leaving"]).await;
    stopping.line_with(&["event=node_stopped"]).await;
}

/// Guards against a node that stops when its settings are read again.
#[tokio::test]
async fn settings_are_read_again_on_a_signal() {
    let scene = Scene::start(&[1]).await;
    scene.nodes[0].signal(rustix::process::Signal::HUP);
    scene.nodes[0]
        .line_with(&["event=settings_reloaded", "changed=false"])
        .await;
    assert_eq!(scene.get("safe", "b1").await.status, 200);
}
