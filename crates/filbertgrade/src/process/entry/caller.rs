//! The callers' port: HTTP/1.1 and HTTP/2.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_coord::names::TeamName;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::Serialize;
use tokio::net::TcpListener;

use super::slots::SlotAsk;
use super::{Entry, lookup};
use crate::logfmt;
use crate::request::{Cause, Refusal};
use crate::version::{Access, InForce, KeySecret};

/// Time to a new connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

type Body = BoxBody<Bytes, hyper::Error>;

/// Accepts callers' connections until the process is stopped.
pub(crate) async fn serve(entry: Arc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                let entry = Arc::clone(&entry);
                tokio::spawn(async move {
                    let handler = service_fn(move |req| answer(Arc::clone(&entry), peer, req));
                    let server = hyper_util::server::conn::auto::Builder::new(TokioExecutor::new());
                    let _ = server.serve_connection(TokioIo::new(stream), handler).await;
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed error={}", logfmt::value(&error));
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn answer(
    entry: Arc<Entry>,
    peer: SocketAddr,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    if req.method() == Method::GET && req.uri().path() == "/v1/lookup" {
        return Ok(look_up(&entry, peer, &req));
    }
    Ok(carry(&entry, req).await.unwrap_or_else(|r| refuse(&r)))
}

fn look_up(entry: &Entry, peer: SocketAddr, req: &Request<Incoming>) -> Response<Body> {
    let client = client_of(req).unwrap_or(peer.ip());
    let view = entry.in_force.load();
    json(
        StatusCode::OK,
        &lookup::answer(&view, Some(client), entry.settings.ports.caller),
    )
}

fn client_of(req: &Request<Incoming>) -> Option<IpAddr> {
    let query = req.uri().query()?;
    let client = query.split('&').find_map(|p| p.strip_prefix("client="))?;
    client.parse().ok()
}

async fn carry(entry: &Entry, mut req: Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let view = entry.in_force.load_full();
    let config = view.config.as_deref();
    let (name, service) = config
        .and_then(|cfg| cfg.services.get_key_value(service_of(req.uri().path())))
        .ok_or(Refusal::not_run(Cause::UnknownService))?;
    let team = match service.access {
        Access::Open => None,
        Access::Key => Some(team_of(entry, &view, &req)?),
    };
    // No backend server may see the key.
    req.headers_mut().remove(AUTHORIZATION);
    if let Some(team) = &team
        && let Ok(value) = HeaderValue::from_str(team.as_str())
    {
        req.headers_mut().insert("x-team", value);
    }
    let deadline = Instant::now() + DEFAULT_DEADLINE;
    if let Some(team) = &team {
        entry.admission.admit(team, deadline).await?;
    }
    let ask = SlotAsk {
        service: name.clone(),
        team,
        deadline,
        avoid: Vec::new(),
    };
    let slot = entry.slots.acquire(&view, &ask).await?;
    send(entry, slot.endpoint(), req).await
}

fn service_of(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

fn team_of(entry: &Entry, view: &InForce, req: &Request<Incoming>) -> Result<TeamName, Refusal> {
    let secret = req
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .and_then(KeySecret::parse)
        .ok_or(Refusal::not_run(Cause::KeyMissing))?;
    if !entry.is_valid(Instant::now()) {
        return Err(Refusal::not_run(Cause::Isolated));
    }
    view.keys
        .team_of(&secret)
        .cloned()
        .ok_or(Refusal::not_run(Cause::KeyRefused))
}

async fn send(
    entry: &Entry,
    endpoint: SocketAddr,
    mut req: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let not_sent = Refusal::not_run(Cause::BackendFailed);
    let connecting = crate::connection::connect(endpoint, Some(entry.settings.address));
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| not_sent)?
        .map_err(|_| not_sent)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| not_sent)?;
    tokio::spawn(connection);
    if let Ok(host) = HeaderValue::from_str(&endpoint.to_string()) {
        req.headers_mut().insert(HOST, host);
    }
    let answer = sender
        .send_request(req)
        .await
        .map_err(|_| Refusal::unknown(Cause::BackendFailed))?;
    Ok(answer.map(BodyExt::boxed))
}

fn refuse(refusal: &Refusal) -> Response<Body> {
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
    answer
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(
        Full::new(Bytes::from(body))
            .map_err(|never| match never {})
            .boxed(),
    );
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
