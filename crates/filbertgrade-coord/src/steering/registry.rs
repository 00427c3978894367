//! The endpoints that are registered in the store.
//!
//! Handles outages of the store: registrations expire because endpoints cannot
//! renew them, and are written again shortly after the outage. In the meantime
//! the service must not be left without endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::endpoint::Endpoint;

/// How long after an outage of the store endpoints are kept whose registrations
/// were removed, so that they can register again.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// The registrations of all endpoints by endpoint id.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: HashMap<Arc<str>, Entry>,
    /// Revision of the store that the entries reflect; never decreases.
    revision: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Endpoint,
    /// Set when the registration was removed after an outage: the endpoint is kept
    /// until this instant. `None` while it is registered.
    expires_at: Option<Instant>,
}

/// A change of one registration.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryChange {
    /// The registration with this id was written. The endpoint is `None` when the
    /// registration describes no usable one; an earlier one is then removed.
    Written(Arc<str>, Option<Endpoint>),
    /// The registration with this id was removed.
    Removed(Arc<str>),
}

impl Registry {
    /// Revision of the store that the registry reflects.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces all registrations with a list as of `revision`. Registrations that
    /// are not in the list are treated as removed; see [`Registry::apply`]. A list
    /// older than the registry is ignored.
    pub fn replace(
        &mut self,
        list: Vec<(Arc<str>, Option<Endpoint>)>,
        revision: u64,
        now: Instant,
        outage_ended_at: Option<Instant>,
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
        self.apply(written.chain(removed), revision, now, outage_ended_at);
    }

    /// Applies changes up to `revision`. Changes older than the registry are
    /// ignored.
    ///
    /// `outage_ended_at` is the end of the last outage of the store. Within
    /// [`REREGISTRATION_GRACE`] of it, endpoints whose registrations are removed
    /// are kept, unless they are draining.
    pub fn apply(
        &mut self,
        changes: impl IntoIterator<Item = RegistryChange>,
        revision: u64,
        now: Instant,
        outage_ended_at: Option<Instant>,
    ) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let keep_until = outage_ended_at
            .map(|at| at + REREGISTRATION_GRACE)
            .filter(|until| now < *until);
        for change in changes {
            self.apply_one(change, keep_until);
        }
        self.expire(now);
    }

    fn apply_one(&mut self, change: RegistryChange, keep_until: Option<Instant>) {
        match change {
            RegistryChange::Written(id, Some(endpoint)) => {
                let expires_at = None;
                self.entries.insert(
                    id,
                    Entry {
                        endpoint,
                        expires_at,
                    },
                );
            }
            RegistryChange::Written(id, None) => {
                self.entries.remove(&id);
            }
            RegistryChange::Removed(id) => self.remove(&id, keep_until),
        }
    }

    fn remove(&mut self, id: &Arc<str>, keep_until: Option<Instant>) {
        match (self.entries.get_mut(id), keep_until) {
            // A draining endpoint does not register again.
            (Some(entry), Some(until)) if !entry.endpoint.draining => {
                entry.expires_at.get_or_insert(until);
            }
            _ => {
                self.entries.remove(id);
            }
        }
    }

    /// Removes endpoints that did not register again in time. Returns true when
    /// there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.expires_at.is_none_or(|at| now < at));
        self.entries.len() < before
    }

    /// Removes all endpoints that were kept for the time after an outage, because
    /// only this VM could not reach the store. Returns true when there were any.
    pub fn remove_unregistered(&mut self) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.expires_at.is_none());
        self.entries.len() < before
    }

    /// All registered endpoints, and those that are kept after an outage.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().map(|entry| &entry.endpoint)
    }
}
