//! Global traffic steering: lookups, admission and routing between callers
//! and backend servers.
//!
//! Every VM of a deployment runs two processes of this crate's one binary:
//!
//! * the *entry* answers callers' lookups and forwards their requests to
//!   backend servers;
//! * the *agent* watches the platform's object API, exchanges state with the
//!   agents of other VMs and sends updates to the entry of its own VM.
//!
//! Operators describe a deployment in declarative files, which are applied as a
//! whole: see [`version::Config`]. The messages between the processes are in
//! [`wire`], the interface to the platform in [`platform`].
//!
//! `docs/design.md` explains the design and its reasons.

pub mod connection;
pub mod explain;
pub mod logfmt;
pub mod platform;
pub mod process;
pub mod request;
mod sync;
pub mod version;
pub mod wire;
