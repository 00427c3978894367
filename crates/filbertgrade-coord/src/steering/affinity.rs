//! Object affinity: which endpoint serves the requests for each object.
//!
//! Designed for few objects on few endpoints. With hashing alone, one endpoint
//! gets several times the objects of another, and its requests wait while slots
//! elsewhere are free. The first VM that receives a request for an object
//! therefore picks the endpoint with the fewest objects among those that rank
//! highest, and sends this affinity to the other VMs. A VM that has not
//! received it picks nearly the same endpoint by the same rule.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Maximum number of objects in the table. Bounds memory and the size of the
/// snapshot that a new VM receives.
const MAX_OBJECTS: usize = 8_192;

/// How many times each update is sent to the other VMs, because datagrams are
/// lost.
const SENDS_PER_UPDATE: u8 = 2;

/// Time after which an affinity expires if its object was requested only once.
const UNCONFIRMED_TTL: Duration = Duration::from_secs(3);

/// Time after the last request or update at which a confirmed affinity expires.
const CONFIRMED_TTL: Duration = Duration::from_secs(30);

/// The affinities that this VM knows, and the updates that it still has to send
/// to other VMs. Objects and endpoints are identified by their hashes.
#[derive(Debug, Default)]
pub struct AffinityTable {
    entries: IndexMap<u64, Entry>,
    /// Number of unexpired objects for each endpoint. Expired objects are
    /// subtracted only by the periodic recount.
    object_counts: HashMap<u64, u32>,
    recounted_at: Option<Instant>,
    /// Objects whose affinity is to be sent to other VMs, with the number of
    /// sends that remain.
    pending: IndexMap<u64, u8>,
}

/// The endpoint that serves an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Affinity {
    /// Hash of the object.
    pub object: u64,
    /// Hash of the endpoint.
    pub endpoint: u64,
    /// Incremented each time the object moves to another endpoint. Between two
    /// affinities with the same version, the higher endpoint hash wins.
    pub version: u64,
    /// The object was requested more than once.
    pub confirmed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    affinity: Affinity,
    updated_at: Instant,
}

impl Entry {
    fn is_current(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.updated_at);
        age <= if self.affinity.confirmed {
            CONFIRMED_TTL
        } else {
            UNCONFIRMED_TTL
        }
    }
}

/// Interval at which the objects of each endpoint are counted again.
const RECOUNT_INTERVAL: Duration = Duration::from_millis(500);

impl AffinityTable {
    /// Returns the hash of the endpoint that serves an object, even if the
    /// affinity has expired but has not been removed yet.
    pub fn get(&self, object: u64) -> Option<u64> {
        self.entries
            .get(&object)
            .map(|entry| entry.affinity.endpoint)
    }

    /// Returns how many objects an endpoint serves. The number may include
    /// objects that expired since the last recount.
    pub fn object_count(&self, endpoint: u64) -> u32 {
        self.object_counts.get(&endpoint).copied().unwrap_or(0)
    }

    /// Records that a request for an object is sent to an endpoint. If this
    /// changes the affinity, the change becomes a pending update for the other
    /// VMs.
    pub fn record_use(&mut self, object: u64, endpoint: u64, now: Instant) {
        self.recount_if_due(now);
        let before = self.entries.get(&object).map(|entry| entry.affinity);
        let affinity = match before {
            Some(affinity) if affinity.endpoint == endpoint => Affinity {
                confirmed: true,
                ..affinity
            },
            Some(affinity) => Affinity {
                endpoint,
                version: affinity.version + 1,
                ..affinity
            },
            None => Affinity {
                object,
                endpoint,
                version: 1,
                confirmed: false,
            },
        };
        self.insert(affinity, now);
        if before != Some(affinity) {
            self.pending.insert(object, SENDS_PER_UPDATE);
        }
    }

    /// Applies an affinity received from another VM, unless the known one is
    /// the same or newer.
    pub fn apply_update(&mut self, affinity: Affinity, now: Instant) {
        let newer = self.entries.get(&affinity.object).is_none_or(|entry| {
            let known = entry.affinity;
            let order =
                |affinity: Affinity| (affinity.version, affinity.endpoint, affinity.confirmed);
            order(affinity) > order(known)
        });
        if newer {
            self.insert(affinity, now);
        }
    }

    /// Takes at most `limit` of the updates to send to other VMs. Each update is
    /// returned by several calls, because datagrams are lost.
    pub fn take_pending_updates(&mut self, limit: usize) -> Vec<Affinity> {
        let count = self.pending.len().min(limit);
        let batch: Vec<(u64, u8)> = self.pending.drain(..count).collect();
        let affinities = batch
            .iter()
            .filter_map(|(object, _)| self.entries.get(object))
            .map(|entry| entry.affinity)
            .collect();
        let resend = batch.into_iter().filter(|(_, sends_left)| *sends_left > 1);
        self.pending
            .extend(resend.map(|(object, sends_left)| (object, sends_left - 1)));
        affinities
    }

    /// Reports whether there are updates to send to other VMs.
    pub fn has_pending_updates(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns all confirmed affinities that have not expired, for a VM that has
    /// just started.
    pub fn snapshot(&self, now: Instant) -> Vec<Affinity> {
        self.entries
            .values()
            .filter(|entry| entry.affinity.confirmed && entry.is_current(now))
            .map(|entry| entry.affinity)
            .collect()
    }

    fn insert(&mut self, affinity: Affinity, now: Instant) {
        let entry = Entry {
            affinity,
            updated_at: now,
        };
        let old = self.entries.insert(affinity.object, entry);
        let moved = old.is_none_or(|old| old.affinity.endpoint != affinity.endpoint);
        if moved {
            if let Some(count) =
                old.and_then(|old| self.object_counts.get_mut(&old.affinity.endpoint))
            {
                *count = count.saturating_sub(1);
            }
            *self.object_counts.entry(affinity.endpoint).or_default() += 1;
        }
        if self.entries.len() > MAX_OBJECTS {
            self.entries.retain(|_, entry| entry.is_current(now));
        }
        if self.entries.len() > MAX_OBJECTS {
            self.entries.shift_remove_index(0);
        }
    }

    fn recount_if_due(&mut self, now: Instant) {
        let due = self
            .recounted_at
            .is_none_or(|at| now.saturating_duration_since(at) >= RECOUNT_INTERVAL);
        if !due {
            return;
        }
        self.recounted_at = Some(now);
        self.object_counts.clear();
        for entry in self.entries.values().filter(|entry| entry.is_current(now)) {
            *self
                .object_counts
                .entry(entry.affinity.endpoint)
                .or_default() += 1;
        }
    }
}
