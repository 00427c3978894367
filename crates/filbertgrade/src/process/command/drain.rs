//! `drain`: directs new requests away from a VM, backend server or region.

use std::net::SocketAddr;

use bytes::Bytes;

use super::CommandError;
use super::confirm::{self, Scope};
use super::stored;
use super::write::{Written, remove, write};
use crate::platform::{Condition, HttpPlatform, Object, Platform, Revision};
use crate::process::settings::CommandSettings;
use crate::version::Config;

/// What is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainKind {
    Vm,
    Server,
    Region,
}

impl DrainKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Vm => "vm",
            Self::Server => "server",
            Self::Region => "region",
        }
    }
}

/// Starts a drain, or ends it if `undo` is true, and waits until the change is
/// in force on all live VMs.
///
/// # Errors
///
/// Fails without effect when no VM, backend server or region has this name or
/// when the store fails. Fails with [`CommandError::NotConfirmed`] when the
/// drain was written but is not in force everywhere within the wait limit.
pub(super) async fn drain(
    kind: DrainKind,
    name: &str,
    undo: bool,
    settings: &CommandSettings,
) -> Result<(), CommandError> {
    let platform = HttpPlatform::new(settings.store, None);
    let object = format!("drains/{}/{name}", kind.as_str());
    let revision = if undo {
        end(&platform, &object).await?
    } else {
        check_target(&platform, kind, name).await?;
        Some(start(&platform, &object).await?)
    };
    let Some(revision) = revision else {
        println!("{} {name} was not drained", kind.as_str());
        return Ok(());
    };
    let vms = confirm::wait(&platform, settings, Scope::EveryVm, |reply| {
        let entry = reply.entry.as_ref();
        entry.is_some_and(|entry| entry.revision >= revision)
    })
    .await?;
    let what = if undo { "end of the drain" } else { "drain" };
    println!(
        "{what} of {} {name} is in force on {vms} VMs",
        kind.as_str()
    );
    Ok(())
}

/// Writes the drain object; returns the revision at which it exists.
async fn start(platform: &dyn Platform, object: &str) -> Result<Revision, CommandError> {
    let value = Bytes::from_static(b"{}");
    // All drain objects have the same content, so one that another operator
    // wrote starts the same drain.
    match write(platform, object, value, Condition::Absent, |_| true).await? {
        Written::Confirmed(revision) => Ok(revision),
        Written::Found(object) | Written::Conflict(Some(object)) => Ok(object.revision),
        Written::Conflict(None) => Err(changed(object)),
    }
}

/// Removes the drain object; returns the revision after the removal, or `None`
/// when there was no drain.
async fn end(platform: &dyn Platform, object: &str) -> Result<Option<Revision>, CommandError> {
    let Some(Object { revision, .. }) = platform.get(object).await? else {
        return Ok(None);
    };
    match remove(platform, object, revision).await? {
        Some(revision) => Ok(Some(revision)),
        None => Err(changed(object)),
    }
}

fn changed(name: &str) -> CommandError {
    CommandError::Changed {
        name: name.to_owned(),
    }
}

/// Refuses a target that the VM list or the configuration does not contain.
async fn check_target(
    platform: &dyn Platform,
    kind: DrainKind,
    name: &str,
) -> Result<(), CommandError> {
    let known = match kind {
        DrainKind::Vm => {
            let (_, vms) = confirm::listed_vms(platform).await?;
            vms.iter().any(|vm| vm.name.as_str() == name)
        }
        DrainKind::Server => {
            let address = name.parse::<SocketAddr>().ok();
            // Entries compare the address as text, in the form that Rust
            // prints.
            let address = address.filter(|address| address.to_string() == name);
            let config = in_force(platform).await?;
            let mut services = config.iter().flat_map(|cfg| cfg.services.values());
            services.any(|s| s.all_endpoints().any(|(_, a)| Some(a) == address))
        }
        DrainKind::Region => {
            let config = in_force(platform).await?;
            config.is_some_and(|cfg| cfg.regions.contains_key(name))
        }
    };
    if known {
        return Ok(());
    }
    Err(CommandError::Refused(vec![format!(
        "there is no {} {name}",
        kind.as_str()
    )]))
}

async fn in_force(platform: &dyn Platform) -> Result<Option<Config>, CommandError> {
    let read = stored::read_in_force(platform).await?;
    Ok(read.map(|(_, config)| config))
}
