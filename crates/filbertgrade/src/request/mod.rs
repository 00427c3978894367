//! Handling of a single request: the limits that callers set, the upload of the
//! body, attempts, retries and their budget, the idempotency guard, and
//! refusals.

mod attempt;
mod budget;
mod decision;
mod guard;
mod headers;
mod limits;
mod refusal;
mod stop;
mod upload;

pub use attempt::{
    Attempt, AttemptState, FullySent, NotSent, Observed, PartlySent, ResponseStarted, SendProgress,
};
pub use budget::RetryBudget;
pub use decision::{Failure, MAX_ATTEMPTS, NextStep, RetryContext, may_have_run, next_step};
pub use guard::{AttemptRecord, AttemptRecordState, Claim, Guard};
pub use headers::{contains_api_key, prepare_request, prepare_response, remove_hop_by_hop};
pub use limits::{
    DEADLINE_HEADER, DEFAULT_DEADLINE, IDEMPOTENCY_HEADER, MAX_DEADLINE, MAX_IDEMPOTENCY_KEY_BYTES,
    MIN_DEADLINE, deadline_of, idempotency_key_of,
};
pub use refusal::{Cause, Outcome, Refusal};
pub use stop::StopSchedule;
pub use upload::{BODY_IDLE_TIMEOUT, MAX_REPLAYABLE_BYTES, Upload, UploadBody, UploadError};
