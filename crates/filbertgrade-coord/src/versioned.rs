//! A copy of a store's objects whose revision never decreases, and the deltas and
//! snapshots that bring one copy up to date from another.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A map from object names to values, which is a copy of a store as of one
/// revision.
///
/// The map also keeps a bounded log of the latest changes, including removals,
/// so that other copies can be brought up to date from it.
#[derive(Clone, Debug)]
pub struct VersionedMap<V> {
    /// The store revision of this copy.
    revision: u64,
    /// Invariant: no entry has a revision above `revision`.
    entries: BTreeMap<Arc<str>, Entry<V>>,
    /// Revision and name of each change, in order of revision, all above
    /// `log_floor`. A name in the log that is absent from `entries` was removed.
    log: VecDeque<(u64, Arc<str>)>,
    /// The log contains all changes above this revision.
    log_floor: u64,
    /// Maximum number of changes in the log.
    log_limit: usize,
}

/// A value and the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<V> {
    /// The store revision of the write.
    pub revision: u64,
    /// The value that was written.
    pub value: V,
}

/// A write or removal of one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change<V> {
    /// The object's name.
    pub name: Arc<str>,
    /// The store revision of the write or removal.
    pub revision: u64,
    /// The new value, or `None` for a removal.
    pub value: Option<V>,
}

/// All changes above revision `from` up to and including revision `to`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta<V> {
    /// The revision that a copy must have reached for the changes to be complete.
    pub from: u64,
    /// The revision of the copy after the changes.
    pub to: u64,
    /// The changes in order of revision. Earlier changes of a name that is
    /// changed again may be left out.
    pub changes: Vec<Change<V>>,
}

/// All objects as of one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot<V> {
    /// The store revision of the snapshot.
    pub revision: u64,
    /// Every object that exists at this revision.
    pub entries: Vec<(Arc<str>, Entry<V>)>,
}

/// The outcome of applying a delta or snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The map now has a higher revision. The objects with these names were
    /// written or removed.
    Advanced(Vec<Arc<str>>),
    /// The map already had this revision or a higher one, and did not change.
    Stale,
    /// The delta starts above the map's revision, so changes in between are
    /// missing. The map did not change.
    Gap {
        /// The map's revision, from which a new delta is to be requested.
        revision: u64,
    },
}

/// What a copy needs to be brought up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUp<V> {
    /// Nothing, because the copy has the map's revision or a higher one.
    UpToDate,
    /// The changes that the copy lacks.
    Delta(Delta<V>),
    /// A [`VersionedMap::snapshot`], because the log does not reach back to the
    /// copy's revision.
    SnapshotNeeded,
}

/// The error returned for a delta or snapshot with a change whose revision is
/// outside the range of the delta or snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("revision {revision} of object {name:?} is not above {from} and at most {to}")]
pub struct MalformedUpdateError {
    name: Arc<str>,
    revision: u64,
    from: u64,
    to: u64,
}

impl<V: Clone> VersionedMap<V> {
    /// Creates an empty map at revision 0.
    ///
    /// `log_limit` is the maximum number of changes in the log. With 0, every
    /// copy that is behind needs a snapshot. Each change in the log takes the
    /// memory of a revision and a reference to a name.
    pub fn new(log_limit: usize) -> Self {
        Self {
            revision: 0,
            entries: BTreeMap::new(),
            log: VecDeque::new(),
            log_floor: 0,
            log_limit,
        }
    }

    /// Returns the store revision of this copy.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entry of the object `name`, or `None` if there is no such
    /// object.
    pub fn get(&self, name: &str) -> Option<&Entry<V>> {
        self.entries.get(name)
    }

    /// Iterates over all entries in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Entry<V>)> {
        self.entries.iter()
    }

    /// Iterates over the entries whose names start with `prefix`, in order of name.
    pub fn prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a Entry<V>)> {
        self.entries
            .range::<str, _>((
                std::ops::Bound::Included(prefix),
                std::ops::Bound::Unbounded,
            ))
            .take_while(move |(name, _)| name.starts_with(prefix))
    }

    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether there are no objects.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies the changes that are above the map's revision.
    ///
    /// A delta without changes only raises the revision. Deltas may overlap:
    /// changes that the map already has are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the map unchanged, if the revision of a change
    /// is outside the delta's range.
    pub fn apply_delta(&mut self, delta: Delta<V>) -> Result<ApplyOutcome, MalformedUpdateError> {
        for change in &delta.changes {
            if change.revision <= delta.from || change.revision > delta.to {
                return Err(MalformedUpdateError {
                    name: change.name.clone(),
                    revision: change.revision,
                    from: delta.from,
                    to: delta.to,
                });
            }
        }
        if delta.to <= self.revision {
            return Ok(ApplyOutcome::Stale);
        }
        if delta.from > self.revision {
            return Ok(ApplyOutcome::Gap {
                revision: self.revision,
            });
        }
        let mut changes = delta.changes;
        changes.retain(|c| c.revision > self.revision);
        changes.sort_by_key(|c| c.revision);
        let mut names = BTreeSet::new();
        for Change {
            name,
            revision,
            value,
        } in changes
        {
            self.log.push_back((revision, name.clone()));
            match value {
                Some(value) => {
                    self.entries.insert(name.clone(), Entry { revision, value });
                }
                None => {
                    self.entries.remove(&name);
                }
            }
            names.insert(name);
        }
        self.revision = delta.to;
        self.trim_log();
        Ok(ApplyOutcome::Advanced(names.into_iter().collect()))
    }

    /// Replaces the whole map if the snapshot is newer.
    ///
    /// The log is empty afterwards, and starts at the snapshot's revision.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the map unchanged, if an entry is newer than
    /// the snapshot itself.
    pub fn apply_snapshot(
        &mut self,
        snapshot: Snapshot<V>,
    ) -> Result<ApplyOutcome, MalformedUpdateError> {
        for (name, entry) in &snapshot.entries {
            if entry.revision > snapshot.revision {
                return Err(MalformedUpdateError {
                    name: name.clone(),
                    revision: entry.revision,
                    from: 0,
                    to: snapshot.revision,
                });
            }
        }
        if snapshot.revision <= self.revision {
            return Ok(ApplyOutcome::Stale);
        }
        let new: BTreeMap<_, _> = snapshot.entries.into_iter().collect();
        let removed = self.entries.keys().filter(|name| !new.contains_key(*name));
        let written = new.iter().filter_map(|(name, entry)| {
            let same = self.entries.get(name).map(|old| old.revision) == Some(entry.revision);
            (!same).then_some(name)
        });
        let names: BTreeSet<_> = removed.chain(written).cloned().collect();
        self.entries = new;
        self.revision = snapshot.revision;
        self.log.clear();
        self.log_floor = snapshot.revision;
        Ok(ApplyOutcome::Advanced(names.into_iter().collect()))
    }

    /// Returns what a copy at `revision` needs to reach this map's revision.
    pub fn catch_up_from(&self, revision: u64) -> CatchUp<V> {
        if revision >= self.revision {
            return CatchUp::UpToDate;
        }
        if revision < self.log_floor {
            return CatchUp::SnapshotNeeded;
        }
        // The copy needs only the newest change of each name.
        let mut newest: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        for (at, name) in self.log.iter().rev().take_while(|(at, _)| *at > revision) {
            newest.entry(name).or_insert(*at);
        }
        let mut changes: Vec<Change<V>> = newest
            .into_iter()
            .map(|(name, revision)| Change {
                name: name.clone(),
                revision,
                value: self.entries.get(name).map(|entry| entry.value.clone()),
            })
            .collect();
        changes.sort_by_key(|c| c.revision);
        CatchUp::Delta(Delta {
            from: revision,
            to: self.revision,
            changes,
        })
    }

    /// Returns all objects at the map's revision.
    pub fn snapshot(&self) -> Snapshot<V> {
        Snapshot {
            revision: self.revision,
            entries: self
                .entries
                .iter()
                .map(|(name, entry)| (name.clone(), entry.clone()))
                .collect(),
        }
    }

    /// Removes the oldest changes above the log's limit.
    fn trim_log(&mut self) {
        while self.log.len() > self.log_limit {
            if let Some((revision, _)) = self.log.pop_front() {
                self.log_floor = revision;
            }
        }
    }
}
