//! `apply` puts a configuration in force as a whole; `diff` shows what it would
//! change.

use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;

use bytes::Bytes;
use filbertgrade_coord::names::TeamName;

use super::CommandError;
use super::confirm::{self, Scope};
use super::stored::{self, StoredRoot};
use super::write::{Written, write};
use crate::platform::{Changes, Condition, HttpPlatform, Object, Platform, Revision};
use crate::process::settings::CommandSettings;
use crate::version::{
    AppliedVersion, CONFIG_ROOT, Config, ConfigRoot, KeyRecord, KeyState, RECENT_APPLIES, VmRecord,
};

/// Writes the parts of the configuration, then makes them visible with one
/// conditional write of the root. With `wait`, returns once the version is in
/// force on every live VM.
///
/// # Errors
///
/// Fails without effect when a file is invalid, when the configuration would
/// remove something that is in use, or when another operator's version was
/// accepted first. The other errors are listed at [`CommandError`].
pub(super) async fn apply(
    files: &[PathBuf],
    settings: &CommandSettings,
    wait: bool,
) -> Result<(), CommandError> {
    let config = stored::read_files(files)?;
    let platform = HttpPlatform::new(settings.store, None);
    let outcome = apply_config(&platform, &config).await?;
    println!("{outcome}");
    let version = outcome.version();
    if wait {
        let vms = confirm::wait(&platform, settings, Scope::EveryVm, |reply| {
            let entry = reply.entry.as_ref();
            entry.is_some_and(|entry| entry.config_version >= version)
        })
        .await?;
        println!("version {version} is in force on {vms} VMs");
    }
    Ok(())
}

/// Prints the keys that the files would change, by key path.
///
/// # Errors
///
/// Fails when a file is invalid or the store does not respond.
pub(super) async fn diff(
    files: &[PathBuf],
    settings: &CommandSettings,
) -> Result<(), CommandError> {
    let config = stored::read_files(files)?;
    let platform = HttpPlatform::new(settings.store, None);
    let Some((root, in_force)) = stored::read_in_force(&platform).await? else {
        println!("no configuration is in force; every key is new");
        for line in config.lines() {
            println!("+ {line}");
        }
        return Ok(());
    };
    let changes = in_force.changes_to(&config);
    if changes.is_empty() {
        println!("no differences from version {}", root.version);
    }
    for change in changes {
        println!("{change}");
    }
    Ok(())
}

/// Applies the text of one configuration file and returns the version that has
/// this content.
pub(crate) async fn apply_text(platform: &dyn Platform, text: &str) -> Result<u64, CommandError> {
    let outcome = apply_config(platform, &Config::parse(text)?).await?;
    Ok(outcome.version())
}

/// Result of an apply that succeeded.
#[derive(Debug)]
enum Outcome {
    /// The version in force already had this content; nothing was written.
    Unchanged { version: u64 },
    /// The store confirmed the write of the root.
    Accepted { version: u64 },
    /// The response of the store was lost, but the root shows that the write
    /// took effect. The root is at version `now`, which is newer than `version`
    /// if another apply has followed.
    Found { version: u64, now: u64 },
}

impl Outcome {
    fn version(&self) -> u64 {
        match *self {
            Self::Unchanged { version }
            | Self::Accepted { version }
            | Self::Found { version, .. } => version,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::Unchanged { version } => {
                write!(f, "unchanged: version {version} has this content")
            }
            Self::Accepted { version } => write!(f, "accepted as version {version}"),
            Self::Found { version, now } => {
                write!(f, "accepted as version {version}; ")?;
                write!(
                    f,
                    "the store's answer was lost, and the root names this apply"
                )?;
                if now != version {
                    write!(f, "; version {now} has replaced it since")?;
                }
                Ok(())
            }
        }
    }
}

async fn apply_config(platform: &dyn Platform, config: &Config) -> Result<Outcome, CommandError> {
    let StoredRoot { root, condition } = stored::read_root(platform).await?;
    let parts = stored::parts(config);
    let digests: Vec<String> = parts.iter().map(|(digest, _)| digest.clone()).collect();
    if let Some(root) = &root {
        if root.parts == digests {
            let version = root.version;
            return Ok(Outcome::Unchanged { version });
        }
        check_in_use(platform, root, config).await?;
    }
    let obsolete = match &root {
        Some(_) => obsolete_parts(platform, &digests).await,
        None => Vec::new(),
    };
    write_parts(platform, root.as_ref(), condition, &parts).await?;
    let next = next_root(root.as_ref(), digests);
    let version = next.version;
    let value = encode(CONFIG_ROOT, &next)?;
    let is_own = |object: &Object| applied_version(object, &next.apply_id).is_some();
    let version_of = |object: Option<Object>| {
        let value = object.and_then(|object| object.value).unwrap_or_default();
        stored::decode_root(&value).map(|root| root.version)
    };
    let outcome = match write(platform, CONFIG_ROOT, value, condition, is_own).await? {
        Written::Confirmed(_) => Outcome::Accepted { version },
        Written::Found(object) => Outcome::Found {
            version,
            now: version_of(Some(object))?,
        },
        Written::Conflict(object) => {
            let winner = version_of(object)?;
            return Err(CommandError::Conflict { winner });
        }
    };
    remove_parts(platform, &obsolete).await;
    Ok(outcome)
}

/// Parts in the store that the next root does not name, with their revisions.
/// Empty when the store does not respond; the next apply then removes them.
async fn obsolete_parts(platform: &dyn Platform, next: &[String]) -> Vec<(String, Revision)> {
    let listed = platform.list(&[&stored::part_name("")]).await;
    let objects = listed.map(|listed| listed.objects).unwrap_or_default();
    let named: BTreeSet<String> = next.iter().map(|part| stored::part_name(part)).collect();
    let objects = objects.into_iter();
    objects
        .filter(|object| !named.contains(&object.name))
        .map(|object| (object.name, object.revision))
        .collect()
}

/// Removes parts that were listed before the new root was written. Every agent
/// keeps all parts in memory, so obsolete ones must not accumulate.
///
/// The removal is conditional on the listed revision, so it cannot delete a
/// part that a concurrent apply needs: an apply that builds on the new root
/// rewrites each part that this root does not name, which changes its revision.
/// An apply that builds on an older root fails with a conflict.
async fn remove_parts(platform: &dyn Platform, obsolete: &[(String, Revision)]) {
    for (name, revision) in obsolete {
        match platform.delete(name, *revision).await {
            Ok(_) => {}
            Err(error) if error.is_conflict() => {}
            Err(_) => return,
        }
    }
}

/// The root that follows `root`, with a new random apply id. It lists the most
/// recent applies, so that an apply whose response was lost finds its own.
fn next_root(root: Option<&ConfigRoot>, parts: Vec<String>) -> ConfigRoot {
    let version = root.map_or(0, |root| root.version) + 1;
    let apply_id = format!("{:032x}", rand::random::<u128>());
    let mut recent = root.map(|root| root.recent.clone()).unwrap_or_default();
    recent.push(AppliedVersion {
        version,
        apply_id: apply_id.clone(),
    });
    let surplus = recent.len().saturating_sub(RECENT_APPLIES);
    recent.drain(..surplus);
    ConfigRoot {
        version,
        apply_id,
        parts,
        recent,
    }
}

/// The version that the apply with this id wrote, if the root lists it among
/// its recent applies.
fn applied_version(object: &Object, apply_id: &str) -> Option<u64> {
    let root: ConfigRoot = serde_json::from_slice(object.value.as_deref()?).ok()?;
    let mut recent = root.recent.iter();
    let applied = recent.find(|applied| applied.apply_id == apply_id);
    applied.map(|applied| applied.version)
}

/// Writes the parts that `root` does not name. Those that exist already are
/// rewritten, because another apply may be about to remove them, see
/// [`remove_parts`].
async fn write_parts(
    platform: &dyn Platform,
    root: Option<&ConfigRoot>,
    condition: Condition,
    parts: &[(String, String)],
) -> Result<(), CommandError> {
    let base = match condition {
        Condition::At(revision) => revision,
        Condition::Absent | Condition::Always => 0,
    };
    for (digest, text) in parts {
        if root.is_some_and(|root| root.parts.contains(digest)) {
            continue;
        }
        let name = stored::part_name(digest);
        let value = Bytes::copy_from_slice(text.as_bytes());
        // The name contains the digest, so an object that any apply wrote after
        // the root has this content. Its new revision protects it from removal.
        let is_own = |object: &Object| object.revision > base;
        match write(platform, &name, value, Condition::Always, is_own).await {
            Ok(_) => {}
            // Nothing has taken effect, because parts are not visible before
            // the root names them.
            Err(CommandError::Unknown(error)) => return Err(CommandError::Store(error)),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Refuses a configuration that removes something that is in use.
async fn check_in_use(
    platform: &dyn Platform,
    root: &ConfigRoot,
    next: &Config,
) -> Result<(), CommandError> {
    let now = match stored::read_config(platform, root).await {
        Ok(config) => config,
        // An unreadable configuration in force must not prevent its repair.
        Err(CommandError::Malformed { name, cause }) => {
            eprintln!("not compared with the configuration in force: {name}: {cause}");
            return Ok(());
        }
        Err(error) => return Err(error),
    };
    let listed = platform.list(&["vms/", "keys/"]).await?;
    let refusals = refusals(&now, next, &listed);
    if refusals.is_empty() {
        Ok(())
    } else {
        Err(CommandError::Refused(refusals))
    }
}

/// Messages for everything in use that `next` would remove from `now`. `listed`
/// contains the objects of the VMs and the keys.
fn refusals(now: &Config, next: &Config, listed: &Changes) -> Vec<String> {
    let mut refusals = Vec::new();
    if now.deployment != next.deployment {
        refusals.push(format!(
            "deployment: the store belongs to {}, the file to {}",
            now.deployment, next.deployment
        ));
    }
    let mut keys: BTreeSet<TeamName> = BTreeSet::new();
    for object in &listed.objects {
        let value = object.value.as_deref().unwrap_or_default();
        if object.name.starts_with("vms/") {
            refusals.extend(VmRecord::decode(value).and_then(|vm| removed_domain(now, next, &vm)));
        } else if let Ok(key) = serde_json::from_slice::<KeyRecord>(value)
            && key.state == KeyState::Granted
            && let Ok(team) = TeamName::try_from(key.team.as_str())
        {
            keys.insert(team);
        }
    }
    for team in keys {
        if now.teams.contains_key(&team) && !next.teams.contains_key(&team) {
            refusals.push(format!("teams.{team}: removed while its keys are granted"));
        }
    }
    refusals
}

/// A message if the failure domain of a live VM is in `now`, but not in the
/// same region of `next`.
fn removed_domain(now: &Config, next: &Config, vm: &VmRecord) -> Option<String> {
    let (region, domain) = (&vm.region, &vm.failure_domain);
    let has_domain = |cfg: &Config| cfg.region_of(domain) == Some(region);
    (vm.is_live() && has_domain(now) && !has_domain(next)).then(|| {
        format!(
            "regions.{region}.failure_domains: {domain} removed while VM {} is live",
            vm.name
        )
    })
}

fn encode(name: &str, value: &impl serde::Serialize) -> Result<Bytes, CommandError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|e| CommandError::malformed(name, &e))
}
