//! In-process stand-ins for the systems around filbertgrade, for integration tests and the `dev`
//! command.
//!
//! - [`platform`] provides the object API with revisions, conditional updates and watches.
//! - [`backend`] provides a backend server with slots, cold starts, load reports and drains.
//! - [`proxy`] provides a TCP proxy that injects faults.
//! - [`node`] provides the systems around a node: the platform's store and the endpoints.
//! - [`soak`] runs real nodes under random faults and checks the promises to callers, backend
//!   servers and operators.
//! - [`caller`] sends requests, verifies the responses and compares them with the records of the
//!   backend servers.

pub mod backend;
pub mod caller;
mod common;
pub mod node;
pub mod platform;
pub mod proxy;
mod response;
pub mod soak;
pub mod unanswered;
