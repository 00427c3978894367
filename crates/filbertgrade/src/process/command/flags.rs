//! The command line.

#![expect(
    missing_docs,
    reason = "the macro emits the public fields without room for their docs"
)]

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::process::settings::{
    CommandFlags, CommandSettings, NodeFlags, NodeSettings, SettingsError,
};

xflags::xflags! {
    /// Global traffic steering.
    cmd filbertgrade {
        /// Answers look-ups and carries requests; one for each VM.
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
            /// Port for callers.
            optional --caller-port port: String
            /// Port for links between entries.
            optional --entry-peer-port port: String
            /// Port for links between agents.
            optional --agent-peer-port port: String
            /// Port for operators at the entry.
            optional --entry-operator-port port: String
            /// Port for operators at the agent.
            optional --agent-operator-port port: String
        }
        /// Watches the platform and feeds the entry; one for each VM.
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
            /// Port for callers.
            optional --caller-port port: String
            /// Port for links between entries.
            optional --entry-peer-port port: String
            /// Port for links between agents.
            optional --agent-peer-port port: String
            /// Port for operators at the entry.
            optional --entry-operator-port port: String
            /// Port for operators at the agent.
            optional --agent-operator-port port: String
        }
        /// Serves a platform that has a store of its own; one for each VM.
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
        /// Shows by key path what files would change.
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
            /// Returns once the version is in force on every live VM.
            optional --wait
            /// Longest wait in milliseconds; 15000 by default.
            optional --wait-limit-ms ms: String
            /// Port for links between agents.
            optional --agent-peer-port port: String
        }
        /// Runs a whole deployment in one process on loopback, for trying out.
        cmd dev {
            /// Configuration file.
            required file: PathBuf
            /// Length of the run in seconds; default 10.
            optional --seconds seconds: u64
            /// Prints one JSON object.
            optional --json
            /// Seed of the traffic; default 1.
            optional --seed seed: u64
            /// Number of VMs; default 10.
            optional --vms vms: usize
            /// Fraction of their rates that teams send; default 0.6.
            optional --load load: f64
        }
        /// Grants, withdraws and lists keys.
        cmd key {
            /// Address of the platform's object API.
            optional --store store: String
            /// Longest wait in milliseconds; 15000 by default.
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
        /// Takes new work away, and waits until this is in force.
        cmd drain {
            /// Address of the platform's object API.
            optional --store store: String
            /// Longest wait in milliseconds; 15000 by default.
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
        /// Shows what every VM holds.
        cmd status {
            /// Address of the platform's object API.
            optional --store store: String
            /// Port for links between agents.
            optional --agent-peer-port port: String
        }
        /// Tells the story of one request from the logs of several processes.
        cmd explain {
            /// Id of the request.
            required id: String
            /// Log files.
            repeated file: PathBuf
        }
        /// Shows the state of one process.
        cmd dump {
            /// Address of the operator port of an entry or agent.
            required address: SocketAddr
        }
    }
}

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

macro_rules! node_settings {
    ($flags:ident) => {
        impl $flags {
            /// The settings that these flags and the environment give.
            ///
            /// # Errors
            ///
            /// Lists every missing or malformed setting.
            pub fn settings(self) -> Result<NodeSettings, SettingsError> {
                let flags = NodeFlags {
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
                };
                NodeSettings::resolve(flags, |name| std::env::var(name).ok())
            }
        }
    };
}

node_settings!(Entry);
node_settings!(Agent);
