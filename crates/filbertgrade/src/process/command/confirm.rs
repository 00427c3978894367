//! Asks the agents of the fleet what is in force, and waits for them.

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

/// Time for one agent's answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Agents asked at the same time, so that a large fleet does not take all
/// file descriptors of the operator's machine.
const ASKED_AT_ONCE: usize = 64;

/// Pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// How often the VM list is read again; each read is a call to the store.
const LIST_EVERY: Duration = Duration::from_secs(2);

/// Most names in an error message or a progress line.
const NAMES_SHOWN: usize = 20;

/// Who must confirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// Every live VM.
    EveryVm,
    /// At least one agent in every region that has live VMs.
    EveryRegion,
}

/// The VM list as of one revision.
pub(super) async fn listed_vms(
    platform: &dyn Platform,
) -> Result<(Revision, Vec<VmRecord>), PlatformError> {
    let listed = platform.list(&["vms/"]).await?;
    let vms = listed.objects.iter();
    let vms = vms.filter_map(|object| VmRecord::decode(object.value.as_deref()?));
    Ok((listed.revision, vms.collect()))
}

/// Asks the agents of `vms` for their status, in the order of `vms`.
pub(super) async fn ask(
    vms: Vec<VmRecord>,
    port: u16,
) -> Vec<(VmRecord, Result<StatusReply, LinkError>)> {
    futures::stream::iter(vms)
        .map(|vm| async move {
            let reply = ask_one(SocketAddr::new(vm.address, port)).await;
            (vm, reply)
        })
        .buffered(ASKED_AT_ONCE)
        .collect()
        .await
}

async fn ask_one(address: SocketAddr) -> Result<StatusReply, LinkError> {
    let link = PeerLink::new(address, None);
    match link
        .call(Body::StatusRequest(StatusRequest {}), ASK_TIMEOUT)
        .await?
    {
        Body::StatusReply(reply) => Ok(reply),
        _ => Err(LinkError::Closed { address }),
    }
}

/// Waits until `holds` for all that `scope` names; the number of VMs that
/// confirmed.
///
/// # Errors
///
/// Names those that did not confirm within the limit of the settings.
pub(super) async fn wait(
    platform: &dyn Platform,
    settings: &CommandSettings,
    scope: Scope,
    holds: impl Fn(&StatusReply) -> bool,
) -> Result<usize, CommandError> {
    let deadline = Instant::now() + settings.wait_limit;
    let mut confirmed: BTreeSet<VmName> = BTreeSet::new();
    let mut live: Option<Vec<VmRecord>> = None;
    let mut listed_at = None;
    let mut shown = String::new();
    loop {
        let due = listed_at.is_none_or(|at: Instant| at.elapsed() >= LIST_EVERY);
        if due && let Ok((_, vms)) = listed_vms(platform).await {
            live = Some(vms.into_iter().filter(VmRecord::is_live).collect());
            listed_at = Some(Instant::now());
        }
        // Without a VM list nobody knows who must confirm.
        let waiting = match &live {
            None => vec!["the VM list of the store".to_owned()],
            Some(live) => {
                let open = unconfirmed(live, &confirmed, scope);
                for (vm, reply) in ask(open, settings.agent_peer_port).await {
                    if reply.is_ok_and(|reply| reply.vm == vm.name.as_str() && holds(&reply)) {
                        confirmed.insert(vm.name);
                    }
                }
                names(&unconfirmed(live, &confirmed, scope), scope)
            }
        };
        if waiting.is_empty() {
            return Ok(confirmed.len());
        }
        if Instant::now() >= deadline {
            return Err(CommandError::NotConfirmed { waiting });
        }
        let line = waiting.join(", ");
        if line != shown {
            eprintln!("{} confirmed, waiting for {line}", confirmed.len());
            shown = line;
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

fn unconfirmed(live: &[VmRecord], confirmed: &BTreeSet<VmName>, scope: Scope) -> Vec<VmRecord> {
    let of_region = |region: &RegionName| {
        let mut vms = live.iter().filter(|vm| vm.region == *region);
        vms.any(|vm| confirmed.contains(&vm.name))
    };
    live.iter()
        .filter(|vm| match scope {
            Scope::EveryVm => !confirmed.contains(&vm.name),
            Scope::EveryRegion => !of_region(&vm.region),
        })
        .cloned()
        .collect()
}

fn names(waiting: &[VmRecord], scope: Scope) -> Vec<String> {
    let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
    for vm in waiting {
        *regions.entry(vm.region.as_str()).or_default() += 1;
    }
    let mut names: Vec<String> = match scope {
        Scope::EveryVm => waiting.iter().map(|vm| vm.name.to_string()).collect(),
        Scope::EveryRegion => regions.keys().map(|r| format!("region {r}")).collect(),
    };
    if names.len() > NAMES_SHOWN {
        let more = names.len() - NAMES_SHOWN;
        names.truncate(NAMES_SHOWN);
        names.push(format!("{more} more"));
    }
    names
}
