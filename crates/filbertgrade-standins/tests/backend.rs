//! The backend server stand-in serves, refuses and records as its documentation says.

mod support;

use std::time::{Duration, Instant};

use filbertgrade_standins::backend::{
    BackendConfig, BackendServer, ServiceTime, expected_response,
};
use rstest::rstest;
use support::{ANY, call};

const SHORT: Duration = Duration::from_millis(150);

async fn backend(slots: usize) -> BackendServer {
    let service_time = ServiceTime::Fixed(Duration::ZERO);
    let cfg = BackendConfig {
        slots,
        service_time,
        ..BackendConfig::default()
    };
    BackendServer::bind(ANY, cfg).await.expect("a free port")
}

/// Guards against an answer formula that differs between the server and the verification, at the
/// borders of words, of the hexadecimal part and of streamed parts.
#[rstest]
#[tokio::test]
async fn answer_matches(
    #[values(0, 1, 63, 64, 65, 79, 16 * 1024, 16 * 1024 + 3, 300_001)] bytes: usize,
    #[values("", "&chunked=1")] more: &str,
) {
    let server = backend(1).await;
    let path = format!("/maatboek/x?bytes={bytes}{more}");
    let answer = call(
        server.addr(),
        "PUT",
        &path,
        &[("x-request-id", "r1")],
        "scan",
    )
    .await;
    let answer = answer.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.body(), &expected_response("r1", b"scan", bytes));
    assert_ne!(
        expected_response("r2", b"scan", 64),
        expected_response("r1", b"scan", 64)
    );
    assert_eq!((server.run_count("r1"), server.busy()), (1, 0));
}

/// Guards against requests that run above the slots or that hold a slot after the caller left.
#[tokio::test]
async fn slots_and_cancellation() {
    let server = backend(1).await;
    let addr = server.addr();
    let long = call(
        addr,
        "GET",
        "/s/x?service_ms=5000",
        &[("x-request-id", "long")],
        "",
    );
    let second = async {
        while server.busy() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        call(addr, "GET", "/s/x", &[("x-request-id", "second")], "")
            .await
            .unwrap()
    };
    tokio::select! {
        _ = long => panic!("the long request ended"),
        answer = second => {
            assert_eq!(answer.status(), 503);
            assert_eq!(answer.headers()["x-shed"], "1");
            assert_eq!(answer.headers()["x-load"], "1.000");
        }
    }
    // Dropping `long` closes its connection.
    tokio::time::sleep(SHORT).await;
    let records = server.records();
    assert_eq!(
        (
            records.over_slots,
            records.cancelled,
            records.peak_concurrency
        ),
        (1, 1, 1)
    );
    assert_eq!(
        (
            server.run_count("long"),
            server.run_count("second"),
            server.busy()
        ),
        (1, 0, 0)
    );
}

/// Guards against draining servers and expired requests that run work, and against lies that do
/// not reach the health and load reports.
#[tokio::test]
async fn refusals_and_lies() {
    let server = backend(2).await;
    let addr = server.addr();
    let get = async |path: &str, headers: &[(&str, &str)]| {
        call(addr, "GET", path, headers, "")
            .await
            .expect("an answer")
    };
    let late = get("/s/x?service_ms=5000", &[("x-deadline-ms", "20")]).await;
    assert_eq!(
        (late.status().as_u16(), &late.headers()["x-deadline"]),
        (504, &"1".parse().unwrap())
    );
    server.set_draining(true);
    assert_eq!(get("/health", &[]).await.status(), 503);
    server.set_health_override(Some(true));
    assert_eq!(get("/health", &[]).await.status(), 200);
    let drained = get("/s/x", &[("x-request-id", "d")]).await;
    assert_eq!(
        (drained.status().as_u16(), &drained.headers()["x-drain"]),
        (503, &"1".parse().unwrap())
    );
    server.set_load_override(Some(0.5));
    let load = get("/load", &[]).await;
    assert_eq!(&load.body()[..], br#"{"load":0.500,"busy":1,"slots":2}"#);
    let records = server.records();
    assert_eq!(
        (
            records.deadline_exceeded,
            records.arrived_while_draining.len()
        ),
        (1, 1)
    );
    assert_eq!(server.run_count("d"), 0);
}

/// Guards against a load lag that reports the present.
#[tokio::test]
async fn load_lags() {
    let server = backend(1).await;
    let addr = server.addr();
    server.set_load_lag(SHORT * 2);
    let work =
        tokio::spawn(async move { call(addr, "GET", "/s/x?service_ms=2000", &[], "").await });
    while server.busy() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let load = async || {
        call(addr, "GET", "/load", &[], "")
            .await
            .expect("an answer")
            .into_body()
    };
    assert_eq!(&load().await[..], br#"{"load":0.000,"busy":0,"slots":1}"#);
    tokio::time::sleep(SHORT * 3).await;
    assert_eq!(&load().await[..], br#"{"load":1.000,"busy":1,"slots":1}"#);
    work.abort();
}

/// Guards against faults that run work they must not run, or that hide work that ran.
#[tokio::test]
async fn answer_faults() {
    let server = backend(1).await;
    let addr = server.addr();
    server.close_next_unread(1);
    assert!(
        call(addr, "POST", "/s/x", &[("x-request-id", "unread")], "order")
            .await
            .is_none()
    );
    server.cut_next_responses(1, 100);
    let cut = call(
        addr,
        "POST",
        "/s/x?bytes=200",
        &[("x-request-id", "cut")],
        "order",
    )
    .await;
    assert!(cut.is_none());
    server.withhold_next_responses(1);
    let swallowed = call(
        addr,
        "POST",
        "/s/x",
        &[("x-request-id", "swallowed")],
        "order",
    );
    assert!(tokio::time::timeout(SHORT, swallowed).await.is_err());
    assert!(
        call(addr, "POST", "/s/x", &[("x-request-id", "whole")], "order")
            .await
            .is_some()
    );
    let records = server.records();
    let ran: Vec<_> = records
        .runs
        .iter()
        .map(|run| run.request_id.as_str())
        .collect();
    assert_eq!(ran, ["cut", "swallowed", "whole"]);
    assert_eq!(server.busy(), 0);
}

/// Guards against silence that breaks new connections, answers old ones or keeps slots busy.
#[tokio::test]
async fn silent_connections() {
    let server = backend(1).await;
    let addr = server.addr();
    let old = tokio::spawn(async move { call(addr, "GET", "/s/x?service_ms=50", &[], "").await });
    while server.busy() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    server.freeze_open_connections();
    tokio::time::sleep(SHORT).await;
    assert_eq!((server.busy(), server.connections()), (0, 1));
    assert!(call(addr, "GET", "/s/x", &[], "").await.is_some());
    assert!(!old.is_finished());
    old.abort();
    tokio::time::sleep(SHORT).await;
    assert_eq!(server.connections(), 0);
}

/// Guards against keys that reach a back end unseen, and against a missed connection limit.
#[rstest]
#[case::clean("/s/x", ("x-team", "orders"), 0)]
#[case::authorization("/s/x", ("authorization", "Bearer other"), 1)]
#[case::any_header("/s/x", ("x-trace", "fgk_1_secret"), 1)]
#[case::path("/s/fgk_1_secret", ("x-team", "orders"), 1)]
#[case::query("/s/x?key=fgk_1_secret", ("x-team", "orders"), 1)]
#[tokio::test]
async fn key_seen(#[case] path: &str, #[case] header: (&str, &str), #[case] seen: u64) {
    let server = backend(1).await;
    call(server.addr(), "GET", path, &[header], "")
        .await
        .unwrap();
    assert_eq!(server.records().key_seen, seen);
}

/// Guards against connections over the limit being served.
#[tokio::test]
async fn connection_limit() {
    let cfg = BackendConfig {
        connection_limit: 1,
        ..BackendConfig::default()
    };
    let server = BackendServer::bind(ANY, cfg).await.unwrap();
    let first = tokio::net::TcpStream::connect(server.addr()).await.unwrap();
    while server.connections() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(call(server.addr(), "GET", "/s/x", &[], "").await.is_none());
    assert_eq!(server.records().connections_over_limit, 1);
    drop(first);
}

/// Guards against cold requests that are as fast as warm ones.
#[tokio::test]
async fn cold_start() {
    let cfg = BackendConfig {
        service_time: ServiceTime::Fixed(Duration::from_millis(40)),
        cold_requests: 1,
        cold_factor: 5.0,
        ..BackendConfig::default()
    };
    let server = BackendServer::bind(ANY, cfg).await.unwrap();
    let began = Instant::now();
    call(server.addr(), "GET", "/s/x", &[], "").await.unwrap();
    assert!(began.elapsed() >= Duration::from_millis(200));
    assert_eq!(server.close().await.runs.len(), 1);
}

/// Guards against HTTP/2 streams that escape the slots, or that hold one after a cancellation.
#[tokio::test]
async fn http2() {
    let server = backend(1).await;
    let stream = tokio::net::TcpStream::connect(server.addr()).await.unwrap();
    let executor = hyper_util::rt::TokioExecutor::new();
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http2::handshake(executor, io)
        .await
        .unwrap();
    let connection = tokio::spawn(connection);
    let mut send = |path: &str| {
        let uri = format!("http://backend/s/{path}");
        let body = http_body_util::Empty::<bytes::Bytes>::new();
        sender.send_request(http::Request::get(uri).body(body).unwrap())
    };
    let long = tokio::spawn(send("x?service_ms=5000"));
    while server.busy() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(send("x").await.unwrap().status(), 503);
    long.abort();
    tokio::time::sleep(SHORT).await;
    assert_eq!(send("x").await.unwrap().status(), 200);
    assert_eq!(server.records().cancelled, 1);
    connection.abort();
}
