//! Tests of configuration, keys and membership while parts fail.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

mod allocation;
mod config;
#[path = "../it/fleet.rs"]
#[expect(dead_code, reason = "the harness serves more than these tests")]
mod fleet;
mod load;
mod scale;
mod scenario;
