//! A randomized run of real nodes under faults from outside, with the promises
//! to callers, backend servers and operators checked while it runs.
//!
//! Nodes are separate processes. Faults come from proxies between nodes, store
//! and endpoints, from signals, from the store and endpoints themselves, and
//! from operators. Clocks cannot be shifted without privileges, and nodes do
//! not use the time of day.

mod client;
mod fleet;
mod inject;
mod plan;
pub mod promises;

use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use self::client::{Connection, Question};
use self::fleet::{DOMAINS, Vm};
pub use self::plan::{Fault, Plan, PlannedFault};
use self::promises::{Ledger, Ran, Sent, Span, TeamLimit, Violation};
use crate::common::lock;
use crate::node::endpoint::{Endpoint, header};
use crate::node::store::Store;
use crate::node::unique_loopback_address;
use crate::proxy::FaultProxy;

/// Endpoints of a run.
const ENDPOINTS: usize = 9;

/// Callers that send one request after the other.
const CALLERS: usize = 12;

/// Mean pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(120);

/// Part of a caller's requests after which it opens another connection.
const LEAVE_PART: f64 = 0.05;

/// Time of work for a request at an endpoint.
const WORK: Duration = Duration::from_millis(15);

/// Requests a second that a cold endpoint takes.
const COLD_RATE: f64 = 3.5;

/// Time for which an endpoint is cold.
const COLD_TIME: Duration = Duration::from_secs(3);

/// How often the promises are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time before the end from which all must be served again.
const JUDGED_END: Duration = Duration::from_secs(4);

/// Time for the fleet to come up.
const START_TIME: Duration = Duration::from_secs(10);

/// Teams, with their limits. The second one sends more than its limit.
const TEAMS: [(&str, TeamLimit); 2] = [
    (
        "atelier",
        TeamLimit {
            rate: 400.0,
            burst: 200.0,
        },
    ),
    (
        "loud",
        TeamLimit {
            rate: 12.0,
            burst: 12.0,
        },
    ),
];

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the plan.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// VMs.
    pub vms: usize,
    /// The program of a node.
    pub node: PathBuf,
    /// Where settings and logs of the processes are left.
    pub logs: PathBuf,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests that callers sent.
    pub sent: usize,
    /// Requests that were answered with success.
    pub served: usize,
    /// Requests by status; zero stands for no answer.
    pub statuses: Vec<(u16, usize)>,
    /// Promises that were broken, the first of each.
    pub violations: Vec<Violation>,
}

/// State of a run that callers, faults and checks share.
#[derive(Debug)]
struct World {
    store: Store,
    endpoints: Vec<Endpoint>,
    proxies: Vec<FaultProxy>,
    ledger: Mutex<Ledger>,
    keys: Mutex<HashMap<&'static str, Vec<String>>>,
    version: AtomicU64,
    next_id: AtomicU64,
    /// Runs of each endpoint that are in the ledger.
    collected: Vec<AtomicUsize>,
}

/// Runs a plan.
///
/// # Errors
///
/// Fails when the fleet cannot be started or its logs cannot be read.
pub async fn run(options: &Options) -> io::Result<Report> {
    let plan = Plan::new(
        options.seed,
        options.length,
        options.vms,
        ENDPOINTS,
        DOMAINS.len(),
    );
    println!("seed {} plans {} faults:", plan.seed, plan.faults.len());
    for fault in &plan.faults {
        println!("  {fault}");
    }
    let world = Arc::new(World::new().await?);
    let ip = unique_loopback_address();
    let mut vms = Vec::new();
    for number in 0..options.vms {
        let store = world.store.address;
        let mut vm = Vm::new(number, ip, store, &options.node, &options.logs).await?;
        vm.start()?;
        vms.push(vm);
    }
    wait_until_up(&vms).await?;
    let callers = start_callers(&world, &vms, options.seed);
    let vms: Vec<_> = vms
        .into_iter()
        .map(|vm| Arc::new(tokio::sync::Mutex::new(vm)))
        .collect();
    let end = Instant::now() + plan.length;
    lock(&world.ledger).recovered_at = Some(end - JUDGED_END);
    let faults = inject::start(&world, &vms, &plan);
    let broken = check_until(&world, end).await;
    for task in callers.into_iter().chain(faults) {
        task.abort();
    }
    finish(&world, &vms, broken).await
}

/// Checks while the run lasts. Recovery is judged at its end only.
async fn check_until(world: &World, end: Instant) -> Vec<Violation> {
    let mut broken: Vec<Violation> = Vec::new();
    while Instant::now() < end {
        tokio::time::sleep(CHECK_INTERVAL).await;
        world.collect();
        for violation in lock(&world.ledger).violations() {
            let known = broken.iter().any(|b| b.promise == violation.promise);
            if !known && violation.promise != promises::Promise::Recovery {
                println!("BROKEN {violation}");
                broken.push(violation);
            }
        }
    }
    broken
}

async fn finish(
    world: &World,
    vms: &[Arc<tokio::sync::Mutex<Vm>>],
    mut broken: Vec<Violation>,
) -> io::Result<Report> {
    world.collect();
    for vm in vms {
        let mut vm = vm.lock().await;
        vm.kill().await;
        for log in vm.logs() {
            let text = std::fs::read_to_string(&log)?;
            let versions = text.lines().filter_map(version_in_force).collect();
            let name = log.display().to_string();
            lock(&world.ledger).versions.insert(name, versions);
        }
    }
    let ledger = lock(&world.ledger);
    for violation in ledger.violations() {
        if broken.iter().all(|b| b.promise != violation.promise) {
            println!("BROKEN {violation}");
            broken.push(violation);
        }
    }
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    for ended in ledger.ended.values() {
        *statuses.entry(ended.status).or_default() += 1;
    }
    let mut statuses: Vec<(u16, usize)> = statuses.into_iter().collect();
    statuses.sort_unstable();
    Ok(Report {
        sent: ledger.sent.len(),
        served: ledger.ended.values().filter(|e| e.status == 200).count(),
        statuses,
        violations: broken,
    })
}

fn version_in_force(line: &str) -> Option<u64> {
    let rest = line.split("event=configuration_in_force version=").nth(1)?;
    rest.split(' ').next()?.parse().ok()
}

async fn wait_until_up(vms: &[Vm]) -> io::Result<()> {
    let began = Instant::now();
    for vm in vms {
        loop {
            let named = client::look_up(vm.lookups, DOMAINS[0].1).await;
            if named.is_ok_and(|named| !named.is_empty()) {
                break;
            }
            if began.elapsed() > START_TIME {
                let text = format!("{} does not come up", vm.name);
                return Err(io::Error::other(text));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

fn start_callers(world: &Arc<World>, vms: &[Vm], seed: u64) -> Vec<tokio::task::JoinHandle<()>> {
    let lookups: Arc<[std::net::SocketAddr]> = vms.iter().map(|vm| vm.lookups).collect();
    let callers: Arc<[std::net::SocketAddr]> = vms.iter().map(|vm| vm.callers).collect();
    (0..CALLERS)
        .map(|number| {
            let rng = StdRng::seed_from_u64(seed ^ (number as u64 + 1));
            let world = Arc::clone(world);
            let (lookups, callers) = (Arc::clone(&lookups), Arc::clone(&callers));
            tokio::spawn(
                async move { call_for_ever(&world, &lookups, &callers, rng, number).await },
            )
        })
        .collect()
}

/// Sends one request after the other, and keeps a connection while it can.
async fn call_for_ever(
    world: &World,
    lookups: &[std::net::SocketAddr],
    callers: &[std::net::SocketAddr],
    mut rng: StdRng,
    number: usize,
) {
    let region = DOMAINS[number % DOMAINS.len()].1;
    let mut open: Option<Connection> = None;
    loop {
        tokio::time::sleep(PAUSE.mul_f64(rng.random_range(0.2..1.8))).await;
        if rng.random_bool(LEAVE_PART) {
            open = None;
        }
        let connection = match open.take() {
            Some(connection) => connection,
            None => {
                let asked = lookups[rng.random_range(0..lookups.len())];
                let named = client::look_up(asked, region).await.unwrap_or_default();
                let vm = match named.len() {
                    0 => callers[rng.random_range(0..callers.len())],
                    count => named[rng.random_range(0..count)],
                };
                match Connection::open(vm).await {
                    Ok(connection) => connection,
                    // The VM may be down; the next look-up names another one.
                    Err(_) => continue,
                }
            }
        };
        open = world.call(connection, &mut rng).await;
    }
}

impl World {
    async fn new() -> io::Result<Self> {
        let store = Store::start().await?;
        let mut endpoints = Vec::new();
        let mut proxies = Vec::new();
        for number in 0..ENDPOINTS {
            let endpoint = Endpoint::start(&format!("i-{number}"), WORK).await?;
            let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
            proxies.push(FaultProxy::bind(any, endpoint.address).await?);
            endpoints.push(endpoint);
        }
        let keys = TEAMS
            .iter()
            .map(|(team, _)| {
                (
                    *team,
                    vec![format!("key-{team}-0"), format!("key-{team}-1")],
                )
            })
            .collect();
        let ledger = Ledger {
            limits: TEAMS.into_iter().collect(),
            cold_rate: COLD_RATE,
            ..Ledger::default()
        };
        let world = Self {
            store,
            endpoints,
            proxies,
            ledger: Mutex::new(ledger),
            keys: Mutex::new(keys),
            version: AtomicU64::new(0),
            next_id: AtomicU64::new(0),
            collected: (0..ENDPOINTS).map(|_| AtomicUsize::new(0)).collect(),
        };
        for number in 0..ENDPOINTS {
            world.register(number, "ready", Duration::ZERO);
        }
        world.configure();
        Ok(world)
    }

    /// Writes the registration of an endpoint.
    fn register(&self, number: usize, state: &str, cold: Duration) {
        let spec = json!({"service": "charts", "address": self.proxies[number].addr().to_string(),
                          "zone": DOMAINS[number % DOMAINS.len()].0, "version": "v1", "slots": 3,
                          "state": state, "cold-remaining-s": cold.as_secs_f64(),
                          "seq-no": self.next_id.fetch_add(1, Ordering::Relaxed), "born": 5});
        self.store.put("servers", &self.endpoints[number].id, spec);
    }

    /// Puts the next version of the configuration in force.
    fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let route = |name: &str, kind: &str| {
            json!({"name": name, "hostname": "shop.example", "path-prefix": format!("/{name}/"),
                   "route-type": kind, "timeout-s": 2, "target-latency-s": 0.5, "priority": 1,
                   "service": "charts", "max-attempts": 2, "public": false, "sticky": true,
                   "home-regions": []})
        };
        let keys = lock(&self.keys);
        let tenants: Vec<Value> = TEAMS
            .iter()
            .map(|(team, limit)| {
                json!({"name": team, "api-keys": keys[team], "priority": 0,
                       "rate-per-s": limit.rate, "burst": limit.burst})
            })
            .collect();
        let spec = json!({
            "version": format!("r{version}"),
            "routes": [route("safe", "safe"), route("order", "unsafe")],
            "services": [{"name": "charts", "health-path": "/health", "max-conns": 100,
                          "cold-start-s": COLD_TIME.as_secs_f64(), "cold-per-s": COLD_RATE}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000,
                       "header-timeout-s": 3, "idle-timeout-s": 15},
            "tenants": tenants,
        });
        self.store.put("config", "main", spec);
    }

    /// Withdraws the older key of a team and gives out another one.
    fn withdraw_key(&self) {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let team = TEAMS[0].0;
        let old = {
            let mut keys = lock(&self.keys);
            let Some(keys) = keys.get_mut(team) else {
                return;
            };
            keys.push(format!("key-{team}-{number}"));
            keys.remove(0)
        };
        self.configure();
        lock(&self.ledger).withdrawn.insert(old, Instant::now());
    }

    /// Sends one request on a connection and notes how it ended.
    async fn call(&self, connection: Connection, rng: &mut StdRng) -> Option<Connection> {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("q{number}");
        let loud = rng.random_bool(0.5);
        let team = TEAMS[usize::from(loud)].0;
        let idempotent = rng.random_bool(0.6);
        let key = {
            let keys = lock(&self.keys);
            let of_team = &keys[team];
            of_team[rng.random_range(0..of_team.len())].clone()
        };
        let sent = Sent {
            idempotent,
            team,
            key: key.clone(),
            at: Instant::now(),
        };
        lock(&self.ledger).sent.insert(id.clone(), sent);
        let question = Question {
            id: &id,
            path: if idempotent { "/safe/7" } else { "/order/7" },
            object: rng.random_range(0..40),
            key: &key,
        };
        let (ended, connection) = connection.ask(&question).await;
        lock(&self.ledger).ended.insert(id, ended);
        connection
    }

    /// Takes what endpoints ran since the last time into the ledger.
    fn collect(&self) {
        for (number, endpoint) in self.endpoints.iter().enumerate() {
            let known = self.collected[number].load(Ordering::Relaxed);
            let runs = endpoint.runs_since(known);
            self.collected[number].store(known + runs.len(), Ordering::Relaxed);
            let mut ledger = lock(&self.ledger);
            ledger.ran.extend(runs.into_iter().map(|run| Ran {
                id: header(&run.head, "x-filbertgrade-request-id"),
                endpoint: number,
                at: run.at,
            }));
        }
    }

    fn begin_leaving(&self, endpoint: usize) {
        lock(&self.ledger).leaving.push(Span {
            endpoint,
            from: Instant::now(),
            until: None,
        });
    }

    fn end_leaving(&self, endpoint: usize) {
        let now = Instant::now();
        let mut ledger = lock(&self.ledger);
        let spans = ledger.leaving.iter_mut().filter(|s| s.endpoint == endpoint);
        for span in spans.filter(|span| span.until.is_none()) {
            span.until = Some(now);
        }
    }
}
