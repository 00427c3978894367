//! A count over a sliding window of time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Parts of a window. More make the end of the window sharper and cost memory.
const SLICES: u32 = 20;

/// Counts events of the last `length`, in slices of a twentieth.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    length: Duration,
    slices: VecDeque<(Instant, f64)>,
    /// Invariant: the sum of the slices.
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
        self.drop_old(now);
        let width = self.length / SLICES;
        match self.slices.back_mut() {
            Some((start, n)) if now.saturating_duration_since(*start) < width => *n += count,
            _ => self.slices.push_back((now, count)),
        }
        self.total += count;
    }

    pub(crate) fn total(&mut self, now: Instant) -> f64 {
        self.drop_old(now);
        self.total
    }

    fn drop_old(&mut self, now: Instant) {
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
