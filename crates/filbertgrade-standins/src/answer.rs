//! The answer that a back end derives from a request, so that a caller can verify that it got the
//! whole answer to its own request.
//!
//! With `d = SHA-256(request id, one zero byte, SHA-256(request body))`, the answer is the
//! lower-case hexadecimal form of `d` (64 bytes), followed by the 8-byte little-endian words
//! `splitmix64(s + i * GAMMA)` for `i = 0, 1, ...`, where `s` is the first 8 bytes of `d` in
//! little-endian order. The sequence is truncated to the size that the request asks for, by
//! default 64 bytes. Each word depends on its position, so parts that are missing, repeated or in
//! the wrong order show.

use std::fmt::Write as _;

use bytes::Bytes;
use sha2::{Digest, Sha256};

/// Answer size in bytes when the request carries no `bytes` query parameter.
pub const DEFAULT_ANSWER_BYTES: usize = HEX_BYTES;

const HEX_BYTES: usize = 64;

/// Increment of the splitmix64 generator.
const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the answer of `bytes` bytes to a request with this id and body.
#[must_use]
pub fn expected_answer(request_id: &str, body: &[u8], bytes: usize) -> Bytes {
    Answer::new(request_id, &Sha256::digest(body).into()).range(0, bytes)
}

/// The endless sequence of answer bytes for one request.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    hex: String,
    seed: u64,
}

impl Answer {
    pub(crate) fn new(request_id: &str, body_digest: &[u8; 32]) -> Answer {
        let mut hasher = Sha256::new();
        hasher.update(request_id.as_bytes());
        hasher.update([0]);
        hasher.update(body_digest);
        let digest: [u8; 32] = hasher.finalize().into();
        let mut hex = String::with_capacity(HEX_BYTES);
        for byte in digest {
            let _ = write!(hex, "{byte:02x}");
        }
        let (seed, _) = digest
            .split_first_chunk()
            .expect("a digest is longer than 8 bytes");
        Answer {
            hex,
            seed: u64::from_le_bytes(*seed),
        }
    }

    /// Returns the bytes `start..start + len`.
    pub(crate) fn range(&self, start: usize, len: usize) -> Bytes {
        let end = start + len;
        let mut out = Vec::with_capacity(len + 8);
        out.extend_from_slice(&self.hex.as_bytes()[start.min(HEX_BYTES)..end.min(HEX_BYTES)]);
        if end > HEX_BYTES {
            let offset = start.saturating_sub(HEX_BYTES);
            let skip = offset % 8;
            let head = out.len();
            for word in offset / 8..(end - HEX_BYTES).div_ceil(8) {
                out.extend_from_slice(&self.word(word as u64).to_le_bytes());
            }
            out.drain(head..head + skip);
            out.truncate(len);
        }
        out.into()
    }

    fn word(&self, index: u64) -> u64 {
        let mut z = self.seed.wrapping_add(index.wrapping_mul(GAMMA));
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
