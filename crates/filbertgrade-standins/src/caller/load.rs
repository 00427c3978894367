//! Load generator that sends the requests of several teams in an open loop.

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::report::{CallRecord, Limit, LoadReport};
use super::{CallRequest, Caller, CallerConfig, Key, Route, exponential};
use crate::backend::DEFAULT_RESPONSE_BYTES;

/// Largest number of calls in flight per team. Further calls are counted as skipped, so that a
/// system that does not respond cannot exhaust the memory of the test.
const MAX_IN_FLIGHT: usize = 2_000;

/// One kind of request in the mix of a team.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// HTTP method. Every method except `POST` counts as idempotent.
    pub method: Method,
    /// Path `/<service>/...` without a query.
    pub path: String,
    /// Further query parameters, as in [`CallRequest::query`]. Default empty.
    pub query: String,
    /// Size of the request body in bytes. Default 0; [`order`](Self::order) sets 256 and
    /// [`upload`](Self::upload) the given size.
    pub body_bytes: usize,
    /// Requested size of the response body in bytes. Default 64.
    pub response_bytes: usize,
    /// Frequency of this kind relative to the weights of the other kinds in the mix. Default 1.
    pub weight: u32,
    /// Whether each request has an `idempotency-key` of its own. Default off.
    pub idempotency_key: bool,
}

impl RequestKind {
    /// Creates the kind `GET /<service>/chart`.
    #[must_use]
    pub fn chart(service: &str) -> RequestKind {
        RequestKind::new(Method::GET, format!("/{service}/chart"), 0)
    }

    /// Creates the kind `POST /<service>/order` with a body of 256 bytes.
    #[must_use]
    pub fn order(service: &str) -> RequestKind {
        RequestKind::new(Method::POST, format!("/{service}/order"), 256)
    }

    /// Creates the kind `PUT /<service>/scan` with a body of `body_bytes` bytes.
    #[must_use]
    pub fn upload(service: &str, body_bytes: usize) -> RequestKind {
        RequestKind::new(Method::PUT, format!("/{service}/scan"), body_bytes)
    }

    /// Sets the weight.
    #[must_use]
    pub fn weight(mut self, weight: u32) -> RequestKind {
        self.weight = weight;
        self
    }

    fn new(method: Method, path: String, body_bytes: usize) -> RequestKind {
        RequestKind {
            method,
            path,
            query: String::new(),
            body_bytes,
            response_bytes: DEFAULT_RESPONSE_BYTES,
            weight: 1,
            idempotency_key: false,
        }
    }
}

/// Load of one team.
#[derive(Clone, Debug)]
pub struct TeamLoad {
    /// Name of the team in the configuration of the system under test.
    pub name: String,
    /// API key of the team. Default none.
    pub key: Option<Key>,
    /// Mean number of requests per second. Default 10.
    pub rate: f64,
    /// Number of requests that are sent at once. These groups form a Poisson process whose rate is
    /// `rate / burst`, so the mean request rate does not depend on the burst. Default 1.
    pub burst: u32,
    /// Kinds of requests, at least one.
    pub mix: Vec<RequestKind>,
    /// Client addresses of the team's callers. Each caller has lookups and connections of its own,
    /// and each request is sent by a random caller. Default none, which means one caller with the
    /// address in [`LoadConfig::caller`].
    pub clients: Vec<IpAddr>,
    /// Rate limit of the team in the system under test. Default none, which means that the report
    /// does not check rates.
    pub limit: Option<Limit>,
}

impl TeamLoad {
    /// Creates the load of one team with a burst of 1 and without a key, client addresses or a
    /// limit.
    #[must_use]
    pub fn new(name: &str, rate: f64, mix: Vec<RequestKind>) -> TeamLoad {
        TeamLoad {
            name: name.to_owned(),
            key: None,
            rate,
            burst: 1,
            mix,
            clients: Vec::new(),
            limit: None,
        }
    }
}

/// Settings of a [`Load`].
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// The teams. Default none.
    pub teams: Vec<TeamLoad>,
    /// Settings of the callers of every team. The key, the seed and, if the team has `clients`, the
    /// client address are replaced. Default as [`CallerConfig`].
    pub caller: CallerConfig,
    /// Time during which requests are sent. Default 1 s.
    pub duration: Duration,
    /// Deadline of each request. Default 2 s.
    pub deadline: Duration,
    /// Seed of the arrival times and the choices from the mixes. The seed is part of the request
    /// ids, so loads that are compared with the records of the same backend servers need different
    /// seeds. Default 1.
    pub seed: u64,
}

impl Default for LoadConfig {
    fn default() -> LoadConfig {
        LoadConfig {
            teams: Vec::new(),
            caller: CallerConfig::default(),
            duration: Duration::from_secs(1),
            deadline: Duration::from_secs(2),
            seed: 1,
        }
    }
}

impl LoadConfig {
    /// Creates a load of `teams` over `route` with the default duration, deadline and seed.
    #[must_use]
    pub fn new(route: Route, teams: Vec<TeamLoad>) -> LoadConfig {
        let caller = CallerConfig {
            route,
            ..CallerConfig::default()
        };
        LoadConfig {
            teams,
            caller,
            ..LoadConfig::default()
        }
    }
}

/// Open-loop load: requests are sent at their planned times, whether or not earlier ones have
/// ended.
#[derive(Clone, Debug)]
pub struct Load {
    cfg: LoadConfig,
}

impl Load {
    /// Creates a load. Nothing is sent until [`run`](Self::run) is called.
    #[must_use]
    pub fn new(cfg: LoadConfig) -> Load {
        Load { cfg }
    }

    /// Sends the requests and waits until every call has ended. This takes at most the sum of the
    /// duration, the deadline and the [`response_grace`](CallerConfig::response_grace) of the
    /// callers.
    ///
    /// # Panics
    ///
    /// Panics if the mix of a team is empty or all its weights are zero.
    pub async fn run(self) -> LoadReport {
        let started = Instant::now();
        let mut teams = JoinSet::new();
        for (index, team) in self.cfg.teams.iter().enumerate() {
            teams.spawn(run_team(
                self.cfg.clone(),
                team.clone(),
                index as u64,
                started,
            ));
        }
        let mut report = LoadReport::new(&self.cfg.teams);
        while let Some(finished) = teams.join_next().await {
            let (name, calls, skipped) = finished.expect("a team's load does not panic");
            report.add(&name, calls, skipped);
        }
        report.finish();
        report
    }
}

/// Sends the requests of one team. Returns its name, its calls and the number of skipped calls.
async fn run_team(
    cfg: LoadConfig,
    team: TeamLoad,
    index: u64,
    started: Instant,
) -> (String, Vec<CallRecord>, u64) {
    let seed = cfg.seed.wrapping_mul(1_000).wrapping_add(index);
    let mut rng = StdRng::seed_from_u64(seed);
    let callers = callers(&cfg, &team, seed);
    let bodies = BodyPool::new(&team.mix, &mut rng);
    let mut calls = JoinSet::new();
    let mut records = Vec::new();
    let (mut number, mut skipped) = (0_u64, 0);
    let mut planned = Duration::ZERO;
    loop {
        planned += exponential(&mut rng, team.rate / f64::from(team.burst.max(1)));
        if planned >= cfg.duration {
            break;
        }
        sleep_until(started + planned).await;
        while let Some(finished) = calls.try_join_next() {
            records.push(finished.expect("a call does not panic"));
        }
        for _ in 0..team.burst.max(1) {
            number += 1;
            if calls.len() >= MAX_IN_FLIGHT {
                skipped += 1;
                continue;
            }
            let request_id = format!("{}-{}-{number}", team.name, cfg.seed);
            let request = request(&team.mix, request_id, cfg.deadline, &bodies, &mut rng);
            let caller = callers[rng.random_range(0..callers.len())].clone();
            calls.spawn(call(caller, team.name.clone(), request, started + planned));
        }
    }
    while let Some(finished) = calls.join_next().await {
        records.push(finished.expect("a call does not panic"));
    }
    (team.name, records, skipped)
}

/// Creates the callers of one team, with consecutive seeds from `seed`.
fn callers(cfg: &LoadConfig, team: &TeamLoad, seed: u64) -> Vec<Caller> {
    let caller = |(client_ip, seed)| {
        Caller::new(CallerConfig {
            key: team.key.clone(),
            client_ip,
            seed,
            ..cfg.caller.clone()
        })
    };
    let mut clients = team.clients.clone();
    if clients.is_empty() {
        clients.push(cfg.caller.client_ip);
    }
    clients.into_iter().zip(seed..).map(caller).collect()
}

/// Makes the call that was planned for the time `due`.
async fn call(caller: Caller, team: String, request: CallRequest, due: Instant) -> CallRecord {
    let sent = std::time::Instant::now();
    let result = caller.call(&request).await;
    CallRecord {
        request_id: request.request_id,
        team,
        idempotent: request.method != Method::POST,
        sent,
        // Measured from the planned time, so that a late start of the call is included.
        latency: due.elapsed(),
        outcome: result.outcome,
        vm: result.vm,
    }
}

/// Creates a request of a random kind from the mix.
fn request(
    mix: &[RequestKind],
    request_id: String,
    deadline: Duration,
    bodies: &BodyPool,
    rng: &mut StdRng,
) -> CallRequest {
    let total: u32 = mix.iter().map(|kind| kind.weight).sum();
    let mut pick = rng.random_range(0..total);
    let kind = mix.iter().find(|kind| {
        let found = pick < kind.weight;
        pick = pick.saturating_sub(kind.weight);
        found
    });
    let kind = kind.expect("the pick is below the sum of the weights");
    CallRequest {
        method: kind.method.clone(),
        path: kind.path.clone(),
        query: kind.query.clone(),
        body: bodies.random_body(kind.body_bytes, rng),
        response_bytes: kind.response_bytes,
        deadline,
        idempotency_key: kind.idempotency_key.then(|| format!("once-{request_id}")),
        request_id,
    }
}

/// Random bytes of which request bodies are slices, so that bodies are not copied.
struct BodyPool(Bytes);

impl BodyPool {
    /// Number of offsets at which a body may start, and so of different bodies of each size.
    const OFFSETS: usize = 4096;

    fn new(mix: &[RequestKind], rng: &mut StdRng) -> BodyPool {
        let largest = mix.iter().map(|kind| kind.body_bytes).max().unwrap_or(0);
        let mut bytes = vec![0; largest + BodyPool::OFFSETS];
        rng.fill(bytes.as_mut_slice());
        BodyPool(bytes.into())
    }

    /// Returns a random slice of `size` bytes.
    fn random_body(&self, size: usize, rng: &mut StdRng) -> Bytes {
        let offset = rng.random_range(0..BodyPool::OFFSETS);
        self.0.slice(offset..offset + size)
    }
}
