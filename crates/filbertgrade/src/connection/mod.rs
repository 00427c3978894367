//! What lives for a connection: framing, links between our processes,
//! and connections to backend servers.

mod backend;
mod frame;
mod link;
mod pool;
pub(crate) mod traffic;
mod watched;

pub use backend::{Busy, Connection, Idle, PROOF_AGE, Proven, RequestBody};
pub use frame::{FrameCodec, FrameError, MAX_FRAME_BYTES};
pub(crate) use link::connect;
pub use link::{LinkError, PeerLink, serve_frames};
pub use pool::{Need, Pool, PoolError, PoolLimits};
pub use watched::{ByteCount, WatchedIo};
