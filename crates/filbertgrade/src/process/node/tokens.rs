//! Token requests and responses between VMs, which enforce the rate limits of
//! teams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{ExternalName, TeamName, VmName};
use filbertgrade_coord::steering::members::Member;
use filbertgrade_coord::steering::quota::{Admission, Grant, TokenRequest};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::Node;
use crate::logfmt;
use crate::sync::lock;
use crate::wire::peer::{Datagram, DatagramBody, WireTokenRequest, WireTokenResponse};

/// How long a requester waits for the response of a holder. VMs of a region are
/// about a millisecond apart, but a small VM that is busy responds later.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Token requests of this VM that have no response yet.
#[derive(Debug)]
pub(super) struct PendingTokenRequests {
    socket: Arc<UdpSocket>,
    next_request_id: AtomicU64,
    /// By the id of the request.
    pending: Mutex<HashMap<u64, oneshot::Sender<Grant>>>,
}

/// Removes a pending request when the requester stops waiting for its response.
struct PendingGuard<'a> {
    requests: &'a PendingTokenRequests,
    request_id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        lock(&self.requests.pending).remove(&self.request_id);
    }
}

impl PendingTokenRequests {
    pub(super) fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            next_request_id: AtomicU64::new(rand::random()),
            pending: Mutex::default(),
        }
    }

    /// Passes a response to the requester. A response that arrives after the
    /// timeout is ignored.
    pub(super) fn complete(&self, response: &WireTokenResponse) {
        if let Some(tx) = lock(&self.pending).remove(&response.request_id) {
            // Fails if the requester has stopped waiting in the meantime.
            let _ = tx.send(Grant::from(response));
        }
    }

    /// Sends the token request that `request` builds with an id to the holder at the
    /// address, and waits for its response. Returns `None` if it cannot be sent or
    /// takes longer than [`RESPONSE_TIMEOUT`] and the round trip.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        round_trip: Duration,
        request: impl FnOnce(u64) -> DatagramBody,
    ) -> Option<Grant> {
        let request_id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.pending).insert(request_id, tx);
        let _guard = PendingGuard {
            requests: self,
            request_id,
        };
        let datagram = Datagram::from(request(request_id));
        if let Err(error) = self
            .socket
            .send_to(&datagram.encode_to_vec(), address)
            .await
        {
            let error = logfmt::value(&error);
            log::debug!("event=tokens_not_asked peer={address} error={error}");
            return None;
        }
        match tokio::time::timeout(RESPONSE_TIMEOUT + round_trip, rx).await {
            Ok(Ok(grant)) => Some(grant),
            Ok(Err(_)) | Err(_) => None,
        }
    }
}

/// Admits a request of a team within the team's rate limit, for which it
/// requests tokens from other VMs if necessary.
///
/// # Errors
///
/// Returns the time until a token may be available if the request exceeds the
/// limit.
pub(super) async fn admit(
    node: &Node,
    team: &TeamName,
    id: logfmt::Value<&str>,
    arrived: Instant,
) -> Result<(), Duration> {
    let mut admission = lock(&node.quotas).admit(team, arrived);
    loop {
        let request = match admission {
            Admission::Admitted => return Ok(()),
            Admission::Refused(retry_after) => return Err(retry_after),
            Admission::RequestTokens(request) => request,
        };
        let grant = match peer(node, &request.holder) {
            Some(holder) => {
                let datagram = |request_id| team_datagram(request_id, &request);
                node.token_requests
                    .send(holder.peer_address, Duration::ZERO, datagram)
                    .await
            }
            None => None,
        };
        let now = Instant::now();
        admission = match grant {
            Some(grant) => lock(&node.quotas).handle_response(request, grant, now),
            None => {
                let team = logfmt::value(team);
                let holder = logfmt::value(&request.holder);
                log::info!("event=tokens_not_answered id={id} team={team} holder={holder}");
                metrics::counter!("token_questions_unanswered_total").increment(1);
                lock(&node.quotas).handle_timeout(request, now)
            }
        };
    }
}

fn team_datagram(request_id: u64, request: &TokenRequest) -> DatagramBody {
    DatagramBody::TokenRequest(WireTokenRequest {
        request_id,
        team: request.team.as_str().to_owned(),
        tokens: request.tokens,
        arrivals: request.arrivals,
    })
}

/// The listed VM of this name.
pub(super) fn peer(node: &Node, vm: &VmName) -> Option<Member> {
    lock(&node.members)
        .peers()
        .find(|member| member.vm == *vm)
        .cloned()
}

/// Responds to a token request of another VM.
pub(super) async fn respond(
    node: &Node,
    socket: &UdpSocket,
    from: SocketAddr,
    request: &WireTokenRequest,
) {
    let grant = match TeamName::from_external(request.team.as_str()) {
        Ok(team) => {
            let now = Instant::now();
            lock(&node.quotas).grant(&team, request.tokens, request.arrivals, now)
        }
        Err(error) => {
            let error = logfmt::value(&error);
            log::warn!("event=token_question_malformed peer={from} error={error}");
            return;
        }
    };
    send_response(socket, from, request.request_id, grant).await;
}

/// Sends the response to the token request with this id.
pub(super) async fn send_response(
    socket: &UdpSocket,
    from: SocketAddr,
    request_id: u64,
    grant: Grant,
) {
    let response = DatagramBody::TokenResponse(WireTokenResponse::new(request_id, grant));
    let bytes = Datagram::from(response).encode_to_vec();
    if let Err(error) = socket.send_to(&bytes, from).await {
        // The requester times out and continues without this holder.
        let error = logfmt::value(&error);
        log::debug!("event=tokens_answer_not_sent peer={from} error={error}");
    }
}
