//! How a VM keeps following the store when connections stop delivering data.
//!
//! Handles connections that go silent without a reset, while new connections to
//! the same VM or store work. A long poll on such a connection looks like one
//! without changes, so that drains, evacuations and withdrawn keys would arrive
//! only after the poll has timed out.

use std::time::{Duration, Instant};

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
