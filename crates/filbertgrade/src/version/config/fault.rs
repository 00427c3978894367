//! Faults of configuration files.

use std::fmt;

/// One fault of a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// File that the fault is in.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Key path, for example `services.maatboek.slots`; empty for the file as
    /// a whole.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// What would be accepted instead.
    pub accepted: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}; accepted: {}", self.problem, self.accepted)
    }
}

/// Why a configuration was refused: every fault of its files, at least one.
#[derive(Clone, Debug)]
pub struct ConfigError {
    faults: Vec<Fault>,
}

impl ConfigError {
    pub(super) fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by(|a, b| (&a.file, a.line, &a.path).cmp(&(&b.file, b.line, &b.path)));
        Self { faults }
    }

    /// Every fault, in order of file and line.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, fault) in self.faults.iter().enumerate() {
            if n > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigError {}
