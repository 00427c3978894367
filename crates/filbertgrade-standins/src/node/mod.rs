//! Stand-ins for the systems that a node connects to: the platform's store and the backend servers.

pub mod endpoint;
pub mod store;

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};

/// Returns a loopback address that differs from the last 249 addresses that this process received,
/// and very probably from those of other processes.
///
/// A program can listen on any port of the address and bind it again when it is restarted. A port
/// of 127.0.0.1 that was free at the first start could be taken by another process by then.
pub fn unique_loopback_address() -> Ipv4Addr {
    /// Number of addresses of one process before the first one is reused.
    const ADDRESSES_PER_PROCESS: u32 = 250;
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed) % ADDRESSES_PER_PROCESS;
    let process = std::process::id();
    let [_, _, _, second_octet] = (64 + process % 128).to_be_bytes();
    let [_, _, _, third_octet] = (process / 128 % 256).to_be_bytes();
    let [_, _, _, fourth_octet] = (1 + call).to_be_bytes();
    Ipv4Addr::new(127, second_octet, third_octet, fourth_octet)
}
