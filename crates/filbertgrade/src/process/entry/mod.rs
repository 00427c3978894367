//! The entry: answers look-ups and carries requests to backend servers.

mod admission;
mod answer;
mod caller;
mod caller_io;
mod carry;
mod dump;
mod feed;
mod links;
pub mod lookup;
mod peers;
mod shutdown;
mod slots;
mod spill;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::net::TcpListener;
use tokio::sync::watch;

use self::admission::Admission;
use self::links::PeerLinks;
use self::slots::Slots;
use crate::connection::{Pool, serve_frames};
use crate::platform::HttpPlatform;
use crate::process::operator;
use crate::process::settings::VmSettings;
use crate::process::tasks::Tasks;
use crate::request::{Guard, RetryBudget};
use crate::sync::lock;
use crate::version::InForce;

/// Time between looks for connections that waited too long.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

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
    pub(crate) settings: VmSettings,
    pub(crate) in_force: Arc<ArcSwap<InForce>>,
    /// Until when the state in force may be relied on.
    pub(crate) valid_until: ArcSwap<Option<Instant>>,
    /// Links to the entries of the other VMs.
    pub(crate) links: Arc<PeerLinks>,
    /// Teams' rates and bursts.
    pub(crate) admission: Admission,
    /// Slots of endpoints.
    pub(crate) slots: Slots,
    /// Connections to backend servers.
    pub(crate) pool: Pool,
    /// Idempotency keys.
    pub(crate) guard: Guard,
    /// Callers' connections.
    pub(crate) callers: Tasks,
    /// Callers' connections beyond the limit, while they are refused.
    pub(crate) turned_away: Tasks,
    /// Work that outlives its request.
    background: Tasks,
    budget: Mutex<RetryBudget>,
    leaving: AtomicBool,
}

impl Entry {
    fn new(settings: VmSettings) -> Self {
        let in_force = Arc::new(ArcSwap::default());
        let links = Arc::new(PeerLinks::new(settings.clone()));
        let background = Tasks::default();
        let platform = Arc::new(HttpPlatform::new(settings.store, Some(settings.address)));
        Self {
            admission: Admission::new(settings.vm.clone(), Arc::clone(&links)),
            slots: Slots::new(settings.clone(), Arc::clone(&in_force), Arc::clone(&links)),
            pool: Pool::new(settings.address),
            guard: Guard::new(platform, background.clone()),
            callers: Tasks::default(),
            turned_away: Tasks::default(),
            background,
            budget: Mutex::new(RetryBudget::new(Instant::now())),
            leaving: AtomicBool::new(false),
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

    /// The process was told to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Uses the retry budget.
    pub(crate) fn with_budget<R>(&self, f: impl FnOnce(&mut RetryBudget) -> R) -> R {
        let mut budget = lock(&self.budget);
        f(&mut budget)
    }
}

/// Runs the entry until `stop` resolves, then stops gracefully.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn run(
    settings: VmSettings,
    stop: impl Future<Output = ()> + Send,
) -> Result<(), EntryError> {
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
    operator::record_metrics();
    tokio::spawn(dump::operator_port(&entry).serve(operators));
    tokio::spawn(feed::follow_agent(Arc::clone(&entry)));
    tokio::spawn(serve_peers(Arc::clone(&entry), peer_listener));
    tokio::spawn(close_expired(Arc::clone(&entry)));
    let close = watch::Sender::new(false);
    let leave = shutdown::leave_after(&entry, stop);
    caller::serve(&entry, listener, &close.subscribe(), leave).await;
    shutdown::finish(&entry, &close).await;
    Ok(())
}

async fn close_expired(entry: Arc<Entry>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        entry.pool.close_expired(Instant::now());
    }
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
