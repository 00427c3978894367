//! An attempt while it runs: its load at the endpoint, its outcome and its log line.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::balancer::{LoadReport, Outcome, Target};
use filbertgrade_platform::headers::ResponseHead;
use http::{StatusCode, response};

use super::Node;
use super::routing::Call;
use crate::connection::{Busy, Connection};
use crate::logfmt;
use crate::sync::lock;

/// An attempt that the balancer counts as load of its endpoint until it ends. If
/// dropped before, it ends as cancelled.
#[derive(Debug)]
pub(super) struct RunningAttempt {
    node: Arc<Node>,
    pub(super) target: Target,
    object: u64,
    started: Instant,
    /// Connection of the attempt; `None` until it has one.
    pub(super) connection: Option<ConnectionUse>,
    ended: bool,
}

/// How an attempt used its connection, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionUse {
    /// The connection had served another request before.
    pub(super) reused: bool,
    /// Bytes of the request that were sent on it.
    pub(super) sent_bytes: u64,
}

impl RunningAttempt {
    pub(super) fn new(node: &Arc<Node>, target: Target, object: u64) -> Self {
        Self {
            node: Arc::clone(node),
            target,
            object,
            started: Instant::now(),
            connection: None,
            ended: false,
        }
    }

    /// Returns the connection to the pool after a complete response.
    pub(super) fn put_back(&self, connection: Connection<Busy>, idle_limit: Duration) {
        let connection = connection.finish(Instant::now());
        self.node
            .pool
            .put_back_with_idle_limit(connection, idle_limit);
    }

    /// Reports the outcome to the balancer, and logs if that ejects the endpoint.
    pub(super) fn end(&mut self, outcome: Outcome, report: Option<LoadReport>) {
        self.ended = true;
        let now = Instant::now();
        let backoff =
            lock(&self.node.balancer).finish(&self.target, self.object, outcome, report, now);
        if let Some(backoff) = backoff {
            log::warn!(
                "event=endpoint_rests endpoint={} address={} service={} ms={}",
                logfmt::value(&self.target.key),
                self.target.address,
                logfmt::value(&self.target.service),
                backoff.as_millis(),
            );
        }
    }

    /// Time since the start of the attempt.
    pub(super) fn latency(&self) -> Duration {
        self.started.elapsed()
    }

    /// Ends the attempt with a response that is passed on.
    /// Returns whether it is a server error.
    pub(super) fn end_with_response(
        &mut self,
        head: &ResponseHead,
        parts: &response::Parts,
        call: &Call,
    ) -> bool {
        self.end(self.response_outcome(parts), head.load);
        let failed = parts.status.is_server_error();
        if failed {
            self.log(call, "failed_answer", Some(parts.status));
        }
        failed
    }

    /// Outcome of an attempt whose response arrives completely.
    pub(super) fn response_outcome(&self, parts: &response::Parts) -> Outcome {
        Outcome::Responded {
            latency: self.latency(),
            failed: parts.status.is_server_error(),
        }
    }

    pub(super) fn log(&self, call: &Call, result: &str, status: Option<StatusCode>) {
        let target = &self.target;
        let connection = match self.connection {
            None => "none",
            Some(ConnectionUse { reused: false, .. }) => "new",
            Some(ConnectionUse { reused: true, .. }) => "reused",
        };
        log::info!(
            "event=attempt id={} endpoint={} address={} region={} result={result} status={} \
             connection={connection} sent_bytes={} ms={} \
             expected_ms={} load={:.1} slots={} load_age_ms={} repeat={}",
            call.id(),
            logfmt::value(&target.key),
            target.address,
            logfmt::value(&target.region),
            status.map_or(0, |s| s.as_u16()),
            self.connection
                .map_or(0, |connection| connection.sent_bytes),
            self.latency().as_millis(),
            target.expected_latency.as_millis(),
            target.load,
            target.slots,
            target.report_age.map_or(-1, |age| age.as_millis() as i64),
            target.object_cached,
        );
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Outcome::Cancelled, None);
        }
    }
}
