//! Property tests of the decision after a failed attempt, of the retry budget,
//! and of the limits that callers may set.

use std::time::{Duration, Instant};

use filbertgrade::request::{
    AttemptState, Failure, MAX_ATTEMPTS, MAX_DEADLINE, NextStep, RetryBudget, RetryContext,
    deadline_of, idempotency_key_of, next_step,
};
use http::{HeaderMap, HeaderValue};
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, prop_assume, proptest};
use proptest::sample::select;

fn failures() -> impl Strategy<Value = Failure> {
    select(vec![
        Failure::NoConnection,
        Failure::ConnectionLost { reused: false },
        Failure::ConnectionLost { reused: true },
        Failure::ConnectionTimedOut,
        Failure::DeadlinePassed,
        Failure::Shed,
        Failure::Draining,
        Failure::Misdirected,
        Failure::MalformedResponse,
        Failure::ForeignResponse,
        Failure::UnconfirmedRefusal,
        Failure::CallerSlow,
        Failure::CallerGone,
        Failure::ResponseTruncated,
    ])
}

fn contexts() -> impl Strategy<Value = RetryContext> {
    let state = select(vec![
        AttemptState::NotSent,
        AttemptState::PartlySent,
        AttemptState::FullySent,
        AttemptState::ResponseStarted,
    ]);
    (state, any::<[bool; 4]>(), 1_u32..6, -50_i64..50).prop_map(
        |(state, [idempotent, replayable, earlier_may_have_run, budget], attempts, left)| {
            let deadline = Instant::now() + Duration::from_secs(10);
            let offset = Duration::from_millis(left.unsigned_abs());
            let now = if left > 0 {
                deadline - offset
            } else {
                deadline + offset
            };
            RetryContext {
                state,
                idempotent,
                replayable,
                earlier_may_have_run,
                attempts,
                max_attempts: MAX_ATTEMPTS,
                budget_available: budget,
                deadline,
                now,
            }
        },
    )
}

fn is_explicit(failure: Failure) -> bool {
    matches!(
        failure,
        Failure::Shed | Failure::Draining | Failure::Misdirected
    )
}

proptest! {
    /// Guards against a non-idempotent request that runs twice: once a byte has
    /// been sent, only an explicit refusal permits sending it again.
    #[test]
    fn non_idempotent_request_is_not_sent_again_after_a_byte_was_sent(
        failure in failures(), context in contexts(),
    ) {
        prop_assume!(!context.idempotent && context.state > AttemptState::NotSent);
        prop_assume!(!is_explicit(failure));
        let step = next_step(failure, &context);
        prop_assert!(!matches!(step, NextStep::Retry { .. }), "{:?}", step);
    }

    /// Guards against a "not run" refusal of a request that may have run.
    #[test]
    fn not_run_refusal_is_true(failure in failures(), context in contexts()) {
        if let NextStep::RefuseNotRun(_) = next_step(failure, &context) {
            prop_assert!(context.state == AttemptState::NotSent || is_explicit(failure));
            prop_assert!(!context.earlier_may_have_run);
        }
    }

    /// Guards against an "unknown" refusal of a request that did not run,
    /// because callers cannot safely repeat such a request.
    #[test]
    fn unknown_refusal_requires_a_possible_run(failure in failures(), context in contexts()) {
        if let NextStep::RefuseUnknown(_) = next_step(failure, &context) {
            let sent = context.state > AttemptState::NotSent && !is_explicit(failure);
            prop_assert!(sent || context.earlier_may_have_run);
        }
    }

    /// Guards against retries beyond the budget, the deadline or the number of
    /// attempts, and against retries without the body.
    #[test]
    fn retries_are_bounded(failure in failures(), context in contexts()) {
        if let NextStep::Retry { spends_budget, .. } = next_step(failure, &context) {
            prop_assert!(context.now < context.deadline);
            prop_assert!(context.replayable && context.attempts < 4);
            prop_assert!(!spends_budget || context.budget_available);
            let sent = context.state > AttemptState::NotSent && !is_explicit(failure);
            prop_assert_eq!(spends_budget, sent);
        }
    }

    /// Guards against a second response after the first one has started.
    #[test]
    fn response_that_started_is_aborted(context in contexts()) {
        prop_assume!(context.state == AttemptState::ResponseStarted);
        for failure in [Failure::ResponseTruncated, Failure::DeadlinePassed] {
            prop_assert_eq!(next_step(failure, &context), NextStep::AbortResponse);
        }
    }

    /// Guards against a retry storm: at most a tenth of the requests may be
    /// retried, plus the minimum budget of 3 and one more for each second.
    #[test]
    fn retry_budget_follows_traffic(steps in proptest::collection::vec((0_u8..20, 0_u64..200), 1..200)) {
        let start = Instant::now();
        let mut now = start;
        let mut budget = RetryBudget::new(start);
        let (mut requests, mut retries) = (0_u32, 0_u32);
        for (new_requests, pause) in steps {
            now += Duration::from_millis(pause);
            for _ in 0..new_requests {
                budget.count_request();
                requests += 1;
            }
            while budget.spend(now) {
                retries += 1;
            }
        }
        let allowed = f64::from(requests) * 0.1 + 3.0 + (now - start).as_secs_f64();
        prop_assert!(f64::from(retries) <= allowed + 1e-6);
    }

    /// Guards against a panic or an integer overflow for any header a caller
    /// can send.
    #[test]
    fn any_deadline_is_bounded_or_refused_as_not_run(text in any::<Vec<u8>>(), ms in any::<u64>()) {
        for value in [text, ms.to_string().into_bytes()] {
            let Ok(value) = HeaderValue::from_bytes(&value) else { continue };
            let mut headers = HeaderMap::new();
            headers.insert("x-deadline-ms", value.clone());
            headers.insert("idempotency-key", value);
            match deadline_of(&headers) {
                Ok(time) => prop_assert!(!time.is_zero() && time <= MAX_DEADLINE),
                Err(refusal) => prop_assert!(refusal.is_not_run()),
            }
            match idempotency_key_of(&headers) {
                Ok(key) => prop_assert!(key.is_some_and(|key| key.len() <= 255)),
                Err(refusal) => prop_assert!(refusal.is_not_run()),
            }
        }
    }
}
