//! Validated names of VMs, regions, teams and other objects.
//!
//! A name consists of `a` to `z`, `0` to `9` and `-`, so it can be part of a
//! header, a path or a log line without escaping. Names that another system has
//! given may have any characters, see [`ExternalName`]. Names are reference
//! counted and therefore cheap to clone.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

/// Length limit of a name in bytes, which is that of a DNS label.
pub const MAX_NAME_LEN: usize = 63;

/// Length limit in bytes of a name that another system has given, such that a datagram
/// between VMs has room for one.
pub const MAX_EXTERNAL_NAME_LEN: usize = 1_024;

/// A name that may come from another system, which has rules of its own for names.
pub trait ExternalName: Sized {
    /// Reads a name of another system: any text, white space and control characters
    /// included. Headers and log lines need it escaped.
    ///
    /// # Errors
    ///
    /// Fails when the text is empty or longer than [`MAX_EXTERNAL_NAME_LEN`].
    fn from_external(s: &str) -> Result<Self, NameError>;

    /// Reads such a name where white space and control characters are a mistake, as in
    /// a settings file or a query.
    ///
    /// # Errors
    ///
    /// Fails like [`from_external`](Self::from_external), and when the text has such
    /// characters.
    fn from_external_word(s: &str) -> Result<Self, NameError> {
        match s.chars().find(|c| c.is_whitespace() || c.is_control()) {
            Some(c) => Err(NameError(NameErrorKind::Unprintable(c))),
            None => Self::from_external(s),
        }
    }
}

/// Defines a newtype for one kind of name, which can only hold a valid name.
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
                validate(s)?;
                Ok(Self(Arc::from(s)))
            }
        }

        impl ExternalName for $name {
            fn from_external(s: &str) -> Result<Self, NameError> {
                validate_external(s)?;
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
    /// Name of a VM that runs an entry process, unique in the fleet.
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
    /// Name of an endpoint of a backend server, unique in its service and region.
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

/// The error returned for a string that is not a valid name.
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
    InvalidCharacter(char),
    #[error("a name of {0} bytes is longer than {MAX_EXTERNAL_NAME_LEN}")]
    ExternalTooLong(usize),
    #[error("white space and control characters are not allowed here, as {0:?}")]
    Unprintable(char),
}

impl NameError {
    /// Reports whether the string was empty or longer than [`MAX_NAME_LEN`].
    pub fn is_length_error(&self) -> bool {
        matches!(
            self.0,
            NameErrorKind::Empty | NameErrorKind::TooLong(_) | NameErrorKind::ExternalTooLong(_)
        )
    }
}

fn validate(s: &str) -> Result<(), NameError> {
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
        Some(c) => Err(NameError(NameErrorKind::InvalidCharacter(c))),
        None => Ok(()),
    }
}

fn validate_external(s: &str) -> Result<(), NameError> {
    if s.is_empty() {
        return Err(NameError(NameErrorKind::Empty));
    }
    if s.len() > MAX_EXTERNAL_NAME_LEN {
        return Err(NameError(NameErrorKind::ExternalTooLong(s.len())));
    }
    Ok(())
}
