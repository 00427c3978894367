//! Measures what a look-up costs one entry as the VM list and the client
//! blocks grow, and prints one JSON object.
//!
//! ```text
//! cargo build --release
//! cargo run --release -p filbertgrade --example lookups_at_scale -- \
//!     [--vms 10,100,1000,3500] [--blocks 20,770,5000] [--seconds N] [--runs N]
//! ```
//!
//! One entry and its agent run as processes of the product's binary; the
//! platform stand-in and the callers run in this process. Callers keep
//! [`CALLERS`] connections with one request at a time on each. The cost is the
//! entry's processor time divided by the look-ups, which depends less on
//! other load of the machine than their rate does.

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

/// Failure domains and regions of the target.
const DOMAINS: usize = 72;
const REGIONS: usize = 20;

const CALLERS: usize = 16;

/// Longest time for the entry to have the configuration in force.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Clock ticks per second in `/proc/<pid>/stat`, fixed on Linux.
const TICKS: f64 = 100.0;

/// Most bytes of one part of the configuration.
const PART_BYTES: usize = 512 * 1024;

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
        let value = args.next().ok_or_else(|| anyhow!("{flag} has no value"))?;
        match flag.as_str() {
            "--vms" => vms = numbers(&value)?,
            "--blocks" => blocks = numbers(&value)?,
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

fn numbers(text: &str) -> Result<Vec<usize>> {
    Ok(text.split(',').map(str::parse).collect::<Result<_, _>>()?)
}

async fn measure(run: u64, vms: usize, blocks: usize, seconds: u64) -> Result<Value> {
    let address = Ipv4Addr::new(127, 61, 0, 1);
    let platform = PlatformServer::bind(SocketAddr::new(Ipv4Addr::new(127, 61, 250, 1).into(), 0));
    let platform = platform.await?;
    for n in 0..vms {
        let domain = n % DOMAINS;
        platform.put_vm(&VmEntry {
            name: format!("vm-{n:04}"),
            // Only the first VM runs; the others get no request.
            address: Ipv4Addr::new(127, 61, u8::try_from(n / 250)?, u8::try_from(n % 250 + 1)?)
                .to_string(),
            region: format!("region-{:02}", domain % REGIONS),
            failure_domain: format!("domain-{domain:02}"),
            state: "live".to_owned(),
        });
    }
    put_config(&platform, &config(blocks));
    let binary = beside_examples()?;
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
    wait_for_answers(target).await?;

    let before = cpu_seconds(entry.0.id())?;
    let began = Instant::now();
    let callers = (0..CALLERS).map(|n| tokio::spawn(call(target, n, blocks, seconds)));
    let mut latencies = Vec::new();
    for caller in callers.collect::<Vec<_>>() {
        latencies.extend(caller.await??);
    }
    let elapsed = began.elapsed().as_secs_f64();
    let cpu = cpu_seconds(entry.0.id())? - before;
    latencies.sort_unstable();
    let lookups = latencies.len();
    let at = |part: usize| latencies[(lookups - 1) * part / 1_000].as_secs_f64() * 1e6;
    let result = json!({
        "run": run,
        "vms": vms,
        "blocks": blocks,
        "lookups": lookups,
        "per_second": lookups as f64 / elapsed,
        "cpu_us_per_lookup": cpu / lookups as f64 * 1e6,
        "per_second_per_core": lookups as f64 / cpu,
        "latency_us": { "p50": at(500), "p99": at(990), "p999": at(999) },
        "load": std::fs::read_to_string("/proc/loadavg")?.split(' ').next(),
    });
    eprintln!("{result}");
    Ok(result)
}

/// One service in all regions, and `blocks` client blocks spread over them.
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
        let of_region = (0..blocks).filter(|block| block % REGIONS == region);
        let of_region = of_region.map(|n| format!("\"10.{}.{}.0/24\"", n / 256, n % 256));
        text += &format!(
            "region-{region:02} = [{}]\n",
            of_region.collect::<Vec<_>>().join(",")
        );
    }
    text
}

fn put_config(platform: &PlatformServer, text: &str) {
    let mut parts = Vec::new();
    for part in text.as_bytes().chunks(PART_BYTES) {
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

async fn wait_for_answers(target: SocketAddr) -> Result<()> {
    let began = Instant::now();
    while began.elapsed() < START_LIMIT {
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

async fn call(target: SocketAddr, n: usize, blocks: usize, seconds: u64) -> Result<Vec<Duration>> {
    let mut sender = connect(target).await?;
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut latencies = Vec::new();
    for turn in 0.. {
        let began = Instant::now();
        if began >= until {
            break;
        }
        // Steps through the blocks in an order without locality.
        let block = (n * 7_919 + turn * 104_729) % blocks;
        let client = format!("10.{}.{}.{}", block / 256, block % 256, turn % 250 + 1);
        look_up(&mut sender, &client).await?;
        latencies.push(began.elapsed());
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

async fn look_up(sender: &mut SendRequest<Empty<Bytes>>, client: &str) -> Result<Bytes> {
    let req = Request::get(format!("/v1/lookup?client={client}"))
        .header("host", "scale")
        .body(Empty::new())?;
    sender.ready().await?;
    let answer = sender.send_request(req).await?;
    if !answer.status().is_success() {
        bail!("status {}", answer.status());
    }
    Ok(answer.into_body().collect().await?.to_bytes())
}

fn beside_examples() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let release = own.parent().and_then(Path::parent);
    Ok(release.context("no directory")?.join("filbertgrade"))
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
