//! The whole path: apply, look-up, request with a key, whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filbertgrade_standins::backend::{BackendServer, expected_response};
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::fleet::{Fleet, send};

/// Guards against a break anywhere between the operator's file and the answer
/// of a backend server, and against a key that reaches a backend server.
#[tokio::test(flavor = "multi_thread")]
async fn request_with_key_reaches_a_backend_server_that_never_sees_the_key() {
    let fleet = Fleet::start(4).await;
    fleet.apply().await;
    let secret = fleet.create_key("atelier").await;
    fleet
        .wait_until(Duration::from_secs(8), |vm| serves(vm, &secret))
        .await;

    let vms = look_up(fleet.vms[0].callers(), "10.2.0.7").await;
    assert_eq!(vms[0]["region"], "south");
    let vm: SocketAddr = vms[0]["address"].as_str().unwrap().parse().unwrap();
    let answer = send(vm, chart(Some(&secret), "r-1")).await.unwrap();

    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.body(), &expected_response("r-1", b"", 2000));
    let records: Vec<_> = fleet.backends.iter().map(BackendServer::records).collect();
    assert_eq!(records.iter().map(|r| r.run_count("r-1")).sum::<u64>(), 1);
    assert_eq!(records.iter().map(|r| r.key_seen).sum::<u64>(), 0);
    let passed: u64 = fleet.proxies.iter().map(|p| p.counts().to_server).sum();
    assert!(
        passed > 0,
        "the request must pass the fault-injecting proxies"
    );
}

/// Guards against requests that run without a key of a team.
#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_valid_key_is_refused_as_not_run() {
    let fleet = Fleet::start(2).await;
    fleet.apply().await;
    let secret = fleet.create_key("atelier").await;
    fleet
        .wait_until(Duration::from_secs(8), |vm| serves(vm, &secret))
        .await;
    let unknown = format!("fgk_{}_{}", "0".repeat(16), "0".repeat(48));

    for (key, cause) in [
        (None, "key_missing"),
        (Some(unknown.as_str()), "key_refused"),
    ] {
        let answer = send(fleet.vms[0].callers(), chart(key, "r-2"))
            .await
            .unwrap();
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
        assert_eq!(answer.headers()["filbertgrade-cause"], cause);
        assert_eq!(answer.headers()["filbertgrade-outcome"], "not_run");
    }
    assert!(fleet.backends.iter().all(|b| b.run_count("r-2") == 0));
}

pub(crate) async fn serves(vm: SocketAddr, secret: &str) -> bool {
    send(vm, chart(Some(secret), "probe"))
        .await
        .is_ok_and(|answer| answer.status() == StatusCode::OK)
}

pub(crate) async fn look_up(vm: SocketAddr, client: &str) -> Vec<serde_json::Value> {
    let req = Request::get(format!("/v1/lookup?client={client}"))
        .header("host", "lookup")
        .body(Full::default())
        .unwrap();
    let answer = send(vm, req).await.unwrap();
    let answer: serde_json::Value = serde_json::from_slice(answer.body()).unwrap();
    answer["vms"].as_array().unwrap().clone()
}

fn chart(key: Option<&str>, id: &str) -> Request<Full<Bytes>> {
    let mut req = Request::get("/chart/hand?bytes=2000")
        .header("host", "chart")
        .header("x-request-id", id);
    if let Some(key) = key {
        req = req.header("authorization", format!("Bearer {key}"));
    }
    req.body(Full::default()).unwrap()
}
