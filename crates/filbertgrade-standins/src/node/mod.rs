//! Stand-ins for what surrounds a node: the platform's store and its endpoints.

pub mod endpoint;
pub mod store;
