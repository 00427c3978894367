//! The callers' port: HTTP/1.1 and HTTP/2.

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

use super::answer::{Body, json, refuse};
use super::caller_io::CallerIo;
use super::{Entry, carry, lookup};
use crate::logfmt;
use crate::process::tasks::TaskGuard;
use crate::request::{Cause, Refusal};

/// Callers' connections at a time. Each costs a few kilobytes and up to
/// [`MAX_HEAD`] while a request is read, which bounds memory on a small VM.
const MAX_CONNECTIONS: usize = 4096;

/// Time for the head of a request, from the moment the connection is ready
/// for it. It is also the longest time between two requests on a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time beyond the look-up time to live in which connections are accepted that
/// were made before its end.
const ACCEPT_REST: Duration = Duration::from_millis(50);

/// Time without a byte after which a stopping VM closes an HTTP/1.1
/// connection. A shorter time could close it under a request that is on its
/// way.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Pause before looking again at a connection that sent only a part of the
/// HTTP/2 preface.
const PREFACE_PAUSE: Duration = Duration::from_millis(10);

/// Largest head of a request in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Most header lines of a request.
const MAX_HEADERS: usize = 100;

/// Requests at a time on one HTTP/2 connection.
const MAX_STREAMS: u32 = 200;

/// Bytes of bodies that one HTTP/2 connection may have waiting in the entry.
const CONNECTION_WINDOW: u32 = 1024 * 1024;

/// Bytes of one body that may wait in the entry.
const STREAM_WINDOW: u32 = 256 * 1024;

/// Time between probes of a silent HTTP/2 connection, and for their answers.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// What an HTTP/2 connection starts with.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Accepts callers' connections until `stop` resolves. Connections that are
/// open then are told through `close`.
pub(crate) async fn serve(
    entry: &Arc<Entry>,
    listener: TcpListener,
    close: &watch::Receiver<bool>,
    stop: impl Future<Output = ()>,
) {
    let mut stop = pin!(stop);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        match accepted {
            Ok((stream, peer)) => accept(entry, stream, peer, close.clone()),
            Err(error) => {
                log::warn!("event=accept_failed error={}", logfmt::value(&error));
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    let rest = accept_rest(entry, &listener, close);
    let _ = tokio::time::timeout(ACCEPT_REST, rest).await;
}

/// Accepts what the kernel accepted already. It would be reset with the
/// listener.
async fn accept_rest(entry: &Arc<Entry>, listener: &TcpListener, close: &watch::Receiver<bool>) {
    while let Ok((stream, peer)) = listener.accept().await {
        accept(entry, stream, peer, close.clone());
    }
}

fn accept(entry: &Arc<Entry>, stream: TcpStream, peer: SocketAddr, close: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    if entry.callers.count() >= MAX_CONNECTIONS {
        tokio::spawn(turn_away(stream, entry.turned_away.start()));
        return;
    }
    let entry = Arc::clone(entry);
    let running = entry.callers.start();
    tokio::spawn(async move {
        let _running = running;
        match is_http2(&stream).await {
            Some(true) => serve_http2(entry, stream, peer, close).await,
            Some(false) => serve_http1(entry, stream, peer, close).await,
            None => {}
        }
    });
}

/// Refuses a connection beyond the limit, without reading from it.
async fn turn_away(mut stream: TcpStream, _running: TaskGuard) {
    let refusal = Refusal::not_run(Cause::TooManyConnections);
    let (cause, outcome) = (refusal.cause(), refusal.outcome());
    let body = format!("{{\"cause\":\"{cause}\",\"outcome\":\"{outcome}\"}}");
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\
         filbertgrade-cause: {cause}\r\nfilbertgrade-outcome: {outcome}\r\n\r\n{body}",
        body.len()
    );
    let write = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    };
    let _ = tokio::time::timeout(Duration::from_secs(1), write).await;
}

/// Tells from its first bytes whether a connection speaks HTTP/2. `None` when
/// they do not come in time.
async fn is_http2(stream: &TcpStream) -> Option<bool> {
    let look = async {
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
            tokio::time::sleep(PREFACE_PAUSE).await;
        }
    };
    tokio::time::timeout(HEAD_TIMEOUT, look).await.ok()?
}

async fn serve_http1(
    entry: Arc<Entry>,
    stream: TcpStream,
    peer: SocketAddr,
    mut close: watch::Receiver<bool>,
) {
    let handler = service_fn(move |req| answer(Arc::clone(&entry), peer, req));
    let io = CallerIo::new(stream);
    let activity = io.activity();
    let mut server = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD)
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(io), handler)
    );
    let quiet = async {
        let _ = close.wait_for(|close| *close).await;
        activity.quiet_for(QUIET_TIME).await;
    };
    tokio::select! {
        _ = &mut server => return,
        () = quiet => server.as_mut().graceful_shutdown(),
    }
    let _ = server.await;
}

async fn serve_http2(
    entry: Arc<Entry>,
    stream: TcpStream,
    peer: SocketAddr,
    mut close: watch::Receiver<bool>,
) {
    let handler = service_fn(move |req| answer(Arc::clone(&entry), peer, req));
    let mut server = pin!(
        http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PROBE_INTERVAL)
            .keep_alive_timeout(PROBE_INTERVAL)
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(MAX_HEAD as u32)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .initial_stream_window_size(STREAM_WINDOW)
            .max_send_buf_size(STREAM_WINDOW as usize)
            .serve_connection(TokioIo::new(CallerIo::new(stream)), handler)
    );
    tokio::select! {
        _ = &mut server => return,
        _ = close.wait_for(|close| *close) => server.as_mut().graceful_shutdown(),
    }
    let _ = server.await;
}

async fn answer(
    entry: Arc<Entry>,
    peer: SocketAddr,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = Instant::now();
    let version = req.version();
    let mut answer = if req.method() == Method::GET && req.uri().path() == "/v1/lookup" {
        look_up(&entry, peer, &req)
    } else {
        carry::carry(&entry, req, arrived)
            .await
            .unwrap_or_else(|r| refuse(&r))
    };
    if entry.is_leaving() && version < Version::HTTP_2 {
        // The caller opens its next connection to another VM, instead of
        // sending a request while this VM closes the connection.
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

fn look_up(entry: &Entry, peer: SocketAddr, req: &Request<Incoming>) -> Response<Body> {
    let client = client_of(req).unwrap_or(peer.ip());
    let view = entry.in_force.load();
    let leaving = entry.is_leaving().then_some(&entry.settings.vm);
    json(
        StatusCode::OK,
        &lookup::answer(&view, client, entry.settings.ports.caller, leaving),
    )
}

fn client_of(req: &Request<Incoming>) -> Option<IpAddr> {
    let query = req.uri().query()?;
    let client = query.split('&').find_map(|p| p.strip_prefix("client="))?;
    client.parse().ok()
}
