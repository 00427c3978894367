//! Tests of configuration, keys and membership while processes, links and the
//! store fail.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

mod allocation;
mod config;
#[path = "../it/fleet.rs"]
#[expect(dead_code, reason = "other test targets use the rest of the harness")]
mod fleet;
mod load;
mod scale;
mod scenario;
