//! A connection's I/O that notes which bytes really left.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that the operating system took from a connection.
#[derive(Clone, Debug, Default)]
pub struct ByteCount {
    sent: Arc<AtomicU64>,
}

/// I/O that counts the bytes that left.
#[derive(Debug)]
pub struct CountingIo<T> {
    io: T,
    count: ByteCount,
}

impl ByteCount {
    /// Bytes that left so far.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Acquire)
    }

    fn add(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::AcqRel);
    }
}

impl<T> CountingIo<T> {
    /// Watches `io`.
    pub fn new(io: T) -> Self {
        Self {
            io,
            count: ByteCount::default(),
        }
    }

    /// The count, which stays readable after the connection has ended.
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
