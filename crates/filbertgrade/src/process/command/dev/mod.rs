//! `dev`: a whole deployment in one process on loopback, for trying out.
//!
//! Entries, agents, the platform and backend servers run as they would apart,
//! behind proxies that add the latencies and share the bandwidth of the file.

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

/// Fraction of its rate that a team sends, if it keeps within it.
const WITHIN_RATE: f64 = 0.6;

/// Multiple of its rate that the one team sends that exceeds it.
const OVER_RATE: f64 = 3.0;

/// Which team exceeds its rate: a middle-sized one.
const OVER_RATE_TEAM: usize = 3;

/// Size of an uploaded scan or photograph, in bytes.
const UPLOAD_BYTES: usize = 64 * 1024;

/// Time for the buckets, which start empty, to fill. The files give each team
/// a burst of one second of its rate, and refusals are judged against a full
/// bucket at the start of the traffic.
const WARM_UP: Duration = Duration::from_millis(1500);

/// Part of the run after which one backend server is drained.
const DRAIN_AFTER: f64 = 0.6;

/// Defaults of the flags.
const DEFAULT_SECONDS: u64 = 10;
const DEFAULT_VMS: usize = 10;
const DEFAULT_SEED: u64 = 1;

/// Runs the deployment of a file, sends traffic through it and prints what
/// users measure.
///
/// # Errors
///
/// Fails when the file is invalid, when an address is in use, when the
/// deployment does not come up, or when a count that must be zero is not.
pub async fn dev(flags: &Dev) -> Result<(), DevError> {
    let text = std::fs::read_to_string(&flags.file).map_err(|source| DevError::Read {
        path: flags.file.clone(),
        source,
    })?;
    let config = Config::parse(&text)?;
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let duration = Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS).max(2));
    let load = flags.load.unwrap_or(WITHIN_RATE);
    let progress = Progress::new(flags.json);

    progress.say(&format!("starting {}", title(&flags.file)));
    let deployment =
        Deployment::start(config, &text, flags.vms.unwrap_or(DEFAULT_VMS), seed).await?;
    let ready = deployment.wait_until_ready().await?;
    progress.say(&format!(
        "in force everywhere after {:.1} s",
        ready.as_secs_f64()
    ));

    tokio::time::sleep(WARM_UP).await;

    let teams = team_loads(&deployment, load, seed);
    progress.say(&format!("sending traffic for {} s", duration.as_secs()));
    let control_before = deployment.control_bytes();
    let load_start = Instant::now();
    let running = tokio::spawn(run_load(&deployment, teams.clone(), duration, seed));
    let watched = watch(&deployment, duration, &progress).await;
    let load_report = running.await.map_err(DevError::Load)?;
    let mut control: IndexMap<String, f64> = IndexMap::new();
    for (link, bytes) in deployment.control_bytes() {
        let before = control_before.get(&link).copied().unwrap_or_default();
        let rate = (bytes - before) as f64 / load_start.elapsed().as_secs_f64();
        control.insert(link, rate);
    }
    let records = deployment.records();
    let drain = drain_time(&deployment, &records, watched.drained_at);

    progress.say("sending the same traffic straight to the backend servers");
    let direct = direct_load(&deployment, teams, duration / 2, seed + 1).await;
    let mut report = DevReport::new(&load_report, &direct, &records, watched.headroom, drain);
    report.control_bytes_per_second_per_link = control;
    if flags.json {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_table());
    }
    match report.broken_promises() {
        broken if broken.is_empty() => Ok(()),
        broken => Err(DevError::Broken(broken.join(", "))),
    }
}

/// What was seen of the backend servers during the run.
struct Watched {
    headroom: Headroom,
    drained_at: Instant,
}

/// Samples the free slots, and drains one backend server on the way.
async fn watch(deployment: &Deployment, duration: Duration, progress: &Progress) -> Watched {
    let start = Instant::now();
    let drain_at = start + duration.mul_f64(DRAIN_AFTER);
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
            progress.say(&format!("{:>3} s", next_line.as_secs()));
            next_line += Duration::from_secs(1);
        }
    }
    Watched {
        headroom,
        drained_at: drained_at.unwrap_or(drain_at),
    }
}

/// Time from the drain to the last new work of the drained server.
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

/// All teams keep within their rates but one.
fn team_loads(deployment: &Deployment, load: f64, seed: u64) -> Vec<TeamLoad> {
    let mut rng = StdRng::seed_from_u64(seed);
    let config = deployment.config();
    config
        .teams
        .iter()
        .enumerate()
        .map(|(index, (name, team))| {
            let factor = if index == OVER_RATE_TEAM {
                OVER_RATE
            } else {
                load
            };
            let mut load = TeamLoad::new(name.as_str(), team.rate * factor, mix(config));
            load.key = deployment.key_of(name);
            load.limit = Some(limit(team));
            load.clients = clients(config, index, &mut rng);
            load
        })
        .collect()
}

fn mix(config: &Config) -> Vec<RequestKind> {
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

/// Large teams have clients in every region, the others in one.
fn clients(config: &Config, index: usize, rng: &mut StdRng) -> Vec<std::net::IpAddr> {
    let regions: Vec<&RegionConfig> = config.regions.values().collect();
    let in_region = |at: usize, rng: &mut StdRng| {
        let region = config.regions.get_index(at % regions.len()).map(|(n, _)| n);
        let block = config.client_blocks.iter().find(|(_, r)| Some(r) == region);
        block.and_then(|(block, _)| block.hosts().nth(rng.random_range(0..200)))
    };
    let spread = if index < 2 { regions.len() } else { 1 };
    (index..index + spread)
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

fn title(path: &Path) -> String {
    path.file_name()
        .unwrap_or(path.as_os_str())
        .to_string_lossy()
        .into_owned()
}

/// Lines for a person who waits; none when the output is for a program.
struct Progress {
    quiet: bool,
}

impl Progress {
    fn new(quiet: bool) -> Self {
        Self { quiet }
    }

    fn say(&self, line: &str) {
        if !self.quiet {
            eprintln!("{line}");
        }
    }
}
