//! Changes in the store, and a store that fails.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use crate::scene::{Scene, eventually};
use filbertgrade_standins::node::store::Trouble;

/// Time in which users ask for a change to be in force.
const IN_FORCE: Duration = Duration::from_millis(2_500);

/// Guards against withdrawn keys that work on, and added ones that do not.
#[tokio::test]
async fn keys_take_effect_while_callers_are_connected() {
    let mut scene = Scene::start(&[1]).await;
    assert_eq!(scene.get("safe", "a1").await.status, 200);
    scene.configure(|spec| spec["tenants"][0]["api-keys"] = json!(["new"]));
    let took = eventually("old key refused", || async {
        scene.get("safe", "a2").await.status == 401
    })
    .await;
    assert!(took < IN_FORCE, "{took:?}");
    assert_eq!(
        scene.nodes[0]
            .request("GET", "safe", "a3", Some("new"))
            .await
            .status,
        200
    );
}

/// Guards against a key that works on because the store cannot tell that it was
/// withdrawn, and against public routes that fail with the store.
#[rstest]
#[case(Trouble::Silent)]
#[case(Trouble::Busy)]
#[tokio::test]
async fn keys_are_refused_when_the_store_is_away(#[case] trouble: Trouble) {
    let scene = Scene::start(&[1]).await;
    assert_eq!(scene.get("safe", "b1").await.status, 200);
    scene.store.set_trouble(trouble);
    let took = eventually("key refused", || async {
        scene.get("safe", "b2").await.status == 503
    })
    .await;
    assert!(took < Duration::from_secs(5), "{took:?}");
    let line = scene.nodes[0].line_with(&["event=refused", "id=b2"]).await;
    assert!(line.contains("cause=isolated outcome=not_run"), "{line}");
    scene.nodes[0].line_with(&["event=store_lost"]).await;
    assert_eq!(
        scene.nodes[0]
            .request("GET", "open", "b3", None)
            .await
            .status,
        200
    );
    scene.store.set_trouble(Trouble::None);
    let took = eventually("key works", || async {
        scene.get("safe", "b4").await.status == 200
    })
    .await;
    assert!(took < IN_FORCE, "{took:?}");
    scene.nodes[0].line_with(&["event=store_regained"]).await;
}

/// Guards against versions that go back, and against a configuration that is
/// broken and takes effect or stops others.
#[tokio::test]
async fn older_and_broken_versions_are_ignored() {
    let mut scene = Scene::start(&[1]).await;
    scene
        .store
        .put("config", "main", json!({"version": "r1", "routes": []}));
    scene.store.put(
        "config",
        "main",
        json!({"version": "r900", "routes": "none"}),
    );
    scene
        .store
        .put("config", "other", json!({"version": "r901", "routes": []}));
    scene.nodes[0]
        .line_with(&["event=object_ignored", "kind=config"])
        .await;
    assert_eq!(scene.get("safe", "c1").await.status, 200);
    scene.configure(|spec| spec["routes"][0]["path-prefix"] = "/moved/".into());
    eventually("moved", || async {
        scene.get("moved", "c2").await.status == 200
    })
    .await;
    assert_eq!(scene.get("safe", "c3").await.status, 404);
}

/// Guards against a node that stays behind when the store forgets its history.
#[tokio::test]
async fn forgotten_history_is_read_anew() {
    let mut scene = Scene::start(&[1]).await;
    scene.configure(|spec| spec["routes"][0]["path-prefix"] = "/moved/".into());
    scene.store.forget_history();
    eventually("moved", || async {
        scene.get("moved", "d1").await.status == 200
    })
    .await;
}

/// Guards against requests to endpoints that leave, are gone, or were entered
/// by another writer.
#[rstest]
#[case::draining("draining")]
#[case::removed("removed")]
#[case::broken("broken")]
#[case::evacuated("evacuated")]
#[tokio::test]
async fn endpoint_that_leaves_gets_nothing(#[case] how: &str) {
    let scene = Scene::start(&[1]).await;
    assert_eq!(scene.get("safe", "e1").await.status, 200);
    match how {
        "draining" => scene.register(&scene.endpoints[0], "draining"),
        "removed" => assert!(scene.store.remove("servers", "i-0")),
        "broken" => scene.store.put("servers", "i-0", json!({"state": 5})),
        _ => scene.store.put("evacuations", "north-a", json!({})),
    }
    let took = eventually("refused", || async {
        scene.get("safe", "e2").await.status == 503
    })
    .await;
    assert!(took < IN_FORCE, "{took:?}");
    let ran = scene.ran();
    scene.get("safe", "e3").await;
    assert_eq!(scene.ran(), ran);
}
