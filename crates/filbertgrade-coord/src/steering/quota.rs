//! Keeps each team within its rate and burst over all VMs.
//!
//! Answers one team that sends several times its rate, callers that move from
//! one VM to another, and VMs that lose contact with the others. VMs tell each
//! other the rate at which each team's requests arrive; a VM admits the part
//! of the team's rate that its own arrivals have in the sum.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::bucket::{Part, TokenBucket};
use crate::names::{RegionName, TeamName, VmName};

/// Time over which arrivals are averaged. Shorter makes the parts jump with
/// chance, longer lets callers that moved wait for their part.
const DEMAND_TIME: Duration = Duration::from_millis(700);

/// Part of a limit that is divided evenly although all of it is asked for, so
/// that the first requests at a VM find tokens.
const LEAST_SPARE: f64 = 0.1;

/// Time without a heartbeat after which a VM counts as silent: several
/// intervals, because single datagrams are lost.
const SILENT_AFTER: Duration = Duration::from_millis(1_600);

/// Age of a heartbeat up to which it stands for the present. Beyond it a VM
/// takes no larger part, because the sender's arrivals may have grown.
const FRESH_FOR: Duration = Duration::from_millis(650);

/// Requests a second of an equal part below which a VM takes a larger part at
/// once. Single requests make such parts jump, and what all VMs together admit
/// too much stays within the requests that users bear beyond a limit.
const SMALL_PART: f64 = 4.0;

/// How long a larger part must be due before it is taken. Arrivals of another
/// region are heard of after two intervals of heartbeats.
const RISE_AFTER: Duration = Duration::from_millis(800);

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
    /// Tokens beyond all bursts that users bear, over all VMs.
    allowance: f64,
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
    /// Arrivals that the other VMs were told last, in requests a second.
    told: f64,
    divided_at: Option<Instant>,
    /// Parts that were due lately, oldest first.
    due: VecDeque<(Instant, f64)>,
    /// The part in force.
    share: f64,
}

/// Arrivals at one VM, or at all VMs of a region.
#[derive(Debug, Default)]
struct Demand {
    /// `None` before anything was heard.
    heard_at: Option<Instant>,
    /// Requests a second by team.
    teams: HashMap<TeamName, f64>,
    /// Parts in the limits of teams when they were last divided.
    parts: HashMap<TeamName, f64>,
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
        self.others
            .regions
            .entry(region)
            .or_default()
            .hear(teams, now);
    }

    /// Arrivals at all VMs of this region by team, for the other regions.
    pub fn region_demand(&mut self, now: Instant) -> Vec<(TeamName, f64)> {
        let mut sum: IndexMap<TeamName, f64> = self.demand(now).into_iter().collect();
        // A silent VM may still admit what it did.
        for peer in self.others.peers.values() {
            for (team, rate) in &peer.teams {
                *sum.entry(team.clone()).or_default() += rate.max(0.0);
            }
        }
        sum.into_iter().collect()
    }

    /// Notes the arrivals that another VM told.
    pub fn heard(&mut self, vm: VmName, teams: HashMap<TeamName, f64>, now: Instant) {
        self.others.peers.entry(vm).or_default().hear(teams, now);
    }

    /// Arrivals at this VM by team, in requests a second, for the other VMs.
    ///
    /// Parts are divided by what was told last, so that a VM does not see its
    /// own arrivals grow before those of others.
    pub fn demand(&mut self, now: Instant) -> Vec<(TeamName, f64)> {
        self.teams
            .iter_mut()
            .filter(|(_, part)| part.limit.rate > 0.0)
            .map(|(team, part)| {
                part.told = part.demand.get(now);
                (team.clone(), part.told)
            })
            .filter(|(_, rate)| *rate > 0.01)
            .collect()
    }

    /// Sets how many requests beyond rate and burst users bear in a window, over
    /// all VMs. Each VM gets an even part, because a share of a small burst is
    /// less than one request.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
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
            let is_small = part.limit.rate < SMALL_PART * self.others.vms() as f64;
            let arrivals = if is_small {
                part.demand.get(now)
            } else {
                part.told
            };
            let due = share(&mut self.others, team, part, arrivals, now);
            let share = part.risen(due, is_small, now);
            let spare_burst = self.allowance / self.others.vms() as f64;
            part.divide(share, spare_burst, now);
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

    /// What was heard of each VM of this region and of each other region, with
    /// the number of VMs that it speaks for.
    fn all(&self) -> impl Iterator<Item = (Option<&Demand>, usize)> {
        let peers = self.peers.values().map(|demand| (Some(demand), 1));
        let regions = self.listed.iter();
        peers.chain(regions.map(|(region, vms)| (self.regions.get(region), *vms)))
    }

    fn all_mut(&mut self) -> impl Iterator<Item = (&mut Demand, usize)> {
        let listed = &self.listed;
        let peers = self.peers.values_mut().map(|demand| (demand, 1));
        let regions = self
            .regions
            .iter_mut()
            .filter_map(|(region, demand)| listed.get(region).map(|vms| (demand, *vms)));
        peers.chain(regions)
    }
}

impl Demand {
    fn is_recent(&self, now: Instant) -> bool {
        self.heard_at
            .is_some_and(|at| now.saturating_duration_since(at) <= SILENT_AFTER)
    }

    /// It may have stopped telling, and is not yet taken for silent.
    fn is_stale(&self, now: Instant) -> bool {
        let age = self.heard_at.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age > FRESH_FOR && age <= SILENT_AFTER)
    }

    fn hear(&mut self, teams: HashMap<TeamName, f64>, now: Instant) {
        self.heard_at = Some(now);
        self.teams = teams;
    }

    /// Arrivals of a team, in requests a second.
    fn arrivals(&self, team: &TeamName) -> f64 {
        self.teams.get(team).copied().unwrap_or(0.0).max(0.0)
    }

    /// The part in the limit of a team when it was last divided.
    fn part(&self, team: &TeamName, unknown: f64) -> f64 {
        self.parts.get(team).copied().unwrap_or(unknown)
    }
}

/// The part of this VM, where `own` requests a second arrive, in a team's
/// limit; from 0 to 1.
///
/// A VM that is silent may still admit the part that it had, because only the
/// link to it may have failed. That part is left to it until it is no longer
/// listed. Of the rest each VM has what arrives there, and an even part of what
/// is spare; when nothing is spare, it is divided by arrivals.
///
/// `None` while a VM may have stopped telling its arrivals.
fn share(
    others: &mut Others,
    team: &TeamName,
    part: &TeamPart,
    own: f64,
    now: Instant,
) -> Option<f64> {
    if others
        .all()
        .any(|(demand, _)| demand.is_some_and(|demand| demand.is_stale(now)))
    {
        return None;
    }
    let equal = 1.0 / others.vms() as f64;
    let mut heard_vms = 1;
    let mut arrivals = own;
    // VMs of which nothing was heard yet have an equal part.
    let unheard = others.listed_peers.saturating_sub(others.peers.len());
    let mut reserved = unheard as f64 * equal;
    for (demand, vms) in others.all() {
        match demand {
            Some(demand) if demand.is_recent(now) => {
                heard_vms += vms;
                arrivals += demand.arrivals(team);
            }
            Some(demand) => reserved += demand.part(team, vms as f64 * equal),
            None => reserved += vms as f64 * equal,
        }
    }
    let left = part.limit.rate * (1.0 - reserved).max(0.0);
    let spare = (left - arrivals).max(part.limit.rate * LEAST_SPARE);
    let of_limit = |rate: f64, vms: usize| {
        let weight = rate + spare * vms as f64 / heard_vms as f64;
        left / part.limit.rate * weight / (arrivals + spare)
    };
    for (demand, vms) in others.all_mut() {
        if demand.is_recent(now) {
            let rate = demand.arrivals(team);
            demand.parts.insert(team.clone(), of_limit(rate, vms));
        }
    }
    Some(of_limit(own, 1))
}

impl TeamPart {
    fn new(limit: Limit, now: Instant) -> Self {
        Self {
            limit,
            bucket: TokenBucket::new(Part::ZERO, now),
            demand: Rate::new(DEMAND_TIME, now),
            told: 0.0,
            divided_at: None,
            due: VecDeque::new(),
            share: 0.0,
        }
    }

    /// The part to take when `due` is due: `at_once` or when it is smaller, and
    /// otherwise after a while.
    fn risen(&mut self, due: Option<f64>, at_once: bool, now: Instant) -> f64 {
        let due = match due {
            Some(due) => due,
            None if self.divided_at.is_some() => self.share,
            None => return 0.0,
        };
        self.due.push_back((now, due));
        while let Some((at, _)) = self.due.front() {
            if now.saturating_duration_since(*at) <= RISE_AFTER {
                break;
            }
            self.due.pop_front();
        }
        let least = self.due.iter().map(|(_, due)| *due).fold(1.0, f64::min);
        self.share = if at_once { due } else { least };
        self.share
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

    fn divide(&mut self, share: f64, spare_burst: f64, now: Instant) {
        let first = self.divided_at.is_none();
        self.divided_at = Some(now);
        let rate = self.limit.rate * share;
        // A bucket under one token could never admit a request.
        let burst = (self.limit.burst * share + spare_burst).max(1.0);
        let part = Part::new(rate, burst).unwrap_or(Part::ZERO);
        self.bucket.set_part(part, now);
        if first {
            // One token, so that the first request of a quiet team runs.
            self.bucket.add_part(Part::ZERO, 1.0, now);
        }
    }
}
