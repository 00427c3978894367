//! The view of the platform's objects that is in force in one process.
//!
//! A view is immutable. A process builds a new one whenever its object map
//! changes.

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

use super::client_regions::ClientRegionTable;
use super::region_splits::{self, Drains, RegionSplits, RegionSplitsInput};
use super::shares::{self, SHARE_TABLE};
use super::steering::{STEERING_WEIGHTS, SteeringTable};
use super::{Config, KeyRecord, KeyTable, ServiceName, VmRecord};
use crate::logfmt;
use crate::platform::Revision;

/// Name of the root object; writing it puts a new configuration into force.
pub const CONFIG_ROOT: &str = "config/root";

/// Number of recent applies that a root lists. An operator who lost the store's
/// response finds its outcome there even if others have applied since. At one
/// apply per second, an id stays listed for longer than the 10 s during which
/// `apply` looks for its outcome.
pub const RECENT_APPLIES: usize = 16;

/// Stored form of a configuration's root, the object [`CONFIG_ROOT`]: it lists
/// the parts that make up the configuration text.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigRoot {
    /// Number of the accepted configuration, counted from 1.
    pub version: u64,
    /// Id of the `apply` run that wrote this root.
    pub apply_id: String,
    /// SHA-256 digests of the parts, in the order of the text.
    pub parts: Vec<String>,
    /// The most recent applies including this one, oldest first; at most
    /// [`RECENT_APPLIES`].
    #[serde(default)]
    pub recent: Vec<AppliedVersion>,
}

/// An accepted `apply` run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppliedVersion {
    /// Configuration version that the run wrote.
    pub version: u64,
    /// Id of the run, unique among all applies.
    pub apply_id: String,
}

/// All state that decisions on requests depend on, as of one revision.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Revision of the objects that this view was built from.
    pub revision: Revision,
    /// Version of the configuration in force; 0 if there is none yet.
    pub config_version: u64,
    /// The configuration in force; `None` until the first one is accepted.
    pub config: Option<Arc<Config>>,
    /// Closest region of each client block of the configuration; `None` until
    /// the first configuration is accepted.
    pub(crate) client_regions: Option<Arc<ClientRegionTable>>,
    /// Region weights in effect, as published by the allocator.
    pub(crate) steering: SteeringTable,
    /// Splits of lookups and requests over regions, derived from the other
    /// fields.
    pub(crate) region_splits: Arc<RegionSplits>,
    /// Granted keys of all teams.
    pub keys: KeyTable,
    /// VMs of the platform's list.
    pub vms: IndexMap<VmName, VmRecord>,
    /// Each VM's units of every team's rate and burst.
    pub shares: ShareTable,
    /// Backend servers that operators drain.
    pub drained_servers: HashSet<SocketAddr>,
    /// Names of the VMs that operators drain.
    pub drained_vms: HashSet<String>,
    /// Names of the regions that operators drain.
    pub drained_regions: HashSet<String>,
}

/// One endpoint of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    /// Requests that the endpoint runs at the same time.
    pub(crate) slots: u32,
    /// Whether the endpoint gets no new work: its backend server is drained,
    /// its VM accepts none, or the service's traffic has left its drained
    /// region.
    pub(crate) drained: bool,
}

impl InForce {
    /// Builds the view from the objects of the platform.
    ///
    /// If the stored configuration is incomplete or malformed, that of
    /// `previous` stays in force, so that one bad object cannot take a service
    /// down.
    #[must_use]
    pub fn build(objects: &VersionedMap<Bytes>, previous: &Self) -> Self {
        let mut view = Self {
            revision: objects.revision(),
            config_version: previous.config_version,
            config: previous.config.clone(),
            client_regions: previous.client_regions.clone(),
            ..Self::default()
        };
        for (name, entry) in objects.iter() {
            view.add(name, &entry.value);
        }
        if let Some((version, config)) = newer_config(objects, previous.config_version) {
            match ClientRegionTable::build(version, &config) {
                Ok(table) => view.client_regions = Some(Arc::new(table)),
                Err(error) => log::error!(
                    "event=client_blocks_malformed version={version} error={}",
                    crate::logfmt::value(&error)
                ),
            }
            view.config_version = version;
            view.config = Some(Arc::new(config));
        }
        view.region_splits = Arc::new(view.compute_region_splits());
        view
    }

    /// Returns the same view with a later revision that changed no object.
    #[must_use]
    pub(crate) fn at_revision(&self, revision: Revision) -> Self {
        Self {
            revision,
            ..self.clone()
        }
    }

    /// Adds one object of the store. Malformed objects and unknown names are
    /// ignored.
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
        } else if name == STEERING_WEIGHTS {
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

    /// The drains that the target region weights take into account.
    pub(crate) fn drains(&self) -> Drains<'_> {
        Drains {
            regions: &self.drained_regions,
            servers: &self.drained_servers,
        }
    }

    fn compute_region_splits(&self) -> RegionSplits {
        let Some(config) = self.config.as_deref() else {
            return RegionSplits::default();
        };
        // A service for which the allocator has not published weights yet uses
        // its target weights.
        let mut services = region_splits::targets(config, self.drains());
        for (name, weights) in &mut services {
            if let Some(in_effect) = self.steering.services.get(name) {
                weights.clone_from(in_effect);
            }
        }
        let in_effect = self.steering.lookups.clone();
        let Some(lookups) = in_effect.or_else(|| Weights::average(services.values())) else {
            return RegionSplits::default();
        };
        let vms = self.vms.values();
        let vms = vms.filter(|vm| vm.is_live() && !self.drained_vms.contains(vm.name.as_str()));
        RegionSplits::new(RegionSplitsInput {
            config,
            drained_regions: &self.drained_regions,
            vms: vms.collect(),
            lookups,
            services,
        })
    }

    /// Returns whether a VM accepts new work: it is live and not drained. The
    /// VMs of a drained region accept work until the region's lookup weight is
    /// zero.
    #[must_use]
    pub fn accepts_work(&self, vm: &VmRecord) -> bool {
        vm.is_live()
            && !self.drained_vms.contains(vm.name.as_str())
            && !(self.drained_regions.contains(vm.region.as_str())
                && self.region_splits.is_without_lookups(&vm.region))
    }

    /// All endpoints of a service in a region, drained ones included.
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
                        drained: self.is_region_drained(service_name, region)
                            || self.is_server_drained(address),
                    })
            })
    }

    /// Addresses and slots of the endpoints of a service in a region that accept
    /// new work.
    pub(crate) fn usable_endpoints<'a>(
        &'a self,
        service: &'a ServiceName,
        region: &'a RegionName,
    ) -> impl Iterator<Item = (SocketAddr, u32)> + 'a {
        self.endpoints(service, region)
            .filter(|endpoint| !endpoint.drained)
            .map(|endpoint| (endpoint.address, endpoint.slots))
    }

    /// Configured network round-trip time between two regions; zero without a
    /// configuration.
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

    /// Returns whether a region is drained and all of the service's traffic has
    /// moved out of it.
    fn is_region_drained(&self, service: &ServiceName, region: &RegionName) -> bool {
        self.drained_regions.contains(region.as_str())
            && self.region_splits.weight(service, region) == 0
    }

    /// Returns whether a backend server is drained by an operator or runs on a
    /// VM that accepts no new work.
    fn is_server_drained(&self, address: SocketAddr) -> bool {
        self.drained_servers.contains(&address)
            || self
                .vms
                .values()
                .any(|vm| vm.address == address.ip() && !self.accepts_work(vm))
    }

    /// All regions in order of preference for a client in `region`: this one
    /// first, then the others in the order of the configuration.
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

/// Returns the version and content of the stored configuration, or `None` if it
/// is not newer than `version`, incomplete or malformed.
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
