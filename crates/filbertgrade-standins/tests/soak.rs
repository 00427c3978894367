//! The checks of the soak can fail, and its plans can be played again.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

use std::time::{Duration, Instant};

use filbertgrade_standins::soak::Plan;
use filbertgrade_standins::soak::promises::{Ended, Ledger, Promise, Ran, Sent, Span, TeamLimit};
use rstest::rstest;

fn ledger(start: Instant) -> Ledger {
    let mut ledger = Ledger {
        cold_rate: 3.5,
        ..Ledger::default()
    };
    let limit = TeamLimit {
        rate: 10.0,
        burst: 10.0,
    };
    ledger.limits.insert("atelier", limit);
    // Kept: one request in 200 ms for 40 s, answered well.
    for number in 0..200_u32 {
        let at = start + Duration::from_millis(200) * number;
        let id = format!("q{number}");
        let sent = Sent {
            idempotent: number % 2 == 0,
            team: "atelier",
            key: "key".into(),
            at,
        };
        ledger.sent.insert(id.clone(), sent);
        let ended = Ended {
            status: 200,
            own: true,
        };
        ledger.ended.insert(id.clone(), ended);
        let endpoint = usize::try_from(number % 3).unwrap();
        ledger.ran.push(Ran { id, endpoint, at });
    }
    ledger
}

fn run(ledger: &mut Ledger, id: &str, endpoint: usize, at: Instant) {
    let id = id.to_owned();
    ledger.ran.push(Ran { id, endpoint, at });
}

fn break_promise(ledger: &mut Ledger, promise: Promise, start: Instant) {
    let at = |seconds| start + Duration::from_secs(seconds);
    match promise {
        Promise::AtMostOnce => run(ledger, "q1", 2, at(1)),
        Promise::OwnAnswer => ledger.ended.get_mut("q7").unwrap().own = false,
        Promise::TrueRefusal => ledger.ended.get_mut("q8").unwrap().status = 503,
        Promise::Rate => {
            for _ in 0..90 {
                run(ledger, "q2", 0, at(20));
            }
        }
        Promise::WithdrawnKey => drop(ledger.withdrawn.insert("key".into(), at(10))),
        Promise::Version => drop(ledger.versions.insert("vm-0.1".into(), vec![1, 4, 4])),
        Promise::Leaving => ledger.leaving.push(Span {
            endpoint: 1,
            from: at(3),
            until: Some(at(20)),
        }),
        Promise::ColdRate => {
            let until = Some(at(13));
            ledger.cold.push(Span {
                endpoint: 2,
                from: at(10),
                until,
            });
            for _ in 0..14 {
                run(ledger, "q4", 2, at(11));
            }
        }
        Promise::GracefulStop => ledger.bad_stops.push("vm-1 runs".into()),
        Promise::Recovery => {
            ledger.recovered_at = Some(at(1));
            for number in 20..40 {
                ledger.ended.get_mut(&format!("q{number}")).unwrap().status = 502;
            }
        }
    }
}

/// Guards against a check that passes whatever happens, and one that fails
/// where the promise was kept.
#[rstest]
fn each_check_finds_its_violation_and_no_other(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9)] number: usize,
) {
    let promise = Promise::ALL[number];
    let start = Instant::now();
    let mut ledger = ledger(start);
    assert_eq!(ledger.violations(), []);
    break_promise(&mut ledger, promise, start);
    let broken: Vec<_> = ledger.violations().iter().map(|v| v.promise).collect();
    assert_eq!(broken, [promise]);
}

/// Guards against a violation that is reported for VMs that could not know.
#[test]
fn endpoint_that_leaves_may_get_requests_while_vms_are_out_of_touch() {
    let start = Instant::now();
    let mut ledger = ledger(start);
    break_promise(&mut ledger, Promise::Leaving, start);
    let out = (start, start + Duration::from_secs(60));
    ledger.out_of_touch.push(out);
    assert_eq!(ledger.violations(), []);
}

/// Guards against a seed that cannot be played again.
#[test]
fn same_seed_gives_the_same_plan() {
    let plan = |seed| Plan::new(seed, Duration::from_secs(60), 5, 9, 3);
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
    assert!(plan(7).faults.len() > 10);
}
