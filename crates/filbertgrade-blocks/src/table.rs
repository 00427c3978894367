//! The table: pages indexed by address, and lookups in them.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

use crate::delta::BlockDelta;
use crate::entry::{BlockEntry, PageEntry, PageKey, SiteId, locate, prefix_of};
use crate::error::{BuildError, BuildErrorKind, DeltaError, DeltaErrorKind};
use crate::page::{NO_MATCH, Page};

/// The IPv4 pages of one /8, indexed by the second byte of the address.
type V4Group = [Option<Arc<Page>>; 256];

/// Size of the strong and weak counters that an `Arc` stores before its value.
const ARC_COUNTERS_BYTES: usize = 2 * size_of::<usize>();

/// The version of a table. A table is only ever replaced by one with a higher version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An immutable table from client blocks to sites.
///
/// IPv4 prefixes of 16 bits or more are stored in one page per /16, IPv6 prefixes of 32 bits or
/// more in one page per /32. Shorter prefixes are stored in one page per address family, which is
/// searched if the address's own page has no match. Each page is flattened to disjoint ranges, so a
/// lookup finds the page by the leading address bits and does a binary search in it. A lookup
/// takes no lock and allocates no memory.
#[derive(Clone, Debug)]
pub struct BlockTable {
    version: Version,
    /// IPv4 prefixes shorter than 16 bits.
    short_v4: Arc<Page>,
    /// IPv6 prefixes shorter than 32 bits.
    short_v6: Arc<Page>,
    /// Groups of IPv4 pages, indexed by the first byte of the address. Versions of a table share
    /// the groups that are equal, because cloning every page pointer takes about 1 ms with 5
    /// million blocks.
    v4: Box<[Arc<V4Group>; 256]>,
    v6: Arc<V6Directory>,
}

/// The IPv6 pages, shared by versions of a table between which no IPv6 page changes.
#[derive(Clone, Debug, Default)]
struct V6Directory {
    /// Upper 32 bits of the addresses in each page, ascending.
    keys: Box<[u32]>,
    /// The pages, in the order of `keys`.
    pages: Box<[Arc<Page>]>,
}

impl BlockTable {
    /// Creates a table without entries.
    pub fn empty(version: Version) -> BlockTable {
        let empty_group = Arc::new([const { None }; 256]);
        BlockTable {
            version,
            short_v4: Arc::new(Page::new(PageKey::ShortV4.width(), &[])),
            short_v6: Arc::new(Page::new(PageKey::ShortV6.width(), &[])),
            v4: Box::new(std::array::from_fn(|_| Arc::clone(&empty_group))),
            v6: Arc::default(),
        }
    }

    /// Builds a table from entries in any order.
    ///
    /// # Errors
    ///
    /// Fails on a prefix with host bits set, on the reserved site and on a duplicate prefix. The
    /// error contains the prefix.
    pub fn build(version: Version, entries: &[BlockEntry]) -> Result<BlockTable, BuildError> {
        let sorted = validate_and_sort(entries)?;
        let mut table = BlockTable::empty(version);
        let mut pages = Vec::new();
        let mut entries = Vec::new();
        for group in sorted.chunk_by(|a, b| a.0 == b.0) {
            let page_key = group[0].0;
            entries.clear();
            entries.extend(group.iter().map(|&(_, page_entry)| page_entry));
            pages.push((page_key, Page::new(page_key.width(), &entries)));
        }
        table.replace_pages(pages);
        Ok(table)
    }

    /// Returns the version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the site of the longest prefix that covers `addr`, or `None` if none does.
    ///
    /// An IPv4-mapped IPv6 address is looked up as an IPv6 address.
    #[inline]
    pub fn lookup(&self, addr: IpAddr) -> Option<SiteId> {
        let (page_key, offset) = page_of(addr);
        let mut site = match self.page(page_key) {
            Some(page) => page.search(offset),
            None => NO_MATCH,
        };
        if site == NO_MATCH {
            site = self.lookup_short_prefixes(page_key);
        }
        (site != NO_MATCH).then_some(SiteId(site))
    }

    /// Returns the site of the longest prefix that covers `addr` and is stored in the address's own
    /// page, ignoring the pages of short prefixes.
    pub(crate) fn lookup_own_page(&self, addr: IpAddr) -> Option<SiteId> {
        let (page_key, offset) = page_of(addr);
        let site = self.page(page_key)?.search(offset);
        (site != NO_MATCH).then_some(SiteId(site))
    }

    /// Iterates over the entries: short IPv4 prefixes, short IPv6 prefixes, then the rest by
    /// address.
    pub fn entries(&self) -> impl Iterator<Item = BlockEntry> + '_ {
        self.pages().flat_map(|(page_key, page)| {
            page.entries().map(move |entry| BlockEntry {
                prefix: prefix_of(page_key, &entry),
                site: SiteId(entry.site),
            })
        })
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> u64 {
        self.pages()
            .map(|(_, page)| u64::from(page.entry_count()))
            .sum()
    }

    /// Returns the number of disjoint ranges, including those without a site.
    pub fn range_count(&self) -> usize {
        self.pages().map(|(_, page)| page.range_count()).sum()
    }

    /// Returns the heap size in bytes, without the overhead of the allocator. Pages shared with
    /// other tables are counted in full.
    pub fn heap_bytes(&self) -> usize {
        let directory = size_of_val(&*self.v4)
            + self.v4.len() * (size_of::<V4Group>() + ARC_COUNTERS_BYTES)
            + size_of::<V6Directory>()
            + ARC_COUNTERS_BYTES
            + size_of_val::<[_]>(&self.v6.keys)
            + size_of_val::<[_]>(&self.v6.pages);
        directory
            + self
                .pages()
                .map(|(_, page)| page.heap_bytes())
                .sum::<usize>()
    }

    /// Returns the table that results from applying a delta. Unchanged pages are shared with
    /// `self`.
    ///
    /// # Errors
    ///
    /// Fails if the delta applies to another version, does not result in a higher one, removes a
    /// prefix that is not in the table, or has an invalid or duplicate entry.
    pub fn apply(&self, delta: &BlockDelta) -> Result<BlockTable, DeltaError> {
        if delta.base != self.version {
            return Err(DeltaErrorKind::BaseMismatch {
                base: delta.base,
                table: self.version,
            }
            .into());
        }
        if delta.version <= delta.base {
            return Err(DeltaErrorKind::NotNewer {
                base: delta.base,
                new: delta.version,
            }
            .into());
        }
        let changes = delta.sorted_changes()?;
        let mut pages = Vec::new();
        for group in changes.chunk_by(|a, b| a.0 == b.0) {
            let page_key = group[0].0;
            let entries = apply_changes(page_key, self.page(page_key), group)?;
            pages.push((page_key, Page::new(page_key.width(), &entries)));
        }
        let mut table = BlockTable {
            version: delta.version,
            ..self.clone()
        };
        table.replace_pages(pages);
        Ok(table)
    }

    /// Iterates over the stored pages in the order of their keys.
    pub(crate) fn pages(&self) -> impl Iterator<Item = (PageKey, &Page)> {
        let short = [
            (PageKey::ShortV4, &*self.short_v4),
            (PageKey::ShortV6, &*self.short_v6),
        ];
        let v4 = self.v4.iter().flat_map(|group| group.iter()).enumerate();
        let v4 = v4.filter_map(|(key, page)| Some((PageKey::V4(key as u16), page.as_deref()?)));
        let v6 = self.v6.keys.iter().zip(&self.v6.pages);
        short
            .into_iter()
            .chain(v4)
            .chain(v6.map(|(&key, page)| (PageKey::V6(key), &**page)))
    }

    /// Returns the page, or `None` if there are no entries for it. The pages of short prefixes
    /// always exist.
    #[inline]
    pub(crate) fn page(&self, page_key: PageKey) -> Option<&Page> {
        match page_key {
            PageKey::ShortV4 => Some(&self.short_v4),
            PageKey::ShortV6 => Some(&self.short_v6),
            PageKey::V4(key) => self.v4[usize::from(key >> 8)][usize::from(key & 0xff)].as_deref(),
            PageKey::V6(key) => {
                let index = self.v6.keys.binary_search(&key).ok()?;
                Some(&self.v6.pages[index])
            }
        }
    }

    /// Replaces pages, given in ascending key order. If the new page has no entries, the page is
    /// removed; the pages of short prefixes stay even when empty.
    pub(crate) fn replace_pages(&mut self, pages: Vec<(PageKey, Page)>) {
        let mut v6 = Vec::new();
        for (page_key, page) in pages {
            match page_key {
                PageKey::ShortV4 => self.short_v4 = Arc::new(page),
                PageKey::ShortV6 => self.short_v6 = Arc::new(page),
                PageKey::V4(key) => {
                    let group = Arc::make_mut(&mut self.v4[usize::from(key >> 8)]);
                    group[usize::from(key & 0xff)] =
                        (page.entry_count() > 0).then(|| Arc::new(page));
                }
                PageKey::V6(key) => v6.push((key, Arc::new(page))),
            }
        }
        if !v6.is_empty() {
            self.v6 = Arc::new(self.v6.replace(v6));
        }
    }

    /// Looks up a whole /16 or /32 among the prefixes that are shorter. Returns [`NO_MATCH`] if
    /// none covers it.
    fn lookup_short_prefixes(&self, page_key: PageKey) -> u16 {
        match page_key {
            PageKey::V4(key) => self.short_v4.search(u128::from(key)),
            PageKey::V6(key) => self.short_v6.search(u128::from(key)),
            PageKey::ShortV4 | PageKey::ShortV6 => NO_MATCH,
        }
    }
}

impl V6Directory {
    /// Returns a directory with some pages added, replaced, or removed if empty. `changed` is in
    /// ascending key order.
    fn replace(&self, changed: Vec<(u32, Arc<Page>)>) -> V6Directory {
        let mut keys = Vec::with_capacity(self.keys.len() + changed.len());
        let mut pages = Vec::with_capacity(keys.capacity());
        // Index of the first page of `self` that is not copied or replaced yet.
        let mut next = 0;
        for (key, page) in changed {
            let until = next + self.keys[next..].partition_point(|&old_key| old_key < key);
            keys.extend_from_slice(&self.keys[next..until]);
            pages.extend_from_slice(&self.pages[next..until]);
            next = until + usize::from(self.keys.get(until) == Some(&key));
            if page.entry_count() > 0 {
                keys.push(key);
                pages.push(page);
            }
        }
        keys.extend_from_slice(&self.keys[next..]);
        pages.extend_from_slice(&self.pages[next..]);
        V6Directory {
            keys: keys.into_boxed_slice(),
            pages: pages.into_boxed_slice(),
        }
    }
}

/// Returns the address's own page, and the offset of the address in it.
#[inline]
pub(crate) fn page_of(addr: IpAddr) -> (PageKey, u128) {
    match addr {
        IpAddr::V4(addr) => {
            let bits = addr.to_bits();
            (PageKey::V4((bits >> 16) as u16), u128::from(bits & 0xffff))
        }
        IpAddr::V6(addr) => {
            let bits = addr.to_bits();
            (PageKey::V6((bits >> 96) as u32), bits & (u128::MAX >> 32))
        }
    }
}

/// Validates entries and sorts them by page and address.
pub(crate) fn validate_and_sort(
    entries: &[BlockEntry],
) -> Result<Vec<(PageKey, PageEntry)>, BuildError> {
    let mut sorted = Vec::with_capacity(entries.len());
    for (index, entry) in entries.iter().enumerate() {
        let prefix = entry.prefix;
        if prefix.trunc() != prefix {
            return Err(BuildErrorKind::HostBits { index, prefix }.into());
        }
        if entry.site == SiteId::RESERVED {
            return Err(BuildErrorKind::ReservedSite { index, prefix }.into());
        }
        sorted.push(locate(&prefix, entry.site));
    }
    sorted.sort_unstable_by_key(|(page_key, page_entry)| (*page_key, page_entry.sort_key()));
    for pair in sorted.windows(2) {
        if (pair[0].0, pair[0].1.sort_key()) == (pair[1].0, pair[1].1.sort_key()) {
            return Err(BuildErrorKind::Duplicate {
                prefix: prefix_of(pair[0].0, &pair[0].1),
            }
            .into());
        }
    }
    Ok(sorted)
}

/// One change to a page: the page, the entry, and whether the entry is removed. The site of a
/// removed entry has no meaning.
pub(crate) type Change = (PageKey, PageEntry, bool);

/// Applies changes, in ascending order, to the entries of a page.
fn apply_changes(
    page_key: PageKey,
    page: Option<&Page>,
    changes: &[Change],
) -> Result<Vec<PageEntry>, DeltaError> {
    let mut merged = Vec::new();
    let mut old_entries = page.into_iter().flat_map(Page::entries).peekable();
    for (_, change, removed) in changes {
        while let Some(entry) = old_entries.next_if(|entry| entry.sort_key() < change.sort_key()) {
            merged.push(entry);
        }
        let is_present = old_entries
            .next_if(|entry| entry.sort_key() == change.sort_key())
            .is_some();
        if !removed {
            merged.push(*change);
        } else if !is_present {
            return Err(DeltaErrorKind::NotInTable {
                prefix: prefix_of(page_key, change),
            }
            .into());
        }
    }
    merged.extend(old_entries);
    Ok(merged)
}
