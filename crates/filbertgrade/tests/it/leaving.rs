//! Tests of draining: drained backend servers and leaving VMs get no new work.

use std::time::{Duration, Instant};

use filbertgrade_standins::caller::{Key, Load, LoadConfig, RequestKind, Route, TeamLoad};

use crate::fleet::{Fleet, Vm};
use crate::request_path::{look_up, serves};

/// Longest time after which a drained backend server or leaving VM must get no
/// new work, as the requirements state.
const NO_NEW_WORK_WITHIN: Duration = Duration::from_secs(5);

/// Guards against new work for a drained backend server whose health check
/// passes, and against requests that the drain interrupts or refuses.
#[tokio::test(flavor = "multi_thread")]
async fn drained_server_gets_no_new_work_although_its_health_check_passes() {
    let fleet = Fleet::start(2).await;
    // The drained server is the only one of its region. Without a cap on shifts,
    // all its traffic may leave the region at once, so any refusal is due to
    // the drain.
    let uncapped = fleet.config().replace("cap = 0.5", "cap = 1.0");
    fleet.apply_text(&uncapped).await;
    let secret = fleet.create_key("atelier").await;
    fleet
        .wait_until(Duration::from_secs(8), |vm| serves(vm, &secret))
        .await;
    fleet.backends[0].set_health_override(Some(true));

    let mix = vec![
        RequestKind::chart("chart").weight(4),
        RequestKind::order("chart"),
    ];
    let mut team = TeamLoad::new("atelier", 60.0, mix);
    team.key = Some(Key::new(secret));
    let vms = fleet.vms.iter().map(Vm::caller_address).collect();
    let mut cfg = LoadConfig::new(Route::Vms(vms), vec![team]);
    cfg.duration = Duration::from_secs(9);
    let load = tokio::spawn(Load::new(cfg).run());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!fleet.backends[0].records().runs.is_empty());
    let address = fleet.proxies[0].addr().to_string();
    let drained_at = Instant::now();
    let store = fleet.platform.addr().to_string();
    let output = crate::fleet::invoke(&["drain", "--store", &store, "server", &address]).await;
    assert!(output.status.success(), "{output:?}");
    let report = load.await.unwrap();

    let late_runs = fleet.backends[0]
        .records()
        .runs
        .iter()
        .filter(|run| run.arrived > drained_at + NO_NEW_WORK_WITHIN)
        .count();
    assert_eq!(late_runs, 0);
    let team = &report.teams["atelier"];
    assert_eq!(
        (team.served, report.lost, report.truncated),
        (team.sent, 0, 0)
    );
}

/// Guards against lookup responses that still name a VM which the platform's
/// list marks as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_vm_is_in_no_lookup_response() {
    let fleet = Fleet::start(3).await;
    fleet.apply().await;
    let secret = fleet.create_key("atelier").await;
    fleet
        .wait_until(Duration::from_secs(8), |vm| serves(vm, &secret))
        .await;
    let mut leaving = fleet.vms[2].platform_record.clone();
    leaving.state = "leaving".to_owned();
    fleet.platform.put_vm(&leaving);

    let start = Instant::now();
    for vm in &fleet.vms {
        loop {
            let named = look_up(vm.caller_address(), "10.1.0.9").await;
            if named.iter().all(|vm| vm["vm"] != leaving.name.as_str()) {
                break;
            }
            assert!(
                start.elapsed() < NO_NEW_WORK_WITHIN,
                "{} still names the leaving VM",
                vm.name
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
