//! Nodes as separate processes, with a proxy between each of them and the store.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

use crate::proxy::FaultProxy;

/// Regions and their failure domains.
pub(super) const DOMAINS: [(&str, &str); 3] = [
    ("north-a", "north"),
    ("west-a", "west"),
    ("south-a", "south"),
];

/// Ports of the first VM; those of the next one are `PORTS_APART` higher.
const CALLERS: u16 = 8_000;
const LOOKUPS: u16 = 8_001;
const READY: u16 = 8_002;
const PEERS: u16 = 8_003;
const METRICS: u16 = 8_004;
const PORTS_APART: u16 = 10;

/// Time in which a process that is told to stop must have ended.
pub(super) const STOP_TIME: Duration = Duration::from_secs(6);

/// One VM: its addresses, its way to the store and its process.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) name: String,
    pub(super) callers: SocketAddr,
    pub(super) lookups: SocketAddr,
    pub(super) store: FaultProxy,
    settings: PathBuf,
    metrics: u16,
    node: PathBuf,
    logs: PathBuf,
    starts: usize,
    child: Option<Child>,
}

impl Vm {
    /// Prepares a VM; its process is not started.
    pub(super) async fn new(
        number: usize,
        ip: Ipv4Addr,
        store: SocketAddr,
        node: &Path,
        logs: &Path,
    ) -> io::Result<Self> {
        let first = PORTS_APART * u16::try_from(number).map_err(io::Error::other)?;
        let [callers, lookups, ready, peers, metrics] =
            [CALLERS, LOOKUPS, READY, PEERS, METRICS].map(|port| port + first);
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = FaultProxy::bind(any, store).await?;
        let name = format!("vm-{number}");
        let (domain, region) = DOMAINS[number % DOMAINS.len()];
        let zones: String = DOMAINS
            .iter()
            .map(|(domain, region)| format!("{domain} = \"{region}\"\n"))
            .collect();
        let settings = logs.join(format!("{name}.toml"));
        let text = format!(
            "node-name = \"{name}\"\nip = \"{ip}\"\nzone = \"{domain}\"\nregion = \"{region}\"\n\
             internal-ports = [{peers}, {peers}]\n[zones]\n{zones}\
             [listen]\nfront = \"{ip}:{callers}\"\ndirectory = \"{ip}:{lookups}\"\n\
             ready = \"{ip}:{ready}\"\n\
             [bounds]\ngrace-s = 6\nrevoke-s = 5\nretry-budget-ratio = 0.2\nbudget-slack = 20\n\
             quota-slack = 20\n[platform]\naddress = \"{}\"\n",
            store.addr()
        );
        std::fs::write(&settings, text)?;
        Ok(Self {
            name,
            callers: SocketAddr::from((ip, callers)),
            lookups: SocketAddr::from((ip, lookups)),
            store,
            settings,
            metrics,
            node: node.to_owned(),
            logs: logs.to_owned(),
            starts: 0,
            child: None,
        })
    }

    /// Starts the process, unless it runs.
    pub(super) fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        self.starts += 1;
        let log = File::create(self.log_path(self.starts))?;
        let child = Command::new(&self.node)
            .args(["node", "--metrics-port", &self.metrics.to_string()])
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

    /// Sends a signal to the process, if it runs.
    pub(super) fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id
            .and_then(|id| i32::try_from(id).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid
            && let Err(error) = kill_process(pid, signal)
        {
            // It has just ended by itself.
            log::debug!("event=signal_not_sent vm={} error={error}", self.name);
        }
    }

    /// Kills the process, if it runs.
    pub(super) async fn kill(&mut self) {
        if let Some(mut child) = self.child.take()
            && let Err(error) = child.kill().await
        {
            log::debug!("event=not_killed vm={} error={error}", self.name);
        }
    }

    /// The process, whose end the caller waits for.
    pub(super) fn take_child(&mut self) -> Option<Child> {
        self.child.take()
    }

    /// Log files of all starts so far.
    pub(super) fn logs(&self) -> impl Iterator<Item = PathBuf> + '_ {
        (1..=self.starts).map(|start| self.log_path(start))
    }

    fn log_path(&self, start: usize) -> PathBuf {
        self.logs.join(format!("{}.{start}.log", self.name))
    }
}
