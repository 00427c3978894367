//! The order in which the endpoints of a service are ranked for an object.
//!
//! Answers the steady load. An endpoint that handled an object recently is
//! several times as fast, so all VMs must rank in the same order.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A number in `0..1` that is spread evenly if the bits of `hash` are.
pub fn unit(hash: u64) -> f64 {
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
