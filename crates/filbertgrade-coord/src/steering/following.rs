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

/// Why a pull from a relay failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullFailure {
    /// The connection failed or was silent. The relay may reply on a new one.
    Connection,
    /// The relay has no recent copy.
    NoRecentCopy,
}

/// What to do after a pull from a relay failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterPullFailure {
    /// Pull from the same relay again at once, over a new connection.
    Reconnect,
    /// Pull from the same relay again after a short time, in which it may fail
    /// over to another relay or to the store.
    RetryLater,
    /// Pull from another relay, or from the store.
    Exclude,
}

/// Outcomes of the pulls of one kind of object.
///
/// Bounds the time from the failure of a relay to the first read elsewhere. Only
/// the pull that finds a proven relay silent is held back for changes; each one
/// after it expects its reply at once, whatever relays and connections fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct PullOutcomes {
    /// The relay of the last pull, if that pull succeeded.
    proven: Option<SocketAddr>,
    /// The relay of the last pull, if it had no recent copy.
    outdated: Option<SocketAddr>,
}

impl PullOutcomes {
    /// Reports whether the last pull succeeded, and was from this relay. A pull
    /// from any other one must not wait for changes.
    pub fn is_proven(&self, relay: SocketAddr) -> bool {
        self.proven == Some(relay)
    }

    /// Records that a pull succeeded.
    pub fn record_success(&mut self, relay: SocketAddr) {
        self.proven = Some(relay);
        self.outdated = None;
    }

    /// Records that a pull failed. `relays` is the number of relays of this VM, and
    /// `store_unreachable` says that the store does not respond to this VM.
    ///
    /// The first failure of a connection that worked says nothing about the
    /// relay. A relay without a recent copy is given time to get one, unless it
    /// is the only one, and this VM the first to reach the store, or the store is
    /// known to be lost.
    pub fn record_failure(
        &mut self,
        relay: SocketAddr,
        failure: PullFailure,
        relays: usize,
        store_unreachable: bool,
    ) -> AfterPullFailure {
        let was_proven = self.proven.take() == Some(relay);
        let was_outdated = self.outdated.take() == Some(relay);
        match failure {
            PullFailure::Connection if was_proven => AfterPullFailure::Reconnect,
            PullFailure::NoRecentCopy if relays > 1 && !store_unreachable && !was_outdated => {
                self.outdated = Some(relay);
                AfterPullFailure::RetryLater
            }
            PullFailure::Connection | PullFailure::NoRecentCopy => AfterPullFailure::Exclude,
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
