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
    /// Name that faults are reported under.
    pub name: &'a str,
    /// Content.
    pub text: &'a str,
}

/// A whole configuration, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of the deployment.
    pub deployment: String,
    /// How long a caller may use a look-up answer.
    pub lookup_ttl: Duration,
    /// Largest fraction of a service's traffic that one step may move between
    /// regions; above 0 and at most 1.
    pub shift_cap: f64,
    /// Time for a step to be in force on every VM. The next step follows after
    /// this time and `lookup_ttl`. A time shorter than a VM takes to learn of
    /// a step or to find itself isolated lets two steps overlap.
    pub shift_settle: Duration,
    /// What the network between regions gives.
    pub network: Network,
    /// Regions, in the order of the file. Every failure domain belongs to
    /// exactly one region.
    pub regions: IndexMap<RegionName, RegionConfig>,
    /// Services.
    pub services: IndexMap<ServiceName, ServiceConfig>,
    /// Teams.
    pub teams: IndexMap<TeamName, TeamConfig>,
    /// Which region a block of clients is closest to.
    pub client_blocks: Vec<(IpNet, RegionName)>,
}

/// Latencies, one way, and bandwidth of a deployment's network.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Region that holds the platform's store.
    pub store_region: RegionName,
    /// Between failure domains of one region.
    pub domain_latency: Duration,
    /// Between regions.
    pub region_latency: Duration,
    /// Between clients and the nearest VM.
    pub client_latency: Duration,
    /// Cost of a new connection.
    pub connect_cost: Duration,
    /// Each way between two regions, in Mbit/s, shared by all traffic.
    pub region_bandwidth_mbit: u64,
}

/// One region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionConfig {
    /// Failure domains of the region.
    pub failure_domains: Vec<FailureDomainName>,
    /// Expected share of the callers' traffic; only the proportions count.
    pub arrivals: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Who may send requests.
    pub access: Access,
    /// Requests that one endpoint runs at the same time; at least 1.
    pub slots: u32,
    /// Connections that one endpoint accepts from all VMs together.
    pub connections: u32,
    /// Configured share of traffic by region; only the proportions count.
    pub weights: IndexMap<RegionName, u32>,
    /// Addresses of the endpoints by failure domain.
    pub endpoints: IndexMap<FailureDomainName, Vec<SocketAddr>>,
}

/// Who may send requests to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Only callers that show a key of a team.
    Key,
    /// Everybody.
    Open,
}

/// One team's share of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamConfig {
    /// Requests per second over all VMs together.
    pub rate: f64,
    /// Requests at once over all VMs together.
    pub burst: f64,
}

impl Config {
    /// Parses and checks the text of one configuration file.
    ///
    /// # Errors
    ///
    /// Lists every fault of the text.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        Self::parse_files(&[ConfigFile {
            name: "configuration",
            text,
        }])
    }

    /// Parses files whose tables are merged, and checks the whole.
    ///
    /// # Errors
    ///
    /// Lists every fault of all files. A key that two files give is a fault.
    pub fn parse_files(files: &[ConfigFile<'_>]) -> Result<Self, ConfigError> {
        let (root, reader) = tree::merge(files);
        read::read(&root, reader)
    }

    /// The region that a failure domain belongs to.
    #[must_use]
    pub fn region_of(&self, domain: &FailureDomainName) -> Option<&RegionName> {
        self.regions
            .iter()
            .find(|(_, region)| region.failure_domains.contains(domain))
            .map(|(name, _)| name)
    }
}

impl ServiceConfig {
    /// All endpoints with their failure domains.
    pub fn all_endpoints(&self) -> impl Iterator<Item = (&FailureDomainName, SocketAddr)> {
        self.endpoints
            .iter()
            .flat_map(|(domain, addresses)| addresses.iter().map(move |a| (domain, *a)))
    }
}
