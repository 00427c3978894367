//! Tests with backend servers whose responses violate the protocol.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::fleet::{Fleet, send};
use crate::scenario::ready_fleet;

/// Starts a server that sends `responses` in turn, one for each request. It
/// closes the connection after a response without a content-length.
async fn start_server(responses: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut next = responses.iter().cycle();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 8192];
            while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                let response = next.next().unwrap();
                stream.write_all(response.as_bytes()).await.unwrap();
                if !response.contains("content-length") {
                    break;
                }
            }
        }
    });
    address
}

async fn send_request(fleet: &Fleet, secret: &str, method: &str) -> Response<Bytes> {
    let req = Request::builder()
        .method(method)
        .uri("/chart/order")
        .header("host", "chart")
        .header("authorization", format!("Bearer {secret}"))
        .body(Full::default())
        .unwrap();
    send(fleet.vms[0].caller_address(), req).await.unwrap()
}

async fn fleet_with_backend(responses: &'static [&'static str]) -> (Fleet, String) {
    let (fleet, secret) = ready_fleet(1).await;
    let address = start_server(responses).await;
    for proxy in &fleet.proxies {
        proxy.set_forward_to(address);
        proxy.reset_open();
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    (fleet, secret)
}

/// Guards against responses that look complete although this cannot be
/// determined, and against a "not run" refusal after a malformed response.
#[rstest]
#[case::ends_with_the_connection("HTTP/1.1 200 OK\r\n\r\npart of an answer")]
#[case::not_http("hello\r\n\r\n")]
#[case::head_is_truncated("HTTP/1.1 200 OK\r\nx-part:")]
#[case::unknown_length("HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\nabc")]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_response_is_reported_as_outcome_unknown(#[case] response: &'static str) {
    let responses: &'static [&'static str] = Vec::leak(vec![response]);
    let (fleet, secret) = fleet_with_backend(responses).await;
    let response = send_request(&fleet, &secret, "POST").await;
    assert_eq!(response.status(), 502);
    assert_eq!(response.headers()["filbertgrade-cause"], "backend_failed");
    assert_eq!(response.headers()["filbertgrade-outcome"], "unknown");
}

/// Guards against extra bytes after a response that are taken for the response
/// to the next request on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn extra_response_on_a_connection_is_not_delivered() {
    let (fleet, secret) = fleet_with_backend(&[
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
    ])
    .await;
    for n in 0..50 {
        let method = if n % 2 == 0 { "GET" } else { "POST" };
        let response = send_request(&fleet, &secret, method).await;
        assert_ne!(response.body(), "wrong");
    }
}
