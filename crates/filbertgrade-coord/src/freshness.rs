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
pub const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(5);

/// Evidence about the store and about every region.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    region: RegionName,
    fresh_for: Duration,
    regions: BTreeMap<RegionName, Evidence>,
    /// The newest instant at which the store is known to have held nothing
    /// above what this VM holds.
    covered: Option<Instant>,
    /// When another agent last replied.
    replied: Option<Instant>,
}

/// Newest evidence from one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Evidence {
    /// The highest revision of the store that an agent there confirmed, and
    /// when it did last. The order of the fields makes a confirmation by a
    /// replica that is behind lose against one of a higher revision.
    confirmed: Option<(u64, Instant)>,
    /// When the store last answered an agent there, whatever the revision.
    store_answered: Option<Instant>,
    /// When any agent there was last known to speak.
    last_received: Option<Instant>,
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
    /// Age of the newest answer of the store, whatever its revision.
    pub store_answered: Option<Duration>,
    /// Age of the newest word from any agent there.
    pub last_received: Option<Duration>,
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
    Isolated(IsolationCause),
}

/// The first condition that kept the state from being valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IsolationCause {
    /// The VM holds nothing yet.
    Empty,
    /// Some agent holds a revision above the held one, or reaches the store
    /// without a confirmation of the held one.
    Behind,
    /// No other agent has replied, although there are other VMs.
    PeersUnreachable,
    /// A region with live VMs has not been heard from.
    RegionUnreachable,
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
        Self::with_max_age(region, MAX_EVIDENCE_AGE)
    }

    /// Creates a tracker that counts evidence up to the age `fresh_for`.
    ///
    /// A bound under a few pull rounds makes healthy VMs isolated; a long
    /// bound lets withdrawn keys work for that long.
    pub fn with_max_age(region: RegionName, fresh_for: Duration) -> Self {
        Self {
            region,
            fresh_for,
            regions: BTreeMap::new(),
            covered: None,
            replied: None,
        }
    }

    /// Notes that the store itself answered with `revision` to a request sent
    /// at `sent_at`. Call [`update_held_confirmation`](Self::update_held_confirmation) after it.
    pub fn record_confirmation(&mut self, sent_at: Instant, revision: u64) {
        let region = self.region.clone();
        self.note(
            &region,
            Evidence {
                confirmed: Some((revision, sent_at)),
                store_answered: Some(sent_at),
                last_received: Some(sent_at),
                revision,
            },
        );
    }

    /// Notes that an agent of `region`, which holds `revision`, replied to a
    /// request sent at `sent_at`.
    pub fn record_reply(&mut self, sent_at: Instant, region: &RegionName, revision: u64) {
        self.replied = self.replied.max(Some(sent_at));
        self.note(
            region,
            Evidence {
                confirmed: None,
                store_answered: None,
                last_received: Some(sent_at),
                revision,
            },
        );
    }

    /// Notes that an agent of the own region, or an operator, knows of `revision`.
    pub fn record_known_revision(&mut self, revision: u64) {
        let region = self.region.clone();
        let evidence = Evidence {
            revision,
            ..Evidence::default()
        };
        self.note(&region, evidence);
    }

    /// Takes in the ages of a reply to a request sent at `sent_at`. Call
    /// [`update_held_confirmation`](Self::update_held_confirmation) after it.
    pub fn record_ages<'a>(
        &mut self,
        sent_at: Instant,
        ages: impl IntoIterator<Item = &'a RegionAges>,
    ) {
        self.replied = self.replied.max(Some(sent_at));
        for age in ages {
            // An age beyond what the clock can represent is no evidence.
            let confirmed = age
                .confirmed
                .and_then(|(a, revision)| Some((revision, sent_at.checked_sub(a)?)));
            let store_answered = age.store_answered.and_then(|a| sent_at.checked_sub(a));
            let last_received = age.last_received.and_then(|a| sent_at.checked_sub(a));
            self.note(
                &age.region,
                Evidence {
                    confirmed,
                    store_answered,
                    last_received,
                    revision: age.revision,
                },
            );
        }
    }

    /// Counts the confirmations of `held`, the revision that this VM holds now.
    /// To be called after every change of the held revision or the evidence:
    /// what a confirmation proves stays true when a newer one replaces it.
    ///
    /// A confirmation of a lower revision proves nothing, because it may come
    /// from a replica of the store that is behind.
    pub fn update_held_confirmation(&mut self, held: u64) {
        self.covered = self.covered_by(held);
    }

    /// The evidence as ages at `now`, for a reply by an agent that holds `held`.
    pub fn ages(&self, now: Instant, held: u64) -> Vec<RegionAges> {
        let mut all = self.regions.clone();
        let own = all.entry(self.region.clone()).or_default();
        own.last_received = Some(now);
        own.revision = own.revision.max(held);
        let covered = self.covered_by(held).map(|at| (held, at));
        own.confirmed = own.confirmed.filter(|&(r, _)| r <= held).max(covered);
        let age = |at: Instant| now.saturating_duration_since(at);
        all.into_iter()
            .map(|(region, evidence)| RegionAges {
                region,
                // A confirmation above the held revision would not help the
                // receiver, which has at most this revision after the reply.
                confirmed: evidence
                    .confirmed
                    .filter(|&(revision, _)| revision <= held)
                    .map(|(revision, at)| (age(at), revision)),
                store_answered: evidence.store_answered.map(age),
                last_received: evidence.last_received.map(age),
                revision: evidence.revision,
            })
            .collect()
    }

    /// The state at `now` of a VM that holds revision `held`.
    ///
    /// `live_regions` are the regions that have live VMs in the platform's
    /// list. `alone` says that it lists no live VM besides this one.
    pub fn freshness(
        &self,
        now: Instant,
        held: u64,
        live_regions: &BTreeSet<RegionName>,
        alone: bool,
    ) -> Freshness {
        let fresh = self
            .covered_by(held)
            .map(|at| at + self.fresh_for)
            .filter(|until| now <= *until);
        match (fresh, self.outage(now, held, live_regions, alone)) {
            (Some(fresh), Ok(outage)) if outage <= fresh => Freshness::Fresh { until: fresh },
            (_, Ok(until)) => Freshness::StoreOutage { until },
            (Some(until), Err(_)) => Freshness::Fresh { until },
            (None, Err(cause)) => Freshness::Isolated(cause),
        }
    }

    /// Until when the state is valid because nobody reaches the store.
    fn outage(
        &self,
        now: Instant,
        held: u64,
        live_regions: &BTreeSet<RegionName>,
        alone: bool,
    ) -> Result<Instant, IsolationCause> {
        let young = |at: Instant| now.saturating_duration_since(at) <= self.fresh_for;
        // An outage counts from a little before the last confirmation is too
        // old, so that a VM does not refuse requests in between. The eighth
        // (625 ms) covers two answers of an agent to its entry, 250 ms apart.
        let unreached_for = self.fresh_for - self.fresh_for / 8;
        let recent = |at: Instant| now.saturating_duration_since(at) <= unreached_for;
        if held == 0 {
            return Err(IsolationCause::Empty);
        }
        let store_answered = self.regions.values().filter_map(|e| e.store_answered);
        if store_answered.max().is_some_and(recent)
            || self.regions.values().any(|e| e.revision > held)
        {
            return Err(IsolationCause::Behind);
        }
        let mut until = now + self.fresh_for;
        if !alone {
            // Without this, a VM of a fleet in one region that is cut off
            // would take the cut for an outage of the store.
            match self.replied {
                Some(at) if young(at) => until = at + self.fresh_for,
                _ => return Err(IsolationCause::PeersUnreachable),
            }
        }
        for region in live_regions.iter().filter(|r| **r != self.region) {
            match self.regions.get(region).and_then(|e| e.last_received) {
                Some(at) if young(at) => until = until.min(at + self.fresh_for),
                _ => return Err(IsolationCause::RegionUnreachable),
            }
        }
        Ok(until)
    }

    /// The newest instant at which the store is known to have held nothing
    /// above the held revision.
    pub fn held_confirmed_at(&self) -> Option<Instant> {
        self.covered
    }

    /// Reports whether every one of `regions` is known to hold `revision`.
    pub fn all_regions_hold(&self, revision: u64, regions: &BTreeSet<RegionName>) -> bool {
        regions.iter().all(|region| {
            self.regions
                .get(region)
                .is_some_and(|e| e.revision >= revision)
        })
    }

    fn covered_by(&self, held: u64) -> Option<Instant> {
        let confirmed = self.regions.values().filter_map(|e| e.confirmed);
        let covering = confirmed
            .filter(|&(revision, _)| revision == held)
            .map(|(_, at)| at);
        covering.max().max(self.covered)
    }

    fn note(&mut self, region: &RegionName, new: Evidence) {
        let evidence = self.regions.entry(region.clone()).or_default();
        evidence.confirmed = evidence.confirmed.max(new.confirmed);
        evidence.store_answered = evidence.store_answered.max(new.store_answered);
        evidence.last_received = evidence.last_received.max(new.last_received);
        evidence.revision = evidence.revision.max(new.revision);
    }
}
