//! Response bodies that are a function of the request, so that a caller can verify that it
//! received the complete response to its own request.
//!
//! With `d = SHA-256(request id, one zero byte, SHA-256(request body))`, the body is the
//! lower-case hexadecimal form of `d` (64 bytes), followed by the 8-byte little-endian words
//! `splitmix64(s + i * GAMMA)` for `i = 0, 1, ...`, where `s` is the first 8 bytes of `d` in
//! little-endian order. The sequence is truncated to the requested size, by default 64 bytes. Each
//! word depends on its position, so missing, repeated or reordered parts are detected.

use std::fmt::Write as _;

use bytes::Bytes;
use sha2::{Digest, Sha256};

/// Size of the response body in bytes when the request has no `bytes` query parameter.
pub const DEFAULT_RESPONSE_BYTES: usize = HEX_BYTES;

/// Length in bytes of the hexadecimal digest at the start of the body.
const HEX_BYTES: usize = 64;

/// Increment of the splitmix64 generator.
const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the response body of `bytes` bytes for a request with this id and body.
#[must_use]
pub fn expected_response(request_id: &str, body: &[u8], bytes: usize) -> Bytes {
    ResponseBytes::new(request_id, &Sha256::digest(body).into()).range(0, bytes)
}

/// The unbounded sequence of response bytes for one request.
#[derive(Clone, Debug)]
pub(crate) struct ResponseBytes {
    /// Lower-case hexadecimal form of the digest.
    hex: String,
    /// First 8 bytes of the digest, the start value of the generator.
    seed: u64,
}

impl ResponseBytes {
    pub(crate) fn new(request_id: &str, body_digest: &[u8; 32]) -> ResponseBytes {
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
        ResponseBytes {
            hex,
            seed: u64::from_le_bytes(*seed),
        }
    }

    /// Returns the bytes of the sequence in `start..start + len`.
    pub(crate) fn range(&self, start: usize, len: usize) -> Bytes {
        let end = start + len;
        let mut out = Vec::with_capacity(len + 8);
        out.extend_from_slice(&self.hex.as_bytes()[start.min(HEX_BYTES)..end.min(HEX_BYTES)]);
        if end > HEX_BYTES {
            let offset = start.saturating_sub(HEX_BYTES);
            let skip = offset % 8;
            let first_word_at = out.len();
            for word in offset / 8..(end - HEX_BYTES).div_ceil(8) {
                out.extend_from_slice(&self.word(word as u64).to_le_bytes());
            }
            out.drain(first_word_at..first_word_at + skip);
            out.truncate(len);
        }
        out.into()
    }

    /// Returns the word with this index after the hexadecimal digest.
    fn word(&self, index: u64) -> u64 {
        let mut z = self.seed.wrapping_add(index.wrapping_mul(GAMMA));
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
