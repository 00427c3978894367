//! Tests of two registrations that name one address: an endpoint that has crashed
//! and come back under another id, while its older registration is still in force.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::cluster::{KEY, TestCluster, eventually};
use filbertgrade_standins::node::endpoint::{EndpointBehavior, header};

/// Id of the registration that is left over from before the crash.
const OLD_ID: &str = "i-old";

/// Id of the process that has the address now.
const NEW_ID: &str = "i-new";

/// Time for which the process works on each request. Longer than the delay of any
/// copy, so that a copy arrives before the response to the next request.
const WORK: Duration = Duration::from_millis(60);

/// Time within which an endpoint that has refused a request as another one gets
/// requests again: as long as calm VMs need after a disruption.
const RETURN_LIMIT: Duration = Duration::from_secs(4);

/// What the process responds to a request that is meant for [`OLD_ID`].
#[derive(Clone, Copy, Debug, PartialEq)]
enum Refusal {
    Misdirected,
    MisdirectedAndConfirmed,
    Busy,
}

impl Refusal {
    fn head(self, id: &str) -> String {
        let (status, confirmation) = match self {
            Self::Misdirected => ("421 Other", ""),
            Self::MisdirectedAndConfirmed => ("421 Other", "x-filbertgrade-not-executed: 1\r\n"),
            Self::Busy => ("503 Busy", "x-filbertgrade-not-executed: 1\r\n"),
        };
        format!(
            "HTTP/1.1 {status}\r\nx-filbertgrade-request-id: {id}\r\n{confirmation}content-length: 0\r\n\r\n"
        )
    }
}

/// The process at the address. It sends each refusal a second time.
#[derive(Debug)]
struct Restarted {
    address: SocketAddr,
    refusal: Refusal,
    copy_delay: Duration,
    /// Number of runs by request id.
    runs: Mutex<HashMap<String, usize>>,
    /// Ids of the refused requests.
    refused: Mutex<Vec<String>>,
}

impl Restarted {
    async fn start(refusal: Refusal, copy_delay: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            refusal,
            copy_delay,
            runs: Mutex::default(),
            refused: Mutex::default(),
        });
        let serving = Arc::clone(&endpoint);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let endpoint = Arc::clone(&serving);
                tokio::spawn(async move { drop(endpoint.serve(stream).await) });
            }
        });
        endpoint
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let (mut read, write) = stream.into_split();
        let write = Arc::new(tokio::sync::Mutex::new(write));
        let mut buf = vec![0; 16 * 1024];
        loop {
            let n = read.read(&mut buf).await?;
            if n == 0 {
                return Ok(());
            }
            let head = String::from_utf8_lossy(&buf[..n]).to_lowercase();
            let id = header(&head, "x-filbertgrade-request-id");
            if header(&head, "x-filbertgrade-expected-instance") == OLD_ID {
                self.refused.lock().unwrap().push(id.clone());
                let refusal = self.refusal.head(&id);
                write.lock().await.write_all(refusal.as_bytes()).await?;
                let (write, delay) = (Arc::clone(&write), self.copy_delay);
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    // The node may have closed the connection.
                    drop(write.lock().await.write_all(refusal.as_bytes()).await);
                });
                continue;
            }
            *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            tokio::time::sleep(WORK).await;
            let body = format!("answer of {NEW_ID} to {id}");
            let response = format!(
                "HTTP/1.1 200 OK\r\nx-filbertgrade-request-id: {id}\r\nx-filbertgrade-server-seal: s\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            write.lock().await.write_all(response.as_bytes()).await?;
        }
    }

    fn runs_of(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Number of requests that were sent to the older registration.
    fn refused(&self) -> usize {
        self.refused.lock().unwrap().len()
    }
}

/// Starts a node that knows both registrations of the process and no other one.
async fn cluster_with(endpoint: &Restarted, max_connections: usize) -> TestCluster {
    let mut cluster = TestCluster::start(&[]).await;
    cluster.configure(|spec| {
        spec["tenants"][0]["rate-per-s"] = json!(0);
        spec["services"][0]["max-conns"] = json!(max_connections);
    });
    for (id, born) in [(OLD_ID, 5), (NEW_ID, 9)] {
        let spec = json!({"service": "charts", "address": endpoint.address.to_string(), "zone": "north-a",
                          "version": "v1", "slots": 30, "state": "ready", "cold-remaining-s": 0, "seq-no": 1, "born": born});
        cluster.store.put("servers", id, spec);
        let registered = format!("event=endpoint_registered endpoint={id}");
        cluster.nodes[0].line_with(&[&registered]).await;
    }
    let version = format!("configuration_in_force version={} ", cluster.version());
    cluster.nodes[0].line_with(&[&version]).await;
    cluster
}

/// Sends an order for the object and returns its status.
async fn order(cluster: &TestCluster, id: &str, object: usize) -> u16 {
    let head = cluster.nodes[0].request_head("POST", "order", id, Some(KEY));
    let head = head.replace("affinity-key: 17", &format!("affinity-key: {object}"));
    let response = crate::cluster::exchange(cluster.nodes[0].callers, &head).await;
    response.unwrap().status
}

/// Guards against an order that ran although its caller was promised that it did
/// not: the second copy of the refusal of its first attempt, which has the same id,
/// was taken for the response to the second attempt at the same address.
#[rstest]
#[tokio::test]
async fn copy_of_a_refusal_does_not_refuse_the_next_attempt_of_its_order(
    #[values(Refusal::Misdirected, Refusal::MisdirectedAndConfirmed, Refusal::Busy)]
    refusal: Refusal,
    #[values(1, 5, 30)] copy_delay_ms: u64,
    // One connection is the share of a VM among hundreds.
    #[values(100, 1)] max_connections: usize,
) {
    let endpoint = Restarted::start(refusal, Duration::from_millis(copy_delay_ms)).await;
    let cluster = cluster_with(&endpoint, max_connections).await;
    let started_at = Instant::now();
    let mut sent = 0;
    // Until some orders were tried at the older registration first. One that answers
    // 421 gets no more for a while, so that the time ends the loop.
    while endpoint.refused() < 8 && started_at.elapsed() < Duration::from_secs(6) && sent < 60 {
        sent += 1;
        let id = format!("o{sent}");
        let status = order(&cluster, &id, sent).await;
        let runs = endpoint.runs_of(&id);
        assert!(runs <= 1, "order {id} ran {runs} times");
        assert!(
            runs == 0 || !matches!(status, 408 | 421 | 429 | 503),
            "order {id} ran and got {status}:\n{}",
            cluster.nodes[0].log()
        );
    }
    assert!(endpoint.refused() > 0, "no order was refused");
}

/// Guards against a sound endpoint that gets no request any more after one response
/// that says that another endpoint has its address.
#[tokio::test]
async fn endpoint_returns_after_a_single_response_of_another_one() {
    let cluster = TestCluster::start(&[1]).await;
    cluster.endpoints[0].set_behavior(EndpointBehavior::IsAnother);
    let first = cluster.get("safe", "a0").await;
    assert_eq!(first.status, 503);
    cluster.endpoints[0].set_behavior(EndpointBehavior::Serves);
    let serves = || async { cluster.get("safe", "a1").await.status == 200 };
    let elapsed = eventually("the endpoint gets requests again", serves).await;
    assert!(elapsed < RETURN_LIMIT, "after {elapsed:?}");
}

/// Guards against a stream of requests to a registration whose address another
/// endpoint has, as each of them costs its caller a round trip.
#[tokio::test]
async fn registration_whose_address_another_endpoint_has_gets_few_requests() {
    let endpoint = Restarted::start(Refusal::Misdirected, Duration::from_secs(60)).await;
    let cluster = cluster_with(&endpoint, 100).await;
    let started_at = Instant::now();
    let mut sent = 0;
    while started_at.elapsed() < Duration::from_secs(4) {
        sent += 1;
        let status = order(&cluster, &format!("p{sent}"), sent).await;
        assert_eq!(status, 200, "{}", cluster.nodes[0].log());
    }
    // Backoffs that start at 0.25 s and double up to 2 s.
    assert!(
        (1..=6).contains(&endpoint.refused()),
        "{}",
        endpoint.refused()
    );
}
