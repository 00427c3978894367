//! A table of which only some chunks have arrived, and what look-ups answer meanwhile.

use std::net::IpAddr;

use crate::chunk::Manifest;
use crate::entry::{Local, SiteId, Slot};
use crate::error::{DecodeError, DecodeKind};
use crate::page::Page;
use crate::table::{BlockTable, page_of};

/// The result of a look-up in a table that may be partial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The site of the longest matching prefix.
    Site(SiteId),
    /// The table is known here and no prefix covers the address.
    NoBlock,
    /// The chunk that decides this address has not arrived.
    NotLoaded,
}

/// Converts the result of a look-up in a whole table.
impl From<Option<SiteId>> for Lookup {
    fn from(site: Option<SiteId>) -> Lookup {
        site.map_or(Lookup::NoBlock, Lookup::Site)
    }
}

/// Why an answer is the default order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultCause {
    /// No prefix covers the address.
    NoBlock,
    /// The part of the table that decides this address has not arrived.
    NotLoaded,
}

/// What a look-up answers to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    /// The site of the block that holds the address.
    Site(SiteId),
    /// The configured order of sites, most preferred first.
    Default {
        /// The order. May be empty if none is configured.
        order: &'a [SiteId],
        /// Why no site of a block is given.
        cause: DefaultCause,
    },
}

/// The configured order of sites for addresses that no loaded block covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DefaultOrder(pub Vec<SiteId>);

impl DefaultOrder {
    /// Turns the result of a look-up into an answer.
    pub fn answer(&self, lookup: Lookup) -> Answer<'_> {
        let cause = match lookup {
            Lookup::Site(site) => return Answer::Site(site),
            Lookup::NoBlock => DefaultCause::NoBlock,
            Lookup::NotLoaded => DefaultCause::NotLoaded,
        };
        Answer::Default {
            order: &self.0,
            cause,
        }
    }
}

/// The chunks of one manifest that have arrived so far.
///
/// Cloning shares the pages, so a reader can be handed a clone after each chunk.
#[derive(Clone, Debug)]
pub struct PartialTable {
    manifest: Manifest,
    /// One flag per chunk of the manifest.
    loaded: Vec<bool>,
    table: BlockTable,
}

impl PartialTable {
    /// Starts without any chunk.
    pub fn new(manifest: Manifest) -> PartialTable {
        let loaded = vec![false; manifest.chunks().len()];
        let table = BlockTable::empty(manifest.version());
        PartialTable {
            manifest,
            loaded,
            table,
        }
    }

    /// Adds the chunk at `index` of the manifest. A chunk that is already present is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not those of the chunk; the table then stays as it was.
    ///
    /// # Panics
    ///
    /// Panics if the manifest has no chunk at `index`.
    pub fn insert(&mut self, index: usize, bytes: &[u8]) -> Result<(), DecodeError> {
        if self.loaded[index] {
            return Ok(());
        }
        let mut pages = Vec::new();
        for (slot, locals) in self.manifest.chunks()[index].decode(bytes)? {
            let locals = match self.table.page(slot) {
                Some(page) => join_parts(page, locals)?,
                None => locals,
            };
            pages.push((slot, Page::new(slot.width(), &locals)));
        }
        self.table.replace_pages(pages);
        self.loaded[index] = true;
        Ok(())
    }

    /// Looks up an address in what has arrived.
    pub fn lookup(&self, addr: IpAddr) -> Lookup {
        let (slot, _) = page_of(addr);
        if !self.has(slot) {
            return Lookup::NotLoaded;
        }
        // Prefixes in the address's own page are longer than all others, so a match there
        // holds whether or not the shorter prefixes have arrived.
        if let Some(site) = self.table.lookup_narrow(addr) {
            return Lookup::Site(site);
        }
        let wide = if addr.is_ipv4() {
            Slot::Wide4
        } else {
            Slot::Wide6
        };
        if !self.has(wide) {
            return Lookup::NotLoaded;
        }
        self.table.lookup(addr).into()
    }

    /// Returns the number of chunks that have arrived, and of all chunks.
    pub fn progress(&self) -> (usize, usize) {
        (
            self.loaded.iter().filter(|&&loaded| loaded).count(),
            self.loaded.len(),
        )
    }

    /// Returns the whole table once every chunk has arrived, or else gives the partial one back.
    ///
    /// # Errors
    ///
    /// Fails if the chunks do not hold the number of entries that the manifest states.
    pub fn finish(self) -> Result<Result<BlockTable, PartialTable>, DecodeError> {
        if self.loaded.contains(&false) {
            return Ok(Err(self));
        }
        let (expected, found) = (self.manifest.entry_count(), self.table.entry_count());
        if expected != found {
            return Err(DecodeKind::Count { expected, found }.into());
        }
        Ok(Ok(self.table))
    }

    fn has(&self, slot: Slot) -> bool {
        self.loaded[self.manifest.chunks_of(slot)]
            .iter()
            .all(|&loaded| loaded)
    }
}

/// Joins the parts of a page that spans several chunks, which may arrive in any order.
fn join_parts(page: &Page, locals: Vec<Local>) -> Result<Vec<Local>, DecodeError> {
    let mut joined = locals;
    joined.extend(page.locals());
    joined.sort_unstable_by_key(Local::key);
    if joined.windows(2).any(|pair| pair[0].key() == pair[1].key()) {
        return Err(DecodeKind::Order.into());
    }
    Ok(joined)
}
