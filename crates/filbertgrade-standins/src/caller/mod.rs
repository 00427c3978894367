//! Stand-in for callers: a single [`Caller`], and a [`Load`] generator with many callers.
//!
//! A caller sends `GET /v1/lookup?client=IP` to any VM, caches the response for its time to live,
//! and sends its requests to the first VM in the response that accepts a connection. It retries a
//! request at the next VM only if no byte of the request was sent.

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

/// API key with which a caller authenticates. Its `Debug` output is redacted.
#[derive(Clone, Eq, PartialEq)]
pub struct Key(String);

impl Key {
    /// Creates a key from its secret text. The text must consist of visible ASCII characters.
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

/// How a caller selects the VM for a request.
#[derive(Clone, Debug)]
pub enum Route {
    /// Tries these VMs in random order, without lookups.
    Vms(Vec<SocketAddr>),
    /// Looks up the VMs for requests. When the cached lookup has expired, these VMs are queried in
    /// random order.
    Lookup(Vec<SocketAddr>),
}

/// Settings of a [`Caller`].
#[derive(Clone, Debug)]
pub struct CallerConfig {
    /// How VMs are selected. The default is a lookup without VMs to query, with which every
    /// request ends as `Outcome::Lost { sent: false }`.
    pub route: Route,
    /// API key of the caller's team. Default none, for routes that need no key.
    pub key: Option<Key>,
    /// Client address that is sent in lookups. Default 127.0.0.1.
    pub client_ip: IpAddr,
    /// Source address of the connections. By default the system chooses it.
    pub source: Option<IpAddr>,
    /// Uses HTTP/2 over one shared connection per VM instead of HTTP/1.1. Default off.
    pub http2: bool,
    /// Longest time to open a connection before the next VM is tried. Default 500 ms.
    pub connect_timeout: Duration,
    /// Longest time of a lookup at one VM before the next VM is queried. Default 500 ms.
    pub lookup_timeout: Duration,
    /// Time after the deadline for which the caller still waits for a response. With a value near
    /// zero, refusals that are sent at the deadline arrive too late and count as lost. Default 1 s.
    pub response_grace: Duration,
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
            response_grace: Duration::from_secs(1),
            seed: 1,
        }
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Value of `x-request-id`. It has to be unique among the requests that are compared with the
    /// records of the same backend servers.
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
    /// Requested size of the response body in bytes. Default 64.
    pub response_bytes: usize,
    /// Time until the deadline, counted from the start of the call. The remaining time is sent as
    /// `x-deadline-ms`. Default 2 s.
    pub deadline: Duration,
    /// Value of `idempotency-key`. Default none.
    pub idempotency_key: Option<String>,
}

impl CallRequest {
    /// Creates a request with an empty body and the default response size and deadline.
    #[must_use]
    pub fn new(method: Method, path: &str, request_id: &str) -> CallRequest {
        CallRequest {
            request_id: request_id.to_owned(),
            method,
            path: path.to_owned(),
            query: String::new(),
            body: Bytes::new(),
            response_bytes: DEFAULT_RESPONSE_BYTES,
            deadline: Duration::from_secs(2),
            idempotency_key: None,
        }
    }
}

/// How a request ended, as its caller observed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The complete response to this request arrived.
    Complete,
    /// A response ended without an error, but its body is not the expected one for this request.
    WrongResponse,
    /// The response headers arrived, but the body failed or did not end in time.
    Truncated,
    /// The response has a status other than 200.
    Refused {
        /// HTTP status.
        status: u16,
        /// Value of the header `filbertgrade-cause`. Without it, the name of the header `x-shed` or
        /// `x-drain`, whichever is present, or else `status_<N>`.
        cause: String,
        /// Whether the refusal states that the request did not run: the header
        /// `filbertgrade-outcome` is `not_run`, or it is absent and `x-shed` or `x-drain` is
        /// present.
        not_run: bool,
    },
    /// No response arrived.
    Lost {
        /// Whether bytes of the request may have been sent. If not, no VM could be reached.
        sent: bool,
    },
}

/// Result of one call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// How the request ended.
    pub outcome: Outcome,
    /// Time from the start to the end of the call, including lookups and connecting.
    pub latency: Duration,
    /// Address of the last VM that was tried, or `None` if there was no VM to try.
    pub vm: Option<SocketAddr>,
}

/// Response to a lookup.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookupResponse {
    /// Time in milliseconds for which the response may be cached.
    pub ttl_ms: u64,
    /// VMs in order of preference.
    pub vms: Vec<LookupVm>,
}

/// One VM in a lookup response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LookupVm {
    /// Name of the VM.
    pub vm: String,
    /// Address of the VM for requests.
    pub address: SocketAddr,
    /// Region of the VM.
    pub region: String,
}

/// A caller with its connections and its cached lookup. Clones share both.
#[derive(Clone, Debug)]
pub struct Caller {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    cfg: CallerConfig,
    pool: Pool,
    rng: Mutex<StdRng>,
    /// Cached lookup and its expiry time. The lock is held during a lookup, so that concurrent
    /// calls share one.
    lookup: tokio::sync::Mutex<Option<(Instant, LookupResponse)>>,
}

impl Caller {
    /// Creates a caller. It opens connections when calls need them.
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
        let started = Instant::now();
        let mut vm = None;
        let outcome = self.send(request, started, &mut vm).await;
        CallResult {
            outcome,
            latency: started.elapsed(),
            vm,
        }
    }

    /// Returns the cached lookup if it has not expired; otherwise queries the VMs in random order.
    /// If none of them responds, returns the expired lookup, or `None` if there is none. Also
    /// returns `None` for [`Route::Vms`].
    pub async fn lookup(&self) -> Option<LookupResponse> {
        let Route::Lookup(vms) = &self.shared.cfg.route else {
            return None;
        };
        let mut cached = self.shared.lookup.lock().await;
        if let Some((expires, response)) = &*cached
            && Instant::now() < *expires
        {
            return Some(response.clone());
        }
        for vm in self.shuffled(vms) {
            // The time to live is counted from the request, because the response may be delayed.
            let queried_at = Instant::now();
            let querying = timeout(self.shared.cfg.lookup_timeout, self.query_lookup(vm)).await;
            if let Ok(Some(response)) = querying {
                let expires = queried_at + Duration::from_millis(response.ttl_ms);
                *cached = Some((expires, response.clone()));
                return Some(response);
            }
        }
        cached.as_ref().map(|(_, response)| response.clone())
    }

    /// Closes the idle connections and discards the cached lookup.
    pub async fn reset(&self) {
        self.shared.pool.clear();
        *self.shared.lookup.lock().await = None;
    }

    /// Sends a request to the candidates in turn until one accepts it. Sets `vm` to the last
    /// address that was tried.
    async fn send(
        &self,
        request: &CallRequest,
        started: Instant,
        vm: &mut Option<SocketAddr>,
    ) -> Outcome {
        let give_up_at = started + request.deadline + self.shared.cfg.response_grace;
        for address in self.candidates().await {
            if Instant::now() >= give_up_at {
                break;
            }
            *vm = Some(address);
            let req = self.http_request(request, started, address);
            let sending = self.shared.pool.send(address, req);
            match timeout_at(give_up_at, sending).await {
                Err(_) | Ok(Err(SendFailure::MaybeSent)) => {
                    self.shared.pool.discard_shared(address);
                    return Outcome::Lost { sent: true };
                }
                Ok(Err(SendFailure::NotSent)) => {}
                Ok(Ok((response, sender))) => {
                    let (outcome, reusable) = read_response(request, response, give_up_at).await;
                    if reusable {
                        self.shared.pool.put_back(address, sender);
                    }
                    return outcome;
                }
            }
        }
        Outcome::Lost { sent: false }
    }

    /// Returns the addresses of the VMs to try, in order.
    async fn candidates(&self) -> Vec<SocketAddr> {
        match &self.shared.cfg.route {
            Route::Vms(vms) => self.shuffled(vms),
            Route::Lookup(_) => {
                let vms = self
                    .lookup()
                    .await
                    .map(|response| response.vms)
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

    /// Queries one VM for a lookup. Returns `None` if there is no valid response.
    async fn query_lookup(&self, vm: SocketAddr) -> Option<LookupResponse> {
        let path = format!("/v1/lookup?client={}", self.shared.cfg.client_ip);
        let req = Request::get(self.uri(vm, &path)).header(HOST, vm.to_string());
        let req = req.body(Full::default()).ok()?;
        let (response, sender) = self.shared.pool.send(vm, req).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = response.into_body().collect().await.ok()?.to_bytes();
        self.shared.pool.put_back(vm, sender);
        serde_json::from_slice(&body).ok()
    }

    /// Returns the URI of a request to this VM: in absolute form for HTTP/2, which takes the
    /// authority from the URI.
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
        started: Instant,
        vm: SocketAddr,
    ) -> Request<Full<Bytes>> {
        let CallRequest {
            path,
            query,
            response_bytes,
            ..
        } = request;
        let separator = if query.is_empty() { "" } else { "&" };
        let path = format!("{path}?bytes={response_bytes}{separator}{query}");
        let remaining = request.deadline.saturating_sub(started.elapsed());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let mut req = Request::builder()
            .method(&request.method)
            .uri(self.uri(vm, &path))
            .header("x-request-id", &request.request_id)
            .header("x-deadline-ms", remaining_ms);
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

/// Reads a response and returns the outcome and whether the connection can be used again.
async fn read_response(
    request: &CallRequest,
    response: Response<Incoming>,
    give_up_at: Instant,
) -> (Outcome, bool) {
    let (parts, body) = response.into_parts();
    let body = timeout_at(give_up_at, body.collect()).await;
    let body = body
        .ok()
        .and_then(Result::ok)
        .map(http_body_util::Collected::to_bytes);
    let reusable = body.is_some();
    if parts.status != StatusCode::OK {
        return (refusal(parts.status, &parts.headers), reusable);
    }
    let outcome = match body {
        None => Outcome::Truncated,
        Some(body) => {
            let CallRequest {
                request_id,
                body: sent,
                response_bytes,
                ..
            } = request;
            if body == expected_response(request_id, sent, *response_bytes) {
                Outcome::Complete
            } else {
                Outcome::WrongResponse
            }
        }
    };
    (outcome, reusable)
}

/// Returns the outcome for a response with a status other than 200.
fn refusal(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let flag_header = ["x-shed", "x-drain"]
        .into_iter()
        .find(|flag_header| headers.contains_key(*flag_header));
    let status = status.as_u16();
    let cause = text("filbertgrade-cause").or(flag_header);
    Outcome::Refused {
        status,
        cause: cause.map_or_else(|| format!("status_{status}"), str::to_owned),
        not_run: match text("filbertgrade-outcome") {
            Some(outcome) => outcome == "not_run",
            None => flag_header.is_some(),
        },
    }
}

/// Returns a random time between two events of a Poisson process.
fn exponential(rng: &mut StdRng, events_per_second: f64) -> Duration {
    let unit: f64 = rng.random();
    Duration::from_secs_f64((-(1.0 - unit).ln() / events_per_second).min(1e6))
}
