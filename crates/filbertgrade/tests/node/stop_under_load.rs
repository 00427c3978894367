//! Tests of the graceful stop of a node while callers go on to use their
//! connections until the process has ended.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cluster::{KEY, Node, TestCluster};
use filbertgrade_standins::node::endpoint::{Endpoint, header};

const CALLERS: u64 = 24;

/// Time for which a caller waits for each response.
const CALLER_DEADLINE: Duration = Duration::from_secs(6);

/// Longest pause of a caller between a response and its next request.
const LONGEST_PAUSE_MS: u64 = 900;

/// Longest time for a refusal that needs no endpoint.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// A request and what its caller saw of it.
#[derive(Clone, Debug)]
struct Seen {
    id: String,
    sent_at: Instant,
    ended_at: Instant,
    /// Status of the complete response; zero if the connection ended without one.
    status: u16,
}

/// Guards against a planned stop that cuts requests which were taken late, or
/// leaves them without an answer: what a stopping node takes must be able to end
/// before the platform kills the process, and all else is refused at once.
#[rstest]
#[case::long_grace(6, 1_500)]
#[case::long_grace_and_long_work(6, 3_300)]
#[case::short_grace(4, 1_500)]
#[case::shortest_grace(3, 1_500)]
#[case::shortest_grace_and_long_work(3, 3_300)]
#[tokio::test]
async fn planned_stop_cuts_no_request(#[case] grace_s: u64, #[case] work_ms: u64) {
    let mut cluster = TestCluster::without_nodes(&[work_ms; 12]).await;
    cluster.configure(|spec| {
        for route in spec["routes"].as_array_mut().unwrap() {
            route["timeout-s"] = CALLER_DEADLINE.as_secs().into();
        }
    });
    let store = cluster.store.address;
    let mut node = Node::start_with_grace("vm-0", store, grace_s).await;
    node.wait_ready().await;
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(call_until_down(node.callers, number, Arc::clone(&seen))))
        .collect();
    tokio::time::sleep(Duration::from_secs(4)).await;
    node.signal(Signal::TERM);
    let signalled_at = Instant::now();
    let grace = Duration::from_secs(grace_s);
    let ended = tokio::time::timeout(grace, node.wait_for_exit()).await;
    assert_eq!(ended, Ok(true), "the platform kills the process");
    for caller in callers {
        caller.await.unwrap();
    }
    let ran: HashSet<String> = cluster
        .endpoints
        .iter()
        .flat_map(Endpoint::run_heads)
        .map(|head| header(&head, "x-filbertgrade-request-id"))
        .collect();
    let seen = seen.lock().unwrap().clone();
    let late = seen.iter().filter(|request| request.sent_at > signalled_at);
    assert!(late.count() > 5, "too few requests after the signal");
    for request in &seen {
        let sent = request.sent_at.saturating_duration_since(signalled_at);
        let what = format!("{request:?}, sent {sent:?} after the signal");
        let has_run = ran.contains(&request.id);
        match request.status {
            // It crossed the end of the connection.
            0 => assert!(!has_run, "cut without an answer: {what}"),
            200 => {}
            429 | 503 => {
                assert!(!has_run, "refused as not run: {what}");
                let time = request.ended_at - request.sent_at;
                assert!(time < REFUSAL_TIME, "refused after {time:?}: {what}");
            }
            // Work that had begun before the signal and outlasts the stop.
            502 => assert!(sent.is_zero(), "taken and broken off: {what}"),
            _ => panic!("{what}"),
        }
    }
}

/// Sends orders one after the other on kept connections, until no connection can
/// be opened any more.
async fn call_until_down(node: SocketAddr, number: u64, seen: Arc<Mutex<Vec<Seen>>>) {
    for n in 0.. {
        let Ok(mut stream) = TcpStream::connect(node).await else {
            return;
        };
        for m in 0.. {
            let id = format!("c{number}-{n}-{m}");
            let sent_at = Instant::now();
            let response = send_order(&mut stream, &id).await;
            let (status, keeps) = response.unwrap_or((0, false));
            seen.lock().unwrap().push(Seen {
                id,
                sent_at,
                ended_at: Instant::now(),
                status,
            });
            // Spreads the callers over time without a random generator.
            let pause = 20 + (number * 317 + n * 131 + m * 53) % (LONGEST_PAUSE_MS - 20);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if !keeps {
                break;
            }
        }
    }
}

/// Sends an order. Returns the status of its complete response, and whether the
/// connection can be used again.
async fn send_order(stream: &mut TcpStream, id: &str) -> std::io::Result<(u16, bool)> {
    let request = format!(
        "POST /order/7 HTTP/1.1\r\nhost: shop.example\r\nx-filbertgrade-request-id: {id}\r\n\
         x-filbertgrade-deadline-ms: {}\r\nauthorization: Bearer {KEY}\r\ncontent-length: 0\r\n\r\n",
        CALLER_DEADLINE.as_millis()
    );
    stream.write_all(request.as_bytes()).await?;
    let mut buf = Vec::new();
    loop {
        if stream.read_buf(&mut buf).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = String::from_utf8_lossy(&buf);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let head = head.to_lowercase();
        let length: usize = header(&head, "content-length").parse().unwrap_or(0);
        if body.len() >= length {
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
            return Ok((status.unwrap_or(0), header(&head, "connection") != "close"));
        }
    }
}
