//! Decides whether the copy of the store that this VM holds is recent enough to
//! be used.
//!
//! The copy is valid while there is evidence, not older than a bound, that the
//! store has nothing newer. This is either a confirmation of the held revision
//! by the store, or the evidence that no agent of any region reaches the store,
//! in which case nothing can have changed.
//!
//! Messages state the age of evidence and not its time, so clocks need not
//! agree. If an agent sent a request at its local time `s` and the reply states
//! the age `a`, the evidence is dated `s - a`. This can make it look older than
//! it is, and never newer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::names::RegionName;

/// Maximum age of a confirmation or a reply that is used as evidence.
///
/// It is also the bound within which a withdrawn key stops working.
pub const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(5);

/// Collects evidence about the store and about the agents of each region.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    own_region: RegionName,
    max_age: Duration,
    regions: BTreeMap<RegionName, Evidence>,
    /// The newest instant at which the store is known to have had nothing newer
    /// than the revision that this VM holds.
    held_confirmed_at: Option<Instant>,
    /// Send time of the newest request that another agent replied to.
    last_reply: Option<Instant>,
}

/// The newest evidence from the agents of one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Evidence {
    /// The highest revision that the store reported to an agent of the region,
    /// and when it last did so. The revision comes first so that the maximum of
    /// two confirmations is the one with the higher revision: a response
    /// from a store replica that is behind does not replace it.
    confirmed: Option<(u64, Instant)>,
    /// When the store last responded to an agent of the region, with any revision.
    store_responded: Option<Instant>,
    /// The newest instant at which any agent of the region is known to have
    /// been running.
    last_received: Option<Instant>,
    /// The newest revision that any agent of the region is known to hold.
    revision: u64,
}

/// The newest evidence from the agents of one region, as ages for a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionAges {
    /// The region of the agents.
    pub region: RegionName,
    /// Age of the newest confirmation by the store, and the revision that it
    /// confirmed. `None` if there is none of a revision that the sender holds.
    pub confirmed: Option<(Duration, u64)>,
    /// Age of the newest response of the store with any revision, or `None` if no
    /// agent of the region is known to have received one.
    pub store_responded: Option<Duration>,
    /// Time since any agent of the region was last known to run, or `None` if no
    /// message from the region is known.
    pub last_received: Option<Duration>,
    /// The newest revision that any agent of the region is known to hold.
    pub revision: u64,
}

/// Whether the held state may be used, and until when without further evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The store confirmed the held revision within the maximum age.
    Fresh {
        /// The state is valid up to this instant; newer evidence extends it.
        until: Instant,
    },
    /// No agent reaches the store, so it cannot have accepted a change.
    StoreOutage {
        /// The state is valid up to this instant; newer evidence extends it.
        until: Instant,
    },
    /// Newer state may exist. API keys must not be accepted, and the base share
    /// of the rate must not be used.
    Isolated(IsolationCause),
}

/// Why the held state is not valid. If there are several causes, it is the first
/// in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IsolationCause {
    /// The VM has not received any state yet.
    Empty,
    /// Some agent holds a newer revision, or an agent reaches the store but there
    /// is no recent confirmation of the held revision.
    Behind,
    /// No other agent has replied within the maximum age, although there are
    /// other VMs. This VM may be cut off from the network.
    PeersUnreachable,
    /// There is no recent evidence that an agent runs in some region with live
    /// VMs. An agent there may reach the store.
    RegionUnreachable,
}

impl Freshness {
    /// Returns the instant up to which API keys and the base share may be used, or
    /// `None` if they must not be used now.
    pub fn valid_until(&self) -> Option<Instant> {
        match *self {
            Freshness::Fresh { until } | Freshness::StoreOutage { until } => Some(until),
            Freshness::Isolated(_) => None,
        }
    }
}

impl FreshnessTracker {
    /// Creates a tracker without evidence for an agent in `own_region`, with the
    /// maximum age [`MAX_EVIDENCE_AGE`].
    pub fn new(own_region: RegionName) -> Self {
        Self::with_max_age(own_region, MAX_EVIDENCE_AGE)
    }

    /// Creates a tracker for an agent in `own_region` that uses evidence up to the
    /// age `max_age`.
    ///
    /// If it is shorter than a few pull rounds, healthy VMs become isolated. If
    /// it is long, withdrawn keys work for that long.
    pub fn with_max_age(own_region: RegionName, max_age: Duration) -> Self {
        Self {
            own_region,
            max_age,
            regions: BTreeMap::new(),
            held_confirmed_at: None,
            last_reply: None,
        }
    }

    /// Records that the store responded to a request of this VM, sent at `sent_at`,
    /// with its newest revision `revision`.
    ///
    /// Call [`update_held_confirmation`](Self::update_held_confirmation) afterwards.
    pub fn record_confirmation(&mut self, sent_at: Instant, revision: u64) {
        let region = self.own_region.clone();
        self.merge_evidence(
            &region,
            Evidence {
                confirmed: Some((revision, sent_at)),
                store_responded: Some(sent_at),
                last_received: Some(sent_at),
                revision,
            },
        );
    }

    /// Records that an agent of `region`, which holds `revision`, replied to a
    /// request sent at `sent_at`.
    pub fn record_reply(&mut self, sent_at: Instant, region: &RegionName, revision: u64) {
        self.last_reply = self.last_reply.max(Some(sent_at));
        self.merge_evidence(
            region,
            Evidence {
                confirmed: None,
                store_responded: None,
                last_received: Some(sent_at),
                revision,
            },
        );
    }

    /// Records that `revision` exists, as reported by a process or an operator of
    /// the VM's own region. It is no evidence of when an agent ran.
    pub fn record_known_revision(&mut self, revision: u64) {
        let region = self.own_region.clone();
        let evidence = Evidence {
            revision,
            ..Evidence::default()
        };
        self.merge_evidence(&region, evidence);
    }

    /// Records the evidence in a reply to a request sent at `sent_at`.
    ///
    /// Call [`update_held_confirmation`](Self::update_held_confirmation) afterwards.
    pub fn record_ages<'a>(
        &mut self,
        sent_at: Instant,
        ages: impl IntoIterator<Item = &'a RegionAges>,
    ) {
        self.last_reply = self.last_reply.max(Some(sent_at));
        for age in ages {
            // An age too long for the clock to represent is ignored.
            let confirmed = age
                .confirmed
                .and_then(|(a, revision)| Some((revision, sent_at.checked_sub(a)?)));
            let store_responded = age.store_responded.and_then(|a| sent_at.checked_sub(a));
            let last_received = age.last_received.and_then(|a| sent_at.checked_sub(a));
            self.merge_evidence(
                &age.region,
                Evidence {
                    confirmed,
                    store_responded,
                    last_received,
                    revision: age.revision,
                },
            );
        }
    }

    /// Updates the time at which the store last confirmed `held`, the revision
    /// that this VM holds now.
    ///
    /// It must be called after every change of the held revision or of the
    /// evidence. A confirmation of `held` is still valid when one of a newer
    /// revision replaces it in the evidence, and would be lost without this call.
    ///
    /// A confirmation of a lower revision is not used, because it may come from a
    /// replica of the store that is behind.
    pub fn update_held_confirmation(&mut self, held: u64) {
        self.held_confirmed_at = self.confirmation_of(held);
    }

    /// Returns the evidence of all regions as ages at `now`, for a reply by this
    /// agent, which holds revision `held`.
    pub fn ages(&self, now: Instant, held: u64) -> Vec<RegionAges> {
        let mut all = self.regions.clone();
        let own = all.entry(self.own_region.clone()).or_default();
        own.last_received = Some(now);
        own.revision = own.revision.max(held);
        let of_held = self.confirmation_of(held).map(|at| (held, at));
        own.confirmed = own.confirmed.filter(|&(r, _)| r <= held).max(of_held);
        let age = |at: Instant| now.saturating_duration_since(at);
        all.into_iter()
            .map(|(region, evidence)| RegionAges {
                region,
                // A confirmation of a revision above `held` is left out: the
                // receiver cannot get beyond `held` with this reply.
                confirmed: evidence
                    .confirmed
                    .filter(|&(revision, _)| revision <= held)
                    .map(|(revision, at)| (age(at), revision)),
                store_responded: evidence.store_responded.map(age),
                last_received: evidence.last_received.map(age),
                revision: evidence.revision,
            })
            .collect()
    }

    /// Decides whether the state of this VM, which holds revision `held`, is valid
    /// at `now`.
    ///
    /// `live_regions` are the regions with live VMs in the platform's list.
    /// `only_vm` is true if the platform lists no live VM besides this one.
    pub fn freshness(
        &self,
        now: Instant,
        held: u64,
        live_regions: &BTreeSet<RegionName>,
        only_vm: bool,
    ) -> Freshness {
        let fresh = self
            .confirmation_of(held)
            .map(|at| at + self.max_age)
            .filter(|until| now <= *until);
        match (
            fresh,
            self.outage_validity(now, held, live_regions, only_vm),
        ) {
            (Some(fresh), Ok(outage)) if outage <= fresh => Freshness::Fresh { until: fresh },
            (_, Ok(until)) => Freshness::StoreOutage { until },
            (Some(until), Err(_)) => Freshness::Fresh { until },
            (None, Err(cause)) => Freshness::Isolated(cause),
        }
    }

    /// Returns until when the state is valid because no agent reaches the store,
    /// or why this is not known to be so.
    fn outage_validity(
        &self,
        now: Instant,
        held: u64,
        live_regions: &BTreeSet<RegionName>,
        only_vm: bool,
    ) -> Result<Instant, IsolationCause> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= self.max_age;
        // An outage is assumed shortly before the last confirmation gets too
        // old, so that a VM does not refuse requests in between. One eighth of
        // the maximum age (625 ms of 5 s) covers two responses of an agent to its
        // entry, which are 250 ms apart.
        let outage_after = self.max_age - self.max_age / 8;
        let responded_recently = |at: Instant| now.saturating_duration_since(at) <= outage_after;
        if held == 0 {
            return Err(IsolationCause::Empty);
        }
        let store_responded = self.regions.values().filter_map(|e| e.store_responded);
        if store_responded.max().is_some_and(responded_recently)
            || self.regions.values().any(|e| e.revision > held)
        {
            return Err(IsolationCause::Behind);
        }
        let mut until = now + self.max_age;
        if !only_vm {
            // Without this check, a VM that is cut off from the network in a fleet
            // of one region would mistake that for an outage of the store.
            match self.last_reply {
                Some(at) if is_recent(at) => until = at + self.max_age,
                _ => return Err(IsolationCause::PeersUnreachable),
            }
        }
        for region in live_regions.iter().filter(|r| **r != self.own_region) {
            match self.regions.get(region).and_then(|e| e.last_received) {
                Some(at) if is_recent(at) => until = until.min(at + self.max_age),
                _ => return Err(IsolationCause::RegionUnreachable),
            }
        }
        Ok(until)
    }

    /// Returns the newest instant at which the store is known to have had nothing
    /// newer than the held revision, or `None` if there was no confirmation.
    pub fn held_confirmed_at(&self) -> Option<Instant> {
        self.held_confirmed_at
    }

    /// Reports whether in each of `regions` some agent is known to hold `revision`
    /// or a newer one.
    pub fn all_regions_hold(&self, revision: u64, regions: &BTreeSet<RegionName>) -> bool {
        regions.iter().all(|region| {
            self.regions
                .get(region)
                .is_some_and(|e| e.revision >= revision)
        })
    }

    /// Returns the time of the newest confirmation of `held`, including those that
    /// were recorded before a confirmation of a newer revision.
    fn confirmation_of(&self, held: u64) -> Option<Instant> {
        let confirmed = self.regions.values().filter_map(|e| e.confirmed);
        let of_held = confirmed
            .filter(|&(revision, _)| revision == held)
            .map(|(_, at)| at);
        of_held.max().max(self.held_confirmed_at)
    }

    /// Merges `new` into the evidence of `region`, keeping the newer of each item.
    fn merge_evidence(&mut self, region: &RegionName, new: Evidence) {
        let evidence = self.regions.entry(region.clone()).or_default();
        evidence.confirmed = evidence.confirmed.max(new.confirmed);
        evidence.store_responded = evidence.store_responded.max(new.store_responded);
        evidence.last_received = evidence.last_received.max(new.last_received);
        evidence.revision = evidence.revision.max(new.revision);
    }
}
