//! `key`: grants, withdraws and lists keys.

use bytes::Bytes;

use super::flags::{Key, KeyCmd};
use crate::platform::{Condition, HttpPlatform, Platform, PlatformError};
use crate::version::{KeyRecord, KeySecret, KeyState};

/// Why a key command failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum KeyError {
    /// The random source failed.
    #[error("no random numbers: {0}")]
    Random(#[from] getrandom::Error),
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The record in the store is not readable.
    #[error("the key record in the store is malformed: {0}")]
    Record(#[from] serde_json::Error),
    /// No key has this id.
    #[error("no key has the id {id:?}")]
    Unknown {
        /// Id that was asked for.
        id: String,
    },
}

/// Runs one key command.
///
/// # Errors
///
/// Fails when the platform does, or when the key is unknown.
pub async fn key(flags: Key) -> Result<(), KeyError> {
    let platform = HttpPlatform::new(flags.store, None);
    match flags.subcommand {
        KeyCmd::Create(create) => grant(&platform, &create.team).await,
        KeyCmd::Withdraw(withdraw) => withdraw_key(&platform, &withdraw.id).await,
        KeyCmd::List(_) => list(&platform).await,
    }
}

async fn grant(platform: &dyn Platform, team: &str) -> Result<(), KeyError> {
    let secret = KeySecret::generate()?;
    let record = KeyRecord {
        team: team.to_owned(),
        digest: secret.digest().to_hex(),
        state: KeyState::Granted,
    };
    let value = Bytes::from(serde_json::to_vec(&record)?);
    platform
        .put(&object_name(secret.id()), value, Condition::Absent)
        .await?;
    println!("{}", secret.reveal());
    Ok(())
}

async fn withdraw_key(platform: &dyn Platform, id: &str) -> Result<(), KeyError> {
    let name = object_name(id);
    let Some(object) = platform.get(&name).await? else {
        return Err(KeyError::Unknown { id: id.to_owned() });
    };
    let mut record: KeyRecord =
        serde_json::from_slice(object.value.as_deref().unwrap_or_default())?;
    record.state = KeyState::Withdrawn;
    let value = Bytes::from(serde_json::to_vec(&record)?);
    platform
        .put(&name, value, Condition::At(object.revision))
        .await?;
    println!("withdrawn");
    Ok(())
}

async fn list(platform: &dyn Platform) -> Result<(), KeyError> {
    for object in platform.list(&["keys/"]).await?.objects {
        let record: KeyRecord =
            serde_json::from_slice(object.value.as_deref().unwrap_or_default())?;
        let id = object.name.trim_start_matches("keys/");
        println!("{id} team={} state={:?}", record.team, record.state);
    }
    Ok(())
}

fn object_name(id: &str) -> String {
    format!("keys/{id}")
}
