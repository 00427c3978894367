//! A slot pool that this VM owns, with the requests that wait for its slots.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::EndpointName;
use filbertgrade_coord::slots::{
    AcquireOutcome, Grant, PermitId, PermitRenewal, QueuedGrant, SlotConfig, SlotPool, SlotRefusal,
    SlotRequest, SlotSnapshot, Temperature, Ticket,
};
use tokio::sync::oneshot;

use super::{EndpointFault, PoolId, SlotReport};
use crate::platform::Revision;
use crate::version::InForce;
use crate::wire;

/// Lease of a permit before its first renewal. After a network partition
/// between VMs, slot requests whose callers gave up long ago arrive all at once
/// and take every slot. With a lease of 2 s they occupied the slots for that long.
const FIRST_LEASE: Duration = Duration::from_millis(500);

/// Backoff for an endpoint that reported that it is draining. Afterwards one
/// request tests whether the drain is over.
const DRAIN_BACKOFF: Duration = Duration::from_secs(1);

/// Backoff for an endpoint that cannot be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(1);

/// The permit and endpoint that a request was granted, or why it got none.
pub(super) type PoolReply = Result<(PermitId, SocketAddr), SlotRefusal>;

/// A slot pool of this VM.
#[derive(Debug)]
pub(super) struct OwnedPool {
    pool: SlotPool,
    /// Revision of the view that the endpoints were taken from; `None` before
    /// the first one.
    revision: Option<Revision>,
    addresses: HashMap<EndpointName, SocketAddr>,
    waiting: HashMap<Ticket, oneshot::Sender<PoolReply>>,
    /// Endpoints that are drained according to the view in force.
    drained: HashSet<EndpointName>,
    /// Endpoints that were ejected after a fault, with the end of their
    /// backoff.
    ejected: HashMap<EndpointName, Instant>,
}

/// Result of requesting a slot from the pool.
pub(super) enum AcquireResult {
    Done(PoolReply),
    /// The reply follows later; the ticket serves to cancel the request.
    Queued(Ticket, oneshot::Receiver<PoolReply>),
}

impl OwnedPool {
    pub(super) fn new() -> Self {
        Self {
            pool: SlotPool::new(rand::random(), config()),
            revision: None,
            addresses: HashMap::new(),
            waiting: HashMap::new(),
            drained: HashSet::new(),
            ejected: HashMap::new(),
        }
    }

    /// Updates the endpoints to those of the view in force. Endpoints of the
    /// first view are treated as warm; those that are added later ramp up.
    pub(super) fn update_endpoints(&mut self, view: &InForce, id: &PoolId, now: Instant) {
        if self
            .revision
            .is_some_and(|current| current >= view.revision)
        {
            return;
        }
        let temperature = match self.revision {
            None => Temperature::Warm,
            Some(_) => Temperature::Cold,
        };
        self.revision = Some(view.revision);
        let mut addresses = HashMap::new();
        let mut drained = HashSet::new();
        let mut granted = Vec::new();
        for endpoint in view.endpoints(&id.service, &id.region) {
            let name = endpoint_name(endpoint.address);
            let newly_granted =
                self.pool
                    .set_endpoint(now, name.clone(), endpoint.slots, temperature);
            granted.extend(newly_granted);
            if endpoint.drained {
                drained.insert(name.clone());
            }
            let excluded = endpoint.drained || self.ejected.contains_key(&name);
            granted.extend(self.pool.set_draining(now, &name, excluded));
            addresses.insert(name, endpoint.address);
        }
        self.drained = drained;
        let previous = std::mem::replace(&mut self.addresses, addresses);
        for name in previous.keys().filter(|n| !self.addresses.contains_key(*n)) {
            let newly_granted = self.pool.remove_endpoint(now, name);
            granted.extend(newly_granted);
        }
        // Replies contain endpoint addresses, so all addresses must be known
        // before this call.
        self.deliver(now, granted);
    }

    pub(super) fn acquire(&mut self, now: Instant, request: SlotRequest) -> AcquireResult {
        match self.pool.acquire(now, request) {
            AcquireOutcome::Granted(grant) => AcquireResult::Done(self.reply_for(&grant)),
            AcquireOutcome::Refused(refusal) => AcquireResult::Done(Err(refusal)),
            AcquireOutcome::Queued(ticket) => {
                let (tx, rx) = oneshot::channel();
                self.waiting.insert(ticket, tx);
                AcquireResult::Queued(ticket, rx)
            }
        }
    }

    /// Ends a permit. If a fault is reported, its endpoint gets less work or none
    /// for a while, and if the endpoint named a rate, no more than that.
    pub(super) fn release(&mut self, now: Instant, permit: PermitId, report: SlotReport) {
        if let Some(endpoint) = self.pool.endpoint_of(permit).cloned() {
            if let Some(rate) = report.rate {
                let granted = self.pool.set_rate(now, &endpoint, rate.per_second());
                self.deliver(now, granted);
            }
            if let Some(fault) = report.fault {
                self.record_fault(now, &endpoint, fault);
            }
        }
        let granted = self.pool.release(now, permit);
        self.deliver(now, granted);
    }

    /// An endpoint that shed a request has less capacity than the pool assumes,
    /// so its ramp is restarted. One that drains or is unreachable is ejected
    /// for a backoff as well.
    fn record_fault(&mut self, now: Instant, endpoint: &EndpointName, fault: EndpointFault) {
        let backoff = match fault {
            EndpointFault::Shed => None,
            EndpointFault::Draining => Some(DRAIN_BACKOFF),
            EndpointFault::Unreachable => Some(UNREACHABLE_BACKOFF),
        };
        if let Some(backoff) = backoff {
            self.ejected.insert(endpoint.clone(), now + backoff);
            let granted = self.pool.set_draining(now, endpoint, true);
            self.deliver(now, granted);
        }
        let granted = self.pool.restart_ramp(now, endpoint);
        self.deliver(now, granted);
    }

    /// Ends all ejections. Used when no other endpoint is available.
    pub(super) fn end_all_ejections(&mut self, now: Instant) {
        for until in self.ejected.values_mut() {
            *until = now;
        }
        self.end_due_ejections(now);
    }

    /// Readmits endpoints whose backoff is over. Their ramp restarts with a
    /// single request.
    fn end_due_ejections(&mut self, now: Instant) {
        let due: Vec<EndpointName> = self
            .ejected
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.ejected.remove(&name);
            let mut granted = self.pool.restart_ramp(now, &name);
            let drained = self.drained.contains(&name);
            granted.extend(self.pool.set_draining(now, &name, drained));
            self.deliver(now, granted);
        }
    }

    /// Renews a permit. A permit that the pool does not know is replaced by a
    /// new one, so that the running request is counted.
    pub(super) fn renew_or_adopt(
        &mut self,
        now: Instant,
        permit: PermitId,
        endpoint: SocketAddr,
    ) -> Option<PermitId> {
        match self.pool.renew(now, permit) {
            PermitRenewal::Extended { .. } => Some(permit),
            PermitRenewal::Unknown => {
                let adopted = self.pool.adopt(now, &endpoint_name(endpoint))?;
                Some(adopted.permit)
            }
        }
    }

    /// Cancels a waiting request whose caller has disconnected.
    pub(super) fn cancel(&mut self, ticket: Ticket) {
        // If the ticket was granted in the meantime, its slot is freed when the
        // delivery of the grant fails.
        self.pool.cancel(ticket);
        self.waiting.remove(&ticket);
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.end_due_ejections(now);
        let expired = self.pool.expire(now);
        for (ticket, _, refusal) in expired.refused {
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.send(Err(refusal));
            }
        }
        self.deliver(now, expired.granted);
    }

    pub(super) fn snapshot(&self, now: Instant) -> SlotSnapshot {
        self.pool.snapshot(now)
    }

    /// Sends grants to the requests that wait for them. If a request is gone,
    /// its slot is freed again, which may serve the next request.
    fn deliver(&mut self, now: Instant, granted: Vec<QueuedGrant>) {
        let mut pending = granted;
        while let Some(queued) = pending.pop() {
            let reply = self.reply_for(&queued.grant);
            let delivered = self
                .waiting
                .remove(&queued.ticket)
                .is_some_and(|tx| tx.send(reply).is_ok());
            if !delivered {
                pending.extend(self.pool.release(now, queued.grant.permit));
            }
        }
    }

    fn reply_for(&self, grant: &Grant) -> PoolReply {
        self.addresses
            .get(&grant.endpoint)
            .map(|address| (grant.permit, *address))
            .ok_or(SlotRefusal::NoEndpoint)
    }
}

fn config() -> SlotConfig {
    SlotConfig {
        first_lease: FIRST_LEASE,
        ..SlotConfig::default()
    }
}

/// Returns the names of several endpoints.
pub(super) fn endpoint_names(addresses: &[SocketAddr]) -> Vec<EndpointName> {
    addresses.iter().copied().map(endpoint_name).collect()
}

/// Derives an endpoint's name from its address. Names cannot contain dots and
/// colons, so these are replaced.
fn endpoint_name(address: SocketAddr) -> EndpointName {
    let name = address
        .to_string()
        .replace(|c: char| !c.is_ascii_alphanumeric(), "-");
    EndpointName::try_from(name.as_str()).expect("an address is shorter than the longest name")
}

impl From<PermitId> for wire::PermitId {
    fn from(permit: PermitId) -> Self {
        Self {
            incarnation: permit.incarnation,
            number: permit.number,
        }
    }
}

impl From<wire::PermitId> for PermitId {
    fn from(permit: wire::PermitId) -> Self {
        Self {
            incarnation: permit.incarnation,
            number: permit.number,
        }
    }
}
