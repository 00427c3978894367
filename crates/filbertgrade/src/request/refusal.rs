//! Refusals: the responses that the system sends in place of a backend
//! server's, with the cause and whether the request may have run.

use std::fmt;

use http::StatusCode;
use serde::Serialize;

/// A response that the system sends in place of a backend server's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("refused: {cause}, {outcome}")]
pub struct Refusal {
    cause: Cause,
    outcome: Outcome,
    /// Response status of the first attempt with the same idempotency key, if
    /// it is known.
    recorded_status: Option<u16>,
}

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No backend server ran the request; it may be sent again.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum Cause {
    /// The path names no configured service.
    UnknownService,
    /// No route matches the host and path.
    UnknownRoute,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The request has no API key, or a malformed one.
    KeyMissing,
    /// The API key is unknown or was withdrawn.
    KeyRefused,
    /// The VM has no state that is confirmed to be current, because it cannot
    /// reach the store or the other VMs.
    Isolated,
    /// The team has used up its rate and burst.
    OverRate,
    /// No slot would become free before the deadline.
    Busy,
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// The caller's deadline has passed.
    DeadlinePassed,
    /// The backend server closed the connection or failed.
    BackendFailed,
    /// The backend server sent no response in time.
    BackendSilent,
    /// An earlier attempt used the same idempotency key.
    AlreadyAttempted,
    /// An earlier attempt used the same idempotency key for another method or
    /// path.
    IdempotencyKeyReused,
    /// The store that holds the idempotency keys cannot be reached.
    GuardUnavailable,
    /// The request is malformed.
    BadRequest,
    /// The request target contains an API key, which the backend server would
    /// see.
    KeyInPath,
    /// The caller sent its body too slowly.
    SlowBody,
    /// The VM has reached its limit of caller connections.
    TooManyConnections,
    /// The VM is shutting down.
    Leaving,
}

impl Refusal {
    /// Refuses a request that no backend server ran.
    #[must_use]
    pub fn not_run(cause: Cause) -> Self {
        Self {
            cause,
            outcome: Outcome::NotRun,
            recorded_status: None,
        }
    }

    /// Refuses a request that a backend server may have run.
    #[must_use]
    pub fn unknown(cause: Cause) -> Self {
        Self {
            cause,
            outcome: Outcome::Unknown,
            recorded_status: None,
        }
    }

    /// Refuses a second attempt with the same idempotency key.
    /// `recorded_status` is the response status of the first attempt, if it is
    /// known.
    #[must_use]
    pub fn already_attempted(recorded_status: Option<u16>) -> Self {
        Self {
            recorded_status,
            ..Self::unknown(Cause::AlreadyAttempted)
        }
    }

    /// Response status of the first attempt with the same idempotency key;
    /// `None` when it is not known or when the refusal has another cause.
    #[must_use]
    pub fn recorded_status(&self) -> Option<u16> {
        self.recorded_status
    }

    /// Why the request was refused.
    #[must_use]
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Whether the request may have run.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Whether it is certain that no backend server ran the request.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }

    /// HTTP status of the response, which depends on the cause alone.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self.cause {
            Cause::UnknownService | Cause::UnknownRoute => StatusCode::NOT_FOUND,
            Cause::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Cause::KeyMissing | Cause::KeyRefused => StatusCode::UNAUTHORIZED,
            Cause::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Cause::AlreadyAttempted => StatusCode::CONFLICT,
            Cause::IdempotencyKeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Cause::BadRequest | Cause::KeyInPath => StatusCode::BAD_REQUEST,
            Cause::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Cause::DeadlinePassed | Cause::BackendSilent => StatusCode::GATEWAY_TIMEOUT,
            Cause::BackendFailed => StatusCode::BAD_GATEWAY,
            Cause::Isolated
            | Cause::Busy
            | Cause::NoEndpoint
            | Cause::GuardUnavailable
            | Cause::TooManyConnections
            | Cause::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl Cause {
    /// The name of the cause in responses, log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown_service",
            Self::UnknownRoute => "unknown_route",
            Self::BodyTooLarge => "body_too_large",
            Self::KeyMissing => "key_missing",
            Self::KeyRefused => "key_refused",
            Self::Isolated => "isolated",
            Self::OverRate => "over_rate",
            Self::Busy => "busy",
            Self::NoEndpoint => "no_endpoint",
            Self::DeadlinePassed => "deadline_passed",
            Self::BackendFailed => "backend_failed",
            Self::BackendSilent => "backend_silent",
            Self::AlreadyAttempted => "already_attempted",
            Self::IdempotencyKeyReused => "idempotency_key_reused",
            Self::KeyInPath => "key_in_path",
            Self::SlowBody => "slow_body",
            Self::TooManyConnections => "too_many_connections",
            Self::GuardUnavailable => "guard_unavailable",
            Self::BadRequest => "bad_request",
            Self::Leaving => "leaving",
        }
    }
}

impl Outcome {
    /// The name of the outcome in responses, log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
