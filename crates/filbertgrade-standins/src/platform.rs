//! Stand-in for the platform's object API.
//!
//! The API has one revision counter for all objects:
//!
//! - `GET/PUT/DELETE /v1/objects/<name>` with `If-Match: <revision>` or `If-None-Match: *`. The
//!   `etag` header of the answer is the revision of the object, without quotes. `DELETE` answers
//!   with the revision of the deletion. A condition that fails answers 412 with the current
//!   revision in `etag`, or 404 if the object is absent.
//! - `GET /v1/list?prefix=P` answers `{"revision":N,"objects":[{"name","revision","value"}]}`.
//! - `GET /v1/watch?after=REV&wait_ms=N&prefix=P` answers
//!   `{"revision":N,"changes":[{"name","revision","value"}]}`. A deletion has the value `null`.
//!   Of several changes to one object, only the newest is given. The call waits until a change
//!   after `after` exists or `wait_ms` has passed. It answers 410 if `after` is older than the
//!   history that is kept.
//!
//! `prefix` may be repeated in both. Without it, every object matches.

use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::common::{lock, percent_decode, query_pairs, query_value};

/// Largest object value in bytes. A larger `PUT` answers 413.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest time that a watch waits, in milliseconds. It bounds the number of waiting calls that
/// abandoned tests leave behind.
const MAX_WATCH_WAIT_MS: u64 = 60_000;

/// Number of changes that are kept for watches and stale reads.
const DEFAULT_HISTORY: usize = 10_000;

/// An entry of the platform's VM list, stored as JSON under `vms/<name>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: String,
    /// IP address without a port.
    pub address: String,
    /// Region of the VM.
    pub region: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Number of calls that the platform received, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformCounts {
    /// Reads of one object and lists.
    pub reads: u64,
    /// `PUT` and `DELETE` calls, including those that failed their condition.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
    /// Watch calls that are waiting now.
    pub waiting_watches: u64,
}

/// A running platform stand-in. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct PlatformServer {
    addr: SocketAddr,
    shared: Arc<Shared>,
    /// Connections end when this sender is dropped.
    _stop: watch::Sender<()>,
    accept: tokio::task::JoinHandle<()>,
}

impl PlatformServer {
    /// Starts a platform with an empty store on `addr`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if `addr` cannot be bound.
    pub async fn bind(addr: SocketAddr) -> io::Result<PlatformServer> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let (stop, stopped) = watch::channel(());
        let accept = tokio::spawn(accept_loop(listener, Arc::clone(&shared), stopped));
        Ok(PlatformServer {
            addr,
            shared,
            _stop: stop,
            accept,
        })
    }

    /// Returns the address that the platform listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an object without a condition and without a call, and returns its revision.
    pub fn put(&self, name: &str, value: impl Into<Bytes>) -> u64 {
        self.shared.apply(name, Some(value.into()))
    }

    /// Returns the current revision and value of an object, whatever faults are switched on.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<(u64, Bytes)> {
        let store = lock(&self.shared.store);
        store.at(name, store.revision)
    }

    /// Deletes an object without a condition. Returns the revision of the deletion, or `None` if
    /// the object is absent.
    pub fn delete(&self, name: &str) -> Option<u64> {
        self.get(name).map(|_| self.shared.apply(name, None))
    }

    /// Returns the names of the current objects that start with `prefix`, in order.
    #[must_use]
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let store = lock(&self.shared.store);
        let prefixes = [prefix.to_owned()];
        store
            .list(&prefixes, store.revision)
            .into_iter()
            .map(|object| object.name)
            .collect()
    }

    /// Returns the current revision of the store.
    #[must_use]
    pub fn revision(&self) -> u64 {
        lock(&self.shared.store).revision
    }

    /// Sets the time after which changes made by [`put_vm`](Self::put_vm) and
    /// [`delete_vm`](Self::delete_vm) become visible. The default is zero. Changes that already
    /// wait keep their time.
    pub fn set_vm_lag(&self, lag: Duration) {
        lock(&self.shared.faults).vm_lag = lag;
    }

    /// Adds or replaces an entry of the VM list after the VM lag. Entries become visible in the
    /// order of the calls. Must be called within a tokio runtime.
    pub fn put_vm(&self, entry: &VmEntry) {
        let value = serde_json::to_vec(entry).expect("a VM entry is plain strings");
        self.change_vm(format!("vms/{}", entry.name), Some(value.into()));
    }

    /// Removes an entry of the VM list after the VM lag. Must be called within a tokio runtime.
    pub fn delete_vm(&self, name: &str) {
        self.change_vm(format!("vms/{name}"), None);
    }

    /// Closes every connection, and closes new connections as soon as they are accepted, until
    /// this is switched off.
    pub fn set_down(&self, down: bool) {
        self.shared.down.send_replace(down);
    }

    /// Accepts calls and never answers them. Such a call has no effect on the store, and it stays
    /// unanswered after this is switched off.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared
            .unresponsive
            .store(unresponsive, Ordering::SeqCst);
    }

    /// Delays every call by `delay` before it takes effect.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.faults).delay = delay;
    }

    /// Lets the next `writes` `PUT` or `DELETE` calls take effect and closes their connections
    /// without an answer.
    pub fn drop_next_responses(&self, writes: u64) {
        lock(&self.shared.faults).lose_answers = writes;
    }

    /// Serves reads, lists and watches from a view that is `revisions` behind, as a lagging
    /// replica does. Conditions of writes are still checked against the current revision. The
    /// view never goes back beyond the history that is kept.
    pub fn set_stale_reads(&self, revisions: u64) {
        lock(&self.shared.faults).stale = revisions;
        self.shared.wake_watches();
    }

    /// Sets how many changes are kept for watches and stale reads. The default is 10,000. Zero
    /// makes every watch that is behind answer 410.
    pub fn set_history(&self, changes: usize) {
        let mut store = lock(&self.shared.store);
        store.history = changes;
        store.trim();
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        let counters = &self.shared.counters;
        PlatformCounts {
            reads: counters.reads.load(Ordering::SeqCst),
            writes: counters.writes.load(Ordering::SeqCst),
            watches: counters.watches.load(Ordering::SeqCst),
            waiting_watches: counters.waiting.load(Ordering::SeqCst),
        }
    }

    fn change_vm(&self, name: String, value: Option<Bytes>) {
        let due = {
            let mut faults = lock(&self.shared.faults);
            let due = Instant::now() + faults.vm_lag;
            let due = faults.vm_last_due.map_or(due, |last| last.max(due));
            faults.vm_last_due = Some(due);
            due
        };
        let mut queue = lock(&self.shared.vm_changes);
        queue.push_back((name, value));
        drop(queue);
        if due <= Instant::now() {
            self.shared.apply_next_vm_change();
            return;
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            tokio::time::sleep_until(due).await;
            shared.apply_next_vm_change();
        });
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    /// VM list changes that are not visible yet, in order. Each has one task that applies the
    /// front of the queue, so tasks that wake out of order cannot reorder changes.
    vm_changes: Mutex<VecDeque<(String, Option<Bytes>)>>,
    down: watch::Sender<bool>,
    unresponsive: AtomicBool,
    /// Sends a value after each change, so that waiting watches look again.
    changed: watch::Sender<()>,
    counters: Counters,
}

impl Default for Shared {
    fn default() -> Shared {
        Shared {
            store: Mutex::default(),
            faults: Mutex::default(),
            vm_changes: Mutex::default(),
            down: watch::Sender::new(false),
            unresponsive: AtomicBool::new(false),
            changed: watch::Sender::new(()),
            counters: Counters::default(),
        }
    }
}

impl Shared {
    fn apply(&self, name: &str, value: Option<Bytes>) -> u64 {
        let revision = lock(&self.store).apply(name, value);
        self.wake_watches();
        revision
    }

    fn apply_next_vm_change(&self) {
        let mut queue = lock(&self.vm_changes);
        if let Some((name, value)) = queue.pop_front() {
            // The queue stays locked, so that two tasks apply their changes in queue order.
            self.apply(&name, value);
        }
    }

    fn wake_watches(&self) {
        self.changed.send_replace(());
    }

    fn stale(&self) -> u64 {
        lock(&self.faults).stale
    }
}

#[derive(Debug, Default)]
struct Faults {
    delay: Duration,
    lose_answers: u64,
    stale: u64,
    vm_lag: Duration,
    vm_last_due: Option<Instant>,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    waiting: AtomicU64,
}

#[derive(Debug)]
struct Store {
    revision: u64,
    /// Versions of each object in ascending order of revision; `None` is a deletion.
    objects: BTreeMap<String, Vec<(u64, Option<Bytes>)>>,
    /// Kept changes in ascending order of revision.
    log: VecDeque<(u64, String)>,
    /// Oldest revision whose view can still be served. Every change after it is in `log`.
    floor: u64,
    /// Upper bound of the length of `log`.
    history: usize,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            revision: 0,
            objects: BTreeMap::new(),
            log: VecDeque::new(),
            floor: 0,
            history: DEFAULT_HISTORY,
        }
    }
}

impl Store {
    fn apply(&mut self, name: &str, value: Option<Bytes>) -> u64 {
        self.revision += 1;
        self.objects
            .entry(name.to_owned())
            .or_default()
            .push((self.revision, value));
        self.log.push_back((self.revision, name.to_owned()));
        self.trim();
        self.revision
    }

    fn trim(&mut self) {
        while self.log.len() > self.history {
            let Some((revision, name)) = self.log.pop_front() else {
                return;
            };
            self.floor = revision;
            let Some(versions) = self.objects.get_mut(&name) else {
                continue;
            };
            // Only the newest version at or below the floor can still be seen.
            let visible = versions.partition_point(|(at, _)| *at <= revision);
            versions.drain(..visible.saturating_sub(1));
            if matches!(versions.as_slice(), [(_, None)]) {
                self.objects.remove(&name);
            }
        }
    }

    /// Returns the revision of a view that is `stale` revisions behind.
    fn view(&self, stale: u64) -> u64 {
        self.revision.saturating_sub(stale).max(self.floor)
    }

    fn version_at(&self, name: &str, view: u64) -> Option<&(u64, Option<Bytes>)> {
        self.objects
            .get(name)?
            .iter()
            .rev()
            .find(|(revision, _)| *revision <= view)
    }

    fn at(&self, name: &str, view: u64) -> Option<(u64, Bytes)> {
        let (revision, value) = self.version_at(name, view)?;
        value.clone().map(|value| (*revision, value))
    }

    fn list(&self, prefixes: &[String], view: u64) -> Vec<ObjectJson> {
        let names = self.objects.keys().filter(|name| matches(name, prefixes));
        names
            .filter_map(|name| {
                self.at(name, view)
                    .map(|(revision, value)| (name, revision, value))
            })
            .map(|(name, revision, value)| ObjectJson::new(name, revision, Some(&value)))
            .collect()
    }

    /// Returns the newest change of each object in `(after, view]`, in order of revision.
    fn changes(&self, prefixes: &[String], after: u64, view: u64) -> Vec<ObjectJson> {
        let start = self.log.partition_point(|(revision, _)| *revision <= after);
        let changes = self
            .log
            .range(start..)
            .take_while(|(revision, _)| *revision <= view);
        changes
            .filter(|(_, name)| matches(name, prefixes))
            .filter_map(|(revision, name)| {
                let (newest, value) = self.version_at(name, view)?;
                (newest == revision).then(|| ObjectJson::new(name, *revision, value.as_ref()))
            })
            .collect()
    }
}

#[derive(Debug, Serialize)]
struct ObjectJson {
    name: String,
    revision: u64,
    value: Option<String>,
}

impl ObjectJson {
    fn new(name: &str, revision: u64, value: Option<&Bytes>) -> ObjectJson {
        let value = value.map(|value| String::from_utf8_lossy(value).into_owned());
        ObjectJson {
            name: name.to_owned(),
            revision,
            value,
        }
    }
}

#[derive(Debug, Serialize)]
struct ListJson {
    revision: u64,
    objects: Vec<ObjectJson>,
}

#[derive(Debug, Serialize)]
struct WatchJson {
    revision: u64,
    changes: Vec<ObjectJson>,
}

/// The connection closes without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the answer is lost")]
struct AnswerLost;

/// Keeps the number of waiting watches right when a caller closes its connection.
struct Waiting<'a>(&'a AtomicU64);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicU64) -> Waiting<'a> {
        count.fetch_add(1, Ordering::SeqCst);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
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
        tokio::spawn(serve(stream, Arc::clone(&shared), stopped.clone()));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>, mut stopped: watch::Receiver<()>) {
    let mut down = shared.down.subscribe();
    let service = service_fn(|req| handle(Arc::clone(&shared), req));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        _ = down.wait_for(|down| *down) => {}
        _ = stopped.changed() => {}
        _ = connection => {}
    }
}

async fn handle(
    shared: Arc<Shared>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, AnswerLost> {
    let is_write = matches!(*req.method(), Method::PUT | Method::DELETE);
    let is_watch = req.uri().path() == "/v1/watch";
    let counter = match (is_write, is_watch) {
        (true, _) => &shared.counters.writes,
        (_, true) => &shared.counters.watches,
        _ => &shared.counters.reads,
    };
    counter.fetch_add(1, Ordering::SeqCst);
    if shared.unresponsive.load(Ordering::SeqCst) {
        std::future::pending::<Infallible>().await;
    }
    let delay = lock(&shared.faults).delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let answer = route(&shared, req).await;
    if is_write {
        let mut faults = lock(&shared.faults);
        if faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            return Err(AnswerLost);
        }
    }
    Ok(answer)
}

async fn route(shared: &Shared, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = req.uri().path().to_owned();
    let query = req.uri().query().map(str::to_owned);
    let object = path.strip_prefix("/v1/objects/").map(percent_decode);
    match (req.method().clone(), object) {
        (Method::GET, Some(name)) => read(shared, &name),
        (Method::PUT, Some(name)) if !name.is_empty() => put(shared, &name, req).await,
        (Method::DELETE, Some(name)) => write(shared, &name, req.headers(), None),
        (Method::GET, None) if path == "/v1/list" => list(shared, query.as_deref()),
        (Method::GET, None) if path == "/v1/watch" => watch_changes(shared, query.as_deref()).await,
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn read(shared: &Shared, name: &str) -> Response<Full<Bytes>> {
    let stale = shared.stale();
    let store = lock(&shared.store);
    match store.at(name, store.view(stale)) {
        Some((revision, value)) => with_etag(StatusCode::OK, revision, value),
        None => empty(StatusCode::NOT_FOUND),
    }
}

async fn put(shared: &Shared, name: &str, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = req.into_parts();
    match Limited::new(body, MAX_VALUE_BYTES).collect().await {
        Ok(value) => write(shared, name, &parts.headers, Some(value.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => empty(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_) => empty(StatusCode::BAD_REQUEST),
    }
}

fn write(
    shared: &Shared,
    name: &str,
    headers: &HeaderMap,
    value: Option<Bytes>,
) -> Response<Full<Bytes>> {
    let mut store = lock(&shared.store);
    let current = store.at(name, store.revision).map(|(revision, _)| revision);
    let if_match = headers
        .get(IF_MATCH)
        .map(|value| value.to_str().unwrap_or("").trim_matches('"'));
    let refused = match (if_match, current) {
        (Some(_), None) => Some(empty(StatusCode::NOT_FOUND)),
        (Some(wanted), Some(current)) if wanted != "*" && wanted != current.to_string() => Some(
            with_etag(StatusCode::PRECONDITION_FAILED, current, Bytes::new()),
        ),
        (_, Some(current)) if headers.contains_key(IF_NONE_MATCH) => Some(with_etag(
            StatusCode::PRECONDITION_FAILED,
            current,
            Bytes::new(),
        )),
        (None, None) if value.is_none() => Some(empty(StatusCode::NOT_FOUND)),
        _ => None,
    };
    if let Some(answer) = refused {
        return answer;
    }
    let revision = store.apply(name, value);
    drop(store);
    shared.wake_watches();
    with_etag(StatusCode::OK, revision, Bytes::new())
}

fn list(shared: &Shared, query: Option<&str>) -> Response<Full<Bytes>> {
    let stale = shared.stale();
    let store = lock(&shared.store);
    let revision = store.view(stale);
    let objects = store.list(&prefixes(query), revision);
    drop(store);
    json(&ListJson { revision, objects })
}

async fn watch_changes(shared: &Shared, query: Option<&str>) -> Response<Full<Bytes>> {
    let Some(after) = query_value(query, "after").and_then(|after| after.parse::<u64>().ok())
    else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let wait_ms = query_value(query, "wait_ms").and_then(|wait| wait.parse::<u64>().ok());
    let wait = Duration::from_millis(wait_ms.unwrap_or(0).min(MAX_WATCH_WAIT_MS));
    let prefixes = prefixes(query);
    let deadline = Instant::now() + wait;
    // Subscribed before the first look, so that a change in between is not missed.
    let mut changed = shared.changed.subscribe();
    let _waiting = Waiting::new(&shared.counters.waiting);
    loop {
        let stale = shared.stale();
        let answer = {
            let store = lock(&shared.store);
            if after < store.floor {
                return empty(StatusCode::GONE);
            }
            let revision = store.view(stale);
            WatchJson {
                revision,
                changes: store.changes(&prefixes, after, revision),
            }
        };
        if !answer.changes.is_empty() || Instant::now() >= deadline {
            return json(&answer);
        }
        let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
    }
}

fn prefixes(query: Option<&str>) -> Vec<String> {
    query_pairs(query)
        .filter(|(name, _)| name == "prefix")
        .map(|(_, value)| value)
        .collect()
}

fn matches(name: &str, prefixes: &[String]) -> bool {
    prefixes.is_empty()
        || prefixes
            .iter()
            .any(|prefix| name.starts_with(prefix.as_str()))
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

fn with_etag(status: StatusCode, revision: u64, body: Bytes) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(ETAG, revision.into());
    answer
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("the answer is plain data");
    let mut answer = Response::new(Full::new(body.into()));
    let content_type = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    answer
}
