//! Counters of the frames and bytes on the links between the processes of the
//! system.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::wire;

/// Received frames.
static IN: Counters = Counters::new();
/// Sent frames.
static OUT: Counters = Counters::new();

/// Totals of one direction since the process started.
struct Counters {
    frames: AtomicU64,
    /// Includes the length prefixes, but neither TCP nor IP headers.
    bytes: AtomicU64,
}

impl Counters {
    const fn new() -> Self {
        Self {
            frames: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        }
    }

    fn count_frame(&self, bytes: usize) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Counts a received frame of `bytes`, including its length prefix.
pub(super) fn count_received(bytes: usize) {
    IN.count_frame(bytes);
    metrics::counter!("link_frames_total", "direction" => "in").increment(1);
    metrics::counter!("link_bytes_total", "direction" => "in").increment(bytes as u64);
}

/// Counts a sent frame of `bytes`, including its length prefix.
pub(super) fn count_sent(bytes: usize) {
    OUT.count_frame(bytes);
    metrics::counter!("link_frames_total", "direction" => "out").increment(1);
    metrics::counter!("link_bytes_total", "direction" => "out").increment(bytes as u64);
}

/// Returns the totals of all links since the process started.
pub(crate) fn total() -> wire::LinkTraffic {
    wire::LinkTraffic {
        frames_in: IN.frames.load(Ordering::Relaxed),
        bytes_in: IN.bytes.load(Ordering::Relaxed),
        frames_out: OUT.frames.load(Ordering::Relaxed),
        bytes_out: OUT.bytes.load(Ordering::Relaxed),
    }
}
