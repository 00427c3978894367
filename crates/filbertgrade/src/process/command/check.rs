//! `check`: validates configuration files without a platform.

use std::path::PathBuf;

use super::{CommandError, stored};

/// Reads and checks files as one configuration.
///
/// # Errors
///
/// Lists every fault of the files.
pub(super) fn check(files: &[PathBuf]) -> Result<(), CommandError> {
    stored::read_files(files).map(|_| ())
}
