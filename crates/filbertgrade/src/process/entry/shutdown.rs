//! Graceful shutdown: no request is cut when the process is told to stop.

use std::future::Future;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

use super::Entry;
use crate::request::MAX_DEADLINE;

/// Time besides the longest deadline for the last answers to be written.
const MARGIN: Duration = Duration::from_secs(5);

/// Longest time for returning loans, whose lease is 2 s.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Longest time until a leaving VM's units are with other VMs: loans come back
/// after at most 2.5 s, then every VM acknowledges the table without them.
const UNITS_TIME: Duration = Duration::from_secs(5);

/// Time between two looks at the share table.
const UNITS_POLL: Duration = Duration::from_millis(50);

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
    let requests = tokio::time::timeout(MAX_DEADLINE + MARGIN, entry.callers.wait());
    if requests.await.is_err() {
        log::error!("event=requests_cut connections={}", entry.callers.count());
    }
    // Loans that are not returned are lost to the team until they lapse.
    let returning = entry.admission.give_back_all();
    let _ = tokio::time::timeout(RETURN_TIME, returning).await;
    if tokio::time::timeout(UNITS_TIME, units_moved(entry))
        .await
        .is_err()
    {
        log::warn!("event=units_not_moved vm={}", entry.settings.vm);
    }
    let background = tokio::time::timeout(BACKGROUND_TIME, entry.background.wait());
    if background.await.is_err() {
        log::warn!("event=background_cut tasks={}", entry.background.count());
    }
    log::info!("event=stopped vm={}", entry.settings.vm);
}

/// Waits until the share table no longer names a VM that leaves the fleet.
///
/// A process that ended acknowledges nothing, so its units would be unused
/// until the hold-off of 10 s after its VM left the list has passed. A VM that
/// is to come back is listed as live and keeps its units.
async fn units_moved(entry: &Entry) {
    let vm = &entry.settings.vm;
    loop {
        let view = entry.view();
        let leaves = view.vms.get(vm).is_none_or(|record| !record.is_live());
        if !leaves || !view.shares.units().contains_key(vm) {
            return;
        }
        tokio::time::sleep(UNITS_POLL).await;
    }
}
