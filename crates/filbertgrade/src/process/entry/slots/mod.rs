//! Slots of endpoints: where a request may run.
//!
//! The slots of one service in one region are in a slot book at one VM. An
//! entry asks that VM for a permit; when the VM is silent, it chooses an
//! endpoint by its own view, and relies on backend servers to refuse what is
//! over their slots.

mod book;
mod fallback;
mod grant;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use filbertgrade_coord::names::{RegionName, TeamName, VmName};
use filbertgrade_coord::rendezvous;
use filbertgrade_coord::slots::{Origin, PermitId, SlotRefusal, SlotRequest, SlotSnapshot, Ticket};
use tokio::sync::oneshot;

use self::book::{Book, BookAnswer};
use self::fallback::Fallback;
use self::grant::HeldPermit;
pub(crate) use self::grant::{EndpointFault, SlotGrant};
use super::links::PeerLinks;
use super::spill::Spills;
use crate::logfmt;
use crate::process::settings::VmSettings;
use crate::request::{Cause, Refusal};
use crate::sync::lock;
use crate::version::{InForce, ServiceName};
use crate::wire::{self, Body, DeniedCause};

/// Longest wait in a slot book. A longer queue only makes every request late.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// How much longer than the wait asked for an owner may take to answer. A
/// longer silence means that it is gone.
const OWNER_GRACE: Duration = Duration::from_millis(100);

/// How often slot books look for expired permits and passed deadlines.
const EXPIRY_PERIOD: Duration = Duration::from_millis(50);

/// Team of requests on open routes, for fair queueing.
const OPEN_TEAM: &str = "open";

/// Finds slots for requests.
#[derive(Clone, Debug)]
pub(crate) struct Slots {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: VmSettings,
    view: Arc<ArcSwap<InForce>>,
    links: Arc<PeerLinks>,
    books: Mutex<HashMap<BookId, Book>>,
    fallback: Fallback,
    spills: Spills,
}

/// Names a slot book.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BookId {
    service: ServiceName,
    region: RegionName,
}

/// What a request needs of a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotAsk {
    /// Service of the request.
    pub(crate) service: ServiceName,
    /// Team of the request; `None` on an open route.
    pub(crate) team: Option<TeamName>,
    /// Until when the request must have been sent.
    pub(crate) deadline: Instant,
    /// Endpoints that already refused this request.
    pub(crate) avoid: Vec<SocketAddr>,
}

/// Whether endpoints that rest after a fault may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resting {
    /// They are left alone.
    Left,
    /// There is nothing else, so their rest ends.
    Used,
}

/// How one region is tried.
#[derive(Debug)]
struct Tried<'a> {
    region: &'a RegionName,
    /// Longest wait in its queue.
    wait: Duration,
    resting: Resting,
}

/// What a slot book is asked.
#[derive(Clone, Copy, Debug)]
struct Asked<'a> {
    ask: &'a SlotAsk,
    id: &'a BookId,
    /// Until when the request may wait in the book's queue.
    deadline: Instant,
    resting: Resting,
}

/// What one region answered.
enum RegionAnswer {
    Granted(SlotGrant),
    /// No slot within the wait.
    Busy,
    /// The region has no endpoint that takes work.
    None,
    /// The owner of the slot book did not answer.
    Silent,
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
            books: Mutex::default(),
            fallback: Fallback::default(),
            spills: Spills::default(),
        });
        tokio::spawn(expire_periodically(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Gets a slot, and waits for it if it must, at most until the deadline.
    ///
    /// The region that the weights choose comes first, then the others without
    /// waiting there, as far as the limit on such requests allows, and last the
    /// queue of the first. Endpoints that rest after a fault are used only when
    /// no region has another one.
    ///
    /// # Errors
    ///
    /// A refusal as not run when there is no endpoint, or no slot in time.
    pub(crate) async fn acquire(
        &self,
        view: &InForce,
        ask: &SlotAsk,
    ) -> Result<SlotGrant, Refusal> {
        let (chosen, regions) = self.regions(view, ask);
        let Some(home) = regions.first() else {
            return Err(Refusal::not_run(Cause::NoEndpoint));
        };
        let mut spill = self.shared.spills.start(view, ask);
        let mut busy = false;
        for resting in [Resting::Left, Resting::Used] {
            for (region, wait) in regions.iter().zip(self.first_waits(view)) {
                if *region != chosen && !spill.may_leave() {
                    busy = true;
                    break;
                }
                let region = Tried {
                    region,
                    wait,
                    resting,
                };
                match self.try_region(view, ask, &region).await {
                    RegionAnswer::Granted(grant) => {
                        spill.runs_in(region.region == &chosen);
                        return Ok(grant);
                    }
                    RegionAnswer::Busy => busy = true,
                    RegionAnswer::None => {}
                    RegionAnswer::Silent => {
                        if let Some(grant) = self.guess(view, ask, region.region) {
                            spill.runs_in(region.region == &chosen);
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
        if *home != chosen && !spill.may_leave() {
            return Err(Refusal::not_run(Cause::Busy));
        }
        let queue = Tried {
            region: home,
            wait: LONGEST_WAIT,
            resting: Resting::Left,
        };
        match self.try_region(view, ask, &queue).await {
            RegionAnswer::Granted(grant) => {
                spill.runs_in(*home == chosen);
                Ok(grant)
            }
            _ => Err(Refusal::not_run(Cause::Busy)),
        }
    }

    /// Answers another entry that asks for a slot.
    pub(crate) async fn serve_acquire(&self, view: &InForce, message: wire::Acquire) -> Body {
        match self.acquire_for_peer(view, &message).await {
            Ok((permit, endpoint)) => Body::Permit(wire::Permit {
                permit: Some(permit),
                endpoint: endpoint.to_string(),
            }),
            Err(cause) => denied(cause),
        }
    }

    /// Answers another entry that extends a permit.
    pub(crate) fn serve_renewal(&self, view: &InForce, message: wire::RenewPermit) -> Body {
        let service = message.service.as_str().try_into();
        let (Ok(service), Ok(region)) = (service, message.region.as_str().try_into()) else {
            return denied(DeniedCause::Unknown);
        };
        let id = BookId { service, region };
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

    /// Takes back a slot that another entry used.
    pub(crate) fn serve_release(&self, message: &wire::Release) {
        let service = message.service.as_str().try_into();
        let (Ok(service), Ok(region)) = (service, message.region.as_str().try_into()) else {
            return;
        };
        let id = BookId { service, region };
        if let (Some(book), Some(permit)) = (self.shared.books().get_mut(&id), message.permit) {
            book.release(Instant::now(), permit.into(), message.fault().into());
        }
    }

    /// Plain copies of the slot books at this VM.
    pub(crate) fn snapshots(&self) -> Vec<(ServiceName, RegionName, SlotSnapshot)> {
        let now = Instant::now();
        let books = self.shared.books();
        books
            .iter()
            .map(|(id, book)| (id.service.clone(), id.region.clone(), book.snapshot(now)))
            .collect()
    }

    /// The region that the weights choose, and the regions with usable
    /// endpoints of the service: the chosen one first, then the others that
    /// have a part of the traffic. Regions without a part are used only when
    /// there is no other.
    fn regions(&self, view: &InForce, ask: &SlotAsk) -> (RegionName, Vec<RegionName>) {
        let own = &self.shared.settings.region;
        let first = view
            .routes
            .region_for(&ask.service, own, rand::random::<f64>());
        let mut regions = view.region_order(Some(first.unwrap_or(own)));
        regions.retain(|region| {
            view.usable_endpoints(&ask.service, region)
                .any(|(endpoint, _)| !ask.avoid.contains(&endpoint))
        });
        let has_part = |region: &RegionName| {
            Some(region) == first || view.routes.is_other_choice(&ask.service, region)
        };
        if regions.iter().any(has_part) {
            regions.retain(has_part);
        }
        (first.unwrap_or(own).clone(), regions)
    }

    /// Wait in the queue of each region in turn: as long as sending the
    /// request to another region and back would take, then none.
    fn first_waits(&self, view: &InForce) -> impl Iterator<Item = Duration> + use<> {
        let detour = view
            .config
            .as_ref()
            .map_or(Duration::ZERO, |cfg| cfg.network.region_latency * 2);
        std::iter::once(detour).chain(std::iter::repeat(Duration::ZERO))
    }

    async fn try_region(&self, view: &InForce, ask: &SlotAsk, tried: &Tried<'_>) -> RegionAnswer {
        let id = BookId {
            service: ask.service.clone(),
            region: tried.region.clone(),
        };
        let now = Instant::now();
        let deadline = ask.deadline.min(now + tried.wait.min(LONGEST_WAIT));
        let owner = self.owner(view, &id);
        let asked = Asked {
            ask,
            id: &id,
            deadline,
            resting: tried.resting,
        };
        match owner {
            Some(owner) if owner == self.shared.settings.vm => self.try_own_book(view, asked).await,
            Some(owner) => self.ask_owner(view, asked, &owner).await,
            None => RegionAnswer::Silent,
        }
    }

    async fn try_own_book(&self, view: &InForce, asked: Asked<'_>) -> RegionAnswer {
        let Asked {
            ask,
            id,
            deadline,
            resting,
        } = asked;
        let request = SlotRequest {
            team: team_of(ask),
            holder: self.shared.settings.vm.clone(),
            origin: self.origin(id),
            deadline,
            avoid: book::endpoint_names(&ask.avoid),
        };
        match self.run_book(view, id, request, resting).await {
            Ok((permit, endpoint)) => {
                let owner = self.shared.settings.vm.clone();
                let held = HeldPermit { owner, permit };
                let grant = SlotGrant::counted(self.clone(), endpoint, id.clone(), held);
                RegionAnswer::Granted(grant)
            }
            Err(SlotRefusal::NoEndpoint) => RegionAnswer::None,
            Err(SlotRefusal::Deadline | SlotRefusal::QueueFull) => RegionAnswer::Busy,
        }
    }

    /// Asks the owner in a task of its own, so that a permit that arrives
    /// after the caller has gone is given back at once.
    async fn ask_owner(&self, view: &InForce, asked: Asked<'_>, owner: &VmName) -> RegionAnswer {
        let Asked {
            ask,
            id,
            deadline,
            resting,
        } = asked;
        let Some(link) = self.shared.links.to(owner) else {
            return RegionAnswer::Silent;
        };
        let wait = deadline.saturating_duration_since(Instant::now());
        let round_trip = view.round_trip(&self.shared.settings.region, &id.region);
        let body = Body::Acquire(wire::Acquire {
            service: id.service.to_string(),
            region: id.region.to_string(),
            team: team_of(ask).to_string(),
            vm: self.shared.settings.vm.to_string(),
            deadline_ms: wait.as_millis().try_into().unwrap_or(u32::MAX),
            remote: self.origin(id) == Origin::Remote,
            avoid: ask.avoid.iter().map(ToString::to_string).collect(),
            resting: resting == Resting::Used,
        });
        let (tx, rx) = oneshot::channel();
        let slots = self.clone();
        let id = id.clone();
        let owner = owner.clone();
        tokio::spawn(async move {
            let answer = link.call(body, wait + round_trip + OWNER_GRACE).await;
            let answer = match answer {
                Ok(body) => slots.remote_answer(body, id, owner),
                Err(error) => {
                    log::debug!(
                        "event=slot_owner_silent owner={owner} error={}",
                        logfmt::value(&error)
                    );
                    RegionAnswer::Silent
                }
            };
            let _ = tx.send(answer);
        });
        rx.await.unwrap_or(RegionAnswer::Silent)
    }

    fn remote_answer(&self, body: Body, id: BookId, owner: VmName) -> RegionAnswer {
        match body {
            Body::Permit(permit) => match (permit.permit, permit.endpoint.parse()) {
                (Some(permit), Ok(endpoint)) => {
                    let permit = permit.into();
                    let held = HeldPermit { owner, permit };
                    RegionAnswer::Granted(SlotGrant::counted(self.clone(), endpoint, id, held))
                }
                _ => RegionAnswer::Silent,
            },
            Body::Denied(denied) => match denied.cause() {
                DeniedCause::Busy => RegionAnswer::Busy,
                DeniedCause::NoEndpoint => RegionAnswer::None,
                DeniedCause::NotOwner | DeniedCause::Unknown | DeniedCause::Unspecified => {
                    RegionAnswer::Silent
                }
            },
            _ => RegionAnswer::Silent,
        }
    }

    /// Chooses an endpoint without a permit.
    fn guess(&self, view: &InForce, ask: &SlotAsk, region: &RegionName) -> Option<SlotGrant> {
        metrics::counter!("slot_guesses_total").increment(1);
        let usable: Vec<_> = view
            .usable_endpoints(&ask.service, region)
            .filter(|(endpoint, _)| !ask.avoid.contains(endpoint))
            .collect();
        let endpoint = self.shared.fallback.choose(&usable)?;
        Some(SlotGrant::guessed(self.clone(), endpoint))
    }

    async fn acquire_for_peer(
        &self,
        view: &InForce,
        message: &wire::Acquire,
    ) -> Result<(wire::PermitId, SocketAddr), DeniedCause> {
        let unknown = |_| DeniedCause::Unknown;
        let id = BookId {
            service: message.service.as_str().try_into().map_err(unknown)?,
            region: message.region.as_str().try_into().map_err(unknown)?,
        };
        if !self.owns(view, &id) {
            return Err(DeniedCause::NotOwner);
        }
        let wait = Duration::from_millis(message.deadline_ms.into()).min(LONGEST_WAIT);
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
            // A request that must not wait still needs a moment to be served.
            deadline: Instant::now() + wait.max(Duration::from_millis(1)),
            avoid: book::endpoint_names(&avoid),
        };
        let resting = if message.resting {
            Resting::Used
        } else {
            Resting::Left
        };
        match self.run_book(view, &id, request, resting).await {
            Ok((permit, endpoint)) => Ok((permit.into(), endpoint)),
            Err(SlotRefusal::NoEndpoint) => Err(DeniedCause::NoEndpoint),
            Err(SlotRefusal::Deadline | SlotRefusal::QueueFull) => Err(DeniedCause::Busy),
        }
    }

    async fn run_book(
        &self,
        view: &InForce,
        id: &BookId,
        request: SlotRequest,
        resting: Resting,
    ) -> BookAnswer {
        let (ticket, rx) = {
            let mut books = self.shared.books();
            let book = books.entry(id.clone()).or_insert_with(Book::new);
            book.follow(view, id, Instant::now());
            if resting == Resting::Used {
                book.end_all_rests(Instant::now());
            }
            match book.acquire(Instant::now(), request) {
                book::Next::Answer(answer) => return answer,
                book::Next::Wait(ticket, rx) => (ticket, rx),
            }
        };
        let waiting = Waiting {
            shared: &self.shared,
            id,
            ticket,
        };
        let answer = rx.await.unwrap_or(Err(SlotRefusal::Deadline));
        std::mem::forget(waiting);
        answer
    }

    fn renew_or_adopt(
        &self,
        view: &InForce,
        id: &BookId,
        permit: PermitId,
        endpoint: SocketAddr,
    ) -> Option<PermitId> {
        let now = Instant::now();
        let mut books = self.shared.books();
        let book = books.entry(id.clone()).or_insert_with(Book::new);
        book.follow(view, id, now);
        book.renew_or_adopt(now, permit, endpoint)
    }

    fn owns(&self, view: &InForce, id: &BookId) -> bool {
        self.owner(view, id).as_ref() == Some(&self.shared.settings.vm)
    }

    /// The VM that holds a slot book: one of the region, if it has any.
    fn owner(&self, view: &InForce, id: &BookId) -> Option<VmName> {
        let key = format!("{}/{}", id.service, id.region);
        let live = || view.vms.values().filter(|vm| view.takes_work(vm));
        let of_region = live()
            .filter(|vm| vm.region == id.region)
            .map(|vm| &vm.name);
        rendezvous::owner(&key, of_region)
            .or_else(|| rendezvous::owner(&key, live().map(|vm| &vm.name)))
            .cloned()
    }

    fn origin(&self, id: &BookId) -> Origin {
        if id.region == self.shared.settings.region {
            Origin::Local
        } else {
            Origin::Remote
        }
    }
}

impl Shared {
    fn books(&self) -> MutexGuard<'_, HashMap<BookId, Book>> {
        lock(&self.books)
    }
}

/// Withdraws a request from the queue when its caller goes away.
struct Waiting<'a> {
    shared: &'a Shared,
    id: &'a BookId,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(book) = self.shared.books().get_mut(self.id) {
            book.cancel(self.ticket);
        }
    }
}

async fn expire_periodically(shared: std::sync::Weak<Shared>) {
    let mut ticks = tokio::time::interval(EXPIRY_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = Instant::now();
        for book in shared.books().values_mut() {
            book.expire(now);
        }
    }
}

fn team_of(ask: &SlotAsk) -> TeamName {
    ask.team.clone().unwrap_or_else(|| {
        TeamName::try_from(OPEN_TEAM).expect("the constant is a well-formed name")
    })
}

fn denied(cause: DeniedCause) -> Body {
    Body::Denied(wire::Denied {
        cause: cause.into(),
    })
}
