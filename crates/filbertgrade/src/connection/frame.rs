//! Framing of a byte stream: each frame is a 4-byte big-endian length, followed
//! by one prost message.

use bytes::{Buf, BufMut, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

use super::traffic;
use crate::wire::Frame;

/// Largest frame, in bytes without the length prefix.
///
/// An object in the platform's store has at most 1 MB, so it always fits into
/// one frame. A larger limit would let a faulty peer claim more memory on each link.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Why a stream of frames ended.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum FrameError {
    /// A frame is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {length} bytes is over the limit of {MAX_FRAME_BYTES} bytes")]
    TooLong {
        /// Length in bytes, without the length prefix.
        length: usize,
    },
    /// The content of a frame is not a valid message.
    #[error("corrupt frame: {0}")]
    Corrupt(#[from] prost::DecodeError),
    /// Reading from or writing to the stream failed.
    #[error("stream failed: {0}")]
    Io(#[from] std::io::Error),
}

/// Encodes and decodes [`Frame`]s, and counts them in the traffic metrics.
#[derive(Debug, Default)]
pub struct FrameCodec;

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(prefix) = buf.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { length });
        }
        if buf.len() < LENGTH_PREFIX_BYTES + length {
            buf.reserve(LENGTH_PREFIX_BYTES + length - buf.len());
            return Ok(None);
        }
        buf.advance(LENGTH_PREFIX_BYTES);
        traffic::count_received(LENGTH_PREFIX_BYTES + length);
        Ok(Some(Frame::decode(buf.split_to(length).freeze())?))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Frame, buf: &mut BytesMut) -> Result<(), FrameError> {
        let length = frame.encoded_len();
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { length });
        }
        buf.reserve(LENGTH_PREFIX_BYTES + length);
        traffic::count_sent(LENGTH_PREFIX_BYTES + length);
        buf.put_slice(&(length as u32).to_be_bytes());
        frame
            .encode(buf)
            .expect("the buffer was reserved for the encoded length");
        Ok(())
    }
}
