//! Starts a whole deployment in one process, with proxies that simulate the
//! network.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{FailureDomainName, NameError, RegionName, TeamName, VmName};
use filbertgrade_standins::backend::{BackendConfig, BackendRecords, BackendServer, ServiceTime};
use filbertgrade_standins::caller::Key;
use filbertgrade_standins::platform::PlatformServer;
use filbertgrade_standins::proxy::{Bandwidth, Direction, Fault, FaultProxy};
use indexmap::IndexMap;

use crate::connection::PeerLink;
use crate::logfmt;
use crate::platform::HttpPlatform;
use crate::process::command::CommandError;
use crate::process::command::apply::apply_text;
use crate::process::settings::{DEFAULT_STOP_GRACE, Ports, VmSettings};
use crate::process::{agent, entry};
use crate::version::{Config, ConfigError, KeyRecord, KeySecret, KeyState, VmRecord, VmState};
use crate::wire::{Body, StatusRequest};

/// Time limit for the configuration to be in force everywhere.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Service times of the backend servers.
const SERVICE_TIME: ServiceTime = ServiceTime::Uniform {
    min: Duration::from_millis(20),
    max: Duration::from_millis(80),
};

/// Second octet of the loopback addresses on which the processes of the VMs
/// listen.
const PROCESS_OCTET: u8 = 40;

/// Second octet of the loopback addresses that the VM list contains. Proxies
/// listen on them and forward to the processes.
const PROXY_OCTET: u8 = 41;

/// Address of the proxy in front of the store. The store itself listens on the
/// next port.
const STORE_PROXY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 42, 0, 1)), 6000);

/// Why `dev` failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DevError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not a valid configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address cannot be bound; it may be in use by another run.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The configuration could not be applied.
    #[error(transparent)]
    Apply(#[from] CommandError),
    /// The name generated for a VM is invalid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The random number generator of the operating system failed.
    #[error("cannot generate random numbers: {0}")]
    Random(#[from] getrandom::Error),
    /// The record of a key cannot be encoded.
    #[error(transparent)]
    Record(#[from] serde_json::Error),
    /// The configuration was not in force everywhere in time.
    #[error("the configuration is not in force everywhere after {} s", READY_TIMEOUT.as_secs())]
    NotReady,
    /// Counts in the report that must be zero are not.
    #[error("counts that must be zero: {0}")]
    Violations(String),
    /// The task that sends the traffic failed.
    #[error("the traffic stopped early: {0}")]
    Load(tokio::task::JoinError),
}

/// A running deployment. Dropping it aborts all of its tasks.
#[derive(Debug)]
pub(super) struct Deployment {
    config: Config,
    platform: PlatformServer,
    servers: Vec<Server>,
    vms: Vec<VmRecord>,
    keys: HashMap<TeamName, Key>,
    /// Proxies that forward requests, kept running until the deployment is
    /// dropped.
    _request_proxies: Vec<FaultProxy>,
    /// Proxies that forward only control traffic, with the region of the process
    /// behind them.
    control_proxies: Vec<(RegionName, FaultProxy)>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// A backend server, with its settings in the configuration.
#[derive(Debug)]
struct Server {
    /// Address in the configuration, on which a proxy listens.
    address: SocketAddr,
    region: RegionName,
    slots: u32,
    backend: BackendServer,
}

/// Region and failure domain of a process. The store has no failure domain.
#[derive(Clone, Debug)]
struct Location {
    region: RegionName,
    domain: Option<FailureDomainName>,
}

impl Deployment {
    /// Starts the platform, the backend servers and the processes of the VMs,
    /// and applies the configuration.
    pub(super) async fn start(
        config: Config,
        text: &str,
        vms: usize,
        seed: u64,
    ) -> Result<Self, DevError> {
        let vms = create_vm_records(&config, vms)?;
        let network = Network::new(&config, &vms);
        let store_address = SocketAddr::new(STORE_PROXY.ip(), STORE_PROXY.port() + 1);
        let platform = PlatformServer::bind(store_address)
            .await
            .map_err(|source| listen_error(store_address, source))?;
        let store_location = network.store_location();
        let store_proxy = network
            .proxy(STORE_PROXY, store_address, &store_location)
            .await?;
        let mut control_proxies = vec![(store_location.region, store_proxy)];
        let mut request_proxies = Vec::new();
        let servers = start_servers(&config, &network, seed, &mut request_proxies).await?;
        for vm in &vms {
            platform.put(&format!("vms/{}", vm.name), vm.encode());
        }
        let keys = grant_keys(&config, &platform)?;
        apply_text(&HttpPlatform::new(store_address, None), text).await?;
        let mut tasks = Vec::new();
        for vm in &vms {
            let location = Location {
                region: vm.region.clone(),
                domain: Some(vm.failure_domain.clone()),
            };
            let ports = Ports::default();
            for port in [ports.caller, ports.entry_peer, ports.agent_peer] {
                let listen = SocketAddr::new(vm.address, port);
                let forward = SocketAddr::new(process_address(vm.address), port);
                let proxy = network.proxy(listen, forward, &location).await?;
                if port == ports.caller {
                    request_proxies.push(proxy);
                } else {
                    control_proxies.push((vm.region.clone(), proxy));
                }
            }
            tasks.extend(start_vm(vm, STORE_PROXY, ports));
        }
        Ok(Self {
            config,
            platform,
            servers,
            vms,
            keys,
            _request_proxies: request_proxies,
            control_proxies,
            tasks,
        })
    }

    /// Waits until every entry has received a configuration and a share table.
    /// Returns the time that this took.
    pub(super) async fn wait_until_ready(&self) -> Result<Duration, DevError> {
        let start = Instant::now();
        for vm in &self.vms {
            let address = SocketAddr::new(process_address(vm.address), Ports::default().agent_peer);
            let link = PeerLink::new(address, None);
            while !is_ready(&link).await {
                if start.elapsed() > READY_TIMEOUT {
                    return Err(DevError::NotReady);
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(start.elapsed())
    }

    pub(super) fn config(&self) -> &Config {
        &self.config
    }

    pub(super) fn key_of(&self, team: &TeamName) -> Option<Key> {
        self.keys.get(team).cloned()
    }

    /// Addresses of the VMs for callers.
    pub(super) fn vm_addresses(&self) -> Vec<SocketAddr> {
        let port = Ports::default().caller;
        let address = |vm: &VmRecord| SocketAddr::new(vm.address, port);
        self.vms.iter().map(address).collect()
    }

    pub(super) fn server_addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|server| server.address).collect()
    }

    /// The records of the backend servers, in the order of
    /// [`Self::server_addresses`].
    pub(super) fn records(&self) -> Vec<BackendRecords> {
        self.servers
            .iter()
            .map(|server| server.backend.records())
            .collect()
    }

    /// Bytes of control traffic between regions so far, by direction: between
    /// VMs, and between VMs and the store.
    pub(super) fn control_bytes(&self) -> IndexMap<String, u64> {
        let mut bytes = IndexMap::new();
        for (region, proxy) in &self.control_proxies {
            for vm in self.vms.iter().filter(|vm| vm.region != *region) {
                let counts = proxy.counts_from(process_address(vm.address));
                let mut add = |from: &RegionName, to: &RegionName, count| {
                    *bytes.entry(format!("{from}-{to}")).or_default() += count;
                };
                add(&vm.region, region, counts.to_server);
                add(region, &vm.region, counts.to_client);
            }
        }
        bytes.sort_unstable_keys();
        bytes
    }

    /// Free fraction of each region's slots.
    pub(super) fn free_slots(&self) -> Vec<(RegionName, f64)> {
        self.config
            .regions
            .keys()
            .map(|region| {
                let servers = || self.servers.iter().filter(|s| s.region == *region);
                let slots: u32 = servers().map(|s| s.slots).sum();
                let busy: usize = servers().map(|s| s.backend.busy()).sum();
                (region.clone(), 1.0 - busy as f64 / f64::from(slots.max(1)))
            })
            .collect()
    }

    /// Index of the server that [`Self::drain_first_server`] drains.
    pub(super) fn first_server(&self) -> usize {
        0
    }

    pub(super) fn drain_first_server(&self) {
        let address = self.servers[self.first_server()].address;
        self.platform.put(&format!("drains/server/{address}"), "{}");
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// The simulated network: latency and bandwidth between locations.
#[derive(Debug)]
struct Network {
    config: Config,
    /// Locations of the VM processes, by the source address of their
    /// connections.
    sources: Vec<(IpAddr, Location)>,
    /// Bandwidth from one region to another, shared by all traffic.
    bandwidth: HashMap<(RegionName, RegionName), Bandwidth>,
}

impl Network {
    fn new(config: &Config, vms: &[VmRecord]) -> Self {
        let bytes_per_second = config.network.region_bandwidth_mbit * 1_000_000 / 8;
        let regions: Vec<&RegionName> = config.regions.keys().collect();
        let pairs = regions
            .iter()
            .flat_map(|from| regions.iter().map(move |to| (*from, *to)))
            .filter(|(from, to)| from != to);
        Self {
            config: config.clone(),
            sources: vms
                .iter()
                .map(|vm| {
                    let location = Location {
                        region: vm.region.clone(),
                        domain: Some(vm.failure_domain.clone()),
                    };
                    (process_address(vm.address), location)
                })
                .collect(),
            bandwidth: pairs
                .map(|(from, to)| {
                    let key = (from.clone(), to.clone());
                    (key, Bandwidth::new(bytes_per_second))
                })
                .collect(),
        }
    }

    fn store_location(&self) -> Location {
        Location {
            region: self.config.network.store_region.clone(),
            domain: None,
        }
    }

    /// Starts a proxy in front of a process at `location`. Connections from
    /// unknown addresses are those of clients and get the client latency.
    async fn proxy(
        &self,
        listen: SocketAddr,
        forward: SocketAddr,
        location: &Location,
    ) -> Result<FaultProxy, DevError> {
        let proxy = FaultProxy::bind(listen, forward)
            .await
            .map_err(|source| listen_error(listen, source))?;
        let client = Fault {
            delay: self.config.network.client_latency,
            ..Fault::default()
        };
        for direction in [Direction::ToServer, Direction::ToClient] {
            proxy.set_fault(direction, client.clone());
        }
        for (source, from) in &self.sources {
            let to_server = self.fault(from, location);
            let to_client = self.fault(location, from);
            proxy.set_fault_from(*source, Direction::ToServer, to_server);
            proxy.set_fault_from(*source, Direction::ToClient, to_client);
        }
        Ok(proxy)
    }

    /// The latency and bandwidth of one direction between two locations.
    fn fault(&self, from: &Location, to: &Location) -> Fault {
        let network = &self.config.network;
        let delay = if from.region != to.region {
            network.region_latency
        } else if from.domain != to.domain {
            network.domain_latency
        } else {
            Duration::ZERO
        };
        let pair = (from.region.clone(), to.region.clone());
        Fault {
            delay,
            bandwidth: self.bandwidth.get(&pair).cloned(),
            ..Fault::default()
        }
    }
}

/// Starts the backend servers of the configuration, each behind a proxy.
async fn start_servers(
    config: &Config,
    network: &Network,
    seed: u64,
    request_proxies: &mut Vec<FaultProxy>,
) -> Result<Vec<Server>, DevError> {
    let mut servers = Vec::new();
    for service in config.services.values() {
        for (domain, address) in service.all_endpoints() {
            let Some(region) = config.region_of(domain) else {
                continue;
            };
            let listen = SocketAddr::new(address.ip(), address.port() + 1);
            let cfg = BackendConfig {
                name: address.to_string(),
                slots: service.slots as usize,
                connection_limit: service.connections as usize,
                service_time: SERVICE_TIME,
                seed: seed + servers.len() as u64,
                ..BackendConfig::default()
            };
            let backend = BackendServer::bind(listen, cfg)
                .await
                .map_err(|source| listen_error(listen, source))?;
            let location = Location {
                region: region.clone(),
                domain: Some(domain.clone()),
            };
            request_proxies.push(network.proxy(address, listen, &location).await?);
            servers.push(Server {
                address,
                region: region.clone(),
                slots: service.slots,
                backend,
            });
        }
    }
    Ok(servers)
}

/// Spawns the agent and the entry of a VM.
fn start_vm(vm: &VmRecord, store: SocketAddr, ports: Ports) -> [tokio::task::JoinHandle<()>; 2] {
    let settings = VmSettings {
        vm: vm.name.clone(),
        address: process_address(vm.address),
        region: vm.region.clone(),
        failure_domain: vm.failure_domain.clone(),
        store,
        ports,
        stop_grace: DEFAULT_STOP_GRACE,
    };
    let agent_settings = settings.clone();
    [
        tokio::spawn(async move {
            if let Err(error) = agent::run(agent_settings).await {
                log::error!("event=agent_failed error={}", logfmt::value(&error));
            }
        }),
        tokio::spawn(async move {
            if let Err(error) = entry::run(settings, std::future::pending()).await {
                log::error!("event=entry_failed error={}", logfmt::value(&error));
            }
        }),
    ]
}

/// Grants one key to each team.
fn grant_keys(
    config: &Config,
    platform: &PlatformServer,
) -> Result<HashMap<TeamName, Key>, DevError> {
    let mut keys = HashMap::new();
    for team in config.teams.keys() {
        let secret = KeySecret::generate()?;
        let record = KeyRecord {
            team: team.to_string(),
            digest: secret.digest().to_hex(),
            state: KeyState::Granted,
        };
        let name = format!("keys/{}", secret.id());
        platform.put(&name, serde_json::to_vec(&record)?);
        keys.insert(team.clone(), Key::new(secret.reveal()));
    }
    Ok(keys)
}

/// Whether the entry behind this agent has received a configuration and a share
/// table.
async fn is_ready(agent: &PeerLink) -> bool {
    let status = Body::StatusRequest(StatusRequest {});
    match agent.call(status, Duration::from_secs(1)).await {
        Ok(Body::StatusReply(reply)) => reply
            .entry
            .is_some_and(|e| e.config_version > 0 && e.share_table_version > Some(0)),
        _ => false,
    }
}

/// Creates the records of the VMs, assigned to the failure domains in turn.
fn create_vm_records(config: &Config, count: usize) -> Result<Vec<VmRecord>, NameError> {
    let domains: Vec<(&RegionName, &FailureDomainName)> = config
        .regions
        .iter()
        .flat_map(|(name, region)| region.failure_domains.iter().map(move |d| (name, d)))
        .collect();
    (0..count)
        .map(|n| {
            let (region, domain) = domains[n % domains.len()];
            let name = format!("{domain}-vm-{}", n / domains.len() + 1);
            let octets = [n / 250, n % 250 + 1].map(|o| u8::try_from(o).unwrap_or(u8::MAX));
            Ok(VmRecord {
                name: VmName::try_from(name.as_str())?,
                address: Ipv4Addr::new(127, PROXY_OCTET, octets[0], octets[1]).into(),
                region: region.clone(),
                failure_domain: domain.clone(),
                state: VmState::Live,
            })
        })
        .collect()
}

/// The address on which the processes of a VM listen. Proxies listen on the
/// address in the VM list.
fn process_address(listed: IpAddr) -> IpAddr {
    match listed {
        IpAddr::V4(listed) => {
            let [first, _, third, fourth] = listed.octets();
            Ipv4Addr::new(first, PROCESS_OCTET, third, fourth).into()
        }
        IpAddr::V6(_) => listed,
    }
}

fn listen_error(address: SocketAddr, source: io::Error) -> DevError {
    DevError::Listen { address, source }
}
