//! The story of one request, from the logs of several processes.
//!
//! Logs are read line by line, so that their size does not matter. Kept are
//! the lines that name the request, and what the process that wrote each of
//! them had last logged of its beliefs.

mod cause;
mod line;

use std::fmt;
use std::io::{self, BufRead};

use indexmap::IndexMap;

use self::line::Line;

/// Events that tell what a process believes. The last of each before a line of
/// the request belongs to its story.
const BELIEFS: [&str; 9] = [
    "node_started",
    "configuration_in_force",
    "evacuations_in_force",
    "running_vms_changed",
    "settings_reloaded",
    "store_lost",
    "store_regained",
    "relay_failed",
    "vm_suspended",
];

/// Longest part of a line that is kept.
const LONGEST_LINE: usize = 1_024;

/// Lines of one request that are kept; a request has a few dozen at most.
const MOST_LINES: usize = 1_000;

/// Bytes between two reports of progress.
const PROGRESS_BYTES: u64 = 64 * 1024 * 1024;

/// What the logs tell of one request.
#[derive(Debug)]
pub struct Story {
    id: String,
    lines: Vec<Told>,
    /// Lines that hold no event.
    bad_lines: u64,
    bytes: u64,
}

/// A line, and the log that held it.
#[derive(Clone, Debug)]
struct Told {
    log: String,
    /// Seconds since 1970, if the line tells them.
    at: Option<f64>,
    text: String,
    belief: bool,
}

impl Story {
    /// Starts without a line.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            lines: Vec::new(),
            bad_lines: 0,
            bytes: 0,
        }
    }

    /// Reads a log. `progress` is told the bytes that were read so far.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read. Lines that are not log lines are
    /// counted and left out.
    pub fn read(
        &mut self,
        log: &str,
        mut from: impl BufRead,
        mut progress: impl FnMut(u64),
    ) -> io::Result<()> {
        let mut beliefs: IndexMap<String, Told> = IndexMap::new();
        let mut reported = self.bytes;
        let mut buf = Vec::new();
        loop {
            buf.clear();
            let len = from.read_until(b'\n', &mut buf)?;
            if len == 0 {
                return Ok(());
            }
            self.bytes += len as u64;
            if self.bytes - reported >= PROGRESS_BYTES {
                reported = self.bytes;
                progress(self.bytes);
            }
            let text = String::from_utf8_lossy(&buf);
            self.take(log, text.trim_end(), &mut beliefs);
        }
    }

    fn take(&mut self, log: &str, text: &str, beliefs: &mut IndexMap<String, Told>) {
        let Some(line) = Line::read(text) else {
            self.bad_lines += u64::from(!text.is_empty());
            return;
        };
        let told = |belief| Told {
            log: log.to_owned(),
            at: line.time(),
            text: text.chars().take(LONGEST_LINE).collect(),
            belief,
        };
        if BELIEFS.contains(&line.event()) {
            beliefs.insert(line.event().to_owned(), told(true));
        }
        if line.field("id") != Some(&self.id) || self.lines.len() >= MOST_LINES {
            return;
        }
        // Each belief is told once, before the first line that it bears on.
        self.lines
            .extend(beliefs.drain(..).map(|(_, belief)| belief));
        self.lines.push(told(false));
    }

    /// No log names the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Why the request ended as it did, in a sentence; `None` when the lines do
    /// not tell it.
    pub fn cause(&self) -> Option<String> {
        let own = self.in_order().into_iter().filter(|told| !told.belief);
        let lines: Vec<Line<'_>> = own.filter_map(|told| Line::read(&told.text)).collect();
        cause::of(&lines)
    }

    /// Lines in the order of time. Lines without a time stay in the order in
    /// which their log holds them.
    fn in_order(&self) -> Vec<&Told> {
        let mut lines: Vec<&Told> = self.lines.iter().collect();
        if lines.iter().all(|told| told.at.is_some()) {
            lines.sort_by(|a, b| a.at.partial_cmp(&b.at).unwrap_or(std::cmp::Ordering::Equal));
        }
        lines
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for told in self.in_order() {
            let mark = if told.belief { "believed " } else { "" };
            writeln!(f, "{}: {mark}{}", told.log, told.text)?;
        }
        match self.cause() {
            Some(cause) => writeln!(f, "cause: {cause}")?,
            None if self.is_empty() => writeln!(f, "no line names {}", self.id)?,
            None => writeln!(f, "cause: the lines do not tell it")?,
        }
        write!(
            f,
            "{} bytes read, {} lines without an event",
            self.bytes, self.bad_lines
        )
    }
}
