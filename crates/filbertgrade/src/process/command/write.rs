//! Conditional writes that determine their outcome even when the response of
//! the store is lost.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::CommandError;
use crate::platform::{Condition, Object, Platform, PlatformError, Revision};

/// Time limit for determining the outcome of a write without a response. It
/// allows several calls of 2 s each.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two attempts to determine the outcome.
const RESOLVE_PAUSE: Duration = Duration::from_millis(200);

/// Outcome of a conditional write.
#[derive(Debug)]
pub(super) enum Written {
    /// The store confirmed the write.
    Confirmed(Revision),
    /// The response was lost, but the object shows that the write took effect.
    Found(Object),
    /// The condition was not met. Contains the current object, if it exists.
    Conflict(Option<Object>),
}

/// Writes `value` if `condition` is met. `is_own` returns whether an object
/// read from the store shows that this write took effect, even if another write
/// has followed.
///
/// A write without a response may still be in transit, so an object that
/// does not show it proves nothing. The same conditional write is then sent
/// again: it either takes effect or fails its condition permanently.
pub(super) async fn write(
    platform: &dyn Platform,
    name: &str,
    value: Bytes,
    condition: Condition,
    is_own: impl Fn(&Object) -> bool,
) -> Result<Written, CommandError> {
    let deadline = Instant::now() + RESOLVE_TIMEOUT;
    let mut outcome_unknown = false;
    loop {
        let error = match platform.put(name, value.clone(), condition).await {
            Ok(revision) => return Ok(Written::Confirmed(revision)),
            Err(error) if error.is_conflict() => {
                let at_least = error.current_revision().unwrap_or(0);
                match read_from(platform, name, at_least, deadline).await {
                    Ok(Some(object)) if is_own(&object) => return Ok(Written::Found(object)),
                    Ok(object) => return Ok(Written::Conflict(object)),
                    Err(error) => error,
                }
            }
            Err(error) => {
                outcome_unknown |= error.is_outcome_unknown();
                if !outcome_unknown {
                    return Err(error.into());
                }
                if let Ok(Some(object)) = platform.get(name).await
                    && is_own(&object)
                {
                    return Ok(Written::Found(object));
                }
                error
            }
        };
        if Instant::now() >= deadline {
            return Err(if outcome_unknown {
                CommandError::Unknown(error)
            } else {
                error.into()
            });
        }
        tokio::time::sleep(RESOLVE_PAUSE).await;
    }
}

/// Removes an object if it is at `revision`. Returns a revision at which it is
/// gone, or `None` when another operator changed the object first.
pub(super) async fn remove(
    platform: &dyn Platform,
    name: &str,
    revision: Revision,
) -> Result<Option<Revision>, CommandError> {
    let deadline = Instant::now() + RESOLVE_TIMEOUT;
    let mut outcome_unknown = false;
    loop {
        let error = match platform.delete(name, revision).await {
            Ok(revision) => return Ok(Some(revision)),
            Err(error) if error.is_conflict() && error.current_revision().is_some() => {
                return Ok(None);
            }
            // The object is gone. A list returns a revision after its removal.
            Err(error) if error.is_conflict() => match platform.list(&[name]).await {
                Ok(listed) => return Ok(Some(listed.revision)),
                Err(error) => error,
            },
            Err(error) => {
                outcome_unknown |= error.is_outcome_unknown();
                if !outcome_unknown {
                    return Err(error.into());
                }
                error
            }
        };
        if Instant::now() >= deadline {
            return Err(CommandError::Unknown(error));
        }
        tokio::time::sleep(RESOLVE_PAUSE).await;
    }
}

/// Reads an object that is known to have reached revision `at_least`. A replica
/// that lags may respond, so older reads are repeated until `deadline`.
async fn read_from(
    platform: &dyn Platform,
    name: &str,
    at_least: Revision,
    deadline: Instant,
) -> Result<Option<Object>, PlatformError> {
    loop {
        let read = platform.get(name).await;
        let is_old = match &read {
            Ok(Some(object)) => object.revision < at_least,
            Ok(None) => at_least > 0,
            Err(_) => true,
        };
        if !is_old {
            return read;
        }
        if Instant::now() >= deadline {
            let lagging =
                || PlatformError::malformed_response(name, &"the read lags behind the write");
            return read.and_then(|_| Err(lagging()));
        }
        tokio::time::sleep(RESOLVE_PAUSE).await;
    }
}
