//! Faults found in configuration files.

use std::fmt;

/// One fault found in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file that the fault is in, as given in
    /// [`ConfigFile::name`](super::ConfigFile::name).
    pub file: String,
    /// Line number, counted from 1.
    pub line: usize,
    /// Key path, for example `services.maatboek.slots`; empty if the fault is not
    /// at a key, such as a syntax error.
    pub path: String,
    /// What is wrong with the value or key.
    pub problem: String,
    /// Which values or keys are accepted instead.
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

/// The configuration was rejected; lists every fault in its files, at least one.
#[derive(Clone, Debug)]
pub struct ConfigError {
    faults: Vec<Fault>,
}

impl ConfigError {
    pub(super) fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by(|a, b| (&a.file, a.line, &a.path).cmp(&(&b.file, b.line, &b.path)));
        Self { faults }
    }

    /// All faults, in order of file, line and key path.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigError {}
