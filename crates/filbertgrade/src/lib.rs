//! Global traffic steering: lookups, admission and routing between callers
//! and backend servers.
//!
//! There are two kinds of deployment, which run processes of this crate's one
//! binary. In the first, every VM runs two processes:
//!
//! * the *entry* answers callers' lookups and forwards their requests to
//!   backend servers;
//! * the *agent* watches the platform's object API, exchanges state with the
//!   agents of other VMs and sends updates to the entry of its own VM.
//!
//! Operators describe such a deployment in declarative files, which are applied
//! as a whole: see [`version::Config`]. The interface to the platform is in
//! [`platform`].
//!
//! In the second, for a platform that provides its own store, every VM runs one
//! process, the *node*: see [`process::node`]. It uses the decisions in
//! [`filbertgrade_coord::steering`] and the interface in [`filbertgrade_platform`].
//!
//! The messages between processes of both kinds are in [`wire`].
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
