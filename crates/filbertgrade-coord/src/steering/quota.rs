//! Keeps each team within its rate and burst over all VMs.
//!
//! Answers one team that sends several times its rate, callers that move from
//! one VM to another, and VMs that lose contact with the others. VMs tell each
//! other the rate at which each team's requests arrive; a VM admits the part
//! of the team's rate that its own arrivals have in the sum.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::bucket::{Part, TokenBucket};
use crate::names::{RegionName, TeamName, VmName};

/// Time over which arrivals are averaged. Shorter makes the parts jump with
/// chance, longer lets callers that moved wait for their part.
const DEMAND_TIME: Duration = Duration::from_millis(1_000);

/// Part of an equal division that a VM keeps without any arrivals, so that
/// its first requests find tokens.
const IDLE_PART: f64 = 0.25;

/// Part of an equal division that counts for a VM that is not heard from. It
/// may still admit requests, because only the link to it may have failed.
const SILENT_PART: f64 = 0.5;

/// How long the last arrivals of a silent VM count in full.
const SILENT_HOLD: Duration = Duration::from_secs(6);

/// How often the parts are computed anew.
const DIVIDE_INTERVAL: Duration = Duration::from_millis(200);

/// A team's limit over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second; zero means no limit.
    pub rate: f64,
    /// Requests beyond the rate.
    pub burst: f64,
}

/// Whether a request is within its team's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is.
    Admitted,
    /// It is not; a token may be there after this time.
    Refused(Duration),
}

/// The parts of this VM in the limits of all teams.
#[derive(Debug, Default)]
pub struct Quotas {
    teams: HashMap<TeamName, TeamPart>,
    others: Others,
}

/// What other VMs admit.
#[derive(Debug, Default)]
struct Others {
    /// Other VMs of this region.
    peers: HashMap<VmName, Demand>,
    /// Other regions, each as a whole.
    regions: HashMap<RegionName, Demand>,
    /// Other VMs of this region that are listed.
    listed_peers: usize,
    /// VMs that are listed in each other region.
    listed: IndexMap<RegionName, usize>,
}

#[derive(Debug)]
struct TeamPart {
    limit: Limit,
    bucket: TokenBucket,
    demand: Rate,
    divided_at: Option<Instant>,
}

/// Arrivals at one VM, or at all VMs of a region.
#[derive(Debug)]
struct Demand {
    heard_at: Instant,
    /// Requests a second by team.
    teams: HashMap<TeamName, f64>,
}

/// An exponentially weighted rate of events.
#[derive(Clone, Debug)]
pub struct Rate {
    per_second: f64,
    at: Instant,
    time: Duration,
}

impl Rate {
    /// Starts at zero; events count with weights that fall over `time`.
    pub fn new(time: Duration, now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
            time,
        }
    }

    /// Counts one event.
    pub fn count(&mut self, now: Instant) {
        self.per_second = self.get(now) + 1.0 / self.time.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Events a second.
    pub fn get(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-elapsed / self.time.as_secs_f64()).exp()
    }
}

impl Quotas {
    /// Replaces the limits of all teams. Teams that keep their limit keep
    /// their tokens; a new team starts without tokens.
    pub fn set_limits(
        &mut self,
        limits: impl IntoIterator<Item = (TeamName, Limit)>,
        now: Instant,
    ) {
        let mut old = std::mem::take(&mut self.teams);
        for (team, limit) in limits {
            let part = match old.remove(&team) {
                Some(mut part) => {
                    part.set_limit(limit);
                    part
                }
                None => TeamPart::new(limit, now),
            };
            self.teams.insert(team, part);
        }
    }

    /// Replaces the list of the other VMs that may admit requests: those of
    /// this region, and the number in each other region. What a VM or region
    /// that is not in it told does not count any more.
    pub fn set_vms(&mut self, peers: &[VmName], regions: &IndexMap<RegionName, usize>) {
        self.others.listed_peers = peers.len();
        self.others.peers.retain(|vm, _| peers.contains(vm));
        self.others.listed.clone_from(regions);
        self.others
            .regions
            .retain(|region, _| regions.contains_key(region));
    }

    /// Notes the arrivals at all VMs of another region.
    pub fn heard_region(
        &mut self,
        region: RegionName,
        teams: HashMap<TeamName, f64>,
        now: Instant,
    ) {
        let heard_at = now;
        self.others
            .regions
            .insert(region, Demand { heard_at, teams });
    }

    /// Arrivals at all VMs of this region by team, for the other regions.
    pub fn region_demand(&self, now: Instant) -> Vec<(TeamName, f64)> {
        let mut sum: IndexMap<TeamName, f64> = self.demand(now).into_iter().collect();
        for peer in self
            .others
            .peers
            .values()
            .filter(|peer| peer.is_recent(now))
        {
            for (team, rate) in &peer.teams {
                *sum.entry(team.clone()).or_default() += rate.max(0.0);
            }
        }
        sum.into_iter().collect()
    }

    /// Notes the arrivals that another VM told.
    pub fn heard(&mut self, vm: VmName, teams: HashMap<TeamName, f64>, now: Instant) {
        let heard_at = now;
        self.others.peers.insert(vm, Demand { heard_at, teams });
    }

    /// Arrivals at this VM by team, in requests a second, for the other VMs.
    pub fn demand(&self, now: Instant) -> Vec<(TeamName, f64)> {
        self.teams
            .iter()
            .filter(|(_, part)| part.limit.rate > 0.0)
            .map(|(team, part)| (team.clone(), part.demand.get(now)))
            .filter(|(_, rate)| *rate > 0.01)
            .collect()
    }

    /// Counts a request of a team, and admits it if a token is left.
    pub fn admit(&mut self, team: &TeamName, now: Instant) -> Admission {
        let Some(part) = self.teams.get_mut(team) else {
            return Admission::Admitted;
        };
        part.demand.count(now);
        if part.limit.rate <= 0.0 {
            return Admission::Admitted;
        }
        if part.is_division_due(now) {
            let share = share(&self.others, team, part, now);
            part.divide(share, now);
        }
        if part.bucket.try_take(now) {
            return Admission::Admitted;
        }
        let wait = part.bucket.time_until(1, now);
        Admission::Refused(wait.unwrap_or(DEMAND_TIME))
    }
}

impl Others {
    fn vms(&self) -> usize {
        1 + self.listed_peers + self.listed.values().sum::<usize>()
    }
}

impl Demand {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) <= SILENT_HOLD
    }

    /// What counts for `vms` VMs, when an equal division gives each `equal`.
    fn weight(&self, team: &TeamName, vms: usize, equal: f64, now: Instant) -> f64 {
        if !self.is_recent(now) {
            return vms as f64 * equal * SILENT_PART;
        }
        let rate = self.teams.get(team).copied().unwrap_or(0.0);
        rate.max(0.0) + vms as f64 * equal * IDLE_PART
    }
}

/// The part of this VM in a team's limit, from 0 to 1.
fn share(others: &Others, team: &TeamName, part: &TeamPart, now: Instant) -> f64 {
    let equal = part.limit.rate / others.vms() as f64;
    let silent = equal * SILENT_PART;
    let mut sum = 0.0;
    for peer in others.peers.values() {
        sum += peer.weight(team, 1, equal, now);
    }
    // VMs of which nothing was heard yet.
    sum += others.listed_peers.saturating_sub(others.peers.len()) as f64 * silent;
    for (region, vms) in &others.listed {
        sum += match others.regions.get(region) {
            Some(demand) => demand.weight(team, *vms, equal, now),
            None => *vms as f64 * silent,
        };
    }
    let own = part.demand.get(now) + equal * IDLE_PART;
    own / (own + sum)
}

impl TeamPart {
    fn new(limit: Limit, now: Instant) -> Self {
        Self {
            limit,
            bucket: TokenBucket::new(Part::ZERO, now),
            demand: Rate::new(DEMAND_TIME, now),
            divided_at: None,
        }
    }

    fn set_limit(&mut self, limit: Limit) {
        if self.limit != limit {
            self.limit = limit;
            self.divided_at = None;
        }
    }

    fn is_division_due(&self, now: Instant) -> bool {
        self.divided_at
            .is_none_or(|at| now.saturating_duration_since(at) >= DIVIDE_INTERVAL)
    }

    fn divide(&mut self, share: f64, now: Instant) {
        let first = self.divided_at.is_none();
        self.divided_at = Some(now);
        let rate = self.limit.rate * share;
        // A bucket under one token could never admit a request.
        let burst = (self.limit.burst * share).max(1.0);
        let part = Part::new(rate, burst).unwrap_or(Part::ZERO);
        self.bucket.set_part(part, now);
        if first {
            // One token, so that the first request of a quiet team runs.
            self.bucket.add_part(Part::ZERO, 1.0, now);
        }
    }
}
