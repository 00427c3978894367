//! What lives for a connection: framing and links between our processes.

mod frame;
mod link;

pub use frame::{FrameCodec, FrameError, MAX_FRAME_BYTES};
pub(crate) use link::connect;
pub use link::{LinkError, PeerLink, serve_frames};
