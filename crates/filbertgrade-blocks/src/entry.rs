//! Entries of the table and their place in the page layout.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};

/// Identifies a site that client blocks are steered to.
///
/// [`SiteId::RESERVED`] marks "no site" inside the table and is refused in entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u16);

impl SiteId {
    /// The only value that an entry must not carry.
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
    /// The block. Bits after the prefix length must be zero.
    pub prefix: IpNet,
    /// The site that serves addresses whose longest matching prefix is this one.
    pub site: SiteId,
}

/// Ordinals of the first IPv4 and the first IPv6 page.
const FIRST_V4: u64 = 2;
const FIRST_V6: u64 = FIRST_V4 + (1 << 16);

/// The page an entry is stored in.
///
/// Prefixes too short to fit in one page are kept in one page per family. The order of the
/// variants is the order of pages in an encoded copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Slot {
    /// IPv4 prefixes shorter than 16 bits.
    Wide4,
    /// IPv6 prefixes shorter than 32 bits.
    Wide6,
    /// IPv4 prefixes within one /16, by its upper 16 bits.
    V4(u16),
    /// IPv6 prefixes within one /32, by its upper 32 bits.
    V6(u32),
}

impl Slot {
    /// Returns the number of address bits that a page of this kind resolves.
    pub(crate) fn width(self) -> u8 {
        match self {
            Slot::Wide4 | Slot::V4(_) => 16,
            Slot::Wide6 => 32,
            Slot::V6(_) => 96,
        }
    }

    /// Highest value of [`Slot::ordinal`].
    pub(crate) const MAX_ORDINAL: u64 = FIRST_V6 + u32::MAX as u64;

    /// Returns the position among all slots, in the order of the variants.
    pub(crate) fn ordinal(self) -> u64 {
        match self {
            Slot::Wide4 => 0,
            Slot::Wide6 => 1,
            Slot::V4(key) => FIRST_V4 + u64::from(key),
            Slot::V6(key) => FIRST_V6 + u64::from(key),
        }
    }

    /// Reverses [`Slot::ordinal`].
    pub(crate) fn from_ordinal(ordinal: u64) -> Option<Slot> {
        match ordinal {
            0 => Some(Slot::Wide4),
            1 => Some(Slot::Wide6),
            FIRST_V4..FIRST_V6 => Some(Slot::V4((ordinal - FIRST_V4) as u16)),
            FIRST_V6..=Slot::MAX_ORDINAL => Some(Slot::V6((ordinal - FIRST_V6) as u32)),
            _ => None,
        }
    }

    /// Returns the prefix bits before the first bit that the page resolves.
    fn skipped(self) -> u8 {
        match self {
            Slot::Wide4 | Slot::Wide6 => 0,
            Slot::V4(_) => 16,
            Slot::V6(_) => 32,
        }
    }
}

/// An entry relative to its page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Local {
    /// First address, in the lowest `width` bits.
    pub(crate) low: u128,
    /// Prefix length in bits, not counting those that the slot fixes.
    pub(crate) len: u8,
    pub(crate) site: u16,
}

impl Local {
    /// The order of entries in a page: a prefix comes before those nested in it.
    pub(crate) fn key(&self) -> (u128, u8) {
        (self.low, self.len)
    }
}

/// Returns the page of a prefix, and the prefix relative to that page.
pub(crate) fn locate(prefix: &IpNet, site: SiteId) -> (Slot, Local) {
    let (slot, low) = match prefix {
        IpNet::V4(net) => {
            let bits = net.addr().to_bits();
            if net.prefix_len() < 16 {
                (Slot::Wide4, u128::from(bits >> 16))
            } else {
                (Slot::V4((bits >> 16) as u16), u128::from(bits & 0xffff))
            }
        }
        IpNet::V6(net) => {
            let bits = net.addr().to_bits();
            if net.prefix_len() < 32 {
                (Slot::Wide6, bits >> 96)
            } else {
                (Slot::V6((bits >> 96) as u32), bits & (u128::MAX >> 32))
            }
        }
    };
    let len = prefix.prefix_len() - slot.skipped();
    (
        slot,
        Local {
            low,
            len,
            site: site.0,
        },
    )
}

/// Reverses [`locate`].
pub(crate) fn prefix_of(slot: Slot, local: &Local) -> IpNet {
    let len = local.len + slot.skipped();
    let addr = match slot {
        Slot::Wide4 => IpAddr::V4(Ipv4Addr::from_bits((local.low as u32) << 16)),
        Slot::V4(key) => IpAddr::V4(Ipv4Addr::from_bits(
            (u32::from(key) << 16) | local.low as u32,
        )),
        Slot::Wide6 => IpAddr::V6(Ipv6Addr::from_bits(local.low << 96)),
        Slot::V6(key) => IpAddr::V6(Ipv6Addr::from_bits((u128::from(key) << 96) | local.low)),
    };
    match addr {
        IpAddr::V4(addr) => IpNet::V4(Ipv4Net::new_assert(addr, len)),
        IpAddr::V6(addr) => IpNet::V6(Ipv6Net::new_assert(addr, len)),
    }
}
