//! Graceful shutdown: no request is cut when the process is told to stop.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use super::Entry;
use crate::request::LONGEST_DEADLINE;

/// Time besides the longest deadline for the last answers to be written.
const MARGIN: Duration = Duration::from_secs(5);

/// Longest time for records of attempts after the last request.
const BACKGROUND_TIME: Duration = Duration::from_secs(25);

/// Signals that stop the process.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Receives signals from now on, instead of being ended by them.
    ///
    /// # Errors
    ///
    /// Fails when the operating system refuses.
    pub(crate) fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn received(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal, then for as long as callers may use look-up answers
/// that still name this VM.
pub(crate) async fn leave_on_signal(entry: &Entry, signals: Signals) {
    signals.received().await;
    entry.leaving.store(true, Ordering::Release);
    log::info!("event=leaving vm={}", entry.settings.vm);
    let view = entry.in_force.load_full();
    let ttl = view
        .config
        .as_ref()
        .map_or(Duration::ZERO, |c| c.lookup_ttl);
    tokio::time::sleep(ttl).await;
}

/// Closes idle callers' connections and waits for running requests.
pub(crate) async fn finish(entry: &Entry, close: &watch::Sender<bool>) {
    close.send_replace(true);
    let requests = tokio::time::timeout(LONGEST_DEADLINE + MARGIN, entry.callers.wait());
    if requests.await.is_err() {
        log::error!("event=requests_cut connections={}", entry.callers.count());
    }
    // Peers could otherwise use the lent parts only after their leases ended.
    entry.admission.give_back_all().await;
    let background = tokio::time::timeout(BACKGROUND_TIME, entry.background.wait());
    if background.await.is_err() {
        log::warn!("event=background_cut tasks={}", entry.background.count());
    }
    log::info!("event=stopped vm={}", entry.settings.vm);
}
