//! `explain`: the story of one request.

use std::fs::File;
use std::io::{BufReader, IsTerminal};
use std::path::PathBuf;

use super::CommandError;
use crate::explain::Story;

/// Prints what logs tell of a request.
pub(super) fn explain(id: &str, logs: &[PathBuf]) -> Result<(), CommandError> {
    let mut story = Story::new(id);
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
        story
            .read(&name, BufReader::new(file), progress)
            .map_err(failed)?;
    }
    if is_terminal {
        eprint!("\r");
    }
    println!("{story}");
    Ok(())
}
