//! Stand-in for callers: one [`Caller`], and a [`Load`] of many.
//!
//! A caller asks any VM for `GET /v1/lookup?client=IP`, keeps the answer for its time to live, and
//! sends its requests to the first VM of the answer that accepts a connection. It sends a request
//! again only if no byte of it has left.

mod connection;
mod load;
mod report;

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout, timeout_at};

use self::connection::{Pool, SendFailure};
pub use self::load::{Load, LoadConfig, RequestKind, TeamLoad};
pub use self::report::{
    BackendComparison, CallRecord, Limit, LoadReport, TeamReport, admitted_by_team, count_over_rate,
};
use crate::backend::{DEFAULT_RESPONSE_BYTES, expected_response};
use crate::common::lock;

/// Secret that a caller presents. Its `Debug` form is redacted.
#[derive(Clone, Eq, PartialEq)]
pub struct Key(String);

impl Key {
    /// Wraps a secret.
    #[must_use]
    pub fn new(secret: impl Into<String>) -> Key {
        Key(secret.into())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(redacted)")
    }
}

/// How a caller finds the VM for a request.
#[derive(Clone, Debug)]
pub enum Route {
    /// Sends each request to one of these VMs at random, without look-ups.
    Vms(Vec<SocketAddr>),
    /// Asks one of these VMs at random for a look-up when no cached answer is valid.
    Lookup(Vec<SocketAddr>),
}

/// Settings of a [`Caller`].
#[derive(Clone, Debug)]
pub struct CallerConfig {
    /// How VMs are found. Default a look-up at no VM, with which every request is lost unsent.
    pub route: Route,
    /// Key of the caller's team. Default none, for routes open to all.
    pub key: Option<Key>,
    /// Address in look-ups. Default 127.0.0.1.
    pub client_ip: IpAddr,
    /// Address that connections come from. Default chosen by the system.
    pub source: Option<IpAddr>,
    /// Speaks HTTP/2 over one shared connection per VM instead of HTTP/1.1. Default off.
    pub http2: bool,
    /// Longest time to open a connection before the next VM is tried. Default 500 ms.
    pub connect_timeout: Duration,
    /// Longest time of a look-up at one VM before the next VM is asked. Default 500 ms.
    pub lookup_timeout: Duration,
    /// Time after the deadline until the caller gives up. With a time near zero, refusals at the
    /// deadline count as lost. Default 1 s.
    pub patience: Duration,
    /// Seed of the random choices. Default 1.
    pub seed: u64,
}

impl Default for CallerConfig {
    fn default() -> CallerConfig {
        CallerConfig {
            route: Route::Lookup(Vec::new()),
            key: None,
            client_ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            source: None,
            http2: false,
            connect_timeout: Duration::from_millis(500),
            lookup_timeout: Duration::from_millis(500),
            patience: Duration::from_secs(1),
            seed: 1,
        }
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Value of `x-request-id`. It has to be unique among the requests whose records are joined.
    pub request_id: String,
    /// HTTP method.
    pub method: Method,
    /// Path `/<service>/...` without a query.
    pub path: String,
    /// Further query parameters without a leading `&`, for example `service_ms=100`. Default
    /// empty.
    pub query: String,
    /// Request body. Default empty.
    pub body: Bytes,
    /// Size of the answer in bytes. Default 64.
    pub answer_bytes: usize,
    /// Time within which the answer is wanted, sent as `x-deadline-ms`. Default 2 s.
    pub deadline: Duration,
    /// Value of `idempotency-key`. Default none.
    pub idempotency_key: Option<String>,
}

impl CallRequest {
    /// Creates a request with the default body, answer size and deadline.
    #[must_use]
    pub fn new(method: Method, path: &str, request_id: &str) -> CallRequest {
        CallRequest {
            request_id: request_id.to_owned(),
            method,
            path: path.to_owned(),
            query: String::new(),
            body: Bytes::new(),
            answer_bytes: DEFAULT_RESPONSE_BYTES,
            deadline: Duration::from_secs(2),
            idempotency_key: None,
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer to this request arrived.
    Whole,
    /// An answer ended as if it were complete, but it is not the answer to this request.
    WrongAnswer,
    /// The answer began, and then it broke off or did not end in time.
    Cut,
    /// The request was refused.
    Refused {
        /// HTTP status.
        status: u16,
        /// Header `filbertgrade-cause`, or `x-shed`, `x-drain` or `status_<N>` without it.
        cause: String,
        /// Whether the refusal says that the request did not run. Without the header
        /// `filbertgrade-outcome`, this holds for `x-shed` and `x-drain` only.
        not_run: bool,
    },
    /// No answer arrived.
    Lost {
        /// Whether bytes of the request may have left. If not, no VM could be reached.
        sent: bool,
    },
}

/// Result of one call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// How the request ended.
    pub outcome: Outcome,
    /// Time from the call to its end, including look-ups and connecting.
    pub latency: Duration,
    /// The last VM that was tried.
    pub vm: Option<SocketAddr>,
}

/// Answer of a look-up.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookupAnswer {
    /// Time in milliseconds for which the answer may be used.
    pub ttl_ms: u64,
    /// VMs in order of preference.
    pub vms: Vec<LookupVm>,
}

/// One VM of a look-up answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookupVm {
    /// Name of the VM.
    pub vm: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Region of the VM.
    pub region: String,
}

/// A caller with its connections and its cached look-up. Clones share both.
#[derive(Clone, Debug)]
pub struct Caller {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    cfg: CallerConfig,
    pool: Pool,
    rng: Mutex<StdRng>,
    /// The lock is held during a look-up, so that calls at the same time share one.
    lookup: tokio::sync::Mutex<Option<(Instant, LookupAnswer)>>,
}

impl Caller {
    /// Creates a caller. It connects when it needs to.
    #[must_use]
    pub fn new(cfg: CallerConfig) -> Caller {
        let pool = Pool::new(cfg.source, cfg.http2, cfg.connect_timeout);
        let rng = Mutex::new(StdRng::seed_from_u64(cfg.seed));
        let lookup = tokio::sync::Mutex::new(None);
        Caller {
            shared: Arc::new(Shared {
                cfg,
                pool,
                rng,
                lookup,
            }),
        }
    }

    /// Sends one request and classifies how it ended.
    pub async fn call(&self, request: &CallRequest) -> CallResult {
        let began = Instant::now();
        let mut vm = None;
        let outcome = self.send(request, began, &mut vm).await;
        CallResult {
            outcome,
            latency: began.elapsed(),
            vm,
        }
    }

    /// Returns the cached look-up if it is valid, or asks the VMs in random order. If none
    /// answers, returns the expired look-up, and `None` if there is none.
    pub async fn lookup(&self) -> Option<LookupAnswer> {
        let Route::Lookup(vms) = &self.shared.cfg.route else {
            return None;
        };
        let mut cached = self.shared.lookup.lock().await;
        if let Some((expires, answer)) = &*cached
            && Instant::now() < *expires
        {
            return Some(answer.clone());
        }
        for vm in self.shuffled(vms) {
            // The time to live counts from the question, because the answer may be delayed.
            let asked = Instant::now();
            let asking = timeout(self.shared.cfg.lookup_timeout, self.ask(vm)).await;
            if let Ok(Some(answer)) = asking {
                let expires = asked + Duration::from_millis(answer.ttl_ms);
                *cached = Some((expires, answer.clone()));
                return Some(answer);
            }
        }
        cached.as_ref().map(|(_, answer)| answer.clone())
    }

    /// Closes the idle connections and forgets the cached look-up.
    pub async fn reset(&self) {
        self.shared.pool.clear();
        *self.shared.lookup.lock().await = None;
    }

    async fn send(
        &self,
        request: &CallRequest,
        began: Instant,
        vm: &mut Option<SocketAddr>,
    ) -> Outcome {
        let give_up = began + request.deadline + self.shared.cfg.patience;
        for address in self.candidates().await {
            if Instant::now() >= give_up {
                break;
            }
            *vm = Some(address);
            let req = self.http_request(request, began, address);
            let sending = self.shared.pool.send(address, req);
            match timeout_at(give_up, sending).await {
                Err(_) | Ok(Err(SendFailure::Sent)) => {
                    self.shared.pool.distrust_shared(address);
                    return Outcome::Lost { sent: true };
                }
                Ok(Err(SendFailure::NotSent)) => {}
                Ok(Ok((answer, sender))) => {
                    let (outcome, reusable) = read_answer(request, answer, give_up).await;
                    if reusable {
                        self.shared.pool.put_back(address, sender);
                    }
                    return outcome;
                }
            }
        }
        Outcome::Lost { sent: false }
    }

    async fn candidates(&self) -> Vec<SocketAddr> {
        match &self.shared.cfg.route {
            Route::Vms(vms) => self.shuffled(vms),
            Route::Lookup(_) => {
                let vms = self
                    .lookup()
                    .await
                    .map(|answer| answer.vms)
                    .unwrap_or_default();
                vms.into_iter().map(|vm| vm.address).collect()
            }
        }
    }

    fn shuffled(&self, vms: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut vms = vms.to_vec();
        vms.shuffle(&mut *lock(&self.shared.rng));
        vms
    }

    async fn ask(&self, vm: SocketAddr) -> Option<LookupAnswer> {
        let path = format!("/v1/lookup?client={}", self.shared.cfg.client_ip);
        let req = Request::get(self.uri(vm, &path)).header(HOST, vm.to_string());
        let req = req.body(Full::default()).ok()?;
        let (answer, sender) = self.shared.pool.send(vm, req).await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        self.shared.pool.put_back(vm, sender);
        serde_json::from_slice(&body).ok()
    }

    /// Returns the absolute form for HTTP/2, which carries the authority in the URI.
    fn uri(&self, vm: SocketAddr, path: &str) -> String {
        if self.shared.cfg.http2 {
            format!("http://{vm}{path}")
        } else {
            path.to_owned()
        }
    }

    fn http_request(
        &self,
        request: &CallRequest,
        began: Instant,
        vm: SocketAddr,
    ) -> Request<Full<Bytes>> {
        let CallRequest {
            path,
            query,
            answer_bytes,
            ..
        } = request;
        let separator = if query.is_empty() { "" } else { "&" };
        let path = format!("{path}?bytes={answer_bytes}{separator}{query}");
        let left = request.deadline.saturating_sub(began.elapsed());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let mut req = Request::builder()
            .method(&request.method)
            .uri(self.uri(vm, &path))
            .header("x-request-id", &request.request_id)
            .header("x-deadline-ms", left_ms);
        if !self.shared.cfg.http2 {
            req = req.header(HOST, vm.to_string());
        }
        if let Some(key) = &self.shared.cfg.key {
            let mut value = HeaderValue::from_str(&format!("Bearer {}", key.0))
                .expect("a key consists of visible ASCII characters");
            value.set_sensitive(true);
            req = req.header(AUTHORIZATION, value);
        }
        if let Some(key) = &request.idempotency_key {
            req = req.header("idempotency-key", key);
        }
        req.body(Full::new(request.body.clone()))
            .expect("the request has a valid path and headers")
    }
}

/// Returns the outcome and whether the connection can carry another request.
async fn read_answer(
    request: &CallRequest,
    answer: Response<Incoming>,
    give_up: Instant,
) -> (Outcome, bool) {
    let (parts, body) = answer.into_parts();
    let body = timeout_at(give_up, body.collect()).await;
    let body = body
        .ok()
        .and_then(Result::ok)
        .map(http_body_util::Collected::to_bytes);
    let reusable = body.is_some();
    if parts.status != StatusCode::OK {
        return (refusal(parts.status, &parts.headers), reusable);
    }
    let outcome = match body {
        None => Outcome::Cut,
        Some(body) => {
            let CallRequest {
                request_id,
                body: sent,
                answer_bytes,
                ..
            } = request;
            if body == expected_response(request_id, sent, *answer_bytes) {
                Outcome::Whole
            } else {
                Outcome::WrongAnswer
            }
        }
    };
    (outcome, reusable)
}

fn refusal(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let mark = ["x-shed", "x-drain"]
        .into_iter()
        .find(|mark| headers.contains_key(*mark));
    let status = status.as_u16();
    let cause = text("filbertgrade-cause").or(mark);
    Outcome::Refused {
        status,
        cause: cause.map_or_else(|| format!("status_{status}"), str::to_owned),
        not_run: match text("filbertgrade-outcome") {
            Some(outcome) => outcome == "not_run",
            None => mark.is_some(),
        },
    }
}

/// Returns a time between two events of a Poisson process.
fn exponential(rng: &mut StdRng, events_per_second: f64) -> Duration {
    let unit: f64 = rng.random();
    Duration::from_secs_f64((-(1.0 - unit).ln() / events_per_second).min(1e6))
}
