//! Which VMs take callers, as far as this one knows.
//!
//! Answers VMs that are killed, cut off, frozen or replaced. A VM is listed in
//! the store from its start until it stops; whether it runs is known from the
//! heartbeats that VMs send each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::names::{FailureDomainName, RegionName, VmName};
use crate::rendezvous;

/// Time without a heartbeat after which a VM counts as down. Single datagrams
/// are lost, so it is several intervals.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Most VMs that a look-up names.
pub const MOST_NAMED: usize = 64;

/// VMs that ask one VM in place of the store. A small VM has a link of some
/// Mbit/s, on which it has to tell each of them a whole configuration in time.
const RELAY_CHILDREN: usize = 10;

/// Rank of the VM that others ask when theirs has lost the store. It asks the
/// first one, or the store when that has lost it too.
const SECOND_RELAY: usize = 1;

/// A VM as the store lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name.
    pub vm: VmName,
    /// Number that its process drew at its start.
    pub incarnation: u64,
    /// Where it takes callers.
    pub caller_address: SocketAddr,
    /// Where it takes heartbeats.
    pub peer_address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub failure_domain: FailureDomainName,
}

/// What a heartbeat says of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Number that its process drew at its start.
    pub incarnation: u64,
    /// It can serve callers.
    pub ready: bool,
    /// It is about to stop.
    pub leaving: bool,
}

/// The VMs of the fleet.
#[derive(Debug)]
pub struct Members {
    me: Member,
    peers: HashMap<VmName, Peer>,
    /// VMs of this region that were listed lately and are to be greeted.
    newcomers: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    /// When it was first listed with this incarnation. It counts as running
    /// for a while, because its heartbeats may be on their way.
    listed_at: Instant,
    heard: Option<(Instant, Heartbeat)>,
}

impl Members {
    /// Starts with this VM alone.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            peers: HashMap::new(),
            newcomers: Vec::new(),
        }
    }

    /// Replaces the list. Returns true when it changed.
    pub fn set_listed(&mut self, members: Vec<Member>, now: Instant) -> bool {
        let mut old = std::mem::take(&mut self.peers);
        let mut changed = false;
        for member in members {
            if member.vm == self.me.vm {
                continue;
            }
            let peer = match old.remove(&member.vm) {
                Some(peer) if peer.member == member => peer,
                _ => {
                    changed = true;
                    if member.region == self.me.region {
                        self.newcomers.push(member.peer_address);
                    }
                    Peer {
                        listed_at: now,
                        heard: None,
                        member,
                    }
                }
            };
            self.peers.insert(peer.member.vm.clone(), peer);
        }
        changed || !old.is_empty()
    }

    /// Where the VMs of this region that were listed since the last call take
    /// heartbeats. They learn from a heartbeat at once who runs.
    pub fn take_new_members(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.newcomers)
    }

    /// Notes a heartbeat. Returns true when the VM was silent before, or says
    /// something new. Heartbeats of VMs that are not listed are ignored.
    pub fn record_heartbeat(&mut self, vm: &VmName, heartbeat: Heartbeat, now: Instant) -> bool {
        let Some(peer) = self.peers.get_mut(vm) else {
            return false;
        };
        if peer.member.incarnation != heartbeat.incarnation {
            return false;
        }
        let before = peer.heard.replace((now, heartbeat));
        before.is_none_or(|(at, old)| {
            old != heartbeat || now.saturating_duration_since(at) > HEARTBEAT_TIMEOUT
        })
    }

    /// The other VMs of the list.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// The other VMs that have been silent for longer than `limit`.
    pub fn timed_out(&self, limit: Duration, now: Instant) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(move |peer| peer.silence(now) > limit)
            .map(|peer| &peer.member)
    }

    /// Where the VM takes calls that follows the store for its region; `None`
    /// when it is this one.
    pub fn relay(&self, now: Instant) -> Option<SocketAddr> {
        self.relays(now).into_iter().next()
    }

    /// Where the VMs take calls that this one asks in place of the store, in
    /// this order. The second one is for when the first has lost the store.
    ///
    /// The VMs of a region form a tree by their rank for the region, so that
    /// each answers few others however many there are.
    pub fn relays(&self, now: Instant) -> Vec<SocketAddr> {
        let in_region = |member: &Member| member.region == self.me.region;
        let running: HashMap<&str, SocketAddr> = self
            .peers
            .values()
            .filter(|peer| peer.heard.is_some() && peer.is_running(now))
            .map(|peer| &peer.member)
            .filter(|member| in_region(member))
            .map(|member| (member.vm.as_str(), member.peer_address))
            .collect();
        let key = format!("relay/{}", self.me.region);
        let me = self.me.vm.as_str();
        let count = running.len() + 1;
        let ranked = rendezvous::top(&key, running.keys().copied().chain([me]), count);
        let rank = ranked.iter().position(|name| *name == me).unwrap_or(0);
        let mut asked = Vec::new();
        if rank > 0 {
            asked.push((rank - 1) / RELAY_CHILDREN);
        }
        if rank > SECOND_RELAY && !asked.contains(&SECOND_RELAY) {
            asked.push(SECOND_RELAY);
        }
        let names = asked.into_iter().filter_map(|rank| ranked.get(rank));
        names
            .filter_map(|name| running.get(name).copied())
            .collect()
    }

    /// Notes which VMs of another region run, and which of them are ready, as
    /// one of them told.
    pub fn record_region_summary(
        &mut self,
        region: &RegionName,
        running: &HashMap<VmName, bool>,
        now: Instant,
    ) {
        for peer in self.peers.values_mut() {
            if peer.member.region != *region {
                continue;
            }
            if let Some(ready) = running.get(&peer.member.vm) {
                let heartbeat = Heartbeat {
                    incarnation: peer.member.incarnation,
                    ready: *ready,
                    leaving: false,
                };
                peer.heard = Some((now, heartbeat));
            }
        }
    }

    /// The VMs of this region that run, and whether they are ready.
    pub fn region_summary(&self, me_ready: bool, now: Instant) -> Vec<(VmName, bool)> {
        let mut state: Vec<(VmName, bool)> = self
            .peers
            .values()
            .filter(|peer| peer.member.region == self.me.region && peer.is_running(now))
            .map(|peer| (peer.member.vm.clone(), peer.is_ready(now)))
            .collect();
        state.push((self.me.vm.clone(), me_ready));
        state
    }

    /// This VM as the store lists it.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Names of the VMs that run, this one included, in the order of their
    /// names.
    pub fn running(&self, now: Instant) -> Vec<VmName> {
        let running = self.peers.values().filter(|peer| peer.is_running(now));
        let mut names: Vec<VmName> = running.map(|peer| peer.member.vm.clone()).collect();
        names.push(self.me.vm.clone());
        names.sort();
        names
    }

    /// Where callers of a region should connect: VMs that are ready there, or
    /// else anywhere. This VM is named by `me_ready`. The list is empty only
    /// when no VM takes callers.
    pub fn lookup_addresses(
        &self,
        region: Option<&RegionName>,
        me_ready: bool,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let ready = self.takers(me_ready, now, Peer::is_ready);
        let near = |member: &&&Member| region.is_none_or(|region| member.region == *region);
        let mut named: Vec<&Member> = ready.iter().filter(near).copied().collect();
        if named.is_empty() {
            named = ready;
        }
        if named.is_empty() {
            // VMs that cannot serve keys may serve public routes.
            named = self.takers(me_ready, now, Peer::is_running);
        }
        if named.is_empty() {
            named.push(&self.me);
        }
        named.sort_by(|a, b| a.vm.cmp(&b.vm));
        named.truncate(MOST_NAMED);
        named.iter().map(|member| member.caller_address).collect()
    }

    fn takers(&self, me: bool, now: Instant, takes: fn(&Peer, Instant) -> bool) -> Vec<&Member> {
        let peers = self.peers.values().filter(|peer| takes(peer, now));
        let mut members: Vec<&Member> = peers.map(|peer| &peer.member).collect();
        if me {
            members.push(&self.me);
        }
        members
    }
}

impl Peer {
    fn silence(&self, now: Instant) -> Duration {
        let last = self.heard.map_or(self.listed_at, |(at, _)| at);
        now.saturating_duration_since(last)
    }

    fn is_leaving(&self) -> bool {
        self.heard.is_some_and(|(_, heartbeat)| heartbeat.leaving)
    }

    fn is_running(&self, now: Instant) -> bool {
        !self.is_leaving() && self.silence(now) <= HEARTBEAT_TIMEOUT
    }

    fn is_ready(&self, now: Instant) -> bool {
        self.is_running(now) && self.heard.is_none_or(|(_, heartbeat)| heartbeat.ready)
    }
}
