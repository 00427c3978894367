//! Tests with endpoints that send bytes without end, which are no response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::cluster::{KEY, Node, TestCluster, eventually};
use filbertgrade_standins::node::endpoint::EndpointBehavior;

/// Latest end of a request, whose route has a timeout of 2 s.
const END_OF_REQUEST: Duration = Duration::from_millis(2_600);

/// Bytes that the operating system takes from an endpoint on one connection
/// although the node does not read them.
const SOCKET_BUFFERS: u64 = 16 * 1024 * 1024;

/// Growth of memory that the node may need for a few requests of any kind.
const MEMORY_GROWTH_KIB: u64 = 24 * 1024;

/// Start of a response whose body follows. `ID` stands for the request's id.
const GOOD_HEAD: &str =
    "HTTP/1.1 200 OK\r\nx-filbertgrade-request-id: ID\r\nx-filbertgrade-server-seal: s\r\n";

/// An endpoint that responds to each request with `start` and then `repeated`
/// without end.
struct EndlessEndpoint {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    sent: Arc<AtomicU64>,
}

impl EndlessEndpoint {
    async fn start(start: String, repeated: &'static str, pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            open: Arc::default(),
            sent: Arc::default(),
        };
        let requests = Arc::clone(&endpoint.requests);
        let open = Arc::clone(&endpoint.open);
        let sent = Arc::clone(&endpoint.sent);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (requests, open, sent) =
                    (Arc::clone(&requests), Arc::clone(&open), Arc::clone(&sent));
                let start = start.clone();
                tokio::spawn(async move {
                    open.fetch_add(1, Ordering::SeqCst);
                    // The node closes the connection, which ends the writes.
                    let _ =
                        send_without_end(stream, &start, repeated, pause, &requests, &sent).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        endpoint
    }
}

async fn send_without_end(
    mut stream: TcpStream,
    start: &str,
    repeated: &str,
    pause: Duration,
    requests: &AtomicUsize,
    sent: &AtomicU64,
) -> std::io::Result<()> {
    let mut head = vec![0; 16 * 1024];
    let n = stream.read(&mut head).await?;
    let head = String::from_utf8_lossy(&head[..n]).to_lowercase();
    let id = filbertgrade_standins::node::endpoint::header(&head, "x-filbertgrade-request-id");
    if n == 0 {
        return Ok(());
    }
    requests.fetch_add(1, Ordering::SeqCst);
    stream
        .write_all(start.replace("ID", &id).as_bytes())
        .await?;
    let count = if pause.is_zero() { 2_000 } else { 1 };
    let part = repeated.repeat(count);
    loop {
        stream.write_all(part.as_bytes()).await?;
        sent.fetch_add(part.len() as u64, Ordering::SeqCst);
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Starts a node whose only endpoint sends without end.
async fn cluster_with(endpoint: &EndlessEndpoint) -> TestCluster {
    let mut cluster = TestCluster::start(&[]).await;
    // The requests follow each other faster than tokens accrue after the start.
    cluster.configure(|spec| spec["tenants"][0]["rate-per-s"] = json!(0));
    let spec = json!({"service": "charts", "address": endpoint.address.to_string(), "zone": "north-a",
                      "version": "v1", "slots": 3, "state": "ready", "cold-remaining-s": 0, "seq-no": 1, "born": 5});
    cluster.store.put("servers", "i-endless", spec);
    // The node reads the endpoint with its first list or as a change.
    eventually("the endpoint is known", || async {
        cluster.nodes[0].log().lines().any(|line| {
            line.contains("event=endpoint_registered endpoint=i-endless")
                || (line.contains("event=endpoints_listed") && line.ends_with("count=1"))
        })
    })
    .await;
    let version = format!("configuration_in_force version={} ", cluster.version());
    cluster.nodes[0].line_with(&[&version]).await;
    cluster
}

/// What a caller received, without the body, which may be long.
#[derive(Debug)]
struct Received {
    status: u16,
    /// The body ended with its last chunk.
    ends_as_complete: bool,
}

/// Sends a request and reads the response until the connection is closed.
async fn receive(node: &Node, method: &str, route: &str, id: &str) -> Received {
    let head = node.request_head(method, route, id, Some(KEY));
    let mut stream = TcpStream::connect(node.callers).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut buf = vec![0; 256 * 1024];
    let mut start = Vec::new();
    let mut end = Vec::new();
    // A connection that was reset may have delivered part of the response.
    while let Ok(n @ 1..) = stream.read(&mut buf).await {
        if start.is_empty() {
            start.extend_from_slice(&buf[..n.min(64)]);
        }
        end.extend_from_slice(&buf[n.saturating_sub(8)..n]);
        end.drain(..end.len().saturating_sub(8));
    }
    let start = String::from_utf8_lossy(&start);
    let status = start.split(' ').nth(1).and_then(|s| s.parse().ok());
    Received {
        status: status.unwrap_or(0),
        ends_as_complete: end.ends_with(b"0\r\n\r\n"),
    }
}

/// Guards against bytes without end in a head or a body that are read without
/// limit, held in memory, or passed on as a complete response; against a refusal
/// that says that the request did not run; and against a connection that stays
/// open or is used again after it.
#[rstest]
#[case::status_line("HTTP/1.1 200 ", "x", false)]
#[case::fields("HTTP/1.1 200 OK\r\n", "x-field: y\r\n", false)]
#[case::field_value("HTTP/1.1 200 OK\r\nx-field: ", "y", false)]
#[case::informational("", "HTTP/1.1 103 Early Hints\r\n\r\n", false)]
#[case::no_http("", "z", false)]
#[case::chunk_extension("GOODtransfer-encoding: chunked\r\n\r\n5;", "e", false)]
#[case::trailers(
    "GOODtransfer-encoding: chunked\r\n\r\n0\r\n",
    "x-trailer: y\r\n",
    false
)]
#[case::chunks("GOODtransfer-encoding: chunked\r\n\r\n", "5\r\nhello\r\n", true)]
#[case::no_length("GOOD\r\n", "b", true)]
#[case::refusal(
    "HTTP/1.1 503 Busy\r\nx-filbertgrade-request-id: ID\r\nx-none: s\r\n\r\n",
    "b",
    true
)]
#[tokio::test]
async fn bytes_without_end_are_bounded(
    #[case] start: &str,
    #[case] repeated: &'static str,
    #[case] may_be_passed_on: bool,
    #[values(0, 20)] pause_ms: u64,
    #[values("safe", "order")] route: &str,
) {
    let start = start.replace("GOOD", GOOD_HEAD);
    let endpoint = EndlessEndpoint::start(start, repeated, Duration::from_millis(pause_ms)).await;
    let cluster = cluster_with(&endpoint).await;
    let node = &cluster.nodes[0];
    let memory = node.peak_memory_kib();
    for n in 0..2 {
        let sent_at = Instant::now();
        let method = if route == "safe" { "GET" } else { "POST" };
        let received = receive(node, method, route, &format!("a{n}")).await;
        let elapsed = sent_at.elapsed();
        assert!(elapsed < END_OF_REQUEST, "{elapsed:?} {received:?}");
        let is_failure = matches!(received.status, 502 | 504);
        let is_cut = may_be_passed_on && !received.ends_as_complete;
        assert!(is_failure || is_cut, "{received:?}");
        eventually("the connection is closed", || async {
            endpoint.open.load(Ordering::SeqCst) == 0
        })
        .await;
    }
    // Neither is a connection used again nor does an order run twice.
    let requests = endpoint.requests.load(Ordering::SeqCst);
    assert!((1..=4).contains(&requests), "{requests} requests");
    if route == "order" {
        assert!(requests <= 2, "{requests} requests");
    }
    let growth = node.peak_memory_kib() - memory;
    assert!(growth < MEMORY_GROWTH_KIB, "memory grew by {growth} KiB");
    if !may_be_passed_on {
        let sent = endpoint.sent.load(Ordering::SeqCst);
        let bound = SOCKET_BUFFERS * requests as u64;
        assert!(sent < bound, "{sent} bytes were read");
    }
}

/// Guards against bytes after a complete response that are taken for the
/// response to the next request, or keep the connection in use.
#[rstest]
#[case::bytes("x")]
#[case::responses(
    "HTTP/1.1 200 OK\r\nx-filbertgrade-server-seal: s\r\ncontent-length: 5\r\n\r\nwrong"
)]
#[case::refusals(
    "HTTP/1.1 503 Busy\r\nx-filbertgrade-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
)]
#[tokio::test]
async fn bytes_after_a_complete_response_belong_to_no_request(
    #[case] repeated: &'static str,
    #[values(0, 20)] pause_ms: u64,
) {
    let start = format!("{GOOD_HEAD}content-length: 2\r\n\r\nID");
    let endpoint = EndlessEndpoint::start(start, repeated, Duration::from_millis(pause_ms)).await;
    let cluster = cluster_with(&endpoint).await;
    for n in 10..40 {
        let id = format!("{n}");
        let before = endpoint.requests.load(Ordering::SeqCst);
        let response = cluster.nodes[0]
            .request("POST", "order", &id, Some(KEY))
            .await;
        let ran = endpoint.requests.load(Ordering::SeqCst) - before;
        assert!(ran <= 1, "an order was sent {ran} times");
        match response.status {
            200 => assert_eq!((response.body, response.is_complete), (id, true)),
            // The order may have been sent on a connection that failed.
            status => assert!(
                matches!(status, 502 | 504),
                "{status}:\n{}",
                cluster.nodes[0].log()
            ),
        }
    }
    eventually("the connections are closed", || async {
        endpoint.open.load(Ordering::SeqCst) == 0
    })
    .await;
}

/// Guards against a response to another request that reaches the caller of a request
/// without an id.
#[tokio::test]
async fn request_without_an_id_gets_no_response_that_has_one() {
    let cluster = TestCluster::start(&[1]).await;
    cluster.endpoints[0].set_behavior(EndpointBehavior::CrossesAnswers);
    let head = cluster.nodes[0].request_head("POST", "order", "ID", Some(KEY));
    let head = head.replace("x-filbertgrade-request-id: ID\r\n", "");
    let response = crate::cluster::exchange(cluster.nodes[0].callers, &head).await;
    assert_eq!(response.unwrap().status, 502);
    cluster.nodes[0].line_with(&["result=foreign_answer"]).await;
    // Responses without an id belong to such requests, one after the other.
    cluster.endpoints[0].set_behavior(EndpointBehavior::Serves);
    for _ in 0..3 {
        let response = crate::cluster::exchange(cluster.nodes[0].callers, &head).await;
        assert_eq!(response.unwrap().status, 200);
    }
}

/// Guards against an order that runs at two endpoints, or is refused although it
/// ran, because the late second copy of an earlier refusal is taken for the response
/// to it.
#[rstest]
#[case::without_id(false)]
#[case::with_the_id_of_the_earlier_order(true)]
#[tokio::test]
async fn late_copy_of_a_refusal_does_not_repeat_an_order(#[case] has_id: bool) {
    let mut cluster = TestCluster::start(&[1]).await;
    cluster.configure(|spec| spec["tenants"][0]["rate-per-s"] = json!(0));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let spec = json!({"service": "charts", "address": listener.local_addr().unwrap().to_string(), "zone": "north-a",
                      "version": "v1", "slots": 30, "state": "ready", "cold-remaining-s": 0, "seq-no": 1, "born": 5});
    cluster.store.put("servers", "i-copies", spec);
    let ran_here = Arc::new(AtomicUsize::new(0));
    let ran = Arc::clone(&ran_here);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_with_copies(stream, has_id, Arc::clone(&ran)));
        }
    });
    let version = format!("configuration_in_force version={} ", cluster.version());
    cluster.nodes[0].line_with(&[&version]).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut sent = 0;
    while ran_here.load(Ordering::SeqCst) < 6 && sent < 200 {
        sent += 1;
        let id = format!("c{sent}");
        let head = cluster.nodes[0].request_head("POST", "order", &id, Some(KEY));
        // A different object each time, so that both endpoints are used.
        let head = head.replace("affinity-key: 17", &format!("affinity-key: {sent}"));
        let mut stream = TcpStream::connect(cluster.nodes[0].callers).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response).await;
        let response = String::from_utf8_lossy(&response);
        assert!(!response.starts_with("HTTP/1.1 503"), "{response}");
    }
    let ran = ran_here.load(Ordering::SeqCst) + cluster.requests_run();
    assert!(ran_here.load(Ordering::SeqCst) >= 6);
    assert!(ran <= sent, "{sent} orders ran {ran} times");
}

/// Runs every request of a connection. Before the response to each but the first,
/// sends a refusal as the second copy of one to the first request, whose id it has if
/// `has_id`.
async fn serve_with_copies(
    mut stream: TcpStream,
    has_id: bool,
    ran: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    let mut buf = vec![0; 16 * 1024];
    let mut first_id = None;
    loop {
        let n = stream.read(&mut buf).await?;
        if n == 0 {
            return Ok(());
        }
        let head = String::from_utf8_lossy(&buf[..n]).to_lowercase();
        let id = filbertgrade_standins::node::endpoint::header(&head, "x-filbertgrade-request-id");
        ran.fetch_add(1, Ordering::SeqCst);
        let first = first_id.get_or_insert_with(|| id.clone()).clone();
        if first != id {
            let id_line = if has_id {
                format!("x-filbertgrade-request-id: {first}\r\n")
            } else {
                String::new()
            };
            let copy = format!(
                "HTTP/1.1 503 Busy\r\n{id_line}x-filbertgrade-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            stream.write_all(copy.as_bytes()).await?;
        }
        let response = GOOD_HEAD.replace("ID", &id) + "content-length: 2\r\n\r\nok";
        stream.write_all(response.as_bytes()).await?;
    }
}

/// Guards against a response that looks whole to the caller although the endpoint
/// stopped in the middle of its head and closed the connection.
#[rstest]
#[case::status_line("HTTP/1.1 200")]
#[case::no_header("HTTP/1.1 200 OK\r\n")]
#[case::seal_without_the_rest("GOOD")]
#[case::header_name("GOODcontent-len")]
#[case::header_value("GOODcontent-length: 1")]
#[case::no_empty_line("GOODcontent-length: 10\r\n")]
#[case::half_of_the_empty_line("GOODcontent-length: 10\r\n\r")]
#[case::chunked("GOODtransfer-encoding: chunked\r\n")]
#[case::closing("GOODconnection: close\r\n")]
#[tokio::test]
async fn head_that_stops_is_no_response(
    #[case] head: &'static str,
    #[values("safe", "order")] route: &str,
) {
    let cluster = TestCluster::start(&[]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let spec = json!({"service": "charts", "address": listener.local_addr().unwrap().to_string(), "zone": "north-a",
                      "version": "v1", "slots": 30, "state": "ready", "cold-remaining-s": 0, "seq-no": 1, "born": 5});
    cluster.store.put("servers", "i-stops", spec);
    cluster.nodes[0]
        .line_with(&["event=endpoint_registered endpoint=i-stops"])
        .await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 16 * 1024];
            let n = stream.read(&mut buf).await.unwrap();
            let request = String::from_utf8_lossy(&buf[..n]).to_lowercase();
            let id = filbertgrade_standins::node::endpoint::header(
                &request,
                "x-filbertgrade-request-id",
            );
            let head = head.replace("GOOD", GOOD_HEAD).replace("ID", &id);
            stream.write_all(head.as_bytes()).await.unwrap();
        }
    });
    let method = if route == "order" { "POST" } else { "GET" };
    let response = cluster.nodes[0]
        .request(method, route, "a", Some(KEY))
        .await;
    assert_eq!(response.status, 502, "{response:?}");
}
