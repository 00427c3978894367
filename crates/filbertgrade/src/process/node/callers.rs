//! The ports for callers: requests, look-ups, and whether the VM takes callers.

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

use super::answer::{self, Body};
use super::{Node, request};
use crate::logfmt;
use crate::sync::lock;

/// Callers' connections at a time. Each costs a few kilobytes, and a VM has
/// some thousand descriptors.
const MAX_CONNECTIONS: usize = 2_000;

/// Time for the head of a question to the system itself.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Time beyond the idle timeout for which a connection is kept, because the
/// next request may be on its way.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Largest head of a request in bytes before a configuration is known.
const MAX_HEAD: usize = 64 * 1024;

/// How long callers keep the answer to a look-up, unless users ask for less.
/// Some keep it for three times as long, and a stopping VM waits for them.
pub(super) const LOOKUP_TTL: Duration = Duration::from_secs(1);

/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers' connections until `stop` resolves.
pub(super) async fn serve_requests(
    node: &Arc<Node>,
    listener: TcpListener,
    close: &watch::Receiver<bool>,
    stop: impl Future<Output = ()>,
) {
    let mut stop = pin!(stop);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut stop => return,
        };
        match accepted {
            Ok((stream, _)) => accept(node, stream, close.clone()),
            Err(error) => {
                log::warn!("event=accept_failed error={}", logfmt::value(&error));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn accept(node: &Arc<Node>, stream: TcpStream, close: watch::Receiver<bool>) {
    if node.caller_connections.count() >= MAX_CONNECTIONS {
        // Closed unread, so that the caller knows that nothing ran.
        log::warn!(
            "event=connection_refused open={}",
            node.caller_connections.count()
        );
        return;
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed error={}", logfmt::value(&error));
    }
    let running = node.caller_connections.start();
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let _running = running;
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
    let handler = service_fn(move |req| answer(Arc::clone(&node), req));
    let mut server = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
            .max_buf_size(limits.head_bytes.clamp(8 * 1024, MAX_HEAD))
            .serve_connection(TokioIo::new(stream), handler)
    );
    tokio::select! {
        // How a connection ended concerns nobody but its caller.
        _ = &mut server => return,
        _ = close.wait_for(|close| *close) => server.as_mut().graceful_shutdown(),
    }
    let _ = server.await;
}

async fn answer(node: Arc<Node>, req: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let mut answer = request::serve(&node, req).await;
    if node.is_leaving() {
        // The caller opens its next connection to another VM.
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    Ok(answer)
}

/// Answers look-ups and the platform's questions.
pub(super) async fn serve_questions(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = Arc::clone(&node);
                tokio::spawn(async move {
                    let handler = service_fn(move |req| {
                        let answer = answer_question(&node, &req);
                        async move { Ok::<_, Infallible>(answer) }
                    });
                    // How a connection ended concerns nobody but its caller.
                    let _ = http1::Builder::new()
                        .timer(TokioTimer::new())
                        .header_read_timeout(QUESTION_TIMEOUT)
                        .serve_connection(TokioIo::new(stream), handler)
                        .await;
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed error={}", logfmt::value(&error));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn answer_question(node: &Node, req: &Request<Incoming>) -> Response<Body> {
    let now = Instant::now();
    match SystemRequest::read(req.method(), req.uri()) {
        Some(SystemRequest::Lookup(region)) => {
            let ready = node.is_ready(now);
            let vms = lock(&node.members).lookup_addresses(region.as_ref(), ready, now);
            let ttl = LOOKUP_TTL.min(node.settings.load().bounds.lookup_ttl);
            answer::json(StatusCode::OK, lookup::response_body(&vms, ttl))
        }
        Some(SystemRequest::Ready) if node.is_ready(now) => answer::empty(StatusCode::OK),
        Some(SystemRequest::Ready) => answer::empty(StatusCode::SERVICE_UNAVAILABLE),
        None => answer::empty(StatusCode::NOT_FOUND),
    }
}
