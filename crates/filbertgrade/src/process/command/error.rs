//! The errors of commands and their exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::platform::PlatformError;
use crate::process::settings::SettingsError;
use crate::version::ConfigError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CommandError {
    /// Flags or environment variables are missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file on the command line cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The files are not a valid configuration.
    #[error("{0}")]
    Invalid(#[from] ConfigError),
    /// Another operator applied a version first.
    #[error("conflict: version {winner} was accepted first; this apply had no effect")]
    Conflict {
        /// The version that was accepted.
        winner: u64,
    },
    /// Another operator changed the object first, so it was not written.
    #[error("conflict: {name} was changed by another operator; nothing was written")]
    Changed {
        /// Name of the object.
        name: String,
    },
    /// The command would remove something that is in use, or names something
    /// that does not exist.
    #[error("refused, nothing was written: {}", .0.join("; "))]
    Refused(Vec<String>),
    /// The store failed, and nothing took effect.
    #[error("the store failed, nothing took effect: {0}")]
    Store(#[from] PlatformError),
    /// The store did not respond to the write, and the outcome could not be read
    /// in time. The write may have taken effect.
    #[error("outcome unknown, the store responded to neither the write nor a read after it: {0}")]
    Unknown(PlatformError),
    /// The write took effect, but not every VM confirmed it in time.
    #[error("written, not confirmed; waiting for {}", .waiting.join(", "))]
    NotConfirmed {
        /// Names of the VMs or regions that did not confirm.
        waiting: Vec<String>,
    },
    /// An object in the store cannot be decoded.
    #[error("the object {name} in the store is malformed: {cause}")]
    Malformed {
        /// Name of the object.
        name: String,
        /// The cause.
        cause: String,
    },
    /// The random number generator of the operating system failed.
    #[error("cannot generate random numbers: {0}")]
    Random(#[from] getrandom::Error),
    /// An operator port sent no usable response.
    #[error("no usable response from {address}: {cause}")]
    NoDump {
        /// Address of the operator port.
        address: SocketAddr,
        /// The cause.
        cause: String,
    },
}

impl CommandError {
    /// The exit code; `docs/OPERATIONS.md` lists them.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Malformed { .. } | Self::Random(_) | Self::NoDump { .. } => 1,
            Self::Settings(_) | Self::Read { .. } => 2,
            Self::Invalid(_) => 3,
            Self::Conflict { .. } | Self::Changed { .. } => 4,
            Self::Refused(_) => 5,
            Self::Store(_) => 6,
            Self::Unknown(_) => 7,
            Self::NotConfirmed { .. } => 8,
        }
    }

    pub(super) fn malformed(name: &str, cause: &dyn std::fmt::Display) -> Self {
        Self::Malformed {
            name: name.to_owned(),
            cause: cause.to_string(),
        }
    }
}
