//! Finds the route, team and service of a request, or refuses it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::ServiceName;
use filbertgrade_coord::steering::balancer::{LimitedEndpoints, PickRequest};
use filbertgrade_coord::steering::deployment::{Deployment, Route, Team};
use filbertgrade_coord::steering::endpoint::EndpointKey;
use filbertgrade_coord::steering::placement::object_hash;
use filbertgrade_platform::headers::RequestHead;
use http::header;
use http::request::Parts;

use super::Node;
use crate::logfmt;
use crate::request::{Cause, Refusal, remove_hop_by_hop};

/// Time limit of a request if neither the caller nor the route sets one.
pub(super) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// How long after a route's timeout a response that is already under way is
/// still passed on.
const TIMEOUT_GRACE: Duration = Duration::from_millis(100);

/// Retry delay for a caller that this VM refuses for a reason of its own, such
/// as an outdated configuration. Another VM may be able to serve it.
pub(super) const OTHER_VM_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Retry delay for a caller whose request may rest on a part of the configuration
/// that no VM can read. The next version may come at any time.
const UNREADABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A request that has been routed and, unless its route is public, authenticated.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) parts: Parts,
    pub(super) head: RequestHead,
    pub(super) route: Arc<Route>,
    pub(super) team: Option<Arc<Team>>,
    pub(super) service: ServiceName,
    /// Hash of the object that the request refers to, or a random number if the
    /// caller named none.
    pub(super) object: u64,
    /// The caller named an object.
    has_object: bool,
    pub(super) arrived: Instant,
    /// Length of the body that the caller announced; 0 if it announced none.
    body_bytes: u64,
    /// When a response is no longer useful: the end of the time that the caller
    /// allows, or of the route's timeout and [`TIMEOUT_GRACE`] if that is earlier.
    pub(super) deadline: Instant,
    /// Version of the configuration by which the request was routed.
    pub(super) version: u64,
}

/// A refusal, and the delay after which the caller may try again if the response
/// states one.
#[derive(Debug)]
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    pub(super) retry_after: Option<Duration>,
}

impl Refused {
    pub(super) fn not_run(cause: Cause) -> Self {
        Self {
            refusal: Refusal::not_run(cause),
            retry_after: None,
        }
    }

    pub(super) fn retry_later(cause: Cause, retry_after: Duration) -> Self {
        Self {
            refusal: Refusal::not_run(cause),
            retry_after: Some(retry_after),
        }
    }

    pub(super) fn unknown(cause: Cause) -> Self {
        Self {
            refusal: Refusal::unknown(cause),
            retry_after: None,
        }
    }
}

impl Call {
    /// Id of the request in log lines, as the caller chose it.
    pub(super) fn id(&self) -> logfmt::Value<&str> {
        id_of(&self.head)
    }

    pub(super) fn pick_request<'a>(
        &'a self,
        tried: &'a [EndpointKey],
        limited: LimitedEndpoints<'a>,
        now: Instant,
    ) -> PickRequest<'a> {
        let team_regions = self
            .team
            .as_ref()
            .map_or(&[][..], |team| &team.home_regions);
        PickRequest {
            service: &self.service,
            object: self.object,
            sticky: self.route.sticky && self.has_object,
            idempotent: self.route.kind.is_idempotent(),
            allowed_regions: [&self.route.home_regions, team_regions],
            tried,
            priority: self.priority(),
            target_latency: self.route.target_latency,
            time_left: self.deadline.saturating_duration_since(now),
            body_bytes: self.body_bytes,
            limited,
        }
    }

    /// Priority of the team if it has one, else that of the route.
    pub(super) fn priority(&self) -> u32 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }
}

pub(super) fn id_of(head: &RequestHead) -> logfmt::Value<&str> {
    let id = head.id.as_ref().and_then(|id| id.to_str().ok());
    logfmt::value(id.unwrap_or("none"))
}

/// Finds the route, team, and service of a request, or refuses it.
pub(super) fn route_request(
    node: &Node,
    mut parts: Parts,
    head: RequestHead,
    arrived: Instant,
) -> Result<Call, Refused> {
    let deployment = node
        .deployment
        .load_full()
        .ok_or_else(|| Refused::retry_later(Cause::Isolated, OTHER_VM_RETRY_DELAY))?;
    let route = find_route(node, &deployment, &parts, arrived)?;
    let team = find_team(node, &deployment, &route, &head, arrived)?;
    let timeout = route.timeout.unwrap_or(DEFAULT_TIMEOUT) + TIMEOUT_GRACE;
    let time_left = head.time_left.map_or(timeout, |left| left.min(timeout));
    let split_hash = head
        .object
        .as_ref()
        .map(|object| object_hash(route.name.as_str(), object.as_bytes()));
    let has_object = split_hash.is_some();
    let split_hash = split_hash.unwrap_or_else(rand::random);
    let service = route.select_service(split_hash).service.clone();
    if deployment.unreadable.services > 0 && !deployment.services.contains_key(&service) {
        return Err(Refused::retry_later(
            Cause::Isolated,
            UNREADABLE_RETRY_DELAY,
        ));
    }
    let object = head.object.as_ref().map_or(split_hash, |object| {
        object_hash(service.as_str(), object.as_bytes())
    });
    remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(header::EXPECT);
    Ok(Call {
        body_bytes: content_length(&parts),
        has_object,
        object,
        service,
        deadline: arrived + time_left,
        arrived,
        version: deployment.version,
        parts,
        head,
        route,
        team,
    })
}

fn content_length(parts: &Parts) -> u64 {
    let length = parts.headers.get(header::CONTENT_LENGTH);
    length
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse().ok())
        .unwrap_or(0)
}

fn find_route(
    node: &Node,
    deployment: &Deployment,
    parts: &Parts,
    now: Instant,
) -> Result<Arc<Route>, Refused> {
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.host())
        .unwrap_or("");
    let path = parts.uri.path();
    let found = deployment.routes.find(host, path);
    if deployment.may_belong_to_unreadable_route(host, path, found.map(|route| &**route)) {
        return Err(Refused::retry_later(
            Cause::Isolated,
            UNREADABLE_RETRY_DELAY,
        ));
    }
    match found {
        Some(route) => Ok(Arc::clone(route)),
        None => Err(refuse_unknown(node, Cause::UnknownRoute, now)),
    }
}

/// Finds the team of a request by its API key. A key is not required on a public
/// route, nor while the configuration has no teams.
fn find_team(
    node: &Node,
    deployment: &Deployment,
    route: &Route,
    head: &RequestHead,
    now: Instant,
) -> Result<Option<Arc<Team>>, Refused> {
    let team = head.key.as_ref().and_then(|key| deployment.keys.get(key));
    let has_teams = !deployment.teams.is_empty() || deployment.unreadable.teams > 0;
    if route.public || !has_teams {
        return Ok(team.cloned());
    }
    if !node.has_current_configuration(now) {
        return Err(Refused::retry_later(Cause::Isolated, OTHER_VM_RETRY_DELAY));
    }
    match (team, &head.key) {
        (Some(team), _) => Ok(Some(Arc::clone(team))),
        (None, Some(_)) if deployment.unreadable.teams > 0 => {
            // It may be a key of a team that could not be read.
            Err(Refused::retry_later(
                Cause::Isolated,
                UNREADABLE_RETRY_DELAY,
            ))
        }
        (None, Some(_)) => Err(refuse_unknown(node, Cause::KeyRefused, now)),
        (None, None) => Err(Refused::not_run(Cause::KeyMissing)),
    }
}

/// Returns the refusal of a route or key that is not in the configuration. If the
/// configuration may be outdated, the cause is [`Cause::Isolated`] instead, since
/// the route or key may exist in a newer version.
fn refuse_unknown(node: &Node, cause: Cause, now: Instant) -> Refused {
    if node.has_current_configuration(now) {
        Refused::not_run(cause)
    } else {
        Refused::retry_later(Cause::Isolated, OTHER_VM_RETRY_DELAY)
    }
}

/// Whether the API key of a request is still accepted. It may have been withdrawn
/// while the request was waiting.
pub(super) fn is_key_valid(node: &Node, call: &Call, now: Instant) -> bool {
    if call.team.is_none() || call.route.public {
        return true;
    }
    let deployment = node.deployment.load();
    let known = match (deployment.as_deref(), &call.head.key) {
        (Some(deployment), Some(key)) => deployment.keys.contains_key(key),
        _ => false,
    };
    known && node.has_current_configuration(now)
}
