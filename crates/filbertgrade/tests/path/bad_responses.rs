//! Tests with backend servers whose responses violate the protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use filbertgrade_standins::node::endpoint::header;

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
#[case::head_without_its_last_line("HTTP/1.1 200 OK\r\nx-attempt-id: 5\r\n")]
#[case::head_without_its_empty_line("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n")]
#[case::half_of_the_empty_line("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r")]
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

/// Guards against a request that ran although its caller learns that it did not,
/// from headers that only the system may set.
#[rstest]
#[case::failure(
    "HTTP/1.1 503 Busy\r\nfilbertgrade-cause: busy\r\nfilbertgrade-outcome: not_run\r\ncontent-length: 0\r\n\r\n"
)]
#[case::success("HTTP/1.1 200 OK\r\nFilbertgrade-Outcome: not_run\r\ncontent-length: 0\r\n\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn backend_server_cannot_speak_for_the_system(#[case] response: &'static str) {
    let responses: &'static [&'static str] = Vec::leak(vec![response]);
    let (fleet, secret) = fleet_with_backend(responses).await;
    let response = send_request(&fleet, &secret, "POST").await;
    for name in ["filbertgrade-cause", "filbertgrade-outcome"] {
        assert!(!response.headers().contains_key(name), "{response:?}");
    }
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

/// Starts a server that runs every request. Before the response to each but the
/// first of a connection, it sends a second copy of `earlier`. It repeats the id of
/// an attempt if `repeats_ids`; `ID` in `earlier` stands for that of the first one.
async fn start_copying_server(
    earlier: &'static str,
    repeats_ids: bool,
    ran: Arc<AtomicUsize>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let ran = Arc::clone(&ran);
            tokio::spawn(async move {
                let mut buf = vec![0; 8192];
                let mut first_id: Option<String> = None;
                while let Ok(n @ 1..) = stream.read(&mut buf).await {
                    let head = String::from_utf8_lossy(&buf[..n]).to_lowercase();
                    let id = header(&head, "x-attempt-id");
                    ran.fetch_add(1, Ordering::SeqCst);
                    if let Some(first) = &first_id {
                        let copy = earlier.replace("ID", first);
                        stream.write_all(copy.as_bytes()).await.unwrap();
                    }
                    first_id.get_or_insert_with(|| id.clone());
                    let id_line = if repeats_ids {
                        format!("x-attempt-id: {id}\r\n")
                    } else {
                        String::new()
                    };
                    let response =
                        format!("HTTP/1.1 200 OK\r\n{id_line}content-length: 3\r\n\r\nown");
                    stream.write_all(response.as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

/// Guards against a second copy of an earlier response that is taken for the
/// response to the next request: the caller would get a foreign body, or learn that
/// an order has not run that has.
#[rstest]
#[case::refusal_with_its_id(
    "HTTP/1.1 503 Busy\r\nx-shed: 1\r\nx-attempt-id: ID\r\ncontent-length: 0\r\n\r\n",
    true
)]
#[case::refusal_without_id("HTTP/1.1 503 Busy\r\nx-shed: 1\r\ncontent-length: 0\r\n\r\n", true)]
#[case::response_with_its_id(
    "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ncontent-length: 7\r\n\r\nforeign",
    true
)]
#[case::no_ids("HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nforeign", false)]
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_a_response_reaches_no_other_request(
    #[case] earlier: &'static str,
    #[case] repeats_ids: bool,
) {
    let (fleet, secret) = ready_fleet(1).await;
    let ran = Arc::new(AtomicUsize::new(0));
    let address = start_copying_server(earlier, repeats_ids, Arc::clone(&ran)).await;
    for proxy in &fleet.proxies {
        proxy.set_forward_to(address);
        proxy.reset_open();
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    for n in 1..=20 {
        let response = send_request(&fleet, &secret, "POST").await;
        let status = response.status().as_u16();
        assert!(matches!(status, 200 | 502), "request {n}: {response:?}");
        if status == 200 {
            assert_eq!(response.body(), "own");
            assert!(!response.headers().contains_key("x-attempt-id"));
        }
        assert!(ran.load(Ordering::SeqCst) <= n, "an order ran twice");
    }
}
