//! State and decisions that last for one request: the limits that callers set,
//! the upload of the body, attempts and retries, the idempotency guard, and
//! refusals.

mod attempt;
mod budget;
mod decision;
mod guard;
mod headers;
mod limits;
mod refusal;
mod upload;

pub use attempt::{
    AnswerBegun, Attempt, AttemptState, BodySent, Evidence, HeadersSent, NotSent, Observed,
};
pub use budget::RetryBudget;
pub use decision::{Failure, MOST_ATTEMPTS, NextStep, Situation, may_have_run, next_step};
pub use guard::{AttemptRecord, AttemptRecordState, Claim, Guard};
pub use headers::{holds_key, prepare_request, remove_hop_by_hop};
pub use limits::{
    DEADLINE_HEADER, DEFAULT_DEADLINE, IDEMPOTENCY_HEADER, LONGEST_DEADLINE,
    LONGEST_IDEMPOTENCY_KEY, SHORTEST_USEFUL, deadline_of, idempotency_key_of,
};
pub use refusal::{Cause, Outcome, Refusal};
pub use upload::{BODY_SILENCE, KEPT_BYTES, Upload, UploadBody, UploadFault};
