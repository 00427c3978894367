//! Tests of nodes whose connections stop delivering data without being reset,
//! while new connections work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;
use rustix::process::Signal;
use serde_json::json;
use tokio::net::UdpSocket;

use crate::cluster::{Node, TestCluster, eventually};
use filbertgrade_standins::node::unique_loopback_address;
use filbertgrade_standins::proxy::{Direction, Fault, FaultProxy};

/// Shortest time on any deployment within which a drain must be in force on a
/// VM without faults.
const DRAIN_BOUND: Duration = Duration::from_millis(2_500);

/// Longest time that a new connection to the store and a call on it take at any
/// distance on these deployments: two round trips of 110 ms.
const STORE_CALL_TIME: Duration = Duration::from_millis(220);

/// One-way latency between a region and the store's region.
const ONE_WAY_TO_STORE: Duration = Duration::from_millis(55);

/// Time after a fault of its connections from which a VM must meet the bounds
/// again.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// Time after its start from which a node expects the watches of all kinds to
/// keep up with the store.
const START_TIME: Duration = Duration::from_secs(6);

/// Log line of a node that has received the drain of an endpoint.
const DRAIN_RECEIVED: [&str; 2] = ["event=endpoint_registered endpoint=i-0", "draining=true"];

/// Guards against drains that arrive only after the timeout of a watch whose
/// connection has gone silent, while those of the other kinds work.
#[tokio::test]
async fn drain_arrives_although_the_watch_of_endpoints_is_silent() {
    let cluster = TestCluster::start(&[1, 1]).await;
    tokio::time::sleep(START_TIME).await;
    // The change makes the node start a new watch, so that its timeout is far.
    cluster.register(&cluster.endpoints[1], "draining");
    tokio::time::sleep(Duration::from_millis(400)).await;
    cluster.store.hang_open_reads("servers");
    let drained_at = Instant::now();
    cluster.register(&cluster.endpoints[0], "draining");
    cluster.nodes[0].line_with(&DRAIN_RECEIVED).await;
    let elapsed = drained_at.elapsed();
    assert!(elapsed < DRAIN_BOUND, "{elapsed:?}");
}

/// Guards against evacuations that wait for the timeout of a silent watch.
#[tokio::test]
async fn evacuation_arrives_although_its_watch_is_silent() {
    let cluster = TestCluster::start(&[1]).await;
    tokio::time::sleep(START_TIME).await;
    cluster.store.put("evacuations", "north-b", json!({}));
    tokio::time::sleep(Duration::from_millis(400)).await;
    cluster.store.hang_open_reads("evacuations");
    let evacuated_at = Instant::now();
    cluster.store.put("evacuations", "north-a", json!({}));
    cluster.nodes[0]
        .line_with(&["event=evacuations_in_force", "north-a"])
        .await;
    let elapsed = evacuated_at.elapsed();
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
}

/// Guards against nodes that learn of drains, configurations and evacuations
/// only seconds after their connections to relays, to the store, or to both have
/// gone silent, also when this happens twice.
#[rstest]
#[case::relays(3, true, false)]
#[case::store(3, false, true)]
#[case::relays_and_store(3, true, true)]
#[case::two_levels(13, true, true)]
#[tokio::test]
async fn changes_arrive_after_connections_went_silent(
    #[case] nodes: usize,
    #[case] silence_relays: bool,
    #[case] silence_store: bool,
) {
    let mut fleet = ProxiedFleet::start(nodes).await;
    for round in 0..2 {
        if silence_relays {
            fleet.relays.iter().for_each(FaultProxy::freeze_open);
        }
        if silence_store {
            fleet.store.freeze_open();
        }
        let silent_at = Instant::now();
        // Silence is noticed while a drain has just been written.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let endpoint = fleet.cluster.endpoints[round].clone();
        fleet.cluster.register(&endpoint, "draining");
        fleet.cluster.configure(|_| {});
        let domain = format!("north-{round}");
        fleet.cluster.store.put("evacuations", &domain, json!({}));
        let version = format!(
            "configuration_in_force version={} ",
            fleet.cluster.version()
        );
        let registered = format!("event=endpoint_registered endpoint={} ", endpoint.id);
        for node in &fleet.cluster.nodes {
            node.line_with(&[&registered, "draining=true"]).await;
            node.line_with(&[&version]).await;
            node.line_with(&["event=evacuations_in_force", &domain])
                .await;
            let elapsed = silent_at.elapsed();
            assert!(
                elapsed < STABLE_WINDOW,
                "round {round}, {}: {elapsed:?}\n{}",
                node.name,
                node.log()
            );
        }
    }
}

/// Guards against nodes that learn of a drain too late because relays that stopped
/// without closing their connections are given up one after the other.
#[rstest]
#[case::only_relay(2, 1)]
#[case::first_relay(3, 1)]
#[case::both_relays(3, 2)]
#[case::first_relay_of_two_levels(13, 1)]
#[case::follower_and_one_other_of_two_levels(13, 2)]
#[tokio::test]
async fn drain_arrives_in_time_although_relays_have_stopped(
    #[case] nodes: usize,
    #[case] stopped: usize,
) {
    let mut cluster = TestCluster::with_nodes(&[1, 1], nodes).await;
    tokio::time::sleep(START_TIME).await;
    let served = cluster.store.last_served();
    // The node that follows the store is the first relay of all others.
    cluster
        .nodes
        .sort_by_key(|node| Some(node.callers.ip()) != served);
    let (frozen, others) = cluster.nodes.split_at(stopped);
    frozen.iter().for_each(|node| node.signal(Signal::STOP));
    let drained_at = Instant::now();
    cluster.register(&cluster.endpoints[0], "draining");
    let mut slowest = Duration::ZERO;
    for node in others {
        node.line_with(&DRAIN_RECEIVED).await;
        slowest = slowest.max(drained_at.elapsed());
    }
    frozen.iter().for_each(|node| node.signal(Signal::CONT));
    assert!(slowest < DRAIN_BOUND - STORE_CALL_TIME, "{slowest:?}");
}

/// Guards against nodes that learn of a drain too late because both of their relays
/// lost power: open connections are silent, new ones get no answer, and the store
/// is in another region.
#[rstest]
#[case::one_node_left(3, 2)]
#[case::seven_nodes_left(9, 2)]
#[case::first_relay_of_two_levels(13, 1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_arrives_in_time_although_relays_have_lost_power(
    #[case] nodes: usize,
    #[case] lost: usize,
) {
    let mut fleet = ProxiedFleet::start(nodes).await;
    let distant = Fault {
        delay: ONE_WAY_TO_STORE,
        ..Fault::default()
    };
    fleet.store.set_fault(Direction::ToServer, distant.clone());
    fleet.store.set_fault(Direction::ToClient, distant);
    tokio::time::sleep(START_TIME).await;
    fleet.sort_by_use_as_relay();
    for (node, relay) in fleet.cluster.nodes.iter().zip(&fleet.relays).take(lost) {
        relay.freeze_open();
        node.signal(Signal::STOP);
    }
    let drained_at = Instant::now();
    let endpoint = &fleet.cluster.endpoints[0];
    fleet.cluster.register(endpoint, "draining");
    let relays = fleet.relays.iter_mut().take(lost);
    for lost in futures::future::join_all(relays.map(FaultProxy::lose_power)).await {
        lost.unwrap();
    }
    for node in &fleet.cluster.nodes[lost..] {
        node.line_with(&DRAIN_RECEIVED).await;
        let elapsed = drained_at.elapsed();
        let late = format!("{} after {elapsed:?}:\n{}", node.name, node.log());
        assert!(elapsed < DRAIN_BOUND, "{late}");
    }
}

/// Nodes that reach the store and each other through proxies.
struct ProxiedFleet {
    cluster: TestCluster,
    store: FaultProxy,
    /// One before the port of each node for other nodes.
    relays: Vec<FaultProxy>,
}

impl ProxiedFleet {
    async fn start(nodes: usize) -> Self {
        let mut cluster = TestCluster::without_nodes(&[1, 1, 1]).await;
        let any_port = SocketAddr::from((unique_loopback_address(), 0));
        let store = FaultProxy::bind(any_port, cluster.store.address)
            .await
            .unwrap();
        for n in 0..nodes {
            let node = Node::start(&format!("vm-{n:02}"), store.addr()).await;
            cluster.nodes.push(node);
        }
        for node in &cluster.nodes {
            node.wait_ready().await;
        }
        eventually("all nodes are listed", || async {
            cluster.store.names("vms").len() == nodes
        })
        .await;
        let mut relays = Vec::new();
        for node in &cluster.nodes {
            relays.push(proxy_peer(&cluster, &node.name).await);
        }
        eventually("the lookups name all nodes", || async {
            for node in &cluster.nodes {
                if node.look_up().await.len() != nodes {
                    return false;
                }
            }
            true
        })
        .await;
        // Pulls that went to the addresses before move to the proxies.
        tokio::time::sleep(Duration::from_secs(4)).await;
        let fleet = Self {
            cluster,
            store,
            relays,
        };
        let proxied = |relay: &&FaultProxy| relay.open_connections() > 0;
        assert!(fleet.relays.iter().any(|relay| proxied(&relay)));
        fleet
    }
}

impl ProxiedFleet {
    /// Sorts the nodes and their proxies so that those with the most followers
    /// come first.
    fn sort_by_use_as_relay(&mut self) {
        let nodes = std::mem::take(&mut self.cluster.nodes);
        let relays = std::mem::take(&mut self.relays);
        let mut pairs: Vec<_> = nodes.into_iter().zip(relays).collect();
        pairs.sort_by_key(|(_, relay)| std::cmp::Reverse(relay.open_connections()));
        (self.cluster.nodes, self.relays) = pairs.into_iter().unzip();
    }
}

/// Replaces the address of a node for other nodes by one that forwards
/// connections and datagrams to it.
async fn proxy_peer(cluster: &TestCluster, name: &str) -> FaultProxy {
    let mut spec = cluster.store.spec_of("vms", name).unwrap();
    let address: SocketAddr = spec["heartbeats"].as_str().unwrap().parse().unwrap();
    let proxy_address = SocketAddr::from((unique_loopback_address(), address.port()));
    let proxy = FaultProxy::bind(proxy_address, address).await.unwrap();
    let datagrams = Arc::new(UdpSocket::bind(proxy_address).await.unwrap());
    tokio::spawn(async move {
        let mut buf = vec![0; 65_536];
        while let Ok((n, _)) = datagrams.recv_from(&mut buf).await {
            let _ = datagrams.send_to(&buf[..n], address).await;
        }
    });
    spec["heartbeats"] = json!(proxy_address.to_string());
    cluster.store.put("vms", name, spec);
    proxy
}
