//! Keeps each team within its rate and burst over all VMs.
//!
//! Designed for one team that sends several times its rate, teams whose
//! requests arrive at many VMs so that each VM sees less than one a second,
//! callers that move from one VM to another, and VMs that lose contact with
//! each other.
//!
//! A team's limit is divided over regions by the arrivals there. Within a region
//! a few VMs, the team's [holders](HOLDERS), keep the region's share in token
//! buckets, and the other VMs request tokens from them. A VM whose token
//! requests time out falls back to a small bucket of its own. To leave room for
//! these fallback buckets, holders reduce their share by the fraction of the
//! region's VMs from which heartbeats have timed out.

mod division;
mod holder;
mod rate;
mod requester;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use self::division::RemoteDemand;
use self::holder::HolderState;
use self::requester::RequesterState;
use crate::bucket::{RateShare, TokenBucket};
use crate::names::{RegionName, TeamName, VmName};
use crate::rendezvous;

/// Number of VMs in a region that hold a team's tokens. With more than one, the
/// team is served while one of them is down and has not timed out yet.
pub const HOLDERS: usize = 2;

/// Window over which arrivals are averaged. A shorter one makes the shares
/// fluctuate with random arrivals; a longer one delays the tokens of callers
/// that moved to another region.
const DEMAND_WINDOW: Duration = Duration::from_millis(700);

/// A larger share is applied immediately when the limit, divided evenly over the
/// regions, is less than this rate in requests a second. Single requests make
/// such shares fluctuate, and the excess that this admits stays within the
/// allowance.
const SMALL_SHARE_RATE: f64 = 8.0;

/// Interval at which shares are computed and the holder candidates refreshed.
const DIVISION_INTERVAL: Duration = Duration::from_millis(200);

/// A VM requests tokens for the arrivals that it expects in this time, so that
/// a team with many requests needs few token requests.
const PREFETCH_WINDOW: Duration = Duration::from_millis(100);

/// Longest time for which a VM refuses a team's requests without another token
/// request.
const MAX_EMPTY_TIME: Duration = Duration::from_millis(50);

/// How long no tokens are requested from a holder after it did not respond.
const HOLDER_BACKOFF: Duration = Duration::from_secs(1);

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
    /// The request is admitted.
    Admitted,
    /// No token is left; one may be available after this time.
    Refused(Duration),
    /// Tokens have to be requested from a holder. Its response is passed to
    /// [`Quotas::handle_response`], and a time-out to
    /// [`Quotas::handle_timeout`]; both return the next step.
    RequestTokens(TokenRequest),
}

/// A token request to a holder.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenRequest {
    /// The team.
    pub team: TeamName,
    /// The VM to which the request is sent.
    pub holder: VmName,
    /// Number of tokens that are wanted, at least one.
    pub tokens: u32,
    /// Arrivals of the team that have not been reported to a holder.
    pub arrivals: u32,
    /// Index of the holder among those of the team.
    rank: usize,
    /// The shortest wait that a holder has reported; `None` while none has.
    wait: Option<Duration>,
}

/// A holder's response to a token request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Grant {
    /// Number of tokens granted: at least one and at most as many as were
    /// requested.
    Tokens(u32),
    /// No token is left; one may be available after this time.
    Empty(Duration),
    /// The VM is not a holder of the team by its own list of VMs.
    NotHolder,
}

/// The limits of all teams as one VM enforces them: as a requester, and for
/// some teams as a holder.
#[derive(Debug)]
pub struct Quotas {
    local_vm: VmName,
    /// This VM is about to stop and no longer a holder.
    leaving: bool,
    teams: HashMap<TeamName, TeamQuota>,
    remote: RemoteDemand,
    candidates: HolderCandidates,
    /// Holders that did not respond, and until when each of them is skipped.
    holder_backoff: HashMap<VmName, Instant>,
    /// Allowed excess of a team over its rate and burst, in requests over all VMs.
    allowance: f64,
}

/// VMs of this region that can be holders: this one, and those in contact with
/// it that are not about to stop.
#[derive(Debug, Default)]
struct HolderCandidates {
    /// Sorted by name.
    vms: Vec<VmName>,
    /// Incremented whenever `vms` changes.
    generation: u64,
    /// `None` when the candidates have to be refreshed before the next use.
    refreshed_at: Option<Instant>,
}

#[derive(Debug)]
struct TeamQuota {
    limit: Limit,
    /// The VMs that hold the team's tokens, in the order in which they are
    /// tried, and the generation of the candidates that they were chosen from.
    holders: Option<(u64, Vec<VmName>)>,
    holder_state: HolderState,
    requester_state: RequesterState,
}

impl Quotas {
    /// Starts without limits and without other VMs.
    pub fn new(local_vm: VmName) -> Self {
        Self {
            local_vm,
            leaving: false,
            teams: HashMap::new(),
            remote: RemoteDemand::default(),
            candidates: HolderCandidates::default(),
            holder_backoff: HashMap::new(),
            allowance: 0.0,
        }
    }

    /// Replaces the limits of all teams. A team that was known before keeps its
    /// tokens; a new one starts with one token in each bucket.
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

    /// Sets the allowed excess: how many requests of a team beyond rate and
    /// burst may be admitted in a window, over all VMs.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Replaces the list of the other VMs that may admit requests: the names of
    /// those in this region, and the number of them in each other region.
    /// Reports of VMs and regions that are not on the list are dropped.
    pub fn set_vms(&mut self, peers: &[VmName], regions: &IndexMap<RegionName, usize>) {
        self.remote.set_listed(peers, regions);
        self.holder_backoff.retain(|vm, _| peers.contains(vm));
        self.candidates.refreshed_at = None;
    }

    /// Records the arrivals at all VMs of another region, in requests a second
    /// by team.
    pub fn record_region_demand(
        &mut self,
        region: RegionName,
        arrivals: HashMap<TeamName, f64>,
        now: Instant,
    ) {
        self.remote.record_region(region, arrivals, now);
    }

    /// Records the arrivals that another VM of this region counts as a holder,
    /// in requests a second by team.
    pub fn record_peer_demand(
        &mut self,
        vm: VmName,
        arrivals: HashMap<TeamName, f64>,
        now: Instant,
    ) {
        if self.remote.record_peer(vm, arrivals, now) {
            self.candidates.refreshed_at = None;
        }
    }

    /// Records that another VM of this region is about to stop. It is no longer a
    /// holder, but may still request tokens.
    pub fn mark_peer_leaving(&mut self, vm: &VmName) {
        self.remote.mark_peer_leaving(vm);
        self.candidates.refreshed_at = None;
    }

    /// Records that this VM is about to stop. It is no longer a holder, unless
    /// no other VM of the region can be one.
    pub fn mark_leaving(&mut self) {
        self.leaving = true;
        self.candidates.refreshed_at = None;
    }

    /// Arrivals by team that this VM counts as a holder, in requests a second,
    /// to be reported to the other VMs of the region. The teams closest to or
    /// furthest over their limits come first.
    ///
    /// Shares are computed from the values reported last. Otherwise a VM would
    /// see its own arrivals grow before those of others.
    pub fn demand(&mut self, now: Instant) -> Vec<(TeamName, f64)> {
        let demand = self
            .teams
            .iter_mut()
            .filter(|(_, quota)| quota.limit.rate > 0.0)
            .map(|(team, quota)| {
                quota.holder_state.reported = quota.holder_state.arrivals.get(now);
                (team.clone(), quota.holder_state.reported)
            })
            .filter(|(_, rate)| *rate > 0.01)
            .collect();
        self.sort_by_utilization(demand)
    }

    /// Arrivals in this region by team, in requests a second, to be reported to
    /// the other regions. The teams closest to or furthest over their limits come
    /// first.
    pub fn region_demand(&mut self, now: Instant) -> Vec<(TeamName, f64)> {
        let mut sum: IndexMap<TeamName, f64> = self.demand(now).into_iter().collect();
        for (team, rate) in self.remote.peer_arrivals(now) {
            *sum.entry(team.clone()).or_default() += rate;
        }
        self.sort_by_utilization(sum.into_iter().collect())
    }

    /// Sorts teams by the fraction of their limits that they use, most first. A
    /// report that is cut then omits teams whose arrivals do not affect how
    /// their limits are kept.
    fn sort_by_utilization(&self, mut demand: Vec<(TeamName, f64)>) -> Vec<(TeamName, f64)> {
        let utilization = |(team, rate): &(TeamName, f64)| {
            let limit = self.teams.get(team).map_or(0.0, |quota| quota.limit.rate);
            if limit > 0.0 { rate / limit } else { 0.0 }
        };
        demand.sort_by(|a, b| utilization(b).total_cmp(&utilization(a)));
        demand
    }

    /// Decides whether a request of a team is within its limit. A team that is
    /// not known is not limited.
    pub fn admit(&mut self, team: &TeamName, now: Instant) -> Admission {
        let Some(quota) = self.teams.get_mut(team) else {
            return Admission::Admitted;
        };
        if quota.limit.rate <= 0.0 {
            return Admission::Admitted;
        }
        let requester = &mut quota.requester_state;
        requester.arrivals.record(1, now);
        requester.unreported = requester.unreported.saturating_add(1);
        if requester.take_prefetched(now) {
            return Admission::Admitted;
        }
        if let Some((until, wait)) = requester.empty
            && now < until
        {
            return Admission::Refused(wait);
        }
        let prefetch = requester.arrivals.get(now) * PREFETCH_WINDOW.as_secs_f64();
        let request = TokenRequest {
            team: team.clone(),
            holder: self.local_vm.clone(),
            tokens: 1 + prefetch as u32,
            arrivals: std::mem::take(&mut requester.unreported),
            rank: 0,
            wait: None,
        };
        self.try_holders(request, now)
    }

    /// Returns the next step after a holder's response.
    pub fn handle_response(
        &mut self,
        request: TokenRequest,
        grant: Grant,
        now: Instant,
    ) -> Admission {
        self.holder_backoff.remove(&request.holder);
        self.apply_grant(request, grant, now)
    }

    /// Returns the next step when a holder does not respond in time.
    pub fn handle_timeout(&mut self, mut request: TokenRequest, now: Instant) -> Admission {
        self.holder_backoff
            .insert(request.holder.clone(), now + HOLDER_BACKOFF);
        request.rank += 1;
        self.try_holders(request, now)
    }

    /// Handles a token request as a holder, and counts the arrivals that it
    /// reports.
    pub fn grant(&mut self, team: &TeamName, tokens: u32, arrivals: u32, now: Instant) -> Grant {
        if !self.holders(team, now).contains(&self.local_vm) {
            return Grant::NotHolder;
        }
        let Some(quota) = self.teams.get_mut(team) else {
            return Grant::NotHolder;
        };
        quota.holder_state.arrivals.record(arrivals, now);
        if quota.holder_state.is_division_due(now) {
            let target = target_share(&mut self.remote, team, quota, now);
            quota.apply_share(target, self.remote.region_count(), self.allowance, now);
        }
        quota.holder_state.grant(tokens.max(1), now)
    }

    /// Tries the remaining holders in their order. When this VM is one of them,
    /// it grants the token itself; for another one, the token request is
    /// returned.
    fn try_holders(&mut self, mut request: TokenRequest, now: Instant) -> Admission {
        let holders = self.holders(&request.team, now);
        while let Some(holder) = holders.get(request.rank) {
            if *holder == self.local_vm {
                let grant = self.grant(&request.team, 1, request.arrivals, now);
                return self.apply_grant(request, grant, now);
            }
            if self
                .holder_backoff
                .get(holder)
                .is_none_or(|until| now >= *until)
            {
                request.holder = holder.clone();
                return Admission::RequestTokens(request);
            }
            request.rank += 1;
        }
        self.admit_without_holders(&request, now)
    }

    fn apply_grant(&mut self, mut request: TokenRequest, grant: Grant, now: Instant) -> Admission {
        match grant {
            Grant::Tokens(tokens) => {
                if let Some(quota) = self.teams.get_mut(&request.team) {
                    quota
                        .requester_state
                        .set_prefetched(tokens.saturating_sub(1), now);
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
        self.try_holders(request, now)
    }

    /// Decides when no holder is left to try. The fallback bucket is used only
    /// when no holder has responded that it is empty.
    fn admit_without_holders(&mut self, request: &TokenRequest, now: Instant) -> Admission {
        let vms = self.remote.vm_count() as f64;
        let Some(quota) = self.teams.get_mut(&request.team) else {
            return Admission::Admitted;
        };
        quota.requester_state.unreported = quota
            .requester_state
            .unreported
            .saturating_add(request.arrivals);
        if request.wait.is_none() {
            // A bucket under one token could never admit a request.
            let rate_share = RateShare::new(quota.limit.rate / vms, 1.0);
            quota
                .requester_state
                .fallback
                .set_share(rate_share.unwrap_or(RateShare::ZERO), now);
            if quota.requester_state.fallback.try_take(now) {
                return Admission::Admitted;
            }
        }
        let wait = request.wait.unwrap_or(DEMAND_WINDOW);
        quota.requester_state.empty = Some((now + wait.min(MAX_EMPTY_TIME), wait));
        Admission::Refused(wait)
    }

    /// The VMs of this region that hold a team's tokens, in the order in which
    /// they are tried.
    fn holders(&mut self, team: &TeamName, now: Instant) -> Vec<VmName> {
        self.refresh_candidates(now);
        let generation = self.candidates.generation;
        let Some(quota) = self.teams.get_mut(team) else {
            return Vec::new();
        };
        match &quota.holders {
            Some((chosen_from, holders)) if *chosen_from == generation => holders.clone(),
            _ => {
                let key = format!("team/{team}");
                let vms = self.candidates.vms.iter().map(VmName::as_str);
                let top = rendezvous::top(&key, vms, HOLDERS);
                let find = |name: &&str| {
                    let mut vms = self.candidates.vms.iter();
                    vms.find(|vm| vm.as_str() == *name).cloned()
                };
                let holders: Vec<VmName> = top.iter().filter_map(find).collect();
                quota.holders = Some((generation, holders.clone()));
                holders
            }
        }
    }

    fn refresh_candidates(&mut self, now: Instant) {
        let is_fresh = |at| now.saturating_duration_since(at) < DIVISION_INTERVAL;
        if self.candidates.refreshed_at.is_some_and(is_fresh) {
            return;
        }
        let mut vms = self.remote.holder_candidates(now);
        if !self.leaving || vms.is_empty() {
            vms.push(self.local_vm.clone());
        }
        vms.sort();
        if vms != self.candidates.vms {
            self.candidates.vms = vms;
            self.candidates.generation += 1;
        }
        self.candidates.refreshed_at = Some(now);
    }
}

/// The share of the limit, from 0 to 1, that this VM should apply as one of the
/// team's holders.
///
/// While the report of a VM or region is overdue, it is the share in force, or
/// one by the number of VMs if none has been computed for this limit.
fn target_share(
    remote: &mut RemoteDemand,
    team: &TeamName,
    quota: &TeamQuota,
    now: Instant,
) -> f64 {
    let arrivals = if quota.has_small_shares(remote.region_count()) {
        quota.holder_state.arrivals.get(now)
    } else {
        quota.holder_state.reported
    };
    let region = match remote.region_share(team, quota.limit.rate, arrivals, now) {
        Some(share) => share,
        None if quota.holder_state.divided_at.is_some() => return quota.holder_state.share,
        None => remote.even_share(),
    };
    let holders = quota
        .holders
        .as_ref()
        .map_or(1, |(_, vms)| vms.len().max(1));
    region * remote.reachable_fraction(now) / holders as f64
}

impl TeamQuota {
    fn new(limit: Limit, now: Instant) -> Self {
        Self {
            limit,
            holders: None,
            holder_state: HolderState::new(now),
            requester_state: RequesterState::new(now),
        }
    }

    fn set_limit(&mut self, limit: Limit) {
        if self.limit != limit {
            self.limit = limit;
            self.holder_state.divided_at = None;
        }
    }

    fn has_small_shares(&self, regions: usize) -> bool {
        self.limit.rate < SMALL_SHARE_RATE * regions as f64
    }

    fn apply_share(&mut self, target: f64, regions: usize, allowance: f64, now: Instant) {
        let at_once = self.has_small_shares(regions);
        let holder = &mut self.holder_state;
        let share = holder.update_share(target, at_once, now);
        holder.divided_at = Some(now);
        let rate = self.limit.rate * share;
        // A bucket under one token could never admit a request.
        let burst = ((self.limit.burst + allowance) * share).max(1.0);
        let rate_share = RateShare::new(rate, burst).unwrap_or(RateShare::ZERO);
        holder.bucket.set_share(rate_share, now);
    }
}

/// A bucket that starts with one token, so that the first request of a team
/// with few requests is admitted.
fn one_token_bucket(now: Instant) -> TokenBucket {
    let mut bucket = TokenBucket::new(RateShare::ZERO, now);
    bucket.add_share(
        RateShare::new(0.0, 1.0).unwrap_or(RateShare::ZERO),
        1.0,
        now,
    );
    bucket
}
