//! Admission of requests according to the rate and burst of their team.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{Duration, Instant};

use filbertgrade_coord::bucket::RateShare;
use filbertgrade_coord::ledger::{
    Admission as Decision, AdmissionRefusal, LedgerConfig, LedgerSnapshot, LendOutcome, Loan,
    LoanAction, LoanRequest, LoanReturn, Renewal, RenewalReply, ShareLedger,
};
use filbertgrade_coord::names::{TeamName, VmName};
use tokio::sync::{Notify, oneshot};

use super::links::PeerLinks;
use crate::logfmt;
use crate::process::tasks::VitalTasks;
use crate::request::{Cause, Refusal};
use crate::sync::{lock, read, write};
use crate::version::InForce;
use crate::wire::{Body, LoanMessage, RequestLoan};

/// Longest time a request waits for a token. A longer queue would only delay
/// the refusal.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(500);

/// Time without an empty queue after which the queue is treated as a standing
/// queue.
const STANDING_QUEUE_AGE: Duration = Duration::from_secs(1);

/// Ratio of arrivals to admissions above which a standing queue is attributed
/// to the team exceeding its rate. A team within its rate stays below this
/// ratio, also while loans are still being moved to this VM.
const OVERLOAD_RATIO: f64 = 1.5;

/// Interval between two rounds of a ledger that has demand or loans.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Number of peers that one loan request is split across.
const PEERS_PER_REQUEST: usize = 3;

/// Timeout for a peer's reply. Loans run for 2 s from the moment the request
/// was sent, so little of a loan would be left after a later reply.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Decides whether a team may send another request now.
#[derive(Debug)]
pub(crate) struct Admission {
    vm: VmName,
    /// Random number that distinguishes this process from earlier and later ones
    /// on the same VM.
    incarnation: u64,
    links: Arc<PeerLinks>,
    vital_tasks: VitalTasks,
    /// All ledgers. The ledger of a team that was removed from the
    /// configuration is kept, because its loans may still be running if the
    /// team is added again.
    teams: RwLock<HashMap<TeamName, Arc<TeamShare>>>,
}

/// One team's ledger and the requests that wait for its tokens.
#[derive(Debug)]
struct TeamShare {
    name: TeamName,
    state: Mutex<ShareState>,
    /// Wakes the task that runs the ledger.
    wake: Notify,
}

#[derive(Debug)]
struct ShareState {
    ledger: ShareLedger,
    /// Waiting requests in order of arrival. Invariant: the length equals the
    /// ledger's count of waiting requests.
    queue: VecDeque<Waiter>,
    next_number: u64,
    /// Since when the queue has not been empty; `None` while it is empty.
    queued_since: Option<Instant>,
    /// Number of loan requests sent so far, used to select the next peers in
    /// turn.
    loan_requests: usize,
}

#[derive(Debug)]
struct Waiter {
    number: u64,
    tx: oneshot::Sender<Result<(), AdmissionRefusal>>,
}

impl Admission {
    pub(crate) fn new(vm: VmName, links: Arc<PeerLinks>, vital_tasks: VitalTasks) -> Self {
        Self {
            vm,
            incarnation: rand::random(),
            links,
            vital_tasks,
            teams: RwLock::default(),
        }
    }

    /// Applies the share table in force to the ledgers of all teams. The base
    /// share may be spent until `valid_until`; `None` forbids spending it.
    pub(crate) fn update(&self, view: &InForce, valid_until: Option<Instant>) {
        let Some(config) = &view.config else {
            return;
        };
        let now = Instant::now();
        for (name, team) in &config.teams {
            let limit = RateShare::new(team.rate, team.burst).unwrap_or_default();
            let share = self.find_or_create(name, now);
            let mut state = share.state();
            let version = view.shares.version();
            let vm_share = view.shares.share(&self.vm, limit);
            state.ledger.set_base(now, version, vm_share);
            match valid_until {
                Some(until) => {
                    state.ledger.allow_base(now, version, until);
                }
                None => state.ledger.forbid_base(now),
            }
        }
        let removed = |name: &TeamName| !config.teams.contains_key(name);
        for share in self.shares().iter().filter(|share| removed(&share.name)) {
            let version = view.shares.version();
            share.state().ledger.set_base(now, version, RateShare::ZERO);
        }
    }

    /// Takes one token of `team`, waiting for it until `deadline` at most.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal when no token became available in time.
    pub(crate) async fn admit(&self, team: &TeamName, deadline: Instant) -> Result<(), Refusal> {
        let share = self.find(team).ok_or(Refusal::not_run(Cause::KeyRefused))?;
        let now = Instant::now();
        let (number, rx) = {
            let mut state = share.state();
            match state.ledger.admit(now) {
                Decision::Admitted => {
                    drop(state);
                    share.wake.notify_one();
                    return Ok(());
                }
                Decision::Refused(refusal) => return Err(to_refusal(refusal)),
                Decision::Wait { .. } => state.enqueue(now),
            }
        };
        let guard = WaitGuard {
            share: &share,
            number,
        };
        share.wake.notify_one();
        let until = deadline.min(now + MAX_TOKEN_WAIT);
        let result = tokio::time::timeout_at(until.into(), rx).await;
        drop(guard);
        match result {
            Ok(Ok(Ok(()))) => Ok(()),
            Ok(Ok(Err(refusal))) => Err(to_refusal(refusal)),
            Ok(Err(_)) | Err(_) => Err(Refusal::not_run(Cause::OverRate)),
        }
    }

    /// Lends a peer what this VM's own demand leaves unused of its share.
    /// Returns `None` when nothing can be lent.
    pub(crate) fn lend(&self, team: &TeamName, request: &LoanRequest) -> Option<Loan> {
        let share = self.find(team)?;
        match share.state().ledger.lend(Instant::now(), request) {
            LendOutcome::Lent(loan) => {
                metrics::counter!("loans_out_total").increment(1);
                Some(loan)
            }
            LendOutcome::Declined(_) => None,
        }
    }

    /// Handles a borrower's request to extend a loan.
    pub(crate) fn renew(&self, team: &TeamName, renewal: &Renewal) -> RenewalReply {
        match self.find(team) {
            Some(share) => share.state().ledger.renew(Instant::now(), renewal),
            None => RenewalReply::Declined,
        }
    }

    /// Accepts a loan that a borrower returned before the end of its lease.
    pub(crate) fn accept_return(&self, team: &TeamName, returned: &LoanReturn) {
        if let Some(share) = self.find(team) {
            share.state().ledger.accept_return(Instant::now(), returned);
            share.wake.notify_one();
        }
    }

    /// Returns all loans to their lenders. Called when the VM stops.
    pub(crate) async fn return_all_loans(&self) {
        for share in self.shares() {
            let returns = share.state().ledger.return_all_loans(Instant::now());
            for returned in returns {
                self.send_return(&share.name, returned).await;
            }
        }
    }

    /// Returns the share table version that is in effect in every ledger, which
    /// is the lowest of theirs. Returns `None` when there is no ledger, and while
    /// any ledger still waits for loans to end.
    pub(crate) fn version_in_effect(&self) -> Option<u64> {
        let now = Instant::now();
        self.shares()
            .iter()
            .map(|share| share.state().ledger.version_in_effect(now))
            .min()
            .flatten()
    }

    /// Returns copies of the state of all ledgers, for the operator port.
    pub(crate) fn snapshots(&self) -> Vec<LedgerSnapshot> {
        let now = Instant::now();
        self.shares()
            .iter()
            .map(|share| share.state().ledger.snapshot(now))
            .collect()
    }

    fn find(&self, team: &TeamName) -> Option<Arc<TeamShare>> {
        let teams = read(&self.teams);
        teams.get(team).map(Arc::clone)
    }

    fn shares(&self) -> Vec<Arc<TeamShare>> {
        let teams = read(&self.teams);
        teams.values().map(Arc::clone).collect()
    }

    fn find_or_create(&self, team: &TeamName, now: Instant) -> Arc<TeamShare> {
        if let Some(share) = self.find(team) {
            return share;
        }
        let ledger = ShareLedger::new(
            team.clone(),
            self.vm.clone(),
            self.incarnation,
            LedgerConfig::default(),
            now,
        );
        let share = Arc::new(TeamShare {
            name: team.clone(),
            state: Mutex::new(ShareState {
                ledger,
                queue: VecDeque::new(),
                next_number: 0,
                queued_since: None,
                loan_requests: 0,
            }),
            wake: Notify::new(),
        });
        let ledger_task = run_ledger(Arc::clone(&share), Arc::clone(&self.links));
        self.vital_tasks.spawn("ledger", ledger_task);
        let mut teams = write(&self.teams);
        Arc::clone(teams.entry(team.clone()).or_insert(share))
    }

    async fn send_return(&self, team: &TeamName, returned: LoanReturn) {
        if let Some(link) = self.links.link_to(&returned.loan.lender) {
            let body = Body::ReturnLoan((team, returned).into());
            let _ = tokio::time::timeout(PEER_TIMEOUT, link.notify(body)).await;
        }
    }
}

impl TeamShare {
    fn state(&self) -> MutexGuard<'_, ShareState> {
        lock(&self.state)
    }
}

impl ShareState {
    fn enqueue(&mut self, now: Instant) -> (u64, oneshot::Receiver<Result<(), AdmissionRefusal>>) {
        self.queued_since.get_or_insert(now);
        let (tx, rx) = oneshot::channel();
        let number = self.next_number;
        self.next_number += 1;
        self.queue.push_back(Waiter { number, tx });
        (number, rx)
    }

    /// Admits waiting requests while tokens are available. Returns when the next
    /// token is expected, or `None` when the queue is empty.
    fn serve_queue(&mut self, now: Instant) -> Option<Instant> {
        while !self.queue.is_empty() {
            let result = match self.ledger.retry(now) {
                Decision::Admitted => Ok(()),
                Decision::Refused(refusal) => Err(refusal),
                Decision::Wait { retry_at } => return retry_at,
            };
            if let Some(waiter) = self.next_waiter(now) {
                // The token is lost if the request stopped waiting at this moment.
                let _ = waiter.tx.send(result);
            }
        }
        self.clear_if_empty();
        None
    }

    /// Removes the request that gets the next token: the newest one when the
    /// queue is a standing queue of an overloaded team, otherwise the oldest
    /// one.
    ///
    /// A team over its rate keeps its queue full. Served in order of arrival,
    /// each of its requests would wait for nearly the maximum time. Served
    /// newest first, most of the requests that get a token are served soon
    /// after they arrive.
    fn next_waiter(&mut self, now: Instant) -> Option<Waiter> {
        let since = self.queued_since.unwrap_or(now);
        let is_standing = now.saturating_duration_since(since) > STANDING_QUEUE_AGE;
        if is_standing && self.ledger.overload_ratio(now) > OVERLOAD_RATIO {
            self.queue.pop_back()
        } else {
            self.queue.pop_front()
        }
    }

    fn clear_if_empty(&mut self) {
        if self.queue.is_empty() {
            self.queued_since = None;
        }
    }

    fn is_active(&mut self, now: Instant) -> bool {
        let snapshot = self.ledger.snapshot(now);
        !snapshot.loans_in.is_empty() || snapshot.waiting > 0 || snapshot.demand > 0.1
    }
}

/// Removes a request from the queue when it stops waiting for a token.
struct WaitGuard<'a> {
    share: &'a TeamShare,
    number: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.share.state();
        let position = state.queue.iter().position(|w| w.number == self.number);
        if let Some(position) = position {
            state.queue.remove(position);
            state.ledger.abandon(Instant::now());
            state.clear_if_empty();
        }
    }
}

/// Result of one round of a ledger: what its task has to send, and when it runs
/// again.
struct Round {
    /// Loan request to send, with the turn that selects its peers.
    request: Option<(LoanRequest, usize)>,
    loan_actions: Vec<LoanAction>,
    /// Time of the next round; `None` waits until a request arrives.
    next_at: Option<Instant>,
}

/// Task of one ledger: serves its queue, requests loans from peers, and renews
/// or returns loans that are due.
async fn run_ledger(share: Arc<TeamShare>, links: Arc<PeerLinks>) {
    loop {
        let round = run_round(&share);
        if let Some((request, turn)) = round.request {
            request_from_peers(&share, &links, &request, turn);
        }
        for action in round.loan_actions {
            send_loan_action(&share, &links, action);
        }
        let woken = share.wake.notified();
        match round.next_at {
            Some(at) => {
                let _ = tokio::time::timeout_at(at.into(), woken).await;
            }
            None => woken.await,
        }
    }
}

fn run_round(share: &TeamShare) -> Round {
    let now = Instant::now();
    let mut state = share.state();
    let next_token = state.serve_queue(now);
    let loan_actions = state.ledger.due_loan_actions(now);
    let request = state.ledger.request_loan(now);
    let request = request.map(|request| {
        state.loan_requests += 1;
        (request, state.loan_requests)
    });
    let next_at = state.is_active(now).then_some(now + ROUND_INTERVAL);
    Round {
        request,
        loan_actions,
        next_at: next_at.into_iter().chain(next_token).min(),
    }
}

/// Splits a loan request evenly across the next peers in turn.
fn request_from_peers(
    share: &Arc<TeamShare>,
    links: &Arc<PeerLinks>,
    request: &LoanRequest,
    turn: usize,
) {
    let peers = links.next_peers(PEERS_PER_REQUEST, turn);
    if peers.is_empty() {
        return;
    }
    let fraction = 1.0 / peers.len() as f64;
    let peer_share = request.share.scaled(fraction);
    for (peer, link) in peers {
        let request = LoanRequest {
            id: request.id.clone(),
            share: peer_share,
            // Rounded up to a whole token, because a fraction of one admits no
            // request.
            tokens: (request.tokens * fraction).ceil().min(peer_share.burst()),
        };
        let share = Arc::clone(share);
        tokio::spawn(async move {
            let body = Body::RequestLoan(RequestLoan::from((&share.name, &request)));
            match link.call(body, PEER_TIMEOUT).await {
                Ok(Body::Loan(loan)) => credit_loan(&share, &request, loan),
                Ok(_) => {}
                Err(error) => log::debug!(
                    "event=borrow_failed peer={peer} error={}",
                    logfmt::value(&error)
                ),
            }
        });
    }
}

fn credit_loan(share: &TeamShare, request: &LoanRequest, loan: LoanMessage) {
    match loan.into_loan(request) {
        Ok(Some(loan)) => {
            let credit = share.state().ledger.credit(Instant::now(), &loan);
            log::debug!("event=loan team={} outcome={credit:?}", share.name);
            metrics::counter!("loans_in_total").increment(1);
            share.wake.notify_one();
        }
        Ok(None) => {}
        Err(error) => log::warn!("event=loan_malformed error={}", logfmt::value(&error)),
    }
}

fn send_loan_action(share: &Arc<TeamShare>, links: &Arc<PeerLinks>, action: LoanAction) {
    let lender = match &action {
        LoanAction::Renew(renewal) => &renewal.loan.lender,
        LoanAction::Return(returned) => &returned.loan.lender,
    };
    let Some(link) = links.link_to(lender) else {
        return;
    };
    let share = Arc::clone(share);
    tokio::spawn(async move {
        match action {
            LoanAction::Renew(renewal) => {
                let body = Body::RenewLoan((&share.name, &renewal).into());
                if let Ok(Body::LoanRenewed(reply)) = link.call(body, PEER_TIMEOUT).await {
                    let now = Instant::now();
                    share
                        .state()
                        .ledger
                        .apply_renewal_reply(now, &renewal, reply.into());
                }
            }
            LoanAction::Return(returned) => {
                let body = Body::ReturnLoan((&share.name, returned).into());
                let _ = tokio::time::timeout(PEER_TIMEOUT, link.notify(body)).await;
            }
        }
    });
}

fn to_refusal(refusal: AdmissionRefusal) -> Refusal {
    match refusal {
        AdmissionRefusal::QueueFull => Refusal::not_run(Cause::OverRate),
        AdmissionRefusal::BaseUnusable => Refusal::not_run(Cause::Isolated),
    }
}
