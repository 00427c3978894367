//! The one binary: daemons and operators' commands.

use std::process::ExitCode;

use filbertgrade::process::command::CommandError;
use filbertgrade::process::command::flags::{Filbertgrade, FilbertgradeCmd};
use filbertgrade::process::signals::StopSignals;
use filbertgrade::process::{agent, command, entry};

fn main() -> ExitCode {
    let flags = Filbertgrade::from_env_or_exit();
    init_logs(&flags.subcommand);
    match run(flags) {
        Ok(code) => code,
        Err(error) => report(&error),
    }
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

fn run(flags: Filbertgrade) -> anyhow::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
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
            FilbertgradeCmd::Dev(flags) => command::dev(&flags).await?,
            command => command::run(command).await?,
        }
        Ok(ExitCode::SUCCESS)
    })
}

/// One line for each event: time, level, module, then `event=` and its fields.
///
/// Daemons log at level info by default, commands only failures.
fn init_logs(command: &FilbertgradeCmd) {
    use std::io::Write;
    let level = match command {
        FilbertgradeCmd::Entry(_) | FilbertgradeCmd::Agent(_) => "info",
        _ => "error",
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level))
        .format(|out, record| {
            writeln!(
                out,
                "level={} target={} {}",
                record.level().as_str().to_lowercase(),
                record.target(),
                record.args()
            )
        })
        .init();
}
