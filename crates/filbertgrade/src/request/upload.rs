//! Forwarding of a caller's request body to a backend server.
//!
//! A small body is buffered while it is read, so that a retry can send it
//! again.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use crate::sync::lock;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

/// Largest body in bytes that is buffered, so that a retry can send it again.
pub const MAX_REPLAYABLE_BYTES: usize = 64 * 1024;

/// Longest time without data from a caller that is sending a body. A slower
/// caller would occupy a slot that other requests need.
pub const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a caller's body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UploadError {
    /// No data arrived for [`BODY_IDLE_TIMEOUT`].
    #[error("the caller sends the request body too slowly")]
    Slow,
    /// Reading failed before the whole body had arrived.
    #[error("the request body ended early")]
    Truncated,
    /// A newer attempt reads the body now.
    #[error("the request body is read by a newer attempt")]
    Superseded,
}

/// The body of one request, which one attempt at a time reads.
#[derive(Debug)]
pub struct Upload<B> {
    source: Arc<Mutex<Source<B>>>,
}

/// The caller's body, shared by the attempts that read it.
#[derive(Debug)]
struct Source<B> {
    body: B,
    /// Everything read so far while `replayable` is true, otherwise empty.
    buffered: Vec<Bytes>,
    buffered_bytes: usize,
    /// `buffered` holds the body from its start.
    replayable: bool,
    ended: bool,
    /// Exact size in bytes, if the caller announced it.
    size: Option<u64>,
    error: Option<UploadError>,
    /// Number of the newest attempt, the only one that may read.
    attempt: u64,
    /// Runs while the source waits for data from the caller.
    idle_timer: Option<Pin<Box<Sleep>>>,
}

/// The body as read by one attempt, from the start.
#[derive(Debug)]
pub struct UploadBody<B> {
    source: Arc<Mutex<Source<B>>>,
    attempt: u64,
    /// Frames read by this attempt; an index into the buffered frames.
    frames: usize,
    /// Bytes read by this attempt.
    bytes: u64,
    /// Set once this attempt has read the end of the body.
    done: Arc<AtomicBool>,
}

impl<B> Upload<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    /// Creates the upload of `body`.
    pub fn new(body: B) -> Self {
        let ended = body.is_end_stream();
        let size = body.size_hint().exact();
        let source = Source {
            body,
            buffered: Vec::new(),
            buffered_bytes: 0,
            replayable: true,
            ended,
            size,
            error: None,
            attempt: 0,
            idle_timer: None,
        };
        Self {
            source: Arc::new(Mutex::new(source)),
        }
    }

    /// Whether the announced size is at most [`MAX_REPLAYABLE_BYTES`]; false
    /// when the caller announced no size.
    #[must_use]
    pub fn fits_buffer(&self) -> bool {
        let size = self.lock().size;
        size.is_some_and(|size| size <= MAX_REPLAYABLE_BYTES as u64)
    }

    /// Reads the whole body, and keeps it buffered if it has at most
    /// [`MAX_REPLAYABLE_BYTES`] bytes. A small body is read before the request
    /// takes a slot, so that a slow caller occupies none.
    ///
    /// # Errors
    ///
    /// Fails when the caller is too slow or disconnects.
    pub async fn buffer(&self) -> Result<(), UploadError> {
        std::future::poll_fn(|cx| {
            let mut source = self.lock();
            while !source.ended {
                match ready!(source.poll_more(cx)) {
                    Some(Ok(_)) | None => {}
                    Some(Err(error)) => return Poll::Ready(Err(error)),
                }
            }
            Poll::Ready(Ok(()))
        })
        .await
    }

    /// Returns the body from its start for a new attempt, and a flag that is
    /// set once the attempt has read its end. Older attempts then fail with
    /// [`UploadError::Superseded`] when they read.
    #[must_use]
    pub fn body(&self) -> (UploadBody<B>, Arc<AtomicBool>) {
        let mut source = self.lock();
        source.attempt += 1;
        let done = Arc::new(AtomicBool::new(source.ended && source.buffered.is_empty()));
        let body = UploadBody {
            source: Arc::clone(&self.source),
            attempt: source.attempt,
            frames: 0,
            bytes: 0,
            done: Arc::clone(&done),
        };
        (body, done)
    }

    /// Whether a new attempt can send the body from its start.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        let source = self.lock();
        source.replayable && source.error.is_none()
    }

    /// Whether the whole body has arrived and is buffered.
    #[must_use]
    pub fn is_buffered(&self) -> bool {
        let source = self.lock();
        source.replayable && source.ended
    }

    /// Whether nothing more will be read from the caller, because the body
    /// ended or reading it failed.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        let source = self.lock();
        source.ended || source.error.is_some()
    }

    /// Why reading from the caller failed, if it did.
    #[must_use]
    pub fn error(&self) -> Option<UploadError> {
        self.lock().error
    }

    fn lock(&self) -> MutexGuard<'_, Source<B>> {
        lock(&self.source)
    }
}

impl<B> Source<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    /// Reads the next data from the caller; `None` at the end. Trailers are
    /// dropped, because they could contain an API key.
    fn poll_more(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        if let Some(error) = self.error {
            return Poll::Ready(Some(Err(error)));
        }
        loop {
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(frame) => frame,
                Poll::Pending => return self.poll_idle_timer(cx),
            };
            self.idle_timer = None;
            let data = match frame {
                None => {
                    self.ended = true;
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(self.fail(UploadError::Truncated)))),
                Some(Ok(frame)) => frame.into_data(),
            };
            self.ended = self.body.is_end_stream();
            if let Ok(data) = data {
                self.push_buffered(&data);
                return Poll::Ready(Some(Ok(data)));
            }
        }
    }

    fn poll_idle_timer(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, UploadError>>> {
        let timer = self
            .idle_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(BODY_IDLE_TIMEOUT)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Some(Err(self.fail(UploadError::Slow))))
    }

    /// Records `error`, which every later read returns.
    fn fail(&mut self, error: UploadError) -> UploadError {
        self.error = Some(error);
        error
    }

    /// Buffers `data`, or drops the buffer for good once the body is too large.
    fn push_buffered(&mut self, data: &Bytes) {
        if !self.replayable {
            return;
        }
        self.buffered_bytes += data.len();
        if self.buffered_bytes <= MAX_REPLAYABLE_BYTES {
            self.buffered.push(data.clone());
        } else {
            self.replayable = false;
            self.buffered = Vec::new();
        }
    }
}

impl<B> Body for UploadBody<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = UploadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        let this = &mut *self;
        let mut source = lock(&this.source);
        if source.attempt != this.attempt {
            return Poll::Ready(Some(Err(UploadError::Superseded)));
        }
        let buffered = source.buffered.get(this.frames).cloned();
        let data = match buffered {
            Some(data) => data,
            None if source.ended => {
                this.done.store(true, Ordering::Release);
                return Poll::Ready(None);
            }
            None => match ready!(source.poll_more(cx)) {
                Some(Ok(data)) => data,
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                None => {
                    this.done.store(true, Ordering::Release);
                    return Poll::Ready(None);
                }
            },
        };
        this.frames += 1;
        this.bytes += data.len() as u64;
        if source.ended && this.frames >= source.buffered.len() {
            this.done.store(true, Ordering::Release);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.done.load(Ordering::Acquire)
    }

    fn size_hint(&self) -> SizeHint {
        let source = lock(&self.source);
        match source.size {
            Some(size) => SizeHint::with_exact(size.saturating_sub(self.bytes)),
            None => SizeHint::default(),
        }
    }
}
