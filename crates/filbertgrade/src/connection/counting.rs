//! An I/O stream that counts the bytes it has sent, which shows whether any
//! byte of a request was sent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes of a connection that the operating system has accepted.
#[derive(Clone, Debug, Default)]
pub struct ByteCount {
    sent: Arc<AtomicU64>,
}

/// Wraps an I/O stream and counts the bytes written to it.
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

    fn add(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::AcqRel);
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
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountingIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.count.add(bytes);
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
        self.count.add(bytes);
        Poll::Ready(Ok(bytes))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
