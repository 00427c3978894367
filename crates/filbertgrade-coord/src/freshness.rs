//! Whether this VM may rely on the state it holds.
//!
//! Evidence travels as ages. A puller that sent its request at its local time
//! `s` counts a reply that says "age a" as evidence as of `s - a`, so clocks
//! need not agree.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::names::RegionName;

/// Age up to which a confirmation or a word counts.
///
/// It is the bound within which a withdrawn key stops working.
pub const FRESH_FOR: Duration = Duration::from_secs(5);

/// Evidence about the store and about every region.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    region: RegionName,
    fresh_for: Duration,
    regions: BTreeMap<RegionName, Evidence>,
}

/// Newest evidence from one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Evidence {
    /// When an agent there confirmed the store's revision, and that revision.
    confirmed: Option<(Instant, u64)>,
    /// When any agent there was last known to speak.
    heard: Option<Instant>,
    /// The newest revision that any agent there held.
    revision: u64,
}

/// Evidence from one region as ages, for a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionAges {
    /// The region the evidence is from.
    pub region: RegionName,
    /// Age of the newest store confirmation, and the revision it confirmed.
    pub confirmed: Option<(Duration, u64)>,
    /// Age of the newest word from any agent there.
    pub heard: Option<Duration>,
    /// Newest revision known to be held there.
    pub revision: u64,
}

/// Whether the held state is valid, and until when without further evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A confirmation that covers the held revision is young enough.
    Fresh {
        /// The state must be asked for again at this instant.
        until: Instant,
    },
    /// Nobody reaches the store, so nothing newer can have been accepted.
    StoreOutage {
        /// The state must be asked for again at this instant.
        until: Instant,
    },
    /// Newer state may exist. Keys must not be honoured, and the base share
    /// must not be spent.
    Isolated(IsolatedCause),
}

/// The first condition that kept the state from being valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IsolatedCause {
    /// Some agent holds or confirmed a revision above the held one.
    Behind,
    /// A region with live VMs has not been heard from.
    RegionSilent,
}

impl Freshness {
    /// The instant up to which keys and the base share may be used.
    pub fn valid_until(&self) -> Option<Instant> {
        match *self {
            Freshness::Fresh { until } | Freshness::StoreOutage { until } => Some(until),
            Freshness::Isolated(_) => None,
        }
    }
}

impl FreshnessTracker {
    /// Creates a tracker without evidence for an agent in `region`.
    pub fn new(region: RegionName) -> Self {
        Self::with_bound(region, FRESH_FOR)
    }

    /// Creates a tracker that counts evidence up to the age `fresh_for`.
    ///
    /// A bound under a few pull rounds makes healthy VMs isolated; a long
    /// bound lets withdrawn keys work for that long.
    pub fn with_bound(region: RegionName, fresh_for: Duration) -> Self {
        Self {
            region,
            fresh_for,
            regions: BTreeMap::new(),
        }
    }

    /// Notes that the store itself answered with `revision` to a request sent at `sent_at`.
    pub fn confirm(&mut self, sent_at: Instant, revision: u64) {
        let region = self.region.clone();
        self.note(
            &region,
            Evidence {
                confirmed: Some((sent_at, revision)),
                heard: Some(sent_at),
                revision,
            },
        );
    }

    /// Notes that an agent of `region`, which holds `revision`, replied to a
    /// request sent at `sent_at`.
    pub fn hear(&mut self, sent_at: Instant, region: &RegionName, revision: u64) {
        self.note(
            region,
            Evidence {
                confirmed: None,
                heard: Some(sent_at),
                revision,
            },
        );
    }

    /// Takes in the ages of a reply to a request sent at `sent_at`.
    pub fn absorb<'a>(&mut self, sent_at: Instant, ages: impl IntoIterator<Item = &'a RegionAges>) {
        for age in ages {
            // An age beyond what the clock can represent is no evidence.
            let confirmed = age
                .confirmed
                .and_then(|(a, revision)| Some((sent_at.checked_sub(a)?, revision)));
            let heard = age.heard.and_then(|a| sent_at.checked_sub(a));
            self.note(
                &age.region,
                Evidence {
                    confirmed,
                    heard,
                    revision: age.revision,
                },
            );
        }
    }

    /// The evidence as ages at `now`, for a reply by an agent that holds `held`.
    pub fn ages(&self, now: Instant, held: u64) -> Vec<RegionAges> {
        let mut all = self.regions.clone();
        let own = all.entry(self.region.clone()).or_default();
        own.heard = Some(now);
        own.revision = own.revision.max(held);
        let age = |at: Instant| now.saturating_duration_since(at);
        all.into_iter()
            .map(|(region, evidence)| RegionAges {
                region,
                // A confirmation above the held revision would not help the
                // receiver, which has at most this revision after the reply.
                confirmed: evidence
                    .confirmed
                    .filter(|&(_, revision)| revision <= held)
                    .map(|(at, revision)| (age(at), revision)),
                heard: evidence.heard.map(age),
                revision: evidence.revision,
            })
            .collect()
    }

    /// The state at `now` of a VM that holds revision `held`.
    ///
    /// `live_regions` are the regions that have live VMs in the platform's list.
    pub fn freshness(
        &self,
        now: Instant,
        held: u64,
        live_regions: &BTreeSet<RegionName>,
    ) -> Freshness {
        let young = |at: Instant| now.saturating_duration_since(at) <= self.fresh_for;
        let confirmations = || self.regions.values().filter_map(|e| e.confirmed);
        let covering = confirmations()
            .filter(|&(at, revision)| young(at) && revision <= held)
            .map(|(at, _)| at)
            .max();
        if let Some(at) = covering {
            return Freshness::Fresh {
                until: at + self.fresh_for,
            };
        }
        let store_reached = confirmations().any(|(at, _)| young(at));
        if store_reached || self.regions.values().any(|e| e.revision > held) {
            return Freshness::Isolated(IsolatedCause::Behind);
        }
        // The own agent is heard at `now` by definition.
        let mut until = now + self.fresh_for;
        for region in live_regions.iter().filter(|r| **r != self.region) {
            match self.regions.get(region).and_then(|e| e.heard) {
                Some(at) if young(at) => until = until.min(at + self.fresh_for),
                _ => return Freshness::Isolated(IsolatedCause::RegionSilent),
            }
        }
        Freshness::StoreOutage { until }
    }

    /// The instant of the newest confirmation by the store, from any region.
    pub fn newest_confirmation(&self) -> Option<Instant> {
        let confirmed = self.regions.values().filter_map(|e| e.confirmed);
        confirmed.map(|(at, _)| at).max()
    }

    /// Reports whether every one of `regions` is known to hold `revision`.
    pub fn all_hold(&self, revision: u64, regions: &BTreeSet<RegionName>) -> bool {
        regions.iter().all(|region| {
            self.regions
                .get(region)
                .is_some_and(|e| e.revision >= revision)
        })
    }

    fn note(&mut self, region: &RegionName, new: Evidence) {
        let evidence = self.regions.entry(region.clone()).or_default();
        // Tuples compare by instant first, so the newest confirmation wins.
        evidence.confirmed = evidence.confirmed.max(new.confirmed);
        evidence.heard = evidence.heard.max(new.heard);
        evidence.revision = evidence.revision.max(new.revision);
    }
}
