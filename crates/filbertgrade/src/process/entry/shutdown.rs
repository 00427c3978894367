//! Graceful stop of the entry: running requests are completed before the process
//! exits.

use std::future::Future;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::Entry;
use crate::request::StopSchedule;

/// The time to stop divided by this is kept free for returning loans and units
/// after the last response, but at most [`LONGEST_RETURN`].
const RETURN_DIVISOR: u32 = 4;

/// Longest time for returning loans. It equals the lease of a loan (2 s), after
/// which a loan that was not returned expires.
const LOAN_RETURN_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time until the units of a leaving VM have been moved to other VMs:
/// loans return within 2.5 s, and then every VM acknowledges the share table
/// that no longer contains the units.
const UNIT_TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for returning loans and units.
const LONGEST_RETURN: Duration = LOAN_RETURN_TIMEOUT.saturating_add(UNIT_TRANSFER_TIMEOUT);

/// Interval between two checks of the share table.
const UNIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for recording attempts after the last request has ended.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(25);

/// Waits for `stop` and marks the VM as leaving, then waits until the lookup
/// responses that still contain this VM have expired, if the time to stop permits.
pub(crate) async fn leave_on(entry: &Entry, stop: impl Future<Output = ()>) -> StopSchedule {
    stop.await;
    let view = entry.in_force.load_full();
    let ttl = view
        .config
        .as_ref()
        .map_or(Duration::ZERO, |c| c.lookup_ttl);
    let grace = entry.settings.stop_grace;
    let reserved = LONGEST_RETURN.min(grace / RETURN_DIVISOR);
    let now = Instant::now();
    let schedule = StopSchedule::new(now, grace, ttl, reserved);
    entry.stopping.send_replace(Some(schedule));
    log::info!(
        "event=leaving vm={} grace_ms={} accept_ms={} respond_ms={}",
        entry.settings.vm,
        grace.as_millis(),
        (schedule.accept_until - now).as_millis(),
        (schedule.respond_by - now).as_millis(),
    );
    tokio::time::sleep_until(schedule.accept_until.into()).await;
    schedule
}

/// Closes idle connections of callers, waits for running requests, returns the
/// VM's loans, and waits until its units have been moved to other VMs.
pub(crate) async fn stop_gracefully(
    entry: &Entry,
    close: &watch::Sender<bool>,
    schedule: &StopSchedule,
) {
    close.send_replace(true);
    let requests = entry.caller_connections.wait();
    let requests = tokio::time::timeout_at(schedule.close_by.into(), requests);
    if requests.await.is_err() {
        log::error!(
            "event=requests_cut connections={}",
            entry.caller_connections.count()
        );
    }
    // A loan that is not returned stays unusable for its team until its lease
    // expires.
    let at_most = |limit| (Instant::now() + limit).min(schedule.exit_by).into();
    let loan_returns = entry.admission.return_all_loans();
    let _ = tokio::time::timeout_at(at_most(LOAN_RETURN_TIMEOUT), loan_returns).await;
    let unit_transfer = wait_for_unit_transfer(entry);
    if tokio::time::timeout_at(at_most(UNIT_TRANSFER_TIMEOUT), unit_transfer)
        .await
        .is_err()
    {
        log::warn!("event=units_not_moved vm={}", entry.settings.vm);
    }
    let background = entry.background.wait();
    let background = tokio::time::timeout_at(at_most(BACKGROUND_TIMEOUT), background);
    if background.await.is_err() {
        log::warn!("event=background_cut tasks={}", entry.background.count());
    }
    log::info!("event=stopped vm={}", entry.settings.vm);
}

/// Waits until the share table no longer contains a VM that is leaving the
/// fleet.
///
/// A process that has ended does not acknowledge share tables, so its units
/// would stay unused until the hold-off of 10 s after its VM left the list is
/// over. A VM that is expected to return is still listed as live and keeps its
/// units.
async fn wait_for_unit_transfer(entry: &Entry) {
    let vm = &entry.settings.vm;
    loop {
        let view = entry.view();
        let is_leaving = view.vms.get(vm).is_none_or(|record| !record.is_live());
        if !is_leaving || !view.shares.units().contains_key(vm) {
            return;
        }
        tokio::time::sleep(UNIT_POLL_INTERVAL).await;
    }
}
