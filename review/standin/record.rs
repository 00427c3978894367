//! The record of a case: one line an event, with the time since the start.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn write(&self, path: &std::path::Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for (at, line) in lines {
            writeln!(file, "{at:9.3}  {line}")?;
        }
        file.flush()
    }
}
