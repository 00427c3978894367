//! Concurrent calls and their replies over one framed connection.

use std::collections::HashMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio_util::codec::Framed;

use super::counting::{ByteCount, CountingIo};
use super::frame::{FrameCodec, FrameError};
use crate::logfmt;
use crate::sync::lock;
use crate::wire::{Body, Frame};

/// Capacity of the send queue of a connection. When a slow peer lets it fill
/// up, senders wait.
const SEND_QUEUE_FRAMES: usize = 256;

/// Longest time for which a reply that is due may keep arriving in parts.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// Why a call to a peer received no reply.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LinkError {
    /// The connection could not be opened.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The connection ended before the reply arrived.
    #[error("connection to {address} closed before the reply")]
    Closed {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// No reply arrived within the timeout.
    #[error("no reply from {address} within {} ms", timeout.as_millis())]
    TimedOut {
        /// Address of the peer.
        address: SocketAddr,
        /// The timeout of the call.
        timeout: Duration,
    },
}

/// A link to one peer. It connects on first use, and reconnects when it is used
/// after a failure.
///
/// Cloning is cheap; clones share the connection.
#[derive(Clone, Debug)]
pub struct PeerLink {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    /// Source address of the connection, so that the peer sees the VM's own IP.
    local: Option<IpAddr>,
    /// Number of the next call; 0 marks notifications.
    next_call: AtomicU64,
    open: tokio::sync::Mutex<Option<OpenLink>>,
}

/// An open connection of a link.
#[derive(Clone, Debug)]
struct OpenLink {
    tx: mpsc::Sender<Frame>,
    pending: Arc<Mutex<PendingCalls>>,
    count: ByteCount,
    /// Ends the task that sends and receives the frames.
    task: AbortHandle,
}

/// Calls that wait for their reply, by number. `None` once the connection has
/// ended, so that no call can be added after the last reply was dispatched.
type PendingCalls = Option<HashMap<u64, oneshot::Sender<Body>>>;

impl PeerLink {
    /// Creates a link to `address` that uses `local` as its source address. It
    /// does not connect yet.
    #[must_use]
    pub fn new(address: SocketAddr, local: Option<IpAddr>) -> Self {
        Self {
            shared: Arc::new(Shared {
                address,
                local,
                next_call: AtomicU64::new(1),
                open: tokio::sync::Mutex::new(None),
            }),
        }
    }

    /// Sends `body` and waits for its reply, at most for `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when the peer cannot be reached, closes the connection or sends no
    /// reply in time. After a timeout the connection is dropped, because a
    /// connection can stop delivering data for good while new ones work.
    pub async fn call(&self, body: Body, timeout: Duration) -> Result<Body, LinkError> {
        let address = self.shared.address;
        match tokio::time::timeout(timeout, self.call_unbounded(body)).await {
            Ok(reply) => reply,
            Err(_elapsed) => {
                if let Ok(mut open) = self.shared.open.try_lock() {
                    *open = None;
                }
                Err(LinkError::TimedOut { address, timeout })
            }
        }
    }

    /// Sends `body` and waits for its reply, which the peer may hold back for
    /// `hold`. After that, the call waits as long as any bytes arrive on the
    /// connection, which may be slow, and fails when none arrive for `silence`.
    ///
    /// # Errors
    ///
    /// As for [`PeerLink::call`]. When the peer is silent, the connection is
    /// closed and all other calls on it fail at once, since their replies will
    /// not arrive either.
    pub async fn call_until_silent(
        &self,
        body: Body,
        hold: Duration,
        silence: Duration,
    ) -> Result<Body, LinkError> {
        let address = self.shared.address;
        let timed_out = |timeout| LinkError::TimedOut { address, timeout };
        match tokio::time::timeout(silence, self.open_link()).await {
            Ok(opened) => opened?,
            Err(_elapsed) => return Err(timed_out(silence)),
        };
        let mut call = Box::pin(self.call_unbounded(body));
        let deadline = tokio::time::Instant::now() + hold + MAX_TRANSFER_TIME;
        // Bytes received when the reply became due, or when they were last
        // checked.
        let mut received = None;
        let mut limit = hold;
        loop {
            if let Ok(reply) = tokio::time::timeout(limit, &mut call).await {
                return reply;
            }
            let now_received = self.received_bytes();
            let is_silent = received.is_some_and(|before| now_received <= before);
            if is_silent || tokio::time::Instant::now() >= deadline {
                drop(call);
                self.close();
                return Err(timed_out(hold + silence));
            }
            received = Some(now_received);
            limit = silence;
        }
    }

    /// Closes the open connection, if there is one. All calls on it fail.
    fn close(&self) {
        // The lock is taken only while a new connection is being opened.
        if let Ok(mut open) = self.shared.open.try_lock()
            && let Some(link) = open.take()
        {
            *lock(&link.pending) = None;
            link.task.abort();
        }
    }

    /// Bytes received on the open connection; 0 if there is none.
    fn received_bytes(&self) -> u64 {
        let open = self.shared.open.try_lock();
        open.ok()
            .and_then(|open| open.as_ref().map(|link| link.count.received()))
            .unwrap_or(0)
    }

    /// Sends `body` without waiting for a reply.
    ///
    /// # Errors
    ///
    /// Fails when the peer cannot be reached or the connection has ended.
    pub async fn notify(&self, body: Body) -> Result<(), LinkError> {
        let link = self.open_link().await?;
        let frame = Frame {
            call_id: 0,
            body: Some(body),
        };
        link.tx.send(frame).await.map_err(|_| self.closed())
    }

    async fn call_unbounded(&self, body: Body) -> Result<Body, LinkError> {
        let call_id = self.shared.next_call.fetch_add(1, Ordering::Relaxed);
        let link = self.open_link().await?;
        let (tx, rx) = oneshot::channel();
        match lock(&link.pending).as_mut() {
            Some(pending) => pending.insert(call_id, tx),
            None => return Err(self.closed()),
        };
        let remove_call = RemoveOnDrop {
            pending: &link.pending,
            call_id,
        };
        let frame = Frame {
            call_id,
            body: Some(body),
        };
        link.tx.send(frame).await.map_err(|_| self.closed())?;
        let reply = rx.await.map_err(|_| self.closed());
        drop(remove_call);
        reply
    }

    /// Returns the open connection, or opens one.
    async fn open_link(&self) -> Result<OpenLink, LinkError> {
        let mut open = self.shared.open.lock().await;
        if let Some(link) = open.as_ref()
            && !link.tx.is_closed()
        {
            return Ok(link.clone());
        }
        let stream = connect(self.shared.address, self.shared.local)
            .await
            .map_err(|source| LinkError::Connect {
                address: self.shared.address,
                source,
            })?;
        let link = spawn_link(stream);
        *open = Some(link.clone());
        Ok(link)
    }

    fn closed(&self) -> LinkError {
        LinkError::Closed {
            address: self.shared.address,
        }
    }
}

/// Serves calls on every connection that `listener` accepts. Never returns.
///
/// `handler` receives the peer's address and the content of each frame. The
/// body that it returns is sent back as the reply; for `None` nothing is sent.
/// A connection is logged and closed when a frame is corrupt or reading fails.
pub async fn serve_frames<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(SocketAddr, Body) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Body>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve_connection(stream, peer, handler.clone()));
            }
            Err(error) => {
                log::warn!("event=accept_failed error={}", logfmt::value(&error));
                // Avoids a busy loop while `accept` keeps failing.
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Handles the frames of one connection until it ends. Calls are handled
/// concurrently, so replies may be sent in another order.
async fn serve_connection<H, F>(stream: TcpStream, peer: SocketAddr, handler: H)
where
    H: Fn(SocketAddr, Body) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let (mut sink, mut frames) = Framed::new(stream, FrameCodec).split();
    let (tx, mut rx) = mpsc::channel::<Frame>(SEND_QUEUE_FRAMES);
    tokio::spawn(async move {
        while let Some(frame) = rx.recv().await {
            if sink.send(frame).await.is_err() {
                break;
            }
        }
    });
    while let Some(frame) = frames.next().await {
        match frame {
            Ok(Frame {
                call_id,
                body: Some(body),
            }) => {
                let tx = tx.clone();
                let reply = handler(peer, body);
                tokio::spawn(async move {
                    if let Some(body) = reply.await {
                        let _ = tx
                            .send(Frame {
                                call_id,
                                body: Some(body),
                            })
                            .await;
                    }
                });
            }
            Ok(_) => {}
            Err(error) => {
                log_broken_link(peer, &error);
                break;
            }
        }
    }
}

/// Opens a TCP connection with `TCP_NODELAY`, from the address `local` if it is
/// given.
pub(crate) async fn connect(
    address: SocketAddr,
    local: Option<IpAddr>,
) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(local) = local {
        socket.bind(SocketAddr::new(local, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Starts the task that sends the frames of a link and dispatches the replies,
/// until the connection ends.
fn spawn_link(stream: TcpStream) -> OpenLink {
    let stream = CountingIo::new(stream);
    let count = stream.count();
    let (mut sink, mut frames) = Framed::new(stream, FrameCodec).split();
    let (tx, mut rx) = mpsc::channel::<Frame>(SEND_QUEUE_FRAMES);
    let pending = Arc::new(Mutex::new(Some(HashMap::new())));
    let replies = Arc::clone(&pending);
    let task = tokio::spawn(async move {
        loop {
            tokio::select! {
                out = rx.recv() => match out {
                    Some(frame) => if sink.send(frame).await.is_err() { break },
                    None => break,
                },
                reply = frames.next() => match reply {
                    Some(Ok(frame)) => dispatch(&replies, frame),
                    _ => break,
                },
            }
        }
        // Dropping the senders ends every call that still waits.
        *lock(&replies) = None;
    });
    OpenLink {
        tx,
        pending,
        count,
        task: task.abort_handle(),
    }
}

/// Passes a reply to the call that waits for it. Replies to calls that timed
/// out are dropped.
fn dispatch(pending: &Mutex<PendingCalls>, frame: Frame) {
    let tx = lock(pending)
        .as_mut()
        .and_then(|pending| pending.remove(&frame.call_id));
    if let (Some(tx), Some(body)) = (tx, frame.body) {
        let _ = tx.send(body);
    }
}

fn log_broken_link(peer: SocketAddr, error: &FrameError) {
    log::warn!(
        "event=link_broken peer={peer} error={}",
        logfmt::value(&error)
    );
}

/// Removes a pending call when the future that waits for its reply ends or is
/// dropped.
struct RemoveOnDrop<'a> {
    pending: &'a Mutex<PendingCalls>,
    call_id: u64,
}

impl Drop for RemoveOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(pending) = lock(self.pending).as_mut() {
            pending.remove(&self.call_id);
        }
    }
}
