//! Pulls newer state and evidence from peer agents.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::dissemination::{Member, pull_peers};
use filbertgrade_coord::freshness::RegionAges;
use filbertgrade_coord::names::VmName;

use super::{Agent, live_member, lock};
use crate::connection::PeerLink;
use crate::logfmt;
use crate::version::{IncomingDelta, VmRecord, apply_delta};
use crate::wire::{Body, Delta, PullReply, PullRequest};

/// Time between two rounds.
const PULL_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two rounds without a VM list. It is shorter, because the entry
/// cannot serve requests until it has received state.
const PULL_INTERVAL_WITHOUT_VM_LIST: Duration = Duration::from_millis(50);

/// Number of peers in one round. One of them, in turn, sends the evidence of
/// all regions, which makes up most of a reply in a large fleet. The others send
/// only the newest confirmation, which is enough for freshness while the
/// store responds.
const PEERS_PER_ROUND: u64 = 3;

/// Maximum time to wait for one reply. A peer in another region replies within
/// about 110 ms.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pulls from up to three peers in every round.
pub(crate) async fn pull_from_peers(agent: Arc<Agent>) {
    let seed = rand::random();
    let mut links: HashMap<VmName, (VmRecord, PeerLink)> = HashMap::new();
    for round in 0.. {
        let no_vm_list = agent.state().vms.is_empty();
        tokio::time::sleep(if no_vm_list {
            PULL_INTERVAL_WITHOUT_VM_LIST
        } else {
            PULL_INTERVAL
        })
        .await;
        let peers = {
            let state = agent.state();
            let vms = if state.vms.is_empty() {
                lock(&agent.recent_pullers).clone()
            } else {
                state.topology.neighbours.clone()
            };
            drop(state);
            let members: Vec<Member> = vms.iter().filter_map(live_member).collect();
            let names = pull_peers(&agent.as_member(), &members, round, seed);
            links.retain(|name, _| vms.iter().any(|vm| vm.name == *name));
            vms.iter()
                .filter(|vm| names.contains(&vm.name))
                .cloned()
                .collect::<Vec<_>>()
        };
        for (n, peer) in (0..).zip(peers) {
            let link = link_to(&agent, &mut links, &peer);
            let all_regions = n == round % PEERS_PER_ROUND;
            tokio::spawn(pull_once(Arc::clone(&agent), link, peer, all_regions));
        }
    }
}

/// The link to `peer`. It is replaced when the address of the VM has changed.
fn link_to(
    agent: &Agent,
    links: &mut HashMap<VmName, (VmRecord, PeerLink)>,
    peer: &VmRecord,
) -> PeerLink {
    if let Some((known, link)) = links.get(&peer.name)
        && known.address == peer.address
    {
        return link.clone();
    }
    let address = SocketAddr::new(peer.address, agent.settings.ports.agent_peer);
    let link = PeerLink::new(address, Some(agent.settings.address));
    links.insert(peer.name.clone(), (peer.clone(), link.clone()));
    link
}

/// Pulls from one peer: once, or until a delta of several pages is complete. Only
/// one task at a time receives such a delta.
async fn pull_once(agent: Arc<Agent>, link: PeerLink, peer: VmRecord, all_regions: bool) {
    let mut incoming = IncomingDelta::default();
    let mut transfer = None;
    loop {
        let sent_at = Instant::now();
        let pull = PullRequest {
            vm: agent.settings.vm.to_string(),
            revision: *agent.revision.borrow(),
            resume: incoming.next_page_request(),
            region: agent.settings.region.to_string(),
            failure_domain: agent.settings.failure_domain.to_string(),
            newest_confirmation_only: !all_regions,
            one_page_only: transfer.is_none() && agent.incoming_transfer.try_lock().is_err(),
        };
        match link.call(Body::PullRequest(pull), PULL_TIMEOUT).await {
            Ok(Body::PullReply(reply)) => apply_reply(&agent, &mut incoming, reply, &peer, sent_at),
            Ok(_) => {
                log::warn!("event=pull_misanswered peer={}", peer.name);
                return;
            }
            Err(error) => {
                log::debug!(
                    "event=pull_failed peer={} error={}",
                    peer.name,
                    logfmt::value(&error)
                );
                return;
            }
        }
        if incoming.next_page_request().is_none() {
            return;
        }
        if transfer.is_none() {
            transfer = agent.incoming_transfer.try_lock().ok();
        }
        if transfer.is_none() {
            return;
        }
    }
}

fn apply_reply(
    agent: &Agent,
    incoming: &mut IncomingDelta,
    reply: PullReply,
    peer: &VmRecord,
    sent_at: Instant,
) {
    if let Some(page) = reply.delta
        && let Err(error) = apply_page(agent, incoming, page)
    {
        log::warn!(
            "event=pull_rejected peer={} error={}",
            peer.name,
            logfmt::value(&error)
        );
        return;
    }
    let ages: Vec<RegionAges> = reply
        .regions
        .into_iter()
        .filter_map(|evidence| evidence.try_into().ok())
        .collect();
    let mut state = agent.state();
    state
        .freshness
        .record_reply(sent_at, &peer.region, reply.revision);
    state.freshness.record_ages(sent_at, &ages);
    let held = state.objects.revision();
    state.freshness.update_held_confirmation(held);
}

/// Adds a page to the incoming delta, and applies the delta once it is complete.
fn apply_page(
    agent: &Agent,
    incoming: &mut IncomingDelta,
    page: Delta,
) -> Result<(), Box<dyn std::error::Error>> {
    if let Some(delta) = incoming.add_page(page)? {
        agent.apply_update(|objects| apply_delta(objects, delta))?;
    }
    Ok(())
}
