//! `drain` against real processes.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::fleet::{Fleet, send};
use crate::run;

async fn first_vms(fleet: &Fleet, vm: usize) -> String {
    let req = Request::get("/v1/lookup?client=10.2.0.7")
        .header("host", "lookup")
        .body(Full::<Bytes>::default())
        .unwrap();
    let answer = send(fleet.vms[vm].callers(), req).await.unwrap();
    String::from_utf8(answer.body().to_vec()).unwrap()
}

/// Guards against a drain that is reported as in force while a VM still names
/// the drained one, and against drains of things that do not exist.
#[tokio::test(flavor = "multi_thread")]
async fn drain_returns_when_it_is_in_force_and_undo_ends_it() {
    let fleet = Fleet::start(2).await;
    for args in [["drain", "vm", "vm-9"], ["drain", "region", "north"]] {
        assert_eq!(run(&fleet, &args).await.code, 5);
    }
    fleet.apply().await;
    let ran = run(&fleet, &["drain", "vm", "vm-2"]).await;
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(ran.out, "drain of vm vm-2 is in force on 2 VMs\n");
    assert!(!first_vms(&fleet, 0).await.contains("vm-2"));

    fleet.platform.drop_next_responses(1);
    let ran = run(&fleet, &["drain", "vm", "vm-2", "--undo"]).await;
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(first_vms(&fleet, 0).await.contains("vm-2"));
    let ran = run(&fleet, &["drain", "vm", "vm-2", "--undo"]).await;
    assert_eq!(ran.out, "vm vm-2 was not drained\n");

    let server = fleet.proxies[0].addr().to_string();
    assert_eq!(run(&fleet, &["drain", "server", &server]).await.code, 0);
    assert_eq!(run(&fleet, &["drain", "region", "south"]).await.code, 0);
    let names = fleet.platform.names("drains/");
    let expected = [
        "drains/region/south".to_owned(),
        format!("drains/server/{server}"),
    ];
    assert_eq!(names, expected);
}

/// Guards against a drain that is reported as in force without a VM, which may
/// go on sending requests.
#[tokio::test(flavor = "multi_thread")]
async fn drain_names_the_vms_that_do_not_confirm() {
    let mut fleet = Fleet::start(2).await;
    fleet.apply().await;
    let _ = fleet.vms[1].agent.kill();
    let args = ["drain", "--wait-limit-ms", "1000", "vm", "vm-1"];
    let ran = run(&fleet, &args).await;
    assert_eq!(ran.code, 8, "{ran:?}");
    assert!(ran.err.contains("waiting for vm-2\n"), "{ran:?}");
    assert_eq!(fleet.platform.names("drains/"), ["drains/vm/vm-1"]);
}

/// Guards against a drained region that still gets look-ups or requests after
/// its traffic has moved. The cap of the fleet allows the move in one step,
/// which the allocator publishes after the drain is in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_region_gets_no_new_work() {
    let fleet = Fleet::start(2).await;
    fleet.apply().await;
    assert_eq!(run(&fleet, &["drain", "region", "south"]).await.code, 0);
    let start = std::time::Instant::now();
    for vm in 0..2 {
        while first_vms(&fleet, vm).await.contains("vm-2") {
            assert!(start.elapsed() < Duration::from_secs(5), "still named");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    for n in 0..8 {
        let id = format!("drained-{n}");
        let req = Request::get("/size-list/all?bytes=10")
            .header("host", "size-list")
            .header("x-request-id", &id)
            .body(Full::<Bytes>::default())
            .unwrap();
        let answer = send(fleet.vms[1].callers(), req).await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(
            (
                fleet.backends[0].run_count(&id),
                fleet.backends[1].run_count(&id)
            ),
            (1, 0)
        );
    }
}

/// Guards against an unanswered write that a command reports as without
/// effect or waits for without end.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_goes_silent_leaves_the_outcome_unknown() {
    let fleet = Fleet::start(0).await;
    fleet.apply().await;
    let start = std::time::Instant::now();
    let silent = async {
        fleet.platform.drop_next_responses(u64::MAX);
        while fleet.platform.names("drains/").is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        fleet.platform.set_down(true);
    };
    // Delays give the test time to change the store between two calls.
    fleet.platform.set_delay(Duration::from_millis(200));
    let args = ["drain", "region", "south"];
    let (ran, ()) = tokio::join!(run(&fleet, &args), silent);
    assert_eq!(ran.code, 7, "{ran:?}");
    assert!(start.elapsed() < Duration::from_secs(20));
}
