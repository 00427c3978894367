//! Stand-in for the platform's object API.
//!
//! All objects share one revision counter, which each write increments. The calls are:
//!
//! - `GET/PUT/DELETE /v1/objects/<name>` with `If-Match: <revision>` or `If-None-Match: *`. The
//!   `etag` header of the response is the revision of the object, without quotes; for `DELETE` it
//!   is the revision of the deletion. If the condition fails, the response is 412 with the current
//!   revision in `etag`, or 404 if the object is absent.
//! - `GET /v1/list?prefix=P` returns `{"revision":N,"objects":[{"name","revision","value"}]}`.
//! - `GET /v1/watch?after=REV&wait_ms=N&prefix=P` returns
//!   `{"revision":N,"changes":[{"name","revision","value"}]}`. A deletion has the value `null`.
//!   Of several changes to one object, only the newest is included. The call waits until there is
//!   a change after revision `after` or until `wait_ms` has elapsed. It returns 410 if `after` is
//!   older than the retained history.
//!
//! In list and watch calls, `prefix` may be repeated; an object matches if its name starts with any
//! of the prefixes. Without a prefix, every object matches.

use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::common::{lock, percent_decode, query_pairs, query_value};

/// Largest object value in bytes. A `PUT` with a larger value receives 413.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Longest time that a watch waits, in milliseconds. It bounds the number of calls that
/// aborted tests leave waiting.
const MAX_WATCH_WAIT_MS: u64 = 60_000;

/// Number of changes that are retained for watches and stale reads by default.
const DEFAULT_HISTORY: usize = 10_000;

/// An entry of the platform's VM list, stored as JSON under `vms/<name>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: String,
    /// IP address of the VM, without a port.
    pub address: String,
    /// Region of the VM.
    pub region: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Number of calls that the platform received, by type.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformCounts {
    /// Reads of single objects and list calls. Calls of unknown paths are included.
    pub reads: u64,
    /// `PUT` and `DELETE` calls, including those whose condition failed.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
    /// Watch calls in progress.
    pub waiting_watches: u64,
}

/// A running platform stand-in. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct PlatformServer {
    addr: SocketAddr,
    shared: Arc<Shared>,
    /// Connections end when this sender is dropped.
    _stop: watch::Sender<()>,
    accept_task: tokio::task::JoinHandle<()>,
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
        let accept_task = tokio::spawn(accept_loop(listener, Arc::clone(&shared), stopped));
        Ok(PlatformServer {
            addr,
            shared,
            _stop: stop,
            accept_task,
        })
    }

    /// Returns the address on which the platform listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an object directly and unconditionally, and returns its revision. The write is not
    /// counted as a call.
    pub fn put(&self, name: &str, value: impl Into<Bytes>) -> u64 {
        self.shared.apply(name, Some(value.into()))
    }

    /// Returns the current revision and value of an object, regardless of injected faults.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<(u64, Bytes)> {
        let store = lock(&self.shared.store);
        store.read_at(name, store.revision)
    }

    /// Deletes an object directly and unconditionally. Returns the revision of the deletion, or
    /// `None` if the object is absent.
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

    /// Copies the objects, the history and the revision.
    #[must_use]
    pub fn back_up(&self) -> PlatformBackup {
        PlatformBackup(lock(&self.shared.store).clone())
    }

    /// Restores a copy. All later changes are lost, their revisions are given out again, and the
    /// era in the header `x-store-history` rises by one. A watch after a revision that the copy does not
    /// have receives 410.
    pub fn restore(&self, backup: PlatformBackup) {
        *lock(&self.shared.store) = backup.0;
        self.shared.era.fetch_add(1, Ordering::SeqCst);
        self.shared.notify_watches();
    }

    /// Returns the current revision of the store.
    #[must_use]
    pub fn revision(&self) -> u64 {
        lock(&self.shared.store).revision
    }

    /// Sets the delay after which changes made by [`put_vm`](Self::put_vm) and
    /// [`delete_vm`](Self::delete_vm) become visible. The default is zero. Changes that are already
    /// scheduled are not affected.
    pub fn set_vm_lag(&self, lag: Duration) {
        lock(&self.shared.faults).vm_lag = lag;
    }

    /// Adds or replaces an entry of the VM list after the VM lag. Changes become visible in the
    /// order of the calls. Must be called within a tokio runtime.
    pub fn put_vm(&self, entry: &VmEntry) {
        let value = serde_json::to_vec(entry).expect("a VM entry is plain strings");
        self.schedule_vm_change(format!("vms/{}", entry.name), Some(value.into()));
    }

    /// Removes an entry of the VM list after the VM lag. Must be called within a tokio runtime.
    pub fn delete_vm(&self, name: &str) {
        self.schedule_vm_change(format!("vms/{name}"), None);
    }

    /// While `down` is set, closes every open connection and every new connection as soon as it is
    /// accepted.
    pub fn set_down(&self, down: bool) {
        self.shared.down.send_replace(down);
    }

    /// While `unresponsive` is set, accepts calls without ever responding to them. Such a call has
    /// no effect on the store, and it remains without a response after the fault is cleared.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared
            .unresponsive
            .store(unresponsive, Ordering::SeqCst);
    }

    /// Delays every call by `delay` before it is executed.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.faults).delay = delay;
    }

    /// Executes the next `writes` `PUT` or `DELETE` calls and closes their connections without a
    /// response.
    pub fn drop_next_responses(&self, writes: u64) {
        lock(&self.shared.faults).remaining_drops = writes;
    }

    /// Serves reads, lists and watches from the state `revisions` revisions ago, as a lagging
    /// replica does. Conditions of writes are still checked against the current revision. The state
    /// is never older than the retained history.
    pub fn set_stale_reads(&self, revisions: u64) {
        lock(&self.shared.faults).revisions_behind = revisions;
        self.shared.notify_watches();
    }

    /// Sets how many changes are retained for watches and stale reads. The default is 10,000. With
    /// zero, every watch after a revision older than the current one receives 410.
    pub fn set_history(&self, changes: usize) {
        let mut store = lock(&self.shared.store);
        store.max_log_len = changes;
        store.trim();
    }

    /// Returns the number of calls received so far and of watches in progress.
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

    /// Schedules a change of the VM list after the VM lag. A change never becomes due before an
    /// earlier one, even if the lag was shortened in between.
    fn schedule_vm_change(&self, name: String, value: Option<Bytes>) {
        let due = {
            let mut faults = lock(&self.shared.faults);
            let due = Instant::now() + faults.vm_lag;
            let due = faults.last_vm_change_due.map_or(due, |last| last.max(due));
            faults.last_vm_change_due = Some(due);
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
        self.accept_task.abort();
    }
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    /// VM list changes that are not visible yet, in order. Each has one task that applies the
    /// first change of the queue, so that tasks that wake out of order do not reorder changes.
    vm_changes: Mutex<VecDeque<(String, Option<Bytes>)>>,
    down: watch::Sender<bool>,
    unresponsive: AtomicBool,
    /// Wakes the waiting watches after each change of the store or of the read lag.
    changed: watch::Sender<()>,
    counters: Counters,
    /// Number of times that the store was restored from a copy.
    era: AtomicU64,
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
            era: AtomicU64::new(0),
        }
    }
}

impl Shared {
    fn apply(&self, name: &str, value: Option<Bytes>) -> u64 {
        let revision = lock(&self.store).apply(name, value);
        self.notify_watches();
        revision
    }

    fn apply_next_vm_change(&self) {
        let mut queue = lock(&self.vm_changes);
        if let Some((name, value)) = queue.pop_front() {
            // The queue stays locked during the write, so that concurrent tasks apply their changes
            // in queue order.
            self.apply(&name, value);
        }
    }

    fn notify_watches(&self) {
        self.changed.send_replace(());
    }

    fn revisions_behind(&self) -> u64 {
        lock(&self.faults).revisions_behind
    }
}

#[derive(Debug, Default)]
struct Faults {
    delay: Duration,
    /// Writes still to be executed without a response.
    remaining_drops: u64,
    /// Number of revisions by which reads are behind.
    revisions_behind: u64,
    vm_lag: Duration,
    /// Time when the last scheduled VM list change becomes visible.
    last_vm_change_due: Option<Instant>,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    waiting: AtomicU64,
}

/// A copy of the platform's objects and history.
#[derive(Clone, Debug)]
pub struct PlatformBackup(Store);

#[derive(Clone, Debug)]
struct Store {
    revision: u64,
    /// Revisions and values of each object in ascending order; `None` is a deletion.
    objects: BTreeMap<String, Vec<(u64, Option<Bytes>)>>,
    /// Revision and object name of each retained change, in ascending order of revision.
    log: VecDeque<(u64, String)>,
    /// Oldest revision whose state can still be read. Every later change is in `log`.
    oldest_revision: u64,
    /// Largest length of `log`.
    max_log_len: usize,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            revision: 0,
            objects: BTreeMap::new(),
            log: VecDeque::new(),
            oldest_revision: 0,
            max_log_len: DEFAULT_HISTORY,
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

    /// Removes the oldest changes until `log` is within its limit, and the values that can no
    /// longer be read.
    fn trim(&mut self) {
        while self.log.len() > self.max_log_len {
            let Some((revision, name)) = self.log.pop_front() else {
                return;
            };
            self.oldest_revision = revision;
            let Some(versions) = self.objects.get_mut(&name) else {
                continue;
            };
            // Of the values at or before the oldest readable revision, only the newest can still be
            // read.
            let readable = versions.partition_point(|(at, _)| *at <= revision);
            versions.drain(..readable.saturating_sub(1));
            if matches!(versions.as_slice(), [(_, None)]) {
                self.objects.remove(&name);
            }
        }
    }

    /// Returns the revision at which reads that are `revisions_behind` revisions behind are served.
    fn readable_revision(&self, revisions_behind: u64) -> u64 {
        self.revision
            .saturating_sub(revisions_behind)
            .max(self.oldest_revision)
    }

    /// Returns the newest revision and value of an object at or before revision `at`, including
    /// deletions.
    fn version_at(&self, name: &str, at: u64) -> Option<&(u64, Option<Bytes>)> {
        self.objects
            .get(name)?
            .iter()
            .rev()
            .find(|(revision, _)| *revision <= at)
    }

    /// Returns the revision and value of an object as of revision `at`, or `None` if it is absent.
    fn read_at(&self, name: &str, at: u64) -> Option<(u64, Bytes)> {
        let (revision, value) = self.version_at(name, at)?;
        value.clone().map(|value| (*revision, value))
    }

    /// Returns the objects that match the prefixes as of revision `at`, in order of name.
    fn list(&self, prefixes: &[String], at: u64) -> Vec<ObjectJson> {
        let names = self
            .objects
            .keys()
            .filter(|name| matches_any(name, prefixes));
        names
            .filter_map(|name| {
                self.read_at(name, at)
                    .map(|(revision, value)| (name, revision, value))
            })
            .map(|(name, revision, value)| ObjectJson::new(name, revision, Some(&value)))
            .collect()
    }

    /// Returns the newest change of each matching object in the revisions `(after, up_to]`, in
    /// order of revision.
    fn changes(&self, prefixes: &[String], after: u64, up_to: u64) -> Vec<ObjectJson> {
        let start = self.log.partition_point(|(revision, _)| *revision <= after);
        let changes = self
            .log
            .range(start..)
            .take_while(|(revision, _)| *revision <= up_to);
        changes
            .filter(|(_, name)| matches_any(name, prefixes))
            .filter_map(|(revision, name)| {
                let (newest, value) = self.version_at(name, up_to)?;
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

/// The connection is closed without a response, by an injected fault.
#[derive(Debug, thiserror::Error)]
#[error("the response was dropped by an injected fault")]
struct ResponseDropped;

/// Counts a watch in progress. Dropping it decrements the count, also when the client closes the
/// connection and the call is cancelled.
struct WaitingGuard<'a>(&'a AtomicU64);

impl<'a> WaitingGuard<'a> {
    fn new(count: &'a AtomicU64) -> WaitingGuard<'a> {
        count.fetch_add(1, Ordering::SeqCst);
        WaitingGuard(count)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
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
        tokio::spawn(serve(stream, Arc::clone(&shared), stopped.clone()));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>, mut stopped: watch::Receiver<()>) {
    let mut down = shared.down.subscribe();
    let service = service_fn(|req| {
        let shared = Arc::clone(&shared);
        async move {
            let mut response = handle(Arc::clone(&shared), req).await?;
            let era = HeaderValue::from(shared.era.load(Ordering::SeqCst));
            response.headers_mut().insert("x-store-history", era);
            Ok::<_, ResponseDropped>(response)
        }
    });
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
) -> Result<Response<Full<Bytes>>, ResponseDropped> {
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
    let response = route(&shared, req).await;
    if is_write {
        let mut faults = lock(&shared.faults);
        if faults.remaining_drops > 0 {
            faults.remaining_drops -= 1;
            return Err(ResponseDropped);
        }
    }
    Ok(response)
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
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn read(shared: &Shared, name: &str) -> Response<Full<Bytes>> {
    let revisions_behind = shared.revisions_behind();
    let store = lock(&shared.store);
    match store.read_at(name, store.readable_revision(revisions_behind)) {
        Some((revision, value)) => with_etag(StatusCode::OK, revision, value),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

async fn put(shared: &Shared, name: &str, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = req.into_parts();
    match Limited::new(body, MAX_VALUE_BYTES).collect().await {
        Ok(value) => write(shared, name, &parts.headers, Some(value.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => {
            empty_response(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Err(_) => empty_response(StatusCode::BAD_REQUEST),
    }
}

/// Writes or, with the value `None`, deletes an object if the conditions in the headers hold.
fn write(
    shared: &Shared,
    name: &str,
    headers: &HeaderMap,
    value: Option<Bytes>,
) -> Response<Full<Bytes>> {
    let mut store = lock(&shared.store);
    let current = store
        .read_at(name, store.revision)
        .map(|(revision, _)| revision);
    let if_match = headers
        .get(IF_MATCH)
        .map(|value| value.to_str().unwrap_or("").trim_matches('"'));
    let refusal = match (if_match, current) {
        (Some(_), None) => Some(empty_response(StatusCode::NOT_FOUND)),
        (Some(expected), Some(current)) if expected != "*" && expected != current.to_string() => {
            Some(with_etag(
                StatusCode::PRECONDITION_FAILED,
                current,
                Bytes::new(),
            ))
        }
        (_, Some(current)) if headers.contains_key(IF_NONE_MATCH) => Some(with_etag(
            StatusCode::PRECONDITION_FAILED,
            current,
            Bytes::new(),
        )),
        (None, None) if value.is_none() => Some(empty_response(StatusCode::NOT_FOUND)),
        _ => None,
    };
    if let Some(response) = refusal {
        return response;
    }
    let revision = store.apply(name, value);
    drop(store);
    shared.notify_watches();
    with_etag(StatusCode::OK, revision, Bytes::new())
}

fn list(shared: &Shared, query: Option<&str>) -> Response<Full<Bytes>> {
    let revisions_behind = shared.revisions_behind();
    let store = lock(&shared.store);
    let revision = store.readable_revision(revisions_behind);
    let objects = store.list(&prefixes(query), revision);
    drop(store);
    json_response(&ListJson { revision, objects })
}

async fn watch_changes(shared: &Shared, query: Option<&str>) -> Response<Full<Bytes>> {
    let Some(after) = query_value(query, "after").and_then(|after| after.parse::<u64>().ok())
    else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let wait_ms = query_value(query, "wait_ms").and_then(|wait| wait.parse::<u64>().ok());
    let wait = Duration::from_millis(wait_ms.unwrap_or(0).min(MAX_WATCH_WAIT_MS));
    let prefixes = prefixes(query);
    let deadline = Instant::now() + wait;
    // Subscribes before the store is first read, so that a change in between is not missed.
    let mut changed = shared.changed.subscribe();
    let _waiting = WaitingGuard::new(&shared.counters.waiting);
    loop {
        let revisions_behind = shared.revisions_behind();
        let response = {
            let store = lock(&shared.store);
            if after < store.oldest_revision || after > store.revision {
                return empty_response(StatusCode::GONE);
            }
            let revision = store.readable_revision(revisions_behind);
            WatchJson {
                revision,
                changes: store.changes(&prefixes, after, revision),
            }
        };
        if !response.changes.is_empty() || Instant::now() >= deadline {
            return json_response(&response);
        }
        let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
    }
}

/// Returns the values of all `prefix` parameters.
fn prefixes(query: Option<&str>) -> Vec<String> {
    query_pairs(query)
        .filter(|(name, _)| name == "prefix")
        .map(|(_, value)| value)
        .collect()
}

/// Returns whether `name` starts with one of the prefixes, or whether there are no prefixes.
fn matches_any(name: &str, prefixes: &[String]) -> bool {
    prefixes.is_empty()
        || prefixes
            .iter()
            .any(|prefix| name.starts_with(prefix.as_str()))
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns a response with `revision` in its `etag` header.
fn with_etag(status: StatusCode, revision: u64, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(ETAG, revision.into());
    response
}

fn json_response(value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("the response type always serializes");
    let mut response = Response::new(Full::new(body.into()));
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
