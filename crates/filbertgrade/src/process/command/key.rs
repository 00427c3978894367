//! `key`: grants, withdraws and lists keys.

use bytes::Bytes;
use filbertgrade_coord::names::TeamName;

use super::CommandError;
use super::confirm::{self, Scope};
use super::stored;
use super::write::{Written, write};
use crate::platform::{Condition, HttpPlatform, Object, Platform, Revision};
use crate::process::settings::CommandSettings;
use crate::version::{KeyRecord, KeySecret, KeyState};

/// Grants a key to a team and prints its secret once.
///
/// # Errors
///
/// Fails when the team does not exist or the store fails. When it is unknown
/// whether the grant was written, the secret is not shown, so nobody can use
/// it.
pub(super) async fn create(team: &str, settings: &CommandSettings) -> Result<(), CommandError> {
    let platform = HttpPlatform::new(settings.store, None);
    check_team(&platform, team).await?;
    let secret = KeySecret::generate()?;
    let record = KeyRecord {
        team: team.to_owned(),
        digest: secret.digest().to_hex(),
        state: KeyState::Granted,
    };
    let name = object_name(secret.id());
    let value = encode(&name, &record)?;
    let is_own = |object: &Object| object.value.as_ref() == Some(&value);
    match write(&platform, &name, value.clone(), Condition::Absent, is_own).await? {
        Written::Confirmed(_) | Written::Found(_) => {
            println!("{}", secret.reveal());
            Ok(())
        }
        Written::Conflict(_) => Err(CommandError::Changed { name }),
    }
}

/// Withdraws a key, and waits until every region refuses it.
///
/// # Errors
///
/// Fails with [`CommandError::NotConfirmed`] when a region does not confirm.
/// The VMs of this region may then accept the key for longer than 5 s, as the
/// rules for stale state allow.
pub(super) async fn withdraw(id: &str, settings: &CommandSettings) -> Result<(), CommandError> {
    let platform = HttpPlatform::new(settings.store, None);
    let revision = write_withdrawal(&platform, id).await?;
    confirm::wait(&platform, settings, Scope::EveryRegion, |reply| {
        reply.agent_revision >= revision
    })
    .await?;
    println!("accepted: key {id} is withdrawn as of revision {revision}");
    Ok(())
}

/// Prints the id, team and state of every key.
///
/// # Errors
///
/// Fails when the store fails. Malformed records are reported on standard error
/// and skipped.
pub(super) async fn list(settings: &CommandSettings) -> Result<(), CommandError> {
    let platform = HttpPlatform::new(settings.store, None);
    for object in platform.list(&["keys/"]).await?.objects {
        let id = object.name.trim_start_matches("keys/");
        match decode(&object) {
            Ok(KeyRecord { team, state, .. }) => println!("{id} team={team} state={state}"),
            Err(error) => eprintln!("{error}"),
        }
    }
    Ok(())
}

/// Refuses a team that is not in the configuration in force.
async fn check_team(platform: &dyn Platform, team: &str) -> Result<(), CommandError> {
    let refused = |cause: String| Err(CommandError::Refused(vec![cause]));
    let name = match TeamName::try_from(team) {
        Ok(name) => name,
        Err(error) => return refused(format!("team {team:?}: {error}")),
    };
    let Some((root, config)) = stored::read_in_force(platform).await? else {
        return refused("no configuration is in force, so no team exists".to_owned());
    };
    if config.teams.contains_key(&name) {
        return Ok(());
    }
    let teams: Vec<&str> = config.teams.keys().map(TeamName::as_str).collect();
    refused(format!(
        "team {team} is not in version {}; teams are {}",
        root.version,
        teams.join(", ")
    ))
}

/// Marks the key as withdrawn. Returns a revision at which it is withdrawn.
async fn write_withdrawal(platform: &dyn Platform, id: &str) -> Result<Revision, CommandError> {
    let name = object_name(id);
    let unknown = || CommandError::Refused(vec![format!("no key has the id {id:?}")]);
    // The id becomes part of an object name, so other characters are refused;
    // no id contains them.
    if id.is_empty() || !id.bytes().all(|b| b.is_ascii_alphanumeric()) {
        return Err(unknown());
    }
    let object = platform.get(&name).await?.ok_or_else(unknown)?;
    let mut record = decode(&object)?;
    if record.state == KeyState::Withdrawn {
        return Ok(object.revision);
    }
    record.state = KeyState::Withdrawn;
    let value = encode(&name, &record)?;
    let condition = Condition::At(object.revision);
    let withdrawn = |object: &Object| decode(object).is_ok_and(|r| r.state == KeyState::Withdrawn);
    match write(platform, &name, value, condition, withdrawn).await? {
        Written::Confirmed(revision) => Ok(revision),
        Written::Found(object) => Ok(object.revision),
        Written::Conflict(_) => Err(CommandError::Changed { name }),
    }
}

fn decode(object: &Object) -> Result<KeyRecord, CommandError> {
    serde_json::from_slice(object.value.as_deref().unwrap_or_default())
        .map_err(|e| CommandError::malformed(&object.name, &e))
}

fn encode(name: &str, record: &KeyRecord) -> Result<Bytes, CommandError> {
    serde_json::to_vec(record)
        .map(Bytes::from)
        .map_err(|e| CommandError::malformed(name, &e))
}

fn object_name(id: &str) -> String {
    format!("keys/{id}")
}
