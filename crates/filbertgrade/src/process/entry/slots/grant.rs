//! The right to run one request on an endpoint.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use filbertgrade_coord::names::VmName;
use filbertgrade_coord::slots::PermitId;
use tokio::task::JoinHandle;

use super::{BookId, Slots};
use crate::sync::lock;
use crate::wire::{self, Body};

/// When a permit is extended for the first time. Its first lease of 500 ms
/// leaves 300 ms for the way to another region and back.
const FIRST_RENEWAL: Duration = Duration::from_millis(200);

/// How often a permit is extended; half of its lease of 2 s.
const RENEWAL_PERIOD: Duration = Duration::from_secs(1);

/// Time for the answer of the slot book's owner.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(800);

/// The right to run one request on an endpoint. Dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct SlotGrant {
    slots: Slots,
    endpoint: SocketAddr,
    counted: Option<Counted>,
    fault: Option<EndpointFault>,
}

/// Why an endpoint did not run a request that it had a slot for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointFault {
    /// It refused because all of its slots were busy.
    Shed,
    /// It refused because it is draining.
    Draining,
    /// No connection could be made.
    Unreachable,
}

/// A slot that a slot book counts.
#[derive(Debug)]
struct Counted {
    id: BookId,
    permit: Arc<Mutex<HeldPermit>>,
    renewal: JoinHandle<()>,
}

/// The newest permit of a request and the VM whose slot book gave it.
#[derive(Clone, Debug)]
pub(super) struct HeldPermit {
    pub(super) owner: VmName,
    pub(super) permit: PermitId,
}

impl SlotGrant {
    /// A slot that the book `id` counts.
    pub(super) fn counted(
        slots: Slots,
        endpoint: SocketAddr,
        id: BookId,
        held: HeldPermit,
    ) -> Self {
        let permit = Arc::new(Mutex::new(held));
        let renewal = tokio::spawn(renew_periodically(
            slots.clone(),
            endpoint,
            id.clone(),
            Arc::clone(&permit),
        ));
        let counted = Counted {
            id,
            permit,
            renewal,
        };
        Self::new(slots, endpoint, Some(counted))
    }

    /// A slot that nobody counts: the endpoint was chosen by the own view.
    pub(super) fn guessed(slots: Slots, endpoint: SocketAddr) -> Self {
        Self::new(slots, endpoint, None)
    }

    fn new(slots: Slots, endpoint: SocketAddr, counted: Option<Counted>) -> Self {
        slots.shared.fallback.start(endpoint);
        Self {
            slots,
            endpoint,
            counted,
            fault: None,
        }
    }

    /// The endpoint.
    pub(crate) fn endpoint(&self) -> SocketAddr {
        self.endpoint
    }

    /// Frees the slot, and tells the slot book what is wrong with the endpoint.
    pub(crate) fn faulted(mut self, fault: EndpointFault) {
        self.fault = Some(fault);
    }
}

impl Drop for SlotGrant {
    fn drop(&mut self) {
        self.slots.shared.fallback.end(self.endpoint);
        if let Some(counted) = self.counted.take() {
            counted.renewal.abort();
            let held = lock(&counted.permit).clone();
            release(&self.slots, &counted.id, &held, self.fault);
        }
    }
}

/// Frees a slot at its book. A release that is lost costs the slot until the
/// permit's lease ends.
pub(super) fn release(slots: &Slots, id: &BookId, held: &HeldPermit, fault: Option<EndpointFault>) {
    let shared = &slots.shared;
    if held.owner == shared.settings.vm {
        if let Some(book) = shared.books().get_mut(id) {
            book.release(Instant::now(), held.permit, fault);
        }
        return;
    }
    let Some(link) = shared.links.to(&held.owner) else {
        return;
    };
    let release = wire::Release {
        service: id.service.to_string(),
        region: id.region.to_string(),
        permit: Some(held.permit.into()),
        fault: wire::EndpointFault::from(fault).into(),
    };
    tokio::spawn(async move {
        let _ = link.notify(Body::Release(release)).await;
    });
}

/// Extends a permit for as long as its request runs. A book that moved to
/// another VM learns of the request this way.
async fn renew_periodically(
    slots: Slots,
    endpoint: SocketAddr,
    id: BookId,
    permit: Arc<Mutex<HeldPermit>>,
) {
    let mut pause = FIRST_RENEWAL;
    loop {
        tokio::time::sleep(pause).await;
        pause = RENEWAL_PERIOD;
        let held = lock(&permit).clone();
        if let Some(renewed) = renew(&slots, endpoint, &id, held.permit).await {
            *lock(&permit) = renewed;
        }
    }
}

async fn renew(
    slots: &Slots,
    endpoint: SocketAddr,
    id: &BookId,
    permit: PermitId,
) -> Option<HeldPermit> {
    let view = slots.shared.view.load_full();
    let owner = slots.owner(&view, id)?;
    if owner == slots.shared.settings.vm {
        let permit = slots.renew_or_adopt(&view, id, permit, endpoint)?;
        return Some(HeldPermit { owner, permit });
    }
    let link = slots.shared.links.to(&owner)?;
    let body = Body::RenewPermit(wire::RenewPermit {
        service: id.service.to_string(),
        region: id.region.to_string(),
        permit: Some(permit.into()),
        endpoint: endpoint.to_string(),
    });
    match link.call(body, RENEWAL_TIMEOUT).await {
        Ok(Body::Permit(answer)) => Some(HeldPermit {
            owner,
            permit: answer.permit?.into(),
        }),
        _ => None,
    }
}

impl From<Option<EndpointFault>> for wire::EndpointFault {
    fn from(fault: Option<EndpointFault>) -> Self {
        match fault {
            None => Self::None,
            Some(EndpointFault::Shed) => Self::Shed,
            Some(EndpointFault::Draining) => Self::Draining,
            Some(EndpointFault::Unreachable) => Self::Unreachable,
        }
    }
}

impl From<wire::EndpointFault> for Option<EndpointFault> {
    fn from(fault: wire::EndpointFault) -> Self {
        match fault {
            wire::EndpointFault::None => None,
            wire::EndpointFault::Shed => Some(EndpointFault::Shed),
            wire::EndpointFault::Draining => Some(EndpointFault::Draining),
            wire::EndpointFault::Unreachable => Some(EndpointFault::Unreachable),
        }
    }
}
