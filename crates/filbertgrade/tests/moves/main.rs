//! Tests of traffic shifts between regions, and of lookup responses.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

#[path = "../it/fleet.rs"]
#[expect(dead_code, reason = "other test targets use the rest of the harness")]
mod fleet;
mod lookups;
mod moving;
mod view;
