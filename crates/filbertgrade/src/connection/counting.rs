//! An I/O stream that counts its bytes in both directions. The bytes sent show
//! whether any part of a request left, those received whether the peer is
//! silent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Numbers of bytes that a connection has sent and received.
#[derive(Clone, Debug, Default)]
pub struct ByteCount {
    /// Bytes that the operating system has accepted for sending.
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

/// Wraps an I/O stream and counts the bytes written to it and read from it.
#[derive(Debug)]
pub struct CountingIo<T> {
    io: T,
    count: ByteCount,
}

impl ByteCount {
    /// Bytes sent since the connection was opened.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Acquire)
    }

    /// Bytes received since the connection was opened.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Acquire)
    }

    fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::AcqRel);
    }

    fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::AcqRel);
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
