//! Responses to callers: forwarded from backend servers, or created by the
//! entry.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::task::JoinHandle;

use super::Entry;
use super::slots::SlotGrant;
use crate::connection::{Busy, Connection};
use crate::request::Refusal;
use crate::sync::lock;

/// Body of a response to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, ResponseError>;

/// Why the body of a response is aborted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ResponseError {
    /// The backend server's response ended before its announced end.
    #[error("the backend server's response is truncated: {0}")]
    Truncated(hyper::Error),
    /// The caller's deadline passed before the response was complete.
    #[error("the deadline passed before the end of the response")]
    DeadlinePassed,
}

/// Body of a backend server's response while it is streamed to the caller.
///
/// Dropping it before its end closes the connection to the backend server,
/// which cancels the request there.
#[derive(Debug)]
pub(crate) struct ResponseStream {
    inner: Incoming,
    resources: Arc<Mutex<HeldResources>>,
    /// Releases the resources at the deadline, even when the caller does not
    /// read the response.
    timer: JoinHandle<()>,
    /// Set once the whole request has been sent. Otherwise the connection
    /// cannot be reused.
    request_sent: Arc<AtomicBool>,
    /// The response is known to belong to the request.
    is_reusable: bool,
    entry: Arc<Entry>,
}

/// Connection on which a response arrives.
#[derive(Debug)]
pub(crate) struct ResponseConnection {
    pub(crate) connection: Connection<Busy>,
    /// Set once the whole request has been sent.
    pub(crate) request_sent: Arc<AtomicBool>,
    /// The backend server has repeated the id of the attempt. Otherwise a second
    /// copy of the response could be taken for that of the next request.
    pub(crate) is_reusable: bool,
}

/// Resources that a response occupies until it has been forwarded.
#[derive(Debug)]
struct HeldResources {
    /// Closed when dropped; returned to the pool after the complete response.
    connection: Option<Connection<Busy>>,
    /// Kept until the complete response has been forwarded.
    slot: Option<SlotGrant>,
    /// Set when the deadline passed before the response was complete.
    expired: bool,
}

impl ResponseStream {
    pub(crate) fn new(
        entry: &Arc<Entry>,
        inner: Incoming,
        connection: ResponseConnection,
        slot: SlotGrant,
        deadline: Instant,
    ) -> Self {
        let resources = Arc::new(Mutex::new(HeldResources {
            connection: Some(connection.connection),
            slot: Some(slot),
            expired: false,
        }));
        let timer = tokio::spawn(expire(Arc::clone(&resources), deadline));
        let mut stream = Self {
            inner,
            resources,
            timer,
            request_sent: connection.request_sent,
            is_reusable: connection.is_reusable,
            entry: Arc::clone(entry),
        };
        stream.finish_if_ended();
        stream
    }

    /// Finishes as soon as the body reports its end, because hyper does not poll
    /// a body again after `is_end_stream` returned true.
    fn finish_if_ended(&mut self) {
        if self.inner.is_end_stream() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        let connection = lock(&self.resources).connection.take();
        if let Some(connection) = connection
            && self.is_reusable
            && self.request_sent.load(Ordering::Acquire)
        {
            self.entry.pool.put_back(connection.finish(Instant::now()));
        }
    }

    fn abort(&mut self, error: hyper::Error) -> ResponseError {
        let mut resources = lock(&self.resources);
        resources.connection = None;
        if resources.expired {
            ResponseError::DeadlinePassed
        } else {
            ResponseError::Truncated(error)
        }
    }
}

/// Closes the connection and frees the slot at the deadline. The body stream
/// then ends with an error, because its connection was closed.
async fn expire(resources: Arc<Mutex<HeldResources>>, deadline: Instant) {
    tokio::time::sleep_until(deadline.into()).await;
    let mut resources = lock(&resources);
    resources.expired = resources.connection.is_some();
    resources.connection = None;
    resources.slot = None;
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        self.timer.abort();
        // An aborted timer task may keep its reference for a moment longer, so
        // the resources are released here.
        let mut resources = lock(&self.resources);
        resources.connection = None;
        resources.slot = None;
    }
}

impl HttpBody for ResponseStream {
    type Data = Bytes;
    type Error = ResponseError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        loop {
            let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
            match frame {
                Some(Ok(frame)) if frame.is_data() => {
                    self.finish_if_ended();
                    return Poll::Ready(Some(Ok(frame)));
                }
                // Trailers are not forwarded: they apply to one connection
                // only.
                Some(Ok(_)) => {}
                Some(Err(error)) => {
                    let error = self.abort(error);
                    return Poll::Ready(Some(Err(error)));
                }
                // The body must not look complete when the connection was
                // closed by the deadline timer.
                None if lock(&self.resources).expired => {
                    return Poll::Ready(Some(Err(ResponseError::DeadlinePassed)));
                }
                None => {
                    self.finish();
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Builds the entry's own response to a request that got none from a backend
/// server.
pub(crate) fn refuse(refusal: &Refusal) -> Response<Body> {
    #[derive(Serialize)]
    struct RefusalBody {
        cause: &'static str,
        outcome: &'static str,
    }
    let body = RefusalBody {
        cause: refusal.cause().as_str(),
        outcome: refusal.outcome().as_str(),
    };
    let mut response = json(refusal.status(), &body);
    let headers = response.headers_mut();
    headers.insert("filbertgrade-cause", HeaderValue::from_static(body.cause));
    headers.insert(
        "filbertgrade-outcome",
        HeaderValue::from_static(body.outcome),
    );
    if let Some(status) = refusal.recorded_status() {
        headers.insert("filbertgrade-attempt-status", HeaderValue::from(status));
    }
    response
}

/// Builds a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(
        Full::new(Bytes::from(body))
            .map_err(|never| match never {})
            .boxed_unsync(),
    );
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
