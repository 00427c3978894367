//! `apply`: puts a configuration in force as a whole.

use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use sha2::{Digest, Sha256};

use crate::platform::{Condition, HttpPlatform, Platform, PlatformError};
use crate::version::{CONFIG_ROOT, Config, ConfigError, ConfigRoot};

/// Longest part of a configuration, in bytes; the platform holds values up to
/// 1 MB, and frames between processes need room for their names.
const PART_BYTES: usize = 512 * 1024;

/// Why a configuration was not put in force.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ApplyError {
    /// The file cannot be read.
    #[error("cannot read the file: {0}")]
    Read(#[from] std::io::Error),
    /// The file is not a valid configuration.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// Another version was accepted first; nothing of this file took effect.
    #[error("conflict: version {winner} was accepted first; nothing of this file took effect")]
    Conflict {
        /// Version that won.
        winner: u64,
    },
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The root object of the store is not readable.
    #[error("the configuration root in the store is malformed: {0}")]
    Root(#[from] serde_json::Error),
}

/// Writes the file's parts, then makes them visible by one conditional update.
///
/// # Errors
///
/// Fails without effect when the file is invalid or another operator's
/// version was accepted first.
pub async fn apply(path: &Path, store: SocketAddr) -> Result<(), ApplyError> {
    let text = std::fs::read_to_string(path)?;
    Config::parse(&text)?;
    let platform = HttpPlatform::new(store, None);
    let version = apply_text(&platform, &text).await?;
    println!("accepted as version {version}");
    Ok(())
}

pub(crate) async fn apply_text(platform: &dyn Platform, text: &str) -> Result<u64, ApplyError> {
    let current = platform.get(CONFIG_ROOT).await?;
    let (condition, version) = match &current {
        None => (Condition::Absent, 0),
        Some(object) => {
            let root: ConfigRoot =
                serde_json::from_slice(object.value.as_deref().unwrap_or_default())?;
            (Condition::At(object.revision), root.version)
        }
    };
    let parts = write_parts(platform, text).await?;
    let root = ConfigRoot {
        version: version + 1,
        apply_id: format!("{:016x}", rand::random::<u64>()),
        parts,
    };
    let value = Bytes::from(serde_json::to_vec(&root)?);
    match platform.put(CONFIG_ROOT, value, condition).await {
        Ok(_) => Ok(root.version),
        Err(error) if error.is_conflict() => Err(winner(platform).await?),
        Err(error) => Err(error.into()),
    }
}

async fn write_parts(platform: &dyn Platform, text: &str) -> Result<Vec<String>, ApplyError> {
    let mut parts = Vec::new();
    for chunk in chunks(text) {
        let digest: String = Sha256::digest(chunk.as_bytes())
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        let name = format!("config/part/{digest}");
        match platform
            .put(
                &name,
                Bytes::copy_from_slice(chunk.as_bytes()),
                Condition::Absent,
            )
            .await
        {
            Ok(_) => {}
            // The name is the digest, so an object of that name has this content.
            Err(error) if error.is_conflict() => {}
            Err(error) => return Err(error.into()),
        }
        parts.push(digest);
    }
    Ok(parts)
}

async fn winner(platform: &dyn Platform) -> Result<ApplyError, ApplyError> {
    let root = platform.get(CONFIG_ROOT).await?;
    let value = root.and_then(|object| object.value).unwrap_or_default();
    let root: ConfigRoot = serde_json::from_slice(&value)?;
    Ok(ApplyError::Conflict {
        winner: root.version,
    })
}

fn chunks(text: &str) -> Vec<&str> {
    let mut rest = text;
    let mut chunks = Vec::new();
    while rest.len() > PART_BYTES {
        let at = (0..=PART_BYTES)
            .rev()
            .find(|at| rest.is_char_boundary(*at))
            .unwrap_or(rest.len());
        let (chunk, tail) = rest.split_at(at);
        chunks.push(chunk);
        rest = tail;
    }
    chunks.push(rest);
    chunks
}
