//! The node: the single process on each VM of a platform that provides its own
//! store, in place of the entry and the agent.
//!
//! It answers lookups, forwards requests to backend servers, and keeps a local
//! copy of the store. Its decisions are made in
//! [`filbertgrade_coord::steering`]; the platform's names and formats are in
//! [`filbertgrade_platform`].

mod attempt;
mod body;
mod callers;
mod copy;
mod dump;
mod endpoint_rates;
mod heartbeat;
mod notices;
mod relay;
mod request;
mod responses;
mod routing;
mod running_attempt;
mod source;
mod stop;
mod store;
mod suspension;
mod tokens;
mod vm_entries;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use filbertgrade_coord::names::VmName;
use filbertgrade_coord::steering::balancer::{Balancer, BalancerConfig};
use filbertgrade_coord::steering::deployment::Deployment;
use filbertgrade_coord::steering::members::{Heartbeat, Member, Members};
use filbertgrade_coord::steering::quota::Quotas;
use filbertgrade_coord::steering::registry::Registry;
use filbertgrade_coord::steering::retry::RetryConfig;
use filbertgrade_coord::steering::settings::Settings;
use filbertgrade_coord::steering::store_health::StoreHealth;
use filbertgrade_coord::steering::store_revision::StoreRevision;
use filbertgrade_platform::settings::SettingsError;
use indexmap::IndexMap;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;

use self::body::BodyBudget;
use self::copy::StoreCopy;
use self::suspension::SuspensionDetector;
use self::tokens::PendingTokenRequests;
use crate::connection::{PeerLink, Pool, PoolLimits};
use crate::logfmt;
use crate::process::operator;
use crate::process::signals::{StopSignals, reload_signal};
use crate::process::tasks::{TaskPanicked, Tasks, VitalTasks};
use crate::request::StopSchedule;
use crate::sync::lock;

/// Longest time since a connection was opened or delivered its last response
/// for a non-idempotent request to be sent on it. Backend servers keep idle
/// connections for several times as long.
const MAX_VERIFIED_AGE: Duration = Duration::from_secs(4);

/// Longest idle time of a connection whose backend server announces no limit.
const IDLE_LIMIT: Duration = Duration::from_secs(6);

/// A withdrawn key stops working this much before the configured bound, to
/// allow for the time that a request is under way.
const KEY_WITHDRAWAL_MARGIN: Duration = Duration::from_millis(500);

/// Fraction of the configured retry budget that is used. The rest covers VMs
/// whose windows start at other instants.
const RETRY_BUDGET_FRACTION: f64 = 0.75;

/// Fraction of the configured allowance beyond teams' rates that is used. The
/// rest covers VMs that divide a rate at different instants.
const RATE_ALLOWANCE_FRACTION: f64 = 0.5;

/// Time after the start until which requests wait for the first read of the
/// store. The read takes some milliseconds, and longer when all nodes start at
/// once.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of the checks for expired connections, lapsed registrations, and
/// VMs that no longer send heartbeats.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Why a node failed to start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum NodeError {
    /// The settings file cannot be read.
    #[error("cannot read the settings file {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings file is invalid.
    #[error("{}: {source}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: SettingsError,
    },
    /// One of the node's tasks has panicked.
    #[error(transparent)]
    Panicked(#[from] TaskPanicked),
    /// Neither the flag nor the environment variable names a settings file.
    #[error("no settings file: use --settings or set {0}")]
    NoSettings(&'static str),
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The operating system refused to install a signal handler.
    #[error("cannot receive signals: {0}")]
    Signals(std::io::Error),
}

/// State that all tasks of a node share.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: ArcSwap<Settings>,
    /// Random number that tells this process from earlier ones on the same VM.
    pub(crate) incarnation: u64,
    /// The configuration in force; `None` until one has been read. Its version
    /// never decreases.
    pub(crate) deployment: ArcSwapOption<Deployment>,
    pub(crate) registry: Mutex<Registry>,
    /// The list of endpoints has been confirmed as current at least once.
    pub(crate) has_current_endpoints: AtomicBool,
    pub(crate) balancer: Mutex<Balancer>,
    pub(crate) quotas: Mutex<Quotas>,
    /// Token requests to other VMs.
    token_requests: PendingTokenRequests,
    pub(crate) members: Mutex<Members>,
    pub(crate) store_health: Mutex<StoreHealth>,
    pub(crate) suspension: Mutex<SuspensionDetector>,
    store_copy: StoreCopy,
    pub(crate) pool: Pool,
    pub(crate) body_budget: BodyBudget,
    /// Open connections of callers.
    pub(crate) caller_connections: Tasks,
    /// Tasks without which the node must not go on.
    vital_tasks: VitalTasks,
    /// Requests that are being handled.
    pub(crate) running_requests: Tasks,
    /// Times of the planned stop; `None` until the process has received a signal
    /// to stop.
    stopping: watch::Sender<Option<StopSchedule>>,
    /// Notified when the configuration was confirmed or the endpoints were
    /// read.
    store_read: watch::Sender<()>,
    /// Notified when the store responds again after an outage.
    store_restored: watch::Sender<()>,
    /// Newest revision of the store that a watch of the configuration has
    /// returned; 0 before the first.
    store_revision: watch::Sender<StoreRevision>,
    /// Relays from which a pull has failed recently, with the time of the
    /// failure.
    failed_relays: watch::Sender<IndexMap<SocketAddr, Instant>>,
    /// Links to the relays in use. The pulls of all kinds share one connection
    /// to a relay, so that the kind that is pulled most often detects for all
    /// of them that the connection is silent.
    relay_links: Mutex<IndexMap<SocketAddr, PeerLink>>,
    /// Number of the next heartbeat.
    next_heartbeat: AtomicU64,
    pub(crate) started: Instant,
    /// The store's list of VMs contains an entry of this process.
    pub(crate) is_listed: AtomicBool,
    /// Entries of all VMs in the store, each with its revision.
    pub(crate) vm_entries: Mutex<IndexMap<VmName, (Member, u64)>>,
}

impl Node {
    fn new(settings: Settings, peers: Arc<UdpSocket>) -> Self {
        let incarnation = rand::random();
        let limits = PoolLimits {
            max_verified_age: MAX_VERIFIED_AGE,
            idle_limit: IDLE_LIMIT,
        };
        Self {
            incarnation,
            deployment: ArcSwapOption::empty(),
            registry: Mutex::default(),
            has_current_endpoints: AtomicBool::new(false),
            balancer: Mutex::new(Balancer::new(balancer_config(&settings))),
            quotas: Mutex::new(new_quotas(&settings)),
            token_requests: PendingTokenRequests::new(peers),
            members: Mutex::new(Members::new(own_member(&settings, incarnation))),
            store_health: Mutex::default(),
            suspension: Mutex::new(SuspensionDetector::new()),
            store_copy: StoreCopy::new(),
            pool: Pool::with_limits(settings.address, limits),
            body_budget: BodyBudget::new(settings.memory_bytes),
            caller_connections: Tasks::default(),
            vital_tasks: VitalTasks::default(),
            running_requests: Tasks::default(),
            stopping: watch::Sender::new(None),
            store_read: watch::Sender::new(()),
            store_restored: watch::Sender::new(()),
            store_revision: watch::Sender::default(),
            failed_relays: watch::Sender::default(),
            relay_links: Mutex::default(),
            next_heartbeat: AtomicU64::new(0),
            started: Instant::now(),
            is_listed: AtomicBool::new(false),
            vm_entries: Mutex::default(),
            settings: ArcSwap::from_pointee(settings),
        }
    }

    /// True once the process has received a signal to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Whether a request with this deadline may be sent to an endpoint, unless the
    /// process stops before a response can be expected.
    pub(crate) fn permits_until(&self, deadline: Instant) -> bool {
        let stopping = *self.stopping.borrow();
        stopping.is_none_or(|schedule| schedule.permits(deadline))
    }

    /// Resolves when the requests that still run must be answered because the
    /// process is about to exit.
    pub(crate) async fn last_responses_due(&self) {
        StopSchedule::wait_for_last_responses(self.stopping.subscribe()).await;
    }

    /// True while the copy of the configuration is recent enough to accept
    /// keys.
    pub(crate) fn has_current_configuration(&self, now: Instant) -> bool {
        self.check_suspension();
        lock(&self.store_health).is_confirmed_within(self.max_key_age(), now)
    }

    /// Age of the configuration beyond which keys are refused.
    pub(crate) fn max_key_age(&self) -> Duration {
        let bound = self.settings.load().bounds.key_withdrawal;
        bound.saturating_sub(KEY_WITHDRAWAL_MARGIN)
    }

    /// True while the node can serve callers.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        !self.is_leaving()
            && self.deployment.load().is_some()
            && self.has_current_endpoints.load(Ordering::Acquire)
            && self.has_current_configuration(now)
    }

    /// Waits until the node is ready, at most until [`FIRST_READ_TIMEOUT`]
    /// after its start.
    async fn wait_for_first_read(&self) {
        let until = self.started + FIRST_READ_TIMEOUT;
        let mut read = self.store_read.subscribe();
        loop {
            let now = Instant::now();
            if now >= until || self.is_ready(now) {
                return;
            }
            let _ = tokio::time::timeout_at(until.into(), read.changed()).await;
        }
    }

    /// State of this VM for its heartbeats.
    pub(crate) fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            incarnation: self.incarnation,
            ready: self.is_ready(now),
            leaving: self.is_leaving(),
            store_unreachable: lock(&self.store_health).is_unreachable(),
        }
    }

    /// Discards the confirmation of the configuration after a suspension. The
    /// monotonic clock stops meanwhile, so the confirmation may be much older
    /// than it appears.
    fn check_suspension(&self) {
        let Some(time) = lock(&self.suspension).poll() else {
            return;
        };
        log::warn!("event=vm_suspended ms={}", time.as_millis());
        lock(&self.store_health).clear_confirmation();
    }
}

fn balancer_config(settings: &Settings) -> BalancerConfig {
    let bounds = &settings.bounds;
    BalancerConfig {
        vm: settings.vm.clone(),
        region: settings.region.clone(),
        regions: settings.regions.clone(),
        retry: RetryConfig {
            ratio: bounds.retry_ratio * RETRY_BUDGET_FRACTION,
            allowance: bounds.retry_allowance * RETRY_BUDGET_FRACTION,
            window: bounds.retry_window,
        },
        shift_cap: bounds.shift_cap,
    }
}

fn new_quotas(settings: &Settings) -> Quotas {
    let mut quotas = Quotas::new(settings.vm.clone());
    quotas.set_allowance(settings.bounds.rate_allowance * RATE_ALLOWANCE_FRACTION);
    quotas
}

/// The entry of this VM in the store's list of VMs.
fn own_member(settings: &Settings, incarnation: u64) -> Member {
    Member {
        vm: settings.vm.clone(),
        incarnation,
        caller_address: settings.listen.callers,
        peer_address: settings.listen.peers,
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
    }
}

/// Runs a node until it receives a signal to stop or one of its tasks panics, then
/// stops it gracefully.
///
/// # Errors
///
/// Fails when the settings cannot be read or are invalid, an address cannot be
/// bound, no signal handler can be installed, or a task has panicked.
pub async fn run(settings_path: Option<PathBuf>, metrics_port: u16) -> Result<(), NodeError> {
    let path = settings_file(settings_path)?;
    let settings = read_settings(&path)?;
    let stop = StopSignals::new().map_err(NodeError::Signals)?;
    let reload = reload_signal().map_err(NodeError::Signals)?;
    let listeners = Listeners::bind(&settings, metrics_port).await?;
    operator::install_metrics_recorder();
    let Listeners {
        callers,
        lookups,
        ready,
        peers,
        relay,
        operators,
    } = listeners;
    let peers = Arc::new(peers);
    let node = Arc::new(Node::new(settings, Arc::clone(&peers)));
    log_start(&node);
    let tasks = &node.vital_tasks;
    let shared = || Arc::clone(&node);
    tasks.spawn("operator_port", dump::operator_port(&node).serve(operators));
    tasks.spawn("lookups", callers::serve_lookups(shared(), lookups));
    tasks.spawn("readiness", callers::serve_lookups(shared(), ready));
    let peer_socket = || Arc::clone(&peers);
    tasks.spawn("heartbeats_in", heartbeat::receive(shared(), peer_socket()));
    tasks.spawn("heartbeats_out", heartbeat::send(shared(), peer_socket()));
    tasks.spawn("pulls", relay::serve_pulls(shared(), relay));
    store::spawn_followers(&node);
    tasks.spawn("maintenance", run_maintenance(shared()));
    tasks.spawn("settings", stop::reload_settings(shared(), path, reload));
    let stop = async {
        tokio::select! {
            () = stop.received() => {}
            () = tasks.panicked() => {}
        }
    };
    stop::serve_until(&node, callers, &peers, stop).await;
    let settings = node.settings.load();
    log::info!("event=node_stopped vm={}", logfmt::value(&settings.vm));
    node.vital_tasks.check()?;
    Ok(())
}

fn log_start(node: &Node) {
    let settings = node.settings.load();
    log::info!(
        "event=node_started vm={} incarnation={} callers={} region={} failure_domain={} store={}",
        logfmt::value(&settings.vm),
        node.incarnation,
        settings.listen.callers,
        logfmt::value(&settings.region),
        logfmt::value(&settings.failure_domain),
        settings.store,
    );
}

/// Path of the settings file, from the flag or the environment variable.
fn settings_file(path: Option<PathBuf>) -> Result<PathBuf, NodeError> {
    let variable = filbertgrade_platform::settings::PATH_VARIABLE;
    path.or_else(|| std::env::var_os(variable).map(PathBuf::from))
        .ok_or(NodeError::NoSettings(variable))
}

fn read_settings(path: &PathBuf) -> Result<Settings, NodeError> {
    let text = std::fs::read_to_string(path).map_err(|source| NodeError::Read {
        path: path.clone(),
        source,
    })?;
    filbertgrade_platform::settings::read(&text).map_err(|source| NodeError::Settings {
        path: path.clone(),
        source,
    })
}

/// All sockets of a node, bound before any task starts.
#[derive(Debug)]
struct Listeners {
    callers: TcpListener,
    lookups: TcpListener,
    ready: TcpListener,
    operators: TcpListener,
    peers: UdpSocket,
    /// Accepts the pulls of other nodes, on the TCP port with the same number
    /// as that of `peers`.
    relay: TcpListener,
}

impl Listeners {
    async fn bind(settings: &Settings, metrics_port: u16) -> Result<Self, NodeError> {
        let listen = &settings.listen;
        let operators = SocketAddr::new(settings.address, metrics_port);
        Ok(Self {
            callers: bind(listen.callers).await?,
            lookups: bind(listen.lookups).await?,
            ready: bind(listen.ready).await?,
            operators: bind(operators).await?,
            relay: bind(listen.peers).await?,
            peers: UdpSocket::bind(listen.peers)
                .await
                .map_err(|source| NodeError::Listen {
                    address: listen.peers,
                    source,
                })?,
        })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NodeError::Listen { address, source })
}

/// Expires connections and registrations, and passes changes of the running VMs
/// to the balancer, until the process ends.
async fn run_maintenance(node: Arc<Node>) {
    let mut running = Vec::new();
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        let now = Instant::now();
        node.pool.close_expired(now);
        if lock(&node.registry).expire(now) {
            store::update_balancer_endpoints(&node, now);
        }
        let vms = lock(&node.members).running(now);
        if vms != running {
            let list = logfmt::list(&vms);
            log::info!("event=running_vms_changed count={} vms={list}", vms.len());
            let by_region = lock(&node.members).running_by_region(now);
            let mut balancer = lock(&node.balancer);
            balancer.set_vms(vms.clone(), now);
            balancer.set_vms_by_region(by_region, now);
            drop(balancer);
            running = vms;
        }
    }
}
