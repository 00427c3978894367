//! Requests of callers, and what the backend servers ran of them.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::fleet::send;

/// A request for a chart that the backend servers record under `id`.
pub(crate) fn chart(key: &str, id: &str) -> Request<Full<Bytes>> {
    Request::get("/chart/hand?bytes=100")
        .header("host", "chart")
        .header("x-request-id", id)
        .header("authorization", format!("Bearer {key}"))
        .body(Full::default())
        .unwrap()
}

/// Status and cause of the answer to one request; the cause is empty without a refusal.
pub(crate) async fn ask(vm: SocketAddr, key: &str, id: &str) -> (u16, String) {
    match send(vm, chart(key, id)).await {
        Ok(answer) => {
            let cause = answer.headers().get("filbertgrade-cause");
            let cause = cause.map(|cause| cause.to_str().unwrap().to_owned());
            (answer.status().as_u16(), cause.unwrap_or_default())
        }
        Err(error) => (0, error.to_string()),
    }
}

/// Whether the VM serves a request with the key.
pub(crate) async fn serves(vm: SocketAddr, key: &str) -> bool {
    ask(vm, key, "probe").await.0 == 200
}
