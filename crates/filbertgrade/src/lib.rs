//! Global traffic steering: look-ups, admission and routing between callers
//! and backend servers.
//!
//! Every VM of a deployment runs two processes of this crate's one binary:
//!
//! * the *entry* answers callers' look-ups and carries their requests to
//!   backend servers;
//! * the *agent* watches the platform's object API, exchanges state with the
//!   agents of other VMs and feeds the entry of its own VM.
//!
//! Operators describe a deployment in a declarative file, which is applied as
//! a whole: see [`version::Config`]. What the processes exchange is in
//! [`wire`], what the platform must offer in [`platform`].
//!
//! `docs/design.md` holds the design and its reasons.

pub mod connection;
pub mod explain;
pub mod logfmt;
pub mod platform;
pub mod process;
pub mod request;
mod sync;
pub mod version;
pub mod wire;
