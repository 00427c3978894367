//! Look-ups: which VMs a caller should use.

use std::net::IpAddr;

use filbertgrade_coord::names::VmName;
use serde::Serialize;

use crate::version::{InForce, VmRecord, client_hash, client_position};

/// Most VMs named in one answer; callers try them in order.
const MOST_VMS: usize = 4;

/// Answer to a look-up.
#[derive(Debug, Serialize)]
pub struct LookupAnswer {
    ttl_ms: u64,
    vms: Vec<LookupVm>,
}

#[derive(Debug, Serialize)]
struct LookupVm {
    vm: String,
    address: String,
    region: String,
}

/// Orders the VMs for a client.
///
/// The region comes from the client blocks, or else by the weights, and VMs of
/// a region are spread by the client's address. The other regions follow. The
/// own VM is left out while it is `leaving`.
#[must_use]
pub fn answer(view: &InForce, client: IpAddr, port: u16, leaving: Option<&VmName>) -> LookupAnswer {
    let clients = view.client_regions.as_deref();
    let region = clients.and_then(|clients| clients.region_of(client));
    let hash = client_hash(client) as usize;
    let mut vms: Vec<&VmRecord> = Vec::with_capacity(MOST_VMS);
    let mut regions = view
        .region_splits
        .vms_for(region, client_position(client))
        .enumerate()
        .peekable();
    while let Some((n, (_, of_region))) = regions.next() {
        let (before, after) = of_region.split_at(hash % of_region.len());
        let in_order = after.iter().chain(before).map(AsRef::as_ref);
        // The first region leaves one place for another, in case it is away.
        let room = MOST_VMS - vms.len() - usize::from(n == 0 && regions.peek().is_some());
        vms.extend(in_order.filter(|vm| Some(&vm.name) != leaving).take(room));
    }
    LookupAnswer {
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
