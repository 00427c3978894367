//! Pool of the keep-alive connections of a caller.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::common::lock;

/// Whether bytes of a request may have been sent when sending failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SendFailure {
    /// No byte was sent, so the request can be sent to another VM.
    NotSent,
    /// Bytes may have been sent, so the request may have run.
    MaybeSent,
}

/// Handle for sending requests on one connection.
#[derive(Debug)]
pub(super) enum Sender {
    Http1(http1::SendRequest<Full<Bytes>>),
    Http2(http2::SendRequest<Full<Bytes>>),
}

impl Sender {
    /// Waits until the connection accepts a request. Returns false if it is closed.
    async fn ready(&mut self) -> bool {
        match self {
            Sender::Http1(sender) => sender.ready().await.is_ok(),
            Sender::Http2(sender) => sender.ready().await.is_ok(),
        }
    }

    fn is_closed(&self) -> bool {
        match self {
            Sender::Http1(sender) => sender.is_closed(),
            Sender::Http2(sender) => sender.is_closed(),
        }
    }

    /// Sends a request. An error contains the request if none of its bytes was sent.
    async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Option<Request<Full<Bytes>>>> {
        let result = match self {
            Sender::Http1(sender) => sender.try_send_request(req).await,
            Sender::Http2(sender) => sender.try_send_request(req).await,
        };
        result.map_err(|mut error| error.take_message())
    }
}

/// Idle HTTP/1.1 connections, or one shared HTTP/2 connection, for each address.
#[derive(Debug)]
pub(super) struct Pool {
    /// Source address of new connections, or `None` to let the system choose.
    source: Option<IpAddr>,
    http2: bool,
    /// Longest time to open a connection, or to wait until an idle one accepts a request.
    connect_timeout: Duration,
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Pool {
    pub(super) fn new(source: Option<IpAddr>, http2: bool, connect_timeout: Duration) -> Pool {
        Pool {
            source,
            http2,
            connect_timeout,
            idle: Mutex::default(),
        }
    }

    /// Sends a request on an idle connection, or on a new one if no idle connection accepts it.
    /// Returns the response with the connection, to be put back once the response body has ended.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        mut req: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Sender), SendFailure> {
        loop {
            let idle = self.checkout(address);
            let is_new = idle.is_none();
            let mut sender = match idle {
                Some(sender) => sender,
                None => self.connect(address).await.ok_or(SendFailure::NotSent)?,
            };
            let ready = timeout(self.connect_timeout, sender.ready()).await;
            if ready == Ok(true) {
                match sender.send(req).await {
                    Ok(response) => return Ok((response, sender)),
                    Err(None) => return Err(SendFailure::MaybeSent),
                    Err(Some(unsent)) => req = unsent,
                }
            }
            if is_new {
                return Err(SendFailure::NotSent);
            }
        }
    }

    /// Returns an HTTP/1.1 connection to the pool unless it is closed. Shared HTTP/2 connections
    /// are in the pool already.
    pub(super) fn put_back(&self, address: SocketAddr, sender: Sender) {
        if matches!(sender, Sender::Http1(_)) && !sender.is_closed() {
            lock(&self.idle).entry(address).or_default().push(sender);
        }
    }

    /// Removes the shared HTTP/2 connection, so that the next request opens a new one. Without
    /// this, every later request would time out on a shared connection that no longer delivers
    /// data.
    pub(super) fn discard_shared(&self, address: SocketAddr) {
        if self.http2 {
            lock(&self.idle).remove(&address);
        }
    }

    /// Closes the idle connections.
    pub(super) fn clear(&self) {
        lock(&self.idle).clear();
    }

    /// Returns an idle or shared connection to the address, if there is an open one.
    fn checkout(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        if let Some(Sender::Http2(shared)) = senders.first() {
            return Some(Sender::Http2(shared.clone()));
        }
        senders.pop()
    }

    /// Opens a connection. Returns `None` on an error or a timeout.
    async fn connect(&self, address: SocketAddr) -> Option<Sender> {
        timeout(self.connect_timeout, self.handshake(address))
            .await
            .ok()?
            .ok()
    }

    async fn handshake(&self, address: SocketAddr) -> io::Result<Sender> {
        let stream = match self.source {
            None => TcpStream::connect(address).await?,
            Some(source) => {
                let socket = if source.is_ipv4() {
                    TcpSocket::new_v4()
                } else {
                    TcpSocket::new_v6()
                }?;
                socket.bind(SocketAddr::new(source, 0))?;
                socket.connect(address).await?
            }
        };
        stream.set_nodelay(true)?;
        let io = TokioIo::new(stream);
        if self.http2 {
            let handshake = http2::handshake(TokioExecutor::new(), io).await;
            let (sender, connection) = handshake.map_err(io::Error::other)?;
            tokio::spawn(connection);
            let shared = Sender::Http2(sender.clone());
            lock(&self.idle).insert(address, vec![shared]);
            Ok(Sender::Http2(sender))
        } else {
            let (sender, connection) = http1::handshake(io).await.map_err(io::Error::other)?;
            tokio::spawn(connection);
            Ok(Sender::Http1(sender))
        }
    }
}
