//! An I/O stream that counts its bytes in both directions. The bytes sent show
//! whether any part of a request left, those received whether the peer is
//! silent. Reading fails beyond a limit, for a peer that sends without end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Numbers of bytes that a connection has sent and received.
#[derive(Clone, Debug, Default)]
pub struct ByteCount(Arc<Counters>);

#[derive(Debug)]
struct Counters {
    /// Bytes that the operating system has accepted for sending.
    sent: AtomicU64,
    received: AtomicU64,
    /// Reading fails once `received` has reached this number.
    receive_limit: AtomicU64,
}

/// Error of a read beyond the limit that [`ByteCount::limit_received`] set.
#[derive(Debug, thiserror::Error)]
#[error("the peer has sent more bytes than expected")]
struct ReceiveLimitError;

/// Wraps an I/O stream and counts the bytes written to it and read from it.
#[derive(Debug)]
pub struct CountingIo<T> {
    io: T,
    count: ByteCount,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
            receive_limit: AtomicU64::new(u64::MAX),
        }
    }
}

impl ByteCount {
    /// Lets reading fail after about `bytes` more bytes; `None` removes the
    /// limit. A read that is permitted is not cut, so that it may exceed the
    /// limit by the size of the reader's buffer.
    pub fn limit_received(&self, bytes: Option<u64>) {
        let limit = bytes.map_or(u64::MAX, |bytes| self.received().saturating_add(bytes));
        self.0.receive_limit.store(limit, Ordering::Release);
    }

    /// Bytes sent since the connection was opened.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.0.sent.load(Ordering::Acquire)
    }

    /// Bytes received since the connection was opened.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.0.received.load(Ordering::Acquire)
    }

    fn receive_limit(&self) -> u64 {
        self.0.receive_limit.load(Ordering::Acquire)
    }

    fn add_sent(&self, bytes: usize) {
        self.0.sent.fetch_add(bytes as u64, Ordering::AcqRel);
    }

    fn add_received(&self, bytes: usize) {
        self.0.received.fetch_add(bytes as u64, Ordering::AcqRel);
    }
}

impl<T> CountingIo<T> {
    /// Wraps `io`, with a count of zero.
    pub fn new(io: T) -> Self {
        Self {
            io,
            count: ByteCount::default(),
        }
    }

    /// A handle to the count, which stays readable after the connection has
    /// ended.
    #[must_use]
    pub fn count(&self) -> ByteCount {
        self.count.clone()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CountingIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.count.received() >= self.count.receive_limit() {
            let error = io::Error::new(io::ErrorKind::InvalidData, ReceiveLimitError);
            return Poll::Ready(Err(error));
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        self.count.add_received(buf.filled().len() - filled);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountingIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.count.add_sent(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, bufs))?;
        self.count.add_sent(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
