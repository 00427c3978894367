//! Tests of a store that comes back from a copy that is some seconds old. What was
//! written since is lost, and its revisions are given out again.

use std::time::{Duration, Instant};

use filbertgrade_standins::node::store::{Backup, StoreFault};
use rstest::rstest;
use serde_json::Value;

use crate::cluster::{KEY, TestCluster, eventually};

/// How long the store is away before it comes back.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// No call fails.
    None,
    Short,
    Long,
}

impl Outage {
    fn duration(self) -> Duration {
        match self {
            Self::None => Duration::ZERO,
            Self::Short => Duration::from_millis(200),
            Self::Long => Duration::from_secs(2),
        }
    }
}

/// Starts nodes, of which one follows the store and the others pull from it.
async fn start(endpoints: usize, nodes: usize) -> TestCluster {
    let cluster = TestCluster::with_nodes(&vec![1; endpoints], nodes).await;
    eventually("the lookup names all nodes", || async {
        cluster.nodes[0].look_up().await.len() == nodes
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster
}

/// Lets the store be away, and brings it back from the copy.
async fn restore(cluster: &TestCluster, backup: Backup, outage: Outage) {
    if !outage.duration().is_zero() {
        cluster.store.set_fault(StoreFault::Busy);
        tokio::time::sleep(outage.duration()).await;
    }
    cluster.store.restore(backup);
    cluster.store.set_fault(StoreFault::None);
}

/// The newest configuration, as the operator wrote it.
fn configuration(cluster: &TestCluster) -> Value {
    cluster.store.spec_of("config", "main").unwrap()
}

/// Guards against VMs that ignore a change because the store has given out its
/// revision before. `changes` is the number of changes after the copy.
#[rstest]
#[tokio::test]
async fn change_after_a_restore_is_in_force_on_all_nodes(
    #[values(Outage::None, Outage::Short, Outage::Long)] outage: Outage,
    #[values(1, 4)] changes: usize,
) {
    let mut cluster = start(1, 3).await;
    let backup = cluster.store.back_up();
    for _ in 0..changes {
        cluster.configure(|_| {});
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let newest = configuration(&cluster);
    restore(&cluster, backup, outage).await;
    // The operator writes the newest version again.
    cluster.store.put("config", "main", newest);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.configure(|spec| spec["routes"][0]["path-prefix"] = "/moved/".into());
    for node in &cluster.nodes {
        let elapsed = eventually("the route has moved", || async {
            let response = node.request("GET", "moved", "a1", Some(KEY));
            response.await.status == 200
        })
        .await;
        let late = format!("{} after {elapsed:?}:\n{}", node.name, node.log());
        assert!(elapsed < Duration::from_millis(2_500), "{late}");
    }
}

/// Guards against a watch that continues in the new history from a revision of the
/// old one, and misses the changes before it.
#[tokio::test]
async fn changes_below_a_revision_of_the_lost_history_are_not_missed() {
    let cluster = start(2, 3).await;
    let backup = cluster.store.back_up();
    cluster.store.put("config", "other", Value::Null);
    cluster.store.put("config", "other", Value::from(1));
    // A watch without changes ends after 2.5 s, and is then at this revision.
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.store.restore(backup);
    // Has the first revision after the copy; the store passes the old ones
    // before any node calls it again.
    cluster.register_as(&cluster.endpoints[0], "draining", 2);
    for number in 0..4 {
        cluster.store.put("config", "other", Value::from(number));
    }
    cluster.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before = cluster.endpoints[0].run_heads().len();
    send_to_all(&cluster).await;
    assert_eq!(cluster.endpoints[0].run_heads().len(), before);
}

/// Guards against an endpoint that has left and gets requests again, because the
/// copy still names it as ready.
#[rstest]
#[case::draining(false)]
#[case::removed(true)]
#[tokio::test]
async fn endpoint_that_left_before_a_restore_gets_no_requests(
    #[case] removed: bool,
    #[values(Outage::None, Outage::Long)] outage: Outage,
) {
    let cluster = start(2, 3).await;
    let backup = cluster.store.back_up();
    let left = &cluster.endpoints[0];
    cluster.register_as(left, "draining", 2);
    if removed {
        cluster.store.remove("servers", &left.id);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before = left.run_heads().len();
    restore(&cluster, backup, outage).await;
    for _ in 0..4 {
        send_to_all(&cluster).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(left.run_heads().len(), before);
}

/// Guards against requests that are refused because the endpoints' registrations
/// are newer than the copy and are not written again at once.
#[rstest]
#[tokio::test]
async fn endpoints_that_are_missing_in_the_copy_stay_in_use(
    #[values(Outage::None, Outage::Long)] outage: Outage,
) {
    let cluster = start(0, 3).await;
    let backup = cluster.store.back_up();
    let endpoint = filbertgrade_standins::node::endpoint::Endpoint::start("i-new", Duration::ZERO);
    let endpoint = endpoint.await.unwrap();
    cluster.register(&endpoint, "ready");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    restore(&cluster, backup, outage).await;
    // Endpoints register again within two seconds.
    let register = async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        cluster.register_as(&endpoint, "ready", 2);
    };
    let requests = async {
        let restored_at = Instant::now();
        while restored_at.elapsed() < Duration::from_secs(5) {
            send_to_all(&cluster).await;
        }
    };
    tokio::join!(register, requests);
}

/// Guards against lookups that name a VM that stopped, because the copy still
/// lists it, and that leave out one whose entry is newer than the copy.
#[rstest]
#[tokio::test]
async fn lookups_name_the_running_nodes_after_a_restore(
    #[values(Outage::None, Outage::Long)] outage: Outage,
) {
    let mut cluster = start(1, 3).await;
    let backup = cluster.store.back_up();
    let mut stopped = cluster.nodes.pop().unwrap();
    stopped.signal(rustix::process::Signal::TERM);
    assert!(stopped.wait_for_exit().await);
    let added = crate::cluster::Node::start("vm-9", cluster.store.address).await;
    added.wait_ready().await;
    cluster.nodes.push(added);
    let names_running = async |cluster: &TestCluster| {
        let mut expected: Vec<String> = cluster
            .nodes
            .iter()
            .map(|node| node.callers.to_string())
            .collect();
        expected.sort();
        for node in &cluster.nodes {
            let mut named = node.look_up().await;
            named.sort();
            if named != expected {
                return Err(format!("{} names {named:?} of {expected:?}", node.name));
            }
        }
        Ok(())
    };
    eventually("lookups name the added node", || async {
        names_running(&cluster).await.is_ok()
    })
    .await;
    restore(&cluster, backup, outage).await;
    for _ in 0..50 {
        assert_eq!(names_running(&cluster).await, Ok(()));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a relay and the nodes below it that read everything again and
/// again, because they wait for a revision of the lost history.
#[tokio::test]
async fn restore_causes_few_store_calls() {
    let mut cluster = start(1, 4).await;
    let backup = cluster.store.back_up();
    for _ in 0..3 {
        cluster.configure(|_| {});
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    restore(&cluster, backup, Outage::None).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let before = cluster.store.full_cost_calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = cluster.store.full_cost_calls() - before;
    // As without a restore: a single node makes about three calls per second.
    assert!(calls <= 18, "{calls} calls in 3 s");
}

/// Sends a few requests to each node and requires that all are answered.
async fn send_to_all(cluster: &TestCluster) {
    for node in &cluster.nodes {
        for object in 0..6 {
            let head = node.request_head("GET", "open", "s1", None);
            let key = format!("x-filbertgrade-affinity-key: {object}");
            let head = head.replace("x-filbertgrade-affinity-key: 17", &key);
            let response = crate::cluster::exchange(node.callers, &head).await.unwrap();
            assert_eq!(response.status, 200, "{}:\n{}", node.name, node.log());
        }
    }
}
