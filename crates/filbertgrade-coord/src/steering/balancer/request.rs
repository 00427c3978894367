//! The input and the result of picking an endpoint, and the outcome of the request
//! there.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::names::{RegionName, ServiceName};
use crate::steering::endpoint::EndpointKey;
use crate::steering::endpoint_limit::EndpointTokenRequest;

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Service that is to handle it.
    pub service: &'a ServiceName,
    /// Hash of the object that it refers to. Any number will do for a request
    /// without an object; it still selects the region and the ranking.
    pub object: u64,
    /// An endpoint that handled the object recently is faster, so requests for
    /// the same object should go to the same endpoint.
    pub sticky: bool,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Regions in which it may run, as the route and the team restrict it. A
    /// region must be in both lists; an empty list allows all regions.
    pub allowed_regions: [&'a [RegionName]; 2],
    /// Endpoints that earlier attempts were sent to. They are not picked again.
    pub tried: &'a [EndpointKey],
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Latency that the route's responses are to stay within.
    pub target_latency: Duration,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Length of its body, or the best known estimate.
    pub body_bytes: u64,
    /// How it may use endpoints that limit their rate.
    pub limited: LimitedEndpoints<'a>,
}

/// How a request may use endpoints that limit their rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitedEndpoints<'a> {
    /// With a token, which is requested after the endpoint was picked.
    RequestToken,
    /// This endpoint's holder has granted a token; the others as before.
    Granted(&'a EndpointKey),
    /// Not at all. For a hedged attempt, which is not worth a token.
    Avoid,
}

impl PickRequest<'_> {
    /// Reports whether the request may run in the region.
    pub(super) fn allows(&self, region: &RegionName) -> bool {
        let mut lists = self.allowed_regions.iter();
        lists.all(|regions| regions.is_empty() || regions.contains(region))
    }
}

/// The result of picking an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// Send the request to this endpoint.
    Send(Target),
    /// Request a token, and pick again with it. If there is none, pass the wait to
    /// [`Balancer::close_limited`](super::Balancer::close_limited) first.
    RequestToken(EndpointTokenRequest),
    /// Refuse the request.
    Refuse(PickRefusal),
}

/// An endpoint that was picked for a request, with the estimates at that time.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Identifies the endpoint and the start of its process.
    pub key: EndpointKey,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Region of the endpoint.
    pub region: RegionName,
    /// Expected time from sending the request to its response.
    pub expected_latency: Duration,
    /// Best known estimate of the requests at the endpoint before this one.
    pub load: f64,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// The endpoint is assumed to have the object in its cache.
    pub object_cached: bool,
    /// Position of the endpoint in the ranking for the object, from 0.
    pub rank: usize,
    /// Age of the endpoint's last load report; `None` before the first one.
    pub report_age: Option<Duration>,
    /// When a token of the endpoint's limit was taken for the request; `None` if it
    /// has no limit.
    pub token_at: Option<Instant>,
}

/// The reason why no endpoint was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickRefusal {
    /// No endpoint of the service may handle the request.
    NoEndpoint,
    /// No endpoint is expected to respond in time. The caller may retry after
    /// this delay.
    Busy(Duration),
}

/// The outcome of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint responded.
    Responded {
        /// Time from sending the request to the response.
        latency: Duration,
        /// The response is a server error.
        failed: bool,
    },
    /// The endpoint reported that it did not run the request.
    Refused,
    /// The address now belongs to another endpoint.
    Misdirected,
    /// No connection could be established.
    Unreachable,
    /// The connection failed after the request was sent.
    ConnectionLost,
    /// No response arrived before the deadline.
    TimedOut,
    /// The caller disconnected, another attempt got a response first, or the
    /// request was never sent. It reveals nothing about the endpoint.
    Cancelled,
}

/// The load that an endpoint reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run or wait at the endpoint.
    pub requests: u32,
    /// Number of requests that it runs concurrently. Zero is ignored.
    pub slots: u32,
}
