//! A caller's connection: it ends when the caller stops reading, and tells
//! when it was last used.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Longest time in which a caller takes no byte of what is written to it. A
/// caller that vanished would otherwise hold its connection for many minutes.
const WRITE_STALL: Duration = Duration::from_secs(30);

/// When a caller's connection was last used.
#[derive(Clone, Debug)]
pub(crate) struct Activity {
    start: Instant,
    /// Milliseconds from `start` to the last byte in either direction.
    last_ms: Arc<AtomicU64>,
}

/// I/O of a caller's connection.
#[derive(Debug)]
pub(crate) struct CallerIo {
    stream: TcpStream,
    activity: Activity,
    /// Runs while a write waits.
    stall: Option<Pin<Box<Sleep>>>,
}

impl Activity {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            last_ms: Arc::default(),
        }
    }

    fn note(&self) {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_ms.store(ms, Ordering::Relaxed);
    }

    /// Waits until the connection was not used for `time`.
    pub(crate) async fn quiet_for(&self, time: Duration) {
        loop {
            let last = Duration::from_millis(self.last_ms.load(Ordering::Relaxed));
            let quiet = self.start.elapsed().saturating_sub(last);
            if quiet >= time {
                return;
            }
            tokio::time::sleep(time - quiet).await;
        }
    }
}

impl CallerIo {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            activity: Activity::new(),
            stall: None,
        }
    }

    /// When the connection was last used.
    pub(crate) fn activity(&self) -> Activity {
        self.activity.clone()
    }

    fn bound<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall = None;
            self.activity.note();
            return written;
        }
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(WRITE_STALL)));
        ready!(stall.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > filled {
            self.activity.note();
        }
        read
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.bound(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.bound(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
