//! Reconstructs the history of one request from the logs of several processes.
//!
//! Logs are read line by line, so that their size does not matter. The lines
//! with the id of the request are kept. They are preceded by context: for each
//! kind of event that shows the state of the process, the last line before them.

mod cause;
mod line;

use std::fmt;
use std::io::{self, BufRead};

use indexmap::IndexMap;

use self::line::Line;

/// Events that show the state of a process, for example its configuration
/// version. The last of each before a line of the request is kept as context.
const CONTEXT_EVENTS: [&str; 11] = [
    "node_started",
    "configuration_in_force",
    "evacuations_in_force",
    "running_vms_changed",
    "settings_reloaded",
    "store_lost",
    "store_regained",
    "relay_failed",
    "vm_suspended",
    "endpoint_leaving",
    "endpoint_pauses",
];

/// A longer line is truncated to this number of characters.
const MAX_LINE_CHARS: usize = 1_024;

/// Once this number of lines is kept, no more are added. A request has a few
/// dozen at most.
const MAX_LINES: usize = 1_000;

/// Progress is reported each time this number of bytes has been read.
const PROGRESS_BYTES: u64 = 64 * 1024 * 1024;

/// The log lines of one request and their context, with the cause derived from
/// them. `Display` prints all of it.
#[derive(Debug)]
pub struct RequestHistory {
    id: String,
    lines: Vec<LogEntry>,
    /// Number of lines that are not empty and have no event.
    lines_without_event: u64,
    bytes_read: u64,
}

/// A kept line, and the log that it comes from.
#[derive(Clone, Debug)]
struct LogEntry {
    log: String,
    /// Seconds since 1970, if the line has a timestamp.
    timestamp: Option<f64>,
    text: String,
    /// Whether the line is context rather than a line of the request.
    is_context: bool,
}

impl RequestHistory {
    /// Creates an empty history of the request with this id.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            lines: Vec::new(),
            lines_without_event: 0,
            bytes_read: 0,
        }
    }

    /// Reads a log. `progress` is called from time to time with the number of
    /// bytes that have been read from all logs so far.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be read. Lines that are not log lines are
    /// counted and skipped.
    pub fn read(
        &mut self,
        log: &str,
        mut reader: impl BufRead,
        mut progress: impl FnMut(u64),
    ) -> io::Result<()> {
        let mut context: IndexMap<String, LogEntry> = IndexMap::new();
        let mut reported = self.bytes_read;
        let mut buf = Vec::new();
        loop {
            buf.clear();
            let len = reader.read_until(b'\n', &mut buf)?;
            if len == 0 {
                return Ok(());
            }
            self.bytes_read += len as u64;
            if self.bytes_read - reported >= PROGRESS_BYTES {
                reported = self.bytes_read;
                progress(self.bytes_read);
            }
            let text = String::from_utf8_lossy(&buf);
            self.add_line(log, text.trim_end(), &mut context);
        }
    }

    fn add_line(&mut self, log: &str, text: &str, context: &mut IndexMap<String, LogEntry>) {
        let Some(line) = Line::parse(text) else {
            self.lines_without_event += u64::from(!text.is_empty());
            return;
        };
        let entry = |is_context| LogEntry {
            log: log.to_owned(),
            timestamp: line.timestamp(),
            text: text.chars().take(MAX_LINE_CHARS).collect(),
            is_context,
        };
        if CONTEXT_EVENTS.contains(&line.event()) {
            context.insert(line.event().to_owned(), entry(true));
        }
        if line.field("id") != Some(&self.id) || self.lines.len() >= MAX_LINES {
            return;
        }
        // Each line of context is added once, before the first line of the
        // request that follows it.
        self.lines.extend(context.drain(..).map(|(_, entry)| entry));
        self.lines.push(entry(false));
    }

    /// Whether no line with the id of the request was read.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Why the request ended as it did, in a sentence; `None` when the lines do
    /// not show it.
    pub fn cause(&self) -> Option<String> {
        let of_request = self
            .sorted_by_time()
            .into_iter()
            .filter(|entry| !entry.is_context);
        let lines: Vec<Line<'_>> = of_request
            .filter_map(|entry| Line::parse(&entry.text))
            .collect();
        cause::of(&lines)
    }

    /// The lines in the order of their timestamps, or in the order in which
    /// they were read when any of them has no timestamp.
    fn sorted_by_time(&self) -> Vec<&LogEntry> {
        let mut lines: Vec<&LogEntry> = self.lines.iter().collect();
        if lines.iter().all(|entry| entry.timestamp.is_some()) {
            lines.sort_by(|a, b| {
                a.timestamp
                    .partial_cmp(&b.timestamp)
                    .unwrap_or(std::cmp::Ordering::Equal)
            });
        }
        lines
    }
}

impl fmt::Display for RequestHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for entry in self.sorted_by_time() {
            // The word marks a line of context, which shows the state that the
            // process had last logged.
            let mark = if entry.is_context { "believed " } else { "" };
            writeln!(f, "{}: {mark}{}", entry.log, entry.text)?;
        }
        match self.cause() {
            Some(cause) => writeln!(f, "cause: {cause}")?,
            None if self.is_empty() => writeln!(f, "no line has the id {}", self.id)?,
            None => writeln!(f, "cause: unknown, the lines do not show it")?,
        }
        write!(
            f,
            "{} bytes read, {} lines without an event",
            self.bytes_read, self.lines_without_event
        )
    }
}
