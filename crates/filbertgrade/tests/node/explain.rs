//! Test that `explain` finds the cause of failed requests in the log of a node.

use filbertgrade::explain::RequestHistory;
use filbertgrade_standins::node::endpoint::EndpointBehavior;
use filbertgrade_standins::node::store::StoreFault;
use rstest::rstest;
use serde_json::json;

use crate::cluster::{KEY, TestCluster, eventually};

/// Guards against a failed request whose log lines name no cause, or another
/// one than the test provoked.
#[rstest]
#[case::no_key("no key", 401, "carried no key")]
#[case::unknown_key("unknown key", 401, "unknown or was withdrawn")]
#[case::no_route("no route", 404, "no route matches")]
#[case::over_rate("over rate", 429, "over its rate")]
#[case::no_endpoint("no endpoint", 503, "accepted requests")]
#[case::store_unreachable("store unreachable", 503, "had received nothing from the store")]
#[case::answer_lost("answer lost", 502, "connection_lost")]
#[case::silent("silent", 504, "did not answer within the timeout")]
#[case::failed("fails", 500, "answered 500")]
#[tokio::test]
async fn log_lines_of_a_failed_request_name_its_cause(
    #[case] fault: &str,
    #[case] status: u16,
    #[case] cause: &str,
) {
    let mut cluster = TestCluster::start(&[1]).await;
    let (mut route, mut key) = ("order", Some(KEY));
    match fault {
        "no key" => key = None,
        "unknown key" => key = Some("another"),
        "no route" => route = "nowhere",
        "over rate" => {
            cluster.configure(|spec| {
                spec["tenants"][0]["rate-per-s"] = json!(0.01);
                spec["tenants"][0]["burst"] = json!(0);
            });
            cluster.nodes[0]
                .line_with(&["event=configuration_in_force version=6"])
                .await;
            // Uses up the tokens that remain in the team's bucket.
            for n in 0..150 {
                cluster.get("order", &format!("x{n}")).await;
            }
        }
        "no endpoint" => {
            cluster.store.remove("servers", "i-0");
            cluster.nodes[0]
                .line_with(&["event=endpoint_removed"])
                .await;
        }
        "store unreachable" => {
            cluster.store.set_fault(StoreFault::Unresponsive);
            eventually("the node is no longer ready", || async {
                !cluster.nodes[0].is_ready().await
            })
            .await;
        }
        "answer lost" => cluster.endpoints[0].set_behavior(EndpointBehavior::LosesAnswer),
        "silent" => cluster.endpoints[0].set_behavior(EndpointBehavior::Silent),
        _ => cluster.endpoints[0].set_behavior(EndpointBehavior::Fails),
    }
    let response = cluster.nodes[0]
        .request("GET", route, "explained", key)
        .await;
    assert_eq!(response.status, status);
    cluster.nodes[0].line_with(&["id=explained "]).await;
    let mut history = RequestHistory::new("explained");
    let log = cluster.nodes[0].log();
    history.read("vm-0", log.as_bytes(), |_| {}).unwrap();
    let explained = history.cause().unwrap_or_default();
    assert!(explained.contains(cause), "{explained:?} in {history}");
}
