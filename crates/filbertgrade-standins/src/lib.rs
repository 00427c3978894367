//! In-process stand-ins for the systems around filbertgrade, for integration tests and the `dev`
//! command.
//!
//! - [`platform`] is the object API with versions, conditional updates and watches.
//! - [`backend`] is a backend server with slots, cold starts, load reports and drains.
//! - [`proxy`] is a TCP proxy that injects faults.

mod answer;
pub mod backend;
mod common;
pub mod platform;
pub mod proxy;
