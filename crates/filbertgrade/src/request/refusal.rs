//! Refusals: why a request was not answered by a backend server, and whether
//! it may have run.

use std::fmt;

use http::StatusCode;
use serde::Serialize;

/// An answer that the entry gives in place of a backend server's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("refused: {cause}, {outcome}")]
pub struct Refusal {
    cause: Cause,
    outcome: Outcome,
    /// Status that the first attempt with the same idempotency key ended with.
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
    /// The path names no service.
    UnknownService,
    /// Host and path lead to no route.
    UnknownRoute,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// No key came with the request, or it is not well-formed.
    KeyMissing,
    /// The key is unknown or was withdrawn.
    KeyRefused,
    /// The VM cannot tell whether its state is still valid.
    Isolated,
    /// The team's rate and burst are used up.
    OverRate,
    /// No slot would be free before the deadline.
    Busy,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// The caller's deadline has passed.
    DeadlinePassed,
    /// The backend server closed the connection or failed.
    BackendFailed,
    /// The backend server was silent until the deadline.
    BackendSilent,
    /// The idempotency key was used before.
    AlreadyAttempted,
    /// The idempotency key was used before for another method or path.
    IdempotencyKeyReused,
    /// The store that guards idempotency keys cannot be reached.
    GuardUnavailable,
    /// The request is malformed.
    BadRequest,
    /// The request carries a key where a backend server would see it.
    KeyInPath,
    /// The caller's body came too slowly.
    SlowBody,
    /// The VM has no room for another connection.
    TooManyConnections,
    /// The VM is about to stop.
    Leaving,
}

impl Refusal {
    /// A refusal of a request that no backend server ran.
    #[must_use]
    pub fn not_run(cause: Cause) -> Self {
        Self {
            cause,
            outcome: Outcome::NotRun,
            recorded_status: None,
        }
    }

    /// A refusal of a request that a backend server may have run.
    #[must_use]
    pub fn unknown(cause: Cause) -> Self {
        Self {
            cause,
            outcome: Outcome::Unknown,
            recorded_status: None,
        }
    }

    /// A refusal of a second attempt with an idempotency key, with the status
    /// that the first one ended with if it is known.
    #[must_use]
    pub fn already_attempted(recorded_status: Option<u16>) -> Self {
        Self {
            recorded_status,
            ..Self::unknown(Cause::AlreadyAttempted)
        }
    }

    /// Status that the first attempt with the same idempotency key ended with.
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

    /// No backend server ran the request.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }

    /// HTTP status of the refusal.
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
    /// The cause as callers read it.
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
    /// The outcome as callers read it.
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
