//! Tests of nodes that the store has turned away for a time.

use std::time::Duration;

use rustix::process::Signal;

use crate::cluster::TestCluster;

/// Time for which the store turns a node away.
const TURNED_AWAY_TIME: Duration = Duration::from_secs(3);

/// Time after which the store counts as undisturbed, longer than endpoints need to
/// register again after an outage.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// Guards against a node that takes its first call to the store in a long time
/// for the end of an outage, and keeps using endpoints that have left.
#[tokio::test]
async fn removed_endpoint_is_not_kept_for_an_outage_that_is_long_over() {
    let cluster = TestCluster::with_nodes(&[1], 2).await;
    tokio::time::sleep(STABLE_WINDOW).await;
    let turned_away = follower_of_store(&cluster);
    let first = &cluster.nodes[turned_away];
    let other = &cluster.nodes[1 - turned_away];
    cluster.store.turn_away(Some(first.callers.ip()));
    tokio::time::sleep(TURNED_AWAY_TIME).await;
    cluster.store.turn_away(None);
    tokio::time::sleep(STABLE_WINDOW).await;
    assert_eq!(follower_of_store(&cluster), 1 - turned_away);
    // The first node has to call the store itself now.
    other.signal(Signal::STOP);
    cluster.store.remove("servers", "i-0");
    first.line_with(&["event=endpoint_removed"]).await;
    let response = first.request("GET", "open", "a", None).await;
    other.signal(Signal::CONT);
    assert_eq!(response.status, 503, "{}", first.log());
}

/// Index of the node that the store has served last.
fn follower_of_store(cluster: &TestCluster) -> usize {
    let served = cluster.store.last_served();
    let mut nodes = cluster.nodes.iter();
    nodes
        .position(|node| Some(node.callers.ip()) == served)
        .unwrap()
}
