//! The platform stand-in behaves as the object API and injects the faults it is told to.

mod support;

use std::time::Duration;

use filbertgrade_standins::platform::{MAX_VALUE_BYTES, PlatformServer, VmEntry};
use rstest::rstest;
use support::{ANY, call};

const WAIT: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(150);

fn etag(answer: &http::Response<bytes::Bytes>) -> Option<&str> {
    answer
        .headers()
        .get("etag")
        .map(|value| value.to_str().expect("an ASCII etag"))
}

/// Guards against conditional writes that succeed on an outdated revision, or that are refused
/// on the current one.
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
async fn conditional_writes(
    #[case] method: &str,
    #[case] name: &str,
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
    #[case] revision: Option<&str>,
) {
    let platform = PlatformServer::bind(ANY).await.unwrap();
    platform.put("a", "1");
    let path = format!("/v1/objects/{name}");
    let answer = call(platform.addr(), method, &path, headers, "x")
        .await
        .unwrap();
    assert_eq!(
        (answer.status().as_u16(), etag(&answer)),
        (status, revision)
    );
    assert_eq!(platform.counts().writes, 1);
}

/// Guards against values over the documented limit being stored.
#[tokio::test]
async fn value_limit() {
    let platform = PlatformServer::bind(ANY).await.unwrap();
    for (size, status) in [(MAX_VALUE_BYTES, 200), (MAX_VALUE_BYTES + 1, 413)] {
        let body = "x".repeat(size);
        let answer = call(platform.addr(), "PUT", "/v1/objects/a", &[], &body)
            .await
            .unwrap();
        assert_eq!(answer.status().as_u16(), status, "{size} bytes");
    }
}

/// Guards against watches that miss changes, deliver other prefixes or hide a truncated history.
#[tokio::test]
async fn list_and_watch() {
    let platform = PlatformServer::bind(ANY).await.unwrap();
    let addr = platform.addr();
    platform.put("a/1", "one");
    platform.put("b/1", "two");
    platform.put("c/1", "three");
    let list = call(addr, "GET", "/v1/list?prefix=a/&prefix=c/", &[], "")
        .await
        .unwrap();
    assert_eq!(
        &list.body()[..],
        br#"{"revision":3,"objects":[{"name":"a/1","revision":1,"value":"one"},{"name":"c/1","revision":3,"value":"three"}]}"#
    );
    let watch = tokio::spawn(async move {
        call(
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
    let answer = tokio::time::timeout(WAIT, watch).await.unwrap().unwrap();
    assert_eq!(
        &answer.body()[..],
        br#"{"revision":5,"changes":[{"name":"a/1","revision":5,"value":null}]}"#
    );
    assert_eq!(platform.counts().waiting_watches, 0);
    platform.set_history(1);
    for (after, status) in [(3, 410), (4, 200)] {
        let path = format!("/v1/watch?after={after}&wait_ms=10");
        assert_eq!(
            call(addr, "GET", &path, &[], "").await.unwrap().status(),
            status
        );
    }
}

/// Guards against a lost answer that also loses the write, or that hits the wrong calls.
#[tokio::test]
async fn lost_answer_takes_effect() {
    let platform = PlatformServer::bind(ANY).await.unwrap();
    platform.drop_next_responses(1);
    assert!(
        call(platform.addr(), "GET", "/v1/objects/a", &[], "")
            .await
            .is_some()
    );
    assert!(
        call(platform.addr(), "PUT", "/v1/objects/a", &[], "x")
            .await
            .is_none()
    );
    assert_eq!(platform.get("a").unwrap().0, 1);
    assert!(
        call(platform.addr(), "PUT", "/v1/objects/a", &[], "x")
            .await
            .is_some()
    );
}

/// Guards against stale reads that reach conditions of writes or show newer revisions.
#[tokio::test]
async fn stale_reads() {
    let platform = PlatformServer::bind(ANY).await.unwrap();
    let addr = platform.addr();
    platform.put("a", "old");
    platform.put("a", "new");
    platform.set_stale_reads(1);
    let read = call(addr, "GET", "/v1/objects/a", &[], "").await.unwrap();
    assert_eq!((&read.body()[..], etag(&read)), (&b"old"[..], Some("1")));
    let watch = call(addr, "GET", "/v1/watch?after=2&wait_ms=10", &[], "")
        .await
        .unwrap();
    assert_eq!(&watch.body()[..], br#"{"revision":1,"changes":[]}"#);
    let write = call(addr, "PUT", "/v1/objects/a", &[("if-match", "2")], "x")
        .await
        .unwrap();
    assert_eq!(write.status(), 200);
}

/// Guards against outages that still answer, and against a store that does not recover.
#[tokio::test]
async fn outages() {
    let platform = PlatformServer::bind(ANY).await.unwrap();
    let addr = platform.addr();
    platform.set_down(true);
    assert!(call(addr, "GET", "/v1/objects/a", &[], "").await.is_none());
    platform.set_down(false);
    platform.set_unresponsive(true);
    let put = call(addr, "PUT", "/v1/objects/a", &[], "x");
    assert!(tokio::time::timeout(SHORT, put).await.is_err());
    platform.set_unresponsive(false);
    assert_eq!(platform.revision(), 0);
    assert!(call(addr, "GET", "/v1/objects/a", &[], "").await.is_some());
}

/// Guards against VM list changes that show before the lag or in another order.
#[tokio::test]
async fn vm_list_lags() {
    let platform = PlatformServer::bind(ANY).await.unwrap();
    platform.set_vm_lag(SHORT);
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
    tokio::time::sleep(SHORT * 2).await;
    assert_eq!((platform.revision(), platform.get("vms/vm1")), (2, None));
}

/// Guards against delays that are not applied, and against abandoned watches that stay counted.
#[tokio::test]
async fn delays_and_abandoned_watches() {
    let platform = PlatformServer::bind(ANY).await.unwrap();
    let addr = platform.addr();
    platform.set_delay(SHORT);
    let began = std::time::Instant::now();
    assert!(call(addr, "GET", "/v1/objects/a", &[], "").await.is_some());
    assert!(began.elapsed() >= SHORT);
    platform.set_delay(Duration::ZERO);
    let path = "/v1/watch?after=0&wait_ms=5000";
    let watch = tokio::time::timeout(SHORT, call(addr, "GET", path, &[], ""));
    assert!(watch.await.is_err());
    tokio::time::sleep(SHORT).await;
    let counts = platform.counts();
    assert_eq!(
        (counts.reads, counts.watches, counts.waiting_watches),
        (1, 1, 0)
    );
}
