//! Tests of the platform stand-in: the object API and the injected faults.

mod support;

use std::time::Duration;

use filbertgrade_standins::platform::{MAX_VALUE_BYTES, PlatformServer, VmEntry};
use rstest::rstest;
use support::{FREE_PORT, send};

/// Limit for events that have to happen.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Unit of the simulated delays; also the wait after which an event that does not depend on a delay
/// has happened.
const SHORT_WAIT: Duration = Duration::from_millis(150);

fn etag(response: &http::Response<bytes::Bytes>) -> Option<&str> {
    response
        .headers()
        .get("etag")
        .map(|value| value.to_str().expect("an ASCII etag"))
}

/// Guards against conditional writes that succeed for an outdated revision or fail for the current
/// one.
#[rstest]
#[case::create("PUT", "b", &[("if-none-match", "*")], 200, Some("2"))]
#[case::create_over_existing("PUT", "a", &[("if-none-match", "*")], 412, Some("1"))]
#[case::replace("PUT", "a", &[("if-match", "1")], 200, Some("2"))]
#[case::replace_quoted("PUT", "a", &[("if-match", "\"1\"")], 200, Some("2"))]
#[case::replace_outdated("PUT", "a", &[("if-match", "7")], 412, Some("1"))]
#[case::replace_absent("PUT", "b", &[("if-match", "1")], 404, None)]
#[case::delete("DELETE", "a", &[("if-match", "1")], 200, Some("2"))]
#[case::delete_outdated("DELETE", "a", &[("if-match", "2")], 412, Some("1"))]
#[case::delete_absent("DELETE", "b", &[], 404, None)]
#[tokio::test]
async fn conditional_writes_check_the_current_revision(
    #[case] method: &str,
    #[case] name: &str,
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
    #[case] revision: Option<&str>,
) {
    let platform = PlatformServer::bind(FREE_PORT).await.unwrap();
    platform.put("a", "1");
    let path = format!("/v1/objects/{name}");
    let response = send(platform.addr(), method, &path, headers, "x")
        .await
        .unwrap();
    assert_eq!(
        (response.status().as_u16(), etag(&response)),
        (status, revision)
    );
    assert_eq!(platform.counts().writes, 1);
}

/// Guards against stored values that exceed the documented limit.
#[tokio::test]
async fn values_over_the_limit_are_rejected() {
    let platform = PlatformServer::bind(FREE_PORT).await.unwrap();
    for (size, status) in [(MAX_VALUE_BYTES, 200), (MAX_VALUE_BYTES + 1, 413)] {
        let body = "x".repeat(size);
        let response = send(platform.addr(), "PUT", "/v1/objects/a", &[], &body)
            .await
            .unwrap();
        assert_eq!(response.status().as_u16(), status, "{size} bytes");
    }
}

/// Guards against watches that miss changes, return objects with other prefixes, or do not report
/// that the history is truncated.
#[tokio::test]
async fn list_and_watch_return_matching_objects() {
    let platform = PlatformServer::bind(FREE_PORT).await.unwrap();
    let addr = platform.addr();
    platform.put("a/1", "one");
    platform.put("b/1", "two");
    platform.put("c/1", "three");
    let list = send(addr, "GET", "/v1/list?prefix=a/&prefix=c/", &[], "")
        .await
        .unwrap();
    assert_eq!(
        &list.body()[..],
        br#"{"revision":3,"objects":[{"name":"a/1","revision":1,"value":"one"},{"name":"c/1","revision":3,"value":"three"}]}"#
    );
    let watch = tokio::spawn(async move {
        send(
            addr,
            "GET",
            "/v1/watch?after=3&wait_ms=5000&prefix=a%2F",
            &[],
            "",
        )
        .await
        .unwrap()
    });
    while platform.counts().waiting_watches == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    platform.put("b/2", "other prefix");
    platform.delete("a/1");
    let response = tokio::time::timeout(TIMEOUT, watch).await.unwrap().unwrap();
    assert_eq!(
        &response.body()[..],
        br#"{"revision":5,"changes":[{"name":"a/1","revision":5,"value":null}]}"#
    );
    assert_eq!(platform.counts().waiting_watches, 0);
    platform.set_history(1);
    for (after, status) in [(3, 410), (4, 200)] {
        let path = format!("/v1/watch?after={after}&wait_ms=10");
        assert_eq!(
            send(addr, "GET", &path, &[], "").await.unwrap().status(),
            status
        );
    }
}

/// Guards against a dropped response whose write is not executed, and against dropped responses of
/// reads.
#[tokio::test]
async fn write_with_dropped_response_takes_effect() {
    let platform = PlatformServer::bind(FREE_PORT).await.unwrap();
    platform.drop_next_responses(1);
    assert!(
        send(platform.addr(), "GET", "/v1/objects/a", &[], "")
            .await
            .is_some()
    );
    assert!(
        send(platform.addr(), "PUT", "/v1/objects/a", &[], "x")
            .await
            .is_none()
    );
    assert_eq!(platform.get("a").unwrap().0, 1);
    assert!(
        send(platform.addr(), "PUT", "/v1/objects/a", &[], "x")
            .await
            .is_some()
    );
}

/// Guards against reads and watches that return newer revisions than the stale one, and against
/// write conditions that are checked against the stale revision.
#[tokio::test]
async fn stale_reads_do_not_affect_writes() {
    let platform = PlatformServer::bind(FREE_PORT).await.unwrap();
    let addr = platform.addr();
    platform.put("a", "old");
    platform.put("a", "new");
    platform.set_stale_reads(1);
    let read = send(addr, "GET", "/v1/objects/a", &[], "").await.unwrap();
    assert_eq!((&read.body()[..], etag(&read)), (&b"old"[..], Some("1")));
    let watch = send(addr, "GET", "/v1/watch?after=2&wait_ms=10", &[], "")
        .await
        .unwrap();
    assert_eq!(&watch.body()[..], br#"{"revision":1,"changes":[]}"#);
    let write = send(addr, "PUT", "/v1/objects/a", &[("if-match", "2")], "x")
        .await
        .unwrap();
    assert_eq!(write.status(), 200);
}

/// Guards against calls that receive a response during an outage, and against a store that does not
/// work after the outage.
#[tokio::test]
async fn calls_fail_during_outages_only() {
    let platform = PlatformServer::bind(FREE_PORT).await.unwrap();
    let addr = platform.addr();
    platform.set_down(true);
    assert!(send(addr, "GET", "/v1/objects/a", &[], "").await.is_none());
    platform.set_down(false);
    platform.set_unresponsive(true);
    let put = send(addr, "PUT", "/v1/objects/a", &[], "x");
    assert!(tokio::time::timeout(SHORT_WAIT, put).await.is_err());
    platform.set_unresponsive(false);
    assert_eq!(platform.revision(), 0);
    assert!(send(addr, "GET", "/v1/objects/a", &[], "").await.is_some());
}

/// Guards against VM list changes that become visible before the lag has passed or in another
/// order.
#[tokio::test]
async fn vm_list_changes_lag_in_order() {
    let platform = PlatformServer::bind(FREE_PORT).await.unwrap();
    platform.set_vm_lag(SHORT_WAIT);
    let entry = VmEntry {
        name: "vm1".into(),
        address: "127.0.0.1".into(),
        region: "rhone".into(),
        failure_domain: "lyon-a".into(),
        state: "live".into(),
    };
    platform.put_vm(&entry);
    platform.set_vm_lag(Duration::ZERO);
    platform.delete_vm("vm1");
    assert_eq!(platform.revision(), 0);
    tokio::time::sleep(SHORT_WAIT * 2).await;
    assert_eq!((platform.revision(), platform.get("vms/vm1")), (2, None));
}

/// Guards against delays that are not applied, and against aborted watches that are still counted.
#[tokio::test]
async fn calls_are_delayed_and_aborted_watches_are_not_counted() {
    let platform = PlatformServer::bind(FREE_PORT).await.unwrap();
    let addr = platform.addr();
    platform.set_delay(SHORT_WAIT);
    let started = std::time::Instant::now();
    assert!(send(addr, "GET", "/v1/objects/a", &[], "").await.is_some());
    assert!(started.elapsed() >= SHORT_WAIT);
    platform.set_delay(Duration::ZERO);
    let path = "/v1/watch?after=0&wait_ms=5000";
    let watch = tokio::time::timeout(SHORT_WAIT, send(addr, "GET", path, &[], ""));
    assert!(watch.await.is_err());
    tokio::time::sleep(SHORT_WAIT).await;
    let counts = platform.counts();
    assert_eq!(
        (counts.reads, counts.watches, counts.waiting_watches),
        (1, 1, 0)
    );
}
