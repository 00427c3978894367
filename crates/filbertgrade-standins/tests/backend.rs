//! Tests of the backend server stand-in: responses, refusals, injected faults and records.

mod support;

use std::time::{Duration, Instant};

use filbertgrade_standins::backend::{
    BackendConfig, BackendServer, ServiceTime, expected_response,
};
use rstest::rstest;
use support::{FREE_PORT, send};

/// Wait after which the server has processed an event such as a closed connection; also the unit of
/// the simulated load lag.
const SHORT_WAIT: Duration = Duration::from_millis(150);

async fn start_backend(slots: usize) -> BackendServer {
    let service_time = ServiceTime::Fixed(Duration::ZERO);
    let cfg = BackendConfig {
        slots,
        service_time,
        ..BackendConfig::default()
    };
    BackendServer::bind(FREE_PORT, cfg)
        .await
        .expect("a free port")
}

/// Guards against response bodies that differ from the expected ones, with sizes around the
/// boundaries of words, of the hexadecimal digest and of streamed frames.
#[rstest]
#[tokio::test]
async fn response_body_matches_expected_response(
    #[values(0, 1, 63, 64, 65, 79, 16 * 1024, 16 * 1024 + 3, 300_001)] bytes: usize,
    #[values("", "&chunked=1")] option: &str,
) {
    let server = start_backend(1).await;
    let path = format!("/maatboek/x?bytes={bytes}{option}");
    let response = send(
        server.addr(),
        "PUT",
        &path,
        &[("x-request-id", "r1")],
        "scan",
    )
    .await;
    let response = response.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.body(), &expected_response("r1", b"scan", bytes));
    assert_ne!(
        expected_response("r2", b"scan", 64),
        expected_response("r1", b"scan", 64)
    );
    assert_eq!((server.run_count("r1"), server.busy()), (1, 0));
}

/// Guards against requests that run although all slots are busy, and against slots that stay busy
/// after the caller has cancelled.
#[tokio::test]
async fn requests_over_slots_are_shed_and_cancellation_frees_slots() {
    let server = start_backend(1).await;
    let addr = server.addr();
    let long = send(
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
        send(addr, "GET", "/s/x", &[("x-request-id", "second")], "")
            .await
            .unwrap()
    };
    tokio::select! {
        _ = long => panic!("the long request ended before it was cancelled"),
        response = second => {
            assert_eq!(response.status(), 503);
            assert_eq!(response.headers()["x-shed"], "1");
            assert_eq!(response.headers()["x-load"], "1.000");
        }
    }
    // Dropping the future `long` has closed its connection.
    tokio::time::sleep(SHORT_WAIT).await;
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

/// Guards against requests that run while the server drains, against expired deadlines that are
/// ignored, and against health and load reports that ignore the overrides.
#[tokio::test]
async fn refused_requests_do_not_run_and_reports_can_be_overridden() {
    let server = start_backend(2).await;
    let addr = server.addr();
    let get = async |path: &str, headers: &[(&str, &str)]| {
        send(addr, "GET", path, headers, "")
            .await
            .expect("a response")
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

/// Guards against load reports that contain the current load in spite of a lag.
#[tokio::test]
async fn load_report_lags() {
    let server = start_backend(1).await;
    let addr = server.addr();
    server.set_load_lag(SHORT_WAIT * 2);
    let work =
        tokio::spawn(async move { send(addr, "GET", "/s/x?service_ms=2000", &[], "").await });
    while server.busy() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let load = async || {
        send(addr, "GET", "/load", &[], "")
            .await
            .expect("a response")
            .into_body()
    };
    assert_eq!(&load().await[..], br#"{"load":0.000,"busy":0,"slots":1}"#);
    tokio::time::sleep(SHORT_WAIT * 3).await;
    assert_eq!(&load().await[..], br#"{"load":1.000,"busy":1,"slots":1}"#);
    work.abort();
}

/// Guards against faults that run a request they must not run, and against runs that are not
/// recorded because of a fault.
#[tokio::test]
async fn records_contain_exactly_the_requests_that_ran() {
    let server = start_backend(1).await;
    let addr = server.addr();
    server.close_next_unread(1);
    assert!(
        send(addr, "POST", "/s/x", &[("x-request-id", "unread")], "order")
            .await
            .is_none()
    );
    server.truncate_next_responses(1, 100);
    let truncated = send(
        addr,
        "POST",
        "/s/x?bytes=200",
        &[("x-request-id", "truncated")],
        "order",
    )
    .await;
    assert!(truncated.is_none());
    server.withhold_next_responses(1);
    let withheld = send(
        addr,
        "POST",
        "/s/x",
        &[("x-request-id", "withheld")],
        "order",
    );
    assert!(tokio::time::timeout(SHORT_WAIT, withheld).await.is_err());
    assert!(
        send(
            addr,
            "POST",
            "/s/x",
            &[("x-request-id", "complete")],
            "order"
        )
        .await
        .is_some()
    );
    let records = server.records();
    let ran: Vec<_> = records
        .runs
        .iter()
        .map(|run| run.request_id.as_str())
        .collect();
    assert_eq!(ran, ["truncated", "withheld", "complete"]);
    assert_eq!(server.busy(), 0);
}

/// Guards against freezing that affects new connections, still delivers responses on frozen ones,
/// or leaves their slots busy.
#[tokio::test]
async fn frozen_connections_deliver_nothing_and_free_their_slots() {
    let server = start_backend(1).await;
    let addr = server.addr();
    let old = tokio::spawn(async move { send(addr, "GET", "/s/x?service_ms=50", &[], "").await });
    while server.busy() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    server.freeze_open_connections();
    tokio::time::sleep(SHORT_WAIT).await;
    assert_eq!((server.busy(), server.connections()), (0, 1));
    assert!(send(addr, "GET", "/s/x", &[], "").await.is_some());
    assert!(!old.is_finished());
    old.abort();
    tokio::time::sleep(SHORT_WAIT).await;
    assert_eq!(server.connections(), 0);
}

/// Guards against credentials that reach a backend server without being counted.
#[rstest]
#[case::clean("/s/x", ("x-team", "orders"), 0)]
#[case::authorization("/s/x", ("authorization", "Bearer other"), 1)]
#[case::any_header("/s/x", ("x-trace", "fgk_1_secret"), 1)]
#[case::path("/s/fgk_1_secret", ("x-team", "orders"), 1)]
#[case::query("/s/x?key=fgk_1_secret", ("x-team", "orders"), 1)]
#[tokio::test]
async fn credentials_are_counted(
    #[case] path: &str,
    #[case] header: (&str, &str),
    #[case] count: u64,
) {
    let server = start_backend(1).await;
    send(server.addr(), "GET", path, &[header], "")
        .await
        .unwrap();
    assert_eq!(server.records().key_seen, count);
}

/// Guards against connections over the limit that are served.
#[tokio::test]
async fn connections_over_limit_are_closed() {
    let cfg = BackendConfig {
        connection_limit: 1,
        ..BackendConfig::default()
    };
    let server = BackendServer::bind(FREE_PORT, cfg).await.unwrap();
    let first = tokio::net::TcpStream::connect(server.addr()).await.unwrap();
    while server.connections() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(send(server.addr(), "GET", "/s/x", &[], "").await.is_none());
    assert_eq!(server.records().connections_over_limit, 1);
    drop(first);
}

/// Guards against cold requests that take no longer than others.
#[tokio::test]
async fn cold_requests_take_longer() {
    let cfg = BackendConfig {
        service_time: ServiceTime::Fixed(Duration::from_millis(40)),
        cold_requests: 1,
        cold_factor: 5.0,
        ..BackendConfig::default()
    };
    let server = BackendServer::bind(FREE_PORT, cfg).await.unwrap();
    let started = Instant::now();
    send(server.addr(), "GET", "/s/x", &[], "").await.unwrap();
    assert!(started.elapsed() >= Duration::from_millis(200));
    assert_eq!(server.close().await.runs.len(), 1);
}

/// Guards against HTTP/2 streams that run although all slots are busy, and against slots that stay
/// busy after a stream is cancelled.
#[tokio::test]
async fn http2_streams_occupy_and_free_slots() {
    let server = start_backend(1).await;
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
    tokio::time::sleep(SHORT_WAIT).await;
    assert_eq!(send("x").await.unwrap().status(), 200);
    assert_eq!(server.records().cancelled, 1);
    connection.abort();
}
