//! Which VMs of the fleet run and can serve callers, by this VM's best known
//! estimate.
//!
//! Handles VMs that are killed, partitioned, frozen or replaced. A VM is listed
//! in the store from its start until it stops; whether it runs is detected by
//! the heartbeats that VMs send each other.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::names::{FailureDomainName, RegionName, VmName};
use crate::rendezvous;

/// Time without a heartbeat after which a VM is considered down. It spans
/// several heartbeat intervals, because single datagrams are lost.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest number of VMs that were removed from the list and are remembered.
const MAX_DELISTED: usize = 1_000;

/// Largest number of VMs in the response to a lookup.
pub const MAX_LOOKUP_VMS: usize = 64;

/// Largest number of VMs that poll one VM in place of the store. A small VM has
/// a link of a few Mbit/s, over which it must send each of them a whole
/// configuration in time.
const RELAY_FANOUT: usize = 10;

/// Rank of the VM that the others poll when their own relay cannot reach the
/// store. It polls the VM of rank 0, or the store itself when that VM cannot
/// reach the store either.
const FALLBACK_RELAY_RANK: usize = 1;

/// A VM as its entry in the store describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name, unique in the fleet.
    pub vm: VmName,
    /// Random number of its process, which distinguishes its restarts.
    pub incarnation: u64,
    /// Address for callers' requests.
    pub caller_address: SocketAddr,
    /// Address for datagrams and calls of other VMs, such as heartbeats, token
    /// requests and the polls of VMs that use it as a relay.
    pub peer_address: SocketAddr,
    /// Region in which it runs.
    pub region: RegionName,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainName,
}

/// State of the sender of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Random number of its process; see [`Member::incarnation`].
    pub incarnation: u64,
    /// The VM can serve callers.
    pub ready: bool,
    /// The VM is about to stop.
    pub leaving: bool,
    /// The last calls of the VM to the store failed, or it has made none. A VM
    /// that uses a relay makes none for long, so that this may be outdated.
    pub store_unreachable: bool,
}

/// The VMs of a region, as a summary describes them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegionVms {
    /// The running VMs, and whether each is ready.
    Running(HashMap<VmName, bool>),
    /// All VMs that the store lists are running and ready, except these.
    AllExcept {
        /// VMs that run and cannot serve callers.
        not_ready: HashSet<VmName>,
        /// VMs that do not run.
        not_running: HashSet<VmName>,
    },
}

impl RegionVms {
    /// Whether a VM is ready; `None` if it does not run.
    fn is_ready(&self, vm: &VmName) -> Option<bool> {
        match self {
            Self::Running(running) => running.get(vm).copied(),
            Self::AllExcept { not_running, .. } if not_running.contains(vm) => None,
            Self::AllExcept { not_ready, .. } => Some(!not_ready.contains(vm)),
        }
    }
}

/// The VMs of the fleet, as one of them sees it.
#[derive(Debug)]
pub struct Members {
    local: Member,
    /// The other VMs that the store lists.
    peers: HashMap<VmName, Peer>,
    /// Incarnations of VMs that were removed from the list, the oldest first. An
    /// old copy of the store may list them again.
    delisted: IndexMap<VmName, u64>,
    /// Peer addresses of VMs of this region that were listed since the last call
    /// of [`Members::take_new_members`].
    new_members: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    /// When its current entry was first seen in the list. It is considered
    /// running until [`HEARTBEAT_TIMEOUT`] has passed, because its first
    /// heartbeat may still be on its way. `None` if the entry may be an old one of
    /// a VM that has stopped, so that only a heartbeat shows that the VM runs.
    listed_at: Option<Instant>,
    /// The last heartbeat and when it was received; `None` before the first.
    last_heartbeat: Option<(Instant, Heartbeat)>,
}

impl Members {
    /// Starts with this VM only.
    pub fn new(local: Member) -> Self {
        Self {
            local,
            peers: HashMap::new(),
            delisted: IndexMap::new(),
            new_members: Vec::new(),
        }
    }

    /// Replaces the other VMs by those that the store lists. Returns true when
    /// the list changed. An entry that differs from the previous one of the same
    /// VM is treated as a new VM.
    pub fn set_listed(&mut self, members: Vec<Member>, now: Instant) -> bool {
        self.replace_listed(members, Some(now))
    }

    /// Like [`Members::set_listed`], for a list of a store that was restored from a
    /// copy. VMs that this one does not know may have stopped long ago, so that only
    /// a heartbeat shows that they run.
    pub fn set_restored(&mut self, members: Vec<Member>) -> bool {
        self.replace_listed(members, None)
    }

    fn replace_listed(&mut self, members: Vec<Member>, listed_at: Option<Instant>) -> bool {
        let mut old = std::mem::take(&mut self.peers);
        let mut changed = false;
        for member in members {
            if member.vm == self.local.vm {
                continue;
            }
            let peer = match old.remove(&member.vm) {
                Some(peer) if peer.member == member => peer,
                _ => {
                    changed = true;
                    if member.region == self.local.region {
                        self.new_members.push(member.peer_address);
                    }
                    let was_delisted = self.delisted.get(&member.vm) == Some(&member.incarnation);
                    Peer {
                        listed_at: listed_at.filter(|_| !was_delisted),
                        last_heartbeat: None,
                        member,
                    }
                }
            };
            self.peers.insert(peer.member.vm.clone(), peer);
        }
        changed |= !old.is_empty();
        for peer in old.into_values() {
            self.remember_delisted(peer.member);
        }
        changed
    }

    fn remember_delisted(&mut self, member: Member) {
        // Removed first, so that it becomes the newest.
        self.delisted.shift_remove(&member.vm);
        self.delisted.insert(member.vm, member.incarnation);
        if self.delisted.len() > MAX_DELISTED {
            self.delisted.shift_remove_index(0);
        }
    }

    /// Returns the peer addresses of the VMs of this region that were listed since
    /// the last call. Each of them should be sent a heartbeat immediately, so that
    /// it knows at once that this VM runs.
    pub fn take_new_members(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.new_members)
    }

    /// Records a heartbeat. Returns true when it is the first one, the previous
    /// one had timed out, or the state of the VM has changed. Heartbeats of VMs
    /// that are not listed, and of another incarnation, are ignored.
    pub fn record_heartbeat(&mut self, vm: &VmName, heartbeat: Heartbeat, now: Instant) -> bool {
        let Some(peer) = self.peers.get_mut(vm) else {
            return false;
        };
        if peer.member.incarnation != heartbeat.incarnation {
            return false;
        }
        let previous = peer.last_heartbeat.replace((now, heartbeat));
        previous.is_none_or(|(at, old)| {
            old != heartbeat || now.saturating_duration_since(at) > HEARTBEAT_TIMEOUT
        })
    }

    /// The other VMs that the store lists.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// The other VMs from which no heartbeat was received for longer than `limit`.
    pub fn timed_out(&self, limit: Duration, now: Instant) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(move |peer| peer.heartbeat_age(now) > limit)
            .map(|peer| &peer.member)
    }

    /// Peer address of the VM that this one polls in place of the store. `None`
    /// when this VM polls the store itself, on behalf of its region.
    pub fn relay(&self, local_unreachable: bool, now: Instant) -> Option<SocketAddr> {
        self.relays(local_unreachable, now).into_iter().next()
    }

    /// Peer addresses of the VMs that this one polls in place of the store, in
    /// order of preference. The second one is used while the first cannot reach
    /// the store.
    ///
    /// The running VMs of a region form a tree by their rank in a rendezvous hash
    /// of the region, in which each VM is the first choice of at most ten others,
    /// however large the region is. VMs that the store turns away rank behind all
    /// others, so that the first one has access to the store if any VM has.
    /// `local_unreachable` is this for the local VM; see
    /// [`Heartbeat::store_unreachable`].
    pub fn relays(&self, local_unreachable: bool, now: Instant) -> Vec<SocketAddr> {
        let in_region = |member: &Member| member.region == self.local.region;
        let running: HashMap<&str, (SocketAddr, bool)> = self
            .peers
            .values()
            .filter(|peer| peer.is_running(now) && in_region(&peer.member))
            .filter_map(|peer| {
                let (_, heartbeat) = peer.last_heartbeat?;
                let relay = (peer.member.peer_address, heartbeat.store_unreachable);
                Some((peer.member.vm.as_str(), relay))
            })
            .collect();
        let key = format!("relay/{}", self.local.region);
        let local = self.local.vm.as_str();
        let count = running.len() + 1;
        let mut ranked = rendezvous::top(&key, running.keys().copied().chain([local]), count);
        let is_unreachable = |name: &str| {
            let peer = running.get(name);
            peer.map_or(local_unreachable, |(_, unreachable)| *unreachable)
        };
        // Stable, so that the order by hash remains within both groups.
        ranked.sort_by_key(|name| is_unreachable(name));
        let rank = ranked.iter().position(|name| *name == local).unwrap_or(0);
        let mut relay_ranks = Vec::new();
        if rank > 0 {
            relay_ranks.push((rank - 1) / RELAY_FANOUT);
        }
        if rank > FALLBACK_RELAY_RANK && !relay_ranks.contains(&FALLBACK_RELAY_RANK) {
            relay_ranks.push(FALLBACK_RELAY_RANK);
        }
        let names = relay_ranks.into_iter().filter_map(|rank| ranked.get(rank));
        names
            .filter_map(|name| running.get(name).map(|(address, _)| *address))
            .collect()
    }

    /// Records the summary of another region. It takes the place of the
    /// heartbeats of its VMs, which go to other regions only when a VM stops.
    pub fn record_region_summary(&mut self, region: &RegionName, vms: &RegionVms, now: Instant) {
        for peer in self.peers.values_mut() {
            if peer.member.region != *region {
                continue;
            }
            if let Some(ready) = vms.is_ready(&peer.member.vm) {
                let heartbeat = Heartbeat {
                    incarnation: peer.member.incarnation,
                    ready,
                    leaving: false,
                    // Relays are chosen within a region only.
                    store_unreachable: false,
                };
                peer.last_heartbeat = Some((now, heartbeat));
            }
        }
    }

    /// Summary of this region for the other ones, this VM included. It names the
    /// running VMs if their names have at most `max_name_bytes`, and otherwise
    /// the exceptions, which are few in a large region.
    pub fn region_summary(
        &self,
        local_ready: bool,
        max_name_bytes: usize,
        now: Instant,
    ) -> RegionVms {
        let mut running = HashMap::from([(self.local.vm.clone(), local_ready)]);
        let mut not_running = HashSet::new();
        let peers = self.peers.values();
        for peer in peers.filter(|peer| peer.member.region == self.local.region) {
            let vm = peer.member.vm.clone();
            if peer.is_running(now) {
                running.insert(vm, peer.is_ready(now));
            } else {
                not_running.insert(vm);
            }
        }
        let name_bytes: usize = running.keys().map(|vm| vm.as_str().len()).sum();
        if name_bytes <= max_name_bytes {
            return RegionVms::Running(running);
        }
        let not_ready = running.into_iter().filter(|(_, ready)| !ready);
        RegionVms::AllExcept {
            not_ready: not_ready.map(|(vm, _)| vm).collect(),
            not_running,
        }
    }

    /// Number of running VMs of this region, including this one.
    pub fn running_in_region(&self, now: Instant) -> usize {
        let peers = self.peers.values();
        let running =
            peers.filter(|peer| peer.member.region == self.local.region && peer.is_running(now));
        running.count() + 1
    }

    /// The entry of this VM.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Names of the running VMs, including this one, in sorted order.
    pub fn running(&self, now: Instant) -> Vec<VmName> {
        let running = self.peers.values().filter(|peer| peer.is_running(now));
        let mut names: Vec<VmName> = running.map(|peer| peer.member.vm.clone()).collect();
        names.push(self.local.vm.clone());
        names.sort();
        names
    }

    /// Names of the running VMs of each region, including this one. Both levels are
    /// sorted.
    pub fn running_by_region(&self, now: Instant) -> IndexMap<RegionName, Vec<VmName>> {
        let mut running: IndexMap<RegionName, Vec<VmName>> = IndexMap::new();
        for member in self.select(true, now, Peer::is_running) {
            let region = running.entry(member.region.clone()).or_default();
            region.push(member.vm.clone());
        }
        running.sort_unstable_keys();
        for vms in running.values_mut() {
            vms.sort();
        }
        running
    }

    /// Addresses to which callers of a region should connect, at most
    /// [`MAX_LOOKUP_VMS`]: the ready VMs of the region, or if it has none, of all
    /// regions. This VM is one of them when `local_ready` is true.
    ///
    /// If no VM is ready, all running ones are returned, and if there are none,
    /// this VM, so that the list is never empty.
    pub fn lookup_addresses(
        &self,
        region: Option<&RegionName>,
        local_ready: bool,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let ready = self.select(local_ready, now, Peer::is_ready);
        let in_region = |member: &&&Member| region.is_none_or(|region| member.region == *region);
        let mut selected: Vec<&Member> = ready.iter().filter(in_region).copied().collect();
        if selected.is_empty() {
            selected = ready;
        }
        if selected.is_empty() {
            // VMs that are not ready because they cannot check keys may still serve
            // public routes.
            selected = self.select(local_ready, now, Peer::is_running);
        }
        if selected.is_empty() {
            selected.push(&self.local);
        }
        selected.sort_by(|a, b| a.vm.cmp(&b.vm));
        let first = self.first_of_lookup(&selected);
        selected.rotate_left(first);
        selected.truncate(MAX_LOOKUP_VMS);
        selected
            .iter()
            .map(|member| member.caller_address)
            .collect()
    }

    /// Index of the first VM that this one returns of `selected`, which is sorted
    /// and may exceed the length of a response.
    ///
    /// Together the responses of all VMs name all of `selected`, so that a large
    /// region has no VM without callers. Those of a failure domain are equal,
    /// because callers close their connections to VMs that a later response does
    /// not name; only a region that they could not cover has one for each VM.
    fn first_of_lookup(&self, selected: &[&Member]) -> usize {
        if selected.len() <= MAX_LOOKUP_VMS {
            return 0;
        }
        let mut domains: Vec<&FailureDomainName> =
            selected.iter().map(|m| &m.failure_domain).collect();
        domains.sort();
        domains.dedup();
        if selected.len() <= MAX_LOOKUP_VMS * domains.len() {
            let index = domains.partition_point(|domain| *domain < &self.local.failure_domain);
            (index % domains.len()) * selected.len() / domains.len()
        } else {
            selected.partition_point(|member| member.vm < self.local.vm) % selected.len()
        }
    }

    /// The other VMs for which `accepts` returns true, and this one if
    /// `include_local` is true.
    fn select(
        &self,
        include_local: bool,
        now: Instant,
        accepts: fn(&Peer, Instant) -> bool,
    ) -> Vec<&Member> {
        let peers = self.peers.values().filter(|peer| accepts(peer, now));
        let mut members: Vec<&Member> = peers.map(|peer| &peer.member).collect();
        if include_local {
            members.push(&self.local);
        }
        members
    }
}

impl Peer {
    /// Time since the last heartbeat, or since it was listed if none was
    /// received; the longest possible one if it must send one first.
    fn heartbeat_age(&self, now: Instant) -> Duration {
        let heartbeat_at = self.last_heartbeat.map(|(at, _)| at);
        heartbeat_at
            .or(self.listed_at)
            .map_or(Duration::MAX, |last| now.saturating_duration_since(last))
    }

    fn is_leaving(&self) -> bool {
        self.last_heartbeat
            .is_some_and(|(_, heartbeat)| heartbeat.leaving)
    }

    fn is_running(&self, now: Instant) -> bool {
        !self.is_leaving() && self.heartbeat_age(now) <= HEARTBEAT_TIMEOUT
    }

    fn is_ready(&self, now: Instant) -> bool {
        self.is_running(now)
            && self
                .last_heartbeat
                .is_none_or(|(_, heartbeat)| heartbeat.ready)
    }
}
