//! The entry: answers look-ups and carries requests to backend servers.

mod admission;
mod caller;
mod feed;
mod lookup;
mod slots;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use tokio::net::TcpListener;

use self::admission::Admission;
use self::slots::Slots;
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
    pub(crate) in_force: ArcSwap<InForce>,
    /// Until when the state in force may be relied on.
    pub(crate) valid_until: ArcSwap<Option<Instant>>,
    /// Teams' rates and bursts.
    pub(crate) admission: Admission,
    /// Slots of endpoints.
    pub(crate) slots: Slots,
}

impl Entry {
    fn new(settings: NodeSettings) -> Self {
        let slots = Slots::new(settings.clone());
        Self {
            settings,
            admission: Admission::default(),
            slots,
            in_force: ArcSwap::default(),
            valid_until: ArcSwap::default(),
        }
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
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| EntryError::Listen { address, source })?;
    log::info!("event=entry_started vm={} address={address}", settings.vm);
    let entry = Arc::new(Entry::new(settings));
    tokio::spawn(feed::follow_agent(Arc::clone(&entry)));
    caller::serve(entry, listener).await;
    Ok(())
}
