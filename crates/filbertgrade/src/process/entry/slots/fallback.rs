//! Choice of an endpoint by the own view alone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::sync::lock;
use rand::seq::IndexedRandom;

/// Requests that this VM runs on each endpoint.
#[derive(Debug, Default)]
pub(super) struct Fallback {
    running: Mutex<HashMap<SocketAddr, u32>>,
}

impl Fallback {
    /// The less loaded of two random endpoints; each comes with its slots.
    pub(super) fn choose(&self, usable: &[(SocketAddr, u32)]) -> Option<SocketAddr> {
        let running = lock(&self.running);
        usable
            .choose_multiple(&mut rand::rng(), 2)
            .min_by(|a, b| load(&running, a).total_cmp(&load(&running, b)))
            .map(|(address, _)| *address)
    }

    /// Counts a request that starts on `endpoint`.
    pub(super) fn start(&self, endpoint: SocketAddr) {
        let mut running = lock(&self.running);
        *running.entry(endpoint).or_default() += 1;
    }

    /// Counts a request that ended on `endpoint`.
    pub(super) fn end(&self, endpoint: SocketAddr) {
        let mut running = lock(&self.running);
        if let Some(count) = running.get_mut(&endpoint) {
            *count -= 1;
            if *count == 0 {
                running.remove(&endpoint);
            }
        }
    }
}

/// Fraction of an endpoint's slots that this VM uses.
fn load(running: &HashMap<SocketAddr, u32>, (address, slots): &(SocketAddr, u32)) -> f64 {
    let running = running.get(address).copied().unwrap_or(0);
    f64::from(running) / f64::from((*slots).max(1))
}
