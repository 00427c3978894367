//! The ports for callers, on which the node serves requests and lookups and
//! reports whether it is ready.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_platform::lookup::{self, SystemRequest};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::responses::{self, Body};
use super::{Node, request};
use crate::logfmt;
use crate::process::caller_io::CallerIo;
use crate::sync::lock;

/// Largest number of open connections of callers. Each takes a few kilobytes of
/// memory, and a VM has a few thousand file descriptors.
const MAX_CONNECTIONS: usize = 2_000;

/// Time in which the head of a lookup or readiness request must arrive.
const LOOKUP_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection is kept open this much longer than the idle timeout, since the
/// caller's next request may already be under way.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Upper bound in bytes for the head of a request, whatever limit is configured.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time to live of the response to a lookup, unless the settings have a
/// shorter one. Some callers keep the response for three times as long, which a
/// stopping VM takes into account.
pub(super) const LOOKUP_TTL: Duration = Duration::from_secs(1);

/// How long after its time to accept a stopping node accepts connections that callers
/// opened before.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(50);

/// Idle time after which a stopping node closes a connection. After a shorter time it
/// could close the connection while a request is in transit.
const IDLE_TIME_BEFORE_CLOSE: Duration = Duration::from_millis(300);

/// Pause after a connection could not be accepted, for example because no file
/// descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts callers' connections until `stop` resolves, and returns its result. The
/// connections are shut down gracefully once `close` is true.
pub(super) async fn serve_requests<T>(
    node: &Arc<Node>,
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
            Ok((stream, _)) => accept(node, stream, close.clone()),
            Err(error) => {
                log::warn!("event=accept_failed error={}", logfmt::value(&error));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    };
    let accepting = accept_established(node, &listener, close);
    let _ = tokio::time::timeout(FINAL_ACCEPT_TIME, accepting).await;
    stopped
}

/// Accepts connections that the kernel has already established. They would be
/// reset when the listener is closed.
async fn accept_established(
    node: &Arc<Node>,
    listener: &TcpListener,
    close: &watch::Receiver<bool>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        accept(node, stream, close.clone());
    }
}

fn accept(node: &Arc<Node>, stream: TcpStream, close: watch::Receiver<bool>) {
    if node.caller_connections.count() >= MAX_CONNECTIONS {
        // Closed before anything is read, so that the caller can tell that its
        // request has not run.
        log::warn!(
            "event=connection_refused open={}",
            node.caller_connections.count()
        );
        return;
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed error={}", logfmt::value(&error));
    }
    let open = node.caller_connections.start();
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let _open = open;
        serve_connection(node, stream, close).await;
    });
}

async fn serve_connection(node: Arc<Node>, stream: TcpStream, mut close: watch::Receiver<bool>) {
    let limits = node
        .deployment
        .load()
        .as_ref()
        .map(|d| d.limits)
        .unwrap_or_default();
    let handler = service_fn(move |req| handle_request(Arc::clone(&node), req));
    let io = CallerIo::new(stream);
    let activity = io.activity();
    let mut server = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout + IDLE_TIMEOUT_MARGIN)
            .max_buf_size(limits.head_bytes.clamp(8 * 1024, MAX_HEAD_BYTES))
            .serve_connection(TokioIo::new(io), handler)
    );
    let idle = async {
        let _ = close.wait_for(|close| *close).await;
        activity.wait_until_idle(IDLE_TIME_BEFORE_CLOSE).await;
    };
    tokio::select! {
        // Errors of a connection concern only its caller.
        _ = &mut server => return,
        () = idle => server.as_mut().graceful_shutdown(),
    }
    let _ = server.await;
}

async fn handle_request(
    node: Arc<Node>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let mut response = request::serve(&node, req).await;
    if node.is_leaving() {
        // Makes the caller open its next connection to another VM.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Serves lookups of callers, and the platform's requests for the readiness of
/// this VM.
pub(super) async fn serve_lookups(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Arc::clone(&node);
                tokio::spawn(async move {
                    let handler = service_fn(move |req| {
                        let response = handle_system_request(&node, &req);
                        async move { Ok::<_, Infallible>(response) }
                    });
                    // Errors of a connection concern only its caller.
                    let _ = http1::Builder::new()
                        .timer(TokioTimer::new())
                        .header_read_timeout(LOOKUP_HEAD_TIMEOUT)
                        .serve_connection(TokioIo::new(stream), handler)
                        .await;
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed error={}", logfmt::value(&error));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn handle_system_request(node: &Node, req: &Request<Incoming>) -> Response<Body> {
    let now = Instant::now();
    match SystemRequest::read(req.method(), req.uri()) {
        Some(SystemRequest::Lookup(region)) => {
            let ready = node.is_ready(now);
            let vms = lock(&node.members).lookup_addresses(region.as_ref(), ready, now);
            let ttl = LOOKUP_TTL.min(node.settings.load().bounds.lookup_ttl);
            responses::json(StatusCode::OK, lookup::response_body(&vms, ttl))
        }
        Some(SystemRequest::Ready) if node.is_ready(now) => responses::empty(StatusCode::OK),
        Some(SystemRequest::Ready) => responses::empty(StatusCode::SERVICE_UNAVAILABLE),
        None => responses::empty(StatusCode::NOT_FOUND),
    }
}
