//! Connections: the framing and the links between the processes of the system,
//! and the connections to backend servers.

mod backend;
mod counting;
mod frame;
mod link;
mod pool;
mod response_id;
pub(crate) mod traffic;

pub use backend::{Busy, Connection, Idle, MAX_VERIFIED_AGE, RequestBody, Verification, Verified};
pub use counting::{ByteCount, CountingIo};
pub use frame::{FrameCodec, FrameError, MAX_FRAME_BYTES};
pub(crate) use link::connect;
pub use link::{LinkError, PeerLink, serve_frames};
pub use pool::{CheckoutParams, Pool, PoolError, PoolLimits};
pub use response_id::ResponseId;
