//! The platform's store: objects by kind and name, with lists, watches and
//! conditional writes. What an object holds is kept as the text that was written.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};

/// Largest number of items in one response to a list.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision and spec by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, object and whether it was removed.
    log: Vec<(u64, String, String, bool)>,
    /// Machine that the store turns away with status 503.
    turned_away: Option<IpAddr>,
    /// Machine that made the last read.
    last_reader: Option<IpAddr>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":{{}}}}"
    )
}

impl Store {
    pub fn start(address: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object. Returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = state.objects.get(&key) {
            if known == spec {
                return *revision;
            }
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key, (revision, spec.to_owned()));
        let object = object(name, revision, spec);
        state.log.push((revision, kind.to_owned(), object, false));
        changed.notify_all();
        revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = state.objects.remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            let object = object(name, revision, &spec);
            state.log.push((revision, kind.to_owned(), object, true));
            changed.notify_all();
        }
    }

    /// Turns a machine away, and serves all others; `None` serves all.
    pub fn turn_away(&self, machine: Option<IpAddr>) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().turned_away = machine;
        changed.notify_all();
    }

    /// The machine that made the last read.
    pub fn last_reader(&self) -> Option<IpAddr> {
        self.shared.0.lock().unwrap().last_reader
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let peer = stream.peer_addr().ok().map(|peer| peer.ip());
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(req)) = reader.message() {
            if req.first_line.starts_with("GET") {
                self.shared.0.lock().unwrap().last_reader = peer;
            }
            let is_turned_away = || {
                let turned_away = self.shared.0.lock().unwrap().turned_away;
                turned_away.is_some() && turned_away == peer
            };
            let mut response = (503, "{}".into());
            if !is_turned_away() {
                response = self.handle(&req, peer);
            }
            if is_turned_away() {
                // A watch that waited is cut off.
                response = (503, "{}".into());
            }
            let (status, body) = response;
            let head = format!(
                "HTTP/1.1 {status} S\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, req: &Message, peer: Option<IpAddr>) -> (u16, String) {
        let mut words = req.first_line.split(' ');
        let method = words.next().unwrap_or("");
        let target = words.next().unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return (404, "{}".into());
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let param = |key: &str| {
            let found = query
                .split('&')
                .find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
            found.map(str::to_owned)
        };
        let number = |key: &str| param(key).and_then(|v| v.parse::<u64>().ok());
        if method == "GET" {
            return match (name, number("watch")) {
                (Some(name), _) => self.one(kind, name),
                (None, Some(after)) => {
                    self.watch(kind, after, number("wait-ms").unwrap_or(0), peer)
                },
                (None, None) => self.list(kind, &param("after").unwrap_or_default()),
            };
        }
        self.write(method, kind, name, number("revision"), &req.body)
    }

    fn one(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => (200, object(name, *revision, spec)),
            None => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let of_kind = state
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && (after.is_empty() || name.as_str() > after));
        let items: Vec<String> = of_kind
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let more = items.len() > PAGE_ITEMS;
        let page = items[..items.len().min(PAGE_ITEMS)].join(",");
        let as_of = state.revision;
        (
            200,
            format!("{{\"items\":[{page}],\"more\":{more},\"as-of\":{as_of}}}"),
        )
    }

    fn watch(
        &self,
        kind: &str,
        after: u64,
        wait_ms: u64,
        peer: Option<IpAddr>,
    ) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let newer = state
                .log
                .iter()
                .filter(|(revision, k, _, _)| *revision > after && k == kind);
            let events: Vec<String> = newer
                .map(|(_, _, object, deleted)| {
                    format!("{{\"object\":{object},\"deleted\":{deleted}}}")
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            let turned_away = state.turned_away.is_some() && state.turned_away == peer;
            if !events.is_empty() || left.is_zero() || turned_away {
                let as_of = state.revision;
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"as-of\":{as_of}}}"),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Writes for a node. Its bodies are compact JSON with the name in `metadata`
    /// and then `spec` as the last field.
    fn write(
        &self,
        method: &str,
        kind: &str,
        name: Option<&str>,
        revision: Option<u64>,
        body: &[u8],
    ) -> (u16, String) {
        let body = String::from_utf8_lossy(body).into_owned();
        let in_body = body
            .split_once("\"name\":\"")
            .and_then(|(_, rest)| rest.split_once('"'))
            .map(|(name, _)| name.to_owned());
        let Some(name) = name.map(str::to_owned).or(in_body) else {
            return (400, "{}".into());
        };
        let known = {
            let state = self.shared.0.lock().unwrap();
            let known = state.objects.get(&(kind.to_owned(), name.clone()));
            known.map(|(revision, _)| *revision)
        };
        if revision.is_some() && known.is_some() && revision != known {
            return (409, "{}".into());
        }
        match (method, known) {
            ("POST", Some(_)) => (409, "{}".into()),
            ("PUT" | "DELETE", None) => (404, "{}".into()),
            ("DELETE", Some(_)) => {
                self.remove(kind, &name);
                (200, "{}".into())
            }
            ("POST" | "PUT", _) => {
                let spec = body
                    .split_once("\"spec\":")
                    .and_then(|(_, rest)| rest.trim_end().strip_suffix('}'));
                self.put(kind, &name, spec.unwrap_or("{}"));
                (200, "{}".into())
            }
            _ => (405, "{}".into()),
        }
    }
}
