//! One attempt of a request at one endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_coord::steering::balancer::{LoadReport, Outcome, Target};
use filbertgrade_platform::headers::{ForwardHeaders, ResponseHead, ResponseKind};
use http::{HeaderValue, Request, Response, StatusCode, response};
use http_body::Body as _;
use hyper::body::Incoming;

use super::Node;
use super::answer::{self, Body, Relay};
use super::body::{Held, hold};
use super::request::Call;
use crate::connection::{Busy, CheckoutParams, Connection, PoolError, RequestBody};
use crate::logfmt;
use crate::request::{AttemptState, Failure};
use crate::sync::lock;

/// Longest answer that is held until it is whole, so that one that is cut can
/// be replaced by another attempt.
const HELD_ANSWER_BYTES: usize = 256 * 1024;

/// Part of the time for which an endpoint keeps an idle connection that it is
/// used. A request on a connection that the endpoint closes meanwhile is lost.
const KEEP_ALIVE_USED: f64 = 0.7;

/// An attempt that counts at its endpoint until it ends.
#[derive(Debug)]
pub(super) struct Running {
    node: Arc<Node>,
    target: Target,
    object: u64,
    started: Instant,
    ended: bool,
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum Reply {
    /// The endpoint answered.
    Answer(Response<Body>),
    /// The endpoint ran the request and says that it failed.
    Failed(Response<Body>),
    /// There is no answer to pass on.
    NoAnswer {
        /// What happened.
        failure: Failure,
        /// How far the attempt got.
        state: AttemptState,
    },
}

/// A body that was read, as far as it is held.
type Answered = (response::Parts, Held);

impl Running {
    pub(super) fn new(node: &Arc<Node>, target: Target, object: u64) -> Self {
        Self {
            node: Arc::clone(node),
            target,
            object,
            started: Instant::now(),
            ended: false,
        }
    }

    /// Takes a connection back after a whole answer.
    pub(super) fn put_back(&self, connection: Connection<Busy>, idle_limit: Duration) {
        let connection = connection.finish(Instant::now());
        self.node
            .pool
            .put_back_with_idle_limit(connection, idle_limit);
    }

    fn end(&mut self, outcome: Outcome, report: Option<LoadReport>) {
        self.ended = true;
        let now = Instant::now();
        let rest =
            lock(&self.node.balancer).finish(&self.target, self.object, outcome, report, now);
        if let Some(rest) = rest {
            log::warn!(
                "event=endpoint_rests endpoint={} address={} service={} ms={}",
                logfmt::value(&self.target.key),
                self.target.address,
                self.target.service,
                rest.as_millis(),
            );
        }
    }

    fn latency(&self) -> Duration {
        self.started.elapsed()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Outcome::Cancelled, None);
        }
    }
}

/// Sends a request to an endpoint and reads its answer.
pub(super) async fn run(node: &Arc<Node>, call: &Call, target: Target, body: RequestBody) -> Reply {
    let mut running = Running::new(node, target, call.object);
    let need = CheckoutParams {
        endpoint: running.target.address,
        limit: connection_limit(node, call),
        idempotent: call.route.kind.is_idempotent(),
        deadline: call.deadline,
    };
    let connection = match node.pool.checkout(&need).await {
        Ok(connection) => connection,
        Err(error) => return not_connected(&mut running, call, &error),
    };
    if !connection.is_reused() {
        let time = running.latency();
        lock(&node.balancer).record_connect_time(&running.target.region, time);
        metrics::counter!("backend_connections_total").increment(1);
    }
    let Some(req) = request_for(call, &running.target, body) else {
        return no_answer(
            &mut running,
            call,
            Failure::DeadlinePassed,
            AttemptState::NotSent,
        );
    };
    exchange(running, call, connection, req).await
}

async fn exchange(
    mut running: Running,
    call: &Call,
    mut connection: Connection<Busy>,
    req: Request<RequestBody>,
) -> Reply {
    let reused = connection.is_reused();
    let sent = tokio::time::timeout_at(call.deadline.into(), connection.send(req)).await;
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            let state = close(connection).await;
            log::debug!(
                "event=exchange_failed id={} error={}",
                call.id(),
                logfmt::value(&error)
            );
            return no_answer(
                &mut running,
                call,
                Failure::ConnectionLost { reused },
                state,
            );
        }
        Err(_) => {
            let state = close(connection).await;
            return no_answer(&mut running, call, Failure::DeadlinePassed, state);
        }
    };
    let (parts, body) = answer.into_parts();
    let head = ResponseHead::read(parts.status, &parts.headers);
    if let Some(failure) = fault_of(&head, parts.status, call) {
        drop(connection);
        return no_answer(&mut running, call, failure, AttemptState::FullySent);
    }
    let idle_limit = idle_limit(&head);
    let held = match read(parts, body, call).await {
        Ok(held) => held,
        Err(failure) => {
            drop(connection);
            return no_answer(&mut running, call, failure, AttemptState::FullySent);
        }
    };
    finish(running, call, connection, &head, held, idle_limit)
}

async fn close(connection: Connection<Busy>) -> AttemptState {
    if connection.close().await {
        AttemptState::FullySent
    } else {
        AttemptState::NotSent
    }
}

/// Passes a checked answer on, or says why it cannot be.
fn finish(
    mut running: Running,
    call: &Call,
    connection: Connection<Busy>,
    head: &ResponseHead,
    (parts, held): Answered,
    idle_limit: Duration,
) -> Reply {
    let bytes = match held {
        Held::Whole(bytes) => bytes,
        Held::Begun(begun, rest) => {
            running.end_answered(head, &parts, call);
            let relay = Relay {
                begun: Some(begun),
                rest,
                connection,
                running,
                deadline: call.deadline,
                idle_limit,
            };
            return Reply::Answer(answer::relayed(parts, relay));
        }
    };
    running.put_back(connection, idle_limit);
    match head.kind {
        ResponseKind::NotRun => {
            let failure = Failure::Shed;
            refused(&mut running, call, failure, Outcome::Refused, head.load)
        }
        ResponseKind::Misdirected => {
            let failure = Failure::Misdirected;
            refused(&mut running, call, failure, Outcome::Mismatched, None)
        }
        ResponseKind::Run => {
            let failed = running.end_answered(head, &parts, call);
            let answer = answer::whole(parts, bytes);
            if failed {
                Reply::Failed(answer)
            } else {
                Reply::Answer(answer)
            }
        }
    }
}

impl Running {
    /// Ends the attempt with an answer. Returns whether the work failed.
    fn end_answered(&mut self, head: &ResponseHead, parts: &response::Parts, call: &Call) -> bool {
        let failed = parts.status.is_server_error();
        let latency = self.latency();
        self.end(Outcome::Answered { latency, failed }, head.load);
        if failed {
            self.log(call, "failed_answer", Some(parts.status));
        }
        failed
    }

    fn log(&self, call: &Call, result: &str, status: Option<StatusCode>) {
        let target = &self.target;
        log::info!(
            "event=attempt id={} endpoint={} address={} region={} result={result} status={} ms={} \
             expected_ms={} load={:.1} slots={} load_age_ms={} repeat={}",
            call.id(),
            logfmt::value(&target.key),
            target.address,
            target.region,
            status.map_or(0, |s| s.as_u16()),
            self.latency().as_millis(),
            target.expected_latency.as_millis(),
            target.load,
            target.slots,
            target.report_age.map_or(-1, |age| age.as_millis() as i64),
            target.object_cached,
        );
    }
}

fn refused(
    running: &mut Running,
    call: &Call,
    failure: Failure,
    outcome: Outcome,
    report: Option<LoadReport>,
) -> Reply {
    running.end(outcome, report);
    running.log(call, result_name(failure), None);
    metrics::counter!("backend_refusals_total", "cause" => result_name(failure)).increment(1);
    let state = AttemptState::FullySent;
    Reply::NoAnswer { failure, state }
}

fn no_answer(running: &mut Running, call: &Call, failure: Failure, state: AttemptState) -> Reply {
    let outcome = match failure {
        Failure::NoConnection => Outcome::Unreachable,
        Failure::DeadlinePassed if state == AttemptState::NotSent => Outcome::Cancelled,
        Failure::DeadlinePassed => Outcome::TimedOut,
        // A connection that the endpoint closed while it was idle.
        Failure::ConnectionLost { reused: true } if state == AttemptState::NotSent => {
            Outcome::Cancelled
        }
        _ => Outcome::ConnectionLost,
    };
    running.end(outcome, None);
    running.log(call, result_name(failure), None);
    metrics::counter!("backend_failures_total", "cause" => result_name(failure)).increment(1);
    Reply::NoAnswer { failure, state }
}

fn not_connected(running: &mut Running, call: &Call, error: &PoolError) -> Reply {
    let failure = match error {
        PoolError::Connect { .. } => Failure::NoConnection,
        PoolError::Full(_) => Failure::DeadlinePassed,
    };
    no_answer(running, call, failure, AttemptState::NotSent)
}

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
        Failure::CallerSlow => "caller_slow",
        Failure::CallerGone => "caller_gone",
        Failure::ResponseCut => "answer_cut",
    }
}

/// Why an answer is not the answer to this request.
fn fault_of(head: &ResponseHead, status: StatusCode, call: &Call) -> Option<Failure> {
    let own = match (&head.id, &call.head.id) {
        (Some(echoed), Some(sent)) => echoed == sent,
        // Refusals need not name the request; every other answer does.
        (None, Some(_)) => head.kind != ResponseKind::Run,
        (_, None) => true,
    };
    let unsigned = status.is_success() && !head.signed;
    (!own || unsigned).then_some(Failure::MalformedResponse)
}

async fn read(parts: response::Parts, body: Incoming, call: &Call) -> Result<Answered, Failure> {
    if body.is_end_stream() {
        return Ok((parts, Held::Whole(Bytes::new())));
    }
    match tokio::time::timeout_at(call.deadline.into(), hold(body, HELD_ANSWER_BYTES)).await {
        Ok(Ok(held)) => Ok((parts, held)),
        Ok(Err(_)) => Err(Failure::ResponseCut),
        Err(_) => Err(Failure::DeadlinePassed),
    }
}

fn idle_limit(head: &ResponseHead) -> Duration {
    head.keep_alive
        .map_or(super::IDLE_LIMIT, |time| time.mul_f64(KEEP_ALIVE_USED))
}

/// The request as the endpoint gets it; `None` when no time is left.
fn request_for(call: &Call, target: &Target, body: RequestBody) -> Option<Request<RequestBody>> {
    let time_left = call.deadline.saturating_duration_since(Instant::now());
    if time_left.is_zero() {
        return None;
    }
    let chunked = body.size_hint().exact().is_none();
    let path = call.parts.uri.path_and_query()?.as_str();
    let mut req = Request::builder()
        .method(call.parts.method.clone())
        .uri(path)
        .body(body)
        .ok()?;
    let headers = req.headers_mut();
    headers.clone_from(&call.parts.headers);
    ForwardHeaders {
        time_left,
        endpoint: &target.key.id,
        team: call.team.as_ref().map(|team| &team.name),
    }
    .write(headers);
    if chunked {
        // hyper leaves out the body of a GET without this header.
        let value = HeaderValue::from_static("chunked");
        headers.insert(http::header::TRANSFER_ENCODING, value);
    }
    Some(req)
}

/// Connections that this VM may have open to one endpoint of a service.
fn connection_limit(node: &Node, call: &Call) -> usize {
    let deployment = node.deployment.load();
    let limit = deployment
        .as_deref()
        .and_then(|deployment| deployment.services.get(&call.service))
        .map_or(1, |service| service.max_connections as usize);
    let vms = lock(&node.members).peers().count() + 1;
    (limit / vms).max(1)
}
