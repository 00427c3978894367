//! Simulates which VMs connect to which endpoints, and prints how evenly the
//! connections are distributed.
//!
//! ```text
//! cargo run --release -p filbertgrade-coord --example connection_subsets -- [--seed N]
//! ```
//!
//! Every VM opens one connection to each endpoint of its own region, and one to
//! `k` endpoints of every other region. It chooses those that rank highest in
//! rendezvous hashing with the VM's name.

use std::env;

use filbertgrade_coord::rendezvous;

const VMS: usize = 3_500;
const REGIONS: usize = 20;
const FAILURE_DOMAINS: usize = 72;
const ENDPOINTS: usize = 770;
/// Maximum number of connections of an endpoint: the lower of the limits of the
/// two deployments.
const MAX_CONNECTIONS: usize = 330;

fn main() {
    let args: Vec<String> = env::args().collect();
    let seed: u64 = match args.as_slice() {
        [_, flag, value] if flag == "--seed" => value.parse().expect("the seed is a number"),
        _ => 1,
    };
    println!(
        "vms={VMS} endpoints={ENDPOINTS} regions={REGIONS} limit={MAX_CONNECTIONS} seed={seed}"
    );
    for k in 1..=3 {
        report(k, "all VMs", &connections(seed, k, |_| true));
        // Failure domain 0, which is in region 0, has failed with all its VMs.
        report(
            k,
            "one domain lost",
            &connections(seed, k, |vm| vm % FAILURE_DOMAINS != 0),
        );
    }
}

/// Counts the connections of each endpoint from the live VMs.
fn connections(seed: u64, k: usize, live: impl Fn(usize) -> bool) -> Vec<usize> {
    let names: Vec<String> = (0..ENDPOINTS).map(|e| format!("e-{seed}-{e}")).collect();
    let mut counts = vec![0; ENDPOINTS];
    for vm in (0..VMS).filter(|vm| live(*vm)) {
        let own_region = vm % FAILURE_DOMAINS % REGIONS;
        for region in 0..REGIONS {
            let endpoints = (0..ENDPOINTS).filter(|e| e % REGIONS == region);
            if region == own_region {
                endpoints.for_each(|e| counts[e] += 1);
            } else {
                let key = format!("vm-{seed}-{vm}/{region}");
                let of_region = endpoints.map(|e| &names[e]);
                for name in rendezvous::top(&key, of_region, k) {
                    let index = name
                        .rsplit('-')
                        .next()
                        .and_then(|n| n.parse::<usize>().ok());
                    counts[index.expect("an endpoint's name ends in its number")] += 1;
                }
            }
        }
    }
    counts
}

/// Prints one line about the distribution of connections.
fn report(k: usize, case: &str, counts: &[usize]) {
    let total: usize = counts.iter().sum();
    let over_limit = counts.iter().filter(|n| **n > MAX_CONNECTIONS).count();
    println!(
        "k={k} case={case:?} min={} mean={:.1} max={} over_limit={over_limit} mean_per_vm={:.1}",
        counts.iter().min().unwrap_or(&0),
        total as f64 / ENDPOINTS as f64,
        counts.iter().max().unwrap_or(&0),
        total as f64 / VMS as f64,
    );
}
