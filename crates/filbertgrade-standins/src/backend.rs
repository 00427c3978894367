//! Stand-in for a backend server.
//!
//! The server supports HTTP/1.1 and HTTP/2 without TLS and serves any path `/<service>/...`. It
//! reads the complete request body and responds with 200 and the body of [`expected_response`].
//! Query parameters of the request change the response:
//!
//! - `bytes=N`: size of the response body in bytes, default 64;
//! - `service_ms=N`: service time of this request in milliseconds;
//! - `pace_ms=N`: delay before each 16 KiB part of the response body, in milliseconds;
//! - `chunked=1`: sends the response without a `content-length`.
//!
//! A request that arrives while all slots are busy receives 503 with `x-shed: 1`. While the server
//! drains, requests receive 503 with `x-drain: 1`. Requests with these two responses did not run. A
//! request whose deadline expires receives 504 with `x-deadline: 1`; the deadline is the remaining
//! time in milliseconds in `x-deadline-ms`. Each response has a header `x-load`, the busy fraction
//! of the slots.
//!
//! `GET /load` returns `{"load":F,"busy":N,"slots":N}`. `GET /health` returns 200, or 503 while
//! the server drains. Neither occupies a slot.

use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sha2::{Digest, Sha256};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::Sleep;

use crate::common::{lock, query_value, sleep_until};
use crate::response::ResponseBytes;
pub use crate::response::{DEFAULT_RESPONSE_BYTES, expected_response};

/// Largest size in bytes of each data frame of a response body.
const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Delay before a response is truncated, so that the bytes before that point reach the caller.
const DELAY_BEFORE_TRUNCATION: Duration = Duration::from_millis(10);

/// Age up to which load samples are kept, and so the largest load lag that can be simulated.
const LOAD_HISTORY: Duration = Duration::from_secs(60);

/// Prefix of every API key that the system under test issues.
const API_KEY_PREFIX: &[u8] = b"fgk_";

/// Settings of a [`BackendServer`].
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// Name of the server, sent as `x-backend` in each response. Default `backend`.
    pub name: String,
    /// Largest number of requests that run at once. With 0, every request is shed. Default 4.
    pub slots: usize,
    /// Largest number of open connections. Connections over the limit are closed as soon as they
    /// are accepted. Default 360.
    pub connection_limit: usize,
    /// Distribution of the service time of a request. Default uniform from 2 ms to 8 ms.
    pub service_time: ServiceTime,
    /// Number of requests after the start whose service time is multiplied by `cold_factor`.
    /// Default 0.
    pub cold_requests: u64,
    /// Factor by which the service time of cold requests is multiplied. Default 4.
    pub cold_factor: f64,
    /// Seed of the random service times. Default 1.
    pub seed: u64,
}

impl Default for BackendConfig {
    fn default() -> BackendConfig {
        BackendConfig {
            name: "backend".to_owned(),
            slots: 4,
            connection_limit: 360,
            service_time: ServiceTime::Uniform {
                min: Duration::from_millis(2),
                max: Duration::from_millis(8),
            },
            cold_requests: 0,
            cold_factor: 4.0,
            seed: 1,
        }
    }
}

/// Distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// The same time for every request.
    Fixed(Duration),
    /// Uniformly distributed from `min` to `max`.
    Uniform {
        /// Shortest time.
        min: Duration,
        /// Longest time.
        max: Duration,
    },
    /// Exponentially distributed with mean `mean`; longer times are replaced by `max`.
    Exponential {
        /// Mean of the distribution before times are limited to `max`.
        mean: Duration,
        /// Longest time.
        max: Duration,
    },
}

impl ServiceTime {
    fn sample(self, rng: &mut StdRng) -> Duration {
        let unit: f64 = rng.random();
        match self {
            ServiceTime::Fixed(time) => time,
            ServiceTime::Uniform { min, max } => min + max.saturating_sub(min).mul_f64(unit),
            ServiceTime::Exponential { mean, max } => mean.mul_f64(-(1.0 - unit).ln()).min(max),
        }
    }
}

/// One execution of a request by a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Value of `x-request-id`, or the empty string if the header is absent.
    pub request_id: String,
    /// Value of `x-team`, which the system under test adds. `None` if the header is absent.
    pub team: Option<String>,
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Size of the request body in bytes.
    pub body_bytes: u64,
    /// Time when the request's headers arrived.
    pub arrived: Instant,
    /// Time when the body had been read and the service time started.
    pub started: Instant,
}

/// Records of what a backend server observed.
#[derive(Clone, Debug, Default)]
pub struct BackendRecords {
    /// Every run in order of its start, including runs whose response was withheld or whose caller
    /// cancelled.
    pub runs: Vec<Run>,
    /// Largest number of slots busy at once.
    pub peak_concurrency: usize,
    /// Requests that arrived while all slots were busy and were shed.
    pub over_slots: u64,
    /// Largest number of connections open at once.
    pub peak_connections: usize,
    /// Connections that were closed because the connection limit was reached.
    pub connections_over_limit: u64,
    /// Requests with an `authorization` header, or with an API key in a header value, the path or
    /// the query.
    pub key_seen: u64,
    /// Requests that the caller cancelled before the complete response was sent.
    pub cancelled: u64,
    /// Requests that received 504 because their deadline expired.
    pub deadline_exceeded: u64,
    /// Arrival time of each request during a drain, relative to the start of the drain.
    pub arrived_while_draining: Vec<Duration>,
}

impl BackendRecords {
    /// Returns the number of runs of each request id.
    #[must_use]
    pub fn runs_by_id(&self) -> BTreeMap<&str, u64> {
        let mut counts = BTreeMap::new();
        for run in &self.runs {
            *counts.entry(run.request_id.as_str()).or_default() += 1;
        }
        counts
    }

    /// Returns the number of runs of a request.
    #[must_use]
    pub fn run_count(&self, request_id: &str) -> u64 {
        self.runs
            .iter()
            .filter(|run| run.request_id == request_id)
            .count() as u64
    }
}

/// A running backend server. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct BackendServer {
    addr: SocketAddr,
    shared: Arc<Shared>,
    /// Connections end when this sender is dropped.
    _stop: watch::Sender<()>,
    accept_task: tokio::task::JoinHandle<()>,
}

impl BackendServer {
    /// Starts a backend server on `addr`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if `addr` cannot be bound.
    pub async fn bind(addr: SocketAddr, cfg: BackendConfig) -> io::Result<BackendServer> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let state = State {
            rng: StdRng::seed_from_u64(cfg.seed),
            remaining_cold: cfg.cold_requests,
            ..State::default()
        };
        let shared = Arc::new(Shared {
            cfg,
            state: Mutex::new(state),
        });
        let (stop, stopped) = watch::channel(());
        let accept_task = tokio::spawn(accept_loop(listener, Arc::clone(&shared), stopped));
        Ok(BackendServer {
            addr,
            shared,
            _stop: stop,
            accept_task,
        })
    }

    /// Returns the address on which the server listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the configured name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.cfg.name
    }

    /// Closes the listener and every connection, waits until the address can be bound again, and
    /// returns the records up to that time.
    pub async fn close(mut self) -> BackendRecords {
        self.accept_task.abort();
        let _ = (&mut self.accept_task).await;
        self.records()
    }

    /// Returns a copy of the records so far.
    #[must_use]
    pub fn records(&self) -> BackendRecords {
        self.shared.state().records.clone()
    }

    /// Returns the records since the start or the last call of this function, and clears them.
    #[must_use]
    pub fn take_records(&self) -> BackendRecords {
        std::mem::take(&mut self.shared.state().records)
    }

    /// Returns the number of runs of a request so far.
    #[must_use]
    pub fn run_count(&self, request_id: &str) -> u64 {
        self.shared.state().records.run_count(request_id)
    }

    /// Returns the number of slots that are busy now.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.shared.state().busy
    }

    /// Returns the number of open connections, including frozen ones.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.state().connections.len()
    }

    /// Freezes every connection that is open now until the caller closes it: requests and responses
    /// on it are dropped. Connections opened later are not affected.
    pub fn freeze_open_connections(&self) {
        for connection in &self.shared.state().connections {
            connection.frozen.send_replace(true);
        }
    }

    /// Truncates the next `responses` responses after `bytes` bytes of their body. Responses that are
    /// not longer than this are sent complete, but also count towards `responses`.
    pub fn truncate_next_responses(&self, responses: u64, bytes: usize) {
        let mut state = self.shared.state();
        state.remaining_truncations = responses;
        state.truncate_after_bytes = bytes;
    }

    /// Delays every response by `delay`. The slot stays busy during the delay.
    pub fn set_response_delay(&self, delay: Duration) {
        self.shared.state().response_delay = delay;
    }

    /// Runs the next `requests` requests and never sends their responses. Their slots are freed and
    /// their connections stay open.
    pub fn withhold_next_responses(&self, requests: u64) {
        self.shared.state().remaining_withheld = requests;
    }

    /// Closes the connection of each of the next `requests` requests before the request body is
    /// read. These requests do not run.
    pub fn close_next_unread(&self, requests: u64) {
        self.shared.state().remaining_closed_unread = requests;
    }

    /// Starts or ends draining. While draining, new requests receive 503 with `x-drain: 1`.
    pub fn set_draining(&self, draining: bool) {
        self.shared.state().draining_since = draining.then(Instant::now);
    }

    /// Makes `GET /health` report healthy (`Some(true)`) or failing (`Some(false)`) regardless of
    /// the actual state. `None` restores the actual state.
    pub fn set_health_override(&self, healthy: Option<bool>) {
        self.shared.state().health_override = healthy;
    }

    /// Makes every load report contain this busy fraction. `None` restores the actual load.
    pub fn set_load_override(&self, load: Option<f64>) {
        self.shared.state().load_override = load;
    }

    /// Makes every load report contain the load that was current `lag` ago. `lag` must be at
    /// most 60 s, the age up to which load samples are kept.
    pub fn set_load_lag(&self, lag: Duration) {
        self.shared.state().load_lag = lag;
    }

    /// Makes every response name this limit in requests a second. The backend server does not
    /// enforce it.
    pub fn set_rate_limit(&self, per_second: Option<f64>) {
        self.shared.state().rate_limit = per_second;
    }

    /// Multiplies the service time of the next `requests` requests by
    /// [`cold_factor`](BackendConfig::cold_factor), as after a restart.
    pub fn make_cold(&self, requests: u64) {
        self.shared.state().remaining_cold = requests;
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

#[derive(Debug)]
struct Shared {
    cfg: BackendConfig,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    records: BackendRecords,
    rng: StdRng,
    /// Number of busy slots.
    busy: usize,
    /// Time of each change of `busy` and the new value, oldest first.
    load_samples: VecDeque<(Instant, usize)>,
    connections: Vec<Arc<Connection>>,
    /// Requests still to run with the cold service time.
    remaining_cold: u64,
    /// `None` while the server does not drain.
    draining_since: Option<Instant>,
    health_override: Option<bool>,
    load_override: Option<f64>,
    /// Requests a second that responses name as the limit.
    rate_limit: Option<f64>,
    load_lag: Duration,
    response_delay: Duration,
    /// Responses still to be truncated.
    remaining_truncations: u64,
    /// Length in bytes at which responses are truncated.
    truncate_after_bytes: usize,
    /// Requests still to run without a response.
    remaining_withheld: u64,
    /// Requests whose connection is still to be closed before their body is read.
    remaining_closed_unread: u64,
}

impl Default for State {
    fn default() -> State {
        State {
            records: BackendRecords::default(),
            rng: StdRng::seed_from_u64(1),
            busy: 0,
            load_samples: VecDeque::new(),
            connections: Vec::new(),
            remaining_cold: 0,
            draining_since: None,
            health_override: None,
            load_override: None,
            rate_limit: None,
            load_lag: Duration::ZERO,
            response_delay: Duration::ZERO,
            remaining_truncations: 0,
            truncate_after_bytes: 0,
            remaining_withheld: 0,
            remaining_closed_unread: 0,
        }
    }
}

impl State {
    fn set_busy(&mut self, busy: usize) {
        self.busy = busy;
        self.records.peak_concurrency = self.records.peak_concurrency.max(busy);
        let now = Instant::now();
        self.load_samples.push_back((now, busy));
        // The newest sample older than the history is kept, because it holds the load at the start
        // of the history.
        while self
            .load_samples
            .get(1)
            .is_some_and(|(at, _)| now - *at > LOAD_HISTORY)
        {
            self.load_samples.pop_front();
        }
    }

    /// Returns the busy fraction of the slots, subject to the load override and the load lag.
    fn reported_load(&self, slots: usize) -> f64 {
        if let Some(load) = self.load_override {
            return load;
        }
        let now = Instant::now();
        let busy = if self.load_lag.is_zero() {
            self.busy
        } else {
            let mut samples = self.load_samples.iter().rev();
            samples
                .find(|(at, _)| now - *at >= self.load_lag)
                .map_or(0, |(_, busy)| *busy)
        };
        busy as f64 / slots.max(1) as f64
    }
}

/// Decrements `remaining` unless it is zero, and returns whether it was positive.
fn consume_one(remaining: &mut u64) -> bool {
    let positive = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    positive
}

impl Shared {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Returns the service time of the next request, including the response delay. The query
    /// parameter `service_ms` replaces the random time.
    fn service_time(&self, query: Option<&str>) -> Duration {
        let mut state = self.state();
        let mut time = self.cfg.service_time.sample(&mut state.rng);
        if consume_one(&mut state.remaining_cold) {
            time = time.mul_f64(self.cfg.cold_factor);
        }
        query_ms(query, "service_ms").unwrap_or(time) + state.response_delay
    }
}

/// Returns the value of a query parameter in milliseconds, or `None` if it is absent or malformed.
fn query_ms(query: Option<&str>, name: &str) -> Option<Duration> {
    query_value(query, name)?
        .parse()
        .ok()
        .map(Duration::from_millis)
}

/// Switches through which injected faults affect one connection.
#[derive(Debug)]
struct Connection {
    frozen: watch::Sender<bool>,
    close_requested: Notify,
}

impl Connection {
    /// Closes the connection. Never returns, because closing the connection drops the future that
    /// calls this.
    async fn close(&self) -> Infallible {
        self.close_requested.notify_one();
        std::future::pending().await
    }

    /// Waits until the connection is frozen.
    async fn wait_until_frozen(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.frozen.subscribe().wait_for(|frozen| *frozen).await;
    }
}

/// TCP stream that drops all bytes in both directions once it is frozen.
struct FreezableIo {
    stream: TcpStream,
    frozen: Arc<AtomicBool>,
    /// Whether the caller closed the connection after it was frozen.
    peer_closed: bool,
}

impl AsyncRead for FreezableIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.frozen.load(Ordering::SeqCst) {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let mut scratch = [0; 4096];
        loop {
            // The end of the stream is reported, so that a connection that the caller has closed
            // does not count towards the connection limit.
            let mut dropped = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut dropped))?;
            if dropped.filled().is_empty() {
                self.peer_closed = true;
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for FreezableIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Pretends that the bytes were written, so that running requests end and free their slots.
        if self.frozen.load(Ordering::SeqCst) {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.frozen.load(Ordering::SeqCst) && !self.peer_closed {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

async fn accept_loop(listener: TcpListener, shared: Arc<Shared>, stopped: watch::Receiver<()>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // `accept` fails while the process has no free file descriptors; retry after a delay.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = Arc::new(Connection {
            frozen: watch::Sender::new(false),
            close_requested: Notify::new(),
        });
        {
            let mut state = shared.state();
            if state.connections.len() >= shared.cfg.connection_limit {
                state.records.connections_over_limit += 1;
                continue;
            }
            state.connections.push(Arc::clone(&connection));
            let open = state.connections.len();
            state.records.peak_connections = state.records.peak_connections.max(open);
        }
        tokio::spawn(serve(
            stream,
            Arc::clone(&shared),
            connection,
            stopped.clone(),
        ));
    }
}

async fn serve(
    stream: TcpStream,
    shared: Arc<Shared>,
    connection: Arc<Connection>,
    mut stopped: watch::Receiver<()>,
) {
    let frozen = Arc::new(AtomicBool::new(false));
    let io = TokioIo::new(FreezableIo {
        stream,
        frozen: Arc::clone(&frozen),
        peer_closed: false,
    });
    let service = service_fn(|req| handle(Arc::clone(&shared), Arc::clone(&connection), req));
    let builder = auto::Builder::new(TokioExecutor::new());
    {
        let connection_future = builder.serve_connection(io, service);
        tokio::pin!(connection_future);
        let mut frozen_rx = connection.frozen.subscribe();
        loop {
            tokio::select! {
                biased;
                _ = stopped.changed() => break,
                () = connection.close_requested.notified() => break,
                _ = frozen_rx.wait_for(|on| *on), if !frozen.load(Ordering::SeqCst) => {
                    frozen.store(true, Ordering::SeqCst);
                }
                _ = &mut connection_future => break,
            }
        }
    }
    shared
        .state()
        .connections
        .retain(|other| !Arc::ptr_eq(other, &connection));
}

async fn handle(
    shared: Arc<Shared>,
    connection: Arc<Connection>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let arrived = Instant::now();
    let attempt_id = req.headers().get("x-attempt-id").cloned();
    let mut response = match (req.method(), req.uri().path()) {
        (&Method::GET, "/load") => load_response(&shared),
        (&Method::GET, "/health") => health_response(&shared),
        _ => serve_request(&shared, &connection, req, arrived).await,
    };
    let load = shared.state().reported_load(shared.cfg.slots);
    let rate_limit = shared.state().rate_limit;
    let headers = response.headers_mut();
    if let Some(limit) = rate_limit {
        headers.insert("x-rate-limit", header(&limit.to_string()));
    }
    if let Some(id) = attempt_id {
        headers.insert("x-attempt-id", id);
    }
    headers.insert("x-load", header(&format!("{load:.3}")));
    headers.insert("x-backend", header(&shared.cfg.name));
    Ok(response)
}

fn load_response(shared: &Shared) -> Response<ResponseBody> {
    let slots = shared.cfg.slots;
    let load = shared.state().reported_load(slots);
    let busy = (load * slots as f64).round();
    let body = format!("{{\"load\":{load:.3},\"busy\":{busy},\"slots\":{slots}}}");
    Response::new(ResponseBody::text(&body))
}

fn health_response(shared: &Shared) -> Response<ResponseBody> {
    let state = shared.state();
    if state
        .health_override
        .unwrap_or(state.draining_since.is_none())
    {
        Response::new(ResponseBody::text("ok"))
    } else {
        status_response(StatusCode::SERVICE_UNAVAILABLE, None)
    }
}

/// How a request is handled, decided when its headers arrive.
enum Admission {
    /// Close the connection without reading the request body.
    CloseUnread,
    /// Respond with 503 and `x-drain`.
    RefuseDraining,
    /// Respond with 503 and `x-shed`.
    Shed,
    /// Run the request in this slot.
    Run(Slot),
}

async fn serve_request(
    shared: &Arc<Shared>,
    connection: &Connection,
    req: Request<Incoming>,
    arrived: Instant,
) -> Response<ResponseBody> {
    let (parts, mut body) = req.into_parts();
    let decision = admit(shared, &parts, arrived);
    if matches!(decision, Admission::CloseUnread) {
        connection.close().await;
    }
    // The bodies of refused requests are read as well, because a response before the end of the
    // request body resets the connection, and the caller may lose the response.
    let (body_digest, body_bytes) = tokio::select! {
        read = read_body(&mut body) => match read {
            Some(read) => read,
            None => return status_response(StatusCode::BAD_REQUEST, None),
        },
        () = connection.wait_until_frozen() => {
            drop(decision);
            return std::future::pending().await;
        }
    };
    let mut slot = match decision {
        Admission::Run(slot) => slot,
        Admission::Shed => return status_response(StatusCode::SERVICE_UNAVAILABLE, Some("x-shed")),
        _ => return status_response(StatusCode::SERVICE_UNAVAILABLE, Some("x-drain")),
    };
    let deadline = header_text(&parts.headers, "x-deadline-ms").parse().ok();
    let deadline = deadline.map(|ms| Duration::from_millis(ms).saturating_sub(arrived.elapsed()));
    if deadline.is_some_and(|left| left.is_zero()) {
        return slot.deadline_exceeded();
    }
    let request_id = header_text(&parts.headers, "x-request-id").to_owned();
    let withheld = {
        let mut state = shared.state();
        state.records.runs.push(Run {
            request_id: request_id.clone(),
            team: parts
                .headers
                .get("x-team")
                .map(|team| text(team).to_owned()),
            method: parts.method.clone(),
            path: parts.uri.path().to_owned(),
            body_bytes,
            arrived,
            started: Instant::now(),
        });
        consume_one(&mut state.remaining_withheld)
    };
    if withheld {
        slot.completed = true;
        drop(slot);
        return std::future::pending().await;
    }
    let time = shared.service_time(parts.uri.query());
    let run_time = deadline.map_or(time, |left| left.min(time));
    sleep_until(tokio::time::Instant::now() + run_time).await;
    if deadline.is_some_and(|left| left < time) {
        return slot.deadline_exceeded();
    }
    let body = ResponseBody::new(
        ResponseBytes::new(&request_id, &body_digest),
        parts.uri.query(),
        take_truncation_point(shared),
        slot,
    );
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert("x-request-id", header(&request_id));
    response
}

/// Decides how to handle a request, records it, and occupies a slot if it is to run.
fn admit(shared: &Arc<Shared>, parts: &http::request::Parts, arrived: Instant) -> Admission {
    let mut state = shared.state();
    if contains_credentials(parts) {
        state.records.key_seen += 1;
    }
    if consume_one(&mut state.remaining_closed_unread) {
        return Admission::CloseUnread;
    }
    if let Some(since) = state.draining_since {
        state
            .records
            .arrived_while_draining
            .push(arrived.saturating_duration_since(since));
        return Admission::RefuseDraining;
    }
    if state.busy >= shared.cfg.slots {
        state.records.over_slots += 1;
        return Admission::Shed;
    }
    let busy = state.busy + 1;
    state.set_busy(busy);
    Admission::Run(Slot {
        shared: Arc::clone(shared),
        completed: false,
    })
}

/// Returns whether the request has credentials: an `authorization` header, or an API key in any
/// header value, the path or the query.
fn contains_credentials(parts: &http::request::Parts) -> bool {
    let has_key = |bytes: &[u8]| {
        bytes
            .windows(API_KEY_PREFIX.len())
            .any(|part| part == API_KEY_PREFIX)
    };
    parts.headers.contains_key(http::header::AUTHORIZATION)
        || parts
            .headers
            .values()
            .any(|value| has_key(value.as_bytes()))
        || has_key(parts.uri.to_string().as_bytes())
}

/// Returns the offset at which the next response is to be truncated, if any.
fn take_truncation_point(shared: &Shared) -> Option<usize> {
    let mut state = shared.state();
    consume_one(&mut state.remaining_truncations).then_some(state.truncate_after_bytes)
}

/// Returns the digest and the size in bytes of the complete body, or `None` if the body ended with
/// an error.
async fn read_body(body: &mut Incoming) -> Option<([u8; 32], u64)> {
    let mut hasher = Sha256::new();
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            hasher.update(&data);
            bytes += data.len() as u64;
        }
    }
    Some((hasher.finalize().into(), bytes))
}

/// A busy slot. Dropping it frees the slot.
#[derive(Debug)]
struct Slot {
    shared: Arc<Shared>,
    /// Whether the request ended regularly. If not, dropping the slot counts as a cancellation by
    /// the caller.
    completed: bool,
}

impl Slot {
    /// Records an expired deadline, frees the slot and returns the response to the request.
    fn deadline_exceeded(mut self) -> Response<ResponseBody> {
        self.completed = true;
        self.shared.state().records.deadline_exceeded += 1;
        status_response(StatusCode::GATEWAY_TIMEOUT, Some("x-deadline"))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        let busy = state.busy - 1;
        state.set_busy(busy);
        if !self.completed {
            state.records.cancelled += 1;
        }
    }
}

/// The response body was truncated by an injected fault.
#[derive(Debug, thiserror::Error)]
#[error("the response body was truncated by an injected fault")]
struct TruncatedError;

/// Response body that is generated frame by frame.
struct ResponseBody {
    source: BodySource,
    /// Number of bytes that were passed to the connection.
    sent: usize,
    /// Size of the complete body in bytes.
    size: usize,
    /// Offset in bytes at which the body fails. Always below `size`.
    truncate_at: Option<usize>,
    /// Whether the response has a `content-length` header.
    send_content_length: bool,
    /// Delay before each frame.
    frame_delay: Option<Duration>,
    /// Delay in progress before the next frame.
    pending_delay: Option<Pin<Box<Sleep>>>,
    /// Freed when the last frame is passed to the connection. `None` for bodies without a slot.
    slot: Option<Slot>,
}

enum BodySource {
    Text(Bytes),
    Generated(ResponseBytes),
}

impl ResponseBody {
    fn text(text: &str) -> ResponseBody {
        let text = Bytes::copy_from_slice(text.as_bytes());
        ResponseBody {
            sent: 0,
            size: text.len(),
            source: BodySource::Text(text),
            truncate_at: None,
            send_content_length: true,
            frame_delay: None,
            pending_delay: None,
            slot: None,
        }
    }

    fn new(
        bytes: ResponseBytes,
        query: Option<&str>,
        truncate_at: Option<usize>,
        slot: Slot,
    ) -> ResponseBody {
        let size = query_value(query, "bytes").and_then(|bytes| bytes.parse().ok());
        let size = size.unwrap_or(DEFAULT_RESPONSE_BYTES);
        let mut body = ResponseBody {
            source: BodySource::Generated(bytes),
            sent: 0,
            size,
            truncate_at: truncate_at.filter(|at| *at < size),
            send_content_length: query_value(query, "chunked").as_deref() != Some("1"),
            frame_delay: query_ms(query, "pace_ms"),
            pending_delay: None,
            slot: Some(slot),
        };
        body.pending_delay = body.start_next_delay();
        // hyper does not poll an empty body, so its slot is freed here.
        body.free_slot_if_complete();
        body
    }

    /// Returns the timer of the delay before the next frame, or before the truncation if it is next.
    fn start_next_delay(&self) -> Option<Pin<Box<Sleep>>> {
        let delay = if self.truncate_at == Some(self.sent) {
            Some(DELAY_BEFORE_TRUNCATION)
        } else {
            self.frame_delay
        };
        delay.map(|delay| Box::pin(tokio::time::sleep(delay)))
    }

    /// Frees the slot once all bytes are passed on. This happens before the caller can receive the
    /// end of the response, so that its next request is not shed because of this one.
    fn free_slot_if_complete(&mut self) {
        if self.sent == self.size
            && let Some(mut slot) = self.slot.take()
        {
            slot.completed = true;
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedError>>> {
        if self.sent == self.size {
            return Poll::Ready(None);
        }
        if let Some(pending_delay) = &mut self.pending_delay {
            ready!(pending_delay.as_mut().poll(cx));
            self.pending_delay = None;
        }
        if self.truncate_at == Some(self.sent) {
            return Poll::Ready(Some(Err(TruncatedError)));
        }
        let end = self
            .truncate_at
            .unwrap_or(self.size)
            .min(self.sent + MAX_FRAME_BYTES);
        let data = match &self.source {
            BodySource::Text(text) => text.slice(self.sent..end),
            BodySource::Generated(bytes) => bytes.range(self.sent, end - self.sent),
        };
        self.sent = end;
        self.pending_delay = self.start_next_delay();
        self.free_slot_if_complete();
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent == self.size
    }

    fn size_hint(&self) -> SizeHint {
        if self.send_content_length {
            SizeHint::with_exact((self.size - self.sent) as u64)
        } else {
            SizeHint::default()
        }
    }
}

/// Returns an empty response with this status and, if given, a header `flag_header: 1`.
fn status_response(code: StatusCode, flag_header: Option<&'static str>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::text(""));
    *response.status_mut() = code;
    if let Some(flag_header) = flag_header {
        response
            .headers_mut()
            .insert(flag_header, HeaderValue::from_static("1"));
    }
    response
}

fn header(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or(HeaderValue::from_static("invalid"))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).map_or("", text)
}

fn text(value: &HeaderValue) -> &str {
    value.to_str().unwrap_or("")
}
