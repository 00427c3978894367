//! How many requests an endpoint gets that has just started.
//!
//! Answers the load after a region's endpoints come back together: all VMs
//! would send them their full share, which ends endpoints with cold caches.

use std::time::Instant;

use crate::bucket::{Part, TokenBucket};
use crate::names::VmName;
use crate::rendezvous;

/// VMs that may send to one cold endpoint. Two keep it in use when one of them
/// fails; more would have to share a rate of a few requests a second.
const COLD_SENDERS: usize = 2;

/// Divides the rate of a cold endpoint over the VMs that may send to it.
///
/// The VMs are picked by rendezvous hashing, so that VMs with the same list
/// agree. Each of them spaces its requests evenly, so that a burst of all of
/// them together is one request each.
#[derive(Clone, Debug)]
pub struct ColdStartLimit {
    bucket: TokenBucket,
}

impl ColdStartLimit {
    /// Starts with one token at an endpoint that takes `rate` requests a
    /// second from all VMs together.
    pub fn new(rate: f64, senders: usize, now: Instant) -> Self {
        let rate = if rate.is_finite() { rate.max(0.0) } else { 0.0 };
        let part = Part::new(rate / senders.max(1) as f64, 1.0).unwrap_or(Part::ZERO);
        let mut bucket = TokenBucket::new(part, now);
        bucket.add_part(Part::ZERO, 1.0, now);
        Self { bucket }
    }

    /// Takes the next request, if the rate allows one now.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.bucket.try_take(now)
    }

    /// The rate allows a request now.
    pub fn has_token(&mut self, now: Instant) -> bool {
        self.bucket.refill(now);
        self.bucket.tokens() >= 1.0
    }
}

/// The number of VMs that may send to the cold endpoint `id`, if `vm` is one
/// of them.
pub fn cold_start_senders(id: &str, vm: &VmName, vms: &[VmName]) -> Option<usize> {
    let senders = rendezvous::top(id, vms.iter(), COLD_SENDERS);
    senders.contains(&vm).then_some(senders.len())
}
