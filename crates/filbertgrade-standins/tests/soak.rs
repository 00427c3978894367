//! Tests that each check of the soak can fail, and that a seed reproduces its plan.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

use std::time::{Duration, Instant};

use filbertgrade_standins::soak::Plan;
use filbertgrade_standins::soak::promises::{
    EndpointPeriod, History, PauseRequest, Promise, RequestOutcome, RequestRun, SentRequest,
    StopPeriod, TeamLimit,
};
use rstest::rstest;

/// Returns a history that keeps all promises: one request every 200 ms for 40 s, each with a valid
/// response.
fn kept_history(start: Instant) -> History {
    let mut history = History {
        cold_rate: 3.5,
        ..History::default()
    };
    let limit = TeamLimit {
        rate: 10.0,
        burst: 10.0,
    };
    history.limits.insert("atelier", limit);
    for number in 0..200_u32 {
        let at = start + Duration::from_millis(200) * number;
        let id = format!("q{number}");
        let sent = SentRequest {
            idempotent: number % 2 == 0,
            team: "atelier",
            key: "key".into(),
            at,
            vm: 0,
        };
        history.sent.insert(id.clone(), sent);
        let outcome = RequestOutcome {
            status: 200,
            is_valid: true,
            is_cut: false,
            announces_end: false,
            ended_at: at + Duration::from_millis(20),
        };
        history.outcomes.insert(id.clone(), outcome);
        let endpoint = usize::try_from(number % 3).unwrap();
        history.runs.push(RequestRun { id, endpoint, at });
    }
    history
}

/// Records one more run of the request `id`.
fn record_run(history: &mut History, id: &str, endpoint: usize, at: Instant) {
    let id = id.to_owned();
    history.runs.push(RequestRun { id, endpoint, at });
}

/// Changes a history so that it breaks the given promise and no other.
fn break_promise(history: &mut History, promise: Promise, start: Instant) {
    let at = |seconds| start + Duration::from_secs(seconds);
    match promise {
        Promise::AtMostOnce => record_run(history, "q1", 2, at(1)),
        Promise::OwnAnswer => history.outcomes.get_mut("q7").unwrap().is_valid = false,
        Promise::TrueRefusal => history.outcomes.get_mut("q8").unwrap().status = 503,
        Promise::Rate => {
            for _ in 0..90 {
                record_run(history, "q2", 0, at(20));
            }
        }
        Promise::WithdrawnKey => drop(history.withdrawn_keys.insert("key".into(), at(10))),
        Promise::Version => drop(history.versions.insert("vm-0.1".into(), vec![1, 4, 4])),
        Promise::Leaving => history.leaving_periods.push(EndpointPeriod {
            endpoint: 1,
            from: at(3),
            until: Some(at(20)),
        }),
        Promise::ColdRate => {
            let until = Some(at(13));
            history.cold_periods.push(EndpointPeriod {
                endpoint: 2,
                from: at(10),
                until,
            });
            for _ in 0..14 {
                record_run(history, "q4", 2, at(11));
            }
        }
        Promise::AnnouncedEnd => {
            history.announced_ends.push(EndpointPeriod {
                endpoint: 0,
                from: at(1),
                until: Some(at(30)),
            });
            history.outcomes.get_mut("q9").unwrap().announces_end = true;
        }
        Promise::Pause => {
            history.pauses.push(PauseRequest {
                vm: 0,
                endpoint: 0,
                at: at(5),
                length: Duration::from_secs(3),
            });
            for number in 29..32 {
                let id = format!("q{number}");
                let at = at(6);
                let endpoint = 0;
                history.arrivals.push(RequestRun { id, endpoint, at });
            }
        }
        Promise::GracefulStop => history.failed_stops.push("vm-1 runs".into()),
        Promise::AnsweredStop => {
            history.stops.push(StopPeriod {
                vm: 0,
                from: at(4),
                until: Some(at(5)),
            });
            let outcome = history.outcomes.get_mut("q21").unwrap();
            (outcome.status, outcome.is_cut) = (0, true);
        }
        Promise::Recovery => {
            history.recovery_deadline = Some(at(1));
            for number in 20..40 {
                history
                    .outcomes
                    .get_mut(&format!("q{number}"))
                    .unwrap()
                    .status = 502;
            }
        }
    }
}

/// Guards against a check that never fails, and against one that fails although its promise was
/// kept.
#[rstest]
fn each_check_finds_its_violation_and_no_other(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] number: usize,
) {
    let promise = Promise::ALL[number];
    let start = Instant::now();
    let mut history = kept_history(start);
    assert_eq!(history.violations(), []);
    break_promise(&mut history, promise, start);
    let broken: Vec<_> = history.violations().iter().map(|v| v.promise).collect();
    assert_eq!(broken, [promise]);
}

/// Guards against a refused request whose run is overlooked because it started after the refusal.
#[rstest]
fn run_after_the_refusal_is_found(#[values(408, 421, 429, 503)] status: u16) {
    let start = Instant::now();
    let mut history = kept_history(start);
    history.runs.retain(|run| run.id != "q9");
    history.outcomes.get_mut("q9").unwrap().status = status;
    assert_eq!(history.violations(), []);
    record_run(&mut history, "q9", 0, start + Duration::from_secs(6));
    assert_eq!(history.violations()[0].promise, Promise::TrueRefusal);
}

/// Guards against a violation that is reported although the VM was restarted since the endpoint
/// said that it leaves, or asked for a pause.
#[rstest]
#[case(Promise::AnnouncedEnd)]
#[case(Promise::Pause)]
fn restarted_vm_need_not_know_what_endpoints_said(#[case] promise: Promise) {
    let start = Instant::now();
    let mut history = kept_history(start);
    break_promise(&mut history, promise, start);
    let seconds = [3, 4, 5, 6, 7, 8];
    let times = seconds.map(|s| (0, start + Duration::from_secs(s)));
    history.disturbances.extend(times);
    let broken: Vec<_> = history.violations().iter().map(|v| v.promise).collect();
    assert_eq!(broken, []);
}

/// Guards against a violation that is reported although another process had the endpoint's address
/// by then, which said none of it.
#[rstest]
#[case(Promise::AnnouncedEnd, 2)]
#[case(Promise::Pause, 5)]
#[case(Promise::ColdRate, 10)]
fn what_a_process_said_ends_with_it(#[case] promise: Promise, #[case] said_at: u64) {
    let start = Instant::now();
    let mut history = kept_history(start);
    break_promise(&mut history, promise, start);
    let broken: Vec<_> = history.violations().iter().map(|v| v.promise).collect();
    assert_eq!(broken, [promise]);
    for endpoint in 0..3 {
        let ended_at = start + Duration::from_secs(said_at) + Duration::from_millis(100);
        history.end_of_process(endpoint, ended_at);
    }
    assert_eq!(history.violations(), []);
}

/// Guards against a violation that is reported although VMs could not learn of the drain, because
/// the store was unavailable.
#[test]
fn requests_to_a_leaving_endpoint_are_tolerated_while_vms_may_be_stale() {
    let start = Instant::now();
    let mut history = kept_history(start);
    break_promise(&mut history, Promise::Leaving, start);
    let period = (start, start + Duration::from_secs(60));
    history.stale_periods.push(period);
    assert_eq!(history.violations(), []);
}

/// Guards against a seed that does not reproduce its plan, so that a failed run could not be
/// repeated.
#[test]
fn same_seed_gives_the_same_plan() {
    let plan = |seed| Plan::new(seed, Duration::from_secs(60), 5, 9, 3);
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
    assert!(plan(7).faults.len() > 10);
}
