//! Several nodes of one region.

use std::time::Duration;

use crate::scene::{Scene, eventually};

/// Guards against look-ups that name a killed node for long, and nodes that do
/// not find each other.
#[tokio::test]
async fn killed_node_leaves_the_look_ups() {
    let mut scene = Scene::with_nodes(&[1], 3).await;
    eventually("all are named", || async {
        scene.nodes[0].look_up().await.len() == 3
    })
    .await;
    let dead = scene.nodes.pop().unwrap();
    dead.signal(rustix::process::Signal::KILL);
    let address = dead.callers.to_string();
    let took = eventually("not named", || async {
        !scene.nodes[0].look_up().await.contains(&address)
    })
    .await;
    assert!(took < Duration::from_secs(4), "{took:?}");
}

/// Guards against calls to the store that grow with the fleet, and nodes that
/// learn of changes late because another one asks for them.
#[tokio::test]
async fn one_node_asks_the_store_for_all() {
    let mut scene = Scene::with_nodes(&[1], 4).await;
    eventually("all are named", || async {
        scene.nodes[0].look_up().await.len() == 4
    })
    .await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = scene.store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = scene.store.calls() - before;
    // One node alone asks about three times a second.
    assert!(calls <= 18, "{calls} calls in 3 s");
    scene.configure(|spec| spec["routes"][0]["path-prefix"] = "/moved/".into());
    for node in &scene.nodes {
        let took = eventually("moved", || async {
            node.request("GET", "moved", "a1", Some(crate::scene::KEY))
                .await
                .status
                == 200
        })
        .await;
        assert!(took < Duration::from_millis(2_500), "{took:?}");
    }
}

/// Guards against nodes that lose the store with the node that asks it for
/// them.
#[tokio::test]
async fn nodes_go_on_when_the_one_that_asks_the_store_is_killed() {
    let mut scene = Scene::with_nodes(&[1], 3).await;
    eventually("all are named", || async {
        scene.nodes[0].look_up().await.len() == 3
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for _ in 0..2 {
        let dead = scene.nodes.remove(0);
        dead.signal(rustix::process::Signal::KILL);
        scene.configure(|_| {});
        let version = "event=configuration_in_force version=";
        let latest = format!("{version}{}", if scene.nodes.len() == 2 { 6 } else { 9 });
        scene.nodes[0].line_with(&[&latest]).await;
        assert_eq!(scene.get("safe", "b1").await.status, 200);
    }
}
