//! Tests with callers that use HTTP/2.

use std::time::Duration;

use bytes::Bytes;
use filbertgrade_standins::backend::expected_response;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo};

use crate::scenario::ready_fleet;

/// Guards against responses that reach the wrong stream or caller when they
/// arrive in another order than the requests, on several connections at a time.
#[tokio::test(flavor = "multi_thread")]
async fn reordered_responses_reach_the_right_streams() {
    let (fleet, secret) = ready_fleet(1).await;
    let mut tasks = Vec::new();
    for caller in 0..4 {
        let stream = tokio::net::TcpStream::connect(fleet.vms[0].caller_address())
            .await
            .unwrap();
        let (sender, connection) =
            hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
                .await
                .unwrap();
        tokio::spawn(connection);
        for n in 0..50 {
            let mut sender = sender.clone();
            let id = format!("caller-{caller}-{n}");
            // Later requests are answered earlier.
            let ms = (50 - n) * 2;
            let bytes = 100 + n * 997;
            let req = Request::post(format!(
                "http://chart/chart/x?bytes={bytes}&service_ms={ms}"
            ))
            .header("x-request-id", &id)
            .header("authorization", format!("Bearer {secret}"))
            .body(Full::<Bytes>::from(id.clone()))
            .unwrap();
            tasks.push(tokio::spawn(async move {
                let response = sender.send_request(req).await.unwrap();
                let status = response.status();
                let body = response.into_body().collect().await.unwrap().to_bytes();
                if status == 200 {
                    assert!(body == expected_response(&id, id.as_bytes(), bytes), "{id}");
                } else {
                    // The backend server sheds requests when all of its slots
                    // are busy.
                    assert_eq!(status, 503, "{id}");
                }
                (id, status == 200)
            }));
        }
    }
    let mut served = 0;
    for task in tasks {
        let (id, was_served) = task.await.unwrap();
        let ran: u64 = fleet.backends.iter().map(|b| b.run_count(&id)).sum();
        assert_eq!(ran, u64::from(was_served), "{id}");
        served += u64::from(was_served);
    }
    assert!(served > 0);
}

/// Guards against a late response, whose caller has given up, that is delivered
/// to the next request.
#[tokio::test(flavor = "multi_thread")]
async fn late_response_is_not_delivered_to_another_request() {
    let (fleet, secret) = ready_fleet(1).await;
    let stream = tokio::net::TcpStream::connect(fleet.vms[0].caller_address())
        .await
        .unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .unwrap();
    tokio::spawn(connection);
    for n in 0..30 {
        let mut request = |id: &str, ms: u64| {
            let req = Request::get(format!("http://chart/chart/x?bytes=500&service_ms={ms}"))
                .header("x-request-id", id)
                .header("authorization", format!("Bearer {secret}"))
                .body(Full::<Bytes>::default())
                .unwrap();
            sender.send_request(req)
        };
        let late = request(&format!("late-{n}"), 30);
        let _ = tokio::time::timeout(Duration::from_millis(10 + n), late).await;
        let id = format!("next-{n}");
        let response = request(&id, 1).await.unwrap();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert!(body == expected_response(&id, b"", 500), "{id}");
    }
}

/// Guards against headers of unlimited size, and against one bad stream that
/// ends the other streams of its connection.
#[tokio::test(flavor = "multi_thread")]
async fn oversized_headers_end_their_stream_only() {
    let (fleet, secret) = ready_fleet(1).await;
    let stream = tokio::net::TcpStream::connect(fleet.vms[0].caller_address())
        .await
        .unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .unwrap();
    tokio::spawn(connection);
    let mut request = |id: &str, bytes: usize| {
        let req = Request::get("http://chart/chart/x")
            .header("x-request-id", id)
            .header("x-big", "a".repeat(bytes))
            .header("authorization", format!("Bearer {secret}"))
            .body(Full::<Bytes>::default())
            .unwrap();
        sender.send_request(req)
    };
    let other = request("other", 10);
    let big = request("big", 80_000).await;
    assert!(big.is_err() || big.is_ok_and(|response| response.status() == 431));
    assert_eq!(other.await.unwrap().status(), 200);
    assert!(fleet.backends.iter().all(|b| b.run_count("big") == 0));
}
