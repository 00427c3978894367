//! Moves of traffic between regions, and look-ups.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

#[path = "../it/fleet.rs"]
#[expect(dead_code, reason = "other test targets use the rest")]
mod fleet;
mod lookups;
mod moving;
mod view;
