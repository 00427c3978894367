//! Lookups: which VMs a caller should send its requests to.

use std::net::IpAddr;

use filbertgrade_coord::names::VmName;
use serde::Serialize;

use crate::version::{InForce, VmRecord, client_hash, client_position};

/// Maximum number of VMs in one response. Callers try them in the order given.
const MAX_VMS: usize = 4;

/// Response to a lookup: VMs in the order in which the client should try them,
/// and how long the response may be cached.
#[derive(Debug, Serialize)]
pub struct LookupResponse {
    ttl_ms: u64,
    vms: Vec<LookupVm>,
}

#[derive(Debug, Serialize)]
struct LookupVm {
    vm: String,
    address: String,
    region: String,
}

/// Selects and orders the VMs for a client.
///
/// The first region is that of the client's address block or, when there is
/// none, one chosen according to the region weights. Within a region, clients
/// are spread across VMs by their address. The VMs of other regions follow.
/// This VM is omitted while it is `leaving`.
#[must_use]
pub fn respond(
    view: &InForce,
    client: IpAddr,
    port: u16,
    leaving: Option<&VmName>,
) -> LookupResponse {
    let clients = view.client_regions.as_deref();
    let region = clients.and_then(|clients| clients.region_of(client));
    let hash = client_hash(client) as usize;
    let mut vms: Vec<&VmRecord> = Vec::with_capacity(MAX_VMS);
    let mut regions = view
        .region_splits
        .vms_for(region, client_position(client))
        .enumerate()
        .peekable();
    while let Some((n, (_, region_vms))) = regions.next() {
        let (before, after) = region_vms.split_at(hash % region_vms.len());
        let in_order = after.iter().chain(before).map(AsRef::as_ref);
        // The first region leaves one position for another region, in case the
        // whole first region is unreachable.
        let limit = MAX_VMS - vms.len() - usize::from(n == 0 && regions.peek().is_some());
        vms.extend(in_order.filter(|vm| Some(&vm.name) != leaving).take(limit));
    }
    LookupResponse {
        ttl_ms: view
            .config
            .as_ref()
            .map_or(0, |cfg| cfg.lookup_ttl.as_millis() as u64),
        vms: vms.into_iter().map(|vm| lookup_vm(vm, port)).collect(),
    }
}

fn lookup_vm(vm: &VmRecord, port: u16) -> LookupVm {
    LookupVm {
        vm: vm.name.to_string(),
        address: std::net::SocketAddr::new(vm.address, port).to_string(),
        region: vm.region.to_string(),
    }
}
