//! Graceful stop, and reloading of settings while a node runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use super::callers::{self, LOOKUP_TTL};
use super::heartbeat::BroadcastScope;
use super::{Node, heartbeat, read_settings, vm_entries};
use crate::logfmt;
use crate::request::StopSchedule;
use crate::sync::lock;

/// How long a VM still accepts connections after it received the signal to
/// stop, if the time to stop permits. Some callers cache the response to a lookup
/// for three times its time to live.
const ACCEPT_TIME: Duration = LOOKUP_TTL.saturating_mul(3);

/// How often the settings file is read to detect changes without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Serves callers until `stop` resolves, then stops gracefully: announces the
/// stop, accepts connections for a while, and waits for the open ones, as its
/// [`StopSchedule`] says.
pub(super) async fn serve_until(
    node: &Arc<Node>,
    listener: TcpListener,
    peers: &UdpSocket,
    stop: impl Future<Output = ()>,
) {
    let close = watch::Sender::new(false);
    let leave = async {
        stop.await;
        let schedule = begin_stop(node);
        announce_leaving(node, peers).await;
        tokio::time::sleep_until(schedule.accept_until.into()).await;
        schedule
    };
    let schedule = callers::serve_requests(node, listener, &close.subscribe(), leave).await;
    let _ = close.send(true);
    let ended = node.caller_connections.wait();
    if tokio::time::timeout_at(schedule.close_by.into(), ended)
        .await
        .is_err()
    {
        log::warn!(
            "event=stop_incomplete requests={}",
            node.running_requests.count()
        );
    }
}

/// Plans the stop from the time that the platform allows. From then on only
/// requests that end in time are sent to endpoints.
fn begin_stop(node: &Node) -> StopSchedule {
    let settings = node.settings.load();
    let (now, grace) = (Instant::now(), settings.bounds.stop_grace);
    let schedule = StopSchedule::new(now, grace, ACCEPT_TIME, Duration::ZERO);
    node.stopping.send_replace(Some(schedule));
    log::info!(
        "event=leaving vm={} requests={} grace_ms={} accept_ms={} respond_ms={}",
        logfmt::value(&settings.vm),
        node.running_requests.count(),
        grace.as_millis(),
        (schedule.accept_until - now).as_millis(),
        (schedule.respond_by - now).as_millis(),
    );
    schedule
}

/// Announces to the other VMs and to the store that this VM stops.
async fn announce_leaving(node: &Arc<Node>, peers: &UdpSocket) {
    lock(&node.quotas).mark_leaving();
    heartbeat::send_once(node, peers, BroadcastScope::Fleet).await;
    tokio::spawn(vm_entries::delist(Arc::clone(node)));
}

/// Reloads the settings on a signal and when the file has changed. Invalid
/// settings are logged and ignored.
pub(super) async fn reload_settings(node: Arc<Node>, path: PathBuf, mut reload: Signal) {
    loop {
        let cause = tokio::select! {
            _ = reload.recv() => "signal",
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => "file",
        };
        match read_settings(&path) {
            Ok(settings) if settings != **node.settings.load() => {
                node.settings.store(Arc::new(settings));
                log::info!("event=settings_reloaded cause={cause} changed=true");
            }
            Ok(_) if cause == "signal" => {
                log::info!("event=settings_reloaded cause={cause} changed=false");
            }
            Ok(_) => {}
            Err(error) => {
                // The settings in force remain in use.
                log::error!(
                    "event=settings_refused cause={cause} error={}",
                    logfmt::value(&error)
                );
            }
        }
    }
}
