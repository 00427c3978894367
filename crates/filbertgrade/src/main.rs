//! The one binary: daemons and operators' commands.

use std::process::ExitCode;

use filbertgrade::process::command::CommandError;
use filbertgrade::process::command::flags::{Filbertgrade, FilbertgradeCmd};
use filbertgrade::process::{agent, command, entry};

fn main() -> ExitCode {
    init_logs();
    let flags = Filbertgrade::from_env_or_exit();
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
            FilbertgradeCmd::Entry(flags) => entry::run(flags.settings()?).await?,
            FilbertgradeCmd::Agent(flags) => agent::run(flags.settings()?).await?,
            command => command::run(command).await?,
        }
        Ok(ExitCode::SUCCESS)
    })
}

/// One line for each event: time, level, module, then `event=` and its fields.
fn init_logs() {
    use std::io::Write;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
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
