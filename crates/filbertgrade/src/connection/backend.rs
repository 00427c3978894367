//! One connection to a backend server, with its state as a type parameter.
//!
//! A connection counts as verified for a short time after it has delivered a
//! whole response. Non-idempotent requests are sent only on new or verified
//! connections, because a connection can fail without notice, and a request
//! that was sent on it cannot be repeated.

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
use super::response_id::{CarriedIds, ResponseId};

/// Default time for which a whole response verifies that a connection works.
/// After that, non-idempotent requests are not sent on the connection.
pub const MAX_VERIFIED_AGE: Duration = Duration::from_secs(1);

/// Time limit for a connection to become ready for the next request after a
/// response. Its task needs to be polled once for that.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest time to wait until a backend server closes its end of a connection.
/// The latency between two regions is 55 ms each way.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Most bytes that are read and discarded while a connection is being closed. A
/// backend server that sends without end would otherwise be read at full speed
/// for all of [`CLOSE_TIMEOUT`].
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// Largest size of a response's status line and headers in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Largest number of bytes that may arrive before the head of a response is
/// complete. More than one head, because informational responses may precede it
/// and the start of the body may arrive with it.
const MAX_BYTES_BEFORE_RESPONSE: u64 = 4 * MAX_RESPONSE_HEAD_BYTES as u64;

/// The type of request bodies on these connections.
pub type RequestBody = UnsyncBoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;

/// State of a connection in the pool: no request runs, and the last response
/// may be too old to verify the connection.
#[derive(Debug)]
pub struct Idle {
    verified_at: Instant,
    /// Time after `verified_at` for which the connection may be used.
    idle_limit: Duration,
}

/// State of a connection on which a request runs.
#[derive(Debug)]
pub struct Busy {
    /// Bytes sent on the connection before this request.
    sent_before: u64,
    reused: bool,
}

/// State of a connection on which no request runs, and which is new or has
/// recently delivered a whole response.
#[derive(Debug)]
pub struct Verified {
    at: Instant,
    reused: bool,
}

/// Result of [`Connection::verify`].
#[derive(Debug)]
pub enum Verification {
    /// The last response on the connection is recent enough.
    Verified(Connection<Verified>),
    /// It is not; the connection is unchanged.
    TooOld(Connection<Idle>),
}

/// A connection in state `S`. Dropping it closes it, in every state, so that
/// a late response cannot be taken for that of another request.
#[derive(Debug)]
pub struct Connection<S> {
    endpoint: SocketAddr,
    sender: SendRequest<RequestBody>,
    driver: Driver,
    count: ByteCount,
    /// Ids of the requests so far, including the running one.
    carried: CarriedIds,
    state: S,
}

/// Handle of the task that performs a connection's I/O. Dropping the handle
/// makes the task close the connection.
#[derive(Debug)]
struct Driver {
    /// Dropped to close the connection.
    close: Option<oneshot::Sender<()>>,
    /// Resolves once no further byte can be sent.
    stopped: oneshot::Receiver<()>,
}

impl Connection<Verified> {
    /// Opens a connection from the address `local`. `guard` is dropped after
    /// the connection is closed.
    ///
    /// # Errors
    ///
    /// Fails when the backend server does not accept the connection.
    pub async fn open<G: Send + 'static>(
        endpoint: SocketAddr,
        local: IpAddr,
        guard: G,
    ) -> std::io::Result<Self> {
        let stream = super::connect(endpoint, Some(local)).await?;
        let io = CountingIo::new(stream);
        let count = io.count();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(TokioIo::new(io))
            .await
            .map_err(std::io::Error::other)?;
        let driver = Driver::spawn(connection, guard);
        Ok(Self {
            endpoint,
            sender,
            driver,
            count,
            carried: CarriedIds::default(),
            state: Verified {
                at: Instant::now(),
                reused: false,
            },
        })
    }

    /// Starts a request, which need not be idempotent.
    #[must_use]
    pub fn start(mut self, id: Option<ResponseId>) -> Connection<Busy> {
        self.carried.add(id);
        let state = Busy {
            sent_before: self.count.sent(),
            reused: self.state.reused,
        };
        self.with(state)
    }

    /// Makes the connection idle. It expires after `idle_limit`.
    #[must_use]
    pub fn into_idle(self, idle_limit: Duration) -> Connection<Idle> {
        let verified_at = self.state.at;
        self.with(Idle {
            verified_at,
            idle_limit,
        })
    }
}

impl Connection<Idle> {
    /// Verifies the connection if its last response is at most `max_verified_age`
    /// old.
    #[must_use]
    pub fn verify(self, now: Instant, max_verified_age: Duration) -> Verification {
        let at = self.state.verified_at;
        if now.saturating_duration_since(at) <= max_verified_age {
            Verification::Verified(self.with(Verified { at, reused: true }))
        } else {
            Verification::TooOld(self)
        }
    }

    /// Starts a request that may be sent again if the connection turns out to
    /// be dead.
    #[must_use]
    pub fn start_idempotent(mut self, id: Option<ResponseId>) -> Connection<Busy> {
        self.carried.add(id);
        let state = Busy {
            sent_before: self.count.sent(),
            reused: true,
        };
        self.with(state)
    }

    /// Waits until the connection accepts another request. Returns false when
    /// it was closed, or is not ready in time.
    pub async fn is_ready(&mut self) -> bool {
        let ready = tokio::time::timeout(READY_TIMEOUT, self.sender.ready());
        matches!(ready.await, Ok(Ok(())))
    }

    /// Whether the response to a request with this id can be told from late copies of
    /// the responses to all earlier ones.
    #[must_use]
    pub fn can_tell(&self, id: Option<ResponseId>) -> bool {
        self.carried.can_tell(id)
    }

    /// Time since the connection was opened or delivered its last response.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.state.verified_at)
    }

    /// Whether the connection has exceeded its idle limit.
    #[must_use]
    pub fn is_expired(&self, now: Instant) -> bool {
        self.age(now) > self.state.idle_limit
    }

    /// Closes the connection, and returns once no more bytes can be sent.
    pub async fn close(mut self) {
        self.driver.stop().await;
    }

    /// Whether the connection has ended, for example because the backend server
    /// closed it.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Connection<Busy> {
    /// Sends the request and waits for the headers of its response.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends first, or more arrives than the head of a
    /// response can have. [`Connection::close`] then returns how many bytes of
    /// the request were sent.
    pub async fn send(
        &mut self,
        req: Request<RequestBody>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.count.limit_received(Some(MAX_BYTES_BEFORE_RESPONSE));
        let response = self.sender.send_request(req).await?;
        self.count.limit_received(None);
        Ok(response)
    }

    /// Number of bytes of the request that have been sent so far.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.count.sent() - self.state.sent_before
    }

    /// Whether the connection had served another request before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.state.reused
    }

    /// Ends the request after its whole response has arrived, which verifies
    /// that the connection works.
    #[must_use]
    pub fn finish(self, now: Instant) -> Connection<Verified> {
        self.with(Verified {
            at: now,
            reused: true,
        })
    }

    /// Closes the connection, and returns how many bytes of the request were
    /// sent.
    pub async fn close(mut self) -> u64 {
        // Bytes may still be sent until the task has released the socket.
        self.driver.stop().await;
        self.sent_bytes()
    }
}

impl<S> Connection<S> {
    /// Whether the connection must not carry another request.
    #[must_use]
    pub fn is_used_up(&self) -> bool {
        self.carried.is_full()
    }

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
            carried: self.carried,
            state,
        }
    }
}

impl Driver {
    fn spawn<G: Send + 'static>(
        mut connection: http1::Connection<TokioIo<CountingIo<TcpStream>>, RequestBody>,
        guard: G,
    ) -> Self {
        let (close, closing) = oneshot::channel::<()>();
        let (stopping, stopped) = oneshot::channel::<()>();
        tokio::spawn(async move {
            let _guard = guard;
            tokio::select! {
                biased;
                _ = closing => {}
                _ = &mut connection => {}
            }
            let io = connection.into_parts().io.into_inner();
            drop(stopping);
            close_gracefully(io).await;
        });
        Self {
            close: Some(close),
            stopped,
        }
    }

    async fn stop(&mut self) {
        self.close = None;
        // The task never sends a value; dropping its sender resolves this.
        let _ = (&mut self.stopped).await;
    }
}

/// Shuts down the sending side, and waits until the backend server closes its
/// side. Until then the backend server counts the connection against its limit,
/// so the pool must count it too.
async fn close_gracefully(mut io: CountingIo<TcpStream>) {
    let closing = async {
        io.shutdown().await?;
        let mut buf = [0_u8; 4096];
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES {
            let n = io.read(&mut buf).await?;
            if n == 0 {
                break;
            }
            discarded += n;
        }
        Ok::<_, std::io::Error>(())
    };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, closing).await;
}
