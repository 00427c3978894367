//! Integration tests with real processes on loopback addresses.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

#[expect(dead_code, reason = "the harness serves more than these tests")]
mod fleet;
mod leaving;
mod thin_path;
