//! The agent: watches the platform, exchanges state with peer agents and
//! feeds the entry of its VM.

mod allocator;
mod peers;
mod pull;
mod store;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_coord::dissemination::{self, Member};
use filbertgrade_coord::freshness::FreshnessTracker;
use filbertgrade_coord::names::RegionName;
use filbertgrade_coord::versioned::{Applied, MalformedError, VersionedMap};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::connection::serve_frames;
use crate::platform::{HttpPlatform, Platform, Revision};
use crate::process::settings::NodeSettings;
use crate::version::VmRecord;
use crate::wire::Report;

/// Longest wait before the entry's request for state is answered.
///
/// The answer renews how long the state is valid, so it must come well within
/// the freshness bound.
pub const FEED_WAIT: Duration = Duration::from_millis(250);

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
    pub(crate) settings: NodeSettings,
    pub(crate) platform: Arc<dyn Platform>,
    state: Mutex<State>,
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
        let members: Vec<Member> = vms.iter().map(Member::from).collect();
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
            relay: dissemination::is_relay(me, &members),
            allocator_candidate: allocator::is_candidate(&me.vm, live()),
            live_regions: live().map(|vm| vm.region.clone()).collect(),
        }
    }
}

impl From<&VmRecord> for Member {
    fn from(vm: &VmRecord) -> Self {
        Self {
            vm: vm.name.clone(),
            region: vm.region.clone(),
            failure_domain: vm.failure_domain.clone(),
        }
    }
}

impl Agent {
    fn new(settings: NodeSettings, platform: Arc<dyn Platform>) -> Self {
        let state = State {
            objects: VersionedMap::new(CHANGE_LOG),
            freshness: FreshnessTracker::new(settings.region.clone()),
            vms: Vec::new(),
            place: Place::default(),
        };
        Self {
            settings,
            platform,
            state: Mutex::new(state),
            revision: watch::Sender::new(0),
            report: Mutex::new(None),
            reported_at: Mutex::new(None),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the object map and wakes those that wait for a newer revision.
    pub(crate) fn advance(
        &self,
        apply: impl FnOnce(&mut VersionedMap<Bytes>) -> Result<Applied, MalformedError>,
    ) -> Result<Applied, MalformedError> {
        let mut state = self.state();
        let applied = apply(&mut state.objects)?;
        if let Applied::Advanced(names) = &applied {
            if names.iter().any(|name| name.starts_with("vms/")) {
                state.vms = listed_vms(&state.objects);
                state.place = Place::find(&self.me(), &state.vms);
            }
            self.revision.send_replace(state.objects.revision());
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
    /// How much longer the state may be relied on; zero when isolated.
    pub(crate) fn valid_for(&self, now: Instant) -> Duration {
        self.freshness
            .freshness(now, self.objects.revision(), &self.place.live_regions)
            .valid_until()
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// Runs the agent until the process is stopped.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn run(settings: NodeSettings) -> Result<(), AgentError> {
    let address = SocketAddr::new(settings.address, settings.ports.agent_peer);
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| AgentError::Listen { address, source })?;
    log::info!("event=agent_started vm={} address={address}", settings.vm);
    let platform = Arc::new(HttpPlatform::new(settings.store, Some(settings.address)));
    let agent = Arc::new(Agent::new(settings, platform));
    tokio::spawn(store::follow_store(Arc::clone(&agent)));
    tokio::spawn(pull::pull_from_peers(Arc::clone(&agent)));
    tokio::spawn(allocator::run(Arc::clone(&agent)));
    serve_frames(listener, move |_peer, body| {
        peers::answer(Arc::clone(&agent), body)
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
