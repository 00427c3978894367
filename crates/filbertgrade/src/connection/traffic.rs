//! Counts frames and bytes of the links between our processes.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::wire;

/// Bytes include the length prefix, but neither TCP nor IP headers.
static IN: Direction = Direction::new();
static OUT: Direction = Direction::new();

struct Direction {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Direction {
    const fn new() -> Self {
        Self {
            frames: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        }
    }

    fn count(&self, bytes: usize) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

pub(super) fn received(bytes: usize) {
    IN.count(bytes);
    metrics::counter!("link_frames_total", "direction" => "in").increment(1);
    metrics::counter!("link_bytes_total", "direction" => "in").increment(bytes as u64);
}

pub(super) fn sent(bytes: usize) {
    OUT.count(bytes);
    metrics::counter!("link_frames_total", "direction" => "out").increment(1);
    metrics::counter!("link_bytes_total", "direction" => "out").increment(bytes as u64);
}

/// Frames and bytes of all links since the process started.
pub(crate) fn total() -> wire::LinkTraffic {
    wire::LinkTraffic {
        frames_in: IN.frames.load(Ordering::Relaxed),
        bytes_in: IN.bytes.load(Ordering::Relaxed),
        frames_out: OUT.frames.load(Ordering::Relaxed),
        bytes_out: OUT.bytes.load(Ordering::Relaxed),
    }
}
