//! Measures lookups per second on one core, from a client address to the chosen VMs and to the
//! encoded JSON response.
//!
//! `cargo run --release -p filbertgrade --example lookups [blocks]`
//!
//! `blocks` is the number of configured client blocks, 20,000 by default.

use std::fmt::Write;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

use bytes::Bytes;
use filbertgrade::process::entry::lookup::respond;
use filbertgrade::version::{CONFIG_ROOT, ConfigRoot, InForce};
use filbertgrade_coord::versioned::{Entry, Snapshot, VersionedMap};

/// Number of lookups in one timed pass.
const LOOKUPS: u32 = 1_000_000;

fn main() {
    let blocks = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(20_000);
    let start = Instant::now();
    let view = view(blocks);
    println!(
        "{blocks} blocks, 9 VMs: view built in {:.3} s",
        start.elapsed().as_secs_f64()
    );
    let client = |n: u32| {
        IpAddr::V4(Ipv4Addr::from_bits(
            0x0a00_0000 | n.wrapping_mul(0x9e37_79b1) >> 8,
        ))
    };
    for (name, encode) in [("choice of VMs", false), ("choice and JSON", true)] {
        let start = Instant::now();
        for n in 0..LOOKUPS {
            let response = respond(black_box(&view), black_box(client(n)), 7080, None);
            if encode {
                black_box(serde_json::to_vec(&response).unwrap_or_default());
            } else {
                black_box(response);
            }
        }
        let rate = f64::from(LOOKUPS) / start.elapsed().as_secs_f64();
        println!("{name}: {rate:.0} look-ups/s on one core");
    }
}

/// Builds a configuration in force with three regions, nine VMs, one service and `blocks` client
/// blocks of /24.
fn view(blocks: u32) -> InForce {
    let mut text = "deployment = \"bench\"\nlookup.ttl_ms = 1000\nshift.cap = 0.1\n\
        network = { store_region = \"r0\", domain_latency_ms = 0.5, region_latency_ms = 20, \
        client_latency_ms = 3, connect_ms = 1, region_bandwidth_mbit = 1000 }\n\
        services.chart.slots = 4\nservices.chart.connections = 100\n\
        teams.atelier = { rate = 10, burst = 10 }\n"
        .to_owned();
    let mut objects: Vec<(String, String)> = Vec::new();
    for r in 0..3 {
        let _ = writeln!(text, "regions.r{r}.failure_domains = [\"d{r}\"]");
        let _ = writeln!(text, "services.chart.weights.r{r} = 1");
        let _ = writeln!(
            text,
            "services.chart.endpoints.d{r} = [\"127.200.9.{r}:9000\"]"
        );
        let region_blocks = (0..blocks).filter(|n| n % 3 == r);
        let region_blocks =
            region_blocks.map(|n| format!("\"{}/24\"", Ipv4Addr::from_bits(0x0a00_0000 | n << 8)));
        let _ = writeln!(
            text,
            "client_blocks.r{r} = [{}]",
            region_blocks.collect::<Vec<_>>().join(",")
        );
        for vm in 0..3 {
            let record = format!(
                "{{\"name\":\"r{r}-{vm}\",\"address\":\"127.200.{r}.{vm}\",\"region\":\"r{r}\",\
                 \"failure_domain\":\"d{r}\",\"state\":\"live\"}}"
            );
            objects.push((format!("vms/r{r}-{vm}"), record));
        }
    }
    let root = ConfigRoot {
        version: 1,
        apply_id: "bench".to_owned(),
        parts: vec!["p".to_owned()],
        recent: Vec::new(),
    };
    objects.push((
        CONFIG_ROOT.to_owned(),
        serde_json::to_string(&root).unwrap_or_default(),
    ));
    objects.push(("config/part/p".to_owned(), text));
    let entries = objects.into_iter().map(|(name, value)| {
        let value = Bytes::from(value);
        (name.into(), Entry { revision: 1, value })
    });
    let snapshot = Snapshot {
        revision: 1,
        entries: entries.collect(),
    };
    let mut map = VersionedMap::new(0);
    map.apply_snapshot(snapshot)
        .expect("revisions are in range");
    InForce::build(&map, &InForce::default())
}
