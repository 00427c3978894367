//! Tests of requests that are delayed between the decision to send them and the
//! moment when they can be sent.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use crate::cluster::{KEY, TestCluster};

/// What ends the permission of a request that waits for a connection.
#[derive(Clone, Copy, Debug)]
enum Change {
    KeyWithdrawn,
    EndpointDrained,
    DomainEvacuated,
}

/// Guards against a request that is sent with a key that was withdrawn, to an
/// endpoint that drains or into an evacuated failure domain, because it had been
/// permitted before it waited for a connection.
#[rstest]
#[case(Change::KeyWithdrawn)]
#[case(Change::EndpointDrained)]
#[case(Change::DomainEvacuated)]
#[tokio::test]
async fn permission_is_checked_again_after_a_wait(#[case] change: Change) {
    let mut cluster = TestCluster::start(&[1_200]).await;
    // One connection, so that a second request waits for the first.
    cluster.configure(|spec| spec["services"][0]["max-conns"] = json!(1));
    cluster.nodes[0]
        .line_with(&["event=configuration_in_force version=6 "])
        .await;
    let node = &cluster.nodes[0];
    let first = node.request("GET", "open", "a1", None);
    let second = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        node.request("POST", "order", "a2", Some(KEY)).await
    };
    let change = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let endpoint = &cluster.endpoints[0];
        match change {
            Change::KeyWithdrawn => {
                let mut spec = cluster.store.spec_of("config", "main").unwrap();
                spec["version"] = json!("r9");
                spec["tenants"][0]["api-keys"] = json!(["new"]);
                cluster.store.put("config", "main", spec);
            }
            Change::EndpointDrained => cluster.register(endpoint, "draining"),
            Change::DomainEvacuated => cluster.store.put("evacuations", "north-a", json!({})),
        }
    };
    let (first, second, ()) = tokio::join!(first, second, change);
    assert_eq!(first.status, 200);
    assert_eq!((second.status, cluster.requests_run()), (503, 1));
}

/// Guards against a paused process that, when it continues, sends what it had
/// permitted before the pause.
#[tokio::test]
async fn paused_node_checks_keys_again() {
    let cluster = TestCluster::start(&[1]).await;
    let node = &cluster.nodes[0];
    assert_eq!(cluster.get("safe", "b1").await.status, 200);
    node.signal(rustix::process::Signal::STOP);
    // The request arrives during the pause, and the key is withdrawn after it.
    let request = node.request("POST", "order", "b2", Some(KEY));
    let mut spec = cluster.store.spec_of("config", "main").unwrap();
    spec["version"] = json!(format!("r{}", cluster.version() + 3));
    spec["tenants"][0]["api-keys"] = json!(["new"]);
    let resume = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.store.put("config", "main", spec);
        tokio::time::sleep(Duration::from_secs(6)).await;
        node.signal(rustix::process::Signal::CONT);
    };
    let (response, ()) = tokio::join!(request, resume);
    assert!(matches!(response.status, 401 | 503), "{}", response.status);
    assert_eq!(cluster.requests_run(), 1);
}
