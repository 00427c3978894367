//! Stand-ins for what surrounds a node.

pub(crate) mod endpoint;
pub(crate) mod store;
