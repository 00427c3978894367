//! Writes log lines to standard output through a bounded buffer, so that a slow
//! reader of the log never delays a request.

use std::io::Write;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, SystemTime};

use crate::sync::lock;

/// Capacity of the buffer in bytes. It bounds the memory that is used when the
/// reader of standard output stops reading, and holds some seconds of lines
/// under overload.
const BUFFER_BYTES: usize = 1024 * 1024;

/// Part of the buffer that lines below level warn may fill. The rest is
/// reserved for warnings and errors, so that these are dropped last.
const INFO_BYTES: usize = BUFFER_BYTES / 4 * 3;

/// Time between two writes to standard output. A longer interval saves CPU time
/// but loses more lines when the process is killed.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for writing the last lines. It lies within the margin that a
/// planned stop leaves before the platform kills the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

static BUFFER: OnceLock<Arc<Mutex<Buffer>>> = OnceLock::new();

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Number of lines that were dropped since the last write.
    dropped: u64,
}

/// The output of `env_logger`, which passes one whole line to each `write`.
#[derive(Debug)]
struct LineWriter(Arc<Mutex<Buffer>>);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        lock(&self.0).push_line(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Buffer {
    fn push_line(&mut self, line: &[u8]) {
        let urgent = line.starts_with(b"level=warn") || line.starts_with(b"level=error");
        let limit = if urgent { BUFFER_BYTES } else { INFO_BYTES };
        if self.bytes.len() + line.len() > limit {
            self.dropped += 1;
            metrics::counter!("log_lines_dropped_total").increment(1);
            return;
        }
        self.bytes.extend_from_slice(line);
    }

    /// Empties the buffer and returns its lines. A line that counts the dropped
    /// ones follows, if there are any.
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

/// Initializes logging, with one line for each event. Lines of `default_level`
/// and above are written, unless the environment variable `RUST_LOG` says
/// otherwise. A separate thread writes them to standard output, so that only
/// this thread blocks when the reader stops reading.
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
            write_buffered(&buffer);
        }
    });
}

/// Wall clock time, for readers who compare the logs of several processes. The
/// code makes no decision by it.
fn seconds_since_1970() -> f64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0.0, |time| time.as_secs_f64())
}

/// Writes the buffered lines; called before the process ends. Gives up after
/// 150 ms, because standard output blocks while nobody reads it.
pub fn flush() {
    let Some(buffer) = BUFFER.get().map(Arc::clone) else {
        return;
    };
    let (written, is_written) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        write_buffered(&buffer);
        // The receiver is gone if this took too long.
        let _ = written.send(());
    });
    let _ = is_written.recv_timeout(FLUSH_TIMEOUT);
}

fn write_buffered(buffer: &Mutex<Buffer>) {
    let bytes = lock(buffer).drain();
    if bytes.is_empty() {
        return;
    }
    let mut out = std::io::stdout().lock();
    // A failure cannot be logged when standard output is closed.
    let _ = out.write_all(&bytes).and_then(|()| out.flush());
}
