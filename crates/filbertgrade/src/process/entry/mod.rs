//! The entry: answers look-ups and carries requests to backend servers.

mod admission;
mod caller;
mod dump;
mod feed;
mod links;
mod lookup;
mod peers;
mod slots;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use tokio::net::TcpListener;

use self::admission::Admission;
use self::links::PeerLinks;
use self::slots::Slots;
use crate::connection::serve_frames;
use crate::process::settings::NodeSettings;
use crate::version::InForce;

/// Why the entry stopped.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum EntryError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// State of the entry that all requests share.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: NodeSettings,
    pub(crate) in_force: Arc<ArcSwap<InForce>>,
    /// Until when the state in force may be relied on.
    pub(crate) valid_until: ArcSwap<Option<Instant>>,
    /// Links to the entries of the other VMs.
    pub(crate) links: Arc<PeerLinks>,
    /// Teams' rates and bursts.
    pub(crate) admission: Admission,
    /// Slots of endpoints.
    pub(crate) slots: Slots,
}

impl Entry {
    fn new(settings: NodeSettings) -> Self {
        let in_force = Arc::new(ArcSwap::default());
        let links = Arc::new(PeerLinks::new(settings.clone()));
        Self {
            admission: Admission::new(settings.vm.clone(), Arc::clone(&links)),
            slots: Slots::new(settings.clone(), Arc::clone(&in_force), Arc::clone(&links)),
            settings,
            links,
            in_force,
            valid_until: ArcSwap::default(),
        }
    }

    /// The view in force.
    pub(crate) fn view(&self) -> Arc<InForce> {
        self.in_force.load_full()
    }

    /// The VM can tell that its state is still valid.
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.load().is_some_and(|until| now <= until)
    }
}

/// Runs the entry until the process is stopped.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn run(settings: NodeSettings) -> Result<(), EntryError> {
    let address = SocketAddr::new(settings.address, settings.ports.caller);
    let listener = listen(address).await?;
    let peer_address = SocketAddr::new(settings.address, settings.ports.entry_peer);
    let peer_listener = listen(peer_address).await?;
    let operators = listen(SocketAddr::new(
        settings.address,
        settings.ports.entry_operator,
    ))
    .await?;
    log::info!("event=entry_started vm={} address={address}", settings.vm);
    let entry = Arc::new(Entry::new(settings));
    tokio::spawn(dump::operator_port(&entry).serve(operators));
    tokio::spawn(feed::follow_agent(Arc::clone(&entry)));
    tokio::spawn(serve_peers(Arc::clone(&entry), peer_listener));
    caller::serve(entry, listener).await;
    Ok(())
}

async fn serve_peers(entry: Arc<Entry>, listener: TcpListener) {
    serve_frames(listener, move |_peer, body| {
        peers::answer(Arc::clone(&entry), body)
    })
    .await;
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| EntryError::Listen { address, source })
}
