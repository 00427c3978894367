//! No team gets more than its rate and burst, whatever fails, and a team
//! within its rate loses at most the part of the VMs that are lost.

use std::time::Duration;

use filbertgrade_standins::caller::Route;

use crate::fleet::Vm;
use crate::scene::{Scene, VMS, part_of_a_vm};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against tokens that loans create, and against shares of idle VMs
/// that do not reach the VMs with the load.
#[tokio::test(flavor = "multi_thread")]
async fn healthy_fleet_keeps_rate_and_burst() {
    let scene = Scene::start(false).await;
    let load = scene.load(scene.route(&[0, 1]), 8 * SECOND);
    let report = load.run().await;
    scene.check(&report, 0.0);
}

/// Guards against a VM that wakes and spends loans or a base that others use
/// by then. The frozen VM takes half of the load, so that it holds loans.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_vm_spends_nothing_stale_when_it_wakes() {
    let scene = Scene::start(false).await;
    let frozen = &scene.fleet.vms[1];
    let load = scene.load(scene.route(&[0, 1]), 12 * SECOND).run();
    let load = tokio::spawn(load);
    tokio::time::sleep(3 * SECOND).await;
    Vm::signal(&[&frozen.entry, &frozen.agent], "STOP");
    tokio::time::sleep(4 * SECOND).await;
    Vm::signal(&[&frozen.entry, &frozen.agent], "CONT");
    let report = load.await.unwrap();
    // Lenders take back the loans of the frozen VM 2.5 s after its last ask.
    scene.check(&report, part_of_a_vm(4 * SECOND + LOAN_RECLAIM));
}

/// Longest time after which a loan of a VM that is gone is back at its lender:
/// lease and margin of `LedgerConfig`.
const LOAN_RECLAIM: Duration = Duration::from_millis(2_500);

/// Guards against units that the other VMs get while the killed VM's loans
/// still run, and against units that they never get.
#[tokio::test(flavor = "multi_thread")]
async fn killed_vm_loses_only_its_own_part() {
    let mut scene = Scene::start(false).await;
    let load = scene.load(scene.route(&[0, 1]), 15 * SECOND).run();
    let load = tokio::spawn(load);
    tokio::time::sleep(SECOND).await;
    let killed = &mut scene.fleet.vms[3];
    killed.entry.kill().unwrap();
    killed.agent.kill().unwrap();
    tokio::time::sleep(SECOND).await;
    scene.fleet.platform.delete_vm("vm-4");
    let report = load.await.unwrap();
    // Until 10 s after the list shows it, the killed VM's part is lost, which
    // leaves 2 s of the load.
    scene.check(&report, part_of_a_vm(12 * SECOND));
    assert_eq!(scene.holders(), 3, "the hold-off of 10 s is over");
}

/// Guards against admission that stops, or loses its bound, without the store.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_changes_nothing() {
    let scene = Scene::start(false).await;
    scene.fleet.platform.set_down(true);
    let load = scene.load(scene.route(&[0, 1]), 9 * SECOND);
    let report = load.run().await;
    scene.check(&report, 0.0);
}

/// Guards against shares that count twice, or for nobody, while VMs come and
/// go one by one.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_keeps_rate_and_burst() {
    let mut scene = Scene::start(false).await;
    let duration = Duration::from_secs(16);
    let asked = (1..=2 * VMS).map(|n| scene.fleet.callers_of(n)).collect();
    let load = scene.load(Route::Lookup(asked), duration).run();
    let load = tokio::spawn(load);
    tokio::time::sleep(SECOND / 4).await;
    scene.fleet.add_vm(VMS + 1);
    tokio::time::sleep(SECOND).await;
    for old in 0..VMS {
        // The next VM starts while the old one leaves, to save time.
        if old + 1 < VMS {
            scene.fleet.add_vm(VMS + 2 + old);
        }
        let began = std::time::Instant::now();
        let vm = &scene.fleet.vms[usize::from(old)];
        let mut leaving = vm.listed.clone();
        leaving.state = "leaving".to_owned();
        scene.fleet.platform.put_vm(&leaving);
        Vm::signal(&[&vm.entry], "TERM");
        // The platform takes a VM off its list when its process has ended.
        let vm = &mut scene.fleet.vms[usize::from(old)];
        while vm.entry.try_wait().unwrap().is_none() {
            tokio::time::sleep(SECOND / 50).await;
        }
        println!("vm-{} left after {:?}", old + 1, began.elapsed());
        Vm::signal(&[&vm.agent], "TERM");
        scene.fleet.platform.delete_vm(&leaving.name);
    }
    assert!(!load.is_finished(), "the load must cover all replacements");
    let report = load.await.unwrap();
    // A planned replacement may cost at most one VM's part at any time.
    scene.check(&report, part_of_a_vm(duration));
}

/// Guards against a VM that lends and spends the same part when it cannot
/// tell its peers, and against loans that outlive the cut.
#[tokio::test(flavor = "multi_thread")]
async fn vm_cut_off_from_its_peers_keeps_rate_and_burst() {
    let scene = Scene::start(true).await;
    let load = scene.load(scene.route(&[0, 1]), 12 * SECOND).run();
    let load = tokio::spawn(load);
    tokio::time::sleep(2 * SECOND).await;
    scene.fleet.cut_from_peers(&[1], true);
    tokio::time::sleep(5 * SECOND).await;
    scene.fleet.cut_from_peers(&[1], false);
    let report = load.await.unwrap();
    scene.check(&report, part_of_a_vm(5 * SECOND + LOAN_RECLAIM));
}
