//! Test under load with random faults that the outcomes reported to callers are
//! true.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_standins::backend::expected_response;
use filbertgrade_standins::proxy::{Direction, Fault};
use http::Request;
use http_body_util::Full;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::fleet::{Fleet, send};
use crate::scenario::ready_fleet;

/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(4);

/// Maximum number of times that a caller sends a request with the same
/// idempotency key before it gives up.
const MAX_KEYED_SENDS: usize = 4;

/// Number of callers. Each sends one request after the other.
const CALLER_COUNT: u64 = 6;

/// Result of a request as its caller observed it.
#[derive(Debug)]
struct RequestResult {
    id: String,
    non_idempotent: bool,
    /// Status and outcome header; `None` when the response was truncated or missing.
    response: Option<(u16, Option<String>)>,
}

/// Guards, under any mix of faults, against a non-idempotent request that runs
/// twice, a "not run" refusal of a request that ran, and a response that
/// belongs to another request.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn reported_outcomes_match_the_runs(#[values(1, 2, 3)] seed: u64) {
    let (fleet, secret) = ready_fleet(2).await;
    let until = Instant::now() + FAULT_DURATION;
    let vms = [fleet.vms[0].caller_address(), fleet.vms[1].caller_address()];
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|n| tokio::spawn(run_caller(vms, secret.clone(), seed * 100 + n, until)))
        .collect();
    inject_faults(&fleet, seed, until).await;
    let mut results = Vec::new();
    for caller in callers {
        results.extend(caller.await.unwrap());
    }

    let mut served = 0;
    for result in &results {
        let ran: u64 = fleet.backends.iter().map(|b| b.run_count(&result.id)).sum();
        if result.non_idempotent {
            assert!(ran <= 1, "ran {ran} times: {result:?}");
        }
        match &result.response {
            Some((_, Some(outcome))) if outcome == "not_run" => {
                assert_eq!(ran, 0, "{result:?}");
            }
            Some((200, None)) => {
                assert!(ran >= 1, "{result:?}");
                served += 1;
            }
            _ => {}
        }
    }
    assert!(
        served > results.len() / 4,
        "{served} of {} requests were served",
        results.len()
    );
}

async fn inject_faults(fleet: &Fleet, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    while Instant::now() < until {
        let n = rng.random_range(0..2);
        let (backend, proxy) = (&fleet.backends[n], &fleet.proxies[n]);
        match rng.random_range(0..11) {
            0 => backend.withhold_next_responses(1),
            1 => backend.truncate_next_responses(2, 300),
            2 => backend.close_next_unread(2),
            3 => backend.freeze_open_connections(),
            4 => proxy.reset_open(),
            5 => proxy.freeze_open(),
            6 => backend.set_draining(rng.random_bool(0.3)),
            7 => {
                let fault = Fault {
                    truncate_after: Some(rng.random_range(0..3000)),
                    ..Fault::default()
                };
                let direction = if rng.random_bool(0.5) {
                    Direction::ToServer
                } else {
                    Direction::ToClient
                };
                proxy.set_fault(direction, fault);
            }
            8 => fleet.platform.drop_next_responses(2),
            9 => {
                fleet.platform.set_down(true);
                tokio::time::sleep(Duration::from_millis(150)).await;
                fleet.platform.set_down(false);
            }
            _ => {
                proxy.clear_faults();
                backend.set_draining(false);
            }
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

async fn run_caller(
    vms: [SocketAddr; 2],
    secret: String,
    seed: u64,
    until: Instant,
) -> Vec<RequestResult> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut results: Vec<RequestResult> = Vec::new();
    while Instant::now() < until {
        let id = format!("{seed}-{}", results.len());
        let non_idempotent = rng.random_bool(0.6);
        let keyed = non_idempotent && rng.random_bool(0.3);
        let body = Bytes::from(vec![b'x'; rng.random_range(0..3000)]);
        let req = Request::builder()
            .method(if non_idempotent { "POST" } else { "GET" })
            .uri("/chart/x?bytes=1000&chunked=1")
            .header("host", "chart")
            .header("x-request-id", &id)
            .header("x-deadline-ms", "400")
            .header("idempotency-key", if keyed { &id } else { "unused" })
            .header("authorization", format!("Bearer {secret}"));
        let mut req = req.body(Full::new(body.clone())).unwrap();
        if !keyed {
            req.headers_mut().remove("idempotency-key");
        }
        let expected = expected_response(&id, &body, 1000);
        let first = seed as usize % 2;
        let mut result = send_and_check(vms[first], req.clone(), &id, &expected).await;
        let mut sends = 1;
        while keyed && sends < MAX_KEYED_SENDS && !matches!(result, Some((200, _))) {
            result = send_and_check(vms[(first + sends) % 2], req.clone(), &id, &expected).await;
            sends += 1;
        }
        if keyed && sends > 1 {
            // A refusal describes the last attempt only, so it is not compared
            // with the number of runs of all attempts.
            result = result.filter(|(status, _)| *status == 200);
        }
        results.push(RequestResult {
            id,
            non_idempotent,
            response: result,
        });
    }
    results
}

async fn send_and_check(
    vm: SocketAddr,
    req: Request<Full<Bytes>>,
    id: &str,
    expected: &Bytes,
) -> Option<(u16, Option<String>)> {
    let response = send(vm, req).await.ok()?;
    let outcome = response.headers().get("filbertgrade-outcome");
    let outcome = outcome.and_then(|o| o.to_str().ok()).map(str::to_owned);
    let status = response.status().as_u16();
    if status == 200 {
        assert!(
            response.body() == expected,
            "{id} got the response of another request"
        );
    }
    Some((status, outcome))
}
