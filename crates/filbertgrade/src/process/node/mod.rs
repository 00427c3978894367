//! The node: one process on each VM of a platform that has a store.
//!
//! It answers look-ups, carries requests to backend servers, and keeps its own
//! copy of what lies in the store. What it decides is in
//! [`filbertgrade_coord::steering`]; the platform's names and formats are in
//! [`filbertgrade_platform`].

mod answer;
mod attempt;
mod body;
mod callers;
mod clock;
mod copy;
mod dump;
mod heartbeat;
mod relay;
mod request;
mod stop;
mod store;
mod tokens;

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
use filbertgrade_platform::settings::SettingsFault;
use indexmap::IndexMap;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;

use self::body::BodyBudget;
use self::clock::SuspensionDetector;
use self::copy::Copies;
use self::tokens::TokenQuestions;
use crate::connection::{Pool, PoolLimits};
use crate::logfmt;
use crate::process::operator;
use crate::process::signals::{StopSignals, reload_signal};
use crate::process::tasks::Tasks;
use crate::sync::lock;

/// Age of the last proof of life of a connection under a non-idempotent
/// request. Backend servers keep idle connections for several times as long.
const PROOF_AGE: Duration = Duration::from_secs(4);

/// Longest wait of a connection whose backend server tells no limit.
const IDLE_LIMIT: Duration = Duration::from_secs(6);

/// How much earlier than users ask for a withdrawn key stops working, for the
/// time that a request spends on its way.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(500);

/// Part of the repeats that users allow that is used. The rest covers VMs that
/// count a window from another instant.
const REPEATS_USED: f64 = 0.75;

/// Part of what users bear beyond teams' rates that is used. The rest covers
/// VMs that divide a rate at different instants.
const ALLOWANCE_USED: f64 = 0.5;

/// Longest wait of a request that arrives before a node has read the store for
/// the first time. Reading takes some milliseconds, and longer when all nodes
/// start at once.
const FIRST_READ_WAIT: Duration = Duration::from_millis(500);

/// Time between looks for connections that waited too long, registrations that
/// lapsed and VMs that went silent.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Why a node did not start or stopped early.
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
    /// The settings file cannot be used.
    #[error("{}: {source}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: SettingsFault,
    },
    /// No settings file was named.
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
    /// The operating system refuses to pass signals on.
    #[error("cannot receive signals: {0}")]
    Signals(std::io::Error),
}

/// State that all tasks of a node share.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: ArcSwap<Settings>,
    /// Drawn at the start of the process.
    pub(crate) incarnation: u64,
    /// The configuration in force. Its version never goes back.
    pub(crate) deployment: ArcSwapOption<Deployment>,
    pub(crate) registry: Mutex<Registry>,
    /// The endpoints were read at least once.
    pub(crate) has_endpoints: AtomicBool,
    pub(crate) balancer: Mutex<Balancer>,
    pub(crate) quotas: Mutex<Quotas>,
    /// Questions to other VMs about teams' limits.
    token_requests: TokenQuestions,
    pub(crate) members: Mutex<Members>,
    pub(crate) store_health: Mutex<StoreHealth>,
    pub(crate) suspension: Mutex<SuspensionDetector>,
    copies: Copies,
    pub(crate) pool: Pool,
    pub(crate) body_budget: BodyBudget,
    /// Callers' connections.
    pub(crate) caller_connections: Tasks,
    /// Requests that are being carried.
    pub(crate) running_requests: Tasks,
    leaving: watch::Sender<bool>,
    /// The configuration was confirmed, or the endpoints were read.
    read: watch::Sender<()>,
    /// Tells watches that the store answers again after an outage.
    store_back: watch::Sender<()>,
    /// When nodes that follow the store for this region were last found to be
    /// of no use.
    relays_lost: watch::Sender<IndexMap<SocketAddr, Instant>>,
    next_heartbeat: AtomicU64,
    pub(crate) started: Instant,
    /// The store lists this process.
    pub(crate) listed: AtomicBool,
    /// Entries of all VMs in the store, with their revisions.
    pub(crate) entries: Mutex<IndexMap<VmName, (Member, u64)>>,
}

impl Node {
    fn new(settings: Settings, peers: Arc<UdpSocket>) -> Self {
        let incarnation = rand::random();
        let limits = PoolLimits {
            proof_age: PROOF_AGE,
            idle_limit: IDLE_LIMIT,
        };
        Self {
            incarnation,
            deployment: ArcSwapOption::empty(),
            registry: Mutex::default(),
            has_endpoints: AtomicBool::new(false),
            balancer: Mutex::new(Balancer::new(balancer_config(&settings))),
            quotas: Mutex::new(quotas(&settings)),
            token_requests: TokenQuestions::new(peers),
            members: Mutex::new(Members::new(member(&settings, incarnation))),
            store_health: Mutex::default(),
            suspension: Mutex::new(SuspensionDetector::new()),
            copies: Copies::new(),
            pool: Pool::with_limits(settings.address, limits),
            body_budget: BodyBudget::new(settings.memory_bytes),
            caller_connections: Tasks::default(),
            running_requests: Tasks::default(),
            leaving: watch::Sender::new(false),
            read: watch::Sender::new(()),
            store_back: watch::Sender::new(()),
            relays_lost: watch::Sender::default(),
            next_heartbeat: AtomicU64::new(0),
            started: Instant::now(),
            listed: AtomicBool::new(false),
            entries: Mutex::default(),
            settings: ArcSwap::from_pointee(settings),
        }
    }

    /// The process was told to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// The copy of the configuration is recent enough to honour keys.
    pub(crate) fn has_current_configuration(&self, now: Instant) -> bool {
        self.note_suspension();
        lock(&self.store_health).is_confirmed_within(self.key_limit(), now)
    }

    /// Age of the copy beyond which keys are not honoured.
    pub(crate) fn key_limit(&self) -> Duration {
        let bound = self.settings.load().bounds.key_withdrawal;
        bound.saturating_sub(WITHDRAWAL_MARGIN)
    }

    /// The node can serve callers.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        !self.is_leaving()
            && self.deployment.load().is_some()
            && self.has_endpoints.load(Ordering::Acquire)
            && self.has_current_configuration(now)
    }

    /// Waits for the first state of the store, for a while after the start.
    async fn wait_for_first_read(&self) {
        let until = self.started + FIRST_READ_WAIT;
        let mut read = self.read.subscribe();
        loop {
            let now = Instant::now();
            if now >= until || self.is_ready(now) {
                return;
            }
            let _ = tokio::time::timeout_at(until.into(), read.changed()).await;
        }
    }

    pub(crate) fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            incarnation: self.incarnation,
            ready: self.is_ready(now),
            leaving: self.is_leaving(),
        }
    }

    /// The steady clock does not count the time for which a VM was suspended,
    /// so what was confirmed before may be much older than it seems.
    fn note_suspension(&self) {
        let Some(time) = lock(&self.suspension).look() else {
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
            ratio: bounds.retry_ratio * REPEATS_USED,
            allowance: bounds.retry_allowance * REPEATS_USED,
            window: bounds.retry_window,
        },
        shift_cap: bounds.shift_cap,
    }
}

fn quotas(settings: &Settings) -> Quotas {
    let mut quotas = Quotas::new(settings.vm.clone());
    quotas.set_allowance(settings.bounds.rate_allowance * ALLOWANCE_USED);
    quotas
}

fn member(settings: &Settings, incarnation: u64) -> Member {
    Member {
        vm: settings.vm.clone(),
        incarnation,
        caller_address: settings.listen.callers,
        peer_address: settings.listen.peers,
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
    }
}

/// Runs a node until it is told to stop, then stops gracefully.
///
/// # Errors
///
/// Fails when the settings cannot be used or an address cannot be bound.
pub async fn run(settings_path: Option<PathBuf>, metrics_port: u16) -> Result<(), NodeError> {
    let path = settings_file(settings_path)?;
    let settings = read_settings(&path)?;
    let stop = StopSignals::new().map_err(NodeError::Signals)?;
    let reload = reload_signal().map_err(NodeError::Signals)?;
    let listeners = Listeners::bind(&settings, metrics_port).await?;
    operator::record_metrics();
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
    tokio::spawn(dump::operator_port(&node).serve(operators));
    tokio::spawn(callers::serve_questions(Arc::clone(&node), lookups));
    tokio::spawn(callers::serve_questions(Arc::clone(&node), ready));
    tokio::spawn(heartbeat::receive(Arc::clone(&node), Arc::clone(&peers)));
    tokio::spawn(heartbeat::send(Arc::clone(&node), Arc::clone(&peers)));
    tokio::spawn(relay::serve(Arc::clone(&node), relay));
    store::follow(&node);
    tokio::spawn(upkeep(Arc::clone(&node)));
    tokio::spawn(stop::reload_settings(Arc::clone(&node), path, reload));
    stop::serve_until(&node, callers, &peers, stop.received()).await;
    log::info!("event=node_stopped vm={}", node.settings.load().vm);
    Ok(())
}

fn log_start(node: &Node) {
    let settings = node.settings.load();
    log::info!(
        "event=node_started vm={} incarnation={} callers={} region={} failure_domain={} store={}",
        settings.vm,
        node.incarnation,
        settings.listen.callers,
        settings.region,
        settings.failure_domain,
        settings.store,
    );
}

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

/// All addresses of a node, bound before anything starts.
#[derive(Debug)]
struct Listeners {
    callers: TcpListener,
    lookups: TcpListener,
    ready: TcpListener,
    operators: TcpListener,
    peers: UdpSocket,
    /// Nodes that ask this one instead of the store, on the same port.
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

async fn upkeep(node: Arc<Node>) {
    let mut running = Vec::new();
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        let now = Instant::now();
        node.pool.close_expired(now);
        if lock(&node.registry).expire(now) {
            store::endpoints_changed(&node, now);
        }
        let vms = lock(&node.members).running(now);
        if vms != running {
            let list = logfmt::list(&vms);
            log::info!("event=running_vms_changed count={} vms={list}", vms.len());
            lock(&node.balancer).set_vms(vms.clone(), now);
            running = vms;
        }
    }
}
