//! Integration tests of the request path and of draining, with real processes on
//! loopback addresses.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

#[expect(dead_code, reason = "other test targets use the rest of the harness")]
mod fleet;
mod leaving;
mod panics;
mod request_path;
