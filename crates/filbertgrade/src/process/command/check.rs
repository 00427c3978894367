//! `check`: validates a configuration file without a platform.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::version::{Config, ConfigFile};

/// Why a file could not be checked.
#[derive(Debug, thiserror::Error)]
#[error("cannot read {}: {source}", path.display())]
pub struct CheckError {
    path: PathBuf,
    source: std::io::Error,
}

/// Prints every fault of the file.
///
/// # Errors
///
/// Fails when the file cannot be read.
pub fn check(path: &Path) -> Result<ExitCode, CheckError> {
    let text = std::fs::read_to_string(path).map_err(|source| CheckError {
        path: path.to_owned(),
        source,
    })?;
    let name = path.display().to_string();
    let file = ConfigFile {
        name: &name,
        text: &text,
    };
    match Config::parse_files(&[file]) {
        Ok(_) => Ok(ExitCode::SUCCESS),
        Err(error) => {
            eprintln!("{error}");
            Ok(ExitCode::FAILURE)
        }
    }
}
