//! Client of the platform's object API over HTTP.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::header::{ETAG, HOST, IF_MATCH, IF_NONE_MATCH};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::era::{self, Era, NewestEra};
use super::{Changes, Condition, Object, Platform, PlatformError, Revision};
use crate::logfmt;

/// Timeout of one call, in addition to the wait of a watch.
///
/// The platform normally responds within milliseconds. A call that takes this
/// long is abandoned, because its connection may be lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum length of the value of an object. The platform stores values of up to
/// 1 MB.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Maximum length of the response to a list or watch. It limits the memory that a
/// faulty response can take, and is well above the size of all objects of the
/// largest fleet.
const MAX_LIST_BYTES: usize = 64 * 1024 * 1024;

/// Client of the object API. Each call opens a separate connection, so that a
/// lost connection affects only one call.
#[derive(Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    local: Option<IpAddr>,
    newest_era: NewestEra,
}

impl HttpPlatform {
    /// Creates a client for the store at `address`. It connects from the address
    /// `local`, or from one that the operating system selects.
    #[must_use]
    pub fn new(address: SocketAddr, local: Option<IpAddr>) -> Self {
        Self {
            address,
            local,
            newest_era: NewestEra::default(),
        }
    }

    /// Performs one call and counts it in the metrics. `name` is used in errors.
    async fn call(
        &self,
        name: &str,
        kind: CallKind,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        metrics::counter!("platform_calls_total", "kind" => kind.as_str()).increment(1);
        let response = self.exchange(name, kind, req, timeout).await;
        if let Some(era) = response
            .as_ref()
            .ok()
            .and_then(|r| Era::of_response(r.headers()))
        {
            self.newest_era.record(era);
        }
        if response.is_err() {
            metrics::counter!("platform_calls_unanswered_total", "kind" => kind.as_str())
                .increment(1);
        }
        response
    }

    async fn exchange(
        &self,
        name: &str,
        kind: CallKind,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        let limit = kind.max_response_bytes();
        let stream = tokio::time::timeout(
            CALL_TIMEOUT,
            crate::connection::connect(self.address, self.local),
        )
        .await
        .map_err(|_| PlatformError::not_sent(name, &"connection timed out"))?
        .map_err(|e| PlatformError::not_sent(name, &e))?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| PlatformError::not_sent(name, &e))?;
        let driver = tokio::spawn(connection);
        let response = tokio::time::timeout(timeout, async {
            let (parts, body) = sender.send_request(req).await?.into_parts();
            let body = Limited::new(body, limit).collect().await?.to_bytes();
            Ok::<_, BoxError>(Response::from_parts(parts, body))
        })
        .await;
        driver.abort();
        match response {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(PlatformError::too_long(name, limit)),
            Ok(Err(e)) => Err(PlatformError::no_response(name, &e)),
            Err(_) => Err(PlatformError::no_response(name, &"timed out")),
        }
    }

    fn request(&self, method: Method, target: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(target)
            .header(HOST, self.address.to_string())
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Kind of a call: label `kind` of the metrics.
#[derive(Clone, Copy, Debug)]
enum CallKind {
    Get,
    Put,
    Delete,
    List,
    Watch,
}

impl CallKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::List => "list",
            Self::Watch => "watch",
        }
    }

    /// Maximum length of the body of the response.
    fn max_response_bytes(self) -> usize {
        match self {
            Self::Get | Self::Put | Self::Delete => MAX_VALUE_BYTES,
            Self::List | Self::Watch => MAX_LIST_BYTES,
        }
    }
}

impl Platform for HttpPlatform {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Object>, PlatformError>> {
        async move {
            let req = self
                .request(Method::GET, &object_target(name))
                .body(Full::default())
                .map_err(|e| PlatformError::not_sent(name, &e))?;
            let response = self.call(name, CallKind::Get, req, CALL_TIMEOUT).await?;
            match response.status() {
                StatusCode::NOT_FOUND => Ok(None),
                StatusCode::OK if std::str::from_utf8(response.body()).is_err() => {
                    Err(PlatformError::not_utf8(name))
                }
                StatusCode::OK => Ok(Some(Object {
                    name: name.to_owned(),
                    revision: etag_revision(name, &response)?,
                    value: Some(response.into_body()),
                })),
                status => Err(PlatformError::refused(name, status.as_u16())),
            }
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        name: &'a str,
        value: Bytes,
        condition: Condition,
    ) -> BoxFuture<'a, Result<Revision, PlatformError>> {
        async move {
            // Lists and watches return values as JSON strings, which cannot
            // represent other bytes unchanged.
            if std::str::from_utf8(&value).is_err() {
                return Err(PlatformError::not_utf8(name));
            }
            if matches!(condition, Condition::At(at) if self.newest_era.is_past(at)) {
                // The store may have given its number to another change.
                return Err(PlatformError::conflict(name, None));
            }
            let req = self.request(Method::PUT, &object_target(name));
            let req = match condition {
                Condition::Absent => req.header(IF_NONE_MATCH, "*"),
                Condition::At(revision) => req.header(IF_MATCH, era::number(revision).to_string()),
                Condition::Always => req,
            };
            let req = req
                .body(Full::new(value))
                .map_err(|e| PlatformError::not_sent(name, &e))?;
            let response = self.call(name, CallKind::Put, req, CALL_TIMEOUT).await?;
            match response.status() {
                StatusCode::PRECONDITION_FAILED => Err(PlatformError::conflict(
                    name,
                    etag_revision(name, &response).ok(),
                )),
                StatusCode::NOT_FOUND => Err(PlatformError::conflict(name, None)),
                status if status.is_success() => etag_revision(name, &response),
                status => Err(PlatformError::refused(name, status.as_u16())),
            }
        }
        .boxed()
    }

    fn delete<'a>(
        &'a self,
        name: &'a str,
        at: Revision,
    ) -> BoxFuture<'a, Result<Revision, PlatformError>> {
        async move {
            if self.newest_era.is_past(at) {
                return Err(PlatformError::conflict(name, None));
            }
            let req = self
                .request(Method::DELETE, &object_target(name))
                .header(IF_MATCH, era::number(at).to_string())
                .body(Full::default())
                .map_err(|e| PlatformError::not_sent(name, &e))?;
            let response = self.call(name, CallKind::Delete, req, CALL_TIMEOUT).await?;
            match response.status() {
                StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => Err(
                    PlatformError::conflict(name, etag_revision(name, &response).ok()),
                ),
                status if status.is_success() => etag_revision(name, &response),
                status => Err(PlatformError::refused(name, status.as_u16())),
            }
        }
        .boxed()
    }

    fn list<'a>(
        &'a self,
        prefixes: &'a [&'a str],
    ) -> BoxFuture<'a, Result<Changes, PlatformError>> {
        async move {
            let target = format!("/v1/list?{}", prefix_query(prefixes));
            let req = self
                .request(Method::GET, &target)
                .body(Full::default())
                .map_err(|e| PlatformError::not_sent(&target, &e))?;
            let response = self
                .call(&target, CallKind::List, req, CALL_TIMEOUT)
                .await?;
            match response.status() {
                StatusCode::OK => decode_changes(&target, &response),
                status => Err(PlatformError::refused(&target, status.as_u16())),
            }
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        prefixes: &'a [&'a str],
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, PlatformError>> {
        async move {
            let target = format!(
                "/v1/watch?{}&after={}&wait_ms={}",
                prefix_query(prefixes),
                era::number(after),
                wait.as_millis()
            );
            let req = self
                .request(Method::GET, &target)
                .body(Full::default())
                .map_err(|e| PlatformError::not_sent(&target, &e))?;
            let response = self
                .call(&target, CallKind::Watch, req, wait + CALL_TIMEOUT)
                .await?;
            match response.status() {
                // Changes of one history cannot follow a revision of another one.
                StatusCode::OK if Era::of_response(response.headers()) != Some(Era::of(after)) => {
                    Err(PlatformError::history_gone(&target))
                }
                StatusCode::OK => decode_changes(&target, &response),
                StatusCode::GONE => Err(PlatformError::history_gone(&target)),
                status => Err(PlatformError::refused(&target, status.as_u16())),
            }
        }
        .boxed()
    }
}

/// Response to a list, with `objects`, or to a watch, with `changes`.
#[derive(Deserialize)]
struct WireChanges<'a> {
    revision: Revision,
    /// Decoded one by one, so that an object of another writer that cannot be read
    /// hides no other.
    #[serde(alias = "objects", borrow)]
    changes: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct WireObject {
    name: String,
    revision: Revision,
    value: Option<String>,
}

impl WireChanges<'_> {
    /// Decodes a response of the era; `None` if a revision is too large. Objects
    /// that cannot be read are logged and left out.
    fn changes(self, era: Era) -> Option<Changes> {
        let objects = self.changes.into_iter().filter_map(|object| {
            serde_json::from_str::<WireObject>(object.get())
                .inspect_err(log_unreadable)
                .ok()
        });
        let objects = objects.map(|object| {
            Some(Object {
                name: object.name,
                revision: era.revision(object.revision)?,
                value: object.value.map(Bytes::from),
            })
        });
        Some(Changes {
            revision: era.revision(self.revision)?,
            objects: objects.collect::<Option<_>>()?,
        })
    }
}

fn log_unreadable(error: &serde_json::Error) {
    log::warn!("event=object_unreadable error={}", logfmt::value(error));
}

fn decode_changes(name: &str, response: &Response<Bytes>) -> Result<Changes, PlatformError> {
    let malformed =
        |reason: &dyn std::fmt::Display| PlatformError::malformed_response(name, reason);
    let text = String::from_utf8_lossy(response.body());
    let wire: WireChanges<'_> = serde_json::from_str(&text).map_err(|error| malformed(&error))?;
    Era::of_response(response.headers())
        .and_then(|era| wire.changes(era))
        .ok_or_else(|| malformed(&"a revision or the era is out of range"))
}

/// Reads the revision from the `ETag` header of a response.
fn etag_revision(name: &str, response: &Response<Bytes>) -> Result<Revision, PlatformError> {
    let etag = response.headers().get(ETAG);
    etag.and_then(|etag| etag.to_str().ok())
        .and_then(|etag| etag.trim_matches('"').parse().ok())
        .and_then(|number| Era::of_response(response.headers())?.revision(number))
        .ok_or_else(|| PlatformError::malformed_response(name, &"no revision in the etag header"))
}

fn object_target(name: &str) -> String {
    format!("/v1/objects/{name}")
}

fn prefix_query(prefixes: &[&str]) -> String {
    let parts: Vec<String> = prefixes.iter().map(|p| format!("prefix={p}")).collect();
    parts.join("&")
}
