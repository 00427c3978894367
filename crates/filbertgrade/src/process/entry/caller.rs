//! Serves the port for callers over HTTP/1.1 and HTTP/2.

use std::convert::Infallible;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::CONNECTION;
use http::{HeaderValue, Method, Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::response::{Body, json, refuse};
use super::{Entry, forward, lookup};
use crate::logfmt;
use crate::process::caller_io::CallerIo;
use crate::process::tasks::TaskGuard;
use crate::request::{Cause, Refusal};

/// Maximum number of callers' connections open at a time. Each costs a few
/// kilobytes, and up to [`MAX_HEAD_BYTES`] while a request head is read; the
/// limit bounds memory on a small VM.
const MAX_CONNECTIONS: usize = 4096;

/// Timeout for reading the head of a request, counted from the moment the
/// connection is ready for it. It is therefore also the longest idle time
/// between two requests on a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long after the lookup time to live the entry still accepts connections
/// that callers opened before its end.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(50);

/// Idle time after which a stopping VM closes an HTTP/1.1 connection. After a
/// shorter time it could close the connection while a request is in transit.
const IDLE_TIME_BEFORE_CLOSE: Duration = Duration::from_secs(1);

/// Interval between two checks of a connection that has sent only part of the
/// HTTP/2 preface.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 100;

/// Maximum number of concurrent requests on one HTTP/2 connection.
const MAX_CONCURRENT_REQUESTS: u32 = 200;

/// Maximum number of body bytes that the entry buffers for one HTTP/2
/// connection.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// Maximum number of bytes that the entry buffers for one body.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Time without data from the caller after which an HTTP/2 connection is probed
/// with a keep-alive ping, and the timeout for the reply.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// First bytes that a client sends on an HTTP/2 connection.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Accepts callers' connections until `stop` resolves, and returns its result. The
/// connections that are then open are notified through `close`.
pub(crate) async fn serve<T>(
    entry: &Arc<Entry>,
    listener: TcpListener,
    close: &watch::Receiver<bool>,
    stop: impl Future<Output = T>,
) -> T {
    let mut stop = pin!(stop);
    let stopped = loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            stopped = &mut stop => break stopped,
        };
        match accepted {
            Ok((stream, caller_address)) => accept(entry, stream, caller_address, close.clone()),
            Err(error) => {
                log::warn!("event=accept_failed error={}", logfmt::value(&error));
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    };
    let accepting = accept_established(entry, &listener, close);
    let _ = tokio::time::timeout(FINAL_ACCEPT_TIME, accepting).await;
    stopped
}

/// Accepts connections that the kernel has already established. They would be
/// reset when the listener is closed.
async fn accept_established(
    entry: &Arc<Entry>,
    listener: &TcpListener,
    close: &watch::Receiver<bool>,
) {
    while let Ok((stream, caller_address)) = listener.accept().await {
        accept(entry, stream, caller_address, close.clone());
    }
}

fn accept(
    entry: &Arc<Entry>,
    stream: TcpStream,
    caller_address: SocketAddr,
    close: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    if entry.caller_connections.count() >= MAX_CONNECTIONS {
        tokio::spawn(refuse_connection(stream, entry.refused_callers.start()));
        return;
    }
    let entry = Arc::clone(entry);
    let running = entry.caller_connections.start();
    tokio::spawn(async move {
        let _running = running;
        match is_http2(&stream).await {
            Some(true) => serve_http2(entry, stream, caller_address, close).await,
            Some(false) => serve_http1(entry, stream, caller_address, close).await,
            None => {}
        }
    });
}

/// Refuses a connection beyond the limit without reading from it.
async fn refuse_connection(mut stream: TcpStream, _running: TaskGuard) {
    let refusal = Refusal::not_run(Cause::TooManyConnections);
    let (cause, outcome) = (refusal.cause(), refusal.outcome());
    let body = format!("{{\"cause\":\"{cause}\",\"outcome\":\"{outcome}\"}}");
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\
         filbertgrade-cause: {cause}\r\nfilbertgrade-outcome: {outcome}\r\n\r\n{body}",
        body.len()
    );
    let write = async {
        stream.write_all(response.as_bytes()).await?;
        stream.shutdown().await
    };
    let _ = tokio::time::timeout(Duration::from_secs(1), write).await;
}

/// Detects from its first bytes whether a connection uses HTTP/2. Returns
/// `None` when the connection ends or the bytes do not arrive in time.
async fn is_http2(stream: &TcpStream) -> Option<bool> {
    let detection = async {
        let mut first = [0_u8; PREFACE.len()];
        loop {
            let n = stream.peek(&mut first).await.ok()?;
            if n == 0 {
                return None;
            }
            if first[..n] != PREFACE[..n] {
                return Some(false);
            }
            if n == PREFACE.len() {
                return Some(true);
            }
            tokio::time::sleep(PREFACE_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(HEAD_TIMEOUT, detection).await.ok()?
}

async fn serve_http1(
    entry: Arc<Entry>,
    stream: TcpStream,
    caller_address: SocketAddr,
    mut close: watch::Receiver<bool>,
) {
    let handler = service_fn(move |req| handle(Arc::clone(&entry), caller_address, req));
    let io = CallerIo::new(stream);
    let activity = io.activity();
    let mut server = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(io), handler)
    );
    let idle = async {
        let _ = close.wait_for(|close| *close).await;
        activity.wait_until_idle(IDLE_TIME_BEFORE_CLOSE).await;
    };
    tokio::select! {
        _ = &mut server => return,
        () = idle => server.as_mut().graceful_shutdown(),
    }
    let _ = server.await;
}

async fn serve_http2(
    entry: Arc<Entry>,
    stream: TcpStream,
    caller_address: SocketAddr,
    mut close: watch::Receiver<bool>,
) {
    let handler = service_fn(move |req| handle(Arc::clone(&entry), caller_address, req));
    let mut server = pin!(
        http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_INTERVAL)
            .max_concurrent_streams(MAX_CONCURRENT_REQUESTS)
            .max_header_list_size(MAX_HEAD_BYTES as u32)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .max_send_buf_size(STREAM_WINDOW_BYTES as usize)
            .serve_connection(TokioIo::new(CallerIo::new(stream)), handler)
    );
    tokio::select! {
        _ = &mut server => return,
        _ = close.wait_for(|close| *close) => server.as_mut().graceful_shutdown(),
    }
    let _ = server.await;
}

/// Handles one request: answers a lookup, and forwards any other request.
async fn handle(
    entry: Arc<Entry>,
    caller_address: SocketAddr,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = Instant::now();
    let version = req.version();
    let mut response = if req.method() == Method::GET && req.uri().path() == "/v1/lookup" {
        handle_lookup(&entry, caller_address, &req)
    } else {
        forward::forward(&entry, req, arrived)
            .await
            .unwrap_or_else(|r| refuse(&r))
    };
    if entry.is_leaving() && version < Version::HTTP_2 {
        // Makes the caller open its next connection to another VM, instead of
        // sending a request while this VM closes the connection.
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn handle_lookup(
    entry: &Entry,
    caller_address: SocketAddr,
    req: &Request<Incoming>,
) -> Response<Body> {
    let client = client_address(req).unwrap_or(caller_address.ip());
    let view = entry.in_force.load();
    let leaving = entry.is_leaving().then_some(&entry.settings.vm);
    json(
        StatusCode::OK,
        &lookup::respond(&view, client, entry.settings.ports.caller, leaving),
    )
}

/// Returns the address in the parameter `client` of a lookup, or `None` when it is
/// missing or malformed.
fn client_address(req: &Request<Incoming>) -> Option<IpAddr> {
    let query = req.uri().query()?;
    let client = query.split('&').find_map(|p| p.strip_prefix("client="))?;
    client.parse().ok()
}
