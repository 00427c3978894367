//! Builds views from a configuration and other stored objects, without processes.

use std::collections::BTreeMap;
use std::fmt::Write;

use bytes::Bytes;
use filbertgrade::version::{CONFIG_ROOT, ConfigRoot, InForce};
use filbertgrade_coord::versioned::{Entry, Snapshot, VersionedMap};

/// Regions of the configuration; its only service, `chart`, is in all of them.
pub(crate) const REGIONS: [&str; 3] = ["east", "north", "south"];

/// Returns a configuration text with a weight of the service for each region, and
/// with `blocks` as the lines of its client blocks.
pub(crate) fn config(weights: [u32; 3], blocks: &str) -> String {
    let mut text = "deployment = \"test\"\nlookup.ttl_ms = 1000\nshift.cap = 0.25\n\
        network = { store_region = \"north\", domain_latency_ms = 0.5, region_latency_ms = 20, \
        client_latency_ms = 3, connect_ms = 1, region_bandwidth_mbit = 1000 }\n"
        .to_owned();
    let mut endpoints = String::new();
    for (n, (region, weight)) in REGIONS.iter().zip(weights).enumerate() {
        let _ = writeln!(text, "regions.{region}.failure_domains = [\"{region}-a\"]");
        let _ = writeln!(text, "services.chart.weights.{region} = {weight}");
        let _ = writeln!(
            endpoints,
            "services.chart.endpoints.{region}-a = [\"127.200.9.{n}:9000\"]"
        );
    }
    text + &endpoints
        + "services.chart.slots = 4\nservices.chart.connections = 100\n\
           teams.atelier = { rate = 10, burst = 10 }\n"
        + blocks
}

/// Builds the view of a configuration, `vms` VMs in each region, and the stored
/// objects `more`.
pub(crate) fn view(config: &str, vms: usize, more: &[(&str, &str)]) -> InForce {
    let root = ConfigRoot {
        version: 1,
        apply_id: "test".to_owned(),
        parts: vec!["p".to_owned()],
        recent: Vec::new(),
    };
    let mut objects = BTreeMap::from([
        (
            CONFIG_ROOT.to_owned(),
            serde_json::to_string(&root).unwrap(),
        ),
        ("config/part/p".to_owned(), config.to_owned()),
    ]);
    for (n, region) in REGIONS.iter().enumerate() {
        for vm in 0..vms {
            let name = format!("{region}-{vm}");
            let record = format!(
                "{{\"name\":\"{name}\",\"address\":\"127.200.{n}.{}\",\"region\":\"{region}\",\
                 \"failure_domain\":\"{region}-a\",\"state\":\"live\"}}",
                vm + 1
            );
            objects.insert(format!("vms/{name}"), record);
        }
    }
    for (name, value) in more {
        objects.insert((*name).to_owned(), (*value).to_owned());
    }
    let entries = objects.into_iter().map(|(name, value)| {
        let entry = Entry {
            revision: 1,
            value: Bytes::from(value),
        };
        (name.into(), entry)
    });
    let mut map = VersionedMap::new(0);
    map.apply_snapshot(Snapshot {
        revision: 1,
        entries: entries.collect(),
    })
    .unwrap();
    InForce::build(&map, &InForce::default())
}
