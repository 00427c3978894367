//! A table of which only some chunks have been received, and the results of lookups in it.

use std::net::IpAddr;

use crate::chunk::Manifest;
use crate::entry::{PageEntry, PageKey, SiteId};
use crate::error::{DecodeError, DecodeErrorKind};
use crate::page::Page;
use crate::table::{BlockTable, page_of};

/// The result of a lookup in a table that may be partly loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The site of the longest matching prefix.
    Site(SiteId),
    /// All chunks that could cover the address are loaded, and no prefix covers it.
    NoBlock,
    /// A chunk that may hold the longest matching prefix is not loaded yet.
    NotLoaded,
}

/// Converts the result of a lookup in a whole table, so that it is never `NotLoaded`.
impl From<Option<SiteId>> for LookupResult {
    fn from(site: Option<SiteId>) -> LookupResult {
        site.map_or(LookupResult::NoBlock, LookupResult::Site)
    }
}

/// Why the default order of sites was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultCause {
    /// No prefix covers the address.
    NoBlock,
    /// A chunk that may hold the longest matching prefix is not loaded yet.
    NotLoaded,
}

/// The site or sites that a caller should use for an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteSelection<'a> {
    /// The site of the longest matching prefix.
    Site(SiteId),
    /// The configured default, because the table has no site for the address.
    Default {
        /// The sites, most preferred first. Empty if no order is configured.
        order: &'a [SiteId],
        /// Why the table has no site for the address.
        cause: DefaultCause,
    },
}

/// The configured order of sites for addresses without a site in the loaded part of the table, most
/// preferred first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DefaultOrder(pub Vec<SiteId>);

impl DefaultOrder {
    /// Returns the site that the lookup found, or else the default order with the cause.
    pub fn select(&self, lookup: LookupResult) -> SiteSelection<'_> {
        let cause = match lookup {
            LookupResult::Site(site) => return SiteSelection::Site(site),
            LookupResult::NoBlock => DefaultCause::NoBlock,
            LookupResult::NotLoaded => DefaultCause::NotLoaded,
        };
        SiteSelection::Default {
            order: &self.0,
            cause,
        }
    }
}

/// The table built from those chunks of one manifest that have been received so far.
///
/// Clones share their pages, so giving readers a new clone after each chunk is cheap.
#[derive(Clone, Debug)]
pub struct PartialTable {
    manifest: Manifest,
    /// One flag per chunk of the manifest.
    loaded: Vec<bool>,
    table: BlockTable,
}

impl PartialTable {
    /// Creates a table without any loaded chunk.
    pub fn new(manifest: Manifest) -> PartialTable {
        let loaded = vec![false; manifest.chunks().len()];
        let table = BlockTable::empty(manifest.version());
        PartialTable {
            manifest,
            loaded,
            table,
        }
    }

    /// Loads the chunk at `index` of the manifest. A chunk that is already loaded is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not match the chunk's digest or are not a valid encoding; the table is
    /// then unchanged.
    ///
    /// # Panics
    ///
    /// Panics if the manifest has no chunk at `index`.
    pub fn insert(&mut self, index: usize, bytes: &[u8]) -> Result<(), DecodeError> {
        if self.loaded[index] {
            return Ok(());
        }
        let mut pages = Vec::new();
        for (page_key, entries) in self.manifest.chunks()[index].decode(bytes)? {
            let entries = match self.table.page(page_key) {
                Some(page) => merge_page_parts(page, entries)?,
                None => entries,
            };
            pages.push((page_key, Page::new(page_key.width(), &entries)));
        }
        self.table.replace_pages(pages);
        self.loaded[index] = true;
        Ok(())
    }

    /// Looks up an address in the loaded chunks.
    pub fn lookup(&self, addr: IpAddr) -> LookupResult {
        let (page_key, _) = page_of(addr);
        if !self.is_page_loaded(page_key) {
            return LookupResult::NotLoaded;
        }
        // Prefixes in the address's own page are longer than all others, so a match there is final
        // whether or not the page of short prefixes is loaded.
        if let Some(site) = self.table.lookup_own_page(addr) {
            return LookupResult::Site(site);
        }
        let short_prefixes = if addr.is_ipv4() {
            PageKey::ShortV4
        } else {
            PageKey::ShortV6
        };
        if !self.is_page_loaded(short_prefixes) {
            return LookupResult::NotLoaded;
        }
        self.table.lookup(addr).into()
    }

    /// Returns the number of loaded chunks and the number of all chunks.
    pub fn progress(&self) -> (usize, usize) {
        (
            self.loaded.iter().filter(|&&loaded| loaded).count(),
            self.loaded.len(),
        )
    }

    /// Returns the whole table if every chunk is loaded, and otherwise the partial table unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the number of entries in the chunks differs from the one in the manifest.
    pub fn finish(self) -> Result<Result<BlockTable, PartialTable>, DecodeError> {
        if self.loaded.contains(&false) {
            return Ok(Err(self));
        }
        let (expected, found) = (self.manifest.entry_count(), self.table.entry_count());
        if expected != found {
            return Err(DecodeErrorKind::EntryCount { expected, found }.into());
        }
        Ok(Ok(self.table))
    }

    /// Reports whether all chunks that cover the page are loaded.
    fn is_page_loaded(&self, page_key: PageKey) -> bool {
        self.loaded[self.manifest.chunks_of_page(page_key)]
            .iter()
            .all(|&loaded| loaded)
    }
}

/// Adds the entries of one chunk to a page that spans several chunks. Chunks may arrive in any
/// order.
fn merge_page_parts(page: &Page, entries: Vec<PageEntry>) -> Result<Vec<PageEntry>, DecodeError> {
    let mut merged = entries;
    merged.extend(page.entries());
    merged.sort_unstable_by_key(PageEntry::sort_key);
    if merged
        .windows(2)
        .any(|pair| pair[0].sort_key() == pair[1].sort_key())
    {
        return Err(DecodeErrorKind::NotAscending.into());
    }
    Ok(merged)
}
