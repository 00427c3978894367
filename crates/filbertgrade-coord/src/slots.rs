//! The slot book of one service in one region.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::names::{EndpointName, TeamName, VmName};

/// Permits to run requests on endpoints, and the requests that wait for one.
///
/// Permits are leases: a holder that dies gives its slot back by silence.
/// Requests wait by team, and free slots go to the teams in turn, so a team
/// that sends more than others waits longer than they do.
#[derive(Clone, Debug)]
pub struct SlotPool {
    cfg: SlotConfig,
    incarnation: u64,
    endpoints: BTreeMap<EndpointName, Endpoint>,
    permits: BTreeMap<PermitId, Permit>,
    /// Waiting requests by team, each in order of arrival. The first team has
    /// the next turn. Invariant: no queue is empty.
    queues: IndexMap<TeamName, VecDeque<Waiting>>,
    next_permit: u64,
    next_ticket: u64,
    /// Smoothed time from grant to release, in seconds.
    run_time: Option<f64>,
}

/// Settings of a [`SlotPool`].
#[derive(Clone, Debug)]
pub struct SlotConfig {
    /// How long a permit runs without a renewal. Default 2 s.
    ///
    /// A short lease costs more renewals; a long one keeps a dead holder's slot.
    pub permit_lease: Duration,
    /// How long a new permit runs before its first renewal. Default 2 s.
    ///
    /// A grant whose request has gone meanwhile, for example because the ask
    /// was held up on the way, keeps its slot for as long. It must leave time
    /// for a round trip between regions.
    pub first_lease: Duration,
    /// Fraction of the region's slots that requests from other regions must
    /// leave free. Default 0.2. With 1, other regions get nothing.
    pub local_reserve: f64,
    /// Time in which a cold endpoint gains one slot. Default 500 ms.
    pub ramp_step: Duration,
    /// Most requests that wait at once. Default 4,096.
    pub max_waiting: usize,
}

impl Default for SlotConfig {
    fn default() -> Self {
        Self {
            permit_lease: Duration::from_secs(2),
            first_lease: Duration::from_secs(2),
            local_reserve: 0.2,
            ramp_step: Duration::from_millis(500),
            max_waiting: 4096,
        }
    }
}

/// Whether an endpoint's caches and connections are in use already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Temperature {
    /// All slots may be used at once.
    Warm,
    /// One slot at first, and one more with every ramp step.
    Cold,
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The team that the request runs for.
    pub team: TeamName,
    /// The entry that holds the permit.
    pub holder: VmName,
    /// Where the caller's entry is.
    pub origin: Origin,
    /// The request is refused once its slot would come later than this.
    pub deadline: Instant,
    /// Endpoints that already refused this request.
    pub avoid: Vec<EndpointName>,
}

/// Where a request comes from, seen from the slot book's region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From an entry in the region.
    Local,
    /// From an entry in another region; leaves the local reserve free.
    Remote,
}

/// Identifies a permit, also across restarts of the slot book's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitId {
    /// The incarnation of the slot book.
    pub incarnation: u64,
    /// Counts the permits of the incarnation.
    pub number: u64,
}

/// Identifies a waiting request within one slot book.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

impl Ticket {
    /// The number of the ticket, for a message.
    pub fn get(self) -> u64 {
        self.0
    }
}

/// A slot that was given out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The permit.
    pub permit: PermitId,
    /// The endpoint to send to.
    pub endpoint: EndpointName,
    /// When the permit ends without a renewal.
    pub until: Instant,
}

/// A grant to a request that was waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedGrant {
    /// The ticket of the waiting request.
    pub ticket: Ticket,
    /// The request.
    pub request: SlotRequest,
    /// The slot.
    pub grant: Grant,
}

/// The answer to a request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The slot is given out.
    Granted(Grant),
    /// The request waits; a later call returns its grant or its refusal.
    Queued(Ticket),
    /// The request was not run.
    Refused(SlotRefusal),
}

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRefusal {
    /// No slot is expected before the deadline.
    Deadline,
    /// Every endpoint is draining, or there is none.
    NoEndpoint,
    /// [`SlotConfig::max_waiting`] requests are waiting.
    QueueFull,
}

/// Whether a renewal extended a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitRenewal {
    /// The permit runs until this instant.
    Extended {
        /// End of the lease.
        until: Instant,
    },
    /// The permit is unknown: it expired, or this book replaced another one.
    /// A holder that still runs the request calls [`SlotPool::adopt`].
    Unknown,
}

/// What changed with the passing of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expired {
    /// Permits whose lease ended.
    pub permits: Vec<PermitId>,
    /// Waiting requests whose deadline passed, or for which no endpoint is
    /// left; they were not run.
    pub refused: Vec<(Ticket, SlotRequest, SlotRefusal)>,
    /// Waiting requests that have a slot now.
    pub granted: Vec<QueuedGrant>,
}

/// A plain copy of one endpoint's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSnapshot {
    /// The endpoint.
    pub name: EndpointName,
    /// Configured slots.
    pub slots: u32,
    /// Slots that may be used now.
    pub open: u32,
    /// Permits given out.
    pub in_use: u32,
    /// Whether it gets nothing new.
    pub draining: bool,
}

/// A plain copy of a slot book's state for operators and tests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotSnapshot {
    /// All endpoints in order of name.
    pub endpoints: Vec<EndpointSnapshot>,
    /// Number of permits given out.
    pub permits: usize,
    /// Waiting requests of each team, the team with the next turn first.
    pub waiting: Vec<(TeamName, usize)>,
}

#[derive(Clone, Debug)]
struct Endpoint {
    slots: u32,
    /// When the ramp started, or `None` if it is over.
    cold_since: Option<Instant>,
    draining: bool,
    in_use: u32,
    /// Number of the newest permit here, so that equally loaded endpoints take turns.
    last_permit: u64,
}

#[derive(Clone, Debug)]
struct Permit {
    endpoint: EndpointName,
    granted_at: Instant,
    expires_at: Instant,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    request: SlotRequest,
}

impl SlotPool {
    /// Creates a book without endpoints.
    ///
    /// `incarnation` must differ between any two books for the same service and region.
    pub fn new(incarnation: u64, cfg: SlotConfig) -> Self {
        Self {
            cfg,
            incarnation,
            endpoints: BTreeMap::new(),
            permits: BTreeMap::new(),
            queues: IndexMap::new(),
            next_permit: 1,
            next_ticket: 0,
            run_time: None,
        }
    }

    /// Adds an endpoint or changes its number of slots.
    ///
    /// `temperature` counts for new endpoints only. An endpoint with more
    /// permits than slots gets nothing new until enough are released.
    pub fn set_endpoint(
        &mut self,
        now: Instant,
        name: EndpointName,
        slots: u32,
        temperature: Temperature,
    ) -> Vec<QueuedGrant> {
        let cold_since = (temperature == Temperature::Cold).then_some(now);
        self.endpoints
            .entry(name)
            .or_insert(Endpoint {
                slots,
                cold_since,
                draining: false,
                in_use: 0,
                last_permit: 0,
            })
            .slots = slots;
        self.serve(now)
    }

    /// Starts or ends the drain of an endpoint. A draining endpoint gets nothing new.
    ///
    /// If it was the last one, the next [`SlotPool::expire`] refuses all
    /// waiting requests.
    pub fn set_draining(
        &mut self,
        now: Instant,
        name: &EndpointName,
        draining: bool,
    ) -> Vec<QueuedGrant> {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.draining = draining;
        }
        self.serve(now)
    }

    /// Removes an endpoint. Its permits are forgotten.
    ///
    /// Fewer slots mean a smaller local reserve, which may make grants possible.
    pub fn remove_endpoint(&mut self, now: Instant, name: &EndpointName) -> Vec<QueuedGrant> {
        self.endpoints.remove(name);
        self.permits.retain(|_, permit| permit.endpoint != *name);
        self.serve(now)
    }

    /// Notes that an endpoint shed a request or could not be reached: it
    /// starts a new ramp with one slot.
    ///
    /// Fewer slots mean a smaller local reserve, which may make grants possible.
    pub fn restart_ramp(&mut self, now: Instant, name: &EndpointName) -> Vec<QueuedGrant> {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.cold_since = Some(now);
        }
        self.serve(now)
    }

    /// Grants a slot, queues the request, or refuses it.
    pub fn acquire(&mut self, now: Instant, request: SlotRequest) -> AcquireOutcome {
        if self.is_closed_to(&request.avoid) {
            return AcquireOutcome::Refused(SlotRefusal::NoEndpoint);
        }
        if request.deadline <= now {
            return AcquireOutcome::Refused(SlotRefusal::Deadline);
        }
        if let Some(endpoint) = self.pick(now, request.origin, &request.avoid)
            && !self.is_anyone_ahead(now)
        {
            return AcquireOutcome::Granted(self.grant(now, endpoint));
        }
        let waiting = self.waiting();
        if waiting >= self.cfg.max_waiting {
            return AcquireOutcome::Refused(SlotRefusal::QueueFull);
        }
        if now + self.expected_wait(&request.team) > request.deadline {
            return AcquireOutcome::Refused(SlotRefusal::Deadline);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.queues
            .entry(request.team.clone())
            .or_default()
            .push_back(Waiting { ticket, request });
        AcquireOutcome::Queued(ticket)
    }

    /// Ends a permit, and returns the grants that its slot makes possible.
    ///
    /// An unknown permit changes nothing.
    pub fn release(&mut self, now: Instant, permit: PermitId) -> Vec<QueuedGrant> {
        if let Some(ended) = self.end(permit) {
            let ran = now.saturating_duration_since(ended.granted_at);
            self.note_run_time(ran);
        }
        self.serve(now)
    }

    /// The endpoint of a permit that has not ended.
    pub fn endpoint_of(&self, permit: PermitId) -> Option<&EndpointName> {
        self.permits.get(&permit).map(|permit| &permit.endpoint)
    }

    /// Extends a permit by a lease from `now`.
    pub fn renew(&mut self, now: Instant, permit: PermitId) -> PermitRenewal {
        match self.permits.get_mut(&permit) {
            Some(p) if p.expires_at > now => {
                p.expires_at = now + self.cfg.permit_lease;
                PermitRenewal::Extended {
                    until: p.expires_at,
                }
            }
            _ => PermitRenewal::Unknown,
        }
    }

    /// Counts a request that runs on an endpoint under a permit this book does not know.
    ///
    /// It makes a rebuilt book see the load of its predecessor. The count may
    /// exceed the slots. Returns `None` if the endpoint is unknown.
    pub fn adopt(&mut self, now: Instant, endpoint: &EndpointName) -> Option<Grant> {
        self.endpoints
            .contains_key(endpoint)
            .then(|| self.grant(now, endpoint.clone()))
    }

    /// Withdraws a waiting request. Returns false if it is not waiting any more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting();
        for queue in self.queues.values_mut() {
            queue.retain(|w| w.ticket != ticket);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        self.waiting() < before
    }

    /// Processes what expired by `now`, and the slots that ramps have opened.
    pub fn expire(&mut self, now: Instant) -> Expired {
        let permits: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, p)| p.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for permit in &permits {
            self.end(*permit);
        }
        let mut refused = Vec::new();
        let closed = self.is_closed();
        for queue in self.queues.values_mut() {
            queue.retain(|w| {
                let cause = if w.request.deadline <= now {
                    SlotRefusal::Deadline
                } else if closed {
                    SlotRefusal::NoEndpoint
                } else {
                    return true;
                };
                refused.push((w.ticket, w.request.clone(), cause));
                false
            });
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        refused.sort_by_key(|(ticket, _, _)| *ticket);
        Expired {
            permits,
            refused,
            granted: self.serve(now),
        }
    }

    /// The next instant at which [`SlotPool::expire`] has something to do.
    pub fn next_event_at(&self, now: Instant) -> Option<Instant> {
        // A ramp step that has passed is no future event, and still has slots to give.
        if self.is_anyone_ahead(now) {
            return Some(now);
        }
        let leases = self.permits.values().map(|p| p.expires_at);
        let deadlines = self.queues.values().flatten().map(|w| w.request.deadline);
        let ramps = self
            .endpoints
            .values()
            .filter(|e| !e.draining && !self.queues.is_empty())
            .filter_map(|e| e.next_step_at(now, self.cfg.ramp_step));
        leases.chain(deadlines).chain(ramps).min()
    }

    /// A plain copy of the state at `now`.
    pub fn snapshot(&self, now: Instant) -> SlotSnapshot {
        SlotSnapshot {
            endpoints: self
                .endpoints
                .iter()
                .map(|(name, e)| EndpointSnapshot {
                    name: name.clone(),
                    slots: e.slots,
                    open: e.open(now, self.cfg.ramp_step),
                    in_use: e.in_use,
                    draining: e.draining,
                })
                .collect(),
            permits: self.permits.len(),
            waiting: self
                .queues
                .iter()
                .map(|(team, queue)| (team.clone(), queue.len()))
                .collect(),
        }
    }

    /// Reports whether no endpoint takes new requests.
    fn is_closed(&self) -> bool {
        self.is_closed_to(&[])
    }

    /// Reports whether no endpoint takes a request that avoids some of them.
    fn is_closed_to(&self, avoid: &[EndpointName]) -> bool {
        self.endpoints
            .iter()
            .all(|(name, e)| e.draining || e.slots == 0 || avoid.contains(name))
    }

    fn waiting(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    /// Reports whether a waiting request could have a free slot.
    ///
    /// Slots that a ramp opened are given out by [`SlotPool::expire`], and a
    /// new request must not take them before that.
    fn is_anyone_ahead(&self, now: Instant) -> bool {
        if self.queues.is_empty() {
            return false;
        }
        self.queues.values().flatten().any(|w| {
            w.request.deadline > now && self.pick(now, w.request.origin, &w.request.avoid).is_some()
        })
    }

    /// Gives free slots to waiting requests, one team after the other.
    fn serve(&mut self, now: Instant) -> Vec<QueuedGrant> {
        let mut granted = Vec::new();
        while let Some(late) = self.serve_one(now) {
            granted.push(late);
        }
        granted
    }

    fn serve_one(&mut self, now: Instant) -> Option<QueuedGrant> {
        for turn in 0..self.queues.len() {
            let (team, queue) = self.queues.get_index(turn)?;
            // The reserve may hold back a remote request, and must not hold
            // back the local ones behind it.
            let found = queue.iter().enumerate().find_map(|(i, w)| {
                let live = w.request.deadline > now;
                let endpoint = live
                    .then(|| self.pick(now, w.request.origin, &w.request.avoid))
                    .flatten();
                endpoint.map(|e| (i, e))
            });
            let Some((i, endpoint)) = found else {
                continue;
            };
            let team = team.clone();
            let mut queue = self.queues.shift_remove(&team)?;
            let waiting = queue.remove(i)?;
            if !queue.is_empty() {
                // The team's next turn comes after all others.
                self.queues.insert(team, queue);
            }
            return Some(QueuedGrant {
                ticket: waiting.ticket,
                request: waiting.request,
                grant: self.grant(now, endpoint),
            });
        }
        None
    }

    /// The least loaded endpoint with a free slot, unless the reserve forbids it.
    fn pick(&self, now: Instant, origin: Origin, avoid: &[EndpointName]) -> Option<EndpointName> {
        let step = self.cfg.ramp_step;
        let live = || self.endpoints.iter().filter(|(_, e)| !e.draining);
        if origin == Origin::Remote {
            let open: u32 = live().map(|(_, e)| e.open(now, step)).sum();
            let free: u32 = live().map(|(_, e)| e.free(now, step)).sum();
            let reserve = (f64::from(open) * self.cfg.local_reserve).ceil();
            if f64::from(free) - 1.0 < reserve {
                return None;
            }
        }
        live()
            .filter(|(name, e)| e.free(now, step) > 0 && !avoid.contains(name))
            .min_by(|(_, a), (_, b)| {
                // Compares in_use / open without division.
                let load_a = u64::from(a.in_use) * u64::from(b.open(now, step));
                let load_b = u64::from(b.in_use) * u64::from(a.open(now, step));
                load_a.cmp(&load_b).then(a.last_permit.cmp(&b.last_permit))
            })
            .map(|(name, _)| name.clone())
    }

    fn grant(&mut self, now: Instant, endpoint: EndpointName) -> Grant {
        let permit = PermitId {
            incarnation: self.incarnation,
            number: self.next_permit,
        };
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.in_use += 1;
            e.last_permit = self.next_permit;
        }
        self.next_permit += 1;
        let until = now + self.cfg.first_lease;
        self.permits.insert(
            permit,
            Permit {
                endpoint: endpoint.clone(),
                granted_at: now,
                expires_at: until,
            },
        );
        Grant {
            permit,
            endpoint,
            until,
        }
    }

    fn end(&mut self, permit: PermitId) -> Option<Permit> {
        let ended = self.permits.remove(&permit)?;
        if let Some(endpoint) = self.endpoints.get_mut(&ended.endpoint) {
            endpoint.in_use = endpoint.in_use.saturating_sub(1);
        }
        Some(ended)
    }

    fn note_run_time(&mut self, ran: Duration) {
        // A weight of 1/8 follows a change of load within some ten requests.
        const WEIGHT: f64 = 0.125;
        let ran = ran.as_secs_f64();
        let old = self.run_time.unwrap_or(ran);
        self.run_time = Some(old + (ran - old) * WEIGHT);
    }

    /// Expected time until a new request of `team` gets a slot.
    ///
    /// With turns by team, at most as many requests of each other team go
    /// first as the own team has waiting, the new one included.
    fn expected_wait(&self, team: &TeamName) -> Duration {
        let own = self.queues.get(team).map_or(0, VecDeque::len) + 1;
        let others: usize = self
            .queues
            .iter()
            .filter(|(other, _)| *other != team)
            .map(|(_, queue)| queue.len().min(own))
            .sum();
        let slots: u32 = self
            .endpoints
            .values()
            .filter(|e| !e.draining)
            .map(|e| e.slots)
            .sum();
        let run_time = self.run_time.unwrap_or(0.0);
        let wait = run_time * (own + others) as f64 / f64::from(slots.max(1));
        // A day is beyond every deadline and within what an `Instant` can represent.
        Duration::from_secs_f64(wait.min(86_400.0))
    }
}

impl Endpoint {
    /// Slots that may be used at `now`.
    fn open(&self, now: Instant, step: Duration) -> u32 {
        match self.cold_since {
            None => self.slots,
            Some(since) => self.slots.min(steps(now, since, step).saturating_add(1)),
        }
    }

    fn free(&self, now: Instant, step: Duration) -> u32 {
        self.open(now, step).saturating_sub(self.in_use)
    }

    fn next_step_at(&self, now: Instant, step: Duration) -> Option<Instant> {
        let since = self.cold_since?;
        let next = steps(now, since, step).checked_add(1)?;
        (next < self.slots).then(|| since + step * next)
    }
}

/// Whole ramp steps between two instants.
fn steps(now: Instant, since: Instant, step: Duration) -> u32 {
    let elapsed = now.saturating_duration_since(since).as_nanos();
    let steps = elapsed / step.as_nanos().max(1);
    u32::try_from(steps).unwrap_or(u32::MAX)
}
