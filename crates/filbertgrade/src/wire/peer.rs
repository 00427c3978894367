//! Format of the datagrams between VMs: heartbeats, token requests, and token
//! responses.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{ExternalName, NameError, RegionName, TeamName, VmName};
use filbertgrade_coord::steering::affinity::Affinity;
use filbertgrade_coord::steering::endpoint::EndpointKey;
use filbertgrade_coord::steering::endpoint_limit::{EndpointRate, RateNotice};
use filbertgrade_coord::steering::members::{Heartbeat, RegionVms};
use filbertgrade_coord::steering::quota::Grant;
use prost::Message;

/// A datagram as it is encoded.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Datagram {
    #[prost(oneof = "DatagramBody", tags = "1, 2, 3, 4")]
    body: Option<DatagramBody>,
}

/// Content of a [`Datagram`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum DatagramBody {
    #[prost(message, tag = "1")]
    Heartbeat(WireHeartbeat),
    #[prost(message, tag = "2")]
    TokenRequest(WireTokenRequest),
    #[prost(message, tag = "3")]
    TokenResponse(WireTokenResponse),
    /// Answered with a [`WireTokenResponse`].
    #[prost(message, tag = "4")]
    EndpointTokenRequest(WireEndpointTokenRequest),
}

impl From<DatagramBody> for Datagram {
    fn from(body: DatagramBody) -> Self {
        Self { body: Some(body) }
    }
}

/// A received datagram whose names have been checked.
#[derive(Debug)]
pub(crate) enum Received {
    Heartbeat(ReceivedHeartbeat),
    TokenRequest(WireTokenRequest),
    TokenResponse(WireTokenResponse),
    EndpointTokenRequest(WireEndpointTokenRequest),
}

/// Why a datagram cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DatagramError {
    /// The bytes are not a valid encoding of a datagram.
    #[error("malformed datagram: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A name in the datagram is invalid.
    #[error("invalid name: {0}")]
    Name(#[from] NameError),
    /// The datagram has no content that this version of the program knows.
    #[error("empty datagram")]
    Empty,
}

impl Received {
    /// Decodes a datagram and checks the names in it. The team of a token request
    /// is left to the receiver to check.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        match Datagram::decode(bytes)?.body.ok_or(DatagramError::Empty)? {
            DatagramBody::Heartbeat(wire) => Ok(Self::Heartbeat(wire.try_into()?)),
            DatagramBody::TokenRequest(request) => Ok(Self::TokenRequest(request)),
            DatagramBody::TokenResponse(response) => Ok(Self::TokenResponse(response)),
            DatagramBody::EndpointTokenRequest(request) => Ok(Self::EndpointTokenRequest(request)),
        }
    }
}

/// A heartbeat, which says that the sender runs and in which state it is.
///
/// The same message sends region summaries to other regions, and all known
/// affinities to a VM that has just started.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireHeartbeat {
    #[prost(string, tag = "1")]
    pub(crate) vm: String,
    #[prost(fixed64, tag = "2")]
    pub(crate) incarnation: u64,
    /// Increases with each datagram of this type that the incarnation sends.
    #[prost(uint64, tag = "3")]
    pub(crate) number: u64,
    #[prost(bool, tag = "4")]
    pub(crate) ready: bool,
    #[prost(bool, tag = "5")]
    pub(crate) leaving: bool,
    /// Absent when the datagram serves only to send affinities.
    #[prost(message, optional, tag = "6")]
    pub(crate) demand: Option<WireDemands>,
    #[prost(message, repeated, tag = "7")]
    pub(crate) affinities: Vec<WireAffinity>,
    /// The sender has just started and requests the affinities of all objects.
    #[prost(bool, tag = "8")]
    pub(crate) wants_affinities: bool,
    /// How long the store has been available to the sender without an outage.
    #[prost(uint64, tag = "9")]
    pub(crate) store_uptime_ms: u64,
    /// Present when the datagram is a summary of the sender's region for the
    /// other regions. `demand` is then that of the whole region.
    #[prost(message, optional, tag = "10")]
    pub(crate) region_summary: Option<WireRegionSummary>,
    /// See [`Heartbeat::store_unreachable`].
    #[prost(bool, tag = "11")]
    pub(crate) store_unreachable: bool,
    /// Rates that endpoints named recently.
    #[prost(message, repeated, tag = "12")]
    pub(crate) endpoint_rates: Vec<WireEndpointRate>,
}

/// The VMs of a region; see [`RegionVms`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireRegionSummary {
    #[prost(string, tag = "1")]
    pub(crate) region: String,
    /// Empty if `lists_exceptions` is set.
    #[prost(string, repeated, tag = "2")]
    pub(crate) ready: Vec<String>,
    /// VMs that run but cannot serve callers at present.
    #[prost(string, repeated, tag = "3")]
    pub(crate) not_ready: Vec<String>,
    /// All VMs that the store lists are ready, except those that `not_ready` and
    /// `not_running` name.
    #[prost(bool, tag = "4")]
    pub(crate) lists_exceptions: bool,
    #[prost(string, repeated, tag = "5")]
    pub(crate) not_running: Vec<String>,
}

impl WireRegionSummary {
    pub(crate) fn new(region: &RegionName, vms: &RegionVms) -> Self {
        let mut wire = Self {
            region: region.as_str().to_owned(),
            ..Self::default()
        };
        match vms {
            RegionVms::Running(running) => {
                for (vm, ready) in running {
                    let names = if *ready {
                        &mut wire.ready
                    } else {
                        &mut wire.not_ready
                    };
                    names.push(vm.as_str().to_owned());
                }
            }
            RegionVms::AllExcept {
                not_ready,
                not_running,
            } => {
                let names =
                    |vms: &HashSet<VmName>| vms.iter().map(|vm| vm.as_str().to_owned()).collect();
                wire.lists_exceptions = true;
                wire.not_ready = names(not_ready);
                wire.not_running = names(not_running);
            }
        }
        wire
    }
}

/// The endpoint that handles an object; see [`Affinity`].
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct WireAffinity {
    #[prost(fixed64, tag = "1")]
    pub(crate) object: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) endpoint: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) version: u64,
    #[prost(bool, tag = "4")]
    pub(crate) confirmed: bool,
}

impl From<Affinity> for WireAffinity {
    fn from(affinity: Affinity) -> Self {
        Self {
            object: affinity.object,
            endpoint: affinity.endpoint,
            version: affinity.version,
            confirmed: affinity.confirmed,
        }
    }
}

impl From<WireAffinity> for Affinity {
    fn from(wire: WireAffinity) -> Self {
        Self {
            object: wire.object,
            endpoint: wire.endpoint,
            version: wire.version,
            confirmed: wire.confirmed,
        }
    }
}

/// The rate that an endpoint named in a response; see [`RateNotice`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireEndpointRate {
    #[prost(string, tag = "1")]
    pub(crate) endpoint: String,
    /// See [`EndpointKey::started_ms`].
    #[prost(uint64, optional, tag = "2")]
    pub(crate) started_ms: Option<u64>,
    /// Requests a second; absent if the endpoint has no limit any more.
    #[prost(double, optional, tag = "3")]
    pub(crate) rate: Option<f64>,
    /// Time since a VM received the response.
    #[prost(uint64, tag = "4")]
    pub(crate) age_ms: u64,
}

impl WireEndpointRate {
    pub(crate) fn new(notice: &RateNotice, now: Instant) -> Self {
        let age = now.saturating_duration_since(notice.observed_at);
        Self {
            endpoint: notice.endpoint.id.to_string(),
            started_ms: notice.endpoint.started_ms,
            rate: notice.rate.per_second(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the notice by the clock of this VM, or `None` if the rate or the
    /// age is out of range.
    pub(crate) fn notice(&self, now: Instant) -> Option<RateNotice> {
        let rate = match self.rate {
            None => EndpointRate::Unlimited,
            Some(rate) if rate.is_finite() && rate >= 0.0 => EndpointRate::PerSecond(rate),
            Some(_) => return None,
        };
        Some(RateNotice {
            endpoint: EndpointKey {
                id: self.endpoint.as_str().into(),
                started_ms: self.started_ms,
            },
            rate,
            observed_at: now.checked_sub(Duration::from_millis(self.age_ms))?,
        })
    }
}

/// Requests a token for a request to an endpoint from the holder of its limit.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireEndpointTokenRequest {
    /// Chosen by the requester; the response repeats it.
    #[prost(fixed64, tag = "1")]
    pub(crate) request_id: u64,
    /// The endpoint, and its rate as the requester knows it.
    #[prost(message, required, tag = "2")]
    pub(crate) rate: WireEndpointRate,
}

/// Arrivals by team.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireDemands {
    #[prost(message, repeated, tag = "1")]
    pub(crate) teams: Vec<WireDemand>,
}

/// Arrivals of a team.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireDemand {
    #[prost(string, tag = "1")]
    pub(crate) team: String,
    /// Requests a second.
    #[prost(float, tag = "2")]
    pub(crate) rate: f32,
}

/// A received [`WireHeartbeat`] whose names have been checked.
#[derive(Debug)]
pub(crate) struct ReceivedHeartbeat {
    pub(crate) vm: VmName,
    pub(crate) heartbeat: Heartbeat,
    /// Arrivals by team in requests a second; `None` if the sender reported none.
    pub(crate) demand: Option<HashMap<TeamName, f64>>,
    pub(crate) affinities: Vec<Affinity>,
    pub(crate) wants_affinities: bool,
    pub(crate) store_uptime: Duration,
    pub(crate) region_summary: Option<RegionSummary>,
    pub(crate) endpoint_rates: Vec<WireEndpointRate>,
}

/// The VMs of a region.
#[derive(Debug)]
pub(crate) struct RegionSummary {
    pub(crate) region: RegionName,
    pub(crate) vms: RegionVms,
}

impl TryFrom<WireRegionSummary> for RegionSummary {
    type Error = NameError;

    fn try_from(wire: WireRegionSummary) -> Result<Self, NameError> {
        let names = |names: &[String]| -> Result<HashSet<VmName>, NameError> {
            names
                .iter()
                .map(|n| VmName::from_external(n.as_str()))
                .collect()
        };
        let not_ready = names(&wire.not_ready)?;
        let vms = if wire.lists_exceptions {
            RegionVms::AllExcept {
                not_ready,
                not_running: names(&wire.not_running)?,
            }
        } else {
            let ready = names(&wire.ready)?.into_iter().map(|vm| (vm, true));
            let not_ready = not_ready.into_iter().map(|vm| (vm, false));
            RegionVms::Running(ready.chain(not_ready).collect())
        };
        Ok(Self {
            region: RegionName::from_external(wire.region.as_str())?,
            vms,
        })
    }
}

impl TryFrom<WireHeartbeat> for ReceivedHeartbeat {
    type Error = NameError;

    fn try_from(wire: WireHeartbeat) -> Result<Self, NameError> {
        Ok(Self {
            vm: VmName::from_external(wire.vm.as_str())?,
            heartbeat: Heartbeat {
                incarnation: wire.incarnation,
                ready: wire.ready,
                leaving: wire.leaving,
                store_unreachable: wire.store_unreachable,
            },
            demand: wire.demand.map(decode_demand).transpose()?,
            affinities: wire.affinities.into_iter().map(Affinity::from).collect(),
            wants_affinities: wire.wants_affinities,
            store_uptime: Duration::from_millis(wire.store_uptime_ms),
            region_summary: wire
                .region_summary
                .map(RegionSummary::try_from)
                .transpose()?,
            endpoint_rates: wire.endpoint_rates,
        })
    }
}

/// Decodes arrivals by team, without rates that are not finite numbers.
fn decode_demand(wire: WireDemands) -> Result<HashMap<TeamName, f64>, NameError> {
    let mut demand = HashMap::new();
    for entry in wire.teams {
        let rate = f64::from(entry.rate);
        if rate.is_finite() {
            demand.insert(TeamName::from_external(entry.team.as_str())?, rate);
        }
    }
    Ok(demand)
}

/// Requests tokens of a team's rate limit from a holder.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireTokenRequest {
    /// Chosen by the requester; the response repeats it.
    #[prost(fixed64, tag = "1")]
    pub(crate) request_id: u64,
    #[prost(string, tag = "2")]
    pub(crate) team: String,
    /// Number of tokens that are wanted.
    #[prost(uint32, tag = "3")]
    pub(crate) tokens: u32,
    /// Arrivals of the team that the requester has not reported to a holder.
    #[prost(uint32, tag = "4")]
    pub(crate) arrivals: u32,
}

/// Response to a [`WireTokenRequest`].
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct WireTokenResponse {
    /// Id of the request.
    #[prost(fixed64, tag = "1")]
    pub(crate) request_id: u64,
    /// The responding VM is a holder of the team's limit.
    #[prost(bool, tag = "2")]
    pub(crate) is_holder: bool,
    /// Number of tokens that are granted.
    #[prost(uint32, tag = "3")]
    pub(crate) tokens: u32,
    /// Time until a token may be available, if none is granted.
    #[prost(uint64, tag = "4")]
    pub(crate) wait_ms: u64,
}

impl WireTokenResponse {
    /// The response to the request with this id.
    pub(crate) fn new(request_id: u64, grant: Grant) -> Self {
        let (is_holder, tokens, wait) = match grant {
            Grant::Tokens(tokens) => (true, tokens, Duration::ZERO),
            Grant::Empty(wait) => (true, 0, wait),
            Grant::NotHolder => (false, 0, Duration::ZERO),
        };
        Self {
            request_id,
            is_holder,
            tokens,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<&WireTokenResponse> for Grant {
    fn from(response: &WireTokenResponse) -> Self {
        match (response.is_holder, response.tokens) {
            (false, _) => Self::NotHolder,
            (true, 0) => Self::Empty(Duration::from_millis(response.wait_ms)),
            (true, tokens) => Self::Tokens(tokens),
        }
    }
}
