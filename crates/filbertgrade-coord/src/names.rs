//! Checked names that are cheap to clone.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

/// Longest accepted name in bytes, the limit of a DNS label.
pub const MAX_NAME_LEN: usize = 63;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(s: &str) -> Result<Self, NameError> {
                check(s)?;
                Ok(Self(Arc::from(s)))
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(s: &str) -> Result<Self, NameError> {
                Self::try_from(s)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    };
}

name!(
    /// Name of an entry VM, unique in the fleet.
    VmName
);
name!(
    /// Name of a region.
    RegionName
);
name!(
    /// Name of a failure domain, unique in the fleet.
    FailureDomainName
);
name!(
    /// Name of a team, the unit of rate limits and fair queueing.
    TeamName
);
name!(
    /// Name of one backend server endpoint, unique in its service and region.
    EndpointName
);
name!(
    /// Name of a service, unique in the fleet.
    ServiceName
);
name!(
    /// Name of a route, unique in its configuration.
    RouteName
);

/// The error of a string that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct NameError(NameErrorKind);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum NameErrorKind {
    #[error("a name must not be empty")]
    Empty,
    #[error("a name of {0} bytes is longer than {MAX_NAME_LEN}")]
    TooLong(usize),
    #[error("character {0:?} is not one of a-z, 0-9 and '-'")]
    BadCharacter(char),
}

impl NameError {
    /// Reports whether the string had no or too many characters.
    pub fn is_length(&self) -> bool {
        matches!(self.0, NameErrorKind::Empty | NameErrorKind::TooLong(_))
    }
}

fn check(s: &str) -> Result<(), NameError> {
    if s.is_empty() {
        return Err(NameError(NameErrorKind::Empty));
    }
    if s.len() > MAX_NAME_LEN {
        return Err(NameError(NameErrorKind::TooLong(s.len())));
    }
    match s
        .chars()
        .find(|c| !matches!(c, 'a'..='z' | '0'..='9' | '-'))
    {
        Some(c) => Err(NameError(NameErrorKind::BadCharacter(c))),
        None => Ok(()),
    }
}
