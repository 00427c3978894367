//! `check`: validates configuration files without access to a platform.

use std::path::PathBuf;

use super::{CommandError, stored};

/// Reads the files and validates them as one configuration.
///
/// # Errors
///
/// Fails when a file cannot be read, or with all faults of the configuration.
pub(super) fn check(files: &[PathBuf]) -> Result<(), CommandError> {
    stored::read_files(files).map(|_| ())
}
