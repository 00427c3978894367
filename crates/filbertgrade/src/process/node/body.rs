//! Buffering of bodies in memory, so that an attempt can be repeated.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body_util::{BodyExt, BodyStream, Full, Limited, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};

use crate::connection::RequestBody;

/// Longest request body that is buffered. A longer one is streamed to the
/// backend server and cannot be sent again.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Request bodies may take the memory limit of the process divided by this.
const MEMORY_DIVISOR: u64 = 4;

/// Memory for request bodies if the settings have no memory limit.
const DEFAULT_BUDGET_BYTES: u64 = 64 * 1024 * 1024;

/// Longest time for reading the rest of a body whose request was refused.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Most bytes of such a rest that are read. After that the connection is closed,
/// which may lose the refusal.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;

/// Limits the memory that all request bodies take together.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    available: Arc<AtomicU64>,
}

/// Memory that is reserved for one body, and released on drop.
#[derive(Debug)]
struct Reservation {
    bytes: u64,
    available: Arc<AtomicU64>,
}

/// A body that has been read up to a limit.
#[derive(Debug)]
pub(crate) enum BufferedBody {
    /// The whole body.
    Complete(Bytes),
    /// The start of a body that exceeds the limit, and the remaining stream.
    Partial(Bytes, Incoming),
}

/// The body of a caller's request.
#[derive(Debug)]
pub(crate) struct Upload {
    /// `None` once a partly buffered body was taken for an attempt.
    body: Option<BufferedBody>,
    /// Longest body that is forwarded. A longer one is cut, so that the endpoint
    /// does not take it for complete.
    max_bytes: u64,
    /// Reserved until the upload is dropped; `None` for an empty body.
    _reservation: Option<Reservation>,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    /// The body exceeds the configured limit.
    #[error("the body exceeds the length limit")]
    TooLarge,
    /// The memory for request bodies is in use by other requests.
    #[error("the memory for request bodies is in use by other requests")]
    NoMemory,
    /// The caller's stream failed before the end of the body.
    #[error("the body ended early")]
    Truncated,
}

impl BodyBudget {
    /// Creates the budget for a process with this memory limit, if any.
    pub(crate) fn new(memory_bytes: Option<u64>) -> Self {
        let bytes = memory_bytes.map_or(DEFAULT_BUDGET_BYTES, |bytes| bytes / MEMORY_DIVISOR);
        Self {
            available: Arc::new(AtomicU64::new(bytes)),
        }
    }

    /// Number of bytes that are not reserved.
    pub(crate) fn available(&self) -> u64 {
        self.available.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: u64) -> Option<Reservation> {
        self.available
            .try_update(Ordering::AcqRel, Ordering::Acquire, |available| {
                available.checked_sub(bytes)
            })
            .ok()?;
        let available = Arc::clone(&self.available);
        Some(Reservation { bytes, available })
    }

    /// Reads the body of a caller's request up to [`MAX_BUFFERED_BYTES`], for
    /// which it reserves memory. `max_bytes` limits the length of the body,
    /// whether the caller announces it or sends the body in chunks.
    pub(crate) async fn read(&self, body: Incoming, max_bytes: u64) -> Result<Upload, BodyError> {
        let hint = body.size_hint();
        if hint.lower() > max_bytes {
            discard(body);
            return Err(BodyError::TooLarge);
        }
        if body.is_end_stream() {
            return Ok(Upload {
                body: Some(BufferedBody::Complete(Bytes::new())),
                max_bytes,
                _reservation: None,
            });
        }
        let buffer_bytes = hint.upper().map_or(MAX_BUFFERED_BYTES as u64, |n| {
            n.min(MAX_BUFFERED_BYTES as u64)
        });
        let Some(reservation) = self.reserve(buffer_bytes) else {
            discard(body);
            return Err(BodyError::NoMemory);
        };
        let limit = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let body = buffer_body(body, limit.min(MAX_BUFFERED_BYTES))
            .await
            .map_err(|_| BodyError::Truncated)?;
        let body = match body {
            BufferedBody::Partial(_, rest) if limit <= MAX_BUFFERED_BYTES => {
                discard(rest);
                return Err(BodyError::TooLarge);
            }
            body => body,
        };
        Ok(Upload {
            body: Some(body),
            max_bytes,
            _reservation: Some(reservation),
        })
    }
}

/// Reads and discards the rest of the body of a refused request, in a task of its
/// own. If it were not read, the connection would be reset, and a caller that is
/// still sending would lose the refusal.
pub(crate) fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let read = async {
            let mut discarded = 0;
            while let Some(Ok(frame)) = body.frame().await {
                discarded += frame.data_ref().map_or(0, Bytes::len);
                if discarded > MAX_DISCARDED_BYTES {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
    });
}

/// Reads a body until it is complete or more than `limit` bytes have arrived.
pub(crate) async fn buffer_body(
    mut body: Incoming,
    limit: usize,
) -> Result<BufferedBody, hyper::Error> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers are dropped, since they belong to one connection.
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > limit {
            return Ok(BufferedBody::Partial(bytes.freeze(), body));
        }
    }
    Ok(BufferedBody::Complete(bytes.freeze()))
}

impl Upload {
    /// Whether the body is buffered completely, so that it can be sent in any
    /// number of attempts.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self.body, Some(BufferedBody::Complete(_)))
    }

    /// Returns the body for one attempt; `None` if it was taken before and
    /// cannot be sent again.
    pub(crate) fn take(&mut self) -> Option<RequestBody> {
        match self.body.take()? {
            BufferedBody::Complete(bytes) => {
                self.body = Some(BufferedBody::Complete(bytes.clone()));
                let body = Full::new(bytes).map_err(|never| match never {});
                Some(body.boxed_unsync())
            }
            BufferedBody::Partial(bytes, remaining) => {
                let allowed = self.max_bytes.saturating_sub(bytes.len() as u64);
                let allowed = usize::try_from(allowed).unwrap_or(usize::MAX);
                let start = futures::stream::iter([Ok(Frame::data(bytes))]);
                let remaining = BodyStream::new(Limited::new(remaining, allowed));
                Some(StreamBody::new(start.chain(remaining)).boxed_unsync())
            }
        }
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Some(BufferedBody::Partial(_, rest)) = self.body.take() {
            discard(rest);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.available.fetch_add(self.bytes, Ordering::AcqRel);
    }
}
