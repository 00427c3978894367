//! Tests of encoded copies, corrupt input, fetching and shared tables.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use filbertgrade_blocks::{
    BlockDelta, BlockEntry, BlockTable, ChunkId, DefaultCause, DefaultOrder, EncodedTable,
    FetchConfig, FetchPlan, FetchStep, LookupResult, MAX_CHUNK_BYTES, Manifest, PartialTable,
    PeerId, ReceiveOutcome, SharedBlockTable, SiteId, SiteSelection, Version,
};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use proptest::prelude::{any, proptest};
use proptest::{prop_assert, prop_assert_eq};
use rstest::rstest;

/// Returns enough /24 blocks to fill several chunks, one IPv6 /32 with a page that spans several
/// chunks, and two short prefixes.
fn entries() -> Vec<BlockEntry> {
    let v4 = (0..60_000u32).map(|n| {
        let prefix = Ipv4Net::new_assert(Ipv4Addr::from_bits((n * 5 + 7) << 8), 24).into();
        BlockEntry {
            prefix,
            site: SiteId((n.wrapping_mul(2_654_435_761) >> 22) as u16),
        }
    });
    let v6 = (0..150_000u128).map(|n| {
        let addr = Ipv6Addr::from_bits((0x2001_0db8 << 96) | (n * 3) << 72);
        let prefix = IpNet::V6(Ipv6Net::new_assert(addr, 56));
        BlockEntry {
            prefix,
            site: SiteId((n * 7 % 770) as u16),
        }
    });
    let short = ["64.0.0.0/4", "2000::/3"].into_iter().zip([900, 901]);
    let short = short.map(|(p, s)| BlockEntry {
        prefix: p.parse().expect("a prefix"),
        site: SiteId(s),
    });
    v4.chain(v6).chain(short).collect()
}

/// The table of all [`entries`].
fn table() -> BlockTable {
    BlockTable::build(Version(5), &entries()).expect("valid entries")
}

/// Returns an IPv4 address for an even seed and an IPv6 address for an odd one.
fn probe(seed: u32) -> IpAddr {
    let mixed = seed.wrapping_mul(2_654_435_761);
    if seed.is_multiple_of(2) {
        Ipv4Addr::from_bits(mixed >> 1).into()
    } else {
        Ipv6Addr::from_bits((0x2001_0db8 << 96) | u128::from(mixed >> 13) << 72).into()
    }
}

/// Loads chunks in the given order. Before each one, checks that lookups in the partial table give
/// either the result of the whole table or `NotLoaded`.
fn assemble(encoded: &EncodedTable, order: impl Iterator<Item = usize>) -> BlockTable {
    let whole = table();
    let mut partial = PartialTable::new(encoded.manifest.clone());
    for (step, index) in order.enumerate() {
        for seed in 0..200 {
            let addr = probe(seed * 31 + step as u32);
            match partial.lookup(addr) {
                LookupResult::NotLoaded => {}
                result => {
                    assert_eq!(result, LookupResult::from(whole.lookup(addr)));
                }
            }
        }
        partial
            .insert(index, encoded.chunks[index].as_ref())
            .expect("a valid chunk");
    }
    partial
        .finish()
        .expect("the entry count matches")
        .expect("every chunk is loaded")
}

// Guards against a copy that differs from the original table, and against wrong results of lookups
// while only some chunks are loaded, in either order of chunks.
#[rstest]
#[case::forward(false)]
#[case::backward(true)]
fn copy_equals_original_table(#[case] backward: bool) {
    let encoded = table().encode();
    let count = encoded.chunks.len();
    assert!(count >= 5, "{count} chunks");
    assert!(
        encoded
            .chunks
            .iter()
            .all(|chunk| chunk.bytes().len() < MAX_CHUNK_BYTES)
    );
    let manifest = Manifest::decode(&encoded.manifest.encode()).unwrap();
    assert_eq!(manifest, encoded.manifest);
    let order = (0..count).map(|index| if backward { count - 1 - index } else { index });
    let copy = assemble(&encoded, order);
    assert_eq!(copy.version(), Version(5));
    assert!(copy.entries().eq(table().entries()));
    assert_eq!(copy.encode().manifest, encoded.manifest);
}

// Guards against an empty table that cannot be encoded or loaded.
#[test]
fn empty_table_can_be_copied() {
    let encoded = BlockTable::empty(Version(1)).encode();
    let mut partial = PartialTable::new(encoded.manifest.clone());
    assert_eq!(partial.lookup(probe(0)), LookupResult::NotLoaded);
    partial.insert(0, encoded.chunks[0].as_ref()).unwrap();
    assert_eq!(partial.lookup(probe(0)), LookupResult::NoBlock);
    assert_eq!(partial.finish().unwrap().unwrap().entry_count(), 0);
}

// Guards against a small change to the table that changes the identifiers of most chunks, which
// would have to be fetched again.
#[test]
fn small_change_changes_one_chunk() {
    let before = table();
    let set = vec![BlockEntry {
        prefix: "0.0.9.0/26".parse().unwrap(),
        site: SiteId(3),
    }];
    let delta = BlockDelta {
        base: Version(5),
        version: Version(6),
        set,
        removed: Vec::new(),
    };
    let old = before.encode().chunks;
    let new = before.apply(&delta).unwrap().encode().chunks;
    let changed = new.iter().filter(|chunk| !old.contains(chunk)).count();
    assert_eq!(changed, 1);
}

// Guards against a default order that is returned with the wrong cause.
#[test]
fn default_order_comes_with_its_cause() {
    let order = DefaultOrder(vec![SiteId(4), SiteId(2)]);
    let default = |cause| SiteSelection::Default {
        order: &[SiteId(4), SiteId(2)],
        cause,
    };
    assert_eq!(
        order.select(LookupResult::Site(SiteId(1))),
        SiteSelection::Site(SiteId(1))
    );
    assert_eq!(
        order.select(LookupResult::NoBlock),
        default(DefaultCause::NoBlock)
    );
    assert_eq!(
        order.select(LookupResult::NotLoaded),
        default(DefaultCause::NotLoaded)
    );
}

// Guards against a delta that is changed by encoding and decoding, also in several parts, and
// against missing, duplicated or no parts being accepted.
#[test]
fn delta_is_unchanged_by_encoding_and_decoding() {
    let mut set = entries();
    set.truncate(50_000);
    let removed = entries()[70_000..75_000]
        .iter()
        .map(|entry| entry.prefix)
        .collect();
    let delta = BlockDelta {
        base: Version(5),
        version: Version(9),
        set,
        removed,
    };
    let mut parts = delta.encode().unwrap();
    assert_eq!(parts.len(), 3);
    parts.reverse();
    let decoded = BlockDelta::decode(&parts).unwrap();
    assert_eq!(decoded, delta);
    assert!(BlockDelta::decode(&parts[1..]).is_err());
    assert!(BlockDelta::decode(&[&parts[0], &parts[0], &parts[1]]).is_err());
    assert!(BlockDelta::decode::<&[u8]>(&[]).is_err());
}

// Guards against applying a delta to the wrong version, moving to a version that is not higher, and
// errors without the invalid prefix.
#[test]
fn delta_is_validated_before_it_is_applied() {
    let table = table();
    let delta = |base, version| BlockDelta {
        base: Version(base),
        version: Version(version),
        set: Vec::new(),
        removed: Vec::new(),
    };
    assert!(table.apply(&delta(4, 6)).unwrap_err().is_base_mismatch());
    assert!(table.apply(&delta(5, 5)).unwrap_err().is_not_newer());
    assert!(table.apply(&delta(5, 4)).unwrap_err().is_not_newer());
    let absent: IpNet = "9.9.9.9/32".parse().unwrap();
    let missing = BlockDelta {
        removed: vec![absent],
        ..delta(5, 6)
    };
    assert_eq!(table.apply(&missing).unwrap_err().prefix(), Some(absent));
    let set = vec![BlockEntry {
        prefix: absent,
        site: SiteId(1),
    }];
    let both = BlockDelta { set, ..missing };
    assert_eq!(table.apply(&both).unwrap_err().prefix(), Some(absent));
    let shared = SharedBlockTable::new(table);
    shared.apply(&delta(5, 7)).unwrap();
    let older = Arc::new(BlockTable::empty(Version(6)));
    assert!(shared.publish(&older).unwrap_err().is_not_newer());
    assert_eq!(shared.load().version(), Version(7));
}

proptest! {
    // Guards against a panic or unbounded memory use on corrupt input, and against corrupt input
    // being accepted.
    #[test]
    fn corrupt_input_is_rejected(position in any::<usize>(), bit in 0u8..8, cut in any::<usize>()) {
        let small: Vec<BlockEntry> = entries().into_iter().step_by(997).collect();
        let encoded = BlockTable::build(Version(5), &small).unwrap().encode();
        let delta = BlockDelta { base: Version(1), version: Version(2), set: small, removed: vec![] };
        let corrupt = |bytes: &[u8], truncate: bool| {
            let mut bytes = bytes.to_vec();
            let position = position % bytes.len();
            bytes[position] ^= 1 << bit;
            if truncate {
                bytes.truncate(cut % bytes.len());
            }
            bytes
        };
        for truncate in [false, true] {
            let part = corrupt(delta.encode().unwrap()[0].as_ref(), truncate);
            prop_assert!(BlockDelta::decode(&[part]).is_err());
            prop_assert!(Manifest::decode(&corrupt(&encoded.manifest.encode(), truncate)).is_err());
            let mut partial = PartialTable::new(encoded.manifest.clone());
            let err = partial.insert(0, &corrupt(encoded.chunks[0].as_ref(), truncate)).unwrap_err();
            prop_assert!(err.is_digest_mismatch());
            prop_assert!(partial.lookup(probe(0)) == LookupResult::NotLoaded);
        }
    }

    // Guards against a panic on a delta or manifest that has a correct digest but arbitrary
    // content.
    #[test]
    fn arbitrary_content_with_valid_digest_does_not_panic(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        for magic in ["FBD1", "FBM1"] {
            let mut bytes = magic.as_bytes().to_vec();
            bytes.extend_from_slice(&body);
            let digest = ChunkId::of(&bytes);
            bytes.extend_from_slice(&digest.0);
            if let Ok(delta) = BlockDelta::decode(&[&bytes]) {
                let newer = BlockDelta { version: Version(u64::MAX), ..delta };
                drop(BlockTable::empty(newer.base).apply(&newer));
            }
            if let Ok(manifest) = Manifest::decode(&bytes) {
                PartialTable::new(manifest).lookup(probe(1));
            }
        }
    }

    // Guards against a panic on a chunk that matches its manifest but has arbitrary content.
    #[test]
    fn arbitrary_chunk_listed_in_manifest_does_not_panic(records in proptest::collection::vec(
        (0u8..4, proptest::collection::vec(any::<u8>(), 0..12)), 0..8,
    )) {
        let mut chunk = b"FBT1".to_vec();
        for (step, entries) in &records {
            chunk.extend_from_slice(&[*step, entries.len() as u8]);
            chunk.extend_from_slice(entries);
        }
        let mut manifest = b"FBM1".to_vec();
        // Version 1, no entries, and one span that starts at 0 and ends 2 + 2^16 + 2^32 - 1 later,
        // which is the ordinal of the last page.
        manifest.extend_from_slice(&[1, 0, 0, 0x81, 0x80, 0x84, 0x80, 0x10]);
        assert!(chunk.len() < 0x80, "the length must fit a varint of one byte");
        manifest.push(chunk.len() as u8);
        manifest.extend_from_slice(&ChunkId::of(&chunk).0);
        manifest.extend_from_slice(&ChunkId::of(&manifest).0);
        let manifest = Manifest::decode(&manifest).unwrap();
        let mut partial = PartialTable::new(manifest);
        if partial.insert(0, &chunk).is_ok() {
            for seed in 0..20 {
                prop_assert!(partial.lookup(probe(seed)) != LookupResult::NotLoaded);
            }
            let is_empty = records.iter().all(|(_, entries)| entries.is_empty());
            prop_assert_eq!(partial.finish().is_ok(), is_empty);
        }
    }
}

// Guards against input of excessive length being processed before its length is checked.
#[test]
fn too_long_input_is_rejected() {
    let long = vec![0; MAX_CHUNK_BYTES + 1];
    assert!(BlockDelta::decode(&[&long]).unwrap_err().is_too_long());
    assert!(Manifest::decode(&long).unwrap_err().is_too_long());
    let mut partial = PartialTable::new(table().encode().manifest);
    assert!(partial.insert(0, &long).unwrap_err().is_too_long());
}

/// Fault of peer 1 in a simulated fetch. It starts after 5 s.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Peer 1 is removed.
    Removed,
    /// Peer 1 stops responding.
    Unresponsive,
    /// Peer 1 flips a bit in every piece.
    Corrupt,
    /// Peer 1 sends pieces that are one byte too short.
    Short,
}

// Guards against a fetch that exceeds its byte budget, never finishes, or discards too many
// received bytes when a peer fails.
#[rstest]
#[case::no_fault(Fault::None, 0.02)]
#[case::peer_removed(Fault::Removed, 0.05)]
#[case::peer_unresponsive(Fault::Unresponsive, 0.05)]
#[case::peer_corrupt(Fault::Corrupt, 0.60)]
#[case::peer_short(Fault::Short, 0.05)]
fn fetch_finishes_within_its_budget_when_a_peer_fails(
    #[case] fault: Fault,
    #[case] allowed_extra: f64,
) {
    let encoded = table().encode();
    let total = encoded.manifest.total_bytes();
    let config = FetchConfig::default();
    let rate = f64::from(config.bytes_per_s);
    let overhead = u64::from(config.overhead_bytes);
    let piece_cost = u64::from(config.piece_bytes) + overhead;
    let mut plan = FetchPlan::new(&encoded.manifest, config);
    assert_eq!(plan.next(Duration::ZERO), FetchStep::NoPeers);
    for peer in 1..=3 {
        plan.add_peer(PeerId(peer));
    }
    let mut partial = PartialTable::new(encoded.manifest.clone());
    let mut now = Duration::ZERO;
    let mut spent = 0u64;
    for _ in 0..10_000 {
        let request = match plan.next(now) {
            FetchStep::Request(request) => request,
            FetchStep::Wait { until } => {
                assert!(until > now, "the end of a wait must be in the future");
                now = until;
                continue;
            }
            FetchStep::Done => break,
            FetchStep::NoPeers => panic!("peers 2 and 3 are usable"),
        };
        spent += u64::from(request.len) + overhead;
        assert!(spent as f64 <= rate * now.as_secs_f64() + piece_cost as f64 + 1.0);
        let faulty = request.peer == PeerId(1) && now > Duration::from_secs(5);
        if faulty && fault == Fault::Removed {
            plan.remove_peer(PeerId(1));
        }
        if faulty && matches!(fault, Fault::Removed | Fault::Unresponsive) {
            continue;
        }
        let start = request.offset as usize;
        let whole = encoded.chunks[request.index].as_ref();
        let mut bytes = whole[start..start + request.len as usize].to_vec();
        if faulty && fault == Fault::Corrupt {
            bytes[0] ^= 1;
        }
        if faulty && fault == Fault::Short {
            bytes.pop();
        }
        match plan.receive(request.peer, request.index, request.offset, &bytes) {
            ReceiveOutcome::Chunk { index, bytes } => partial.insert(index, &bytes).unwrap(),
            ReceiveOutcome::Stored => {}
            ReceiveOutcome::Corrupt => assert!(fault == Fault::Corrupt),
            ReceiveOutcome::WrongLength => assert!(fault == Fault::Short),
            ReceiveOutcome::Unexpected => panic!("every response matches an outstanding request"),
        }
    }
    assert_eq!(plan.next(now), FetchStep::Done);
    assert_eq!(plan.remaining_bytes(), 0);
    assert!(
        partial
            .finish()
            .unwrap()
            .unwrap()
            .entries()
            .eq(table().entries())
    );
    let pieces = total.div_ceil(u64::from(FetchConfig::default().piece_bytes));
    let needed = (total + pieces * overhead) as f64;
    let extra = spent as f64 / needed - 1.0;
    assert!(
        extra <= allowed_extra,
        "the fraction of bytes beyond those needed is {extra:.3}"
    );
}

// Guards against a panic on a chunk that the manifest does not have.
#[test]
fn unknown_chunk_is_not_prioritized() {
    let encoded = table().encode();
    let mut plan = FetchPlan::new(&encoded.manifest, FetchConfig::default());
    let bytes = plan.remaining_bytes();
    plan.prioritize(usize::MAX);
    assert_eq!(plan.remaining_bytes(), bytes);
}

// Guards against a prioritized chunk that is fetched after the others, and against a response that
// is stored after its request timed out.
#[test]
fn prioritized_chunk_comes_first() {
    let encoded = table().encode();
    let mut plan = FetchPlan::new(&encoded.manifest, FetchConfig::default());
    plan.add_peer(PeerId(1));
    let prioritized = *encoded
        .manifest
        .chunks_for("2001:db8::".parse().unwrap())
        .start();
    assert!(prioritized > 0);
    plan.prioritize(prioritized);
    let FetchStep::Request(request) = plan.next(Duration::ZERO) else {
        panic!("no request")
    };
    assert_eq!((request.index, request.offset), (prioritized, 0));
    let late = Duration::from_secs(60);
    let FetchStep::Wait { .. } = plan.next(late) else {
        panic!("the only peer is in backoff")
    };
    let piece = &encoded.chunks[prioritized].as_ref()[..request.len as usize];
    let received = plan.receive(PeerId(1), request.index, request.offset, piece);
    assert_eq!(received, ReceiveOutcome::Unexpected);
}

// Guards against a reader that sees a mix of two versions, or an older version after a newer one,
// while tables are replaced.
#[test]
fn readers_see_one_version_at_a_time() {
    let site = |version: u64| SiteId((version % 700) as u16);
    let prefixes: [IpNet; 2] = [
        "10.0.0.0/24".parse().unwrap(),
        "2001:db8::/48".parse().unwrap(),
    ];
    let set = |version| {
        prefixes
            .map(|prefix| BlockEntry {
                prefix,
                site: site(version),
            })
            .to_vec()
    };
    let shared = SharedBlockTable::new(BlockTable::build(Version(1), &set(1)).unwrap());
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                let mut newest = Version(0);
                while !stop.load(Ordering::Relaxed) {
                    let table = shared.load();
                    assert!(table.version() >= newest, "the version decreased");
                    newest = table.version();
                    for prefix in prefixes {
                        assert_eq!(table.lookup(prefix.addr()), Some(site(newest.0)));
                    }
                }
            });
        }
        for version in 2..200 {
            let (base, version) = (Version(version - 1), Version(version));
            let delta = BlockDelta {
                base,
                version,
                set: set(version.0),
                removed: Vec::new(),
            };
            shared.apply(&delta).expect("a valid delta");
        }
        stop.store(true, Ordering::Relaxed);
    });
}
