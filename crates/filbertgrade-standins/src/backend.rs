//! Stand-in for a backend server.
//!
//! The server speaks HTTP/1.1 and HTTP/2 without TLS and serves any path `/<service>/...`. It
//! reads the whole request body and answers 200 with the body of [`expected_answer`]. Query
//! parameters of the request change the answer:
//!
//! - `bytes=N`: size of the answer in bytes, default 64;
//! - `service_ms=N`: service time of this request in milliseconds;
//! - `pace_ms=N`: pause before each 16 KiB part of the answer, in milliseconds;
//! - `chunked=1`: sends the answer without a `content-length`.
//!
//! A request that arrives while all slots are busy gets 503 with `x-shed: 1`. A server that is
//! told to drain answers new work with 503 and `x-drain: 1`. A request whose `x-deadline-ms`
//! (remaining time in milliseconds) passes gets 504 with `x-deadline: 1`. Requests with the first
//! two answers did not run. Each answer carries `x-load`, the busy fraction of the slots.
//!
//! `GET /load` answers `{"load":F,"busy":N,"slots":N}`. `GET /health` answers 200, or 503 while
//! draining. Neither takes a slot.

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

use crate::answer::Answer;
pub use crate::answer::{DEFAULT_ANSWER_BYTES, expected_answer};
use crate::common::{lock, query_value, sleep_until};

/// Size in bytes of each part of a streamed answer.
const FRAME_BYTES: usize = 16 * 1024;

/// Pause before a cut, so that the bytes before it reach the caller.
const CUT_PAUSE: Duration = Duration::from_millis(10);

/// Age up to which load samples are kept. It bounds the load lag that can be simulated.
const LOAD_HISTORY: Duration = Duration::from_secs(60);

/// Prefix of every key of the system under test.
const KEY_PREFIX: &[u8] = b"fgk_";

/// Settings of a [`BackendServer`].
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// Name, sent as `x-backend` in each answer. Default `backend`.
    pub name: String,
    /// Number of requests that run at once. With 0, every request is shed. Default 4.
    pub slots: usize,
    /// Number of open connections. Connections over the limit are closed at once. Default 360.
    pub connection_limit: usize,
    /// Service time of each request. Default uniform from 2 ms to 8 ms.
    pub service_time: ServiceTime,
    /// Number of requests after the start that are slower by `cold_factor`. Default 0.
    pub cold_requests: u64,
    /// Factor on the service time of cold requests. Default 4.
    pub cold_factor: f64,
    /// Seed of the service times. Default 1.
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
    /// Always the same time.
    Fixed(Duration),
    /// Evenly spread from `min` to `max`.
    Uniform {
        /// Shortest time.
        min: Duration,
        /// Longest time.
        max: Duration,
    },
    /// Exponential with mean `mean`, truncated at `max`.
    Exponential {
        /// Mean before truncation.
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

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Value of `x-request-id`, or the empty string.
    pub request_id: String,
    /// Value of `x-team`, which the system under test adds.
    pub team: Option<String>,
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Size of the request body in bytes.
    pub body_bytes: u64,
    /// Time when the request's headers arrived.
    pub arrived: Instant,
    /// Time when the body was read and the work began.
    pub started: Instant,
}

/// What a backend server observed.
#[derive(Clone, Debug, Default)]
pub struct BackendRecords {
    /// Every run in order of its start. A swallowed or cancelled request also ran.
    pub runs: Vec<Run>,
    /// Largest number of slots busy at once.
    pub peak_concurrency: usize,
    /// Requests that arrived while all slots were busy. They were shed.
    pub over_slots: u64,
    /// Largest number of connections open at once.
    pub peak_connections: usize,
    /// Connections over the limit. They were closed.
    pub connections_over_limit: u64,
    /// Requests with an `authorization` header, or with a key in a header value or the path.
    pub key_seen: u64,
    /// Requests that the caller abandoned before the whole answer was sent.
    pub cancelled: u64,
    /// Requests that were answered 504 because their deadline passed.
    pub deadline_exceeded: u64,
    /// Time of each request that arrived while draining, counted from the start of the drain.
    pub arrived_while_draining: Vec<Duration>,
}

impl BackendRecords {
    /// Returns how often each request id ran.
    #[must_use]
    pub fn runs_by_id(&self) -> BTreeMap<&str, u64> {
        let mut counts = BTreeMap::new();
        for run in &self.runs {
            *counts.entry(run.request_id.as_str()).or_default() += 1;
        }
        counts
    }

    /// Returns how often a request ran.
    #[must_use]
    pub fn ran(&self, request_id: &str) -> u64 {
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
    accept: tokio::task::JoinHandle<()>,
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
            cold_left: cfg.cold_requests,
            ..State::default()
        };
        let shared = Arc::new(Shared {
            cfg,
            state: Mutex::new(state),
        });
        let (stop, stopped) = watch::channel(());
        let accept = tokio::spawn(accept_loop(listener, Arc::clone(&shared), stopped));
        Ok(BackendServer {
            addr,
            shared,
            _stop: stop,
            accept,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the name from the settings.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.cfg.name
    }

    /// Closes the listener and every connection, and returns when the address is free again.
    /// Returns the records up to that time.
    pub async fn close(mut self) -> BackendRecords {
        self.accept.abort();
        let _ = (&mut self.accept).await;
        self.records()
    }

    /// Returns what the server observed so far.
    #[must_use]
    pub fn records(&self) -> BackendRecords {
        self.shared.state().records.clone()
    }

    /// Returns what the server observed since the start or the last call of this function.
    #[must_use]
    pub fn take_records(&self) -> BackendRecords {
        std::mem::take(&mut self.shared.state().records)
    }

    /// Returns how often a request ran.
    #[must_use]
    pub fn ran(&self, request_id: &str) -> u64 {
        self.shared.state().records.ran(request_id)
    }

    /// Returns the number of slots that are busy now.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.shared.state().busy
    }

    /// Returns the number of connections that are open now, including silent ones.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.state().connections.len()
    }

    /// Makes every connection that is open now silent until the caller closes it: requests and
    /// answers on it are dropped. New connections work.
    pub fn silence_open_connections(&self) {
        for connection in &self.shared.state().connections {
            connection.silent.send_replace(true);
        }
    }

    /// Cuts the next `answers` answers after `bytes` bytes of their body. Answers that are not
    /// longer than this stay whole and count as well.
    pub fn cut_next_answers(&self, answers: u64, bytes: usize) {
        let mut state = self.shared.state();
        state.cut_answers = answers;
        state.cut_after = bytes;
    }

    /// Delays every answer by `delay`, with the slot held.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.shared.state().answer_delay = delay;
    }

    /// Reads and runs the next `requests` requests and never answers them. Their slots become free
    /// and their connections stay open.
    pub fn swallow_next(&self, requests: u64) {
        self.shared.state().swallow = requests;
    }

    /// Closes the connection of each of the next `requests` requests before its body is read.
    /// These requests do not run.
    pub fn close_next_unread(&self, requests: u64) {
        self.shared.state().close_unread = requests;
    }

    /// Starts or ends draining: new work is answered 503 with `x-drain: 1`.
    pub fn set_draining(&self, draining: bool) {
        self.shared.state().draining_since = draining.then(Instant::now);
    }

    /// Makes `GET /health` report healthy (`Some(true)`) or failing (`Some(false)`) whatever the
    /// truth is. `None` ends the lie.
    pub fn set_health_lie(&self, healthy: Option<bool>) {
        self.shared.state().health_lie = healthy;
    }

    /// Makes every load report tell this busy fraction. `None` ends the lie.
    pub fn set_load_lie(&self, load: Option<f64>) {
        self.shared.state().load_lie = load;
    }

    /// Makes every load report tell the load of `lag` ago, at most 60 s.
    pub fn set_load_lag(&self, lag: Duration) {
        self.shared.state().load_lag = lag;
    }

    /// Makes the next `requests` requests slower by the cold factor, as after a restart.
    pub fn make_cold(&self, requests: u64) {
        self.shared.state().cold_left = requests;
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.accept.abort();
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
    busy: usize,
    /// Busy slots after each change, oldest first.
    load_samples: VecDeque<(Instant, usize)>,
    connections: Vec<Arc<Connection>>,
    cold_left: u64,
    draining_since: Option<Instant>,
    health_lie: Option<bool>,
    load_lie: Option<f64>,
    load_lag: Duration,
    answer_delay: Duration,
    cut_answers: u64,
    cut_after: usize,
    swallow: u64,
    close_unread: u64,
}

impl Default for State {
    fn default() -> State {
        State {
            records: BackendRecords::default(),
            rng: StdRng::seed_from_u64(1),
            busy: 0,
            load_samples: VecDeque::new(),
            connections: Vec::new(),
            cold_left: 0,
            draining_since: None,
            health_lie: None,
            load_lie: None,
            load_lag: Duration::ZERO,
            answer_delay: Duration::ZERO,
            cut_answers: 0,
            cut_after: 0,
            swallow: 0,
            close_unread: 0,
        }
    }
}

impl State {
    fn set_busy(&mut self, busy: usize) {
        self.busy = busy;
        self.records.peak_concurrency = self.records.peak_concurrency.max(busy);
        let now = Instant::now();
        self.load_samples.push_back((now, busy));
        // The newest sample older than the history still tells the load at its end.
        while self
            .load_samples
            .get(1)
            .is_some_and(|(at, _)| now - *at > LOAD_HISTORY)
        {
            self.load_samples.pop_front();
        }
    }

    fn reported_load(&self, slots: usize) -> f64 {
        if let Some(load) = self.load_lie {
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

/// Counts down `left` and returns whether it was positive.
fn take_one(left: &mut u64) -> bool {
    let positive = *left > 0;
    *left = left.saturating_sub(1);
    positive
}

impl Shared {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn service_time(&self, query: Option<&str>) -> Duration {
        let mut state = self.state();
        let mut time = self.cfg.service_time.sample(&mut state.rng);
        if take_one(&mut state.cold_left) {
            time = time.mul_f64(self.cfg.cold_factor);
        }
        query_ms(query, "service_ms").unwrap_or(time) + state.answer_delay
    }
}

fn query_ms(query: Option<&str>, name: &str) -> Option<Duration> {
    query_value(query, name)?
        .parse()
        .ok()
        .map(Duration::from_millis)
}

/// State of one connection that faults change.
#[derive(Debug)]
struct Connection {
    silent: watch::Sender<bool>,
    kill: Notify,
}

impl Connection {
    /// Closes the connection. Never returns, because the connection drops the caller's future.
    async fn close(&self) -> Infallible {
        self.kill.notify_one();
        std::future::pending().await
    }

    async fn silenced(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.silent.subscribe().wait_for(|silent| *silent).await;
    }
}

/// Stream of a connection that can become silent.
struct SilenceableIo {
    stream: TcpStream,
    silent: Arc<AtomicBool>,
    /// Whether the caller closed the connection after it became silent.
    ended: bool,
}

impl AsyncRead for SilenceableIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.silent.load(Ordering::SeqCst) {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let mut scratch = [0; 4096];
        loop {
            // The end of the stream is passed on, so that a connection that the caller has given
            // up does not count against the connection limit.
            let mut dropped = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut dropped))?;
            if dropped.filled().is_empty() {
                self.ended = true;
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for SilenceableIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Dropped bytes let running requests end, so that silence does not hold their slots.
        if self.silent.load(Ordering::SeqCst) {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.silent.load(Ordering::SeqCst) && !self.ended {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

async fn accept_loop(listener: TcpListener, shared: Arc<Shared>, stopped: watch::Receiver<()>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails for a short time when the process is out of file descriptors.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = Arc::new(Connection {
            silent: watch::Sender::new(false),
            kill: Notify::new(),
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
    let silent = Arc::new(AtomicBool::new(false));
    let io = TokioIo::new(SilenceableIo {
        stream,
        silent: Arc::clone(&silent),
        ended: false,
    });
    let service = service_fn(|req| handle(Arc::clone(&shared), Arc::clone(&connection), req));
    let builder = auto::Builder::new(TokioExecutor::new());
    {
        let serving = builder.serve_connection(io, service);
        tokio::pin!(serving);
        let mut silenced = connection.silent.subscribe();
        loop {
            tokio::select! {
                biased;
                _ = stopped.changed() => break,
                () = connection.kill.notified() => break,
                _ = silenced.wait_for(|on| *on), if !silent.load(Ordering::SeqCst) => {
                    silent.store(true, Ordering::SeqCst);
                }
                _ = &mut serving => break,
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
) -> Result<Response<AnswerBody>, Infallible> {
    let arrived = Instant::now();
    let mut answer = match (req.method(), req.uri().path()) {
        (&Method::GET, "/load") => load(&shared),
        (&Method::GET, "/health") => health(&shared),
        _ => work(&shared, &connection, req, arrived).await,
    };
    let load = shared.state().reported_load(shared.cfg.slots);
    let headers = answer.headers_mut();
    headers.insert("x-load", header(&format!("{load:.3}")));
    headers.insert("x-backend", header(&shared.cfg.name));
    Ok(answer)
}

fn load(shared: &Shared) -> Response<AnswerBody> {
    let slots = shared.cfg.slots;
    let load = shared.state().reported_load(slots);
    let busy = (load * slots as f64).round();
    let body = format!("{{\"load\":{load:.3},\"busy\":{busy},\"slots\":{slots}}}");
    Response::new(AnswerBody::text(&body))
}

fn health(shared: &Shared) -> Response<AnswerBody> {
    let state = shared.state();
    if state.health_lie.unwrap_or(state.draining_since.is_none()) {
        Response::new(AnswerBody::text("ok"))
    } else {
        status(StatusCode::SERVICE_UNAVAILABLE, None)
    }
}

/// What happens to a request, decided when its headers arrive.
enum Arrival {
    CloseUnread,
    Drain,
    Shed,
    Work(Slot),
}

async fn work(
    shared: &Arc<Shared>,
    connection: &Connection,
    req: Request<Incoming>,
    arrived: Instant,
) -> Response<AnswerBody> {
    let (parts, mut body) = req.into_parts();
    let arrival = arrive(shared, &parts, arrived);
    if matches!(arrival, Arrival::CloseUnread) {
        connection.close().await;
    }
    // Refused requests are read as well, because an answer before the end of the body resets the
    // connection, and the caller may lose the answer.
    let (body_digest, body_bytes) = tokio::select! {
        read = read_body(&mut body) => match read {
            Some(read) => read,
            None => return status(StatusCode::BAD_REQUEST, None),
        },
        () = connection.silenced() => {
            drop(arrival);
            return std::future::pending().await;
        }
    };
    let mut slot = match arrival {
        Arrival::Work(slot) => slot,
        Arrival::Shed => return status(StatusCode::SERVICE_UNAVAILABLE, Some("x-shed")),
        _ => return status(StatusCode::SERVICE_UNAVAILABLE, Some("x-drain")),
    };
    let deadline = header_text(&parts.headers, "x-deadline-ms").parse().ok();
    let deadline = deadline.map(|ms| Duration::from_millis(ms).saturating_sub(arrived.elapsed()));
    if deadline.is_some_and(|left| left.is_zero()) {
        return slot.deadline_exceeded();
    }
    let request_id = header_text(&parts.headers, "x-request-id").to_owned();
    let swallowed = {
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
        take_one(&mut state.swallow)
    };
    if swallowed {
        slot.finished = true;
        drop(slot);
        return std::future::pending().await;
    }
    let time = shared.service_time(parts.uri.query());
    let time_to_end = deadline.map_or(time, |left| left.min(time));
    sleep_until(tokio::time::Instant::now() + time_to_end).await;
    if deadline.is_some_and(|left| left < time) {
        return slot.deadline_exceeded();
    }
    let body = AnswerBody::new(
        Answer::new(&request_id, &body_digest),
        parts.uri.query(),
        cut_point(shared),
        slot,
    );
    let mut answer = Response::new(body);
    answer
        .headers_mut()
        .insert("x-request-id", header(&request_id));
    answer
}

fn arrive(shared: &Arc<Shared>, parts: &http::request::Parts, arrived: Instant) -> Arrival {
    let mut state = shared.state();
    if carries_key(parts) {
        state.records.key_seen += 1;
    }
    if take_one(&mut state.close_unread) {
        return Arrival::CloseUnread;
    }
    if let Some(since) = state.draining_since {
        state
            .records
            .arrived_while_draining
            .push(arrived.saturating_duration_since(since));
        return Arrival::Drain;
    }
    if state.busy >= shared.cfg.slots {
        state.records.over_slots += 1;
        return Arrival::Shed;
    }
    let busy = state.busy + 1;
    state.set_busy(busy);
    Arrival::Work(Slot {
        shared: Arc::clone(shared),
        finished: false,
    })
}

fn carries_key(parts: &http::request::Parts) -> bool {
    let has_key = |bytes: &[u8]| {
        bytes
            .windows(KEY_PREFIX.len())
            .any(|part| part == KEY_PREFIX)
    };
    parts.headers.contains_key(http::header::AUTHORIZATION)
        || parts
            .headers
            .values()
            .any(|value| has_key(value.as_bytes()))
        || has_key(parts.uri.to_string().as_bytes())
}

fn cut_point(shared: &Shared) -> Option<usize> {
    let mut state = shared.state();
    take_one(&mut state.cut_answers).then_some(state.cut_after)
}

/// Returns the digest and the size of the whole body, or `None` if it was cut.
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

/// A busy slot, free again when dropped.
#[derive(Debug)]
struct Slot {
    shared: Arc<Shared>,
    /// Whether the request ended by itself; if not, dropping counts as a cancellation.
    finished: bool,
}

impl Slot {
    fn deadline_exceeded(mut self) -> Response<AnswerBody> {
        self.finished = true;
        self.shared.state().records.deadline_exceeded += 1;
        status(StatusCode::GATEWAY_TIMEOUT, Some("x-deadline"))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        let busy = state.busy - 1;
        state.set_busy(busy);
        if !self.finished {
            state.records.cancelled += 1;
        }
    }
}

/// The body ended before its announced end.
#[derive(Debug, thiserror::Error)]
#[error("the answer is cut")]
struct AnswerCut;

/// Body of an answer, produced in parts.
struct AnswerBody {
    source: Source,
    sent: usize,
    /// Size of the whole body.
    size: usize,
    cut_at: Option<usize>,
    announce_size: bool,
    pace: Option<Duration>,
    pause: Option<Pin<Box<Sleep>>>,
    /// Held until the last part is handed over.
    slot: Option<Slot>,
}

enum Source {
    Text(Bytes),
    Answer(Answer),
}

impl AnswerBody {
    fn text(text: &str) -> AnswerBody {
        let text = Bytes::copy_from_slice(text.as_bytes());
        AnswerBody {
            sent: 0,
            size: text.len(),
            source: Source::Text(text),
            cut_at: None,
            announce_size: true,
            pace: None,
            pause: None,
            slot: None,
        }
    }

    fn new(answer: Answer, query: Option<&str>, cut_at: Option<usize>, slot: Slot) -> AnswerBody {
        let size = query_value(query, "bytes").and_then(|bytes| bytes.parse().ok());
        let size = size.unwrap_or(DEFAULT_ANSWER_BYTES);
        let mut body = AnswerBody {
            source: Source::Answer(answer),
            sent: 0,
            size,
            cut_at: cut_at.filter(|at| *at < size),
            announce_size: query_value(query, "chunked").as_deref() != Some("1"),
            pace: query_ms(query, "pace_ms"),
            pause: None,
            slot: Some(slot),
        };
        body.pause = body.next_pause();
        // hyper does not poll an empty body.
        body.finish_if_done();
        body
    }

    fn next_pause(&self) -> Option<Pin<Box<Sleep>>> {
        let pause = if self.cut_at == Some(self.sent) {
            Some(CUT_PAUSE)
        } else {
            self.pace
        };
        pause.map(|pause| Box::pin(tokio::time::sleep(pause)))
    }

    /// Frees the slot before the caller can see the end of the answer, so that its next request
    /// does not find the slot busy.
    fn finish_if_done(&mut self) {
        if self.sent == self.size
            && let Some(mut slot) = self.slot.take()
        {
            slot.finished = true;
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        if self.sent == self.size {
            return Poll::Ready(None);
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        if self.cut_at == Some(self.sent) {
            return Poll::Ready(Some(Err(AnswerCut)));
        }
        let end = self
            .cut_at
            .unwrap_or(self.size)
            .min(self.sent + FRAME_BYTES);
        let data = match &self.source {
            Source::Text(text) => text.slice(self.sent..end),
            Source::Answer(answer) => answer.range(self.sent, end - self.sent),
        };
        self.sent = end;
        self.pause = self.next_pause();
        self.finish_if_done();
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent == self.size
    }

    fn size_hint(&self) -> SizeHint {
        if self.announce_size {
            SizeHint::with_exact((self.size - self.sent) as u64)
        } else {
            SizeHint::default()
        }
    }
}

fn status(code: StatusCode, mark: Option<&'static str>) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::text(""));
    *answer.status_mut() = code;
    if let Some(mark) = mark {
        answer
            .headers_mut()
            .insert(mark, HeaderValue::from_static("1"));
    }
    answer
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
