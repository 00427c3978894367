//! A table that can be replaced while lookups read it.

use std::net::IpAddr;
use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};

use crate::delta::BlockDelta;
use crate::entry::SiteId;
use crate::error::{DeltaError, DeltaErrorKind};
use crate::table::BlockTable;

/// Holds the current table. Readers take no lock, and a newer table replaces the current one
/// atomically.
#[derive(Debug)]
pub struct SharedBlockTable {
    current: ArcSwap<BlockTable>,
}

impl SharedBlockTable {
    /// Makes `table` the current table.
    pub fn new(table: BlockTable) -> SharedBlockTable {
        SharedBlockTable {
            current: ArcSwap::from_pointee(table),
        }
    }

    /// Returns the current table. All lookups through the returned guard use the same version.
    pub fn load(&self) -> Guard<Arc<BlockTable>> {
        self.current.load()
    }

    /// Looks up one address in the current table.
    #[inline]
    pub fn lookup(&self, addr: IpAddr) -> Option<SiteId> {
        self.current.load().lookup(addr)
    }

    /// Replaces the table with a newer one. Returns the replaced table, so that the caller decides
    /// which thread frees its memory.
    ///
    /// # Errors
    ///
    /// Fails if the version of `table` is not higher than the current one.
    pub fn publish(&self, table: &Arc<BlockTable>) -> Result<Arc<BlockTable>, DeltaError> {
        loop {
            let current = self.current.load_full();
            if table.version() <= current.version() {
                let (base, new) = (current.version(), table.version());
                return Err(DeltaErrorKind::NotNewer { base, new }.into());
            }
            let previous = self.current.compare_and_swap(&current, Arc::clone(table));
            if Arc::ptr_eq(&previous, &current) {
                return Ok(current);
            }
        }
    }

    /// Applies a delta to the current table and publishes the result. Returns the replaced table.
    ///
    /// # Errors
    ///
    /// Fails like [`BlockTable::apply`] and [`SharedBlockTable::publish`]; the current table then
    /// stays in place.
    pub fn apply(&self, delta: &BlockDelta) -> Result<Arc<BlockTable>, DeltaError> {
        let table = self.load().apply(delta)?;
        self.publish(&Arc::new(table))
    }
}
