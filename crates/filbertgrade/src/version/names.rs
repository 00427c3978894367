//! Names that the configuration defines.

pub use filbertgrade_coord::names::ServiceName;
