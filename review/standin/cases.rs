//! The cases. Each starts a small deployment, sends requests while one thing
//! happens, and checks the rule on what callers and backend servers saw.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::caller::Callers;
use crate::endpoint::Endpoint;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const COULD_NOT_RUN: i32 = 2;

/// `drain-s` of the settings.
const DRAIN_S: f64 = 2.5;

/// `revoke-s` of the settings.
const REVOKE_S: f64 = 5.0;

/// `stable-window-s` of the settings.
const STABLE_WINDOW_S: f64 = 4.0;

/// How long a node stands still.
const FREEZE_S: f64 = 3.5;

/// How long after its call a write without an answer is executed; the pages name 1
/// to 6 s.
const LATE_WRITE: Duration = Duration::from_millis(5_950);

/// `memory-mb` of the settings, in bytes.
const MEMORY_BYTES: u64 = 260_000_000;

/// Routes that the configuration has grown by.
const MORE_ROUTES: usize = 1_400;

/// Versions in one storm of configurations, and the time between two of them.
const STORM_VERSIONS: u32 = 12;
const STORM_GAP: Duration = Duration::from_millis(330);

/// When the last storm has ended, in seconds.
const STORMS_END_S: f64 = 100.0;

/// `recovery-s` of the settings.
const RECOVERY_S: f64 = 15.0;

/// Time for all nodes to become ready.
const START_LIMIT: Duration = Duration::from_secs(10);

pub fn run(case: &str, dir: &Path, trouble: bool) -> i32 {
    let record = Record::new();
    let settings = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&settings).is_err() {
        return COULD_NOT_RUN;
    }
    let scene = Scene {
        record: record.clone(),
        settings: settings.clone(),
        trouble,
        entry: match case {
            "huge-number-entry" => Entry::HugeNumber,
            "nested-entry" => Entry::Nested,
            "cold-entry" => Entry::ColdForEver,
            _ => Entry::Unreadable,
        },
    };
    let result = match case {
        "unreadable-entry" | "huge-number-entry" | "nested-entry" | "cold-entry" => {
            scene.foreign_entry()
        }
        "unreadable-entry-restart" => scene.restart_with_foreign_entry(),
        "memory" => scene.configuration_changes(),
        "late-write" => scene.late_write(),
        "past-outage" => scene.past_outage(),
        "withdrawn-key" => scene.withdrawn_key(),
        _ => Err(std::io::Error::other("no such case")),
    };
    let status = result.unwrap_or_else(|error| {
        record.add(format!("the case could not run: {error}"));
        COULD_NOT_RUN
    });
    record.add(format!("exit status {status}"));
    if record.write(&dir.join("record.txt")).is_err() {
        return COULD_NOT_RUN;
    }
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&settings);
    }
    status
}

struct Scene {
    record: Record,
    settings: PathBuf,
    trouble: bool,
    entry: Entry,
}

/// What another writer left in the store.
enum Entry {
    /// Bytes that are no text.
    Unreadable,
    /// A number beyond the range of doubles.
    HugeNumber,
    /// A list of lists where a name is due.
    Nested,
    /// The largest signed number as the time for which it is cold.
    ColdForEver,
}

/// Third number of loopback addresses that no other run uses.
fn free_net() -> u8 {
    let first = std::process::id();
    let nets = (0..200).map(|n| 20 + ((first + n) % 200) as u8);
    nets.into_iter()
        .find(|net| std::net::TcpListener::bind(format!("127.0.{net}.1:8382")).is_ok())
        .unwrap_or(20)
}

fn sleep_until(record: &Record, seconds: f64) {
    let left = seconds - record.now();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}

/// A configuration with one service for each kind of request.
fn configuration(version: u32) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"shop.example\",\"path-prefix\":\"/{name}/\",\"route-type\":\"{kind}\",\
             \"timeout-s\":4,\"target-latency-s\":0.8,\"priority\":1,\"service\":\"{service}\",\"max-attempts\":{attempts}}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":330,\"cold-start-s\":3,\"cold-per-s\":3.7}}"
        )
    };
    format!(
        "{{\"version\":\"r{version}\",\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":1048576,\"header-timeout-s\":3,\"idle-timeout-s\":15}},\
         \"tenants\":[{{\"name\":\"atelier\",\"api-keys\":[\"key-of-atelier\"],\"rate-per-s\":2000,\"burst\":500}}]}}",
        route("charts", "safe", "maatboek", 2),
        route("orders", "unsafe", "snijbank", 2),
        service("maatboek"),
        service("snijbank"),
    )
}

impl Scene {
    fn nodes(&self, net: u8, count: u8, store: &Store) -> std::io::Result<Vec<Node>> {
        let mut nodes = Vec::new();
        for index in 1..=count {
            let mut node = Node::new(index, net, store.address, &self.settings, &self.record)?;
            node.start()?;
            nodes.push(node);
        }
        for node in &nodes {
            if !node.wait_ready(START_LIMIT) {
                return Err(std::io::Error::other(format!("{} is not ready", node.name)));
            }
        }
        self.record.add("all nodes are ready");
        Ok(nodes)
    }

    /// Writes the entry of another writer, unless the trouble is left out.
    fn write_foreign_entry(&self, store: &Store, net: u8) {
        if !self.trouble {
            return;
        }
        let entry = match self.entry {
            // A number beyond what a double can hold.
            Entry::HugeNumber => "{\"service\":\"snijbank\",\"zone\":\"z-a\",\"slots\":1e999}".to_owned(),
            // A list where a name is due, in lists of its own.
            Entry::Nested => format!("{{\"service\":{}{}}}", "[".repeat(130), "]".repeat(130)),
            Entry::ColdForEver => format!(
                "{{\"service\":\"snijbank\",\"address\":\"127.0.{net}.201:8500\",\"zone\":\"z-a\",\
                 \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"cold-remaining-s\":9223372036854775807,\"seq-no\":1,\"born\":5}}"
            ),
            // The bytes 0xff 0xfe, as JSON writers escape bytes that are no UTF-8.
            Entry::Unreadable => "{\"service\":\"snijbank\",\"zone\":\"z-a\",\"version\":\"\\udcff\\udcfe\"}".to_owned(),
        };
        store.put("servers", "left-by-another-writer", &entry);
        self.record.add(format!("the store accepts the entry of another writer: {entry}"));
    }

    /// As [`Scene::foreign_entry`], but all nodes are killed and start again.
    fn restart_with_foreign_entry(&self) -> std::io::Result<i32> {
        let net = free_net();
        let record = &self.record;
        let store = Store::start(&format!("127.0.{net}.1:8382"))?;
        store.put("config", "main", &configuration(3));
        let mut endpoints = Vec::new();
        for n in 1..=4 {
            let address = format!("127.0.{net}.{}:8500", 100 + n);
            let work = Duration::from_millis(300);
            endpoints.push(Endpoint::start(&format!("i-{n}"), "snijbank", &address, work, &store, record)?);
        }
        let mut nodes = self.nodes(net, 3, &store)?;
        let started = record.now();
        let callers = Callers::new(record);
        for n in 0..12 {
            let pause = Duration::from_millis(200);
            let node = nodes[n % 3].front();
            callers.start(&format!("c{n}"), &node, "POST", "/orders/new", "key-of-atelier", pause);
        }
        sleep_until(record, started + 5.0);
        self.write_foreign_entry(&store, net);
        sleep_until(record, started + 8.0);
        let killed_at = record.now();
        for node in &mut nodes {
            node.kill();
        }
        std::thread::sleep(Duration::from_secs(1));
        for node in &mut nodes {
            node.start()?;
        }
        let back_at = record.now();
        sleep_until(record, back_at + RECOVERY_S + 8.0);
        callers.stop();
        std::thread::sleep(Duration::from_secs(1));
        let share = |from: f64, to: f64| {
            let sent = callers.sent();
            let sent: Vec<_> = sent.iter().filter(|s| s.at >= from && s.at < to).collect();
            let served = sent.iter().filter(|s| s.has_seal && s.status == 200).count();
            (served, sent.len())
        };
        let (served, sent) = share(started, killed_at);
        let (served_after, sent_after) = share(back_at + RECOVERY_S, f64::MAX);
        let ready = nodes.iter().filter(|node| node.is_ready()).count();
        record.add(format!(
            "before the kill {served} of {sent} requests were served; later than {RECOVERY_S} s after the \
             nodes were back {served_after} of {sent_after}; {ready} of 3 nodes are ready"
        ));
        drop(nodes);
        let was_served = served * 4 >= sent;
        Ok(if was_served && served_after * 4 < sent_after { BROKEN } else { HELD })
    }

    /// Another writer leaves an entry of kind `servers` that cannot be read.
    /// Later an endpoint drains and ends.
    fn foreign_entry(&self) -> std::io::Result<i32> {
        let net = free_net();
        let record = &self.record;
        let store = Store::start(&format!("127.0.{net}.1:8382"))?;
        store.put("config", "main", &configuration(3));
        let work = Duration::from_millis(1_000);
        let mut endpoints = Vec::new();
        for n in 1..=10 {
            let address = format!("127.0.{net}.{}:8500", 100 + n);
            let id = format!("i-{n}");
            endpoints.push(Endpoint::start(&id, "snijbank", &address, work, &store, record)?);
        }
        let nodes = self.nodes(net, 5, &store)?;
        let started = record.now();
        let callers = Callers::new(record);
        for n in 0..40 {
            let pause = Duration::from_millis(100);
            let node = nodes[n % 5].front();
            callers.start(&format!("c{n}"), &node, "POST", "/orders/new", "key-of-atelier", pause);
        }
        sleep_until(record, started + 4.0);
        self.write_foreign_entry(&store, net);
        sleep_until(record, started + 9.0);
        let leaving = &endpoints[..2];
        let drained_at: Vec<f64> = leaving.iter().map(Endpoint::drain).collect();
        // They serve on for `drain-s` and some seconds more.
        sleep_until(record, drained_at[1] + DRAIN_S + 6.0);
        leaving.iter().for_each(Endpoint::end);
        std::thread::sleep(Duration::from_secs(3));
        callers.stop();
        std::thread::sleep(Duration::from_millis(600));
        let mut late = 0;
        let mut unanswered = 0;
        for (endpoint, drained_at) in leaving.iter().zip(drained_at) {
            let runs = endpoint.runs();
            late += runs.iter().filter(|run| run.at > drained_at + DRAIN_S).count();
            unanswered += runs.iter().filter(|run| !run.answered).count();
        }
        let sent = callers.sent();
        let served = sent.iter().filter(|sent| sent.has_seal).count();
        record.add(format!(
            "{late} requests reached the leaving endpoints later than {DRAIN_S} s after the acknowledgements; \
             {unanswered} orders were running there when they exited; {served} of {} requests served",
            sent.len()
        ));
        drop(nodes);
        Ok(if late > 0 { BROKEN } else { HELD })
    }

    /// The store gives no answer to one heartbeat of two endpoints and executes it
    /// later, when they have reported that they leave.
    fn late_write(&self) -> std::io::Result<i32> {
        let net = free_net();
        let record = &self.record;
        let store = Store::start(&format!("127.0.{net}.1:8382"))?;
        store.put("config", "main", &configuration(3));
        let work = Duration::from_millis(400);
        let mut endpoints = Vec::new();
        for n in 1..=10 {
            let address = format!("127.0.{net}.{}:8500", 100 + n);
            endpoints.push(Endpoint::start(&format!("i-{n}"), "snijbank", &address, work, &store, record)?);
        }
        let nodes = self.nodes(net, 3, &store)?;
        let started = record.now();
        let callers = Callers::new(record);
        for n in 0..60 {
            let pause = Duration::from_millis(50);
            let node = nodes[n % 3].front();
            callers.start(&format!("c{n}"), &node, "POST", "/orders/new", "key-of-atelier", pause);
        }
        let leaving = &endpoints[..2];
        let lost_at = started + 4.0;
        sleep_until(record, lost_at);
        if self.trouble {
            leaving.iter().for_each(|e| e.beat_late(LATE_WRITE));
        }
        // The store has been without disruption for `stable-window-s`.
        sleep_until(record, lost_at + STABLE_WINDOW_S + 0.1);
        let drained_at: Vec<f64> = leaving.iter().map(Endpoint::drain).collect();
        sleep_until(record, drained_at[1] + 8.0);
        leaving.iter().for_each(Endpoint::end);
        std::thread::sleep(Duration::from_secs(2));
        callers.stop();
        std::thread::sleep(Duration::from_millis(600));
        let late: Vec<f64> = leaving
            .iter()
            .zip(drained_at)
            .flat_map(|(endpoint, drained_at)| {
                let runs = endpoint.runs();
                runs.into_iter().map(move |run| run.at - drained_at)
            })
            .filter(|after| *after > DRAIN_S)
            .collect();
        let latest = late.iter().copied().fold(0.0, f64::max);
        record.add(format!(
            "{} requests reached the leaving endpoints later than {DRAIN_S} s after the acknowledgements, \
             the last one after {latest:.3} s",
            late.len()
        ));
        drop(nodes);
        Ok(if late.is_empty() { HELD } else { BROKEN })
    }

    /// A new version of the configuration withdraws a key, and adds a tenant whose
    /// name has an underscore.
    fn withdrawn_key(&self) -> std::io::Result<i32> {
        let net = free_net();
        let record = &self.record;
        let store = Store::start(&format!("127.0.{net}.1:8382"))?;
        let first = configuration(3).replace(
            "[\"key-of-atelier\"]",
            "[\"key-of-atelier\",\"another-key\"]",
        );
        store.put("config", "main", &first);
        let work = Duration::from_millis(300);
        let mut endpoints = Vec::new();
        for n in 1..=4 {
            let address = format!("127.0.{net}.{}:8500", 100 + n);
            endpoints.push(Endpoint::start(&format!("i-{n}"), "snijbank", &address, work, &store, record)?);
        }
        let nodes = self.nodes(net, 3, &store)?;
        let started = record.now();
        let callers = Callers::new(record);
        for (n, key) in ["key-of-atelier", "another-key"].into_iter().cycle().take(12).enumerate() {
            let node = nodes[n % 3].front();
            let pause = Duration::from_millis(200);
            callers.start(&format!("{key}-{n}"), &node, "POST", "/orders/new", key, pause);
        }
        sleep_until(record, started + 4.0);
        let name = if self.trouble { "riding_school" } else { "ridingschool" };
        let tenant = format!(
            "\"tenants\":[{{\"name\":\"{name}\",\"api-keys\":[\"key-of-school\"],\"rate-per-s\":20,\"burst\":20}},"
        );
        let second = configuration(4)
            .replace("[\"key-of-atelier\"]", "[\"another-key\"]")
            .replace("\"tenants\":[", &tenant);
        store.put("config", "main", &second);
        let withdrawn_at = record.now();
        record.add(format!("the store acknowledges r4: {second}"));
        sleep_until(record, withdrawn_at + REVOKE_S + 6.0);
        callers.stop();
        std::thread::sleep(Duration::from_secs(1));
        let ran: std::collections::HashSet<String> =
            endpoints.iter().flat_map(Endpoint::runs).map(|run| run.id).collect();
        let sent = callers.sent();
        let late = sent
            .iter()
            .filter(|s| s.id.starts_with("key-of-atelier") && s.at > withdrawn_at + REVOKE_S)
            .filter(|s| ran.contains(&s.id))
            .count();
        record.add(format!(
            "{late} requests with the withdrawn key were sent later than {REVOKE_S} s after the \
             acknowledgement, and ran"
        ));
        drop(nodes);
        Ok(if late > 0 { BROKEN } else { HELD })
    }

    /// The store turns a node away for some seconds. Later the node that follows the
    /// store in its place freezes, as two endpoints leave. With `TROUBLE=0` and
    /// `FREEZE` set, only the freeze happens.
    fn past_outage(&self) -> std::io::Result<i32> {
        let net = free_net();
        let record = &self.record;
        let store = Store::start(&format!("127.0.{net}.1:8382"))?;
        store.put("config", "main", &configuration(3));
        let work = Duration::from_millis(600);
        let mut endpoints = Vec::new();
        for n in 1..=10 {
            let address = format!("127.0.{net}.{}:8500", 100 + n);
            endpoints.push(Endpoint::start(&format!("i-{n}"), "snijbank", &address, work, &store, record)?);
        }
        let nodes = self.nodes(net, 2, &store)?;
        let started = record.now();
        let callers = Callers::new(record);
        for n in 0..100 {
            let name = format!("at-{}-c{n}", nodes[n % 2].name);
            let pause = Duration::from_millis(50);
            let node = nodes[n % 2].front();
            callers.start(&name, &node, "POST", "/orders/new", "key-of-atelier", pause);
        }
        let reader = || nodes.iter().find(|node| store.last_reader() == Some(node.ip()));
        sleep_until(record, started + 3.0);
        if self.trouble {
            let Some(first) = reader() else {
                return Err(std::io::Error::other("no node reads the store"));
            };
            record.add(format!("the store turns {} away", first.name));
            store.turn_away(Some(first.ip()));
            sleep_until(record, started + 9.0);
            store.turn_away(None);
            record.add("the store serves all nodes again");
        }
        sleep_until(record, started + 9.0 + 2.0 * STABLE_WINDOW_S);
        let Some(follower) = reader() else {
            return Err(std::io::Error::other("no node reads the store"));
        };
        let Some(other) = nodes.iter().find(|node| node.name != follower.name) else {
            return Err(std::io::Error::other("there is one node only"));
        };
        let frozen_at = record.now();
        if self.trouble || std::env::var("FREEZE").is_ok() {
            follower.freeze(true);
        }
        let leaving = &endpoints[..2];
        let left_at: Vec<f64> = leaving.iter().map(Endpoint::deregister).collect();
        sleep_until(record, frozen_at + FREEZE_S);
        leaving.iter().for_each(Endpoint::end);
        if self.trouble || std::env::var("FREEZE").is_ok() {
            follower.freeze(false);
        }
        std::thread::sleep(Duration::from_secs(2));
        callers.stop();
        std::thread::sleep(Duration::from_millis(1_500));
        let through = format!("at-{}-", other.name);
        let mut late = 0;
        let mut unanswered = 0;
        for (endpoint, left_at) in leaving.iter().zip(left_at) {
            let runs = endpoint.runs();
            let runs = runs.iter().filter(|run| run.id.starts_with(&through));
            let runs: Vec<_> = runs.filter(|run| run.at > left_at + DRAIN_S).collect();
            late += runs.len();
            unanswered += runs.iter().filter(|run| !run.answered).count();
        }
        record.add(format!(
            "{late} requests reached the endpoints through {} later than {DRAIN_S} s after the \
             acknowledgements; {unanswered} of them were running there when they exited",
            other.name
        ));
        drop(nodes);
        Ok(if late > 0 { BROKEN } else { HELD })
    }

    /// The operator changes a configuration with many routes again and again. The
    /// platform ends a process whose memory is over its limit, and starts it again.
    fn configuration_changes(&self) -> std::io::Result<i32> {
        let net = free_net();
        let record = &self.record;
        let store = Store::start(&format!("127.0.{net}.1:8382"))?;
        let large = |version| with_idle_routes(&configuration(version), MORE_ROUTES, version);
        store.put("config", "main", &large(3));
        record.add(format!("the configuration has {} bytes", large(3).len()));
        let work = Duration::from_millis(800);
        let mut endpoints = Vec::new();
        for n in 1..=4 {
            let address = format!("127.0.{net}.{}:8500", 100 + n);
            endpoints.push(Endpoint::start(&format!("i-{n}"), "snijbank", &address, work, &store, record)?);
        }
        let mut nodes = self.nodes(net, 3, &store)?;
        let callers = Callers::new(record);
        for n in 0..18 {
            let pause = Duration::from_millis(100);
            let node = nodes[n % 3].front();
            callers.start(&format!("c{n}"), &node, "POST", "/orders/new", "key-of-atelier", pause);
        }
        let stop = Arc::new(AtomicBool::new(!self.trouble));
        let writing = {
            let (store, record, stop) = (store.clone(), record.clone(), Arc::clone(&stop));
            std::thread::spawn(move || {
                let mut version = 3;
                while !stop.load(Ordering::SeqCst) && record.now() < STORMS_END_S {
                    for _ in 0..STORM_VERSIONS {
                        version += 1;
                        store.put("config", "main", &with_idle_routes(&configuration(version), MORE_ROUTES, version));
                        std::thread::sleep(STORM_GAP);
                    }
                    record.add(format!("the store holds version r{version}"));
                    std::thread::sleep(Duration::from_secs(1));
                }
            })
        };
        let mut ends = 0;
        let mut next_report = 0.0;
        let mut end = if self.trouble { STORMS_END_S + 4.0 } else { 30.0 };
        while record.now() < end {
            std::thread::sleep(Duration::from_millis(100));
            let memory: Vec<u64> = nodes.iter().map(Node::memory_kib).collect();
            if record.now() > next_report {
                record.add(format!("memory of the nodes in KiB: {memory:?}"));
                next_report += 5.0;
            }
            for (node, kib) in nodes.iter_mut().zip(memory) {
                if kib * 1024 > MEMORY_BYTES {
                    record.add(format!("node {} has {kib} KiB, over memory-mb", node.name));
                    ends += 1;
                    if ends == 3 {
                        end = record.now() + 5.0;
                    }
                    node.kill();
                    std::thread::sleep(Duration::from_millis(300));
                    node.start()?;
                }
            }
        }
        callers.stop();
        stop.store(true, Ordering::SeqCst);
        let _ = writing.join();
        std::thread::sleep(Duration::from_secs(2));
        let ran: std::collections::HashSet<String> =
            endpoints.iter().flat_map(Endpoint::runs).map(|run| run.id).collect();
        let sent = callers.sent();
        let lost = sent.iter().filter(|s| s.on_kept && s.status == 0 && ran.contains(&s.id)).count();
        record.add(format!(
            "{ends} processes ended over their memory; of {} requests, {lost} came on kept connections, ran, \
             and their connections closed without an answer",
            sent.len()
        ));
        drop(nodes);
        Ok(if lost > 3 { BROKEN } else { HELD })
    }
}

/// Adds routes that no caller uses.
fn with_idle_routes(configuration: &str, count: usize, version: u32) -> String {
    let routes: Vec<String> = (0..count)
        .map(|n| {
            format!(
                "{{\"name\":\"idle-{n}\",\"hostname\":\"shop-{n}.example\",\"path-prefix\":\"/idle-{n}/\",\"route-type\":\"safe\",\
                 \"timeout-s\":{},\"target-latency-s\":0.8,\"priority\":1,\"service\":\"maatboek\",\"max-attempts\":2}},",
                2 + version % 3
            )
        })
        .collect();
    configuration.replacen("\"routes\":[", &format!("\"routes\":[{}", routes.concat()), 1)
}
