//! `status` and `dump`: show the state of the processes of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;

use super::{CommandError, confirm, stored};
use crate::platform::HttpPlatform;
use crate::process::settings::CommandSettings;
use crate::version::VmState;

/// Timeout of one dump, including the connection.
const DUMP_TIMEOUT: Duration = Duration::from_secs(5);

/// Size limit of a dump in bytes; a longer one is an error.
const MAX_DUMP_BYTES: usize = 64 * 1024 * 1024;

/// Prints one line for each VM in the platform's list, with the revisions and
/// the configuration version that its processes report.
///
/// # Errors
///
/// Fails when the store fails. A VM that does not respond is not an error; its
/// line says so.
pub(super) async fn status(settings: &CommandSettings) -> Result<(), CommandError> {
    let platform = HttpPlatform::new(settings.store, None);
    let root = stored::read_root(&platform).await?.root;
    let (revision, vms) = confirm::listed_vms(&platform).await?;
    let version = root.map_or(0, |root| root.version);
    println!("store: revision {revision}, configuration version {version}");
    let mut rows = vec![
        [
            "VM", "REGION", "DOMAIN", "LISTED", "AGENT", "ENTRY", "CONFIG", "REACHED",
        ]
        .map(str::to_owned),
    ];
    for (vm, reply) in confirm::request_statuses(vms, settings.agent_peer_port).await {
        let listed = match vm.state {
            VmState::Live => "live",
            VmState::Leaving => "leaving",
        };
        let reply = reply.ok().filter(|reply| reply.vm == vm.name.as_str());
        let entry = reply.as_ref().and_then(|reply| reply.entry.as_ref());
        let or_dash = |n: Option<u64>| n.map_or_else(|| "-".to_owned(), |n| n.to_string());
        rows.push([
            vm.name.to_string(),
            vm.region.to_string(),
            vm.failure_domain.to_string(),
            listed.to_owned(),
            or_dash(reply.as_ref().map(|reply| reply.agent_revision)),
            or_dash(entry.map(|entry| entry.revision)),
            or_dash(entry.map(|entry| entry.config_version)),
            if reply.is_some() { "yes" } else { "no" }.to_owned(),
        ]);
    }
    print_table(&rows);
    Ok(())
}

/// Reads the state of one process from its operator port and prints it.
///
/// # Errors
///
/// Fails when the port does not respond with JSON within 5 s.
pub(super) async fn dump(address: SocketAddr) -> Result<(), CommandError> {
    let cause = match tokio::time::timeout(DUMP_TIMEOUT, fetch(address)).await {
        Ok(Ok(dump)) => {
            println!("{dump:#}");
            return Ok(());
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("timed out after {} s", DUMP_TIMEOUT.as_secs()),
    };
    Err(CommandError::NoDump { address, cause })
}

async fn fetch(
    address: SocketAddr,
) -> Result<serde_json::Value, Box<dyn std::error::Error + Send + Sync>> {
    let stream = crate::connection::connect(address, None).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let req = Request::get("/dump")
        .header("host", address.to_string())
        .body(Empty::<bytes::Bytes>::new())?;
    let response = sender.send_request(req).await?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}", response.status()).into());
    }
    let body = Limited::new(response.into_body(), MAX_DUMP_BYTES)
        .collect()
        .await?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

/// Prints the rows with columns of equal width.
fn print_table<const N: usize>(rows: &[[String; N]]) {
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: [usize; N] = std::array::from_fn(width);
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        println!("{}", cells.join("  ").trim_end());
    }
}
