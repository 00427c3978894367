//! The slot pool of one service in one region, which assigns the slots of its
//! endpoints to requests, fairly by team.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::bucket::{RateShare, TokenBucket};
use crate::names::{EndpointName, TeamName, VmName};

/// Lowest rate of an endpoint in requests a second.
pub const MIN_RATE: f64 = 0.1;

/// Time in seconds for which unused tokens of a limited endpoint accumulate.
const BURST_SECONDS: f64 = 0.5;

/// The endpoints of one service in one region, the permits to run requests on
/// them, and the requests that wait for a permit.
///
/// A permit is a lease: if its holder fails, the permit expires and its slot
/// becomes free. Waiting requests are queued by team, and free slots are
/// granted to the teams in round-robin order, so a team that sends more
/// requests than the others also waits longer.
#[derive(Clone, Debug)]
pub struct SlotPool {
    cfg: SlotConfig,
    incarnation: u64,
    endpoints: BTreeMap<EndpointName, Endpoint>,
    permits: BTreeMap<PermitId, Permit>,
    /// Waiting requests of each team in order of arrival. The first team is the
    /// next to be served. Invariant: no queue is empty.
    queues: IndexMap<TeamName, VecDeque<Waiting>>,
    next_permit: u64,
    next_ticket: u64,
    /// Moving average of the time from grant to release, in seconds. `None`
    /// before the first release.
    run_time: Option<f64>,
}

/// Settings of a [`SlotPool`].
#[derive(Clone, Debug)]
pub struct SlotConfig {
    /// How long a renewed permit is valid without another renewal. Default 2 s.
    ///
    /// A short lease needs more renewal messages. A long one keeps the slot of a
    /// failed holder occupied for longer.
    pub permit_lease: Duration,
    /// How long a new permit is valid without a renewal. Default 2 s.
    ///
    /// The lease must be longer than a round trip between regions. If the
    /// request has ended by the time of the grant, for example because its slot
    /// request was delayed, the slot stays occupied until this lease expires.
    pub first_lease: Duration,
    /// Fraction of the region's open slots that requests from other regions
    /// must leave free. Default 0.2. With 1, requests from other regions are
    /// never granted a slot.
    pub local_reserve: f64,
    /// Interval at which a cold endpoint opens one more slot. Default 500 ms.
    pub ramp_step: Duration,
    /// Maximum number of requests that wait at once. Default 4,096.
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

/// Whether an endpoint's caches and connections are already warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Temperature {
    /// All slots may be used at once.
    Warm,
    /// One slot may be used at first, and one more after every ramp step.
    Cold,
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The team that sent the request.
    pub team: TeamName,
    /// The entry VM that will hold the permit.
    pub holder: VmName,
    /// Whether the entry VM is in the pool's region.
    pub origin: Origin,
    /// Latest time for a grant. The request is refused when its slot is
    /// expected later than this.
    pub deadline: Instant,
    /// Endpoints that already refused this request and must not be granted.
    pub avoid: Vec<EndpointName>,
}

/// Where a request comes from, relative to the slot pool's region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From an entry VM in the same region.
    Local,
    /// From an entry VM in another region; must leave the local reserve free.
    Remote,
}

/// Identifies a permit, also across restarts of the VM that owns the slot pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitId {
    /// The incarnation of the slot pool.
    pub incarnation: u64,
    /// Sequence number of the permit within the incarnation.
    pub number: u64,
}

/// Identifies a waiting request within one slot pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

impl Ticket {
    /// The number of the ticket, for use in messages.
    pub fn get(self) -> u64 {
        self.0
    }
}

/// A granted slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Identifies the permit to renew and release.
    pub permit: PermitId,
    /// The endpoint on which the request may run.
    pub endpoint: EndpointName,
    /// When the permit expires unless it is renewed.
    pub until: Instant,
}

/// A grant to a request that was waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedGrant {
    /// The ticket that identified the request while it waited.
    pub ticket: Ticket,
    /// The request that waited.
    pub request: SlotRequest,
    /// The slot that it got.
    pub grant: Grant,
}

/// The result of [`SlotPool::acquire`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// A slot is granted immediately.
    Granted(Grant),
    /// The request waits. A later call returns its grant or its refusal.
    Queued(Ticket),
    /// No slot is granted, and the request does not wait.
    Refused(SlotRefusal),
}

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRefusal {
    /// No slot is expected before the deadline.
    Deadline,
    /// No endpoint accepts the request: each one is draining, has no slots or
    /// has already refused it, or there is none.
    NoEndpoint,
    /// [`SlotConfig::max_waiting`] requests are already waiting.
    QueueFull,
}

/// The result of [`SlotPool::renew`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitRenewal {
    /// The permit is valid until this instant.
    Extended {
        /// End of the lease.
        until: Instant,
    },
    /// The permit is unknown, because it expired or because another pool
    /// granted it before this one replaced it. If the request still runs, it
    /// is counted again with [`SlotPool::adopt`].
    Unknown,
}

/// The result of [`SlotPool::expire`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expired {
    /// Permits whose lease ended.
    pub permits: Vec<PermitId>,
    /// Waiting requests that were refused because their deadline passed or no
    /// endpoint is left.
    pub refused: Vec<(Ticket, SlotRequest, SlotRefusal)>,
    /// Waiting requests that were granted a slot.
    pub granted: Vec<QueuedGrant>,
}

/// A copy of one endpoint's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSnapshot {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Number of configured slots.
    pub slots: u32,
    /// Number of slots that may be used now; fewer than `slots` during a ramp.
    pub open: u32,
    /// Number of valid permits, which can exceed `open`, for example after a ramp
    /// restarts.
    pub in_use: u32,
    /// Whether the endpoint is excluded from new grants.
    pub draining: bool,
}

/// A copy of a slot pool's state, for operators and tests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotSnapshot {
    /// All endpoints in order of name.
    pub endpoints: Vec<EndpointSnapshot>,
    /// Number of valid permits.
    pub permits: usize,
    /// Number of waiting requests of each team, in the order in which the teams
    /// are served.
    pub waiting: Vec<(TeamName, usize)>,
}

#[derive(Clone, Debug)]
struct Endpoint {
    slots: u32,
    /// When the ramp started; `None` if the endpoint has been warm from the start.
    cold_since: Option<Instant>,
    draining: bool,
    in_use: u32,
    /// Number of the latest permit on this endpoint. Among equally loaded
    /// endpoints, the one with the lowest number is chosen.
    last_permit: u64,
    /// Tokens for the requests of an endpoint that limits their rate; `None` if it
    /// does not.
    rate: Option<TokenBucket>,
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
    /// Creates a pool without endpoints.
    ///
    /// `incarnation` must be different for every pool of the same service and
    /// region, so that a permit of one pool is never taken for one of another.
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
    /// `temperature` is used for new endpoints only. An endpoint with more
    /// permits than slots gets no new request until enough permits have ended.
    /// Returns the grants to waiting requests that the change makes possible.
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
                rate: None,
            })
            .slots = slots;
        self.serve(now)
    }

    /// Starts or ends the drain of an endpoint, which gets no new requests
    /// while it drains.
    ///
    /// If no other endpoint accepts requests, the next [`SlotPool::expire`]
    /// refuses all waiting requests. Returns the grants to waiting requests that
    /// the change makes possible.
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

    /// Limits the requests to an endpoint that cannot keep up to `per_second`, or
    /// ends the limit with `None`. A rate that is not finite and positive counts as
    /// [`MIN_RATE`], because only a response shows that a limit has ended.
    ///
    /// In any 4 s the endpoint gets at most `4.5 * per_second + 1` new permits, so
    /// that one and a half times its limit is not reached while an owner of the pool
    /// replaces another one. Returns the grants to waiting requests that the change
    /// makes possible.
    pub fn set_rate(
        &mut self,
        now: Instant,
        name: &EndpointName,
        per_second: Option<f64>,
    ) -> Vec<QueuedGrant> {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.set_rate(per_second, now);
        }
        self.serve(now)
    }

    /// Removes an endpoint and its permits.
    ///
    /// With fewer open slots the local reserve is smaller, so requests from
    /// other regions may be granted slots on the remaining endpoints. Returns
    /// these grants.
    pub fn remove_endpoint(&mut self, now: Instant, name: &EndpointName) -> Vec<QueuedGrant> {
        self.endpoints.remove(name);
        self.permits.retain(|_, permit| permit.endpoint != *name);
        self.serve(now)
    }

    /// Restarts the ramp of an endpoint with one open slot. The caller does this
    /// when the endpoint shed a request or could not be reached.
    ///
    /// With fewer open slots the local reserve is smaller, so requests from
    /// other regions may be granted slots. Returns these grants.
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
            && !self.can_serve_waiting(now)
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

    /// Ends a permit and returns the grants that the free slot makes possible.
    ///
    /// An unknown permit is ignored.
    pub fn release(&mut self, now: Instant, permit: PermitId) -> Vec<QueuedGrant> {
        if let Some(ended) = self.end(permit) {
            let ran = now.saturating_duration_since(ended.granted_at);
            self.record_run_time(ran);
        }
        self.serve(now)
    }

    /// The endpoint of a permit, or `None` if the permit is unknown or has ended.
    pub fn endpoint_of(&self, permit: PermitId) -> Option<&EndpointName> {
        self.permits.get(&permit).map(|permit| &permit.endpoint)
    }

    /// Extends a permit until a lease after `now`.
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

    /// Grants a permit for a request that already runs on an endpoint under a
    /// permit that this pool does not know.
    ///
    /// In this way a pool that replaced another one learns of the requests that
    /// its predecessor admitted. The endpoint's permits may then exceed its
    /// slots. Returns `None` if the endpoint is unknown.
    pub fn adopt(&mut self, now: Instant, endpoint: &EndpointName) -> Option<Grant> {
        self.endpoints
            .contains_key(endpoint)
            .then(|| self.grant(now, endpoint.clone()))
    }

    /// Removes a waiting request from its queue. Returns false if it is no longer
    /// waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting();
        for queue in self.queues.values_mut() {
            queue.retain(|w| w.ticket != ticket);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        self.waiting() < before
    }

    /// Ends permits and refuses waiting requests that expired by `now`, and
    /// grants free slots, including those that ramps have opened.
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

    /// The next time at which [`SlotPool::expire`] must be called.
    pub fn next_event_at(&self, now: Instant) -> Option<Instant> {
        // A slot that a past ramp step opened must still be granted, although
        // the step is no longer among the future events below.
        if self.can_serve_waiting(now) {
            return Some(now);
        }
        let leases = self.permits.values().map(|p| p.expires_at);
        let deadlines = self.queues.values().flatten().map(|w| w.request.deadline);
        let ramps = self
            .endpoints
            .values()
            .filter(|e| !e.draining && !self.queues.is_empty())
            .filter_map(|e| e.next_step_at(now, self.cfg.ramp_step));
        let tokens = self
            .endpoints
            .values()
            .filter(|e| !e.draining && !self.queues.is_empty())
            .filter_map(|e| e.next_token_at(now).filter(|at| *at > now));
        leases.chain(deadlines).chain(ramps).chain(tokens).min()
    }

    /// A copy of the state at `now`.
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

    /// Returns true if no endpoint accepts new requests.
    fn is_closed(&self) -> bool {
        self.is_closed_to(&[])
    }

    /// Returns true if no endpoint outside of `avoid` accepts new requests.
    fn is_closed_to(&self, avoid: &[EndpointName]) -> bool {
        self.endpoints
            .iter()
            .all(|(name, e)| e.draining || e.slots == 0 || avoid.contains(name))
    }

    fn waiting(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    /// Returns true if a waiting request could be granted a free slot.
    ///
    /// Slots that a ramp has opened are granted to waiting requests by the next
    /// [`SlotPool::expire`]. Until then a new request must not get them.
    fn can_serve_waiting(&self, now: Instant) -> bool {
        if self.queues.is_empty() {
            return false;
        }
        self.queues.values().flatten().any(|w| {
            w.request.deadline > now && self.pick(now, w.request.origin, &w.request.avoid).is_some()
        })
    }

    /// Grants free slots to waiting requests, to the teams in round-robin order.
    fn serve(&mut self, now: Instant) -> Vec<QueuedGrant> {
        let mut granted = Vec::new();
        while let Some(queued) = self.serve_one(now) {
            granted.push(queued);
        }
        granted
    }

    /// Grants one slot to the first team with a request that can have it, and
    /// moves the team to the end of the order.
    fn serve_one(&mut self, now: Instant) -> Option<QueuedGrant> {
        for index in 0..self.queues.len() {
            let (team, queue) = self.queues.get_index(index)?;
            // A remote request that the local reserve blocks must not block the
            // local requests behind it.
            let found = queue.iter().enumerate().find_map(|(i, w)| {
                let in_time = w.request.deadline > now;
                let endpoint = in_time
                    .then(|| self.pick(now, w.request.origin, &w.request.avoid))
                    .flatten();
                endpoint.map(|e| (i, e))
            });
            let Some((position, endpoint)) = found else {
                continue;
            };
            let team = team.clone();
            let mut queue = self.queues.shift_remove(&team)?;
            let waiting = queue.remove(position)?;
            if !queue.is_empty() {
                // Appends the team, so that all others are served before it.
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

    /// Returns the least loaded endpoint with a free slot. Returns `None` if
    /// there is none, or if the local reserve excludes a remote request.
    fn pick(&self, now: Instant, origin: Origin, avoid: &[EndpointName]) -> Option<EndpointName> {
        let step = self.cfg.ramp_step;
        let active = || self.endpoints.iter().filter(|(_, e)| !e.draining);
        if origin == Origin::Remote {
            let open: u32 = active().map(|(_, e)| e.open(now, step)).sum();
            let free: u32 = active().map(|(_, e)| e.free(now, step)).sum();
            let reserve = (f64::from(open) * self.cfg.local_reserve).ceil();
            if f64::from(free) - 1.0 < reserve {
                return None;
            }
        }
        active()
            .filter(|(name, e)| e.free(now, step) > 0 && !avoid.contains(name))
            .min_by(|(_, a), (_, b)| {
                // Compares the ratios in_use / open by cross-multiplication.
                let load_a = u64::from(a.in_use) * u64::from(b.open(now, step));
                let load_b = u64::from(b.in_use) * u64::from(a.open(now, step));
                load_a.cmp(&load_b).then(a.last_permit.cmp(&b.last_permit))
            })
            .map(|(name, _)| name.clone())
    }

    /// Creates a permit for `endpoint`, without a check for a free slot.
    fn grant(&mut self, now: Instant, endpoint: EndpointName) -> Grant {
        let permit = PermitId {
            incarnation: self.incarnation,
            number: self.next_permit,
        };
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.in_use += 1;
            if let Some(rate) = &mut e.rate {
                rate.try_take(now);
            }
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

    /// Removes a permit and frees its slot.
    fn end(&mut self, permit: PermitId) -> Option<Permit> {
        let ended = self.permits.remove(&permit)?;
        if let Some(endpoint) = self.endpoints.get_mut(&ended.endpoint) {
            endpoint.in_use = endpoint.in_use.saturating_sub(1);
        }
        Some(ended)
    }

    /// Requests a second that all endpoints accept together.
    fn total_rate(&self) -> f64 {
        let active = self.endpoints.values().filter(|e| !e.draining);
        let rate = |e: &Endpoint| e.rate.as_ref().map_or(f64::INFINITY, |r| r.share().rate());
        active.map(rate).sum()
    }

    fn record_run_time(&mut self, ran: Duration) {
        // With a weight of 1/8 the average follows a change within about ten
        // requests.
        const WEIGHT: f64 = 0.125;
        let ran = ran.as_secs_f64();
        let old = self.run_time.unwrap_or(ran);
        self.run_time = Some(old + (ran - old) * WEIGHT);
    }

    /// Expected time until a new request of `team` gets a slot.
    ///
    /// Teams are served in round-robin order. Before the new request, each
    /// other team is therefore served at most as often as `team` has requests
    /// waiting, including the new one.
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
        // Free slots do not shorten the wait while all endpoints limit their rate.
        let wait = wait.max((own + others - 1) as f64 / self.total_rate());
        // Limits the result to a day, which is later than any deadline, so that
        // adding it to an `Instant` cannot overflow.
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

    /// Open slots without a permit, none while the rate is used up.
    fn free(&self, now: Instant, step: Duration) -> u32 {
        if self.next_token_at(now).is_some_and(|at| at > now) {
            return 0;
        }
        self.open(now, step).saturating_sub(self.in_use)
    }

    fn set_rate(&mut self, per_second: Option<f64>, now: Instant) {
        let Some(rate) = per_second else {
            self.rate = None;
            return;
        };
        let rate = if rate.is_finite() {
            rate.max(MIN_RATE)
        } else {
            MIN_RATE
        };
        let share = RateShare::new(rate, 1.0 + rate * BURST_SECONDS).unwrap_or(RateShare::ZERO);
        self.rate
            .get_or_insert_with(|| TokenBucket::new(share, now))
            .set_share(share, now);
    }

    /// When a token is available; `None` if the rate is not limited.
    fn next_token_at(&self, now: Instant) -> Option<Instant> {
        let wait = self.rate.clone()?.time_until(1, now);
        Some(now + wait.unwrap_or_default())
    }

    /// When the ramp opens the next slot; `None` if all slots are open.
    fn next_step_at(&self, now: Instant, step: Duration) -> Option<Instant> {
        let since = self.cold_since?;
        let next = steps(now, since, step).checked_add(1)?;
        (next < self.slots).then(|| since + step * next)
    }
}

/// Number of whole ramp steps from `since` to `now`.
fn steps(now: Instant, since: Instant, step: Duration) -> u32 {
    let elapsed = now.saturating_duration_since(since).as_nanos();
    let steps = elapsed / step.as_nanos().max(1);
    u32::try_from(steps).unwrap_or(u32::MAX)
}
