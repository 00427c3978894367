//! Queries the agents for their status, and waits until the VMs confirm that a
//! change is in force.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filbertgrade_coord::names::{RegionName, VmName};
use futures::StreamExt;
use tokio::time::Instant;

use super::CommandError;
use crate::connection::{LinkError, PeerLink};
use crate::platform::{Platform, PlatformError, Revision};
use crate::process::settings::CommandSettings;
use crate::version::VmRecord;
use crate::wire::{Body, StatusReply, StatusRequest};

/// Timeout of the status request to one agent.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of concurrent status requests, so that a large fleet does not
/// use up the file descriptors of the operator's machine.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// Pause between two rounds of status requests.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which the VM list is read again; each read is a call to the
/// store.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of names in an error message or a progress line.
const MAX_NAMES_SHOWN: usize = 20;

/// Which VMs must confirm a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// Every VM that is listed as live.
    EveryVm,
    /// At least one VM in every region that has live VMs.
    EveryRegion,
}

/// Reads the VM list and the revision at which it was read. Malformed records
/// are left out.
pub(super) async fn listed_vms(
    platform: &dyn Platform,
) -> Result<(Revision, Vec<VmRecord>), PlatformError> {
    let listed = platform.list(&["vms/"]).await?;
    let vms = listed.objects.iter();
    let vms = vms.filter_map(|object| VmRecord::decode(object.value.as_deref()?));
    Ok((listed.revision, vms.collect()))
}

/// Requests the status of the agents of `vms`, and returns the replies in the
/// order of `vms`.
pub(super) async fn request_statuses(
    vms: Vec<VmRecord>,
    port: u16,
) -> Vec<(VmRecord, Result<StatusReply, LinkError>)> {
    futures::stream::iter(vms)
        .map(|vm| async move {
            let reply = request_status(SocketAddr::new(vm.address, port)).await;
            (vm, reply)
        })
        .buffered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await
}

async fn request_status(address: SocketAddr) -> Result<StatusReply, LinkError> {
    let link = PeerLink::new(address, None);
    match link
        .call(Body::StatusRequest(StatusRequest {}), STATUS_TIMEOUT)
        .await?
    {
        Body::StatusReply(reply) => Ok(reply),
        _ => Err(LinkError::Closed { address }),
    }
}

/// Waits until `is_confirmed` is true for the replies of all VMs that `scope`
/// requires. Returns the number of VMs that confirmed.
///
/// # Errors
///
/// Fails with the names of the VMs or regions that did not confirm within the
/// wait limit of the settings.
pub(super) async fn wait(
    platform: &dyn Platform,
    settings: &CommandSettings,
    scope: Scope,
    is_confirmed: impl Fn(&StatusReply) -> bool,
) -> Result<usize, CommandError> {
    let deadline = Instant::now() + settings.wait_limit;
    let mut confirmed: BTreeSet<VmName> = BTreeSet::new();
    let mut live: Option<Vec<VmRecord>> = None;
    let mut listed_at = None;
    let mut last_progress = String::new();
    loop {
        let list_is_due = listed_at.is_none_or(|at: Instant| at.elapsed() >= LIST_INTERVAL);
        if list_is_due && let Ok((_, vms)) = listed_vms(platform).await {
            live = Some(vms.into_iter().filter(VmRecord::is_live).collect());
            listed_at = Some(Instant::now());
        }
        // Without the VM list it is unknown which VMs must confirm.
        let waiting = match &live {
            None => vec!["the VM list of the store".to_owned()],
            Some(live) => {
                let pending = unconfirmed(live, &confirmed, scope);
                for (vm, reply) in request_statuses(pending, settings.agent_peer_port).await {
                    if reply.is_ok_and(|reply| reply.vm == vm.name.as_str() && is_confirmed(&reply))
                    {
                        confirmed.insert(vm.name);
                    }
                }
                names_shown(&unconfirmed(live, &confirmed, scope), scope)
            }
        };
        if waiting.is_empty() {
            return Ok(confirmed.len());
        }
        if Instant::now() >= deadline {
            return Err(CommandError::NotConfirmed { waiting });
        }
        let line = waiting.join(", ");
        if line != last_progress {
            eprintln!("{} confirmed, waiting for {line}", confirmed.len());
            last_progress = line;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

/// The VMs whose confirmation is required and missing.
fn unconfirmed(live: &[VmRecord], confirmed: &BTreeSet<VmName>, scope: Scope) -> Vec<VmRecord> {
    let region_confirmed = |region: &RegionName| {
        let mut vms = live.iter().filter(|vm| vm.region == *region);
        vms.any(|vm| confirmed.contains(&vm.name))
    };
    live.iter()
        .filter(|vm| match scope {
            Scope::EveryVm => !confirmed.contains(&vm.name),
            Scope::EveryRegion => !region_confirmed(&vm.region),
        })
        .cloned()
        .collect()
}

/// Names for messages: of the VMs, or of their regions, as `scope` requires.
fn names_shown(waiting: &[VmRecord], scope: Scope) -> Vec<String> {
    let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
    for vm in waiting {
        *regions.entry(vm.region.as_str()).or_default() += 1;
    }
    let mut names: Vec<String> = match scope {
        Scope::EveryVm => waiting.iter().map(|vm| vm.name.to_string()).collect(),
        Scope::EveryRegion => regions.keys().map(|r| format!("region {r}")).collect(),
    };
    if names.len() > MAX_NAMES_SHOWN {
        let more = names.len() - MAX_NAMES_SHOWN;
        names.truncate(MAX_NAMES_SHOWN);
        names.push(format!("{more} more"));
    }
    names
}
