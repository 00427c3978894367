//! The allocator: the one agent that divides the teams' limits among VMs.

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

/// Name of the lease's object.
const LEASE: &str = "leases/allocator";

/// VMs that try to hold the lease. With three, the loss of two at once still
/// leaves one; more would only read the store more often.
const CANDIDATES: usize = 3;

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(200);

/// Time between two reads of the lease by a candidate that waits for it, which
/// delays a takeover after a holder gave the lease up.
const LEASE_READ: Duration = Duration::from_secs(1);

/// Time for one agent to acknowledge a table.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Follows the lease, and divides the limits while holding it.
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
        table_since: None,
        view: InForce::default(),
        step_since: None,
        links: HashMap::new(),
    };
    let mut ticks = tokio::time::interval(ROUND);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if allocator.is_candidate() {
            allocator.follow_lease().await;
            allocator.divide().await;
            allocator.steer().await;
        } else {
            allocator.yield_lease().await;
        }
    }
}

/// Reports whether `vm` is one of the `live` VMs that try to hold the lease.
pub(super) fn is_candidate<'a>(vm: &VmName, live: impl Iterator<Item = &'a VmRecord>) -> bool {
    rendezvous::top(LEASE, live.map(|vm| &vm.name), CANDIDATES).contains(&vm)
}

struct Allocator {
    agent: Arc<Agent>,
    lease: Lease,
    /// When the lease was last read.
    lease_read_at: Option<Instant>,
    /// When each VM of the table was first missed in the platform's list.
    absent_since: BTreeMap<VmName, Instant>,
    /// When the present table's version was first seen.
    table_since: Option<(u64, Instant)>,
    /// The configuration, drains and weights that are stored.
    view: InForce,
    /// When the last step of the weights was first seen.
    step_since: Option<(u64, Instant)>,
    links: HashMap<VmName, (SocketAddr, PeerLink)>,
}

impl Allocator {
    fn is_candidate(&self) -> bool {
        self.agent.state().place.allocator_candidate
    }

    async fn follow_lease(&mut self) {
        let now = Instant::now();
        let result = match self.lease.next_action(now) {
            LeaseAction::Wait { .. } if self.lease.held(now).is_some() => Ok(()),
            LeaseAction::Wait { .. }
                if self.lease_read_at.is_some_and(|at| now < at + LEASE_READ) =>
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

    /// Gives the lease up when this VM is no candidate, for instance because it
    /// leaves. Otherwise nobody would move shares until the lease lapses.
    async fn yield_lease(&mut self) {
        // What was first seen under the lease says nothing about the time
        // since, in which this agent does not look.
        self.absent_since.clear();
        self.table_since = None;
        self.step_since = None;
        let Some(LeaseAction::Write { expected, record }) = self.lease.release(Instant::now())
        else {
            return;
        };
        let value = serde_json::to_vec(&LeaseFile::from(&record)).unwrap_or_default();
        let condition = expected.map_or(Condition::Absent, Condition::At);
        let written = self.agent.platform.put(LEASE, value.into(), condition);
        match written.await {
            Ok(_) => log::info!("event=lease_yielded token={}", record.token.get()),
            Err(error) => log::warn!("event=lease_failed error={}", logfmt::value(&error)),
        }
        // Whatever became of this write and of a renewal before it, only a
        // new read tells the present record.
        self.lease.record_conflict();
    }

    async fn read_lease(&mut self) -> Result<(), PlatformError> {
        self.lease_read_at = Some(Instant::now());
        let object = self.agent.platform.get(LEASE).await?;
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
        let written = self.agent.platform.put(LEASE, value.into(), condition);
        match written.await {
            Ok(revision) => {
                let held = self.lease.held(Instant::now()).is_some();
                self.lease.record_write(Instant::now(), revision);
                if !held {
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

    /// Takes the next step towards equal shares, if this agent holds the lease.
    async fn divide(&mut self) {
        let Some(token) = self.lease.held(Instant::now()) else {
            self.absent_since.clear();
            self.table_since = None;
            return;
        };
        let (stored, vms) = {
            let state = self.agent.state();
            let stored = state
                .objects
                .get(SHARE_TABLE)
                .and_then(|e| Some((e.revision, decode_share_table(&e.value)?)));
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
            self.publish(&next, condition).await;
        }
    }

    async fn next_table(
        &mut self,
        token: FencingToken,
        table: &ShareTable,
        vms: &[VmRecord],
    ) -> Option<ShareTable> {
        if table.token() < token && table.version() > 0 {
            // The first write under a new token makes any write that the
            // former holder still has under way fail.
            return Some(table.with_token(token));
        }
        let now = Instant::now();
        let presence = self.presence(table, vms, now);
        let table_since = self.since(table.version(), now);
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
                TableStep::Wait { .. } => acks = self.ask_for_acks(vms).await,
            }
            if acks.is_empty() {
                return None;
            }
        }
    }

    /// Takes the next step of the region weights, if this agent holds the
    /// lease. Every candidate dates the steps, so that a new holder neither
    /// steps early nor waits longer than it must.
    async fn steer(&mut self) {
        let stored = {
            let state = self.agent.state();
            if state.objects.revision() > self.view.revision {
                self.view = InForce::build(&state.objects, &self.view);
            }
            state
                .objects
                .get(STEERING_WEIGHTS)
                .map(|entry| entry.revision)
        };
        let now = Instant::now();
        let table = &self.view.steering;
        let since = match self.step_since {
            Some((step, since)) if step == table.step => since,
            _ => now,
        };
        self.step_since = Some((table.step, since));
        let Some(token) = self.lease.held(now) else {
            return;
        };
        let Some(config) = self.view.config.clone() else {
            return;
        };
        if token.check(table.token).is_err() {
            return;
        }
        let next = if table.token < token {
            // As with the share table, the first write under a new token
            // makes any write of the former holder fail.
            let mut table = table.clone();
            table.token = token;
            Some(table)
        } else {
            table.next(&config, self.view.drains(), Some(since), now)
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

    async fn publish(&mut self, next: &ShareTable, condition: Condition) {
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

    fn presence(
        &mut self,
        table: &ShareTable,
        vms: &[VmRecord],
        now: Instant,
    ) -> BTreeMap<VmName, Presence> {
        let mut presence: BTreeMap<VmName, Presence> = vms
            .iter()
            .map(|vm| {
                let present = if vm.is_live() {
                    Presence::Live
                } else {
                    Presence::Leaving
                };
                (vm.name.clone(), present)
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

    fn since(&mut self, version: u64, now: Instant) -> Instant {
        match self.table_since {
            Some((known, since)) if known == version => since,
            _ => {
                self.table_since = Some((version, now));
                now
            }
        }
    }

    /// Which version of the table is in effect on each VM that answers.
    async fn ask_for_acks(&mut self, vms: &[VmRecord]) -> BTreeMap<VmName, u64> {
        let port = self.agent.settings.ports.agent_peer;
        let local = self.agent.settings.address;
        self.links
            .retain(|name, _| vms.iter().any(|vm| vm.name == *name));
        let mut answers: FuturesUnordered<_> = vms
            .iter()
            .map(|vm| {
                let address = SocketAddr::new(vm.address, port);
                let known = self.links.get(&vm.name).filter(|(at, _)| *at == address);
                let link = match known {
                    Some((_, link)) => link.clone(),
                    None => PeerLink::new(address, Some(local)),
                };
                self.links.insert(vm.name.clone(), (address, link.clone()));
                ask_for_ack(vm.name.clone(), link)
            })
            .collect();
        let mut acks = BTreeMap::new();
        while let Some(answer) = answers.next().await {
            acks.extend(answer);
        }
        acks
    }
}

async fn ask_for_ack(vm: VmName, link: PeerLink) -> Option<(VmName, u64)> {
    let request = Body::StatusRequest(StatusRequest {});
    match link.call(request, STATUS_TIMEOUT).await {
        Ok(Body::StatusReply(reply)) if reply.vm == vm.as_str() => {
            Some((vm, reply.entry?.share_table_version?))
        }
        _ => None,
    }
}

/// The lease as it is stored.
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
