//! Answers to callers: passed on from backend servers, or the entry's own.

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

/// A backend server's answer on its way to the caller.
///
/// Dropping it before its end closes the connection to the backend server,
/// which cancels the request there.
#[derive(Debug)]
pub(crate) struct AnswerStream {
    inner: Incoming,
    held: Arc<Mutex<Held>>,
    /// Ends what is held at the deadline, also when the caller does not read.
    timer: JoinHandle<()>,
    /// The whole request was sent. If not, the connection cannot be reused.
    request_sent: Arc<AtomicBool>,
    entry: Arc<Entry>,
}

/// What an answer takes until it was passed on.
#[derive(Debug)]
struct Held {
    /// Closed when dropped, put back into the pool after the whole answer.
    connection: Option<Connection<Busy>>,
    /// Busy until the whole answer was passed on.
    slot: Option<SlotGrant>,
    /// The deadline passed before the end of the answer.
    expired: bool,
}

impl AnswerStream {
    pub(crate) fn new(
        entry: &Arc<Entry>,
        inner: Incoming,
        connection: Connection<Busy>,
        request_sent: Arc<AtomicBool>,
        slot: SlotGrant,
        deadline: Instant,
    ) -> Self {
        let held = Arc::new(Mutex::new(Held {
            connection: Some(connection),
            slot: Some(slot),
            expired: false,
        }));
        let timer = tokio::spawn(expire(Arc::clone(&held), deadline));
        let mut stream = Self {
            inner,
            held,
            timer,
            request_sent,
            entry: Arc::clone(entry),
        };
        stream.finish_at_end();
        stream
    }

    /// hyper does not poll a body again that told its end.
    fn finish_at_end(&mut self) {
        if self.inner.is_end_stream() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        let connection = lock(&self.held).connection.take();
        if let Some(connection) = connection
            && self.request_sent.load(Ordering::Acquire)
        {
            self.entry.pool.put_back(connection.finish(Instant::now()));
        }
    }

    fn abort(&mut self, error: hyper::Error) -> AnswerError {
        let mut held = lock(&self.held);
        held.connection = None;
        if held.expired {
            AnswerError::DeadlinePassed
        } else {
            AnswerError::Cut(error)
        }
    }
}

/// Closes the connection and frees the slot at the deadline. The stream then
/// ends with an error, because the connection did.
async fn expire(held: Arc<Mutex<Held>>, deadline: Instant) {
    tokio::time::sleep_until(deadline.into()).await;
    let mut held = lock(&held);
    held.expired = held.connection.is_some();
    held.connection = None;
    held.slot = None;
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        self.timer.abort();
        // The aborted timer may keep its part for a moment.
        let mut held = lock(&self.held);
        held.connection = None;
        held.slot = None;
    }
}

impl HttpBody for AnswerStream {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        loop {
            let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
            match frame {
                Some(Ok(frame)) if frame.is_data() => {
                    self.finish_at_end();
                    return Poll::Ready(Some(Ok(frame)));
                }
                // Trailers concern one connection only.
                Some(Ok(_)) => {}
                Some(Err(error)) => {
                    let error = self.abort(error);
                    return Poll::Ready(Some(Err(error)));
                }
                // The body must not look whole when its connection was closed here.
                None if lock(&self.held).expired => {
                    return Poll::Ready(Some(Err(AnswerError::DeadlinePassed)));
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

/// The entry's own answer to a request that no backend server answered.
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
    let mut answer = json(refusal.status(), &body);
    let headers = answer.headers_mut();
    headers.insert("filbertgrade-cause", HeaderValue::from_static(body.cause));
    headers.insert(
        "filbertgrade-outcome",
        HeaderValue::from_static(body.outcome),
    );
    if let Some(status) = refusal.recorded_status() {
        headers.insert("filbertgrade-attempt-status", HeaderValue::from(status));
    }
    answer
}

/// An answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(
        Full::new(Bytes::from(body))
            .map_err(|never| match never {})
            .boxed_unsync(),
    );
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
