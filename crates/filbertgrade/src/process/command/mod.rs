//! Operators' commands.

mod apply;
mod check;
pub mod flags;
mod key;

pub use apply::{ApplyError, apply};
pub use check::{CheckError, check};
pub use key::{KeyError, key};
