//! Tests of nodes as real processes, with stand-ins for the platform's store
//! and for backend servers.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

mod bad_bytes;
mod cluster;
mod configuration;
mod endpoint_limits;
mod explain;
mod fleet;
mod notices;
mod odd_parts;
mod outage;
mod panics;
mod permissions;
mod requests;
mod restart;
mod restored;
mod same_address;
mod silence;
mod stop;
mod stop_under_load;
