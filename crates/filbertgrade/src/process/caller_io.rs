//! I/O of a caller's connection: fails when the caller stops reading, and
//! records when the connection was last used.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// How long a write may make no progress because the caller accepts no byte.
/// Without this limit, a caller that vanished would hold its connection for
/// many minutes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Records when a caller's connection was last used. Clones share the record.
#[derive(Clone, Debug)]
pub(crate) struct Activity {
    start: Instant,
    /// Milliseconds from `start` to the last byte in either direction.
    last_ms: Arc<AtomicU64>,
}

/// A caller's connection with a write timeout and a record of its activity.
#[derive(Debug)]
pub(crate) struct CallerIo {
    stream: TcpStream,
    activity: Activity,
    /// Write timeout; set while a write is pending.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl Activity {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            last_ms: Arc::default(),
        }
    }

    fn record_use(&self) {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_ms.store(ms, Ordering::Relaxed);
    }

    /// Waits until the connection has been idle for `time`.
    pub(crate) async fn wait_until_idle(&self, time: Duration) {
        loop {
            let last_use = Duration::from_millis(self.last_ms.load(Ordering::Relaxed));
            let idle = self.start.elapsed().saturating_sub(last_use);
            if idle >= time {
                return;
            }
            tokio::time::sleep(time - idle).await;
        }
    }
}

impl CallerIo {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            activity: Activity::new(),
            write_timer: None,
        }
    }

    /// Returns the activity record of this connection.
    pub(crate) fn activity(&self) -> Activity {
        self.activity.clone()
    }

    fn limit_write_time<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            self.activity.record_use();
            return written;
        }
        let write_timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(WRITE_TIMEOUT)));
        ready!(write_timer.as_mut().poll(cx));
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
            self.activity.record_use();
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
        self.limit_write_time(cx, written)
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
        self.limit_write_time(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
