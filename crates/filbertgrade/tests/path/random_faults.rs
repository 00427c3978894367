//! Random faults under load: what callers are told must be true.

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

/// Time for which faults are injected.
const RUN: Duration = Duration::from_secs(4);

/// Times that a caller sends an order with the same idempotency key, until it
/// gets its answer.
const KEYED_SENDS: usize = 4;

/// Callers that send one request after the other.
const CALLERS: u64 = 6;

/// How a request ended for its caller.
#[derive(Debug)]
struct End {
    id: String,
    order: bool,
    /// Status and outcome header; `None` when the answer was cut or missing.
    answer: Option<(u16, Option<String>)>,
}

/// Guards against an order that runs twice, a refusal as not run of a request
/// that ran, and an answer of another request, under any mix of faults.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn what_callers_are_told_is_true(#[values(1, 2, 3)] seed: u64) {
    let (fleet, secret) = ready_fleet(2).await;
    let until = Instant::now() + RUN;
    let vms = [fleet.vms[0].callers(), fleet.vms[1].callers()];
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| tokio::spawn(call(vms, secret.clone(), seed * 100 + n, until)))
        .collect();
    inject(&fleet, seed, until).await;
    let mut ends = Vec::new();
    for caller in callers {
        ends.extend(caller.await.unwrap());
    }

    let mut whole = 0;
    for end in &ends {
        let ran: u64 = fleet.backends.iter().map(|b| b.run_count(&end.id)).sum();
        if end.order {
            assert!(ran <= 1, "ran {ran} times: {end:?}");
        }
        match &end.answer {
            Some((_, Some(outcome))) if outcome == "not_run" => {
                assert_eq!(ran, 0, "{end:?}");
            }
            Some((200, None)) => {
                assert!(ran >= 1, "{end:?}");
                whole += 1;
            }
            _ => {}
        }
    }
    assert!(
        whole > ends.len() / 4,
        "{whole} of {} are whole",
        ends.len()
    );
}

async fn inject(fleet: &Fleet, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    while Instant::now() < until {
        let n = rng.random_range(0..2);
        let (backend, proxy) = (&fleet.backends[n], &fleet.proxies[n]);
        match rng.random_range(0..11) {
            0 => backend.withhold_next_responses(1),
            1 => backend.cut_next_responses(2, 300),
            2 => backend.close_next_unread(2),
            3 => backend.freeze_open_connections(),
            4 => proxy.cut_open(),
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

async fn call(vms: [SocketAddr; 2], secret: String, seed: u64, until: Instant) -> Vec<End> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut ends: Vec<End> = Vec::new();
    while Instant::now() < until {
        let id = format!("{seed}-{}", ends.len());
        let order = rng.random_bool(0.6);
        let keyed = order && rng.random_bool(0.3);
        let body = Bytes::from(vec![b'x'; rng.random_range(0..3000)]);
        let req = Request::builder()
            .method(if order { "POST" } else { "GET" })
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
        let mut end = end_of(vms[first], req.clone(), &id, &expected).await;
        let mut sends = 1;
        while keyed && sends < KEYED_SENDS && !matches!(end, Some((200, _))) {
            end = end_of(vms[(first + sends) % 2], req.clone(), &id, &expected).await;
            sends += 1;
        }
        if keyed && sends > 1 {
            // It tells about the last attempt only.
            end = end.filter(|(status, _)| *status == 200);
        }
        ends.push(End {
            id,
            order,
            answer: end,
        });
    }
    ends
}

async fn end_of(
    vm: SocketAddr,
    req: Request<Full<Bytes>>,
    id: &str,
    expected: &Bytes,
) -> Option<(u16, Option<String>)> {
    let answer = send(vm, req).await.ok()?;
    let outcome = answer.headers().get("filbertgrade-outcome");
    let outcome = outcome.and_then(|o| o.to_str().ok()).map(str::to_owned);
    let status = answer.status().as_u16();
    if status == 200 {
        assert!(answer.body() == expected, "another answer to {id}");
    }
    Some((status, outcome))
}
