//! Tests of the operator ports of real processes, the command `dump`, and the
//! format of log lines.

use std::io::Read;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade::logfmt;
use http::Request;
use http_body_util::Full;

use crate::fleet::{Fleet, invoke, send};
use crate::run;

/// Operator port of entries.
const ENTRY: u16 = 7083;

/// Operator port of agents.
const AGENT: u16 = 7084;

/// Sends a request to an operator port, and returns status and body of the
/// response; the status is 0 if there is none.
async fn get(fleet: &Fleet, vm: usize, port: u16, path: &str) -> (u16, String) {
    let address = SocketAddr::new(fleet.vms[vm].address, port);
    let req = Request::get(path)
        .header("host", "operator")
        .body(Full::<Bytes>::default())
        .unwrap();
    match send(address, req).await {
        Ok(response) => {
            let body = String::from_utf8(response.body().to_vec()).unwrap();
            (response.status().as_u16(), body)
        }
        Err(_) => (0, String::new()),
    }
}

/// Polls an operator port of the first VM until a response has `status`, and
/// returns its body.
async fn wait_for(fleet: &Fleet, port: u16, path: &str, status: u16) -> String {
    let start = Instant::now();
    loop {
        let (got, body) = get(fleet, 0, port, path).await;
        if got == status {
            return body;
        }
        assert!(start.elapsed() < Duration::from_secs(12), "{got} {body}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an entry that reports itself ready without a configuration, or
/// with state that is no longer valid.
#[tokio::test(flavor = "multi_thread")]
async fn entry_is_ready_only_with_a_configuration_and_valid_state() {
    let mut fleet = Fleet::start(2).await;
    wait_for(&fleet, ENTRY, "/health", 200).await;
    let cause = wait_for(&fleet, ENTRY, "/ready", 503).await;
    assert_eq!(cause, "no configuration is in force\n");
    wait_for(&fleet, AGENT, "/ready", 200).await;
    fleet.apply().await;
    wait_for(&fleet, ENTRY, "/ready", 200).await;

    let _ = fleet.vms[0].agent.kill();
    let cause = wait_for(&fleet, ENTRY, "/ready", 503).await;
    assert!(cause.starts_with("the state is not valid"), "{cause}");
    assert_eq!(get(&fleet, 0, ENTRY, "/health").await.0, 200);
}

/// Guards against requests that are sent to an entry which has started to stop.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_entry_is_not_ready() {
    let fleet = Fleet::start(1).await;
    fleet.apply().await;
    wait_for(&fleet, ENTRY, "/ready", 200).await;
    let id = fleet.vms[0].entry.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &id]).status().unwrap();
    assert!(sent.success());
    let cause = wait_for(&fleet, ENTRY, "/ready", 503).await;
    assert_eq!(cause, "the process is leaving\n");
}

/// Guards against values missing from dumps and metrics, and against secrets or
/// digests in them.
#[tokio::test(flavor = "multi_thread")]
async fn dump_and_metrics_show_the_state_without_secrets_or_digests() {
    let fleet = Fleet::start(2).await;
    fleet.apply().await;
    let secret = fleet.create_key("atelier").await;
    let revision = fleet.platform.revision();
    fleet
        .wait_until(Duration::from_secs(8), async |vm| {
            let address = SocketAddr::new(vm.ip(), ENTRY).to_string();
            let dump = invoke(&["dump", &address]).await;
            let dump: serde_json::Value = serde_json::from_slice(&dump.stdout).unwrap_or_default();
            dump["in_force"]["revision"].as_u64() >= Some(revision)
        })
        .await;
    let (_, entry) = get(&fleet, 0, ENTRY, "/dump").await;
    let (_, agent) = get(&fleet, 0, AGENT, "/dump").await;
    let (_, metrics) = get(&fleet, 0, AGENT, "/metrics").await;
    let (_, entry_metrics) = get(&fleet, 0, ENTRY, "/metrics").await;
    let name = &fleet.platform.names("keys/")[0];
    let (_, record) = fleet.platform.get(name).unwrap();
    let record: serde_json::Value = serde_json::from_slice(&record).unwrap();
    for text in [&entry, &agent, &metrics, &entry_metrics] {
        assert!(!text.contains(&secret[22..]), "{text}");
        assert!(!text.contains(record["digest"].as_str().unwrap()), "{text}");
    }
    let entry: serde_json::Value = serde_json::from_str(&entry).unwrap();
    assert_eq!(entry["in_force"]["config_version"], 1);
    assert_eq!(entry["in_force"]["keys"], 1);
    assert_eq!(entry["process"]["vm"], "vm-1");
    let mut agent: serde_json::Value = serde_json::from_str(&agent).unwrap();
    // Evidence of the other region arrives with the first pull from its VM.
    let start = Instant::now();
    while agent["regions"].as_array().unwrap().len() < 2 {
        assert!(start.elapsed() < Duration::from_secs(5), "{agent}");
        let (_, dump) = get(&fleet, 0, AGENT, "/dump").await;
        agent = serde_json::from_str(&dump).unwrap();
    }
    assert_eq!(agent["vms"].as_array().unwrap().len(), 2);
    assert_eq!(agent["process"]["entry_config_version"], 1);
    for line in [
        "platform_calls_total{kind=\"list\"}",
        "agent_revision{vm=\"vm-1\"}",
    ] {
        assert!(metrics.contains(line), "{metrics}");
    }
    assert!(entry_metrics.contains("entry_config_version{vm=\"vm-1\"} 1"));
    assert_eq!(get(&fleet, 0, ENTRY, "/other").await.0, 404);
}

/// Guards against commands that hang when a port accepts connections but never
/// responds.
#[tokio::test(flavor = "multi_thread")]
async fn commands_time_out_on_a_port_that_does_not_respond() {
    let fleet = Fleet::start(0).await;
    fleet.platform.set_unresponsive(true);
    let start = Instant::now();
    let output = invoke(&["dump", &fleet.platform.addr().to_string()]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(start.elapsed() < Duration::from_secs(10));
    let output = run(&fleet, &["status"]).await;
    assert_eq!(output.code, 6, "{output:?}");
}

/// Guards against log values that a reader would take for several values or lines.
#[test]
fn log_values_are_quoted_when_necessary() {
    for (value, expected) in [
        ("vm-1", "vm-1"),
        ("127.0.0.1:7080", "127.0.0.1:7080"),
        ("", "\"\""),
        ("two words", "\"two words\""),
        ("a=b", "\"a=b\""),
        ("call for \"x\"", "\"call for \\\"x\\\"\""),
        ("a\\b", "\"a\\\\b\""),
        ("one\ntwo\tthree\u{1b}", "\"one\\ntwo\\tthree\\u{1b}\""),
        ("caf\u{e9}", "caf\u{e9}"),
    ] {
        assert_eq!(logfmt::value(value).to_string(), expected);
    }
}

/// Guards against error texts that make a log line unparsable. The errors of the
/// platform client contain the quoted name of an object.
#[test]
fn every_log_line_of_an_agent_without_a_store_is_parsable() {
    let address = format!("127.60.{}.9", std::process::id() % 200 + 1);
    let mut agent = Command::new(env!("CARGO_BIN_EXE_filbertgrade"))
        .args(["agent", "--vm", "vm-1", "--address", &address])
        .args(["--region", "north", "--failure-domain", "north-a"])
        .args(["--store", "127.0.0.1:1"])
        .env("RUST_LOG", "info")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    std::thread::sleep(Duration::from_millis(1500));
    agent.kill().unwrap();
    agent.wait().unwrap();
    let mut log = String::new();
    agent.stdout.unwrap().read_to_string(&mut log).unwrap();
    assert!(log.contains("event=watch_failed"), "{log}");
    for line in log.lines() {
        assert!(is_parsable(line), "{line}");
    }
}

/// Returns whether a line consists of `key=value` pairs separated by spaces. A
/// quoted value ends at the next quote that is not escaped.
fn is_parsable(line: &str) -> bool {
    let mut rest = line;
    while !rest.is_empty() {
        let Some((key, value)) = rest.split_once('=') else {
            return false;
        };
        if key.is_empty() || key.contains([' ', '"']) {
            return false;
        }
        let end = if let Some(quoted) = value.strip_prefix('"') {
            let mut escaped = false;
            let end = quoted.find(|c| {
                let ends = c == '"' && !escaped;
                escaped = c == '\\' && !escaped;
                ends
            });
            match end {
                Some(end) => end + 2,
                None => return false,
            }
        } else {
            value.find(' ').unwrap_or(value.len())
        };
        rest = match value[end..].strip_prefix(' ') {
            Some(rest) => rest,
            None if value[end..].is_empty() => "",
            None => return false,
        };
    }
    true
}
