//! How traffic is split over regions, as of one view.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use filbertgrade_coord::names::RegionName;
use filbertgrade_coord::weights::{WEIGHT_UNITS, Weights};
use indexmap::IndexMap;

use super::{Config, ServiceConfig, ServiceName, VmRecord};

/// Splits of look-ups and requests over regions, computed once for a view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Routes {
    /// VMs that take work, by region, in the order of the configuration.
    vms: IndexMap<RegionName, Vec<Arc<VmRecord>>>,
    /// Drained regions are no choice besides the one that a split names.
    drained: HashSet<RegionName>,
    /// Split of look-ups by the client's region.
    lookups: HashMap<RegionName, Split>,
    /// Split of look-ups of clients whose region is unknown.
    unknown: Split,
    /// Split of each service's requests by the region of the entry.
    requests: HashMap<ServiceName, HashMap<RegionName, Split>>,
    /// Weights of services in effect.
    weights: BTreeMap<ServiceName, Weights>,
    /// Regions that look-ups name no more.
    left: HashSet<RegionName>,
}

/// What the splits are computed from.
#[derive(Debug)]
pub(crate) struct RoutesInput<'a> {
    pub(crate) config: &'a Config,
    pub(crate) drained: &'a HashSet<String>,
    /// VMs that stay and are not drained themselves.
    pub(crate) vms: Vec<&'a VmRecord>,
    /// Weights of look-ups in effect.
    pub(crate) lookups: Weights,
    /// Weights of services in effect.
    pub(crate) services: BTreeMap<ServiceName, Weights>,
}

/// Divides a unit interval among regions.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Split {
    /// Regions with the upper end of their part; ascending.
    parts: Vec<(RegionName, f64)>,
}

type Shares = BTreeMap<RegionName, f64>;

impl Routes {
    pub(crate) fn new(input: RoutesInput<'_>) -> Self {
        let config = input.config;
        let regions = || config.regions.keys();
        let drained: HashSet<RegionName> = regions()
            .filter(|region| input.drained.contains(region.as_str()))
            .cloned()
            .collect();
        let mut vms: IndexMap<RegionName, Vec<Arc<VmRecord>>> = IndexMap::new();
        let left: HashSet<RegionName> = drained
            .iter()
            .filter(|region| input.lookups.get(region) == 0)
            .cloned()
            .collect();
        for region in regions().filter(|region| !left.contains(*region)) {
            let of_region = input.vms.iter().filter(|vm| vm.region == *region);
            let of_region: Vec<_> = of_region.map(|vm| Arc::new((*vm).clone())).collect();
            if !of_region.is_empty() {
                vms.insert(region.clone(), of_region);
            }
        }
        // Where callers arrive: the look-up weights, without regions that have
        // no VM. Look-ups send traffic there, and entries expect it there.
        let mut entered = shares(&input.lookups);
        entered.retain(|region, _| vms.contains_key(region));
        normalize(&mut entered);
        let mut arrivals: Shares = config
            .regions
            .iter()
            .map(|(name, region)| (name.clone(), f64::from(region.arrivals)))
            .collect();
        normalize(&mut arrivals);
        let lookups = regions()
            .map(|own| (own.clone(), Split::from_region(own, &arrivals, &entered)))
            .collect();
        let requests = input
            .services
            .iter()
            .map(|(service, weights)| {
                let weights = shares(weights);
                let by_region = regions()
                    .map(|own| (own.clone(), Split::from_region(own, &entered, &weights)))
                    .collect();
                (service.clone(), by_region)
            })
            .collect();
        Self {
            vms,
            drained,
            lookups,
            unknown: Split::by_weights(&entered),
            requests,
            weights: input.services,
            left,
        }
    }

    /// VMs that take work, by region: the one for the client first.
    ///
    /// `point` is in `[0, 1)` and stays the same for a client, so that a step
    /// of the weights moves as few clients as it must.
    pub(crate) fn vms_for(
        &self,
        region: Option<&RegionName>,
        point: f64,
    ) -> impl Iterator<Item = (&RegionName, &[Arc<VmRecord>])> {
        let split = region.and_then(|region| self.lookups.get(region));
        let first = split.unwrap_or(&self.unknown).pick(point);
        let first = first.and_then(|first| self.vms.get_key_value(first));
        let others = self.vms.iter().filter(move |(region, _)| {
            first.is_none_or(|(first, _)| first != *region) && !self.drained.contains(*region)
        });
        let others: Vec<_> = others.collect();
        // Clients of one region are spread over the others, in case the whole
        // region is away.
        let start = (point * 1e6) as usize % others.len().max(1);
        let (before, after) = others.split_at(start.min(others.len()));
        let order: Vec<_> = first
            .into_iter()
            .chain(after.iter().copied())
            .chain(before.iter().copied())
            .collect();
        order
            .into_iter()
            .map(|(region, vms)| (region, vms.as_slice()))
    }

    /// The region that a request is sent to, by a random `point` in `[0, 1)`.
    pub(crate) fn region_for(
        &self,
        service: &ServiceName,
        own: &RegionName,
        point: f64,
    ) -> Option<&RegionName> {
        self.requests.get(service)?.get(own)?.pick(point)
    }

    /// The region may get requests of the service besides those that a split
    /// sends there.
    pub(crate) fn is_other_choice(&self, service: &ServiceName, region: &RegionName) -> bool {
        !self.drained.contains(region) && self.weight(service, region) > 0
    }

    /// The region is drained, and its look-up weight is zero.
    pub(crate) fn is_left_by_lookups(&self, region: &RegionName) -> bool {
        self.left.contains(region)
    }

    /// Units of a service's traffic that a region gets.
    pub(crate) fn weight(&self, service: &ServiceName, region: &RegionName) -> u32 {
        self.weights.get(service).map_or(0, |w| w.get(region))
    }
}

impl Split {
    /// Splits traffic that arrives in `own`: a region whose weight is below
    /// its arrivals keeps its weight, and the rest goes to the regions whose
    /// weight is above theirs, in proportion to the excess.
    fn from_region(own: &RegionName, arrivals: &Shares, weights: &Shares) -> Self {
        let of = |shares: &Shares, region: &RegionName| shares.get(region).copied().unwrap_or(0.0);
        let (arriving, weight) = (of(arrivals, own), of(weights, own));
        let keep = if weight <= 0.0 {
            0.0
        } else if arriving <= weight {
            1.0
        } else {
            weight / arriving
        };
        let excess: Shares = weights
            .iter()
            .filter(|(region, _)| *region != own)
            .map(|(region, weight)| (region.clone(), (weight - of(arrivals, region)).max(0.0)))
            .collect();
        let total: f64 = excess.values().sum();
        if total <= 0.0 {
            return if keep > 0.0 {
                Self {
                    parts: vec![(own.clone(), 1.0)],
                }
            } else {
                Self::by_weights(weights)
            };
        }
        let mut parts = vec![(own.clone(), keep)];
        let mut upto = keep;
        for (region, excess) in excess {
            upto += (1.0 - keep) * excess / total;
            parts.push((region, upto));
        }
        Self { parts }
    }

    fn by_weights(weights: &Shares) -> Self {
        let total: f64 = weights.values().sum();
        let mut upto = 0.0;
        let parts = weights.iter().filter(|(_, weight)| **weight > 0.0);
        Self {
            parts: parts
                .map(|(region, weight)| {
                    upto += weight / total;
                    (region.clone(), upto)
                })
                .collect(),
        }
    }

    fn pick(&self, point: f64) -> Option<&RegionName> {
        let within = self.parts.iter().find(|(_, upto)| point < *upto);
        // Rounding may leave the last end just below 1.
        let found = within.or_else(|| self.parts.last());
        found.map(|(region, _)| region)
    }
}

/// A client's place in `[0, 1)`, by its address.
pub(crate) fn client_point(client: IpAddr) -> f64 {
    // 53 bits are what a float holds exactly.
    (client_hash(client) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Hash of a client's address.
pub(crate) fn client_hash(client: IpAddr) -> u64 {
    match client.to_canonical() {
        IpAddr::V4(client) => xxhash_rust::xxh3::xxh3_64(&client.octets()),
        IpAddr::V6(client) => xxhash_rust::xxh3::xxh3_64(&client.octets()),
    }
}

/// What operators drain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drains<'a> {
    pub(crate) regions: &'a HashSet<String>,
    pub(crate) servers: &'a HashSet<SocketAddr>,
}

/// The configured weights of each service, with zero for regions that are
/// drained or have only drained endpoints. Where that leaves nothing, drains
/// have no effect on the service.
pub(crate) fn targets(config: &Config, drains: Drains<'_>) -> BTreeMap<ServiceName, Weights> {
    let in_proportion = |service: &ServiceConfig, all: bool| {
        let is_target = |region: &RegionName| {
            let mut endpoints = service.all_endpoints();
            let is_usable = endpoints.any(|(domain, address)| {
                config.region_of(domain) == Some(region) && !drains.servers.contains(&address)
            });
            is_usable && !drains.regions.contains(region.as_str())
        };
        let parts = service.weights.iter();
        let parts = parts
            .filter(|(region, _)| all || is_target(region))
            .map(|(region, weight)| (region.clone(), f64::from(*weight)));
        Weights::from_proportions(&parts.collect())
    };
    config
        .services
        .iter()
        .filter_map(|(name, service)| {
            let weights = in_proportion(service, false).or_else(|| in_proportion(service, true))?;
            Some((name.clone(), weights))
        })
        .collect()
}

fn shares(weights: &Weights) -> Shares {
    let share = |units: u32| f64::from(units) / f64::from(WEIGHT_UNITS);
    let units = weights.units().iter();
    units.map(|(r, u)| (r.clone(), share(*u))).collect()
}

fn normalize(shares: &mut Shares) {
    let sum: f64 = shares.values().sum();
    if sum > 0.0 {
        shares.values_mut().for_each(|share| *share /= sum);
    }
}
