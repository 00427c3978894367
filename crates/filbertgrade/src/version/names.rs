//! Names of the configuration.

pub use filbertgrade_coord::names::ServiceName;
