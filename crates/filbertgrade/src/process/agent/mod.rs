//! The agent: watches the platform, exchanges state with peer agents and
//! feeds the entry of its VM.

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
use crate::sync::lock;
use crate::version::{OutgoingDeltas, VmRecord};
use crate::wire::Report;

/// Longest wait before the entry's request for state is answered.
///
/// The answer renews how long the state is valid, so it must come well within
/// the freshness bound.
pub const FEED_WAIT: Duration = Duration::from_millis(250);

/// Time from the first state until this agent vouches for it. The state may
/// come from a replica or a peer that is behind, and in this time the agent
/// hears from every kind of peer: a round starts within 250 ms and takes about
/// 110 ms. With 1 s, an agent that restarted early in an outage of the store
/// let the validity at its entry run out.
const JOIN_WAIT: Duration = Duration::from_millis(500);

/// Changes that an agent keeps for peers that are behind. A peer that missed
/// more gets a snapshot.
const CHANGE_LOG: usize = 4096;

/// Why the agent stopped.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum AgentError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// State of the agent that all its tasks share.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) settings: VmSettings,
    pub(crate) platform: Arc<dyn Platform>,
    state: Mutex<State>,
    /// Agents that pulled while there was no VM list, the newest first.
    pub(crate) pullers: Mutex<Vec<VmRecord>>,
    /// Deltas to peers and to the entry that take more than one page.
    pub(crate) outgoing: Mutex<OutgoingDeltas>,
    /// Held while a delta of more than one page comes in, so that the same
    /// objects do not come from several peers at once.
    pub(crate) transfer: tokio::sync::Mutex<()>,
    /// Revision held; tasks wait for it to grow.
    pub(crate) revision: watch::Sender<Revision>,
    /// Last report of the entry.
    pub(crate) report: Mutex<Option<Report>>,
    /// When the entry reported last.
    pub(crate) reported_at: Mutex<Option<Instant>>,
}

/// What is known of the store and of the fleet.
#[derive(Debug)]
pub(crate) struct State {
    /// Never moves to a lower revision.
    pub(crate) objects: VersionedMap<Bytes>,
    pub(crate) freshness: FreshnessTracker,
    /// VMs of the platform's list; kept in step with `objects`.
    pub(crate) vms: Vec<VmRecord>,
    /// What follows from `vms`; kept in step with it.
    pub(crate) place: Place,
    /// When this agent first held anything.
    held_since: Option<Instant>,
    /// Name of the own VM.
    vm: VmName,
}

/// The agent's place among the VMs of the platform's list.
///
/// Finding it takes time in proportion to the list, so it is kept until the
/// list changes.
#[derive(Debug, Default)]
pub(crate) struct Place {
    /// VMs to pull from.
    pub(crate) neighbours: Vec<VmRecord>,
    /// The agent watches the store.
    pub(crate) relay: bool,
    /// The agent tries to hold the allocator lease.
    pub(crate) allocator_candidate: bool,
    /// Regions with live VMs.
    live_regions: BTreeSet<RegionName>,
}

impl Place {
    fn find(me: &Member, vms: &[VmRecord]) -> Self {
        let members: Vec<Member> = vms.iter().filter_map(member).collect();
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
            relay: members.is_empty() || dissemination::is_relay(me, &members),
            allocator_candidate: allocator::is_candidate(&me.vm, live()),
            live_regions: live().map(|vm| vm.region.clone()).collect(),
        }
    }
}

impl Agent {
    fn new(settings: VmSettings, platform: Arc<dyn Platform>) -> Self {
        let state = State {
            objects: VersionedMap::new(CHANGE_LOG),
            freshness: FreshnessTracker::new(settings.region.clone()),
            vms: Vec::new(),
            place: Place::default(),
            held_since: None,
            vm: settings.vm.clone(),
        };
        Self {
            settings,
            platform,
            state: Mutex::new(state),
            pullers: Mutex::default(),
            outgoing: Mutex::default(),
            transfer: tokio::sync::Mutex::default(),
            revision: watch::Sender::new(0),
            report: Mutex::new(None),
            reported_at: Mutex::new(None),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Changes the object map and wakes those that wait for a newer revision.
    pub(crate) fn advance(
        &self,
        apply: impl FnOnce(&mut VersionedMap<Bytes>) -> Result<ApplyOutcome, MalformedUpdateError>,
    ) -> Result<ApplyOutcome, MalformedUpdateError> {
        let mut state = self.state();
        let applied = apply(&mut state.objects)?;
        if let ApplyOutcome::Advanced(names) = &applied {
            if names.iter().any(|name| name.starts_with("vms/")) {
                state.vms = listed_vms(&state.objects);
                state.place = Place::find(&self.me(), &state.vms);
            }
            state.held_since.get_or_insert_with(Instant::now);
            let held = state.objects.revision();
            state.freshness.update_held_confirmation(held);
            self.revision.send_replace(held);
        }
        Ok(applied)
    }

    pub(crate) fn me(&self) -> Member {
        Member {
            vm: self.settings.vm.clone(),
            region: self.settings.region.clone(),
            failure_domain: self.settings.failure_domain.clone(),
        }
    }
}

impl State {
    /// How much longer the state may be relied on; zero when isolated. `None`
    /// while this agent knows too little to judge.
    pub(crate) fn valid_for(&self, now: Instant) -> Option<Duration> {
        let alone = !self.vms.iter().any(|vm| vm.is_live() && vm.name != self.vm);
        let held_since = self.held_since?;
        if !alone && now < held_since + JOIN_WAIT {
            return None;
        }
        let held = self.objects.revision();
        let until = self
            .freshness
            .freshness(now, held, &self.place.live_regions, alone)
            .valid_until();
        Some(until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now)))
    }
}

/// Runs the agent until the process is stopped.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn run(settings: VmSettings) -> Result<(), AgentError> {
    let address = SocketAddr::new(settings.address, settings.ports.agent_peer);
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| AgentError::Listen { address, source })?;
    log::info!("event=agent_started vm={} address={address}", settings.vm);
    let platform = Arc::new(HttpPlatform::new(settings.store, Some(settings.address)));
    let agent = Arc::new(Agent::new(settings, platform));
    let address = SocketAddr::new(agent.settings.address, agent.settings.ports.agent_operator);
    let operators = operator::listen(address)
        .await
        .map_err(|source| AgentError::Listen { address, source })?;
    operator::record_metrics();
    tokio::spawn(dump::operator_port(&agent).serve(operators));
    tokio::spawn(store::follow_store(Arc::clone(&agent)));
    tokio::spawn(pull::pull_from_peers(Arc::clone(&agent)));
    tokio::spawn(allocator::run(Arc::clone(&agent)));
    serve_frames(listener, move |peer, body| {
        peers::answer(Arc::clone(&agent), peer, body)
    })
    .await;
    Ok(())
}

fn listed_vms(objects: &VersionedMap<Bytes>) -> Vec<VmRecord> {
    objects
        .prefix("vms/")
        .filter_map(|(_, entry)| VmRecord::decode(&entry.value))
        .collect()
}

/// A VM that stays, as a member of the exchange.
fn member(vm: &VmRecord) -> Option<Member> {
    vm.is_live().then(|| Member {
        vm: vm.name.clone(),
        region: vm.region.clone(),
        failure_domain: vm.failure_domain.clone(),
    })
}
