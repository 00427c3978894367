//! The entry of this VM in the store's list of VMs, and the removal of entries of
//! VMs that no longer run.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::VmName;
use filbertgrade_coord::rendezvous;
use filbertgrade_platform::objects::{self, Kind};
use filbertgrade_platform::store::{StoreClient, StoreError};

use super::source::{CALL_TIMEOUT, client, record_failure, record_success};
use super::{Node, own_member};
use crate::logfmt;
use crate::sync::lock;

/// Time without a heartbeat after which the entry of a VM is removed from the
/// store.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of this VM's entry and of those of other VMs.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Keeps this VM on the store's list until it leaves, and removes the entries
/// of VMs that no longer send heartbeats.
pub(super) async fn keep_listed(node: Arc<Node>) {
    let mut client = client(&node);
    if !node.is_leaving() {
        write_entry(&node, &mut client).await;
    }
    loop {
        tokio::time::sleep(ENTRY_CHECK_INTERVAL).await;
        if node.is_leaving() {
            return;
        }
        if !node.is_listed.load(Ordering::Acquire) {
            write_entry(&node, &mut client).await;
        }
        remove_timed_out_entries(&node, &mut client).await;
    }
}

/// Writes the entry of this VM, replacing one that an earlier process left.
async fn write_entry(node: &Node, client: &mut StoreClient) {
    let started_at = Instant::now();
    let me = own_member(&node.settings.load(), node.incarnation);
    let spec = objects::member_spec(&me);
    let name = me.vm.as_str();
    let mut written = client.create(Kind::Vms, name, &spec, CALL_TIMEOUT).await;
    if written.as_ref().is_err_and(StoreError::is_conflict) {
        written = client.replace(Kind::Vms, name, &spec, CALL_TIMEOUT).await;
    }
    match written {
        Ok(()) => record_success(node, Kind::Vms),
        Err(error) => record_failure(node, Kind::Vms, started_at, &error),
    }
}

/// Removes the entry of this VM before it stops, provided that this process
/// wrote the entry.
pub(super) async fn delist(node: Arc<Node>) {
    let vm = node.settings.load().vm.clone();
    let revision = lock(&node.vm_entries)
        .get(&vm)
        .filter(|(member, _)| member.incarnation == node.incarnation)
        .map(|(_, revision)| *revision);
    let Some(revision) = revision else {
        return;
    };
    let removed = client(&node)
        .delete(Kind::Vms, vm.as_str(), Some(revision), CALL_TIMEOUT)
        .await;
    if let Err(error) = removed {
        // Other VMs remove the entry after `ENTRY_TIMEOUT`.
        log::warn!("event=not_delisted error={}", logfmt::value(&error));
    }
}

/// Removes the entries of VMs whose heartbeats have timed out. Rendezvous
/// hashing assigns each entry to one running VM, so that the number of calls
/// does not grow with the fleet.
async fn remove_timed_out_entries(node: &Node, client: &mut StoreClient) {
    let now = Instant::now();
    let timed_out: Vec<VmName> = {
        let members = lock(&node.members);
        let running = members.running(now);
        let me = &node.settings.load().vm;
        members
            .timed_out(ENTRY_TIMEOUT, now)
            .map(|member| member.vm.clone())
            .filter(|vm| rendezvous::owner(vm.as_str(), running.iter()) == Some(me))
            .collect()
    };
    for vm in timed_out {
        let name = logfmt::value(&vm);
        let revision = lock(&node.vm_entries)
            .get(&vm)
            .map(|(_, revision)| *revision);
        let removed = client
            .delete(Kind::Vms, vm.as_str(), revision, CALL_TIMEOUT)
            .await;
        match removed {
            Ok(()) => log::info!("event=silent_vm_delisted vm={name}"),
            Err(error) => {
                log::debug!(
                    "event=not_delisted vm={name} error={}",
                    logfmt::value(&error)
                );
            }
        }
    }
}
