//! What a node knows of the store, for the nodes that ask it instead of the
//! store.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::Instant;

use filbertgrade_platform::objects::Kind;
use filbertgrade_platform::store::{Event, Listing, Object};
use indexmap::IndexMap;
use tokio::sync::watch;

use crate::sync::lock;

/// Changes of a kind that are kept for nodes that are behind. A node that is
/// behind further gets the whole kind.
const KEPT_CHANGES: usize = 1_000;

/// All kinds that are followed.
#[derive(Debug)]
pub(super) struct Copies {
    kinds: HashMap<Kind, Mutex<KindCopy>>,
}

/// Objects of one kind as of a revision of the store.
#[derive(Debug)]
pub(super) struct KindCopy {
    objects: IndexMap<String, Object>,
    /// `None` before the kind was read. Never moves backward.
    revision: Option<u64>,
    /// Changes with the revision up to which each was read.
    changes: VecDeque<(u64, Event)>,
    /// Invariant: all changes after this revision are in `changes`.
    complete_after: u64,
    /// The store had nothing newer at this instant.
    confirmed_at: Option<Instant>,
    /// Tells the nodes that wait for a change or confirmation.
    changed: watch::Sender<u64>,
}

/// What was read of a kind, from the store or from another node.
#[derive(Clone, Debug)]
pub(super) struct Update {
    /// The events are all objects of the kind, not changes.
    pub(super) whole: bool,
    /// The objects or changes, oldest first.
    pub(super) events: Vec<Event>,
    /// Revision of the store up to which was read.
    pub(super) revision: u64,
    /// The store had nothing newer at this instant.
    pub(super) confirmed_at: Option<Instant>,
    /// Objects that could not be read.
    pub(super) unreadable: usize,
}

impl Update {
    /// All objects of a kind.
    pub(super) fn whole(list: Listing, confirmed_at: Option<Instant>) -> Self {
        Self {
            whole: true,
            events: list.objects.into_iter().map(Event::Written).collect(),
            revision: list.revision,
            confirmed_at,
            unreadable: list.unreadable,
        }
    }
}

impl Copies {
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

    /// Uses the copy of a kind.
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
            complete_after: 0,
            confirmed_at: None,
            changed: watch::Sender::new(0),
        }
    }

    /// Takes what was read.
    pub(super) fn take(&mut self, update: &Update) {
        if update.confirmed_at > self.confirmed_at {
            self.confirmed_at = update.confirmed_at;
            self.changed.send_replace(update.revision);
        }
        if self.revision.is_some_and(|known| update.revision < known) {
            return;
        }
        self.revision = Some(update.revision);
        if update.whole {
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
            if !update.whole {
                self.changes.push_back((update.revision, event.clone()));
            }
        }
        while self.changes.len() > KEPT_CHANGES {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.complete_after = revision;
            }
        }
        if !update.events.is_empty() {
            self.changed.send_replace(update.revision);
        }
    }

    /// Revision that the copy represents.
    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// The store had nothing newer at this instant.
    pub(super) fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Tells changes and confirmations from now on.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Changes after `revision`, or all objects when they are not known.
    pub(super) fn since(&self, revision: Option<u64>) -> Option<Update> {
        let known = self.revision?;
        let after = revision.filter(|after| *after >= self.complete_after);
        let events = match after {
            Some(after) => {
                let newer = self.changes.iter().filter(|(at, _)| *at > after);
                newest(newer.map(|(_, event)| event))
            }
            None => self.objects.values().cloned().map(Event::Written).collect(),
        };
        Some(Update {
            whole: after.is_none(),
            events,
            revision: known,
            confirmed_at: self.confirmed_at,
            unreadable: 0,
        })
    }
}

/// The last change of each object, in their order. A node that is behind needs
/// no others, and a configuration is large.
fn newest<'a>(changes: impl Iterator<Item = &'a Event>) -> Vec<Event> {
    let mut last: IndexMap<&str, &Event> = IndexMap::new();
    for event in changes {
        let name = match event {
            Event::Written(object) => object.name.as_str(),
            Event::Removed(name) => name.as_str(),
        };
        // Removed first, so that the change counts at its own place.
        last.shift_remove(name);
        last.insert(name, event);
    }
    last.into_values().cloned().collect()
}
