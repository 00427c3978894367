//! Tests of the command `drain` with real processes.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::fleet::{Fleet, send};
use crate::run;

/// Returns a VM's lookup response for a client in the south, as text.
async fn lookup_response(fleet: &Fleet, vm: usize) -> String {
    let req = Request::get("/v1/lookup?client=10.2.0.7")
        .header("host", "lookup")
        .body(Full::<Bytes>::default())
        .unwrap();
    let response = send(fleet.vms[vm].caller_address(), req).await.unwrap();
    String::from_utf8(response.body().to_vec()).unwrap()
}

/// Guards against a drain that is reported as in force while lookup responses still
/// name the drained VM, and against drains of VMs or regions that do not exist.
#[tokio::test(flavor = "multi_thread")]
async fn drain_returns_when_it_is_in_force_and_undo_ends_it() {
    let fleet = Fleet::start(2).await;
    for args in [["drain", "vm", "vm-9"], ["drain", "region", "north"]] {
        assert_eq!(run(&fleet, &args).await.code, 5);
    }
    fleet.apply().await;
    let output = run(&fleet, &["drain", "vm", "vm-2"]).await;
    assert_eq!(output.code, 0, "{output:?}");
    assert_eq!(output.stdout, "drain of vm vm-2 is in force on 2 VMs\n");
    assert!(!lookup_response(&fleet, 0).await.contains("vm-2"));

    fleet.platform.drop_next_responses(1);
    let output = run(&fleet, &["drain", "vm", "vm-2", "--undo"]).await;
    assert_eq!(output.code, 0, "{output:?}");
    assert!(lookup_response(&fleet, 0).await.contains("vm-2"));
    let output = run(&fleet, &["drain", "vm", "vm-2", "--undo"]).await;
    assert_eq!(output.stdout, "vm vm-2 was not drained\n");

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

/// Guards against a drain that is reported as in force although a VM has not
/// confirmed it and may still send requests to what is drained.
#[tokio::test(flavor = "multi_thread")]
async fn drain_names_the_vms_that_do_not_confirm() {
    let mut fleet = Fleet::start(2).await;
    fleet.apply().await;
    let _ = fleet.vms[1].agent.kill();
    let args = ["drain", "--wait-limit-ms", "1000", "vm", "vm-1"];
    let output = run(&fleet, &args).await;
    assert_eq!(output.code, 8, "{output:?}");
    assert!(output.stderr.contains("waiting for vm-2\n"), "{output:?}");
    assert_eq!(fleet.platform.names("drains/"), ["drains/vm/vm-1"]);
}

/// Guards against a drained region that is still named in lookup responses or gets
/// requests after its traffic has moved. The fleet's shift cap allows the move in
/// one step, which the allocator publishes once the drain is in force.
#[tokio::test(flavor = "multi_thread")]
async fn drained_region_gets_no_new_work() {
    let fleet = Fleet::start(2).await;
    fleet.apply().await;
    assert_eq!(run(&fleet, &["drain", "region", "south"]).await.code, 0);
    let start = std::time::Instant::now();
    for vm in 0..2 {
        while lookup_response(&fleet, vm).await.contains("vm-2") {
            assert!(
                start.elapsed() < Duration::from_secs(5),
                "lookup responses still name vm-2"
            );
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
        let response = send(fleet.vms[1].caller_address(), req).await.unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(
            (
                fleet.backends[0].run_count(&id),
                fleet.backends[1].run_count(&id)
            ),
            (1, 0)
        );
    }
}

/// Guards against a write without a response that the command reports as having had
/// no effect, or waits for indefinitely.
#[tokio::test(flavor = "multi_thread")]
async fn store_that_stops_responding_leaves_the_outcome_unknown() {
    let fleet = Fleet::start(0).await;
    fleet.apply().await;
    let start = std::time::Instant::now();
    let stop_responding = async {
        fleet.platform.drop_next_responses(u64::MAX);
        while fleet.platform.names("drains/").is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        fleet.platform.set_down(true);
    };
    // The delay gives the test time to take the store down between two calls.
    fleet.platform.set_delay(Duration::from_millis(200));
    let args = ["drain", "region", "south"];
    let (output, ()) = tokio::join!(run(&fleet, &args), stop_responding);
    assert_eq!(output.code, 7, "{output:?}");
    assert!(start.elapsed() < Duration::from_secs(20));
}
