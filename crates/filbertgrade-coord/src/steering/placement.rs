//! Selects the region for an object and ranks the endpoints for it.
//!
//! Designed for the steady load. An endpoint that handled an object recently is
//! several times as fast, so all VMs must rank the endpoints in the same order.
//! The region is selected by hash and not by load, because requests that change
//! their region at the same time find cold caches there.

use std::collections::HashMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::names::RegionName;

/// Maps a hash to a number in `0..1`, uniformly if the bits of `hash` are
/// uniform.
pub fn unit_interval(hash: u64) -> f64 {
    // The upper 53 bits are what an f64 represents exactly.
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns the hash of an object that requests to a service refer to.
pub fn object_hash(service: &str, object: &[u8]) -> u64 {
    xxh3_64_with_seed(object, xxh3_64(service.as_bytes()))
}

/// Returns the hash of an endpoint, as [`score`] expects it.
pub fn endpoint_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Returns the rendezvous score of an endpoint for an object, from the hashes of
/// both. The endpoint with the highest score ranks first.
pub fn score(object: u64, endpoint: u64) -> u64 {
    xxh3_64_with_seed(&endpoint.to_le_bytes(), object)
}

/// How the objects of a service are divided among regions, for each region that
/// callers send from.
///
/// A region keeps the fraction of its demand that its own capacity covers. The
/// rest goes to regions with more capacity than demand, in proportion to the
/// excess, so that all endpoints have the same load.
#[derive(Clone, Debug, Default)]
pub struct RegionSplit {
    /// For each caller's region, the regions that its objects are placed in,
    /// with the upper end of their range in `0..1`. The caller's region is the
    /// first.
    rows: HashMap<RegionName, Vec<(RegionName, f64)>>,
}

impl RegionSplit {
    /// Computes the division from the capacity and the demand of each region.
    /// Each may be in any unit, since only the proportions matter.
    pub fn new(capacity: &[(RegionName, f64)], demand: &[(RegionName, f64)]) -> Self {
        let total_capacity: f64 = capacity.iter().map(|(_, n)| n).sum();
        let total_demand: f64 = demand.iter().map(|(_, n)| n).sum();
        if total_capacity <= 0.0 || total_demand <= 0.0 {
            return Self::default();
        }
        let fraction = |list: &[(RegionName, f64)], region: &RegionName, total: f64| {
            let found = list.iter().find(|(name, _)| name == region);
            found.map_or(0.0, |(_, n)| n / total)
        };
        let excess: Vec<(RegionName, f64)> = capacity
            .iter()
            .map(|(region, n)| {
                let demanded = fraction(demand, region, total_demand);
                (region.clone(), (n / total_capacity - demanded).max(0.0))
            })
            .collect();
        let rows = demand
            .iter()
            .map(|(region, n)| {
                let available = fraction(capacity, region, total_capacity);
                let kept = (available * total_demand / n.max(f64::MIN_POSITIVE)).min(1.0);
                (region.clone(), row(region, kept, &excess))
            })
            .collect();
        Self { rows }
    }

    /// Returns the region for an object that callers in the region `from`
    /// request, or `None` if `from` is unknown. `local_bias` is a multiple of
    /// the fraction of objects that normally stays in `from`: above one, more
    /// objects stay there.
    pub fn region(&self, from: &RegionName, object: u64, local_bias: f64) -> Option<&RegionName> {
        let row = self.rows.get(from)?;
        let (local, normal) = row.first()?;
        // The object is hashed again, so that the region does not depend on the
        // same hash as the ranking of endpoints.
        let point = unit_interval(xxh3_64(&object.to_le_bytes()));
        let kept = (normal * local_bias).min(1.0);
        if point < kept {
            return Some(local);
        }
        // Maps the rest of the interval onto the ranges of the other regions.
        let point = normal + (point - kept) / (1.0 - kept) * (1.0 - normal);
        row.iter()
            .skip(1)
            .find(|(_, end)| point < *end)
            .or(row.last())
            .map(|(region, _)| region)
    }
}

/// Returns the ranges of the regions for callers in `local`, which keeps the
/// fraction `kept` of their objects.
fn row(local: &RegionName, kept: f64, excess: &[(RegionName, f64)]) -> Vec<(RegionName, f64)> {
    let others: f64 = excess
        .iter()
        .filter(|(region, _)| region != local)
        .map(|(_, n)| n)
        .sum();
    if others <= 0.0 {
        return vec![(local.clone(), 1.0)];
    }
    let mut end = kept;
    let mut row = vec![(local.clone(), end)];
    for (region, n) in excess {
        if region != local && *n > 0.0 {
            end += (1.0 - kept) * n / others;
            row.push((region.clone(), end));
        }
    }
    row
}
