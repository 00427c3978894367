//! One slot book with the requests that wait for its slots.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::EndpointName;
use filbertgrade_coord::slots::{
    AcquireOutcome, Grant, PermitId, PermitRenewal, QueuedGrant, SlotConfig, SlotPool, SlotRefusal,
    SlotRequest, SlotSnapshot, Temperature, Ticket,
};
use tokio::sync::oneshot;

use super::{BookId, EndpointFault};
use crate::platform::Revision;
use crate::version::InForce;
use crate::wire;

/// Lease of a permit before its first renewal. After a cut between VMs, asks of
/// requests that gave up long ago arrive all at once and take every slot; with
/// a lease of 2 s they kept the slots for as long.
const FIRST_LEASE: Duration = Duration::from_millis(500);

/// Time without work for an endpoint that says it drains. After it, one
/// request finds out whether the drain is over.
const DRAIN_REST: Duration = Duration::from_secs(1);

/// Time without work for an endpoint that cannot be reached.
const UNREACHABLE_REST: Duration = Duration::from_secs(1);

/// The permit and endpoint that a request got, or why it got none.
pub(super) type BookAnswer = Result<(PermitId, SocketAddr), SlotRefusal>;

/// A slot book of this VM.
#[derive(Debug)]
pub(super) struct Book {
    book: SlotPool,
    /// Revision whose endpoints the book has.
    revision: Option<Revision>,
    addresses: HashMap<EndpointName, SocketAddr>,
    waiting: HashMap<Ticket, oneshot::Sender<BookAnswer>>,
    /// Endpoints that the view in force drains.
    drained: HashSet<EndpointName>,
    /// Endpoints that get nothing until these instants, because of a fault.
    resting: HashMap<EndpointName, Instant>,
}

/// What a request does after it asked the book.
pub(super) enum Next {
    Answer(BookAnswer),
    /// Wait for the answer; the ticket withdraws the request.
    Wait(Ticket, oneshot::Receiver<BookAnswer>),
}

impl Book {
    pub(super) fn new() -> Self {
        Self {
            book: SlotPool::new(rand::random(), config()),
            revision: None,
            addresses: HashMap::new(),
            waiting: HashMap::new(),
            drained: HashSet::new(),
            resting: HashMap::new(),
        }
    }

    /// Takes over the endpoints that are in force. Endpoints that the book
    /// started with are warm; those that join later ramp up.
    pub(super) fn follow(&mut self, view: &InForce, id: &BookId, now: Instant) {
        if self.revision.is_some_and(|known| known >= view.revision) {
            return;
        }
        let temperature = match self.revision {
            None => Temperature::Warm,
            Some(_) => Temperature::Cold,
        };
        self.revision = Some(view.revision);
        let mut addresses = HashMap::new();
        let mut drained = HashSet::new();
        let mut pending = Vec::new();
        for endpoint in view.endpoints(&id.service, &id.region) {
            let name = endpoint_name(endpoint.address);
            let late = self
                .book
                .set_endpoint(now, name.clone(), endpoint.slots, temperature);
            pending.extend(late);
            if endpoint.drained {
                drained.insert(name.clone());
            }
            let closed = endpoint.drained || self.resting.contains_key(&name);
            pending.extend(self.book.set_draining(now, &name, closed));
            addresses.insert(name, endpoint.address);
        }
        self.drained = drained;
        let former = std::mem::replace(&mut self.addresses, addresses);
        for name in former.keys().filter(|n| !self.addresses.contains_key(*n)) {
            let late = self.book.remove_endpoint(now, name);
            pending.extend(late);
        }
        // Grants name endpoints, so all addresses must be known by now.
        self.deliver(now, pending);
    }

    pub(super) fn acquire(&mut self, now: Instant, request: SlotRequest) -> Next {
        match self.book.acquire(now, request) {
            AcquireOutcome::Granted(grant) => Next::Answer(self.located(&grant)),
            AcquireOutcome::Refused(refusal) => Next::Answer(Err(refusal)),
            AcquireOutcome::Queued(ticket) => {
                let (tx, rx) = oneshot::channel();
                self.waiting.insert(ticket, tx);
                Next::Wait(ticket, rx)
            }
        }
    }

    /// Ends a permit, and keeps work from an endpoint with a fault.
    pub(super) fn release(&mut self, now: Instant, permit: PermitId, fault: Option<EndpointFault>) {
        if let Some(fault) = fault
            && let Some(endpoint) = self.book.endpoint_of(permit).cloned()
        {
            self.note_fault(now, &endpoint, fault);
        }
        let late = self.book.release(now, permit);
        self.deliver(now, late);
    }

    /// An endpoint that shed has less room than the book believes, so it
    /// starts a new ramp; one that drains or is away gets nothing for a while.
    fn note_fault(&mut self, now: Instant, endpoint: &EndpointName, fault: EndpointFault) {
        let rest = match fault {
            EndpointFault::Shed => None,
            EndpointFault::Draining => Some(DRAIN_REST),
            EndpointFault::Unreachable => Some(UNREACHABLE_REST),
        };
        if let Some(rest) = rest {
            self.resting.insert(endpoint.clone(), now + rest);
            let late = self.book.set_draining(now, endpoint, true);
            self.deliver(now, late);
        }
        let late = self.book.restart_ramp(now, endpoint);
        self.deliver(now, late);
    }

    /// Ends every rest, because there is no other endpoint.
    pub(super) fn end_all_rests(&mut self, now: Instant) {
        for until in self.resting.values_mut() {
            *until = now;
        }
        self.end_rests(now);
    }

    /// Gives work again to endpoints whose rest is over, one request at first.
    fn end_rests(&mut self, now: Instant) {
        let over: Vec<EndpointName> = self
            .resting
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            self.resting.remove(&name);
            let mut late = self.book.restart_ramp(now, &name);
            let drained = self.drained.contains(&name);
            late.extend(self.book.set_draining(now, &name, drained));
            self.deliver(now, late);
        }
    }

    /// Extends a permit; one that the book does not know is counted anew.
    pub(super) fn renew_or_adopt(
        &mut self,
        now: Instant,
        permit: PermitId,
        endpoint: SocketAddr,
    ) -> Option<PermitId> {
        match self.book.renew(now, permit) {
            PermitRenewal::Extended { .. } => Some(permit),
            PermitRenewal::Unknown => {
                let adopted = self.book.adopt(now, &endpoint_name(endpoint))?;
                Some(adopted.permit)
            }
        }
    }

    /// Withdraws a request whose caller went away.
    pub(super) fn cancel(&mut self, ticket: Ticket) {
        // A ticket that was granted meanwhile is freed by its failed delivery.
        self.book.cancel(ticket);
        self.waiting.remove(&ticket);
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.end_rests(now);
        let expired = self.book.expire(now);
        for (ticket, _, refusal) in expired.refused {
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.send(Err(refusal));
            }
        }
        self.deliver(now, expired.granted);
    }

    pub(super) fn snapshot(&self, now: Instant) -> SlotSnapshot {
        self.book.snapshot(now)
    }

    /// Hands late grants to the requests that wait for them. A slot whose
    /// request has gone is freed again, which may serve the next one.
    fn deliver(&mut self, now: Instant, late: Vec<QueuedGrant>) {
        let mut pending = late;
        while let Some(granted) = pending.pop() {
            let answer = self.located(&granted.grant);
            let delivered = self
                .waiting
                .remove(&granted.ticket)
                .is_some_and(|tx| tx.send(answer).is_ok());
            if !delivered {
                pending.extend(self.book.release(now, granted.grant.permit));
            }
        }
    }

    fn located(&self, grant: &Grant) -> BookAnswer {
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

/// Names of several endpoints.
pub(super) fn endpoint_names(addresses: &[SocketAddr]) -> Vec<EndpointName> {
    addresses.iter().copied().map(endpoint_name).collect()
}

/// Names an endpoint by its address; names hold no dots and colons.
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
