//! Datagrams between VMs.

use std::collections::HashMap;
use std::time::Duration;

use filbertgrade_coord::names::{NameError, RegionName, TeamName, VmName};
use filbertgrade_coord::steering::affinity::Affinity;
use filbertgrade_coord::steering::members::Heartbeat;
use filbertgrade_coord::steering::quota::Grant;
use prost::Message;

/// One datagram.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Datagram {
    #[prost(oneof = "DatagramBody", tags = "1, 2, 3")]
    body: Option<DatagramBody>,
}

/// Content of a [`Datagram`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum DatagramBody {
    #[prost(message, tag = "1")]
    Heartbeat(WireHeartbeat),
    #[prost(message, tag = "2")]
    Question(TokenQuestion),
    #[prost(message, tag = "3")]
    Answer(TokenAnswer),
}

impl From<DatagramBody> for Datagram {
    fn from(body: DatagramBody) -> Self {
        Self { body: Some(body) }
    }
}

/// A datagram that was received.
#[derive(Debug)]
pub(crate) enum Received {
    Heartbeat(ReceivedHeartbeat),
    Question(TokenQuestion),
    Answer(TokenAnswer),
}

/// Why a datagram cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DatagramError {
    /// The bytes are not a datagram of this format.
    #[error("malformed datagram: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A name in it is not valid.
    #[error("invalid name: {0}")]
    Name(#[from] NameError),
    /// It holds nothing that this version knows.
    #[error("empty datagram")]
    Empty,
}

impl Received {
    /// Decodes a datagram and checks what is in it.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        match Datagram::decode(bytes)?.body.ok_or(DatagramError::Empty)? {
            DatagramBody::Heartbeat(wire) => Ok(Self::Heartbeat(wire.try_into()?)),
            DatagramBody::Question(question) => Ok(Self::Question(question)),
            DatagramBody::Answer(answer) => Ok(Self::Answer(answer)),
        }
    }
}

/// A heartbeat.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireHeartbeat {
    #[prost(string, tag = "1")]
    pub(crate) vm: String,
    #[prost(fixed64, tag = "2")]
    pub(crate) incarnation: u64,
    /// Grows with each heartbeat of an incarnation.
    #[prost(uint64, tag = "3")]
    pub(crate) number: u64,
    #[prost(bool, tag = "4")]
    pub(crate) ready: bool,
    #[prost(bool, tag = "5")]
    pub(crate) leaving: bool,
    /// Absent when the datagram only tells homes.
    #[prost(message, optional, tag = "6")]
    pub(crate) demand: Option<WireDemands>,
    #[prost(message, repeated, tag = "7")]
    pub(crate) homes: Vec<WireHome>,
    /// The sender has just started and knows no homes.
    #[prost(bool, tag = "8")]
    pub(crate) wants_homes: bool,
    /// How long the store has answered the sender without an outage.
    #[prost(uint64, tag = "9")]
    pub(crate) store_steady_ms: u64,
    /// Set when the datagram speaks for all VMs of the sender's region.
    #[prost(message, optional, tag = "10")]
    pub(crate) region: Option<WireRegion>,
}

/// The VMs of a region that run.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRegion {
    #[prost(string, tag = "1")]
    pub(crate) region: String,
    #[prost(string, repeated, tag = "2")]
    pub(crate) ready: Vec<String>,
    /// Those that run and cannot serve callers.
    #[prost(string, repeated, tag = "3")]
    pub(crate) not_ready: Vec<String>,
}

/// Where an object is handled.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct WireHome {
    #[prost(fixed64, tag = "1")]
    pub(crate) object: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) endpoint: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) change: u64,
    #[prost(bool, tag = "4")]
    pub(crate) confirmed: bool,
}

impl From<Affinity> for WireHome {
    fn from(home: Affinity) -> Self {
        Self {
            object: home.object,
            endpoint: home.endpoint,
            change: home.version,
            confirmed: home.confirmed,
        }
    }
}

impl From<WireHome> for Affinity {
    fn from(wire: WireHome) -> Self {
        Self {
            object: wire.object,
            endpoint: wire.endpoint,
            version: wire.change,
            confirmed: wire.confirmed,
        }
    }
}

/// Arrivals that the sender counts.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireDemands {
    #[prost(message, repeated, tag = "1")]
    pub(crate) teams: Vec<WireDemand>,
}

/// Arrivals of one team.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireDemand {
    #[prost(string, tag = "1")]
    pub(crate) team: String,
    /// Requests a second.
    #[prost(float, tag = "2")]
    pub(crate) rate: f32,
}

/// A heartbeat that was received.
#[derive(Debug)]
pub(crate) struct ReceivedHeartbeat {
    pub(crate) vm: VmName,
    pub(crate) heartbeat: Heartbeat,
    /// Requests a second that the sender counts, if it told them.
    pub(crate) demand: Option<HashMap<TeamName, f64>>,
    pub(crate) homes: Vec<Affinity>,
    pub(crate) wants_homes: bool,
    pub(crate) store_steady: Duration,
    pub(crate) region: Option<RegionState>,
}

/// The VMs of a region that run, and whether they are ready.
#[derive(Debug)]
pub(crate) struct RegionState {
    pub(crate) region: RegionName,
    pub(crate) running: HashMap<VmName, bool>,
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

impl TryFrom<WireHeartbeat> for ReceivedHeartbeat {
    type Error = NameError;

    fn try_from(wire: WireHeartbeat) -> Result<Self, NameError> {
        Ok(Self {
            vm: VmName::try_from(wire.vm.as_str())?,
            heartbeat: Heartbeat {
                incarnation: wire.incarnation,
                ready: wire.ready,
                leaving: wire.leaving,
            },
            demand: wire.demand.map(demand).transpose()?,
            homes: wire.homes.into_iter().map(Affinity::from).collect(),
            wants_homes: wire.wants_homes,
            store_steady: Duration::from_millis(wire.store_steady_ms),
            region: wire.region.map(RegionState::try_from).transpose()?,
        })
    }
}

fn demand(wire: WireDemands) -> Result<HashMap<TeamName, f64>, NameError> {
    let mut demand = HashMap::new();
    for entry in wire.teams {
        let rate = f64::from(entry.rate);
        if rate.is_finite() {
            demand.insert(TeamName::try_from(entry.team.as_str())?, rate);
        }
    }
    Ok(demand)
}

/// Asks a holder of a team's limit for tokens.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct TokenQuestion {
    /// Number that the asking VM chose; the answer repeats it.
    #[prost(fixed64, tag = "1")]
    pub(crate) number: u64,
    #[prost(string, tag = "2")]
    pub(crate) team: String,
    /// Tokens that are wanted.
    #[prost(uint32, tag = "3")]
    pub(crate) tokens: u32,
    /// Requests that arrived and that no holder has counted.
    #[prost(uint32, tag = "4")]
    pub(crate) arrivals: u32,
}

/// Answer to a [`TokenQuestion`].
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct TokenAnswer {
    #[prost(fixed64, tag = "1")]
    pub(crate) number: u64,
    /// The VM that was asked holds a part of the limit.
    #[prost(bool, tag = "2")]
    pub(crate) is_holder: bool,
    /// Tokens that are granted.
    #[prost(uint32, tag = "3")]
    pub(crate) tokens: u32,
    /// When a token may be there, if none is granted.
    #[prost(uint64, tag = "4")]
    pub(crate) wait_ms: u64,
}

impl TokenAnswer {
    /// The answer to question `number`.
    pub(crate) fn new(number: u64, grant: Grant) -> Self {
        let (is_holder, tokens, wait) = match grant {
            Grant::Tokens(tokens) => (true, tokens, Duration::ZERO),
            Grant::Empty(wait) => (true, 0, wait),
            Grant::NotHolder => (false, 0, Duration::ZERO),
        };
        Self {
            number,
            is_holder,
            tokens,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<&TokenAnswer> for Grant {
    fn from(answer: &TokenAnswer) -> Self {
        match (answer.is_holder, answer.tokens) {
            (false, _) => Self::NotHolder,
            (true, 0) => Self::Empty(Duration::from_millis(answer.wait_ms)),
            (true, tokens) => Self::Tokens(tokens),
        }
    }
}
