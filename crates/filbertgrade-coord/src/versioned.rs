//! A map from names to values that follows a store's revisions and never moves backward.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A copy of a store's objects as of one revision.
///
/// The map also keeps a bounded log of changes, removals included, so that it
/// can bring other copies up to date.
#[derive(Clone, Debug)]
pub struct VersionedMap<V> {
    /// The store revision that the map represents.
    revision: u64,
    /// Invariant: no entry has a revision above `revision`.
    entries: BTreeMap<Arc<str>, Entry<V>>,
    /// Changes in order of revision, all above `log_floor`. A name that is
    /// logged and absent from `entries` was removed.
    log: VecDeque<(u64, Arc<str>)>,
    /// The log is complete for every revision above this one.
    log_floor: u64,
    log_limit: usize,
}

/// A value with the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<V> {
    /// The revision of the write.
    pub revision: u64,
    /// The value.
    pub value: V,
}

/// One write or removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change<V> {
    /// The object's name.
    pub name: Arc<str>,
    /// The revision of the write or removal.
    pub revision: u64,
    /// The new value, or `None` for a removal.
    pub value: Option<V>,
}

/// All changes above revision `from` up to and including revision `to`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta<V> {
    /// The revision that the changes start from.
    pub from: u64,
    /// The revision that the changes lead to.
    pub to: u64,
    /// At most the newest change of each name is needed, in order of revision.
    pub changes: Vec<Change<V>>,
}

/// All objects as of one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot<V> {
    /// The revision that the snapshot represents.
    pub revision: u64,
    /// Every object; names that are absent do not exist at this revision.
    pub entries: Vec<(Arc<str>, Entry<V>)>,
}

/// What applying a delta or snapshot did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The map moved forward. The names were written or removed.
    Advanced(Vec<Arc<str>>),
    /// The map was at this revision or above, and did not change.
    Stale,
    /// The delta starts above the map's revision, and the map did not change.
    /// Ask again with this revision.
    Gap {
        /// The map's own revision.
        have: u64,
    },
}

/// What brings a copy at some revision up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUp<V> {
    /// The copy is at the map's revision or above.
    UpToDate,
    /// The changes that are missing.
    Delta(Delta<V>),
    /// The log does not reach back that far; send [`VersionedMap::snapshot`].
    SnapshotNeeded,
}

/// The error of a delta or snapshot that contradicts itself.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("object {name:?} has revision {revision}, outside {from} to {to}")]
pub struct MalformedUpdateError {
    name: Arc<str>,
    revision: u64,
    from: u64,
    to: u64,
}

impl<V: Clone> VersionedMap<V> {
    /// Creates an empty map at revision 0.
    ///
    /// `log_limit` is the number of changes kept. With 0, every copy that is
    /// behind needs a snapshot; a high number costs one name per change.
    pub fn new(log_limit: usize) -> Self {
        Self {
            revision: 0,
            entries: BTreeMap::new(),
            log: VecDeque::new(),
            log_floor: 0,
            log_limit,
        }
    }

    /// The store revision that the map represents.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entry of a name.
    pub fn get(&self, name: &str) -> Option<&Entry<V>> {
        self.entries.get(name)
    }

    /// Iterates over all entries in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Entry<V>)> {
        self.entries.iter()
    }

    /// Iterates over the entries whose names start with `prefix`.
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

    /// Number of objects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether there are no objects.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies the changes that are above the map's revision.
    ///
    /// A delta without changes moves the revision alone. Overlapping deltas
    /// are fine: what the map already has is skipped.
    ///
    /// # Errors
    ///
    /// Fails without effect if a change is outside the delta's revisions.
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
                have: self.revision,
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
    /// The log then starts at the snapshot's revision.
    ///
    /// # Errors
    ///
    /// Fails without effect if an entry is newer than the snapshot itself.
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

    /// What a copy at `revision` needs to reach this map's revision.
    pub fn catch_up_from(&self, revision: u64) -> CatchUp<V> {
        if revision >= self.revision {
            return CatchUp::UpToDate;
        }
        if revision < self.log_floor {
            return CatchUp::SnapshotNeeded;
        }
        // Only the newest change of each name matters to the copy.
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

    /// All objects at the map's revision.
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

    fn trim_log(&mut self) {
        while self.log.len() > self.log_limit {
            if let Some((revision, _)) = self.log.pop_front() {
                self.log_floor = revision;
            }
        }
    }
}
