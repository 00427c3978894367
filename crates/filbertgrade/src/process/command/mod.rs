//! Operators' commands and the parser of the command line.

mod apply;
mod check;
mod confirm;
mod dev;
mod drain;
mod error;
mod explain;
pub mod flags;
mod key;
mod status;
mod stored;
mod write;

pub use self::dev::{DevError, dev};
use self::drain::DrainKind;
pub use self::error::CommandError;
use self::flags::{DrainCmd, FilbertgradeCmd, KeyCmd};

/// Runs an operators' command. Does nothing for the daemons and `dev`, which
/// the binary starts itself.
///
/// # Errors
///
/// Fails when the command fails; [`CommandError::exit_code`] is the exit code
/// for scripts.
pub async fn run(command: FilbertgradeCmd) -> Result<(), CommandError> {
    match command {
        FilbertgradeCmd::Entry(_)
        | FilbertgradeCmd::Agent(_)
        | FilbertgradeCmd::Node(_)
        | FilbertgradeCmd::Dev(_) => Ok(()),
        FilbertgradeCmd::Check(flags) => check::check(&flags.file),
        FilbertgradeCmd::Diff(flags) => {
            let settings = flags::command_settings(flags.store, None, None)?;
            apply::diff(&flags.file, &settings).await
        }
        FilbertgradeCmd::Apply(flags) => {
            let settings =
                flags::command_settings(flags.store, flags.agent_peer_port, flags.wait_limit_ms)?;
            apply::apply(&flags.file, &settings, flags.wait).await
        }
        FilbertgradeCmd::Key(flags) => {
            let settings =
                flags::command_settings(flags.store, flags.agent_peer_port, flags.wait_limit_ms)?;
            match flags.subcommand {
                KeyCmd::Create(create) => key::create(&create.team, &settings).await,
                KeyCmd::Withdraw(withdraw) => key::withdraw(&withdraw.id, &settings).await,
                KeyCmd::List(_) => key::list(&settings).await,
            }
        }
        FilbertgradeCmd::Drain(flags) => {
            let settings =
                flags::command_settings(flags.store, flags.agent_peer_port, flags.wait_limit_ms)?;
            let (kind, name, undo) = match flags.subcommand {
                DrainCmd::Vm(vm) => (DrainKind::Vm, vm.name, vm.undo),
                DrainCmd::Server(server) => (DrainKind::Server, server.name, server.undo),
                DrainCmd::Region(region) => (DrainKind::Region, region.name, region.undo),
            };
            drain::drain(kind, &name, undo, &settings).await
        }
        FilbertgradeCmd::Status(flags) => {
            let settings = flags::command_settings(flags.store, flags.agent_peer_port, None)?;
            status::status(&settings).await
        }
        FilbertgradeCmd::Dump(flags) => status::dump(flags.address).await,
        FilbertgradeCmd::Explain(flags) => explain::explain(&flags.id, &flags.file),
    }
}
