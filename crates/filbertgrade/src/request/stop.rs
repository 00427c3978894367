//! The times of a planned stop, and which requests the process still takes.

use std::time::{Duration, Instant};

use tokio::sync::watch;

/// Margin before the platform kills the process, in which it ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Time for writing the last responses to callers.
const WRITE_TIME: Duration = Duration::from_millis(100);

/// The times of a planned stop.
///
/// Invariant: `accept_until <= respond_by <= close_by <= exit_by`, and all of them lie before
/// the end of the time that the platform allows, unless that is shorter than the
/// margins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Until when new connections are accepted. Some callers connect because of
    /// an earlier response to a lookup.
    pub accept_until: Instant,
    /// When the last requests are answered, also those that still run.
    pub respond_by: Instant,
    /// When the connections of callers are closed.
    pub close_by: Instant,
    /// When the process exits.
    pub exit_by: Instant,
}

impl StopSchedule {
    /// Plans a stop that was signalled at `signalled_at`. The platform kills the
    /// process `grace` later. Connections are accepted for `accept_for`, or for as
    /// long as `grace` permits. `reserved` is kept free at the end for what follows
    /// the last response.
    #[must_use]
    pub fn new(
        signalled_at: Instant,
        grace: Duration,
        accept_for: Duration,
        reserved: Duration,
    ) -> Self {
        let exit_by = signalled_at + grace.saturating_sub(KILL_MARGIN);
        let respond_in = grace.saturating_sub(KILL_MARGIN + WRITE_TIME + reserved);
        let respond_by = signalled_at + respond_in;
        Self {
            accept_until: respond_by.min(signalled_at + accept_for),
            respond_by,
            close_by: exit_by.min(respond_by + WRITE_TIME),
            exit_by,
        }
    }

    /// Whether a request may be sent to a backend server: only if it ends before
    /// the last responses, however long the backend server takes. A request that
    /// is broken off can't be repeated in general, while a refused one is served
    /// by another VM.
    #[must_use]
    pub fn permits(&self, deadline: Instant) -> bool {
        deadline <= self.respond_by
    }

    /// Resolves when the last responses of a planned stop are due. Never resolves
    /// without one.
    pub(crate) async fn wait_for_last_responses(mut stopping: watch::Receiver<Option<Self>>) {
        let schedule = stopping.wait_for(Option::is_some).await.map(|s| *s);
        match schedule {
            Ok(Some(schedule)) => tokio::time::sleep_until(schedule.respond_by.into()).await,
            _ => std::future::pending().await,
        }
    }
}
