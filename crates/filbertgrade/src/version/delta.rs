//! Deltas of the object map as they travel between processes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_coord::versioned::{
    ApplyOutcome, CatchUp, Change, Delta, Entry, MalformedUpdateError, Snapshot, VersionedMap,
};

use crate::platform::{Changes, Revision};
use crate::wire::{self, Resume};

/// Bytes of objects in one page, unless a single object is larger. With an
/// object of 1 MB, a page stays within the frame limit.
const PAGE_BYTES: usize = 512 * 1024;

/// Overhead of one object in a page besides its name and value, in bytes.
const OBJECT_BYTES: usize = 32;

/// Longest delta that a receiver collects. It bounds the memory that a faulty
/// peer takes, well above the objects of the largest fleet.
const COLLECTED_BYTES: usize = 64 * 1024 * 1024;

/// Time after which a delta whose receiver asked for no further page is forgotten.
const KEPT_FOR: Duration = Duration::from_secs(5);

/// Deltas kept at a time for receivers that have only a part of them.
const MOST_KEPT: usize = 64;

/// The sending side of deltas that take more than one page.
///
/// A delta is kept as it was when its first page was sent, so that a receiver
/// completes it although the state changes meanwhile.
#[derive(Debug, Default)]
pub(crate) struct OutgoingDeltas {
    kept: VecDeque<KeptDelta>,
}

#[derive(Debug)]
struct KeptDelta {
    receiver: String,
    delta: wire::Delta,
    used_at: Instant,
}

/// The receiving side of a delta that takes more than one page.
#[derive(Debug, Default)]
pub(crate) struct IncomingDelta {
    /// The pages so far, in one; never complete.
    collected: Option<wire::Delta>,
    bytes: usize,
}

/// A page that does not continue the pages before it, or is too much.
#[derive(Debug, thiserror::Error)]
#[error("page at object {first} of {total} does not follow {collected} objects of {bytes} bytes")]
pub(crate) struct PageError {
    first: u64,
    total: u64,
    collected: u64,
    bytes: usize,
}

impl OutgoingDeltas {
    /// What `receiver`, whose copy is at `revision`, gets next; `None` when it
    /// is up to date.
    pub(crate) fn page(
        &mut self,
        objects: &VersionedMap<Bytes>,
        receiver: &str,
        revision: Revision,
        resume: Option<Resume>,
        now: Instant,
    ) -> Option<wire::Delta> {
        self.kept.retain(|kept| now < kept.used_at + KEPT_FOR);
        if let Some(resume) = resume
            && let Some(kept) = self.kept.iter_mut().find(|kept| {
                kept.receiver == receiver
                    && (kept.delta.from, kept.delta.to) == (resume.from, resume.to)
            })
        {
            kept.used_at = now;
            return Some(page_of(&kept.delta, resume.offset));
        }
        let delta = delta_for(objects, revision)?;
        let page = page_of(&delta, 0);
        if page.objects.len() < delta.objects.len() {
            self.kept.retain(|kept| kept.receiver != receiver);
            if self.kept.len() == MOST_KEPT {
                self.kept.pop_front();
            }
            self.kept.push_back(KeptDelta {
                receiver: receiver.to_owned(),
                delta,
                used_at: now,
            });
        }
        Some(page)
    }
}

impl IncomingDelta {
    /// The page to ask for next, if a delta is incomplete.
    pub(crate) fn resume(&self) -> Option<Resume> {
        self.collected.as_ref().map(|delta| Resume {
            from: delta.from,
            to: delta.to,
            offset: delta.objects.len() as u64,
        })
    }

    /// Takes one page, and returns the delta once it is complete. A first page
    /// starts anew.
    ///
    /// # Errors
    ///
    /// Fails when the page does not continue the ones before it. They are
    /// forgotten then.
    pub(crate) fn take(&mut self, page: wire::Delta) -> Result<Option<wire::Delta>, PageError> {
        let before = self.collected.take().filter(|_| page.offset > 0);
        let mut bytes = if before.is_some() { self.bytes } else { 0 };
        bytes += page.objects.iter().map(object_bytes).sum::<usize>();
        let collected = before
            .as_ref()
            .map_or(0, |delta| delta.objects.len() as u64);
        let continues = before.as_ref().is_none_or(|delta| {
            (delta.from, delta.to, delta.snapshot, delta.total)
                == (page.from, page.to, page.snapshot, page.total)
        });
        let empty = page.objects.is_empty() && page.total > 0;
        if page.offset != collected || !continues || empty || bytes > COLLECTED_BYTES {
            return Err(PageError {
                first: page.offset,
                total: page.total,
                collected,
                bytes,
            });
        }
        let delta = match before {
            Some(mut delta) => {
                delta.objects.extend(page.objects);
                delta
            }
            None => page,
        };
        if delta.objects.len() as u64 >= delta.total {
            return Ok(Some(delta));
        }
        self.bytes = bytes;
        self.collected = Some(delta);
        Ok(None)
    }
}

/// The page of `delta` that starts after its first `offset` objects.
fn page_of(delta: &wire::Delta, offset: u64) -> wire::Delta {
    let rest = delta.objects.get(offset as usize..).unwrap_or_default();
    let mut bytes = 0;
    let fitting = rest.iter().take_while(|object| {
        bytes += object_bytes(object);
        bytes <= PAGE_BYTES
    });
    let count = fitting.count().max(1).min(rest.len());
    wire::Delta {
        from: delta.from,
        to: delta.to,
        objects: rest[..count].to_vec(),
        snapshot: delta.snapshot,
        offset,
        total: delta.objects.len() as u64,
    }
}

fn object_bytes(object: &wire::Object) -> usize {
    object.name.len() + object.value.as_ref().map_or(0, Bytes::len) + OBJECT_BYTES
}

/// What a copy at `revision` lacks; `None` when it is up to date.
fn delta_for(objects: &VersionedMap<Bytes>, revision: Revision) -> Option<wire::Delta> {
    match objects.catch_up_from(revision) {
        CatchUp::UpToDate => None,
        CatchUp::Delta(delta) => Some(delta.into()),
        CatchUp::SnapshotNeeded => Some(objects.snapshot().into()),
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
) -> Result<ApplyOutcome, MalformedUpdateError> {
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
            offset: 0,
            total: 0,
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
            offset: 0,
            total: 0,
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
