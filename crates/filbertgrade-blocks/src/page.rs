//! Pages: the entries of one slot in encoded form, and the disjoint ranges they flatten to.

use crate::codec::{EntryReader, EntryWriter};
use crate::entry::{Local, SiteId};

/// Marks a range that no prefix of the page covers.
pub(crate) const INHERIT: u16 = SiteId::RESERVED.0;

/// The entries of one slot. Immutable; tables share pages that did not change.
#[derive(Debug)]
pub(crate) struct Page {
    /// The entries as the chunk codec writes them. Keeping this form takes about 3 bytes per
    /// entry and makes encoding a whole copy a matter of joining pages.
    source: Box<[u8]>,
    entries: u32,
    width: u8,
    starts: Starts,
    /// The site of each range, or [`INHERIT`]. As long as `starts`.
    sites: Box<[u16]>,
}

/// First addresses of the ranges, ascending. The first is always zero.
#[derive(Debug)]
enum Starts {
    U16(Box<[u16]>),
    /// The upper 32 of the bits that the page resolves.
    U32(Box<[u32]>),
    U128(Box<[u128]>),
}

impl Page {
    /// Builds a page from entries in ascending order without repeats.
    pub(crate) fn new(width: u8, entries: &[Local]) -> Page {
        let mut writer = EntryWriter::new(width);
        for entry in entries {
            writer.push(entry);
        }
        let ranges = flatten(width, entries);
        let sites = ranges.iter().map(|&(_, site)| site).collect();
        let starts = if width == 16 {
            Starts::U16(ranges.iter().map(|&(start, _)| start as u16).collect())
        } else if entries.iter().all(|entry| entry.len <= 32) {
            Starts::U32(
                ranges
                    .iter()
                    .map(|&(start, _)| (start >> (width - 32)) as u32)
                    .collect(),
            )
        } else {
            Starts::U128(ranges.iter().map(|&(start, _)| start).collect())
        };
        let source = writer.finish().into_boxed_slice();
        Page {
            source,
            entries: entries.len() as u32,
            width,
            starts,
            sites,
        }
    }

    /// Returns the site of the longest matching prefix of the page, or [`INHERIT`].
    #[inline]
    pub(crate) fn search(&self, low: u128) -> u16 {
        let after = match &self.starts {
            Starts::U16(starts) => {
                let low = low as u16;
                starts.partition_point(|&start| start <= low)
            }
            Starts::U32(starts) => {
                let low = (low >> (self.width - 32)) as u32;
                starts.partition_point(|&start| start <= low)
            }
            Starts::U128(starts) => starts.partition_point(|&start| start <= low),
        };
        self.sites[after - 1]
    }

    pub(crate) fn entry_count(&self) -> u32 {
        self.entries
    }

    pub(crate) fn range_count(&self) -> usize {
        self.sites.len()
    }

    pub(crate) fn source(&self) -> &[u8] {
        &self.source
    }

    pub(crate) fn locals(&self) -> impl Iterator<Item = Local> + '_ {
        EntryReader::new(self.width, &self.source)
            .map(|entry| entry.expect("the source of a page was written by EntryWriter"))
    }

    /// Returns the heap bytes of the page, including the page itself behind its `Arc`.
    pub(crate) fn heap_bytes(&self) -> usize {
        // An Arc stores two counters before its value.
        let own = size_of::<Page>() + 2 * size_of::<usize>();
        let starts = match &self.starts {
            Starts::U16(starts) => size_of_val::<[u16]>(starts),
            Starts::U32(starts) => size_of_val::<[u32]>(starts),
            Starts::U128(starts) => size_of_val::<[u128]>(starts),
        };
        own + self.source.len() + starts + size_of_val::<[u16]>(&self.sites)
    }
}

/// Turns nested prefixes into disjoint ranges that cover the whole page.
fn flatten(width: u8, entries: &[Local]) -> Vec<(u128, u16)> {
    let mut ranges = Vec::with_capacity(entries.len() + 1);
    ranges.push((0, INHERIT));
    // Enclosing prefixes, outermost first: first address after the prefix, and its site.
    let mut open: Vec<(u128, u16)> = Vec::new();
    let close = |ranges: &mut Vec<_>, open: &mut Vec<(u128, u16)>, until: u128| {
        while let Some(&(end, _)) = open.last()
            && end <= until
        {
            open.pop();
            let site = open.last().map_or(INHERIT, |&(_, site)| site);
            push_range(ranges, end, site);
        }
    };
    for entry in entries {
        close(&mut ranges, &mut open, entry.low);
        push_range(&mut ranges, entry.low, entry.site);
        open.push((entry.low + (1 << (width - entry.len)), entry.site));
    }
    let page_end = 1 << width;
    close(&mut ranges, &mut open, page_end - 1);
    ranges
}

/// Adds a range, replacing one of zero length and merging with one of the same site.
fn push_range(ranges: &mut Vec<(u128, u16)>, start: u128, site: u16) {
    if ranges.last().is_some_and(|last| last.0 == start) {
        ranges.pop();
    }
    if ranges.last().is_none_or(|last| last.1 != site) {
        ranges.push((start, site));
    }
}
