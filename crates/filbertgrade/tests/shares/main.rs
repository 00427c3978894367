//! Tests that rate and burst limits hold during failures, as measured by callers
//! and backend servers.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

#[path = "../it/fleet.rs"]
#[expect(dead_code, reason = "other test targets use the rest of the harness")]
mod fleet;

mod rate;
mod setup;
