//! Test of the whole path: apply a configuration, look up a VM, send a request
//! with a key, and check the response of the backend server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filbertgrade_standins::backend::{BackendServer, expected_response};
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::fleet::{Fleet, send};

/// Guards against a failure anywhere between the operator's file and the
/// response of a backend server, and against a key that is forwarded to one.
#[tokio::test(flavor = "multi_thread")]
async fn request_with_key_reaches_backend_server_without_the_key() {
    let fleet = Fleet::start(4).await;
    fleet.apply().await;
    let secret = fleet.create_key("atelier").await;
    fleet
        .wait_until(Duration::from_secs(8), |vm| serves(vm, &secret))
        .await;

    let vms = look_up(fleet.vms[0].caller_address(), "10.2.0.7").await;
    assert_eq!(vms[0]["region"], "south");
    let vm: SocketAddr = vms[0]["address"].as_str().unwrap().parse().unwrap();
    let response = send(vm, chart_request(Some(&secret), "r-1")).await.unwrap();

    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.body(), &expected_response("r-1", b"", 2000));
    let records: Vec<_> = fleet.backends.iter().map(BackendServer::records).collect();
    assert_eq!(records.iter().map(|r| r.run_count("r-1")).sum::<u64>(), 1);
    assert_eq!(records.iter().map(|r| r.key_seen).sum::<u64>(), 0);
    let bytes_to_server: u64 = fleet.proxies.iter().map(|p| p.counts().to_server).sum();
    assert!(
        bytes_to_server > 0,
        "the request must pass through the fault-injecting proxies"
    );
}

/// Guards against requests that run without a valid key of a team.
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
        let response = send(fleet.vms[0].caller_address(), chart_request(key, "r-2"))
            .await
            .unwrap();
        assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
        assert_eq!(response.headers()["filbertgrade-cause"], cause);
        assert_eq!(response.headers()["filbertgrade-outcome"], "not_run");
    }
    assert!(fleet.backends.iter().all(|b| b.run_count("r-2") == 0));
}

/// Returns whether the VM serves a request with this key.
pub(crate) async fn serves(vm: SocketAddr, secret: &str) -> bool {
    send(vm, chart_request(Some(secret), "probe"))
        .await
        .is_ok_and(|response| response.status() == StatusCode::OK)
}

/// Returns the VMs in a lookup response for the client address.
pub(crate) async fn look_up(vm: SocketAddr, client: &str) -> Vec<serde_json::Value> {
    let req = Request::get(format!("/v1/lookup?client={client}"))
        .header("host", "lookup")
        .body(Full::default())
        .unwrap();
    let response = send(vm, req).await.unwrap();
    let response: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
    response["vms"].as_array().unwrap().clone()
}

/// Builds a request to the service `chart`.
fn chart_request(key: Option<&str>, id: &str) -> Request<Full<Bytes>> {
    let mut req = Request::get("/chart/hand?bytes=2000")
        .header("host", "chart")
        .header("x-request-id", id);
    if let Some(key) = key {
        req = req.header("authorization", format!("Bearer {key}"));
    }
    req.body(Full::default()).unwrap()
}
