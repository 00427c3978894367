//! Local fallback: chooses an endpoint using only what this VM knows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::sync::lock;
use rand::seq::IndexedRandom;

/// Number of requests that this VM is running on each endpoint.
#[derive(Debug, Default)]
pub(super) struct Fallback {
    running: Mutex<HashMap<SocketAddr, u32>>,
}

impl Fallback {
    /// Returns the less loaded of two randomly chosen endpoints. `usable` lists
    /// endpoints with their number of slots.
    pub(super) fn choose(&self, usable: &[(SocketAddr, u32)]) -> Option<SocketAddr> {
        let running = lock(&self.running);
        usable
            .choose_multiple(&mut rand::rng(), 2)
            .min_by(|a, b| load(&running, a).total_cmp(&load(&running, b)))
            .map(|(address, _)| *address)
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
