//! Measures lookups, deltas, copies and memory of the table at several sizes, and prints one JSON
//! object.
//!
//! `cargo run --release -p filbertgrade-blocks --example measure -- [--blocks N] [--seed S]`
//!
//! Without `--blocks`, the sizes are 50,000, 500,000 and 5,000,000. The blocks are synthetic:
//! 85% IPv4 (of which 90% are /24, 6% /22 and 4% /28 inside a /24 of the table) and 15% IPv6
//! (/48 and /56 within one /32 per 250 blocks of the table, which makes 20,000 for the largest
//! size). Neighbouring blocks tend to share a site: 70% have the main site of their /16 or /32,
//! 20% one of three others, and 10% a random site.

use std::collections::HashSet;
use std::env;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use filbertgrade_blocks::{
    BlockDelta, BlockEntry, BlockTable, EncodedTable, FetchConfig, FetchPlan, FetchStep,
    PartialTable, PeerId, ReceiveOutcome, SharedBlockTable, SiteId, Version,
};
use hdrhistogram::Histogram;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

/// Number of sites.
const SITES: u16 = 770;
/// Numbers of blocks without `--blocks`.
const SIZES: [usize; 3] = [50_000, 500_000, 5_000_000];
const DEFAULT_SEED: u64 = 20_260_101;
/// Number of lookups in one timed pass.
const LOOKUPS: usize = 2_000_000;
/// Number of distinct blocks that the addresses of clustered lookups are in.
const CLUSTER_BLOCKS: usize = 2_000;
/// Duration of each phase of the swap measurement.
const SWAP_PHASE: Duration = Duration::from_secs(2);
/// Time between two swaps. The target of 2,600 changes a day is one in 33 s; this rate is 660 times
/// as high.
const SWAP_INTERVAL: Duration = Duration::from_millis(50);
/// Number of threads that look up addresses during the swap measurement.
const READERS: usize = 3;
/// Round-trip time between peers in the simulated fetch.
const ROUND_TRIP: Duration = Duration::from_millis(110);

fn main() {
    let (sizes, seed) = arguments();
    let results: Vec<Value> = sizes.iter().map(|&blocks| measure(blocks, seed)).collect();
    let report = json!({ "seed": seed, "sites": SITES, "sizes": results });
    println!("{report:#}");
}

/// Reads `--blocks N` and `--seed S`, and exits on anything else.
fn arguments() -> (Vec<usize>, u64) {
    let mut sizes = SIZES.to_vec();
    let mut seed = DEFAULT_SEED;
    let mut args = env::args().skip(1);
    while let Some(flag) = args.next() {
        let number = args.next().and_then(|value| value.parse::<u64>().ok());
        match (flag.as_str(), number) {
            ("--blocks", Some(blocks)) => sizes = vec![blocks as usize],
            ("--seed", Some(value)) => seed = value,
            _ => {
                eprintln!("usage: measure [--blocks N] [--seed S]");
                std::process::exit(2);
            }
        }
    }
    (sizes, seed)
}

/// Runs all measurements on a table of `blocks` entries.
fn measure(blocks: usize, seed: u64) -> Value {
    let mut rng = StdRng::seed_from_u64(seed);
    let entries = synthesize(blocks, &mut rng);

    let started = Instant::now();
    let table = BlockTable::build(Version(1), &entries).expect("valid entries");
    let build = started.elapsed();
    let started = Instant::now();
    let flat = FlatTable::build(&entries);
    let flat_build = started.elapsed();

    let random_addrs = addresses(&entries, entries.len(), &mut rng);
    let clustered_addrs = addresses(&entries, CLUSTER_BLOCKS.min(entries.len()), &mut rng);
    let lookups = json!({
        "random": compare_layouts(&table, &flat, &random_addrs),
        "clustered": compare_layouts(&table, &flat, &clustered_addrs),
    });
    drop(flat);

    let base = table.version();
    let deltas = [1, 100, 10_000].map(|count| {
        let changes = make_delta(base, &entries, count, &mut rng);
        measure_delta(&table, &changes)
    });
    let delta_ipv6 = measure_delta(&table, &make_v6_delta(base, &entries));
    let copy = measure_copy(&table);
    let scattered = encoded_bytes_with_random_sites(&entries, &mut rng);
    let swap = measure_swaps(&table, &entries, &random_addrs, &mut rng);
    json!({
        "blocks": table.entry_count(),
        "ranges": table.range_count(),
        "heap_bytes": table.heap_bytes(),
        "heap_bytes_per_block": table.heap_bytes() as f64 / table.entry_count() as f64,
        "build_s": build.as_secs_f64(),
        "flat_build_s": flat_build.as_secs_f64(),
        "lookup": lookups,
        "delta": deltas,
        "delta_ipv6": delta_ipv6,
        "copy": copy,
        "encoded_bytes_with_scattered_sites": scattered,
        "swap": swap,
    })
}

/// Generates distinct blocks, as described at the top of the file.
fn synthesize(blocks: usize, rng: &mut StdRng) -> Vec<BlockEntry> {
    let mut seen = HashSet::with_capacity(blocks);
    let mut entries = Vec::with_capacity(blocks);
    let v6_groups = (blocks / 250).max(1) as u32;
    let mut recent = 0x0100_0000u32;
    while entries.len() < blocks {
        let prefix = if rng.random_bool(0.85) {
            IpNet::V4(v4_block(&mut recent, rng))
        } else {
            let group = 0x2400_0000 + rng.random_range(0..v6_groups) * 7;
            let addr = u128::from(group) << 96 | u128::from(rng.random::<u32>() >> 12) << 72;
            let len = if rng.random_bool(0.6) { 48 } else { 56 };
            IpNet::V6(Ipv6Net::new_assert(Ipv6Addr::from_bits(addr), len).trunc())
        };
        if seen.insert(prefix) {
            entries.push(BlockEntry {
                prefix,
                site: site_near(prefix, rng),
            });
        }
    }
    entries
}

/// Generates an IPv4 block. `recent` is the last /24, in which a /28 is placed.
fn v4_block(recent: &mut u32, rng: &mut StdRng) -> Ipv4Net {
    let (addr, len) = match rng.random_range(0..100) {
        0..4 => (*recent | rng.random_range(0..256), 28),
        4..10 => (rng.random_range(0x0100_0000..0xdf00_0000), 22),
        _ => (rng.random_range(0x0100_0000..0xdf00_0000), 24),
    };
    if len == 24 {
        *recent = addr & 0xffff_ff00;
    }
    Ipv4Net::new_assert(Ipv4Addr::from_bits(addr), len).trunc()
}

/// Chooses a site: in most cases the main site of the block's /16 or /32, or one near it.
fn site_near(prefix: IpNet, rng: &mut StdRng) -> SiteId {
    let area = match prefix {
        IpNet::V4(net) => net.addr().to_bits() >> 16,
        IpNet::V6(net) => (net.addr().to_bits() >> 96) as u32,
    };
    let main = area.wrapping_mul(0x9e37_79b1) >> 8;
    let site = match rng.random_range(0..100) {
        0..70 => main,
        70..90 => main + rng.random_range(1..4),
        _ => rng.random(),
    };
    SiteId((site % u32::from(SITES)) as u16)
}

/// Returns addresses in blocks drawn from the first `from` entries. One address in 50 is drawn from
/// the whole IPv4 address space instead.
fn addresses(entries: &[BlockEntry], from: usize, rng: &mut StdRng) -> Vec<IpAddr> {
    (0..LOOKUPS)
        .map(|_| {
            if rng.random_range(0..50) == 0 {
                return IpAddr::V4(Ipv4Addr::from_bits(rng.random()));
            }
            match entries[rng.random_range(0..from)].prefix {
                IpNet::V4(net) => {
                    let host = rng.random::<u32>() & net.hostmask().to_bits();
                    IpAddr::V4(Ipv4Addr::from_bits(net.addr().to_bits() | host))
                }
                IpNet::V6(net) => {
                    let host = rng.random::<u128>() & net.hostmask().to_bits();
                    IpAddr::V6(Ipv6Addr::from_bits(net.addr().to_bits() | host))
                }
            }
        })
        .collect()
}

/// An alternative layout for comparison: one sorted array of ranges per address family, with a
/// binary search over the whole array.
struct FlatTable {
    /// First address and site of each IPv4 range.
    v4: (Vec<u32>, Vec<u16>),
    /// First address and site of each IPv6 range.
    v6: (Vec<u128>, Vec<u16>),
}

impl FlatTable {
    fn build(entries: &[BlockEntry]) -> FlatTable {
        let (mut v4, mut v6) = (Vec::new(), Vec::new());
        for entry in entries {
            match entry.prefix {
                IpNet::V4(net) => {
                    let (first, len) = (u128::from(net.addr().to_bits()) << 96, net.prefix_len());
                    v4.push((first, len, entry.site.0));
                }
                IpNet::V6(net) => v6.push((net.addr().to_bits(), net.prefix_len(), entry.site.0)),
            }
        }
        let (starts, sites) = flatten(v4);
        let v4 = (
            starts.iter().map(|start| (start >> 96) as u32).collect(),
            sites,
        );
        FlatTable {
            v4,
            v6: flatten(v6),
        }
    }

    #[inline]
    fn lookup(&self, addr: IpAddr) -> Option<SiteId> {
        let site = match addr {
            IpAddr::V4(addr) => {
                let bits = addr.to_bits();
                self.v4.1[self.v4.0.partition_point(|&start| start <= bits) - 1]
            }
            IpAddr::V6(addr) => {
                let bits = addr.to_bits();
                self.v6.1[self.v6.0.partition_point(|&start| start <= bits) - 1]
            }
        };
        (site != u16::MAX).then_some(SiteId(site))
    }

    fn heap_bytes(&self) -> usize {
        self.v4.0.len() * 6 + self.v6.0.len() * 18
    }
}

/// Turns nested blocks into disjoint ranges. Returns the first address and the site of each.
fn flatten(mut blocks: Vec<(u128, u8, u16)>) -> (Vec<u128>, Vec<u16>) {
    blocks.sort_unstable();
    let mut ranges: Vec<(u128, u16)> = vec![(0, u16::MAX)];
    // The blocks that enclose the current position, outermost first: last address and site.
    let mut enclosing: Vec<(u128, u16)> = Vec::new();
    let mut push = |start, site| {
        if ranges.last().is_some_and(|last| last.0 == start) {
            ranges.pop();
        }
        if ranges.last().is_none_or(|last| last.1 != site) {
            ranges.push((start, site));
        }
    };
    for (first, len, site) in blocks {
        while let Some((last, _)) = enclosing.pop_if(|(last, _)| *last < first) {
            push(
                last + 1,
                enclosing.last().map_or(u16::MAX, |&(_, site)| site),
            );
        }
        push(first, site);
        enclosing.push((first | u128::MAX.checked_shr(len.into()).unwrap_or(0), site));
    }
    while let Some((last, _)) = enclosing.pop() {
        if let Some(next) = last.checked_add(1) {
            push(next, enclosing.last().map_or(u16::MAX, |&(_, site)| site));
        }
    }
    ranges.into_iter().unzip()
}

/// Times both layouts alternately on one thread. The rates are the medians of five passes each.
fn compare_layouts(table: &BlockTable, flat: &FlatTable, addrs: &[IpAddr]) -> Value {
    for &addr in &addrs[..10_000] {
        assert_eq!(table.lookup(addr), flat.lookup(addr), "{addr}");
    }
    let mut paged_rates = Vec::new();
    let mut flat_rates = Vec::new();
    for _ in 0..5 {
        paged_rates.push(lookup_rate(addrs, |addr| table.lookup(addr)));
        flat_rates.push(lookup_rate(addrs, |addr| flat.lookup(addr)));
    }
    let (paged, flat_rate) = (median(paged_rates), median(flat_rates));
    json!({
        "paged_per_s": paged,
        "flat_per_s": flat_rate,
        "paged_over_flat": paged / flat_rate,
        "flat_heap_bytes": flat.heap_bytes(),
    })
}

/// Returns the lookups per second of one pass over `addrs`.
fn lookup_rate(addrs: &[IpAddr], lookup: impl Fn(IpAddr) -> Option<SiteId>) -> f64 {
    let started = Instant::now();
    for &addr in addrs {
        black_box(lookup(addr));
    }
    addrs.len() as f64 / started.elapsed().as_secs_f64()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Generates a delta with `count` changes, of which four fifths change the site of a block and the
/// rest remove a block.
fn make_delta(base: Version, entries: &[BlockEntry], count: usize, rng: &mut StdRng) -> BlockDelta {
    let mut chosen: Vec<usize> = rand::seq::index::sample(rng, entries.len(), count).into_vec();
    chosen.shuffle(rng);
    let (removed, set) = chosen.split_at(count / 5);
    let set = set.iter().map(|&index| {
        let site = SiteId((entries[index].site.0 + 1) % SITES);
        BlockEntry {
            site,
            ..entries[index]
        }
    });
    BlockDelta {
        base,
        version: Version(base.0 + 1),
        set: set.collect(),
        removed: removed.iter().map(|&index| entries[index].prefix).collect(),
    }
}

/// Returns a delta that changes the site of the first IPv6 block.
fn make_v6_delta(base: Version, entries: &[BlockEntry]) -> BlockDelta {
    let mut set = entries.to_vec();
    set.retain(|entry| matches!(entry.prefix, IpNet::V6(_)));
    set.truncate(1);
    set.iter_mut()
        .for_each(|entry| entry.site.0 = (entry.site.0 + 1) % SITES);
    BlockDelta {
        base,
        version: Version(base.0 + 1),
        set,
        removed: Vec::new(),
    }
}

/// Measures the encoded size of a delta, and the median times to decode it, to apply it and to free
/// the resulting table.
fn measure_delta(table: &BlockTable, delta: &BlockDelta) -> Value {
    let parts = delta.encode().expect("valid entries");
    let bytes: usize = parts.iter().map(|part| part.bytes().len()).sum();
    let mut apply = Vec::new();
    let mut decode = Vec::new();
    let mut free = Vec::new();
    for _ in 0..9 {
        let started = Instant::now();
        black_box(BlockDelta::decode(&parts).expect("valid parts"));
        decode.push(started.elapsed().as_secs_f64() * 1e6);
        let started = Instant::now();
        let new = table.apply(delta).expect("a matching delta");
        apply.push(started.elapsed().as_secs_f64() * 1e6);
        let started = Instant::now();
        drop(new);
        free.push(started.elapsed().as_secs_f64() * 1e6);
    }
    json!({
        "entries": delta.set.len() + delta.removed.len(),
        "encoded_bytes": bytes,
        "receive_s_at_11_kb_s": bytes as f64 / 11_000.0,
        "decode_us": median(decode),
        "apply_us": median(apply),
        "free_us": median(free),
    })
}

/// Measures the size of a whole copy, the times to encode and assemble it, and a simulated fetch
/// without and with a peer that stops responding.
fn measure_copy(table: &BlockTable) -> Value {
    let started = Instant::now();
    let encoded = table.encode();
    let encode = started.elapsed();
    let longest = encoded.chunks.iter().map(|chunk| chunk.bytes().len()).max();
    let (seconds, spent, assemble) = simulate_fetch(&encoded, &[1, 2, 3], None);
    let (peer_loss_seconds, peer_loss_spent, _) =
        simulate_fetch(&encoded, &[1, 2, 3], Some(PeerId(2)));
    json!({
        "chunks": encoded.chunks.len(),
        "longest_chunk_bytes": longest,
        "chunk_bytes": encoded.manifest.total_bytes(),
        "bytes_per_block": encoded.manifest.total_bytes() as f64 / table.entry_count() as f64,
        "manifest_bytes": encoded.manifest.encode().len(),
        "encode_s": encode.as_secs_f64(),
        "assemble_s": assemble.as_secs_f64(),
        "fetch_s_at_11_kb_s": seconds,
        "fetch_spent_bytes": spent,
        "fetch_s_when_a_peer_vanishes": peer_loss_seconds,
        "fetch_spent_bytes_when_a_peer_vanishes": peer_loss_spent,
    })
}

/// Runs a fetch plan in simulated time. The peer `failing`, if any, stops responding after a third
/// of the bytes. Returns the simulated seconds, the bytes charged to the budget, and the real time
/// to assemble the table.
fn simulate_fetch(
    encoded: &EncodedTable,
    peers: &[u32],
    failing: Option<PeerId>,
) -> (f64, u64, Duration) {
    let config = FetchConfig::default();
    let overhead = u64::from(config.overhead_bytes);
    let mut plan = FetchPlan::new(&encoded.manifest, config);
    peers.iter().for_each(|&peer| plan.add_peer(PeerId(peer)));
    let mut partial = PartialTable::new(encoded.manifest.clone());
    let mut now = Duration::ZERO;
    let mut spent = 0;
    let mut assemble = Duration::ZERO;
    let mut responses: Vec<(Duration, filbertgrade_blocks::PieceRequest)> = Vec::new();
    loop {
        if let Some(index) = responses.iter().position(|(at, _)| *at <= now) {
            let (_, request) = responses.remove(index);
            let start = request.offset as usize;
            let bytes = &encoded.chunks[request.index].as_ref()[start..][..request.len as usize];
            let outcome = plan.receive(request.peer, request.index, request.offset, bytes);
            if let ReceiveOutcome::Chunk { index, bytes } = outcome {
                let started = Instant::now();
                partial.insert(index, &bytes).expect("a valid chunk");
                assemble += started.elapsed();
            }
            continue;
        }
        match plan.next(now) {
            FetchStep::Request(request) => {
                spent += u64::from(request.len) + overhead;
                let failed = spent > encoded.manifest.total_bytes() / 3;
                if failing != Some(request.peer) || !failed {
                    // The transfer of the response takes as long as its bytes at the budgeted rate.
                    let transfer = Duration::from_secs_f64(f64::from(request.len) / 11_000.0);
                    responses.push((now + ROUND_TRIP + transfer, request));
                }
            }
            FetchStep::Wait { until } => {
                now = responses
                    .iter()
                    .map(|(at, _)| *at)
                    .chain([until])
                    .min()
                    .unwrap_or(until);
            }
            FetchStep::NoPeers => panic!("peers that respond remain"),
            FetchStep::Done => break,
        }
    }
    let started = Instant::now();
    drop(
        partial
            .finish()
            .expect("the entry count matches")
            .expect("every chunk is loaded"),
    );
    (now.as_secs_f64(), spent, assemble + started.elapsed())
}

/// Returns the encoded size if every block has a random site, independent of its neighbours.
fn encoded_bytes_with_random_sites(entries: &[BlockEntry], rng: &mut StdRng) -> u64 {
    let scattered: Vec<BlockEntry> = entries
        .iter()
        .map(|entry| BlockEntry {
            site: SiteId(rng.random_range(0..SITES)),
            ..*entry
        })
        .collect();
    let table = BlockTable::build(Version(1), &scattered).expect("valid entries");
    table.encode().manifest.total_bytes()
}

/// Compares the latency of single lookups without and with concurrent swaps of the table, in
/// alternating phases.
fn measure_swaps(
    table: &BlockTable,
    entries: &[BlockEntry],
    addrs: &[IpAddr],
    rng: &mut StdRng,
) -> Value {
    let shared = SharedBlockTable::new(table.clone());
    let mut quiet = Histogram::new(3).expect("valid precision");
    let mut swapping = Histogram::new(3).expect("valid precision");
    let mut swaps = 0;
    for _ in 0..2 {
        quiet
            .add(time_lookups_during(&shared, addrs, || {
                thread::sleep(SWAP_PHASE);
            }))
            .expect("equal bounds");
        swapping
            .add(time_lookups_during(&shared, addrs, || {
                let started = Instant::now();
                while started.elapsed() < SWAP_PHASE {
                    let current = shared.load().version();
                    let mut delta = make_delta(current, entries, 100, rng);
                    // Removals are left out, because the same block could be drawn again later and
                    // removing it twice is an error.
                    delta.removed.clear();
                    drop(shared.apply(&delta).expect("a matching delta"));
                    swaps += 1;
                    thread::sleep(SWAP_INTERVAL);
                }
            }))
            .expect("equal bounds");
    }
    let quantiles = |histogram: &Histogram<u64>| {
        json!({
            "p50_ns": histogram.value_at_quantile(0.50),
            "p99_ns": histogram.value_at_quantile(0.99),
            "p999_ns": histogram.value_at_quantile(0.999),
            "max_ns": histogram.max(),
        })
    };
    let ratio = |q| swapping.value_at_quantile(q) as f64 / quiet.value_at_quantile(q) as f64;
    json!({
        "readers": READERS,
        "swaps": swaps,
        "quiet": quantiles(&quiet),
        "swapping": quantiles(&swapping),
        "p99_ratio": ratio(0.99),
        "p999_ratio": ratio(0.999),
    })
}

/// Runs `work` while [`READERS`] threads look up addresses. Returns the latency of every lookup in
/// nanoseconds.
fn time_lookups_during(
    shared: &SharedBlockTable,
    addrs: &[IpAddr],
    work: impl FnOnce(),
) -> Histogram<u64> {
    let stop = Arc::new(AtomicBool::new(false));
    thread::scope(|scope| {
        let readers: Vec<_> = (0..READERS)
            .map(|reader| {
                let stop = Arc::clone(&stop);
                scope.spawn(move || {
                    let mut histogram = Histogram::new(3).expect("valid precision");
                    for &addr in addrs.iter().cycle().skip(reader * 1_000) {
                        if stop.load(Ordering::Relaxed) {
                            break;
                        }
                        let started = Instant::now();
                        black_box(shared.lookup(addr));
                        let ns = started.elapsed().as_nanos() as u64;
                        histogram.record(ns).expect("the histogram resizes itself");
                    }
                    histogram
                })
            })
            .collect();
        work();
        stop.store(true, Ordering::Relaxed);
        let mut all = Histogram::new(3).expect("valid precision");
        for reader in readers {
            all.add(reader.join().expect("the reader does not panic"))
                .expect("equal bounds");
        }
        all
    })
}
