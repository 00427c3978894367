//! Forwards one request to a backend server and streams the response back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use filbertgrade_coord::names::TeamName;
use filbertgrade_coord::steering::endpoint_limit::EndpointRate;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, Version};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

use super::Entry;
use super::response::{Body, ResponseConnection, ResponseStream};
use super::slots::{EndpointFault, SlotCriteria, SlotGrant};
use crate::connection::{Busy, CheckoutParams, Connection, PoolError};
use crate::logfmt;
use crate::request::{
    self, Attempt, AttemptState, Cause, Claim, DEADLINE_HEADER, Failure, MIN_DEADLINE, NextStep,
    Refusal, RetryContext, SendProgress, Upload, UploadError,
};
use crate::version::{Access, InForce, KeySecret, ServiceName};

/// How long to wait for a response on a reused connection before an idempotent
/// request is sent again on a new one. Open connections can stop delivering
/// data permanently while new connections work.
const REUSED_CONNECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Header in which a backend server names the requests a second that it accepts
/// from all entries together.
const RATE_LIMIT_HEADER: &str = "x-rate-limit";

/// Header with the [`AttemptId`] of a request.
const ATTEMPT_ID_HEADER: &str = "x-attempt-id";

/// Longest time for reading the rest of an upload after its request was
/// refused.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// A request whose head has been read and checked.
struct Call<'a> {
    parts: Parts,
    upload: &'a Upload<Incoming>,
    service: ServiceName,
    key: Option<KeySecret>,
    team: Option<TeamName>,
    deadline: Instant,
    idempotent: bool,
}

/// An attempt that produced no response to forward.
struct FailedAttempt {
    failure: Failure,
    state: AttemptState,
}

/// What has been sent on the connection of one attempt.
#[derive(Debug)]
struct SentProgress<'a> {
    bytes_sent: bool,
    body_sent: &'a AtomicBool,
}

impl SendProgress for SentProgress<'_> {
    fn has_sent_bytes(&self) -> bool {
        self.bytes_sent
    }

    fn has_sent_body(&self) -> bool {
        self.body_sent.load(Ordering::Acquire)
    }
}

/// Forwards a request that arrived at `arrived`.
///
/// # Errors
///
/// Returns a refusal. It says "not run" only when no backend server ran the
/// request.
pub(crate) async fn forward(
    entry: &Arc<Entry>,
    req: Request<Incoming>,
    arrived: Instant,
) -> Result<Response<Body>, Refusal> {
    let (parts, body) = req.into_parts();
    let upload = Upload::new(body);
    let response = forward_request(entry, parts, &upload, arrived).await;
    if response.is_err() && !upload.is_ended() {
        tokio::spawn(discard_upload(upload));
    }
    response
}

/// Reads and discards what a caller still sends after a refusal. Closing the
/// connection before that would reset it, and the caller would lose the
/// refusal.
async fn discard_upload(upload: Upload<Incoming>) {
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, upload.buffer()).await;
}

async fn forward_request(
    entry: &Arc<Entry>,
    mut parts: Parts,
    upload: &Upload<Incoming>,
    arrived: Instant,
) -> Result<Response<Body>, Refusal> {
    check_request(&parts)?;
    let deadline = arrived + request::deadline_of(&parts.headers)?;
    let idempotency_key = request::idempotency_key_of(&parts.headers)?.map(str::to_owned);
    let view = entry.in_force.load_full();
    let (service, access) = find_service(&view, &parts.uri)?;
    let key = match access {
        Access::Open => None,
        Access::Key => Some(parse_key(&parts)?),
    };
    let team = key
        .as_ref()
        .map(|key| find_team(entry, &view, key))
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
    entry.with_retry_budget(request::RetryBudget::count_request);
    buffer_small_body(&call).await?;
    if let Some(team) = &call.team {
        entry.admission.admit(team, deadline).await?;
    }
    let mut claim = match idempotency_key {
        Some(key) if !call.idempotent => Some(claim_key(entry, &call, &key).await?),
        _ => None,
    };
    let response = tokio::select! {
        biased;
        response = send_with_retries(entry, &call, claim.as_mut()) => response,
        // The last attempt may be running.
        () = entry.last_responses_due() => Err(Refusal::unknown(Cause::BackendSilent)),
    };
    let result = response
        .as_ref()
        .map(|response| response.status().as_u16())
        .map_err(|refusal| *refusal);
    record_result(claim, result).await;
    response
}

/// Checks that the HTTP version marks the end of responses, and that the API
/// key does not appear in the path or query, which backend servers see.
fn check_request(parts: &Parts) -> Result<(), Refusal> {
    if parts.version < Version::HTTP_11 || parts.method == Method::CONNECT {
        return Err(Refusal::not_run(Cause::BadRequest));
    }
    if request::contains_api_key(parts.uri.to_string().as_bytes()) {
        return Err(Refusal::not_run(Cause::KeyInPath));
    }
    Ok(())
}

fn find_service(view: &InForce, uri: &Uri) -> Result<(ServiceName, Access), Refusal> {
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

fn parse_key(parts: &Parts) -> Result<KeySecret, Refusal> {
    parts
        .headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .and_then(KeySecret::parse)
        .ok_or(Refusal::not_run(Cause::KeyMissing))
}

fn find_team(entry: &Entry, view: &InForce, key: &KeySecret) -> Result<TeamName, Refusal> {
    if !entry.is_valid(Instant::now()) {
        return Err(Refusal::not_run(Cause::Isolated));
    }
    view.keys
        .team_of(key)
        .cloned()
        .ok_or(Refusal::not_run(Cause::KeyRefused))
}

/// Buffers a small body before the request takes a slot. The body can then be
/// sent again, and a slow caller does not occupy a slot while uploading.
async fn buffer_small_body(call: &Call<'_>) -> Result<(), Refusal> {
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
    let claim = entry.guard.claim(call.team.as_ref(), key, method, uri);
    tokio::time::timeout_at(call.deadline.into(), claim)
        .await
        .unwrap_or(Err(Refusal::not_run(Cause::DeadlinePassed)))
}

/// Records how the request ended. After a "not run" refusal, the idempotency
/// key is released before the caller receives the refusal, provided that the
/// store responds soon enough.
async fn record_result(claim: Option<Claim>, result: Result<u16, Refusal>) {
    let Some(claim) = claim else { return };
    match result {
        Ok(status) => claim.record_response(status),
        Err(refusal) if refusal.is_not_run() => claim.release().await,
        Err(_) => {}
    }
}

async fn send_with_retries(
    entry: &Arc<Entry>,
    call: &Call<'_>,
    mut claim: Option<&mut Claim>,
) -> Result<Response<Body>, Refusal> {
    let mut avoid: Vec<SocketAddr> = Vec::new();
    let mut may_have_run = false;
    let mut refusal = None;
    for attempts in 1.. {
        let (slot, view) = match acquire_slot(entry, call, avoid.clone()).await {
            Ok(acquired) => acquired,
            // The earlier failure is more informative than "no endpoint is
            // left".
            Err(last) => return Err(refusal.unwrap_or(last)),
        };
        let endpoint = slot.endpoint();
        let failed = match run_attempt(entry, call, &view, slot, claim.as_deref_mut()).await {
            Ok(response) => return Ok(response),
            Err(failed) => failed,
        };
        let now = Instant::now();
        let context = RetryContext {
            state: failed.state,
            idempotent: call.idempotent,
            replayable: call.upload.is_replayable(),
            earlier_may_have_run: may_have_run,
            attempts,
            max_attempts: request::MAX_ATTEMPTS,
            budget_available: entry.with_retry_budget(|budget| budget.can_spend(now)),
            deadline: call.deadline,
            now,
        };
        may_have_run |= request::may_have_run(failed.failure, failed.state);
        if !may_have_run && let Some(claim) = claim.as_deref_mut() {
            claim.mark_not_run();
        }
        match request::next_step(failed.failure, &context) {
            NextStep::RefuseNotRun(cause) => return Err(Refusal::not_run(cause)),
            NextStep::RefuseUnknown(cause) => return Err(Refusal::unknown(cause)),
            // A response that is already being forwarded aborts within its
            // stream instead, and does not reach this function.
            NextStep::AbortResponse => return Err(Refusal::unknown(Cause::BackendFailed)),
            NextStep::Retry {
                elsewhere,
                spends_budget,
            } => {
                let last_failure = refusal_without_retry(&failed, &context, may_have_run);
                if spends_budget && !entry.with_retry_budget(|budget| budget.spend(now)) {
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

/// Returns the refusal for a request that could be sent again, for the case that
/// no further attempt can be made.
fn refusal_without_retry(
    failed: &FailedAttempt,
    context: &RetryContext,
    may_have_run: bool,
) -> Refusal {
    let last = RetryContext {
        replayable: false,
        ..*context
    };
    match request::next_step(failed.failure, &last) {
        NextStep::RefuseNotRun(cause) if !may_have_run => Refusal::not_run(cause),
        NextStep::RefuseNotRun(cause) | NextStep::RefuseUnknown(cause) => Refusal::unknown(cause),
        NextStep::Retry { .. } | NextStep::AbortResponse => Refusal::unknown(Cause::BackendFailed),
    }
}

/// Waits for a slot. The key and the time to stop are checked again afterwards,
/// because they may have changed during the wait.
async fn acquire_slot(
    entry: &Entry,
    call: &Call<'_>,
    avoid: Vec<SocketAddr>,
) -> Result<(SlotGrant, Arc<InForce>), Refusal> {
    if remaining_time(call) < MIN_DEADLINE {
        return Err(Refusal::not_run(Cause::DeadlinePassed));
    }
    check_stop(entry, call)?;
    let criteria = SlotCriteria {
        service: call.service.clone(),
        team: call.team.clone(),
        deadline: call.deadline,
        avoid,
    };
    let view = entry.in_force.load_full();
    let slot = entry.slots.acquire(&view, &criteria).await?;
    check_stop(entry, call)?;
    let view = entry.in_force.load_full();
    if let Some(key) = &call.key {
        find_team(entry, &view, key)?;
    }
    Ok((slot, view))
}

/// Refuses a request that could still run when a stopping process is killed.
fn check_stop(entry: &Entry, call: &Call<'_>) -> Result<(), Refusal> {
    if entry.permits_until(call.deadline) {
        Ok(())
    } else {
        Err(Refusal::not_run(Cause::Leaving))
    }
}

async fn run_attempt(
    entry: &Arc<Entry>,
    call: &Call<'_>,
    view: &InForce,
    mut slot: SlotGrant,
    claim: Option<&mut Claim>,
) -> Result<Response<Body>, FailedAttempt> {
    let endpoint = slot.endpoint();
    let id = AttemptId::random();
    let params = CheckoutParams {
        endpoint,
        limit: connection_limit(view, &call.service),
        idempotent: call.idempotent,
        response_id: Some(id.0.as_bytes().into()),
        deadline: call.deadline,
    };
    let attempt = Attempt::start();
    let mut connection = match entry.pool.checkout(&params).await {
        Ok(connection) => connection,
        Err(error) => {
            if matches!(error, PoolError::Connect { .. }) {
                slot.release_with_fault(EndpointFault::Unreachable);
            }
            return Err(checkout_failure(&error));
        }
    };
    let (body, body_sent) = call.upload.body();
    let Some(req) = build_request(call, endpoint, &id, body) else {
        return Err(not_sent(Failure::DeadlinePassed));
    };
    if let Some(claim) = claim {
        claim.mark_sending();
    }
    let response = match wait_for_response(call, &mut connection, req).await {
        Ok(response) => response,
        Err(failure) => {
            if matches!(
                failure,
                Failure::ConnectionTimedOut | Failure::DeadlinePassed
            ) {
                entry.pool.close_idle(endpoint);
            }
            let sent = SentProgress {
                bytes_sent: connection.close().await > 0,
                body_sent: &body_sent,
            };
            let failure = call.upload.error().map_or(failure, upload_failure);
            let state = attempt.observe(&sent).state();
            return Err(FailedAttempt { failure, state });
        }
    };
    let sent = SentProgress {
        bytes_sent: connection.sent_bytes() > 0,
        body_sent: &body_sent,
    };
    let state = match attempt.observe(&sent).response_started() {
        Ok(started) => started.state(),
        Err(_) => return Err(not_sent(Failure::ConnectionLost { reused: true })),
    };
    let echo = id.echo_in(&response);
    if echo == Echo::Other || (echo == Echo::Missing && connection.is_reused()) {
        log::warn!("event=foreign_response backend={endpoint}");
        let failure = Failure::ForeignResponse;
        return Err(FailedAttempt { failure, state });
    }
    let is_reusable = echo == Echo::Own;
    if let Some(rate) = endpoint_rate(&response) {
        slot.record_rate(rate);
    }
    if let Some(failure) = explicit_refusal(&response) {
        slot.release_with_fault(match failure {
            Failure::Draining => EndpointFault::Draining,
            _ => EndpointFault::Shed,
        });
        if is_reusable && response.body().is_end_stream() && body_sent.load(Ordering::Acquire) {
            entry.pool.put_back(connection.finish(Instant::now()));
        }
        return Err(FailedAttempt { failure, state });
    }
    if !marks_its_end(&call.parts.method, &response) {
        let failure = Failure::MalformedResponse;
        return Err(FailedAttempt { failure, state });
    }
    let (mut parts, body) = response.into_parts();
    request::prepare_response(&mut parts.headers);
    parts.headers.remove(ATTEMPT_ID_HEADER);
    let connection = ResponseConnection {
        connection,
        request_sent: body_sent,
        is_reusable,
    };
    let stream = ResponseStream::new(entry, body, connection, slot, call.deadline);
    Ok(Response::from_parts(parts, stream.boxed_unsync()))
}

async fn wait_for_response(
    call: &Call<'_>,
    connection: &mut Connection<Busy>,
    req: Request<crate::connection::RequestBody>,
) -> Result<Response<Incoming>, Failure> {
    let reused = connection.is_reused();
    let resend_at = Instant::now() + REUSED_CONNECTION_TIMEOUT;
    let resend_early =
        reused && call.idempotent && call.upload.is_buffered() && resend_at < call.deadline;
    let (until, timeout_failure) = if resend_early {
        (resend_at, Failure::ConnectionTimedOut)
    } else {
        (call.deadline, Failure::DeadlinePassed)
    };
    match tokio::time::timeout_at(until.into(), connection.send(req)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(_)) => Err(Failure::ConnectionLost { reused }),
        Err(_) => Err(timeout_failure),
    }
}

/// Builds the request for the backend server. Returns `None` when too little
/// time is left before the deadline.
fn build_request(
    call: &Call<'_>,
    endpoint: SocketAddr,
    id: &AttemptId,
    body: request::UploadBody<Incoming>,
) -> Option<Request<crate::connection::RequestBody>> {
    let time_left = remaining_time(call);
    if time_left < MIN_DEADLINE {
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
    let time_left = u64::try_from(time_left.as_millis()).ok()?;
    headers.insert(DEADLINE_HEADER, HeaderValue::from(time_left));
    headers.insert(ATTEMPT_ID_HEADER, id.0.clone());
    if chunked {
        // hyper omits the body of a GET request without this header.
        headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    }
    Some(req)
}

/// Random id of one attempt, which a backend server repeats in its response.
///
/// A backend server may send a response twice. The second copy arrives where the
/// response to the next request is due, and only the id distinguishes the two.
#[derive(Debug)]
struct AttemptId(HeaderValue);

/// The id of an attempt in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Echo {
    /// It is that of this attempt.
    Own,
    /// It is that of another one.
    Other,
    /// The response has none.
    Missing,
}

impl AttemptId {
    fn random() -> Self {
        Self(HeaderValue::from(rand::random::<u64>()))
    }

    fn echo_in(&self, response: &Response<Incoming>) -> Echo {
        match response.headers().get(ATTEMPT_ID_HEADER) {
            None => Echo::Missing,
            Some(id) if *id == self.0 => Echo::Own,
            Some(_) => Echo::Other,
        }
    }
}

fn remaining_time(call: &Call<'_>) -> Duration {
    call.deadline.saturating_duration_since(Instant::now())
}

/// Returns how many connections this VM may have open to one endpoint of a
/// service: the endpoint's limit divided by the number of VMs, and at least
/// one.
fn connection_limit(view: &InForce, service: &ServiceName) -> usize {
    let connections = view
        .config
        .as_deref()
        .and_then(|cfg| cfg.services.get(service))
        .map_or(1, |service| service.connections as usize);
    // Leaving VMs are counted, because they still have connections open.
    (connections / view.vms.len().max(1)).max(1)
}

fn checkout_failure(error: &PoolError) -> FailedAttempt {
    match error {
        PoolError::Connect { .. } => {
            log::debug!("event=backend_unreachable error={}", logfmt::value(&error));
            not_sent(Failure::NoConnection)
        }
        PoolError::Full(_) => not_sent(Failure::DeadlinePassed),
    }
}

fn not_sent(failure: Failure) -> FailedAttempt {
    FailedAttempt {
        failure,
        state: AttemptState::NotSent,
    }
}

fn upload_failure(error: UploadError) -> Failure {
    match error {
        UploadError::Slow => Failure::CallerSlow,
        UploadError::Truncated | UploadError::Superseded => Failure::CallerGone,
    }
}

/// Rate that a backend server names in its response; `None` if the header cannot be
/// read.
fn endpoint_rate(response: &Response<Incoming>) -> Option<EndpointRate> {
    match response.headers().get(RATE_LIMIT_HEADER) {
        None => Some(EndpointRate::Unlimited),
        Some(value) => EndpointRate::parse(value.to_str().ok()?),
    }
}

fn explicit_refusal(response: &Response<Incoming>) -> Option<Failure> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let has_mark = |name| response.headers().get(name).is_some_and(|mark| mark == "1");
    if has_mark("x-drain") {
        Some(Failure::Draining)
    } else if has_mark("x-shed") {
        Some(Failure::Shed)
    } else {
        None
    }
}

/// Returns whether the response marks the end of its body by a length or by
/// chunked encoding. A response that ends when its connection closes looks
/// complete even if it was truncated, and a caller could not detect that.
fn marks_its_end(method: &Method, response: &Response<Incoming>) -> bool {
    let bodiless = method == Method::HEAD
        || response.status() == StatusCode::NO_CONTENT
        || response.status() == StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    bodiless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
