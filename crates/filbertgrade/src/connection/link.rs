//! Request and reply over one framed connection, many calls at a time.

use std::collections::HashMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;

use super::frame::{FrameCodec, FrameError};
use crate::logfmt;
use crate::sync::lock;
use crate::wire::{Body, Frame};

/// Frames that may wait for a slow peer before senders wait too.
const QUEUED_FRAMES: usize = 256;

/// Why a call to a peer gave no reply.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LinkError {
    /// No connection could be made.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The connection ended before the reply.
    #[error("connection to {address} closed before the reply")]
    Closed {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// No reply within the time given.
    #[error("no reply from {address} within {} ms", within.as_millis())]
    TimedOut {
        /// Address of the peer.
        address: SocketAddr,
        /// Time waited.
        within: Duration,
    },
}

/// A link to one peer. It connects on first use and again after a failure.
///
/// Cloning is cheap; clones share the connection.
#[derive(Clone, Debug)]
pub struct PeerLink {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    /// Source address of the connection, so that a peer sees the VM's own IP.
    local: Option<IpAddr>,
    next_call: AtomicU64,
    open: tokio::sync::Mutex<Option<OpenLink>>,
}

#[derive(Clone, Debug)]
struct OpenLink {
    tx: mpsc::Sender<Frame>,
    waiting: Arc<Mutex<Waiting>>,
}

/// Calls without a reply yet. `None` once the connection has ended, so that a
/// call cannot be added after the last reply was dispatched.
type Waiting = Option<HashMap<u64, oneshot::Sender<Body>>>;

impl PeerLink {
    /// Makes a link to `address` that uses `local` as its source address.
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

    /// Sends `body` and waits for its reply, at most for `within`.
    ///
    /// # Errors
    ///
    /// Fails when the peer cannot be reached, closes the connection or is
    /// silent. A connection that timed out is dropped, because connections
    /// can go silent for good while new ones work.
    pub async fn call(&self, body: Body, within: Duration) -> Result<Body, LinkError> {
        let address = self.shared.address;
        match tokio::time::timeout(within, self.call_unbounded(body)).await {
            Ok(reply) => reply,
            Err(_elapsed) => {
                if let Ok(mut open) = self.shared.open.try_lock() {
                    *open = None;
                }
                Err(LinkError::TimedOut { address, within })
            }
        }
    }

    /// Sends `body` without waiting for a reply, if a connection is open.
    pub async fn notify(&self, body: Body) -> Result<(), LinkError> {
        let link = self.opened().await?;
        let frame = Frame {
            call: 0,
            body: Some(body),
        };
        link.tx.send(frame).await.map_err(|_| self.closed())
    }

    async fn call_unbounded(&self, body: Body) -> Result<Body, LinkError> {
        let call = self.shared.next_call.fetch_add(1, Ordering::Relaxed);
        let link = self.opened().await?;
        let (tx, rx) = oneshot::channel();
        match lock(&link.waiting).as_mut() {
            Some(waiting) => waiting.insert(call, tx),
            None => return Err(self.closed()),
        };
        let forget = ForgetOnDrop {
            waiting: &link.waiting,
            call,
        };
        let frame = Frame {
            call,
            body: Some(body),
        };
        link.tx.send(frame).await.map_err(|_| self.closed())?;
        let reply = rx.await.map_err(|_| self.closed());
        drop(forget);
        reply
    }

    async fn opened(&self) -> Result<OpenLink, LinkError> {
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

/// Serves calls on every connection that `listener` accepts.
///
/// `handler` gets the peer's address and the content of each frame. What it
/// returns is sent back as the reply; `None` sends nothing. A connection with
/// a corrupt frame is closed and logged.
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
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, peer: SocketAddr, handler: H)
where
    H: Fn(SocketAddr, Body) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let (mut sink, mut frames) = Framed::new(stream, FrameCodec).split();
    let (tx, mut rx) = mpsc::channel::<Frame>(QUEUED_FRAMES);
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
                call,
                body: Some(body),
            }) => {
                let tx = tx.clone();
                let reply = handler(peer, body);
                tokio::spawn(async move {
                    if let Some(body) = reply.await {
                        let _ = tx
                            .send(Frame {
                                call,
                                body: Some(body),
                            })
                            .await;
                    }
                });
            }
            Ok(_) => {}
            Err(error) => {
                log_broken(peer, &error);
                break;
            }
        }
    }
}

/// Opens a TCP connection, from `local` if it is given.
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

fn spawn_link(stream: TcpStream) -> OpenLink {
    let (mut sink, mut frames) = Framed::new(stream, FrameCodec).split();
    let (tx, mut rx) = mpsc::channel::<Frame>(QUEUED_FRAMES);
    let waiting = Arc::new(Mutex::new(Some(HashMap::new())));
    let replies = Arc::clone(&waiting);
    tokio::spawn(async move {
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
        // Dropping the senders wakes every call that still waits.
        *lock(&replies) = None;
    });
    OpenLink { tx, waiting }
}

fn dispatch(waiting: &Mutex<Waiting>, frame: Frame) {
    let tx = lock(waiting)
        .as_mut()
        .and_then(|waiting| waiting.remove(&frame.call));
    if let (Some(tx), Some(body)) = (tx, frame.body) {
        let _ = tx.send(body);
    }
}

fn log_broken(peer: SocketAddr, error: &FrameError) {
    log::warn!(
        "event=link_broken peer={peer} error={}",
        logfmt::value(&error)
    );
}

/// Removes a call that nobody waits for any more.
struct ForgetOnDrop<'a> {
    waiting: &'a Mutex<Waiting>,
    call: u64,
}

impl Drop for ForgetOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(waiting) = lock(self.waiting).as_mut() {
            waiting.remove(&self.call);
        }
    }
}
