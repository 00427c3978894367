//! Questions between VMs about teams' limits.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{TeamName, VmName};
use filbertgrade_coord::steering::quota::{Admission, Grant, TokenRequest};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::Node;
use crate::logfmt;
use crate::sync::lock;
use crate::wire::peer::{Datagram, DatagramBody, TokenAnswer, TokenQuestion};

/// Time for an answer. VMs of a region are about a millisecond apart; a small
/// VM that is busy answers later.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Questions that wait for an answer.
#[derive(Debug)]
pub(super) struct TokenQuestions {
    socket: Arc<UdpSocket>,
    next_number: AtomicU64,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Grant>>>,
}

/// Removes a question when its asker does not wait any more.
struct Waiting<'a> {
    questions: &'a TokenQuestions,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.questions.waiting).remove(&self.number);
    }
}

impl TokenQuestions {
    pub(super) fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            next_number: AtomicU64::new(rand::random()),
            waiting: Mutex::default(),
        }
    }

    /// Takes an answer. One that comes too late changes nothing.
    pub(super) fn answered(&self, answer: &TokenAnswer) {
        if let Some(tx) = lock(&self.waiting).remove(&answer.number) {
            // The asker may have given up in the meantime.
            let _ = tx.send(Grant::from(answer));
        }
    }

    /// Asks a VM; `None` when it does not answer in time.
    async fn ask(&self, address: SocketAddr, request: &TokenRequest) -> Option<Grant> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).insert(number, tx);
        let _waiting = Waiting {
            questions: self,
            number,
        };
        let question = Datagram::from(DatagramBody::Question(TokenQuestion {
            number,
            team: request.team.as_str().to_owned(),
            tokens: request.tokens,
            arrivals: request.arrivals,
        }));
        if let Err(error) = self
            .socket
            .send_to(&question.encode_to_vec(), address)
            .await
        {
            let error = logfmt::value(&error);
            log::debug!("event=tokens_not_asked peer={address} error={error}");
            return None;
        }
        match tokio::time::timeout(ANSWER_TIME, rx).await {
            Ok(Ok(grant)) => Some(grant),
            Ok(Err(_)) | Err(_) => None,
        }
    }
}

/// Admits a request of a team, or tells when a token may be there.
pub(super) async fn admit(
    node: &Node,
    team: &TeamName,
    id: logfmt::Value<&str>,
    arrived: Instant,
) -> Result<(), Duration> {
    let mut step = lock(&node.quotas).admit(team, arrived);
    loop {
        let request = match step {
            Admission::Admitted => return Ok(()),
            Admission::Refused(after) => return Err(after),
            Admission::RequestTokens(request) => request,
        };
        let grant = match address(node, &request.holder) {
            Some(address) => node.token_requests.ask(address, &request).await,
            None => None,
        };
        let now = Instant::now();
        step = match grant {
            Some(grant) => lock(&node.quotas).handle_response(request, grant, now),
            None => {
                let holder = &request.holder;
                log::info!("event=tokens_not_answered id={id} team={team} holder={holder}");
                metrics::counter!("token_questions_unanswered_total").increment(1);
                lock(&node.quotas).handle_timeout(request, now)
            }
        };
    }
}

fn address(node: &Node, vm: &VmName) -> Option<SocketAddr> {
    lock(&node.members)
        .peers()
        .find(|member| member.vm == *vm)
        .map(|member| member.peer_address)
}

/// Answers a question of another VM.
pub(super) async fn answer(
    node: &Node,
    socket: &UdpSocket,
    from: SocketAddr,
    question: &TokenQuestion,
) {
    let grant = match TeamName::try_from(question.team.as_str()) {
        Ok(team) => {
            let now = Instant::now();
            lock(&node.quotas).grant(&team, question.tokens, question.arrivals, now)
        }
        Err(error) => {
            let error = logfmt::value(&error);
            log::warn!("event=token_question_malformed peer={from} error={error}");
            return;
        }
    };
    let answer = DatagramBody::Answer(TokenAnswer::new(question.number, grant));
    let bytes = Datagram::from(answer).encode_to_vec();
    if let Err(error) = socket.send_to(&bytes, from).await {
        // The asker goes on without an answer.
        let error = logfmt::value(&error);
        log::debug!("event=tokens_answer_not_sent peer={from} error={error}");
    }
}
