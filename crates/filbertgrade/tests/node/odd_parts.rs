//! Tests of versions of the configuration with parts that cannot be read.

use std::time::{Duration, Instant};

use filbertgrade_standins::node::unique_loopback_address;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::net::UdpSocket;

use crate::cluster::{KEY, Node, TestCluster, eventually};

/// Time from the withdrawal of a key until it must be refused.
const KEY_WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);

/// Adds a team with a key of its own, which a later version withdraws.
fn add_second_team(spec: &mut Value, keys: &[&str]) {
    let team = json!({"name": "school", "api-keys": keys, "rate-per-s": 500, "burst": 100});
    spec["tenants"].as_array_mut().unwrap().push(team);
}

/// Guards against one odd team that costs all other teams their keys, and against a
/// key that stays in use because its withdrawal comes with an odd team.
#[rstest]
#[case::empty(json!({"name": "", "api-keys": ["odd"]}))]
#[case::long(json!({"name": "x".repeat(2_000), "api-keys": ["odd"]}))]
#[case::number(json!({"name": 42, "api-keys": ["odd"]}))]
#[case::null(json!({"name": null, "api-keys": ["odd"]}))]
#[case::no_object(json!("riding school"))]
#[case::odd_rate(json!({"name": "riders", "api-keys": ["odd"], "rate-per-s": "many"}))]
#[case::odd_keys(json!({"name": "riders", "api-keys": ["odd", 5]}))]
#[tokio::test]
async fn odd_team_costs_no_other_team_its_keys(#[case] odd: Value) {
    let mut cluster = TestCluster::with_nodes(&[1], 2).await;
    cluster.configure(|spec| add_second_team(spec, &["kept", "withdrawn"]));
    for node in &cluster.nodes {
        eventually("the new key is accepted", || async {
            node.request("GET", "safe", "a1", Some("withdrawn"))
                .await
                .status
                == 200
        })
        .await;
    }
    cluster.configure(|spec| {
        add_second_team(spec, &["kept"]);
        spec["tenants"].as_array_mut().unwrap().insert(0, odd);
    });
    let withdrawn_at = Instant::now();
    for node in &cluster.nodes {
        eventually("the key is refused", || async {
            node.request("GET", "safe", "a2", Some("withdrawn"))
                .await
                .status
                == 503
        })
        .await;
    }
    assert!(withdrawn_at.elapsed() < KEY_WITHDRAWAL_BOUND);
    // Beyond the time for which an unconfirmed version would still be used.
    while withdrawn_at.elapsed() < KEY_WITHDRAWAL_BOUND + Duration::from_secs(1) {
        for key in [KEY, "kept"] {
            for node in &cluster.nodes {
                let response = node.request("GET", "safe", "a3", Some(key)).await;
                assert_eq!(response.status, 200, "{key}: {response:?}\n{}", node.log());
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let ran = cluster.requests_run();
    for key in ["withdrawn", "odd"] {
        let response = cluster.nodes[0]
            .request("GET", "safe", "a4", Some(key))
            .await;
        // The odd team may have it, so the caller may try again.
        assert_eq!(response.status, 503);
    }
    assert_eq!(cluster.requests_run(), ran);
    cluster.nodes[0]
        .line_with(&["event=configuration_part_ignored", "part=team", "index=0"])
        .await;
    let restarted = Node::start("vm-9", cluster.store.address).await;
    restarted.wait_ready().await;
    for key in [KEY, "kept"] {
        let response = restarted.request("GET", "safe", "a5", Some(key)).await;
        assert_eq!(response.status, 200);
    }
}

/// Guards against a team that has no access because its name has characters that cannot
/// stand in a header or a log line, or is long; and against such a name that is cut,
/// taken for another one, or splits a log line.
#[rstest]
#[case::white_space("riding school", "riding school", r#"team="riding school""#)]
#[case::line_break("riding\nschool", "riding%0Aschool", r#"team="riding\nschool""#)]
#[case::header_break("a\r\nx-key: b", "a%0D%0Ax-key: b", r#"team="a\r\nx-key: b""#)]
#[case::ends_in_white_space(" school\t", "%20school%09", r#"team=" school\t""#)]
#[case::looks_encoded("riding%0Aschool", "riding%250Aschool", "team=riding%0Aschool")]
#[case::long(&"x".repeat(400), &"x".repeat(400), &"x".repeat(400))]
#[tokio::test]
async fn team_with_any_name_has_access(
    #[case] name: &str,
    #[case] header: &str,
    #[case] in_log: &str,
) {
    let mut cluster = TestCluster::with_nodes(&[1], 3).await;
    cluster.configure(|spec| {
        // Its requests need tokens of other nodes.
        let team = json!({"name": name, "api-keys": ["odd"], "rate-per-s": 500, "burst": 100});
        spec["tenants"].as_array_mut().unwrap().insert(0, team);
    });
    for (n, node) in cluster.nodes.iter().enumerate() {
        let id = format!("e{n}");
        eventually("the key is accepted", || async {
            node.request("GET", "safe", &id, Some("odd")).await.status == 200
        })
        .await;
        node.line_with(&["event=answered", &format!("id={id}"), in_log])
            .await;
        let others = node.request("GET", "safe", "e9", Some(KEY)).await;
        assert_eq!(others.status, 200, "{others:?}");
    }
    let heads = cluster.endpoints[0].run_heads();
    let expected = format!("x-filbertgrade-tenant: {header}").to_lowercase();
    let with_name = heads
        .iter()
        .filter(|head| head.split("\r\n").any(|line| line == expected));
    assert_eq!(with_name.count(), 3, "{expected:?} in {heads:#?}");
}

/// Guards against a long name that keeps the arrivals of other teams out of the
/// heartbeats, by which the limits are divided.
#[tokio::test]
async fn long_name_leaves_room_for_other_teams_in_a_heartbeat() {
    let mut cluster = TestCluster::start(&[1]).await;
    let long = ["x", "y"].map(|letter| letter.repeat(700));
    cluster.configure(|spec| {
        for name in &long {
            // They use more of their limits than the default team, so they come first.
            let team =
                json!({"name": name, "api-keys": [&name[..1]], "rate-per-s": 20, "burst": 20});
            spec["tenants"].as_array_mut().unwrap().push(team);
        }
    });
    let socket = UdpSocket::bind((unique_loopback_address(), 0))
        .await
        .unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let listener = json!({"incarnation": 1, "callers": address, "heartbeats": address,
                          "region": "north", "failure_domain": "north-a"});
    cluster.store.put("vms", "vm-listener", listener);
    let node = &cluster.nodes[0];
    let started_at = Instant::now();
    let mut buf = [0; 4_096];
    loop {
        for key in ["x", "y", KEY] {
            node.request("GET", "safe", key, Some(key)).await;
        }
        let received =
            tokio::time::timeout(Duration::from_millis(100), socket.recv(&mut buf)).await;
        if let Ok(Ok(len)) = received {
            let heartbeat = String::from_utf8_lossy(&buf[..len]);
            let has_long = long.iter().any(|name| heartbeat.contains(name.as_str()));
            if has_long && heartbeat.contains("atelier") {
                assert!(len <= 1_400, "{len}");
                return;
            }
        }
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "{}",
            node.log()
        );
    }
}

/// Guards against teams that cannot be read, all of them, and requests that then run
/// without a key.
#[tokio::test]
async fn keys_are_required_although_no_team_can_be_read() {
    let mut cluster = TestCluster::start(&[1]).await;
    cluster.configure(|spec| spec["tenants"] = json!([7]));
    eventually("the key is refused", || async {
        cluster.get("safe", "b1").await.status == 503
    })
    .await;
    let ran = cluster.requests_run();
    for key in [None, Some(KEY), Some("any")] {
        let response = cluster.nodes[0].request("GET", "safe", "b2", key).await;
        assert_ne!(response.status, 200);
    }
    assert_eq!(cluster.requests_run(), ran);
    let response = cluster.nodes[0].request("GET", "open", "b3", None).await;
    assert_eq!(response.status, 200);
}

/// Guards against one odd route that costs all others, and against requests on it
/// that are refused for good, or run by the service of another route.
#[rstest]
#[case::place_is_known(json!({"name": "new", "hostname": "shop.example", "path-prefix": "/safe/7/", "route-type": "safe", "service": 5}))]
#[case::name_is_known(json!({"name": "inner", "hostname": ["shop.example"], "path-prefix": "/safe/7/"}))]
#[case::nothing_is_known(json!([]))]
#[tokio::test]
async fn odd_route_costs_only_its_own_requests(#[case] odd: Value) {
    let mut cluster = TestCluster::start(&[1]).await;
    // An earlier version has the route.
    cluster.configure(|spec| {
        let mut inner = spec["routes"][0].clone();
        inner["name"] = "inner".into();
        inner["path-prefix"] = "/safe/7/".into();
        spec["routes"].as_array_mut().unwrap().push(inner);
    });
    let is_known = !odd.is_array();
    cluster.configure(|spec| {
        spec["routes"].as_array_mut().unwrap().insert(0, odd);
    });
    let version = format!("configuration_in_force version={} ", cluster.version());
    cluster.nodes[0].line_with(&[&version]).await;
    cluster.nodes[0]
        .line_with(&["event=configuration_part_ignored", "part=route", "index=0"])
        .await;
    // Routes: /safe/ with the service, and the odd one below it.
    assert_eq!(cluster.get("order", "c1").await.status, 200);
    assert_eq!(cluster.get("safe", "c2").await.status, 200);
    assert_eq!(
        cluster.get("nowhere", "c3").await.status,
        if is_known { 404 } else { 503 }
    );
    if is_known {
        assert_eq!(cluster.get("safe/7", "c4").await.status, 503);
    }
}

/// Guards against one odd service that costs the others, and against requests to a
/// service whose limits are unknown.
#[tokio::test]
async fn odd_service_costs_only_the_routes_to_it() {
    let mut cluster = TestCluster::start(&[1]).await;
    cluster.configure(|spec| {
        let odd = json!({"name": "archive", "max-conns": -1});
        spec["services"].as_array_mut().unwrap().insert(0, odd);
        spec["routes"][1]["service"] = "archive".into();
    });
    eventually("the route to the odd service is refused", || async {
        cluster.get("order", "d1").await.status == 503
    })
    .await;
    assert_eq!(cluster.get("safe", "d2").await.status, 200);
}
