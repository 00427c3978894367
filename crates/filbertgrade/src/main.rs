//! The one binary: daemons and operators' commands.

use std::process::ExitCode;

use filbertgrade::process::command::CommandError;
use filbertgrade::process::command::flags::{Filbertgrade, FilbertgradeCmd};
use filbertgrade::process::signals::StopSignals;
use filbertgrade::process::{agent, command, entry, logs, node};

fn main() -> ExitCode {
    let flags = Filbertgrade::from_env_or_exit();
    init_logs(&flags.subcommand);
    let code = match run(flags) {
        Ok(code) => code,
        Err(error) => report(&error),
    };
    logs::flush();
    code
}

/// Typed errors name their cause themselves, so the chain is not printed.
fn report(error: &anyhow::Error) -> ExitCode {
    match error.downcast_ref::<CommandError>() {
        // Each line starts with file and line, as editors expect it.
        Some(CommandError::Invalid(faults)) => eprintln!("{faults}"),
        _ => eprintln!("filbertgrade: {error}"),
    }
    error
        .downcast_ref::<CommandError>()
        .map_or(ExitCode::FAILURE, |error| error.exit_code().into())
}

/// Port of a node for operators and metrics, unless a flag names another one.
const METRICS_PORT: u16 = 9464;

fn run(flags: Filbertgrade) -> anyhow::Result<ExitCode> {
    let mut runtime = match flags.subcommand {
        // A VM of a platform has a part of one core.
        FilbertgradeCmd::Node(_) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = runtime
        .enable_all()
        .build()
        .map_err(|error| anyhow::anyhow!("cannot start the runtime: {error}"))?;
    runtime.block_on(async {
        match flags.subcommand {
            FilbertgradeCmd::Entry(flags) => {
                let signals = StopSignals::new()
                    .map_err(|error| anyhow::anyhow!("cannot receive signals: {error}"))?;
                entry::run(flags.settings()?, signals.received()).await?;
            }
            FilbertgradeCmd::Agent(flags) => agent::run(flags.settings()?).await?,
            FilbertgradeCmd::Node(flags) => {
                let port = flags.metrics_port.unwrap_or(METRICS_PORT);
                node::run(flags.settings, port).await?;
            }
            FilbertgradeCmd::Dev(flags) => command::dev(&flags).await?,
            command => command::run(command).await?,
        }
        Ok(ExitCode::SUCCESS)
    })
}

/// One line for each event: level, module, time, then `event=` and its fields.
///
/// Daemons log at level info by default, commands only failures.
fn init_logs(command: &FilbertgradeCmd) {
    let daemon = matches!(
        command,
        FilbertgradeCmd::Entry(_) | FilbertgradeCmd::Agent(_) | FilbertgradeCmd::Node(_)
    );
    if daemon {
        logs::init("info");
    } else {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    }
}
