//! Notices that the VM was suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Differences below this come from reading two clocks one after the other.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Compares the steady clock with the one that goes on while a VM is
/// suspended.
#[derive(Debug)]
pub(crate) struct SuspensionDetector {
    /// Time that the VM was suspended in all, as of the last look.
    suspended: Duration,
}

impl SuspensionDetector {
    pub(crate) fn new() -> Self {
        Self {
            suspended: suspended(),
        }
    }

    /// How long the VM was suspended since the last look, if it was.
    pub(crate) fn look(&mut self) -> Option<Duration> {
        let total = suspended();
        let since = total.saturating_sub(self.suspended);
        if since < TOLERANCE {
            return None;
        }
        self.suspended = total;
        Some(since)
    }
}

fn suspended() -> Duration {
    read(ClockId::Boottime).saturating_sub(read(ClockId::Monotonic))
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
