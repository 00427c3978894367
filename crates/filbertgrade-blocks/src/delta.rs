//! Changes from one version of the table to the next.

use ipnet::IpNet;

use crate::entry::{BlockEntry, Local, SiteId, Slot, locate, prefix_of};
use crate::error::{BuildKind, DeltaError, DeltaKind};
use crate::table::{Change, Version, locate_all};

/// The changes that turn one version of a table into a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockDelta {
    /// The version that the delta applies to.
    pub base: Version,
    /// The version that results. Higher than `base`.
    pub version: Version,
    /// Entries to add, or to change the site of.
    pub set: Vec<BlockEntry>,
    /// Prefixes to remove. Each must be present.
    pub removed: Vec<IpNet>,
}

impl BlockDelta {
    /// Checks the entries and returns all changes sorted by page and address.
    pub(crate) fn located(&self) -> Result<Vec<Change>, DeltaError> {
        let set = locate_all(&self.set).map_err(DeltaKind::Entry)?;
        let mut changes: Vec<Change> = set
            .into_iter()
            .map(|(slot, local)| (slot, local, false))
            .collect();
        for (index, prefix) in self.removed.iter().enumerate() {
            if prefix.trunc() != *prefix {
                let kind = BuildKind::HostBits {
                    index,
                    prefix: *prefix,
                };
                return Err(DeltaKind::Entry(kind.into()).into());
            }
            let (slot, local) = locate(prefix, SiteId(0));
            changes.push((slot, local, true));
        }
        let key = |&(slot, local, _): &(Slot, Local, bool)| (slot, local.key());
        changes.sort_unstable_by_key(key);
        for pair in changes.windows(2) {
            if key(&pair[0]) == key(&pair[1]) {
                let kind = BuildKind::Repeated {
                    prefix: prefix_of(pair[0].0, &pair[0].1),
                };
                return Err(DeltaKind::Entry(kind.into()).into());
            }
        }
        Ok(changes)
    }
}
