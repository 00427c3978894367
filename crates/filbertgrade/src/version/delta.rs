//! Deltas of the object map as they travel between processes.

use std::sync::Arc;

use bytes::Bytes;
use filbertgrade_coord::versioned::{
    Applied, Catchup, Change, Delta, Entry, MalformedError, Snapshot, VersionedMap,
};

use crate::platform::{Changes, Revision};
use crate::wire;

/// What a copy at `revision` lacks; `None` when it is up to date.
pub(crate) fn delta_for(objects: &VersionedMap<Bytes>, revision: Revision) -> Option<wire::Delta> {
    match objects.delta_since(revision) {
        Catchup::UpToDate => None,
        Catchup::Delta(delta) => Some(delta.into()),
        Catchup::SnapshotNeeded => Some(objects.snapshot().into()),
    }
}

/// Applies a delta or snapshot of a peer.
///
/// # Errors
///
/// Fails without effect when the delta contradicts itself.
pub(crate) fn apply_delta(
    objects: &mut VersionedMap<Bytes>,
    delta: wire::Delta,
) -> Result<Applied, MalformedError> {
    if delta.snapshot {
        objects.apply_snapshot(delta.into())
    } else {
        objects.apply_delta(delta.into())
    }
}

impl Changes {
    /// The changes that a watch after revision `from` gave.
    pub(crate) fn into_delta(self, from: Revision) -> Delta<Bytes> {
        Delta {
            from,
            to: self.revision,
            changes: self
                .objects
                .into_iter()
                .map(|object| Change {
                    name: object.name.into(),
                    revision: object.revision,
                    value: object.value,
                })
                .collect(),
        }
    }

    /// The objects that a list gave.
    pub(crate) fn into_snapshot(self) -> Snapshot<Bytes> {
        Snapshot {
            revision: self.revision,
            entries: self
                .objects
                .into_iter()
                .filter_map(|object| {
                    let revision = object.revision;
                    let value = object.value?;
                    Some((object.name.into(), Entry { revision, value }))
                })
                .collect(),
        }
    }
}

impl From<Delta<Bytes>> for wire::Delta {
    fn from(delta: Delta<Bytes>) -> Self {
        Self {
            from: delta.from,
            to: delta.to,
            objects: delta
                .changes
                .into_iter()
                .map(|change| wire::Object {
                    name: change.name.to_string(),
                    revision: change.revision,
                    value: change.value,
                })
                .collect(),
            snapshot: false,
        }
    }
}

impl From<Snapshot<Bytes>> for wire::Delta {
    fn from(snapshot: Snapshot<Bytes>) -> Self {
        Self {
            from: 0,
            to: snapshot.revision,
            objects: snapshot
                .entries
                .into_iter()
                .map(|(name, entry)| wire::Object {
                    name: name.to_string(),
                    revision: entry.revision,
                    value: Some(entry.value),
                })
                .collect(),
            snapshot: true,
        }
    }
}

impl From<wire::Delta> for Delta<Bytes> {
    fn from(delta: wire::Delta) -> Self {
        Self {
            from: delta.from,
            to: delta.to,
            changes: delta
                .objects
                .into_iter()
                .map(|object| Change {
                    name: Arc::from(object.name),
                    revision: object.revision,
                    value: object.value,
                })
                .collect(),
        }
    }
}

impl From<wire::Delta> for Snapshot<Bytes> {
    fn from(delta: wire::Delta) -> Self {
        Self {
            revision: delta.to,
            entries: delta
                .objects
                .into_iter()
                .filter_map(|object| {
                    let revision = object.revision;
                    let value = object.value?;
                    Some((Arc::from(object.name), Entry { revision, value }))
                })
                .collect(),
        }
    }
}
