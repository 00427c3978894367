//! Local copy of the store, from which a relay replies to the nodes that pull
//! from it.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::Instant;

use filbertgrade_coord::steering::store_revision::StoreRevision;
use filbertgrade_platform::objects::Kind;
use filbertgrade_platform::store::{Event, Listing, Object};
use indexmap::IndexMap;
use tokio::sync::watch;

use crate::sync::lock;

/// Number of past changes of a kind that are kept. A node that has missed more
/// receives a snapshot of the kind.
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
    /// Recent changes, oldest first, each with the revision of the update that
    /// contained it.
    changes: VecDeque<(StoreRevision, Event)>,
    /// Invariant: `changes` contains all changes after this revision.
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
            changes: VecDeque::new(),
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
            match event {
                Event::Written(object) => {
                    self.objects.insert(object.name.clone(), object.clone());
                }
                Event::Removed(name) => {
                    self.objects.shift_remove(name);
                }
            }
            if !update.is_snapshot {
                self.changes.push_back((update.revision, event.clone()));
            }
        }
        while self.changes.len() > MAX_KEPT_CHANGES {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.complete_after = revision;
            }
        }
        if !update.events.is_empty() {
            self.changed.send_replace(update.revision);
        }
        true
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
                let newer = self.changes.iter().filter(|(at, _)| *at > after);
                last_per_object(newer.map(|(_, event)| event))
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
}

/// Returns only the last change of each object, in order. A node that has
/// fallen behind does not need the earlier ones, and a configuration is large.
fn last_per_object<'a>(changes: impl Iterator<Item = &'a Event>) -> Vec<Event> {
    let mut last: IndexMap<&str, &Event> = IndexMap::new();
    for event in changes {
        let name = match event {
            Event::Written(object) => object.name.as_str(),
            Event::Removed(name) => name.as_str(),
        };
        // Removed first, because `insert` would keep the position of the
        // earlier change.
        last.shift_remove(name);
        last.insert(name, event);
    }
    last.into_values().cloned().collect()
}
