//! The declarative configuration of a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use filbertgrade_coord::names::{FailureDomainName, RegionName, TeamName};
use indexmap::IndexMap;
use ipnet::IpNet;
use serde::Deserialize;

use super::ServiceName;

/// A whole configuration, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the deployment.
    pub deployment: String,
    /// How long a caller may use a look-up answer.
    pub lookup_ttl: Duration,
    /// Largest fraction of a service's traffic that one step may move between
    /// regions; above 0 and at most 1.
    pub shift_cap: f64,
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
#[derive(Clone, Debug)]
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
#[derive(Clone, Debug)]
pub struct RegionConfig {
    /// Failure domains of the region.
    pub failure_domains: Vec<FailureDomainName>,
}

/// One service.
#[derive(Clone, Debug)]
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

/// Why a configuration was refused.
#[derive(Debug, thiserror::Error)]
#[error("configuration: {0}")]
pub struct ConfigError(String);

impl Config {
    /// Parses and checks the text of a configuration file.
    ///
    /// # Errors
    ///
    /// Names the first fault found.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: ConfigFile = toml::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
        file.try_into()
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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigFile {
    deployment: String,
    lookup: LookupFile,
    shift: ShiftFile,
    network: NetworkFile,
    regions: IndexMap<String, RegionFile>,
    services: IndexMap<String, ServiceFile>,
    teams: IndexMap<String, TeamFile>,
    #[serde(default)]
    client_blocks: IndexMap<String, Vec<IpNet>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LookupFile {
    ttl_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ShiftFile {
    cap: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NetworkFile {
    store_region: String,
    domain_latency_ms: f64,
    region_latency_ms: f64,
    client_latency_ms: f64,
    connect_ms: f64,
    region_bandwidth_mbit: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RegionFile {
    failure_domains: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceFile {
    #[serde(default)]
    open: bool,
    slots: u32,
    connections: u32,
    weights: IndexMap<String, u32>,
    endpoints: IndexMap<String, Vec<SocketAddr>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamFile {
    rate: f64,
    burst: f64,
}

impl TryFrom<ConfigFile> for Config {
    type Error = ConfigError;

    fn try_from(file: ConfigFile) -> Result<Self, ConfigError> {
        Ok(Self {
            deployment: file.deployment,
            lookup_ttl: Duration::from_millis(file.lookup.ttl_ms),
            shift_cap: file.shift.cap,
            network: Network {
                store_region: region_name(&file.network.store_region)?,
                domain_latency: milliseconds(file.network.domain_latency_ms)?,
                region_latency: milliseconds(file.network.region_latency_ms)?,
                client_latency: milliseconds(file.network.client_latency_ms)?,
                connect_cost: milliseconds(file.network.connect_ms)?,
                region_bandwidth_mbit: file.network.region_bandwidth_mbit,
            },
            regions: file
                .regions
                .into_iter()
                .map(|(name, region)| {
                    let failure_domains = region
                        .failure_domains
                        .iter()
                        .map(|d| domain_name(d))
                        .collect::<Result<_, _>>()?;
                    Ok((region_name(&name)?, RegionConfig { failure_domains }))
                })
                .collect::<Result<_, ConfigError>>()?,
            services: file
                .services
                .into_iter()
                .map(|(name, service)| Ok((name.as_str().into(), service.try_into()?)))
                .collect::<Result<_, ConfigError>>()?,
            teams: file
                .teams
                .into_iter()
                .map(|(name, team)| {
                    let share = TeamConfig {
                        rate: team.rate,
                        burst: team.burst,
                    };
                    Ok((team_name(&name)?, share))
                })
                .collect::<Result<_, ConfigError>>()?,
            client_blocks: file
                .client_blocks
                .into_iter()
                .map(|(region, blocks)| Ok((region_name(&region)?, blocks)))
                .collect::<Result<Vec<_>, ConfigError>>()?
                .into_iter()
                .flat_map(|(region, blocks)| {
                    blocks.into_iter().map(move |block| (block, region.clone()))
                })
                .collect(),
        })
    }
}

impl TryFrom<ServiceFile> for ServiceConfig {
    type Error = ConfigError;

    fn try_from(file: ServiceFile) -> Result<Self, ConfigError> {
        Ok(Self {
            access: if file.open { Access::Open } else { Access::Key },
            slots: file.slots,
            connections: file.connections,
            weights: file
                .weights
                .into_iter()
                .map(|(region, weight)| Ok((region_name(&region)?, weight)))
                .collect::<Result<_, ConfigError>>()?,
            endpoints: file
                .endpoints
                .into_iter()
                .map(|(domain, addresses)| Ok((domain_name(&domain)?, addresses)))
                .collect::<Result<_, ConfigError>>()?,
        })
    }
}

fn region_name(name: &str) -> Result<RegionName, ConfigError> {
    RegionName::try_from(name).map_err(|e| ConfigError(e.to_string()))
}

fn domain_name(name: &str) -> Result<FailureDomainName, ConfigError> {
    FailureDomainName::try_from(name).map_err(|e| ConfigError(e.to_string()))
}

fn team_name(name: &str) -> Result<TeamName, ConfigError> {
    TeamName::try_from(name).map_err(|e| ConfigError(e.to_string()))
}

fn milliseconds(value: f64) -> Result<Duration, ConfigError> {
    Duration::try_from_secs_f64(value / 1000.0)
        .map_err(|e| ConfigError(format!("{value} ms is not a duration: {e}")))
}
