//! Operators' commands.

mod apply;
mod check;
mod dev;
pub mod flags;
mod key;

pub use apply::{ApplyError, apply};
pub use check::{CheckError, check};
pub use dev::{DevError, dev};
pub use key::{KeyError, key};
