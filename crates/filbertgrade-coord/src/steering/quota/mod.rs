//! Keeps each team within its rate and burst over all VMs.
//!
//! Answers one team that sends several times its rate, teams whose requests
//! arrive at many VMs so that each sees less than one a second, callers that
//! move from one VM to another, and VMs that lose contact with the others.
//!
//! A team's limit is divided over regions by what arrives there. Within a
//! region a few VMs, the team's [holders](HOLDERS), keep the region's part in
//! token buckets, and the other VMs ask them for tokens. A VM whose question
//! is not answered has a small part of its own, which the holders leave to it
//! once they hear nothing of it.

mod asked;
mod division;
mod held;
mod rate;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use self::asked::AskedPart;
use self::division::Others;
use self::held::HeldPart;
use crate::bucket::{Part, TokenBucket};
use crate::names::{RegionName, TeamName, VmName};
use crate::rendezvous;

/// VMs of a region that keep a team's part. With several, the team is served
/// while one of them is down and not yet known to be.
pub const HOLDERS: usize = 2;

/// Time over which arrivals are averaged. Shorter makes the parts jump with
/// chance, longer lets callers that moved wait for their part.
const DEMAND_TIME: Duration = Duration::from_millis(700);

/// Requests a second of an even part of a region below which a larger part is
/// taken at once. Single requests make such parts jump, and what is admitted
/// too much stays within the requests that users bear beyond a limit.
const SMALL_PART: f64 = 8.0;

/// How often parts are computed anew, and the VMs in contact looked at.
const DIVIDE_INTERVAL: Duration = Duration::from_millis(200);

/// Arrivals for which a VM asks for tokens ahead, so that a team with many
/// requests costs few questions.
const AHEAD_TIME: Duration = Duration::from_millis(100);

/// Longest time for which a VM refuses a team's requests without asking again.
const EMPTY_TIME: Duration = Duration::from_millis(50);

/// How long a holder that did not answer is not asked again.
const UNANSWERED_TIME: Duration = Duration::from_secs(1);

/// A team's limit over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second; zero means no limit.
    pub rate: f64,
    /// Requests beyond the rate.
    pub burst: f64,
}

/// Whether a request is within its team's limit.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It is.
    Admitted,
    /// It is not; a token may be there after this time.
    Refused(Duration),
    /// A holder has to be asked. What follows from its answer is told by
    /// [`Quotas::handle_response`], or without an answer by [`Quotas::handle_timeout`].
    RequestTokens(TokenRequest),
}

/// A question to a holder.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenRequest {
    /// The team.
    pub team: TeamName,
    /// The VM to ask.
    pub holder: VmName,
    /// Tokens that are wanted, at least one.
    pub tokens: u32,
    /// Requests of the team that arrived and that no holder has counted.
    pub arrivals: u32,
    /// Place of the holder among those of the team.
    rank: usize,
    /// The shortest wait that a holder has told; `None` while none has answered.
    wait: Option<Duration>,
}

/// A holder's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Grant {
    /// Tokens, at least one and at most as many as were wanted.
    Tokens(u32),
    /// None is left; one may be there after this time.
    Empty(Duration),
    /// The VM that was asked is not a holder, as far as it knows.
    NotHolder,
}

/// The limits of all teams, as one VM keeps them.
#[derive(Debug)]
pub struct Quotas {
    me: VmName,
    /// This VM is about to stop and holds nothing.
    leaving: bool,
    teams: HashMap<TeamName, TeamQuota>,
    others: Others,
    /// VMs of this region that may be holders.
    candidates: Candidates,
    /// Holders that did not answer, and until when they are not asked.
    unanswered: HashMap<VmName, Instant>,
    /// Tokens beyond all bursts that users bear, over all VMs.
    allowance: f64,
}

/// VMs of this region that are in contact.
#[derive(Debug, Default)]
struct Candidates {
    /// In the order of their names.
    vms: Vec<VmName>,
    /// Changes whenever `vms` does.
    number: u64,
    looked_at: Option<Instant>,
}

#[derive(Debug)]
struct TeamQuota {
    limit: Limit,
    /// The VMs to ask, in this order, and the number of the candidates from
    /// which they were chosen.
    holders: Option<(u64, Vec<VmName>)>,
    held: HeldPart,
    asked: AskedPart,
}

impl Quotas {
    /// Starts without limits, on a VM that knows of no others.
    pub fn new(me: VmName) -> Self {
        Self {
            me,
            leaving: false,
            teams: HashMap::new(),
            others: Others::default(),
            candidates: Candidates::default(),
            unanswered: HashMap::new(),
            allowance: 0.0,
        }
    }

    /// Replaces the limits of all teams. Teams that keep their limit keep
    /// their tokens; a new team starts without tokens.
    pub fn set_limits(
        &mut self,
        limits: impl IntoIterator<Item = (TeamName, Limit)>,
        now: Instant,
    ) {
        let mut old = std::mem::take(&mut self.teams);
        for (team, limit) in limits {
            let quota = match old.remove(&team) {
                Some(mut quota) => {
                    quota.set_limit(limit);
                    quota
                }
                None => TeamQuota::new(limit, now),
            };
            self.teams.insert(team, quota);
        }
    }

    /// Sets how many requests beyond rate and burst users bear in a window, over
    /// all VMs.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Replaces the list of the other VMs that may admit requests: those of
    /// this region, and the number in each other region. What a VM or region
    /// that is not in it told does not count any more.
    pub fn set_vms(&mut self, peers: &[VmName], regions: &IndexMap<RegionName, usize>) {
        self.others.set_listed(peers, regions);
        self.unanswered.retain(|vm, _| peers.contains(vm));
        self.candidates.looked_at = None;
    }

    /// Notes the arrivals at all VMs of another region.
    pub fn record_region_demand(
        &mut self,
        region: RegionName,
        teams: HashMap<TeamName, f64>,
        now: Instant,
    ) {
        self.others.heard_region(region, teams, now);
    }

    /// Notes the arrivals that another VM of this region counts as a holder.
    pub fn record_peer_demand(&mut self, vm: VmName, teams: HashMap<TeamName, f64>, now: Instant) {
        if self.others.heard_peer(vm, teams, now) {
            self.candidates.looked_at = None;
        }
    }

    /// Notes that another VM of this region is about to stop. It holds nothing
    /// from now on, and still asks.
    pub fn mark_peer_leaving(&mut self, vm: &VmName) {
        self.others.peer_leaves(vm);
        self.candidates.looked_at = None;
    }

    /// Notes that this VM is about to stop.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
        self.candidates.looked_at = None;
    }

    /// Arrivals by team that this VM counts as a holder, in requests a second,
    /// for the other VMs.
    ///
    /// Parts are divided by what was told last, so that a VM does not see its
    /// own arrivals grow before those of others.
    pub fn demand(&mut self, now: Instant) -> Vec<(TeamName, f64)> {
        self.teams
            .iter_mut()
            .filter(|(_, quota)| quota.limit.rate > 0.0)
            .map(|(team, quota)| {
                quota.held.told = quota.held.arrivals.get(now);
                (team.clone(), quota.held.told)
            })
            .filter(|(_, rate)| *rate > 0.01)
            .collect()
    }

    /// Arrivals in this region by team, for the other regions.
    pub fn region_demand(&mut self, now: Instant) -> Vec<(TeamName, f64)> {
        let mut sum: IndexMap<TeamName, f64> = self.demand(now).into_iter().collect();
        for (team, rate) in self.others.peer_arrivals(now) {
            *sum.entry(team.clone()).or_default() += rate;
        }
        sum.into_iter().collect()
    }

    /// Decides whether a request of a team is within its limit.
    pub fn admit(&mut self, team: &TeamName, now: Instant) -> Admission {
        let Some(quota) = self.teams.get_mut(team) else {
            return Admission::Admitted;
        };
        if quota.limit.rate <= 0.0 {
            return Admission::Admitted;
        }
        let asked = &mut quota.asked;
        asked.arrivals.count(1, now);
        asked.uncounted = asked.uncounted.saturating_add(1);
        if asked.take_ahead(now) {
            return Admission::Admitted;
        }
        if let Some((until, wait)) = asked.empty
            && now < until
        {
            return Admission::Refused(wait);
        }
        let ahead = asked.arrivals.get(now) * AHEAD_TIME.as_secs_f64();
        let request = TokenRequest {
            team: team.clone(),
            holder: self.me.clone(),
            tokens: 1 + ahead as u32,
            arrivals: std::mem::take(&mut asked.uncounted),
            rank: 0,
            wait: None,
        };
        self.ask(request, now)
    }

    /// What follows from a holder's answer.
    pub fn handle_response(
        &mut self,
        request: TokenRequest,
        grant: Grant,
        now: Instant,
    ) -> Admission {
        self.unanswered.remove(&request.holder);
        self.take_grant(request, grant, now)
    }

    /// What follows when a holder does not answer in time.
    pub fn handle_timeout(&mut self, mut request: TokenRequest, now: Instant) -> Admission {
        self.unanswered
            .insert(request.holder.clone(), now + UNANSWERED_TIME);
        request.rank += 1;
        self.ask(request, now)
    }

    /// Answers another VM that asks for tokens, and counts the arrivals that it
    /// tells.
    pub fn grant(&mut self, team: &TeamName, tokens: u32, arrivals: u32, now: Instant) -> Grant {
        if !self.holders(team, now).contains(&self.me) {
            return Grant::NotHolder;
        }
        let Some(quota) = self.teams.get_mut(team) else {
            return Grant::NotHolder;
        };
        quota.held.arrivals.count(arrivals, now);
        if quota.held.is_division_due(now) {
            let share = due(&mut self.others, team, quota, now);
            quota.divide(share, self.others.regions(), self.allowance, now);
        }
        quota.held.take(tokens.max(1), now)
    }

    /// Asks the holders that are left, this VM among them, as far as that is
    /// possible without a message.
    fn ask(&mut self, mut request: TokenRequest, now: Instant) -> Admission {
        let holders = self.holders(&request.team, now);
        while let Some(holder) = holders.get(request.rank) {
            if *holder == self.me {
                let grant = self.grant(&request.team, 1, request.arrivals, now);
                return self.take_grant(request, grant, now);
            }
            if self
                .unanswered
                .get(holder)
                .is_none_or(|until| now >= *until)
            {
                request.holder = holder.clone();
                return Admission::RequestTokens(request);
            }
            request.rank += 1;
        }
        self.settle(&request, now)
    }

    fn take_grant(&mut self, mut request: TokenRequest, grant: Grant, now: Instant) -> Admission {
        match grant {
            Grant::Tokens(tokens) => {
                if let Some(quota) = self.teams.get_mut(&request.team) {
                    quota.asked.add_ahead(tokens.saturating_sub(1), now);
                }
                return Admission::Admitted;
            }
            Grant::Empty(wait) => {
                request.wait = Some(request.wait.map_or(wait, |other| other.min(wait)));
                request.arrivals = 0;
            }
            Grant::NotHolder => {}
        }
        request.rank += 1;
        self.ask(request, now)
    }

    /// Decides when no holder is left to ask.
    fn settle(&mut self, request: &TokenRequest, now: Instant) -> Admission {
        let vms = self.others.vms() as f64;
        let Some(quota) = self.teams.get_mut(&request.team) else {
            return Admission::Admitted;
        };
        quota.asked.uncounted = quota.asked.uncounted.saturating_add(request.arrivals);
        if request.wait.is_none() {
            // A bucket under one token could never admit a request.
            let part = Part::new(quota.limit.rate / vms, 1.0);
            quota.asked.alone.set_part(part.unwrap_or(Part::ZERO), now);
            if quota.asked.alone.try_take(now) {
                return Admission::Admitted;
            }
        }
        let wait = request.wait.unwrap_or(DEMAND_TIME);
        quota.asked.empty = Some((now + wait.min(EMPTY_TIME), wait));
        Admission::Refused(wait)
    }

    /// The VMs of this region to ask for a team's tokens, in this order.
    fn holders(&mut self, team: &TeamName, now: Instant) -> Vec<VmName> {
        self.look_at_candidates(now);
        let number = self.candidates.number;
        let Some(quota) = self.teams.get_mut(team) else {
            return Vec::new();
        };
        match &quota.holders {
            Some((chosen_from, holders)) if *chosen_from == number => holders.clone(),
            _ => {
                let key = format!("team/{team}");
                let vms = self.candidates.vms.iter().map(VmName::as_str);
                let top = rendezvous::top(&key, vms, HOLDERS);
                let find = |name: &&str| {
                    let mut vms = self.candidates.vms.iter();
                    vms.find(|vm| vm.as_str() == *name).cloned()
                };
                let holders: Vec<VmName> = top.iter().filter_map(find).collect();
                quota.holders = Some((number, holders.clone()));
                holders
            }
        }
    }

    fn look_at_candidates(&mut self, now: Instant) {
        let is_fresh = |at| now.saturating_duration_since(at) < DIVIDE_INTERVAL;
        if self.candidates.looked_at.is_some_and(is_fresh) {
            return;
        }
        let mut vms = self.others.holding_peers(now);
        if !self.leaving || vms.is_empty() {
            vms.push(self.me.clone());
        }
        vms.sort();
        if vms != self.candidates.vms {
            self.candidates.vms = vms;
            self.candidates.number += 1;
        }
        self.candidates.looked_at = Some(now);
    }
}

/// The part of the limit that is due to this VM as one of the team's holders.
///
/// While a region may have stopped telling its arrivals it is the part in
/// force, or before any was in force an even one.
fn due(others: &mut Others, team: &TeamName, quota: &TeamQuota, now: Instant) -> f64 {
    let arrivals = if quota.is_small(others.regions()) {
        quota.held.arrivals.get(now)
    } else {
        quota.held.told
    };
    let region = match others.region_part(team, quota.limit.rate, arrivals, now) {
        Some(part) => part,
        None if quota.held.divided_at.is_some() => return quota.held.share,
        None => others.even_part(),
    };
    let holders = quota
        .holders
        .as_ref()
        .map_or(1, |(_, vms)| vms.len().max(1));
    region * others.reach(now) / holders as f64
}

impl TeamQuota {
    fn new(limit: Limit, now: Instant) -> Self {
        Self {
            limit,
            holders: None,
            held: HeldPart::new(now),
            asked: AskedPart::new(now),
        }
    }

    fn set_limit(&mut self, limit: Limit) {
        if self.limit != limit {
            self.limit = limit;
            self.held.divided_at = None;
        }
    }

    fn is_small(&self, regions: usize) -> bool {
        self.limit.rate < SMALL_PART * regions as f64
    }

    fn divide(&mut self, due: f64, regions: usize, allowance: f64, now: Instant) {
        let at_once = self.is_small(regions);
        let held = &mut self.held;
        let share = held.risen(due, at_once, now);
        held.divided_at = Some(now);
        let rate = self.limit.rate * share;
        // A bucket under one token could never admit a request.
        let burst = ((self.limit.burst + allowance) * share).max(1.0);
        let part = Part::new(rate, burst).unwrap_or(Part::ZERO);
        held.bucket.set_part(part, now);
    }
}

/// A bucket with one token, so that the first request of a quiet team runs.
fn one_token(now: Instant) -> TokenBucket {
    let mut bucket = TokenBucket::new(Part::ZERO, now);
    bucket.add_part(Part::new(0.0, 1.0).unwrap_or(Part::ZERO), 1.0, now);
    bucket
}
