//! Tests of the share ledger: scenario files, random sequences of operations
//! and an exhaustive search over short sequences.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod exhaustive;
mod fleet;
mod random;
mod script;
