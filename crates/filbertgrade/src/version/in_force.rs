//! The view of the platform's objects that is in force in one process.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertgrade_coord::names::{RegionName, VmName};
use filbertgrade_coord::share_table::ShareTable;
use filbertgrade_coord::versioned::VersionedMap;
use filbertgrade_coord::weights::Weights;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::clients::ClientTable;
use super::routes::{self, Routes, RoutesInput};
use super::shares::{self, SHARE_TABLE};
use super::steering::{STEERING, SteeringTable};
use super::{Config, KeyRecord, KeyTable, ServiceName, VmRecord};
use crate::logfmt;
use crate::platform::Revision;

/// Name of the object that makes a configuration visible.
pub const CONFIG_ROOT: &str = "config/root";

/// Applies that a root names, so that an operator whose answer was lost learns
/// the outcome although others applied since. At one apply every second, an
/// id stays longer than the 10 s in which an outcome is looked for.
pub const RECENT_APPLIES: usize = 16;

/// The root of a configuration: the parts that make up its text.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigRoot {
    /// Counts accepted configurations, from 1.
    pub version: u64,
    /// Id of the run of `apply` that wrote this root.
    pub apply_id: String,
    /// SHA-256 digests of the parts, in order.
    pub parts: Vec<String>,
    /// The last applies, this one included, oldest first; at most
    /// [`RECENT_APPLIES`].
    #[serde(default)]
    pub recent: Vec<AppliedVersion>,
}

/// An accepted run of `apply`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppliedVersion {
    /// Version that it wrote.
    pub version: u64,
    /// Its id.
    pub apply_id: String,
}

/// Everything that requests are decided on, as of one revision.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Revision of the objects that this view was built from.
    pub revision: Revision,
    /// Version of the configuration in force; 0 before the first one.
    pub config_version: u64,
    /// The configuration, once one was accepted.
    pub config: Option<Arc<Config>>,
    /// Client blocks of the configuration.
    pub(crate) clients: Option<Arc<ClientTable>>,
    /// Region weights in effect.
    pub(crate) steering: SteeringTable,
    /// How traffic is split over regions.
    pub(crate) routes: Arc<Routes>,
    /// Keys.
    pub keys: KeyTable,
    /// VMs of the platform's list.
    pub vms: IndexMap<VmName, VmRecord>,
    /// Each VM's units of every team's rate and burst.
    pub shares: ShareTable,
    /// Backend servers that get no new work.
    pub drained_servers: HashSet<SocketAddr>,
    /// VMs that operators drain.
    pub drained_vms: HashSet<String>,
    /// Regions that operators drain.
    pub drained_regions: HashSet<String>,
}

/// One endpoint of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    /// The endpoint gets no new work.
    pub(crate) drained: bool,
}

impl InForce {
    /// Builds the view from the objects of the platform.
    ///
    /// A configuration that is incomplete or malformed leaves `previous` in
    /// force, so that a fault in one object cannot take a service down.
    #[must_use]
    pub fn build(objects: &VersionedMap<Bytes>, previous: &Self) -> Self {
        let mut view = Self {
            revision: objects.revision(),
            config_version: previous.config_version,
            config: previous.config.clone(),
            clients: previous.clients.clone(),
            ..Self::default()
        };
        for (name, entry) in objects.iter() {
            view.add(name, &entry.value);
        }
        if let Some((version, config)) = newer_config(objects, previous.config_version) {
            match ClientTable::build(version, &config) {
                Ok(table) => view.clients = Some(Arc::new(table)),
                Err(error) => log::error!(
                    "event=client_blocks_malformed version={version} error={}",
                    crate::logfmt::value(&error)
                ),
            }
            view.config_version = version;
            view.config = Some(Arc::new(config));
        }
        view.routes = Arc::new(view.new_routes());
        view
    }

    /// The same view as of a later revision that changed no object.
    #[must_use]
    pub(crate) fn at_revision(&self, revision: Revision) -> Self {
        Self {
            revision,
            ..self.clone()
        }
    }

    fn add(&mut self, name: &str, value: &Bytes) {
        if let Some(id) = name.strip_prefix("keys/") {
            if let Ok(record) = serde_json::from_slice::<KeyRecord>(value) {
                self.keys.insert(id, &record);
            }
        } else if name.starts_with("vms/") {
            if let Some(vm) = VmRecord::decode(value) {
                self.vms.insert(vm.name.clone(), vm);
            }
        } else if name == SHARE_TABLE {
            if let Some(table) = shares::decode(value) {
                self.shares = table;
            }
        } else if name == STEERING {
            if let Some(table) = SteeringTable::decode(value) {
                self.steering = table;
            }
        } else if let Some(address) = name.strip_prefix("drains/server/") {
            if let Ok(address) = address.parse() {
                self.drained_servers.insert(address);
            }
        } else if let Some(vm) = name.strip_prefix("drains/vm/") {
            self.drained_vms.insert(vm.to_owned());
        } else if let Some(region) = name.strip_prefix("drains/region/") {
            self.drained_regions.insert(region.to_owned());
        }
    }

    fn new_routes(&self) -> Routes {
        let Some(config) = self.config.as_deref() else {
            return Routes::default();
        };
        // A service that the allocator has not published yet starts at its
        // target.
        let mut services = routes::targets(config, &self.drained_regions);
        for (name, weights) in &mut services {
            if let Some(in_effect) = self.steering.services.get(name) {
                weights.clone_from(in_effect);
            }
        }
        let in_effect = self.steering.lookups.clone();
        let Some(lookups) = in_effect.or_else(|| Weights::average(services.values())) else {
            return Routes::default();
        };
        let vms = self.vms.values();
        let vms = vms.filter(|vm| vm.is_live() && !self.drained_vms.contains(vm.name.as_str()));
        Routes::new(RoutesInput {
            config,
            drained: &self.drained_regions,
            vms: vms.collect(),
            lookups,
            services,
        })
    }

    /// A VM that stays and is not drained. The VMs of a drained region take
    /// work until its weight is zero.
    #[must_use]
    pub fn takes_work(&self, vm: &VmRecord) -> bool {
        vm.is_live()
            && !self.drained_vms.contains(vm.name.as_str())
            && !(self.drained_regions.contains(vm.region.as_str())
                && self.routes.is_left_by_lookups(&vm.region))
    }

    /// Endpoints of a service in a region.
    pub(crate) fn endpoints<'a>(
        &'a self,
        service: &'a ServiceName,
        region: &'a RegionName,
    ) -> impl Iterator<Item = Endpoint> + 'a {
        let service_name = service;
        let config = self.config.as_deref();
        config
            .and_then(|cfg| Some((cfg, cfg.services.get(service)?)))
            .into_iter()
            .flat_map(move |(cfg, service)| {
                service
                    .all_endpoints()
                    .filter(move |(domain, _)| cfg.region_of(domain) == Some(region))
                    .map(move |(_, address)| Endpoint {
                        address,
                        slots: service.slots,
                        drained: self.is_left(service_name, region) || self.is_drained(address),
                    })
            })
    }

    /// Endpoints of a service in a region that take new work, with their slots.
    pub(crate) fn usable_endpoints<'a>(
        &'a self,
        service: &'a ServiceName,
        region: &'a RegionName,
    ) -> impl Iterator<Item = (SocketAddr, u32)> + 'a {
        self.endpoints(service, region)
            .filter(|endpoint| !endpoint.drained)
            .map(|endpoint| (endpoint.address, endpoint.slots))
    }

    /// Time for a message between two regions and its answer.
    pub(crate) fn round_trip(&self, from: &RegionName, to: &RegionName) -> Duration {
        let Some(config) = &self.config else {
            return Duration::ZERO;
        };
        let one_way = if from == to {
            config.network.domain_latency
        } else {
            config.network.region_latency
        };
        one_way * 2
    }

    /// A region is drained, and the service's traffic has moved out of it.
    fn is_left(&self, service: &ServiceName, region: &RegionName) -> bool {
        self.drained_regions.contains(region.as_str()) && self.routes.weight(service, region) == 0
    }

    /// A backend server is drained by an operator, or its VM is leaving.
    fn is_drained(&self, address: SocketAddr) -> bool {
        self.drained_servers.contains(&address)
            || self
                .vms
                .values()
                .any(|vm| vm.address == address.ip() && !self.takes_work(vm))
    }

    /// Regions in order of preference for a client in `region`.
    #[must_use]
    pub fn region_order(&self, region: Option<&RegionName>) -> Vec<RegionName> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let mut regions: Vec<RegionName> = config.regions.keys().cloned().collect();
        regions.sort_by_key(|name| Some(name) != region);
        regions
    }
}

/// The configuration of the root object, if it is newer than `version`,
/// complete and well-formed.
fn newer_config(objects: &VersionedMap<Bytes>, version: u64) -> Option<(u64, Config)> {
    let root: ConfigRoot = serde_json::from_slice(&objects.get(CONFIG_ROOT)?.value).ok()?;
    if root.version <= version {
        return None;
    }
    let mut text = String::new();
    for part in &root.parts {
        let entry = objects.get(&format!("config/part/{part}"))?;
        text.push_str(std::str::from_utf8(&entry.value).ok()?);
    }
    match Config::parse(&text) {
        Ok(config) => Some((root.version, config)),
        Err(error) => {
            log::error!(
                "event=config_malformed version={} error={}",
                root.version,
                logfmt::value(&error)
            );
            None
        }
    }
}
