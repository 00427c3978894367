//! Reads configurations from files and from the store, and splits them into the
//! parts that are stored.

use std::path::PathBuf;

use sha2::{Digest, Sha256};

use super::CommandError;
use crate::platform::{Condition, Platform};
use crate::process::settings::SettingsError;
use crate::version::{CONFIG_ROOT, Config, ConfigFile, ConfigRoot};

/// Maximum size of a part of a configuration, in bytes. The platform stores
/// values up to 1 MB, and a frame between processes also contains the name of
/// the object.
const MAX_PART_BYTES: usize = 512 * 1024;

/// The root object, as it was read from the store.
#[derive(Debug)]
pub(super) struct StoredRoot {
    /// `None` when no configuration has been applied yet.
    pub(super) root: Option<ConfigRoot>,
    /// Condition for a write that is only valid while the root is unchanged.
    pub(super) condition: Condition,
}

/// Reads the files and validates them as one configuration.
pub(super) fn read_files(paths: &[PathBuf]) -> Result<Config, CommandError> {
    if paths.is_empty() {
        return Err(SettingsError::new("at least one configuration file is required").into());
    }
    let mut texts = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(path).map_err(|source| CommandError::Read {
            path: path.clone(),
            source,
        })?;
        texts.push((path.display().to_string(), text));
    }
    let files: Vec<ConfigFile<'_>> = texts
        .iter()
        .map(|(name, text)| ConfigFile { name, text })
        .collect();
    Ok(Config::parse_files(&files)?)
}

/// Reads the root object.
pub(super) async fn read_root(platform: &dyn Platform) -> Result<StoredRoot, CommandError> {
    match platform.get(CONFIG_ROOT).await? {
        None => Ok(StoredRoot {
            root: None,
            condition: Condition::Absent,
        }),
        Some(object) => Ok(StoredRoot {
            root: Some(decode_root(object.value.as_deref().unwrap_or_default())?),
            condition: Condition::At(object.revision),
        }),
    }
}

/// Decodes the value of the root object.
pub(super) fn decode_root(value: &[u8]) -> Result<ConfigRoot, CommandError> {
    serde_json::from_slice(value).map_err(|e| CommandError::malformed(CONFIG_ROOT, &e))
}

/// Reads the parts that a root names and decodes them as one configuration.
pub(super) async fn read_config(
    platform: &dyn Platform,
    root: &ConfigRoot,
) -> Result<Config, CommandError> {
    let mut text = String::new();
    for part in &root.parts {
        let name = part_name(part);
        let value = platform.get(&name).await?.and_then(|object| object.value);
        let value = value.ok_or_else(|| CommandError::malformed(&name, &"it does not exist"))?;
        let part = std::str::from_utf8(&value).map_err(|e| CommandError::malformed(&name, &e))?;
        text.push_str(part);
    }
    Config::parse(&text).map_err(|e| CommandError::malformed(CONFIG_ROOT, &e))
}

/// Reads the configuration in force with its root; `None` when there is none.
///
/// Another apply may remove parts of the old root while they are read. So when
/// the configuration cannot be decoded and the root has changed, it is read
/// again from the new root.
pub(super) async fn read_in_force(
    platform: &dyn Platform,
) -> Result<Option<(ConfigRoot, Config)>, CommandError> {
    let mut read = read_root(platform).await?;
    loop {
        let Some(root) = read.root else {
            return Ok(None);
        };
        match read_config(platform, &root).await {
            Ok(config) => return Ok(Some((root, config))),
            Err(error @ CommandError::Malformed { .. }) => {
                read = read_root(platform).await?;
                if read.root.as_ref().map(|root| root.version) == Some(root.version) {
                    return Err(error);
                }
            }
            Err(error) => return Err(error),
        }
    }
}

/// Splits the text of a configuration into parts; each comes with its digest.
///
/// A part never spans two top-level tables, so that a change in one table
/// leaves the parts of the others unchanged.
pub(super) fn parts(config: &Config) -> Vec<(String, String)> {
    let mut tables: Vec<(String, String)> = Vec::new();
    for line in config.lines() {
        let table = line.path.split('.').next().unwrap_or_default().to_owned();
        match tables.last_mut() {
            Some((last, text)) if *last == table => text.push_str(&format!("{line}\n")),
            _ => tables.push((table, format!("{line}\n"))),
        }
    }
    tables
        .iter()
        .flat_map(|(_, text)| chunks(text))
        .map(|chunk| (digest(chunk), chunk.to_owned()))
        .collect()
}

/// Name of the object that stores the part with this digest.
pub(super) fn part_name(digest: &str) -> String {
    format!("config/part/{digest}")
}

fn digest(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Splits a text at character boundaries into pieces of at most
/// [`MAX_PART_BYTES`].
fn chunks(text: &str) -> Vec<&str> {
    let mut rest = text;
    let mut chunks = Vec::new();
    while rest.len() > MAX_PART_BYTES {
        let at = (0..=MAX_PART_BYTES)
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
