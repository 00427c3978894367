//! Test that large configurations reach every VM, also one that cannot reach the
//! store.

use std::time::Duration;

use crate::fleet::{Fleet, RegionLayout, Vm};
use crate::load::serves;

/// Guards against three failures: a configuration above the frame limit reaches
/// no entry; a VM that is cut off from the store never receives it from peers;
/// every change of the store restarts the transfer from its first page.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_of_several_megabytes_reaches_every_vm_while_revisions_change() {
    let fleet = Fleet::start_proxied(3, RegionLayout::Alternate).await;
    fleet.apply().await;
    let secret = fleet.create_key("atelier").await;
    fleet
        .wait_until(Duration::from_secs(8), |vm| serves(vm, &secret))
        .await;
    fleet.set_store_isolation(&[1], true);
    put_large_config(&fleet, 5);
    let started = std::time::Instant::now();
    let mut not_serving: Vec<_> = fleet.vms.iter().map(Vm::caller_address).collect();
    while !not_serving.is_empty() {
        assert!(
            started.elapsed() < Duration::from_secs(8),
            "the configuration is not in force at {not_serving:?}"
        );
        fleet.platform.put("drains/vm/no-such-vm", "{}");
        fleet
            .platform
            .put("config/part/unused", "x".repeat(900_000));
        let vm = not_serving[0];
        if serves_stitch(vm, &secret).await {
            not_serving.remove(0);
        } else {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Stores a configuration that has a service `stitch` and about `megabytes` MB of
/// comments.
fn put_large_config(fleet: &Fleet, megabytes: usize) {
    let text = fleet
        .config()
        .replace("services.size-list", "services.stitch");
    fleet.platform.put("config/part/text", text);
    let mut parts = vec!["text".to_owned()];
    for n in 0..megabytes {
        let line = format!("# {n} {}\n", "x".repeat(1_000));
        fleet
            .platform
            .put(&format!("config/part/pad-{n}"), line.repeat(950));
        parts.push(format!("pad-{n}"));
    }
    let root = serde_json::json!({"version": 1_000, "apply_id": "large", "parts": parts});
    fleet.platform.put("config/root", root.to_string());
}

/// Whether the VM serves a request to the service `stitch`.
async fn serves_stitch(vm: std::net::SocketAddr, _key: &str) -> bool {
    let req = http::Request::get("/stitch/hand?bytes=100")
        .header("host", "stitch")
        .header("x-request-id", "stitch")
        .body(http_body_util::Full::default())
        .unwrap();
    crate::fleet::send(vm, req)
        .await
        .is_ok_and(|response| response.status() == 200)
}
