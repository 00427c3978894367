//! What a VM is told by the platform that runs it.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::names::{FailureDomainName, RegionName, VmName};

/// Settings of one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub vm: VmName,
    /// Its IP address; also the source address of its connections.
    pub address: IpAddr,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub failure_domain: FailureDomainName,
    /// Regions of all failure domains.
    pub regions: HashMap<FailureDomainName, RegionName>,
    /// Where it listens.
    pub listen: Listen,
    /// Address of the store.
    pub store: SocketAddr,
    /// Memory that the process may use.
    pub memory_bytes: Option<u64>,
    /// Times and limits that the users ask for.
    pub bounds: Bounds,
}

/// Addresses on which a VM listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Callers' look-ups.
    pub lookups: SocketAddr,
    /// The platform's questions whether the VM takes callers.
    pub ready: SocketAddr,
    /// Datagrams of other VMs.
    pub peers: SocketAddr,
}

/// Times and limits that the users ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from a request to stop until the process is ended.
    pub stop_grace: Duration,
    /// Time after which a withdrawn key must not work.
    pub key_withdrawal: Duration,
    /// Repeats for each request to a service, over all VMs.
    pub retry_ratio: f64,
    /// Window of the repeats.
    pub retry_window: Duration,
    /// Repeats beyond the ratio in a window.
    pub retry_allowance: f64,
    /// Requests of a team beyond its rate and burst that are borne in a window.
    pub rate_allowance: f64,
    /// Part of a region's requests that may change their region within 2 s.
    pub shift_cap: f64,
    /// Longest time that callers keep the answer to a look-up.
    pub lookup_ttl: Duration,
}
