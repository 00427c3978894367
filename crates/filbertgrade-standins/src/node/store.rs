//! A stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::common::lock;

/// What the store does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    None,
    /// It takes calls and does not answer.
    Unresponsive,
    /// It refuses calls.
    Busy,
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    /// Where it takes calls.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    fault: watch::Sender<StoreFault>,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<(String, String), (u64, Value)>,
    /// Revision, kind, object and whether it was removed.
    log: Vec<(u64, String, Value, bool)>,
    revision: u64,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    calls: u64,
}

impl Store {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            changed: watch::Sender::new(0),
            fault: watch::Sender::new(StoreFault::None),
        };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = serving.clone();
                let service = service_fn(move |req| {
                    let store = store.clone();
                    async move { Ok::<_, Infallible>(store.answer(req).await) }
                });
                tokio::spawn(
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service),
                );
            }
        });
        Ok(store)
    }

    /// Begins or ends a fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.fault.send_replace(fault);
    }

    /// Calls that cost their full price.
    pub fn full_cost_calls(&self) -> u64 {
        lock(&self.state).calls
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

    /// Removes an object. Returns false when there was none.
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

    /// Forgets all changes, so that watches have to begin anew.
    pub fn forget_history(&self) {
        let mut state = lock(&self.state);
        state.forgotten = state.revision;
        state.log.clear();
    }

    /// Names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = lock(&self.state);
        let of_kind = state.objects.keys().filter(|(k, _)| k == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    fn revision_of(&self, kind: &str, name: &str) -> Option<u64> {
        let key = (kind.to_owned(), name.to_owned());
        let state = lock(&self.state);
        state.objects.get(&key).map(|(revision, _)| *revision)
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        // Reads that may be stale cost a tenth.
        let is_stale = |query: &str| query.split('&').any(|part| part == "stale-ok=1");
        if !req.uri().query().is_some_and(is_stale) {
            lock(&self.state).calls += 1;
        }
        let mut fault = self.fault.subscribe();
        let now = *fault.borrow_and_update();
        match now {
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
            let answer = self.read(&kind, watch, Duration::from_millis(wait));
            // A call that waits is lost with the store, or refused by it.
            let lost = async {
                let fault = fault.wait_for(|t| *t != StoreFault::None).await;
                fault.map_or(StoreFault::None, |fault| *fault)
            };
            return tokio::select! {
                answer = answer => answer,
                fault = lost => match fault {
                    StoreFault::Busy => reply(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
                    _ => std::future::pending().await,
                },
            };
        }
        let revision = query("revision").and_then(|revision| revision.parse().ok());
        self.write(&parts.method, &kind, name, revision, &body)
    }

    async fn read(&self, kind: &str, watch: Option<u64>, wait: Duration) -> Response<Full<Bytes>> {
        let Some(after) = watch else {
            let state = lock(&self.state);
            let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
            let items: Vec<Value> = of_kind
                .map(|((_, name), (revision, spec))| object(name, *revision, spec))
                .collect();
            let list = json!({"items": items, "more": false, "as-of": state.revision});
            return reply(StatusCode::OK, &list);
        };
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            {
                let state = lock(&self.state);
                if after < state.forgotten {
                    return reply(StatusCode::GONE, &json!({}));
                }
                let newer = state
                    .log
                    .iter()
                    .filter(|(at, k, _, _)| *at > after && k == kind);
                let events: Vec<Value> = newer
                    .map(|(_, _, object, deleted)| json!({"object": object, "deleted": deleted}))
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    let answer = json!({"events": events, "as-of": state.revision});
                    return reply(StatusCode::OK, &answer);
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }

    fn write(
        &self,
        method: &Method,
        kind: &str,
        name: Option<String>,
        revision: Option<u64>,
        body: &Bytes,
    ) -> Response<Full<Bytes>> {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let named = body["metadata"]["name"].as_str().map(str::to_owned);
        let Some(name) = name.or(named) else {
            return reply(StatusCode::BAD_REQUEST, &json!({}));
        };
        let moved = revision.is_some_and(|wanted| self.revision_of(kind, &name) != Some(wanted));
        let exists = self.names(kind).contains(&name);
        let status = match (method.as_str(), exists) {
            ("POST", true) => StatusCode::CONFLICT,
            (_, true) if moved => StatusCode::CONFLICT,
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

fn object(name: &str, revision: u64, spec: &Value) -> Value {
    json!({"metadata": {"name": name, "revision": revision, "created": 1, "finalizers": [], "deleting": false},
           "spec": spec, "status": null})
}

fn reply(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body.to_string().into()));
    *answer.status_mut() = status;
    answer
}
