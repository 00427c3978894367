//! How a team's limit is divided over regions, and over VMs that lost contact.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::names::{RegionName, TeamName, VmName};

/// Part of a limit that is divided evenly although all of it is asked for, so
/// that the first requests in a region find tokens.
const LEAST_SPARE: f64 = 0.1;

/// Time without a heartbeat after which a VM counts as silent: several
/// intervals, because single datagrams are lost.
const SILENT_AFTER: Duration = Duration::from_millis(1_600);

/// Age of a heartbeat up to which it stands for the present. Beyond it no
/// larger part is taken, because the sender's arrivals may have grown.
const FRESH_FOR: Duration = Duration::from_millis(650);

/// What other VMs admit.
#[derive(Debug, Default)]
pub(super) struct Others {
    /// Other VMs of this region.
    peers: HashMap<VmName, Peer>,
    /// Other regions, each as a whole.
    regions: HashMap<RegionName, Demand>,
    /// Other VMs of this region that are listed.
    listed_peers: usize,
    /// VMs that are listed in each other region.
    listed: IndexMap<RegionName, usize>,
}

/// Another VM of this region.
#[derive(Debug, Default)]
struct Peer {
    demand: Demand,
    leaving: bool,
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

impl Others {
    pub(super) fn set_listed(&mut self, peers: &[VmName], regions: &IndexMap<RegionName, usize>) {
        self.listed_peers = peers.len();
        self.peers.retain(|vm, _| peers.contains(vm));
        self.listed.clone_from(regions);
        self.regions
            .retain(|region, _| regions.contains_key(region));
    }

    pub(super) fn heard_region(
        &mut self,
        region: RegionName,
        teams: HashMap<TeamName, f64>,
        now: Instant,
    ) {
        self.regions.entry(region).or_default().hear(teams, now);
    }

    /// Returns true when the VM was silent before.
    pub(super) fn heard_peer(
        &mut self,
        vm: VmName,
        teams: HashMap<TeamName, f64>,
        now: Instant,
    ) -> bool {
        let peer = self.peers.entry(vm).or_default();
        let was_silent = peer.leaving || !peer.demand.is_recent(now);
        peer.leaving = false;
        peer.demand.hear(teams, now);
        was_silent
    }

    pub(super) fn peer_leaves(&mut self, vm: &VmName) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.leaving = true;
        }
    }

    /// VMs of this region that are in contact and stay.
    pub(super) fn holding_peers(&self, now: Instant) -> Vec<VmName> {
        let holding = |peer: &Peer| !peer.leaving && peer.demand.is_recent(now);
        let peers = self.peers.iter().filter(|(_, peer)| holding(peer));
        peers.map(|(vm, _)| vm.clone()).collect()
    }

    /// What other VMs of this region that are in contact told.
    pub(super) fn peer_arrivals(&self, now: Instant) -> impl Iterator<Item = (&TeamName, f64)> {
        let recent = move |peer: &&Peer| peer.demand.is_recent(now);
        let peers = self.peers.values().filter(recent);
        peers.flat_map(|peer| {
            peer.demand
                .teams
                .iter()
                .map(|(team, rate)| (team, rate.max(0.0)))
        })
    }

    /// All VMs that are listed, this one included.
    pub(super) fn vms(&self) -> usize {
        1 + self.listed_peers + self.listed.values().sum::<usize>()
    }

    /// All regions, this one included.
    pub(super) fn regions(&self) -> usize {
        1 + self.listed.len()
    }

    /// The part of this region in a limit by the number of its VMs.
    pub(super) fn even_part(&self) -> f64 {
        (1 + self.listed_peers) as f64 / self.vms() as f64
    }

    /// The part of this region's VMs that is in contact with this one.
    ///
    /// VMs that are cut off from each other divide the region's part by their
    /// number, so that both sides have what the other does not.
    pub(super) fn reach(&self, now: Instant) -> f64 {
        let peers = self.peers.values();
        let recent = peers.filter(|peer| peer.demand.is_recent(now)).count();
        (1 + recent) as f64 / (1 + self.listed_peers.max(recent)) as f64
    }

    /// The part of this region in the limit of a team, which is `limit`
    /// requests a second, when `own` requests a second arrive at this VM; from
    /// 0 to 1.
    ///
    /// A region that is silent may still admit the part that it had, because
    /// only the link to it may have failed; that part is left to it. Of the
    /// rest each region has what arrives there, and of what is spare a part by
    /// the number of its VMs; when nothing is spare, it is divided by arrivals.
    ///
    /// `None` while a region or VM may have stopped telling its arrivals.
    pub(super) fn region_part(
        &mut self,
        team: &TeamName,
        limit: f64,
        own: f64,
        now: Instant,
    ) -> Option<f64> {
        if self.is_any_stale(now) {
            return None;
        }
        let all_vms = self.vms();
        let own_vms = 1 + self.listed_peers;
        let own = own + self.arrivals_at_peers(team, now);
        let mut heard_vms = own_vms;
        let mut arrivals = own;
        let mut reserved = 0.0;
        for (region, vms) in &self.listed {
            let even = *vms as f64 / all_vms as f64;
            match self.regions.get(region) {
                Some(demand) if demand.is_recent(now) => {
                    heard_vms += vms;
                    arrivals += demand.arrivals(team);
                }
                Some(demand) => reserved += demand.part(team, even),
                None => reserved += even,
            }
        }
        let left = limit * (1.0 - reserved).max(0.0);
        let spare = (left - arrivals).max(limit * LEAST_SPARE);
        let of_limit = |rate: f64, vms: usize| {
            let weight = rate + spare * vms as f64 / heard_vms as f64;
            left / limit * weight / (arrivals + spare)
        };
        for (region, demand) in &mut self.regions {
            if let Some(vms) = self.listed.get(region)
                && demand.is_recent(now)
            {
                let part = of_limit(demand.arrivals(team), *vms);
                demand.parts.insert(team.clone(), part);
            }
        }
        Some(of_limit(own, own_vms))
    }

    fn is_any_stale(&self, now: Instant) -> bool {
        let mut peers = self.peers.values();
        let mut regions = self.regions.values();
        peers.any(|peer| peer.demand.is_stale(now)) || regions.any(|demand| demand.is_stale(now))
    }

    fn arrivals_at_peers(&self, team: &TeamName, now: Instant) -> f64 {
        let recent = |peer: &&Peer| peer.demand.is_recent(now);
        let peers = self.peers.values().filter(recent);
        peers.map(|peer| peer.demand.arrivals(team)).sum()
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
