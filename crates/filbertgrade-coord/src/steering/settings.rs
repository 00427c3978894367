//! The settings that a VM gets from the platform that runs it.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::names::{FailureDomainName, RegionName, VmName};

/// Settings of one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM, unique in the fleet.
    pub vm: VmName,
    /// IP address of the VM; also the source address of its outgoing connections.
    pub address: IpAddr,
    /// Region in which the VM runs.
    pub region: RegionName,
    /// Failure domain in which the VM runs.
    pub failure_domain: FailureDomainName,
    /// Region of each failure domain of the fleet.
    pub regions: HashMap<FailureDomainName, RegionName>,
    /// Addresses on which the VM listens.
    pub listen: Listen,
    /// Address of the store.
    pub store: SocketAddr,
    /// Memory that the process may use; `None` when the platform sets no limit.
    pub memory_bytes: Option<u64>,
    /// Time bounds and limits that the users require.
    pub bounds: Bounds,
}

/// Addresses on which a VM listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For callers' lookups.
    pub lookups: SocketAddr,
    /// For the platform's readiness checks: whether the VM can serve callers.
    pub ready: SocketAddr,
    /// For datagrams and calls of other VMs.
    pub peers: SocketAddr,
}

/// Time bounds and limits that the users require.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the signal to stop until the platform kills the process.
    pub stop_grace: Duration,
    /// Time after its withdrawal from which an API key must be refused.
    pub key_withdrawal: Duration,
    /// Allowed retries per request to a service, over all VMs.
    pub retry_ratio: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Allowed number of retries beyond the ratio in a window.
    pub retry_allowance: f64,
    /// Allowed excess: requests of a team beyond its rate and burst in a window.
    pub rate_allowance: f64,
    /// Fraction of a region's requests that may move to another region within 2 s.
    pub shift_cap: f64,
    /// Longest time for which callers cache the response to a lookup.
    pub lookup_ttl: Duration,
}
