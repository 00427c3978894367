//! A stand-in for the platform's metadata store, with its HTTP interface and with faults.
//!
//! Supports lists, watches (long polls for the changes after a revision) and conditional writes.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::common::lock;

/// Fault of the store, for all its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    None,
    /// Accepts calls and never responds.
    Unresponsive,
    /// Refuses calls with status 503.
    Busy,
}

/// A running store. Clones share its objects.
#[derive(Clone, Debug)]
pub struct Store {
    /// Address that it accepts calls on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Revision of the last change; wakes watches.
    changed: watch::Sender<u64>,
    fault: watch::Sender<StoreFault>,
    turned_away_changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    objects: Objects,
    /// Changes: revision, kind, object and whether it was deleted.
    log: Vec<(u64, String, Value, bool)>,
    /// Revision of the last change.
    revision: u64,
    /// Number of times that the store was restored from a copy.
    era: u64,
    /// Last revision whose change was discarded from `log`. A watch from an earlier revision fails
    /// with status 410.
    discarded_revision: u64,
    full_cost_calls: u64,
    /// Number of the last read, counted from 1.
    last_read: u64,
    /// Last read of each kind that never gets a response.
    hung_reads: BTreeMap<String, u64>,
    /// Objects and revision that reads accepting stale results return.
    stale: Option<(Objects, u64)>,
    /// Contents that are sent as they are. An object refers to one by its index.
    texts: Vec<String>,
    /// Caller that is refused with status 503, while the others are served.
    turned_away: Option<IpAddr>,
    /// Address of the caller that was last served.
    last_served: Option<IpAddr>,
}

/// A copy of a store's objects and history.
#[derive(Clone, Debug)]
pub struct Backup {
    objects: Objects,
    log: Vec<(u64, String, Value, bool)>,
    revision: u64,
}

/// Revision and spec of each object, by kind and name.
type Objects = BTreeMap<(String, String), (u64, Value)>;

impl Store {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            changed: watch::Sender::new(0),
            fault: watch::Sender::new(StoreFault::None),
            turned_away_changed: watch::Sender::default(),
        };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, peer)) = listener.accept().await {
                let store = serving.clone();
                let service = service_fn(move |req| {
                    let store = store.clone();
                    async move {
                        let mut response = store.handle_from(peer.ip(), req).await;
                        let era = HeaderValue::from(lock(&store.state).era);
                        response.headers_mut().insert("store-era", era);
                        Ok::<_, Infallible>(response)
                    }
                });
                tokio::spawn(
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service),
                );
            }
        });
        Ok(store)
    }

    /// Sets or clears a fault. It also affects watches that are waiting.
    pub fn set_fault(&self, fault: StoreFault) {
        self.fault.send_replace(fault);
    }

    /// Refuses the calls from one address with status 503, also those that are waiting, and serves
    /// all others. `None` serves all again.
    pub fn turn_away(&self, address: Option<IpAddr>) {
        lock(&self.state).turned_away = address;
        // Wakes the watches that are waiting.
        self.turned_away_changed.send_replace(());
    }

    /// Returns the address of the caller that was last served.
    pub fn last_served(&self) -> Option<IpAddr> {
        lock(&self.state).last_served
    }

    /// Returns the number of calls so far, without reads that accept stale results, since these
    /// cost only a tenth.
    pub fn full_cost_calls(&self) -> u64 {
        lock(&self.state).full_cost_calls
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = object(name, revision, &spec);
        state.objects.insert(key, (revision, spec));
        state.log.push((revision, kind.to_owned(), object, false));
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Creates or replaces an object whose content is sent as it is, although it may not be JSON.
    pub fn put_text(&self, kind: &str, name: &str, text: &str) {
        let reference = {
            let mut state = lock(&self.state);
            state.texts.push(text.to_owned());
            reference(state.texts.len() - 1)
        };
        self.put(kind, name, reference.into());
    }

    /// Removes an object. Returns false if there was none.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = lock(&self.state);
        let key = (kind.to_owned(), name.to_owned());
        let Some((_, spec)) = state.objects.remove(&key) else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        let object = object(name, revision, &spec);
        state.log.push((revision, kind.to_owned(), object, true));
        drop(state);
        self.changed.send_replace(revision);
        true
    }

    /// Discards the history of changes, so that watches have to list the objects again.
    pub fn discard_history(&self) {
        let mut state = lock(&self.state);
        state.discarded_revision = state.revision;
        state.log.clear();
    }

    /// Copies the objects, the history and the revision.
    pub fn back_up(&self) -> Backup {
        let state = lock(&self.state);
        Backup {
            objects: state.objects.clone(),
            log: state.log.clone(),
            revision: state.revision,
        }
    }

    /// Restores a copy. All later changes are lost, their revisions are given out again, and the
    /// era rises by one. Waiting watches from a later revision fail with status 410.
    pub fn restore(&self, backup: Backup) {
        let mut state = lock(&self.state);
        state.objects = backup.objects;
        state.log = backup.log;
        state.revision = backup.revision;
        state.era += 1;
        drop(state);
        self.changed.send_replace(backup.revision);
    }

    /// Never responds to the reads of a kind that are waiting now, as if their connections had gone
    /// silent. Later reads are not affected.
    pub fn hang_open_reads(&self, kind: &str) {
        let mut state = lock(&self.state);
        let last = state.last_read;
        state.hung_reads.insert(kind.to_owned(), last);
    }

    /// From now on, returns the current objects to reads that accept stale results, whatever changes
    /// later.
    pub fn freeze_stale_reads(&self) {
        let mut state = lock(&self.state);
        state.stale = Some((state.objects.clone(), state.revision));
    }

    /// Returns the names of all objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = lock(&self.state);
        let of_kind = state.objects.keys().filter(|(k, _)| k == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Returns the content of an object, or `None` if it does not exist.
    pub fn spec_of(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        let state = lock(&self.state);
        state.objects.get(&key).map(|(_, spec)| spec.clone())
    }

    /// Returns the revision of an object, or `None` if it does not exist.
    fn revision_of(&self, kind: &str, name: &str) -> Option<u64> {
        let key = (kind.to_owned(), name.to_owned());
        let state = lock(&self.state);
        state.objects.get(&key).map(|(revision, _)| *revision)
    }

    /// Handles a call, unless its caller is turned away.
    async fn handle_from(&self, caller: IpAddr, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut changed = self.turned_away_changed.subscribe();
        let turned_away = async {
            while lock(&self.state).turned_away != Some(caller) {
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        tokio::select! {
            biased;
            () = turned_away => reply(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
            response = self.handle(req) => {
                lock(&self.state).last_served = Some(caller);
                response
            }
        }
    }

    /// Handles a call, subject to the current fault.
    async fn handle(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        // Reads that accept stale results cost a tenth and are not counted.
        let accepts_stale = req
            .uri()
            .query()
            .is_some_and(|query| query.split('&').any(|part| part == "stale-ok=1"));
        if !accepts_stale {
            lock(&self.state).full_cost_calls += 1;
        }
        let mut fault = self.fault.subscribe();
        let current = *fault.borrow_and_update();
        match current {
            StoreFault::None => {}
            StoreFault::Busy => return reply(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
            StoreFault::Unresponsive => std::future::pending().await,
        }
        let (parts, body) = req.into_parts();
        let Ok(body) = body.collect().await else {
            return reply(StatusCode::BAD_REQUEST, &json!({}));
        };
        let body = body.to_bytes();
        let path = parts
            .uri
            .path()
            .trim_start_matches("/-/objects/")
            .to_owned();
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), Some(name.to_owned())),
            None => (path, None),
        };
        let query = |key: &str| {
            let query = parts.uri.query().unwrap_or("").to_owned();
            let found = query
                .split('&')
                .find_map(|p| p.strip_prefix(&format!("{key}=")));
            found.map(str::to_owned)
        };
        if parts.method == Method::GET {
            let watch = query("watch").and_then(|revision| revision.parse().ok());
            let wait = query("wait-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
            let response = async {
                let number = {
                    let mut state = lock(&self.state);
                    state.last_read += 1;
                    state.last_read
                };
                let response = self
                    .read(&kind, watch, Duration::from_millis(wait), accepts_stale)
                    .await;
                let hung = lock(&self.state).hung_reads.get(&kind).copied();
                if hung.is_some_and(|last| number <= last) {
                    std::future::pending::<()>().await;
                }
                response
            };
            // A fault that starts while a watch waits affects it like a new call.
            let interrupted = async {
                let fault = fault.wait_for(|fault| *fault != StoreFault::None).await;
                fault.map_or(StoreFault::None, |fault| *fault)
            };
            return tokio::select! {
                response = response => response,
                fault = interrupted => match fault {
                    StoreFault::Busy => reply(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
                    _ => std::future::pending().await,
                },
            };
        }
        let revision = query("revision").and_then(|revision| revision.parse().ok());
        self.write(&parts.method, &kind, name, revision, &body)
    }

    /// Returns the objects of a kind, or with `watch` the changes after that revision. A watch
    /// waits up to `wait` for the first change. A list that accepts stale results may be frozen.
    async fn read(
        &self,
        kind: &str,
        watch: Option<u64>,
        wait: Duration,
        accepts_stale: bool,
    ) -> Response<Full<Bytes>> {
        let Some(after) = watch else {
            let state = lock(&self.state);
            let (objects, revision) = match &state.stale {
                Some((objects, revision)) if accepts_stale => (objects, *revision),
                _ => (&state.objects, state.revision),
            };
            let of_kind = objects.iter().filter(|((k, _), _)| k == kind);
            let items: Vec<Value> = of_kind
                .map(|((_, name), (revision, spec))| object(name, *revision, spec))
                .collect();
            let list = json!({"items": items, "more": false, "as-of": revision});
            return reply_with_texts(&list, &state.texts);
        };
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            {
                let state = lock(&self.state);
                if after < state.discarded_revision || after > state.revision {
                    return reply(StatusCode::GONE, &json!({}));
                }
                let newer = state
                    .log
                    .iter()
                    .filter(|(revision, k, _, _)| *revision > after && k == kind);
                let events: Vec<Value> = newer
                    .map(|(_, _, object, deleted)| json!({"object": object, "deleted": deleted}))
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    let changes = json!({"events": events, "as-of": state.revision});
                    return reply_with_texts(&changes, &state.texts);
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }

    /// Creates, replaces or deletes an object. With `revision`, an existing object is changed only
    /// if that is its current revision.
    fn write(
        &self,
        method: &Method,
        kind: &str,
        name: Option<String>,
        revision: Option<u64>,
        body: &Bytes,
    ) -> Response<Full<Bytes>> {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let name_in_body = body["metadata"]["name"].as_str().map(str::to_owned);
        let Some(name) = name.or(name_in_body) else {
            return reply(StatusCode::BAD_REQUEST, &json!({}));
        };
        let conflicts =
            revision.is_some_and(|expected| self.revision_of(kind, &name) != Some(expected));
        let exists = self.names(kind).contains(&name);
        let status = match (method.as_str(), exists) {
            ("POST", true) => StatusCode::CONFLICT,
            (_, true) if conflicts => StatusCode::CONFLICT,
            ("PUT", false) => StatusCode::NOT_FOUND,
            ("DELETE", _) if !self.remove(kind, &name) => StatusCode::NOT_FOUND,
            ("DELETE", _) => StatusCode::OK,
            _ => {
                self.put(kind, &name, body["spec"].clone());
                StatusCode::OK
            }
        };
        reply(status, &json!({}))
    }
}

/// Returns an object in the format of the platform.
fn object(name: &str, revision: u64, spec: &Value) -> Value {
    json!({"metadata": {"name": name, "revision": revision, "created": 1, "finalizers": [], "deleting": false},
           "spec": spec, "status": null})
}

/// Content of an object that stands for a text.
fn reference(index: usize) -> String {
    format!("text-{index}-of-the-store")
}

/// Returns a response whose references are replaced by the texts.
fn reply_with_texts(body: &Value, texts: &[String]) -> Response<Full<Bytes>> {
    let mut body = body.to_string();
    for (index, text) in texts.iter().enumerate() {
        body = body.replace(&Value::from(reference(index)).to_string(), text);
    }
    Response::new(Full::new(body.into()))
}

fn reply(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.to_string().into()));
    *response.status_mut() = status;
    response
}
