//! The allocator: the agent that holds the allocator lease. It divides the teams'
//! limits among the VMs and publishes the region weights.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_coord::lease::{FencingToken, Lease, LeaseAction, LeaseConfig, LeaseRecord};
use filbertgrade_coord::names::VmName;
use filbertgrade_coord::rendezvous;
use filbertgrade_coord::share_table::{AllocatorView, Presence, ShareTable, TableStep, next_step};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde::{Deserialize, Serialize};

use super::Agent;
use crate::connection::PeerLink;
use crate::logfmt;
use crate::platform::{Condition, PlatformError, Revision};
use crate::version::{
    InForce, SHARE_TABLE, STEERING_WEIGHTS, VmRecord, decode_share_table, encode_share_table,
};
use crate::wire::{Body, StatusRequest};

/// Name of the stored object that holds the lease.
const LEASE_OBJECT: &str = "leases/allocator";

/// Number of VMs that try to acquire the lease. With three, one is left after
/// the loss of two at once; more would only add reads of the store.
const CANDIDATES: usize = 3;

/// Time between two rounds of the allocator.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two reads of the lease by a candidate that does not hold it. It
/// is also the longest delay of a takeover after the holder released the lease.
const LEASE_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time to wait for one agent to report which share table is in effect.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the allocator until the process is stopped: tries to acquire the lease
/// while this VM is a candidate, and publishes tables while it holds the lease.
pub(crate) async fn run(agent: Arc<Agent>) {
    let lease = Lease::new(
        agent.settings.vm.clone(),
        rand::random(),
        LeaseConfig::default(),
    );
    let mut allocator = Allocator {
        agent,
        lease,
        lease_read_at: None,
        absent_since: BTreeMap::new(),
        table_seen_at: None,
        in_force: InForce::default(),
        step_seen_at: None,
        links: HashMap::new(),
    };
    let mut ticks = tokio::time::interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if allocator.is_candidate() {
            allocator.advance_lease().await;
            allocator.advance_share_table().await;
            allocator.advance_weights().await;
        } else {
            allocator.release_lease().await;
        }
    }
}

/// Reports whether `vm` is one of the `live` VMs that try to acquire the lease.
pub(super) fn is_candidate<'a>(vm: &VmName, live: impl Iterator<Item = &'a VmRecord>) -> bool {
    rendezvous::top(LEASE_OBJECT, live.map(|vm| &vm.name), CANDIDATES).contains(&vm)
}

/// State of the allocator task.
struct Allocator {
    agent: Arc<Agent>,
    lease: Lease,
    /// When the lease was last read.
    lease_read_at: Option<Instant>,
    /// When each VM of the share table was first found missing from the
    /// platform's list.
    absent_since: BTreeMap<VmName, Instant>,
    /// Version of the current share table, and when this agent first saw it.
    table_seen_at: Option<(u64, Instant)>,
    /// Stored configuration, drains and weights, as of the last round.
    in_force: InForce,
    /// Last step of the weights, and when this agent first saw it.
    step_seen_at: Option<(u64, Instant)>,
    /// Links to the agents of the listed VMs, with the address of each.
    links: HashMap<VmName, (SocketAddr, PeerLink)>,
}

impl Allocator {
    fn is_candidate(&self) -> bool {
        self.agent.state().topology.is_allocator_candidate
    }

    /// Acquires, renews or reads the lease, whichever is due.
    async fn advance_lease(&mut self) {
        let now = Instant::now();
        let result = match self.lease.next_action(now) {
            LeaseAction::Wait { .. } if self.lease.held(now).is_some() => Ok(()),
            LeaseAction::Wait { .. }
                if self
                    .lease_read_at
                    .is_some_and(|at| now < at + LEASE_READ_INTERVAL) =>
            {
                Ok(())
            }
            LeaseAction::Wait { .. } => self.read_lease().await,
            LeaseAction::Read => self.read_lease().await,
            LeaseAction::Write { expected, record } => self.write_lease(expected, &record).await,
        };
        if let Err(error) = result {
            log::warn!("event=lease_failed error={}", logfmt::value(&error));
        }
    }

    /// Releases the lease when this VM is not a candidate, for example because it
    /// is leaving. Without this, no shares would move until the lease expires.
    async fn release_lease(&mut self) {
        // An agent that is not a candidate stops observing the tables and the
        // list, so the times of its earlier observations are no longer valid.
        self.absent_since.clear();
        self.table_seen_at = None;
        self.step_seen_at = None;
        let Some(LeaseAction::Write { expected, record }) = self.lease.release(Instant::now())
        else {
            return;
        };
        let value = serde_json::to_vec(&LeaseFile::from(&record)).unwrap_or_default();
        let condition = expected.map_or(Condition::Absent, Condition::At);
        let written = self
            .agent
            .platform
            .put(LEASE_OBJECT, value.into(), condition);
        match written.await {
            Ok(_) => log::info!("event=lease_yielded token={}", record.token.get()),
            Err(error) => log::warn!("event=lease_failed error={}", logfmt::value(&error)),
        }
        // The result of this write or of an earlier renewal may be unknown, so
        // the current record must be read again.
        self.lease.record_conflict();
    }

    async fn read_lease(&mut self) -> Result<(), PlatformError> {
        self.lease_read_at = Some(Instant::now());
        let object = self.agent.platform.get(LEASE_OBJECT).await?;
        let stored = object.and_then(|object| {
            let file: LeaseFile = serde_json::from_slice(object.value.as_deref()?).ok()?;
            Some((object.revision, LeaseRecord::try_from(file).ok()?))
        });
        self.lease.record_read(Instant::now(), stored);
        Ok(())
    }

    async fn write_lease(
        &mut self,
        expected: Option<Revision>,
        record: &LeaseRecord,
    ) -> Result<(), PlatformError> {
        let value = serde_json::to_vec(&LeaseFile::from(record)).unwrap_or_default();
        let condition = expected.map_or(Condition::Absent, Condition::At);
        let written = self
            .agent
            .platform
            .put(LEASE_OBJECT, value.into(), condition);
        match written.await {
            Ok(revision) => {
                let was_held = self.lease.held(Instant::now()).is_some();
                self.lease.record_write(Instant::now(), revision);
                if !was_held {
                    log::info!("event=lease_acquired token={}", record.token.get());
                }
                Ok(())
            }
            Err(error) if error.is_conflict() => {
                self.lease.record_conflict();
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Publishes the next share table on the way to equal shares, if this agent
    /// holds the lease.
    async fn advance_share_table(&mut self) {
        let Some(token) = self.lease.held(Instant::now()) else {
            self.absent_since.clear();
            self.table_seen_at = None;
            return;
        };
        let (stored, vms) = {
            let state = self.agent.state();
            let stored = state
                .objects
                .get(SHARE_TABLE)
                .and_then(|entry| Some((entry.revision, decode_share_table(&entry.value)?)));
            (stored, state.vms.clone())
        };
        let (condition, table) = match stored {
            Some((revision, table)) => (Condition::At(revision), table),
            None => (Condition::Absent, ShareTable::default()),
        };
        if token.check(table.token()).is_err() {
            return;
        }
        if let Some(next) = self.next_table(token, &table, &vms).await {
            self.publish_share_table(&next, condition).await;
        }
    }

    /// The share table to publish next; `None` when there is nothing to publish
    /// or a VM has not yet put the current table into effect.
    async fn next_table(
        &mut self,
        token: FencingToken,
        table: &ShareTable,
        vms: &[VmRecord],
    ) -> Option<ShareTable> {
        if table.token() < token && table.version() > 0 {
            // The first write under a new token changes the revision, so a
            // write that the previous holder still has in flight fails.
            return Some(table.with_token(token));
        }
        let now = Instant::now();
        let presence = self.presence(table, vms, now);
        let table_since = self.table_first_seen(table.version(), now);
        let mut acks = BTreeMap::new();
        loop {
            let view = AllocatorView {
                token,
                table,
                table_since,
                vms: &presence,
                acks: &acks,
            };
            match next_step(view, Instant::now()) {
                TableStep::Publish(next) => return Some(next),
                TableStep::Done => return None,
                TableStep::Wait { vm, .. } if !acks.is_empty() => {
                    log::debug!("event=share_table_waits vm={vm}");
                    return None;
                }
                TableStep::Wait { .. } => acks = self.collect_acks(vms).await,
            }
            if acks.is_empty() {
                return None;
            }
        }
    }

    /// Publishes the next step of the region weights, if this agent holds the
    /// lease. Every candidate records when each step appeared, so that a new
    /// holder neither takes the next step early nor waits longer than needed.
    async fn advance_weights(&mut self) {
        let stored = {
            let state = self.agent.state();
            if state.objects.revision() > self.in_force.revision {
                self.in_force = InForce::build(&state.objects, &self.in_force);
            }
            state
                .objects
                .get(STEERING_WEIGHTS)
                .map(|entry| entry.revision)
        };
        let now = Instant::now();
        let table = &self.in_force.steering;
        let since = match self.step_seen_at {
            Some((step, since)) if step == table.step => since,
            _ => now,
        };
        self.step_seen_at = Some((table.step, since));
        let Some(token) = self.lease.held(now) else {
            return;
        };
        let Some(config) = self.in_force.config.clone() else {
            return;
        };
        if token.check(table.token).is_err() {
            return;
        }
        let next = if table.token < token {
            // As with the share table, the first write under a new token
            // makes writes of the previous holder fail.
            let mut table = table.clone();
            table.token = token;
            Some(table)
        } else {
            table.next(&config, self.in_force.drains(), Some(since), now)
        };
        let Some(next) = next else { return };
        let condition = stored.map_or(Condition::Absent, Condition::At);
        let value = Bytes::from(next.encode());
        match self
            .agent
            .platform
            .put(STEERING_WEIGHTS, value, condition)
            .await
        {
            Ok(_) => log::info!(
                "event=weights_published step={} token={}",
                next.step,
                next.token.get()
            ),
            Err(error) => {
                log::warn!("event=weights_failed error={}", logfmt::value(&error));
            }
        }
    }

    async fn publish_share_table(&mut self, next: &ShareTable, condition: Condition) {
        let value = Bytes::from(encode_share_table(next));
        match self.agent.platform.put(SHARE_TABLE, value, condition).await {
            Ok(_) => log::info!(
                "event=share_table_published version={} token={}",
                next.version(),
                next.token().get()
            ),
            Err(error) => log::warn!("event=share_table_failed error={}", logfmt::value(&error)),
        }
    }

    /// Presence of each VM that is in the platform's list or in the share table.
    fn presence(
        &mut self,
        table: &ShareTable,
        vms: &[VmRecord],
        now: Instant,
    ) -> BTreeMap<VmName, Presence> {
        let mut presence: BTreeMap<VmName, Presence> = vms
            .iter()
            .map(|vm| {
                let state = if vm.is_live() {
                    Presence::Live
                } else {
                    Presence::Leaving
                };
                (vm.name.clone(), state)
            })
            .collect();
        self.absent_since.retain(|vm, _| !presence.contains_key(vm));
        for vm in table.units().keys() {
            if !presence.contains_key(vm) {
                let since = *self.absent_since.entry(vm.clone()).or_insert(now);
                presence.insert(vm.clone(), Presence::AbsentSince(since));
            }
        }
        presence
    }

    /// When this agent first saw `version` of the share table.
    fn table_first_seen(&mut self, version: u64, now: Instant) -> Instant {
        match self.table_seen_at {
            Some((known, since)) if known == version => since,
            _ => {
                self.table_seen_at = Some((version, now));
                now
            }
        }
    }

    /// Version of the share table that is in effect on each VM that replies.
    async fn collect_acks(&mut self, vms: &[VmRecord]) -> BTreeMap<VmName, u64> {
        let port = self.agent.settings.ports.agent_peer;
        let local = self.agent.settings.address;
        self.links
            .retain(|name, _| vms.iter().any(|vm| vm.name == *name));
        let mut replies: FuturesUnordered<_> = vms
            .iter()
            .map(|vm| {
                let address = SocketAddr::new(vm.address, port);
                let known = self.links.get(&vm.name).filter(|(at, _)| *at == address);
                let link = match known {
                    Some((_, link)) => link.clone(),
                    None => PeerLink::new(address, Some(local)),
                };
                self.links.insert(vm.name.clone(), (address, link.clone()));
                request_ack(vm.name.clone(), link)
            })
            .collect();
        let mut acks = BTreeMap::new();
        while let Some(ack) = replies.next().await {
            acks.extend(ack);
        }
        acks
    }
}

/// Requests from the agent of `vm` the version of the share table in effect;
/// `None` without a valid reply.
async fn request_ack(vm: VmName, link: PeerLink) -> Option<(VmName, u64)> {
    let request = Body::StatusRequest(StatusRequest {});
    match link.call(request, STATUS_TIMEOUT).await {
        Ok(Body::StatusReply(reply)) if reply.vm == vm.as_str() => {
            Some((vm, reply.entry?.share_table_version?))
        }
        _ => None,
    }
}

/// Stored form of the lease.
#[derive(Serialize, Deserialize)]
struct LeaseFile {
    holder: Option<String>,
    incarnation: u64,
    token: u64,
    write: u64,
}

impl From<&LeaseRecord> for LeaseFile {
    fn from(record: &LeaseRecord) -> Self {
        let (holder, incarnation) = match &record.holder {
            Some((vm, incarnation)) => (Some(vm.to_string()), *incarnation),
            None => (None, 0),
        };
        Self {
            holder,
            incarnation,
            token: record.token.get(),
            write: record.write,
        }
    }
}

impl TryFrom<LeaseFile> for LeaseRecord {
    type Error = filbertgrade_coord::names::NameError;

    fn try_from(file: LeaseFile) -> Result<Self, Self::Error> {
        let holder = match file.holder {
            Some(vm) => Some((VmName::try_from(vm.as_str())?, file.incarnation)),
            None => None,
        };
        Ok(Self {
            holder,
            token: FencingToken::new(file.token),
            write: file.write,
        })
    }
}
