//! What the balancer is asked, and what it answers.

use std::net::SocketAddr;
use std::time::Duration;

use crate::names::{RegionName, ServiceName};
use crate::steering::endpoint::EndpointKey;

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Hash of the object, or any number for requests without one.
    pub object: u64,
    /// An endpoint that handled the object recently is faster.
    pub sticky: bool,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Regions in which it may run; empty allows all. All lists bind.
    pub allowed_regions: [&'a [RegionName]; 2],
    /// Endpoints that it was sent to already.
    pub tried: &'a [EndpointKey],
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Time within which an answer is of full use.
    pub target_latency: Duration,
    /// Time until the caller gives up.
    pub time_left: Duration,
    /// Length of its body, as far as known.
    pub body_bytes: u64,
}

impl PickRequest<'_> {
    /// The request may run in the region.
    pub(super) fn allows(&self, region: &RegionName) -> bool {
        let mut lists = self.allowed_regions.iter();
        lists.all(|homes| homes.is_empty() || homes.contains(region))
    }
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// Send it.
    Send(Target),
    /// Refuse it.
    Refuse(PickRefusal),
}

/// An endpoint that was picked for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Which start of which endpoint.
    pub key: EndpointKey,
    /// Its address.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// When the answer is expected.
    pub expected_latency: Duration,
    /// Requests that it holds, as far as known.
    pub load: f64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// It is assumed to remember the object.
    pub object_cached: bool,
    /// Place in the ranking of the endpoints for the object, from 0.
    pub rank: usize,
    /// Age of its last load report.
    pub report_age: Option<Duration>,
}

/// Why no endpoint was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickRefusal {
    /// No endpoint of the service may take the request.
    NoEndpoint,
    /// No endpoint would answer in time. A caller may come back after the time.
    Busy(Duration),
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It was answered.
    Answered {
        /// Time from sending to the answer.
        latency: Duration,
        /// The answer tells that the work failed.
        failed: bool,
    },
    /// The endpoint said that it did not run the request.
    Refused,
    /// Another endpoint has the address.
    Mismatched,
    /// No connection could be made.
    Unreachable,
    /// The connection failed after the request was sent.
    ConnectionLost,
    /// No answer came in time.
    TimedOut,
    /// The caller left, or another attempt was answered first.
    Cancelled,
}

/// Requests that an endpoint reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it runs and that wait there.
    pub requests: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
}
