//! The region of an object, and the order of the endpoints for it.
//!
//! Answers the steady load. An endpoint that handled an object recently is
//! several times as fast, so all VMs must rank in the same order. A region is
//! picked by hash and not by load, because requests that change their region
//! together meet cold caches.

use std::collections::HashMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::names::RegionName;

/// A number in `0..1` that is spread evenly if the bits of `hash` are.
pub fn unit_interval(hash: u64) -> f64 {
    // The upper 53 bits are what an f64 represents exactly.
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Hash of an object that requests of a service concern.
pub fn object_hash(service: &str, object: &[u8]) -> u64 {
    xxh3_64_with_seed(object, xxh3_64(service.as_bytes()))
}

/// Hash of an endpoint, which [`score`] takes.
pub fn endpoint_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Rendezvous score of an endpoint for an object; the highest comes first.
pub fn score(object: u64, endpoint: u64) -> u64 {
    xxh3_64_with_seed(&endpoint.to_le_bytes(), object)
}

/// Which region the objects of a service are placed in, for each region that
/// callers come from.
///
/// A region keeps what its part of the capacity covers. The rest goes to
/// regions with more capacity than callers, in proportion to the excess, so
/// that all endpoints carry the same load.
#[derive(Clone, Debug, Default)]
pub struct RegionSplit {
    /// By region of the caller: regions with the upper end of their range in
    /// `0..1`.
    rows: HashMap<RegionName, Vec<(RegionName, f64)>>,
}

impl RegionSplit {
    /// Divides by `capacity` and `demand`, both in any unit.
    pub fn new(capacity: &[(RegionName, f64)], demand: &[(RegionName, f64)]) -> Self {
        let total_capacity: f64 = capacity.iter().map(|(_, n)| n).sum();
        let total_demand: f64 = demand.iter().map(|(_, n)| n).sum();
        if total_capacity <= 0.0 || total_demand <= 0.0 {
            return Self::default();
        }
        let part = |list: &[(RegionName, f64)], region: &RegionName, total: f64| {
            let found = list.iter().find(|(name, _)| name == region);
            found.map_or(0.0, |(_, n)| n / total)
        };
        let excess: Vec<(RegionName, f64)> = capacity
            .iter()
            .map(|(region, n)| {
                let asked = part(demand, region, total_demand);
                (region.clone(), (n / total_capacity - asked).max(0.0))
            })
            .collect();
        let rows = demand
            .iter()
            .map(|(region, n)| {
                let has = part(capacity, region, total_capacity);
                let stay = (has * total_demand / n.max(f64::MIN_POSITIVE)).min(1.0);
                (region.clone(), row(region, stay, &excess))
            })
            .collect();
        Self { rows }
    }

    /// The region for an object that callers of `from` ask for. More objects
    /// than the region's even part stay there when `kept` is above one, which
    /// counts in multiples of that part.
    pub fn region(&self, from: &RegionName, object: u64, kept: f64) -> Option<&RegionName> {
        let row = self.rows.get(from)?;
        let (home, even) = row.first()?;
        // Another hash than the one that ranks endpoints.
        let point = unit_interval(xxh3_64(&object.to_le_bytes()));
        let stay = (even * kept).min(1.0);
        if point < stay {
            return Some(home);
        }
        let point = even + (point - stay) / (1.0 - stay) * (1.0 - even);
        row.iter()
            .skip(1)
            .find(|(_, end)| point < *end)
            .or(row.last())
            .map(|(region, _)| region)
    }
}

fn row(home: &RegionName, stay: f64, excess: &[(RegionName, f64)]) -> Vec<(RegionName, f64)> {
    let others: f64 = excess
        .iter()
        .filter(|(region, _)| region != home)
        .map(|(_, n)| n)
        .sum();
    if others <= 0.0 {
        return vec![(home.clone(), 1.0)];
    }
    let mut end = stay;
    let mut row = vec![(home.clone(), end)];
    for (region, n) in excess {
        if region != home && *n > 0.0 {
            end += (1.0 - stay) * n / others;
            row.push((region.clone(), end));
        }
    }
    row
}
