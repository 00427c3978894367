//! How a VM keeps following the store when connections stop delivering data.
//!
//! Handles connections that go silent without a reset, while new connections to
//! the same VM or store work. A long poll on such a connection looks like one
//! without changes, so that drains, evacuations and withdrawn keys would arrive
//! only after the poll has timed out.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::steering::store_revision::StoreRevision;

/// Delay before the first call to the store after one that failed.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(300);

/// Number of calls before the delay has its full length. A short outage ends
/// within their time.
const QUICK_PROBES: u32 = 3;

/// Longest mean delay between two calls of a VM to a store that does not respond.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(6);

/// Mean time between two calls of all VMs of a region together to a store that
/// does not respond. The first one that gets a response serves the others. The
/// VM that follows the store for the region calls more often.
const REGION_PROBE_INTERVAL: Duration = Duration::from_millis(800);

/// Shortest upper limit of the delay between two calls, for small regions.
const MIN_PROBE_DELAY_LIMIT: Duration = Duration::from_millis(900);

/// From where a VM reads the changes of the store next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFrom {
    /// From the relay at this address.
    Relay(SocketAddr),
    /// From the store itself.
    Store,
    /// From neither for now: all relays have failed recently, and the store
    /// does not respond to this VM. The relay at this address is tried again
    /// after a delay.
    Wait(SocketAddr),
}

/// Decides from where a VM reads next. `relays` are those of this VM in order of
/// preference, none if it follows the store for its region. `probe_due` says that
/// the VM has not called an unreachable store for the time of a [`ProbeDelay`].
///
/// Handles an outage of the store, in which all relays fail and every VM would
/// call the store again and again.
pub fn read_from(
    relays: &[SocketAddr],
    failed_recently: impl Fn(&SocketAddr) -> bool,
    store_unreachable: bool,
    probe_due: bool,
) -> ReadFrom {
    if let Some(relay) = relays.iter().find(|relay| !failed_recently(relay)) {
        return ReadFrom::Relay(*relay);
    }
    match relays.first() {
        Some(relay) if store_unreachable && !probe_due => ReadFrom::Wait(*relay),
        _ => ReadFrom::Store,
    }
}

/// Delays between the calls of one VM to a store that does not respond.
///
/// The VMs of a region call rarely enough that their calls together do not grow
/// with the region. Each keeps calling, because the others may be cut off from
/// the store for longer.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeDelay {
    /// Consecutive failed calls.
    failures: u32,
}

impl ProbeDelay {
    /// Records that a call succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records that a call failed, and returns the delay before the next one in
    /// a region of `vms` VMs. `jitter` from 0 to 1 spreads the calls of VMs.
    pub fn next(&mut self, vms: usize, jitter: f64) -> Duration {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        let limit = REGION_PROBE_INTERVAL
            .saturating_mul(vms)
            .clamp(MIN_PROBE_DELAY_LIMIT, MAX_PROBE_DELAY);
        // The delays of all VMs start in step; one long step spreads them at once.
        let delay = match self.failures {
            0..QUICK_PROBES => FIRST_PROBE_DELAY.saturating_mul(1 << self.failures),
            _ => limit,
        };
        self.failures = self.failures.saturating_add(1);
        delay
            .min(limit)
            .mul_f64(0.75 + jitter.clamp(0.0, 1.0) / 2.0)
    }
}

/// What to do after a pull from a relay failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterPullFailure {
    /// Pull from the same relay again, over a new connection.
    Reconnect,
    /// Pull from another relay, or from the store.
    Exclude,
}

/// Failures of the pulls of one kind of object from the current relay.
#[derive(Clone, Copy, Debug, Default)]
pub struct PullFailures {
    /// The last pull failed with its connection.
    connection_failed: bool,
}

impl PullFailures {
    /// Records that a pull succeeded.
    pub fn record_success(&mut self) {
        self.connection_failed = false;
    }

    /// Records that a pull failed. A first failure of a connection says nothing
    /// about the relay, which may reply on a new one. A second one in a row, or
    /// a relay that replies that it has no recent copy, does.
    pub fn record_failure(&mut self, only_connection_failed: bool) -> AfterPullFailure {
        if only_connection_failed && !self.connection_failed {
            self.connection_failed = true;
            AfterPullFailure::Reconnect
        } else {
            self.connection_failed = false;
            AfterPullFailure::Exclude
        }
    }
}

/// Detects that the watch of one kind of object no longer delivers changes.
///
/// Revisions are counted over all kinds, so the watch of another kind, on a
/// connection of its own, shows how far the store has advanced. A watch that
/// lags behind for longer than a change takes to arrive is on a broken
/// connection, or waits without changes of its kind. In both cases a read that
/// does not wait settles it.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    /// Revision from which the watch waits for changes.
    watched: StoreRevision,
    tolerance: Duration,
    /// When the store was first known to be ahead of `watched`.
    behind_since: Option<Instant>,
}

impl StallDetector {
    /// Creates the detector of a watch for changes after revision `watched`,
    /// which may lag behind the store for `tolerance`.
    #[must_use]
    pub fn new(watched: StoreRevision, tolerance: Duration) -> Self {
        Self {
            watched,
            tolerance,
            behind_since: None,
        }
    }

    /// Records the newest known revision of the store. Returns when the watch
    /// counts as stalled if nothing arrives before; `None` while it is not
    /// behind.
    pub fn record_newest(&mut self, newest: StoreRevision, now: Instant) -> Option<Instant> {
        if newest > self.watched {
            self.behind_since.get_or_insert(now);
        }
        self.behind_since.map(|since| since + self.tolerance)
    }
}
