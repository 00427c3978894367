//! Simulates which VMs connect to which endpoints, and prints the balance.
//!
//! ```text
//! cargo run --release -p filbertgrade-coord --example connection_subsets -- [--seed N]
//! ```
//!
//! Rule: every VM connects once to each endpoint of its own region, and once
//! to `k` endpoints of every other region, the highest by rendezvous hashing
//! with the VM's name.

use std::env;

use filbertgrade_coord::rendezvous;

const VMS: usize = 3_500;
const REGIONS: usize = 20;
const DOMAINS: usize = 72;
const ENDPOINTS: usize = 770;
/// The lower of the two deployments' limits.
const LIMIT: usize = 330;

fn main() {
    let args: Vec<String> = env::args().collect();
    let seed: u64 = match args.as_slice() {
        [_, flag, value] if flag == "--seed" => value.parse().expect("a number"),
        _ => 1,
    };
    println!("vms={VMS} endpoints={ENDPOINTS} regions={REGIONS} limit={LIMIT} seed={seed}");
    for k in 1..=3 {
        report(k, "all VMs", &connections(seed, k, |_| true));
        // Domain 0 is in region 0; its VMs are gone.
        report(
            k,
            "one domain lost",
            &connections(seed, k, |vm| vm % DOMAINS != 0),
        );
    }
}

/// Connections of each endpoint.
fn connections(seed: u64, k: usize, live: impl Fn(usize) -> bool) -> Vec<usize> {
    let names: Vec<String> = (0..ENDPOINTS).map(|e| format!("e-{seed}-{e}")).collect();
    let mut count = vec![0; ENDPOINTS];
    for vm in (0..VMS).filter(|vm| live(*vm)) {
        let own = vm % DOMAINS % REGIONS;
        for region in 0..REGIONS {
            let here = (0..ENDPOINTS).filter(|e| e % REGIONS == region);
            if region == own {
                here.for_each(|e| count[e] += 1);
            } else {
                let key = format!("vm-{seed}-{vm}/{region}");
                let of_region = here.map(|e| &names[e]);
                for name in rendezvous::top(&key, of_region, k) {
                    let index = name
                        .rsplit('-')
                        .next()
                        .and_then(|n| n.parse::<usize>().ok());
                    count[index.expect("an endpoint's name ends in its number")] += 1;
                }
            }
        }
    }
    count
}

fn report(k: usize, case: &str, count: &[usize]) {
    let total: usize = count.iter().sum();
    let over = count.iter().filter(|n| **n > LIMIT).count();
    println!(
        "k={k} case={case:?} min={} mean={:.1} max={} over_limit={over} mean_per_vm={:.1}",
        count.iter().min().unwrap_or(&0),
        total as f64 / ENDPOINTS as f64,
        count.iter().max().unwrap_or(&0),
        total as f64 / VMS as f64,
    );
}
