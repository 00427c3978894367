//! Carries one request to a backend server and its answer back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use filbertgrade_coord::names::TeamName;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, Version};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

use super::Entry;
use super::answer::{AnswerStream, Body};
use super::slots::{EndpointFault, SlotAsk, SlotGrant};
use crate::connection::{Busy, CheckoutParams, Connection, PoolError};
use crate::logfmt;
use crate::request::{
    self, Attempt, AttemptState, Cause, Claim, DEADLINE_HEADER, Failure, MIN_DEADLINE, NextStep,
    Refusal, RetryContext, SendProgress, Upload, UploadError,
};
use crate::version::{Access, InForce, KeySecret, ServiceName};

/// How long a reused connection may stay silent under an idempotent request
/// before the request is sent again on a new connection. Open connections can
/// go silent for good while new ones work.
const SILENCE_PATIENCE: Duration = Duration::from_secs(1);

/// Longest time for reading what a caller still sends after a refusal.
const REST_TIME: Duration = Duration::from_secs(2);

/// One request, read and checked.
struct Call<'a> {
    parts: Parts,
    upload: &'a Upload<Incoming>,
    service: ServiceName,
    key: Option<KeySecret>,
    team: Option<TeamName>,
    deadline: Instant,
    idempotent: bool,
}

/// One attempt that gave no answer to pass on.
struct Failed {
    failure: Failure,
    state: AttemptState,
}

/// What happened on the connection of one attempt.
#[derive(Debug)]
struct Sent<'a> {
    byte_left: bool,
    body_done: &'a AtomicBool,
}

impl SendProgress for Sent<'_> {
    fn has_sent_bytes(&self) -> bool {
        self.byte_left
    }

    fn has_sent_body(&self) -> bool {
        self.body_done.load(Ordering::Acquire)
    }
}

/// Carries a request that arrived at `arrived`.
///
/// # Errors
///
/// A refusal, which is as not run only when no backend server ran the request.
pub(crate) async fn carry(
    entry: &Arc<Entry>,
    req: Request<Incoming>,
    arrived: Instant,
) -> Result<Response<Body>, Refusal> {
    let (parts, body) = req.into_parts();
    let upload = Upload::new(body);
    let answer = carry_parts(entry, parts, &upload, arrived).await;
    if answer.is_err() && !upload.is_ended() {
        tokio::spawn(read_rest(upload));
    }
    answer
}

/// Reads what a caller still sends after a refusal. Closing the connection
/// under it would reset the connection, and the refusal would be lost.
async fn read_rest(upload: Upload<Incoming>) {
    let _ = tokio::time::timeout(REST_TIME, upload.buffer()).await;
}

async fn carry_parts(
    entry: &Arc<Entry>,
    mut parts: Parts,
    upload: &Upload<Incoming>,
    arrived: Instant,
) -> Result<Response<Body>, Refusal> {
    check_form(&parts)?;
    let deadline = arrived + request::deadline_of(&parts.headers)?;
    let idempotency_key = request::idempotency_key_of(&parts.headers)?.map(str::to_owned);
    let view = entry.in_force.load_full();
    let (service, access) = service_of(&view, &parts.uri)?;
    let key = match access {
        Access::Open => None,
        Access::Key => Some(key_of(&parts)?),
    };
    let team = key
        .as_ref()
        .map(|key| team_of(entry, &view, key))
        .transpose()?;
    request::prepare_request(&mut parts.headers, team.as_ref());
    let call = Call {
        idempotent: parts.method.is_idempotent(),
        parts,
        upload,
        service,
        key,
        team,
        deadline,
    };
    entry.with_budget(request::RetryBudget::count_request);
    keep_small_body(&call).await?;
    if let Some(team) = &call.team {
        entry.admission.admit(team, deadline).await?;
    }
    let mut claim = match idempotency_key {
        Some(key) if !call.idempotent => Some(claim_key(entry, &call, &key).await?),
        _ => None,
    };
    let answer = send_until_settled(entry, &call, claim.as_mut()).await;
    let end = answer.as_ref().map(|a| a.status().as_u16()).map_err(|r| *r);
    settle(claim, end).await;
    answer
}

/// A well-formed request has a version whose answers tell their end, and
/// shows its key in no place that a backend server sees.
fn check_form(parts: &Parts) -> Result<(), Refusal> {
    if parts.version < Version::HTTP_11 || parts.method == Method::CONNECT {
        return Err(Refusal::not_run(Cause::BadRequest));
    }
    if request::contains_api_key(parts.uri.to_string().as_bytes()) {
        return Err(Refusal::not_run(Cause::KeyInPath));
    }
    Ok(())
}

fn service_of(view: &InForce, uri: &Uri) -> Result<(ServiceName, Access), Refusal> {
    let name = uri.path().trim_start_matches('/').split('/').next();
    let service = view
        .config
        .as_deref()
        .zip(name)
        .and_then(|(cfg, name)| cfg.services.get_key_value(name));
    service
        .map(|(name, service)| (name.clone(), service.access))
        .ok_or(Refusal::not_run(Cause::UnknownService))
}

fn key_of(parts: &Parts) -> Result<KeySecret, Refusal> {
    parts
        .headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .and_then(KeySecret::parse)
        .ok_or(Refusal::not_run(Cause::KeyMissing))
}

fn team_of(entry: &Entry, view: &InForce, key: &KeySecret) -> Result<TeamName, Refusal> {
    if !entry.is_valid(Instant::now()) {
        return Err(Refusal::not_run(Cause::Isolated));
    }
    view.keys
        .team_of(key)
        .cloned()
        .ok_or(Refusal::not_run(Cause::KeyRefused))
}

/// Reads a small body before the request takes a slot, so that it can be sent
/// again, and a slow caller holds nothing.
async fn keep_small_body(call: &Call<'_>) -> Result<(), Refusal> {
    if !call.upload.fits_buffer() {
        return Ok(());
    }
    match tokio::time::timeout_at(call.deadline.into(), call.upload.buffer()).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(UploadError::Slow)) => Err(Refusal::not_run(Cause::SlowBody)),
        Ok(Err(_)) => Err(Refusal::not_run(Cause::BadRequest)),
        Err(_) => Err(Refusal::not_run(Cause::DeadlinePassed)),
    }
}

async fn claim_key(entry: &Entry, call: &Call<'_>, key: &str) -> Result<Claim, Refusal> {
    let Parts { method, uri, .. } = &call.parts;
    let claiming = entry.guard.claim(call.team.as_ref(), key, method, uri);
    tokio::time::timeout_at(call.deadline.into(), claiming)
        .await
        .unwrap_or(Err(Refusal::not_run(Cause::DeadlinePassed)))
}

/// Records how the attempt ended. After a refusal as not run the key is free
/// before the caller reads the refusal, if the store answers soon.
async fn settle(claim: Option<Claim>, end: Result<u16, Refusal>) {
    let Some(claim) = claim else { return };
    match end {
        Ok(status) => claim.done(status),
        Err(refusal) if refusal.is_not_run() => claim.release().await,
        Err(_) => {}
    }
}

async fn send_until_settled(
    entry: &Arc<Entry>,
    call: &Call<'_>,
    mut claim: Option<&mut Claim>,
) -> Result<Response<Body>, Refusal> {
    let mut avoid: Vec<SocketAddr> = Vec::new();
    let mut may_have_run = false;
    let mut refusal = None;
    for attempts in 1.. {
        let (slot, view) = match take_slot(entry, call, avoid.clone()).await {
            Ok(taken) => taken,
            // The earlier failure says more than that no endpoint is left.
            Err(last) => return Err(refusal.unwrap_or(last)),
        };
        let endpoint = slot.endpoint();
        let failed = match attempt(entry, call, &view, slot, claim.as_deref_mut()).await {
            Ok(answer) => return Ok(answer),
            Err(failed) => failed,
        };
        let now = Instant::now();
        let situation = RetryContext {
            state: failed.state,
            idempotent: call.idempotent,
            replayable: call.upload.is_replayable(),
            earlier_may_have_run: may_have_run,
            attempts,
            max_attempts: request::MAX_ATTEMPTS,
            budget_available: entry.with_budget(|budget| budget.can_spend(now)),
            deadline: call.deadline,
            now,
        };
        may_have_run |= request::may_have_run(failed.failure, failed.state);
        if !may_have_run && let Some(claim) = claim.as_deref_mut() {
            claim.not_run();
        }
        match request::next_step(failed.failure, &situation) {
            NextStep::RefuseNotRun(cause) => return Err(Refusal::not_run(cause)),
            NextStep::RefuseUnknown(cause) => return Err(Refusal::unknown(cause)),
            // Answers that began are passed on and abort in their stream.
            NextStep::AbortResponse => return Err(Refusal::unknown(Cause::BackendFailed)),
            NextStep::Retry {
                elsewhere,
                spends_budget,
            } => {
                let last_failure = refusal_after(&failed, &situation, may_have_run);
                if spends_budget && !entry.with_budget(|budget| budget.spend(now)) {
                    return Err(last_failure);
                }
                refusal = Some(last_failure);
                if elsewhere {
                    avoid.push(endpoint);
                }
            }
        }
    }
    Err(Refusal::unknown(Cause::BackendFailed))
}

/// The refusal of a request that could be sent again, but cannot in fact.
fn refusal_after(failed: &Failed, situation: &RetryContext, may_have_run: bool) -> Refusal {
    let last = RetryContext {
        replayable: false,
        ..*situation
    };
    match request::next_step(failed.failure, &last) {
        NextStep::RefuseNotRun(cause) if !may_have_run => Refusal::not_run(cause),
        NextStep::RefuseNotRun(cause) | NextStep::RefuseUnknown(cause) => Refusal::unknown(cause),
        NextStep::Retry { .. } | NextStep::AbortResponse => Refusal::unknown(Cause::BackendFailed),
    }
}

/// Waits for a slot. The key is checked again after the wait, because it may
/// have been withdrawn meanwhile.
async fn take_slot(
    entry: &Entry,
    call: &Call<'_>,
    avoid: Vec<SocketAddr>,
) -> Result<(SlotGrant, Arc<InForce>), Refusal> {
    if time_left(call) < MIN_DEADLINE {
        return Err(Refusal::not_run(Cause::DeadlinePassed));
    }
    let ask = SlotAsk {
        service: call.service.clone(),
        team: call.team.clone(),
        deadline: call.deadline,
        avoid,
    };
    let view = entry.in_force.load_full();
    let slot = entry.slots.acquire(&view, &ask).await?;
    let view = entry.in_force.load_full();
    if let Some(key) = &call.key {
        team_of(entry, &view, key)?;
    }
    Ok((slot, view))
}

async fn attempt(
    entry: &Arc<Entry>,
    call: &Call<'_>,
    view: &InForce,
    slot: SlotGrant,
    claim: Option<&mut Claim>,
) -> Result<Response<Body>, Failed> {
    let endpoint = slot.endpoint();
    let need = CheckoutParams {
        endpoint,
        limit: connection_limit(view, &call.service),
        idempotent: call.idempotent,
        deadline: call.deadline,
    };
    let attempt = Attempt::start();
    let mut connection = match entry.pool.checkout(&need).await {
        Ok(connection) => connection,
        Err(error) => {
            if matches!(error, PoolError::Connect { .. }) {
                slot.faulted(EndpointFault::Unreachable);
            }
            return Err(not_connected(&error));
        }
    };
    let (body, body_done) = call.upload.body();
    let Some(req) = request_for(call, endpoint, body) else {
        return Err(not_sent(Failure::DeadlinePassed));
    };
    if let Some(claim) = claim {
        claim.sending();
    }
    let answer = match wait_for_answer(call, &mut connection, req).await {
        Ok(answer) => answer,
        Err(failure) => {
            if matches!(
                failure,
                Failure::ConnectionTimedOut | Failure::DeadlinePassed
            ) {
                entry.pool.close_idle(endpoint);
            }
            let sent = Sent {
                byte_left: connection.close().await,
                body_done: &body_done,
            };
            let failure = call.upload.fault().map_or(failure, failure_of_caller);
            let state = attempt.observe(&sent).state();
            return Err(Failed { failure, state });
        }
    };
    let sent = Sent {
        byte_left: connection.has_sent_bytes(),
        body_done: &body_done,
    };
    let state = match attempt.observe(&sent).response_started() {
        Ok(begun) => begun.state(),
        Err(_) => return Err(not_sent(Failure::ConnectionLost { reused: true })),
    };
    if let Some(failure) = explicit_refusal(&answer) {
        slot.faulted(match failure {
            Failure::Draining => EndpointFault::Draining,
            _ => EndpointFault::Shed,
        });
        if answer.body().is_end_stream() && body_done.load(Ordering::Acquire) {
            entry.pool.put_back(connection.finish(Instant::now()));
        }
        return Err(Failed { failure, state });
    }
    if !tells_its_end(&call.parts.method, &answer) {
        let failure = Failure::MalformedResponse;
        return Err(Failed { failure, state });
    }
    let (mut parts, body) = answer.into_parts();
    request::remove_hop_by_hop(&mut parts.headers);
    let stream = AnswerStream::new(entry, body, connection, body_done, slot, call.deadline);
    Ok(Response::from_parts(parts, stream.boxed_unsync()))
}

async fn wait_for_answer(
    call: &Call<'_>,
    connection: &mut Connection<Busy>,
    req: Request<crate::connection::RequestBody>,
) -> Result<Response<Incoming>, Failure> {
    let reused = connection.is_reused();
    let patience = Instant::now() + SILENCE_PATIENCE;
    let impatient =
        reused && call.idempotent && call.upload.is_buffered() && patience < call.deadline;
    let (until, silence) = if impatient {
        (patience, Failure::ConnectionTimedOut)
    } else {
        (call.deadline, Failure::DeadlinePassed)
    };
    match tokio::time::timeout_at(until.into(), connection.send(req)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(_)) => Err(Failure::ConnectionLost { reused }),
        Err(_) => Err(silence),
    }
}

/// The request as the backend server gets it; `None` when no time is left.
fn request_for(
    call: &Call<'_>,
    endpoint: SocketAddr,
    body: request::UploadBody<Incoming>,
) -> Option<Request<crate::connection::RequestBody>> {
    let left = time_left(call);
    if left < MIN_DEADLINE {
        return None;
    }
    let target = call.parts.uri.path_and_query()?.as_str();
    let chunked = body.size_hint().exact().is_none();
    let mut req = Request::builder()
        .method(call.parts.method.clone())
        .uri(target)
        .body(body.map_err(Into::into).boxed_unsync())
        .ok()?;
    let headers = req.headers_mut();
    headers.clone_from(&call.parts.headers);
    headers.insert(HOST, HeaderValue::from_str(&endpoint.to_string()).ok()?);
    let left = u64::try_from(left.as_millis()).ok()?;
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left));
    if chunked {
        // hyper leaves out the body of a GET without this header.
        headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    }
    Some(req)
}

fn time_left(call: &Call<'_>) -> Duration {
    call.deadline.saturating_duration_since(Instant::now())
}

/// Connections that this VM may have open to one endpoint of a service.
fn connection_limit(view: &InForce, service: &ServiceName) -> usize {
    let connections = view
        .config
        .as_deref()
        .and_then(|cfg| cfg.services.get(service))
        .map_or(1, |service| service.connections as usize);
    // A leaving VM still has connections open.
    (connections / view.vms.len().max(1)).max(1)
}

fn not_connected(error: &PoolError) -> Failed {
    match error {
        PoolError::Connect { .. } => {
            log::debug!("event=backend_unreachable error={}", logfmt::value(&error));
            not_sent(Failure::NoConnection)
        }
        PoolError::Full(_) => not_sent(Failure::DeadlinePassed),
    }
}

fn not_sent(failure: Failure) -> Failed {
    Failed {
        failure,
        state: AttemptState::NotSent,
    }
}

fn failure_of_caller(fault: UploadError) -> Failure {
    match fault {
        UploadError::Slow => Failure::CallerSlow,
        UploadError::Cut | UploadError::Superseded => Failure::CallerGone,
    }
}

fn explicit_refusal(answer: &Response<Incoming>) -> Option<Failure> {
    if answer.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let marked = |name| answer.headers().get(name).is_some_and(|mark| mark == "1");
    if marked("x-drain") {
        Some(Failure::Draining)
    } else if marked("x-shed") {
        Some(Failure::Shed)
    } else {
        None
    }
}

/// An answer that ends with its connection looks whole when it is cut, so
/// that a caller could not tell.
fn tells_its_end(method: &Method, answer: &Response<Incoming>) -> bool {
    let bodiless = method == Method::HEAD
        || answer.status() == StatusCode::NO_CONTENT
        || answer.status() == StatusCode::NOT_MODIFIED;
    let headers = answer.headers();
    bodiless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
