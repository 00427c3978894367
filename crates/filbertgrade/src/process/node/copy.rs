//! Local copy of the store, from which a relay replies to the nodes that pull
//! from it.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

use filbertgrade_coord::steering::store_revision::StoreRevision;
use filbertgrade_platform::events::{Event, Object};
use filbertgrade_platform::objects::Kind;
use filbertgrade_platform::store::Listing;
use indexmap::IndexMap;
use tokio::sync::watch;

use crate::sync::lock;

/// Number of changed objects of a kind that are remembered. A node that has
/// missed more receives a snapshot of the kind.
const MAX_KEPT_CHANGES: usize = 1_000;

/// The copies of all kinds.
#[derive(Debug)]
pub(super) struct StoreCopy {
    kinds: HashMap<Kind, Mutex<KindCopy>>,
}

/// Copy of the objects of one kind as of a revision of the store.
#[derive(Debug)]
pub(super) struct KindCopy {
    objects: IndexMap<String, Object>,
    /// Revision that the copy represents; never decreases. `None` until the
    /// kind has been read.
    revision: Option<StoreRevision>,
    /// Names of the objects that changed last, the latest change at the end, each
    /// with the revision of the update that contained its last change. An object
    /// that is not in `objects` was removed.
    ///
    /// The contents are not kept: a configuration may have a megabyte, and other
    /// nodes need only the newest one.
    changes: IndexMap<String, StoreRevision>,
    /// Invariant: `changes` names all objects that changed after this revision.
    complete_after: StoreRevision,
    /// When the store last confirmed that the copy was up to date.
    confirmed_at: Option<Instant>,
    /// Notifies pulls that wait for a change or a confirmation.
    changed: watch::Sender<StoreRevision>,
}

/// Objects or changes of a kind, as read from the store or from a relay.
#[derive(Clone, Debug)]
pub(super) struct Update {
    /// The events are all objects of the kind rather than changes.
    pub(super) is_snapshot: bool,
    /// The objects or changes, oldest first.
    pub(super) events: Vec<Event>,
    /// Revision of the store that the update leads to.
    pub(super) revision: StoreRevision,
    /// Instant at which the store had nothing newer; `None` when that is
    /// unknown, as for a stale list.
    pub(super) confirmed_at: Option<Instant>,
    /// Number of objects that were skipped because they are malformed.
    pub(super) unreadable: usize,
}

impl Update {
    /// Makes an update of all objects of a kind.
    pub(super) fn snapshot(list: Listing, confirmed_at: Option<Instant>) -> Self {
        Self {
            is_snapshot: true,
            events: list.objects.into_iter().map(Event::Written).collect(),
            revision: list.revision,
            confirmed_at,
            unreadable: list.unreadable,
        }
    }
}

impl StoreCopy {
    pub(super) fn new() -> Self {
        let kinds = [
            Kind::Configuration,
            Kind::Endpoints,
            Kind::Evacuations,
            Kind::Vms,
        ];
        Self {
            kinds: kinds
                .into_iter()
                .map(|k| (k, Mutex::new(KindCopy::new())))
                .collect(),
        }
    }

    /// Calls `f` with the locked copy of a kind.
    pub(super) fn with<R>(&self, kind: Kind, f: impl FnOnce(&mut KindCopy) -> R) -> R {
        f(&mut lock(&self.kinds[&kind]))
    }
}

impl KindCopy {
    fn new() -> Self {
        Self {
            objects: IndexMap::new(),
            revision: None,
            changes: IndexMap::new(),
            complete_after: StoreRevision::default(),
            confirmed_at: None,
            changed: watch::Sender::default(),
        }
    }

    /// Records the confirmation that an update carries, applies its objects or
    /// changes unless they are older than the copy, and notifies waiting pulls.
    /// Returns whether they were applied.
    pub(super) fn apply(&mut self, update: &Update) -> bool {
        if update.confirmed_at > self.confirmed_at {
            self.confirmed_at = update.confirmed_at;
            self.changed.send_replace(update.revision);
        }
        if self.revision.is_some_and(|known| update.revision < known) {
            return false;
        }
        self.revision = Some(update.revision);
        if update.is_snapshot {
            self.objects.clear();
            self.changes.clear();
            self.complete_after = update.revision;
        }
        for event in &update.events {
            let name = match event {
                Event::Written(object) => {
                    self.objects.insert(object.name.clone(), object.clone());
                    &object.name
                }
                Event::Removed(name) => {
                    self.objects.shift_remove(name);
                    name
                }
            };
            if !update.is_snapshot {
                self.record_change(name, update.revision);
            }
        }
        if !update.events.is_empty() {
            self.changed.send_replace(update.revision);
        }
        true
    }

    /// Makes a change the latest one, and forgets the oldest if there are too many.
    fn record_change(&mut self, name: &str, revision: StoreRevision) {
        // Removed first, because `insert` would keep the position of the
        // earlier change.
        self.changes.shift_remove(name);
        self.changes.insert(name.to_owned(), revision);
        if self.changes.len() > MAX_KEPT_CHANGES
            && let Some((_, oldest)) = self.changes.shift_remove_index(0)
        {
            self.complete_after = oldest;
        }
    }

    /// Revision that the copy represents; `None` until the kind has been read.
    pub(super) fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// When the store last confirmed that the copy was up to date.
    pub(super) fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns a receiver that is notified of later changes and confirmations.
    pub(super) fn subscribe(&self) -> watch::Receiver<StoreRevision> {
        self.changed.subscribe()
    }

    /// Returns the changes after `revision`, or a snapshot when `revision` is
    /// `None`, the changes since then are no longer kept, or the store has been
    /// restored since then. `None` until the kind has been read.
    pub(super) fn update_since(&self, revision: Option<StoreRevision>) -> Option<Update> {
        let known = self.revision?;
        // Changes of one history cannot follow a revision of another one.
        let after =
            revision.filter(|after| *after >= self.complete_after && after.era <= known.era);
        let events = match after {
            Some(after) => {
                let newer = self.changes.iter().filter(|(_, at)| **at > after);
                newer.map(|(name, _)| self.event_of(name)).collect()
            }
            None => self.objects.values().cloned().map(Event::Written).collect(),
        };
        Some(Update {
            is_snapshot: after.is_none(),
            events,
            revision: known,
            confirmed_at: self.confirmed_at,
            unreadable: 0,
        })
    }

    /// The last change of an object.
    fn event_of(&self, name: &str) -> Event {
        match self.objects.get(name) {
            Some(object) => Event::Written(object.clone()),
            None => Event::Removed(name.to_owned()),
        }
    }
}
