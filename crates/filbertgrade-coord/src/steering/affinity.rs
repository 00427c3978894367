//! Which endpoint handles each object.
//!
//! Answers few objects on few endpoints: by hash alone, one endpoint gets
//! several times the objects of another, and its requests wait while slots
//! elsewhere are free. The first VM that meets an object picks the endpoint
//! with the fewest objects among those that rank highest, and tells the other
//! VMs. A VM that was not told picks nearly the same by the same rule.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Objects that are held at most, to bound memory and what a new VM is sent.
const MOST_OBJECTS: usize = 8_192;

/// How often the other VMs are told of one home, because datagrams are lost.
const TELLINGS: u8 = 2;

/// Time after which an object that was met only once counts no more.
const TRIAL_TIME: Duration = Duration::from_secs(3);

/// Time after which an object that nobody asks for counts no more.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// The endpoints of objects, by hashes of both.
#[derive(Debug, Default)]
pub struct AffinityTable {
    homes: IndexMap<u64, Entry>,
    /// Objects that count for each endpoint, as of the last count.
    counts: HashMap<u64, u32>,
    counted_at: Option<Instant>,
    /// AffinityTable that other VMs are to be told of.
    news: IndexMap<u64, u8>,
}

/// Where an object is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Affinity {
    /// Hash of the object.
    pub object: u64,
    /// Hash of the endpoint.
    pub endpoint: u64,
    /// Grows with each change of the object's home. Of two homes with the same
    /// number, the one with the higher endpoint hash counts.
    pub version: u64,
    /// The object was asked for more than once.
    pub confirmed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    home: Affinity,
    met_at: Instant,
}

impl Entry {
    fn counts(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.met_at);
        age <= if self.home.confirmed {
            IDLE_TIME
        } else {
            TRIAL_TIME
        }
    }
}

/// How often objects are counted anew.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

impl AffinityTable {
    /// The endpoint of an object.
    pub fn get(&self, object: u64) -> Option<u64> {
        self.homes.get(&object).map(|entry| entry.home.endpoint)
    }

    /// Objects that an endpoint handles.
    pub fn object_count(&self, endpoint: u64) -> u32 {
        self.counts.get(&endpoint).copied().unwrap_or(0)
    }

    /// Notes that a request for an object goes to an endpoint. A new home is
    /// told to other VMs.
    pub fn record_use(&mut self, object: u64, endpoint: u64, now: Instant) {
        self.recount(now);
        let before = self.homes.get(&object).map(|entry| entry.home);
        let home = match before {
            Some(home) if home.endpoint == endpoint => Affinity {
                confirmed: true,
                ..home
            },
            Some(home) => Affinity {
                endpoint,
                version: home.version + 1,
                ..home
            },
            None => Affinity {
                object,
                endpoint,
                version: 1,
                confirmed: false,
            },
        };
        self.put(home, now);
        if before != Some(home) {
            self.news.insert(object, TELLINGS);
        }
    }

    /// Takes a home that another VM told.
    pub fn apply_update(&mut self, home: Affinity, now: Instant) {
        let newer = self.homes.get(&home.object).is_none_or(|entry| {
            let known = entry.home;
            let order = |home: Affinity| (home.version, home.endpoint, home.confirmed);
            order(home) > order(known)
        });
        if newer {
            self.put(home, now);
        }
    }

    /// AffinityTable that other VMs are to be told of now, at most `most`.
    pub fn take_pending_updates(&mut self, most: usize) -> Vec<Affinity> {
        let count = self.news.len().min(most);
        let batch: Vec<(u64, u8)> = self.news.drain(..count).collect();
        let homes = batch
            .iter()
            .filter_map(|(object, _)| self.homes.get(object))
            .map(|entry| entry.home)
            .collect();
        let again = batch.into_iter().filter(|(_, left)| *left > 1);
        self.news
            .extend(again.map(|(object, left)| (object, left - 1)));
        homes
    }

    /// There is something to tell.
    pub fn has_pending_updates(&self) -> bool {
        !self.news.is_empty()
    }

    /// All homes that count, for a VM that knows none.
    pub fn snapshot(&self, now: Instant) -> Vec<Affinity> {
        self.homes
            .values()
            .filter(|entry| entry.home.confirmed && entry.counts(now))
            .map(|entry| entry.home)
            .collect()
    }

    fn put(&mut self, home: Affinity, now: Instant) {
        let entry = Entry { home, met_at: now };
        let old = self.homes.insert(home.object, entry);
        let moved = old.is_none_or(|old| old.home.endpoint != home.endpoint);
        if moved {
            if let Some(count) = old.and_then(|old| self.counts.get_mut(&old.home.endpoint)) {
                *count = count.saturating_sub(1);
            }
            *self.counts.entry(home.endpoint).or_default() += 1;
        }
        if self.homes.len() > MOST_OBJECTS {
            self.homes.retain(|_, entry| entry.counts(now));
        }
        if self.homes.len() > MOST_OBJECTS {
            self.homes.shift_remove_index(0);
        }
    }

    fn recount(&mut self, now: Instant) {
        let due = self
            .counted_at
            .is_none_or(|at| now.saturating_duration_since(at) >= COUNT_INTERVAL);
        if !due {
            return;
        }
        self.counted_at = Some(now);
        self.counts.clear();
        for entry in self.homes.values().filter(|entry| entry.counts(now)) {
            *self.counts.entry(entry.home.endpoint).or_default() += 1;
        }
    }
}
