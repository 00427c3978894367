//! Paged transfer of object map deltas between processes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_coord::versioned::{
    ApplyOutcome, CatchUp, Change, Delta, Entry, MalformedUpdateError, Snapshot, VersionedMap,
};

use crate::platform::{Changes, Revision};
use crate::wire::{self, Resume};

/// Maximum bytes of objects in one page, unless a single object is larger. A
/// page that holds one object of 1 MB still fits into a frame.
const MAX_PAGE_BYTES: usize = 512 * 1024;

/// Estimated encoding overhead of one object, added to the length of its name
/// and value.
const OBJECT_OVERHEAD_BYTES: usize = 32;

/// Maximum size of a delta that a receiver collects. It bounds the memory that
/// a faulty peer can occupy, and is well above the objects of the largest fleet.
const MAX_COLLECTED_BYTES: usize = 64 * 1024 * 1024;

/// Time after which a delta is dropped if its receiver requested no further page.
const RETENTION: Duration = Duration::from_secs(5);

/// Maximum number of deltas retained for receivers that still need further pages.
const MAX_RETAINED: usize = 64;

/// Sending side of deltas that span more than one page.
///
/// A delta is retained as it was when its first page was sent, so that the
/// receiver can complete it even if the state changes in the meantime.
#[derive(Debug, Default)]
pub(crate) struct OutgoingDeltas {
    retained: VecDeque<RetainedDelta>,
}

/// A delta of which `receiver` has only received some pages.
#[derive(Debug)]
struct RetainedDelta {
    receiver: String,
    delta: wire::Delta,
    last_used: Instant,
}

/// Receiving side of a delta that spans more than one page.
#[derive(Debug, Default)]
pub(crate) struct IncomingDelta {
    /// The pages received so far, joined; never a complete delta.
    collected: Option<wire::Delta>,
    /// Size of the collected objects, as [`object_bytes`] counts it.
    bytes: usize,
}

/// The page is empty, does not continue the previous pages, or makes the delta
/// exceed [`MAX_COLLECTED_BYTES`].
#[derive(Debug, thiserror::Error)]
#[error(
    "delta page at object {offset} of {total} rejected: {collected} objects are collected, \
     {bytes} bytes including this page"
)]
pub(crate) struct PageError {
    offset: u64,
    total: u64,
    collected: u64,
    bytes: usize,
}

impl OutgoingDeltas {
    /// Returns the next page for `receiver`, whose copy is at `revision`, or
    /// `None` if it is up to date.
    ///
    /// `resume` identifies the next page of a delta that the receiver has partly
    /// received. If that delta is no longer retained, a new one starts at its
    /// first page.
    pub(crate) fn next_page(
        &mut self,
        objects: &VersionedMap<Bytes>,
        receiver: &str,
        revision: Revision,
        resume: Option<Resume>,
        now: Instant,
    ) -> Option<wire::Delta> {
        self.retained
            .retain(|retained| now < retained.last_used + RETENTION);
        if let Some(resume) = resume
            && let Some(retained) = self.retained.iter_mut().find(|retained| {
                retained.receiver == receiver
                    && (retained.delta.from, retained.delta.to) == (resume.from, resume.to)
            })
        {
            retained.last_used = now;
            return Some(page_of(&retained.delta, resume.offset));
        }
        let delta = delta_for(objects, revision)?;
        let page = page_of(&delta, 0);
        if page.objects.len() < delta.objects.len() {
            self.retained
                .retain(|retained| retained.receiver != receiver);
            if self.retained.len() == MAX_RETAINED {
                self.retained.pop_front();
            }
            self.retained.push_back(RetainedDelta {
                receiver: receiver.to_owned(),
                delta,
                last_used: now,
            });
        }
        Some(page)
    }
}

impl IncomingDelta {
    /// Returns which page to request next, or `None` if no delta is incomplete.
    pub(crate) fn next_page_request(&self) -> Option<Resume> {
        self.collected.as_ref().map(|delta| Resume {
            from: delta.from,
            to: delta.to,
            offset: delta.objects.len() as u64,
        })
    }

    /// Adds one page, and returns the delta once it is complete. A first page
    /// discards the pages of any earlier delta.
    ///
    /// # Errors
    ///
    /// Fails if the page is empty, does not continue the previous ones, or
    /// makes the delta too large. All pages collected so far are discarded then.
    pub(crate) fn add_page(&mut self, page: wire::Delta) -> Result<Option<wire::Delta>, PageError> {
        let previous = self.collected.take().filter(|_| page.offset > 0);
        let mut bytes = if previous.is_some() { self.bytes } else { 0 };
        bytes += page.objects.iter().map(object_bytes).sum::<usize>();
        let collected = previous
            .as_ref()
            .map_or(0, |delta| delta.objects.len() as u64);
        let continues = previous.as_ref().is_none_or(|delta| {
            (delta.from, delta.to, delta.snapshot, delta.total)
                == (page.from, page.to, page.snapshot, page.total)
        });
        let empty = page.objects.is_empty() && page.total > 0;
        if page.offset != collected || !continues || empty || bytes > MAX_COLLECTED_BYTES {
            return Err(PageError {
                offset: page.offset,
                total: page.total,
                collected,
                bytes,
            });
        }
        let delta = match previous {
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

/// Returns the page of `delta` that starts after its first `offset` objects.
fn page_of(delta: &wire::Delta, offset: u64) -> wire::Delta {
    let rest = delta.objects.get(offset as usize..).unwrap_or_default();
    let mut bytes = 0;
    let page_objects = rest.iter().take_while(|object| {
        bytes += object_bytes(object);
        bytes <= MAX_PAGE_BYTES
    });
    let count = page_objects.count().max(1).min(rest.len());
    wire::Delta {
        from: delta.from,
        to: delta.to,
        objects: rest[..count].to_vec(),
        snapshot: delta.snapshot,
        offset,
        total: delta.objects.len() as u64,
    }
}

/// Estimated encoded size of an object.
fn object_bytes(object: &wire::Object) -> usize {
    object.name.len() + object.value.as_ref().map_or(0, Bytes::len) + OBJECT_OVERHEAD_BYTES
}

/// Returns what a copy at `revision` lacks, or `None` if it is up to date.
fn delta_for(objects: &VersionedMap<Bytes>, revision: Revision) -> Option<wire::Delta> {
    match objects.catch_up_from(revision) {
        CatchUp::UpToDate => None,
        CatchUp::Delta(delta) => Some(delta.into()),
        CatchUp::SnapshotNeeded => Some(objects.snapshot().into()),
    }
}

/// Applies a delta or snapshot received from a peer.
///
/// # Errors
///
/// Fails if the delta is inconsistent; `objects` is unchanged then.
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
    /// Converts the result of a watch that started after revision `from`.
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

    /// Converts the result of a list; entries without a value are left out.
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
            // `page_of` sets the offset and total of each page.
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
            // `page_of` sets the offset and total of each page.
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
