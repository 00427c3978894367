//! The graceful stop, and settings that change while a node runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use super::callers::{self, LOOKUP_TTL};
use super::heartbeat::Reach;
use super::{Node, heartbeat, read_settings, store};
use crate::logfmt;
use crate::sync::lock;

/// How long after it was told to stop a VM still accepts connections: three
/// times the time to live of a look-up, for which some callers keep it.
const ACCEPT_TIME: Duration = LOOKUP_TTL.saturating_mul(3);

/// Time before the process is ended by force that is left unused.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// How often the settings file is looked at for changes without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Serves callers until `stop` resolves, then finishes what runs.
pub(super) async fn serve_until(
    node: &Arc<Node>,
    listener: TcpListener,
    peers: &UdpSocket,
    stop: impl Future<Output = ()>,
) {
    let close = watch::Sender::new(false);
    let leave = async {
        stop.await;
        leave(node, peers).await;
        tokio::time::sleep(ACCEPT_TIME).await;
    };
    callers::serve_requests(node, listener, &close.subscribe(), leave).await;
    let _ = close.send(true);
    let time = node.settings.load().bounds.stop_grace;
    let rest = time.saturating_sub(ACCEPT_TIME + STOP_MARGIN);
    if tokio::time::timeout(rest, node.caller_connections.wait())
        .await
        .is_err()
    {
        log::warn!(
            "event=stop_incomplete requests={}",
            node.running_requests.count()
        );
    }
}

async fn leave(node: &Arc<Node>, peers: &UdpSocket) {
    let requests = node.running_requests.count();
    log::info!(
        "event=leaving vm={} requests={requests}",
        node.settings.load().vm
    );
    node.leaving.send_replace(true);
    lock(&node.quotas).mark_leaving();
    heartbeat::send_once(node, peers, Reach::Fleet).await;
    tokio::spawn(store::delist(Arc::clone(node)));
}

/// Reads the settings anew when they change.
pub(super) async fn reload_settings(node: Arc<Node>, path: PathBuf, mut reload: Signal) {
    loop {
        let cause = tokio::select! {
            _ = reload.recv() => "signal",
            () = tokio::time::sleep(SETTINGS_INTERVAL) => "file",
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
                // The settings in force stay.
                log::error!(
                    "event=settings_refused cause={cause} error={}",
                    logfmt::value(&error)
                );
            }
        }
    }
}
