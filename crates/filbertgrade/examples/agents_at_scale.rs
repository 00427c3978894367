//! Measures what agents cost as their number grows, and prints one JSON object.
//!
//! ```text
//! cargo build --release
//! cargo run --release -p filbertgrade --example agents_at_scale -- \
//!     --agents 10,50,100,200 --runs 3 [--seed N] [--listed N] [--stream-s N] [--rest-s N]
//! ```
//!
//! Every agent is a process of the product's binary on its own loopback
//! address. The platform stand-in runs in a process of its own. The store's
//! list holds as many VMs as there are agents, in failure domains of the
//! target's size and at least two regions. With `--listed`, it holds more:
//! the additional records carry the addresses of the running agents, so that
//! an agent works with a list of the target's size.
//!
//! The program ends the processes that it started, and starts at most
//! [`MOST_AGENTS`] of them at a time.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow, bail};
use bytes::Bytes;
use filbertgrade::connection::PeerLink;
use filbertgrade::platform::{Condition, HttpPlatform, Platform};
use filbertgrade::wire::{Body, FeedRequest, LinkTraffic, StatusRequest};
use filbertgrade_coord::dissemination::{Member, RELAYS_PER_DOMAIN, relays};
use filbertgrade_standins::platform::{PlatformCounts, PlatformServer};
use futures::StreamExt;
use serde_json::{Value, json};
use tokio::signal::unix::{SignalKind, signal};

/// VMs, failure domains and regions of the target.
const TARGET_VMS: usize = 3_500;
const TARGET_DOMAINS: usize = 72;
const TARGET_REGIONS: usize = 20;

const MOST_AGENTS: usize = 210;

/// Longest time for all agents of a run to hold the first state.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Longest time for one change to reach all agents.
const HOLD_LIMIT: Duration = Duration::from_secs(20);

/// Changes per second at the target: 2,600 a day.
const TARGET_RATE: f64 = 2_600.0 / 86_400.0;

/// Content of one change, in bytes.
const VALUE_BYTES: usize = 1_024;

/// Changes of the phase that gives the cost of one change: high enough a rate
/// that the cost stands out against the cost at rest.
const BURST_CHANGES: usize = 50;
const BURST_PAUSE: Duration = Duration::from_millis(100);

const SINGLE_CHANGES: usize = 5;

/// Length of the store's outage: past the freshness bound of 5 s, so that
/// agents depend on the evidence of the regions.
const OUTAGE: Duration = Duration::from_secs(12);

/// From here on no confirmation is young enough: the freshness bound and a
/// second for answers under way.
const SETTLED_AFTER: Duration = Duration::from_secs(6);

/// Time in which the store's calls are counted after the outage.
const RETURN: Duration = Duration::from_secs(3);

/// Clock ticks per second in `/proc/<pid>/stat`, fixed on Linux.
const TICKS: f64 = 100.0;

/// Worker threads of each agent, as on a small VM.
const WORKERS: &str = "2";

fn main() -> Result<()> {
    let mut args: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    if args.first().is_some_and(|arg| arg == "store") {
        let address = args.remove(1).parse()?;
        return runtime.block_on(serve_store(address));
    }
    let options = Options::parse(&args)?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        // Leaving `measure` ends the processes that it started.
        tokio::select! {
            result = measure(&options) => result,
            _ = terminate.recv() => bail!("terminated"),
            _ = tokio::signal::ctrl_c() => bail!("interrupted"),
        }
    })
}

struct Options {
    agents: Vec<usize>,
    runs: usize,
    seed: u64,
    listed: usize,
    stream: Duration,
    rest: Duration,
    binary: PathBuf,
}

impl Options {
    fn parse(args: &[String]) -> Result<Self> {
        let mut options = Self {
            agents: vec![10, 50, 100, 200],
            runs: 3,
            seed: 1,
            listed: 0,
            stream: Duration::from_secs(30),
            rest: Duration::from_secs(10),
            binary: beside_examples()?,
        };
        let mut args = args.iter();
        while let Some(flag) = args.next() {
            let value = args.next().ok_or_else(|| anyhow!("{flag} has no value"))?;
            match flag.as_str() {
                "--agents" => {
                    options.agents = value.split(',').map(str::parse).collect::<Result<_, _>>()?;
                }
                "--runs" => options.runs = value.parse()?,
                "--seed" => options.seed = value.parse()?,
                "--listed" => options.listed = value.parse()?,
                "--stream-s" => options.stream = Duration::from_secs(value.parse()?),
                "--rest-s" => options.rest = Duration::from_secs(value.parse()?),
                "--binary" => options.binary = value.into(),
                _ => bail!("unknown flag {flag}"),
            }
        }
        if options
            .agents
            .iter()
            .any(|n| !(1..=MOST_AGENTS).contains(n))
        {
            bail!("the number of agents must be from 1 to {MOST_AGENTS}");
        }
        Ok(options)
    }
}

fn beside_examples() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let release = own.parent().and_then(Path::parent);
    Ok(release.context("no directory")?.join("filbertgrade"))
}

/// Runs the stand-in until the standard input ends. The lines `down` and `up`
/// begin and end an outage; every line is answered with the counts.
async fn serve_store(address: SocketAddr) -> Result<()> {
    let platform = PlatformServer::bind(address).await?;
    println!("ready");
    let (tx, mut lines) = tokio::sync::mpsc::channel(1);
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if tx.blocking_send(line).is_err() {
                break;
            }
        }
    });
    while let Some(line) = lines.recv().await {
        match line.as_str() {
            "down" => platform.set_down(true),
            "up" => platform.set_down(false),
            _ => {}
        }
        let PlatformCounts {
            reads,
            writes,
            watches,
            waiting_watches,
        } = platform.counts();
        println!("{reads} {writes} {watches} {waiting_watches}");
    }
    Ok(())
}

async fn measure(options: &Options) -> Result<()> {
    let mut results = Vec::new();
    for run in 1..=options.runs {
        for &count in &options.agents {
            let result = measure_once(options, count, run).await?;
            eprintln!("{result}");
            results.push(result);
        }
    }
    let report = json!({
        "seed": options.seed,
        "listed": options.listed,
        "value_bytes": VALUE_BYTES,
        "workers_per_agent": WORKERS,
        "target_changes_per_s": TARGET_RATE,
        "runs": results,
        "slopes": slopes(&results),
    });
    println!("{report:#}");
    Ok(())
}

async fn measure_once(options: &Options, count: usize, run: usize) -> Result<Value> {
    let load_before = load_average()?;
    let mut fleet = Fleet::start(options, count, run).await?;
    let started = fleet.wait_for_start().await?;
    fleet.memory()?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let rest = fleet.phase(options.rest).await?;
    let mut single = Vec::new();
    for _ in 0..SINGLE_CHANGES {
        single.push(fleet.change_and_hold().await?);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let target = fleet.stream(options.stream, TARGET_RATE).await?;
    let tenfold = fleet.stream(options.stream, TARGET_RATE * 10.0).await?;
    let burst = fleet.burst().await?;
    let memory = fleet.memory()?;
    let outage = fleet.outage().await?;
    Ok(json!({
        "agents": count,
        "run": run,
        "load_before": load_before,
        "load_after": load_average()?,
        "start_to_first_state_s": started.as_secs_f64(),
        "rest": rest,
        "hold_ms": {
            "single": milliseconds(&single),
            "stream_target": milliseconds(&target),
            "stream_tenfold": milliseconds(&tenfold),
        },
        "burst": burst,
        "memory": memory,
        "outage": outage,
    }))
}

/// The processes of one run. Dropping it ends them.
struct Fleet {
    agents: Vec<AgentProcess>,
    store: StoreProcess,
    platform: HttpPlatform,
    written: usize,
    /// Of the last change.
    revision: u64,
}

struct AgentProcess {
    child: Child,
    link: PeerLink,
}

struct StoreProcess {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
}

#[derive(Clone)]
struct Place {
    name: String,
    address: IpAddr,
    region: String,
    domain: String,
}

impl Place {
    fn new(n: usize, listed: usize, address: IpAddr, run_seed: u64) -> Self {
        let regions = in_proportion(listed, TARGET_REGIONS);
        let domain = n % in_proportion(listed, TARGET_DOMAINS);
        Self {
            name: format!("vm-{run_seed}-{n:04}"),
            address,
            region: format!("region-{:02}", domain % regions),
            domain: format!("domain-{domain:02}"),
        }
    }

    fn record(&self) -> String {
        json!({
            "name": self.name,
            "address": self.address,
            "region": self.region,
            "failure_domain": self.domain,
            "state": "live",
        })
        .to_string()
    }

    fn member(&self) -> Result<Member> {
        Ok(Member {
            vm: self.name.as_str().try_into()?,
            region: self.region.as_str().try_into()?,
            failure_domain: self.domain.as_str().try_into()?,
        })
    }
}

impl Fleet {
    async fn start(options: &Options, count: usize, run: usize) -> Result<Self> {
        // Runs with different seeds may go on at the same time.
        let third = u8::try_from((options.seed as usize * 10 + run) % 200)?;
        let store_address = SocketAddr::new(Ipv4Addr::new(127, 60, 250, third + 1).into(), 6000);
        let store = StoreProcess::start(store_address)?;
        let platform = HttpPlatform::new(store_address, None);
        let seed = options.seed * 1_000 + run as u64;
        let listed = options.listed.max(count);
        let places: Vec<Place> = (0..listed)
            .map(|n| {
                // The additional records share the addresses of the agents.
                let host = u8::try_from(n % count + 1)?;
                let address = Ipv4Addr::new(127, 60, third, host).into();
                Ok(Place::new(n, listed, address, seed))
            })
            .collect::<Result<_>>()?;
        let mut running = chosen_to_run(&places, count)?;
        let writes = places.iter().map(|place| {
            let platform = &platform;
            async move {
                let name = format!("vms/{}", place.name);
                let value = Bytes::from(place.record());
                platform.put(&name, value, Condition::Absent).await
            }
        });
        let written: Vec<_> = futures::stream::iter(writes)
            .buffer_unordered(16)
            .collect()
            .await;
        written.into_iter().collect::<Result<Vec<_>, _>>()?;
        let mut agents = Vec::new();
        for (n, place) in running.iter_mut().enumerate() {
            let host = u8::try_from(n + 1)?;
            place.address = Ipv4Addr::new(127, 60, third, host).into();
            agents.push(AgentProcess::start(&options.binary, place, store_address)?);
        }
        Ok(Self {
            agents,
            store,
            platform,
            written: 0,
            revision: 0,
        })
    }

    /// Waits until all agents hold a change that is written now.
    async fn wait_for_start(&mut self) -> Result<Duration> {
        let started = Instant::now();
        let revision = self.change().await?;
        self.all_hold(revision, started + START_LIMIT).await?;
        Ok(started.elapsed())
    }

    async fn change(&mut self) -> Result<u64> {
        self.written += 1;
        let name = format!("config/part/scale-{}", self.written % 64);
        let value = Bytes::from(format!("{:0VALUE_BYTES$}", self.written));
        let written = self.platform.put(&name, value, Condition::Always);
        self.revision = written.await?;
        Ok(self.revision)
    }

    /// Time from the store's answer to a write until the last agent holds it.
    async fn change_and_hold(&mut self) -> Result<Duration> {
        let revision = self.change().await?;
        let accepted = Instant::now();
        self.all_hold(revision, accepted + HOLD_LIMIT).await
    }

    async fn all_hold(&self, revision: u64, deadline: Instant) -> Result<Duration> {
        let begun = Instant::now();
        let waits = self
            .agents
            .iter()
            .map(|agent| agent.holds(revision, deadline));
        let results = futures::future::join_all(waits).await;
        results.into_iter().collect::<Result<Vec<_>>>()?;
        Ok(begun.elapsed())
    }

    /// Changes at `rate` per second for `time`, at least one.
    async fn stream(&mut self, time: Duration, rate: f64) -> Result<Vec<Duration>> {
        let started = Instant::now();
        let changes = (time.as_secs_f64() * rate).floor().max(1.0);
        let pause = time.div_f64(changes);
        let mut held = Vec::new();
        for n in 0..changes as u32 {
            let due = started + pause * n + pause / 2;
            tokio::time::sleep_until(due.into()).await;
            held.push(self.change_and_hold().await?);
        }
        tokio::time::sleep_until((started + time).into()).await;
        Ok(held)
    }

    /// Cost of changes that follow each other closely.
    async fn burst(&mut self) -> Result<Value> {
        let before = self.sample().await?;
        let mut revision = 0;
        for _ in 0..BURST_CHANGES {
            revision = self.change().await?;
            tokio::time::sleep(BURST_PAUSE).await;
        }
        self.all_hold(revision, Instant::now() + HOLD_LIMIT).await?;
        let after = self.sample().await?;
        let mut cost = after.since(&before, self.agents.len());
        cost["changes"] = json!(BURST_CHANGES);
        Ok(cost)
    }

    /// How long agents may rely on their state while the store is out, and what
    /// they ask of it when it is back.
    async fn outage(&mut self) -> Result<Value> {
        self.store.counts("down")?;
        let began = Instant::now();
        let mut valid = Vec::new();
        let mut settled = Vec::new();
        while began.elapsed() < OUTAGE {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let answers = self
                .agents
                .iter()
                .map(|agent| agent.valid_ms(self.revision));
            for answer in futures::future::join_all(answers).await {
                let answer = answer?;
                valid.push(answer);
                if began.elapsed() > SETTLED_AFTER {
                    settled.push(answer);
                }
            }
        }
        let before = self.store.counts("up")?;
        let back = Instant::now();
        let revision = self.change().await?;
        let held = self.all_hold(revision, Instant::now() + HOLD_LIMIT).await?;
        tokio::time::sleep(RETURN.saturating_sub(back.elapsed())).await;
        let after = self.store.counts("counts")?;
        Ok(json!({
            "seconds": OUTAGE.as_secs(),
            "answers": valid.len(),
            "isolated_answers": valid.iter().filter(|ms| **ms == 0.0).count(),
            "settled_valid_ms_min": settled.iter().copied().fold(f64::MAX, f64::min),
            "settled_valid_ms_mean": mean(&settled),
            "valid_ms_min": valid.iter().copied().fold(f64::MAX, f64::min),
            "valid_ms_mean": mean(&valid),
            "first_change_held_ms": held.as_secs_f64() * 1_000.0,
            "store_calls_after": after.iter().zip(&before).take(3).map(|(new, old)| new - old).sum::<f64>(),
            "after_seconds": back.elapsed().as_secs_f64(),
        }))
    }

    async fn phase(&mut self, time: Duration) -> Result<Value> {
        let before = self.sample().await?;
        tokio::time::sleep(time).await;
        let after = self.sample().await?;
        Ok(after.since(&before, self.agents.len()))
    }

    async fn sample(&mut self) -> Result<Sample> {
        let replies = self.agents.iter().map(AgentProcess::traffic);
        let traffic: Vec<LinkTraffic> = futures::future::join_all(replies)
            .await
            .into_iter()
            .collect::<Result<_>>()?;
        let mut cpu = Vec::new();
        for agent in &self.agents {
            cpu.push(cpu_seconds(agent.child.id())?);
        }
        Ok(Sample {
            at: Instant::now(),
            traffic,
            cpu,
            counts: self.store.counts("counts")?,
        })
    }

    /// Memory and open files of the agents.
    ///
    /// # Errors
    ///
    /// Fails when the agents together take half of the machine's memory.
    fn memory(&self) -> Result<Value> {
        let mut rss = Vec::new();
        let mut peak = Vec::new();
        let mut links = Vec::new();
        for agent in &self.agents {
            let status = std::fs::read_to_string(format!("/proc/{}/status", agent.child.id()))?;
            rss.push(field_kb(&status, "VmRSS:")? / 1024.0);
            peak.push(field_kb(&status, "VmHWM:")? / 1024.0);
            let open = std::fs::read_dir(format!("/proc/{}/fd", agent.child.id()))?;
            links.push(open.count() as f64);
        }
        let machine = std::fs::read_to_string("/proc/meminfo")?;
        if rss.iter().sum::<f64>() > field_kb(&machine, "MemTotal:")? / 1024.0 / 2.0 {
            bail!("the agents take more than half of the machine's memory");
        }
        Ok(json!({
            "rss_mb": mean(&rss),
            "rss_mb_max": highest(&rss),
            "peak_mb_max": highest(&peak),
            "open_files": mean(&links),
            "open_files_max": highest(&links),
        }))
    }
}

/// `of_target` scaled down to a fleet of `vms`; at least two.
fn in_proportion(vms: usize, of_target: usize) -> usize {
    let rounded = (vms * of_target + TARGET_VMS / 2) / TARGET_VMS;
    rounded.max(2)
}

/// The VMs whose agents run. When the list is longer than the fleet, relays
/// are among them in the same proportion as in the list, and at least two.
fn chosen_to_run(places: &[Place], count: usize) -> Result<Vec<Place>> {
    if places.len() == count {
        return Ok(places.to_vec());
    }
    let members: Vec<Member> = places.iter().map(Place::member).collect::<Result<_>>()?;
    let domains = in_proportion(places.len(), TARGET_DOMAINS);
    let mut relaying = Vec::new();
    for member in &members[..domains] {
        relaying.extend(relays(&member.failure_domain, &members));
    }
    let share = (RELAYS_PER_DOMAIN * domains * count)
        .div_ceil(places.len())
        .max(2);
    let is_relay = |place: &&Place| relaying.iter().any(|vm| vm.as_str() == place.name);
    let relay_places = places.iter().filter(is_relay).take(share);
    let others = places.iter().filter(|place| !is_relay(place));
    Ok(relay_places.chain(others).take(count).cloned().collect())
}

impl AgentProcess {
    fn start(binary: &Path, place: &Place, store: SocketAddr) -> Result<Self> {
        let child = Command::new(binary)
            .arg("agent")
            .args(["--vm", &place.name])
            .args(["--address", &place.address.to_string()])
            .args(["--region", &place.region])
            .args(["--failure-domain", &place.domain])
            .args(["--store", &store.to_string()])
            .env("RUST_LOG", "error")
            .env("TOKIO_WORKER_THREADS", WORKERS)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .with_context(|| format!("cannot start {}", binary.display()))?;
        let link = PeerLink::new(SocketAddr::new(place.address, 7082), None);
        Ok(Self { child, link })
    }

    /// Waits until the agent holds `revision`. The agent answers as soon as it
    /// does, so that no polling adds to the time.
    async fn holds(&self, revision: u64, deadline: Instant) -> Result<()> {
        while Instant::now() < deadline {
            let hello = FeedRequest {
                revision: revision - 1,
                resume: None,
            };
            let answer = self
                .link
                .call(Body::FeedRequest(hello), Duration::from_secs(2))
                .await;
            match answer {
                Ok(Body::Feed(feed)) => {
                    if feed.delta.is_some_and(|delta| delta.to >= revision) {
                        return Ok(());
                    }
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
        bail!(
            "agent {} does not hold revision {revision}",
            self.child.id()
        )
    }

    /// How much longer the agent's state may be relied on. The agent must have
    /// held `revision`; one that it does not hold makes it isolated.
    async fn valid_ms(&self, revision: u64) -> Result<f64> {
        let hello = FeedRequest {
            revision,
            resume: None,
        };
        match self
            .link
            .call(Body::FeedRequest(hello), Duration::from_secs(5))
            .await?
        {
            Body::Feed(feed) => Ok(feed.valid_ms.unwrap_or(0).into()),
            _ => bail!("wrong answer to a hello"),
        }
    }

    async fn traffic(&self) -> Result<LinkTraffic> {
        let request = Body::StatusRequest(StatusRequest {});
        match self.link.call(request, Duration::from_secs(5)).await? {
            Body::StatusReply(reply) => reply.traffic.context("no traffic in the status"),
            _ => bail!("wrong answer to a status request"),
        }
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl StoreProcess {
    fn start(address: SocketAddr) -> Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["store", &address.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let input = child.stdin.take();
        let mut output = BufReader::new(child.stdout.take().context("no output")?);
        let mut line = String::new();
        output.read_line(&mut line)?;
        if line.trim() != "ready" {
            bail!("the store did not start");
        }
        Ok(Self {
            child,
            input,
            output,
        })
    }

    fn counts(&mut self, command: &str) -> Result<[f64; 4]> {
        let input = self.input.as_mut().context("no input")?;
        writeln!(input, "{command}")?;
        let mut line = String::new();
        self.output.read_line(&mut line)?;
        let numbers: Vec<f64> = line
            .split_whitespace()
            .map(str::parse)
            .collect::<Result<_, _>>()?;
        numbers.try_into().map_err(|_| anyhow!("bad counts"))
    }
}

impl Drop for StoreProcess {
    fn drop(&mut self) {
        self.input = None;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Sample {
    at: Instant,
    traffic: Vec<LinkTraffic>,
    cpu: Vec<f64>,
    counts: [f64; 4],
}

impl Sample {
    fn since(&self, before: &Self, agents: usize) -> Value {
        let seconds = self.at.duration_since(before.at).as_secs_f64();
        let per_agent = |field: fn(&LinkTraffic) -> u64| -> Vec<f64> {
            let pairs = self.traffic.iter().zip(&before.traffic);
            pairs
                .map(|(new, old)| (field(new) - field(old)) as f64 / seconds)
                .collect()
        };
        let bytes_in = per_agent(|t| t.bytes_in);
        let bytes_out = per_agent(|t| t.bytes_out);
        let frames_in = per_agent(|t| t.frames_in);
        let frames_out = per_agent(|t| t.frames_out);
        let cpu: Vec<f64> = self
            .cpu
            .iter()
            .zip(&before.cpu)
            .map(|(new, old)| (new - old) / seconds * 100.0)
            .collect();
        let calls = |n: usize| (self.counts[n] - before.counts[n]) / seconds;
        json!({
            "seconds": seconds,
            "agents": agents,
            "bytes_in_per_s": mean(&bytes_in),
            "bytes_in_per_s_max": highest(&bytes_in),
            "bytes_out_per_s": mean(&bytes_out),
            "bytes_out_per_s_max": highest(&bytes_out),
            "frames_in_per_s": mean(&frames_in),
            "frames_out_per_s": mean(&frames_out),
            "cpu_percent": mean(&cpu),
            "cpu_percent_max": highest(&cpu),
            "store_reads_per_s": calls(0),
            "store_writes_per_s": calls(1),
            "store_watches_per_s": calls(2),
            "waiting_watches": self.counts[3],
        })
    }
}

/// Figures whose growth with the number of agents is of interest.
const SLOPES: [&str; 13] = [
    "/rest/bytes_in_per_s",
    "/rest/bytes_out_per_s",
    "/rest/frames_in_per_s",
    "/rest/cpu_percent",
    "/rest/store_watches_per_s",
    "/rest/waiting_watches",
    "/burst/bytes_in_per_s",
    "/burst/cpu_percent",
    "/burst/store_watches_per_s",
    "/hold_ms/single/mean",
    "/hold_ms/stream_tenfold/mean",
    "/memory/rss_mb",
    "/memory/open_files",
];

/// For each figure: slope and intercept by least squares in each run, and the
/// slopes between neighbouring numbers of agents over all runs.
fn slopes(results: &[Value]) -> Value {
    let mut by_run: BTreeMap<u64, Vec<&Value>> = BTreeMap::new();
    for result in results {
        let run = result["run"].as_u64().unwrap_or_default();
        by_run.entry(run).or_default().push(result);
    }
    let mut all = serde_json::Map::new();
    for path in SLOPES {
        let point = |result: &&Value| {
            let agents = result["agents"].as_f64()?;
            Some((agents, result.pointer(path)?.as_f64()?))
        };
        let fits: Vec<(f64, f64)> = by_run
            .values()
            .map(|run| fit(&run.iter().filter_map(point).collect::<Vec<_>>()))
            .collect();
        let mut means: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
        for (agents, value) in results.iter().filter_map(|result| point(&result)) {
            means.entry(agents as u64).or_default().push(value);
        }
        let means: Vec<(f64, f64)> = means
            .into_iter()
            .map(|(agents, values)| (agents as f64, mean(&values)))
            .collect();
        let pieces: Vec<Value> = means
            .windows(2)
            .map(|pair| {
                let [(x, a), (y, b)] = [pair[0], pair[1]];
                json!({ "from": x, "to": y, "slope": (b - a) / (y - x) })
            })
            .collect();
        all.insert(
            path.to_owned(),
            json!({
                "slope_per_agent": fits.iter().map(|fit| fit.0).collect::<Vec<_>>(),
                "intercept": fits.iter().map(|fit| fit.1).collect::<Vec<_>>(),
                "means": means,
                "pieces": pieces,
            }),
        );
    }
    Value::Object(all)
}

/// Slope and intercept by least squares.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let x = mean(&points.iter().map(|p| p.0).collect::<Vec<_>>());
    let y = mean(&points.iter().map(|p| p.1).collect::<Vec<_>>());
    let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    if spread == 0.0 {
        return (0.0, y);
    }
    let joint: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    (joint / spread, y - joint / spread * x)
}

fn milliseconds(times: &[Duration]) -> Value {
    let times: Vec<f64> = times.iter().map(|t| t.as_secs_f64() * 1_000.0).collect();
    json!({ "changes": times.len(), "mean": mean(&times), "max": highest(&times) })
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn highest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn cpu_seconds(pid: u32) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The command name is in parentheses and may hold spaces.
    let (_, rest) = stat.rsplit_once(')').context("malformed stat")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: f64 = fields.get(11).context("no utime")?.parse()?;
    let system: f64 = fields.get(12).context("no stime")?.parse()?;
    Ok((user + system) / TICKS)
}

fn field_kb(status: &str, name: &str) -> Result<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.with_context(|| format!("no {name}"))?.parse()?)
}

fn load_average() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next();
    Ok(first.context("empty load average")?.parse()?)
}
