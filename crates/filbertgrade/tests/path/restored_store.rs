//! Test of a store that comes back from a copy that is some seconds old.

use std::time::Duration;

use http::Request;
use http_body_util::Full;

use crate::fleet::send;
use crate::scenario::ready_fleet;

/// Time within which a change must be in force on all VMs.
const CHANGE_TIME: Duration = Duration::from_secs(8);

/// Guards against agents and entries that ignore a change, because the store has
/// given out its revision before.
#[tokio::test(flavor = "multi_thread")]
async fn key_created_after_a_restore_is_accepted_by_all_entries() {
    let (fleet, _) = ready_fleet(3).await;
    let backup = fleet.platform.back_up();
    for _ in 0..6 {
        fleet.create_key("atelier").await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.platform.restore(backup);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let secret = fleet.create_key("atelier").await;
    let probe = |vm| {
        let req = Request::get("/chart/probe")
            .header("host", "chart")
            .header("authorization", format!("Bearer {secret}"))
            .body(Full::default())
            .unwrap();
        async move { send(vm, req).await.is_ok_and(|a| a.status() == 200) }
    };
    fleet.wait_until(CHANGE_TIME, probe).await;
}
