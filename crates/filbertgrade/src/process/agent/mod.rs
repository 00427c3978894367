//! The agent process of a VM. It watches the store, exchanges state with the
//! agents of other VMs and passes the state on to the entry of its own VM.

mod allocator;
mod dump;
mod peers;
mod pull;
mod store;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_coord::dissemination::{self, Member};
use filbertgrade_coord::freshness::FreshnessTracker;
use filbertgrade_coord::names::{RegionName, VmName};
use filbertgrade_coord::versioned::{ApplyOutcome, MalformedUpdateError, VersionedMap};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::connection::serve_frames;
use crate::platform::{HttpPlatform, Platform, Revision};
use crate::process::operator;
use crate::process::settings::VmSettings;
use crate::process::tasks::{TaskPanicked, VitalTasks};
use crate::sync::lock;
use crate::version::{OutgoingDeltas, VmRecord};
use crate::wire::EntryReport;

/// Maximum delay of the reply to the entry's request for newer state.
///
/// The reply also renews the validity of the state, so it must be sent well
/// before the maximum age of evidence is reached.
pub const FEED_WAIT: Duration = Duration::from_millis(250);

/// Time from receiving the first state until this agent reports it as valid.
///
/// The first state may come from a replica or a peer that lags behind. Within
/// this time the agent receives replies from peers in its failure domain, its
/// region and other regions: a round starts within 250 ms and takes about
/// 110 ms. With 1 s, the validity at the entry expired when its agent restarted
/// early in an outage of the store.
const VALIDITY_DELAY: Duration = Duration::from_millis(500);

/// Number of changes that an agent keeps for peers that lag behind. A peer that
/// missed more of them receives a snapshot.
const MAX_LOGGED_CHANGES: usize = 4096;

/// Why the agent could not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum AgentError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address that the agent was to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// One of the agent's tasks has panicked.
    #[error(transparent)]
    Panicked(#[from] TaskPanicked),
}

/// State that all tasks of the agent share.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) settings: VmSettings,
    pub(crate) platform: Arc<dyn Platform>,
    state: Mutex<State>,
    /// VMs whose agents pulled from this one while it had no VM list, the most
    /// recent first.
    pub(crate) recent_pullers: Mutex<Vec<VmRecord>>,
    /// Deltas of more than one page that are being sent to peers or to the entry.
    pub(crate) outgoing: Mutex<OutgoingDeltas>,
    /// Locked while a delta of more than one page is being received, so that the
    /// same objects are not requested from several peers at once.
    pub(crate) incoming_transfer: tokio::sync::Mutex<()>,
    /// Revision of the held objects; tasks wait here for a higher one.
    pub(crate) revision: watch::Sender<Revision>,
    /// Last report of the entry; `None` before the first.
    pub(crate) report: Mutex<Option<EntryReport>>,
    /// When the last report of the entry arrived.
    pub(crate) reported_at: Mutex<Option<Instant>>,
}

/// Objects of the store, and evidence of how current they are.
#[derive(Debug)]
pub(crate) struct State {
    /// Objects of the store. The revision never decreases.
    pub(crate) objects: VersionedMap<Bytes>,
    /// Evidence about the store and the regions.
    pub(crate) freshness: FreshnessTracker,
    /// VMs in the platform's list; updated together with `objects`.
    pub(crate) vms: Vec<VmRecord>,
    /// Peers and duties of this agent, derived from `vms`; updated together with
    /// them.
    pub(crate) topology: Topology,
    /// When this agent received its first state.
    first_state_at: Option<Instant>,
    /// Name of the VM that this agent runs on.
    vm: VmName,
}

/// Peers and duties of this agent, derived from the platform's VM list.
///
/// Deriving them takes time proportional to the length of the list, so they are
/// cached until the list changes.
#[derive(Debug, Default)]
pub(crate) struct Topology {
    /// VMs from whose agents this agent pulls.
    pub(crate) neighbours: Vec<VmRecord>,
    /// Whether this agent watches the store for its failure domain.
    pub(crate) is_relay: bool,
    /// Whether this agent tries to acquire the allocator lease.
    pub(crate) is_allocator_candidate: bool,
    /// Regions that have live VMs.
    live_regions: BTreeSet<RegionName>,
}

impl Topology {
    fn of_agent(me: &Member, vms: &[VmRecord]) -> Self {
        let members: Vec<Member> = vms.iter().filter_map(live_member).collect();
        let chosen: BTreeSet<_> = dissemination::neighbours(me, &members)
            .into_iter()
            .map(|member| &member.vm)
            .collect();
        let live = || vms.iter().filter(|vm| vm.is_live());
        Self {
            neighbours: vms
                .iter()
                .filter(|vm| chosen.contains(&vm.name))
                .cloned()
                .collect(),
            is_relay: members.is_empty() || dissemination::is_relay(me, &members),
            is_allocator_candidate: allocator::is_candidate(&me.vm, live()),
            live_regions: live().map(|vm| vm.region.clone()).collect(),
        }
    }
}

impl Agent {
    fn new(settings: VmSettings, platform: Arc<dyn Platform>) -> Self {
        let state = State {
            objects: VersionedMap::new(MAX_LOGGED_CHANGES),
            freshness: FreshnessTracker::new(settings.region.clone()),
            vms: Vec::new(),
            topology: Topology::default(),
            first_state_at: None,
            vm: settings.vm.clone(),
        };
        Self {
            settings,
            platform,
            state: Mutex::new(state),
            recent_pullers: Mutex::default(),
            outgoing: Mutex::default(),
            incoming_transfer: tokio::sync::Mutex::default(),
            revision: watch::Sender::new(0),
            report: Mutex::new(None),
            reported_at: Mutex::new(None),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Applies an update to the objects and wakes the tasks that wait for a
    /// higher revision.
    pub(crate) fn apply_update(
        &self,
        apply: impl FnOnce(&mut VersionedMap<Bytes>) -> Result<ApplyOutcome, MalformedUpdateError>,
    ) -> Result<ApplyOutcome, MalformedUpdateError> {
        let mut state = self.state();
        let applied = apply(&mut state.objects)?;
        if let ApplyOutcome::Advanced(names) = &applied {
            if names.iter().any(|name| name.starts_with("vms/")) {
                state.vms = decode_vm_list(&state.objects);
                state.topology = Topology::of_agent(&self.as_member(), &state.vms);
            }
            state.first_state_at.get_or_insert_with(Instant::now);
            let held = state.objects.revision();
            state.freshness.update_held_confirmation(held);
            self.revision.send_replace(held);
        }
        Ok(applied)
    }

    /// This agent as a [`Member`], for the choice of peers and relays.
    pub(crate) fn as_member(&self) -> Member {
        Member {
            vm: self.settings.vm.clone(),
            region: self.settings.region.clone(),
            failure_domain: self.settings.failure_domain.clone(),
        }
    }
}

impl State {
    /// Remaining time for which the state is valid; zero when isolated. `None`
    /// while this agent has too little evidence to decide.
    pub(crate) fn remaining_validity(&self, now: Instant) -> Option<Duration> {
        let no_other_live_vm = !self.vms.iter().any(|vm| vm.is_live() && vm.name != self.vm);
        let first_state_at = self.first_state_at?;
        if !no_other_live_vm && now < first_state_at + VALIDITY_DELAY {
            return None;
        }
        let held = self.objects.revision();
        let until = self
            .freshness
            .freshness(now, held, &self.topology.live_regions, no_other_live_vm)
            .valid_until();
        Some(until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now)))
    }
}

/// Runs the agent until the process is stopped or one of its tasks panics. The entry
/// on the VM then has no valid state until the agent is started again.
///
/// # Errors
///
/// Fails when an address cannot be bound or a task has panicked.
pub async fn run(settings: VmSettings) -> Result<(), AgentError> {
    let address = SocketAddr::new(settings.address, settings.ports.agent_peer);
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| AgentError::Listen { address, source })?;
    log::info!("event=agent_started vm={} address={address}", settings.vm);
    let platform = Arc::new(HttpPlatform::new(settings.store, Some(settings.address)));
    let agent = Arc::new(Agent::new(settings, platform));
    let address = SocketAddr::new(agent.settings.address, agent.settings.ports.agent_operator);
    let operator_listener = operator::listen(address)
        .await
        .map_err(|source| AgentError::Listen { address, source })?;
    operator::install_metrics_recorder();
    let tasks = VitalTasks::default();
    tasks.spawn(
        "operator_port",
        dump::operator_port(&agent).serve(operator_listener),
    );
    tasks.spawn("store", store::follow_store(Arc::clone(&agent)));
    tasks.spawn("pulls", pull::pull_from_peers(Arc::clone(&agent)));
    tasks.spawn("allocator", allocator::run(Arc::clone(&agent)));
    let serve_peers = serve_frames(listener, move |peer, body| {
        peers::handle(Arc::clone(&agent), peer, body)
    });
    tokio::select! {
        () = serve_peers => {}
        () = tasks.panicked() => {}
    }
    tasks.check()?;
    Ok(())
}

/// Decodes the platform's VM list from the objects. Malformed entries are
/// skipped.
fn decode_vm_list(objects: &VersionedMap<Bytes>) -> Vec<VmRecord> {
    objects
        .prefix("vms/")
        .filter_map(|(_, entry)| VmRecord::decode(&entry.value))
        .collect()
}

/// The agent of `vm` as a [`Member`]; `None` when the VM is leaving.
fn live_member(vm: &VmRecord) -> Option<Member> {
    vm.is_live().then(|| Member {
        vm: vm.name.clone(),
        region: vm.region.clone(),
        failure_domain: vm.failure_domain.clone(),
    })
}
