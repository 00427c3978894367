//! Admission of requests by their team's rate and burst.

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
use crate::request::{Cause, Refusal};
use crate::sync::{lock, read, write};
use crate::version::InForce;
use crate::wire::{Body, Borrow, LoanMessage};

/// Longest wait for a token. A longer queue would only delay the refusal.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Time after which a queue that was never empty counts as standing.
const STANDING_AFTER: Duration = Duration::from_secs(1);

/// Arrivals for each admission above which a standing queue is the team's own
/// doing. Loans that are still moving leave a team within its rate below it.
const OVERLOADED: f64 = 1.5;

/// Time between two rounds of a ledger that has demand or loans.
const ROUND: Duration = Duration::from_millis(50);

/// Peers that one ask goes to.
const PEERS_PER_ASK: usize = 3;

/// Time for one answer of a peer. Loans run for 2 s from the sending of the
/// ask, so a later answer would be of little use.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Decides whether a team may send another request now.
#[derive(Debug)]
pub(crate) struct Admission {
    vm: VmName,
    /// Differs between any two processes of a VM.
    incarnation: u64,
    links: Arc<PeerLinks>,
    /// A team that left the configuration keeps its ledger, because loans of
    /// it may still run if it comes back.
    teams: RwLock<HashMap<TeamName, Arc<TeamShare>>>,
}

/// One team's ledger and the requests that wait for its tokens.
#[derive(Debug)]
struct TeamShare {
    name: TeamName,
    state: Mutex<ShareState>,
    /// Wakes the task that drives the ledger.
    wake: Notify,
}

#[derive(Debug)]
struct ShareState {
    ledger: ShareLedger,
    /// Invariant: as many as the ledger counts as waiting, in order of arrival.
    queue: VecDeque<Waiter>,
    next_number: u64,
    /// Since when the queue has not been empty.
    queued_since: Option<Instant>,
    /// Counts asks, so that each goes to the next peers in turn.
    asks: usize,
}

#[derive(Debug)]
struct Waiter {
    number: u64,
    tx: oneshot::Sender<Result<(), AdmissionRefusal>>,
}

impl Admission {
    pub(crate) fn new(vm: VmName, links: Arc<PeerLinks>) -> Self {
        Self {
            vm,
            incarnation: rand::random(),
            links,
            teams: RwLock::default(),
        }
    }

    /// Takes over the shares that are in force. The base may be spent until
    /// `valid_until`; `None` forbids it.
    pub(crate) fn update(&self, view: &InForce, valid_until: Option<Instant>) {
        let Some(config) = &view.config else {
            return;
        };
        let now = Instant::now();
        for (name, team) in &config.teams {
            let limit = RateShare::new(team.rate, team.burst).unwrap_or_default();
            let share = self.share_of(name, now);
            let mut state = share.state();
            let version = view.shares.version();
            let part = view.shares.share(&self.vm, limit);
            state.ledger.set_base(now, version, part);
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

    /// Takes one token of `team`, and waits for it if it must, at most until
    /// `deadline`.
    ///
    /// # Errors
    ///
    /// A refusal as not run when no token came in time.
    pub(crate) async fn admit(&self, team: &TeamName, deadline: Instant) -> Result<(), Refusal> {
        let share = self
            .existing(team)
            .ok_or(Refusal::not_run(Cause::KeyRefused))?;
        let now = Instant::now();
        let (number, rx) = {
            let mut state = share.state();
            match state.ledger.admit(now) {
                Decision::Admitted => {
                    drop(state);
                    share.wake.notify_one();
                    return Ok(());
                }
                Decision::Refused(refusal) => return Err(refusal_of(refusal)),
                Decision::Wait { .. } => state.enqueue(now),
            }
        };
        let guard = WaitGuard {
            share: &share,
            number,
        };
        share.wake.notify_one();
        let until = deadline.min(now + LONGEST_WAIT);
        let decided = tokio::time::timeout_at(until.into(), rx).await;
        drop(guard);
        match decided {
            Ok(Ok(Ok(()))) => Ok(()),
            Ok(Ok(Err(refusal))) => Err(refusal_of(refusal)),
            Ok(Err(_)) | Err(_) => Err(Refusal::not_run(Cause::OverRate)),
        }
    }

    /// Lends to a peer what the own demand leaves free.
    pub(crate) fn lend(&self, team: &TeamName, ask: &LoanRequest) -> Option<Loan> {
        let share = self.existing(team)?;
        match share.state().ledger.lend(Instant::now(), ask) {
            LendOutcome::Lent(loan) => {
                metrics::counter!("loans_out_total").increment(1);
                Some(loan)
            }
            LendOutcome::Declined(_) => None,
        }
    }

    /// Answers a borrower's renewal.
    pub(crate) fn renew(&self, team: &TeamName, renewal: &Renewal) -> RenewalReply {
        match self.existing(team) {
            Some(share) => share.state().ledger.renew(Instant::now(), renewal),
            None => RenewalReply::Declined,
        }
    }

    /// Takes back a loan that a borrower returned.
    pub(crate) fn take_back(&self, team: &TeamName, returned: &LoanReturn) {
        if let Some(share) = self.existing(team) {
            share.state().ledger.accept_return(Instant::now(), returned);
            share.wake.notify_one();
        }
    }

    /// Gives all loans back, for a VM that stops.
    pub(crate) async fn give_back_all(&self) {
        for share in self.shares() {
            let returns = share.state().ledger.return_all_loans(Instant::now());
            for returned in returns {
                self.send_return(&share.name, returned).await;
            }
        }
    }

    /// The version of the share table that is in effect in every ledger.
    pub(crate) fn version_in_effect(&self) -> Option<u64> {
        let now = Instant::now();
        self.shares()
            .iter()
            .map(|share| share.state().ledger.version_in_effect(now))
            .min()
            .flatten()
    }

    /// Plain copies of all ledgers.
    pub(crate) fn snapshots(&self) -> Vec<LedgerSnapshot> {
        let now = Instant::now();
        self.shares()
            .iter()
            .map(|share| share.state().ledger.snapshot(now))
            .collect()
    }

    fn existing(&self, team: &TeamName) -> Option<Arc<TeamShare>> {
        let teams = read(&self.teams);
        teams.get(team).map(Arc::clone)
    }

    fn shares(&self) -> Vec<Arc<TeamShare>> {
        let teams = read(&self.teams);
        teams.values().map(Arc::clone).collect()
    }

    fn share_of(&self, team: &TeamName, now: Instant) -> Arc<TeamShare> {
        if let Some(share) = self.existing(team) {
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
                asks: 0,
            }),
            wake: Notify::new(),
        });
        tokio::spawn(drive(Arc::clone(&share), Arc::clone(&self.links)));
        let mut teams = write(&self.teams);
        Arc::clone(teams.entry(team.clone()).or_insert(share))
    }

    async fn send_return(&self, team: &TeamName, returned: LoanReturn) {
        if let Some(link) = self.links.to(&returned.loan.lender) {
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

    /// Admits waiting requests as far as tokens go, and returns when the next
    /// token is expected.
    fn serve_queue(&mut self, now: Instant) -> Option<Instant> {
        while !self.queue.is_empty() {
            let verdict = match self.ledger.retry(now) {
                Decision::Admitted => Ok(()),
                Decision::Refused(refusal) => Err(refusal),
                Decision::Wait { retry_at } => return retry_at,
            };
            if let Some(waiter) = self.next_waiter(now) {
                // A request that gave up at this very moment loses its token.
                let _ = waiter.tx.send(verdict);
            }
        }
        self.note_empty();
        None
    }

    /// The newest request of a standing queue of an overloaded team, else the
    /// oldest.
    ///
    /// A team over its rate keeps its queue full. In order of arrival each of
    /// its requests would wait as long as requests may; the newest first, most
    /// of those that get a token are on time.
    fn next_waiter(&mut self, now: Instant) -> Option<Waiter> {
        let since = self.queued_since.unwrap_or(now);
        let is_standing = now.saturating_duration_since(since) > STANDING_AFTER;
        if is_standing && self.ledger.overload_ratio(now) > OVERLOADED {
            self.queue.pop_back()
        } else {
            self.queue.pop_front()
        }
    }

    fn note_empty(&mut self) {
        if self.queue.is_empty() {
            self.queued_since = None;
        }
    }

    fn is_active(&mut self, now: Instant) -> bool {
        let snapshot = self.ledger.snapshot(now);
        !snapshot.loans_in.is_empty() || snapshot.waiting > 0 || snapshot.demand > 0.1
    }
}

/// Removes a request that no longer waits for a token.
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
            state.note_empty();
        }
    }
}

/// What the task of a ledger does next.
struct Round {
    ask: Option<(LoanRequest, usize)>,
    due: Vec<LoanAction>,
    /// When to run again; `None` waits for a request.
    again_at: Option<Instant>,
}

/// Serves the queue of one ledger, asks peers for loans and renews them.
async fn drive(share: Arc<TeamShare>, links: Arc<PeerLinks>) {
    loop {
        let round = next_round(&share);
        if let Some((ask, turn)) = round.ask {
            ask_peers(&share, &links, &ask, turn);
        }
        for action in round.due {
            settle_loan(&share, &links, action);
        }
        let woken = share.wake.notified();
        match round.again_at {
            Some(at) => {
                let _ = tokio::time::timeout_at(at.into(), woken).await;
            }
            None => woken.await,
        }
    }
}

fn next_round(share: &TeamShare) -> Round {
    let now = Instant::now();
    let mut state = share.state();
    let next_token = state.serve_queue(now);
    let due = state.ledger.due_loan_actions(now);
    let ask = state.ledger.request_loan(now);
    let ask = ask.map(|ask| {
        state.asks += 1;
        (ask, state.asks)
    });
    let again_at = state.is_active(now).then_some(now + ROUND);
    Round {
        ask,
        due,
        again_at: again_at.into_iter().chain(next_token).min(),
    }
}

/// Sends an equal part of the ask to each of the next peers in turn.
fn ask_peers(share: &Arc<TeamShare>, links: &Arc<PeerLinks>, ask: &LoanRequest, turn: usize) {
    let peers = links.next_peers(PEERS_PER_ASK, turn);
    if peers.is_empty() {
        return;
    }
    let fraction = 1.0 / peers.len() as f64;
    let part = ask.share.scaled(fraction);
    for (peer, link) in peers {
        let ask = LoanRequest {
            id: ask.id.clone(),
            share: part,
            // A whole token, because a fraction of one admits nothing.
            tokens: (ask.tokens * fraction).ceil().min(part.burst()),
        };
        let share = Arc::clone(share);
        tokio::spawn(async move {
            let body = Body::Borrow(Borrow::from((&share.name, &ask)));
            match link.call(body, PEER_TIMEOUT).await {
                Ok(Body::Loan(loan)) => take_loan(&share, &ask, loan),
                Ok(_) => {}
                Err(error) => log::debug!(
                    "event=borrow_failed peer={peer} error={}",
                    logfmt::value(&error)
                ),
            }
        });
    }
}

fn take_loan(share: &TeamShare, ask: &LoanRequest, loan: LoanMessage) {
    match loan.into_loan(ask) {
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

fn settle_loan(share: &Arc<TeamShare>, links: &Arc<PeerLinks>, action: LoanAction) {
    let lender = match &action {
        LoanAction::Renew(renewal) => &renewal.loan.lender,
        LoanAction::Return(returned) => &returned.loan.lender,
    };
    let Some(link) = links.to(lender) else {
        return;
    };
    let share = Arc::clone(share);
    tokio::spawn(async move {
        match action {
            LoanAction::Renew(renewal) => {
                let body = Body::RenewLoan((&share.name, &renewal).into());
                if let Ok(Body::LoanRenewed(answer)) = link.call(body, PEER_TIMEOUT).await {
                    let now = Instant::now();
                    share
                        .state()
                        .ledger
                        .apply_renewal_reply(now, &renewal, answer.into());
                }
            }
            LoanAction::Return(returned) => {
                let body = Body::ReturnLoan((&share.name, returned).into());
                let _ = tokio::time::timeout(PEER_TIMEOUT, link.notify(body)).await;
            }
        }
    });
}

fn refusal_of(refusal: AdmissionRefusal) -> Refusal {
    match refusal {
        AdmissionRefusal::QueueFull => Refusal::not_run(Cause::OverRate),
        AdmissionRefusal::BaseUnusable => Refusal::not_run(Cause::Isolated),
    }
}
