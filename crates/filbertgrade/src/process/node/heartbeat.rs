//! Datagrams between VMs: who runs, and what teams ask for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{TeamName, VmName};
use filbertgrade_coord::rendezvous;
use filbertgrade_coord::steering::members::Member;
use prost::Message;
use tokio::net::UdpSocket;

use super::{Node, store, tokens};
use crate::logfmt;
use crate::sync::lock;
use crate::wire::peer::{
    Datagram, DatagramBody, Received, ReceivedHeartbeat, WireDemand, WireDemands, WireHeartbeat,
    WireHome, WireRegion,
};

/// Time between two heartbeats. A VM counts as down after several of them.
const INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two heartbeats, when there are new homes.
const NEWS_INTERVAL: Duration = Duration::from_millis(50);

/// How long after its start a node asks others for the homes that they know.
const ASK_TIME: Duration = Duration::from_secs(2);

/// Homes in one heartbeat.
const MOST_HOMES: usize = 40;

/// Longest datagram that passes common links in one piece.
const MOST_BYTES: usize = 1_400;

/// Sends heartbeats until the process ends, sooner when there are new homes.
pub(super) async fn send(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut next = Instant::now();
    // Apart from the other heartbeats, which news of homes bring forward.
    let mut next_of_region = next;
    loop {
        let now = Instant::now();
        if now >= next_of_region {
            send_region(&node, &socket).await;
            next_of_region = now + INTERVAL;
        }
        let newcomers = lock(&node.members).take_new_members();
        if now >= next || lock(&node.balancer).affinities().has_pending_updates() {
            send_once(&node, &socket, Reach::Region).await;
            next = now + INTERVAL;
        } else if !newcomers.is_empty() {
            let bytes = encode(&node, now);
            let is_new = |member: &Member| newcomers.contains(&member.peer_address);
            send_to(&node, &socket, &bytes, is_new).await;
        }
        tokio::time::sleep(NEWS_INTERVAL).await;
    }
}

/// Which VMs a heartbeat goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reach {
    /// Those of the own region, so that heartbeats do not grow with the square
    /// of the fleet.
    Region,
    /// All, when a VM stops.
    Fleet,
}

/// Sends one heartbeat.
pub(super) async fn send_once(node: &Node, socket: &UdpSocket, reach: Reach) {
    let bytes = encode(node, Instant::now());
    let region = node.settings.load().region.clone();
    let reached = |member: &Member| reach == Reach::Fleet || member.region == region;
    send_to(node, socket, &bytes, reached).await;
}

/// Speaks for the region to all others, if this node is its relay.
async fn send_region(node: &Node, socket: &UdpSocket) {
    let now = Instant::now();
    if lock(&node.members).relay(now).is_some() {
        return;
    }
    let bytes = encode_region(node, now);
    let region = node.settings.load().region.clone();
    send_to(node, socket, &bytes, |member| member.region != region).await;
}

async fn send_to(node: &Node, socket: &UdpSocket, bytes: &[u8], reached: impl Fn(&Member) -> bool) {
    let peers: Vec<SocketAddr> = lock(&node.members)
        .peers()
        .filter(|member| reached(member))
        .map(|member| member.peer_address)
        .collect();
    for peer in peers {
        if let Err(error) = socket.send_to(bytes, peer).await {
            // The next heartbeat follows soon.
            let error = logfmt::value(&error);
            log::debug!("event=heartbeat_not_sent peer={peer} error={error}");
        }
    }
}

fn datagram(heartbeat: WireHeartbeat) -> Vec<u8> {
    Datagram::from(DatagramBody::Heartbeat(heartbeat)).encode_to_vec()
}

fn header(node: &Node, now: Instant) -> WireHeartbeat {
    let heartbeat = node.heartbeat(now);
    let steady = lock(&node.store_health).available_for(node.started, now);
    WireHeartbeat {
        vm: node.settings.load().vm.as_str().to_owned(),
        incarnation: heartbeat.incarnation,
        number: node.next_heartbeat.fetch_add(1, Ordering::Relaxed),
        ready: heartbeat.ready,
        leaving: heartbeat.leaving,
        store_steady_ms: u64::try_from(steady.as_millis()).unwrap_or(u64::MAX),
        ..WireHeartbeat::default()
    }
}

fn encode(node: &Node, now: Instant) -> Vec<u8> {
    let demand = lock(&node.quotas).demand(now);
    let homes = lock(&node.balancer)
        .affinities()
        .take_pending_updates(MOST_HOMES);
    let mut wire = WireHeartbeat {
        homes: homes.into_iter().map(WireHome::from).collect(),
        wants_homes: now.saturating_duration_since(node.started) < ASK_TIME,
        demand: Some(wire_demand(demand)),
        ..header(node, now)
    };
    fit(&mut wire);
    datagram(wire)
}

fn encode_region(node: &Node, now: Instant) -> Vec<u8> {
    let state = lock(&node.members).region_summary(node.is_ready(now), now);
    let names = |wanted: bool| {
        let named = state.iter().filter(|(_, ready)| *ready == wanted);
        named.map(|(vm, _)| vm.as_str().to_owned()).collect()
    };
    let demand = lock(&node.quotas).region_demand(now);
    let mut wire = WireHeartbeat {
        region: Some(WireRegion {
            region: node.settings.load().region.as_str().to_owned(),
            ready: names(true),
            not_ready: names(false),
        }),
        demand: Some(wire_demand(demand)),
        ..header(node, now)
    };
    fit(&mut wire);
    datagram(wire)
}

/// The teams with most requests go first, in case not all fit.
fn wire_demand(mut demand: Vec<(TeamName, f64)>) -> WireDemands {
    demand.sort_by(|a, b| b.1.total_cmp(&a.1));
    let teams = demand.into_iter().map(|(team, rate)| WireDemand {
        team: team.as_str().to_owned(),
        rate: rate as f32,
    });
    WireDemands {
        teams: teams.collect(),
    }
}

fn fit(wire: &mut WireHeartbeat) {
    while wire.encoded_len() > MOST_BYTES {
        let teams = wire.demand.as_mut().map(|demand| &mut demand.teams);
        if teams.and_then(Vec::pop).is_none() {
            return;
        }
    }
}

/// Takes datagrams of other VMs until the process ends.
pub(super) async fn receive(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut buf = [0_u8; 2 * MOST_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("event=heartbeat_not_read error={}", logfmt::value(&error));
                tokio::time::sleep(INTERVAL).await;
                continue;
            }
        };
        match Received::decode(&buf[..len]) {
            Ok(Received::Heartbeat(heartbeat)) => {
                let asker = take(&node, heartbeat);
                if let Some(asker) = asker {
                    tell_homes(&node, &socket, &asker).await;
                }
            }
            Ok(Received::Question(question)) => {
                tokens::answer(&node, &socket, from, &question).await;
            }
            Ok(Received::Answer(answer)) => node.token_requests.answered(&answer),
            Err(error) => {
                let error = logfmt::value(&error);
                log::warn!("event=heartbeat_malformed bytes={len} error={error}");
            }
        }
    }
}

/// Sends a node that has just started all homes.
async fn tell_homes(node: &Node, socket: &UdpSocket, vm: &VmName) {
    let address = lock(&node.members)
        .peers()
        .find(|member| member.vm == *vm)
        .map(|member| member.peer_address);
    let Some(address) = address else {
        return;
    };
    let now = Instant::now();
    let homes = lock(&node.balancer).affinities().snapshot(now);
    for part in homes.chunks(MOST_HOMES) {
        let wire = WireHeartbeat {
            homes: part.iter().copied().map(WireHome::from).collect(),
            ..header(node, now)
        };
        if let Err(error) = socket.send_to(&datagram(wire), address).await {
            log::debug!(
                "event=homes_not_sent peer={address} error={}",
                logfmt::value(&error)
            );
        }
    }
}

/// Takes a heartbeat. Returns its sender when this node is the one to tell it
/// all homes.
fn take(node: &Node, received: ReceivedHeartbeat) -> Option<VmName> {
    let now = Instant::now();
    let ReceivedHeartbeat {
        vm,
        heartbeat,
        demand,
        homes,
        wants_homes,
        store_steady,
        region,
    } = received;
    if let Some(state) = region {
        lock(&node.members).record_region_summary(&state.region, &state.running, now);
        lock(&node.quotas).record_region_demand(state.region, demand.unwrap_or_default(), now);
        return None;
    }
    if lock(&node.members).record_heartbeat(&vm, heartbeat, now) {
        log::info!(
            "event=peer_state vm={vm} ready={} leaving={}",
            heartbeat.ready,
            heartbeat.leaving,
        );
    }
    store::record_peer_store_uptime(node, store_steady, now);
    lock(&node.balancer).apply_affinities(homes, now);
    let mut asker = None;
    if wants_homes {
        let running = lock(&node.members).running(now);
        let others = running.iter().filter(|name| **name != vm);
        if rendezvous::owner(vm.as_str(), others) == Some(&node.settings.load().vm) {
            asker = Some(vm.clone());
        }
    }
    if heartbeat.leaving {
        lock(&node.quotas).mark_peer_leaving(&vm);
    } else if let Some(demand) = demand {
        lock(&node.quotas).record_peer_demand(vm, demand, now);
    }
    asker
}
