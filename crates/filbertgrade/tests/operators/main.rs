//! Tests of what operators use: configuration files, commands, settings, logs and
//! the operator port.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

mod apply;
mod config;
mod drain;
#[expect(dead_code, reason = "other test targets use the rest of the harness")]
#[path = "../it/fleet.rs"]
mod fleet;
mod key;
mod operator;
mod platform;
mod settings;

use std::io::Write;

use self::fleet::{Fleet, invoke};

/// Exit code and output of a command.
#[derive(Debug)]
struct CommandOutput {
    code: i32,
    stdout: String,
    stderr: String,
}

/// Runs a command with `--store` set to the fleet's store.
async fn run(fleet: &Fleet, args: &[&str]) -> CommandOutput {
    let store = fleet.platform.addr().to_string();
    let (command, rest) = args.split_first().unwrap();
    let mut args = vec![*command, "--store", &store];
    args.extend(rest);
    let output = invoke(&args).await;
    CommandOutput {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// A temporary configuration file, removed when the value is dropped.
struct TempConfig(tempfile::NamedTempFile);

impl TempConfig {
    fn new(text: &str) -> Self {
        let mut file = tempfile::NamedTempFile::new().unwrap();
        file.write_all(text.as_bytes()).unwrap();
        Self(file)
    }

    fn path(&self) -> &str {
        self.0.path().to_str().unwrap()
    }
}
