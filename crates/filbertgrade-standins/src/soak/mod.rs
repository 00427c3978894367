//! Runs real nodes under random faults and checks the promises to callers, backend servers and
//! operators.
//!
//! Nodes are separate processes. Faults are injected from outside: by proxies in front of the
//! store and the endpoints, by signals to the processes, by the store and the endpoints themselves,
//! and as actions of operators. The clock is never shifted: that takes privileges, and nodes do not
//! use the time of day.

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

use self::client::{CallerBody, CallerRequest, Connection};
use self::fleet::{DOMAINS, Vm};
pub use self::plan::{Fault, Plan, PlannedFault};
use self::promises::{
    EndpointPeriod, History, PauseRequest, RequestRun, SentRequest, TeamLimit, Violation,
};
use crate::common::lock;
use crate::node::endpoint::{Arrival, Endpoint, header};
use crate::node::store::Store;
use crate::node::unique_loopback_address;
use crate::proxy::{self, Direction, FaultProxy};

/// Number of endpoints of a run.
const ENDPOINTS: usize = 9;

/// Number of concurrent callers. Each sends one request at a time.
const CALLERS: usize = 12;

/// Mean time for which a caller waits before each request.
const MEAN_CALLER_PAUSE: Duration = Duration::from_millis(120);

/// One caller in so many connects to the same VM again until it accepts no more, whatever lookups
/// say, like a caller with an old response.
const STALE_CALLER_INTERVAL: usize = 3;

/// Probability that a caller closes its connection before a request and opens another one.
const RECONNECT_PROBABILITY: f64 = 0.05;

/// Time for which an endpoint works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(15);

/// Probability that a request names a longer time, and this time in milliseconds. It may be longer
/// than what is left of a planned stop.
const LONG_WORK_PROBABILITY: f64 = 0.06;
const LONG_WORK_MS: std::ops::Range<u64> = 300..2_800;

/// Probability that a request that must not be repeated has a body, and its length in bytes.
const BODY_PROBABILITY: f64 = 0.3;
const BODY_BYTES: std::ops::Range<usize> = 1..900_000;

/// Time after the end of all VMs in which a request that they have sent may still start to run.
const LATE_RUN_TIME: Duration = Duration::from_secs(1);

/// Rate of a cold endpoint in requests per second.
const COLD_RATE: f64 = 3.5;

/// Time for which an endpoint is cold after it returns from a drain.
const COLD_DURATION: Duration = Duration::from_secs(3);

/// Pause that a refusing endpoint asks for.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Interval between two checks of the promises.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Length of the period at the end of a run in which requests must succeed again. It is shorter
/// than the fault-free time at the end of the plan, so that the fleet has time to recover.
const RECOVERY_WINDOW: Duration = Duration::from_secs(4);

/// Time within which all VMs must respond to lookups.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Teams with their limits. Each team sends half of the requests, and the second one exceeds its
/// limit with them.
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

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the plan and of the callers.
    pub seed: u64,
    /// Length of the run, without the start of the VMs.
    pub length: Duration,
    /// Number of VMs.
    pub vms: usize,
    /// Latency between VMs and endpoints in each direction.
    pub latency: Duration,
    /// Path of the `filbertgrade` program, which is run as a node.
    pub node: PathBuf,
    /// Existing directory for the settings and logs of the processes; they are kept after the run.
    pub logs: PathBuf,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of requests that callers sent.
    pub sent: usize,
    /// Number of requests with a response of status 200.
    pub served: usize,
    /// Number of requests by status, in ascending order; status zero means no response.
    pub statuses: Vec<(u16, usize)>,
    /// The first violation of each broken promise.
    pub violations: Vec<Violation>,
}

/// State of a run, shared by callers, faults and checks.
#[derive(Debug)]
struct RunState {
    store: Store,
    endpoints: Vec<Endpoint>,
    /// Proxy in front of each endpoint, whose address is registered.
    proxies: Vec<FaultProxy>,
    /// Latency of each direction of the proxies, without faults.
    latency: Duration,
    history: Mutex<History>,
    /// Valid API keys of each team, oldest first.
    keys: Mutex<HashMap<&'static str, Vec<String>>>,
    /// Number of the newest version of the configuration.
    version: AtomicU64,
    /// Next number for request ids, registrations and API keys.
    next_id: AtomicU64,
    /// Number of starts of each endpoint.
    starts: Vec<AtomicU64>,
    /// Number of runs of each endpoint that are already in the history.
    collected_runs: Vec<AtomicUsize>,
    /// Number of arrivals of each endpoint that are already in the history.
    collected_arrivals: Vec<AtomicUsize>,
}

/// Prints the plan of a seed and runs it. Each fault is printed when it starts, and the first
/// violation of each promise when it is found.
///
/// # Errors
///
/// Returns an error if the VMs cannot be started, do not become ready in time, or their logs cannot
/// be read.
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
    let state = Arc::new(RunState::new(options.latency).await?);
    let ip = unique_loopback_address();
    let mut vms = Vec::new();
    for number in 0..options.vms {
        let store_address = state.store.address;
        let mut vm = Vm::new(number, ip, store_address, &options.node, &options.logs).await?;
        vm.start()?;
        vms.push(vm);
    }
    wait_until_ready(&vms).await?;
    let callers = start_callers(&state, &vms, options.seed);
    let vms: Vec<_> = vms
        .into_iter()
        .map(|vm| Arc::new(tokio::sync::Mutex::new(vm)))
        .collect();
    let end = Instant::now() + plan.length;
    lock(&state.history).recovery_deadline = Some(end - RECOVERY_WINDOW);
    let faults = inject::start(&state, &vms, &plan);
    let broken = check_until(&state, end).await;
    for task in callers.into_iter().chain(faults) {
        task.abort();
    }
    finish(&state, &vms, broken).await
}

/// Checks the promises until `end` and returns the first violation of each. Recovery is judged only
/// after the run.
async fn check_until(state: &RunState, end: Instant) -> Vec<Violation> {
    let mut broken: Vec<Violation> = Vec::new();
    while Instant::now() < end {
        tokio::time::sleep(CHECK_INTERVAL).await;
        state.collect_runs();
        for violation in lock(&state.history).violations() {
            let is_reported = broken.iter().any(|b| b.promise == violation.promise);
            if !is_reported && violation.promise != promises::Promise::Recovery {
                println!("BROKEN {violation}");
                broken.push(violation);
            }
        }
    }
    broken
}

/// Stops the VMs, reads the versions from their logs and checks the whole history once more.
async fn finish(
    state: &RunState,
    vms: &[Arc<tokio::sync::Mutex<Vm>>],
    mut broken: Vec<Violation>,
) -> io::Result<Report> {
    state.collect_runs();
    for vm in vms {
        let mut vm = vm.lock().await;
        vm.kill().await;
        for log in vm.logs() {
            let text = std::fs::read_to_string(&log)?;
            let versions = text.lines().filter_map(version_in_force).collect();
            let name = log.display().to_string();
            lock(&state.history).versions.insert(name, versions);
        }
    }
    tokio::time::sleep(LATE_RUN_TIME).await;
    state.collect_runs();
    let history = lock(&state.history);
    for violation in history.violations() {
        if broken.iter().all(|b| b.promise != violation.promise) {
            println!("BROKEN {violation}");
            broken.push(violation);
        }
    }
    let mut statuses: HashMap<u16, usize> = HashMap::new();
    for outcome in history.outcomes.values() {
        *statuses.entry(outcome.status).or_default() += 1;
    }
    let mut statuses: Vec<(u16, usize)> = statuses.into_iter().collect();
    statuses.sort_unstable();
    Ok(Report {
        sent: history.sent.len(),
        served: history
            .outcomes
            .values()
            .filter(|o| o.status == 200)
            .count(),
        statuses,
        violations: broken,
    })
}

/// Returns the version from a log line of a version that was put in force, and `None` for other
/// lines.
fn version_in_force(line: &str) -> Option<u64> {
    let after_key = line.split("event=configuration_in_force version=").nth(1)?;
    after_key.split(' ').next()?.parse().ok()
}

/// Waits until every VM names an address in response to a lookup.
async fn wait_until_ready(vms: &[Vm]) -> io::Result<()> {
    let started_at = Instant::now();
    for vm in vms {
        loop {
            let addresses = client::look_up(vm.lookup_address, DOMAINS[0].1).await;
            if addresses.is_ok_and(|addresses| !addresses.is_empty()) {
                break;
            }
            if started_at.elapsed() > START_TIMEOUT {
                let text = format!("{} did not respond to lookups in time", vm.name);
                return Err(io::Error::other(text));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// Starts a task for each caller, with a random generator of its own.
fn start_callers(state: &Arc<RunState>, vms: &[Vm], seed: u64) -> Vec<tokio::task::JoinHandle<()>> {
    let lookups: Arc<[std::net::SocketAddr]> = vms.iter().map(|vm| vm.lookup_address).collect();
    let callers: Arc<[std::net::SocketAddr]> = vms.iter().map(|vm| vm.caller_address).collect();
    (0..CALLERS)
        .map(|number| {
            let rng = StdRng::seed_from_u64(seed ^ (number as u64 + 1));
            let state = Arc::clone(state);
            let (lookups, callers) = (Arc::clone(&lookups), Arc::clone(&callers));
            tokio::spawn(async move { run_caller(&state, &lookups, &callers, rng, number).await })
        })
        .collect()
}

/// Sends requests one after the other, and keeps its connection until either side closes it. Runs
/// until the task is aborted.
async fn run_caller(
    state: &RunState,
    lookup_addresses: &[std::net::SocketAddr],
    caller_addresses: &[std::net::SocketAddr],
    mut rng: StdRng,
    number: usize,
) {
    let region = DOMAINS[number % DOMAINS.len()].1;
    let keeps_vm = number.is_multiple_of(STALE_CALLER_INTERVAL);
    let mut last_vm: Option<usize> = None;
    let mut open_connection: Option<(usize, Connection)> = None;
    loop {
        tokio::time::sleep(MEAN_CALLER_PAUSE.mul_f64(rng.random_range(0.2..1.8))).await;
        if rng.random_bool(RECONNECT_PROBABILITY) {
            open_connection = None;
        }
        let kept_vm = last_vm.take().filter(|_| keeps_vm);
        let (vm, connection) = match (open_connection.take(), kept_vm) {
            (Some(open), _) => open,
            (None, Some(vm)) => match Connection::open(caller_addresses[vm]).await {
                Ok(connection) => (vm, connection),
                Err(_) => continue,
            },
            (None, None) => {
                let lookup_address = lookup_addresses[rng.random_range(0..lookup_addresses.len())];
                let addresses = client::look_up(lookup_address, region)
                    .await
                    .unwrap_or_default();
                let address = match addresses.len() {
                    0 => caller_addresses[rng.random_range(0..caller_addresses.len())],
                    count => addresses[rng.random_range(0..count)],
                };
                let Some(vm) = caller_addresses.iter().position(|a| *a == address) else {
                    continue;
                };
                match Connection::open(address).await {
                    Ok(connection) => (vm, connection),
                    // The VM may be down; a later lookup returns another one.
                    Err(_) => continue,
                }
            }
        };
        last_vm = Some(vm);
        let connection = state.send_request(connection, vm, &mut rng).await;
        open_connection = connection.map(|connection| (vm, connection));
    }
}

fn draw_body(rng: &mut StdRng) -> CallerBody {
    if !rng.random_bool(BODY_PROBABILITY) {
        return CallerBody::None;
    }
    let bytes = rng.random_range(BODY_BYTES);
    if rng.random_bool(0.5) {
        CallerBody::WithLength(bytes)
    } else {
        CallerBody::Chunked(bytes)
    }
}

impl RunState {
    /// Starts the store and the endpoints, registers the endpoints and writes the first
    /// configuration.
    async fn new(latency: Duration) -> io::Result<Self> {
        let store = Store::start().await?;
        let mut endpoints = Vec::new();
        let mut proxies = Vec::new();
        for number in 0..ENDPOINTS {
            let endpoint = Endpoint::start(&format!("i-{number}"), SERVICE_TIME).await?;
            let any_port = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
            proxies.push(FaultProxy::bind(any_port, endpoint.address).await?);
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
        let history = History {
            limits: TEAMS.into_iter().collect(),
            cold_rate: COLD_RATE,
            ..History::default()
        };
        let state = Self {
            store,
            endpoints,
            proxies,
            latency,
            history: Mutex::new(history),
            keys: Mutex::new(keys),
            version: AtomicU64::new(0),
            next_id: AtomicU64::new(0),
            starts: (0..ENDPOINTS).map(|_| AtomicU64::new(1)).collect(),
            collected_runs: (0..ENDPOINTS).map(|_| AtomicUsize::new(0)).collect(),
            collected_arrivals: (0..ENDPOINTS).map(|_| AtomicUsize::new(0)).collect(),
        };
        for number in 0..ENDPOINTS {
            state.set_delay(number, Direction::ToServer, latency);
            state.set_delay(number, Direction::ToClient, latency);
            state.register(number, "ready", Duration::ZERO);
        }
        state.publish_configuration();
        Ok(state)
    }

    /// Writes the registration of an endpoint to the store.
    fn register(&self, number: usize, state: &str, cold: Duration) {
        let spec = json!({"service": "charts", "address": self.proxies[number].addr().to_string(),
                          "zone": DOMAINS[number % DOMAINS.len()].0, "version": "v1", "slots": 3,
                          "state": state, "cold-remaining-s": cold.as_secs_f64(),
                          "seq-no": self.next_id.fetch_add(1, Ordering::Relaxed),
                          "born": self.starts[number].load(Ordering::Relaxed)});
        let id = self.endpoints[number].process_id();
        self.store.put("servers", &id, spec);
    }

    /// Delays the bytes of one direction between all VMs and an endpoint.
    fn set_delay(&self, endpoint: usize, direction: Direction, delay: Duration) {
        let fault = proxy::Fault {
            delay,
            ..proxy::Fault::default()
        };
        self.proxies[endpoint].set_fault(direction, fault);
    }

    /// Registers an endpoint as one that has started again under its id.
    fn restart(&self, number: usize) {
        self.starts[number].fetch_add(1, Ordering::Relaxed);
        self.register(number, "ready", Duration::ZERO);
    }

    /// Registers an endpoint under another id, as a new process at the same address, and returns the
    /// id of the older registration, which remains. What the process before said of itself ends.
    fn replace_process(&self, number: usize) -> String {
        let endpoint = &self.endpoints[number];
        let old_id = endpoint.process_id();
        let start = self.starts[number].fetch_add(1, Ordering::Relaxed) + 1;
        endpoint.set_process_id(&format!("{}-{start}", endpoint.id));
        self.collect_runs();
        lock(&self.history).end_of_process(number, Instant::now());
        self.register(number, "ready", Duration::ZERO);
        old_id
    }

    /// Returns whether an endpoint is being drained or evacuated.
    fn is_leaving(&self, endpoint: usize) -> bool {
        let history = lock(&self.history);
        let mut periods = history.leaving_periods.iter();
        periods.any(|period| period.endpoint == endpoint && period.until.is_none())
    }

    /// Writes the next version of the configuration to the store.
    fn publish_configuration(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let route = |name: &str, route_type: &str| {
            json!({"name": name, "hostname": "shop.example", "path-prefix": format!("/{name}/"),
                   "route-type": route_type, "timeout-s": 3, "target-latency-s": 0.5, "priority": 1,
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
                          "cold-start-s": COLD_DURATION.as_secs_f64(), "cold-per-s": COLD_RATE}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1_000_000,
                       "header-timeout-s": 3, "idle-timeout-s": 15},
            "tenants": tenants,
        });
        self.store.put("config", "main", spec);
    }

    /// Withdraws the oldest key of the first team and issues a new one.
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
        self.publish_configuration();
        lock(&self.history)
            .withdrawn_keys
            .insert(old, Instant::now());
    }

    /// Sends one request on a connection and records its outcome. Returns the connection if it can
    /// be used again.
    async fn send_request(
        &self,
        connection: Connection,
        vm: usize,
        rng: &mut StdRng,
    ) -> Option<Connection> {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("q{number}");
        let is_second_team = rng.random_bool(0.5);
        let team = TEAMS[usize::from(is_second_team)].0;
        let idempotent = rng.random_bool(0.6);
        let key = {
            let keys = lock(&self.keys);
            let team_keys = &keys[team];
            team_keys[rng.random_range(0..team_keys.len())].clone()
        };
        let sent = SentRequest {
            idempotent,
            team,
            key: key.clone(),
            at: Instant::now(),
            vm,
        };
        lock(&self.history).sent.insert(id.clone(), sent);
        let route = if idempotent { "safe" } else { "order" };
        let path = if rng.random_bool(LONG_WORK_PROBABILITY) {
            let ms = rng.random_range(LONG_WORK_MS);
            format!("/{route}/7?work-ms={ms}")
        } else {
            format!("/{route}/7")
        };
        let request = CallerRequest {
            id: &id,
            path: &path,
            body: if idempotent {
                CallerBody::None
            } else {
                draw_body(rng)
            },
            affinity_key: rng.random_range(0..40),
            key: &key,
        };
        let (outcome, connection) = connection.send(&request).await;
        lock(&self.history).outcomes.insert(id, outcome);
        connection
    }

    /// Adds the arrivals and runs of all endpoints since the last call to the history.
    fn collect_runs(&self) {
        for (number, endpoint) in self.endpoints.iter().enumerate() {
            let collected = self.collected_arrivals[number].load(Ordering::Relaxed);
            let arrivals = endpoint.arrivals_since(collected);
            self.collected_arrivals[number].store(collected + arrivals.len(), Ordering::Relaxed);
            let mut history = lock(&self.history);
            for Arrival {
                id,
                at,
                asks_for_pause,
            } in arrivals
            {
                let vm = history.sent.get(&id).map(|sent| sent.vm);
                if let Some(vm) = vm.filter(|_| asks_for_pause) {
                    history.pauses.push(PauseRequest {
                        vm,
                        endpoint: number,
                        at,
                        length: PAUSE,
                    });
                }
                history.arrivals.push(RequestRun {
                    id,
                    endpoint: number,
                    at,
                });
            }
        }
        for (number, endpoint) in self.endpoints.iter().enumerate() {
            let collected = self.collected_runs[number].load(Ordering::Relaxed);
            let runs = endpoint.runs_since(collected);
            self.collected_runs[number].store(collected + runs.len(), Ordering::Relaxed);
            let mut history = lock(&self.history);
            history.runs.extend(runs.into_iter().map(|run| RequestRun {
                id: header(&run.head, "x-filbertgrade-request-id"),
                endpoint: number,
                at: run.at,
            }));
        }
    }

    /// Records that an endpoint starts to drain or is evacuated from now on.
    fn start_leaving_period(&self, endpoint: usize) {
        lock(&self.history).leaving_periods.push(EndpointPeriod {
            endpoint,
            from: Instant::now(),
            until: None,
        });
    }

    /// Ends all open leaving periods of an endpoint.
    fn end_leaving_period(&self, endpoint: usize) {
        let now = Instant::now();
        let mut history = lock(&self.history);
        let periods = history
            .leaving_periods
            .iter_mut()
            .filter(|p| p.endpoint == endpoint);
        for period in periods.filter(|period| period.until.is_none()) {
            period.until = Some(now);
        }
    }
}
