//! Tests of the share ledger: scenarios, random runs and an exhaustive search.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod exhaustive;
mod fleet;
mod random;
mod script;
