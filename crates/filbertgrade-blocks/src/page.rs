//! A page: the entries under one page key in encoded form, and the disjoint address ranges that
//! they flatten to for lookups.

use crate::codec::{EntryReader, EntryWriter};
use crate::entry::{PageEntry, SiteId};

/// Site value of a range that no prefix of the page covers.
pub(crate) const NO_MATCH: u16 = SiteId::RESERVED.0;

/// The entries under one page key. Immutable; versions of a table share the pages that are equal.
#[derive(Debug)]
pub(crate) struct Page {
    /// The entries in the encoding used in chunks. Storing it takes about 3 bytes per entry and
    /// lets a whole copy be encoded by concatenating pages.
    encoded: Box<[u8]>,
    entry_count: u32,
    /// Address bits that the page distinguishes; see `PageKey::width`.
    width: u8,
    range_starts: RangeStarts,
    /// The site of each range, or [`NO_MATCH`]. Has as many elements as `range_starts`.
    range_sites: Box<[u16]>,
}

/// Offsets of the first address of each range, ascending, in the narrowest type that holds them.
/// The first is always zero.
#[derive(Debug)]
enum RangeStarts {
    U16(Box<[u16]>),
    /// The upper 32 of the page's `width` bits, if no prefix is longer than that.
    U32(Box<[u32]>),
    U128(Box<[u128]>),
}

impl Page {
    /// Builds a page from entries in ascending order without duplicates.
    pub(crate) fn new(width: u8, entries: &[PageEntry]) -> Page {
        let mut writer = EntryWriter::new(width);
        for entry in entries {
            writer.push(entry);
        }
        let ranges = flatten(width, entries);
        let range_sites = ranges.iter().map(|&(_, site)| site).collect();
        let range_starts = if width == 16 {
            RangeStarts::U16(ranges.iter().map(|&(start, _)| start as u16).collect())
        } else if entries.iter().all(|entry| entry.len <= 32) {
            RangeStarts::U32(
                ranges
                    .iter()
                    .map(|&(start, _)| (start >> (width - 32)) as u32)
                    .collect(),
            )
        } else {
            RangeStarts::U128(ranges.iter().map(|&(start, _)| start).collect())
        };
        let encoded = writer.finish().into_boxed_slice();
        Page {
            encoded,
            entry_count: entries.len() as u32,
            width,
            range_starts,
            range_sites,
        }
    }

    /// Returns the site of the longest matching prefix in the page, or [`NO_MATCH`]. `offset` is
    /// the address relative to the start of the page.
    #[inline]
    pub(crate) fn search(&self, offset: u128) -> u16 {
        let next_range = match &self.range_starts {
            RangeStarts::U16(starts) => {
                let offset = offset as u16;
                starts.partition_point(|&start| start <= offset)
            }
            RangeStarts::U32(starts) => {
                let offset = (offset >> (self.width - 32)) as u32;
                starts.partition_point(|&start| start <= offset)
            }
            RangeStarts::U128(starts) => starts.partition_point(|&start| start <= offset),
        };
        self.range_sites[next_range - 1]
    }

    pub(crate) fn entry_count(&self) -> u32 {
        self.entry_count
    }

    pub(crate) fn range_count(&self) -> usize {
        self.range_sites.len()
    }

    pub(crate) fn encoded(&self) -> &[u8] {
        &self.encoded
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = PageEntry> + '_ {
        EntryReader::new(self.width, &self.encoded)
            .map(|entry| entry.expect("the encoded form of a page was written by EntryWriter"))
    }

    /// Returns the heap size in bytes, including the page itself inside its `Arc`.
    pub(crate) fn heap_bytes(&self) -> usize {
        // An Arc stores its strong and weak counters before the value.
        let own = size_of::<Page>() + 2 * size_of::<usize>();
        let starts = match &self.range_starts {
            RangeStarts::U16(starts) => size_of_val::<[u16]>(starts),
            RangeStarts::U32(starts) => size_of_val::<[u32]>(starts),
            RangeStarts::U128(starts) => size_of_val::<[u128]>(starts),
        };
        own + self.encoded.len() + starts + size_of_val::<[u16]>(&self.range_sites)
    }
}

/// Turns nested prefixes into disjoint ranges that cover the whole page. Returns the start and
/// the site of each range.
fn flatten(width: u8, entries: &[PageEntry]) -> Vec<(u128, u16)> {
    let mut ranges = Vec::with_capacity(entries.len() + 1);
    ranges.push((0, NO_MATCH));
    // The prefixes that enclose the current position, outermost first. Each is stored as the
    // offset just past its end, and its site.
    let mut enclosing: Vec<(u128, u16)> = Vec::new();
    let end_prefixes = |ranges: &mut Vec<_>, enclosing: &mut Vec<(u128, u16)>, until: u128| {
        while let Some(&(end, _)) = enclosing.last()
            && end <= until
        {
            enclosing.pop();
            let site = enclosing.last().map_or(NO_MATCH, |&(_, site)| site);
            push_range(ranges, end, site);
        }
    };
    for entry in entries {
        end_prefixes(&mut ranges, &mut enclosing, entry.offset);
        push_range(&mut ranges, entry.offset, entry.site);
        enclosing.push((entry.offset + (1 << (width - entry.len)), entry.site));
    }
    // No range starts after a prefix that ends with the page.
    let page_end = 1 << width;
    end_prefixes(&mut ranges, &mut enclosing, page_end - 1);
    ranges
}

/// Appends a range. The last range is dropped if it would become empty, and the new one is merged
/// into the last one if both have the same site.
fn push_range(ranges: &mut Vec<(u128, u16)>, start: u128, site: u16) {
    if ranges.last().is_some_and(|last| last.0 == start) {
        ranges.pop();
    }
    if ranges.last().is_none_or(|last| last.1 != site) {
        ranges.push((start, site));
    }
}
