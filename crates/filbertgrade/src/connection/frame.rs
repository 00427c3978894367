//! Frames on a byte stream: a 4-byte length, then one prost message.

use bytes::{Buf, BufMut, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

use super::traffic;
use crate::wire::Frame;

/// Longest frame accepted, in bytes without the length prefix.
///
/// An object of the platform is at most 1 MB, so one chunk always fits; a
/// larger bound would let a faulty peer claim more memory for each link.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

const LENGTH_BYTES: usize = 4;

/// Why a stream of frames ended.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum FrameError {
    /// The peer announced a frame over [`MAX_FRAME_BYTES`].
    #[error("frame of {length} bytes is over the limit of {MAX_FRAME_BYTES} bytes")]
    TooLong {
        /// Announced length in bytes.
        length: usize,
    },
    /// The bytes of a frame are not a message.
    #[error("corrupt frame: {0}")]
    Corrupt(#[from] prost::DecodeError),
    /// The stream failed.
    #[error("stream failed: {0}")]
    Io(#[from] std::io::Error),
}

/// Codec for [`Frame`].
#[derive(Debug, Default)]
pub struct FrameCodec;

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(prefix) = buf.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { length });
        }
        if buf.len() < LENGTH_BYTES + length {
            buf.reserve(LENGTH_BYTES + length - buf.len());
            return Ok(None);
        }
        buf.advance(LENGTH_BYTES);
        traffic::received(LENGTH_BYTES + length);
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
        buf.reserve(LENGTH_BYTES + length);
        traffic::sent(LENGTH_BYTES + length);
        buf.put_slice(&(length as u32).to_be_bytes());
        frame
            .encode(buf)
            .expect("the buffer has room for the encoded length");
        Ok(())
    }
}
