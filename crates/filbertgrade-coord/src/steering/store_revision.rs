//! Position in the history of the store.

use std::fmt;

/// A revision of the store, ordered over restores.
///
/// A store that is restored from a copy loses its later changes and gives out
/// their revisions again. Its era rises by one each time, so that a revision
/// identifies a state only together with the era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// Number of the history; compared first.
    pub era: u64,
    /// Number of the change within the history.
    pub number: u64,
}

impl StoreRevision {
    /// A revision of a store that has never been restored.
    #[must_use]
    pub const fn first_era(number: u64) -> Self {
        Self { era: 0, number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number)
    }
}
