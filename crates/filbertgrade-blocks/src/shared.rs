//! The table that look-ups read while newer ones replace it.

use std::net::IpAddr;
use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};

use crate::delta::BlockDelta;
use crate::entry::SiteId;
use crate::error::{DeltaError, DeltaKind};
use crate::table::BlockTable;

/// Holds the present table. Readers take no lock; a newer table replaces it as a whole.
#[derive(Debug)]
pub struct SharedBlockTable {
    present: ArcSwap<BlockTable>,
}

impl SharedBlockTable {
    /// Starts with the given table.
    pub fn new(table: BlockTable) -> SharedBlockTable {
        SharedBlockTable {
            present: ArcSwap::from_pointee(table),
        }
    }

    /// Returns the present table. Several look-ups through one guard see one version.
    pub fn load(&self) -> Guard<Arc<BlockTable>> {
        self.present.load()
    }

    /// Looks up one address in the present table.
    #[inline]
    pub fn lookup(&self, addr: IpAddr) -> Option<SiteId> {
        self.present.load().lookup(addr)
    }

    /// Replaces the table with a newer one and returns the replaced one, so that the caller
    /// decides which thread frees it.
    ///
    /// # Errors
    ///
    /// Fails if the present version is not lower than the new one.
    pub fn publish(&self, table: &Arc<BlockTable>) -> Result<Arc<BlockTable>, DeltaError> {
        loop {
            let present = self.present.load_full();
            if table.version() <= present.version() {
                let (base, new) = (present.version(), table.version());
                return Err(DeltaKind::Backward { base, new }.into());
            }
            let seen = self.present.compare_and_swap(&present, Arc::clone(table));
            if Arc::ptr_eq(&seen, &present) {
                return Ok(present);
            }
        }
    }

    /// Applies a delta to the present table and publishes the result.
    ///
    /// # Errors
    ///
    /// Fails as [`BlockTable::apply`] and [`SharedBlockTable::publish`] do; the present table
    /// then stays.
    pub fn apply(&self, delta: &BlockDelta) -> Result<Arc<BlockTable>, DeltaError> {
        let table = self.load().apply(delta)?;
        self.publish(&Arc::new(table))
    }
}
