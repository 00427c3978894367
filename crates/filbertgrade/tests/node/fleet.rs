//! Tests of several nodes in one region: how they discover each other, and how
//! they receive the store's changes through relays.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::cluster::{Node, TestCluster, eventually};
use filbertgrade_standins::node::store::StoreFault;

/// Guards against nodes that do not discover each other, and against lookups
/// that name a killed node for too long.
#[tokio::test]
async fn lookups_stop_naming_a_killed_node() {
    let mut cluster = TestCluster::with_nodes(&[1], 3).await;
    eventually("the lookup names all nodes", || async {
        cluster.nodes[0].look_up().await.len() == 3
    })
    .await;
    let killed = cluster.nodes.pop().unwrap();
    killed.signal(rustix::process::Signal::KILL);
    let address = killed.callers.to_string();
    let elapsed = eventually("the lookup no longer names the killed node", || async {
        !cluster.nodes[0].look_up().await.contains(&address)
    })
    .await;
    assert!(elapsed < Duration::from_secs(4), "{elapsed:?}");
}

/// Guards against calls to the store that grow with the fleet, and against
/// changes that reach nodes late because they pass through a relay.
#[tokio::test]
async fn one_node_follows_the_store_for_its_region() {
    let mut cluster = TestCluster::with_nodes(&[1], 4).await;
    eventually("the lookup names all nodes", || async {
        cluster.nodes[0].look_up().await.len() == 4
    })
    .await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = cluster.store.full_cost_calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = cluster.store.full_cost_calls() - before;
    // A single node makes about three calls per second.
    assert!(calls <= 18, "{calls} calls in 3 s");
    cluster.configure(|spec| spec["routes"][0]["path-prefix"] = "/moved/".into());
    for node in &cluster.nodes {
        let elapsed = eventually("the route has moved", || async {
            node.request("GET", "moved", "a1", Some(crate::cluster::KEY))
                .await
                .status
                == 200
        })
        .await;
        assert!(elapsed < Duration::from_millis(2_500), "{elapsed:?}");
    }
}

/// Guards against a simultaneous start in which each node reads everything from
/// the store, because the nodes discover their relays too late.
#[tokio::test]
async fn simultaneous_start_makes_few_store_calls() {
    let cluster = TestCluster::with_nodes(&[1], 8).await;
    eventually("the lookup names all nodes", || async {
        cluster.nodes[7].look_up().await.len() == 8
    })
    .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = cluster.store.full_cost_calls();
    // Each node writes its entry and reads the configuration. The node that
    // follows the store reads all kinds and makes four calls per second, and
    // more while entries of VMs are written.
    assert!(calls <= 8 * 2 + 40, "{calls} calls");
}

/// Guards against an outage of the store in which every node calls it again and
/// again, and against nodes that accept keys late after it.
#[rstest]
#[case(StoreFault::Busy)]
#[case(StoreFault::Unresponsive)]
#[tokio::test]
async fn few_nodes_call_a_store_that_does_not_respond(#[case] fault: StoreFault) {
    let cluster = TestCluster::with_nodes(&[1], 8).await;
    eventually("the lookup names all nodes", || async {
        cluster.nodes[7].look_up().await.len() == 8
    })
    .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.store.set_fault(fault);
    // All nodes notice the outage.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = cluster.store.full_cost_calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = cluster.store.full_cost_calls() - before;
    // The node that follows the store makes about two calls a second, and each
    // other one at most one in 3 s.
    assert!(calls <= 6 + 7, "{calls} calls in 3 s");
    cluster.store.set_fault(StoreFault::None);
    let restored_at = Instant::now();
    for node in &cluster.nodes {
        eventually("the node accepts keys", || async {
            let response = node.request("GET", "safe", "c1", Some(crate::cluster::KEY));
            response.await.status == 200
        })
        .await;
        let elapsed = restored_at.elapsed();
        let late = format!("{} after {elapsed:?}:\n{}", node.name, node.log());
        assert!(elapsed < Duration::from_millis(2_500), "{late}");
    }
}

/// Guards against a request that is refused because it arrives before a new
/// node has read the store for the first time.
#[tokio::test]
async fn request_waits_for_the_first_read_of_the_store() {
    let cluster = TestCluster::with_nodes(&[1], 0).await;
    cluster.store.set_fault(StoreFault::Busy);
    let node = Node::start("vm-0", cluster.store.address).await;
    eventually("the node listens", || async {
        tokio::net::TcpStream::connect(node.callers).await.is_ok()
    })
    .await;
    let request = node.request("GET", "safe", "w1", Some(crate::cluster::KEY));
    let restore = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        cluster.store.set_fault(StoreFault::None);
    };
    let (response, ()) = tokio::join!(request, restore);
    assert_eq!(response.status, 200);
}

/// Guards against nodes that receive no further changes after their relay was
/// killed.
#[tokio::test]
async fn nodes_receive_changes_after_their_relay_is_killed() {
    let mut cluster = TestCluster::with_nodes(&[1], 3).await;
    eventually("the lookup names all nodes", || async {
        cluster.nodes[0].look_up().await.len() == 3
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for _ in 0..2 {
        let killed = cluster.nodes.remove(0);
        killed.signal(rustix::process::Signal::KILL);
        cluster.configure(|_| {});
        let version = "event=configuration_in_force version=";
        let latest = format!("{version}{}", if cluster.nodes.len() == 2 { 6 } else { 9 });
        cluster.nodes[0].line_with(&[&latest]).await;
        assert_eq!(cluster.get("safe", "b1").await.status, 200);
    }
}

/// Guards against a relay that sends every missed version to a node that has
/// fallen behind, which delays the newest one while versions are published in
/// quick succession.
#[tokio::test]
async fn node_that_fell_behind_receives_only_the_newest_version() {
    let mut cluster = TestCluster::with_nodes(&[1], 3).await;
    eventually("the lookup names all nodes", || async {
        cluster.nodes[0].look_up().await.len() == 3
    })
    .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut received = Vec::new();
    for number in 0..3 {
        let before = count_in_force(&cluster.nodes[number]);
        cluster.nodes[number].signal(rustix::process::Signal::STOP);
        let mut latest = String::new();
        for _ in 0..5 {
            cluster.configure(|_| {});
            latest = format!("configuration_in_force version={} ", cluster.version());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        cluster.nodes[number].signal(rustix::process::Signal::CONT);
        cluster.nodes[number].line_with(&[&latest]).await;
        received.push(count_in_force(&cluster.nodes[number]) - before);
    }
    // The node that follows the store itself receives every version.
    let up_to_date = received.iter().filter(|count| **count <= 2).count();
    assert!(
        up_to_date >= 2,
        "versions applied after a pause: {received:?}"
    );
}

/// Number of configurations that the node has put in force so far.
fn count_in_force(node: &Node) -> usize {
    node.log().matches("event=configuration_in_force").count()
}
