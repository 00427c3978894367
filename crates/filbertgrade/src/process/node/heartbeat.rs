//! Datagrams between VMs: who runs, and what teams ask for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{NameError, TeamName, VmName};
use filbertgrade_coord::steering::members::Heartbeat;
use prost::Message;
use tokio::net::UdpSocket;

use super::Node;
use crate::logfmt;
use crate::sync::lock;

/// Time between two heartbeats. A VM counts as down after several of them.
const INTERVAL: Duration = Duration::from_millis(500);

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
        })
    }
}

/// Sends heartbeats until the process ends.
pub(super) async fn send(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        send_once(&node, &socket).await;
        tokio::time::sleep(INTERVAL).await;
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

fn encode(node: &Node, now: Instant) -> Vec<u8> {
    let heartbeat = node.heartbeat(now);
    let mut demand = lock(&node.quotas).demand(now);
    // The teams with most requests go first, in case not all fit.
    demand.sort_by(|a, b| b.1.total_cmp(&a.1));
    let mut wire = WireHeartbeat {
        vm: node.settings.load().vm.as_str().to_owned(),
        incarnation: heartbeat.incarnation,
        number: node.next_heartbeat.fetch_add(1, Ordering::Relaxed),
        ready: heartbeat.ready,
        leaving: heartbeat.leaving,
        demand: demand
            .into_iter()
            .map(|(team, rate)| WireDemand {
                team: team.as_str().to_owned(),
                rate: rate as f32,
            })
            .collect(),
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
            Some(received) => take(&node, received),
            None => log::warn!("event=heartbeat_malformed bytes={len}"),
        }
    }
}

fn take(node: &Node, received: Received) {
    let now = Instant::now();
    let Received {
        vm,
        heartbeat,
        demand,
    } = received;
    if lock(&node.members).heard(&vm, heartbeat, now) {
        log::info!(
            "event=peer_state vm={vm} ready={} leaving={}",
            heartbeat.ready,
            heartbeat.leaving,
        );
    }
    lock(&node.quotas).heard(vm, demand, now);
}
