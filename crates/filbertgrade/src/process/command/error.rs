//! Why a command failed, and the exit code that scripts see.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::platform::PlatformError;
use crate::process::settings::SettingsError;
use crate::version::ConfigError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CommandError {
    /// Flags or environment variables are missing or malformed.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The files are not a valid configuration.
    #[error("{0}")]
    Invalid(#[from] ConfigError),
    /// Another version was accepted first.
    #[error("conflict: version {winner} was accepted first; nothing of this file took effect")]
    Conflict {
        /// Version that won.
        winner: u64,
    },
    /// Another operator changed the object first.
    #[error("conflict: {name} was changed by another operator; nothing was written")]
    Changed {
        /// Object name.
        name: String,
    },
    /// The command would break what runs, or names something unknown.
    #[error("refused, nothing was written: {}", .0.join("; "))]
    Refused(Vec<String>),
    /// The store failed before anything took effect.
    #[error("the store failed, nothing took effect: {0}")]
    Store(#[from] PlatformError),
    /// No answer came, and the store did not tell the outcome in time.
    #[error("outcome unknown, the store answered neither the write nor a read after it: {0}")]
    Unknown(PlatformError),
    /// The write took effect, and not every process confirmed it in time.
    #[error("written, not confirmed; waiting for {}", .waiting.join(", "))]
    NotConfirmed {
        /// VMs or regions that did not confirm.
        waiting: Vec<String>,
    },
    /// An object of the store is not readable.
    #[error("the object {name} in the store is malformed: {cause}")]
    Malformed {
        /// Object name.
        name: String,
        /// The cause.
        cause: String,
    },
    /// The random source failed.
    #[error("no random numbers: {0}")]
    Random(#[from] getrandom::Error),
    /// An operator port gave no usable answer.
    #[error("no answer from {address}: {cause}")]
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
