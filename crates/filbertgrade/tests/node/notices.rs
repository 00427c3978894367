//! Tests of a node whose endpoints say that they leave, or that they want no
//! requests for a while.

use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;

use crate::cluster::{KEY, TestCluster};
use filbertgrade_standins::node::endpoint::EndpointBehavior;

/// Time after its refusal within which requests may still reach an endpoint that
/// asked for a pause.
const PAUSE_SLACK: Duration = Duration::from_millis(500);

/// Requests that may reach an endpoint from one node during its pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;

/// Starts a node whose team has no rate limit, since requests follow each other faster
/// than tokens accrue after the start.
async fn start(service_ms: &[u64]) -> TestCluster {
    let mut cluster = TestCluster::start(service_ms).await;
    cluster.configure(|spec| spec["tenants"][0]["rate-per-s"] = json!(0));
    let version = format!("configuration_in_force version={} ", cluster.version());
    cluster.nodes[0].line_with(&[&version]).await;
    cluster
}

/// Sends `count` requests for as many objects, and returns how many were answered
/// with status 200.
async fn send(cluster: &TestCluster, name: &str, count: usize) -> usize {
    let node = &cluster.nodes[0];
    let mut served = 0;
    for n in 0..count {
        let head = node.request_head("POST", "order", &format!("{name}-{n}"), Some(KEY));
        let head = head.replace("affinity-key: 17", &format!("affinity-key: {name}{n}"));
        let response = crate::cluster::exchange(node.callers, &head).await.unwrap();
        served += usize::from(response.status == 200);
    }
    served
}

/// Guards against requests to an endpoint after it has announced its end in its
/// response, while its registration still says that it is ready.
#[rstest]
#[case::in_a_success(EndpointBehavior::Serves)]
#[case::in_a_failure(EndpointBehavior::Fails)]
#[case::in_a_refusal(EndpointBehavior::Refuses)]
#[case::in_a_long_refusal(EndpointBehavior::RefusesAtLength)]
#[tokio::test]
async fn endpoint_that_announces_its_end_gets_no_more(#[case] behavior: EndpointBehavior) {
    let cluster = start(&[1, 1]).await;
    let leaving = &cluster.endpoints[0];
    leaving.set_leaving(true);
    leaving.set_behavior(behavior);
    while leaving.arrivals().is_empty() {
        send(&cluster, "before", 4).await;
    }
    cluster.nodes[0]
        .line_with(&["event=endpoint_leaving", "endpoint=i-0"])
        .await;
    // Its registration changes, and calls it ready again.
    cluster.register_as(leaving, "ready", 2);
    cluster.nodes[0]
        .line_with(&["event=endpoint_registered", "endpoint=i-0"])
        .await;
    assert_eq!(send(&cluster, "after", 40).await, 40);
    assert_eq!(leaving.arrivals().len(), 1);
}

/// Guards against an address that gets no requests because another endpoint, to
/// which it belongs now, announces its end.
#[tokio::test]
async fn notice_of_another_endpoint_at_the_address_is_ignored() {
    let cluster = start(&[1, 1]).await;
    cluster.endpoints[0].set_leaving(true);
    cluster.endpoints[0].set_behavior(EndpointBehavior::IsAnother);
    send(&cluster, "a", 20).await;
    assert!(!cluster.endpoints[0].arrivals().is_empty());
    assert!(!cluster.nodes[0].log().contains("event=endpoint_leaving"));
}

/// Guards against callers that wait although all endpoints have announced their
/// end.
#[tokio::test]
async fn request_is_refused_at_once_when_all_endpoints_announce_their_end() {
    let cluster = start(&[1]).await;
    cluster.endpoints[0].set_leaving(true);
    assert_eq!(send(&cluster, "a", 1).await, 1);
    let sent_at = Instant::now();
    let response = cluster.get("safe", "b").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(sent_at.elapsed() < Duration::from_millis(500));
}

/// Guards against requests to an endpoint during the pause that it has asked for,
/// and against one that gets none after it.
#[tokio::test]
async fn pausing_endpoint_gets_no_requests_until_its_pause_ends() {
    const PAUSE: Duration = Duration::from_millis(2_500);
    let cluster = start(&[1, 1]).await;
    let pausing = &cluster.endpoints[0];
    pausing.set_pause(Some("2.5"));
    pausing.set_behavior(EndpointBehavior::Refuses);
    while pausing.arrivals().is_empty() {
        send(&cluster, "before", 4).await;
    }
    pausing.set_behavior(EndpointBehavior::Serves);
    let refused_at = pausing.arrivals()[0];
    let mut n = 0;
    while refused_at.elapsed() < PAUSE + Duration::from_secs(2) {
        n += 1;
        assert_eq!(send(&cluster, &format!("during{n}-"), 4).await, 4);
    }
    let arrivals = pausing.arrivals();
    let after = |at: &Instant| at.saturating_duration_since(refused_at);
    let in_pause = arrivals
        .iter()
        .filter(|at| after(at) > PAUSE_SLACK && after(at) < PAUSE);
    assert!(in_pause.count() <= MAX_REQUESTS_IN_PAUSE, "{arrivals:?}");
    assert!(arrivals.iter().any(|at| after(at) > PAUSE));
}

/// Guards against callers that return before any endpoint wants requests again, or
/// wait for it without a refusal.
#[tokio::test]
async fn refusal_names_the_end_of_the_pause_when_all_endpoints_pause() {
    let cluster = start(&[1]).await;
    cluster.endpoints[0].set_pause(Some("3"));
    cluster.endpoints[0].set_behavior(EndpointBehavior::Refuses);
    assert_eq!(send(&cluster, "a", 1).await, 0);
    let sent_at = Instant::now();
    let response = cluster.get("safe", "b").await;
    assert!(sent_at.elapsed() < Duration::from_millis(500));
    assert_eq!(response.status, 503, "{response:?}");
    let delay = filbertgrade_standins::node::endpoint::header(&response.head, "retry-after");
    let delay: f64 = delay.parse().unwrap();
    assert!((2.5..=5.0).contains(&delay), "{delay}");
    assert_eq!(cluster.endpoints[0].arrivals().len(), 1);
}

/// Guards against a pause that cannot be read and stops the endpoint or the node.
#[rstest]
#[case("soon")]
#[case("-1")]
#[case("1e999")]
#[tokio::test]
async fn pause_that_cannot_be_read_is_none(#[case] time: &str) {
    let cluster = start(&[1]).await;
    cluster.endpoints[0].set_pause(Some(time));
    cluster.endpoints[0].set_behavior(EndpointBehavior::Refuses);
    assert_eq!(send(&cluster, "a", 1).await, 0);
    cluster.nodes[0]
        .line_with(&["event=endpoint_pause_unreadable", "endpoint=i-0"])
        .await;
    cluster.endpoints[0].set_behavior(EndpointBehavior::Serves);
    assert_eq!(send(&cluster, "b", 3).await, 3);
}
