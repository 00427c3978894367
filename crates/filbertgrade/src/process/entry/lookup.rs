//! Look-ups: which VMs a caller should use.

use std::net::IpAddr;

use filbertgrade_coord::names::{RegionName, VmName};
use serde::Serialize;

use crate::version::{InForce, VmRecord};

/// Most VMs named in one answer; callers try them in order.
const MOST_VMS: usize = 4;

/// Answer to a look-up.
#[derive(Debug, Serialize)]
pub(crate) struct LookupAnswer {
    ttl_ms: u64,
    vms: Vec<LookupVm>,
}

#[derive(Debug, Serialize)]
struct LookupVm {
    vm: String,
    address: String,
    region: String,
}

/// Orders the VMs for a client: its own region first, spread over the VMs of
/// a region by the client's address. The own VM is left out while it is
/// `leaving`.
pub(crate) fn answer(
    view: &InForce,
    client: Option<IpAddr>,
    port: u16,
    leaving: Option<&VmName>,
) -> LookupAnswer {
    let region = client.and_then(|client| region_of(view, client));
    let mut vms = Vec::new();
    for region in view.region_order(region.as_ref()) {
        // Each region costs a walk over the whole VM list.
        if vms.len() >= MOST_VMS {
            break;
        }
        let mut of_region: Vec<&VmRecord> = view
            .vms
            .values()
            .filter(|vm| vm.region == region && view.takes_work(vm))
            .filter(|vm| Some(&vm.name) != leaving)
            .collect();
        if !of_region.is_empty() {
            let start = client_hash(client) % of_region.len();
            of_region.rotate_left(start);
        }
        vms.extend(of_region);
    }
    vms.truncate(MOST_VMS);
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

fn region_of(view: &InForce, client: IpAddr) -> Option<RegionName> {
    let config = view.config.as_ref()?;
    config
        .client_blocks
        .iter()
        .filter(|(block, _)| block.contains(&client))
        .max_by_key(|(block, _)| block.prefix_len())
        .map(|(_, region)| region.clone())
}

fn client_hash(client: Option<IpAddr>) -> usize {
    let text = client.map(|ip| ip.to_string()).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(text.as_bytes()) as usize
}
