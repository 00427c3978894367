//! Divides a team's limit over regions, and within a region over VMs that have
//! lost contact with each other.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::names::{RegionName, TeamName, VmName};

/// Fraction of a limit that is divided by the number of VMs even when arrivals
/// use up the whole limit, so that the first requests in a region find tokens.
const MIN_SPARE_FRACTION: f64 = 0.1;

/// Time without a heartbeat after which a VM is out of contact. It spans
/// several heartbeat intervals, because single datagrams are lost.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Age up to which a heartbeat describes the present. While one is older, no
/// larger share is applied, because the sender's arrivals may have grown.
const MAX_FRESH_AGE: Duration = Duration::from_millis(650);

/// Arrivals that other VMs and regions have reported.
#[derive(Debug, Default)]
pub(super) struct RemoteDemand {
    /// Other VMs of this region.
    peers: HashMap<VmName, Peer>,
    /// Other regions, each as a whole.
    regions: HashMap<RegionName, Demand>,
    /// Number of other VMs of this region that the store lists.
    listed_peers: usize,
    /// Number of VMs that the store lists in each other region.
    listed_regions: IndexMap<RegionName, usize>,
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
    /// `None` before the first report.
    received_at: Option<Instant>,
    /// Requests a second by team.
    arrivals: HashMap<TeamName, f64>,
    /// Shares of teams' limits, from 0 to 1, as of their last division.
    shares: HashMap<TeamName, f64>,
}

impl RemoteDemand {
    pub(super) fn set_listed(&mut self, peers: &[VmName], regions: &IndexMap<RegionName, usize>) {
        self.listed_peers = peers.len();
        self.peers.retain(|vm, _| peers.contains(vm));
        self.listed_regions.clone_from(regions);
        self.regions
            .retain(|region, _| regions.contains_key(region));
    }

    pub(super) fn record_region(
        &mut self,
        region: RegionName,
        arrivals: HashMap<TeamName, f64>,
        now: Instant,
    ) {
        self.regions
            .entry(region)
            .or_default()
            .update(arrivals, now);
    }

    /// Returns true when the VM becomes a candidate for holder by this report:
    /// it was out of contact or leaving before.
    pub(super) fn record_peer(
        &mut self,
        vm: VmName,
        arrivals: HashMap<TeamName, f64>,
        now: Instant,
    ) -> bool {
        let peer = self.peers.entry(vm).or_default();
        let is_back = peer.leaving || !peer.demand.is_in_contact(now);
        peer.leaving = false;
        peer.demand.update(arrivals, now);
        is_back
    }

    pub(super) fn mark_peer_leaving(&mut self, vm: &VmName) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.leaving = true;
        }
    }

    /// Other VMs of this region that can be holders: those in contact that are
    /// not about to stop.
    pub(super) fn holder_candidates(&self, now: Instant) -> Vec<VmName> {
        let is_candidate = |peer: &Peer| !peer.leaving && peer.demand.is_in_contact(now);
        let peers = self.peers.iter().filter(|(_, peer)| is_candidate(peer));
        peers.map(|(vm, _)| vm.clone()).collect()
    }

    /// Arrivals in requests a second that the other VMs of this region reported,
    /// one item for each team of each VM in contact.
    pub(super) fn peer_arrivals(&self, now: Instant) -> impl Iterator<Item = (&TeamName, f64)> {
        let in_contact = move |peer: &&Peer| peer.demand.is_in_contact(now);
        let peers = self.peers.values().filter(in_contact);
        peers.flat_map(|peer| {
            peer.demand
                .arrivals
                .iter()
                .map(|(team, rate)| (team, rate.max(0.0)))
        })
    }

    /// Number of all VMs that the store lists, including this one.
    pub(super) fn vm_count(&self) -> usize {
        1 + self.listed_peers + self.listed_regions.values().sum::<usize>()
    }

    /// Number of all regions, including this one.
    pub(super) fn region_count(&self) -> usize {
        1 + self.listed_regions.len()
    }

    /// This region's share of a limit that is divided by the number of VMs.
    pub(super) fn even_share(&self) -> f64 {
        (1 + self.listed_peers) as f64 / self.vm_count() as f64
    }

    /// Fraction of this region's VMs that are in contact with this one, itself
    /// included.
    ///
    /// When a region is partitioned, each side takes this fraction of the
    /// region's share, so that the sides do not use the same tokens.
    pub(super) fn reachable_fraction(&self, now: Instant) -> f64 {
        let peers = self.peers.values();
        let in_contact = peers.filter(|peer| peer.demand.is_in_contact(now)).count();
        (1 + in_contact) as f64 / (1 + self.listed_peers.max(in_contact)) as f64
    }

    /// This region's share of the limit of a team, from 0 to 1. The limit is
    /// `limit` requests a second, and `own` requests a second arrive at this VM.
    ///
    /// A region that is out of contact may still admit its last share, because
    /// only the link to it may have failed; that share stays reserved for it.
    /// The rest is divided over the other regions: each gets what arrives there
    /// plus a part of the spare rate in proportion to its number of VMs. When
    /// arrivals exceed the rest, it is divided almost in proportion to them.
    ///
    /// Returns `None` while the last report of a region or VM is overdue.
    pub(super) fn region_share(
        &mut self,
        team: &TeamName,
        limit: f64,
        own: f64,
        now: Instant,
    ) -> Option<f64> {
        if self.is_any_overdue(now) {
            return None;
        }
        let all_vms = self.vm_count();
        let own_vms = 1 + self.listed_peers;
        let own = own + self.arrivals_at_peers(team, now);
        let mut reporting_vms = own_vms;
        let mut arrivals = own;
        let mut reserved = 0.0;
        for (region, vms) in &self.listed_regions {
            let even = *vms as f64 / all_vms as f64;
            match self.regions.get(region) {
                Some(demand) if demand.is_in_contact(now) => {
                    reporting_vms += vms;
                    arrivals += demand.arrivals(team);
                }
                Some(demand) => reserved += demand.last_share(team, even),
                None => reserved += even,
            }
        }
        let available = limit * (1.0 - reserved).max(0.0);
        let spare = (available - arrivals).max(limit * MIN_SPARE_FRACTION);
        let share = |rate: f64, vms: usize| {
            let weight = rate + spare * vms as f64 / reporting_vms as f64;
            available / limit * weight / (arrivals + spare)
        };
        for (region, demand) in &mut self.regions {
            if let Some(vms) = self.listed_regions.get(region)
                && demand.is_in_contact(now)
            {
                let share = share(demand.arrivals(team), *vms);
                demand.shares.insert(team.clone(), share);
            }
        }
        Some(share(own, own_vms))
    }

    fn is_any_overdue(&self, now: Instant) -> bool {
        let mut peers = self.peers.values();
        let mut regions = self.regions.values();
        peers.any(|peer| peer.demand.is_overdue(now))
            || regions.any(|demand| demand.is_overdue(now))
    }

    fn arrivals_at_peers(&self, team: &TeamName, now: Instant) -> f64 {
        let in_contact = |peer: &&Peer| peer.demand.is_in_contact(now);
        let peers = self.peers.values().filter(in_contact);
        peers.map(|peer| peer.demand.arrivals(team)).sum()
    }
}

impl Demand {
    fn is_in_contact(&self, now: Instant) -> bool {
        self.received_at
            .is_some_and(|at| now.saturating_duration_since(at) <= CONTACT_TIMEOUT)
    }

    /// The last report is too old to describe the present, but the sender has
    /// not timed out yet.
    fn is_overdue(&self, now: Instant) -> bool {
        let age = self.received_at.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age > MAX_FRESH_AGE && age <= CONTACT_TIMEOUT)
    }

    fn update(&mut self, arrivals: HashMap<TeamName, f64>, now: Instant) {
        self.received_at = Some(now);
        self.arrivals = arrivals;
    }

    /// Arrivals of a team, in requests a second.
    fn arrivals(&self, team: &TeamName) -> f64 {
        self.arrivals.get(team).copied().unwrap_or(0.0).max(0.0)
    }

    /// The share of a team's limit as of its last division, or `default` when
    /// it was not divided before.
    fn last_share(&self, team: &TeamName, default: f64) -> f64 {
        self.shares.get(team).copied().unwrap_or(default)
    }
}
