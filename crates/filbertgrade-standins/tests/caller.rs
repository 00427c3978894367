//! Callers classify every ending correctly, and reports count every violation.

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
use support::{ANY, call};

/// A VM that answers each request with `answer`. Returns its address and its number of requests.
async fn vm(
    answer: impl Fn() -> Response<Full<Bytes>> + Clone + Send + 'static,
) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = tokio::net::TcpListener::bind(ANY)
        .await
        .expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let count = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (answer, counter) = (answer.clone(), Arc::clone(&counter));
            let service = service_fn(move |_: Request<_>| {
                counter.fetch_add(1, Ordering::SeqCst);
                let answer = answer();
                async { Ok::<_, Infallible>(answer) }
            });
            let builder = hyper::server::conn::http1::Builder::new();
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
    (addr, count)
}

async fn backend(slots: usize) -> BackendServer {
    let service_time = ServiceTime::Fixed(Duration::ZERO);
    let cfg = BackendConfig {
        slots,
        service_time,
        ..BackendConfig::default()
    };
    BackendServer::bind(ANY, cfg).await.expect("a free port")
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

/// Guards against endings that are classified as another one, over both versions of HTTP.
#[rstest]
#[case::whole(|_: &BackendServer| (), Outcome::Complete)]
#[case::cut(|server: &BackendServer| server.cut_next_responses(1, 500), Outcome::Cut)]
#[case::swallowed(|server: &BackendServer| server.withhold_next_responses(1), Outcome::Lost { sent: true })]
#[case::closed(|server: &BackendServer| server.close_next_unread(1), Outcome::Lost { sent: true })]
#[case::drained(|server: &BackendServer| server.set_draining(true), refused(503, "x-drain", true))]
#[case::silent(|server: &BackendServer| server.freeze_open_connections(), Outcome::Lost { sent: true })]
#[tokio::test]
async fn endings(
    #[case] fault: fn(&BackendServer),
    #[case] outcome: Outcome,
    #[values(false, true)] http2: bool,
) {
    let server = backend(1).await;
    let caller = caller(Route::Vms(vec![server.addr()]), http2);
    // The fault meets a kept-alive connection.
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

/// Guards against foreign or silently truncated answers that pass, and against misread refusals.
#[rstest]
#[case::foreign(200, &[], expected_response("other", b"order", 1_000), Outcome::WrongAnswer)]
#[case::truncated(200, &[], expected_response("r", b"order", 999), Outcome::WrongAnswer)]
#[case::not_run(
    429,
    &[("filbertgrade-cause", "over_rate"), ("filbertgrade-outcome", "not_run")],
    Bytes::new(),
    refused(429, "over_rate", true)
)]
#[case::unknown(
    504,
    &[("filbertgrade-cause", "silence"), ("filbertgrade-outcome", "unknown")],
    Bytes::new(),
    refused(504, "silence", false)
)]
#[case::shed_unknown(
    503,
    &[("x-shed", "1"), ("filbertgrade-outcome", "unknown")],
    Bytes::new(),
    refused(503, "x-shed", false)
)]
#[case::plain(500, &[], Bytes::new(), refused(500, "status_500", false))]
#[tokio::test]
async fn answers(
    #[case] status: u16,
    #[case] headers: &'static [(&str, &str)],
    #[case] body: Bytes,
    #[case] outcome: Outcome,
) {
    let answer = move || {
        let answer = Response::builder().status(status);
        let answer = headers
            .iter()
            .fold(answer, |answer, (name, value)| answer.header(*name, *value));
        answer.body(Full::new(body.clone())).unwrap()
    };
    let (addr, _) = vm(answer).await;
    let result = caller(Route::Vms(vec![addr]), false)
        .call(&request("r"))
        .await;
    assert_eq!((result.outcome, result.vm), (outcome, Some(addr)));
}

/// Guards against look-ups for every request, look-ups that never expire, and callers that give up
/// on the first dead VM of an answer or at the first dead look-up server.
#[tokio::test]
async fn lookups() {
    let server = backend(1).await;
    let closed = tokio::net::TcpListener::bind(ANY)
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let body = serde_json::json!({"ttl_ms": 200, "vms": [
        {"vm": "dead", "address": closed.to_string(), "region": "rhone"},
        {"vm": "live", "address": server.addr().to_string(), "region": "rhone"},
    ]});
    let (addr, count) = vm(move || Response::new(Full::from(body.to_string()))).await;
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
    let nowhere = self::caller(Route::Lookup(vec![closed]), false)
        .call(&request("r4"))
        .await;
    assert_eq!(nowhere.outcome, Outcome::Lost { sent: false });
}

/// Guards against windows that are not checked, and against conforming traffic that is reported.
#[rstest]
#[case::burst_within(&[0, 0, 0], 0, 0)]
#[case::burst_above(&[0, 0, 0, 0, 0], 0, 2)]
#[case::steady(&[0, 0, 0, 100, 200, 300], 0, 0)]
#[case::steady_above(&[0, 0, 0, 100, 150, 200], 0, 1)]
#[case::any_order(&[200, 0, 150, 0, 100, 0], 0, 1)]
#[case::late_window(&[0, 5_000, 5_000, 5_000, 5_000], 0, 1)]
#[case::jitter(&[0, 0, 0, 100, 150, 200], 100, 0)]
#[case::none(&[], 0, 0)]
fn rate_windows(#[case] times_ms: &[u64], #[case] jitter_ms: u64, #[case] over: u64) {
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

/// Guards against violations that the comparison with the back ends does not count.
#[test]
fn joined_counts() {
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
            call("again", true, Outcome::Complete),
            call("false", false, refused(503, "x", true)),
            call("true", false, refused(503, "x", true)),
            call("unknown", false, refused(503, "x", false)),
            call("invented", false, Outcome::Complete),
            call("foreign", false, Outcome::Complete),
        ],
        lost: 0,
        lost_unsent: 0,
        cut: 0,
        wrong_answer: 0,
    };
    let ids = ["twice", "again", "again", "again", "false", "unknown"];
    let runs = ids.map(|id| run(id, "orders")).to_vec();
    let first = BackendRecords {
        runs,
        key_seen: 1,
        over_slots: 2,
        ..BackendRecords::default()
    };
    let runs = vec![run("twice", "orders"), run("foreign", "charts")];
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

/// Guards against a load that misses its rate, its mix or its seed, and against a report that does
/// not add up.
#[tokio::test]
async fn load_report() {
    let server = backend(100).await;
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
        (served, report.lost, report.cut, report.wrong_answer),
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
        "{posts} of {sent} are orders"
    );
    let joined = report.compare_with_backends(&[records], Duration::ZERO);
    assert_eq!(
        (
            joined.key_seen_by_backend,
            joined.repeated,
            joined.over_slots
        ),
        (sent, 0, 0)
    );
    // 100 per second and a burst of 10 admit at most 110 and a few in a bit more than 1 s.
    assert!(
        (large.sent - 130..=large.sent - 100).contains(&joined.over_rate),
        "{joined:?}"
    );
    server.set_draining(true);
    let again = Load::new(cfg).run().await;
    assert_eq!(again.teams["large"].sent, large.sent);
    let drained = &again.teams["large"];
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
    assert_eq!(again.worst_team().unwrap().1.served, 0);
}

/// Guards against keys in debug output.
#[test]
fn key_is_redacted() {
    let cfg = CallerConfig {
        key: Some(Key::new("fgk_1_secret")),
        ..CallerConfig::default()
    };
    assert!(!format!("{cfg:?} {:?}", Caller::new(cfg.clone())).contains("secret"));
}

/// Guards against a test server whose address another test takes over.
#[tokio::test]
async fn closed_backend_frees_its_address() {
    let server = backend(1).await;
    let addr = server.addr();
    server.close().await;
    assert!(call(addr, "GET", "/s/x", &[], "").await.is_none());
    let again = BackendServer::bind(addr, BackendConfig::default()).await;
    assert_eq!(again.unwrap().addr(), addr);
}
