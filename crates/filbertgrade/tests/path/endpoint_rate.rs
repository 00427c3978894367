//! Test of a backend server that names the rate of requests that it accepts from
//! all entries together.

use std::time::{Duration, Instant};

use filbertgrade_standins::backend::Run;
use http::Request;
use http_body_util::Full;
use tokio::task::JoinSet;

use crate::fleet::{Fleet, send};
use crate::scenario::ready_fleet;

/// Requests a second that the backend server names.
const RATE: f64 = 2.0;

/// Period over which its requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Sends 30 requests a second to each VM for `time`.
async fn send_load(fleet: &Fleet, secret: &str, time: Duration) {
    let started = Instant::now();
    let mut calls = JoinSet::new();
    while started.elapsed() < time {
        for vm in &fleet.vms {
            let address = vm.caller_address();
            let req = Request::get("/chart/card")
                .header("host", "chart")
                .header("authorization", format!("Bearer {secret}"))
                .body(Full::default())
                .unwrap();
            calls.spawn(async move { send(address, req).await.is_ok() });
        }
        tokio::time::sleep(Duration::from_millis(33)).await;
    }
    calls.join_all().await;
}

fn most_in_a_window(runs: &[Run]) -> usize {
    let count_from = |start: Instant| {
        let in_window = runs.iter().filter(|run| {
            let since = run.arrived.checked_duration_since(start);
            since.is_some_and(|since| since < WINDOW)
        });
        in_window.count()
    };
    let counts = runs.iter().map(|run| count_from(run.arrived));
    counts.max().unwrap_or(0)
}

/// Guards against entries that send a backend server in need more than the rate
/// that it names, against one that gets nothing any more, and against a limit that
/// does not end.
#[tokio::test(flavor = "multi_thread")]
async fn backend_gets_the_rate_that_it_names() {
    let (fleet, secret) = ready_fleet(3).await;
    let backend = &fleet.backends[0];
    send_load(&fleet, &secret, Duration::from_secs(1)).await;
    backend.set_rate_limit(Some(RATE));
    send_load(&fleet, &secret, Duration::from_secs(2)).await;
    let _ = backend.take_records();
    send_load(&fleet, &secret, 2 * WINDOW).await;
    let runs = backend.take_records().runs;
    let most = most_in_a_window(&runs);
    // One and a half times the limit, and 5 requests.
    let allowed = (RATE * WINDOW.as_secs_f64() * 1.5) as usize + 5;
    assert!(most <= allowed, "{most} requests in 4 s, allowed {allowed}");
    assert!(runs.len() >= 8, "{} requests in 8 s", runs.len());
    backend.set_rate_limit(None);
    send_load(&fleet, &secret, Duration::from_secs(2)).await;
    let _ = backend.take_records();
    send_load(&fleet, &secret, Duration::from_secs(2)).await;
    let after = backend.take_records().runs.len();
    assert!(after > 2 * allowed, "{after} requests in 2 s after the end");
}
