//! Heartbeats and other datagrams between VMs: which VMs run, the arrivals of
//! teams, and the affinities of objects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{RegionName, TeamName, VmName};
use filbertgrade_coord::rendezvous;
use filbertgrade_coord::steering::endpoint_limit::RateNotice;
use filbertgrade_coord::steering::members::Member;
use prost::Message;
use tokio::net::UdpSocket;

use super::{Node, endpoint_rates, store, tokens};
use crate::logfmt;
use crate::sync::lock;
use crate::wire::peer::{
    Datagram, DatagramBody, Received, ReceivedHeartbeat, WireAffinity, WireDemand, WireDemands,
    WireEndpointRate, WireHeartbeat, WireRegionSummary,
};

/// Time between two heartbeats. A VM is considered down after several of them
/// are missing.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two heartbeats while affinity updates are pending.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// How long after its start a node requests all affinities from other VMs.
const AFFINITY_REQUEST_PERIOD: Duration = Duration::from_secs(2);

/// Largest number of affinities in one heartbeat.
const MAX_AFFINITIES_PER_HEARTBEAT: usize = 40;

/// Largest number of endpoint rates in one datagram.
const MAX_RATES_PER_DATAGRAM: usize = 20;

/// Longest datagram that common links transmit without fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Bytes of a field's number and length in a datagram, at most.
const MAX_FIELD_OVERHEAD_BYTES: usize = 4;

/// Longest list of names of VMs in a region summary, in bytes. The rest of the
/// datagram is for the demand of teams.
const MAX_SUMMARY_NAME_BYTES: usize = 500;

/// Sends heartbeats and region summaries until the process ends. A heartbeat is
/// sent early when affinity updates are pending or the state of this VM changed.
pub(super) async fn send(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut next_heartbeat = Instant::now();
    // Has its own schedule, since pending affinity updates make heartbeats more
    // frequent.
    let mut next_region_summary = next_heartbeat;
    let mut sent_state = None;
    loop {
        let now = Instant::now();
        let state = Some(node.heartbeat(now));
        if now >= next_region_summary {
            send_region_summary(&node, &socket).await;
            next_region_summary = now + HEARTBEAT_INTERVAL;
        }
        if now >= next_heartbeat || lock(&node.balancer).has_urgent_rates() {
            let rates = lock(&node.balancer).take_pending_rates(now);
            send_rates(&node, &socket, &rates, BroadcastScope::Region).await;
        }
        let new_members = lock(&node.members).take_new_members();
        if now >= next_heartbeat
            || state != sent_state
            || lock(&node.balancer).affinities().has_pending_updates()
        {
            sent_state = state;
            send_once(&node, &socket, BroadcastScope::Region).await;
            next_heartbeat = now + HEARTBEAT_INTERVAL;
        } else if !new_members.is_empty() {
            let bytes = encode_heartbeat(&node, now);
            let is_new = |member: &Member| new_members.contains(&member.peer_address);
            send_to(&node, &socket, &bytes, is_new).await;
        }
        tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
    }
}

/// The VMs to which a heartbeat is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BroadcastScope {
    /// The VMs of this region. Used for periodic heartbeats, whose number would
    /// otherwise grow with the square of the number of VMs in all regions.
    Region,
    /// The VMs of the other regions. Used for what the VM that follows the store
    /// sends on behalf of its region.
    OtherRegions,
    /// The VMs of all regions. Used when this VM stops.
    Fleet,
}

impl BroadcastScope {
    fn includes(self, member: &Member, region: &RegionName) -> bool {
        match self {
            Self::Region => member.region == *region,
            Self::OtherRegions => member.region != *region,
            Self::Fleet => true,
        }
    }
}

/// Sends one heartbeat.
pub(super) async fn send_once(node: &Node, socket: &UdpSocket, scope: BroadcastScope) {
    let bytes = encode_heartbeat(node, Instant::now());
    let region = node.settings.load().region.clone();
    send_to(node, socket, &bytes, |member| {
        scope.includes(member, &region)
    })
    .await;
}

/// Sends a summary of this region to the VMs of all other regions, if this node
/// follows the store for its region, that is, if it has no relay itself.
async fn send_region_summary(node: &Node, socket: &UdpSocket) {
    let now = Instant::now();
    let store_unreachable = lock(&node.store_health).is_unreachable();
    if lock(&node.members).relay(store_unreachable, now).is_some() {
        return;
    }
    let bytes = encode_region_summary(node, now);
    let region = node.settings.load().region.clone();
    let scope = BroadcastScope::OtherRegions;
    send_to(node, socket, &bytes, |member| {
        scope.includes(member, &region)
    })
    .await;
    let rates = lock(&node.balancer).recent_rates(now);
    send_rates(node, socket, &rates, scope).await;
}

/// Sends the rates that endpoints named, in as many datagrams as needed.
async fn send_rates(node: &Node, socket: &UdpSocket, rates: &[RateNotice], scope: BroadcastScope) {
    let region = node.settings.load().region.clone();
    for chunk in rates.chunks(MAX_RATES_PER_DATAGRAM) {
        let now = Instant::now();
        let rates = chunk.iter().map(|rate| WireEndpointRate::new(rate, now));
        let wire = WireHeartbeat {
            endpoint_rates: rates.collect(),
            ..base_heartbeat(node, now)
        };
        let bytes = encode_datagram(wire);
        send_to(node, socket, &bytes, |member| {
            scope.includes(member, &region)
        })
        .await;
    }
}

async fn send_to(
    node: &Node,
    socket: &UdpSocket,
    bytes: &[u8],
    is_recipient: impl Fn(&Member) -> bool,
) {
    let peers: Vec<SocketAddr> = lock(&node.members)
        .peers()
        .filter(|member| is_recipient(member))
        .map(|member| member.peer_address)
        .collect();
    for peer in peers {
        if let Err(error) = socket.send_to(bytes, peer).await {
            // Not retried, since the next heartbeat follows soon.
            let error = logfmt::value(&error);
            log::debug!("event=heartbeat_not_sent peer={peer} error={error}");
        }
    }
}

fn encode_datagram(heartbeat: WireHeartbeat) -> Vec<u8> {
    Datagram::from(DatagramBody::Heartbeat(heartbeat)).encode_to_vec()
}

/// Returns a heartbeat with the fields that every datagram of this type has,
/// under a new number.
fn base_heartbeat(node: &Node, now: Instant) -> WireHeartbeat {
    let heartbeat = node.heartbeat(now);
    let uptime = lock(&node.store_health).available_for(node.started, now);
    WireHeartbeat {
        vm: node.settings.load().vm.as_str().to_owned(),
        incarnation: heartbeat.incarnation,
        number: node.next_heartbeat.fetch_add(1, Ordering::Relaxed),
        ready: heartbeat.ready,
        leaving: heartbeat.leaving,
        store_unreachable: heartbeat.store_unreachable,
        store_uptime_ms: u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX),
        ..WireHeartbeat::default()
    }
}

/// Encodes a heartbeat with this VM's demand, and moves pending affinity updates
/// into it, at most [`MAX_AFFINITIES_PER_HEARTBEAT`].
fn encode_heartbeat(node: &Node, now: Instant) -> Vec<u8> {
    let demand = lock(&node.quotas).demand(now);
    let affinities = lock(&node.balancer)
        .affinities()
        .take_pending_updates(MAX_AFFINITIES_PER_HEARTBEAT);
    let mut wire = WireHeartbeat {
        affinities: affinities.into_iter().map(WireAffinity::from).collect(),
        wants_affinities: now.saturating_duration_since(node.started) < AFFINITY_REQUEST_PERIOD,
        demand: Some(wire_demand(demand)),
        ..base_heartbeat(node, now)
    };
    truncate_demand(&mut wire);
    encode_datagram(wire)
}

fn encode_region_summary(node: &Node, now: Instant) -> Vec<u8> {
    let vms = lock(&node.members).region_summary(node.is_ready(now), MAX_SUMMARY_NAME_BYTES, now);
    let demand = lock(&node.quotas).region_demand(now);
    let region = node.settings.load().region.clone();
    let mut wire = WireHeartbeat {
        region_summary: Some(WireRegionSummary::new(&region, &vms)),
        demand: Some(wire_demand(demand)),
        ..base_heartbeat(node, now)
    };
    truncate_demand(&mut wire);
    encode_datagram(wire)
}

fn wire_demand(demand: Vec<(TeamName, f64)>) -> WireDemands {
    let teams = demand.into_iter().map(|(team, rate)| WireDemand {
        team: team.as_str().to_owned(),
        rate: rate as f32,
    });
    WireDemands {
        teams: teams.collect(),
    }
}

/// Removes the teams for which the heartbeat has no room, so that it is at most
/// [`MAX_DATAGRAM_BYTES`] long: those furthest below their limits, which are the last,
/// and any whose name is too long for the rest of the room.
fn truncate_demand(wire: &mut WireHeartbeat) {
    let Some(mut demand) = wire.demand.take() else {
        return;
    };
    let used = wire.encoded_len() + MAX_FIELD_OVERHEAD_BYTES;
    let mut room = MAX_DATAGRAM_BYTES.saturating_sub(used);
    demand.teams.retain(|team| {
        let needed = team.encoded_len() + MAX_FIELD_OVERHEAD_BYTES;
        let fits = needed <= room;
        if fits {
            room -= needed;
        }
        fits
    });
    wire.demand = Some(demand);
}

/// Receives and handles datagrams of other VMs until the process ends.
pub(super) async fn receive(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut buf = [0_u8; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("event=heartbeat_not_read error={}", logfmt::value(&error));
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
                continue;
            }
        };
        match Received::decode(&buf[..len]) {
            Ok(Received::Heartbeat(heartbeat)) => {
                let requester = apply_heartbeat(&node, heartbeat);
                if let Some(requester) = requester {
                    send_affinities(&node, &socket, &requester).await;
                }
            }
            Ok(Received::TokenRequest(request)) => {
                tokens::respond(&node, &socket, from, &request).await;
            }
            Ok(Received::TokenResponse(response)) => node.token_requests.complete(&response),
            Ok(Received::EndpointTokenRequest(request)) => {
                endpoint_rates::respond(&node, &socket, from, &request).await;
            }
            Err(error) => {
                let error = logfmt::value(&error);
                log::warn!("event=heartbeat_malformed bytes={len} error={error}");
            }
        }
    }
}

/// Sends all known affinities to a VM that has requested them, in as many
/// datagrams as needed.
async fn send_affinities(node: &Node, socket: &UdpSocket, vm: &VmName) {
    let address = lock(&node.members)
        .peers()
        .find(|member| member.vm == *vm)
        .map(|member| member.peer_address);
    let Some(address) = address else {
        return;
    };
    let now = Instant::now();
    let affinities = lock(&node.balancer).affinities().snapshot(now);
    for chunk in affinities.chunks(MAX_AFFINITIES_PER_HEARTBEAT) {
        let wire = WireHeartbeat {
            affinities: chunk.iter().copied().map(WireAffinity::from).collect(),
            ..base_heartbeat(node, now)
        };
        if let Err(error) = socket.send_to(&encode_datagram(wire), address).await {
            log::debug!(
                "event=homes_not_sent peer={address} error={}",
                logfmt::value(&error)
            );
        }
    }
}

/// Applies a heartbeat or region summary. Returns the sender if it requests all
/// affinities and this node is the one to send them: rendezvous hashing selects
/// one of the running VMs, so that they are not sent by all of them.
fn apply_heartbeat(node: &Node, received: ReceivedHeartbeat) -> Option<VmName> {
    let now = Instant::now();
    let ReceivedHeartbeat {
        vm,
        heartbeat,
        demand,
        affinities,
        wants_affinities,
        store_uptime,
        region_summary,
        endpoint_rates,
    } = received;
    if let Some(summary) = region_summary {
        lock(&node.members).record_region_summary(&summary.region, &summary.vms, now);
        lock(&node.quotas).record_region_demand(summary.region, demand.unwrap_or_default(), now);
        return None;
    }
    if lock(&node.members).record_heartbeat(&vm, heartbeat, now) {
        log::info!(
            "event=peer_state vm={} ready={} leaving={} store_unreachable={}",
            logfmt::value(&vm),
            heartbeat.ready,
            heartbeat.leaving,
            heartbeat.store_unreachable,
        );
    }
    endpoint_rates::apply(node, &endpoint_rates, now);
    store::detect_local_outage(node, store_uptime, now);
    lock(&node.balancer).apply_affinities(affinities, now);
    let mut requester = None;
    if wants_affinities {
        let running = lock(&node.members).running(now);
        let others = running.iter().filter(|name| **name != vm);
        if rendezvous::owner(vm.as_str(), others) == Some(&node.settings.load().vm) {
            requester = Some(vm.clone());
        }
    }
    if heartbeat.leaving {
        lock(&node.quotas).mark_peer_leaving(&vm);
    } else if let Some(demand) = demand {
        lock(&node.quotas).record_peer_demand(vm, demand, now);
    }
    requester
}
