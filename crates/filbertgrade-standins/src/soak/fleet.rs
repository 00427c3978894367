//! Node processes of a run. Each reaches the store through a proxy of its own.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

use crate::proxy::FaultProxy;

/// Failure domains with their regions. VMs and endpoints are assigned to them in turn.
pub(super) const DOMAINS: [(&str, &str); 3] = [
    ("north-a", "north"),
    ("west-a", "west"),
    ("south-a", "south"),
];

// Ports of the first VM. Those of each further VM are `PORTS_PER_VM` higher, because all VMs of a
// run share one loopback address.
const CALLER_PORT: u16 = 8_000;
const LOOKUP_PORT: u16 = 8_001;
const READY_PORT: u16 = 8_002;
const PEER_PORT: u16 = 8_003;
const METRICS_PORT: u16 = 8_004;
const PORTS_PER_VM: u16 = 10;

/// Times within which a process must exit after SIGTERM, in seconds. They are assigned to the VMs
/// in turn.
const STOP_GRACES_S: [u64; 2] = [6, 4];

/// A VM: its addresses, its proxy to the store and its process.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) name: String,
    pub(super) caller_address: SocketAddr,
    pub(super) lookup_address: SocketAddr,
    /// Time within which the process must exit after SIGTERM.
    pub(super) stop_grace: Duration,
    /// Proxy between this VM and the store.
    pub(super) store_proxy: FaultProxy,
    /// Settings file of the process.
    settings: PathBuf,
    metrics_port: u16,
    node_program: PathBuf,
    log_dir: PathBuf,
    /// Number of starts so far; each writes a log file of its own.
    start_count: usize,
    /// `None` while no process runs.
    child: Option<Child>,
}

impl Vm {
    /// Writes the settings of a VM and binds its proxy. The process is not started.
    pub(super) async fn new(
        number: usize,
        ip: Ipv4Addr,
        store_address: SocketAddr,
        node_program: &Path,
        log_dir: &Path,
    ) -> io::Result<Self> {
        let port_offset = PORTS_PER_VM * u16::try_from(number).map_err(io::Error::other)?;
        let [
            caller_port,
            lookup_port,
            ready_port,
            peer_port,
            metrics_port,
        ] = [
            CALLER_PORT,
            LOOKUP_PORT,
            READY_PORT,
            PEER_PORT,
            METRICS_PORT,
        ]
        .map(|port| port + port_offset);
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store_proxy = FaultProxy::bind(any_port, store_address).await?;
        let name = format!("vm-{number}");
        let (domain, region) = DOMAINS[number % DOMAINS.len()];
        let zones: String = DOMAINS
            .iter()
            .map(|(domain, region)| format!("{domain} = \"{region}\"\n"))
            .collect();
        let grace_s = STOP_GRACES_S[number % STOP_GRACES_S.len()];
        let settings = log_dir.join(format!("{name}.toml"));
        let text = format!(
            "node-name = \"{name}\"\nip = \"{ip}\"\nzone = \"{domain}\"\nregion = \"{region}\"\n\
             internal-ports = [{peer_port}, {peer_port}]\n[zones]\n{zones}\
             [listen]\nfront = \"{ip}:{caller_port}\"\ndirectory = \"{ip}:{lookup_port}\"\n\
             ready = \"{ip}:{ready_port}\"\n\
             [bounds]\ngrace-s = {grace_s}\nrevoke-s = 5\nretry-budget-ratio = 0.2\nbudget-slack = 20\n\
             quota-slack = 20\n[platform]\naddress = \"{}\"\n",
            store_proxy.addr()
        );
        std::fs::write(&settings, text)?;
        Ok(Self {
            name,
            caller_address: SocketAddr::from((ip, caller_port)),
            lookup_address: SocketAddr::from((ip, lookup_port)),
            stop_grace: Duration::from_secs(grace_s),
            store_proxy,
            settings,
            metrics_port,
            node_program: node_program.to_owned(),
            log_dir: log_dir.to_owned(),
            start_count: 0,
            child: None,
        })
    }

    /// Starts the process unless it is running, with a new log file.
    pub(super) fn start(&mut self) -> io::Result<()> {
        if let Some(child) = &mut self.child
            && child.try_wait()?.is_none()
        {
            return Ok(());
        }
        self.start_count += 1;
        let log = File::create(self.log_path(self.start_count))?;
        let child = Command::new(&self.node_program)
            .args(["node", "--metrics-port", &self.metrics_port.to_string()])
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process if it is running.
    pub(super) fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id
            .and_then(|id| i32::try_from(id).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid
            && let Err(error) = kill_process(pid, signal)
        {
            // The process has just exited.
            log::debug!("event=signal_not_sent vm={} error={error}", self.name);
        }
    }

    /// Kills the process if it is running, and waits for its end.
    pub(super) async fn kill(&mut self) {
        if let Some(mut child) = self.child.take()
            && let Err(error) = child.kill().await
        {
            log::debug!("event=not_killed vm={} error={error}", self.name);
        }
    }

    /// Hands over the process to a caller that waits for its end. From then on the VM can be
    /// started again.
    pub(super) fn take_child(&mut self) -> Option<Child> {
        self.child.take()
    }

    /// Returns the log files of all starts so far.
    pub(super) fn logs(&self) -> impl Iterator<Item = PathBuf> + '_ {
        (1..=self.start_count).map(|start| self.log_path(start))
    }

    /// Returns the log file of a start, counted from one.
    fn log_path(&self, start: usize) -> PathBuf {
        self.log_dir.join(format!("{}.{start}.log", self.name))
    }
}
