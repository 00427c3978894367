//! In-process stand-ins for the systems around filbertgrade, for integration tests and the `dev`
//! command.
//!
//! - [`platform`] is the object API with versions, conditional updates and watches.

mod common;
pub mod platform;
