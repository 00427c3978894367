//! What callers and backend servers see of single requests.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::scene::{KEY, Scene};
use filbertgrade_standins::node::endpoint::{Conduct, header};

/// Guards against a request that reaches a backend server with the caller's
/// key, without its team, or for another endpoint.
#[tokio::test]
async fn request_is_served_for_its_team() {
    let scene = Scene::start(&[10]).await;
    let answer = scene.get("safe", "a1").await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, "answer of i-0 to a1");
    assert_eq!(header(&answer.head, "x-filbertgrade-server-seal"), "s");
    let head = scene.endpoints[0].ran().remove(0);
    assert!(!head.contains(KEY));
    assert_eq!(header(&head, "x-filbertgrade-tenant"), "atelier");
    assert_eq!(header(&head, "x-filbertgrade-expected-instance"), "i-0");
    let left: u64 = header(&head, "x-filbertgrade-deadline-ms").parse().unwrap();
    assert!(
        (1_000..=2_200).contains(&left),
        "{left} ms of the route's 2 s"
    );
}

/// Guards against requests that run without the right to, and log lines that
/// do not tell why a request was refused.
#[rstest]
#[case::no_key("safe", None, 401, "key_missing")]
#[case::unknown_key("safe", Some("other"), 401, "key_refused")]
#[case::no_route("nowhere", Some(KEY), 404, "unknown_route")]
#[tokio::test]
async fn request_without_a_right_is_refused(
    #[case] route: &str,
    #[case] key: Option<&str>,
    #[case] status: u16,
    #[case] cause: &str,
) {
    let scene = Scene::start(&[10]).await;
    let answer = scene.nodes[0].request("GET", route, "b1", key).await;
    assert_eq!(answer.status, status);
    assert_eq!(scene.ran(), 0);
    let line = scene.nodes[0].line_with(&["event=refused", "id=b1"]).await;
    assert!(
        line.contains(&format!("cause={cause} outcome=not_run")),
        "{line}"
    );
    assert!(!scene.nodes[0].log().contains(KEY));
}

/// Guards against a public route that asks for a key.
#[tokio::test]
async fn public_route_needs_no_key() {
    let scene = Scene::start(&[10]).await;
    let answer = scene.nodes[0].request("GET", "open", "c1", None).await;
    assert_eq!(answer.status, 200);
}

/// Guards against orders that run twice, and callers who are told that an order
/// did not run although it may have.
#[rstest]
#[case::lost(Conduct::LosesAnswer, 502)]
#[case::crossed(Conduct::CrossesAnswers, 502)]
#[case::unsigned(Conduct::Unsigned, 502)]
#[case::cut(Conduct::CutsAnswers, 502)]
#[case::silent(Conduct::Silent, 504)]
#[case::failed(Conduct::Fails, 500)]
#[tokio::test]
async fn order_runs_at_most_once(#[case] conduct: Conduct, #[case] status: u16) {
    let scene = Scene::start(&[10, 10]).await;
    scene.endpoints.iter().for_each(|e| e.conduct(conduct));
    let answer = scene.nodes[0]
        .request("POST", "order", "d1", Some(KEY))
        .await;
    assert_eq!(answer.status, status);
    assert_eq!(scene.ran(), 1);
    if conduct != Conduct::Fails {
        let line = scene.nodes[0].line_with(&["event=refused", "id=d1"]).await;
        assert!(line.contains("outcome=unknown"), "{line}");
        scene.nodes[0].line_with(&["event=attempt", "id=d1"]).await;
    }
}

/// Guards against look-ups that fail although another endpoint would serve
/// them.
#[rstest]
#[case::refused(Conduct::Refuses)]
#[case::lost(Conduct::LosesAnswer)]
#[case::crossed(Conduct::CrossesAnswers)]
#[case::unsigned(Conduct::Unsigned)]
#[case::cut(Conduct::CutsAnswers)]
#[case::silent(Conduct::Silent)]
#[case::failed(Conduct::Fails)]
#[case::another(Conduct::IsAnother)]
#[tokio::test]
async fn idempotent_request_is_sent_elsewhere(#[case] conduct: Conduct) {
    let scene = Scene::start(&[10, 10]).await;
    let first = scene.get("safe", "e0").await;
    let home = usize::from(first.body.contains("i-1"));
    scene.endpoints[home].conduct(conduct);
    let answer = scene.get("safe", "e1").await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, format!("answer of i-{} to e1", 1 - home));
}

/// Guards against orders that fail although an endpoint said that it did not
/// run them.
#[rstest]
#[case(Conduct::Refuses)]
#[case(Conduct::IsAnother)]
#[tokio::test]
async fn refused_order_is_sent_elsewhere(#[case] conduct: Conduct) {
    let scene = Scene::start(&[10, 10]).await;
    let first = scene.get("safe", "f0").await;
    let home = usize::from(first.body.contains("i-1"));
    scene.endpoints[home].conduct(conduct);
    let answer = scene.nodes[0]
        .request("POST", "order", "f1", Some(KEY))
        .await;
    assert_eq!(answer.status, 200);
    assert_eq!(scene.ran(), 2);
}

/// Guards against callers who wait for nothing, and are not told when to come
/// back.
#[tokio::test]
async fn refusal_by_all_endpoints_is_told_at_once() {
    let scene = Scene::start(&[10, 10]).await;
    scene
        .endpoints
        .iter()
        .for_each(|e| e.conduct(Conduct::Refuses));
    let began = Instant::now();
    let answer = scene.nodes[0]
        .request("POST", "order", "g1", Some(KEY))
        .await;
    assert!(began.elapsed() < Duration::from_millis(1_000));
    assert_eq!(answer.status, 503);
    let after: f64 = header(&answer.head, "retry-after").parse().unwrap();
    assert!(after > 0.0 && after <= 1.0);
    assert_eq!(scene.ran(), 0);
}

/// Guards against work that goes on for a caller who has left.
#[tokio::test]
async fn body_over_the_limit_is_refused() {
    let scene = Scene::start(&[10]).await;
    let mut head = format!(
        "POST /order/1 HTTP/1.1\r\nhost: shop.example\r\nx-filbertgrade-request-id: h1\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 200000\r\nconnection: close\r\n\r\n"
    );
    head.push('x');
    let mut stream = tokio::net::TcpStream::connect(scene.nodes[0].callers)
        .await
        .unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, head.as_bytes())
        .await
        .unwrap();
    let mut answer = [0; 12];
    tokio::io::AsyncReadExt::read_exact(&mut stream, &mut answer)
        .await
        .unwrap();
    assert_eq!(&answer, b"HTTP/1.1 413");
    assert_eq!(scene.ran(), 0);
}
