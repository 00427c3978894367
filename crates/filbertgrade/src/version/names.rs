//! Names that only the product uses; shared ones are in `filbertgrade_coord`.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

/// Name of a service; the first segment of a request's path.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceName(Arc<str>);

impl ServiceName {
    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ServiceName {
    fn from(name: &str) -> Self {
        Self(name.into())
    }
}

impl Borrow<str> for ServiceName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ServiceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
