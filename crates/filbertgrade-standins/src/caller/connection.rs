//! Kept-alive connections of a caller.

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

/// Whether bytes of a request may have left when sending failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SendFailure {
    NotSent,
    Sent,
}

/// Sending end of one connection.
#[derive(Debug)]
pub(super) enum Sender {
    Http1(http1::SendRequest<Full<Bytes>>),
    Http2(http2::SendRequest<Full<Bytes>>),
}

impl Sender {
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

    /// Sends a request. Returns the request on an error before its first byte has left.
    async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Option<Request<Full<Bytes>>>> {
        let sent = match self {
            Sender::Http1(sender) => sender.try_send_request(req).await,
            Sender::Http2(sender) => sender.try_send_request(req).await,
        };
        sent.map_err(|mut error| error.take_message())
    }
}

/// Idle HTTP/1.1 connections, or one shared HTTP/2 connection, per address.
#[derive(Debug)]
pub(super) struct Pool {
    source: Option<IpAddr>,
    http2: bool,
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

    /// Sends a request on an idle connection, or on a new one if no idle connection takes it.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        mut req: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Sender), SendFailure> {
        loop {
            let idle = self.take(address);
            let fresh = idle.is_none();
            let mut sender = match idle {
                Some(sender) => sender,
                None => self.connect(address).await.ok_or(SendFailure::NotSent)?,
            };
            let ready = timeout(self.connect_timeout, sender.ready()).await;
            if ready == Ok(true) {
                match sender.send(req).await {
                    Ok(answer) => return Ok((answer, sender)),
                    Err(None) => return Err(SendFailure::Sent),
                    Err(Some(unsent)) => req = unsent,
                }
            }
            if fresh {
                return Err(SendFailure::NotSent);
            }
        }
    }

    /// Keeps a connection for the next request.
    pub(super) fn put_back(&self, address: SocketAddr, sender: Sender) {
        if matches!(sender, Sender::Http1(_)) && !sender.is_closed() {
            lock(&self.idle).entry(address).or_default().push(sender);
        }
    }

    /// Opens a new connection for the next HTTP/2 request. Without this, a shared connection that
    /// went silent would lose every later request.
    pub(super) fn distrust_shared(&self, address: SocketAddr) {
        if self.http2 {
            lock(&self.idle).remove(&address);
        }
    }

    /// Closes the idle connections.
    pub(super) fn clear(&self) {
        lock(&self.idle).clear();
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        if let Some(Sender::Http2(shared)) = senders.first() {
            return Some(Sender::Http2(shared.clone()));
        }
        senders.pop()
    }

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
