//! The operator port, an HTTP server with the paths `/health`, `/ready`,
//! `/metrics` and `/dump`.

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

/// Maximum number of concurrent connections. Operators and one scraper need few, and the
/// limit leaves memory and file descriptors to callers.
const MAX_CONNECTIONS: usize = 32;

/// A connection is closed when the head of a request does not arrive in this
/// time.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection is closed after this time, so that abandoned connections do not
/// use up the limit. Scrapers that keep connections open connect again.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(60);

/// Interval at which the metrics recorder discards old samples of its
/// summaries.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

/// Handle to the metrics recorder, of which a process has only one. `None` when
/// another recorder was installed before.
static METRICS: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Checks whether the process is ready; the error says why it is not.
type ReadinessCheck = Box<dyn Fn() -> Result<(), &'static str> + Send + Sync>;

/// Returns one section of the dump.
type DumpSection = Box<dyn Fn() -> Value + Send + Sync>;

/// The content of the operator port of one process.
///
/// A dump is one JSON object with a key for each section. It must contain no
/// API key, lease token, digest or request body.
pub(crate) struct OperatorPort {
    ready: ReadinessCheck,
    sections: Vec<(&'static str, DumpSection)>,
    refresh_gauges: Box<dyn Fn() + Send + Sync>,
}

impl OperatorPort {
    /// Creates a port without dump sections. `ready` is called for each request
    /// of `/ready`.
    pub(crate) fn new(
        ready: impl Fn() -> Result<(), &'static str> + Send + Sync + 'static,
    ) -> Self {
        Self {
            ready: Box::new(ready),
            sections: Vec::new(),
            refresh_gauges: Box::new(|| {}),
        }
    }

    /// Adds a section to the dump. `section` is called for every dump and must
    /// not block.
    pub(crate) fn dump_section(
        mut self,
        name: &'static str,
        section: impl Fn() -> Value + Send + Sync + 'static,
    ) -> Self {
        self.sections.push((name, Box::new(section)));
        self
    }

    /// Sets the function that updates the gauges. It is called each time before
    /// the metrics are rendered, and must not block.
    pub(crate) fn refresh_gauges(mut self, refresh: impl Fn() + Send + Sync + 'static) -> Self {
        self.refresh_gauges = Box::new(refresh);
        self
    }

    /// Serves requests until the future is dropped.
    pub(crate) async fn serve(self, listener: TcpListener) {
        let port = Arc::new(self);
        let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = Arc::clone(&connections).acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let port = Arc::clone(&port);
                    tokio::spawn(async move {
                        let handler = service_fn(move |req| respond(Arc::clone(&port), req));
                        let connection = hyper::server::conn::http1::Builder::new()
                            .timer(TokioTimer::new())
                            .header_read_timeout(HEAD_TIMEOUT)
                            .serve_connection(TokioIo::new(stream), handler);
                        let _ = tokio::time::timeout(MAX_CONNECTION_AGE, connection).await;
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
        let sections = self.sections.iter();
        let sections = sections.map(|(name, section)| ((*name).to_owned(), section()));
        Value::Object(sections.collect())
    }
}

impl fmt::Debug for OperatorPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.sections.iter().map(|(name, _)| *name).collect();
        f.debug_struct("OperatorPort")
            .field("sections", &names)
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

/// Installs the metrics recorder. Whatever was counted before is lost, so this
/// is called before any task that records metrics is started. Must be called
/// within a Tokio runtime. If another recorder was installed before, it stays,
/// and `/metrics` responds with 503.
pub(crate) fn install_metrics_recorder() {
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

async fn respond(
    port: Arc<OperatorPort>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if req.method() != Method::GET {
        let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "only GET\n");
        response
            .headers_mut()
            .insert(ALLOW, HeaderValue::from_static("GET"));
        return Ok(response);
    }
    Ok(match req.uri().path() {
        "/health" => text(StatusCode::OK, "ok\n"),
        "/ready" => match (port.ready)() {
            Ok(()) => text(StatusCode::OK, "ready\n"),
            Err(cause) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{cause}\n")),
        },
        "/metrics" => match METRICS.get() {
            Some(Some(handle)) => {
                (port.refresh_gauges)();
                let body = handle.render();
                response(StatusCode::OK, "text/plain; version=0.0.4", body)
            }
            _ => text(StatusCode::SERVICE_UNAVAILABLE, "no metrics are recorded\n"),
        },
        "/dump" => response(StatusCode::OK, "application/json", port.dump().to_string()),
        _ => text(
            StatusCode::NOT_FOUND,
            "/health, /ready, /metrics and /dump exist\n",
        ),
    })
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    response(status, "text/plain; charset=utf-8", body)
}

fn response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
