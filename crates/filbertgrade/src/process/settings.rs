//! Settings of the entry, the agent and the operators' commands, read from
//! flags and environment variables.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use filbertgrade_coord::names::{FailureDomainName, RegionName, VmName};

/// Settings of the entry and the agent, the same for both on one VM.
#[derive(Clone, Debug)]
pub struct VmSettings {
    /// Name of the VM.
    pub vm: VmName,
    /// IP address of the VM. The processes listen on it and connect from it.
    pub address: IpAddr,
    /// Region of the VM.
    pub region: RegionName,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomainName,
    /// Address of the platform's object API.
    pub store: SocketAddr,
    /// Ports of the processes.
    pub ports: Ports,
    /// Time from SIGTERM until the process manager kills the process. Default
    /// 640 s, in which a request with the longest deadline ends. If it is set
    /// longer than it is, a stop cuts requests; if shorter, the entry refuses
    /// requests that it could have served.
    pub stop_grace: Duration,
}

/// Ports of the processes of a VM, the same on every VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// The entry's port for lookups and requests of callers. Default 7080.
    pub caller: u16,
    /// The entry's port for links with other entries. Default 7081.
    pub entry_peer: u16,
    /// The agent's port for links with other agents and with the entry of its
    /// VM. Default 7082.
    pub agent_peer: u16,
    /// The entry's port for operators. Default 7083.
    pub entry_operator: u16,
    /// The agent's port for operators. Default 7084.
    pub agent_operator: u16,
}

impl Default for Ports {
    fn default() -> Self {
        Self {
            caller: 7080,
            entry_peer: 7081,
            agent_peer: 7082,
            entry_operator: 7083,
            agent_operator: 7084,
        }
    }
}

/// Flags of the entry and the agent as text, before they are parsed. `None`
/// means that the flag was not given.
#[derive(Clone, Debug, Default)]
pub struct VmFlags {
    /// `--vm`
    pub vm: Option<String>,
    /// `--address`
    pub address: Option<String>,
    /// `--region`
    pub region: Option<String>,
    /// `--failure-domain`
    pub failure_domain: Option<String>,
    /// `--store`
    pub store: Option<String>,
    /// `--caller-port`
    pub caller_port: Option<String>,
    /// `--entry-peer-port`
    pub entry_peer_port: Option<String>,
    /// `--agent-peer-port`
    pub agent_peer_port: Option<String>,
    /// `--entry-operator-port`
    pub entry_operator_port: Option<String>,
    /// `--agent-operator-port`
    pub agent_operator_port: Option<String>,
    /// `--stop-grace-ms`
    pub stop_grace_ms: Option<String>,
}

/// Default time from SIGTERM until a process is killed: the longest deadline of a
/// request, and what the entry does after the last response.
pub const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(640);

/// Default limit for the wait of a command: twice the time in which a change is
/// in force everywhere, rounded down.
const DEFAULT_WAIT_LIMIT_MS: u64 = 15_000;

/// Settings of the operators' commands.
#[derive(Clone, Debug)]
pub struct CommandSettings {
    /// Address of the platform's object API.
    pub store: SocketAddr,
    /// Port of the agents for links, the same on every VM.
    pub agent_peer_port: u16,
    /// Limit for the wait until the fleet has confirmed a change. With zero,
    /// each VM is queried once.
    pub wait_limit: Duration,
}

/// Flags of a command as text, before they are parsed. `None` means that the
/// flag was not given.
#[derive(Clone, Debug, Default)]
pub struct CommandFlags {
    /// `--store`
    pub store: Option<String>,
    /// `--agent-peer-port`
    pub agent_peer_port: Option<String>,
    /// `--wait-limit-ms`
    pub wait_limit_ms: Option<String>,
}

/// All missing or invalid settings of a process.
#[derive(Debug)]
pub struct SettingsError {
    faults: Vec<String>,
}

impl SettingsError {
    pub(crate) fn new(fault: &str) -> Self {
        Self {
            faults: vec![fault.to_owned()],
        }
    }

    /// A message for each missing or invalid setting, which names its flag.
    #[must_use]
    pub fn faults(&self) -> &[String] {
        &self.faults
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} missing or invalid settings: ", self.faults.len())?;
        f.write_str(&self.faults.join("; "))
    }
}

impl std::error::Error for SettingsError {}

impl VmSettings {
    /// Parses the flags. `env` returns the value of an environment variable,
    /// and is used for each flag that was not given: `FILBERTGRADE_CALLER_PORT`
    /// for `--caller-port`.
    ///
    /// # Errors
    ///
    /// Lists every missing or invalid setting.
    pub fn resolve(
        flags: VmFlags,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let mut reader = Reader {
            env,
            faults: Vec::new(),
        };
        let ports = Ports::default();
        let vm = reader.name::<VmName>("vm", flags.vm);
        let address = reader.required("address", flags.address);
        let region = reader.name::<RegionName>("region", flags.region);
        let failure_domain =
            reader.name::<FailureDomainName>("failure-domain", flags.failure_domain);
        let store = reader.required("store", flags.store);
        let ports = Ports {
            caller: reader.optional("caller-port", flags.caller_port, ports.caller),
            entry_peer: reader.optional("entry-peer-port", flags.entry_peer_port, ports.entry_peer),
            agent_peer: reader.optional("agent-peer-port", flags.agent_peer_port, ports.agent_peer),
            entry_operator: reader.optional(
                "entry-operator-port",
                flags.entry_operator_port,
                ports.entry_operator,
            ),
            agent_operator: reader.optional(
                "agent-operator-port",
                flags.agent_operator_port,
                ports.agent_operator,
            ),
        };
        reader.check_ports(ports);
        let default_ms = DEFAULT_STOP_GRACE.as_millis() as u64;
        let stop_grace_ms = reader.optional("stop-grace-ms", flags.stop_grace_ms, default_ms);
        if address.is_some_and(|address: IpAddr| address.is_unspecified()) {
            let fault = "--address: the VM's own address is needed, not one for all interfaces";
            reader.faults.push(fault.to_owned());
        }
        match (vm, address, region, failure_domain, store) {
            (Some(vm), Some(address), Some(region), Some(failure_domain), Some(store))
                if reader.faults.is_empty() =>
            {
                Ok(Self {
                    vm,
                    address,
                    region,
                    failure_domain,
                    store,
                    ports,
                    stop_grace: Duration::from_millis(stop_grace_ms),
                })
            }
            _ => Err(SettingsError {
                faults: reader.faults,
            }),
        }
    }
}

impl CommandSettings {
    /// Parses flags and environment variables in the same way as
    /// [`VmSettings::resolve`].
    ///
    /// # Errors
    ///
    /// Lists every missing or invalid setting.
    pub fn resolve(
        flags: CommandFlags,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let mut reader = Reader {
            env,
            faults: Vec::new(),
        };
        let port = Ports::default().agent_peer;
        let store = reader.required("store", flags.store);
        let agent_peer_port = reader.optional("agent-peer-port", flags.agent_peer_port, port);
        let wait_ms = reader.optional("wait-limit-ms", flags.wait_limit_ms, DEFAULT_WAIT_LIMIT_MS);
        match store {
            Some(store) if reader.faults.is_empty() => Ok(Self {
                store,
                agent_peer_port,
                wait_limit: Duration::from_millis(wait_ms),
            }),
            _ => Err(SettingsError {
                faults: reader.faults,
            }),
        }
    }
}

/// Reads settings and collects the faults of all of them.
struct Reader<E> {
    env: E,
    faults: Vec<String>,
}

impl<E: Fn(&str) -> Option<String>> Reader<E> {
    /// The text of a setting, from its flag or its environment variable.
    fn text(&self, flag: &str, given: Option<String>) -> Option<String> {
        given.or_else(|| (self.env)(&variable_name(flag)))
    }

    fn required<T: FromStr>(&mut self, flag: &str, given: Option<String>) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let text = self.required_text(flag, given)?;
        self.parse(flag, &text)
    }

    fn optional<T: FromStr>(&mut self, flag: &str, given: Option<String>, default: T) -> T
    where
        T::Err: fmt::Display,
    {
        match self.text(flag, given) {
            Some(text) => self.parse(flag, &text).unwrap_or(default),
            None => default,
        }
    }

    fn name<T>(&mut self, flag: &str, given: Option<String>) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = filbertgrade_coord::names::NameError>,
    {
        let text = self.required_text(flag, given)?;
        match T::try_from(text.as_str()) {
            Ok(name) => Some(name),
            Err(e) => {
                self.faults.push(format!("--{flag}: {e}"));
                None
            }
        }
    }

    /// Every listener needs a port of its own, and 0 would make the system
    /// choose one that the other VMs do not know.
    fn check_ports(&mut self, ports: Ports) {
        let ports = [
            ("caller-port", ports.caller),
            ("entry-peer-port", ports.entry_peer),
            ("agent-peer-port", ports.agent_peer),
            ("entry-operator-port", ports.entry_operator),
            ("agent-operator-port", ports.agent_operator),
        ];
        for (n, (flag, port)) in ports.iter().enumerate() {
            if *port == 0 {
                self.faults.push(format!("--{flag}: 0 is not a port"));
            }
            if let Some((other, _)) = ports[..n].iter().find(|(_, p)| p == port && *p != 0) {
                let fault = format!("--{flag}: {port} is also the port of --{other}");
                self.faults.push(fault);
            }
        }
    }

    /// Like `text`; records a fault when the setting is missing.
    fn required_text(&mut self, flag: &str, given: Option<String>) -> Option<String> {
        let text = self.text(flag, given);
        if text.is_none() {
            let variable = variable_name(flag);
            self.faults
                .push(format!("--{flag} or {variable} is required"));
        }
        text
    }

    fn parse<T: FromStr>(&mut self, flag: &str, text: &str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.faults.push(format!("--{flag}: {text:?}: {e}"));
                None
            }
        }
    }
}

/// The environment variable that stands for a flag.
fn variable_name(flag: &str) -> String {
    format!("FILBERTGRADE_{}", flag.to_uppercase().replace('-', "_"))
}
