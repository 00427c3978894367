//! Stand-ins for what surrounds a node: the platform's store and its endpoints.

pub mod endpoint;
pub mod store;

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};

/// An address of the loopback network that no other call of this process
/// returned lately, and hardly one of another process.
///
/// A program that listens there can use any port, and finds it free when it is
/// started anew, while a port that was free on the common address may be taken
/// by then.
pub fn unique_loopback_address() -> Ipv4Addr {
    /// Addresses of one process before they are used again.
    const ADDRESSES: u32 = 250;
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed) % ADDRESSES;
    let process = std::process::id();
    let [_, _, _, first] = (64 + process % 128).to_be_bytes();
    let [_, _, _, second] = (process / 128 % 256).to_be_bytes();
    let [_, _, _, last] = (1 + call).to_be_bytes();
    Ipv4Addr::new(127, first, second, last)
}
