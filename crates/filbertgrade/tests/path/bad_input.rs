//! Bad input from callers: a clear refusal at a bounded cost.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertgrade_standins::backend::BackendServer;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fleet::Fleet;
use crate::scenario::ready_fleet;

/// Time in which the entry must have ended a connection that is too slow:
/// its limit of 10 s, and room for a busy machine.
const SLOW_BOUND: Duration = Duration::from_secs(14);

/// Guards against malformed heads that reach a backend server, or end without
/// a status. `KEY` stands for a valid key.
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
    let answer = exchange(fleet.vms[0].callers(), head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1."), "{answer}");
    assert_eq!(&answer[9..12], status, "{answer}");
    assert_eq!(runs(&fleet), ran);
}

/// Guards against headers that a backend server must not see: the key in any
/// header, a team that the caller claims, and those of one connection only.
#[tokio::test(flavor = "multi_thread")]
async fn backend_server_sees_the_team_of_the_key_and_never_the_key() {
    let (fleet, secret) = ready_fleet(1).await;
    let head = get(
        "x-request-id: r\r\nx-team: outfitter\r\nx-copy: KEY\r\ncookie: k=KEY\r\n\
                    connection: close, x-hop\r\nx-hop: KEY\r\n",
    )
    .replace("KEY", &secret);
    let answer = exchange(fleet.vms[0].callers(), head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
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

/// Guards against a body that is left out because its size is not announced,
/// and against a second length that makes a part of it look like a request.
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
    let answer = exchange(fleet.vms[0].callers(), sent.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let records = fleet.backends.iter().map(BackendServer::records);
    let of_id = records
        .flat_map(|r| r.runs)
        .find(|run| run.request_id == "chunked");
    assert_eq!(of_id.map(|run| run.body_bytes), Some(5));
    assert_eq!(runs(&fleet), ran + 1);
}

/// Guards against callers that hold a connection or a slot by being slow.
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
async fn slow_caller_is_ended(#[case] sent: &str, #[case] refusal: &str) {
    let (fleet, secret) = ready_fleet(1).await;
    let start = Instant::now();
    let sent = sent.replace("KEY", &secret);
    let answer = exchange(fleet.vms[0].callers(), sent.as_bytes()).await;
    assert!(start.elapsed() < SLOW_BOUND);
    assert_eq!(refusal_of(&answer), refusal, "{answer}");
    // The end of the connection takes a moment to reach the backend server.
    let start = Instant::now();
    while fleet.backends.iter().any(|b| b.busy() > 0) {
        assert!(
            start.elapsed() < Duration::from_secs(1),
            "a slot stays busy"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(fleet.backends.iter().all(|b| b.run_count("slow") == 0));
}

/// Guards against a fleet of idle connections that uses up a VM's memory, and
/// against callers that learn nothing when it does.
#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_the_limit_are_refused() {
    let (fleet, _) = ready_fleet(1).await;
    let callers = fleet.vms[0].callers();
    let mut open = Vec::new();
    for _ in 0..4100 {
        open.push(TcpStream::connect(callers).await.unwrap());
    }
    let answer = exchange(callers, b"").await;
    assert_eq!(refusal_of(&answer), "503 too_many_connections not_run");
    drop(open);
    let start = Instant::now();
    while !exchange(callers, b"GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .contains("404")
    {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "the limit stays reached"
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

/// Sends bytes and reads what comes until the end of the connection, or of
/// the first answer.
async fn exchange(callers: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(callers).await.unwrap();
    let (mut read, mut write) = stream.split();
    let mut answer = Vec::new();
    let reading = async {
        let mut part = [0; 4096];
        while let Ok(n) = read.read(&mut part).await {
            answer.extend_from_slice(&part[..n]);
            let text = String::from_utf8_lossy(&answer);
            let ended = text.contains("\r\n\r\n");
            if n == 0 || ended {
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
    String::from_utf8_lossy(&answer).into_owned()
}

/// Status, cause and outcome of a refusal; empty when there is no answer.
fn refusal_of(answer: &str) -> String {
    if answer.is_empty() {
        return String::new();
    }
    let header = |name: &str| {
        let line = answer.lines().find_map(|line| line.strip_prefix(name));
        line.unwrap_or("").to_owned()
    };
    let cause = header("filbertgrade-cause: ");
    format!(
        "{} {cause} {}",
        &answer[9..12],
        header("filbertgrade-outcome: ")
    )
}
