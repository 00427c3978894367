//! Who watches the store, whom to pull from, and when to poll the store directly.

use std::time::{Duration, Instant};

use crate::names::{FailureDomainName, RegionName, VmName};
use crate::rendezvous;

/// An agent as the platform's list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The VM the agent runs on.
    pub vm: VmName,
    /// The region of the VM.
    pub region: RegionName,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomainName,
}

/// Relays in each failure domain. With two, the loss of one VM leaves a watch in place.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// Members of each tier that one agent pulls from over time.
///
/// It bounds the links of an agent to about three times as many out and, on
/// average, in. With eight random members, a VM is cut off from a tier only
/// when all eight have failed and the platform's list still names them.
pub const NEIGHBOURS_PER_TIER: usize = 8;

/// Time without a confirmation after which a non-relay polls the store itself.
///
/// It leaves 3 s of the 5 s freshness bound for the poll and its retries.
pub const POLL_AFTER: Duration = Duration::from_secs(2);

/// First pause between two polls of one non-relay.
const POLL_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause between two polls of one non-relay. It bounds the store's
/// load while a whole fleet has no confirmation.
const POLL_PAUSE_MAX: Duration = Duration::from_secs(8);

/// The relays of a failure domain, the highest first.
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

/// The members that `me` pulls from over time: up to [`NEIGHBOURS_PER_TIER`]
/// in the own failure domain, as many in other domains of the own region, and
/// as many in other regions.
///
/// The choice is by rendezvous hashing with the name of `me`: agents choose
/// independently, and a change of the list replaces only members that left
/// and few others. In a small fleet, it is everyone else.
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
        let highest = scored.into_iter().take(NEIGHBOURS_PER_TIER);
        chosen.extend(highest.map(|(_, m)| m));
    }
    chosen
}

/// The peers to pull from in one round: up to three, all different, without `me`.
///
/// The first is in the own failure domain, the second in another domain of
/// the own region, the third in another region. Where there is no such
/// member, any other member takes its place. The same `seed` and `round` give
/// the same peers; different VMs should use different seeds.
pub fn pull_peers(me: &Member, members: &[Member], round: u64, seed: u64) -> Vec<VmName> {
    let seed = rendezvous::score(seed, &format!("{}/{round}", me.vm));
    let mut chosen: Vec<VmName> = Vec::with_capacity(TIERS.len());
    for tier in TIERS {
        let peer = pick(members, seed, |m| {
            m.vm != me.vm && !chosen.contains(&m.vm) && tier(me, m)
        });
        chosen.extend(peer);
    }
    while chosen.len() < TIERS.len() {
        let Some(peer) = pick(members, seed, |m| m.vm != me.vm && !chosen.contains(&m.vm)) else {
            break;
        };
        chosen.push(peer);
    }
    chosen
}

/// What a non-relay does about polling the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePoll {
    /// Poll now.
    Now,
    /// Decide again at this instant or at the next confirmation.
    At(Instant),
}

/// Decides whether a non-relay polls the store.
///
/// `confirmed_at` is the instant of the newest confirmation, or of the start.
/// `last_poll` is the instant of the newest poll since then and the number of
/// polls since then. The pause doubles with each poll and is jittered by half,
/// so that a fleet that lost its relays does not poll in step.
pub fn store_poll(
    confirmed_at: Instant,
    last_poll: Option<(Instant, u32)>,
    seed: u64,
    now: Instant,
) -> StorePoll {
    let at = match last_poll {
        None => confirmed_at + POLL_AFTER + jitter(POLL_PAUSE, seed, 0),
        Some((polled_at, polls)) => {
            let pause = POLL_PAUSE
                .saturating_mul(1 << polls.min(8))
                .min(POLL_PAUSE_MAX);
            polled_at + pause / 2 + jitter(pause / 2, seed, polls)
        }
    };
    if at <= now {
        StorePoll::Now
    } else {
        StorePoll::At(at)
    }
}

/// How near the second member is to the first one, the nearest first.
const TIERS: [fn(&Member, &Member) -> bool; 3] = [
    |me, m| m.failure_domain == me.failure_domain,
    |me, m| m.region == me.region && m.failure_domain != me.failure_domain,
    |me, m| m.region != me.region,
];

fn pick(members: &[Member], seed: u64, accept: impl Fn(&Member) -> bool) -> Option<VmName> {
    members
        .iter()
        .filter(|m| accept(m))
        .max_by_key(|m| rendezvous::score(seed, m.vm.as_str()))
        .map(|m| m.vm.clone())
}

fn jitter(range: Duration, seed: u64, n: u32) -> Duration {
    let random = rendezvous::score(seed, &n.to_string());
    range.mul_f64(random as f64 / u64::MAX as f64)
}
