//! Encoded copies, corrupt input, fetching and shared tables.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use filbertgrade_blocks::{
    Answer, BlockDelta, BlockEntry, BlockTable, ChunkId, DefaultCause, DefaultOrder, EncodedTable,
    FetchConfig, FetchPlan, FetchStep, Lookup, MAX_CHUNK_BYTES, Manifest, PartialTable, PeerId,
    Received, SharedBlockTable, SiteId, Version,
};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use proptest::prelude::{any, proptest};
use proptest::{prop_assert, prop_assert_eq};
use rstest::rstest;

/// Enough /24 to fill several chunks, and one IPv6 /32 whose page spans several chunks.
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

fn table() -> BlockTable {
    BlockTable::build(Version(5), &entries()).expect("valid entries")
}

fn probe(seed: u32) -> IpAddr {
    let mixed = seed.wrapping_mul(2_654_435_761);
    if seed.is_multiple_of(2) {
        Ipv4Addr::from_bits(mixed >> 1).into()
    } else {
        Ipv6Addr::from_bits((0x2001_0db8 << 96) | u128::from(mixed >> 13) << 72).into()
    }
}

/// Inserts chunks in the given order and checks every look-up on the way.
fn assemble(encoded: &EncodedTable, order: impl Iterator<Item = usize>) -> BlockTable {
    let whole = table();
    let mut partial = PartialTable::new(encoded.manifest.clone());
    for (step, index) in order.enumerate() {
        for seed in 0..200 {
            let addr = probe(seed * 31 + step as u32);
            match partial.lookup(addr) {
                Lookup::NotLoaded => {}
                known => {
                    assert_eq!(known, Lookup::from(whole.lookup(addr)));
                }
            }
        }
        partial
            .insert(index, encoded.chunks[index].as_ref())
            .expect("a valid chunk");
    }
    partial
        .finish()
        .expect("a matching count")
        .expect("every chunk")
}

// Guards against a copy that differs from its source, and against a wrong answer while only
// part of it has arrived, in any order of chunks.
#[rstest]
#[case::forward(false)]
#[case::backward(true)]
fn copy_equals_source(#[case] backward: bool) {
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

// Guards against an empty table that cannot be copied.
#[test]
fn empty_table_can_be_copied() {
    let encoded = BlockTable::empty(Version(1)).encode();
    let mut partial = PartialTable::new(encoded.manifest.clone());
    assert_eq!(partial.lookup(probe(0)), Lookup::NotLoaded);
    partial.insert(0, encoded.chunks[0].as_ref()).unwrap();
    assert_eq!(partial.lookup(probe(0)), Lookup::NoBlock);
    assert_eq!(partial.finish().unwrap().unwrap().entry_count(), 0);
}

// Guards against a small change that renames most chunks.
#[test]
fn small_change_keeps_most_chunks() {
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

// Guards against a default answer that hides why it was given.
#[test]
fn answers_show_why_the_default_is_used() {
    let order = DefaultOrder(vec![SiteId(4), SiteId(2)]);
    let default = |cause| Answer::Default {
        order: &[SiteId(4), SiteId(2)],
        cause,
    };
    assert_eq!(
        order.answer(Lookup::Site(SiteId(1))),
        Answer::Site(SiteId(1))
    );
    assert_eq!(
        order.answer(Lookup::NoBlock),
        default(DefaultCause::NoBlock)
    );
    assert_eq!(
        order.answer(Lookup::NotLoaded),
        default(DefaultCause::NotLoaded)
    );
}

// Guards against a delta that changes in transit, also when it needs several parts.
#[test]
fn delta_survives_encoding() {
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

// Guards against a delta on the wrong version, a move backward, and unclear errors.
#[test]
fn delta_is_checked() {
    let table = table();
    let delta = |base, version| BlockDelta {
        base: Version(base),
        version: Version(version),
        set: Vec::new(),
        removed: Vec::new(),
    };
    assert!(table.apply(&delta(4, 6)).unwrap_err().is_base_mismatch());
    assert!(table.apply(&delta(5, 5)).unwrap_err().is_backward());
    assert!(table.apply(&delta(5, 4)).unwrap_err().is_backward());
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
    assert!(shared.publish(&older).unwrap_err().is_backward());
    assert_eq!(shared.load().version(), Version(7));
}

proptest! {
    // Guards against a panic or unbounded memory on corrupt input, and against corrupt input
    // that is accepted.
    #[test]
    fn corrupt_input_is_refused(position in any::<usize>(), bit in 0u8..8, cut in any::<usize>()) {
        let small: Vec<BlockEntry> = entries().into_iter().step_by(997).collect();
        let encoded = BlockTable::build(Version(5), &small).unwrap().encode();
        let delta = BlockDelta { base: Version(1), version: Version(2), set: small, removed: vec![] };
        let damage = |bytes: &[u8], truncate: bool| {
            let mut bytes = bytes.to_vec();
            let position = position % bytes.len();
            bytes[position] ^= 1 << bit;
            if truncate {
                bytes.truncate(cut % bytes.len());
            }
            bytes
        };
        for truncate in [false, true] {
            let part = damage(delta.encode().unwrap()[0].as_ref(), truncate);
            prop_assert!(BlockDelta::decode(&[part]).is_err());
            prop_assert!(Manifest::decode(&damage(&encoded.manifest.encode(), truncate)).is_err());
            let mut partial = PartialTable::new(encoded.manifest.clone());
            let err = partial.insert(0, &damage(encoded.chunks[0].as_ref(), truncate)).unwrap_err();
            prop_assert!(err.is_digest_mismatch());
            prop_assert!(partial.lookup(probe(0)) == Lookup::NotLoaded);
        }
    }

    // Guards against a panic on content whose digest is right but which no encoder wrote.
    #[test]
    fn sealed_garbage_does_not_panic(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        for magic in ["FBD1", "FBM1"] {
            let mut bytes = magic.as_bytes().to_vec();
            bytes.extend_from_slice(&body);
            let digest = ChunkId::of(&bytes);
            bytes.extend_from_slice(&digest.0);
            if let Ok(delta) = BlockDelta::decode(&[&bytes]) {
                let decoded_again = BlockDelta { version: Version(u64::MAX), ..delta };
                drop(BlockTable::empty(decoded_again.base).apply(&decoded_again));
            }
            if let Ok(manifest) = Manifest::decode(&bytes) {
                PartialTable::new(manifest).lookup(probe(1));
            }
        }
    }

    // Guards against a panic on a chunk that its manifest names but which no encoder wrote.
    #[test]
    fn named_garbage_does_not_panic(records in proptest::collection::vec(
        (0u8..4, proptest::collection::vec(any::<u8>(), 0..12)), 0..8,
    )) {
        let mut chunk = b"FBT1".to_vec();
        for (step, entries) in &records {
            chunk.extend_from_slice(&[*step, entries.len() as u8]);
            chunk.extend_from_slice(entries);
        }
        let mut manifest = b"FBM1".to_vec();
        // Version 1, no entries, one span over all slots: 2 + 2^16 + 2^32, less one.
        manifest.extend_from_slice(&[1, 0, 0, 0x81, 0x80, 0x84, 0x80, 0x10]);
        assert!(chunk.len() < 0x80, "the length must fit a varint of one byte");
        manifest.push(chunk.len() as u8);
        manifest.extend_from_slice(&ChunkId::of(&chunk).0);
        manifest.extend_from_slice(&ChunkId::of(&manifest).0);
        let manifest = Manifest::decode(&manifest).unwrap();
        let mut partial = PartialTable::new(manifest);
        if partial.insert(0, &chunk).is_ok() {
            for seed in 0..20 {
                prop_assert!(partial.lookup(probe(seed)) != Lookup::NotLoaded);
            }
            let is_empty = records.iter().all(|(_, entries)| entries.is_empty());
            prop_assert_eq!(partial.finish().is_ok(), is_empty);
        }
    }
}

// Guards against input that is read in full before its length is checked.
#[test]
fn overlong_input_is_refused() {
    let long = vec![0; MAX_CHUNK_BYTES + 1];
    assert!(BlockDelta::decode(&[&long]).unwrap_err().is_too_long());
    assert!(Manifest::decode(&long).unwrap_err().is_too_long());
    let mut partial = PartialTable::new(table().encode().manifest);
    assert!(partial.insert(0, &long).unwrap_err().is_too_long());
}

/// How the peers of a simulated fetch behave.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Peer 1 is removed in the middle.
    Removed,
    /// Peer 1 stops answering in the middle.
    Silent,
    /// Peer 1 flips a bit in every piece.
    Corrupt,
    /// Peer 1 sends pieces that are too short.
    Short,
}

// Guards against a fetch that exceeds its budget, stalls, or starts over when a peer fails.
#[rstest]
#[case::no_fault(Fault::None, 0.02)]
#[case::peer_removed(Fault::Removed, 0.05)]
#[case::peer_silent(Fault::Silent, 0.05)]
#[case::peer_corrupt(Fault::Corrupt, 0.60)]
#[case::peer_short(Fault::Short, 0.05)]
fn fetch_keeps_its_budget_and_finishes(#[case] fault: Fault, #[case] allowed_extra: f64) {
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
                assert!(until > now, "waiting must advance the clock");
                now = until;
                continue;
            }
            FetchStep::Done => break,
            FetchStep::NoPeers => panic!("peers 2 and 3 can be asked"),
        };
        spent += u64::from(request.len) + overhead;
        assert!(spent as f64 <= rate * now.as_secs_f64() + piece_cost as f64 + 1.0);
        let faulty = request.peer == PeerId(1) && now > Duration::from_secs(5);
        if faulty && fault == Fault::Removed {
            plan.remove_peer(PeerId(1));
        }
        if faulty && matches!(fault, Fault::Removed | Fault::Silent) {
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
        match plan.received(request.peer, request.index, request.offset, &bytes) {
            Received::Chunk { index, bytes } => partial.insert(index, &bytes).unwrap(),
            Received::Stored => {}
            Received::Corrupt => assert!(fault == Fault::Corrupt),
            Received::WrongLength => assert!(fault == Fault::Short),
            Received::Unexpected => panic!("every reply answers an open request"),
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
    let ideal = (total + pieces * overhead) as f64;
    let extra = spent as f64 / ideal - 1.0;
    assert!(extra <= allowed_extra, "spent {extra:.3} more than needed");
}

// Guards against a needed chunk that waits behind the others, and a late reply that is stored.
#[test]
fn preferred_chunk_comes_first() {
    let encoded = table().encode();
    let mut plan = FetchPlan::new(&encoded.manifest, FetchConfig::default());
    plan.add_peer(PeerId(1));
    let wanted = *encoded
        .manifest
        .chunks_for("2001:db8::".parse().unwrap())
        .start();
    assert!(wanted > 0);
    plan.prefer(wanted);
    let FetchStep::Request(request) = plan.next(Duration::ZERO) else {
        panic!("no request")
    };
    assert_eq!((request.index, request.offset), (wanted, 0));
    let late = Duration::from_secs(60);
    let FetchStep::Wait { .. } = plan.next(late) else {
        panic!("the only peer is paused")
    };
    let piece = &encoded.chunks[wanted].as_ref()[..request.len as usize];
    let received = plan.received(PeerId(1), request.index, request.offset, piece);
    assert_eq!(received, Received::Unexpected);
}

// Guards against a look-up that sees a mix of two versions while tables are swapped.
#[test]
fn readers_see_one_version() {
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
                    assert!(table.version() >= newest, "the version moved backward");
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
