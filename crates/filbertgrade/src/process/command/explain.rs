//! `explain`: prints the log lines of one request from the logs of several
//! processes, and why it ended as it did.

use std::fs::File;
use std::io::{BufReader, IsTerminal};
use std::path::PathBuf;

use super::CommandError;
use crate::explain::RequestHistory;

/// Prints the history of the request `id` from the files `logs`, with progress
/// on standard error if that is a terminal.
///
/// # Errors
///
/// Fails when a file cannot be read.
pub(super) fn explain(id: &str, logs: &[PathBuf]) -> Result<(), CommandError> {
    let mut history = RequestHistory::new(id);
    let is_terminal = std::io::stderr().is_terminal();
    for path in logs {
        let failed = |source| CommandError::Read {
            path: path.clone(),
            source,
        };
        let file = File::open(path).map_err(failed)?;
        let progress = |bytes: u64| {
            if is_terminal {
                eprint!("\r{} MB read", bytes / 1_000_000);
            }
        };
        let name = path.display().to_string();
        history
            .read(&name, BufReader::new(file), progress)
            .map_err(failed)?;
    }
    if is_terminal {
        eprint!("\r");
    }
    println!("{history}");
    Ok(())
}
