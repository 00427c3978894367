//! The service names that the configuration defines.

pub use filbertgrade_coord::names::ServiceName;
