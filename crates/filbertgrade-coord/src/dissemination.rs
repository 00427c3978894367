//! Chooses which agents watch the store, which peers an agent pulls from, and
//! when an agent polls the store itself.
//!
//! In each failure domain a few agents, the relays, watch the store. The others
//! pull new state from peers, and poll the store only when no confirmation that
//! their state is current has arrived for [`POLL_DELAY`]. Relays and peers are
//! chosen by rendezvous hashing over the platform's list of VMs, so the choice
//! takes no messages.

use std::time::{Duration, Instant};

use crate::names::{FailureDomainName, RegionName, VmName};
use crate::rendezvous;

/// An agent and its location, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The VM the agent runs on.
    pub vm: VmName,
    /// The region of the VM.
    pub region: RegionName,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomainName,
}

/// Number of relays in each failure domain. With two, one agent still watches
/// the store when a VM is lost.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// Number of members in each tier (own failure domain, own region, other
/// regions) that one agent pulls from over time.
///
/// It limits the connections of an agent to about three times this number, for
/// outgoing ones and, on average, for incoming ones. With eight members chosen
/// at random, a VM is cut off from a tier only when all eight have failed while
/// the platform still lists them.
pub const NEIGHBOURS_PER_TIER: usize = 8;

/// Time without a confirmation after which an agent that is not a relay polls
/// the store itself.
///
/// It leaves 3 s of the 5 s freshness bound for the poll and its retries.
pub const POLL_DELAY: Duration = Duration::from_secs(2);

/// Base of the backoff between two polls of one agent, which is twice this time
/// after the first poll and doubles with each further one. It is also the range
/// of the random delay of the first poll.
const BASE_POLL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff between two polls of one agent. It limits the load of the
/// store while no agent of the fleet has a confirmation.
const MAX_POLL_BACKOFF: Duration = Duration::from_secs(8);

/// Returns the relays of a failure domain, highest rank first.
///
/// There are fewer than [`RELAYS_PER_DOMAIN`] only if the domain has fewer members.
pub fn relays<'a>(
    domain: &FailureDomainName,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<&'a VmName> {
    let in_domain = members
        .into_iter()
        .filter(|m| m.failure_domain == *domain)
        .map(|m| &m.vm);
    rendezvous::top(domain.as_str(), in_domain, RELAYS_PER_DOMAIN)
}

/// Reports whether `me` is a relay of its failure domain.
pub fn is_relay<'a>(me: &'a Member, members: impl IntoIterator<Item = &'a Member>) -> bool {
    relays(&me.failure_domain, members).contains(&&me.vm)
}

/// Returns the members that `me` pulls from over time: up to
/// [`NEIGHBOURS_PER_TIER`] in its own failure domain, as many in other domains
/// of its region, and as many in other regions.
///
/// They are chosen by rendezvous hashing with the name of `me`, so that agents
/// choose independently and a change of the member list replaces only the
/// members that left and a few others. In a small fleet, all other members are
/// neighbours.
pub fn neighbours<'a>(me: &Member, members: &'a [Member]) -> Vec<&'a Member> {
    let seed = rendezvous::score(0, me.vm.as_str());
    let mut chosen = Vec::new();
    for tier in TIERS {
        let mut scored: Vec<(u64, &Member)> = members
            .iter()
            .filter(|m| m.vm != me.vm && tier(me, m))
            .map(|m| (rendezvous::score(seed, m.vm.as_str()), m))
            .collect();
        scored.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.vm.cmp(&y.vm)));
        let best = scored.into_iter().take(NEIGHBOURS_PER_TIER);
        chosen.extend(best.map(|(_, m)| m));
    }
    chosen
}

/// Returns the peers to pull from in one round: up to three different members
/// other than `me`.
///
/// One is in the failure domain of `me`, one in another domain of its region,
/// and one in another region. If a tier has no member, a member of any other
/// tier is chosen instead. The same `seed` and `round` give the same peers;
/// different VMs should use different seeds.
pub fn pull_peers(me: &Member, members: &[Member], round: u64, seed: u64) -> Vec<VmName> {
    let seed = rendezvous::score(seed, &format!("{}/{round}", me.vm));
    let mut chosen: Vec<VmName> = Vec::with_capacity(TIERS.len());
    for tier in TIERS {
        let peer = highest_scoring(members, seed, |m| {
            m.vm != me.vm && !chosen.contains(&m.vm) && tier(me, m)
        });
        chosen.extend(peer);
    }
    while chosen.len() < TIERS.len() {
        let Some(peer) =
            highest_scoring(members, seed, |m| m.vm != me.vm && !chosen.contains(&m.vm))
        else {
            break;
        };
        chosen.push(peer);
    }
    chosen
}

/// Whether an agent that is not a relay polls the store now or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePoll {
    /// Poll now.
    Now,
    /// Do not poll yet. Decide again at this instant, or at the next
    /// confirmation if that is earlier.
    At(Instant),
}

/// Decides whether an agent that is not a relay polls the store.
///
/// `confirmed_at` is the instant of the newest confirmation, or of the agent's
/// start if there is none. `last_poll` is the instant of the newest poll and the
/// number of polls since `confirmed_at`, or `None` if there was none since then.
/// The backoff doubles with each poll, and half of it is random, so that
/// the agents of a fleet without relays do not poll simultaneously.
pub fn next_store_poll(
    confirmed_at: Instant,
    last_poll: Option<(Instant, u32)>,
    seed: u64,
    now: Instant,
) -> StorePoll {
    let at = match last_poll {
        None => confirmed_at + POLL_DELAY + jitter(BASE_POLL_BACKOFF, seed, 0),
        Some((polled_at, polls)) => {
            let backoff = BASE_POLL_BACKOFF
                .saturating_mul(1 << polls.min(8))
                .min(MAX_POLL_BACKOFF);
            polled_at + backoff / 2 + jitter(backoff / 2, seed, polls)
        }
    };
    if at <= now {
        StorePoll::Now
    } else {
        StorePoll::At(at)
    }
}

/// The tiers around a member, nearest first: its failure domain, the other domains
/// of its region, and the other regions. Each function tests whether its second
/// argument is in that tier of the first.
const TIERS: [fn(&Member, &Member) -> bool; 3] = [
    |me, m| m.failure_domain == me.failure_domain,
    |me, m| m.region == me.region && m.failure_domain != me.failure_domain,
    |me, m| m.region != me.region,
];

/// Returns the member with the highest score among those that `accept` admits.
fn highest_scoring(
    members: &[Member],
    seed: u64,
    accept: impl Fn(&Member) -> bool,
) -> Option<VmName> {
    members
        .iter()
        .filter(|m| accept(m))
        .max_by_key(|m| rendezvous::score(seed, m.vm.as_str()))
        .map(|m| m.vm.clone())
}

/// Returns a pseudo-random duration up to `range`, the same for equal `seed` and `n`.
fn jitter(range: Duration, seed: u64, n: u32) -> Duration {
    let random = rendezvous::score(seed, &n.to_string());
    range.mul_f64(random as f64 / u64::MAX as f64)
}
