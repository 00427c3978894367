//! Handling of one request of a caller: its rate limit, the choice of an endpoint,
//! attempts, and the response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::balancer::{
    LimitedEndpoints, Outcome, Pick, PickRefusal, Target,
};
use filbertgrade_coord::steering::endpoint::EndpointKey;
use filbertgrade_coord::steering::endpoint_limit::EndpointTokenRequest;
use filbertgrade_coord::steering::retry::hedge_delay;
use filbertgrade_platform::headers::RequestHead;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{Request, Response};
use hyper::body::Incoming;

use super::Node;
use super::attempt::{self, AttemptResult};
use super::body::{self, BodyError, Upload};
use super::responses::{self, Body};
use super::routing::{
    Call, DEFAULT_TIMEOUT, OTHER_VM_RETRY_DELAY, Refused, id_of, is_key_valid, route_request,
};
use super::{endpoint_rates, tokens};
use crate::connection::RequestBody;
use crate::logfmt;
use crate::request::{self, AttemptState, Cause, Failure, NextStep, RetryContext};
use crate::sync::lock;

/// How many tokens of limited endpoints are requested for an attempt. Each of them
/// takes a round trip.
const MAX_TOKEN_REQUESTS: usize = 3;

/// Retry delay for a caller when only endpoints over their limits are left.
const LIMITED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Progress of a request over its attempts.
#[derive(Debug, Default)]
struct Progress {
    /// Endpoints of all attempts, in order.
    tried: Vec<EndpointKey>,
    /// An attempt that failed may have run on its endpoint.
    may_have_run: bool,
    /// The last server error of an endpoint. It is passed on if no other attempt
    /// succeeds.
    server_error: Option<Response<Body>>,
    last_target: Option<Target>,
}

/// Result of picking an endpoint once.
enum Picked {
    Endpoint(Target, RequestBody),
    /// The endpoint limits its rate, and another VM grants the tokens.
    NeedsToken(EndpointTokenRequest),
}

/// What to do after an attempt.
enum Step {
    Respond(Response<Body>),
    Retry,
    GiveUp(Refused),
}

/// Handles a request of a caller and returns the response to it.
pub(super) async fn serve(node: &Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let _running = node.running_requests.start();
    let arrived = Instant::now();
    let (parts, body) = req.into_parts();
    let head = RequestHead::from(&parts.headers);
    node.wait_for_first_read().await;
    let call = match route_request(node, parts, head.clone(), arrived) {
        Ok(call) => call,
        Err(refused) => {
            body::discard(body);
            return refuse(&head, &refused, arrived, "route=none");
        }
    };
    let mut progress = Progress::default();
    let result = tokio::select! {
        biased;
        result = forward(node, &call, body, &mut progress) => result,
        () = node.last_responses_due() => Err(end_at_stop(&progress)),
    };
    finish(&call, &progress, result)
}

/// Refuses a request that has not ended when the process is about to exit.
fn end_at_stop(progress: &Progress) -> Refused {
    if progress.tried.is_empty() {
        Refused::retry_later(Cause::Leaving, OTHER_VM_RETRY_DELAY)
    } else {
        // The last attempt may be running.
        Refused::unknown(Cause::Leaving)
    }
}

/// Applies the rate limit of the request's team, if it has a team.
async fn admit(node: &Node, call: &Call) -> Result<(), Refused> {
    let Some(team) = &call.team else {
        return Ok(());
    };
    let retry_after = match tokens::admit(node, &team.name, call.id(), call.arrived).await {
        Ok(()) => return Ok(()),
        Err(retry_after) => retry_after,
    };
    Err(Refused::retry_later(Cause::OverRate, retry_after))
}

/// Forwards a request to endpoints until one of them responds or no further
/// attempt is possible. At most one hedged attempt is started for a request.
async fn forward(
    node: &Arc<Node>,
    call: &Call,
    body: Incoming,
    progress: &mut Progress,
) -> Result<Response<Body>, Refused> {
    if let Err(refused) = admit(node, call).await {
        body::discard(body);
        return Err(refused);
    }
    lock(&node.balancer).count_request(&call.service, call.priority(), call.arrived);
    let mut upload = read_body(node, call, body).await?;
    let mut running = FuturesUnordered::new();
    let (target, body) = pick_endpoint(node, call, &mut upload, progress).await?;
    let mut hedge_at = hedge_at(call, &target);
    running.push(attempt::run(node, call, target, body));
    loop {
        tokio::select! {
            Some(result) = running.next() => {
                match handle_result(node, call, &upload, progress, result) {
                    Step::Respond(response) => return Ok(response),
                    // The other attempt may still succeed.
                    Step::GiveUp(_) | Step::Retry if !running.is_empty() => {}
                    Step::GiveUp(refused) => return give_up(progress, refused),
                    Step::Retry => match pick_endpoint(node, call, &mut upload, progress).await {
                        Ok((target, body)) => running.push(attempt::run(node, call, target, body)),
                        Err(refused) => return give_up(progress, refused),
                    },
                }
            }
            () = tokio::time::sleep_until(hedge_at.into()), if running.len() == 1 => {
                // Later than any attempt can last, so that no other is started.
                hedge_at = call.deadline + DEFAULT_TIMEOUT;
                if let Some((target, body)) = hedge(node, call, &mut upload, progress) {
                    running.push(attempt::run(node, call, target, body));
                }
            }
        }
    }
}

async fn read_body(node: &Node, call: &Call, body: Incoming) -> Result<Upload, Refused> {
    let max_bytes = node
        .deployment
        .load()
        .as_ref()
        .map_or(u64::MAX, |deployment| deployment.limits.body_bytes);
    let read = node.body_budget.read(body, max_bytes);
    match tokio::time::timeout_at(call.deadline.into(), read).await {
        Ok(Ok(upload)) => Ok(upload),
        Ok(Err(BodyError::TooLarge)) => Err(Refused::not_run(Cause::BodyTooLarge)),
        Ok(Err(BodyError::NoMemory)) => {
            Err(Refused::retry_later(Cause::Busy, OTHER_VM_RETRY_DELAY))
        }
        Ok(Err(BodyError::Truncated)) => Err(Refused::not_run(Cause::BadRequest)),
        Err(_) => Err(Refused::not_run(Cause::SlowBody)),
    }
}

/// Picks an endpoint for the next attempt and records it in `progress`. Refuses
/// the request if there is none, or if the request may not run any more.
///
/// If the endpoint limits its rate, a token is requested, and without one another
/// endpoint is picked.
async fn pick_endpoint(
    node: &Node,
    call: &Call,
    upload: &mut Upload,
    progress: &mut Progress,
) -> Result<(Target, RequestBody), Refused> {
    let mut granted = None;
    for _ in 0..MAX_TOKEN_REQUESTS {
        let limited = granted
            .as_ref()
            .map_or(LimitedEndpoints::RequestToken, LimitedEndpoints::Granted);
        match try_pick(node, call, upload, progress, limited)? {
            Picked::Endpoint(target, body) => return Ok((target, body)),
            Picked::NeedsToken(request) => {
                granted = endpoint_rates::request_token(node, call, &request).await;
            }
        }
    }
    let limited = granted
        .as_ref()
        .map_or(LimitedEndpoints::Avoid, LimitedEndpoints::Granted);
    match try_pick(node, call, upload, progress, limited) {
        Ok(Picked::Endpoint(target, body)) => Ok((target, body)),
        // There are endpoints, but all of them are over their limits.
        Ok(Picked::NeedsToken(_)) => Err(Refused::retry_later(Cause::Busy, LIMITED_RETRY_DELAY)),
        Err(refused) if refused.refusal.cause() == Cause::NoEndpoint => {
            Err(Refused::retry_later(Cause::Busy, LIMITED_RETRY_DELAY))
        }
        Err(refused) => Err(refused),
    }
}

/// Picks an endpoint once; see [`pick_endpoint`].
fn try_pick(
    node: &Node,
    call: &Call,
    upload: &mut Upload,
    progress: &mut Progress,
    limited: LimitedEndpoints<'_>,
) -> Result<Picked, Refused> {
    let now = Instant::now();
    if !node.permits_until(call.deadline) {
        return Err(Refused::retry_later(Cause::Leaving, OTHER_VM_RETRY_DELAY));
    }
    if !is_key_valid(node, call, now) {
        return Err(Refused::retry_later(Cause::Isolated, OTHER_VM_RETRY_DELAY));
    }
    let request = call.pick_request(&progress.tried, limited, now);
    let picked = lock(&node.balancer).pick(&request, now);
    match picked {
        Pick::RequestToken(request) => Ok(Picked::NeedsToken(request)),
        Pick::Send(target) => {
            let Some(body) = upload.take() else {
                lock(&node.balancer).finish(&target, call.object, Outcome::Cancelled, None, now);
                return Err(Refused::unknown(Cause::BackendFailed));
            };
            progress.tried.push(target.key.clone());
            progress.last_target = Some(target.clone());
            Ok(Picked::Endpoint(target, body))
        }
        Pick::Refuse(PickRefusal::NoEndpoint) => Err(Refused::retry_later(
            Cause::NoEndpoint,
            Duration::from_millis(500),
        )),
        Pick::Refuse(PickRefusal::Busy(retry_after)) => {
            Err(Refused::retry_later(Cause::Busy, retry_after))
        }
    }
}

/// When to start a hedged attempt if the first one has not finished. For a
/// request that must not run twice, this is after the deadline, so that none is
/// started.
fn hedge_at(call: &Call, target: &Target) -> Instant {
    if call.route.kind.is_idempotent() {
        Instant::now() + hedge_delay(target.expected_latency, call.route.target_latency)
    } else {
        call.deadline + DEFAULT_TIMEOUT
    }
}

/// Picks an endpoint for a hedged attempt beside one that takes longer than
/// expected. Returns `None` if the attempts or the retry budget are used up, the
/// body cannot be sent again, or no endpoint can be picked.
fn hedge(
    node: &Node,
    call: &Call,
    upload: &mut Upload,
    progress: &mut Progress,
) -> Option<(Target, RequestBody)> {
    let attempts = u32::try_from(progress.tried.len()).unwrap_or(u32::MAX);
    if attempts >= call.route.max_attempts || !upload.is_replayable() {
        return None;
    }
    if !lock(&node.balancer).try_take_retry(&call.service, Instant::now()) {
        return None;
    }
    let limited = LimitedEndpoints::Avoid;
    let Ok(Picked::Endpoint(target, body)) = try_pick(node, call, upload, progress, limited) else {
        return None;
    };
    log::info!(
        "event=second_attempt id={} endpoint={} after_ms={}",
        call.id(),
        logfmt::value(&target.key),
        call.arrived.elapsed().as_millis(),
    );
    Some((target, body))
}

/// Decides what to do after an attempt has ended.
///
/// A server error of an idempotent request is treated like a lost connection, so
/// that the request may be repeated on another endpoint.
fn handle_result(
    node: &Node,
    call: &Call,
    upload: &Upload,
    progress: &mut Progress,
    result: AttemptResult,
) -> Step {
    let (failure, state) = match result {
        AttemptResult::Response(response) => return Step::Respond(response),
        AttemptResult::ServerError(response) if !call.route.kind.is_idempotent() => {
            return Step::Respond(response);
        }
        AttemptResult::ServerError(response) => {
            progress.server_error = Some(response);
            (
                Failure::ConnectionLost { reused: false },
                AttemptState::FullySent,
            )
        }
        AttemptResult::Failed { failure, state } => (failure, state),
    };
    let now = Instant::now();
    let mut context = RetryContext {
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
    let mut step = request::next_step(failure, &context);
    // An attempt that sent nothing adds no load to the service, so that its
    // repetition does not use the retry budget.
    let was_sent = state > AttemptState::NotSent;
    if matches!(step, NextStep::Retry { .. })
        && was_sent
        && !lock(&node.balancer).try_take_retry(&call.service, now)
    {
        context.budget_available = false;
        context.replayable = false;
        step = request::next_step(failure, &context);
    }
    match step {
        NextStep::Retry { .. } => Step::Retry,
        NextStep::RefuseNotRun(cause) => {
            Step::GiveUp(Refused::retry_later(cause, Duration::from_millis(300)))
        }
        NextStep::RefuseUnknown(cause) => Step::GiveUp(Refused::unknown(cause)),
        NextStep::AbortResponse => Step::GiveUp(Refused::unknown(Cause::BackendFailed)),
    }
}

/// Ends a request without a successful attempt: with the server error of an
/// endpoint if there was one, else with the refusal. The refusal must not say that
/// the request has not run if an earlier attempt may have run.
fn give_up(progress: &mut Progress, mut refused: Refused) -> Result<Response<Body>, Refused> {
    if let Some(response) = progress.server_error.take() {
        return Ok(response);
    }
    if progress.may_have_run && refused.refusal.is_not_run() {
        refused = Refused::unknown(Cause::BackendFailed);
    }
    Err(refused)
}

/// Logs the end of a request, counts it in the metrics, and returns the response
/// to the caller.
fn finish(
    call: &Call,
    progress: &Progress,
    result: Result<Response<Body>, Refused>,
) -> Response<Body> {
    let ms = call.arrived.elapsed().as_millis();
    let context = format!(
        "route={} service={} team={} version={} attempts={} endpoint={} region={}",
        logfmt::value(&call.route.name),
        logfmt::value(&call.service),
        logfmt::value(call.team.as_ref().map_or("none", |team| team.name.as_str())),
        call.version,
        progress.tried.len(),
        logfmt::value(progress.last_target.as_ref().map_or("none", |t| &t.key.id)),
        logfmt::value(
            progress
                .last_target
                .as_ref()
                .map_or("none", |t| t.region.as_str())
        ),
    );
    let response = match result {
        Ok(response) => response,
        Err(refused) => return refuse(&call.head, &refused, call.arrived, &context),
    };
    let (load, slots, object_cached, rank, expected_ms) =
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
        "event=answered id={} {context} status={} ms={ms} expected_ms={expected_ms} load={load:.1} slots={slots} repeat={object_cached} rank={rank} object={:x}",
        call.id(),
        response.status().as_u16(),
        call.object,
    );
    metrics::counter!("requests_total", "outcome" => "answered").increment(1);
    metrics::histogram!("request_seconds").record(call.arrived.elapsed().as_secs_f64());
    response
}

/// Logs a refusal, counts it in the metrics, and returns the response to the
/// caller. `context` has further log keys.
fn refuse(
    head: &RequestHead,
    refused: &Refused,
    arrived: Instant,
    context: &str,
) -> Response<Body> {
    let refusal = &refused.refusal;
    let response = responses::refuse(refusal, head.id.as_ref(), refused.retry_after);
    log::info!(
        "event=refused id={} {context} cause={} outcome={} status={} ms={} retry_after_ms={}",
        id_of(head),
        refusal.cause(),
        refusal.outcome().as_str(),
        response.status().as_u16(),
        arrived.elapsed().as_millis(),
        refused.retry_after.map_or(0, |t| t.as_millis()),
    );
    metrics::counter!("requests_total", "outcome" => refusal.cause().as_str()).increment(1);
    response
}
