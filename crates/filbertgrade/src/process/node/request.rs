//! One caller's request: route, key, limit, place, send, answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::ServiceName;
use filbertgrade_coord::steering::balancer::{Pick, PickRefusal, PickRequest, Target};
use filbertgrade_coord::steering::deployment::{Deployment, Route, Team};
use filbertgrade_coord::steering::endpoint::EndpointKey;
use filbertgrade_coord::steering::placement::object_hash;
use filbertgrade_coord::steering::retry::hedge_delay;
use filbertgrade_platform::headers::RequestHead;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::request::Parts;
use http::{Request, Response, header};
use hyper::body::Incoming;

use super::Node;
use super::answer::{self, Body};
use super::attempt::{self, Reply};
use super::body::{BodyFault, Upload};
use super::tokens;
use crate::logfmt;
use crate::request::{
    self, AttemptState, Cause, Failure, NextStep, Refusal, RetryContext, remove_hop_by_hop,
};
use crate::sync::lock;

/// Time for a request whose caller tells no deadline on a route without a
/// timeout.
const DEFAULT_TIME: Duration = Duration::from_secs(30);

/// Time beyond a route's timeout in which an answer that is already on its way
/// is still passed on.
const TIMEOUT_GRACE: Duration = Duration::from_millis(100);

/// When a caller that was refused for want of a current configuration should
/// try another VM.
const ELSEWHERE_AFTER: Duration = Duration::from_millis(100);

/// A request that has a route and may run.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) parts: Parts,
    pub(super) head: RequestHead,
    pub(super) route: Arc<Route>,
    pub(super) team: Option<Arc<Team>>,
    pub(super) service: ServiceName,
    /// Hash of the object that it concerns, or a random number.
    pub(super) object: u64,
    /// The caller named an object.
    has_object: bool,
    pub(super) arrived: Instant,
    /// Length of the body that the caller announced.
    body_bytes: u64,
    /// Until when an answer is of use.
    pub(super) deadline: Instant,
    version: u64,
}

/// A refusal with the time after which the caller may come back.
#[derive(Debug)]
struct Refused {
    refusal: Refusal,
    retry_after: Option<Duration>,
}

/// What was done for a request so far.
#[derive(Debug, Default)]
struct Progress {
    tried: Vec<EndpointKey>,
    /// An attempt may have run.
    may_have_run: bool,
    /// An endpoint's own failure, which is passed on when nothing better comes.
    failed: Option<Response<Body>>,
    last_target: Option<Target>,
}

/// What to do after an attempt.
enum Step {
    Answer(Response<Body>),
    Again,
    GiveUp(Refused),
}

impl Refused {
    fn not_run(cause: Cause) -> Self {
        Self {
            refusal: Refusal::not_run(cause),
            retry_after: None,
        }
    }

    fn come_back(cause: Cause, after: Duration) -> Self {
        Self {
            refusal: Refusal::not_run(cause),
            retry_after: Some(after),
        }
    }

    fn unknown(cause: Cause) -> Self {
        Self {
            refusal: Refusal::unknown(cause),
            retry_after: None,
        }
    }
}

impl Call {
    /// The caller's id, for log lines.
    pub(super) fn id(&self) -> logfmt::Value<&str> {
        id_of(&self.head)
    }

    fn ask<'a>(&'a self, tried: &'a [EndpointKey], now: Instant) -> PickRequest<'a> {
        let team_homes = self
            .team
            .as_ref()
            .map_or(&[][..], |team| &team.home_regions);
        PickRequest {
            service: &self.service,
            object: self.object,
            sticky: self.route.sticky && self.has_object,
            idempotent: self.route.kind.is_idempotent(),
            allowed_regions: [&self.route.home_regions, team_homes],
            tried,
            priority: self.priority(),
            target_latency: self.route.target_latency,
            time_left: self.deadline.saturating_duration_since(now),
            body_bytes: self.body_bytes,
        }
    }

    fn priority(&self) -> u32 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }
}

fn id_of(head: &RequestHead) -> logfmt::Value<&str> {
    let id = head.id.as_ref().and_then(|id| id.to_str().ok());
    logfmt::value(id.unwrap_or("none"))
}

/// Serves one request.
pub(super) async fn serve(node: &Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let _running = node.running_requests.start();
    let arrived = Instant::now();
    let (parts, body) = req.into_parts();
    let head = RequestHead::from(&parts.headers);
    node.wait_for_first_read().await;
    let call = match decide(node, parts, head.clone(), arrived) {
        Ok(call) => call,
        Err(refused) => return refuse(&head, &refused, arrived, "route=none"),
    };
    let mut progress = Progress::default();
    let result = carry(node, &call, body, &mut progress).await;
    report(&call, &progress, result)
}

/// Whether the request may run, and where to.
fn decide(
    node: &Node,
    mut parts: Parts,
    head: RequestHead,
    arrived: Instant,
) -> Result<Call, Refused> {
    let deployment = node
        .deployment
        .load_full()
        .ok_or_else(|| Refused::come_back(Cause::Isolated, ELSEWHERE_AFTER))?;
    let route = find_route(node, &deployment, &parts, arrived)?;
    let team = find_team(node, &deployment, &route, &head, arrived)?;
    let limit = route.timeout.unwrap_or(DEFAULT_TIME) + TIMEOUT_GRACE;
    let time = head.time_left.map_or(limit, |left| left.min(limit));
    let spread = head
        .object
        .as_ref()
        .map(|object| object_hash(route.name.as_str(), object.as_bytes()));
    let has_object = spread.is_some();
    let spread = spread.unwrap_or_else(rand::random);
    let service = route.select_service(spread).service.clone();
    let object = head.object.as_ref().map_or(spread, |object| {
        object_hash(service.as_str(), object.as_bytes())
    });
    remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(header::EXPECT);
    Ok(Call {
        body_bytes: content_length(&parts),
        has_object,
        object,
        service,
        deadline: arrived + time,
        arrived,
        version: deployment.version,
        parts,
        head,
        route,
        team,
    })
}

fn content_length(parts: &Parts) -> u64 {
    let length = parts.headers.get(header::CONTENT_LENGTH);
    length
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse().ok())
        .unwrap_or(0)
}

fn find_route(
    node: &Node,
    deployment: &Deployment,
    parts: &Parts,
    now: Instant,
) -> Result<Arc<Route>, Refused> {
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.host())
        .unwrap_or("");
    match deployment.routes.find(host, parts.uri.path()) {
        Some(route) => Ok(Arc::clone(route)),
        None => Err(unless_stale(node, Cause::UnknownRoute, now)),
    }
}

fn find_team(
    node: &Node,
    deployment: &Deployment,
    route: &Route,
    head: &RequestHead,
    now: Instant,
) -> Result<Option<Arc<Team>>, Refused> {
    let team = head.key.as_ref().and_then(|key| deployment.keys.get(key));
    if route.public || deployment.teams.is_empty() {
        return Ok(team.cloned());
    }
    if !node.has_current_configuration(now) {
        return Err(Refused::come_back(Cause::Isolated, ELSEWHERE_AFTER));
    }
    match (team, &head.key) {
        (Some(team), _) => Ok(Some(Arc::clone(team))),
        (None, Some(_)) => Err(unless_stale(node, Cause::KeyRefused, now)),
        (None, None) => Err(Refused::not_run(Cause::KeyMissing)),
    }
}

/// A VM whose configuration may be old cannot tell that something is unknown.
fn unless_stale(node: &Node, cause: Cause, now: Instant) -> Refused {
    if node.has_current_configuration(now) {
        Refused::not_run(cause)
    } else {
        Refused::come_back(Cause::Isolated, ELSEWHERE_AFTER)
    }
}

async fn admit(node: &Node, call: &Call) -> Result<(), Refused> {
    let Some(team) = &call.team else {
        return Ok(());
    };
    let after = match tokens::admit(node, &team.name, call.id(), call.arrived).await {
        Ok(()) => return Ok(()),
        Err(after) => after,
    };
    Err(Refused::come_back(Cause::OverRate, after))
}

async fn carry(
    node: &Arc<Node>,
    call: &Call,
    body: Incoming,
    progress: &mut Progress,
) -> Result<Response<Body>, Refused> {
    admit(node, call).await?;
    lock(&node.balancer).count_request(&call.service, call.priority(), call.arrived);
    let mut upload = read_body(node, call, body).await?;
    let mut running = FuturesUnordered::new();
    let (target, body) = place(node, call, &mut upload, progress)?;
    let mut second_at = second_at(call, &target);
    running.push(attempt::run(node, call, target, body));
    loop {
        tokio::select! {
            Some(reply) = running.next() => {
                match after(node, call, &upload, progress, reply) {
                    Step::Answer(answer) => return Ok(answer),
                    Step::GiveUp(_) | Step::Again if !running.is_empty() => {}
                    Step::GiveUp(refused) => return give_up(progress, refused),
                    Step::Again => match place(node, call, &mut upload, progress) {
                        Ok((target, body)) => running.push(attempt::run(node, call, target, body)),
                        Err(refused) => return give_up(progress, refused),
                    },
                }
            }
            () = tokio::time::sleep_until(second_at.into()), if running.len() == 1 => {
                second_at = call.deadline + DEFAULT_TIME;
                if let Some((target, body)) = second(node, call, &mut upload, progress) {
                    running.push(attempt::run(node, call, target, body));
                }
            }
        }
    }
}

async fn read_body(node: &Node, call: &Call, body: Incoming) -> Result<Upload, Refused> {
    let most = node
        .deployment
        .load()
        .as_ref()
        .map_or(u64::MAX, |deployment| deployment.limits.body_bytes);
    let read = node.body_budget.read(body, most);
    match tokio::time::timeout_at(call.deadline.into(), read).await {
        Ok(Ok(upload)) => Ok(upload),
        Ok(Err(BodyFault::TooLarge)) => Err(Refused::not_run(Cause::BodyTooLarge)),
        Ok(Err(BodyFault::NoMemory)) => Err(Refused::come_back(Cause::Busy, ELSEWHERE_AFTER)),
        Ok(Err(BodyFault::Cut)) => Err(Refused::not_run(Cause::BadRequest)),
        Err(_) => Err(Refused::not_run(Cause::SlowBody)),
    }
}

/// Picks an endpoint for the next attempt, or says why there is none.
fn place(
    node: &Node,
    call: &Call,
    upload: &mut Upload,
    progress: &mut Progress,
) -> Result<(Target, crate::connection::RequestBody), Refused> {
    let now = Instant::now();
    if !is_allowed(node, call, now) {
        return Err(Refused::come_back(Cause::Isolated, ELSEWHERE_AFTER));
    }
    let body = upload
        .take()
        .ok_or_else(|| Refused::unknown(Cause::BackendFailed))?;
    match lock(&node.balancer).pick(&call.ask(&progress.tried, now), now) {
        Pick::Send(target) => {
            progress.tried.push(target.key.clone());
            progress.last_target = Some(target.clone());
            Ok((target, body))
        }
        Pick::Refuse(PickRefusal::NoEndpoint) => Err(Refused::come_back(
            Cause::NoEndpoint,
            Duration::from_millis(500),
        )),
        Pick::Refuse(PickRefusal::Busy(after)) => Err(Refused::come_back(Cause::Busy, after)),
    }
}

/// The key of a request still works. It may have been withdrawn while the
/// request waited.
fn is_allowed(node: &Node, call: &Call, now: Instant) -> bool {
    if call.team.is_none() || call.route.public {
        return true;
    }
    let deployment = node.deployment.load();
    let known = match (deployment.as_deref(), &call.head.key) {
        (Some(deployment), Some(key)) => deployment.keys.contains_key(key),
        _ => false,
    };
    known && node.has_current_configuration(now)
}

fn second_at(call: &Call, target: &Target) -> Instant {
    if call.route.kind.is_idempotent() {
        Instant::now() + hedge_delay(target.expected_latency, call.route.target_latency)
    } else {
        call.deadline + DEFAULT_TIME
    }
}

/// A second attempt beside one that takes longer than expected.
fn second(
    node: &Node,
    call: &Call,
    upload: &mut Upload,
    progress: &mut Progress,
) -> Option<(Target, crate::connection::RequestBody)> {
    let attempts = u32::try_from(progress.tried.len()).unwrap_or(u32::MAX);
    if attempts >= call.route.max_attempts || !upload.is_replayable() {
        return None;
    }
    if !lock(&node.balancer).try_take_retry(&call.service, Instant::now()) {
        return None;
    }
    let placed = place(node, call, upload, progress).ok()?;
    log::info!(
        "event=second_attempt id={} endpoint={} after_ms={}",
        call.id(),
        logfmt::value(&placed.0.key),
        call.arrived.elapsed().as_millis(),
    );
    Some(placed)
}

/// What follows from the end of an attempt.
fn after(node: &Node, call: &Call, upload: &Upload, progress: &mut Progress, reply: Reply) -> Step {
    let (failure, state) = match reply {
        Reply::Answer(answer) => return Step::Answer(answer),
        Reply::Failed(answer) if !call.route.kind.is_idempotent() => return Step::Answer(answer),
        Reply::Failed(answer) => {
            progress.failed = Some(answer);
            (
                Failure::ConnectionLost { reused: false },
                AttemptState::FullySent,
            )
        }
        Reply::NoAnswer { failure, state } => (failure, state),
    };
    let now = Instant::now();
    let mut situation = RetryContext {
        state,
        idempotent: call.route.kind.is_idempotent(),
        replayable: upload.is_replayable(),
        earlier_may_have_run: progress.may_have_run,
        attempts: u32::try_from(progress.tried.len()).unwrap_or(u32::MAX),
        max_attempts: call.route.max_attempts,
        budget_available: true,
        deadline: call.deadline,
        now,
    };
    progress.may_have_run |= request::may_have_run(failure, state);
    let mut step = request::next_step(failure, &situation);
    // Attempts that reached no endpoint add nothing to a service's load.
    let reached = state > AttemptState::NotSent;
    if matches!(step, NextStep::Retry { .. })
        && reached
        && !lock(&node.balancer).try_take_retry(&call.service, now)
    {
        situation.budget_available = false;
        situation.replayable = false;
        step = request::next_step(failure, &situation);
    }
    match step {
        NextStep::Retry { .. } => Step::Again,
        NextStep::RefuseNotRun(cause) => {
            Step::GiveUp(Refused::come_back(cause, Duration::from_millis(300)))
        }
        NextStep::RefuseUnknown(cause) => Step::GiveUp(Refused::unknown(cause)),
        NextStep::AbortResponse => Step::GiveUp(Refused::unknown(Cause::BackendFailed)),
    }
}

/// The end of a request without an answer, unless an endpoint's own failure
/// can be passed on.
fn give_up(progress: &mut Progress, mut refused: Refused) -> Result<Response<Body>, Refused> {
    if let Some(answer) = progress.failed.take() {
        return Ok(answer);
    }
    if progress.may_have_run && refused.refusal.is_not_run() {
        refused = Refused::unknown(Cause::BackendFailed);
    }
    Err(refused)
}

fn report(
    call: &Call,
    progress: &Progress,
    result: Result<Response<Body>, Refused>,
) -> Response<Body> {
    let ms = call.arrived.elapsed().as_millis();
    let context = format!(
        "route={} service={} team={} version={} attempts={} endpoint={} region={}",
        call.route.name,
        call.service,
        call.team.as_ref().map_or("none", |team| team.name.as_str()),
        call.version,
        progress.tried.len(),
        logfmt::value(progress.last_target.as_ref().map_or("none", |t| &t.key.id)),
        progress
            .last_target
            .as_ref()
            .map_or("none", |t| t.region.as_str()),
    );
    let answer = match result {
        Ok(answer) => answer,
        Err(refused) => return refuse(&call.head, &refused, call.arrived, &context),
    };
    let (load, slots, repeat, rank, expected) =
        progress
            .last_target
            .as_ref()
            .map_or((0.0, 0, false, 0, 0), |t| {
                (
                    t.load,
                    t.slots,
                    t.object_cached,
                    t.rank,
                    t.expected_latency.as_millis(),
                )
            });
    log::info!(
        "event=answered id={} {context} status={} ms={ms} expected_ms={expected} load={load:.1} slots={slots} repeat={repeat} rank={rank} object={:x}",
        call.id(),
        answer.status().as_u16(),
        call.object,
    );
    metrics::counter!("requests_total", "outcome" => "answered").increment(1);
    metrics::histogram!("request_seconds").record(call.arrived.elapsed().as_secs_f64());
    answer
}

fn refuse(
    head: &RequestHead,
    refused: &Refused,
    arrived: Instant,
    context: &str,
) -> Response<Body> {
    let refusal = &refused.refusal;
    let answer = answer::refuse(refusal, head.id.as_ref(), refused.retry_after);
    log::info!(
        "event=refused id={} {context} cause={} outcome={} status={} ms={} retry_after_ms={}",
        id_of(head),
        refusal.cause(),
        refusal.outcome().as_str(),
        answer.status().as_u16(),
        arrived.elapsed().as_millis(),
        refused.retry_after.map_or(0, |t| t.as_millis()),
    );
    metrics::counter!("requests_total", "outcome" => refusal.cause().as_str()).increment(1);
    answer
}
