//! A node, started with the command of the deploy file.

use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::record::Record;

/// Ports of every node; each node has a loopback address of its own.
const FRONT: u16 = 8389;
const READY: u16 = 8384;
const CONTROL: u16 = 8383;
const DIRECTORY: u16 = 8385;

pub struct Node {
    pub name: String,
    ip: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Node {
    /// Writes the settings of a small deployment. `index` picks the address.
    pub fn new(
        index: u8,
        net: u8,
        store: std::net::SocketAddr,
        dir: &Path,
        record: &Record,
    ) -> std::io::Result<Self> {
        let name = format!("front-z-a-{index}");
        let ip = format!("127.0.{net}.{}", 10 + index);
        let settings = dir.join(format!("{name}.toml"));
        let text = format!(
            "node-name = \"{name}\"\nrole = \"node\"\nmachine-class = \"front\"\nserves = [\"front\",\"directory\"]\n\
             ip = \"{ip}\"\nzone = \"z-a\"\nregion = \"r-a\"\ninternal-ports = [7460,7475]\nseeds = []\n\
             bootstrap = true\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat-s = 1.5\n\
             [zones]\nz-a = \"r-a\"\n\
             [listen]\nfront = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\"\ncontrol = \"{ip}:{CONTROL}\"\n\
             directory = \"{ip}:{DIRECTORY}\"\n\
             [limits]\ncpu-share = 0.2\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n\
             [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstable-window-s = 4\nack-s = 5\ncatch-up-s = 4\n\
             drain-s = 2.5\ngrace-s = 6\nloss-slack-s = 0.2\nconfig-s = 2.5\nrollback-slack-s = 0.25\nouter-s = 6\n\
             strict-revoke = true\nrevoke-s = 5\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 58\n\
             quota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\ncold-overage = 1.5\ncold-slack = 5\n\
             evacuate-s = 5\nrecovery-s = 15\nttl_max_s = 5\nmax-shift = 0.15\n\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwrites-per-s = 400\nreads-per-s = 2000\n\
             retention-s = 20\nvalue-bytes = 1048576\n"
        );
        std::fs::write(&settings, text)?;
        Ok(Self {
            log: dir.join(format!("{name}.log")),
            name,
            ip,
            settings,
            child: None,
            record: record.clone(),
        })
    }

    pub fn front(&self) -> String {
        format!("{}:{FRONT}", self.ip)
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new("target/release/filbertgrade")
            .args(["node", "--metrics-port", "9464"])
            .env("FILBERTGRADE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .add(format!("node {} starts, process {}", self.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL to the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.add(format!("node {} is killed", self.name));
        }
    }

    /// The machine's address.
    pub fn ip(&self) -> std::net::IpAddr {
        self.ip.parse().unwrap()
    }

    /// Sends SIGSTOP or SIGCONT.
    pub fn freeze(&self, frozen: bool) {
        let id = self.child.as_ref().map_or(0, Child::id).to_string();
        let signal = if frozen { "-STOP" } else { "-CONT" };
        let _ = Command::new("kill").args([signal, &id]).status();
        self.record.add(format!("node {} gets SIG{}", self.name, &signal[1..]));
    }

    /// Memory that the process has in use, in KiB; 0 if it does not run.
    pub fn memory_kib(&self) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|l| l.split_whitespace().nth(1));
        number.and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let address = format!("{}:{READY}", self.ip).parse().unwrap();
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            let head = format!("GET /-/ready HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\r\n", self.ip);
            std::io::Write::write_all(&mut stream, head.as_bytes())?;
            let message = Reader::new(stream).message()?;
            Ok(message.map_or(0, |m| m.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Waits until the node is ready. Returns false if it is not in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
