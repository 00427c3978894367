//! One slot book with the requests that wait for its slots.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use filbertgrade_coord::names::EndpointName;
use filbertgrade_coord::slots::{
    Acquire, Grant, LateGrant, PermitId, PermitRenewal, SlotBook, SlotConfig, SlotRefusal,
    SlotRequest, SlotSnapshot, Temperature, Ticket,
};
use tokio::sync::oneshot;

use super::BookId;
use crate::platform::Revision;
use crate::version::InForce;
use crate::wire;

/// The permit and endpoint that a request got, or why it got none.
pub(super) type BookAnswer = Result<(PermitId, SocketAddr), SlotRefusal>;

/// A slot book of this VM.
#[derive(Debug)]
pub(super) struct Book {
    book: SlotBook,
    /// Revision whose endpoints the book has.
    revision: Option<Revision>,
    addresses: HashMap<EndpointName, SocketAddr>,
    waiting: HashMap<Ticket, oneshot::Sender<BookAnswer>>,
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
            book: SlotBook::new(rand::random(), SlotConfig::default()),
            revision: None,
            addresses: HashMap::new(),
            waiting: HashMap::new(),
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
        for endpoint in view.endpoints(&id.service, &id.region) {
            let name = endpoint_name(endpoint.address);
            let late = self
                .book
                .set_endpoint(now, name.clone(), endpoint.slots, temperature);
            self.deliver(now, late);
            let late = self.book.set_draining(now, &name, endpoint.drained);
            addresses.insert(name, endpoint.address);
            self.deliver(now, late);
        }
        for name in self.addresses.keys() {
            if !addresses.contains_key(name) {
                self.book.remove_endpoint(name);
            }
        }
        self.addresses = addresses;
    }

    pub(super) fn acquire(
        &mut self,
        now: Instant,
        request: SlotRequest,
        avoid: &[SocketAddr],
    ) -> Next {
        for endpoint in avoid {
            // The endpoint refused this request a moment ago, so it has less
            // room than the book believes.
            self.book.cool_down(now, &endpoint_name(*endpoint));
        }
        match self.book.acquire(now, request) {
            Acquire::Granted(grant) => Next::Answer(self.located(&grant)),
            Acquire::Refused(refusal) => Next::Answer(Err(refusal)),
            Acquire::Queued(ticket) => {
                let (tx, rx) = oneshot::channel();
                self.waiting.insert(ticket, tx);
                Next::Wait(ticket, rx)
            }
        }
    }

    pub(super) fn release(&mut self, now: Instant, permit: PermitId) {
        let late = self.book.release(now, permit);
        self.deliver(now, late);
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
    fn deliver(&mut self, now: Instant, late: Vec<LateGrant>) {
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
