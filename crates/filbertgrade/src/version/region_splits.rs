//! Splits of lookups and requests over regions, derived from the region weights
//! in effect and the drains of one view.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use filbertgrade_coord::names::RegionName;
use filbertgrade_coord::weights::{WEIGHT_UNITS, Weights};
use indexmap::IndexMap;

use super::{Config, ServiceConfig, ServiceName, VmRecord};

/// Splits of lookups and requests over regions, computed once per view.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionSplits {
    /// VMs that accept work by region, in the order of the configuration. A
    /// region without such VMs has no entry.
    vms: IndexMap<RegionName, Vec<Arc<VmRecord>>>,
    /// Drained regions. They get only the traffic that a split sends there.
    drained_regions: HashSet<RegionName>,
    /// Split of lookups by the client's region.
    lookups: HashMap<RegionName, Split>,
    /// Split of lookups of clients whose region is unknown.
    unknown_clients: Split,
    /// Split of each service's requests by the region of the entry.
    requests: HashMap<ServiceName, HashMap<RegionName, Split>>,
    /// Weights of each service in effect.
    weights: BTreeMap<ServiceName, Weights>,
    /// Drained regions whose lookup weight has reached zero, so that lookup
    /// responses no longer name their VMs.
    regions_without_lookups: HashSet<RegionName>,
}

/// The state that the splits are computed from.
#[derive(Debug)]
pub(crate) struct RegionSplitsInput<'a> {
    pub(crate) config: &'a Config,
    /// Names of the drained regions.
    pub(crate) drained_regions: &'a HashSet<String>,
    /// VMs that are live and not drained themselves.
    pub(crate) vms: Vec<&'a VmRecord>,
    /// Weights of lookups in effect.
    pub(crate) lookups: Weights,
    /// Weights of each service in effect.
    pub(crate) services: BTreeMap<ServiceName, Weights>,
}

/// A partition of the interval `[0, 1)` among regions. A point in it selects a
/// region.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Split {
    /// Regions with the upper end of their interval, in ascending order.
    intervals: Vec<(RegionName, f64)>,
}

/// Fractions of traffic by region.
type Shares = BTreeMap<RegionName, f64>;

impl RegionSplits {
    pub(crate) fn new(input: RegionSplitsInput<'_>) -> Self {
        let config = input.config;
        let regions = || config.regions.keys();
        let drained_regions: HashSet<RegionName> = regions()
            .filter(|region| input.drained_regions.contains(region.as_str()))
            .cloned()
            .collect();
        let mut vms: IndexMap<RegionName, Vec<Arc<VmRecord>>> = IndexMap::new();
        let regions_without_lookups: HashSet<RegionName> = drained_regions
            .iter()
            .filter(|region| input.lookups.get(region) == 0)
            .cloned()
            .collect();
        for region in regions().filter(|region| !regions_without_lookups.contains(*region)) {
            let of_region = input.vms.iter().filter(|vm| vm.region == *region);
            let of_region: Vec<_> = of_region.map(|vm| Arc::new((*vm).clone())).collect();
            if !of_region.is_empty() {
                vms.insert(region.clone(), of_region);
            }
        }
        // The shares of traffic that enters the deployment in each region: the
        // lookup weights, without regions that have no VM. Lookups direct
        // callers by them, and entries assume them when they split requests.
        let mut arrivals_by_lookup = shares(&input.lookups);
        arrivals_by_lookup.retain(|region, _| vms.contains_key(region));
        normalize(&mut arrivals_by_lookup);
        let mut arrivals: Shares = config
            .regions
            .iter()
            .map(|(name, region)| (name.clone(), f64::from(region.arrivals)))
            .collect();
        normalize(&mut arrivals);
        let lookups = regions()
            .map(|origin| {
                (
                    origin.clone(),
                    Split::from_region(origin, &arrivals, &arrivals_by_lookup),
                )
            })
            .collect();
        let requests = input
            .services
            .iter()
            .map(|(service, weights)| {
                let weights = shares(weights);
                let by_region = regions()
                    .map(|origin| {
                        (
                            origin.clone(),
                            Split::from_region(origin, &arrivals_by_lookup, &weights),
                        )
                    })
                    .collect();
                (service.clone(), by_region)
            })
            .collect();
        Self {
            vms,
            drained_regions,
            lookups,
            unknown_clients: Split::by_weights(&arrivals_by_lookup),
            requests,
            weights: input.services,
            regions_without_lookups,
        }
    }

    /// Returns the VMs that accept work by region, starting with the region that
    /// the client is directed to.
    ///
    /// `position` is in `[0, 1)` and fixed for a client, so that a step of the
    /// weights moves no more clients than necessary.
    pub(crate) fn vms_for(
        &self,
        region: Option<&RegionName>,
        position: f64,
    ) -> impl Iterator<Item = (&RegionName, &[Arc<VmRecord>])> {
        let split = region.and_then(|region| self.lookups.get(region));
        let first = split.unwrap_or(&self.unknown_clients).pick(position);
        let first = first.and_then(|first| self.vms.get_key_value(first));
        let others = self.vms.iter().filter(move |(region, _)| {
            first.is_none_or(|(first, _)| first != *region)
                && !self.drained_regions.contains(*region)
        });
        let others: Vec<_> = others.collect();
        // If a whole region fails, its clients use the region named next, so
        // the order of the others depends on the client. This spreads the
        // clients of the failed region over all others.
        let start = (position * 1e6) as usize % others.len().max(1);
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

    /// Returns the region that a request received in region `origin` is sent to,
    /// selected by a random `point` in `[0, 1)`. Returns `None` for an unknown
    /// service or region, and if no region has weight.
    pub(crate) fn region_for(
        &self,
        service: &ServiceName,
        origin: &RegionName,
        point: f64,
    ) -> Option<&RegionName> {
        self.requests.get(service)?.get(origin)?.pick(point)
    }

    /// Returns whether the region may get requests of the service besides those
    /// that a split sends there: it is not drained and has a weight above zero.
    pub(crate) fn accepts_spill(&self, service: &ServiceName, region: &RegionName) -> bool {
        !self.drained_regions.contains(region) && self.weight(service, region) > 0
    }

    /// Returns whether lookup responses no longer name the VMs of the region: it is
    /// drained, and its lookup weight has reached zero.
    pub(crate) fn is_without_lookups(&self, region: &RegionName) -> bool {
        self.regions_without_lookups.contains(region)
    }

    /// Weight of a region for a service, in units; zero for an unknown service.
    pub(crate) fn weight(&self, service: &ServiceName, region: &RegionName) -> u32 {
        self.weights.get(service).map_or(0, |w| w.get(region))
    }
}

impl Split {
    /// Splits the traffic that arrives in region `origin`.
    ///
    /// A region keeps its own traffic up to its weight. What arrives beyond that
    /// goes to the regions whose weight exceeds their own arrivals, in
    /// proportion to this excess.
    fn from_region(origin: &RegionName, arrivals: &Shares, weights: &Shares) -> Self {
        let of = |shares: &Shares, region: &RegionName| shares.get(region).copied().unwrap_or(0.0);
        let (arrival, weight) = (of(arrivals, origin), of(weights, origin));
        let kept_fraction = if weight <= 0.0 {
            0.0
        } else if arrival <= weight {
            1.0
        } else {
            weight / arrival
        };
        let excess: Shares = weights
            .iter()
            .filter(|(region, _)| *region != origin)
            .map(|(region, weight)| (region.clone(), (weight - of(arrivals, region)).max(0.0)))
            .collect();
        let total: f64 = excess.values().sum();
        if total <= 0.0 {
            return if kept_fraction > 0.0 {
                Self {
                    intervals: vec![(origin.clone(), 1.0)],
                }
            } else {
                Self::by_weights(weights)
            };
        }
        let mut intervals = vec![(origin.clone(), kept_fraction)];
        let mut upper_end = kept_fraction;
        for (region, excess) in excess {
            upper_end += (1.0 - kept_fraction) * excess / total;
            intervals.push((region, upper_end));
        }
        Self { intervals }
    }

    /// Splits traffic in proportion to `weights`, wherever it arrives.
    fn by_weights(weights: &Shares) -> Self {
        let total: f64 = weights.values().sum();
        let mut upper_end = 0.0;
        let intervals = weights.iter().filter(|(_, weight)| **weight > 0.0);
        Self {
            intervals: intervals
                .map(|(region, weight)| {
                    upper_end += weight / total;
                    (region.clone(), upper_end)
                })
                .collect(),
        }
    }

    /// Returns the region whose interval contains `point`; `None` if the split is
    /// empty.
    fn pick(&self, point: f64) -> Option<&RegionName> {
        let containing = self
            .intervals
            .iter()
            .find(|(_, upper_end)| point < *upper_end);
        // Rounding may leave the end of the last interval just below 1.
        let found = containing.or_else(|| self.intervals.last());
        found.map(|(region, _)| region)
    }
}

/// Maps a client's address to a fixed position in `[0, 1)` by its hash.
pub(crate) fn client_position(client: IpAddr) -> f64 {
    // An `f64` represents integers of up to 53 bits exactly.
    (client_hash(client) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Hash of a client's address. An IPv4-mapped IPv6 address hashes like the IPv4
/// address.
pub(crate) fn client_hash(client: IpAddr) -> u64 {
    match client.to_canonical() {
        IpAddr::V4(client) => xxhash_rust::xxh3::xxh3_64(&client.octets()),
        IpAddr::V6(client) => xxhash_rust::xxh3::xxh3_64(&client.octets()),
    }
}

/// The regions and backend servers that operators drain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drains<'a> {
    pub(crate) regions: &'a HashSet<String>,
    pub(crate) servers: &'a HashSet<SocketAddr>,
}

/// Returns the target weights of each service: the configured ones, with zero
/// for regions that are drained or have only drained endpoints. If that leaves
/// a service no region, its drains are ignored.
pub(crate) fn targets(config: &Config, drains: Drains<'_>) -> BTreeMap<ServiceName, Weights> {
    let in_proportion = |service: &ServiceConfig, ignore_drains: bool| {
        let is_target = |region: &RegionName| {
            let mut endpoints = service.all_endpoints();
            let is_usable = endpoints.any(|(domain, address)| {
                config.region_of(domain) == Some(region) && !drains.servers.contains(&address)
            });
            is_usable && !drains.regions.contains(region.as_str())
        };
        let proportions = service.weights.iter();
        let proportions = proportions
            .filter(|(region, _)| ignore_drains || is_target(region))
            .map(|(region, weight)| (region.clone(), f64::from(*weight)));
        Weights::from_proportions(&proportions.collect())
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

/// Converts weight units to fractions.
fn shares(weights: &Weights) -> Shares {
    let share = |units: u32| f64::from(units) / f64::from(WEIGHT_UNITS);
    let units = weights.units().iter();
    units.map(|(r, u)| (r.clone(), share(*u))).collect()
}

/// Scales the shares so that their sum is 1, unless all are zero.
fn normalize(shares: &mut Shares) {
    let sum: f64 = shares.values().sum();
    if sum > 0.0 {
        shares.values_mut().for_each(|share| *share /= sum);
    }
}
