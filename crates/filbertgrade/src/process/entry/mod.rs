//! The entry process: answers lookups and forwards requests to backend
//! servers.

mod admission;
mod caller;
mod dump;
mod feed;
mod forward;
mod links;
pub mod lookup;
mod peers;
mod response;
mod shutdown;
mod slots;
mod spill;

use std::future::Future;
use std::net::SocketAddr;
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
use crate::process::tasks::{TaskPanicked, Tasks, VitalTasks};
use crate::request::{Guard, RetryBudget, StopSchedule};
use crate::sync::lock;
use crate::version::InForce;

/// Interval between two scans for idle connections to backend servers that have
/// expired.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Why the entry could not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum EntryError {
    /// A listening address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address that was to be bound.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// One of the entry's tasks has panicked.
    #[error(transparent)]
    Panicked(#[from] TaskPanicked),
}

/// State of the entry that all requests share.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: VmSettings,
    pub(crate) in_force: Arc<ArcSwap<InForce>>,
    /// Until when the state in force may be relied on; `None` when the VM is
    /// isolated or its agent has not yet confirmed the state.
    pub(crate) valid_until: ArcSwap<Option<Instant>>,
    /// Links to the entry processes of the other VMs.
    pub(crate) links: Arc<PeerLinks>,
    /// Enforces the rates and bursts of teams.
    pub(crate) admission: Admission,
    /// Assigns slots of endpoints to requests.
    pub(crate) slots: Slots,
    /// Pooled connections to backend servers.
    pub(crate) pool: Pool,
    /// Ensures that a request with an idempotency key runs at most once.
    pub(crate) guard: Guard,
    /// Open connections of callers.
    pub(crate) caller_connections: Tasks,
    /// Connections beyond the limit, for as long as the refusal is being
    /// written.
    pub(crate) refused_callers: Tasks,
    /// Tasks that may outlive the request that started them, such as recording
    /// an attempt.
    background: Tasks,
    /// Tasks without which the entry must not go on.
    vital_tasks: VitalTasks,
    retry_budget: Mutex<RetryBudget>,
    /// Times of the planned stop; `None` until the process has received the signal
    /// to stop.
    stopping: watch::Sender<Option<StopSchedule>>,
}

impl Entry {
    fn new(settings: VmSettings) -> Self {
        let in_force = Arc::new(ArcSwap::default());
        let links = Arc::new(PeerLinks::new(settings.clone()));
        let background = Tasks::default();
        let vital_tasks = VitalTasks::default();
        let platform = Arc::new(HttpPlatform::new(settings.store, Some(settings.address)));
        Self {
            admission: Admission::new(settings.vm.clone(), Arc::clone(&links), vital_tasks.clone()),
            slots: Slots::new(settings.clone(), Arc::clone(&in_force), Arc::clone(&links)),
            pool: Pool::new(settings.address),
            guard: Guard::new(platform, background.clone()),
            caller_connections: Tasks::default(),
            refused_callers: Tasks::default(),
            background,
            vital_tasks,
            retry_budget: Mutex::new(RetryBudget::new(Instant::now())),
            stopping: watch::Sender::new(None),
            settings,
            links,
            in_force,
            valid_until: ArcSwap::default(),
        }
    }

    /// Returns the state that is in force now.
    pub(crate) fn view(&self) -> Arc<InForce> {
        self.in_force.load_full()
    }

    /// Returns whether the agent's confirmation of the state is still valid at
    /// `now`.
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.load().is_some_and(|until| now <= until)
    }

    /// Returns whether the process has received the signal to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Returns whether a request with this deadline may be sent to a backend
    /// server, unless the process stops before a response can be expected.
    pub(crate) fn permits_until(&self, deadline: Instant) -> bool {
        let stopping = *self.stopping.borrow();
        stopping.is_none_or(|schedule| schedule.permits(deadline))
    }

    /// Resolves when the requests that still run must be answered because the
    /// process is about to exit.
    pub(crate) async fn last_responses_due(&self) {
        StopSchedule::wait_for_last_responses(self.stopping.subscribe()).await;
    }

    /// Runs `f` while holding the lock on the retry budget.
    pub(crate) fn with_retry_budget<R>(&self, f: impl FnOnce(&mut RetryBudget) -> R) -> R {
        let mut retry_budget = lock(&self.retry_budget);
        f(&mut retry_budget)
    }
}

/// Runs the entry until `stop` resolves or one of its tasks panics, then stops
/// gracefully.
///
/// # Errors
///
/// Returns an error when a listening address cannot be bound or a task has panicked.
pub async fn run(
    settings: VmSettings,
    stop: impl Future<Output = ()> + Send,
) -> Result<(), EntryError> {
    let address = SocketAddr::new(settings.address, settings.ports.caller);
    let listener = listen(address).await?;
    let peer_address = SocketAddr::new(settings.address, settings.ports.entry_peer);
    let peer_listener = listen(peer_address).await?;
    let operator_listener = listen(SocketAddr::new(
        settings.address,
        settings.ports.entry_operator,
    ))
    .await?;
    log::info!("event=entry_started vm={} address={address}", settings.vm);
    let entry = Arc::new(Entry::new(settings));
    operator::install_metrics_recorder();
    let tasks = &entry.vital_tasks;
    tasks.spawn(
        "operator_port",
        dump::operator_port(&entry).serve(operator_listener),
    );
    tasks.spawn("feed", feed::follow_agent(Arc::clone(&entry)));
    tasks.spawn("peers", serve_peers(Arc::clone(&entry), peer_listener));
    tasks.spawn("connections", close_expired(Arc::clone(&entry)));
    let close = watch::Sender::new(false);
    let stop = async {
        tokio::select! {
            () = stop => {}
            () = tasks.panicked() => {}
        }
    };
    let leave = shutdown::leave_on(&entry, stop);
    let schedule = caller::serve(&entry, listener, &close.subscribe(), leave).await;
    shutdown::stop_gracefully(&entry, &close, &schedule).await;
    entry.vital_tasks.check()?;
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
        peers::handle(Arc::clone(&entry), body)
    })
    .await;
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| EntryError::Listen { address, source })
}
