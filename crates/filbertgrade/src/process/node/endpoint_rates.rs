//! Rates that endpoints name in their responses: records them, shares them with
//! the other VMs, and requests the tokens for limited endpoints from their
//! holders.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::endpoint::EndpointKey;
use filbertgrade_coord::steering::endpoint_limit::{EndpointRate, EndpointTokenRequest};
use filbertgrade_coord::steering::quota::Grant;
use filbertgrade_platform::headers::{ResponseHead, ResponseKind};
use tokio::net::UdpSocket;

use super::Node;
use super::routing::Call;
use super::tokens;
use crate::logfmt;
use crate::sync::lock;
use crate::wire::peer::{DatagramBody, WireEndpointRate, WireEndpointTokenRequest};

/// How long an endpoint is not tried after its holder did not respond.
const UNAVAILABLE_HOLDER_DELAY: Duration = Duration::from_millis(250);

/// Records the rate that an endpoint names in its response to a request.
pub(super) fn record(node: &Node, call: &Call, endpoint: &EndpointKey, head: &ResponseHead) {
    let id = call.id();
    let key = logfmt::value(endpoint);
    let Some(rate) = head.rate else {
        log::warn!("event=endpoint_rate_unreadable id={id} endpoint={key}");
        return;
    };
    if head.kind == ResponseKind::Misdirected {
        return;
    }
    if lock(&node.balancer).record_rate(endpoint, rate, Instant::now()) {
        let rate = match rate {
            EndpointRate::Unlimited => "none".to_owned(),
            EndpointRate::PerSecond(rate) => format!("{rate:.2}"),
        };
        log::info!("event=endpoint_rate_changed id={id} endpoint={key} per_second={rate}");
    }
}

/// Applies the rates that another VM has sent.
pub(super) fn apply(node: &Node, rates: &[WireEndpointRate], now: Instant) {
    if rates.is_empty() {
        return;
    }
    let notices: Vec<_> = rates.iter().filter_map(|rate| rate.notice(now)).collect();
    lock(&node.balancer).apply_rate_notices(&notices, now);
}

/// Requests a token for a request to a limited endpoint. Returns the endpoint if
/// one was granted; otherwise the endpoint is not tried for a while.
pub(super) async fn request_token(
    node: &Node,
    call: &Call,
    request: &EndpointTokenRequest,
) -> Option<EndpointKey> {
    let endpoint = &request.notice.endpoint;
    let rate = WireEndpointRate::new(&request.notice, Instant::now());
    let datagram = |request_id| {
        DatagramBody::EndpointTokenRequest(WireEndpointTokenRequest { request_id, rate })
    };
    let grant = match tokens::peer(node, &request.holder) {
        Some(holder) => {
            let round_trip = lock(&node.balancer).round_trip_to(&holder.region);
            node.token_requests
                .send(holder.peer_address, round_trip, datagram)
                .await
        }
        None => None,
    };
    let wait = match grant {
        Some(Grant::Tokens(_)) => return Some(endpoint.clone()),
        Some(Grant::Empty(wait)) => wait,
        Some(Grant::NotHolder) | None => UNAVAILABLE_HOLDER_DELAY,
    };
    log::info!(
        "event=endpoint_over_rate id={} endpoint={} holder={} answered={} wait_ms={}",
        call.id(),
        logfmt::value(endpoint),
        logfmt::value(&request.holder),
        grant.is_some(),
        wait.as_millis(),
    );
    metrics::counter!("endpoint_tokens_refused_total").increment(1);
    lock(&node.balancer).close_limited(endpoint, wait, Instant::now());
    None
}

/// Responds to another VM's request for a token of an endpoint's limit.
pub(super) async fn respond(
    node: &Node,
    socket: &UdpSocket,
    from: SocketAddr,
    request: &WireEndpointTokenRequest,
) {
    let now = Instant::now();
    let Some(notice) = request.rate.notice(now) else {
        log::warn!("event=token_question_malformed peer={from} error=rate");
        return;
    };
    let grant = lock(&node.balancer).grant_endpoint_token(&notice, now);
    tokens::send_response(socket, from, request.request_id, grant).await;
}
