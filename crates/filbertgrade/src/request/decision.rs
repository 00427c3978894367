//! The decision between a retry and a refusal after an attempt failed.

use std::time::Instant;

use super::{AttemptState, Cause};

/// Largest number of attempts for one request. When the whole service is busy,
/// further attempts would only use up the caller's deadline.
pub const MAX_ATTEMPTS: u32 = 4;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection to the backend server could be made.
    NoConnection,
    /// The connection ended before the response headers arrived.
    ConnectionLost {
        /// The connection had served another request before.
        reused: bool,
    },
    /// A reused connection delivered no response within the time that a working
    /// connection needs; the deadline has not passed.
    ConnectionTimedOut,
    /// No response arrived before the deadline.
    DeadlinePassed,
    /// The backend server refused because its slots are busy.
    Shed,
    /// The backend server refused because it is draining.
    Draining,
    /// Another backend server now uses the address, and refused the request.
    Misdirected,
    /// The backend server's response is malformed, or its end cannot be
    /// determined.
    MalformedResponse,
    /// The response belongs to another request, or that cannot be excluded.
    ForeignResponse,
    /// The backend server responded with a status that promises callers that the
    /// request did not run, and did not confirm this.
    UnconfirmedRefusal,
    /// The caller sent its body too slowly.
    CallerSlow,
    /// The caller disconnected before it had sent its whole body.
    CallerGone,
    /// The connection ended in the middle of the response.
    ResponseTruncated,
}

/// Everything besides the failure that determines the next step.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// How much of the request the failed attempt had sent.
    pub state: AttemptState,
    /// The request may safely run more than once.
    pub idempotent: bool,
    /// The body is buffered from its start, so that it can be sent again.
    pub replayable: bool,
    /// An attempt before the failed one may have run on a backend server.
    pub earlier_may_have_run: bool,
    /// Attempts so far, including the failed one.
    pub attempts: u32,
    /// Largest number of attempts for this request.
    pub max_attempts: u32,
    /// The retry budget covers one more retry.
    pub budget_available: bool,
    /// The caller's deadline.
    pub deadline: Instant,
    /// Time of the decision.
    pub now: Instant,
}

/// The next step for a request after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request again.
    Retry {
        /// Another endpoint must be used, because this one failed or refused.
        elsewhere: bool,
        /// The retry counts against the retry budget, because the failed
        /// attempt may already have used a backend server's capacity.
        spends_budget: bool,
    },
    /// Refuse the request; no backend server ran it.
    RefuseNotRun(Cause),
    /// Refuse the request; a backend server may have run it.
    RefuseUnknown(Cause),
    /// Abort the response stream, because its headers were already forwarded.
    AbortResponse,
}

/// Decides what to do with a request after a failed attempt.
///
/// A request that a backend server may have run is retried only when it is
/// idempotent and the retry budget covers it.
#[must_use]
pub fn next_step(failure: Failure, context: &RetryContext) -> NextStep {
    let explicit = failure.is_explicit_refusal();
    if context.state == AttemptState::ResponseStarted
        && !explicit
        && !matches!(
            failure,
            Failure::MalformedResponse | Failure::ForeignResponse
        )
    {
        return NextStep::AbortResponse;
    }
    let ran = may_have_run(failure, context.state);
    if may_retry(failure, ran, context) {
        return NextStep::Retry {
            elsewhere: failure.is_endpoint_failure(),
            spends_budget: ran,
        };
    }
    let cause = if !explicit && context.now >= context.deadline && !ran {
        Cause::DeadlinePassed
    } else {
        failure.cause()
    };
    if ran || context.earlier_may_have_run {
        NextStep::RefuseUnknown(cause)
    } else {
        NextStep::RefuseNotRun(cause)
    }
}

/// Whether a backend server may have run the request of a failed attempt. This
/// is so once a byte was sent, unless the backend server refused explicitly.
#[must_use]
pub fn may_have_run(failure: Failure, state: AttemptState) -> bool {
    state > AttemptState::NotSent && !failure.is_explicit_refusal()
}

fn may_retry(failure: Failure, ran: bool, context: &RetryContext) -> bool {
    // A passed deadline and a failed upload would end a new attempt as well.
    let final_failure = matches!(
        failure,
        Failure::DeadlinePassed | Failure::CallerSlow | Failure::CallerGone
    );
    let permitted = !ran || (context.idempotent && context.budget_available);
    !final_failure
        && permitted
        && context.replayable
        && context.attempts < context.max_attempts
        && context.now < context.deadline
}

impl Failure {
    /// Whether the backend server stated that it did not run the request.
    #[must_use]
    pub fn is_explicit_refusal(self) -> bool {
        matches!(self, Self::Shed | Self::Draining | Self::Misdirected)
    }

    /// Whether the failure concerns the endpoint, and not only one reused
    /// connection to it.
    fn is_endpoint_failure(self) -> bool {
        !matches!(
            self,
            Self::ConnectionLost { reused: true } | Self::ConnectionTimedOut
        )
    }

    fn cause(self) -> Cause {
        match self {
            Self::NoConnection
            | Self::ConnectionLost { .. }
            | Self::MalformedResponse
            | Self::ForeignResponse
            | Self::UnconfirmedRefusal
            | Self::ResponseTruncated => Cause::BackendFailed,
            Self::ConnectionTimedOut | Self::DeadlinePassed => Cause::BackendSilent,
            Self::Shed => Cause::Busy,
            Self::Draining | Self::Misdirected => Cause::NoEndpoint,
            Self::CallerSlow => Cause::SlowBody,
            Self::CallerGone => Cause::BadRequest,
        }
    }
}
