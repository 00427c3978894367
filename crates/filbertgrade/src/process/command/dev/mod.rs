//! `dev`: runs a whole deployment in one process on loopback, for trial runs.
//!
//! Entries, agents, the platform and backend servers communicate over sockets
//! as separate processes would. Proxies between them add the latencies of the
//! configuration file and limit the bandwidth to its values.

mod deployment;
mod report;

use std::path::Path;
use std::time::{Duration, Instant};

use filbertgrade_standins::backend::BackendRecords;
use filbertgrade_standins::caller::{
    Limit, Load, LoadConfig, LoadReport, RequestKind, Route, TeamLoad,
};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::deployment::Deployment;
pub use self::deployment::DevError;
use self::report::{DevReport, Headroom};
use super::flags::Dev;
use crate::version::{Config, RegionConfig, TeamConfig};

/// Default load of a team that stays within its rate, as a fraction of the
/// rate.
const DEFAULT_LOAD: f64 = 0.6;

/// Load of the one team that exceeds its rate, as a multiple of the rate.
const OVER_RATE_LOAD: f64 = 3.0;

/// Index of the team that exceeds its rate, a team of medium size.
const OVER_RATE_TEAM: usize = 3;

/// Size of an upload in bytes, typical of a scan or photograph.
const UPLOAD_BYTES: usize = 64 * 1024;

/// Pause before the traffic, in which the buckets fill, which start empty. The
/// example files give each team a burst of one second of its rate, and the
/// report assumes full buckets at the start of the traffic.
const WARM_UP: Duration = Duration::from_millis(1500);

/// One backend server is drained after this fraction of the run.
const DRAIN_AFTER_FRACTION: f64 = 0.6;

/// Default duration of the traffic, in seconds.
const DEFAULT_SECONDS: u64 = 10;
/// Default number of VMs.
const DEFAULT_VMS: usize = 10;
/// Default seed of the traffic.
const DEFAULT_SEED: u64 = 1;

/// Runs the deployment that a file describes, sends traffic through it and
/// prints a report of what callers and backend servers measured.
///
/// # Errors
///
/// Fails when the file is invalid, when an address is in use, when the
/// configuration is not in force everywhere in time, or when a count that must
/// be zero is not.
pub async fn dev(flags: &Dev) -> Result<(), DevError> {
    let text = std::fs::read_to_string(&flags.file).map_err(|source| DevError::Read {
        path: flags.file.clone(),
        source,
    })?;
    let config = Config::parse(&text)?;
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let duration = Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS).max(2));
    let load = flags.load.unwrap_or(DEFAULT_LOAD);
    let progress = Progress::new(flags.json);

    progress.print(&format!("starting {}", file_name(&flags.file)));
    let deployment =
        Deployment::start(config, &text, flags.vms.unwrap_or(DEFAULT_VMS), seed).await?;
    let ready = deployment.wait_until_ready().await?;
    progress.print(&format!(
        "in force everywhere after {:.1} s",
        ready.as_secs_f64()
    ));

    tokio::time::sleep(WARM_UP).await;

    let teams = team_loads(&deployment, load, seed);
    progress.print(&format!("sending traffic for {} s", duration.as_secs()));
    let control_before = deployment.control_bytes();
    let load_start = Instant::now();
    let load_task = tokio::spawn(run_load(&deployment, teams.clone(), duration, seed));
    let observations = observe_servers(&deployment, duration, &progress).await;
    let load_report = load_task.await.map_err(DevError::Load)?;
    let mut control: IndexMap<String, f64> = IndexMap::new();
    for (link, bytes) in deployment.control_bytes() {
        let before = control_before.get(&link).copied().unwrap_or_default();
        let rate = (bytes - before) as f64 / load_start.elapsed().as_secs_f64();
        control.insert(link, rate);
    }
    let records = deployment.records();
    let drain = drain_time(&deployment, &records, observations.drained_at);

    progress.print("sending the same traffic straight to the backend servers");
    let direct = direct_load(&deployment, teams, duration / 2, seed + 1).await;
    let mut report = DevReport::new(
        &load_report,
        &direct,
        &records,
        observations.headroom,
        drain,
    );
    report.control_bytes_per_second_per_link = control;
    if flags.json {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_table());
    }
    match report.violations() {
        violations if violations.is_empty() => Ok(()),
        violations => Err(DevError::Violations(violations.join(", "))),
    }
}

/// What was observed of the backend servers during the run.
struct Observations {
    headroom: Headroom,
    /// When one backend server was drained.
    drained_at: Instant,
}

/// Samples the free slots for the duration of the traffic, and drains one
/// backend server at [`DRAIN_AFTER_FRACTION`] of it.
async fn observe_servers(
    deployment: &Deployment,
    duration: Duration,
    progress: &Progress,
) -> Observations {
    let start = Instant::now();
    let drain_at = start + duration.mul_f64(DRAIN_AFTER_FRACTION);
    let mut drained_at = None;
    let mut headroom = Headroom::default();
    let mut ticks = tokio::time::interval(Duration::from_millis(20));
    let mut next_line = Duration::from_secs(1);
    while start.elapsed() < duration {
        ticks.tick().await;
        for (region, free) in deployment.free_slots() {
            headroom.sample(&region, free);
        }
        if drained_at.is_none() && Instant::now() >= drain_at {
            drained_at = Some(Instant::now());
            deployment.drain_first_server();
        }
        if start.elapsed() >= next_line {
            progress.print(&format!("{:>3} s", next_line.as_secs()));
            next_line += Duration::from_secs(1);
        }
    }
    Observations {
        headroom,
        drained_at: drained_at.unwrap_or(drain_at),
    }
}

/// Time from the drain until the drained server received its last request.
fn drain_time(
    deployment: &Deployment,
    records: &[BackendRecords],
    drained_at: Instant,
) -> Duration {
    let runs = &records[deployment.first_server()].runs;
    runs.iter()
        .map(|run| run.arrived.saturating_duration_since(drained_at))
        .max()
        .unwrap_or_default()
}

/// Sends the traffic through the deployment, where callers choose a VM by
/// lookup.
fn run_load(
    deployment: &Deployment,
    teams: Vec<TeamLoad>,
    duration: Duration,
    seed: u64,
) -> impl Future<Output = LoadReport> + use<> {
    let mut cfg = LoadConfig::new(Route::Lookup(deployment.vm_addresses()), teams);
    cfg.duration = duration;
    cfg.seed = seed;
    Load::new(cfg).run()
}

/// Sends the traffic to the backend servers without the deployment in between,
/// as the baseline of the added latency.
async fn direct_load(
    deployment: &Deployment,
    teams: Vec<TeamLoad>,
    duration: Duration,
    seed: u64,
) -> LoadReport {
    let mut cfg = LoadConfig::new(Route::Vms(deployment.server_addresses()), teams);
    cfg.duration = duration;
    cfg.seed = seed;
    Load::new(cfg).run().await
}

/// The load of each team. All teams but one stay within their rates.
fn team_loads(deployment: &Deployment, load: f64, seed: u64) -> Vec<TeamLoad> {
    let mut rng = StdRng::seed_from_u64(seed);
    let config = deployment.config();
    config
        .teams
        .iter()
        .enumerate()
        .map(|(index, (name, team))| {
            let factor = if index == OVER_RATE_TEAM {
                OVER_RATE_LOAD
            } else {
                load
            };
            let mut load = TeamLoad::new(name.as_str(), team.rate * factor, request_mix(config));
            load.key = deployment.key_of(name);
            load.limit = Some(limit(team));
            load.clients = clients(config, index, &mut rng);
            load
        })
        .collect()
}

/// The kinds of requests that every team sends, with their weights.
fn request_mix(config: &Config) -> Vec<RequestKind> {
    let services: Vec<&str> = config
        .services
        .keys()
        .map(crate::version::ServiceName::as_str)
        .collect();
    let at = |index: usize| services[index.min(services.len() - 1)];
    let mut order = RequestKind::order(at(1)).weight(20);
    order.idempotency_key = true;
    vec![
        RequestKind::chart(at(0)).weight(70),
        order,
        RequestKind::upload(at(2), UPLOAD_BYTES).weight(10),
    ]
}

/// Client addresses of a team. The two largest teams have clients in every
/// region, the others in one.
fn clients(config: &Config, index: usize, rng: &mut StdRng) -> Vec<std::net::IpAddr> {
    let regions: Vec<&RegionConfig> = config.regions.values().collect();
    let in_region = |at: usize, rng: &mut StdRng| {
        let region = config.regions.get_index(at % regions.len()).map(|(n, _)| n);
        let block = config.client_blocks.iter().find(|(_, r)| Some(r) == region);
        block.and_then(|(block, _)| block.hosts().nth(rng.random_range(0..200)))
    };
    let region_count = if index < 2 { regions.len() } else { 1 };
    (index..index + region_count)
        .flat_map(|at| [in_region(at, rng), in_region(at, rng)])
        .flatten()
        .collect()
}

fn limit(team: &TeamConfig) -> Limit {
    Limit {
        rate: team.rate,
        burst: team.burst,
    }
}

/// The file name without its folder.
fn file_name(path: &Path) -> String {
    path.file_name()
        .unwrap_or(path.as_os_str())
        .to_string_lossy()
        .into_owned()
}

/// Prints progress on standard error, unless the output is JSON for a program.
struct Progress {
    quiet: bool,
}

impl Progress {
    fn new(quiet: bool) -> Self {
        Self { quiet }
    }

    fn print(&self, line: &str) {
        if !self.quiet {
            eprintln!("{line}");
        }
    }
}
