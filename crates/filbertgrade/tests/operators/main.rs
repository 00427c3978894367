//! Tests of the operators' side: configuration files, commands and the
//! operator port.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

mod config;
