//! Runs nodes under random faults and checks the promises to callers, backend servers and
//! operators.
//!
//! Exits with 0 if all promises were kept, 1 if one was broken, and 2 if the run could not be
//! carried out.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use filbertgrade_standins::soak::promises::Promise;
use filbertgrade_standins::soak::{Options, run};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs nodes under random faults and checks the promises to callers,
        /// backend servers and operators.
        cmd filbertgrade-soak {
            /// Seed of the plan. The same seed gives the same plan. Default 1.
            optional --seed seed: u64
            /// Length of the run in seconds. Default 60.
            optional --seconds seconds: u64
            /// Number of VMs. Default 6.
            optional --vms vms: usize
            /// Latency between VMs and endpoints in each direction, in
            /// milliseconds. Default 0.
            optional --latency-ms latency_ms: u64
            /// Path of the program that is run as a node. Default: `filbertgrade`
            /// in the directory of this program.
            optional --node node: PathBuf
            /// Directory for the settings and logs of the processes; they are
            /// kept. Default: a new directory for temporary files.
            optional --logs logs: PathBuf
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::FilbertgradeSoak::from_env_or_exit();
    match soak(&flags).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("filbertgrade-soak: {error}");
            ExitCode::from(2)
        }
    }
}

/// Carries out a run and prints its report. Returns whether all promises were kept.
async fn soak(flags: &flags::FilbertgradeSoak) -> std::io::Result<bool> {
    let logs = match &flags.logs {
        Some(logs) => logs.clone(),
        None => std::env::temp_dir().join(format!("filbertgrade-soak-{}", std::process::id())),
    };
    std::fs::create_dir_all(&logs)?;
    let options = Options {
        seed: flags.seed.unwrap_or(1),
        length: Duration::from_secs(flags.seconds.unwrap_or(60)),
        vms: flags.vms.unwrap_or(6).max(1),
        latency: Duration::from_millis(flags.latency_ms.unwrap_or(0)),
        node: match &flags.node {
            Some(node) => node.clone(),
            None => default_node_program()?,
        },
        logs,
    };
    let report = run(&options).await?;
    for promise in Promise::ALL {
        let broken = report.violations.iter().find(|v| v.promise == promise);
        match broken {
            Some(violation) => println!("BROKEN {violation}"),
            None => println!("kept   {promise:?}"),
        }
    }
    println!(
        "seed {}: {} sent, {} served, by status {:?}; logs in {}",
        options.seed,
        report.sent,
        report.served,
        report.statuses,
        options.logs.display(),
    );
    Ok(report.violations.is_empty())
}

/// Returns the path of `filbertgrade` in the directory of this program.
fn default_node_program() -> std::io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("filbertgrade"))
}
