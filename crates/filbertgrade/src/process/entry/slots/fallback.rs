//! Local fallback: chooses an endpoint using only what this VM knows.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Mutex;

use filbertgrade_coord::steering::endpoint_limit::EndpointRate;

use crate::sync::lock;
use rand::seq::IndexedRandom;

/// Number of requests that this VM is running on each endpoint.
#[derive(Debug, Default)]
pub(super) struct Fallback {
    running: Mutex<HashMap<SocketAddr, u32>>,
    /// Endpoints that named a limit of their rate when they last responded. Only the
    /// owner of their slot pool can keep all entries within it.
    limited: Mutex<HashSet<SocketAddr>>,
}

impl Fallback {
    /// Returns the less loaded of two randomly chosen endpoints. `usable` lists
    /// endpoints with their number of slots.
    pub(super) fn choose(&self, usable: &[(SocketAddr, u32)]) -> Option<SocketAddr> {
        let running = lock(&self.running);
        let limited = lock(&self.limited);
        let usable: Vec<_> = usable
            .iter()
            .filter(|(address, _)| !limited.contains(address))
            .collect();
        usable
            .choose_multiple(&mut rand::rng(), 2)
            .min_by(|a, b| load(&running, a).total_cmp(&load(&running, b)))
            .map(|(address, _)| *address)
    }

    /// Records the rate that an endpoint named in its response.
    pub(super) fn record_rate(&self, endpoint: SocketAddr, rate: EndpointRate) {
        let mut limited = lock(&self.limited);
        if rate == EndpointRate::Unlimited {
            limited.remove(&endpoint);
        } else {
            limited.insert(endpoint);
        }
    }

    /// Counts a request that starts on `endpoint`.
    pub(super) fn record_start(&self, endpoint: SocketAddr) {
        let mut running = lock(&self.running);
        *running.entry(endpoint).or_default() += 1;
    }

    /// Removes a request that ended on `endpoint` from its count.
    pub(super) fn record_end(&self, endpoint: SocketAddr) {
        let mut running = lock(&self.running);
        if let Some(count) = running.get_mut(&endpoint) {
            *count -= 1;
            if *count == 0 {
                running.remove(&endpoint);
            }
        }
    }
}

/// Returns the fraction of an endpoint's slots that this VM uses.
fn load(running: &HashMap<SocketAddr, u32>, (address, slots): &(SocketAddr, u32)) -> f64 {
    let running = running.get(address).copied().unwrap_or(0);
    f64::from(running) / f64::from((*slots).max(1))
}
