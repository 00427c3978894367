//! Detects that the VM was suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Smaller differences are ignored: they come from reading the two clocks one
/// after the other.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Detects suspensions by comparing the monotonic clock, which stops while the
/// VM is suspended, with the boot-time clock, which goes on.
#[derive(Debug)]
pub(crate) struct SuspensionDetector {
    /// Total time for which the VM was suspended, as of the last reported
    /// suspension.
    suspended: Duration,
}

impl SuspensionDetector {
    pub(crate) fn new() -> Self {
        Self {
            suspended: total_suspended(),
        }
    }

    /// Returns how long the VM was suspended since the last reported
    /// suspension, or `None` when it was not.
    pub(crate) fn poll(&mut self) -> Option<Duration> {
        let total = total_suspended();
        let since = total.saturating_sub(self.suspended);
        if since < TOLERANCE {
            return None;
        }
        self.suspended = total;
        Some(since)
    }
}

/// Total time since the boot for which the VM was suspended.
fn total_suspended() -> Duration {
    read_clock(ClockId::Boottime).saturating_sub(read_clock(ClockId::Monotonic))
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
