//! The cases. Each checks one rule as the users' pages state it.

use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::caller::Callers;
use crate::endpoint::{Endpoint, Run};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

const BROKEN: i32 = 1;
const HELD: i32 = 0;
const CANNOT_RUN: i32 = 2;

/// Port that a run holds in its network.
const CLAIM_PORT: u16 = 8380;

const KEY: &str = "tnfzs989anu6wsjnbanf";
/// Key that is withdrawn.
const OLD_KEY: &str = "bz2kq84mvo1xw7dyr5te";
/// `revoke-s` of the settings.
const REVOKE_S: f64 = 5.0;
/// `drain-s` of the settings.
const DRAIN_S: f64 = 2.5;
/// `recovery-s` of the settings.
const RECOVERY_S: f64 = 15.0;

/// `memory-mb` of the settings of small machines (160 to 512 MB on the sheet).
const MEMORY_MB: u64 = 160;
/// Routes that `big_config` adds in the site file of the large deployment.
const MORE_ROUTES: u32 = 1_400;
/// Length of a `config_storm` and time between its changes, as in the site files.
const STORM_S: f64 = 4.0;
const STORM_GAP_S: f64 = 0.33;
/// Time between two of them.
const STORM_PAUSE_S: f64 = 1.0;

/// Runs a case and writes its record.
pub fn run(case: &str, dir: &Path, trouble: bool) -> i32 {
    let record = Record::new();
    let temp = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let result = std::fs::create_dir_all(&temp).and_then(|()| match case {
        "drain" => drain(&record, &temp, trouble),
        "restart" => restart(&record, &temp, trouble),
        "memory" => memory(&record, &temp, trouble),
        "withdrawn-key" => withdrawn_key(&record, &temp, trouble),
        _ => Err(std::io::Error::other("no such case")),
    });
    let code = result.unwrap_or_else(|error| {
        record.add(format!("the case could not run: {error}"));
        CANNOT_RUN
    });
    record.add(match code {
        BROKEN => "the rule is BROKEN",
        HELD => "the rule HELD",
        _ => "the case COULD NOT RUN",
    });
    let written = std::fs::create_dir_all(dir).and_then(|()| record.write(&dir.join("record.txt")));
    if let Err(error) = written {
        eprintln!("cannot write the record: {error}");
        return CANNOT_RUN;
    }
    let _ = std::fs::remove_dir_all(&temp);
    code
}

fn sleep_until(record: &Record, at: f64) {
    let left = at - record.now();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}

/// A small deployment: a store, four endpoints of one service, and nodes.
struct Deployment {
    store: Store,
    endpoints: Vec<Endpoint>,
    nodes: Vec<Node>,
    /// Held while the case runs.
    _claim: TcpListener,
}

/// Finds a network 127.0.N.0/24 for the addresses of this run, so that runs do not
/// meet. It is taken as long as the listener is open.
fn claim_network() -> std::io::Result<(u8, TcpListener)> {
    let first = std::process::id() % 100;
    for n in 0..100 {
        let net = 100 + ((first + n) % 100) as u8;
        if let Ok(claim) = TcpListener::bind((Ipv4Addr::new(127, 0, net, 1), CLAIM_PORT)) {
            return Ok((net, claim));
        }
    }
    Err(std::io::Error::other("no free network"))
}

impl Deployment {
    fn start(record: &Record, dir: &PathBuf, nodes: u8) -> std::io::Result<Self> {
        let (net, claim) = claim_network()?;
        let store = Store::start(&format!("127.0.{net}.1:0"))?;
        store.put("config", "main", &configuration());
        let mut endpoints = Vec::new();
        for n in 0..4 {
            endpoints.push(Endpoint::start(
                &format!("i-{n}"),
                "desk",
                &format!("127.0.{net}.{}:0", 50 + n),
                Duration::from_millis(200),
                &store,
                record,
            )?);
        }
        let mut deployment = Self {
            store,
            endpoints,
            nodes: Vec::new(),
            _claim: claim,
        };
        for n in 1..=nodes {
            let mut node = Node::new(n, net, deployment.store.address, dir, record)?;
            node.start()?;
            deployment.nodes.push(node);
        }
        for node in &mut deployment.nodes {
            if !node.wait_ready(Duration::from_secs(8)) {
                return Err(std::io::Error::other(format!("{} is not ready", node.name)));
            }
            if !node.runs() {
                return Err(std::io::Error::other(format!("{} has ended", node.name)));
            }
        }
        record.add("all nodes are ready");
        Ok(deployment)
    }

    fn start_callers(&self, record: &Record) -> Callers {
        self.start_callers_with(record, KEY)
    }

    fn start_callers_with(&self, record: &Record, key: &str) -> Callers {
        let callers = Callers::new(record);
        let pause = Duration::from_millis(100);
        for node in &self.nodes {
            let front = node.front();
            for n in 0..2 {
                let name = format!("chart-{}-{n}", node.name);
                callers.start(&name, &front, "GET", "/chart/7", key, pause);
                let name = format!("order-{}-{n}", node.name);
                callers.start(&name, &front, "POST", "/order/7", key, pause);
            }
        }
        callers
    }

    fn runs(&self) -> Vec<Run> {
        self.endpoints.iter().flat_map(Endpoint::runs).collect()
    }
}

fn configuration() -> String {
    configuration_with(3, 0)
}

/// The configuration of this version, with `more` routes beside the two that
/// requests use.
fn configuration_with(version: u32, more: u32) -> String {
    let tenant = format!("{{\"name\":\"atelier\",\"api-keys\":[\"{KEY}\"],\"rate-per-s\":0,\"burst\":0}}");
    configuration_of(version, more, &tenant)
}

/// The configuration with these tenants.
fn configuration_of(version: u32, more: u32, tenants: &str) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"shop.example\",\"path-prefix\":\"/{name}/\",\"route-type\":\"{kind}\",\
             \"timeout-s\":3,\"target-latency-s\":0.6,\"priority\":1,\"service\":\"desk\",\"max-attempts\":2,\
             \"public\":false,\"sticky\":true,\"home-regions\":[]}}"
        )
    };
    let added: String = (0..more)
        .map(|n| format!(",{}", route(&format!("rack-{n}"), "safe")))
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"routes\":[{},{}{added}],\
         \"services\":[{{\"name\":\"desk\",\"health-path\":\"/health\",\"max-conns\":330,\"cold-start-s\":3.0,\"cold-per-s\":3.7}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":1000000,\"header-timeout-s\":3,\"idle-timeout-s\":15}},\
         \"tenants\":[{tenants}]}}",
        route("chart", "safe"),
        route("order", "unsafe")
    )
}

/// An entry of kind `servers` by another writer, with a text that cannot be read:
/// an escape for half of a pair of code units, which is what a writer of JSON makes
/// of a byte that is not UTF-8.
fn write_unreadable_entry(store: &Store, record: &Record) {
    let spec = r#"{"service":"desk","address":"\udcff\udcfe","zone":"z-a","state":"ready","slots":1}"#;
    store.put("servers", "x-other-writer", spec);
    record.add(format!("another writer writes servers/x-other-writer: {spec}"));
}

/// DRAIN: a request reaches an endpoint later than `drain-s` after the store
/// acknowledged that it is draining.
fn drain(record: &Record, dir: &PathBuf, trouble: bool) -> std::io::Result<i32> {
    let mut deployment = Deployment::start(record, dir, 3)?;
    let callers = deployment.start_callers(record);
    let start = record.now();
    sleep_until(record, start + 5.0);
    if trouble {
        write_unreadable_entry(&deployment.store, record);
    }
    sleep_until(record, start + 11.0);
    let leaving = deployment.endpoints[0].clone();
    let acked = leaving.drain();
    sleep_until(record, acked + DRAIN_S + 3.0);
    leaving.end();
    sleep_until(record, acked + DRAIN_S + 8.0);
    callers.stop();
    sleep_until(record, record.now() + 5.0);
    let late: Vec<Run> = leaving
        .runs()
        .into_iter()
        .filter(|run| run.at > acked + DRAIN_S)
        .collect();
    for run in &late {
        let after = run.at - acked;
        record.add(format!(
            "{} ran at {} {after:.2} s after the acknowledgement; answered: {}",
            run.id, run.endpoint, run.answered
        ));
    }
    let sent = callers.sent();
    let served = sent.iter().filter(|s| s.status == 200 && s.has_seal).count();
    let cut_orders = leaving
        .runs()
        .iter()
        .filter(|run| run.id.starts_with("order") && !run.answered)
        .count();
    record.add(format!(
        "requests sent {}, served {served}; runs {}; runs at the leaving endpoint later than {DRAIN_S} s after its \
         acknowledgement {}; orders that ran there and were cut by its exit {cut_orders}",
        sent.len(),
        deployment.runs().len(),
        late.len()
    ));
    if deployment.nodes.iter_mut().any(|node| !node.runs()) {
        record.add("a node has ended by itself");
    }
    if served == 0 {
        return Ok(CANNOT_RUN);
    }
    Ok(if late.is_empty() { HELD } else { BROKEN })
}

/// RECOVER: less than a quarter of the requests is served that are sent later than
/// `recovery-s` after the machines are back.
fn restart(record: &Record, dir: &PathBuf, trouble: bool) -> std::io::Result<i32> {
    let mut deployment = Deployment::start(record, dir, 3)?;
    let callers = deployment.start_callers(record);
    let start = record.now();
    sleep_until(record, start + 4.0);
    if trouble {
        write_unreadable_entry(&deployment.store, record);
    }
    sleep_until(record, start + 8.0);
    let fault = record.now();
    for node in &mut deployment.nodes {
        node.kill();
    }
    for node in &mut deployment.nodes {
        node.start()?;
    }
    let back = record.now();
    sleep_until(record, back + RECOVERY_S + 10.0);
    callers.stop();
    sleep_until(record, record.now() + 5.0);
    let sent = callers.sent();
    let served_of = |from: f64, to: f64| {
        let in_time = sent.iter().filter(|s| s.at >= from && s.at < to);
        let served = in_time.clone().filter(|s| s.status == 200 && s.has_seal);
        (served.count(), in_time.count())
    };
    let (served_before, sent_before) = served_of(start, fault);
    let (served_after, sent_after) = served_of(back + RECOVERY_S, f64::INFINITY);
    let ready = deployment.nodes.iter().filter(|node| node.is_ready()).count();
    record.add(format!(
        "before the final fault: {served_before} of {sent_before} served; later than {RECOVERY_S} s after the machines \
         are back: {served_after} of {sent_after} served; {ready} of {} nodes are ready",
        deployment.nodes.len()
    ));
    if sent_before == 0 || sent_after == 0 || served_before * 4 < sent_before {
        return Ok(CANNOT_RUN);
    }
    Ok(if served_after * 4 < sent_after {
        BROKEN
    } else {
        HELD
    })
}

/// Fault: on a tenth of the machines, two at least, processes end by themselves
/// three times with no disruption there, because they exceed `memory-mb`.
///
/// The platform of this case does what its page says: it ends a process that
/// exceeds its memory, and starts it again after a short delay.
fn memory(record: &Record, dir: &PathBuf, trouble: bool) -> std::io::Result<i32> {
    let mut deployment = Deployment::start(record, dir, 3)?;
    let mut version = 6;
    let config = configuration_with(version, MORE_ROUTES);
    deployment.store.put("config", "main", &config);
    record.add(format!(
        "configuration with {MORE_ROUTES} routes more, {} bytes",
        config.len()
    ));
    let callers = deployment.start_callers(record);
    let mut ends = vec![0_u32; deployment.nodes.len()];
    let start = record.now();
    sleep_until(record, start + 3.0);
    let mut changes = 0;
    let length = 85.0;
    while record.now() < start + length {
        let in_storm = (record.now() - start) % (STORM_S + STORM_PAUSE_S) < STORM_S;
        if trouble && in_storm {
            version += 1;
            let config = configuration_with(version, MORE_ROUTES);
            deployment.store.put("config", "main", &config);
            changes += 1;
        }
        std::thread::sleep(Duration::from_secs_f64(STORM_GAP_S));
        let used: Vec<u64> = deployment.nodes.iter().map(Node::memory_kib).collect();
        record.add(format!("version {version}; memory of the nodes in KiB: {used:?}"));
        for (n, node) in deployment.nodes.iter_mut().enumerate() {
            if used[n] > MEMORY_MB * 1024 {
                ends[n] += 1;
                record.add(format!(
                    "node {} has {} KiB, more than {MEMORY_MB} MiB, and is ended by the platform",
                    node.name, used[n]
                ));
                node.kill();
                std::thread::sleep(Duration::from_millis(200));
                node.start()?;
            } else if !node.runs() {
                ends[n] += 1;
                record.add(format!("node {} has ended by itself", node.name));
                node.start()?;
            }
        }
    }
    callers.stop();
    sleep_until(record, record.now() + 5.0);
    let sent = callers.sent();
    let served = sent.iter().filter(|s| s.status == 200 && s.has_seal).count();
    let cut = sent.iter().filter(|s| s.status == 0).count();
    record.add(format!(
        "{changes} changes of the configuration; ends of the nodes for memory: {ends:?}; requests sent {}, served \
         {served}, cut off or not connected {cut}",
        sent.len()
    ));
    if served == 0 {
        return Ok(CANNOT_RUN);
    }
    let often = ends.iter().filter(|n| **n >= 3).count();
    Ok(if often >= 2 { BROKEN } else { HELD })
}

/// CONFIG: a request runs that was sent later than `revoke-s` after the
/// acknowledgement of a configuration that took its key away.
fn withdrawn_key(record: &Record, dir: &PathBuf, trouble: bool) -> std::io::Result<i32> {
    let tenant = |name: &str, keys: &str| {
        format!("{{\"name\":\"{name}\",\"api-keys\":[{keys}],\"rate-per-s\":0,\"burst\":0}}")
    };
    let both_keys = format!("\"{KEY}\",\"{OLD_KEY}\"");
    let new_key = format!("\"{KEY}\"");
    let deployment = Deployment::start(record, dir, 3)?;
    let config = configuration_of(6, 0, &tenant("atelier", &both_keys));
    deployment.store.put("config", "main", &config);
    std::thread::sleep(Duration::from_secs(1));
    let callers = deployment.start_callers_with(record, OLD_KEY);
    let start = record.now();
    sleep_until(record, start + 4.0);
    let served_before = callers.sent().iter().filter(|s| s.status == 200).count();
    // The new tenant's name has an underscore, or a hyphen without the trouble.
    let name = if trouble { "atelier_lyon" } else { "atelier-lyon" };
    let tenants = format!("{},{}", tenant("atelier", &new_key), tenant(name, ""));
    deployment.store.put("config", "main", &configuration_of(9, 0, &tenants));
    let acked = record.now();
    record.add(format!(
        "store acknowledges version r9, which takes a key of atelier away and adds the tenant {name}"
    ));
    sleep_until(record, acked + REVOKE_S + 8.0);
    callers.stop();
    sleep_until(record, record.now() + 5.0);
    let sent = callers.sent();
    let late = sent.iter().filter(|s| s.at > acked + REVOKE_S);
    let run = late.clone().filter(|s| s.status == 200 && s.has_seal).count();
    record.add(format!(
        "requests with the key served before {served_before}; sent later than {REVOKE_S} s after it was taken away {}, \
         of which {run} ran",
        late.count()
    ));
    if served_before == 0 {
        return Ok(CANNOT_RUN);
    }
    Ok(if run > 0 { BROKEN } else { HELD })
}
