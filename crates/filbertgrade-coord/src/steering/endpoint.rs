//! One endpoint of a service, as it registered itself.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::names::{FailureDomainName, ServiceName};

/// An endpoint as its registration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Which start of which endpoint this is.
    pub key: EndpointKey,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainName,
    /// Requests that it runs at the same time; at least 1.
    pub slots: u32,
    /// It is about to leave and takes no new work.
    pub draining: bool,
    /// How long it stays cold, as of when the registration was read.
    pub cold_for: Duration,
}

/// One start of one endpoint. An endpoint that starts again may keep its id,
/// but it has lost all that it knew.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointKey {
    /// Id under which the endpoint registered.
    pub id: Arc<str>,
    /// Unix time of its start in milliseconds, if it tells it.
    pub started_ms: Option<u64>,
}

impl fmt::Display for EndpointKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.id)
    }
}
