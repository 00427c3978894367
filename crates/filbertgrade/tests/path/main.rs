//! Tests of the request path under failures, with real processes on loopback
//! addresses.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

#[path = "../it/fleet.rs"]
#[expect(dead_code, reason = "other test targets use the rest of the harness")]
mod fleet;

mod bad_input;
mod bad_responses;
mod decisions;
mod endpoint_rate;
mod graceful_stop;
mod http2;
mod pool;
mod random_faults;
mod restored_store;
mod scenario;
mod streaming;
