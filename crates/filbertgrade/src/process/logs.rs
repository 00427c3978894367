//! Log lines on standard output, without a request ever waiting for a reader.

use std::io::Write;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, SystemTime};

use crate::sync::lock;

/// Bytes that may wait for the reader of standard output. It bounds the memory
/// that a reader that stopped costs, and holds some seconds of lines in
/// overload.
const BUFFER_BYTES: usize = 1024 * 1024;

/// Part of the buffer from which on only warnings and errors are taken, so
/// that they are lost last.
const INFO_BYTES: usize = BUFFER_BYTES / 4 * 3;

/// Time between two writes. Longer saves processor time and loses more lines
/// when the process is killed.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

static BUFFER: OnceLock<Arc<Mutex<Buffer>>> = OnceLock::new();

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines that were dropped since the last write.
    dropped: u64,
}

/// Where `env_logger` writes to: each call holds one whole line.
#[derive(Debug)]
struct LineWriter(Arc<Mutex<Buffer>>);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        lock(&self.0).take(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Buffer {
    fn take(&mut self, line: &[u8]) {
        let urgent = line.starts_with(b"level=warn") || line.starts_with(b"level=error");
        let limit = if urgent { BUFFER_BYTES } else { INFO_BYTES };
        if self.bytes.len() + line.len() > limit {
            self.dropped += 1;
            metrics::counter!("log_lines_dropped_total").increment(1);
            return;
        }
        self.bytes.extend_from_slice(line);
    }

    fn drain(&mut self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.bytes);
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            let line = format!("level=warn event=log_lines_dropped lines={dropped}\n");
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }
}

/// Writes log lines of this level and above from now on, one line for each
/// event. A thread of its own writes them, so that a reader that stops stops
/// only that thread.
pub fn init(default_level: &str) {
    let buffer = Arc::clone(BUFFER.get_or_init(Arc::default));
    let writer = LineWriter(Arc::clone(&buffer));
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(default_level))
        .format(|out, record| {
            writeln!(
                out,
                "level={} target={} ts={:.3} {}",
                record.level().as_str().to_lowercase(),
                record.target(),
                seconds_since_1970(),
                record.args()
            )
        })
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .init();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(WRITE_INTERVAL);
            write_out(&buffer);
        }
    });
}

/// The time of day, for who reads the lines of several processes. Nothing is
/// decided by it.
fn seconds_since_1970() -> f64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0.0, |time| time.as_secs_f64())
}

/// Writes what waits, before the process ends.
pub fn flush() {
    if let Some(buffer) = BUFFER.get() {
        write_out(buffer);
    }
}

fn write_out(buffer: &Mutex<Buffer>) {
    let bytes = lock(buffer).drain();
    if bytes.is_empty() {
        return;
    }
    let mut out = std::io::stdout().lock();
    // Nobody is left to be told when standard output is closed.
    let _ = out.write_all(&bytes).and_then(|()| out.flush());
}
