//! Assignment of requests to slots of endpoints.
//!
//! The slots of one service in one region form a slot pool, which one VM owns.
//! An entry requests a permit from the owner. When the owner does not reply,
//! the entry falls back to choosing an endpoint locally, and relies on backend
//! servers to refuse requests beyond their slots.

mod fallback;
mod grant;
mod pool;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use filbertgrade_coord::names::{RegionName, TeamName, VmName};
use filbertgrade_coord::rendezvous;
use filbertgrade_coord::slots::{Origin, PermitId, SlotRefusal, SlotRequest, SlotSnapshot, Ticket};
use tokio::sync::oneshot;

use self::fallback::Fallback;
pub(crate) use self::grant::{EndpointFault, SlotGrant};
use self::grant::{HeldPermit, SlotReport};
use self::pool::{OwnedPool, PoolReply};
use super::links::PeerLinks;
use super::spill::SpillLimits;
use crate::logfmt;
use crate::process::settings::VmSettings;
use crate::request::{Cause, Refusal};
use crate::sync::lock;
use crate::version::{InForce, ServiceName};
use crate::wire::{self, Body, DeniedCause};

/// Longest time a request waits in a slot pool. A longer queue would only make
/// every request late.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);

/// How much longer than the requested wait and the round trip an owner may take
/// to reply. After that it is considered unreachable.
const OWNER_GRACE: Duration = Duration::from_millis(100);

/// Interval at which slot pools check for expired permits and passed deadlines.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Team name used for requests on open routes in fair queueing.
const OPEN_TEAM: &str = "open";

/// Acquires slots for requests. Clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct Slots {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: VmSettings,
    view: Arc<ArcSwap<InForce>>,
    links: Arc<PeerLinks>,
    pools: Mutex<HashMap<PoolId, OwnedPool>>,
    fallback: Fallback,
    spill_limits: SpillLimits,
}

/// Identifies a slot pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PoolId {
    service: ServiceName,
    region: RegionName,
}

/// Requirements of a request for a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotCriteria {
    /// Service of the request.
    pub(crate) service: ServiceName,
    /// Team of the request; `None` on an open route.
    pub(crate) team: Option<TeamName>,
    /// Time by which the request must have been sent.
    pub(crate) deadline: Instant,
    /// Endpoints that already refused this request.
    pub(crate) avoid: Vec<SocketAddr>,
}

/// Whether endpoints that were ejected after a fault may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EjectedEndpoints {
    /// Ejected endpoints are not used.
    Exclude,
    /// No other endpoint is available, so their ejection ends.
    Include,
}

/// One attempt to get a slot in a region.
#[derive(Debug)]
struct RegionAttempt<'a> {
    region: &'a RegionName,
    /// Longest time to wait in the region's queue.
    wait: Duration,
    ejected: EjectedEndpoints,
}

/// A request for a slot from one pool.
#[derive(Clone, Copy, Debug)]
struct PoolRequest<'a> {
    criteria: &'a SlotCriteria,
    id: &'a PoolId,
    /// Time until which the request may wait in the pool's queue.
    deadline: Instant,
    ejected: EjectedEndpoints,
}

/// Result of an attempt to get a slot in a region.
enum RegionReply {
    Granted(SlotGrant),
    /// No slot became free within the wait.
    Busy,
    /// The region has no endpoint that accepts requests.
    NoEndpoint,
    /// The owner of the slot pool is unknown, did not reply, or sent an
    /// unusable reply.
    OwnerUnavailable,
}

impl Slots {
    pub(crate) fn new(
        settings: VmSettings,
        view: Arc<ArcSwap<InForce>>,
        links: Arc<PeerLinks>,
    ) -> Self {
        let shared = Arc::new(Shared {
            settings,
            view,
            links,
            pools: Mutex::default(),
            fallback: Fallback::default(),
            spill_limits: SpillLimits::default(),
        });
        tokio::spawn(expire_periodically(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Acquires a slot, waiting until the deadline at most.
    ///
    /// The region that the region weights select is tried first. The other
    /// regions follow without waiting in their queues, as far as the spill
    /// limit permits. Last, the request waits in the queue of the first region.
    /// Endpoints that were ejected after a fault are used only when no region
    /// has another one.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal when there is no usable endpoint, or no slot
    /// became free in time.
    pub(crate) async fn acquire(
        &self,
        view: &InForce,
        criteria: &SlotCriteria,
    ) -> Result<SlotGrant, Refusal> {
        let (chosen, candidate_regions) = self.candidate_regions(view, criteria);
        let Some(first_region) = candidate_regions.first() else {
            return Err(Refusal::not_run(Cause::NoEndpoint));
        };
        let mut spill = self.shared.spill_limits.start(view, criteria);
        let mut busy = false;
        for ejected in [EjectedEndpoints::Exclude, EjectedEndpoints::Include] {
            for (region, wait) in candidate_regions.iter().zip(self.queue_waits(view)) {
                if *region != chosen && !spill.may_spill() {
                    busy = true;
                    break;
                }
                let region = RegionAttempt {
                    region,
                    wait,
                    ejected,
                };
                match self.try_region(view, criteria, &region).await {
                    RegionReply::Granted(grant) => {
                        spill.record_placement(region.region == &chosen);
                        return Ok(grant);
                    }
                    RegionReply::Busy => busy = true,
                    RegionReply::NoEndpoint => {}
                    RegionReply::OwnerUnavailable => {
                        if let Some(grant) = self.choose_locally(view, criteria, region.region) {
                            spill.record_placement(region.region == &chosen);
                            return Ok(grant);
                        }
                    }
                }
            }
            if busy {
                break;
            }
        }
        if !busy {
            return Err(Refusal::not_run(Cause::NoEndpoint));
        }
        if *first_region != chosen && !spill.may_spill() {
            return Err(Refusal::not_run(Cause::Busy));
        }
        let queue = RegionAttempt {
            region: first_region,
            wait: MAX_QUEUE_WAIT,
            ejected: EjectedEndpoints::Exclude,
        };
        match self.try_region(view, criteria, &queue).await {
            RegionReply::Granted(grant) => {
                spill.record_placement(*first_region == chosen);
                Ok(grant)
            }
            _ => Err(Refusal::not_run(Cause::Busy)),
        }
    }

    /// Handles another entry's request for a slot.
    pub(crate) async fn serve_acquire(&self, view: &InForce, message: wire::AcquireSlot) -> Body {
        match self.acquire_for_peer(view, &message).await {
            Ok((permit, endpoint)) => Body::Permit(wire::Permit {
                permit: Some(permit),
                endpoint: endpoint.to_string(),
            }),
            Err(cause) => denied(cause),
        }
    }

    /// Handles another entry's renewal of a permit.
    pub(crate) fn serve_renewal(&self, view: &InForce, message: wire::RenewPermit) -> Body {
        let service = message.service.as_str().try_into();
        let (Ok(service), Ok(region)) = (service, message.region.as_str().try_into()) else {
            return denied(DeniedCause::Unknown);
        };
        let id = PoolId { service, region };
        if !self.owns(view, &id) {
            return denied(DeniedCause::NotOwner);
        }
        let renewed = match (message.permit, message.endpoint.parse()) {
            (Some(permit), Ok(endpoint)) => self.renew_or_adopt(view, &id, permit.into(), endpoint),
            _ => None,
        };
        match renewed {
            Some(permit) => Body::Permit(wire::Permit {
                permit: Some(permit.into()),
                endpoint: message.endpoint,
            }),
            None => denied(DeniedCause::Unknown),
        }
    }

    /// Frees a slot that another entry has used.
    pub(crate) fn serve_release(&self, message: &wire::ReleaseSlot) {
        let service = message.service.as_str().try_into();
        let (Ok(service), Ok(region)) = (service, message.region.as_str().try_into()) else {
            return;
        };
        let id = PoolId { service, region };
        if let (Some(pool), Some(permit)) = (self.shared.pools().get_mut(&id), message.permit) {
            pool.release(Instant::now(), permit.into(), message.into());
        }
    }

    /// Returns copies of the state of all slot pools at this VM, for the
    /// operator port.
    pub(crate) fn snapshots(&self) -> Vec<(ServiceName, RegionName, SlotSnapshot)> {
        let now = Instant::now();
        let pools = self.shared.pools();
        pools
            .iter()
            .map(|(id, pool)| (id.service.clone(), id.region.clone(), pool.snapshot(now)))
            .collect()
    }

    /// Returns the region that the region weights select, and the regions
    /// with usable endpoints of the service: the chosen region first, then the
    /// others that receive a share of the traffic. Regions without a share are
    /// included only when no other region is usable.
    fn candidate_regions(
        &self,
        view: &InForce,
        criteria: &SlotCriteria,
    ) -> (RegionName, Vec<RegionName>) {
        let own = &self.shared.settings.region;
        let first = view
            .region_splits
            .region_for(&criteria.service, own, rand::random::<f64>());
        let mut candidate_regions = view.region_order(Some(first.unwrap_or(own)));
        candidate_regions.retain(|region| {
            view.usable_endpoints(&criteria.service, region)
                .any(|(endpoint, _)| !criteria.avoid.contains(&endpoint))
        });
        let has_share = |region: &RegionName| {
            Some(region) == first || view.region_splits.accepts_spill(&criteria.service, region)
        };
        if candidate_regions.iter().any(has_share) {
            candidate_regions.retain(has_share);
        }
        (first.unwrap_or(own).clone(), candidate_regions)
    }

    /// Returns how long to wait in the queue of each region in turn: in the
    /// first one as long as a round trip to another region takes, in the others
    /// not at all.
    fn queue_waits(&self, view: &InForce) -> impl Iterator<Item = Duration> + use<> {
        let round_trip = view
            .config
            .as_ref()
            .map_or(Duration::ZERO, |cfg| cfg.network.region_latency * 2);
        std::iter::once(round_trip).chain(std::iter::repeat(Duration::ZERO))
    }

    async fn try_region(
        &self,
        view: &InForce,
        criteria: &SlotCriteria,
        attempt: &RegionAttempt<'_>,
    ) -> RegionReply {
        let id = PoolId {
            service: criteria.service.clone(),
            region: attempt.region.clone(),
        };
        let now = Instant::now();
        let deadline = criteria
            .deadline
            .min(now + attempt.wait.min(MAX_QUEUE_WAIT));
        let owner = self.owner(view, &id);
        let request = PoolRequest {
            criteria,
            id: &id,
            deadline,
            ejected: attempt.ejected,
        };
        match owner {
            Some(owner) if owner == self.shared.settings.vm => {
                self.try_own_pool(view, request).await
            }
            Some(owner) => self.request_from_owner(view, request, &owner).await,
            None => RegionReply::OwnerUnavailable,
        }
    }

    async fn try_own_pool(&self, view: &InForce, request: PoolRequest<'_>) -> RegionReply {
        let PoolRequest {
            criteria,
            id,
            deadline,
            ejected,
        } = request;
        let request = SlotRequest {
            team: team_of(criteria),
            holder: self.shared.settings.vm.clone(),
            origin: self.origin(id),
            deadline,
            avoid: pool::endpoint_names(&criteria.avoid),
        };
        match self.acquire_from_pool(view, id, request, ejected).await {
            Ok((permit, endpoint)) => {
                let owner = self.shared.settings.vm.clone();
                let held = HeldPermit { owner, permit };
                let grant = SlotGrant::pooled(self.clone(), endpoint, id.clone(), held);
                RegionReply::Granted(grant)
            }
            Err(SlotRefusal::NoEndpoint) => RegionReply::NoEndpoint,
            Err(SlotRefusal::Deadline | SlotRefusal::QueueFull) => RegionReply::Busy,
        }
    }

    /// Requests a slot from the owner. The call runs in a separate task, so
    /// that a permit that arrives after the caller has disconnected is released
    /// at once.
    async fn request_from_owner(
        &self,
        view: &InForce,
        request: PoolRequest<'_>,
        owner: &VmName,
    ) -> RegionReply {
        let PoolRequest {
            criteria,
            id,
            deadline,
            ejected,
        } = request;
        let Some(link) = self.shared.links.link_to(owner) else {
            return RegionReply::OwnerUnavailable;
        };
        let wait = deadline.saturating_duration_since(Instant::now());
        let round_trip = view.round_trip(&self.shared.settings.region, &id.region);
        let body = Body::AcquireSlot(wire::AcquireSlot {
            service: id.service.to_string(),
            region: id.region.to_string(),
            team: team_of(criteria).to_string(),
            vm: self.shared.settings.vm.to_string(),
            deadline_ms: wait.as_millis().try_into().unwrap_or(u32::MAX),
            remote: self.origin(id) == Origin::Remote,
            avoid: criteria.avoid.iter().map(ToString::to_string).collect(),
            use_ejected: ejected == EjectedEndpoints::Include,
        });
        let (tx, rx) = oneshot::channel();
        let slots = self.clone();
        let id = id.clone();
        let owner = owner.clone();
        tokio::spawn(async move {
            let reply = link.call(body, wait + round_trip + OWNER_GRACE).await;
            let reply = match reply {
                Ok(body) => slots.handle_owner_reply(body, id, owner),
                Err(error) => {
                    log::debug!(
                        "event=slot_owner_silent owner={owner} error={}",
                        logfmt::value(&error)
                    );
                    RegionReply::OwnerUnavailable
                }
            };
            let _ = tx.send(reply);
        });
        rx.await.unwrap_or(RegionReply::OwnerUnavailable)
    }

    fn handle_owner_reply(&self, body: Body, id: PoolId, owner: VmName) -> RegionReply {
        match body {
            Body::Permit(permit) => match (permit.permit, permit.endpoint.parse()) {
                (Some(permit), Ok(endpoint)) => {
                    let permit = permit.into();
                    let held = HeldPermit { owner, permit };
                    RegionReply::Granted(SlotGrant::pooled(self.clone(), endpoint, id, held))
                }
                _ => RegionReply::OwnerUnavailable,
            },
            Body::SlotDenied(denied) => match denied.cause() {
                DeniedCause::Busy => RegionReply::Busy,
                DeniedCause::NoEndpoint => RegionReply::NoEndpoint,
                DeniedCause::NotOwner | DeniedCause::Unknown | DeniedCause::Unspecified => {
                    RegionReply::OwnerUnavailable
                }
            },
            _ => RegionReply::OwnerUnavailable,
        }
    }

    /// Chooses an endpoint by local fallback, without a permit.
    fn choose_locally(
        &self,
        view: &InForce,
        criteria: &SlotCriteria,
        region: &RegionName,
    ) -> Option<SlotGrant> {
        metrics::counter!("slot_guesses_total").increment(1);
        let usable: Vec<_> = view
            .usable_endpoints(&criteria.service, region)
            .filter(|(endpoint, _)| !criteria.avoid.contains(endpoint))
            .collect();
        let endpoint = self.shared.fallback.choose(&usable)?;
        Some(SlotGrant::without_permit(self.clone(), endpoint))
    }

    async fn acquire_for_peer(
        &self,
        view: &InForce,
        message: &wire::AcquireSlot,
    ) -> Result<(wire::PermitId, SocketAddr), DeniedCause> {
        let unknown = |_| DeniedCause::Unknown;
        let id = PoolId {
            service: message.service.as_str().try_into().map_err(unknown)?,
            region: message.region.as_str().try_into().map_err(unknown)?,
        };
        if !self.owns(view, &id) {
            return Err(DeniedCause::NotOwner);
        }
        let wait = Duration::from_millis(message.deadline_ms.into()).min(MAX_QUEUE_WAIT);
        let avoid: Vec<SocketAddr> = message
            .avoid
            .iter()
            .filter_map(|a| a.parse().ok())
            .collect();
        let request = SlotRequest {
            team: message.team.as_str().try_into().map_err(unknown)?,
            holder: message.vm.as_str().try_into().map_err(unknown)?,
            origin: if message.remote {
                Origin::Remote
            } else {
                Origin::Local
            },
            // Even a request that must not wait in the queue needs a moment to
            // be processed.
            deadline: Instant::now() + wait.max(Duration::from_millis(1)),
            avoid: pool::endpoint_names(&avoid),
        };
        let ejected = if message.use_ejected {
            EjectedEndpoints::Include
        } else {
            EjectedEndpoints::Exclude
        };
        match self.acquire_from_pool(view, &id, request, ejected).await {
            Ok((permit, endpoint)) => Ok((permit.into(), endpoint)),
            Err(SlotRefusal::NoEndpoint) => Err(DeniedCause::NoEndpoint),
            Err(SlotRefusal::Deadline | SlotRefusal::QueueFull) => Err(DeniedCause::Busy),
        }
    }

    async fn acquire_from_pool(
        &self,
        view: &InForce,
        id: &PoolId,
        request: SlotRequest,
        ejected: EjectedEndpoints,
    ) -> PoolReply {
        let (ticket, rx) = {
            let mut pools = self.shared.pools();
            let pool = pools.entry(id.clone()).or_insert_with(OwnedPool::new);
            pool.update_endpoints(view, id, Instant::now());
            if ejected == EjectedEndpoints::Include {
                pool.end_all_ejections(Instant::now());
            }
            match pool.acquire(Instant::now(), request) {
                pool::AcquireResult::Done(reply) => return reply,
                pool::AcquireResult::Queued(ticket, rx) => (ticket, rx),
            }
        };
        let cancel_on_drop = CancelOnDrop {
            shared: &self.shared,
            id,
            ticket,
        };
        let reply = rx.await.unwrap_or(Err(SlotRefusal::Deadline));
        std::mem::forget(cancel_on_drop);
        reply
    }

    fn renew_or_adopt(
        &self,
        view: &InForce,
        id: &PoolId,
        permit: PermitId,
        endpoint: SocketAddr,
    ) -> Option<PermitId> {
        let now = Instant::now();
        let mut pools = self.shared.pools();
        let pool = pools.entry(id.clone()).or_insert_with(OwnedPool::new);
        pool.update_endpoints(view, id, now);
        pool.renew_or_adopt(now, permit, endpoint)
    }

    fn owns(&self, view: &InForce, id: &PoolId) -> bool {
        self.owner(view, id).as_ref() == Some(&self.shared.settings.vm)
    }

    /// Returns the VM that owns a slot pool: a VM of the pool's region if there
    /// is a live one, otherwise any live VM.
    fn owner(&self, view: &InForce, id: &PoolId) -> Option<VmName> {
        let key = format!("{}/{}", id.service, id.region);
        let live = || view.vms.values().filter(|vm| view.accepts_work(vm));
        let of_region = live()
            .filter(|vm| vm.region == id.region)
            .map(|vm| &vm.name);
        rendezvous::owner(&key, of_region)
            .or_else(|| rendezvous::owner(&key, live().map(|vm| &vm.name)))
            .cloned()
    }

    fn origin(&self, id: &PoolId) -> Origin {
        if id.region == self.shared.settings.region {
            Origin::Local
        } else {
            Origin::Remote
        }
    }
}

impl Shared {
    fn pools(&self) -> MutexGuard<'_, HashMap<PoolId, OwnedPool>> {
        lock(&self.pools)
    }
}

/// Cancels a waiting request when its caller disconnects.
struct CancelOnDrop<'a> {
    shared: &'a Shared,
    id: &'a PoolId,
    ticket: Ticket,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(pool) = self.shared.pools().get_mut(self.id) {
            pool.cancel(self.ticket);
        }
    }
}

async fn expire_periodically(shared: std::sync::Weak<Shared>) {
    let mut ticks = tokio::time::interval(EXPIRY_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = Instant::now();
        for pool in shared.pools().values_mut() {
            pool.expire(now);
        }
    }
}

fn team_of(criteria: &SlotCriteria) -> TeamName {
    criteria.team.clone().unwrap_or_else(|| {
        TeamName::try_from(OPEN_TEAM).expect("the constant is a well-formed name")
    })
}

fn denied(cause: DeniedCause) -> Body {
    Body::SlotDenied(wire::SlotDenied {
        cause: cause.into(),
    })
}
