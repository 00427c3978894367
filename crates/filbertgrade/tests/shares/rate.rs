//! Tests of two properties during failures: no team exceeds its rate and burst,
//! and a team within its rate loses at most the shares of the VMs that are lost.

use std::time::Duration;

use filbertgrade_standins::caller::Route;

use crate::fleet::Vm;
use crate::setup::{Setup, VMS, requests_of_one_share};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against loans that create tokens, and against idle VMs whose shares are
/// not lent to the VMs under load.
#[tokio::test(flavor = "multi_thread")]
async fn healthy_fleet_keeps_rate_and_burst() {
    let setup = Setup::start(false).await;
    let load = setup.load(setup.route(&[0, 1]), 8 * SECOND);
    let report = load.run().await;
    setup.check(&report, 0.0);
}

/// Guards against a VM that resumes after a freeze and spends loans, or a base
/// share, that other VMs use by then. The frozen VM gets half of the load, so
/// that it holds loans.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_vm_spends_no_expired_loans_or_shares_after_it_resumes() {
    let setup = Setup::start(false).await;
    let frozen = &setup.fleet.vms[1];
    let load = setup.load(setup.route(&[0, 1]), 12 * SECOND).run();
    let load = tokio::spawn(load);
    tokio::time::sleep(3 * SECOND).await;
    Vm::signal(&[&frozen.entry, &frozen.agent], "STOP");
    tokio::time::sleep(4 * SECOND).await;
    Vm::signal(&[&frozen.entry, &frozen.agent], "CONT");
    let report = load.await.unwrap();
    // Lenders reclaim the loans of the frozen VM 2.5 s after its last loan request.
    setup.check(&report, requests_of_one_share(4 * SECOND + LOAN_RECLAIM));
}

/// Longest time after which a loan to a VM that is gone is back at its lender:
/// the loan lease plus margin of `LedgerConfig`.
const LOAN_RECLAIM: Duration = Duration::from_millis(2_500);

/// Guards against units of a killed VM that are reassigned while its loans may
/// still be in use, and against units that are never reassigned.
#[tokio::test(flavor = "multi_thread")]
async fn killed_vm_costs_only_its_own_share() {
    let mut setup = Setup::start(false).await;
    let load = setup.load(setup.route(&[0, 1]), 15 * SECOND).run();
    let load = tokio::spawn(load);
    tokio::time::sleep(SECOND).await;
    let killed = &mut setup.fleet.vms[3];
    killed.entry.kill().unwrap();
    killed.agent.kill().unwrap();
    tokio::time::sleep(SECOND).await;
    setup.fleet.platform.delete_vm("vm-4");
    let report = load.await.unwrap();
    // The killed VM's share is lost until 10 s after the VM is removed from the
    // list. The last 2 s of the load run with the units reassigned.
    setup.check(&report, requests_of_one_share(12 * SECOND));
    assert_eq!(
        setup.vms_with_share(),
        3,
        "the killed VM's units must be reassigned after the hold-off of 10 s"
    );
}

/// Guards against admission that stops, or exceeds rate and burst, while the store
/// is down.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_does_not_affect_admission() {
    let setup = Setup::start(false).await;
    setup.fleet.platform.set_down(true);
    let load = setup.load(setup.route(&[0, 1]), 9 * SECOND);
    let report = load.run().await;
    setup.check(&report, 0.0);
}

/// Guards against shares that are used by two VMs, or by none, while VMs are
/// replaced one by one.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_keeps_rate_and_burst() {
    let mut setup = Setup::start(false).await;
    let duration = Duration::from_secs(16);
    let lookup_vms = (1..=2 * VMS)
        .map(|n| setup.fleet.caller_address_of(n))
        .collect();
    let load = setup.load(Route::Lookup(lookup_vms), duration).run();
    let load = tokio::spawn(load);
    tokio::time::sleep(SECOND / 4).await;
    setup.fleet.add_vm(VMS + 1);
    tokio::time::sleep(SECOND).await;
    for old in 0..VMS {
        // The next VM already starts while the old one leaves, to keep the test
        // short.
        if old + 1 < VMS {
            setup.fleet.add_vm(VMS + 2 + old);
        }
        let leaving_since = std::time::Instant::now();
        let vm = &setup.fleet.vms[usize::from(old)];
        let mut leaving = vm.platform_record.clone();
        leaving.state = "leaving".to_owned();
        setup.fleet.platform.put_vm(&leaving);
        Vm::signal(&[&vm.entry], "TERM");
        // The platform removes a VM from its list once its process has ended.
        let vm = &mut setup.fleet.vms[usize::from(old)];
        while vm.entry.try_wait().unwrap().is_none() {
            tokio::time::sleep(SECOND / 50).await;
        }
        println!("vm-{} left after {:?}", old + 1, leaving_since.elapsed());
        Vm::signal(&[&vm.agent], "TERM");
        setup.fleet.platform.delete_vm(&leaving.name);
    }
    assert!(
        !load.is_finished(),
        "the load must last until all VMs are replaced"
    );
    let report = load.await.unwrap();
    // A planned replacement may cost at most the share of one VM at any time.
    setup.check(&report, requests_of_one_share(duration));
}

/// Guards against a VM that spends the same share that it has lent when it cannot
/// reach its peers, and against loans that stay in use after the partition.
#[tokio::test(flavor = "multi_thread")]
async fn vm_isolated_from_its_peers_keeps_rate_and_burst() {
    let setup = Setup::start(true).await;
    let load = setup.load(setup.route(&[0, 1]), 12 * SECOND).run();
    let load = tokio::spawn(load);
    tokio::time::sleep(2 * SECOND).await;
    setup.fleet.set_peer_isolation(&[1], true);
    tokio::time::sleep(5 * SECOND).await;
    setup.fleet.set_peer_isolation(&[1], false);
    let report = load.await.unwrap();
    setup.check(&report, requests_of_one_share(5 * SECOND + LOAN_RECLAIM));
}
