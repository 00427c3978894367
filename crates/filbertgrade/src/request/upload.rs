//! A caller's body on its way to a backend server.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use crate::sync::lock;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

/// Largest body in bytes that is kept, so that it can be sent again.
pub const KEPT_BYTES: usize = 64 * 1024;

/// Longest time without a byte of a body that a caller is sending. A slower
/// caller would hold a slot for nothing.
pub const BODY_SILENCE: Duration = Duration::from_secs(10);

/// What went wrong with a caller's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UploadFault {
    /// No byte came for [`BODY_SILENCE`].
    #[error("the caller's body comes too slowly")]
    Slow,
    /// The body ended before its end.
    #[error("the caller's body is cut")]
    Cut,
    /// Another attempt reads the body now.
    #[error("the attempt is over")]
    Superseded,
}

/// The body of one request, for one attempt after the other.
#[derive(Debug)]
pub struct Upload<B> {
    source: Arc<Mutex<Source<B>>>,
}

#[derive(Debug)]
struct Source<B> {
    body: B,
    /// The body from its start, while it is replayable.
    kept: Vec<Bytes>,
    kept_bytes: usize,
    /// The kept part starts at the start of the body.
    replayable: bool,
    ended: bool,
    /// Announced size in bytes.
    size: Option<u64>,
    fault: Option<UploadFault>,
    /// Only the attempt of this number may read.
    attempt: u64,
    silence: Option<Pin<Box<Sleep>>>,
}

/// The body as one attempt reads it.
#[derive(Debug)]
pub struct UploadBody<B> {
    source: Arc<Mutex<Source<B>>>,
    attempt: u64,
    /// Kept frames that were read.
    frames: usize,
    bytes: u64,
    done: Arc<AtomicBool>,
}

impl<B> Upload<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    /// Takes over the body of a request.
    pub fn new(body: B) -> Self {
        let ended = body.is_end_stream();
        let size = body.size_hint().exact();
        let source = Source {
            body,
            kept: Vec::new(),
            kept_bytes: 0,
            replayable: true,
            ended,
            size,
            fault: None,
            attempt: 0,
            silence: None,
        };
        Self {
            source: Arc::new(Mutex::new(source)),
        }
    }

    /// The body is known to be small enough to be kept whole.
    #[must_use]
    pub fn is_small(&self) -> bool {
        let size = self.lock().size;
        size.is_some_and(|size| size <= KEPT_BYTES as u64)
    }

    /// Reads the whole body, and keeps it if it is small. A small body is read
    /// before the request takes a slot, so that a slow caller holds none.
    ///
    /// # Errors
    ///
    /// The caller was too slow or went away.
    pub async fn keep(&self) -> Result<(), UploadFault> {
        std::future::poll_fn(|cx| {
            let mut source = self.lock();
            while !source.ended {
                match ready!(source.poll_more(cx)) {
                    Some(Ok(_)) | None => {}
                    Some(Err(fault)) => return Poll::Ready(Err(fault)),
                }
            }
            Poll::Ready(Ok(()))
        })
        .await
    }

    /// The body from its start for a new attempt, and a flag that is set when
    /// its end was read. An older attempt can no longer read.
    #[must_use]
    pub fn body(&self) -> (UploadBody<B>, Arc<AtomicBool>) {
        let mut source = self.lock();
        source.attempt += 1;
        let done = Arc::new(AtomicBool::new(source.ended && source.kept.is_empty()));
        let body = UploadBody {
            source: Arc::clone(&self.source),
            attempt: source.attempt,
            frames: 0,
            bytes: 0,
            done: Arc::clone(&done),
        };
        (body, done)
    }

    /// The body can be sent again from its start.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        let source = self.lock();
        source.replayable && source.fault.is_none()
    }

    /// The whole body is here.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        let source = self.lock();
        source.replayable && source.ended
    }

    /// Nothing more comes from the caller.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        let source = self.lock();
        source.ended || source.fault.is_some()
    }

    /// What went wrong with the caller's side.
    #[must_use]
    pub fn fault(&self) -> Option<UploadFault> {
        self.lock().fault
    }

    fn lock(&self) -> MutexGuard<'_, Source<B>> {
        lock(&self.source)
    }
}

impl<B> Source<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    /// Reads the next data of the caller; `None` at the end. Trailers are left
    /// out, because they could carry a key.
    fn poll_more(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadFault>>> {
        if let Some(fault) = self.fault {
            return Poll::Ready(Some(Err(fault)));
        }
        loop {
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(frame) => frame,
                Poll::Pending => return self.poll_silence(cx),
            };
            self.silence = None;
            let data = match frame {
                None => {
                    self.ended = true;
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(self.fail(UploadFault::Cut)))),
                Some(Ok(frame)) => frame.into_data(),
            };
            self.ended = self.body.is_end_stream();
            if let Ok(data) = data {
                self.keep(&data);
                return Poll::Ready(Some(Ok(data)));
            }
        }
    }

    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadFault>>> {
        let silence = self
            .silence
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(BODY_SILENCE)));
        ready!(silence.as_mut().poll(cx));
        Poll::Ready(Some(Err(self.fail(UploadFault::Slow))))
    }

    fn fail(&mut self, fault: UploadFault) -> UploadFault {
        self.fault = Some(fault);
        fault
    }

    fn keep(&mut self, data: &Bytes) {
        if !self.replayable {
            return;
        }
        self.kept_bytes += data.len();
        if self.kept_bytes <= KEPT_BYTES {
            self.kept.push(data.clone());
        } else {
            self.replayable = false;
            self.kept = Vec::new();
        }
    }
}

impl<B> Body for UploadBody<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = UploadFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadFault>>> {
        let this = &mut *self;
        let mut source = lock(&this.source);
        if source.attempt != this.attempt {
            return Poll::Ready(Some(Err(UploadFault::Superseded)));
        }
        let kept = source.kept.get(this.frames).cloned();
        let data = match kept {
            Some(data) => data,
            None if source.ended => {
                this.done.store(true, Ordering::Release);
                return Poll::Ready(None);
            }
            None => match ready!(source.poll_more(cx)) {
                Some(Ok(data)) => data,
                Some(Err(fault)) => return Poll::Ready(Some(Err(fault))),
                None => {
                    this.done.store(true, Ordering::Release);
                    return Poll::Ready(None);
                }
            },
        };
        this.frames += 1;
        this.bytes += data.len() as u64;
        if source.ended && this.frames >= source.kept.len() {
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
