//! All parts of a deployment in one process.

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
use crate::process::settings::{NodeSettings, Ports};
use crate::process::{agent, entry};
use crate::version::{Config, ConfigError, KeyRecord, KeySecret, KeyState, VmRecord, VmState};
use crate::wire::{Body, StatusRequest};

/// Longest time for the configuration to be in force everywhere.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// Service times of the backend servers.
const SERVICE_TIME: ServiceTime = ServiceTime::Uniform {
    min: Duration::from_millis(20),
    max: Duration::from_millis(80),
};

/// Second octets of the loopback addresses that stand for VMs: where their
/// processes listen, and where others reach them through the network.
const VM_OCTET: u8 = 40;
const NETWORK_OCTET: u8 = 41;

/// Address of the store.
const STORE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 42, 0, 1)), 6000);

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
    /// An address is in use, perhaps by another run.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The configuration was not accepted.
    #[error(transparent)]
    Apply(#[from] CommandError),
    /// A name of a VM is malformed.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The random source failed.
    #[error("no random numbers: {0}")]
    Random(#[from] getrandom::Error),
    /// A record cannot be written.
    #[error(transparent)]
    Record(#[from] serde_json::Error),
    /// A process did not come up.
    #[error("the configuration is not in force everywhere after {} s", READY_WITHIN.as_secs())]
    NotReady,
    /// Counts that must be zero are not.
    #[error("promises broken: {0}")]
    Broken(String),
    /// The load stopped early.
    #[error("the load stopped: {0}")]
    Load(tokio::task::JoinError),
}

/// A running deployment. Dropping it ends all of its tasks.
#[derive(Debug)]
pub(super) struct Deployment {
    config: Config,
    platform: PlatformServer,
    servers: Vec<Server>,
    vms: Vec<VmRecord>,
    keys: HashMap<TeamName, Key>,
    _network: Vec<FaultProxy>,
    /// Proxies that carry only control traffic, with the region behind them.
    control: Vec<(RegionName, FaultProxy)>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// One backend server.
#[derive(Debug)]
struct Server {
    /// Address that the configuration names.
    address: SocketAddr,
    region: RegionName,
    slots: u32,
    backend: BackendServer,
}

/// A place in the network.
#[derive(Clone, Debug)]
struct Place {
    region: RegionName,
    domain: Option<FailureDomainName>,
}

impl Deployment {
    /// Starts everything, and applies the configuration.
    pub(super) async fn start(
        config: Config,
        text: &str,
        vms: usize,
        seed: u64,
    ) -> Result<Self, DevError> {
        let vms = place_vms(&config, vms)?;
        let links = Links::new(&config, &vms);
        let real_store = SocketAddr::new(STORE.ip(), STORE.port() + 1);
        let platform = PlatformServer::bind(real_store)
            .await
            .map_err(|source| listen_error(real_store, source))?;
        let store_place = links.store_place();
        let store_proxy = links.proxy(STORE, real_store, &store_place).await?;
        let mut control = vec![(store_place.region, store_proxy)];
        let mut network = Vec::new();
        let servers = start_servers(&config, &links, seed, &mut network).await?;
        for vm in &vms {
            platform.put(&format!("vms/{}", vm.name), vm.encode());
        }
        let keys = grant_keys(&config, &platform)?;
        apply_text(&HttpPlatform::new(real_store, None), text).await?;
        let mut tasks = Vec::new();
        for vm in &vms {
            let place = Place {
                region: vm.region.clone(),
                domain: Some(vm.failure_domain.clone()),
            };
            let ports = Ports::default();
            for port in [ports.caller, ports.entry_peer, ports.agent_peer] {
                let listen = SocketAddr::new(vm.address, port);
                let forward = SocketAddr::new(process_address(vm.address), port);
                let proxy = links.proxy(listen, forward, &place).await?;
                if port == ports.caller {
                    network.push(proxy);
                } else {
                    control.push((vm.region.clone(), proxy));
                }
            }
            tasks.extend(start_vm(vm, STORE, ports));
        }
        Ok(Self {
            config,
            platform,
            servers,
            vms,
            keys,
            _network: network,
            control,
            tasks,
        })
    }

    /// Waits until every entry has the configuration and its share in effect.
    pub(super) async fn wait_until_ready(&self) -> Result<Duration, DevError> {
        let start = Instant::now();
        for vm in &self.vms {
            let address = SocketAddr::new(process_address(vm.address), Ports::default().agent_peer);
            let link = PeerLink::new(address, None);
            while !is_ready(&link).await {
                if start.elapsed() > READY_WITHIN {
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

    /// Addresses of the callers' ports.
    pub(super) fn vm_addresses(&self) -> Vec<SocketAddr> {
        let port = Ports::default().caller;
        let address = |vm: &VmRecord| SocketAddr::new(vm.address, port);
        self.vms.iter().map(address).collect()
    }

    pub(super) fn server_addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|server| server.address).collect()
    }

    /// What the backend servers observed.
    pub(super) fn records(&self) -> Vec<BackendRecords> {
        self.servers
            .iter()
            .map(|server| server.backend.records())
            .collect()
    }

    /// Bytes of control traffic so far on each link, one way: between VMs,
    /// and between VMs and the store.
    pub(super) fn control_bytes(&self) -> IndexMap<String, u64> {
        let mut bytes = IndexMap::new();
        for (region, proxy) in &self.control {
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

    /// Index of the server that is drained.
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

/// Latency and bandwidth between places.
#[derive(Debug)]
struct Links {
    config: Config,
    /// Where connections from each address come from.
    sources: Vec<(IpAddr, Place)>,
    /// Bandwidth from one region to another, shared by all traffic.
    bandwidth: HashMap<(RegionName, RegionName), Bandwidth>,
}

impl Links {
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
                    let place = Place {
                        region: vm.region.clone(),
                        domain: Some(vm.failure_domain.clone()),
                    };
                    (process_address(vm.address), place)
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

    fn store_place(&self) -> Place {
        Place {
            region: self.config.network.store_region.clone(),
            domain: None,
        }
    }

    /// A proxy in front of something at `place`. Connections from addresses
    /// that are no VMs' come from clients.
    async fn proxy(
        &self,
        listen: SocketAddr,
        forward: SocketAddr,
        place: &Place,
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
            let there = self.fault(from, place);
            let back = self.fault(place, from);
            proxy.set_fault_from(*source, Direction::ToServer, there);
            proxy.set_fault_from(*source, Direction::ToClient, back);
        }
        Ok(proxy)
    }

    fn fault(&self, from: &Place, to: &Place) -> Fault {
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

async fn start_servers(
    config: &Config,
    links: &Links,
    seed: u64,
    network: &mut Vec<FaultProxy>,
) -> Result<Vec<Server>, DevError> {
    let mut servers = Vec::new();
    for service in config.services.values() {
        for (domain, address) in service.all_endpoints() {
            let Some(region) = config.region_of(domain) else {
                continue;
            };
            let real = SocketAddr::new(address.ip(), address.port() + 1);
            let cfg = BackendConfig {
                name: address.to_string(),
                slots: service.slots as usize,
                connection_limit: service.connections as usize,
                service_time: SERVICE_TIME,
                seed: seed + servers.len() as u64,
                ..BackendConfig::default()
            };
            let backend = BackendServer::bind(real, cfg)
                .await
                .map_err(|source| listen_error(real, source))?;
            let place = Place {
                region: region.clone(),
                domain: Some(domain.clone()),
            };
            network.push(links.proxy(address, real, &place).await?);
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

fn start_vm(vm: &VmRecord, store: SocketAddr, ports: Ports) -> [tokio::task::JoinHandle<()>; 2] {
    let settings = NodeSettings {
        vm: vm.name.clone(),
        address: process_address(vm.address),
        region: vm.region.clone(),
        failure_domain: vm.failure_domain.clone(),
        store,
        ports,
    };
    let of_agent = settings.clone();
    [
        tokio::spawn(async move {
            if let Err(error) = agent::run(of_agent).await {
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

async fn is_ready(agent: &PeerLink) -> bool {
    let status = Body::StatusRequest(StatusRequest {});
    match agent.call(status, Duration::from_secs(1)).await {
        Ok(Body::StatusReply(reply)) => reply
            .entry
            .is_some_and(|e| e.config_version > 0 && e.share_table_version > Some(0)),
        _ => false,
    }
}

/// Spreads the VMs over the failure domains in turn.
fn place_vms(config: &Config, count: usize) -> Result<Vec<VmRecord>, NameError> {
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
                address: Ipv4Addr::new(127, NETWORK_OCTET, octets[0], octets[1]).into(),
                region: region.clone(),
                failure_domain: domain.clone(),
                state: VmState::Live,
            })
        })
        .collect()
}

/// Where the processes of a VM listen; the listed address is a proxy's.
fn process_address(listed: IpAddr) -> IpAddr {
    match listed {
        IpAddr::V4(listed) => {
            let [first, _, third, fourth] = listed.octets();
            Ipv4Addr::new(first, VM_OCTET, third, fourth).into()
        }
        IpAddr::V6(_) => listed,
    }
}

fn listen_error(address: SocketAddr, source: io::Error) -> DevError {
    DevError::Listen { address, source }
}
