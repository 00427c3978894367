//! Graceful stop, and reloading of settings while a node runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use super::callers::{self, LOOKUP_TTL};
use super::heartbeat::BroadcastScope;
use super::{Node, heartbeat, read_settings, vm_entries};
use crate::logfmt;
use crate::sync::lock;

/// How long a VM still accepts connections after it received the signal to
/// stop. Some callers cache the response to a lookup for three times its time to
/// live.
const ACCEPT_GRACE: Duration = LOOKUP_TTL.saturating_mul(3);

/// Margin before the end of the time to stop, so that the process ends by itself
/// before the platform kills it.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// How often the settings file is read to detect changes without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Serves callers until `stop` resolves, then stops gracefully: announces the
/// stop, accepts connections for another [`ACCEPT_GRACE`], and waits for the
/// open ones as long as the time to stop permits.
pub(super) async fn serve_until(
    node: &Arc<Node>,
    listener: TcpListener,
    peers: &UdpSocket,
    stop: impl Future<Output = ()>,
) {
    let close = watch::Sender::new(false);
    let leave = async {
        stop.await;
        announce_leaving(node, peers).await;
        tokio::time::sleep(ACCEPT_GRACE).await;
    };
    callers::serve_requests(node, listener, &close.subscribe(), leave).await;
    let _ = close.send(true);
    let stop_time = node.settings.load().bounds.stop_grace;
    let remaining = stop_time.saturating_sub(ACCEPT_GRACE + KILL_MARGIN);
    if tokio::time::timeout(remaining, node.caller_connections.wait())
        .await
        .is_err()
    {
        log::warn!(
            "event=stop_incomplete requests={}",
            node.running_requests.count()
        );
    }
}

/// Announces to the other VMs and to the store that this VM stops.
async fn announce_leaving(node: &Arc<Node>, peers: &UdpSocket) {
    let requests = node.running_requests.count();
    log::info!(
        "event=leaving vm={} requests={requests}",
        node.settings.load().vm
    );
    node.leaving.send_replace(true);
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
