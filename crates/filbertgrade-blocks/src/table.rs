//! The table: pages by address, and look-ups in them.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

use crate::delta::BlockDelta;
use crate::entry::{BlockEntry, Local, SiteId, Slot, locate, prefix_of};
use crate::error::{BuildError, BuildKind, DeltaError, DeltaKind};
use crate::page::{INHERIT, Page};

/// The IPv4 pages of one /8, by the second byte of the address.
type V4Group = [Option<Arc<Page>>; 256];

/// The strong and weak counters that an `Arc` stores before its value.
const ARC_COUNTERS_BYTES: usize = 2 * size_of::<usize>();

/// The version of a table. Tables only ever move to a higher version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An immutable table from client blocks to sites.
///
/// IPv4 prefixes of 16 bits or more are held in one page per /16, IPv6 prefixes of 32 bits or
/// more in one page per /32, and shorter ones in one page per family that is consulted when the
/// address's own page has no match. Each page is flattened to disjoint ranges, so a look-up is
/// one step to the page and a binary search within it. It takes no lock and allocates nothing.
#[derive(Clone, Debug)]
pub struct BlockTable {
    version: Version,
    wide4: Arc<Page>,
    wide6: Arc<Page>,
    /// By the first byte of the address. Tables share groups without a change, because cloning
    /// every page pointer costs about 1 ms at 5 million blocks.
    v4: Box<[Arc<V4Group>; 256]>,
    v6: Arc<V6Directory>,
}

/// The IPv6 pages, shared by tables while no IPv6 page changes.
#[derive(Clone, Debug, Default)]
struct V6Directory {
    /// Upper 32 bits of the pages, ascending.
    keys: Box<[u32]>,
    /// As long as `keys`.
    pages: Box<[Arc<Page>]>,
}

impl BlockTable {
    /// Creates a table without entries.
    pub fn empty(version: Version) -> BlockTable {
        let empty_group = Arc::new([const { None }; 256]);
        BlockTable {
            version,
            wide4: Arc::new(Page::new(Slot::Wide4.width(), &[])),
            wide6: Arc::new(Page::new(Slot::Wide6.width(), &[])),
            v4: Box::new(std::array::from_fn(|_| Arc::clone(&empty_group))),
            v6: Arc::default(),
        }
    }

    /// Builds a table from entries in any order.
    ///
    /// # Errors
    ///
    /// Fails on a prefix with host bits set, on the reserved site and on a repeated prefix. The
    /// error names the prefix.
    pub fn build(version: Version, entries: &[BlockEntry]) -> Result<BlockTable, BuildError> {
        let located = locate_all(entries)?;
        let mut table = BlockTable::empty(version);
        let mut pages = Vec::new();
        let mut locals = Vec::new();
        for group in located.chunk_by(|a, b| a.0 == b.0) {
            let slot = group[0].0;
            locals.clear();
            locals.extend(group.iter().map(|&(_, local)| local));
            pages.push((slot, Page::new(slot.width(), &locals)));
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
        let (slot, low) = page_of(addr);
        let mut site = match self.page(slot) {
            Some(page) => page.search(low),
            None => INHERIT,
        };
        if site == INHERIT {
            site = self.lookup_wide(slot);
        }
        (site != INHERIT).then_some(SiteId(site))
    }

    /// Returns the site in the page of `addr` alone, without the shorter prefixes.
    pub(crate) fn lookup_narrow(&self, addr: IpAddr) -> Option<SiteId> {
        let (slot, low) = page_of(addr);
        let site = self.page(slot)?.search(low);
        (site != INHERIT).then_some(SiteId(site))
    }

    /// Iterates over the entries: short IPv4 prefixes, short IPv6 prefixes, then the rest by
    /// address.
    pub fn entries(&self) -> impl Iterator<Item = BlockEntry> + '_ {
        self.pages().flat_map(|(slot, page)| {
            page.locals().map(move |local| BlockEntry {
                prefix: prefix_of(slot, &local),
                site: SiteId(local.site),
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

    /// Returns the heap size in bytes, without the allocator's own overhead. Pages shared with
    /// another table are counted in full.
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

    /// Makes the table that results from a delta. Pages without a change are shared.
    ///
    /// # Errors
    ///
    /// Fails if the delta starts from another version, does not move to a higher one, removes a
    /// prefix that the table does not hold, or has an invalid or repeated entry.
    pub fn apply(&self, delta: &BlockDelta) -> Result<BlockTable, DeltaError> {
        if delta.base != self.version {
            return Err(DeltaKind::Base {
                base: delta.base,
                table: self.version,
            }
            .into());
        }
        if delta.version <= delta.base {
            return Err(DeltaKind::Backward {
                base: delta.base,
                new: delta.version,
            }
            .into());
        }
        let changes = delta.located()?;
        let mut pages = Vec::new();
        for group in changes.chunk_by(|a, b| a.0 == b.0) {
            let slot = group[0].0;
            let locals = merge(slot, self.page(slot), group)?;
            pages.push((slot, Page::new(slot.width(), &locals)));
        }
        let mut table = BlockTable {
            version: delta.version,
            ..self.clone()
        };
        table.replace_pages(pages);
        Ok(table)
    }

    /// Iterates over the pages in slot order.
    pub(crate) fn pages(&self) -> impl Iterator<Item = (Slot, &Page)> {
        let wide = [(Slot::Wide4, &*self.wide4), (Slot::Wide6, &*self.wide6)];
        let v4 = self.v4.iter().flat_map(|group| group.iter()).enumerate();
        let v4 = v4.filter_map(|(key, page)| Some((Slot::V4(key as u16), page.as_deref()?)));
        let v6 = self.v6.keys.iter().zip(&self.v6.pages);
        wide.into_iter()
            .chain(v4)
            .chain(v6.map(|(&key, page)| (Slot::V6(key), &**page)))
    }

    #[inline]
    pub(crate) fn page(&self, slot: Slot) -> Option<&Page> {
        match slot {
            Slot::Wide4 => Some(&self.wide4),
            Slot::Wide6 => Some(&self.wide6),
            Slot::V4(key) => self.v4[usize::from(key >> 8)][usize::from(key & 0xff)].as_deref(),
            Slot::V6(key) => {
                let index = self.v6.keys.binary_search(&key).ok()?;
                Some(&self.v6.pages[index])
            }
        }
    }

    /// Replaces pages, given in ascending slot order. A page without entries is dropped.
    pub(crate) fn replace_pages(&mut self, pages: Vec<(Slot, Page)>) {
        let mut v6 = Vec::new();
        for (slot, page) in pages {
            match slot {
                Slot::Wide4 => self.wide4 = Arc::new(page),
                Slot::Wide6 => self.wide6 = Arc::new(page),
                Slot::V4(key) => {
                    let group = Arc::make_mut(&mut self.v4[usize::from(key >> 8)]);
                    group[usize::from(key & 0xff)] =
                        (page.entry_count() > 0).then(|| Arc::new(page));
                }
                Slot::V6(key) => v6.push((key, Arc::new(page))),
            }
        }
        if !v6.is_empty() {
            self.v6 = Arc::new(self.v6.replace(v6));
        }
    }

    fn lookup_wide(&self, slot: Slot) -> u16 {
        match slot {
            Slot::V4(key) => self.wide4.search(u128::from(key)),
            Slot::V6(key) => self.wide6.search(u128::from(key)),
            Slot::Wide4 | Slot::Wide6 => INHERIT,
        }
    }
}

impl V6Directory {
    /// Makes the directory with some pages replaced, given in ascending order.
    fn replace(&self, changed: Vec<(u32, Arc<Page>)>) -> V6Directory {
        let mut keys = Vec::with_capacity(self.keys.len() + changed.len());
        let mut pages = Vec::with_capacity(keys.capacity());
        let mut old = 0;
        for (key, page) in changed {
            let until = old + self.keys[old..].partition_point(|&old_key| old_key < key);
            keys.extend_from_slice(&self.keys[old..until]);
            pages.extend_from_slice(&self.pages[old..until]);
            old = until + usize::from(self.keys.get(until) == Some(&key));
            if page.entry_count() > 0 {
                keys.push(key);
                pages.push(page);
            }
        }
        keys.extend_from_slice(&self.keys[old..]);
        pages.extend_from_slice(&self.pages[old..]);
        V6Directory {
            keys: keys.into_boxed_slice(),
            pages: pages.into_boxed_slice(),
        }
    }
}

/// Returns the page that resolves an address, and the address within it.
#[inline]
pub(crate) fn page_of(addr: IpAddr) -> (Slot, u128) {
    match addr {
        IpAddr::V4(addr) => {
            let bits = addr.to_bits();
            (Slot::V4((bits >> 16) as u16), u128::from(bits & 0xffff))
        }
        IpAddr::V6(addr) => {
            let bits = addr.to_bits();
            (Slot::V6((bits >> 96) as u32), bits & (u128::MAX >> 32))
        }
    }
}

/// Checks entries and sorts them by page and address.
pub(crate) fn locate_all(entries: &[BlockEntry]) -> Result<Vec<(Slot, Local)>, BuildError> {
    let mut located = Vec::with_capacity(entries.len());
    for (index, entry) in entries.iter().enumerate() {
        let prefix = entry.prefix;
        if prefix.trunc() != prefix {
            return Err(BuildKind::HostBits { index, prefix }.into());
        }
        if entry.site == SiteId::RESERVED {
            return Err(BuildKind::ReservedSite { index, prefix }.into());
        }
        located.push(locate(&prefix, entry.site));
    }
    located.sort_unstable_by_key(|(slot, local)| (*slot, local.key()));
    for pair in located.windows(2) {
        if (pair[0].0, pair[0].1.key()) == (pair[1].0, pair[1].1.key()) {
            return Err(BuildKind::Repeated {
                prefix: prefix_of(pair[0].0, &pair[0].1),
            }
            .into());
        }
    }
    Ok(located)
}

/// One change to a page: the entry, or for a removal only its prefix.
pub(crate) type Change = (Slot, Local, bool);

/// Merges the entries of a page with ascending changes, whose last field is true for a removal.
fn merge(slot: Slot, page: Option<&Page>, changes: &[Change]) -> Result<Vec<Local>, DeltaError> {
    let mut merged = Vec::new();
    let mut old = page.into_iter().flat_map(Page::locals).peekable();
    for (_, local, removed) in changes {
        while let Some(entry) = old.next_if(|entry| entry.key() < local.key()) {
            merged.push(entry);
        }
        let present = old.next_if(|entry| entry.key() == local.key()).is_some();
        if !removed {
            merged.push(*local);
        } else if !present {
            return Err(DeltaKind::Missing {
                prefix: prefix_of(slot, local),
            }
            .into());
        }
    }
    merged.extend(old);
    Ok(merged)
}
