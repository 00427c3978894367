//! What lives for a request: its reading, admission, attempts and refusals.

mod refusal;

pub use refusal::{Cause, Outcome, Refusal};
