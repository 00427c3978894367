//! Tests of the share ledger: scenarios, random runs and an exhaustive search.

mod exhaustive;
mod fleet;
mod random;
mod script;
