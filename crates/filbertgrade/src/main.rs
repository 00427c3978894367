//! The `filbertgrade` binary: daemons and operators' commands.

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

/// Prints an error and returns the exit code. The messages of typed errors
/// contain their cause, so the error chain is not printed.
fn report(error: &anyhow::Error) -> ExitCode {
    match error.downcast_ref::<CommandError>() {
        // Each line of the message starts with `file:line:`, which editors
        // parse.
        Some(CommandError::Invalid(faults)) => eprintln!("{faults}"),
        _ => eprintln!("filbertgrade: {error}"),
    }
    error
        .downcast_ref::<CommandError>()
        .map_or(ExitCode::FAILURE, |error| error.exit_code().into())
}

/// Default port of a node for operators and metrics.
const DEFAULT_METRICS_PORT: u16 = 9464;

fn run(flags: Filbertgrade) -> anyhow::Result<ExitCode> {
    let mut runtime = match flags.subcommand {
        // A VM of the platform has only a fraction of one CPU core.
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
                let port = flags.metrics_port.unwrap_or(DEFAULT_METRICS_PORT);
                node::run(flags.settings, port).await?;
            }
            FilbertgradeCmd::Dev(flags) => command::dev(&flags).await?,
            command => command::run(command).await?,
        }
        Ok(ExitCode::SUCCESS)
    })
}

/// Initializes logging. Each event is one line: level, module, time, then
/// `event=` and its fields.
///
/// By default, daemons log at level info and commands at level error.
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
