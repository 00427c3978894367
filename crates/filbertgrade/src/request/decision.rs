//! What to do after an attempt failed.

use std::time::Instant;

use super::{AttemptState, Cause};

/// Endpoints that one request may try. More would spend the caller's time on
/// a service that is busy as a whole.
pub const MOST_ATTEMPTS: u32 = 4;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection to the backend server could be made.
    NoConnection,
    /// The connection ended before the answer began.
    ConnectionLost {
        /// The connection had carried another request before.
        reused: bool,
    },
    /// A reused connection stayed silent for longer than a connection that
    /// works would; the deadline has not passed.
    ConnectionSilent,
    /// No answer came before the deadline.
    DeadlinePassed,
    /// The backend server refused because its slots are busy.
    Shed,
    /// The backend server refused because it is draining.
    Draining,
    /// Another backend server has the address, and refused.
    Mismatched,
    /// What the backend server sent is not an answer whose end can be told.
    Malformed,
    /// The caller's body came too slowly.
    CallerSlow,
    /// The caller's body ended before its announced end.
    CallerGone,
    /// The answer ended before its end.
    AnswerCut,
}

/// What a decision stands on besides the failure.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// How far the failed attempt got.
    pub state: AttemptState,
    /// The request may run more than once.
    pub idempotent: bool,
    /// The whole body can be sent again.
    pub replayable: bool,
    /// An earlier attempt of the same request may have run.
    pub earlier_may_have_run: bool,
    /// Attempts so far, with the failed one.
    pub attempts: u32,
    /// Endpoints that the request may be sent to.
    pub most_attempts: u32,
    /// The retry budget has room for one more.
    pub budget: bool,
    /// The caller's deadline.
    pub deadline: Instant,
    /// Time of the decision.
    pub now: Instant,
}

/// What to do next with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it again.
    Retry {
        /// Not to the same endpoint.
        elsewhere: bool,
        /// It counts against the retry budget, because the failed attempt may
        /// have cost a backend server work.
        spends_budget: bool,
    },
    /// Refuse it: no backend server ran it.
    RefuseNotRun(Cause),
    /// Refuse it: a backend server may have run it.
    RefuseUnknown(Cause),
    /// End the answer that began as an aborted stream.
    AbortAnswer,
}

/// Decides what to do after a failed attempt.
#[must_use]
pub fn next_step(failure: Failure, situation: &Situation) -> NextStep {
    let explicit = failure.is_explicit_refusal();
    if situation.state == AttemptState::AnswerBegun && !explicit && failure != Failure::Malformed {
        return NextStep::AbortAnswer;
    }
    let ran = may_have_run(failure, situation.state);
    if may_retry(failure, ran, situation) {
        return NextStep::Retry {
            elsewhere: failure.concerns_endpoint(),
            spends_budget: ran,
        };
    }
    let cause = if !explicit && situation.now >= situation.deadline && !ran {
        Cause::DeadlinePassed
    } else {
        failure.cause()
    };
    if ran || situation.earlier_may_have_run {
        NextStep::RefuseUnknown(cause)
    } else {
        NextStep::RefuseNotRun(cause)
    }
}

/// Whether a backend server may have run the request of a failed attempt.
#[must_use]
pub fn may_have_run(failure: Failure, state: AttemptState) -> bool {
    state > AttemptState::NotSent && !failure.is_explicit_refusal()
}

fn may_retry(failure: Failure, ran: bool, situation: &Situation) -> bool {
    let lasting = matches!(
        failure,
        Failure::DeadlinePassed | Failure::CallerSlow | Failure::CallerGone
    );
    let permitted = !ran || (situation.idempotent && situation.budget);
    !lasting
        && permitted
        && situation.replayable
        && situation.attempts < situation.most_attempts
        && situation.now < situation.deadline
}

impl Failure {
    /// The backend server said that it did not run the request.
    #[must_use]
    pub fn is_explicit_refusal(self) -> bool {
        matches!(self, Self::Shed | Self::Draining | Self::Mismatched)
    }

    /// The endpoint failed, not only one old connection to it.
    fn concerns_endpoint(self) -> bool {
        !matches!(
            self,
            Self::ConnectionLost { reused: true } | Self::ConnectionSilent
        )
    }

    fn cause(self) -> Cause {
        match self {
            Self::NoConnection
            | Self::ConnectionLost { .. }
            | Self::Malformed
            | Self::AnswerCut => Cause::BackendFailed,
            Self::ConnectionSilent | Self::DeadlinePassed => Cause::BackendSilent,
            Self::Shed => Cause::Busy,
            Self::Draining | Self::Mismatched => Cause::NoEndpoint,
            Self::CallerSlow => Cause::SlowBody,
            Self::CallerGone => Cause::BadRequest,
        }
    }
}
