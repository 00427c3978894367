//! Measures processor time, memory, traffic and update latency of agents for
//! growing numbers of them, and prints one JSON object.
//!
//! ```text
//! cargo build --release
//! cargo run --release -p filbertgrade --example agents_at_scale -- \
//!     --agents 10,50,100,200 --runs 3 [--seed N] [--listed N] [--stream-s N] [--rest-s N]
//! ```
//!
//! Every agent is a process of the `filbertgrade` binary on its own loopback
//! address. The platform stand-in runs in a separate process. The store lists
//! as many VMs as there are agents, in failure domains of the same size as in
//! the target deployment and in at least two regions. With `--listed`, the
//! store lists more VMs: the additional records have the addresses of the
//! running agents, so that the agents work with a list of the target's size.
//!
//! `--stream-s` is the duration of each phase with changes at a constant rate,
//! and `--rest-s` that of the phase without changes.
//!
//! The program kills the processes that it started when it ends, and runs at
//! most [`MAX_AGENTS`] agents at a time.

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

/// VMs of the target deployment.
const TARGET_VMS: usize = 3_500;
/// Failure domains of the target deployment.
const TARGET_DOMAINS: usize = 72;
/// Regions of the target deployment.
const TARGET_REGIONS: usize = 20;

/// Maximum number of agents that run at a time.
const MAX_AGENTS: usize = 210;

/// Maximum time until all agents of a run have the first change.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Maximum time until all agents have a change.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(20);

/// Changes per second in the target deployment: 2,600 a day.
const TARGET_CHANGES_PER_S: f64 = 2_600.0 / 86_400.0;

/// Size of the value that a change writes.
const VALUE_BYTES: usize = 1_024;

/// Number of changes in the burst, from which the cost of one change is computed.
const BURST_CHANGES: usize = 50;
/// Time between the changes of the burst. The rate is high enough for the cost of changes to stand
/// out against the cost without changes.
const BURST_INTERVAL: Duration = Duration::from_millis(100);

/// Number of single changes, each written after the one before has reached all agents.
const SINGLE_CHANGES: usize = 5;

/// Duration of the store outage. It exceeds the freshness bound of 5 s, so that agents depend on
/// the evidence from the regions.
const OUTAGE: Duration = Duration::from_secs(12);

/// Time in the outage after which all confirmations by the store are too old: the freshness bound
/// of 5 s and 1 s for responses in transit.
const CONFIRMATIONS_EXPIRED_AFTER: Duration = Duration::from_secs(6);

/// Time after the outage in which calls to the store are counted.
const RECOVERY_WINDOW: Duration = Duration::from_secs(3);

/// Clock ticks per second, the unit of processor times in `/proc/<pid>/stat`. Fixed on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Worker threads of each agent, as on a small VM.
const WORKER_THREADS: &str = "2";

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
        // Dropping the future of `measure` kills the processes that it started.
        tokio::select! {
            result = measure(&options) => result,
            _ = terminate.recv() => bail!("terminated"),
            _ = tokio::signal::ctrl_c() => bail!("interrupted"),
        }
    })
}

struct Options {
    /// Numbers of agents to measure.
    agents: Vec<usize>,
    runs: usize,
    seed: u64,
    /// Minimum number of VMs in the store's list.
    listed: usize,
    /// Duration of each phase with changes at a constant rate.
    stream: Duration,
    /// Duration of the phase without changes.
    idle: Duration,
    /// Path of the `filbertgrade` binary.
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
            idle: Duration::from_secs(10),
            binary: filbertgrade_binary()?,
        };
        let mut args = args.iter();
        while let Some(flag) = args.next() {
            let value = args
                .next()
                .ok_or_else(|| anyhow!("{flag} requires a value"))?;
            match flag.as_str() {
                "--agents" => {
                    options.agents = value.split(',').map(str::parse).collect::<Result<_, _>>()?;
                }
                "--runs" => options.runs = value.parse()?,
                "--seed" => options.seed = value.parse()?,
                "--listed" => options.listed = value.parse()?,
                "--stream-s" => options.stream = Duration::from_secs(value.parse()?),
                "--rest-s" => options.idle = Duration::from_secs(value.parse()?),
                "--binary" => options.binary = value.into(),
                _ => bail!("unknown flag {flag}"),
            }
        }
        if options.agents.iter().any(|n| !(1..=MAX_AGENTS).contains(n)) {
            bail!("the number of agents must be from 1 to {MAX_AGENTS}");
        }
        Ok(options)
    }
}

/// Returns the path of the `filbertgrade` binary in the target directory that holds this example.
fn filbertgrade_binary() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let release = own.parent().and_then(Path::parent);
    Ok(release
        .context("the example is not in a target directory")?
        .join("filbertgrade"))
}

/// Runs the platform stand-in until the end of standard input. The lines `down` and `up` start and
/// end an outage. After each line of input, the counts are printed as one line.
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

/// Runs all measurements and prints the report.
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
        "workers_per_agent": WORKER_THREADS,
        "target_changes_per_s": TARGET_CHANGES_PER_S,
        "runs": results,
        "slopes": slopes(&results),
    });
    println!("{report:#}");
    Ok(())
}

/// Runs one measurement with `count` agents.
async fn measure_once(options: &Options, count: usize, run: usize) -> Result<Value> {
    let load_before = load_average()?;
    let mut fleet = Fleet::start(options, count, run).await?;
    let start_time = fleet.wait_for_start().await?;
    fleet.memory()?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let idle = fleet.idle_phase(options.idle).await?;
    let mut single = Vec::new();
    for _ in 0..SINGLE_CHANGES {
        single.push(fleet.change_and_wait().await?);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let target = fleet.stream(options.stream, TARGET_CHANGES_PER_S).await?;
    let tenfold = fleet
        .stream(options.stream, TARGET_CHANGES_PER_S * 10.0)
        .await?;
    let burst = fleet.burst().await?;
    let memory = fleet.memory()?;
    let outage = fleet.outage().await?;
    Ok(json!({
        "agents": count,
        "run": run,
        "load_before": load_before,
        "load_after": load_average()?,
        "start_to_first_state_s": start_time.as_secs_f64(),
        "rest": idle,
        "hold_ms": {
            "single": latency_summary_ms(&single),
            "stream_target": latency_summary_ms(&target),
            "stream_tenfold": latency_summary_ms(&tenfold),
        },
        "burst": burst,
        "memory": memory,
        "outage": outage,
    }))
}

/// The processes of one run. They are killed when it is dropped.
struct Fleet {
    agents: Vec<AgentProcess>,
    store: StoreProcess,
    /// Client of the platform stand-in.
    platform: HttpPlatform,
    /// Number of changes written so far.
    changes: usize,
    /// Revision of the last change.
    revision: u64,
}

/// A running agent and a link to it.
struct AgentProcess {
    child: Child,
    link: PeerLink,
}

/// The running platform stand-in; see [`serve_store`].
struct StoreProcess {
    child: Child,
    /// `None` only while the process is being stopped.
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
}

/// A VM in the store's list.
#[derive(Clone)]
struct ListedVm {
    name: String,
    address: IpAddr,
    region: String,
    domain: String,
}

impl ListedVm {
    fn new(n: usize, listed: usize, address: IpAddr, run_seed: u64) -> Self {
        let regions = scale_to_fleet(listed, TARGET_REGIONS);
        let domain = n % scale_to_fleet(listed, TARGET_DOMAINS);
        Self {
            name: format!("vm-{run_seed}-{n:04}"),
            address,
            region: format!("region-{:02}", domain % regions),
            domain: format!("domain-{domain:02}"),
        }
    }

    /// Returns the VM's record in the store.
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
        // Runs with different seeds use different addresses, so that they can run at the same time.
        let third_octet = u8::try_from((options.seed as usize * 10 + run) % 200)?;
        let store_address =
            SocketAddr::new(Ipv4Addr::new(127, 60, 250, third_octet + 1).into(), 6000);
        let store = StoreProcess::start(store_address)?;
        let platform = HttpPlatform::new(store_address, None);
        let seed = options.seed * 1_000 + run as u64;
        let listed = options.listed.max(count);
        let vms: Vec<ListedVm> = (0..listed)
            .map(|n| {
                // VMs without an agent get the address of one that has an agent.
                let host = u8::try_from(n % count + 1)?;
                let address = Ipv4Addr::new(127, 60, third_octet, host).into();
                Ok(ListedVm::new(n, listed, address, seed))
            })
            .collect::<Result<_>>()?;
        let mut running = choose_running(&vms, count)?;
        let writes = vms.iter().map(|vm| {
            let platform = &platform;
            async move {
                let name = format!("vms/{}", vm.name);
                let value = Bytes::from(vm.record());
                platform.put(&name, value, Condition::Absent).await
            }
        });
        let written: Vec<_> = futures::stream::iter(writes)
            .buffer_unordered(16)
            .collect()
            .await;
        written.into_iter().collect::<Result<Vec<_>, _>>()?;
        let mut agents = Vec::new();
        for (n, vm) in running.iter_mut().enumerate() {
            let host = u8::try_from(n + 1)?;
            vm.address = Ipv4Addr::new(127, 60, third_octet, host).into();
            agents.push(AgentProcess::start(&options.binary, vm, store_address)?);
        }
        Ok(Self {
            agents,
            store,
            platform,
            changes: 0,
            revision: 0,
        })
    }

    /// Writes a change and waits until all agents have it.
    async fn wait_for_start(&mut self) -> Result<Duration> {
        let started = Instant::now();
        let revision = self.change().await?;
        self.wait_for_all(revision, started + START_LIMIT).await?;
        Ok(started.elapsed())
    }

    /// Writes a change to the store and returns its revision.
    async fn change(&mut self) -> Result<u64> {
        self.changes += 1;
        let name = format!("config/part/scale-{}", self.changes % 64);
        let value = Bytes::from(format!("{:0VALUE_BYTES$}", self.changes));
        let put = self.platform.put(&name, value, Condition::Always);
        self.revision = put.await?;
        Ok(self.revision)
    }

    /// Writes a change. Returns the time from the store's response until the last agent has the
    /// change.
    async fn change_and_wait(&mut self) -> Result<Duration> {
        let revision = self.change().await?;
        let accepted = Instant::now();
        self.wait_for_all(revision, accepted + PROPAGATION_LIMIT)
            .await
    }

    /// Waits until all agents have `revision`, and returns the time that took. Fails after
    /// `deadline`.
    async fn wait_for_all(&self, revision: u64, deadline: Instant) -> Result<Duration> {
        let started = Instant::now();
        let waits = self
            .agents
            .iter()
            .map(|agent| agent.wait_for(revision, deadline));
        let results = futures::future::join_all(waits).await;
        results.into_iter().collect::<Result<Vec<_>>>()?;
        Ok(started.elapsed())
    }

    /// Writes changes at `rate` per second for `time`, at least one. Returns the time that each
    /// change took to reach all agents.
    async fn stream(&mut self, time: Duration, rate: f64) -> Result<Vec<Duration>> {
        let started = Instant::now();
        let changes = (time.as_secs_f64() * rate).floor().max(1.0);
        let interval = time.div_f64(changes);
        let mut latencies = Vec::new();
        for n in 0..changes as u32 {
            let due = started + interval * n + interval / 2;
            tokio::time::sleep_until(due.into()).await;
            latencies.push(self.change_and_wait().await?);
        }
        tokio::time::sleep_until((started + time).into()).await;
        Ok(latencies)
    }

    /// Measures the cost of changes in quick succession.
    async fn burst(&mut self) -> Result<Value> {
        let before = self.sample().await?;
        let mut revision = 0;
        for _ in 0..BURST_CHANGES {
            revision = self.change().await?;
            tokio::time::sleep(BURST_INTERVAL).await;
        }
        self.wait_for_all(revision, Instant::now() + PROPAGATION_LIMIT)
            .await?;
        let after = self.sample().await?;
        let mut cost = after.since(&before, self.agents.len());
        cost["changes"] = json!(BURST_CHANGES);
        Ok(cost)
    }

    /// Measures for how long the state of the agents is valid during a store outage, and the calls
    /// that they make to the store after it.
    async fn outage(&mut self) -> Result<Value> {
        self.store.counts("down")?;
        let started = Instant::now();
        let mut all_valid_ms = Vec::new();
        let mut late_valid_ms = Vec::new();
        while started.elapsed() < OUTAGE {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let queries = self
                .agents
                .iter()
                .map(|agent| agent.valid_ms(self.revision));
            for valid_ms in futures::future::join_all(queries).await {
                let valid_ms = valid_ms?;
                all_valid_ms.push(valid_ms);
                if started.elapsed() > CONFIRMATIONS_EXPIRED_AFTER {
                    late_valid_ms.push(valid_ms);
                }
            }
        }
        let before = self.store.counts("up")?;
        let outage_end = Instant::now();
        let revision = self.change().await?;
        let latency = self
            .wait_for_all(revision, Instant::now() + PROPAGATION_LIMIT)
            .await?;
        tokio::time::sleep(RECOVERY_WINDOW.saturating_sub(outage_end.elapsed())).await;
        let after = self.store.counts("counts")?;
        Ok(json!({
            "seconds": OUTAGE.as_secs(),
            "answers": all_valid_ms.len(),
            "isolated_answers": all_valid_ms.iter().filter(|ms| **ms == 0.0).count(),
            "settled_valid_ms_min": late_valid_ms.iter().copied().fold(f64::MAX, f64::min),
            "settled_valid_ms_mean": mean(&late_valid_ms),
            "valid_ms_min": all_valid_ms.iter().copied().fold(f64::MAX, f64::min),
            "valid_ms_mean": mean(&all_valid_ms),
            "first_change_held_ms": latency.as_secs_f64() * 1_000.0,
            "store_calls_after": after.iter().zip(&before).take(3).map(|(new, old)| new - old).sum::<f64>(),
            "after_seconds": outage_end.elapsed().as_secs_f64(),
        }))
    }

    /// Measures the cost without changes.
    async fn idle_phase(&mut self, time: Duration) -> Result<Value> {
        let before = self.sample().await?;
        tokio::time::sleep(time).await;
        let after = self.sample().await?;
        Ok(after.since(&before, self.agents.len()))
    }

    /// Reads the counters of all agents and of the store.
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

    /// Returns memory and open files of the agents.
    ///
    /// # Errors
    ///
    /// Fails if the agents together use more than half of the machine's memory.
    fn memory(&self) -> Result<Value> {
        let mut rss = Vec::new();
        let mut peak = Vec::new();
        let mut open_files = Vec::new();
        for agent in &self.agents {
            let status = std::fs::read_to_string(format!("/proc/{}/status", agent.child.id()))?;
            rss.push(field_kb(&status, "VmRSS:")? / 1024.0);
            peak.push(field_kb(&status, "VmHWM:")? / 1024.0);
            let open = std::fs::read_dir(format!("/proc/{}/fd", agent.child.id()))?;
            open_files.push(open.count() as f64);
        }
        let machine = std::fs::read_to_string("/proc/meminfo")?;
        if rss.iter().sum::<f64>() > field_kb(&machine, "MemTotal:")? / 1024.0 / 2.0 {
            bail!("the agents use more than half of the machine's memory");
        }
        Ok(json!({
            "rss_mb": mean(&rss),
            "rss_mb_max": maximum(&rss),
            "peak_mb_max": maximum(&peak),
            "open_files": mean(&open_files),
            "open_files_max": maximum(&open_files),
        }))
    }
}

/// Scales a number of regions or failure domains of the target down to a fleet of `vms`. Returns at
/// least two.
fn scale_to_fleet(vms: usize, target_count: usize) -> usize {
    let rounded = (vms * target_count + TARGET_VMS / 2) / TARGET_VMS;
    rounded.max(2)
}

/// Returns the VMs whose agents run. If the list is longer than `count`, relays are among them in
/// the same proportion as in the list, and at least two.
fn choose_running(vms: &[ListedVm], count: usize) -> Result<Vec<ListedVm>> {
    if vms.len() == count {
        return Ok(vms.to_vec());
    }
    let members: Vec<Member> = vms.iter().map(ListedVm::member).collect::<Result<_>>()?;
    let domains = scale_to_fleet(vms.len(), TARGET_DOMAINS);
    let mut relay_names = Vec::new();
    for member in &members[..domains] {
        relay_names.extend(relays(&member.failure_domain, &members));
    }
    let relay_count = (RELAYS_PER_DOMAIN * domains * count)
        .div_ceil(vms.len())
        .max(2);
    let is_relay = |vm: &&ListedVm| relay_names.iter().any(|name| name.as_str() == vm.name);
    let relay_vms = vms.iter().filter(is_relay).take(relay_count);
    let others = vms.iter().filter(|vm| !is_relay(vm));
    Ok(relay_vms.chain(others).take(count).cloned().collect())
}

impl AgentProcess {
    fn start(binary: &Path, vm: &ListedVm, store: SocketAddr) -> Result<Self> {
        let child = Command::new(binary)
            .arg("agent")
            .args(["--vm", &vm.name])
            .args(["--address", &vm.address.to_string()])
            .args(["--region", &vm.region])
            .args(["--failure-domain", &vm.domain])
            .args(["--store", &store.to_string()])
            .env("RUST_LOG", "error")
            .env("TOKIO_WORKER_THREADS", WORKER_THREADS)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .with_context(|| format!("cannot start {}", binary.display()))?;
        let link = PeerLink::new(SocketAddr::new(vm.address, 7082), None);
        Ok(Self { child, link })
    }

    /// Waits until the agent has `revision`. The agent responds as soon as it does, so that the
    /// measured time contains no polling interval.
    async fn wait_for(&self, revision: u64, deadline: Instant) -> Result<()> {
        while Instant::now() < deadline {
            let request = FeedRequest {
                revision: revision - 1,
                resume: None,
            };
            let response = self
                .link
                .call(Body::FeedRequest(request), Duration::from_secs(2))
                .await;
            match response {
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
            "agent process {} did not receive revision {revision} in time",
            self.child.id()
        )
    }

    /// Returns for how long the agent's state is valid, in milliseconds, or 0 if the agent is
    /// isolated or cannot tell yet. `revision` must be one that the agent has had; otherwise it
    /// would respond as isolated.
    async fn valid_ms(&self, revision: u64) -> Result<f64> {
        let request = FeedRequest {
            revision,
            resume: None,
        };
        match self
            .link
            .call(Body::FeedRequest(request), Duration::from_secs(5))
            .await?
        {
            Body::Feed(feed) => Ok(feed.valid_ms.unwrap_or(0).into()),
            _ => bail!("unexpected response to a feed request"),
        }
    }

    /// Returns the traffic counters of the agent's links.
    async fn traffic(&self) -> Result<LinkTraffic> {
        let request = Body::StatusRequest(StatusRequest {});
        match self.link.call(request, Duration::from_secs(5)).await? {
            Body::StatusReply(reply) => reply
                .traffic
                .context("the status response has no traffic counts"),
            _ => bail!("unexpected response to a status request"),
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
        let mut output = BufReader::new(
            child
                .stdout
                .take()
                .context("the store process has no standard output")?,
        );
        let mut line = String::new();
        output.read_line(&mut line)?;
        if line.trim() != "ready" {
            bail!("the store process did not start");
        }
        Ok(Self {
            child,
            input,
            output,
        })
    }

    /// Sends a command to the process. Returns the numbers of reads, writes and watches so far, and
    /// of watches that wait.
    fn counts(&mut self, command: &str) -> Result<[f64; 4]> {
        let input = self
            .input
            .as_mut()
            .context("the store process has no standard input")?;
        writeln!(input, "{command}")?;
        let mut line = String::new();
        self.output.read_line(&mut line)?;
        let numbers: Vec<f64> = line
            .split_whitespace()
            .map(str::parse)
            .collect::<Result<_, _>>()?;
        numbers
            .try_into()
            .map_err(|_| anyhow!("the store process printed malformed counts"))
    }
}

impl Drop for StoreProcess {
    fn drop(&mut self) {
        self.input = None;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Counters at one time.
struct Sample {
    at: Instant,
    /// By agent.
    traffic: Vec<LinkTraffic>,
    /// Processor seconds, by agent.
    cpu: Vec<f64>,
    /// See [`StoreProcess::counts`].
    counts: [f64; 4],
}

impl Sample {
    /// Returns the rates since an earlier sample.
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
            "bytes_in_per_s_max": maximum(&bytes_in),
            "bytes_out_per_s": mean(&bytes_out),
            "bytes_out_per_s_max": maximum(&bytes_out),
            "frames_in_per_s": mean(&frames_in),
            "frames_out_per_s": mean(&frames_out),
            "cpu_percent": mean(&cpu),
            "cpu_percent_max": maximum(&cpu),
            "store_reads_per_s": calls(0),
            "store_writes_per_s": calls(1),
            "store_watches_per_s": calls(2),
            "waiting_watches": self.counts[3],
        })
    }
}

/// JSON pointers of the figures whose growth with the number of agents is reported.
const SLOPE_FIGURES: [&str; 13] = [
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

/// Computes for each figure the slope and intercept by least squares in each run, and the slopes
/// between the means over all runs at adjacent numbers of agents.
fn slopes(results: &[Value]) -> Value {
    let mut by_run: BTreeMap<u64, Vec<&Value>> = BTreeMap::new();
    for result in results {
        let run = result["run"].as_u64().unwrap_or_default();
        by_run.entry(run).or_default().push(result);
    }
    let mut all = serde_json::Map::new();
    for path in SLOPE_FIGURES {
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
        let segments: Vec<Value> = means
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
                "pieces": segments,
            }),
        );
    }
    Value::Object(all)
}

/// Returns slope and intercept of a line fitted by least squares.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let x = mean(&points.iter().map(|p| p.0).collect::<Vec<_>>());
    let y = mean(&points.iter().map(|p| p.1).collect::<Vec<_>>());
    let x_deviation: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    if x_deviation == 0.0 {
        return (0.0, y);
    }
    let xy_deviation: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    (
        xy_deviation / x_deviation,
        y - xy_deviation / x_deviation * x,
    )
}

/// Returns count, mean and maximum of latencies, in milliseconds.
fn latency_summary_ms(times: &[Duration]) -> Value {
    let times: Vec<f64> = times.iter().map(|t| t.as_secs_f64() * 1_000.0).collect();
    json!({ "changes": times.len(), "mean": mean(&times), "max": maximum(&times) })
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn maximum(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Returns the user and system time that a process has used so far.
fn cpu_seconds(pid: u32) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The command name is in parentheses and may contain spaces.
    let (_, rest) = stat
        .rsplit_once(')')
        .context("/proc/<pid>/stat has no command name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: f64 = fields
        .get(11)
        .context("/proc/<pid>/stat has no utime")?
        .parse()?;
    let system: f64 = fields
        .get(12)
        .context("/proc/<pid>/stat has no stime")?
        .parse()?;
    Ok((user + system) / TICKS_PER_S)
}

/// Returns a field of `/proc/<pid>/status` or `/proc/meminfo` in kB.
fn field_kb(status: &str, name: &str) -> Result<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number
        .with_context(|| format!("the file has no field {name}"))?
        .parse()?)
}

/// Returns the load average over the last minute.
fn load_average() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next();
    Ok(first.context("/proc/loadavg is empty")?.parse()?)
}
