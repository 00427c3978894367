//! One connection to a backend server, with its state as a type.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::counting::{ByteCount, CountingIo};

/// How long a whole answer proves that a connection is alive. It bounds how
/// old the proof under a non-idempotent request may be.
pub const MAX_VERIFIED_AGE: Duration = Duration::from_secs(1);

/// Time for an answered connection to become ready for the next request,
/// which takes one turn of its task.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest time to wait for a backend server to close its end. Two regions
/// are 55 ms apart each way.
const LINGER: Duration = Duration::from_millis(150);

/// Largest head of an answer in bytes.
const MAX_ANSWER_HEAD: usize = 64 * 1024;

/// A request's body as a connection takes it.
pub type RequestBody = UnsyncBoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// No request runs, and the last proof of life may be old.
#[derive(Debug)]
pub struct Idle {
    proven_at: Instant,
    /// How long after the proof it may still be used.
    idle_limit: Duration,
}

/// A request runs.
#[derive(Debug)]
pub struct Busy {
    /// Bytes that had left before this request.
    mark: u64,
    reused: bool,
}

/// No request runs, and the connection is new or just delivered a whole
/// answer.
#[derive(Debug)]
pub struct Verified {
    at: Instant,
    reused: bool,
}

/// A connection in state `S`. Dropping it closes it, in every state, so that
/// an answer that arrives late reaches nobody.
#[derive(Debug)]
pub struct Connection<S> {
    endpoint: SocketAddr,
    sender: SendRequest<RequestBody>,
    driver: Driver,
    count: ByteCount,
    state: S,
}

/// The task that moves a connection's bytes. It closes the connection when
/// this is dropped.
#[derive(Debug)]
struct Driver {
    /// Dropped to close the connection.
    close: Option<oneshot::Sender<()>>,
    /// Resolves when no further byte can leave.
    stopped: oneshot::Receiver<()>,
}

impl Connection<Verified> {
    /// Opens a connection. `held` is dropped after the connection is closed.
    ///
    /// # Errors
    ///
    /// Fails when the backend server does not accept it.
    pub async fn open<H: Send + 'static>(
        endpoint: SocketAddr,
        local: IpAddr,
        held: H,
    ) -> std::io::Result<Self> {
        let stream = super::connect(endpoint, Some(local)).await?;
        let io = CountingIo::new(stream);
        let count = io.count();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_ANSWER_HEAD)
            .handshake(TokioIo::new(io))
            .await
            .map_err(std::io::Error::other)?;
        let driver = Driver::spawn(connection, held);
        Ok(Self {
            endpoint,
            sender,
            driver,
            count,
            state: Verified {
                at: Instant::now(),
                reused: false,
            },
        })
    }

    /// Begins any request.
    #[must_use]
    pub fn start(self) -> Connection<Busy> {
        let state = Busy {
            mark: self.count.sent(),
            reused: self.state.reused,
        };
        self.with(state)
    }

    /// Puts the connection to rest, for `idle_limit` at most.
    #[must_use]
    pub fn rest(self, idle_limit: Duration) -> Connection<Idle> {
        let proven_at = self.state.at;
        self.with(Idle {
            proven_at,
            idle_limit,
        })
    }
}

impl Connection<Idle> {
    /// The connection, if its last proof of life is at most `max_verified_age` old.
    ///
    /// # Errors
    ///
    /// Gives it back when the proof is too old.
    pub fn proven(
        self,
        now: Instant,
        max_verified_age: Duration,
    ) -> Result<Connection<Verified>, Self> {
        let at = self.state.proven_at;
        if now.saturating_duration_since(at) <= max_verified_age {
            Ok(self.with(Verified { at, reused: true }))
        } else {
            Err(self)
        }
    }

    /// Begins a request that may be sent again if the connection turns out to
    /// be dead.
    #[must_use]
    pub fn start_idempotent(self) -> Connection<Busy> {
        let state = Busy {
            mark: self.count.sent(),
            reused: true,
        };
        self.with(state)
    }

    /// The connection takes another request. False when it was closed.
    pub async fn is_ready(&mut self) -> bool {
        let ready = tokio::time::timeout(READY_TIMEOUT, self.sender.ready());
        matches!(ready.await, Ok(Ok(())))
    }

    /// Time since the last proof of life.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.state.proven_at)
    }

    /// The connection has waited longer than it may.
    #[must_use]
    pub fn is_expired(&self, now: Instant) -> bool {
        self.age(now) > self.state.idle_limit
    }

    /// Closes the connection, and returns when it is closed.
    pub async fn close(mut self) {
        self.driver.stop().await;
    }

    /// The backend server closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Connection<Busy> {
    /// Sends the request and waits for the headers of its answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before. [`Connection::close`] then tells
    /// whether any byte left.
    pub async fn send(
        &mut self,
        req: Request<RequestBody>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(req).await
    }

    /// At least one byte of the request left so far.
    #[must_use]
    pub fn has_sent_bytes(&self) -> bool {
        self.count.sent() > self.state.mark
    }

    /// The connection had carried another request before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.state.reused
    }

    /// The whole answer arrived, which proves the connection alive.
    #[must_use]
    pub fn finish(self, now: Instant) -> Connection<Verified> {
        self.with(Verified {
            at: now,
            reused: true,
        })
    }

    /// Closes the connection, and tells whether any byte of the request left.
    pub async fn close(mut self) -> bool {
        // Only when the task has ended can no further byte leave.
        self.driver.stop().await;
        self.has_sent_bytes()
    }
}

impl<S> Connection<S> {
    /// Address of the backend server.
    #[must_use]
    pub fn endpoint(&self) -> SocketAddr {
        self.endpoint
    }

    fn with<T>(self, state: T) -> Connection<T> {
        Connection {
            endpoint: self.endpoint,
            sender: self.sender,
            driver: self.driver,
            count: self.count,
            state,
        }
    }
}

impl Driver {
    fn spawn<H: Send + 'static>(
        mut connection: http1::Connection<TokioIo<CountingIo<TcpStream>>, RequestBody>,
        held: H,
    ) -> Self {
        let (close, closing) = oneshot::channel::<()>();
        let (stopping, stopped) = oneshot::channel::<()>();
        tokio::spawn(async move {
            let _held = held;
            tokio::select! {
                biased;
                _ = closing => {}
                _ = &mut connection => {}
            }
            let io = connection.into_parts().io.into_inner();
            drop(stopping);
            linger(io).await;
        });
        Self {
            close: Some(close),
            stopped,
        }
    }

    async fn stop(&mut self) {
        self.close = None;
        // Only the end of the sender is ever told.
        let _ = (&mut self.stopped).await;
    }
}

/// Closes a connection, and waits until the backend server did the same,
/// because it counts the connection until then.
async fn linger(mut io: CountingIo<TcpStream>) {
    let closing = async {
        io.shutdown().await?;
        let mut rest = [0_u8; 4096];
        while io.read(&mut rest).await? > 0 {}
        Ok::<_, std::io::Error>(())
    };
    let _ = tokio::time::timeout(LINGER, closing).await;
}
