//! The endpoints that exist, as the store tells it.
//!
//! Answers outages of the store: registrations that lapse because endpoints
//! could not renew them come back shortly after, and must not empty a service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::endpoint::Endpoint;

/// How long after an outage of the store a registration that is gone may still
/// come back.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// Registrations by endpoint id.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: HashMap<Arc<str>, Entry>,
    /// Revision of the store that the entries represent; never moves backward.
    revision: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Endpoint,
    /// The registration is gone; the endpoint counts until this instant.
    lapses_at: Option<Instant>,
}

/// A change of one registration.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryChange {
    /// It was written. `None` when it names no endpoint that can be used.
    Written(Arc<str>, Option<Endpoint>),
    /// It was removed.
    Removed(Arc<str>),
}

impl Registry {
    /// Revision of the store that the registry represents.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces all registrations with a list as of `revision`. Registrations
    /// that are not in the list are removed.
    pub fn replace(
        &mut self,
        list: Vec<(Arc<str>, Option<Endpoint>)>,
        revision: u64,
        now: Instant,
        back_at: Option<Instant>,
    ) {
        if revision < self.revision {
            return;
        }
        let mut missing: Vec<Arc<str>> = self.entries.keys().cloned().collect();
        missing.retain(|id| !list.iter().any(|(listed, _)| listed == id));
        let written = list
            .into_iter()
            .map(|(id, endpoint)| RegistryChange::Written(id, endpoint));
        let removed = missing.into_iter().map(RegistryChange::Removed);
        self.apply(written.chain(removed), revision, now, back_at);
    }

    /// Applies changes up to `revision`. `back_at` tells when the last outage
    /// of the store ended.
    pub fn apply(
        &mut self,
        changes: impl IntoIterator<Item = RegistryChange>,
        revision: u64,
        now: Instant,
        back_at: Option<Instant>,
    ) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let hold = back_at
            .map(|at| at + REREGISTRATION_GRACE)
            .filter(|until| now < *until);
        for change in changes {
            self.apply_one(change, hold);
        }
        self.expire(now);
    }

    fn apply_one(&mut self, change: RegistryChange, hold: Option<Instant>) {
        match change {
            RegistryChange::Written(id, Some(endpoint)) => {
                let lapses_at = None;
                self.entries.insert(
                    id,
                    Entry {
                        endpoint,
                        lapses_at,
                    },
                );
            }
            RegistryChange::Written(id, None) => {
                self.entries.remove(&id);
            }
            RegistryChange::Removed(id) => self.remove(&id, hold),
        }
    }

    fn remove(&mut self, id: &Arc<str>, hold: Option<Instant>) {
        match (self.entries.get_mut(id), hold) {
            // An endpoint that said that it leaves does not come back.
            (Some(entry), Some(until)) if !entry.endpoint.draining => {
                entry.lapses_at.get_or_insert(until);
            }
            _ => {
                self.entries.remove(id);
            }
        }
    }

    /// Drops registrations that did not come back in time. Returns true when
    /// there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.lapses_at.is_none_or(|at| now < at));
        self.entries.len() < before
    }

    /// Drops all registrations that might have come back, because the store
    /// was not away after all. Returns true when there were any.
    pub fn drop_lapsed(&mut self) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.lapses_at.is_none());
        self.entries.len() < before
    }

    /// All endpoints that count as existing.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().map(|entry| &entry.endpoint)
    }
}
