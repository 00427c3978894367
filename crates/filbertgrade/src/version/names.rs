//! Names that only the product uses; shared ones are in `filbertgrade_coord`.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use filbertgrade_coord::names::{NameError, TeamName};

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

impl TryFrom<&str> for ServiceName {
    type Error = NameError;

    fn try_from(name: &str) -> Result<Self, NameError> {
        // All names follow one rule, which `filbertgrade_coord` keeps private.
        TeamName::try_from(name)?;
        Ok(Self(name.into()))
    }
}

impl Borrow<str> for ServiceName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ServiceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
