//! Runs nodes under random faults and checks what they promise.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use filbertgrade_standins::soak::promises::Promise;
use filbertgrade_standins::soak::{Options, run};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs nodes under random faults and checks what they promise.
        cmd filbertgrade-soak {
            /// Seed of the plan; the same seed gives the same plan. Default 1.
            optional --seed seed: u64
            /// Length of the run in seconds. Default 60.
            optional --seconds seconds: u64
            /// VMs. Default 6.
            optional --vms vms: usize
            /// Program of a node. Default: `filbertgrade` beside this program.
            optional --node node: PathBuf
            /// Where settings and logs of the processes are left. Default: a
            /// new directory for temporary files.
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
        node: match &flags.node {
            Some(node) => node.clone(),
            None => beside()?,
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

fn beside() -> std::io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("filbertgrade"))
}
