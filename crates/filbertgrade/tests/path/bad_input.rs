//! Tests that malformed or slow input from callers gets a clear refusal at a
//! bounded cost.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertgrade_standins::backend::BackendServer;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fleet::Fleet;
use crate::scenario::ready_fleet;

/// Time within which the entry must have ended a connection that is too slow:
/// its limit of 10 s plus a margin for a busy machine.
const SLOW_CALLER_LIMIT: Duration = Duration::from_secs(14);

/// Guards against malformed request heads that reach a backend server or end
/// without a status. `KEY` stands for a valid API key.
#[rstest]
#[case::not_http("hello\r\n\r\n".to_owned(), "400")]
#[case::oversized_header(get(&format!("x-big: {}\r\n", "a".repeat(200_000))), "431")]
#[case::many_headers(get(&"x-many: 1\r\n".repeat(300)), "431")]
#[case::http_1_0("GET /chart/x HTTP/1.0\r\nauthorization: Bearer KEY\r\n\r\n".to_owned(), "400")]
#[case::unknown_service("GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), "404")]
#[case::key_in_path("GET /chart/KEY HTTP/1.1\r\nhost: x\r\nauthorization: Bearer KEY\r\n\r\n".to_owned(), "400")]
#[case::two_deadlines(get("x-deadline-ms: 5\r\nx-deadline-ms: 6\r\n"), "400")]
#[case::long_idempotency_key(get(&format!("idempotency-key: {}\r\n", "k".repeat(256))), "400")]
#[case::empty_idempotency_key(get("idempotency-key:\r\n"), "400")]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_head_is_refused(#[case] head: String, #[case] status: &str) {
    let (fleet, secret) = ready_fleet(1).await;
    let ran = runs(&fleet);
    let head = head.replace("KEY", &secret);
    let response = exchange(fleet.vms[0].caller_address(), head.as_bytes()).await;
    assert!(response.starts_with("HTTP/1."), "{response}");
    assert_eq!(&response[9..12], status, "{response}");
    assert_eq!(runs(&fleet), ran);
}

/// Guards against headers that a backend server must not see: the API key in
/// any header, a team that the caller claims to be, and hop-by-hop headers.
#[tokio::test(flavor = "multi_thread")]
async fn backend_server_sees_the_team_of_the_key_and_never_the_key() {
    let (fleet, secret) = ready_fleet(1).await;
    let head = get(
        "x-request-id: r\r\nx-team: outfitter\r\nx-copy: KEY\r\ncookie: k=KEY\r\n\
                    connection: close, x-hop\r\nx-hop: KEY\r\n",
    )
    .replace("KEY", &secret);
    let response = exchange(fleet.vms[0].caller_address(), head.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let records = fleet.backends.iter().map(BackendServer::records);
    let records: Vec<_> = records.collect();
    assert!(records.iter().all(|r| r.key_seen == 0));
    let runs = records.iter().flat_map(|r| &r.runs);
    let teams: Vec<_> = runs
        .filter(|run| run.request_id == "r")
        .map(|run| run.team.as_deref())
        .collect();
    assert_eq!(teams, [Some("atelier")]);
}

/// Guards against a body that is omitted because its length is not announced,
/// and against request smuggling through a second length that makes part of the
/// body look like another request.
#[rstest]
#[case::get_without_length("GET", "")]
#[case::post_with_two_lengths("POST", "content-length: 3\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn chunked_body_reaches_the_backend_server(#[case] method: &str, #[case] header: &str) {
    let (fleet, secret) = ready_fleet(1).await;
    let ran = runs(&fleet);
    let sent = format!(
        "{method} /chart/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {secret}\r\n\
         x-request-id: chunked\r\n{header}transfer-encoding: chunked\r\n\r\n\
         5\r\nhello\r\n0\r\n\r\n"
    );
    let response = exchange(fleet.vms[0].caller_address(), sent.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let records = fleet.backends.iter().map(BackendServer::records);
    let of_id = records
        .flat_map(|r| r.runs)
        .find(|run| run.request_id == "chunked");
    assert_eq!(of_id.map(|run| run.body_bytes), Some(5));
    assert_eq!(runs(&fleet), ran + 1);
}

/// Guards against slow callers that occupy a connection or a slot.
#[rstest]
#[case::nothing("", "")]
#[case::preface("PRI * HTTP/2.0\r\n", "")]
#[case::head("GET /chart/x HTTP/1.1\r\nhost: x\r\n", "")]
#[case::small_body(
    "POST /chart/x HTTP/1.1\r\nhost: x\r\nx-request-id: slow\r\nauthorization: Bearer KEY\r\ncontent-length: 100\r\n\r\nabc",
    "408 slow_body not_run"
)]
#[case::large_body(
    "POST /chart/x HTTP/1.1\r\nhost: x\r\nx-request-id: slow\r\nauthorization: Bearer KEY\r\ncontent-length: 1000000\r\n\r\nabc",
    "408 slow_body unknown"
)]
#[tokio::test(flavor = "multi_thread")]
async fn slow_caller_is_disconnected(#[case] sent: &str, #[case] refusal: &str) {
    let (fleet, secret) = ready_fleet(1).await;
    let start = Instant::now();
    let sent = sent.replace("KEY", &secret);
    let response = exchange(fleet.vms[0].caller_address(), sent.as_bytes()).await;
    assert!(start.elapsed() < SLOW_CALLER_LIMIT);
    assert_eq!(parse_refusal(&response), refusal, "{response}");
    // The backend server notices the end of the connection a moment later.
    let start = Instant::now();
    while fleet.backends.iter().any(|b| b.busy() > 0) {
        assert!(
            start.elapsed() < Duration::from_secs(1),
            "a slot is still occupied"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(fleet.backends.iter().all(|b| b.run_count("slow") == 0));
}

/// Guards against idle connections that exhaust a VM's memory, and against
/// callers that get no refusal when the limit is reached.
#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_the_limit_are_refused() {
    let (fleet, _) = ready_fleet(1).await;
    let callers = fleet.vms[0].caller_address();
    let mut open = Vec::new();
    for _ in 0..4100 {
        open.push(TcpStream::connect(callers).await.unwrap());
    }
    let response = exchange(callers, b"").await;
    assert_eq!(parse_refusal(&response), "503 too_many_connections not_run");
    drop(open);
    let start = Instant::now();
    while !exchange(callers, b"GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .contains("404")
    {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "connections are still refused"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn get(headers: &str) -> String {
    format!("GET /chart/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer KEY\r\n{headers}\r\n")
}

fn runs(fleet: &Fleet) -> usize {
    fleet.backends.iter().map(|b| b.records().runs.len()).sum()
}

/// Sends bytes and reads until the connection ends or the first response head
/// is complete.
async fn exchange(callers: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(callers).await.unwrap();
    let (mut read, mut write) = stream.split();
    let mut response = Vec::new();
    let reading = async {
        let mut buffer = [0; 4096];
        while let Ok(n) = read.read(&mut buffer).await {
            response.extend_from_slice(&buffer[..n]);
            let text = String::from_utf8_lossy(&response);
            let head_complete = text.contains("\r\n\r\n");
            if n == 0 || head_complete {
                break;
            }
        }
    };
    let writing = async {
        let _ = write.write_all(bytes).await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = reading => {}
        () = writing => {}
        () = tokio::time::sleep(Duration::from_secs(30)) => {}
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns the status, cause and outcome of a refusal; empty when there was no
/// response.
fn parse_refusal(response: &str) -> String {
    if response.is_empty() {
        return String::new();
    }
    let header = |name: &str| {
        let line = response.lines().find_map(|line| line.strip_prefix(name));
        line.unwrap_or("").to_owned()
    };
    let cause = header("filbertgrade-cause: ");
    format!(
        "{} {cause} {}",
        &response[9..12],
        header("filbertgrade-outcome: ")
    )
}
