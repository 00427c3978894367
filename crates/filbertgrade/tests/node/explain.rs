//! From the log of a node to the cause of a failed request.

use filbertgrade::explain::Story;
use filbertgrade_standins::node::endpoint::Conduct;
use filbertgrade_standins::node::store::Trouble;
use rstest::rstest;
use serde_json::json;

use crate::scene::{KEY, Scene, eventually};

/// Guards against a failure whose log lines name another cause than the one
/// that was brought about, or none.
#[rstest]
#[case::no_key("no key", 401, "carried no key")]
#[case::unknown_key("unknown key", 401, "unknown or was withdrawn")]
#[case::no_route("no route", 404, "lead to no route")]
#[case::over_rate("over rate", 429, "over its rate")]
#[case::no_endpoint("no endpoint", 503, "took work")]
#[case::out_of_touch("store away", 503, "had not heard of the store")]
#[case::answer_lost("answer lost", 502, "connection_lost")]
#[case::silent("silent", 504, "did not answer within the timeout")]
#[case::failed("fails", 500, "answered 500")]
#[tokio::test]
async fn lines_of_a_failed_request_name_its_cause(
    #[case] trouble: &str,
    #[case] status: u16,
    #[case] cause: &str,
) {
    let mut scene = Scene::start(&[1]).await;
    let (mut route, mut key) = ("order", Some(KEY));
    match trouble {
        "no key" => key = None,
        "unknown key" => key = Some("another"),
        "no route" => route = "nowhere",
        "over rate" => {
            scene.configure(|spec| {
                spec["tenants"][0]["rate-per-s"] = json!(0.01);
                spec["tenants"][0]["burst"] = json!(0);
            });
            scene.nodes[0]
                .line_with(&["event=configuration_in_force version=6"])
                .await;
            // The tokens that the team has left.
            for n in 0..150 {
                scene.get("order", &format!("x{n}")).await;
            }
        }
        "no endpoint" => {
            scene.store.remove("servers", "i-0");
            scene.nodes[0].line_with(&["event=endpoint_removed"]).await;
        }
        "store away" => {
            scene.store.set_trouble(Trouble::Silent);
            eventually("not ready", || async { !scene.nodes[0].is_ready().await }).await;
        }
        "answer lost" => scene.endpoints[0].conduct(Conduct::LosesAnswer),
        "silent" => scene.endpoints[0].conduct(Conduct::Silent),
        _ => scene.endpoints[0].conduct(Conduct::Fails),
    }
    let answer = scene.nodes[0].request("GET", route, "explained", key).await;
    assert_eq!(answer.status, status);
    scene.nodes[0].line_with(&["id=explained "]).await;
    let mut story = Story::new("explained");
    let log = scene.nodes[0].log();
    story.read("vm-0", log.as_bytes(), |_| {}).unwrap();
    let told = story.cause().unwrap_or_default();
    assert!(told.contains(cause), "{told:?} in {story}");
}
