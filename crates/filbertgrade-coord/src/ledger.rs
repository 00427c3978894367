//! One team's rate and burst at one VM, with loans between VMs.
//!
//! Over all VMs and parcels in transit, the sum of rate parts is at most the
//! team's rate, the sum of burst parts at most its burst, and every holder's
//! tokens at most its burst part. Every window then admits at most
//! `burst + rate * length`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::bucket::{RateShare, TokenBucket};
use crate::names::{TeamName, VmName};

/// The share ledger of one team at one VM.
///
/// A loan counts against its lender until the lender has taken it back, and
/// its borrower stops using it earlier than that by the borrower's own clock.
/// Messages may be lost, duplicated or late: that loses tokens and never
/// creates them.
///
/// Every operation first processes what has expired by `now`, in order of
/// time, so a process that was paused cannot spend what lapsed meanwhile.
#[derive(Clone, Debug)]
pub struct ShareLedger {
    team: TeamName,
    vm: VmName,
    incarnation: u64,
    cfg: LedgerConfig,
    /// The base may be used from this instant on.
    usable_from: Instant,
    /// Capacity is the base at hand, if usable, plus all loans in.
    bucket: TokenBucket,
    table_version: u64,
    /// The base that the share table gives.
    target: RateShare,
    /// The base is valid until this instant; `None` before the first permission.
    base_until: Option<Instant>,
    base_usable: bool,
    loans_out: BTreeMap<LoanId, LoanOut>,
    loans_in: BTreeMap<LoanId, LoanIn>,
    /// Asks whose loans would still run. Parcels of other asks are not credited.
    open_loan_requests: BTreeMap<u64, OpenLoanRequest>,
    last_loan_request_at: Option<Instant>,
    next_loan_request: u64,
    next_loan: u64,
    arrivals: ArrivalRate,
    waiting: u32,
}

/// Settings of a [`ShareLedger`]; they must be the same on every VM.
#[derive(Clone, Debug)]
pub struct LedgerConfig {
    /// How long a loan runs, counted from the borrower's send time. Default 2 s.
    ///
    /// A lease under a few round trips expires before it is used. A long one
    /// keeps a crashed borrower's part unused for as long, and delays
    /// [`usable_from`](LedgerConfig::start_delay).
    pub loan_lease: Duration,
    /// How much later than the lease the lender takes a loan back. Default 500 ms.
    ///
    /// It covers the difference in speed of two clocks over one lease. With
    /// too little, lender and borrower may use the same part at once.
    pub reclaim_margin: Duration,
    /// Shortest time between two asks. Default 50 ms.
    pub request_interval: Duration,
    /// Time in which waiting requests should get a token. Default 500 ms, the
    /// longest time that a request waits. Less than 1 ms counts as 1 ms.
    pub backlog_target: Duration,
    /// Fraction of the demand that an ask wants at least. Default 0.2.
    ///
    /// With 0, slowly growing demand makes a loan per ask interval. A high
    /// fraction borrows what others may need.
    pub min_request_fraction: f64,
    /// Time constant of the measured arrival rate. Default 1 s. Less than 1 ms
    /// counts as 1 ms.
    pub demand_window: Duration,
    /// Factor on the measured arrival rate when it is compared with a rate. Default 1.1.
    pub demand_headroom: f64,
    /// Burst, with its tokens, that is never lent, so that the first request
    /// after a quiet time needs no loan. Default 1 token.
    ///
    /// Rate is not kept back: what idle VMs keep is lost to the busy ones, and
    /// a team near its rate on few VMs needs all of it.
    pub lend_reserve: f64,
    /// Most requests that wait for a token at once. Default 1,024.
    pub max_waiting: u32,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self {
            loan_lease: Duration::from_secs(2),
            reclaim_margin: Duration::from_millis(500),
            request_interval: Duration::from_millis(50),
            backlog_target: Duration::from_millis(500),
            min_request_fraction: 0.2,
            demand_window: Duration::from_secs(1),
            demand_headroom: 1.1,
            lend_reserve: 1.0,
            max_waiting: 1024,
        }
    }
}

impl LedgerConfig {
    /// Time after start before the base may be used.
    ///
    /// Loans of the VM's earlier incarnation have expired by then.
    pub fn start_delay(&self) -> Duration {
        self.loan_lease + self.reclaim_margin
    }
}

/// Identifies a loan. `incarnation` and `number` are the lender's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId {
    /// The VM that lends.
    pub lender: VmName,
    /// The incarnation of the lending ledger.
    pub incarnation: u64,
    /// Counts the loans of the incarnation.
    pub number: u64,
}

/// Identifies an ask. `incarnation` and `number` are the borrower's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanRequestId {
    /// The VM that asks.
    pub borrower: VmName,
    /// The incarnation of the asking ledger.
    pub incarnation: u64,
    /// Counts the asks of the incarnation.
    pub number: u64,
}

/// What a VM asks its peers to lend. The same ask may go to several peers.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanRequest {
    /// Names the ask in the parcels that answer it.
    pub id: LoanRequestId,
    /// Wanted capacity.
    pub share: RateShare,
    /// Wanted tokens, at most the wanted burst.
    pub tokens: f64,
}

/// Capacity and tokens on their way from a lender to a borrower.
#[derive(Clone, Debug, PartialEq)]
pub struct Loan {
    /// The loan.
    pub id: LoanId,
    /// The ask that the loan answers.
    pub request: LoanRequestId,
    /// Lent capacity.
    pub share: RateShare,
    /// Lent tokens, at most the lent burst.
    pub tokens: f64,
}

/// Tokens of a loan that the borrower gives back early.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanReturn {
    /// The loan that ends.
    pub loan: LoanId,
    /// Unused tokens, at most the lent burst.
    pub tokens: f64,
}

/// A borrower's request to extend a loan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// The loan to extend.
    pub loan: LoanId,
    /// Counts the renewals of the loan; the reply must carry the same number.
    pub number: u64,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request took a token.
    Admitted,
    /// The request counts as waiting until [`ShareLedger::retry`] admits it or
    /// [`ShareLedger::abandon`] is called.
    Wait {
        /// When the own bucket will have a token for it if nothing changes;
        /// `None` if the bucket has no rate now, or a burst under one token.
        retry_at: Option<Instant>,
    },
    /// The request was not run and does not count as waiting.
    Refused(AdmissionRefusal),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// The base may not be used, and there is no loan to use instead.
    BaseUnusable,
    /// [`LedgerConfig::max_waiting`] requests are waiting.
    QueueFull,
}

/// What a lender answers to an ask.
#[derive(Clone, Debug, PartialEq)]
pub enum LendOutcome {
    /// Send the parcel. Its part and tokens are debited already.
    Lent(Loan),
    /// Nothing is lent.
    Declined(LendRefusal),
}

/// Why nothing was lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LendRefusal {
    /// The ask comes from this VM, or its tokens exceed its burst.
    Malformed,
    /// A loan for the same ask is running.
    AlreadyLent,
    /// The base may not be used.
    BaseUnusable,
    /// The base is about to shrink.
    Shrinking,
    /// Own demand leaves nothing free.
    OwnDemand,
}

/// What a borrower did with a parcel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditOutcome {
    /// The loan is in use until this instant.
    Credited {
        /// End of the lease by the own clock.
        until: Instant,
    },
    /// The loan was credited before.
    Duplicate,
    /// The ask is unknown or so old that its loans have expired.
    Late,
    /// The parcel holds more tokens than burst.
    Malformed,
}

/// A lender's answer to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalReply {
    /// The loan runs for another lease from the borrower's send time.
    Extended,
    /// The loan is unknown, or the lender needs it back when it ends.
    Declined,
}

/// What a borrower does about one of its loans.
#[derive(Clone, Debug, PartialEq)]
pub enum LoanAction {
    /// LoanRequest the lender to extend it.
    Renew(Renewal),
    /// Give it back, because demand no longer needs it.
    Return(LoanReturn),
}

/// A plain copy of a ledger's state for operators and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSnapshot {
    /// The team.
    pub team: TeamName,
    /// The VM.
    pub vm: VmName,
    /// The incarnation of the ledger.
    pub incarnation: u64,
    /// Version of the share table in use.
    pub table_version: u64,
    /// The base that the table gives.
    pub target: RateShare,
    /// The base that counts against this VM, loans out included. It is above
    /// `target` while a shrink waits for loans to return.
    pub base: RateShare,
    /// Whether the base may be used.
    pub base_usable: bool,
    /// Loans to other VMs: id, borrower, part and when it is taken back.
    pub loans_out: Vec<(LoanId, VmName, RateShare, Instant)>,
    /// Loans from other VMs: id, part and when it expires.
    pub loans_in: Vec<(LoanId, RateShare, Instant)>,
    /// Capacity of the bucket.
    pub share: RateShare,
    /// Tokens in the bucket.
    pub tokens: f64,
    /// Requests waiting for a token.
    pub waiting: u32,
    /// Measured arrivals per second.
    pub demand: f64,
}

#[derive(Clone, Debug)]
struct LoanOut {
    request: LoanRequestId,
    share: RateShare,
    reclaim_at: Instant,
}

#[derive(Clone, Debug)]
struct LoanIn {
    share: RateShare,
    expires_at: Instant,
    /// The newest renewal and its send time. An answer to an older one is
    /// ignored, because the lender may have counted its lease from earlier.
    renewal: Option<(u64, Instant)>,
    renewals: u64,
}

#[derive(Clone, Debug)]
struct OpenLoanRequest {
    sent_at: Instant,
    credited: BTreeSet<LoanId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    LoanExpires,
    LoanReclaimed,
    BaseOpens,
    BaseLapses,
}

impl ShareLedger {
    /// Creates a ledger without base, loans and tokens.
    ///
    /// `incarnation` must differ between any two ledgers that a VM ever
    /// creates for a team; otherwise a late message of the earlier one could
    /// be taken for one of this.
    pub fn new(
        team: TeamName,
        vm: VmName,
        incarnation: u64,
        cfg: LedgerConfig,
        now: Instant,
    ) -> Self {
        Self {
            team,
            vm,
            incarnation,
            usable_from: now + cfg.start_delay(),
            bucket: TokenBucket::new(RateShare::ZERO, now),
            table_version: 0,
            target: RateShare::ZERO,
            base_until: None,
            base_usable: false,
            loans_out: BTreeMap::new(),
            loans_in: BTreeMap::new(),
            open_loan_requests: BTreeMap::new(),
            last_loan_request_at: None,
            next_loan_request: 0,
            next_loan: 0,
            arrivals: ArrivalRate::new(cfg.demand_window, now),
            waiting: 0,
            cfg,
        }
    }

    /// Takes over the base of a share table version; an older version is ignored.
    ///
    /// Growth takes effect at once, without tokens. A shrink takes effect as
    /// far as the part is at hand, and for the rest as loans return.
    pub fn set_base(&mut self, now: Instant, table_version: u64, base: RateShare) {
        self.advance(now);
        if table_version < self.table_version {
            return;
        }
        self.table_version = table_version;
        self.target = base;
        self.refit(now);
    }

    /// Permits use of the base until `until`, which comes from freshness.
    ///
    /// `table_version` is the version that the freshness evidence covers.
    /// Returns false, without effect, if the ledger has not taken over that
    /// version: its base may have been given to others since.
    pub fn allow_base(&mut self, now: Instant, table_version: u64, until: Instant) -> bool {
        self.advance(now);
        if table_version != self.table_version {
            return false;
        }
        self.base_until = Some(until);
        self.base_usable = self.usable_from <= now && now < until;
        self.refit(now);
        true
    }

    /// Forbids use of the base at once; tokens beyond the loans' burst are lost.
    pub fn forbid_base(&mut self, now: Instant) {
        self.advance(now);
        self.base_until = None;
        self.base_usable = false;
        self.refit(now);
    }

    /// The table version whose base is in effect, for acknowledgement.
    ///
    /// Returns `None` while a shrink waits for loans to return, and while
    /// loans of an earlier incarnation may still run.
    pub fn version_in_effect(&mut self, now: Instant) -> Option<u64> {
        self.advance(now);
        let in_effect = now >= self.usable_from && self.base() == self.target;
        in_effect.then_some(self.table_version)
    }

    /// Decides about a request that has just arrived.
    pub fn admit(&mut self, now: Instant) -> Admission {
        self.advance(now);
        self.arrivals.record(now);
        if self.waiting == 0 && self.bucket.try_take(now) {
            return Admission::Admitted;
        }
        if self.is_isolated(now) {
            return Admission::Refused(AdmissionRefusal::BaseUnusable);
        }
        if self.waiting >= self.cfg.max_waiting {
            return Admission::Refused(AdmissionRefusal::QueueFull);
        }
        self.waiting += 1;
        self.wait_for(self.waiting, now)
    }

    /// Decides again about the first waiting request.
    ///
    /// The caller keeps the requests in order of arrival.
    pub fn retry(&mut self, now: Instant) -> Admission {
        self.advance(now);
        if self.bucket.try_take(now) {
            self.waiting = self.waiting.saturating_sub(1);
            return Admission::Admitted;
        }
        if self.is_isolated(now) {
            self.waiting = self.waiting.saturating_sub(1);
            return Admission::Refused(AdmissionRefusal::BaseUnusable);
        }
        self.wait_for(1, now)
    }

    /// Requests that arrive for each one that the rate at hand admits.
    ///
    /// Above 1, requests arrive faster than they can be admitted.
    pub fn overload_ratio(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let rate = self.bucket.share().rate();
        if rate <= 0.0 {
            return f64::INFINITY;
        }
        self.arrivals.per_second(now) / rate
    }

    /// Notes that a waiting request gave up.
    pub fn abandon(&mut self, now: Instant) {
        self.advance(now);
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Plans an ask if demand exceeds the capacity and no ask was made just before.
    ///
    /// The lease of every loan that answers it counts from `now`, so the ask
    /// must be sent at once.
    pub fn request_loan(&mut self, now: Instant) -> Option<LoanRequest> {
        self.advance(now);
        if let Some(last_loan_request_at) = self.last_loan_request_at
            && now < last_loan_request_at + self.cfg.request_interval
        {
            return None;
        }
        let share = self.bucket.share();
        let demand = self.arrivals.per_second(now) * self.cfg.demand_headroom;
        let backlog = f64::from(self.waiting) / seconds(self.cfg.backlog_target);
        let tokens = (f64::from(self.waiting) - self.bucket.tokens()).max(0.0);
        let missing = (demand + backlog - share.rate()).max(0.0);
        // While the bucket is more than half full, a burst is not yet demand.
        let draining = missing > 0.0 && self.bucket.tokens() < share.burst() / 2.0;
        if tokens <= 0.0 && !draining {
            return None;
        }
        // Small gaps would otherwise add up to many loans, each with renewals
        // of its own.
        let rate = missing.max(demand * self.cfg.min_request_fraction);
        // A bucket needs a burst of one token to admit anything, and the
        // arrivals of an ask interval to ride out the time until the next ask.
        let interval = self.cfg.request_interval.as_secs_f64();
        let floor = (demand * interval).max(1.0) - share.burst();
        let burst = tokens.max(floor).max(rate * interval);
        let id = LoanRequestId {
            borrower: self.vm.clone(),
            incarnation: self.incarnation,
            number: self.next_loan_request,
        };
        self.next_loan_request += 1;
        self.last_loan_request_at = Some(now);
        self.open_loan_requests.insert(
            id.number,
            OpenLoanRequest {
                sent_at: now,
                credited: BTreeSet::new(),
            },
        );
        Some(LoanRequest {
            id,
            share: RateShare::new(rate, burst).unwrap_or_default(),
            tokens,
        })
    }

    /// Lends what the ask wants, as far as own demand leaves it free.
    ///
    /// Only the own base is lent, never a loan: a chain of loans would outlive
    /// the first lender's lease.
    pub fn lend(&mut self, now: Instant, request: &LoanRequest) -> LendOutcome {
        self.advance(now);
        if request.id.borrower == self.vm || !holds(request.share, request.tokens) {
            return LendOutcome::Declined(LendRefusal::Malformed);
        }
        if self
            .loans_out
            .values()
            .any(|loan| loan.request == request.id)
        {
            return LendOutcome::Declined(LendRefusal::AlreadyLent);
        }
        let free = match self.free(now) {
            Ok(free) => free,
            Err(refusal) => return LendOutcome::Declined(refusal),
        };
        let share = request.share.min(free.share);
        if share.is_zero() {
            return LendOutcome::Declined(LendRefusal::OwnDemand);
        }
        let wanted = request.tokens.min(free.tokens).min(share.burst());
        let tokens = self.bucket.withdraw(wanted, now);
        let id = LoanId {
            lender: self.vm.clone(),
            incarnation: self.incarnation,
            number: self.next_loan,
        };
        self.next_loan += 1;
        self.loans_out.insert(
            id.clone(),
            LoanOut {
                request: request.id.clone(),
                share,
                reclaim_at: now + self.cfg.loan_lease + self.cfg.reclaim_margin,
            },
        );
        self.refit(now);
        LendOutcome::Lent(Loan {
            id,
            request: request.id.clone(),
            share,
            tokens,
        })
    }

    /// Credits a parcel, once per loan, until a lease after its ask was sent.
    ///
    /// The caller then calls [`ShareLedger::retry`] for the waiting requests.
    pub fn credit(&mut self, now: Instant, loan: &Loan) -> CreditOutcome {
        self.advance(now);
        if !holds(loan.share, loan.tokens) {
            return CreditOutcome::Malformed;
        }
        if loan.request.borrower != self.vm || loan.request.incarnation != self.incarnation {
            return CreditOutcome::Late;
        }
        let Some(request) = self.open_loan_requests.get_mut(&loan.request.number) else {
            return CreditOutcome::Late;
        };
        if !request.credited.insert(loan.id.clone()) {
            return CreditOutcome::Duplicate;
        }
        let until = request.sent_at + self.cfg.loan_lease;
        self.loans_in.insert(
            loan.id.clone(),
            LoanIn {
                share: loan.share,
                expires_at: until,
                renewal: None,
                renewals: 0,
            },
        );
        self.bucket.add_share(loan.share, loan.tokens, now);
        self.refit(now);
        CreditOutcome::Credited { until }
    }

    /// What to do about loans that are past half of their lease.
    ///
    /// Loans that demand needs are renewed and the others are given back. The
    /// lease of a renewal counts from `now`, so it must be sent at once.
    pub fn due_loan_actions(&mut self, now: Instant) -> Vec<LoanAction> {
        self.advance(now);
        let half = self.cfg.loan_lease / 2;
        // A renewal whose answer was lost is repeated after a quarter of a lease.
        let again = self.cfg.loan_lease / 4;
        let due: Vec<LoanId> = self
            .loans_in
            .iter()
            .filter(|(_, loan)| loan.expires_at <= now + half)
            .filter(|(_, loan)| loan.renewal.is_none_or(|(_, at)| at + again <= now))
            .map(|(id, _)| id.clone())
            .collect();
        let mut actions = Vec::with_capacity(due.len());
        for id in due {
            if self.needs(&id, now) {
                actions.extend(self.renewal(&id, now).map(LoanAction::Renew));
            } else {
                actions.extend(self.return_loan(now, &id).map(LoanAction::Return));
            }
        }
        actions
    }

    /// Answers a borrower's renewal.
    pub fn renew(&mut self, now: Instant, renewal: &Renewal) -> RenewalReply {
        self.advance(now);
        let own_demand =
            self.waiting > 0 || self.arrivals.per_second(now) > self.base_at_hand().rate();
        let shrinking = self.base() != self.target;
        if !self.base_usable || own_demand || shrinking {
            return RenewalReply::Declined;
        }
        let Some(loan) = self.loans_out.get_mut(&renewal.loan) else {
            return RenewalReply::Declined;
        };
        let reclaim_at = now + self.cfg.loan_lease + self.cfg.reclaim_margin;
        loan.reclaim_at = loan.reclaim_at.max(reclaim_at);
        RenewalReply::Extended
    }

    /// Takes over a lender's answer to a renewal.
    ///
    /// An answer to an older renewal, or for a loan that has ended, changes nothing.
    pub fn apply_renewal_reply(&mut self, now: Instant, renewal: &Renewal, answer: RenewalReply) {
        self.advance(now);
        if answer == RenewalReply::Declined {
            return;
        }
        if let Some(loan) = self.loans_in.get_mut(&renewal.loan)
            && let Some((number, sent_at)) = loan.renewal
            && number == renewal.number
        {
            loan.expires_at = loan.expires_at.max(sent_at + self.cfg.loan_lease);
            loan.renewal = None;
        }
    }

    /// Ends a loan early. Its share of the tokens is debited before it is sent.
    pub fn return_loan(&mut self, now: Instant, loan: &LoanId) -> Option<LoanReturn> {
        self.advance(now);
        let ended = self.loans_in.remove(loan)?;
        let whole = self.bucket.share().burst();
        let fraction = if whole > 0.0 {
            (ended.share.burst() / whole).min(1.0)
        } else {
            0.0
        };
        let wanted = (self.bucket.tokens() * fraction).min(ended.share.burst());
        let tokens = self.bucket.withdraw(wanted, now);
        self.refit(now);
        Some(LoanReturn {
            loan: loan.clone(),
            tokens,
        })
    }

    /// Ends all loans early, for a VM that is stopping.
    pub fn return_all_loans(&mut self, now: Instant) -> Vec<LoanReturn> {
        let loans: Vec<LoanId> = self.loans_in.keys().cloned().collect();
        loans
            .iter()
            .filter_map(|loan| self.return_loan(now, loan))
            .collect()
    }

    /// Takes back a loan that its borrower returned.
    ///
    /// Returns false, without effect, if the loan is unknown or was taken back before.
    pub fn accept_return(&mut self, now: Instant, returned: &LoanReturn) -> bool {
        self.advance(now);
        let Some(loan) = self.loans_out.get(&returned.loan) else {
            return false;
        };
        if !holds(loan.share, returned.tokens) {
            return false;
        }
        self.loans_out.remove(&returned.loan);
        self.refit(now);
        self.bucket.add_share(RateShare::ZERO, returned.tokens, now);
        true
    }

    /// The next instant at which something expires by itself.
    pub fn next_event_at(&self) -> Option<Instant> {
        self.next_event().map(|(at, _)| at)
    }

    /// A plain copy of the state at `now`.
    pub fn snapshot(&mut self, now: Instant) -> LedgerSnapshot {
        self.advance(now);
        LedgerSnapshot {
            team: self.team.clone(),
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            table_version: self.table_version,
            target: self.target,
            base: self.base(),
            base_usable: self.base_usable,
            loans_out: self
                .loans_out
                .iter()
                .map(|(id, l)| {
                    (
                        id.clone(),
                        l.request.borrower.clone(),
                        l.share,
                        l.reclaim_at,
                    )
                })
                .collect(),
            loans_in: self
                .loans_in
                .iter()
                .map(|(id, l)| (id.clone(), l.share, l.expires_at))
                .collect(),
            share: self.bucket.share(),
            tokens: self.bucket.tokens(),
            waiting: self.waiting,
            demand: self.arrivals.per_second(now),
        }
    }

    /// Processes everything that expired by `now`, in order of time.
    ///
    /// The bucket fills at the old rate up to each expiry and at the new rate
    /// after it.
    fn advance(&mut self, now: Instant) {
        while let Some((at, event)) = self.next_event()
            && at <= now
        {
            self.bucket.refill(at);
            match event {
                Event::LoanExpires => self.loans_in.retain(|_, loan| loan.expires_at > at),
                Event::LoanReclaimed => self.loans_out.retain(|_, loan| loan.reclaim_at > at),
                Event::BaseOpens => self.base_usable = true,
                Event::BaseLapses => {
                    self.base_usable = false;
                    self.base_until = None;
                }
            }
            self.refit(at);
        }
        self.bucket.refill(now);
        let lease = self.cfg.loan_lease;
        self.open_loan_requests
            .retain(|_, request| request.sent_at + lease > now);
    }

    fn next_event(&self) -> Option<(Instant, Event)> {
        let expires = self
            .loans_in
            .values()
            .map(|loan| (loan.expires_at, Event::LoanExpires));
        let reclaimed = self
            .loans_out
            .values()
            .map(|loan| (loan.reclaim_at, Event::LoanReclaimed));
        let base = self.base_until.map(|until| {
            if !self.base_usable && self.usable_from < until {
                (self.usable_from, Event::BaseOpens)
            } else {
                (until, Event::BaseLapses)
            }
        });
        expires.chain(reclaimed).chain(base).min_by_key(|e| e.0)
    }

    /// Fits the bucket's capacity to the base and the loans.
    fn refit(&mut self, now: Instant) {
        let base = if self.base_usable {
            self.base_at_hand()
        } else {
            RateShare::ZERO
        };
        let share = self
            .loans_in
            .values()
            .fold(base, |sum, loan| sum.plus(loan.share));
        self.bucket.set_share(share, now);
    }

    fn lent(&self) -> RateShare {
        self.loans_out
            .values()
            .fold(RateShare::ZERO, |sum, loan| sum.plus(loan.share))
    }

    /// The base that counts against this VM. What is lent cannot shrink.
    fn base(&self) -> RateShare {
        self.target.max(self.lent())
    }

    fn base_at_hand(&self) -> RateShare {
        self.base().minus(self.lent())
    }

    /// Reports whether there is nothing to spend and none of it will return by
    /// itself. The hold after the start ends by itself, and does not count.
    fn is_isolated(&self, now: Instant) -> bool {
        !self.base_usable && now >= self.usable_from && self.loans_in.is_empty()
    }

    fn wait_for(&mut self, position: u32, now: Instant) -> Admission {
        Admission::Wait {
            retry_at: self.bucket.time_until(position, now).map(|wait| now + wait),
        }
    }

    fn free(&self, now: Instant) -> Result<Free, LendRefusal> {
        if !self.base_usable {
            return Err(LendRefusal::BaseUnusable);
        }
        if self.base() != self.target {
            return Err(LendRefusal::Shrinking);
        }
        let at_hand = self.base_at_hand();
        if self.waiting > 0 || !self.loans_in.is_empty() || at_hand.rate() <= 0.0 {
            return Err(LendRefusal::OwnDemand);
        }
        let demand = self.arrivals.per_second(now) * self.cfg.demand_headroom;
        let fraction = 1.0 - demand / at_hand.rate();
        if fraction <= 0.0 {
            return Err(LendRefusal::OwnDemand);
        }
        let spare = |whole: f64| (whole * fraction).min(whole - self.cfg.lend_reserve);
        let share = RateShare::new(at_hand.rate() * fraction, spare(at_hand.burst()).max(0.0));
        Ok(Free {
            share: share.unwrap_or_default(),
            tokens: spare(self.bucket.tokens()).max(0.0),
        })
    }

    /// Reports whether demand exceeds what would remain without the loan.
    fn needs(&self, loan: &LoanId, now: Instant) -> bool {
        let lent = self.loans_in.get(loan).map_or(RateShare::ZERO, |l| l.share);
        let rest = self.bucket.share().minus(lent);
        let demand = self.arrivals.per_second(now) * self.cfg.demand_headroom;
        self.waiting > 0 || demand > rest.rate()
    }

    fn renewal(&mut self, id: &LoanId, now: Instant) -> Option<Renewal> {
        let loan = self.loans_in.get_mut(id)?;
        loan.renewals += 1;
        loan.renewal = Some((loan.renewals, now));
        Some(Renewal {
            loan: id.clone(),
            number: loan.renewals,
        })
    }
}

/// What a lender can spare.
#[derive(Clone, Copy, Debug)]
struct Free {
    share: RateShare,
    tokens: f64,
}

/// Arrivals per second, weighted exponentially by age.
#[derive(Clone, Debug)]
struct ArrivalRate {
    window: Duration,
    per_second: f64,
    updated_at: Instant,
}

impl ArrivalRate {
    fn new(window: Duration, now: Instant) -> Self {
        Self {
            window,
            per_second: 0.0,
            updated_at: now,
        }
    }

    fn record(&mut self, now: Instant) {
        self.per_second = self.per_second(now) + 1.0 / seconds(self.window);
        self.updated_at = self.updated_at.max(now);
    }

    fn per_second(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.per_second * (-age.as_secs_f64() / seconds(self.window)).exp()
    }
}

/// Seconds to divide by: at least one millisecond, so that rates stay finite.
fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64().max(1e-3)
}

/// Reports whether a part may hold that many tokens.
fn holds(share: RateShare, tokens: f64) -> bool {
    (0.0..=share.burst()).contains(&tokens)
}
