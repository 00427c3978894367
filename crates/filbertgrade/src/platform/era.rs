//! Conversion between a [`Revision`] and the number that the store gives it within
//! one era.

use std::sync::atomic::{AtomicU64, Ordering};

use http::{HeaderMap, HeaderName};

use super::Revision;

/// Header of every response: rises by one when the store is restored from a copy.
/// A store without it has never been restored.
const STORE_HISTORY: HeaderName = HeaderName::from_static("x-store-history");

/// Number of low bits of a revision that hold the store's number.
const NUMBER_BITS: u32 = 48;

/// Era of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Era(u64);

impl Era {
    /// Reads the era of a response; `None` if it does not fit into a revision.
    pub(super) fn of_response(headers: &HeaderMap) -> Option<Self> {
        let Some(value) = headers.get(STORE_HISTORY) else {
            return Some(Self(0));
        };
        let era: u64 = value.to_str().ok()?.trim().parse().ok()?;
        (era < 1 << (u64::BITS - NUMBER_BITS)).then_some(Self(era))
    }

    /// Era of a revision.
    pub(super) fn of(revision: Revision) -> Self {
        Self(revision >> NUMBER_BITS)
    }

    /// The revision with this number of the store; `None` if the number is too
    /// large.
    pub(super) fn revision(self, number: u64) -> Option<Revision> {
        (number < 1 << NUMBER_BITS).then_some(self.0 << NUMBER_BITS | number)
    }
}

/// Number of a revision within its era, as the store knows it.
pub(super) fn number(revision: Revision) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}

/// The newest era that responses have shown.
#[derive(Debug, Default)]
pub(super) struct NewestEra(AtomicU64);

impl NewestEra {
    /// Records the era of a response.
    pub(super) fn record(&self, era: Era) {
        let previous = self.0.fetch_max(era.0, Ordering::Relaxed);
        if previous < era.0 {
            log::warn!(
                "event=store_restored kind=all era={} previous={previous}",
                era.0
            );
        }
    }

    /// Whether a revision is of an earlier era, so that no object is at it.
    pub(super) fn is_past(&self, revision: Revision) -> bool {
        Era::of(revision).0 < self.0.load(Ordering::Relaxed)
    }
}
