//! One attempt to have an endpoint handle a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_coord::steering::balancer::{LoadReport, Outcome, Target};
use filbertgrade_platform::headers::{ForwardHeaders, ResponseHead, ResponseKind};
use http::{HeaderValue, Request, Response, StatusCode, response};
use http_body::Body as _;
use hyper::body::Incoming;

use super::body::{BufferedBody, buffer_body};
use super::responses::{self, Body, StreamedResponse};
use super::routing::{Call, is_key_valid};
use super::running_attempt::{ConnectionUse, RunningAttempt};
use super::{Node, endpoint_rates, notices};
use crate::connection::{Busy, CheckoutParams, Connection, PoolError, RequestBody};
use crate::logfmt;
use crate::request::{AttemptState, Failure};
use crate::sync::lock;

/// Longest response that is buffered completely before it is passed on. If the
/// connection fails meanwhile, another attempt can still replace it.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Fraction of the endpoint's keep-alive time for which an idle connection is
/// reused. A request is lost if the endpoint closes the connection while it is
/// being sent.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// The result of an attempt.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// A response for the caller. This is a server error only if its body is
    /// streamed.
    Response(Response<Body>),
    /// The endpoint ran the request and returned a server error, whose body has
    /// been buffered.
    ServerError(Response<Body>),
    /// There is no response to pass on.
    Failed {
        /// Why there is none.
        failure: Failure,
        /// How much of the request was sent.
        state: AttemptState,
    },
}

/// A response whose body has been read as far as it is buffered.
type BufferedResponse = (response::Parts, BufferedBody);

/// Sends a request to an endpoint and reads its response.
pub(super) async fn run(
    node: &Arc<Node>,
    call: &Call,
    target: Target,
    body: RequestBody,
) -> AttemptResult {
    let mut attempt = RunningAttempt::new(node, target, call.object);
    let params = CheckoutParams {
        endpoint: attempt.target.address,
        limit: connection_limit(node, call),
        idempotent: call.route.kind.is_idempotent(),
        response_id: call.head.id.as_ref().map(|id| id.as_bytes().into()),
        deadline: call.deadline,
    };
    let connection = match node.pool.checkout(&params).await {
        Ok(connection) => connection,
        Err(error) => return connection_failed(&mut attempt, call, &error),
    };
    if !connection.is_reused() {
        let connect_time = attempt.latency();
        lock(&node.balancer).record_connect_time(&attempt.target.region, connect_time);
        metrics::counter!("backend_connections_total").increment(1);
    }
    if let Some(failure) = permission_expired(node, call, &attempt.target) {
        return no_response(&mut attempt, call, failure, AttemptState::NotSent);
    }
    let req = build_request(call, &attempt.target, body);
    exchange(node, attempt, call, connection, req).await
}

/// Checks again what permitted the request when its endpoint was picked, since
/// it may have waited for a connection for seconds, or the process may have been
/// paused. Returns why the request must not be sent any more.
fn permission_expired(node: &Node, call: &Call, target: &Target) -> Option<Failure> {
    let now = Instant::now();
    if now >= call.deadline {
        return Some(Failure::DeadlinePassed);
    }
    let may_send = node.permits_until(call.deadline)
        && is_key_valid(node, call, now)
        && lock(&node.balancer).may_still_send(target, now);
    (!may_send).then_some(Failure::Draining)
}

/// Sends the request on the connection, and reads and checks the response.
async fn exchange(
    node: &Node,
    mut attempt: RunningAttempt,
    call: &Call,
    mut connection: Connection<Busy>,
    req: Request<RequestBody>,
) -> AttemptResult {
    let reused = connection.is_reused();
    let mut record_use =
        |sent_bytes| attempt.connection = Some(ConnectionUse { reused, sent_bytes });
    record_use(0);
    let sent = tokio::time::timeout_at(call.deadline.into(), connection.send(req)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            let sent_bytes = connection.close().await;
            record_use(sent_bytes);
            let state = state_after(sent_bytes);
            log::debug!(
                "event=exchange_failed id={} error={}",
                call.id(),
                logfmt::value(&error)
            );
            return no_response(
                &mut attempt,
                call,
                Failure::ConnectionLost { reused },
                state,
            );
        }
        Err(_) => {
            let sent_bytes = connection.close().await;
            record_use(sent_bytes);
            let state = state_after(sent_bytes);
            return no_response(&mut attempt, call, Failure::DeadlinePassed, state);
        }
    };
    record_use(connection.sent_bytes());
    let (parts, body) = response.into_parts();
    let head = ResponseHead::read(parts.status, &parts.headers);
    if let Some(failure) = response_failure(&head, parts.status, call, reused) {
        drop(connection);
        return no_response(&mut attempt, call, failure, AttemptState::FullySent);
    }
    endpoint_rates::record(node, call, &attempt.target.key, &head);
    notices::record(node, call, &attempt.target.key, &head);
    if head.kind == ResponseKind::Run && responses::promises_not_run(parts.status) {
        drop(connection);
        let failure = Failure::UnconfirmedRefusal;
        return no_response(&mut attempt, call, failure, AttemptState::FullySent);
    }
    let idle_limit = idle_limit(&head);
    let buffered = match buffer_response(parts, body, call).await {
        Ok(buffered) => buffered,
        Err(failure) => {
            drop(connection);
            return no_response(&mut attempt, call, failure, AttemptState::FullySent);
        }
    };
    finish(attempt, call, connection, &head, buffered, idle_limit)
}

/// How much of a request may have arrived at the endpoint. A partly sent request is
/// treated as a fully sent one.
fn state_after(sent_bytes: u64) -> AttemptState {
    if sent_bytes > 0 {
        AttemptState::FullySent
    } else {
        AttemptState::NotSent
    }
}

/// Ends the attempt with a response whose head has been checked. A response that
/// says that the endpoint did not run the request becomes a failure.
fn finish(
    mut attempt: RunningAttempt,
    call: &Call,
    connection: Connection<Busy>,
    head: &ResponseHead,
    (parts, body): BufferedResponse,
    idle_limit: Duration,
) -> AttemptResult {
    let bytes = match body {
        BufferedBody::Complete(bytes) => bytes,
        // Too long to be buffered. Nothing of it is needed if the request did not
        // run, and the connection is closed with the rest of it.
        BufferedBody::Partial(..) if head.kind != ResponseKind::Run => {
            drop(connection);
            return not_run(&mut attempt, call, head);
        }
        BufferedBody::Partial(start, remaining) => {
            let outcome = attempt.response_outcome(&parts);
            if parts.status.is_server_error() {
                attempt.log(call, "failed_answer", Some(parts.status));
            }
            let streamed = StreamedResponse {
                start: Some(start),
                remaining,
                connection,
                attempt,
                outcome,
                report: head.load,
                deadline: call.deadline,
                idle_limit,
            };
            return AttemptResult::Response(responses::streamed(parts, streamed));
        }
    };
    attempt.put_back(connection, idle_limit);
    if head.kind != ResponseKind::Run {
        return not_run(&mut attempt, call, head);
    }
    let failed = attempt.end_with_response(head, &parts, call);
    let response = responses::buffered(parts, bytes);
    if failed {
        AttemptResult::ServerError(response)
    } else {
        AttemptResult::Response(response)
    }
}

/// Ends an attempt whose response says that the request did not run.
fn not_run(attempt: &mut RunningAttempt, call: &Call, head: &ResponseHead) -> AttemptResult {
    let (failure, outcome, load) = match head.kind {
        ResponseKind::Misdirected => (Failure::Misdirected, Outcome::Misdirected, None),
        ResponseKind::NotRun | ResponseKind::Run => (Failure::Shed, Outcome::Refused, head.load),
    };
    refused(attempt, call, failure, outcome, load)
}

/// Ends an attempt whose request the endpoint refused to run.
fn refused(
    attempt: &mut RunningAttempt,
    call: &Call,
    failure: Failure,
    outcome: Outcome,
    report: Option<LoadReport>,
) -> AttemptResult {
    attempt.end(outcome, report);
    attempt.log(call, result_name(failure), None);
    metrics::counter!("backend_refusals_total", "cause" => result_name(failure)).increment(1);
    let state = AttemptState::FullySent;
    AttemptResult::Failed { failure, state }
}

/// Ends an attempt that got no complete and valid response.
fn no_response(
    attempt: &mut RunningAttempt,
    call: &Call,
    failure: Failure,
    state: AttemptState,
) -> AttemptResult {
    let outcome = match failure {
        Failure::NoConnection => Outcome::Unreachable,
        Failure::DeadlinePassed | Failure::Draining if state == AttemptState::NotSent => {
            Outcome::Cancelled
        }
        Failure::DeadlinePassed => Outcome::TimedOut,
        Failure::UnconfirmedRefusal => Outcome::Responded {
            latency: attempt.latency(),
            failed: true,
        },
        // The endpoint closed the connection while it was idle.
        Failure::ConnectionLost { reused: true } if state == AttemptState::NotSent => {
            Outcome::Cancelled
        }
        _ => Outcome::ConnectionLost,
    };
    attempt.end(outcome, None);
    attempt.log(call, result_name(failure), None);
    metrics::counter!("backend_failures_total", "cause" => result_name(failure)).increment(1);
    AttemptResult::Failed { failure, state }
}

fn connection_failed(
    attempt: &mut RunningAttempt,
    call: &Call,
    error: &PoolError,
) -> AttemptResult {
    let failure = match error {
        PoolError::Connect { .. } => Failure::NoConnection,
        PoolError::Full(_) => Failure::DeadlinePassed,
    };
    no_response(attempt, call, failure, AttemptState::NotSent)
}

/// Name of the failure in log lines and as the `cause` label of metrics.
fn result_name(failure: Failure) -> &'static str {
    match failure {
        Failure::NoConnection => "no_connection",
        Failure::ConnectionLost { reused: true } => "reused_connection_lost",
        Failure::ConnectionLost { reused: false } => "connection_lost",
        Failure::ConnectionTimedOut => "silent",
        Failure::DeadlinePassed => "deadline_passed",
        Failure::Shed => "refused",
        Failure::Draining => "draining",
        Failure::Misdirected => "other_endpoint",
        Failure::MalformedResponse => "malformed_answer",
        Failure::ForeignResponse => "foreign_answer",
        Failure::UnconfirmedRefusal => "unconfirmed_refusal",
        Failure::CallerSlow => "caller_slow",
        Failure::CallerGone => "caller_gone",
        Failure::ResponseTruncated => "answer_cut",
    }
}

/// Checks that a response belongs to this attempt and, if it is a success, has
/// the seal of a backend server. Returns the failure if it does not.
///
/// The id is that of the request. It identifies the attempt too, because a connection
/// carries no two attempts with the same id. On a connection that was used before, a
/// refusal without the id may be the late second copy of one to an earlier request. Taken for this
/// request, it would let an order run at a second endpoint.
fn response_failure(
    head: &ResponseHead,
    status: StatusCode,
    call: &Call,
    reused: bool,
) -> Option<Failure> {
    let id_matches = match (&head.id, &call.head.id) {
        (Some(echoed), Some(sent)) => echoed == sent,
        (None, Some(_)) => head.kind != ResponseKind::Run && !reused,
        (Some(_), None) => false,
        // Such a request gets a new connection.
        (None, None) => !reused,
    };
    if !id_matches {
        return Some(Failure::ForeignResponse);
    }
    let seal_missing = status.is_success() && !head.has_seal;
    seal_missing.then_some(Failure::MalformedResponse)
}

async fn buffer_response(
    parts: response::Parts,
    body: Incoming,
    call: &Call,
) -> Result<BufferedResponse, Failure> {
    if body.is_end_stream() {
        return Ok((parts, BufferedBody::Complete(Bytes::new())));
    }
    match tokio::time::timeout_at(
        call.deadline.into(),
        buffer_body(body, MAX_BUFFERED_RESPONSE_BYTES),
    )
    .await
    {
        Ok(Ok(body)) => Ok((parts, body)),
        Ok(Err(_)) => Err(Failure::ResponseTruncated),
        Err(_) => Err(Failure::DeadlinePassed),
    }
}

/// How long the connection may be idle after the response.
fn idle_limit(head: &ResponseHead) -> Duration {
    head.keep_alive.map_or(super::IDLE_LIMIT, |keep_alive| {
        keep_alive.mul_f64(KEEP_ALIVE_FRACTION)
    })
}

/// Builds the request for the endpoint. The deadline must not have passed.
fn build_request(call: &Call, target: &Target, body: RequestBody) -> Request<RequestBody> {
    let time_left = call.deadline.saturating_duration_since(Instant::now());
    let chunked = body.size_hint().exact().is_none();
    let mut req = Request::new(body);
    req.method_mut().clone_from(&call.parts.method);
    // Routes match paths, so a routed request has one.
    if let Some(path) = call.parts.uri.path_and_query() {
        *req.uri_mut() = path.clone().into();
    }
    let headers = req.headers_mut();
    headers.clone_from(&call.parts.headers);
    ForwardHeaders {
        time_left,
        endpoint: &target.key.id,
        team: call.team.as_ref().map(|team| &team.name),
    }
    .write(headers);
    if chunked {
        // Without this header, hyper does not send the body of a GET.
        let value = HeaderValue::from_static("chunked");
        headers.insert(http::header::TRANSFER_ENCODING, value);
    }
    req
}

/// Number of connections that this VM may have open to one endpoint: an equal
/// share of the service's limit, which applies to all VMs together.
fn connection_limit(node: &Node, call: &Call) -> usize {
    let deployment = node.deployment.load();
    let limit = deployment
        .as_deref()
        .and_then(|deployment| deployment.services.get(&call.service))
        .map_or(1, |service| service.max_connections as usize);
    let vms = lock(&node.members).peers().count() + 1;
    (limit / vms).max(1)
}
