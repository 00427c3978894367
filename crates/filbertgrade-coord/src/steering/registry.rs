//! The endpoints that are registered in the store.
//!
//! Handles outages of the store: registrations expire because endpoints cannot
//! renew them, and are written again shortly after the outage. In the meantime
//! the service must not be left without endpoints.
//!
//! Also handles a store that is restored from a copy: registrations that are newer
//! than the copy are missing until they are written again, and endpoints that have
//! left since are named as if they were ready. The same happens when the store
//! executes a write of an endpoint late, after the endpoint's next ones.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::endpoint::{Endpoint, EndpointKey};
use super::store_revision::StoreRevision;

/// How long after an outage of the store endpoints are kept whose registrations
/// were removed, so that they can register again.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// Largest number of removed endpoints that are remembered.
const MAX_REMOVED: usize = 10_000;

/// The registrations of all endpoints by endpoint id.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: HashMap<Arc<str>, Entry>,
    /// Revision of the store that the entries reflect; never decreases.
    revision: StoreRevision,
    /// Endpoints whose registrations were removed, by the number of their last
    /// write; the oldest first.
    removed: IndexMap<EndpointKey, u64>,
    /// When a list of another history of the store was first applied.
    restored_at: Option<Instant>,
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
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Replaces all registrations with a list as of `revision`. Registrations that
    /// are not in the list are treated as removed; see [`Registry::apply`]. A list
    /// older than the registry is ignored.
    ///
    /// A registration that is older than what is known of its endpoint has no effect,
    /// as in [`Registry::apply`].
    pub fn replace(
        &mut self,
        list: Vec<(Arc<str>, Option<Endpoint>)>,
        revision: StoreRevision,
        now: Instant,
        outage_ended_at: Option<Instant>,
    ) {
        if revision < self.revision {
            return;
        }
        if revision.era > self.revision.era && !self.entries.is_empty() {
            self.restored_at = Some(now);
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
    /// A registration with a lower number than the known one has no effect, although
    /// it is newer in the store: a write that got no response may be executed seconds
    /// later, or a restored store may return it.
    ///
    /// `outage_ended_at` is the end of the last outage of the store. Within
    /// [`REREGISTRATION_GRACE`] of it, or of a restore of the store, endpoints whose
    /// registrations are removed are kept, unless they are draining.
    pub fn apply(
        &mut self,
        changes: impl IntoIterator<Item = RegistryChange>,
        revision: StoreRevision,
        now: Instant,
        outage_ended_at: Option<Instant>,
    ) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        let keep_until = outage_ended_at
            .max(self.restored_at)
            .map(|at| at + REREGISTRATION_GRACE)
            .filter(|until| now < *until);
        for change in changes {
            self.apply_one(change, keep_until);
        }
        self.expire(now);
    }

    fn apply_one(&mut self, change: RegistryChange, keep_until: Option<Instant>) {
        match change {
            RegistryChange::Written(id, endpoint) => {
                match endpoint.and_then(|endpoint| self.newest(endpoint)) {
                    Some(endpoint) => {
                        let expires_at = None;
                        self.entries.insert(
                            id,
                            Entry {
                                endpoint,
                                expires_at,
                            },
                        );
                    }
                    None => {
                        self.entries.remove(&id);
                    }
                }
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
                if let Some(entry) = self.entries.remove(id) {
                    self.remember_removed(&entry.endpoint);
                }
            }
        }
    }

    fn remember_removed(&mut self, endpoint: &Endpoint) {
        let Some(sequence) = endpoint.sequence else {
            return;
        };
        // Removed first, so that it becomes the newest.
        self.removed.shift_remove(&endpoint.key);
        self.removed.insert(endpoint.key.clone(), sequence);
        if self.removed.len() > MAX_REMOVED {
            self.removed.shift_remove_index(0);
        }
    }

    /// Returns the newest known registration of an endpoint, or `None` if it has
    /// left.
    fn newest(&self, written: Endpoint) -> Option<Endpoint> {
        let removed_at = self.removed.get(&written.key);
        if removed_at.is_some_and(|removed| written.sequence <= Some(*removed)) {
            return None;
        }
        let known = self.entries.get(&written.key.id);
        let known = known
            .map(|entry| &entry.endpoint)
            .filter(|known| known.key == written.key && known.sequence > written.sequence);
        Some(known.cloned().unwrap_or(written))
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
