//! Datagrams between VMs: who runs, and what teams ask for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{NameError, RegionName, TeamName, VmName};
use filbertgrade_coord::rendezvous;
use filbertgrade_coord::steering::homes::Home;
use filbertgrade_coord::steering::members::{Heartbeat, Member};
use prost::Message;
use tokio::net::UdpSocket;

use super::{Node, store};
use crate::logfmt;
use crate::sync::lock;

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

/// A heartbeat as it is sent.
#[derive(Clone, PartialEq, Message)]
struct WireHeartbeat {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    /// Grows with each heartbeat of an incarnation.
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(bool, tag = "4")]
    ready: bool,
    #[prost(bool, tag = "5")]
    leaving: bool,
    #[prost(message, repeated, tag = "6")]
    demand: Vec<WireDemand>,
    #[prost(message, repeated, tag = "7")]
    homes: Vec<WireHome>,
    /// The sender has just started and knows no homes.
    #[prost(bool, tag = "8")]
    wants_homes: bool,
    /// How long the store has answered the sender without an outage.
    #[prost(uint64, tag = "9")]
    store_steady_ms: u64,
    /// Set when the datagram speaks for all VMs of the sender's region.
    #[prost(message, optional, tag = "10")]
    region: Option<WireRegion>,
}

/// The VMs of a region that run.
#[derive(Clone, PartialEq, Message)]
struct WireRegion {
    #[prost(string, tag = "1")]
    region: String,
    #[prost(string, repeated, tag = "2")]
    ready: Vec<String>,
    /// Those that run and cannot serve callers.
    #[prost(string, repeated, tag = "3")]
    not_ready: Vec<String>,
}

/// Where an object is handled.
#[derive(Clone, Copy, PartialEq, Message)]
struct WireHome {
    #[prost(fixed64, tag = "1")]
    object: u64,
    #[prost(fixed64, tag = "2")]
    endpoint: u64,
    #[prost(uint64, tag = "3")]
    change: u64,
    #[prost(bool, tag = "4")]
    confirmed: bool,
}

impl From<Home> for WireHome {
    fn from(home: Home) -> Self {
        Self {
            object: home.object,
            endpoint: home.endpoint,
            change: home.change,
            confirmed: home.confirmed,
        }
    }
}

impl From<WireHome> for Home {
    fn from(wire: WireHome) -> Self {
        Self {
            object: wire.object,
            endpoint: wire.endpoint,
            change: wire.change,
            confirmed: wire.confirmed,
        }
    }
}

/// Requests of one team that arrive at the sender.
#[derive(Clone, PartialEq, Message)]
struct WireDemand {
    #[prost(string, tag = "1")]
    team: String,
    /// Requests a second.
    #[prost(float, tag = "2")]
    rate: f32,
}

/// A heartbeat that was received.
#[derive(Debug)]
struct Received {
    vm: VmName,
    heartbeat: Heartbeat,
    demand: HashMap<TeamName, f64>,
    homes: Vec<Home>,
    wants_homes: bool,
    store_steady: Duration,
    region: Option<RegionState>,
}

/// The VMs of a region that run, and whether they are ready.
#[derive(Debug)]
struct RegionState {
    region: RegionName,
    running: HashMap<VmName, bool>,
}

impl TryFrom<WireRegion> for RegionState {
    type Error = NameError;

    fn try_from(wire: WireRegion) -> Result<Self, NameError> {
        let mut running = HashMap::new();
        for (names, ready) in [(&wire.ready, true), (&wire.not_ready, false)] {
            for name in names {
                running.insert(VmName::try_from(name.as_str())?, ready);
            }
        }
        Ok(Self {
            region: RegionName::try_from(wire.region.as_str())?,
            running,
        })
    }
}

impl TryFrom<WireHeartbeat> for Received {
    type Error = NameError;

    fn try_from(wire: WireHeartbeat) -> Result<Self, NameError> {
        let mut demand = HashMap::new();
        for entry in wire.demand {
            let rate = f64::from(entry.rate);
            if rate.is_finite() {
                demand.insert(TeamName::try_from(entry.team.as_str())?, rate);
            }
        }
        Ok(Self {
            vm: VmName::try_from(wire.vm.as_str())?,
            heartbeat: Heartbeat {
                incarnation: wire.incarnation,
                ready: wire.ready,
                leaving: wire.leaving,
            },
            demand,
            homes: wire.homes.into_iter().map(Home::from).collect(),
            wants_homes: wire.wants_homes,
            store_steady: Duration::from_millis(wire.store_steady_ms),
            region: wire.region.map(RegionState::try_from).transpose()?,
        })
    }
}

/// Sends heartbeats until the process ends, sooner when there are new homes.
pub(super) async fn send(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut next = Instant::now();
    loop {
        let now = Instant::now();
        if now >= next {
            send_region(&node, &socket).await;
        }
        if now >= next || lock(&node.balancer).homes().has_news() {
            send_once(&node, &socket, Reach::Region).await;
            next = now + INTERVAL;
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
        .map(|member| member.heartbeats)
        .collect();
    for peer in peers {
        if let Err(error) = socket.send_to(bytes, peer).await {
            // The next heartbeat follows soon.
            let error = logfmt::value(&error);
            log::debug!("event=heartbeat_not_sent peer={peer} error={error}");
        }
    }
}

fn header(node: &Node, now: Instant) -> WireHeartbeat {
    let heartbeat = node.heartbeat(now);
    let steady = lock(&node.evidence).steady_for(node.started, now);
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
    let homes = lock(&node.balancer).homes().take_news(MOST_HOMES);
    let mut wire = WireHeartbeat {
        homes: homes.into_iter().map(WireHome::from).collect(),
        wants_homes: now.saturating_duration_since(node.started) < ASK_TIME,
        demand: wire_demand(demand),
        ..header(node, now)
    };
    fit(&mut wire);
    wire.encode_to_vec()
}

fn encode_region(node: &Node, now: Instant) -> Vec<u8> {
    let state = lock(&node.members).region_state(node.is_ready(now), now);
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
        demand: wire_demand(demand),
        ..header(node, now)
    };
    fit(&mut wire);
    wire.encode_to_vec()
}

/// The teams with most requests go first, in case not all fit.
fn wire_demand(mut demand: Vec<(TeamName, f64)>) -> Vec<WireDemand> {
    demand.sort_by(|a, b| b.1.total_cmp(&a.1));
    demand
        .into_iter()
        .map(|(team, rate)| WireDemand {
            team: team.as_str().to_owned(),
            rate: rate as f32,
        })
        .collect()
}

fn fit(wire: &mut WireHeartbeat) {
    while wire.encoded_len() > MOST_BYTES && wire.demand.pop().is_some() {}
}

/// Takes heartbeats until the process ends.
pub(super) async fn receive(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut buf = [0_u8; 2 * MOST_BYTES];
    loop {
        let len = match socket.recv_from(&mut buf).await {
            Ok((len, _)) => len,
            Err(error) => {
                log::debug!("event=heartbeat_not_read error={}", logfmt::value(&error));
                tokio::time::sleep(INTERVAL).await;
                continue;
            }
        };
        let received = WireHeartbeat::decode(&buf[..len])
            .ok()
            .and_then(|wire| Received::try_from(wire).ok());
        match received {
            Some(received) => {
                let asker = take(&node, received);
                if let Some(asker) = asker {
                    tell_homes(&node, &socket, &asker).await;
                }
            }
            None => log::warn!("event=heartbeat_malformed bytes={len}"),
        }
    }
}

/// Sends a node that has just started all homes.
async fn tell_homes(node: &Node, socket: &UdpSocket, vm: &VmName) {
    let address = lock(&node.members)
        .peers()
        .find(|member| member.vm == *vm)
        .map(|member| member.heartbeats);
    let Some(address) = address else {
        return;
    };
    let now = Instant::now();
    let homes = lock(&node.balancer).homes().all(now);
    for part in homes.chunks(MOST_HOMES) {
        let wire = WireHeartbeat {
            homes: part.iter().copied().map(WireHome::from).collect(),
            ..header(node, now)
        };
        if let Err(error) = socket.send_to(&wire.encode_to_vec(), address).await {
            log::debug!(
                "event=homes_not_sent peer={address} error={}",
                logfmt::value(&error)
            );
        }
    }
}

/// Takes a heartbeat. Returns its sender when this node is the one to tell it
/// all homes.
fn take(node: &Node, received: Received) -> Option<VmName> {
    let now = Instant::now();
    let Received {
        vm,
        heartbeat,
        demand,
        homes,
        wants_homes,
        store_steady,
        region,
    } = received;
    if let Some(state) = region {
        lock(&node.members).heard_region(&state.region, &state.running, now);
        lock(&node.quotas).heard_region(state.region, demand, now);
        return None;
    }
    if lock(&node.members).heard(&vm, heartbeat, now) {
        log::info!(
            "event=peer_state vm={vm} ready={} leaving={}",
            heartbeat.ready,
            heartbeat.leaving,
        );
    }
    store::heard_steady(node, store_steady, now);
    lock(&node.balancer).heard_homes(homes, now);
    let mut asker = None;
    if wants_homes {
        let running = lock(&node.members).running(now);
        let others = running.iter().filter(|name| **name != vm);
        if rendezvous::owner(vm.as_str(), others) == Some(&node.settings.load().vm) {
            asker = Some(vm.clone());
        }
    }
    // A part of all homes carries no demand.
    if !demand.is_empty() || !heartbeat.ready {
        lock(&node.quotas).heard(vm, demand, now);
    }
    asker
}
