//! Graceful shutdown: no request is cut when the process is told to stop.

use std::future::Future;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

use super::Entry;
use crate::request::LONGEST_DEADLINE;

/// Time besides the longest deadline for the last answers to be written.
const MARGIN: Duration = Duration::from_secs(5);

/// Longest time for returning loans, whose lease is 2 s.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Longest time for records of attempts after the last request.
const BACKGROUND_TIME: Duration = Duration::from_secs(25);

/// Waits for `stop`, then for as long as callers may use look-up answers that
/// still name this VM.
pub(crate) async fn leave_after(entry: &Entry, stop: impl Future<Output = ()>) {
    stop.await;
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
    // Loans that are not returned are lost to the team until they lapse.
    let returning = entry.admission.give_back_all();
    let _ = tokio::time::timeout(RETURN_TIME, returning).await;
    let background = tokio::time::timeout(BACKGROUND_TIME, entry.background.wait());
    if background.await.is_err() {
        log::warn!("event=background_cut tasks={}", entry.background.count());
    }
    log::info!("event=stopped vm={}", entry.settings.vm);
}
