//! Harness: a small fleet of real processes, with in-process stand-ins for the
//! platform, the backend servers and faulty network links.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_standins::backend::{BackendConfig, BackendServer};
use filbertgrade_standins::platform::{PlatformServer, VmEntry};
use filbertgrade_standins::proxy::{Direction, Fault, FaultProxy};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;

/// Ports of a VM that other VMs and callers connect to: callers, entry peers and
/// agent peers.
const VM_PORTS: [u16; 3] = [7080, 7081, 7082];

const BINARY: &str = env!("CARGO_BIN_EXE_filbertgrade");

/// Lowest second octet of the fleets' addresses, `127.OCTET.*.*`.
const FIRST_OCTET: u8 = 64;

/// Number of second octets available to fleets.
const FLEET_OCTETS: u8 = 144;

/// Counts the fleets of this test process. Each gets its own second octet, so
/// that tests that run at the same time do not share addresses.
static NEXT_FLEET: AtomicU8 = AtomicU8::new(0);

/// Configuration with a service `chart` that needs a key and an open service
/// `size-list`, both in two regions.
const CONFIG: &str = r#"
deployment = "test"
[lookup]
ttl_ms = 1000
[shift]
cap = 0.5
[network]
store_region = "north"
domain_latency_ms = 0.5
region_latency_ms = 20
client_latency_ms = 3
connect_ms = 1
region_bandwidth_mbit = 1000
[regions.north]
failure_domains = ["north-a"]
[regions.south]
failure_domains = ["south-a"]
[services.chart]
slots = 4
connections = 100
[services.chart.weights]
north = 1
south = 1
[services.chart.endpoints]
north-a = ["127.OCTET.9.1:9000"]
south-a = ["127.OCTET.9.2:9000"]
[services.size-list]
open = true
slots = 4
connections = 100
[services.size-list.weights]
north = 1
south = 1
[services.size-list.endpoints]
north-a = ["127.OCTET.9.1:9000"]
south-a = ["127.OCTET.9.2:9000"]
[teams.atelier]
rate = 1000
burst = 1000
[teams.outfitter]
rate = 20
burst = 20
[client_blocks]
north = ["10.1.0.0/16"]
south = ["10.2.0.0/16"]
"#;

/// The stand-ins and processes of one test. Dropping it kills the processes.
pub(crate) struct Fleet {
    // Must be the first field, so that it is dropped first: the platform's
    // address reserves the octet until the processes have ended.
    pub(crate) vms: Vec<Vm>,
    /// Proxies between the entries and the backend server of the same index.
    pub(crate) proxies: Vec<FaultProxy>,
    /// Proxy between the VMs and the platform, used by proxied fleets.
    pub(crate) store_proxy: FaultProxy,
    pub(crate) backends: Vec<BackendServer>,
    pub(crate) platform: PlatformServer,
    octet: u8,
    /// Whether the platform lists each VM with the address of its proxies, so
    /// that traffic between VMs passes through them.
    proxied: bool,
    regions: RegionLayout,
}

/// Assignment of a fleet's VMs to regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RegionLayout {
    /// VMs with odd numbers are in `north`, those with even numbers in `south`.
    Alternate,
    /// All VMs are in `north`.
    NorthOnly,
}

/// One VM, with its entry and agent processes.
pub(crate) struct Vm {
    pub(crate) name: String,
    pub(crate) address: IpAddr,
    pub(crate) entry: Child,
    pub(crate) agent: Child,
    /// Proxies in front of the VM's ports, in the order of `VM_PORTS`; empty if
    /// the fleet is not proxied.
    pub(crate) proxies: Vec<FaultProxy>,
    /// Record of the VM that the platform's list holds while the VM is live.
    pub(crate) platform_record: VmEntry,
    /// Store address that its processes are started with.
    store: SocketAddr,
}

impl Fleet {
    /// Starts a platform, two backend servers and `vms` VMs, which alternate
    /// between the two regions.
    pub(crate) async fn start(vms: u8) -> Self {
        let mut fleet = Self::start_stand_ins(false, RegionLayout::Alternate).await;
        for n in 1..=vms {
            fleet.add_vm(n);
        }
        fleet
    }

    /// Starts a fleet in which traffic between VMs, and from VMs to the platform,
    /// passes through proxies.
    pub(crate) async fn start_proxied(vms: u8, regions: RegionLayout) -> Self {
        let mut fleet = Self::start_stand_ins(true, regions).await;
        for n in 1..=vms {
            fleet.add_proxied_vm(n).await;
        }
        fleet
    }

    async fn start_stand_ins(proxied: bool, regions: RegionLayout) -> Self {
        let (octet, platform) = free_octet().await;
        let mut proxies = Vec::new();
        let mut backends = Vec::new();
        for n in 1..=2 {
            let cfg = BackendConfig {
                name: format!("backend-{n}"),
                ..BackendConfig::default()
            };
            backends.push(
                BackendServer::bind(address(octet, 10, n, 9000), cfg)
                    .await
                    .unwrap(),
            );
            let proxy = FaultProxy::bind(address(octet, 9, n, 9000), address(octet, 10, n, 9000));
            proxies.push(proxy.await.unwrap());
        }
        let store_proxy = FaultProxy::bind(address(octet, 8, 2, 6000), platform.addr());
        Self {
            store_proxy: store_proxy.await.unwrap(),
            platform,
            backends,
            proxies,
            vms: Vec::new(),
            octet,
            proxied,
            regions,
        }
    }

    /// Adds VM `n` to the platform's list and starts its processes.
    pub(crate) fn add_vm(&mut self, n: u8) {
        let platform_record = self.platform_record(n);
        self.platform.put_vm(&platform_record);
        let store = self.platform.addr();
        self.launch(n, platform_record, store, Vec::new());
    }

    /// Adds VM `n` to the platform's list and starts its processes, with a proxy
    /// in front of each port.
    pub(crate) async fn add_proxied_vm(&mut self, n: u8) {
        let platform_record = self.platform_record(n);
        let mut proxies = Vec::new();
        for port in VM_PORTS {
            let (at, to) = (
                address(self.octet, 2, n, port),
                address(self.octet, 1, n, port),
            );
            proxies.push(FaultProxy::bind(at, to).await.unwrap());
        }
        self.platform.put_vm(&platform_record);
        let store = self.store_proxy.addr();
        self.launch(n, platform_record, store, proxies);
    }

    /// Returns the address of the callers' port of VM `n`, even before it is
    /// added.
    pub(crate) fn caller_address_of(&self, n: u8) -> SocketAddr {
        address(self.octet, 1, n, 7080)
    }

    fn platform_record(&self, n: u8) -> VmEntry {
        let north = self.regions == RegionLayout::NorthOnly || n % 2 == 1;
        let region = if north { "north" } else { "south" };
        let third = if self.proxied { 2 } else { 1 };
        VmEntry {
            name: format!("vm-{n}"),
            address: address(self.octet, third, n, 0).ip().to_string(),
            region: region.to_owned(),
            failure_domain: format!("{region}-a"),
            state: "live".to_owned(),
        }
    }

    fn launch(
        &mut self,
        n: u8,
        platform_record: VmEntry,
        store: SocketAddr,
        proxies: Vec<FaultProxy>,
    ) {
        let address = address(self.octet, 1, n, 0).ip();
        self.vms.push(Vm {
            name: platform_record.name.clone(),
            address,
            agent: spawn("agent", address, store, &platform_record),
            entry: spawn("entry", address, store, &platform_record),
            proxies,
            platform_record,
            store,
        });
    }

    /// Starts or ends a partition between the VMs in `isolated` and the platform:
    /// open connections are closed, and new ones are refused.
    pub(crate) fn set_store_isolation(&self, isolated: &[usize], on: bool) {
        for &vm in isolated {
            let source = self.vms[vm].address;
            self.store_proxy.set_refuse_from(source, on);
            if on {
                self.store_proxy.reset_open_from(source);
            }
        }
    }

    /// Starts or stops withholding the platform's responses to VMs; their
    /// requests still reach it.
    pub(crate) fn withhold_store_responses(&self, on: bool) {
        let fault = Fault {
            stalled: on,
            ..Fault::default()
        };
        self.store_proxy.set_fault(Direction::ToClient, fault);
    }

    /// Starts or ends a partition between the VMs in `isolated` and all others:
    /// connections stay open, but data is withheld.
    pub(crate) fn set_peer_isolation(&self, isolated: &[usize], on: bool) {
        let fault = || Fault {
            stalled: on,
            ..Fault::default()
        };
        for from in 0..self.vms.len() {
            for to in 0..self.vms.len() {
                if isolated.contains(&from) == isolated.contains(&to) {
                    continue;
                }
                for proxy in &self.vms[to].proxies {
                    let source = self.vms[from].address;
                    proxy.set_fault_from(source, Direction::ToServer, fault());
                    proxy.set_fault_from(source, Direction::ToClient, fault());
                }
            }
        }
    }

    /// Returns the text of the fleet's configuration.
    pub(crate) fn config(&self) -> String {
        CONFIG.replace("OCTET", &self.octet.to_string())
    }

    /// Applies the fleet's configuration with the `apply` command.
    pub(crate) async fn apply(&self) {
        self.apply_text(&self.config()).await;
    }

    /// Applies a configuration with the `apply` command.
    pub(crate) async fn apply_text(&self, text: &str) {
        let file = tempfile::NamedTempFile::new().unwrap();
        std::fs::write(file.path(), text).unwrap();
        let output = self
            .command(&["apply", file.path().to_str().unwrap()])
            .await;
        assert!(output.starts_with("accepted as version"), "{output}");
    }

    /// Creates a key with the `key create` command and returns the whole key.
    pub(crate) async fn create_key(&self, team: &str) -> String {
        let store = self.platform.addr().to_string();
        run(&["key", "--store", &store, "create", team]).await
    }

    /// Runs a command with `--store` set to the fleet's platform, asserts that it
    /// succeeds, and returns its output.
    pub(crate) async fn command(&self, args: &[&str]) -> String {
        let store = self.platform.addr().to_string();
        let mut args = args.to_vec();
        args.extend(["--store", &store]);
        run(&args).await
    }

    /// Polls `probe` with each VM's address until it has returned `true` for all;
    /// panics if that takes longer than `within`.
    pub(crate) async fn wait_until<F, R>(&self, within: Duration, probe: F)
    where
        F: Fn(SocketAddr) -> R,
        R: Future<Output = bool>,
    {
        let start = Instant::now();
        for vm in &self.vms {
            while !probe(vm.caller_address()).await {
                assert!(start.elapsed() < within, "{} is not ready", vm.name);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

impl Vm {
    /// Sends a signal such as `STOP` or `CONT` to processes.
    pub(crate) fn signal(processes: &[&Child], signal: &str) {
        let ids = processes.iter().map(|child| child.id().to_string());
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .args(ids)
            .status()
            .unwrap();
        assert!(status.success(), "kill -{signal} failed");
    }

    /// Kills the agent and starts a new one.
    pub(crate) fn restart_agent(&mut self) {
        kill_and_reap(&mut self.agent);
        self.agent = spawn("agent", self.address, self.store, &self.platform_record);
    }

    /// Kills the entry and starts a new one.
    pub(crate) fn restart_entry(&mut self) {
        kill_and_reap(&mut self.entry);
        self.entry = spawn("entry", self.address, self.store, &self.platform_record);
    }

    /// Kills the entry and starts a new one that knows how long after SIGTERM it is
    /// killed.
    pub(crate) fn restart_entry_with_grace(&mut self, grace: Duration) {
        kill_and_reap(&mut self.entry);
        self.entry = command("entry", self.address, self.store, &self.platform_record)
            .args(["--stop-grace-ms", &grace.as_millis().to_string()])
            .spawn()
            .unwrap();
    }

    /// Kills the agent or the entry and starts a new one of which one task panics 2 s
    /// after its start. Returns its exit code, or `None` if it runs on for `limit`.
    pub(crate) async fn exit_code_after_panic(
        &mut self,
        role: &str,
        task: &str,
        limit: Duration,
    ) -> Option<i32> {
        let child = if role == "agent" {
            &mut self.agent
        } else {
            &mut self.entry
        };
        kill_and_reap(child);
        *child = command(role, self.address, self.store, &self.platform_record)
            .env("FILBERTGRADE_PANIC_TASK", task)
            .spawn()
            .unwrap();
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }

    /// Returns the address of the callers' port.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, 7080)
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        for child in [&mut self.entry, &mut self.agent] {
            kill_and_reap(child);
        }
    }
}

fn kill_and_reap(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

/// Names a directory in which the logs of all processes are kept, to trace a test that
/// fails at times. Without it they are discarded.
const LOGS_VARIABLE: &str = "FILBERTGRADE_TEST_LOGS";

fn spawn(role: &str, address: IpAddr, store: SocketAddr, platform_record: &VmEntry) -> Child {
    command(role, address, store, platform_record)
        .spawn()
        .unwrap()
}

fn command(role: &str, address: IpAddr, store: SocketAddr, platform_record: &VmEntry) -> Command {
    let mut command = Command::new(BINARY);
    command
        .arg(role)
        .args([
            "--vm",
            &platform_record.name,
            "--address",
            &address.to_string(),
        ])
        .args(["--region", &platform_record.region])
        .args(["--failure-domain", &platform_record.failure_domain])
        .args(["--store", &store.to_string()])
        .env("RUST_LOG", "error")
        .stdin(Stdio::null())
        .stdout(Stdio::null());
    if let Some(dir) = std::env::var_os(LOGS_VARIABLE) {
        let name = format!("{role}-{address}.log");
        let path = std::path::Path::new(&dir).join(name);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .unwrap();
        command.env("RUST_LOG", "debug").stdout(log);
    }
    command
}

/// Sends one request on a new connection and reads the whole response.
pub(crate) async fn send(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, Box<dyn std::error::Error + Send + Sync>> {
    let stream = tokio::net::TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (parts, body) = sender.send_request(req).await?.into_parts();
    Ok(Response::from_parts(
        parts,
        body.collect().await?.to_bytes(),
    ))
}

/// Runs a command to completion and returns its output, whatever its exit code.
pub(crate) async fn invoke(args: &[&str]) -> Output {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    tokio::task::spawn_blocking(move || Command::new(BINARY).args(args).output().unwrap())
        .await
        .unwrap()
}

/// Runs a command, asserts that it succeeds, and returns its trimmed output.
async fn run(args: &[&str]) -> String {
    let output = invoke(args).await;
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).unwrap().trim().to_owned()
}

/// Finds a second octet that no other test uses, in this or another test process
/// on the same machine. Binding the platform's address reserves the octet.
async fn free_octet() -> (u8, PlatformServer) {
    for _ in 0..FLEET_OCTETS {
        let start = (std::process::id() % u32::from(FLEET_OCTETS)) as u8;
        let next = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let octet = FIRST_OCTET + start.wrapping_add(next) % FLEET_OCTETS;
        if let Ok(platform) = PlatformServer::bind(address(octet, 8, 1, 6000)).await {
            return (octet, platform);
        }
    }
    panic!("all addresses for fleets are in use");
}

/// Returns an address of the fleet with the second octet `octet`. The third octet
/// is 1 for VMs, 2 for the proxies in front of them, 8 for the platform and its
/// proxy, 9 for the proxies in front of backend servers, and 10 for the backend
/// servers.
fn address(octet: u8, third: u8, fourth: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, octet, third, fourth)), port)
}
