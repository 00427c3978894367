//! Tests of the caller stand-in: outcomes of calls, lookups, the load generator and the comparison
//! with the records of the backend servers.

mod support;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_standins::backend::{
    BackendConfig, BackendRecords, BackendServer, Run, ServiceTime, expected_response,
};
use filbertgrade_standins::caller::{
    BackendComparison, CallRecord, CallRequest, Caller, CallerConfig, Key, Limit, Load, LoadConfig,
    LoadReport, Outcome, RequestKind, Route, TeamLoad, admitted_by_team, count_over_rate,
};
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use support::{FREE_PORT, send};

/// Starts a VM that responds to each request with `response`. Returns its address and its request
/// count.
async fn start_vm(
    response: impl Fn() -> Response<Full<Bytes>> + Clone + Send + 'static,
) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = tokio::net::TcpListener::bind(FREE_PORT)
        .await
        .expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let count = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (response, counter) = (response.clone(), Arc::clone(&counter));
            let service = service_fn(move |_: Request<_>| {
                counter.fetch_add(1, Ordering::SeqCst);
                let response = response();
                async { Ok::<_, Infallible>(response) }
            });
            let builder = hyper::server::conn::http1::Builder::new();
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
    (addr, count)
}

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

fn caller(route: Route, http2: bool) -> Caller {
    let response_grace = Duration::from_millis(50);
    Caller::new(CallerConfig {
        route,
        http2,
        response_grace,
        ..CallerConfig::default()
    })
}

fn request(id: &str) -> CallRequest {
    CallRequest {
        body: Bytes::from_static(b"order"),
        response_bytes: 1_000,
        deadline: Duration::from_millis(250),
        ..CallRequest::new(Method::POST, "/snijbank/order", id)
    }
}

fn refused(status: u16, cause: &str, not_run: bool) -> Outcome {
    Outcome::Refused {
        status,
        cause: cause.to_owned(),
        not_run,
    }
}

/// Guards against outcomes that are misclassified, over HTTP/1.1 and HTTP/2.
#[rstest]
#[case::complete(|_: &BackendServer| (), Outcome::Complete)]
#[case::truncated(|server: &BackendServer| server.truncate_next_responses(1, 500), Outcome::Truncated)]
#[case::withheld(|server: &BackendServer| server.withhold_next_responses(1), Outcome::Lost { sent: true })]
#[case::closed(|server: &BackendServer| server.close_next_unread(1), Outcome::Lost { sent: true })]
#[case::drained(|server: &BackendServer| server.set_draining(true), refused(503, "x-drain", true))]
#[case::frozen(|server: &BackendServer| server.freeze_open_connections(), Outcome::Lost { sent: true })]
#[tokio::test]
async fn outcome_matches_fault(
    #[case] fault: fn(&BackendServer),
    #[case] outcome: Outcome,
    #[values(false, true)] http2: bool,
) {
    let server = start_backend(1).await;
    let caller = caller(Route::Vms(vec![server.addr()]), http2);
    // The first call opens the keep-alive connection on which the fault then occurs.
    assert_eq!(
        caller.call(&request("before")).await.outcome,
        Outcome::Complete
    );
    assert_eq!(server.connections(), 1);
    fault(&server);
    assert_eq!(caller.call(&request("fault")).await.outcome, outcome);
    server.set_draining(false);
    assert_eq!(
        caller.call(&request("after")).await.outcome,
        Outcome::Complete
    );
}

/// Guards against a response to another request or a truncated response that is accepted, and
/// against refusals that are misread.
#[rstest]
#[case::other_request(200, &[], expected_response("other", b"order", 1_000), Outcome::WrongResponse)]
#[case::truncated(200, &[], expected_response("r", b"order", 999), Outcome::WrongResponse)]
#[case::not_run(
    429,
    &[("filbertgrade-cause", "over_rate"), ("filbertgrade-outcome", "not_run")],
    Bytes::new(),
    refused(429, "over_rate", true)
)]
#[case::unknown(
    504,
    &[("filbertgrade-cause", "backend_silent"), ("filbertgrade-outcome", "unknown")],
    Bytes::new(),
    refused(504, "backend_silent", false)
)]
#[case::shed_unknown(
    503,
    &[("x-shed", "1"), ("filbertgrade-outcome", "unknown")],
    Bytes::new(),
    refused(503, "x-shed", false)
)]
#[case::plain(500, &[], Bytes::new(), refused(500, "status_500", false))]
#[tokio::test]
async fn responses_are_verified_and_refusals_are_parsed(
    #[case] status: u16,
    #[case] headers: &'static [(&str, &str)],
    #[case] body: Bytes,
    #[case] outcome: Outcome,
) {
    let response = move || {
        let response = Response::builder().status(status);
        let response = headers.iter().fold(response, |response, (name, value)| {
            response.header(*name, *value)
        });
        response.body(Full::new(body.clone())).unwrap()
    };
    let (addr, _) = start_vm(response).await;
    let result = caller(Route::Vms(vec![addr]), false)
        .call(&request("r"))
        .await;
    assert_eq!((result.outcome, result.vm), (outcome, Some(addr)));
}

/// Guards against a lookup for every request, lookups that never expire, and callers that give up
/// at the first unreachable VM of a lookup or at the first unreachable VM to query.
#[tokio::test]
async fn lookups_expire_and_unreachable_vms_are_skipped() {
    let server = start_backend(1).await;
    let closed = tokio::net::TcpListener::bind(FREE_PORT)
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let body = serde_json::json!({"ttl_ms": 200, "vms": [
        {"vm": "unreachable", "address": closed.to_string(), "region": "rhone"},
        {"vm": "live", "address": server.addr().to_string(), "region": "rhone"},
    ]});
    let (addr, count) = start_vm(move || Response::new(Full::from(body.to_string()))).await;
    let caller = caller(Route::Lookup(vec![closed, addr]), false);
    for id in ["r1", "r2"] {
        let result = caller.call(&request(id)).await;
        assert_eq!(
            (result.outcome, result.vm),
            (Outcome::Complete, Some(server.addr()))
        );
    }
    assert_eq!(count.load(Ordering::SeqCst), 1);
    tokio::time::sleep(Duration::from_millis(250)).await;
    caller.call(&request("r3")).await;
    assert_eq!(count.load(Ordering::SeqCst), 2);
    let unreachable = self::caller(Route::Lookup(vec![closed]), false)
        .call(&request("r4"))
        .await;
    assert_eq!(unreachable.outcome, Outcome::Lost { sent: false });
}

/// Guards against time windows that are not checked, and against conforming traffic that is
/// reported.
#[rstest]
#[case::burst_within(&[0, 0, 0], 0, 0)]
#[case::burst_above(&[0, 0, 0, 0, 0], 0, 2)]
#[case::steady(&[0, 0, 0, 100, 200, 300], 0, 0)]
#[case::steady_above(&[0, 0, 0, 100, 150, 200], 0, 1)]
#[case::any_order(&[200, 0, 150, 0, 100, 0], 0, 1)]
#[case::window_after_pause(&[0, 5_000, 5_000, 5_000, 5_000], 0, 1)]
#[case::jitter(&[0, 0, 0, 100, 150, 200], 100, 0)]
#[case::none(&[], 0, 0)]
fn requests_over_the_rate_limit_are_counted(
    #[case] times_ms: &[u64],
    #[case] jitter_ms: u64,
    #[case] over: u64,
) {
    let start = Instant::now();
    let times: Vec<_> = times_ms
        .iter()
        .map(|ms| start + Duration::from_millis(*ms))
        .collect();
    let limit = Limit {
        rate: 10.0,
        burst: 3.0,
    };
    assert_eq!(
        count_over_rate(&times, limit, Duration::from_millis(jitter_ms)),
        over
    );
}

/// Guards against violations that the comparison with the backend servers does not count.
#[test]
fn comparison_counts_every_violation() {
    let now = Instant::now();
    let call = |id: &str, idempotent, outcome| CallRecord {
        request_id: id.to_owned(),
        team: "orders".to_owned(),
        idempotent,
        sent: now,
        latency: Duration::ZERO,
        outcome,
        vm: None,
    };
    let run = |id: &str, team: &str| Run {
        request_id: id.to_owned(),
        team: Some(team.to_owned()),
        method: Method::POST,
        path: "/s/x".to_owned(),
        body_bytes: 0,
        arrived: now,
        started: now,
    };
    let report = LoadReport {
        teams: indexmap::IndexMap::new(),
        calls: vec![
            call("twice", false, Outcome::Complete),
            call("idempotent", true, Outcome::Complete),
            call("ran_after_not_run", false, refused(503, "x", true)),
            call("not_run", false, refused(503, "x", true)),
            call("unknown", false, refused(503, "x", false)),
            call("served_without_run", false, Outcome::Complete),
            call("wrong_team", false, Outcome::Complete),
        ],
        lost: 0,
        lost_unsent: 0,
        truncated: 0,
        wrong_response: 0,
    };
    let ids = [
        "twice",
        "idempotent",
        "idempotent",
        "idempotent",
        "ran_after_not_run",
        "unknown",
    ];
    let runs = ids.map(|id| run(id, "orders")).to_vec();
    let first = BackendRecords {
        runs,
        key_seen: 1,
        over_slots: 2,
        ..BackendRecords::default()
    };
    let runs = vec![run("twice", "orders"), run("wrong_team", "charts")];
    let second = BackendRecords {
        runs,
        over_slots: 1,
        ..BackendRecords::default()
    };
    let expected = BackendComparison {
        repeated: 1,
        rerun_idempotent: 2,
        key_seen_by_backend: 1,
        over_slots: 3,
        over_rate: 0,
        ran_after_not_run: 1,
        served_without_run: 1,
        wrong_team: 1,
    };
    let records = [first, second];
    assert_eq!(
        report.compare_with_backends(&records, Duration::ZERO),
        expected
    );
    let admitted = admitted_by_team(&records);
    assert_eq!((admitted["orders"].len(), admitted["charts"].len()), (4, 1));
}

/// Guards against a load that deviates from its rate, mix or seed, and against a report whose
/// counts are inconsistent.
#[tokio::test]
async fn load_follows_its_settings_and_report_is_consistent() {
    let server = start_backend(100).await;
    let mix = vec![
        RequestKind::chart("maatboek").weight(2),
        RequestKind::order("snijbank"),
        RequestKind::upload("scanbak", 20_000),
    ];
    let team = |name: &str, rate, burst| TeamLoad {
        key: Some(Key::new("fgk_1_secret")),
        burst,
        limit: Some(Limit {
            rate: 100.0,
            burst: 10.0,
        }),
        ..TeamLoad::new(name, rate, mix.clone())
    };
    let teams = vec![team("small", 20.0, 1), team("large", 400.0, 5)];
    let cfg = LoadConfig {
        seed: 7,
        ..LoadConfig::new(Route::Vms(vec![server.addr()]), teams)
    };
    let report = Load::new(cfg.clone()).run().await;
    let records = server.records();
    let sent: u64 = report.teams.values().map(|team| team.sent).sum();
    let served: u64 = report.teams.values().map(|team| team.served).sum();
    assert_eq!(
        (served, report.lost, report.truncated, report.wrong_response),
        (sent, 0, 0, 0)
    );
    assert_eq!(
        (records.runs.len() as u64, report.latency_us().len()),
        (sent, sent)
    );
    let large = &report.teams["large"];
    assert!(
        (250..550).contains(&large.sent) && large.sent % 5 == 0,
        "{} sent",
        large.sent
    );
    let posts = records
        .runs
        .iter()
        .filter(|run| run.method == Method::POST)
        .count() as u64;
    assert!(
        (sent / 8..sent / 2).contains(&posts),
        "{posts} of {sent} requests use POST"
    );
    let comparison = report.compare_with_backends(&[records], Duration::ZERO);
    assert_eq!(
        (
            comparison.key_seen_by_backend,
            comparison.repeated,
            comparison.over_slots
        ),
        (sent, 0, 0)
    );
    // A rate of 100 per second and a burst of 10 admit 110 requests in 1 s, and a few more because
    // the arrivals extend over slightly more than 1 s.
    assert!(
        (large.sent - 130..=large.sent - 100).contains(&comparison.over_rate),
        "{comparison:?}"
    );
    server.set_draining(true);
    let second_report = Load::new(cfg).run().await;
    assert_eq!(second_report.teams["large"].sent, large.sent);
    let drained = &second_report.teams["large"];
    assert_eq!(
        (drained.refused["x-drain"], drained.refused_not_run),
        (large.sent, large.sent)
    );
    assert!(
        (100..=130).contains(&drained.refused_within_rate),
        "{drained:?}"
    );
    assert_eq!(
        drained.refused_within_rate + drained.refused_over_rate,
        large.sent
    );
    assert_eq!(second_report.worst_team().unwrap().1.served, 0);
}

/// Guards against API keys in debug output.
#[test]
fn key_is_redacted_in_debug_output() {
    let cfg = CallerConfig {
        key: Some(Key::new("fgk_1_secret")),
        ..CallerConfig::default()
    };
    assert!(!format!("{cfg:?} {:?}", Caller::new(cfg.clone())).contains("secret"));
}

/// Guards against a closed backend server that still accepts connections or keeps its address
/// bound.
#[tokio::test]
async fn closed_backend_server_frees_its_address() {
    let server = start_backend(1).await;
    let addr = server.addr();
    server.close().await;
    assert!(send(addr, "GET", "/s/x", &[], "").await.is_none());
    let reopened = BackendServer::bind(addr, BackendConfig::default()).await;
    assert_eq!(reopened.unwrap().addr(), addr);
}
