//! Test of the graceful stop of a VM under load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_standins::backend::expected_response;
use filbertgrade_standins::proxy::{Direction, Fault};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;

use crate::fleet::{Vm, send};
use crate::scenario::ready_fleet;

/// Guards against a stop that interrupts requests on connections that callers use
/// without a pause, and against one that never ends because of such
/// connections.
#[tokio::test(flavor = "multi_thread")]
async fn stop_under_load_interrupts_no_request() {
    let (mut fleet, secret) = ready_fleet(2).await;
    let vm = fleet.vms[0].caller_address();
    let lookup_expired = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for n in 0..6 {
        let secret = secret.clone();
        let lookup_expired = Arc::clone(&lookup_expired);
        let with_http2 = n % 2 == 0;
        callers.push(tokio::spawn(async move {
            let mut served = 0;
            let mut refused = Vec::new();
            while !lookup_expired.load(Ordering::Relaxed) {
                let stream = TcpStream::connect(vm).await.unwrap();
                let tag = format!("{n}-{served}");
                served += if with_http2 {
                    send_over_http2(stream, &secret, &tag, &mut refused).await
                } else {
                    send_over_http1(stream, &secret, &tag).await
                };
            }
            (served, refused)
        }));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let id = fleet.vms[0].entry.id().to_string();
    std::process::Command::new("kill")
        .args(["-TERM", &id])
        .status()
        .unwrap();

    // Callers may connect until their lookup responses expire, which takes 1 s.
    tokio::time::sleep(Duration::from_millis(800)).await;
    lookup_expired.store(true, Ordering::Relaxed);

    for caller in callers {
        let (served, refused) = caller.await.unwrap();
        assert!(served > 0);
        for id in refused {
            let ran: u64 = fleet.backends.iter().map(|b| b.run_count(&id)).sum();
            assert_eq!(
                ran, 0,
                "{id} ran although GOAWAY reported it as not processed"
            );
        }
    }
    let start = Instant::now();
    let status = loop {
        if let Some(status) = fleet.vms[0].entry.try_wait().unwrap() {
            break status;
        }
        assert!(start.elapsed() < Duration::from_secs(10), "still running");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(status.success(), "{status}");
}

/// Time after SIGTERM at which the process manager of the test kills the entry.
const GRACE: Duration = Duration::from_millis(2_500);

/// A request of a caller, with its response if there was a complete one.
struct Seen {
    id: String,
    sent_at: Instant,
    response: Option<http::Response<Bytes>>,
}

/// Guards against a planned stop that cuts requests which were taken late: what a
/// stopping entry takes must be able to end before it is killed, and all else is
/// refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn stop_within_a_limited_time_cuts_no_request() {
    let (mut fleet, secret) = ready_fleet(2).await;
    fleet.vms[0].restart_entry_with_grace(GRACE);
    let vm = fleet.vms[0].caller_address();
    let probe = |n: usize| {
        send(
            vm,
            post_request(&secret, "/chart/order", &format!("probe-{n}")),
        )
    };
    for n in 0.. {
        if probe(n)
            .await
            .is_ok_and(|response| response.status() == 200)
        {
            break;
        }
        assert!(n < 200, "the entry does not serve");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let slow = Fault {
        delay: Duration::from_millis(1_600),
        ..Fault::default()
    };
    for proxy in &fleet.proxies {
        proxy.set_fault(Direction::ToClient, slow.clone());
    }
    let callers: Vec<_> = (0..4)
        .map(|n| tokio::spawn(call_until_down(vm, secret.clone(), n)))
        .collect();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let entry = &mut fleet.vms[0].entry;
    Vm::signal(&[entry], "TERM");
    let signalled_at = Instant::now();
    while entry.try_wait().unwrap().is_none() {
        assert!(signalled_at.elapsed() < GRACE, "the entry is killed");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut refused = 0;
    for caller in callers {
        for request in caller.await.unwrap() {
            let id = &request.id;
            let ran: u64 = fleet.backends.iter().map(|b| b.run_count(id)).sum();
            match request.response {
                None => assert_eq!(ran, 0, "{id} is cut"),
                Some(response) if response.status() == 200 => {}
                // Work that had begun before the signal and outlasts the stop.
                Some(response) if response.status() == 504 && request.sent_at < signalled_at => {}
                Some(response) => {
                    refused += 1;
                    assert_eq!(
                        response.headers()["filbertgrade-outcome"],
                        "not_run",
                        "{response:?}"
                    );
                    assert_eq!(ran, 0, "{id} is refused as not run");
                }
            }
        }
    }
    assert!(refused > 0, "no caller used a connection after the signal");
}

/// Sends orders on kept connections until no connection can be opened any more.
async fn call_until_down(vm: SocketAddr, secret: String, number: usize) -> Vec<Seen> {
    let mut seen = Vec::new();
    while let Ok(stream) = TcpStream::connect(vm).await {
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        while sender.ready().await.is_ok() {
            let id = format!("c{number}-{}", seen.len());
            let mut req = post_request(&secret, "/chart/order", &id);
            let deadline = http::HeaderValue::from_static("1800");
            req.headers_mut().insert("x-deadline-ms", deadline);
            let sent_at = Instant::now();
            let response = read_response(&mut sender, req).await;
            let failed = response.is_none();
            seen.push(Seen {
                id,
                sent_at,
                response,
            });
            if failed {
                break;
            }
            // Spreads the callers over time without a random generator.
            let pause = 20 + (number * 131 + seen.len() * 53) % 300;
            tokio::time::sleep(Duration::from_millis(pause as u64)).await;
        }
    }
    seen
}

async fn read_response(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
) -> Option<http::Response<Bytes>> {
    let (parts, body) = sender.send_request(req).await.ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(http::Response::from_parts(parts, body))
}

fn post_request(secret: &str, target: &str, id: &str) -> Request<Full<Bytes>> {
    Request::post(target)
        .header("host", "chart")
        .header("x-request-id", id)
        .header("authorization", format!("Bearer {secret}"))
        .body(Full::default())
        .unwrap()
}

/// Sends POST requests until a response announces that the connection closes.
/// Returns the number of requests sent.
async fn send_over_http1(stream: TcpStream, secret: &str, tag: &str) -> usize {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    for n in 0.. {
        let id = format!("{tag}-{n}");
        let req = post_request(secret, "/chart/order?bytes=20000", &id);
        let response = sender.send_request(req).await;
        let response = response.unwrap_or_else(|e| panic!("{id} was interrupted: {e}"));
        assert_eq!(response.status(), 200, "{id}: {:?}", response.headers());
        let closes = response.headers().contains_key("connection");
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert!(body == expected_response(&id, b"", 20_000), "{id}");
        if closes {
            return n + 1;
        }
    }
    0
}

/// Sends POST requests until the VM accepts no more on this connection. Adds
/// the request that GOAWAY reported as not processed to `refused`. Returns the
/// number of requests that were served.
async fn send_over_http2(
    stream: TcpStream,
    secret: &str,
    tag: &str,
    refused: &mut Vec<String>,
) -> usize {
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    for n in 0.. {
        let id = format!("{tag}-{n}");
        let req = post_request(secret, "http://chart/chart/order?bytes=20000", &id);
        if sender.ready().await.is_err() {
            return n;
        }
        let response = match sender.try_send_request(req).await {
            Ok(response) => response,
            Err(error) => {
                let text = format!("{error:?}");
                let not_processed = text.contains("GoAway") || text.contains("Canceled");
                assert!(not_processed, "{id} was interrupted: {text}");
                refused.push(id);
                return n;
            }
        };
        assert_eq!(response.status(), 200, "{id}: {:?}", response.headers());
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert!(body == expected_response(&id, b"", 20_000), "{id}");
    }
    0
}
