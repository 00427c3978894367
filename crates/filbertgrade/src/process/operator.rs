//! The operator port of both daemons: `/health`, `/ready`, `/metrics` and
//! `/dump`.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::{ALLOW, CONTENT_TYPE};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::logfmt;

/// Connections served at the same time. Operators and one scraper need few;
/// the limit keeps them from taking what callers need.
const CONNECTIONS: usize = 32;

/// Time for the head of a request, after which a silent connection is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest life of a connection. Scrapers that keep connections open connect
/// again, and abandoned ones do not use up the limit.
const CONNECTION_LIFE: Duration = Duration::from_secs(60);

/// How often summaries of metrics drop what is too old.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

/// The recorder is one for the whole process.
static METRICS: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Why a process is not ready, or nothing when it is.
type Ready = Box<dyn Fn() -> Result<(), &'static str> + Send + Sync>;

/// One part of the dump.
type Part = Box<dyn Fn() -> Value + Send + Sync>;

/// What the operator port of one process shows.
///
/// A dump is one JSON object with a key for each part. It must hold no key,
/// token, digest or body.
pub(crate) struct OperatorPort {
    ready: Ready,
    parts: Vec<(&'static str, Part)>,
    gauges: Box<dyn Fn() + Send + Sync>,
}

impl OperatorPort {
    /// Makes a port for a process whose readiness `ready` tells.
    pub(crate) fn new(
        ready: impl Fn() -> Result<(), &'static str> + Send + Sync + 'static,
    ) -> Self {
        Self {
            ready: Box::new(ready),
            parts: Vec::new(),
            gauges: Box::new(|| {}),
        }
    }

    /// Adds a part to the dump. `part` is called for every dump and must not
    /// block.
    pub(crate) fn part(
        mut self,
        name: &'static str,
        part: impl Fn() -> Value + Send + Sync + 'static,
    ) -> Self {
        self.parts.push((name, Box::new(part)));
        self
    }

    /// Sets gauges before the metrics are rendered.
    pub(crate) fn gauges(mut self, set: impl Fn() + Send + Sync + 'static) -> Self {
        self.gauges = Box::new(set);
        self
    }

    /// Answers operators until the process is stopped.
    pub(crate) async fn serve(self, listener: TcpListener) {
        let port = Arc::new(self);
        let connections = Arc::new(Semaphore::new(CONNECTIONS));
        loop {
            let Ok(permit) = Arc::clone(&connections).acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let port = Arc::clone(&port);
                    tokio::spawn(async move {
                        let handler = service_fn(move |req| answer(Arc::clone(&port), req));
                        let connection = hyper::server::conn::http1::Builder::new()
                            .timer(TokioTimer::new())
                            .header_read_timeout(HEAD_TIMEOUT)
                            .serve_connection(TokioIo::new(stream), handler);
                        let _ = tokio::time::timeout(CONNECTION_LIFE, connection).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    let error = logfmt::value(&error);
                    log::warn!("event=operator_accept_failed error={error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    fn dump(&self) -> Value {
        let parts = self.parts.iter();
        let parts = parts.map(|(name, part)| ((*name).to_owned(), part()));
        Value::Object(parts.collect())
    }
}

impl fmt::Debug for OperatorPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.parts.iter().map(|(name, _)| *name).collect();
        f.debug_struct("OperatorPort")
            .field("parts", &names)
            .finish_non_exhaustive()
    }
}

/// Binds the operator port.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(crate) async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Records metrics from here on; what was counted before is lost, so this
/// comes before any task that counts. Must be called within a runtime. Another recorder that was installed first
/// stays, and `/metrics` then answers 503.
pub(crate) fn record_metrics() {
    METRICS.get_or_init(|| {
        let handle = match PrometheusBuilder::new().install_recorder() {
            Ok(handle) => handle,
            Err(error) => {
                let error = logfmt::value(&error);
                log::error!("event=metrics_not_recorded error={error}");
                return None;
            }
        };
        let upkeep = handle.clone();
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(UPKEEP_PERIOD);
            loop {
                ticks.tick().await;
                upkeep.run_upkeep();
            }
        });
        Some(handle)
    });
}

async fn answer(
    port: Arc<OperatorPort>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if req.method() != Method::GET {
        let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, "only GET\n");
        answer
            .headers_mut()
            .insert(ALLOW, HeaderValue::from_static("GET"));
        return Ok(answer);
    }
    Ok(match req.uri().path() {
        "/health" => text(StatusCode::OK, "ok\n"),
        "/ready" => match (port.ready)() {
            Ok(()) => text(StatusCode::OK, "ready\n"),
            Err(cause) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{cause}\n")),
        },
        "/metrics" => match METRICS.get() {
            Some(Some(handle)) => {
                (port.gauges)();
                let body = handle.render();
                typed(StatusCode::OK, "text/plain; version=0.0.4", body)
            }
            _ => text(StatusCode::SERVICE_UNAVAILABLE, "no metrics are recorded\n"),
        },
        "/dump" => typed(StatusCode::OK, "application/json", port.dump().to_string()),
        _ => text(
            StatusCode::NOT_FOUND,
            "/health, /ready, /metrics and /dump exist\n",
        ),
    })
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    typed(status, "text/plain; charset=utf-8", body)
}

fn typed(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}
