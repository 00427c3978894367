//! The operator ports of real processes, `dump`, and log lines.

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

const ENTRY: u16 = 7083;
const AGENT: u16 = 7084;

async fn get(fleet: &Fleet, vm: usize, port: u16, path: &str) -> (u16, String) {
    let address = SocketAddr::new(fleet.vms[vm].address, port);
    let req = Request::get(path)
        .header("host", "operator")
        .body(Full::<Bytes>::default())
        .unwrap();
    match send(address, req).await {
        Ok(answer) => {
            let body = String::from_utf8(answer.body().to_vec()).unwrap();
            (answer.status().as_u16(), body)
        }
        Err(_) => (0, String::new()),
    }
}

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

/// Guards against an entry that counts as ready without a configuration or
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

/// Guards against work that is sent to an entry which has begun to stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_entry_is_not_ready() {
    let fleet = Fleet::start(1).await;
    fleet.apply().await;
    wait_for(&fleet, ENTRY, "/ready", 200).await;
    let id = fleet.vms[0].entry.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &id]).status().unwrap();
    assert!(sent.success());
    let cause = wait_for(&fleet, ENTRY, "/ready", 503).await;
    assert_eq!(cause, "the process is leaving\n");
}

/// Guards against metrics and dumps that are missing, and against digests or
/// secrets in them.
#[tokio::test(flavor = "multi_thread")]
async fn dump_and_metrics_show_the_state_without_keys() {
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
    // The other region is heard with the first pull from its VM.
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

/// Guards against a command that hangs on a port that accepts and is silent.
#[tokio::test(flavor = "multi_thread")]
async fn dump_of_a_silent_port_ends_in_time() {
    let fleet = Fleet::start(0).await;
    fleet.platform.set_unresponsive(true);
    let start = Instant::now();
    let ran = invoke(&["dump", &fleet.platform.addr().to_string()]).await;
    assert_eq!(ran.status.code(), Some(1));
    assert!(start.elapsed() < Duration::from_secs(10));
    let ran = run(&fleet, &["status"]).await;
    assert_eq!(ran.code, 6, "{ran:?}");
}

/// Guards against values that end early or split a line for its reader.
#[test]
fn log_values_are_quoted_when_they_must_be() {
    for (value, written) in [
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
        assert_eq!(logfmt::value(value).to_string(), written);
    }
}

/// Guards against errors whose text breaks the line that reports them. The
/// errors of the platform client quote the object's name.
#[test]
fn every_log_line_of_an_agent_without_a_store_can_be_read() {
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
        assert!(is_readable(line), "{line}");
    }
}

/// A line is `key=value` pairs; a quoted value ends at the next quote that is
/// not escaped.
fn is_readable(line: &str) -> bool {
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
