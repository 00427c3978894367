//! Backend servers whose answers break the protocol.

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

/// Answers each request with `answers`, one after the other, and closes the
/// connection after an answer that ends with it.
async fn answering(answers: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut next = answers.iter().cycle();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 8192];
            while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                let answer = next.next().unwrap();
                stream.write_all(answer.as_bytes()).await.unwrap();
                if !answer.contains("content-length") {
                    break;
                }
            }
        }
    });
    address
}

async fn order(fleet: &Fleet, secret: &str, method: &str) -> Response<Bytes> {
    let req = Request::builder()
        .method(method)
        .uri("/chart/order")
        .header("host", "chart")
        .header("authorization", format!("Bearer {secret}"))
        .body(Full::default())
        .unwrap();
    send(fleet.vms[0].caller_address(), req).await.unwrap()
}

async fn fleet_in_front_of(answers: &'static [&'static str]) -> (Fleet, String) {
    let (fleet, secret) = ready_fleet(1).await;
    let address = answering(answers).await;
    for proxy in &fleet.proxies {
        proxy.set_forward_to(address);
        proxy.cut_open();
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    (fleet, secret)
}

/// Guards against answers that look whole although nobody can tell, and
/// against a refusal as not run after an answer that makes no sense.
#[rstest]
#[case::ends_with_the_connection("HTTP/1.1 200 OK\r\n\r\npart of an answer")]
#[case::not_http("hello\r\n\r\n")]
#[case::head_is_cut("HTTP/1.1 200 OK\r\nx-part:")]
#[case::unknown_length("HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\nabc")]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_answer_ends_as_outcome_unknown(#[case] answer: &'static str) {
    let answers: &'static [&'static str] = Vec::leak(vec![answer]);
    let (fleet, secret) = fleet_in_front_of(answers).await;
    let answer = order(&fleet, &secret, "POST").await;
    assert_eq!(answer.status(), 502);
    assert_eq!(answer.headers()["filbertgrade-cause"], "backend_failed");
    assert_eq!(answer.headers()["filbertgrade-outcome"], "unknown");
}

/// Guards against bytes after an answer that are taken for the answer of the
/// next request on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn second_answer_on_a_connection_reaches_nobody() {
    let (fleet, secret) = fleet_in_front_of(&[
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
    ])
    .await;
    for n in 0..50 {
        let method = if n % 2 == 0 { "GET" } else { "POST" };
        let answer = order(&fleet, &secret, method).await;
        assert_ne!(answer.body(), "wrong");
    }
}
