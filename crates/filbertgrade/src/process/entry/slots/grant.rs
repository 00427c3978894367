//! The right to run one request on an endpoint: renewal of its permit, and the
//! release of the slot.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use filbertgrade_coord::names::VmName;
use filbertgrade_coord::slots::PermitId;
use filbertgrade_coord::steering::endpoint_limit::EndpointRate;
use tokio::task::JoinHandle;

use super::{PoolId, Slots};
use crate::sync::lock;
use crate::wire::{self, Body};

/// Delay before a permit is renewed for the first time. Its first lease of 500
/// ms leaves 300 ms for a round trip to another region.
const FIRST_RENEWAL_DELAY: Duration = Duration::from_millis(200);

/// Interval between renewals of a permit: half of its lease of 2 s.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for the reply of the VM that owns the slot pool.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(800);

/// The right to run one request on an endpoint. Dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct SlotGrant {
    slots: Slots,
    endpoint: SocketAddr,
    pooled: Option<PooledSlot>,
    report: SlotReport,
}

/// What a request showed of its endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SlotReport {
    /// Why the endpoint did not run the request, if it did not.
    pub(super) fault: Option<EndpointFault>,
    /// The rate that it named in its response; `None` without a response.
    pub(super) rate: Option<EndpointRate>,
}

/// Why an endpoint did not run a request that had been assigned one of its
/// slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointFault {
    /// The endpoint refused the request because all of its slots were busy.
    Shed,
    /// The endpoint refused the request because it is draining.
    Draining,
    /// No connection to the endpoint could be opened.
    Unreachable,
}

/// A slot that is counted in a slot pool.
#[derive(Debug)]
struct PooledSlot {
    id: PoolId,
    permit: Arc<Mutex<HeldPermit>>,
    renewal: JoinHandle<()>,
}

/// The current permit of a request and the VM whose slot pool issued it.
#[derive(Clone, Debug)]
pub(super) struct HeldPermit {
    pub(super) owner: VmName,
    pub(super) permit: PermitId,
}

impl SlotGrant {
    /// Creates a grant for a slot that is counted in the pool `id`, and renews
    /// its permit in the background.
    pub(super) fn pooled(slots: Slots, endpoint: SocketAddr, id: PoolId, held: HeldPermit) -> Self {
        let permit = Arc::new(Mutex::new(held));
        let renewal = tokio::spawn(renew_periodically(
            slots.clone(),
            endpoint,
            id.clone(),
            Arc::clone(&permit),
        ));
        let pooled = PooledSlot {
            id,
            permit,
            renewal,
        };
        Self::new(slots, endpoint, Some(pooled))
    }

    /// Creates a grant for an endpoint that was chosen by local fallback,
    /// without a permit.
    pub(super) fn without_permit(slots: Slots, endpoint: SocketAddr) -> Self {
        Self::new(slots, endpoint, None)
    }

    fn new(slots: Slots, endpoint: SocketAddr, pooled: Option<PooledSlot>) -> Self {
        slots.shared.fallback.record_start(endpoint);
        Self {
            slots,
            endpoint,
            pooled,
            report: SlotReport::default(),
        }
    }

    /// Returns the endpoint that the request may run on.
    pub(crate) fn endpoint(&self) -> SocketAddr {
        self.endpoint
    }

    /// Records the rate that the endpoint named in its response. The slot pool
    /// learns of it when the slot is freed.
    pub(crate) fn record_rate(&mut self, rate: EndpointRate) {
        self.report.rate = Some(rate);
        self.slots.shared.fallback.record_rate(self.endpoint, rate);
    }

    /// Frees the slot and reports the fault of the endpoint to the slot pool.
    pub(crate) fn release_with_fault(mut self, fault: EndpointFault) {
        self.report.fault = Some(fault);
    }
}

impl Drop for SlotGrant {
    fn drop(&mut self) {
        self.slots.shared.fallback.record_end(self.endpoint);
        if let Some(pooled) = self.pooled.take() {
            pooled.renewal.abort();
            let held = lock(&pooled.permit).clone();
            release(&self.slots, &pooled.id, &held, self.report);
        }
    }
}

/// Frees a slot in its pool. If the release message is lost, the slot stays
/// occupied until the permit's lease expires.
pub(super) fn release(slots: &Slots, id: &PoolId, held: &HeldPermit, report: SlotReport) {
    let shared = &slots.shared;
    if held.owner == shared.settings.vm {
        if let Some(pool) = shared.pools().get_mut(id) {
            pool.release(Instant::now(), held.permit, report);
        }
        return;
    }
    let Some(link) = shared.links.link_to(&held.owner) else {
        return;
    };
    let release = wire::ReleaseSlot {
        service: id.service.to_string(),
        region: id.region.to_string(),
        permit: Some(held.permit.into()),
        fault: wire::EndpointFault::from(report.fault).into(),
        responded: report.rate.is_some(),
        rate: report.rate.and_then(EndpointRate::per_second),
    };
    tokio::spawn(async move {
        let _ = link.notify(Body::ReleaseSlot(release)).await;
    });
}

/// Renews a permit for as long as its request runs. After a pool has moved to
/// another VM, the renewals also inform the new owner of the request.
async fn renew_periodically(
    slots: Slots,
    endpoint: SocketAddr,
    id: PoolId,
    permit: Arc<Mutex<HeldPermit>>,
) {
    let mut delay = FIRST_RENEWAL_DELAY;
    loop {
        tokio::time::sleep(delay).await;
        delay = RENEWAL_INTERVAL;
        let held = lock(&permit).clone();
        if let Some(renewed) = renew(&slots, endpoint, &id, held.permit).await {
            *lock(&permit) = renewed;
        }
    }
}

async fn renew(
    slots: &Slots,
    endpoint: SocketAddr,
    id: &PoolId,
    permit: PermitId,
) -> Option<HeldPermit> {
    let view = slots.shared.view.load_full();
    let owner = slots.owner(&view, id)?;
    if owner == slots.shared.settings.vm {
        let permit = slots.renew_or_adopt(&view, id, permit, endpoint)?;
        return Some(HeldPermit { owner, permit });
    }
    let link = slots.shared.links.link_to(&owner)?;
    let body = Body::RenewPermit(wire::RenewPermit {
        service: id.service.to_string(),
        region: id.region.to_string(),
        permit: Some(permit.into()),
        endpoint: endpoint.to_string(),
    });
    match link.call(body, RENEWAL_TIMEOUT).await {
        Ok(Body::Permit(reply)) => Some(HeldPermit {
            owner,
            permit: reply.permit?.into(),
        }),
        _ => None,
    }
}

impl From<&wire::ReleaseSlot> for SlotReport {
    fn from(message: &wire::ReleaseSlot) -> Self {
        let rate = message
            .rate
            .map_or(EndpointRate::Unlimited, EndpointRate::PerSecond);
        Self {
            fault: message.fault().into(),
            rate: message.responded.then_some(rate),
        }
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
