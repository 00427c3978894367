//! Tests of nodes that the store has turned away for a time.

use std::time::{Duration, Instant};

use filbertgrade_standins::node::store::StoreFault;
use rstest::rstest;
use rustix::process::Signal;

use crate::cluster::{KEY, TestCluster, eventually};

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

/// Guards against a node that notices late that the store responds again, because it
/// waits for a response that will not come and then for its next call.
#[rstest]
#[tokio::test]
async fn store_that_responds_again_is_noticed_within_one_call(
    #[values(0, 200, 400, 600, 800, 1_000, 1_200, 1_400)] phase_ms: u64,
) {
    let cluster = TestCluster::start(&[1]).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.store.set_fault(StoreFault::Unresponsive);
    // Keys are refused after 4.5 s, and the delays have reached their longest.
    tokio::time::sleep(Duration::from_millis(7_000 + phase_ms)).await;
    cluster.store.set_fault(StoreFault::None);
    let restored_at = Instant::now();
    eventually("the node accepts keys", || async {
        let response = cluster.nodes[0].request("GET", "safe", "r1", Some(KEY));
        response.await.status == 200
    })
    .await;
    let elapsed = restored_at.elapsed();
    // The timeout of a call is 0.8 s.
    let late = format!("after {elapsed:?}:\n{}", cluster.nodes[0].log());
    assert!(elapsed < Duration::from_millis(1_200), "{late}");
}

/// Index of the node that the store has served last.
fn follower_of_store(cluster: &TestCluster) -> usize {
    let served = cluster.store.last_served();
    let mut nodes = cluster.nodes.iter();
    nodes
        .position(|node| Some(node.callers.ip()) == served)
        .unwrap()
}
