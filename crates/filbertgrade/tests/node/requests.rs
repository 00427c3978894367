//! Tests of single requests: which are refused or sent again, and what callers
//! and backend servers receive.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::cluster::{KEY, TestCluster};
use filbertgrade_standins::node::endpoint::{EndpointBehavior, header};

/// Guards against a request that reaches a backend server with the caller's
/// key, without its team, or with the name of another endpoint.
#[tokio::test]
async fn request_is_forwarded_with_its_team_and_without_its_key() {
    let cluster = TestCluster::start(&[10]).await;
    let response = cluster.get("safe", "a1").await;
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body, "answer of i-0 to a1");
    assert_eq!(header(&response.head, "x-filbertgrade-server-seal"), "s");
    let head = cluster.endpoints[0].run_heads().remove(0);
    assert!(!head.contains(KEY));
    assert_eq!(header(&head, "x-filbertgrade-tenant"), "atelier");
    assert_eq!(header(&head, "x-filbertgrade-expected-instance"), "i-0");
    let deadline_ms: u64 = header(&head, "x-filbertgrade-deadline-ms").parse().unwrap();
    assert!(
        (1_000..=2_200).contains(&deadline_ms),
        "{deadline_ms} ms of the route's 2 s"
    );
}

/// Guards against unauthorized requests that run, and against log lines that do
/// not give the cause of a refusal.
#[rstest]
#[case::no_key("safe", None, 401, "key_missing")]
#[case::unknown_key("safe", Some("other"), 401, "key_refused")]
#[case::no_route("nowhere", Some(KEY), 404, "unknown_route")]
#[tokio::test]
async fn request_without_valid_key_or_route_is_refused(
    #[case] route: &str,
    #[case] key: Option<&str>,
    #[case] status: u16,
    #[case] cause: &str,
) {
    let cluster = TestCluster::start(&[10]).await;
    let response = cluster.nodes[0].request("GET", route, "b1", key).await;
    assert_eq!(response.status, status);
    assert_eq!(cluster.requests_run(), 0);
    let line = cluster.nodes[0]
        .line_with(&["event=refused", "id=b1"])
        .await;
    assert!(
        line.contains(&format!("cause={cause} outcome=not_run")),
        "{line}"
    );
    assert!(!cluster.nodes[0].log().contains(KEY));
}

/// Guards against a public route that requires a key.
#[tokio::test]
async fn public_route_needs_no_key() {
    let cluster = TestCluster::start(&[10]).await;
    let response = cluster.nodes[0].request("GET", "open", "c1", None).await;
    assert_eq!(response.status, 200);
}

/// Guards against a non-idempotent request that runs twice, and against a
/// response which says that it did not run although it may have.
#[rstest]
#[case::lost(EndpointBehavior::LosesAnswer, 502)]
#[case::crossed(EndpointBehavior::CrossesAnswers, 502)]
#[case::unsigned(EndpointBehavior::Unsigned, 502)]
#[case::truncated(EndpointBehavior::CutsAnswers, 502)]
#[case::silent(EndpointBehavior::Silent, 504)]
#[case::failed(EndpointBehavior::Fails, 500)]
#[tokio::test]
async fn non_idempotent_request_runs_at_most_once(
    #[case] behavior: EndpointBehavior,
    #[case] status: u16,
) {
    let cluster = TestCluster::start(&[10, 10]).await;
    cluster
        .endpoints
        .iter()
        .for_each(|e| e.set_behavior(behavior));
    let response = cluster.nodes[0]
        .request("POST", "order", "d1", Some(KEY))
        .await;
    assert_eq!(response.status, status);
    assert_eq!(cluster.requests_run(), 1);
    if behavior != EndpointBehavior::Fails {
        let line = cluster.nodes[0]
            .line_with(&["event=refused", "id=d1"])
            .await;
        assert!(line.contains("outcome=unknown"), "{line}");
        cluster.nodes[0]
            .line_with(&["event=attempt", "id=d1"])
            .await;
    }
}

/// Guards against idempotent requests that fail although another endpoint would
/// serve them.
#[rstest]
#[case::refused(EndpointBehavior::Refuses)]
#[case::lost(EndpointBehavior::LosesAnswer)]
#[case::crossed(EndpointBehavior::CrossesAnswers)]
#[case::unsigned(EndpointBehavior::Unsigned)]
#[case::truncated(EndpointBehavior::CutsAnswers)]
#[case::silent(EndpointBehavior::Silent)]
#[case::failed(EndpointBehavior::Fails)]
#[case::another(EndpointBehavior::IsAnother)]
#[tokio::test]
async fn idempotent_request_is_retried_on_another_endpoint(#[case] behavior: EndpointBehavior) {
    let cluster = TestCluster::start(&[10, 10]).await;
    let first = cluster.get("safe", "e0").await;
    let first_endpoint = usize::from(first.body.contains("i-1"));
    cluster.endpoints[first_endpoint].set_behavior(behavior);
    let response = cluster.get("safe", "e1").await;
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(
        response.body,
        format!("answer of i-{} to e1", 1 - first_endpoint)
    );
}

/// Guards against a non-idempotent request that fails although the endpoint
/// confirmed that it did not run it, so that another one could.
#[rstest]
#[case(EndpointBehavior::Refuses)]
#[case(EndpointBehavior::RefusesAtLength)]
#[case(EndpointBehavior::IsAnother)]
#[tokio::test]
async fn refused_non_idempotent_request_is_retried_on_another_endpoint(
    #[case] behavior: EndpointBehavior,
) {
    let cluster = TestCluster::start(&[10, 10]).await;
    let first = cluster.get("safe", "f0").await;
    let first_endpoint = usize::from(first.body.contains("i-1"));
    cluster.endpoints[first_endpoint].set_behavior(behavior);
    let response = cluster.nodes[0]
        .request("POST", "order", "f1", Some(KEY))
        .await;
    assert_eq!(response.status, 200);
    assert_eq!(cluster.requests_run(), 2);
}

/// Guards against a request that ran although its caller was answered with a status
/// that promises that it did not: one that the endpoint gave without confirming it.
#[rstest]
#[tokio::test]
async fn status_of_a_refusal_is_passed_on_only_if_the_endpoint_confirms_it(
    #[values(408, 429, 503)] status: u16,
    #[values("safe", "order")] route: &str,
) {
    let cluster = TestCluster::start(&[10, 10]).await;
    for endpoint in &cluster.endpoints {
        endpoint.set_behavior(EndpointBehavior::RunsAndResponds(status));
    }
    let response = cluster.nodes[0]
        .request("POST", route, "r1", Some(KEY))
        .await;
    assert_eq!(response.status, 502);
    assert_eq!(header(&response.head, "x-filbertgrade-server-seal"), "");
    assert!(response.body.contains("\"outcome\":\"unknown\""));
    // Only the idempotent request may be repeated.
    let runs = if route == "safe" { 2 } else { 1 };
    assert_eq!(cluster.requests_run(), runs);
    cluster.nodes[0]
        .line_with(&["event=attempt id=r1", "result=unconfirmed_refusal"])
        .await;
}

/// Guards against a response that is delayed although all endpoints refused the
/// request, or that lacks the time after which the caller may retry.
#[tokio::test]
async fn refusal_by_all_endpoints_is_returned_at_once() {
    let cluster = TestCluster::start(&[10, 10]).await;
    cluster
        .endpoints
        .iter()
        .for_each(|e| e.set_behavior(EndpointBehavior::Refuses));
    let sent_at = Instant::now();
    let response = cluster.nodes[0]
        .request("POST", "order", "g1", Some(KEY))
        .await;
    assert!(sent_at.elapsed() < Duration::from_millis(1_000));
    assert_eq!(response.status, 503);
    let retry_after: f64 = header(&response.head, "retry-after").parse().unwrap();
    assert!(retry_after > 0.0 && retry_after <= 1.0);
    assert_eq!(cluster.requests_run(), 0);
}

/// Guards against a request that runs although its announced body exceeds the
/// limit, and against a refusal that waits for the body.
#[tokio::test]
async fn body_over_the_limit_is_refused() {
    let cluster = TestCluster::start(&[10]).await;
    let mut request = format!(
        "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-filbertgrade-request-id: h1\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 200000\r\nconnection: close\r\n\r\n"
    );
    request.push('x');
    let mut stream = tokio::net::TcpStream::connect(cluster.nodes[0].callers)
        .await
        .unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes())
        .await
        .unwrap();
    let mut status_line = [0; 12];
    tokio::io::AsyncReadExt::read_exact(&mut stream, &mut status_line)
        .await
        .unwrap();
    assert_eq!(&status_line, b"HTTP/1.1 413");
    assert_eq!(cluster.requests_run(), 0);
}

/// Guards against a request that runs although its body exceeds the limit, when
/// the body is sent in chunks without a length.
#[tokio::test]
async fn chunked_body_over_the_limit_is_refused() {
    let cluster = TestCluster::start(&[10]).await;
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-filbertgrade-request-id: i1\r\n\
         authorization: Bearer {KEY}\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n"
    );
    let chunk = format!("4e20\r\n{}\r\n", "x".repeat(20_000));
    let mut stream = tokio::net::TcpStream::connect(cluster.nodes[0].callers)
        .await
        .unwrap();
    for part in [head.as_str(), &chunk.repeat(6), "0\r\n\r\n"] {
        tokio::io::AsyncWriteExt::write_all(&mut stream, part.as_bytes())
            .await
            .unwrap();
    }
    let mut status_line = [0; 12];
    tokio::io::AsyncReadExt::read_exact(&mut stream, &mut status_line)
        .await
        .unwrap();
    assert_eq!(&status_line, b"HTTP/1.1 413");
    assert_eq!(cluster.requests_run(), 0);
}

/// Guards against a refusal that its caller loses, because the node resets the
/// connection on which the body is still arriving.
#[rstest]
#[case::over_the_rate("order", KEY, 90_000, 429)]
#[case::unknown_route("nothing", KEY, 90_000, 404)]
#[case::unknown_key("order", "key-of-nobody", 90_000, 401)]
#[case::too_long("order", KEY, 200_000, 413)]
#[case::no_endpoint("order", KEY, 2_000_000, 503)]
#[tokio::test]
async fn refusal_reaches_a_caller_that_still_sends_its_body(
    #[case] route: &str,
    #[case] key: &str,
    #[case] length: usize,
    #[case] status: u16,
    #[values(true, false)] chunked: bool,
) {
    let mut cluster = TestCluster::start(&[10]).await;
    if status == 429 {
        cluster.configure(|spec| {
            spec["tenants"][0]["rate-per-s"] = 0.001.into();
            spec["tenants"][0]["burst"] = 1.into();
        });
        let used_up = || async { cluster.get("safe", "u1").await.status == 429 };
        crate::cluster::eventually("the team is over its rate", used_up).await;
    }
    if status == 503 {
        cluster.configure(|spec| {
            spec["limits"]["max-body-bytes"] = 4_000_000.into();
            let mut service = spec["services"][0].clone();
            service["name"] = "without-endpoints".into();
            spec["services"].as_array_mut().unwrap().push(service);
            spec["routes"][1]["service"] = "without-endpoints".into();
        });
        let version = format!("configuration_in_force version={} ", cluster.version());
        cluster.nodes[0].line_with(&[&version]).await;
    }
    let (length_line, parts) = if chunked {
        let chunk = format!("{:x}\r\n{}\r\n", length / 4, "x".repeat(length / 4));
        let parts = [chunk.repeat(2), format!("{}0\r\n\r\n", chunk.repeat(2))];
        ("transfer-encoding: chunked".to_owned(), parts)
    } else {
        let half = "x".repeat(length / 2);
        (format!("content-length: {length}"), [half.clone(), half])
    };
    let head = format!(
        "POST /{route}/1 HTTP/1.1\r\nhost: shop.example\r\nx-filbertgrade-request-id: j1\r\n\
         authorization: Bearer {key}\r\n{length_line}\r\n\r\n"
    );
    let node = cluster.nodes[0].callers;
    let mut stream = tokio::net::TcpStream::connect(node).await.unwrap();
    for part in [&head, &parts[0]] {
        tokio::io::AsyncWriteExt::write_all(&mut stream, part.as_bytes())
            .await
            .unwrap();
    }
    // The node refuses while the rest is under way.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let next = "GET /open/1 HTTP/1.1\r\nhost: shop.example\r\nx-filbertgrade-request-id: j2\r\n\
                connection: close\r\n\r\n";
    for part in [&parts[1], next] {
        tokio::io::AsyncWriteExt::write_all(&mut stream, part.as_bytes())
            .await
            .unwrap();
    }
    let mut bytes = Vec::new();
    tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut bytes)
        .await
        .unwrap();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{text}");
    assert!(text.contains("answer of i-0 to j2"), "{text}");
}
