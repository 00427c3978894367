//! The platform's object API over HTTP.

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

use super::{Changes, Condition, Object, Platform, PlatformError, Revision};

/// Time for one call besides the wait that a watch asks for.
///
/// The platform answers in milliseconds; a call that takes longer is better
/// given up, because its connection may have gone silent.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest value of an object; the platform holds values up to 1 MB.
const VALUE_BYTES: usize = 1024 * 1024;

/// Longest answer to a list or watch. It bounds the memory that a faulty
/// answer takes, well above the objects of the largest fleet.
const LIST_BYTES: usize = 64 * 1024 * 1024;

/// Client of the object API. Each call uses a connection of its own, so that
/// a connection that went silent costs one call only.
#[derive(Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    local: Option<IpAddr>,
}

impl HttpPlatform {
    /// Makes a client for the store at `address` that connects from `local`.
    #[must_use]
    pub fn new(address: SocketAddr, local: Option<IpAddr>) -> Self {
        Self { address, local }
    }

    async fn call(
        &self,
        name: &str,
        kind: Kind,
        req: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        metrics::counter!("platform_calls_total", "kind" => kind.as_str()).increment(1);
        let answer = self.exchange(name, kind, req, within).await;
        if answer.is_err() {
            metrics::counter!("platform_calls_unanswered_total", "kind" => kind.as_str())
                .increment(1);
        }
        answer
    }

    async fn exchange(
        &self,
        name: &str,
        kind: Kind,
        req: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        let limit = kind.answer_bytes();
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
        let answer = tokio::time::timeout(within, async {
            let (parts, body) = sender.send_request(req).await?.into_parts();
            let body = Limited::new(body, limit).collect().await?.to_bytes();
            Ok::<_, BoxError>(Response::from_parts(parts, body))
        })
        .await;
        driver.abort();
        match answer {
            Ok(Ok(answer)) => Ok(answer),
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

/// Kind of a call, as the metrics name it.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Get,
    Put,
    Delete,
    List,
    Watch,
}

impl Kind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::List => "list",
            Self::Watch => "watch",
        }
    }

    fn answer_bytes(self) -> usize {
        match self {
            Self::Get | Self::Put | Self::Delete => VALUE_BYTES,
            Self::List | Self::Watch => LIST_BYTES,
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
            let answer = self.call(name, Kind::Get, req, CALL_TIMEOUT).await?;
            match answer.status() {
                StatusCode::NOT_FOUND => Ok(None),
                StatusCode::OK if std::str::from_utf8(answer.body()).is_err() => {
                    Err(PlatformError::not_utf8(name))
                }
                StatusCode::OK => Ok(Some(Object {
                    name: name.to_owned(),
                    revision: revision(name, &answer)?,
                    value: Some(answer.into_body()),
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
            // Lists and watches carry values as JSON strings, so any other
            // content would come back changed.
            if std::str::from_utf8(&value).is_err() {
                return Err(PlatformError::not_utf8(name));
            }
            let req = self.request(Method::PUT, &object_target(name));
            let req = match condition {
                Condition::Absent => req.header(IF_NONE_MATCH, "*"),
                Condition::At(revision) => req.header(IF_MATCH, revision.to_string()),
                Condition::Always => req,
            };
            let req = req
                .body(Full::new(value))
                .map_err(|e| PlatformError::not_sent(name, &e))?;
            let answer = self.call(name, Kind::Put, req, CALL_TIMEOUT).await?;
            match answer.status() {
                StatusCode::PRECONDITION_FAILED => {
                    Err(PlatformError::conflict(name, revision(name, &answer).ok()))
                }
                StatusCode::NOT_FOUND => Err(PlatformError::conflict(name, None)),
                status if status.is_success() => revision(name, &answer),
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
            let req = self
                .request(Method::DELETE, &object_target(name))
                .header(IF_MATCH, at.to_string())
                .body(Full::default())
                .map_err(|e| PlatformError::not_sent(name, &e))?;
            let answer = self.call(name, Kind::Delete, req, CALL_TIMEOUT).await?;
            match answer.status() {
                StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => {
                    Err(PlatformError::conflict(name, revision(name, &answer).ok()))
                }
                status if status.is_success() => revision(name, &answer),
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
            let target = format!("/v1/list?{}", query(prefixes));
            let req = self
                .request(Method::GET, &target)
                .body(Full::default())
                .map_err(|e| PlatformError::not_sent(&target, &e))?;
            let answer = self.call(&target, Kind::List, req, CALL_TIMEOUT).await?;
            match answer.status() {
                StatusCode::OK => decode_changes(&target, answer.body()),
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
                "/v1/watch?{}&after={after}&wait_ms={}",
                query(prefixes),
                wait.as_millis()
            );
            let req = self
                .request(Method::GET, &target)
                .body(Full::default())
                .map_err(|e| PlatformError::not_sent(&target, &e))?;
            let answer = self
                .call(&target, Kind::Watch, req, wait + CALL_TIMEOUT)
                .await?;
            match answer.status() {
                StatusCode::OK => decode_changes(&target, answer.body()),
                StatusCode::GONE => Err(PlatformError::history_gone(&target)),
                status => Err(PlatformError::refused(&target, status.as_u16())),
            }
        }
        .boxed()
    }
}

#[derive(Deserialize)]
struct WireChanges {
    revision: Revision,
    #[serde(alias = "objects")]
    changes: Vec<WireObject>,
}

#[derive(Deserialize)]
struct WireObject {
    name: String,
    revision: Revision,
    value: Option<String>,
}

impl From<WireChanges> for Changes {
    fn from(wire: WireChanges) -> Self {
        Self {
            revision: wire.revision,
            objects: wire.changes.into_iter().map(Object::from).collect(),
        }
    }
}

impl From<WireObject> for Object {
    fn from(wire: WireObject) -> Self {
        Self {
            name: wire.name,
            revision: wire.revision,
            value: wire.value.map(Bytes::from),
        }
    }
}

fn decode_changes(name: &str, body: &Bytes) -> Result<Changes, PlatformError> {
    serde_json::from_slice::<WireChanges>(body)
        .map(Changes::from)
        .map_err(|e| PlatformError::malformed_response(name, &e))
}

fn revision(name: &str, answer: &Response<Bytes>) -> Result<Revision, PlatformError> {
    answer
        .headers()
        .get(ETAG)
        .and_then(|etag| etag.to_str().ok())
        .and_then(|etag| etag.trim_matches('"').parse().ok())
        .ok_or_else(|| PlatformError::malformed_response(name, &"no revision in the etag header"))
}

fn object_target(name: &str) -> String {
    format!("/v1/objects/{name}")
}

fn query(prefixes: &[&str]) -> String {
    let parts: Vec<String> = prefixes.iter().map(|p| format!("prefix={p}")).collect();
    parts.join("&")
}
