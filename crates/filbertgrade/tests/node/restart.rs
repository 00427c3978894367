//! Tests of a node that is killed and started again while the store's stale
//! reads return an old state.

use serde_json::json;

use crate::cluster::{Node, TestCluster};

/// Guards against a restarted node that sends requests to an endpoint that has
/// left, because the list that it starts with is seconds old.
#[tokio::test]
async fn restarted_node_uses_no_endpoint_that_has_left() {
    let mut cluster = TestCluster::start(&[1, 1]).await;
    // All requests are for the object that this endpoint handles.
    let first = cluster.get("open", "a").await;
    let left = usize::from(first.body.contains("i-1"));
    cluster.store.freeze_stale_reads();
    cluster.store.remove("servers", &format!("i-{left}"));
    cluster.nodes[0]
        .line_with(&["event=endpoint_removed"])
        .await;
    restart(&mut cluster).await;
    for n in 0..40 {
        let response = cluster.get("open", &format!("a{n}")).await;
        let expected = format!("answer of i-{} to a{n}", 1 - left);
        assert_eq!((response.status, response.body), (200, expected));
    }
    assert_eq!(cluster.endpoints[left].run_heads().len(), 1);
}

/// Guards against a restarted node that accepts a key that was withdrawn before
/// its start.
#[tokio::test]
async fn restarted_node_accepts_no_withdrawn_key() {
    let mut cluster = TestCluster::start(&[1]).await;
    cluster.store.freeze_stale_reads();
    cluster.configure(|spec| spec["tenants"][0]["api-keys"] = json!(["new"]));
    restart(&mut cluster).await;
    for n in 0..40 {
        assert_eq!(cluster.get("safe", &format!("b{n}")).await.status, 401);
    }
    assert_eq!(cluster.requests_run(), 0);
    let accepted = cluster.nodes[0]
        .request("GET", "safe", "b", Some("new"))
        .await;
    assert_eq!(accepted.status, 200);
}

/// Kills the only node and starts one of the same name.
async fn restart(cluster: &mut TestCluster) {
    let mut killed = cluster.nodes.remove(0);
    killed.signal(rustix::process::Signal::KILL);
    killed.wait_for_exit().await;
    let node = Node::start("vm-0", cluster.store.address).await;
    node.wait_ready().await;
    cluster.nodes.push(node);
}
