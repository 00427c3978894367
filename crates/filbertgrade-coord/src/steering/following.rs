//! How a VM keeps following the store when connections stop delivering data.
//!
//! Handles connections that go silent without a reset, while new connections to
//! the same VM or store work. A long poll on such a connection looks like one
//! without changes, so that drains, evacuations and withdrawn keys would arrive
//! only after the poll has timed out.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

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
/// preference, none if it follows the store for its region.
///
/// Handles an outage of the store, in which all relays fail and every VM would
/// call the store again and again. A VM that knows that the store does not
/// respond to it leaves the calls to the first VMs of its region, whose relays
/// it tries again.
pub fn read_from(
    relays: &[SocketAddr],
    failed_recently: impl Fn(&SocketAddr) -> bool,
    store_unreachable: bool,
) -> ReadFrom {
    if let Some(relay) = relays.iter().find(|relay| !failed_recently(relay)) {
        return ReadFrom::Relay(*relay);
    }
    match relays.first() {
        Some(relay) if store_unreachable => ReadFrom::Wait(*relay),
        _ => ReadFrom::Store,
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
    watched: u64,
    tolerance: Duration,
    /// When the store was first known to be ahead of `watched`.
    behind_since: Option<Instant>,
}

impl StallDetector {
    /// Creates the detector of a watch for changes after revision `watched`,
    /// which may lag behind the store for `tolerance`.
    #[must_use]
    pub fn new(watched: u64, tolerance: Duration) -> Self {
        Self {
            watched,
            tolerance,
            behind_since: None,
        }
    }

    /// Records the newest known revision of the store. Returns when the watch
    /// counts as stalled if nothing arrives before; `None` while it is not
    /// behind.
    pub fn record_newest(&mut self, newest: u64, now: Instant) -> Option<Instant> {
        if newest > self.watched {
            self.behind_since.get_or_insert(now);
        }
        self.behind_since.map(|since| since + self.tolerance)
    }
}
