//! A count of events over a sliding time window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of slices in a window. Events expire one slice at a time, so more
/// slices make expiry more exact and cost more memory.
const SLICES: u32 = 20;

/// Counts the events of the last `length`, with the resolution of one slice.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    length: Duration,
    /// Start and count of each slice, oldest first.
    slices: VecDeque<(Instant, f64)>,
    /// Invariant: the sum of the counts in `slices`.
    total: f64,
}

impl Window {
    pub(crate) fn new(length: Duration) -> Self {
        Self {
            length,
            slices: VecDeque::new(),
            total: 0.0,
        }
    }

    pub(crate) fn add(&mut self, now: Instant, count: f64) {
        self.expire_slices(now);
        let slice_length = self.length / SLICES;
        match self.slices.back_mut() {
            Some((start, n)) if now.saturating_duration_since(*start) < slice_length => *n += count,
            _ => self.slices.push_back((now, count)),
        }
        self.total += count;
    }

    pub(crate) fn total(&mut self, now: Instant) -> f64 {
        self.expire_slices(now);
        self.total
    }

    fn expire_slices(&mut self, now: Instant) {
        while let Some((start, count)) = self.slices.front() {
            if now.saturating_duration_since(*start) <= self.length {
                return;
            }
            self.total -= count;
            self.slices.pop_front();
        }
        self.total = 0.0;
    }
}
