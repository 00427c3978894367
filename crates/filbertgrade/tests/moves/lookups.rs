//! Tests of lookup responses, computed from views without processes.

use std::collections::BTreeMap;
use std::net::IpAddr;

use filbertgrade::process::entry::lookup::respond;
use filbertgrade::version::InForce;
use filbertgrade_coord::names::VmName;
use rstest::rstest;

use crate::view::{config, view};

const BLOCKS: &str = "client_blocks.east = [\"10.1.0.0/16\", \"10.2.7.0/24\", \"2001:db8:1::/48\"]\n\
    client_blocks.north = [\"10.2.0.0/16\"]\n\
    client_blocks.south = [\"10.3.0.0/16\", \"2001:db8::/32\"]\n";

/// Returns the names of the VMs in a client's lookup response. `leaving` is the
/// name of the responding VM if it is leaving.
fn names(view: &InForce, client: &str, leaving: Option<&str>) -> Vec<String> {
    let client: IpAddr = client.parse().unwrap();
    let leaving = leaving.map(|vm| VmName::try_from(vm).unwrap());
    let response = serde_json::to_value(respond(view, client, 7080, leaving.as_ref())).unwrap();
    let vms = response["vms"].as_array().unwrap().iter();
    vms.map(|vm| vm["vm"].as_str().unwrap().to_owned())
        .collect()
}

/// Returns the region of the first VM in a client's lookup response.
fn first_region(view: &InForce, client: &str) -> String {
    let first = names(view, client, None)
        .first()
        .cloned()
        .unwrap_or_default();
    first.split('-').next().unwrap_or_default().to_owned()
}

/// Guards against a wrong longest-prefix match, and against IPv6 clients without
/// a region.
#[rstest]
#[case("10.1.2.3", "east")]
#[case("10.2.2.3", "north")]
#[case("10.2.7.3", "east")]
#[case("::ffff:10.3.0.1", "south")]
#[case("2001:db8:1::9", "east")]
#[case("2001:db8:2::9", "south")]
fn client_gets_the_region_of_its_longest_matching_block(
    #[case] client: &str,
    #[case] region: &str,
) {
    let view = view(&config([1, 1, 1], BLOCKS), 3, &[]);
    assert_eq!(first_region(&view, client), region);
    assert_eq!(names(&view, client, None), names(&view, client, None));
}

/// Guards against clients outside all blocks that are all sent to one region, and
/// against clients of a region that are all sent to one of its VMs.
#[test]
fn clients_outside_all_blocks_follow_the_weights_and_clients_spread_over_vms() {
    let view = view(&config([60, 30, 10], BLOCKS), 4, &[]);
    let (mut regions, mut vms) = (BTreeMap::new(), BTreeMap::new());
    for n in 0..4000_u32 {
        let client = format!("198.{}.{}.{}", 51 + n % 3, n / 256, n % 256);
        *regions.entry(first_region(&view, &client)).or_insert(0) += 1;
        let first = names(&view, &format!("10.1.{}.{}", n / 256, n % 256), None);
        *vms.entry(first[0].clone()).or_insert(0) += 1;
    }
    // The tolerances are four standard deviations of 4,000 samples: 3.1% for the
    // regions, and 2.7% for one of four VMs.
    for (region, expected) in [("east", 0.6), ("north", 0.3), ("south", 0.1)] {
        let got = f64::from(regions[region]) / 4000.0;
        assert!((got - expected).abs() < 0.031, "{regions:?}");
    }
    // East's weight is above its arrivals, so it keeps all of its own clients.
    let east: Vec<_> = vms
        .iter()
        .filter(|(vm, _)| vm.starts_with("east"))
        .collect();
    assert_eq!(east.len(), 4);
    assert!(
        east.iter().all(|(_, n)| (**n - 1000_i32).abs() < 110),
        "{vms:?}"
    );
}

/// Guards against clients that stay with a region whose weight is below its
/// arrivals, and against a weight change that also moves clients between the
/// regions that gain.
#[test]
fn weight_change_moves_clients_only_out_of_the_region_that_loses_weight() {
    let before = view(&config([1, 1, 1], BLOCKS), 2, &[]);
    let after = view(&config([1, 2, 2], BLOCKS), 2, &[]);
    let mut moved = 0;
    for n in 0..2000_u32 {
        let client_in = |block: u32| format!("10.{block}.{}.{}", n / 256, n % 256);
        assert_eq!(first_region(&before, &client_in(1)), "east");
        moved += u32::from(first_region(&after, &client_in(1)) != "east");
        for (block, region) in [(2, "north"), (3, "south")] {
            let client = client_in(block);
            if !client.starts_with("10.2.7.") {
                assert_eq!(first_region(&after, &client), region);
            }
        }
    }
    // East gets 0.2 instead of 1/3, so 40% of its clients move. The tolerance is
    // four standard deviations, 4.4%.
    assert!((f64::from(moved) / 2000.0 - 0.4).abs() < 0.044, "{moved}");
}

/// Guards against responses that name VMs which accept no new work.
#[test]
fn lookup_responses_omit_leaving_and_drained_vms() {
    let text = config([1, 1, 1], BLOCKS);
    let drains = [("drains/vm/east-0", "{}"), ("drains/region/north", "{}")];
    let drained = view(&text, 2, &drains);
    for n in 0..50 {
        let names = names(&drained, &format!("10.1.0.{n}"), None);
        assert_eq!(names[0], "east-1");
        assert!(
            !names
                .iter()
                .any(|vm| vm == "east-0" || vm.starts_with("north")),
            "{names:?}"
        );
        assert_ne!(first_region(&drained, &format!("10.2.0.{n}")), "north");
    }
    let all = view(&text, 2, &[]);
    assert!(!names(&all, "10.1.0.1", Some("east-1")).contains(&"east-1".to_owned()));
}

/// Guards against responses with VMs of only one region, which are all useless if
/// that region fails.
#[test]
fn lookup_response_includes_a_vm_of_another_region() {
    let view = view(&config([1, 1, 1], BLOCKS), 9, &[]);
    let names = names(&view, "10.1.0.1", None);
    assert_eq!(names.len(), 4);
    assert!(names[..3].iter().all(|vm| vm.starts_with("east")));
    assert!(!names[3].starts_with("east"));
}
