//! Bodies that are held in memory, so that they can be sent again.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};

use crate::connection::RequestBody;

/// Longest body that is held. Longer ones are passed on as they come and
/// cannot be sent again.
const HELD_BYTES: usize = 1024 * 1024;

/// Part of the memory of the process that bodies may take.
const MEMORY_PART: u64 = 4;

/// Memory for bodies when the settings tell no limit.
const DEFAULT_BYTES: u64 = 64 * 1024 * 1024;

/// Bounds the memory that bodies take together.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    left: Arc<AtomicU64>,
}

/// Memory of one body, given back when dropped.
#[derive(Debug)]
struct Reserved {
    bytes: u64,
    left: Arc<AtomicU64>,
}

/// A body: held as a whole, or only its beginning.
#[derive(Debug)]
pub(crate) enum Held {
    /// The whole body.
    Whole(Bytes),
    /// What came so far, and the rest.
    Begun(Bytes, Incoming),
}

/// A caller's body on its way to a backend server.
#[derive(Debug)]
pub(crate) struct Upload {
    held: Option<Held>,
    /// Invariant: dropped with the body.
    _memory: Option<Reserved>,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyFault {
    /// It is larger than allowed.
    #[error("the body is larger than allowed")]
    TooLarge,
    /// Other bodies take all memory.
    #[error("other bodies take all memory")]
    NoMemory,
    /// It ended early.
    #[error("the body ended early")]
    Cut,
}

impl BodyBudget {
    pub(crate) fn new(memory_bytes: Option<u64>) -> Self {
        let bytes = memory_bytes.map_or(DEFAULT_BYTES, |bytes| bytes / MEMORY_PART);
        Self {
            left: Arc::new(AtomicU64::new(bytes)),
        }
    }

    /// Bytes that are free.
    pub(crate) fn left(&self) -> u64 {
        self.left.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: u64) -> Option<Reserved> {
        self.left
            .try_update(Ordering::AcqRel, Ordering::Acquire, |left| {
                left.checked_sub(bytes)
            })
            .ok()?;
        let left = Arc::clone(&self.left);
        Some(Reserved { bytes, left })
    }

    /// Reads a caller's body, up to the length that is held.
    pub(crate) async fn read(&self, body: Incoming, most_bytes: u64) -> Result<Upload, BodyFault> {
        let hint = body.size_hint();
        if hint.lower() > most_bytes {
            return Err(BodyFault::TooLarge);
        }
        if body.is_end_stream() {
            return Ok(Upload {
                held: Some(Held::Whole(Bytes::new())),
                _memory: None,
            });
        }
        let held = hint
            .upper()
            .map_or(HELD_BYTES as u64, |n| n.min(HELD_BYTES as u64));
        let memory = self.reserve(held).ok_or(BodyFault::NoMemory)?;
        let held = hold(body, HELD_BYTES).await.map_err(|_| BodyFault::Cut)?;
        Ok(Upload {
            held: Some(held),
            _memory: Some(memory),
        })
    }
}

/// Reads a body up to `most` bytes.
pub(crate) async fn hold(mut body: Incoming, most: usize) -> Result<Held, hyper::Error> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers concern one connection only.
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > most {
            return Ok(Held::Begun(bytes.freeze(), body));
        }
    }
    Ok(Held::Whole(bytes.freeze()))
}

impl Upload {
    /// It can be sent again.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self.held, Some(Held::Whole(_)))
    }

    /// The body for one attempt; `None` when it was sent and cannot be sent
    /// again.
    pub(crate) fn take(&mut self) -> Option<RequestBody> {
        match self.held.take()? {
            Held::Whole(bytes) => {
                self.held = Some(Held::Whole(bytes.clone()));
                let body = Full::new(bytes).map_err(|never| match never {});
                Some(body.boxed_unsync())
            }
            Held::Begun(bytes, rest) => {
                let first = futures::stream::iter([Ok(Frame::data(bytes))]);
                let rest =
                    http_body_util::BodyStream::new(rest).map(|frame| frame.map_err(Into::into));
                Some(StreamBody::new(first.chain(rest)).boxed_unsync())
            }
        }
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.left.fetch_add(self.bytes, Ordering::AcqRel);
    }
}
