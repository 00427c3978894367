//! Moves of traffic between regions, and look-ups.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

mod lookups;
mod view;
