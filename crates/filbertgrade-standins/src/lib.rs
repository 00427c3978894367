//! In-process stand-ins for the systems around filbertgrade, for integration tests and the `dev`
//! command.
//!
//! - [`platform`] is the object API with versions, conditional updates and watches.
//! - [`backend`] is a backend server with slots, cold starts, load reports and drains.
//! - [`proxy`] is a TCP proxy that injects faults.
//! - [`node`] is what surrounds a node: the platform's store and its endpoints.
//! - [`soak`] runs real nodes under random faults and checks what they promise.
//! - [`caller`] sends requests, verifies the answers and compares them with the back ends' records.

mod answer;
pub mod backend;
pub mod caller;
mod common;
pub mod node;
pub mod platform;
pub mod proxy;
pub mod soak;
