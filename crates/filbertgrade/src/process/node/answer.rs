//! Answers to callers: passed on from backend servers, or the node's own.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream::{self, Stream};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Response, StatusCode, response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};

use super::attempt::Running;
use crate::connection::{Busy, Connection};
use crate::request::{self, Cause, Refusal};

/// Body of an answer to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, AnswerError>;

/// Why an answer ends as an aborted stream.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AnswerError {
    /// The backend server's answer ended before its end.
    #[error("the backend server's answer is cut: {0}")]
    Cut(hyper::Error),
    /// The caller's deadline passed before the end of the answer.
    #[error("the deadline passed before the end of the answer")]
    DeadlinePassed,
}

/// A long answer that is passed on as it comes.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) begun: Option<Bytes>,
    pub(super) rest: Incoming,
    pub(super) connection: Connection<Busy>,
    pub(super) running: Running,
    pub(super) deadline: Instant,
    /// How long the connection may be idle afterwards.
    pub(super) idle_limit: Duration,
}

impl Relay {
    /// The answer's body. Dropping it early closes the connection to the
    /// backend server, which cancels the request there.
    pub(super) fn body(self) -> Body {
        StreamBody::new(self.frames()).boxed_unsync()
    }

    fn frames(self) -> impl Stream<Item = Result<Frame<Bytes>, AnswerError>> + Send + 'static {
        stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            if let Some(begun) = relay.begun.take() {
                return Some((Ok(Frame::data(begun)), Some(relay)));
            }
            let next = tokio::time::timeout_at(relay.deadline.into(), relay.rest.frame()).await;
            match next {
                Err(_) => Some((Err(AnswerError::DeadlinePassed), None)),
                Ok(Some(Err(error))) => Some((Err(AnswerError::Cut(error)), None)),
                Ok(Some(Ok(frame))) => Some((Ok(frame), Some(relay))),
                Ok(None) => {
                    relay.running.put_back(relay.connection, relay.idle_limit);
                    None
                }
            }
        })
    }
}

/// An answer of a backend server whose whole body is held.
pub(super) fn whole(mut parts: response::Parts, body: Bytes) -> Response<Body> {
    prepare(&mut parts.headers);
    // The length of what is held is the true one.
    parts.headers.remove(CONTENT_LENGTH);
    let body = Full::new(body).map_err(|never| match never {});
    Response::from_parts(parts, body.boxed_unsync())
}

/// An answer of a backend server whose body is passed on as it comes.
pub(super) fn relayed(mut parts: response::Parts, relay: Relay) -> Response<Body> {
    prepare(&mut parts.headers);
    Response::from_parts(parts, relay.body())
}

fn prepare(headers: &mut HeaderMap) {
    request::remove_hop_by_hop(headers);
}

/// The node's own answer to a request that no backend server answered.
pub(super) fn refuse(
    refusal: &Refusal,
    id: Option<&HeaderValue>,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let cause = refusal.cause().as_str();
    let outcome = refusal.outcome().as_str();
    let body = format!("{{\"cause\":\"{cause}\",\"outcome\":\"{outcome}\"}}");
    let mut answer = json(status(refusal), body);
    filbertgrade_platform::headers::write_refusal(answer.headers_mut(), id, retry_after);
    answer
}

/// The status of a refusal. Callers take 429 and 503 as a promise that the
/// request has not run, and no other.
fn status(refusal: &Refusal) -> StatusCode {
    if refusal.is_not_run() {
        return match refusal.cause() {
            Cause::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Cause::KeyMissing | Cause::KeyRefused => StatusCode::UNAUTHORIZED,
            Cause::UnknownRoute => StatusCode::NOT_FOUND,
            Cause::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Cause::BadRequest => StatusCode::BAD_REQUEST,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
    }
    match refusal.cause() {
        Cause::BackendSilent | Cause::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// An answer with a JSON body.
pub(super) fn json(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// An answer without a body.
pub(super) fn empty(status: StatusCode) -> Response<Body> {
    let body = Full::default().map_err(|never| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer
}
