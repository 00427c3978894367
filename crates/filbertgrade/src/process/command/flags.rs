//! Parser of the command line; the macro derives commands and flags from the
//! names below.

#![expect(
    missing_docs,
    reason = "the macro emits public fields without doc comments"
)]

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::process::settings::{CommandFlags, CommandSettings, SettingsError, VmFlags, VmSettings};

xflags::xflags! {
    /// Global traffic steering.
    cmd filbertgrade {
        /// Runs the entry of a VM, which answers lookups and forwards requests.
        cmd entry {
            /// Name of the VM.
            optional --vm vm: String
            /// IP address of the VM.
            optional --address address: String
            /// Region of the VM.
            optional --region region: String
            /// Failure domain of the VM.
            optional --failure-domain failure_domain: String
            /// Address of the platform's object API.
            optional --store store: String
            /// Port for lookups and requests of callers.
            optional --caller-port port: String
            /// Port for links between entries.
            optional --entry-peer-port port: String
            /// Port for links between agents.
            optional --agent-peer-port port: String
            /// Operator port of the entry.
            optional --entry-operator-port port: String
            /// Operator port of the agent.
            optional --agent-operator-port port: String
            /// Time from SIGTERM until the process is killed, in milliseconds.
            optional --stop-grace-ms time: String
        }
        /// Runs the agent of a VM, which watches the platform and updates the entry.
        cmd agent {
            /// Name of the VM.
            optional --vm vm: String
            /// IP address of the VM.
            optional --address address: String
            /// Region of the VM.
            optional --region region: String
            /// Failure domain of the VM.
            optional --failure-domain failure_domain: String
            /// Address of the platform's object API.
            optional --store store: String
            /// Port for lookups and requests of callers.
            optional --caller-port port: String
            /// Port for links between entries.
            optional --entry-peer-port port: String
            /// Port for links between agents.
            optional --agent-peer-port port: String
            /// Operator port of the entry.
            optional --entry-operator-port port: String
            /// Operator port of the agent.
            optional --agent-operator-port port: String
            /// Time from SIGTERM until the process is killed, in milliseconds.
            optional --stop-grace-ms time: String
        }
        /// Runs the node of a VM, on a platform that provides its own store.
        cmd node {
            /// Settings file; FILBERTGRADE_SETTINGS by default.
            optional --settings settings: PathBuf
            /// Port for operators and metrics; default 9464.
            optional --metrics-port metrics_port: u16
        }
        /// Validates configuration files as one configuration.
        cmd check {
            /// Configuration files.
            repeated file: PathBuf
        }
        /// Shows what configuration files would change, by key path.
        cmd diff {
            /// Configuration files.
            repeated file: PathBuf
            /// Address of the platform's object API.
            optional --store store: String
        }
        /// Puts configuration files in force as a whole.
        cmd apply {
            /// Configuration files.
            repeated file: PathBuf
            /// Address of the platform's object API.
            optional --store store: String
            /// Waits until the version is in force on every live VM.
            optional --wait
            /// Wait limit in milliseconds; default 15000.
            optional --wait-limit-ms ms: String
            /// Port for links between agents.
            optional --agent-peer-port port: String
        }
        /// Runs a whole deployment in one process on loopback, for trial runs.
        cmd dev {
            /// Configuration file.
            required file: PathBuf
            /// Length of the run in seconds; default 10.
            optional --seconds seconds: u64
            /// Prints the results as one JSON object.
            optional --json
            /// Seed of the traffic; default 1.
            optional --seed seed: u64
            /// Number of VMs; default 10.
            optional --vms vms: usize
            /// Load that teams send, as a fraction of their rates; default 0.6.
            optional --load load: f64
        }
        /// Grants, withdraws and lists keys.
        cmd key {
            /// Address of the platform's object API.
            optional --store store: String
            /// Wait limit in milliseconds; default 15000.
            optional --wait-limit-ms ms: String
            /// Port for links between agents.
            optional --agent-peer-port port: String
            /// Grants a key to a team and shows its secret once.
            cmd create {
                /// Team name.
                required team: String
            }
            /// Withdraws a key, and waits until every region refuses it.
            cmd withdraw {
                /// Id of the key: the part between the first two underscores.
                required id: String
            }
            /// Lists keys.
            cmd list {}
        }
        /// Directs new requests away, and waits until this is in force.
        cmd drain {
            /// Address of the platform's object API.
            optional --store store: String
            /// Wait limit in milliseconds; default 15000.
            optional --wait-limit-ms ms: String
            /// Port for links between agents.
            optional --agent-peer-port port: String
            /// Drains a VM.
            cmd vm {
                /// Name of the VM.
                required name: String
                /// Ends the drain.
                optional --undo
            }
            /// Drains a backend server.
            cmd server {
                /// Address of the backend server, as in the configuration.
                required name: String
                /// Ends the drain.
                optional --undo
            }
            /// Drains a region.
            cmd region {
                /// Name of the region.
                required name: String
                /// Ends the drain.
                optional --undo
            }
        }
        /// Shows the revisions and the configuration version of every VM.
        cmd status {
            /// Address of the platform's object API.
            optional --store store: String
            /// Port for links between agents.
            optional --agent-peer-port port: String
        }
        /// Shows the log lines of one request from several processes, and why it ended as it did.
        cmd explain {
            /// Id of the request.
            required id: String
            /// Log files.
            repeated file: PathBuf
        }
        /// Prints the state of one process as JSON.
        cmd dump {
            /// Address of the operator port of an entry or agent.
            required address: SocketAddr
        }
    }
}

/// Parses the flags of a command and the environment variables.
pub(super) fn command_settings(
    store: Option<String>,
    agent_peer_port: Option<String>,
    wait_limit_ms: Option<String>,
) -> Result<CommandSettings, SettingsError> {
    let flags = CommandFlags {
        store,
        agent_peer_port,
        wait_limit_ms,
    };
    CommandSettings::resolve(flags, |name| std::env::var(name).ok())
}

macro_rules! vm_settings {
    ($flags:ident) => {
        impl $flags {
            /// Parses these flags and the environment variables.
            ///
            /// # Errors
            ///
            /// Lists every missing or invalid setting.
            pub fn settings(self) -> Result<VmSettings, SettingsError> {
                let flags = VmFlags {
                    vm: self.vm,
                    address: self.address,
                    region: self.region,
                    failure_domain: self.failure_domain,
                    store: self.store,
                    caller_port: self.caller_port,
                    entry_peer_port: self.entry_peer_port,
                    agent_peer_port: self.agent_peer_port,
                    entry_operator_port: self.entry_operator_port,
                    agent_operator_port: self.agent_operator_port,
                    stop_grace_ms: self.stop_grace_ms,
                };
                VmSettings::resolve(flags, |name| std::env::var(name).ok())
            }
        }
    };
}

vm_settings!(Entry);
vm_settings!(Agent);
