//! Rate, burst and slots under failure, measured by callers and backend servers.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

#[path = "../it/fleet.rs"]
#[expect(dead_code, reason = "the harness serves more than these tests")]
mod fleet;

mod rate;
mod scene;
