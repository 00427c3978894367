//! Rate limit for requests to an endpoint that has just started.
//!
//! Designed for the load after all endpoints of a region restart together: if
//! every VM sent them a full share of the requests, endpoints with cold caches
//! would be overloaded and fail again.

use std::time::Instant;

use crate::bucket::{RateShare, TokenBucket};
use crate::names::VmName;
use crate::rendezvous;

/// Number of VMs that may send to the same cold endpoint. Two keep it in use
/// when one of them fails; more would have to share a rate of a few requests a
/// second.
const SENDERS_PER_ENDPOINT: usize = 2;

/// One VM's share of the request rate of a cold endpoint.
///
/// The VMs that may send are selected by rendezvous hashing, so that VMs with
/// the same member list agree on them. Each of them spaces its requests evenly:
/// the largest burst of all of them together is one request each. A VM that is
/// selected later, because another one has stopped, starts without a token.
#[derive(Clone, Debug)]
pub struct ColdStartLimit {
    bucket: TokenBucket,
    may_send: bool,
}

impl ColdStartLimit {
    /// Creates the limit of one of `senders` VMs for an endpoint that accepts
    /// `rate` requests a second from all VMs together. It starts with one token.
    /// `senders` is `None` for a VM that must not send.
    pub fn new(rate: f64, senders: Option<usize>, now: Instant) -> Self {
        let mut bucket = TokenBucket::new(sender_share(rate, senders), now);
        if senders.is_some() {
            bucket.add_share(RateShare::ZERO, 1.0, now);
        }
        Self {
            bucket,
            may_send: senders.is_some(),
        }
    }

    /// Changes the rate and the number of VMs that may send. The tokens remain,
    /// so that a change of the running VMs permits no further request.
    pub fn set_senders(&mut self, rate: f64, senders: Option<usize>, now: Instant) {
        self.bucket.set_share(sender_share(rate, senders), now);
        self.may_send = senders.is_some();
    }

    /// Takes a token for one request, and returns false if there is none.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.may_send && self.bucket.try_take(now)
    }

    /// Reports whether a request is allowed now, without taking a token.
    pub fn has_token(&mut self, now: Instant) -> bool {
        self.bucket.refill(now);
        self.may_send && self.bucket.tokens() >= 1.0
    }
}

/// The share of each of `senders` VMs in `rate` requests a second; no rate for a
/// VM that must not send.
fn sender_share(rate: f64, senders: Option<usize>) -> RateShare {
    let rate = if rate.is_finite() { rate.max(0.0) } else { 0.0 };
    let rate = senders.map_or(0.0, |senders| rate / senders.max(1) as f64);
    RateShare::new(rate, 1.0).unwrap_or(RateShare::ZERO)
}

/// Returns the number of VMs that may send to the cold endpoint `id`, or `None`
/// if `vm` is not one of them.
pub fn cold_start_senders(id: &str, vm: &VmName, vms: &[VmName]) -> Option<usize> {
    let senders = rendezvous::top(id, vms.iter(), SENDERS_PER_ENDPOINT);
    senders.contains(&vm).then_some(senders.len())
}
