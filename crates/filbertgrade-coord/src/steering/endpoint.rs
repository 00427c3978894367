//! An endpoint of a service, as described by its registration.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::names::{FailureDomainName, ServiceName};

/// The registration of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifies the endpoint and the current start of its process.
    pub key: EndpointKey,
    /// Service whose requests it handles.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomainName,
    /// Number of requests that it runs concurrently; at least 1.
    pub slots: u32,
    /// It is about to stop and must not receive new requests.
    pub draining: bool,
    /// Number of the endpoint's write of this registration, which rises with each of
    /// its writes; `None` if it is unknown.
    pub sequence: Option<u64>,
    /// How much longer its caches count as cold, measured from when the
    /// registration was read.
    pub cold_for: Duration,
}

/// Identifies one start of an endpoint's process. A restarted endpoint may keep
/// its id, but its caches are empty.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointKey {
    /// Id under which the endpoint registered.
    pub id: Arc<str>,
    /// Unix time of the start in milliseconds; `None` if the endpoint did not
    /// report it.
    pub started_ms: Option<u64>,
}

impl fmt::Display for EndpointKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.id)
    }
}
