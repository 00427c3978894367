//! Measures the cost of a lookup in one entry for growing numbers of VMs and
//! client blocks, and prints one JSON object.
//!
//! ```text
//! cargo build --release
//! cargo run --release -p filbertgrade --example lookups_at_scale -- \
//!     [--vms 10,100,1000,3500] [--blocks 20,770,5000] [--seconds N] [--runs N]
//! ```
//!
//! One entry and its agent run as processes of the `filbertgrade` binary; the
//! platform stand-in and the callers run in this process. There are
//! [`CALLERS`] callers, each with one connection and one request at a time.
//! The cost is the entry's processor time divided by the number of lookups,
//! because that depends less on other load of the machine than the number of
//! lookups per second.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow, bail};
use bytes::Bytes;
use filbertgrade_standins::platform::{PlatformServer, VmEntry};
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// Failure domains of the target deployment.
const DOMAINS: usize = 72;
/// Regions of the target deployment.
const REGIONS: usize = 20;

/// Number of concurrent callers.
const CALLERS: usize = 16;

/// Maximum time until the entry has the configuration in force.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Clock ticks per second, the unit of processor times in `/proc/<pid>/stat`. Fixed on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Maximum length of one part of the configuration.
const MAX_PART_BYTES: usize = 512 * 1024;

/// A child process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::main(worker_threads = 4)]
async fn main() -> Result<()> {
    let mut vms = vec![10, 100, 1_000, 3_500];
    let mut blocks = vec![20, 770, 5_000];
    let mut seconds = 3;
    let mut runs = 3;
    let mut args = std::env::args().skip(1);
    while let Some(flag) = args.next() {
        let value = args
            .next()
            .ok_or_else(|| anyhow!("{flag} requires a value"))?;
        match flag.as_str() {
            "--vms" => vms = parse_numbers(&value)?,
            "--blocks" => blocks = parse_numbers(&value)?,
            "--seconds" => seconds = value.parse()?,
            "--runs" => runs = value.parse()?,
            _ => bail!("unknown flag {flag}"),
        }
    }
    let mut results = Vec::new();
    for run in 1..=runs {
        for &vms in &vms {
            results.push(measure(run, vms, blocks[0], seconds).await?);
        }
        for &blocks in &blocks[1..] {
            results.push(measure(run, vms[0], blocks, seconds).await?);
        }
    }
    println!("{:#}", json!({ "callers": CALLERS, "results": results }));
    Ok(())
}

fn parse_numbers(text: &str) -> Result<Vec<usize>> {
    Ok(text.split(',').map(str::parse).collect::<Result<_, _>>()?)
}

/// Measures one combination of the number of listed VMs and of client blocks.
async fn measure(run: u64, vms: usize, blocks: usize, seconds: u64) -> Result<Value> {
    let address = Ipv4Addr::new(127, 61, 0, 1);
    let platform = PlatformServer::bind(SocketAddr::new(Ipv4Addr::new(127, 61, 250, 1).into(), 0));
    let platform = platform.await?;
    for n in 0..vms {
        let domain = n % DOMAINS;
        platform.put_vm(&VmEntry {
            name: format!("vm-{n:04}"),
            // Only the first VM has running processes; the others receive no requests.
            address: Ipv4Addr::new(127, 61, u8::try_from(n / 250)?, u8::try_from(n % 250 + 1)?)
                .to_string(),
            region: format!("region-{:02}", domain % REGIONS),
            failure_domain: format!("domain-{domain:02}"),
            state: "live".to_owned(),
        });
    }
    put_config(&platform, &config(blocks));
    let binary = filbertgrade_binary()?;
    let start = |role: &str| -> Result<Process> {
        let child = Command::new(&binary)
            .arg(role)
            .args(["--vm", "vm-0000", "--address", &address.to_string()])
            .args(["--region", "region-00", "--failure-domain", "domain-00"])
            .args(["--store", &platform.addr().to_string()])
            .env("RUST_LOG", "error")
            .env("TOKIO_WORKER_THREADS", "2")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()?;
        Ok(Process(child))
    };
    let _agent = start("agent")?;
    let entry = start("entry")?;
    let target = SocketAddr::new(address.into(), 7080);
    wait_until_in_force(target).await?;

    let before = cpu_seconds(entry.0.id())?;
    let started = Instant::now();
    let callers = (0..CALLERS).map(|n| tokio::spawn(run_caller(target, n, blocks, seconds)));
    let mut latencies = Vec::new();
    for caller in callers.collect::<Vec<_>>() {
        latencies.extend(caller.await??);
    }
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = cpu_seconds(entry.0.id())? - before;
    latencies.sort_unstable();
    let lookups = latencies.len();
    let quantile_us =
        |per_mille: usize| latencies[(lookups - 1) * per_mille / 1_000].as_secs_f64() * 1e6;
    let result = json!({
        "run": run,
        "vms": vms,
        "blocks": blocks,
        "lookups": lookups,
        "per_second": lookups as f64 / elapsed,
        "cpu_us_per_lookup": cpu / lookups as f64 * 1e6,
        "per_second_per_core": lookups as f64 / cpu,
        "latency_us": {
            "p50": quantile_us(500),
            "p99": quantile_us(990),
            "p999": quantile_us(999),
        },
        "load": std::fs::read_to_string("/proc/loadavg")?.split(' ').next(),
    });
    eprintln!("{result}");
    Ok(result)
}

/// Returns a configuration with one service in all regions, and `blocks` client blocks distributed
/// over them.
fn config(blocks: usize) -> String {
    let mut text = String::from(
        "deployment = \"scale\"\n[lookup]\nttl_ms = 5000\n[shift]\ncap = 0.5\n[network]\n\
         store_region = \"region-00\"\ndomain_latency_ms = 0.5\nregion_latency_ms = 20\n\
         client_latency_ms = 3\nconnect_ms = 1\nregion_bandwidth_mbit = 1000\n",
    );
    for region in 0..REGIONS {
        let domains: Vec<String> = (0..DOMAINS)
            .filter(|domain| domain % REGIONS == region)
            .map(|domain| format!("\"domain-{domain:02}\""))
            .collect();
        text += &format!(
            "[regions.region-{region:02}]\nfailure_domains = [{}]\n",
            domains.join(",")
        );
    }
    text += "[services.chart]\nslots = 4\nconnections = 330\n[services.chart.weights]\n";
    for region in 0..REGIONS {
        text += &format!("region-{region:02} = 1\n");
    }
    text += "[services.chart.endpoints]\n";
    for domain in 0..REGIONS {
        text += &format!(
            "domain-{domain:02} = [\"127.61.251.{}:9000\"]\n",
            domain + 1
        );
    }
    text += "[teams.atelier]\nrate = 1000\nburst = 1000\n[client_blocks]\n";
    for region in 0..REGIONS {
        let region_blocks = (0..blocks).filter(|block| block % REGIONS == region);
        let region_blocks = region_blocks.map(|n| format!("\"10.{}.{}.0/24\"", n / 256, n % 256));
        text += &format!(
            "region-{region:02} = [{}]\n",
            region_blocks.collect::<Vec<_>>().join(",")
        );
    }
    text
}

/// Stores a configuration as parts of at most [`MAX_PART_BYTES`] and the root that lists them.
fn put_config(platform: &PlatformServer, text: &str) {
    let mut parts = Vec::new();
    for part in text.as_bytes().chunks(MAX_PART_BYTES) {
        let digest: String = Sha256::digest(part)
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        platform.put(
            &format!("config/part/{digest}"),
            Bytes::copy_from_slice(part),
        );
        parts.push(digest);
    }
    let root = json!({ "version": 1, "apply_id": "scale", "parts": parts });
    platform.put("config/root", root.to_string());
}

/// Waits until lookups return VMs of the configuration.
async fn wait_until_in_force(target: SocketAddr) -> Result<()> {
    let started = Instant::now();
    while started.elapsed() < START_LIMIT {
        if let Ok(mut sender) = connect(target).await
            && let Ok(body) = look_up(&mut sender, "10.0.0.1").await
            && body.windows(9).any(|part| part == b"region-00")
        {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    bail!("the entry has no configuration in force")
}

/// Sends lookups one after another for `seconds` and returns their latencies. `n` is the index of
/// the caller.
async fn run_caller(
    target: SocketAddr,
    n: usize,
    blocks: usize,
    seconds: u64,
) -> Result<Vec<Duration>> {
    let mut sender = connect(target).await?;
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut latencies = Vec::new();
    for round in 0.. {
        let started = Instant::now();
        if started >= until {
            break;
        }
        // Visits the blocks in an order without locality.
        let block = (n * 7_919 + round * 104_729) % blocks;
        let client = format!("10.{}.{}.{}", block / 256, block % 256, round % 250 + 1);
        look_up(&mut sender, &client).await?;
        latencies.push(started.elapsed());
    }
    Ok(latencies)
}

async fn connect(target: SocketAddr) -> Result<SendRequest<Empty<Bytes>>> {
    let stream = tokio::net::TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends one lookup and returns the body of the response.
async fn look_up(sender: &mut SendRequest<Empty<Bytes>>, client: &str) -> Result<Bytes> {
    let req = Request::get(format!("/v1/lookup?client={client}"))
        .header("host", "scale")
        .body(Empty::new())?;
    sender.ready().await?;
    let response = sender.send_request(req).await?;
    if !response.status().is_success() {
        bail!("lookup failed with status {}", response.status());
    }
    Ok(response.into_body().collect().await?.to_bytes())
}

/// Returns the path of the `filbertgrade` binary in the target directory that holds this example.
fn filbertgrade_binary() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let release = own.parent().and_then(Path::parent);
    Ok(release
        .context("the example is not in a target directory")?
        .join("filbertgrade"))
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
