//! Datagrams between VMs: who runs, and what teams ask for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{NameError, TeamName, VmName};
use filbertgrade_coord::rendezvous;
use filbertgrade_coord::steering::homes::Home;
use filbertgrade_coord::steering::members::Heartbeat;
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
        })
    }
}

/// Sends heartbeats until the process ends, sooner when there are new homes.
pub(super) async fn send(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut next = Instant::now();
    loop {
        let now = Instant::now();
        if now >= next || lock(&node.balancer).homes().has_news() {
            send_once(&node, &socket).await;
            next = now + INTERVAL;
        }
        tokio::time::sleep(NEWS_INTERVAL).await;
    }
}

/// Sends one heartbeat to every VM of the list.
pub(super) async fn send_once(node: &Node, socket: &UdpSocket) {
    let now = Instant::now();
    let bytes = encode(node, now);
    let peers: Vec<SocketAddr> = lock(&node.members)
        .peers()
        .map(|member| member.heartbeats)
        .collect();
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
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
    let mut demand = lock(&node.quotas).demand(now);
    // The teams with most requests go first, in case not all fit.
    demand.sort_by(|a, b| b.1.total_cmp(&a.1));
    let homes = lock(&node.balancer).homes().take_news(MOST_HOMES);
    let mut wire = WireHeartbeat {
        homes: homes.into_iter().map(WireHome::from).collect(),
        wants_homes: now.saturating_duration_since(node.started) < ASK_TIME,
        demand: demand
            .into_iter()
            .map(|(team, rate)| WireDemand {
                team: team.as_str().to_owned(),
                rate: rate as f32,
            })
            .collect(),
        ..header(node, now)
    };
    while wire.encoded_len() > MOST_BYTES && wire.demand.pop().is_some() {}
    wire.encode_to_vec()
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
    } = received;
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
