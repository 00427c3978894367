//! Compares lookups with a linear longest prefix match, and deltas with a full rebuild.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use filbertgrade_blocks::{BlockDelta, BlockEntry, BlockTable, SiteId, Version};
use ipnet::IpNet;
use proptest::prelude::{Just, Strategy, any, prop_oneof, proptest};
use proptest::{prop_assert, prop_assert_eq};

/// The entries of a table in a plain map, from which expected results are computed.
type Reference = BTreeMap<IpNet, SiteId>;

/// Finds the longest matching prefix by checking all entries.
fn linear_lookup(entries: &Reference, addr: IpAddr) -> Option<SiteId> {
    let covering = entries.iter().filter(|(prefix, _)| prefix.contains(&addr));
    covering
        .max_by_key(|(prefix, _)| prefix.prefix_len())
        .map(|(_, &site)| site)
}

/// Addresses with few distinct bits, so that prefixes nest and share pages.
fn address() -> impl Strategy<Value = IpAddr> {
    let v4 = (0u32..4, 0u32..4, any::<u8>())
        .prop_map(|(a, b, c)| IpAddr::V4(Ipv4Addr::from_bits(a << 30 | b << 15 | u32::from(c))));
    let v6 = (0u128..4, 0u128..4, 0u128..4, any::<u8>()).prop_map(|(a, b, c, d)| {
        IpAddr::V6(Ipv6Addr::from_bits(
            a << 126 | b << 95 | c << 63 | u128::from(d),
        ))
    });
    prop_oneof![v4, v6]
}

fn prefix() -> impl Strategy<Value = IpNet> {
    address().prop_flat_map(|addr| {
        let max = if addr.is_ipv4() { 32u8 } else { 128 };
        (Just(addr), 0..=max)
            .prop_map(|(addr, len)| IpNet::new(addr, len).expect("len is at most max").trunc())
    })
}

fn blocks(max: usize) -> impl Strategy<Value = Reference> {
    proptest::collection::btree_map(prefix(), (0u16..6).prop_map(SiteId), 0..max)
}

fn list(entries: &Reference) -> Vec<BlockEntry> {
    entries
        .iter()
        .map(|(&prefix, &site)| BlockEntry { prefix, site })
        .collect()
}

/// Returns the random addresses, and the first and last address of every prefix with the addresses
/// before and after them.
fn probes(entries: &Reference, random: &[IpAddr]) -> Vec<IpAddr> {
    let mut probes = random.to_vec();
    for prefix in entries.keys() {
        for edge in [prefix.network(), prefix.broadcast()] {
            for step in [-1i8, 0, 1] {
                probes.push(match edge {
                    IpAddr::V4(addr) => {
                        Ipv4Addr::from_bits(addr.to_bits().wrapping_add_signed(step.into())).into()
                    }
                    IpAddr::V6(addr) => {
                        Ipv6Addr::from_bits(addr.to_bits().wrapping_add_signed(step.into())).into()
                    }
                });
            }
        }
    }
    probes
}

proptest! {
    // Guards against a range that starts or ends at the wrong address where prefixes nest.
    #[test]
    fn lookup_equals_linear_longest_prefix_match(
        entries in blocks(60),
        random in proptest::collection::vec(address(), 20),
    ) {
        let table = BlockTable::build(Version(1), &list(&entries)).unwrap();
        prop_assert_eq!(table.entry_count(), entries.len() as u64);
        for addr in probes(&entries, &random) {
            prop_assert_eq!(table.lookup(addr), linear_lookup(&entries, addr), "{}", addr);
        }
        let stored: Reference = table.entries().map(|e| (e.prefix, e.site)).collect();
        prop_assert_eq!(stored, entries);
    }

    // Guards against a table after a delta that differs from one built from all entries.
    #[test]
    fn applying_delta_equals_rebuilding(before in blocks(50), after in blocks(50)) {
        let old = BlockTable::build(Version(1), &list(&before)).unwrap();
        let set = after.iter().filter(|(prefix, site)| before.get(prefix) != Some(site));
        let set = set.map(|(&prefix, &site)| BlockEntry { prefix, site }).collect();
        let removed = before.keys().filter(|p| !after.contains_key(p)).copied().collect();
        let delta = BlockDelta { base: Version(1), version: Version(2), set, removed };
        let applied = old.apply(&delta).unwrap();
        let rebuilt = BlockTable::build(Version(2), &list(&after)).unwrap();
        prop_assert_eq!(applied.version(), Version(2));
        prop_assert_eq!(applied.range_count(), rebuilt.range_count());
        prop_assert_eq!(applied.heap_bytes(), rebuilt.heap_bytes());
        prop_assert!(applied.entries().eq(rebuilt.entries()));
        for addr in probes(&after, &[]).into_iter().chain(probes(&before, &[])) {
            prop_assert_eq!(applied.lookup(addr), rebuilt.lookup(addr), "{}", addr);
        }
    }
}
