//! The declarative configuration of a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use filbertgrade_coord::names::{FailureDomainName, RegionName, TeamName};
use indexmap::IndexMap;
use ipnet::IpNet;

pub use self::fault::{ConfigError, Fault};
pub use self::text::{ConfigChange, ConfigLine, ConfigValue};
use super::ServiceName;

mod fault;
mod read;
mod text;
mod tree;

/// One file of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigFile<'a> {
    /// File name that faults are reported with.
    pub name: &'a str,
    /// Content, as TOML.
    pub text: &'a str,
}

/// A complete, validated configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of the deployment.
    pub deployment: String,
    /// How long a caller may use a lookup response.
    pub lookup_ttl: Duration,
    /// Maximum fraction of a service's traffic that one step may move between
    /// regions; above 0 and at most 1.
    pub shift_cap: f64,
    /// Time until a step is in force on every VM. The next step follows after
    /// this time plus `lookup_ttl`. If it is shorter than a VM needs to receive
    /// a step, or to detect that it is isolated, two steps can overlap.
    pub shift_settle: Duration,
    /// Latencies and bandwidth of the network.
    pub network: Network,
    /// Regions, in the order of the file. Every failure domain belongs to
    /// exactly one region.
    pub regions: IndexMap<RegionName, RegionConfig>,
    /// Services by name, in the order of the file.
    pub services: IndexMap<ServiceName, ServiceConfig>,
    /// Teams by name, in the order of the file.
    pub teams: IndexMap<TeamName, TeamConfig>,
    /// Blocks of client addresses with the region closest to each.
    pub client_blocks: Vec<(IpNet, RegionName)>,
}

/// One-way latencies and bandwidth of a deployment's network.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Region that the platform's store is in.
    pub store_region: RegionName,
    /// Latency between failure domains of one region.
    pub domain_latency: Duration,
    /// Latency between regions.
    pub region_latency: Duration,
    /// Latency between clients and the nearest VM.
    pub client_latency: Duration,
    /// Time needed to open a connection.
    pub connect_cost: Duration,
    /// Bandwidth in each direction between two regions, in Mbit/s, shared by all
    /// traffic.
    pub region_bandwidth_mbit: u64,
}

/// Configuration of one region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionConfig {
    /// Failure domains of the region.
    pub failure_domains: Vec<FailureDomainName>,
    /// Expected share of the callers' traffic, relative to the other regions.
    pub arrivals: u32,
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Who may send requests.
    pub access: Access,
    /// Maximum number of requests that one endpoint runs at the same time; at
    /// least 1.
    pub slots: u32,
    /// Maximum number of connections that one endpoint accepts from all VMs
    /// together; at least `slots`.
    pub connections: u32,
    /// Configured share of traffic by region, relative to the other regions.
    pub weights: IndexMap<RegionName, u32>,
    /// Addresses of the endpoints by failure domain.
    pub endpoints: IndexMap<FailureDomainName, Vec<SocketAddr>>,
}

/// Who may send requests to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Only callers that present a team's key.
    Key,
    /// All callers, without a key.
    Open,
}

/// Rate limit of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamConfig {
    /// Requests per second across all VMs.
    pub rate: f64,
    /// Maximum burst in requests, across all VMs; at least 1.
    pub burst: f64,
}

impl Config {
    /// Parses and validates the text of one configuration file.
    ///
    /// # Errors
    ///
    /// Fails if the text has faults; the error lists all of them.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        Self::parse_files(&[ConfigFile {
            name: "configuration",
            text,
        }])
    }

    /// Parses several files, merges their tables and validates the result.
    ///
    /// # Errors
    ///
    /// Fails if the files have faults; the error lists all of them. A key that
    /// is set in two files is a fault.
    pub fn parse_files(files: &[ConfigFile<'_>]) -> Result<Self, ConfigError> {
        let (root, reader) = tree::merge(files);
        read::read(&root, reader)
    }

    /// Returns the region of a failure domain, or `None` if no region has it.
    #[must_use]
    pub fn region_of(&self, domain: &FailureDomainName) -> Option<&RegionName> {
        self.regions
            .iter()
            .find(|(_, region)| region.failure_domains.contains(domain))
            .map(|(name, _)| name)
    }
}

impl ServiceConfig {
    /// Iterates over the addresses of all endpoints with their failure domains.
    pub fn all_endpoints(&self) -> impl Iterator<Item = (&FailureDomainName, SocketAddr)> {
        self.endpoints
            .iter()
            .flat_map(|(domain, addresses)| addresses.iter().map(move |a| (domain, *a)))
    }
}
