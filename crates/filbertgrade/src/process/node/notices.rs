//! Records what endpoints say of themselves in their responses: that they leave,
//! and that they want no requests for a while.

use std::time::Instant;

use filbertgrade_coord::steering::endpoint::EndpointKey;
use filbertgrade_platform::headers::{PauseRequest, ResponseHead, ResponseKind};

use super::Node;
use super::routing::Call;
use crate::logfmt;
use crate::sync::lock;

/// Records the notices in a response to a request, before the response is passed
/// on. A response that says that another endpoint has the address says nothing of
/// the one that was meant.
pub(super) fn record(node: &Node, call: &Call, endpoint: &EndpointKey, head: &ResponseHead) {
    if head.kind == ResponseKind::Misdirected {
        return;
    }
    let id = call.id();
    let key = logfmt::value(endpoint);
    if head.is_leaving && lock(&node.balancer).record_leaving(endpoint) {
        log::info!("event=endpoint_leaving id={id} endpoint={key}");
        metrics::counter!("endpoint_leaving_notices_total").increment(1);
    }
    match head.pause {
        PauseRequest::None => {}
        PauseRequest::Unreadable => {
            log::warn!("event=endpoint_pause_unreadable id={id} endpoint={key}");
        }
        PauseRequest::For(time) => {
            if lock(&node.balancer).record_pause(endpoint, time, Instant::now()) {
                let ms = time.as_millis();
                log::info!("event=endpoint_pauses id={id} endpoint={key} ms={ms}");
                metrics::counter!("endpoint_pauses_total").increment(1);
            }
        }
    }
}
