//! Table entries, and how each prefix maps to a page and a position within it.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};

/// Identifies a site that client blocks are steered to.
///
/// [`SiteId::RESERVED`] means "no site" inside the table, so entries that carry it are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u16);

impl SiteId {
    /// The only value that is invalid in an entry.
    pub const RESERVED: SiteId = SiteId(u16::MAX);
}

impl fmt::Display for SiteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One client block and the site that serves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BlockEntry {
    /// The address block. Bits after the prefix length must be zero.
    pub prefix: IpNet,
    /// The site that serves addresses whose longest matching prefix is this one.
    pub site: SiteId,
}

/// Ordinal of the first IPv4 page. The pages of short prefixes have the ordinals 0 and 1.
const FIRST_V4_ORDINAL: u64 = 2;
/// Ordinal of the first IPv6 page, after one IPv4 page per /16.
const FIRST_V6_ORDINAL: u64 = FIRST_V4_ORDINAL + (1 << 16);

/// Identifies the page that stores an entry.
///
/// Prefixes too short to fit in one page are stored in a separate page per address family. The
/// order of the variants is the order of pages in an encoded copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PageKey {
    /// IPv4 prefixes shorter than 16 bits.
    ShortV4,
    /// IPv6 prefixes shorter than 32 bits.
    ShortV6,
    /// IPv4 prefixes within one /16, identified by its upper 16 bits.
    V4(u16),
    /// IPv6 prefixes within one /32, identified by its upper 32 bits.
    V6(u32),
}

impl PageKey {
    /// Returns the number of address bits that the page distinguishes, starting after
    /// [`PageKey::fixed_bits`].
    pub(crate) fn width(self) -> u8 {
        match self {
            PageKey::ShortV4 | PageKey::V4(_) => 16,
            PageKey::ShortV6 => 32,
            PageKey::V6(_) => 96,
        }
    }

    /// Highest value of [`PageKey::ordinal`].
    pub(crate) const MAX_ORDINAL: u64 = FIRST_V6_ORDINAL + u32::MAX as u64;

    /// Returns the position among all possible pages, in the order of the variants.
    pub(crate) fn ordinal(self) -> u64 {
        match self {
            PageKey::ShortV4 => 0,
            PageKey::ShortV6 => 1,
            PageKey::V4(key) => FIRST_V4_ORDINAL + u64::from(key),
            PageKey::V6(key) => FIRST_V6_ORDINAL + u64::from(key),
        }
    }

    /// Returns the key with this ordinal, or `None` above [`PageKey::MAX_ORDINAL`].
    pub(crate) fn from_ordinal(ordinal: u64) -> Option<PageKey> {
        match ordinal {
            0 => Some(PageKey::ShortV4),
            1 => Some(PageKey::ShortV6),
            FIRST_V4_ORDINAL..FIRST_V6_ORDINAL => {
                Some(PageKey::V4((ordinal - FIRST_V4_ORDINAL) as u16))
            }
            FIRST_V6_ORDINAL..=PageKey::MAX_ORDINAL => {
                Some(PageKey::V6((ordinal - FIRST_V6_ORDINAL) as u32))
            }
            _ => None,
        }
    }

    /// Returns the number of leading address bits that are the same for all entries of the page.
    fn fixed_bits(self) -> u8 {
        match self {
            PageKey::ShortV4 | PageKey::ShortV6 => 0,
            PageKey::V4(_) => 16,
            PageKey::V6(_) => 32,
        }
    }
}

/// An entry, with its prefix relative to the page that stores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PageEntry {
    /// First address of the prefix, as an offset from the start of the page. Only the lowest
    /// [`PageKey::width`] bits are used.
    pub(crate) offset: u128,
    /// Prefix length in bits, without the leading bits that the page key fixes.
    pub(crate) len: u8,
    /// The number of a [`SiteId`], never [`SiteId::RESERVED`].
    pub(crate) site: u16,
}

impl PageEntry {
    /// Returns the key that entries of a page are sorted by. A prefix precedes those nested in it.
    pub(crate) fn sort_key(&self) -> (u128, u8) {
        (self.offset, self.len)
    }
}

/// Returns the page that stores a prefix, and the entry relative to that page.
pub(crate) fn locate(prefix: &IpNet, site: SiteId) -> (PageKey, PageEntry) {
    let (page_key, offset) = match prefix {
        IpNet::V4(net) => {
            let bits = net.addr().to_bits();
            if net.prefix_len() < 16 {
                (PageKey::ShortV4, u128::from(bits >> 16))
            } else {
                (PageKey::V4((bits >> 16) as u16), u128::from(bits & 0xffff))
            }
        }
        IpNet::V6(net) => {
            let bits = net.addr().to_bits();
            if net.prefix_len() < 32 {
                (PageKey::ShortV6, bits >> 96)
            } else {
                (PageKey::V6((bits >> 96) as u32), bits & (u128::MAX >> 32))
            }
        }
    };
    let len = prefix.prefix_len() - page_key.fixed_bits();
    (
        page_key,
        PageEntry {
            offset,
            len,
            site: site.0,
        },
    )
}

/// Returns the prefix of an entry; the inverse of [`locate`].
pub(crate) fn prefix_of(page_key: PageKey, entry: &PageEntry) -> IpNet {
    let len = entry.len + page_key.fixed_bits();
    let addr = match page_key {
        PageKey::ShortV4 => IpAddr::V4(Ipv4Addr::from_bits((entry.offset as u32) << 16)),
        PageKey::V4(key) => IpAddr::V4(Ipv4Addr::from_bits(
            (u32::from(key) << 16) | entry.offset as u32,
        )),
        PageKey::ShortV6 => IpAddr::V6(Ipv6Addr::from_bits(entry.offset << 96)),
        PageKey::V6(key) => IpAddr::V6(Ipv6Addr::from_bits((u128::from(key) << 96) | entry.offset)),
    };
    match addr {
        IpAddr::V4(addr) => IpNet::V4(Ipv4Net::new_assert(addr, len)),
        IpAddr::V6(addr) => IpNet::V6(Ipv6Net::new_assert(addr, len)),
    }
}
