//! Responses to callers: those of backend servers, and refusals by the node.

use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_coord::steering::balancer::{LoadReport, Outcome};
use futures::stream::{self, Stream};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Response, StatusCode, response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};

use super::running_attempt::RunningAttempt;
use crate::connection::{Busy, Connection};
use crate::request::{self, Cause, Refusal};

/// Body of a response to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, ResponseError>;

/// Why the stream of a response to a caller is aborted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ResponseError {
    /// The connection to the backend server failed in the middle of the
    /// response.
    #[error("the backend server's response is truncated: {0}")]
    Truncated(hyper::Error),
    /// The caller's deadline passed before the end of the response.
    #[error("the deadline passed before the end of the response")]
    DeadlinePassed,
}

/// The deadline of a request passed while its response was being streamed.
#[derive(Debug)]
struct DeadlinePassed;

/// A response of a backend server that is too long to be buffered, and is
/// streamed to the caller.
#[derive(Debug)]
pub(super) struct StreamedResponse {
    /// The part that has been read; `None` once it has been passed on.
    pub(super) start: Option<Bytes>,
    pub(super) remaining: Incoming,
    pub(super) connection: Connection<Busy>,
    pub(super) attempt: RunningAttempt,
    /// Outcome of the attempt if the rest of the body arrives.
    pub(super) outcome: Outcome,
    /// Load that the endpoint reported with the response.
    pub(super) report: Option<LoadReport>,
    pub(super) deadline: Instant,
    /// How long the connection may be idle after the response.
    pub(super) idle_limit: Duration,
}

impl StreamedResponse {
    /// Returns the body for the caller. Dropping it early closes the connection
    /// to the backend server, which cancels the request there.
    pub(super) fn body(self) -> Body {
        StreamBody::new(self.frames()).boxed_unsync()
    }

    /// Reads the next part of the body, until the deadline. A part that is there
    /// already is passed on even later, unless the body has no known end: an
    /// endpoint may send without end, and always has a next part.
    async fn next_frame(
        &mut self,
    ) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, DeadlinePassed> {
        let has_known_end = self.remaining.size_hint().upper().is_some();
        if !has_known_end && Instant::now() >= self.deadline {
            return Err(DeadlinePassed);
        }
        tokio::time::timeout_at(self.deadline.into(), self.remaining.frame())
            .await
            .map_err(|_elapsed| DeadlinePassed)
    }

    fn frames(self) -> impl Stream<Item = Result<Frame<Bytes>, ResponseError>> + Send + 'static {
        stream::unfold(Some(self), |response| async move {
            let mut response = response?;
            if let Some(start) = response.start.take() {
                return Some((Ok(Frame::data(start)), Some(response)));
            }
            match response.next_frame().await {
                Err(DeadlinePassed) => {
                    response.attempt.end(Outcome::TimedOut, None);
                    Some((Err(ResponseError::DeadlinePassed), None))
                }
                Ok(Some(Err(error))) => {
                    response.attempt.end(Outcome::ConnectionLost, None);
                    Some((Err(ResponseError::Truncated(error)), None))
                }
                Ok(Some(Ok(frame))) => Some((Ok(frame), Some(response))),
                Ok(None) => {
                    response.attempt.end(response.outcome, response.report);
                    response
                        .attempt
                        .put_back(response.connection, response.idle_limit);
                    None
                }
            }
        })
    }
}

/// Returns a backend server's response whose body has been buffered completely.
pub(super) fn buffered(mut parts: response::Parts, body: Bytes) -> Response<Body> {
    prepare_headers(&mut parts.headers);
    // hyper sets this header anew from the length of the buffered body.
    parts.headers.remove(CONTENT_LENGTH);
    let body = Full::new(body).map_err(|never| match never {});
    Response::from_parts(parts, body.boxed_unsync())
}

/// Returns a backend server's response whose body is streamed.
pub(super) fn streamed(mut parts: response::Parts, response: StreamedResponse) -> Response<Body> {
    prepare_headers(&mut parts.headers);
    Response::from_parts(parts, response.body())
}

fn prepare_headers(headers: &mut HeaderMap) {
    request::remove_hop_by_hop(headers);
}

/// Returns the response to a request that the node refuses.
pub(super) fn refuse(
    refusal: &Refusal,
    id: Option<&HeaderValue>,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let cause = refusal.cause().as_str();
    let outcome = refusal.outcome().as_str();
    let body = format!("{{\"cause\":\"{cause}\",\"outcome\":\"{outcome}\"}}");
    let mut response = json(status(refusal), body);
    filbertgrade_platform::headers::write_refusal(response.headers_mut(), id, retry_after);
    response
}

/// Whether callers take the status as a promise that the request has not run and
/// never will.
pub(super) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Status code of a refusal. When the request may have run, none is used that
/// [`promises_not_run`].
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

/// Returns a response with a JSON body.
pub(super) fn json(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns a response without a body.
pub(super) fn empty(status: StatusCode) -> Response<Body> {
    let body = Full::default().map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}
