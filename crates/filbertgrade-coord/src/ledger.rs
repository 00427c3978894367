//! A VM's share of one team's rate and burst, with loans between VMs.
//!
//! The share table assigns each VM a *base*, which is its fraction of the team's
//! limit. A VM whose demand exceeds its base borrows rate, burst and tokens from
//! VMs with spare ones. An *incarnation* is a number that distinguishes the
//! ledgers that a VM creates for the same team, for example after a restart.
//!
//! Summed over all VMs and all loans in transit, the rates never exceed the
//! team's rate and the bursts never exceed its burst. No VM and no message
//! holds more tokens than its own burst. The fleet therefore admits at most
//! `burst + rate * length` requests in any interval.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::bucket::{RateShare, TokenBucket};
use crate::names::{TeamName, VmName};

/// The share ledger of one team at one VM.
///
/// A loan is deducted from the lender's base until the lender reclaims it. The
/// borrower stops using the loan before that, as measured by its own clock.
/// Lost, duplicated or delayed messages can destroy tokens but never create
/// them.
///
/// Every operation first processes all expirations up to `now` in order of
/// time. A process that was paused therefore cannot spend what expired during
/// the pause.
#[derive(Clone, Debug)]
pub struct ShareLedger {
    team: TeamName,
    vm: VmName,
    incarnation: u64,
    cfg: LedgerConfig,
    /// End of the start delay, during which the base must not be used.
    usable_from: Instant,
    /// Its share is the unlent base, if usable, plus all borrowed shares.
    bucket: TokenBucket,
    table_version: u64,
    /// The base that the share table assigns to this VM.
    target: RateShare,
    /// End of the permission to use the base; `None` if there is none.
    base_until: Option<Instant>,
    base_usable: bool,
    /// Loans that this VM granted to others.
    loans_out: BTreeMap<LoanId, LoanOut>,
    /// Loans that this VM has borrowed.
    loans_in: BTreeMap<LoanId, LoanIn>,
    /// Loan requests, by number, that were sent less than a loan lease ago.
    /// Loans for older requests have expired and are not credited.
    open_loan_requests: BTreeMap<u64, OpenLoanRequest>,
    last_loan_request_at: Option<Instant>,
    next_loan_request: u64,
    next_loan: u64,
    arrivals: ArrivalRate,
    /// Number of requests that wait for a token.
    waiting: u32,
}

/// Settings of a [`ShareLedger`]; they must be the same on every VM.
#[derive(Clone, Debug)]
pub struct LedgerConfig {
    /// Duration of a loan, from the time at which the borrower sent its
    /// request. Default 2 s.
    ///
    /// A lease shorter than a few round trips expires before the loan can be
    /// used. A long lease leaves the share unused for that long when a borrower
    /// crashes, and lengthens the [start delay](LedgerConfig::start_delay).
    pub loan_lease: Duration,
    /// Time that the lender waits after the end of a lease before it reclaims
    /// the loan. Default 500 ms.
    ///
    /// The margin covers the drift between the two VMs' clocks during one
    /// lease. If it is too small, lender and borrower may use the same share
    /// at the same time.
    pub reclaim_margin: Duration,
    /// Minimum time between two loan requests. Default 50 ms.
    pub request_interval: Duration,
    /// Time within which all waiting requests should get a token. Default
    /// 500 ms, the longest time that a request waits. Values below 1 ms are
    /// treated as 1 ms.
    pub backlog_target: Duration,
    /// Minimum rate of a loan request, as a fraction of the demand. Default 0.2.
    ///
    /// With 0, slowly growing demand causes a new loan in every request
    /// interval. A high fraction borrows rate that other VMs may need.
    pub min_request_fraction: f64,
    /// Time constant of the measured arrival rate. Default 1 s. Values below
    /// 1 ms are treated as 1 ms.
    pub demand_window: Duration,
    /// Factor by which the measured arrival rate is multiplied before it is
    /// compared with a rate share. Default 1.1.
    pub demand_headroom: f64,
    /// Burst that is never lent, together with the tokens to fill it, so that
    /// the first request after an idle period needs no loan. Default 1 token.
    ///
    /// No rate is reserved, because rate that idle VMs hold back is lost to the
    /// busy ones. A team that runs near its limit on a few VMs needs all of it.
    pub lend_reserve: f64,
    /// Maximum number of requests that wait for a token at once. Default 1,024.
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
    /// Delay after the start during which the base must not be used.
    ///
    /// When it ends, all loans granted by the VM's previous incarnation have
    /// expired.
    pub fn start_delay(&self) -> Duration {
        self.loan_lease + self.reclaim_margin
    }
}

/// Identifies a loan across all VMs and incarnations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId {
    /// The VM that granted the loan.
    pub lender: VmName,
    /// The incarnation of the lender's ledger.
    pub incarnation: u64,
    /// Sequence number of the loan within the lender's incarnation.
    pub number: u64,
}

/// Identifies a loan request across all VMs and incarnations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanRequestId {
    /// The VM that requests the loan.
    pub borrower: VmName,
    /// The incarnation of the borrower's ledger.
    pub incarnation: u64,
    /// Sequence number of the request within the borrower's incarnation.
    pub number: u64,
}

/// A request for a loan. The same request may be sent to several peers.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanRequest {
    /// Identifies the request in the loans that are granted for it.
    pub id: LoanRequestId,
    /// Requested rate and burst.
    pub share: RateShare,
    /// Requested tokens, at most the requested burst.
    pub tokens: f64,
}

/// A loan as the lender sends it to the borrower.
#[derive(Clone, Debug, PartialEq)]
pub struct Loan {
    /// Identifies the loan.
    pub id: LoanId,
    /// The request for which the loan was granted.
    pub request: LoanRequestId,
    /// Lent rate and burst.
    pub share: RateShare,
    /// Lent tokens, at most the lent burst.
    pub tokens: f64,
}

/// The early end of a loan, with the tokens that the borrower returns.
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
    /// Sequence number of the renewal for this loan. The reply must be applied
    /// together with this number, so that a reply to an earlier renewal is
    /// recognized.
    pub number: u64,
}

/// The decision about a request that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request took a token.
    Admitted,
    /// The request waits for a token until [`ShareLedger::retry`] admits or
    /// refuses it, or [`ShareLedger::abandon`] is called.
    Wait {
        /// When the bucket will have a token for the request if its share does
        /// not change. `None` if the current rate is zero or the current burst
        /// is less than one token.
        retry_at: Option<Instant>,
    },
    /// The request must not run, and is not in the queue.
    Refused(AdmissionRefusal),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// Use of the base is not permitted, and there is no borrowed share.
    BaseUnusable,
    /// [`LedgerConfig::max_waiting`] requests are already waiting.
    QueueFull,
}

/// A lender's decision about a loan request.
#[derive(Clone, Debug, PartialEq)]
pub enum LendOutcome {
    /// The loan to send to the borrower. Its share and tokens have already been
    /// deducted from the lender.
    Lent(Loan),
    /// Nothing is lent.
    Declined(LendRefusal),
}

/// Why nothing was lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LendRefusal {
    /// The request comes from this VM itself, or requests more tokens than burst.
    Malformed,
    /// A loan for the same request has not ended yet.
    AlreadyLent,
    /// Use of the base is not permitted.
    BaseUnusable,
    /// The share table assigns a smaller base, which waits for loans to end.
    Shrinking,
    /// The lender needs all of its base for its own requests.
    OwnDemand,
}

/// The result of crediting a loan to the borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditOutcome {
    /// The loan can be used until this instant.
    Credited {
        /// End of the lease by the borrower's clock.
        until: Instant,
    },
    /// The loan was credited before.
    Duplicate,
    /// The loan request is unknown, or so old that its loans have expired.
    Late,
    /// The loan contains more tokens than burst.
    Malformed,
}

/// A lender's reply to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalReply {
    /// The loan is extended by a lease from the borrower's send time.
    Extended,
    /// The loan is not extended: it is unknown, or the lender needs the share.
    Declined,
}

/// An action that a borrower takes for one of its loans.
#[derive(Clone, Debug, PartialEq)]
pub enum LoanAction {
    /// Send the lender a request to extend the loan.
    Renew(Renewal),
    /// Return the loan to the lender, because demand no longer needs it.
    Return(LoanReturn),
}

/// A copy of a ledger's state, for operators and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSnapshot {
    /// The team whose limit the ledger enforces.
    pub team: TeamName,
    /// The VM that the ledger belongs to.
    pub vm: VmName,
    /// The incarnation of the ledger.
    pub incarnation: u64,
    /// Version of the last share table that was applied.
    pub table_version: u64,
    /// The base that the share table assigns to the VM.
    pub target: RateShare,
    /// The VM's effective base, including what is lent. It exceeds `target`
    /// while a smaller base waits for loans to end.
    pub base: RateShare,
    /// Whether use of the base is permitted.
    pub base_usable: bool,
    /// Loans to other VMs: id, borrower, share and time of reclaim.
    pub loans_out: Vec<(LoanId, VmName, RateShare, Instant)>,
    /// Loans from other VMs: id, share and time of expiration.
    pub loans_in: Vec<(LoanId, RateShare, Instant)>,
    /// Rate and burst of the bucket.
    pub share: RateShare,
    /// Tokens in the bucket.
    pub tokens: f64,
    /// Number of requests waiting for a token.
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
    /// Number and send time of the latest renewal, until its reply arrives.
    /// Replies to earlier renewals are ignored, because they extend the loan
    /// only from the earlier send time.
    renewal: Option<(u64, Instant)>,
    /// Number of renewals sent.
    renewals: u64,
}

#[derive(Clone, Debug)]
struct OpenLoanRequest {
    sent_at: Instant,
    /// Loans credited for the request, to detect duplicates.
    credited: BTreeSet<LoanId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// The lease of a borrowed loan ends.
    LoanExpires,
    /// The lender may use a lent share again.
    LoanReclaimed,
    /// The start delay ends while use of the base is permitted.
    BaseUsable,
    /// The permission to use the base ends.
    BaseExpires,
}

impl ShareLedger {
    /// Creates a ledger without a base, loans or tokens.
    ///
    /// `incarnation` must be different for every ledger that a VM ever creates
    /// for a team. Otherwise a delayed message from an earlier ledger could be
    /// attributed to this one.
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

    /// Applies the base from a version of the share table; older versions are
    /// ignored.
    ///
    /// A larger base takes effect immediately but adds no tokens. A smaller
    /// base takes effect immediately for the share that is not lent, and for
    /// the remainder as loans end.
    pub fn set_base(&mut self, now: Instant, table_version: u64, base: RateShare) {
        self.advance(now);
        if table_version < self.table_version {
            return;
        }
        self.table_version = table_version;
        self.target = base;
        self.update_bucket_share(now);
    }

    /// Permits use of the base until `until`.
    ///
    /// The caller obtains `until` by a freshness check of its copy of the store
    /// (see [`freshness`](crate::freshness)), and passes the version of the
    /// share table in that copy. Returns false, without effect, if the ledger
    /// has not applied exactly that version, because its base may since have
    /// been assigned to other VMs.
    pub fn allow_base(&mut self, now: Instant, table_version: u64, until: Instant) -> bool {
        self.advance(now);
        if table_version != self.table_version {
            return false;
        }
        self.base_until = Some(until);
        self.base_usable = self.usable_from <= now && now < until;
        self.update_bucket_share(now);
        true
    }

    /// Forbids use of the base immediately. Tokens that exceed the burst of the
    /// borrowed loans are dropped.
    pub fn forbid_base(&mut self, now: Instant) {
        self.advance(now);
        self.base_until = None;
        self.base_usable = false;
        self.update_bucket_share(now);
    }

    /// The share table version whose base is fully in effect, which the VM
    /// acknowledges to the allocator.
    ///
    /// Returns `None` while a smaller base waits for loans to end, and while
    /// loans granted by an earlier incarnation may not have expired.
    pub fn version_in_effect(&mut self, now: Instant) -> Option<u64> {
        self.advance(now);
        let in_effect = now >= self.usable_from && self.base() == self.target;
        in_effect.then_some(self.table_version)
    }

    /// Decides whether a request that has just arrived may run.
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

    /// Decides again whether the first waiting request may run.
    ///
    /// The ledger only counts waiting requests; the caller keeps the queue and
    /// chooses which request is first.
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

    /// Ratio of the measured arrival rate to the current rate of the bucket.
    ///
    /// Above 1, requests arrive faster than they can be admitted. The ratio is
    /// infinite if the rate is zero.
    pub fn overload_ratio(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let rate = self.bucket.share().rate();
        if rate <= 0.0 {
            return f64::INFINITY;
        }
        self.arrivals.per_second(now) / rate
    }

    /// Records that a waiting request was withdrawn or timed out.
    pub fn abandon(&mut self, now: Instant) {
        self.advance(now);
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns a loan request if demand exceeds the current share.
    ///
    /// Returns `None` within [`LedgerConfig::request_interval`] of the previous
    /// request. The lease of every loan granted for the request starts at
    /// `now`, so the caller must send the request immediately.
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
        // A short burst above the rate needs no loan while the bucket is at
        // least half full.
        let is_emptying = missing > 0.0 && self.bucket.tokens() < share.burst() / 2.0;
        if tokens <= 0.0 && !is_emptying {
            return None;
        }
        // Requesting only small deficits would accumulate many loans, each of
        // which has to be renewed separately.
        let rate = missing.max(demand * self.cfg.min_request_fraction);
        // A bucket needs a burst of at least one token to admit anything. It
        // also has to absorb the arrivals until the next loan request.
        let interval = self.cfg.request_interval.as_secs_f64();
        let min_burst = (demand * interval).max(1.0) - share.burst();
        let burst = tokens.max(min_burst).max(rate * interval);
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

    /// Grants a loan from the share that the VM's own demand leaves unused.
    ///
    /// Only the base is lent, never a borrowed share: a loan made from another
    /// loan could outlive the first lender's lease.
    pub fn lend(&mut self, now: Instant, request: &LoanRequest) -> LendOutcome {
        self.advance(now);
        if request.id.borrower == self.vm || !tokens_fit(request.share, request.tokens) {
            return LendOutcome::Declined(LendRefusal::Malformed);
        }
        if self
            .loans_out
            .values()
            .any(|loan| loan.request == request.id)
        {
            return LendOutcome::Declined(LendRefusal::AlreadyLent);
        }
        let spare = match self.spare(now) {
            Ok(spare) => spare,
            Err(refusal) => return LendOutcome::Declined(refusal),
        };
        let share = request.share.min(spare.share);
        if share.is_zero() {
            return LendOutcome::Declined(LendRefusal::OwnDemand);
        }
        let wanted = request.tokens.min(spare.tokens).min(share.burst());
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
        self.update_bucket_share(now);
        LendOutcome::Lent(Loan {
            id,
            request: request.id.clone(),
            share,
            tokens,
        })
    }

    /// Adds a received loan to the bucket, at most once for each loan.
    ///
    /// The loan can be used until a lease after its request was sent. After a
    /// successful credit the caller calls [`ShareLedger::retry`] for the
    /// waiting requests.
    pub fn credit(&mut self, now: Instant, loan: &Loan) -> CreditOutcome {
        self.advance(now);
        if !tokens_fit(loan.share, loan.tokens) {
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
        self.update_bucket_share(now);
        CreditOutcome::Credited { until }
    }

    /// Renewals and returns for the borrowed loans that have passed half of
    /// their lease.
    ///
    /// Loans that demand still needs are renewed, and the others are returned.
    /// The lease of a renewed loan starts at `now`, so the caller must send the
    /// renewals immediately.
    pub fn due_loan_actions(&mut self, now: Instant) -> Vec<LoanAction> {
        self.advance(now);
        let half = self.cfg.loan_lease / 2;
        // A renewal without a reply is repeated after a quarter of a lease, so
        // that a lost message does not end the loan.
        let repeat_after = self.cfg.loan_lease / 4;
        let due: Vec<LoanId> = self
            .loans_in
            .iter()
            .filter(|(_, loan)| loan.expires_at <= now + half)
            .filter(|(_, loan)| loan.renewal.is_none_or(|(_, at)| at + repeat_after <= now))
            .map(|(id, _)| id.clone())
            .collect();
        let mut actions = Vec::with_capacity(due.len());
        for id in due {
            if self.is_needed(&id, now) {
                actions.extend(self.next_renewal(&id, now).map(LoanAction::Renew));
            } else {
                actions.extend(self.return_loan(now, &id).map(LoanAction::Return));
            }
        }
        actions
    }

    /// Extends a loan at a borrower's request, or declines to.
    ///
    /// The lender declines while it needs the share for its own requests or for
    /// a smaller base.
    pub fn renew(&mut self, now: Instant, renewal: &Renewal) -> RenewalReply {
        self.advance(now);
        let own_demand =
            self.waiting > 0 || self.arrivals.per_second(now) > self.unlent_base().rate();
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

    /// Applies a lender's reply to a renewal.
    ///
    /// A reply to an earlier renewal, or for a loan that has ended, has no effect.
    pub fn apply_renewal_reply(&mut self, now: Instant, renewal: &Renewal, reply: RenewalReply) {
        self.advance(now);
        if reply == RenewalReply::Declined {
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

    /// Ends a borrowed loan early and returns the message for the lender.
    ///
    /// A part of the bucket's tokens in proportion to the loan's burst is
    /// withdrawn and returned with the loan. Returns `None` if the loan is not
    /// in effect.
    pub fn return_loan(&mut self, now: Instant, loan: &LoanId) -> Option<LoanReturn> {
        self.advance(now);
        let ended = self.loans_in.remove(loan)?;
        let total_burst = self.bucket.share().burst();
        let fraction = if total_burst > 0.0 {
            (ended.share.burst() / total_burst).min(1.0)
        } else {
            0.0
        };
        let wanted = (self.bucket.tokens() * fraction).min(ended.share.burst());
        let tokens = self.bucket.withdraw(wanted, now);
        self.update_bucket_share(now);
        Some(LoanReturn {
            loan: loan.clone(),
            tokens,
        })
    }

    /// Ends all borrowed loans early. A VM does this when it stops.
    pub fn return_all_loans(&mut self, now: Instant) -> Vec<LoanReturn> {
        let loans: Vec<LoanId> = self.loans_in.keys().cloned().collect();
        loans
            .iter()
            .filter_map(|loan| self.return_loan(now, loan))
            .collect()
    }

    /// Reclaims a loan that its borrower returned, with the unused tokens.
    ///
    /// Returns false, without effect, if the loan is unknown or was reclaimed
    /// before, or if the message contains more tokens than the loan's burst.
    pub fn accept_return(&mut self, now: Instant, returned: &LoanReturn) -> bool {
        self.advance(now);
        let Some(loan) = self.loans_out.get(&returned.loan) else {
            return false;
        };
        if !tokens_fit(loan.share, returned.tokens) {
            return false;
        }
        self.loans_out.remove(&returned.loan);
        self.update_bucket_share(now);
        self.bucket.add_share(RateShare::ZERO, returned.tokens, now);
        true
    }

    /// When the next loan expires or is reclaimed, the permission to use the base
    /// ends, or the base becomes usable. `None` if nothing is pending.
    pub fn next_event_at(&self) -> Option<Instant> {
        self.next_event().map(|(at, _)| at)
    }

    /// A copy of the state at `now`.
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

    /// Processes all expirations up to `now`, in order of time.
    ///
    /// The bucket is refilled at the old rate up to each expiration and at the
    /// new rate after it.
    fn advance(&mut self, now: Instant) {
        while let Some((at, event)) = self.next_event()
            && at <= now
        {
            self.bucket.refill(at);
            match event {
                Event::LoanExpires => self.loans_in.retain(|_, loan| loan.expires_at > at),
                Event::LoanReclaimed => self.loans_out.retain(|_, loan| loan.reclaim_at > at),
                Event::BaseUsable => self.base_usable = true,
                Event::BaseExpires => {
                    self.base_usable = false;
                    self.base_until = None;
                }
            }
            self.update_bucket_share(at);
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
                (self.usable_from, Event::BaseUsable)
            } else {
                (until, Event::BaseExpires)
            }
        });
        expires.chain(reclaimed).chain(base).min_by_key(|e| e.0)
    }

    /// Sets the bucket's share from the usable base and the borrowed loans.
    fn update_bucket_share(&mut self, now: Instant) {
        let base = if self.base_usable {
            self.unlent_base()
        } else {
            RateShare::ZERO
        };
        let share = self
            .loans_in
            .values()
            .fold(base, |sum, loan| sum.plus(loan.share));
        self.bucket.set_share(share, now);
    }

    /// Sum of all loans to other VMs.
    fn lent(&self) -> RateShare {
        self.loans_out
            .values()
            .fold(RateShare::ZERO, |sum, loan| sum.plus(loan.share))
    }

    /// The effective base. It cannot fall below what is lent.
    fn base(&self) -> RateShare {
        self.target.max(self.lent())
    }

    /// The part of the base that is not lent.
    fn unlent_base(&self) -> RateShare {
        self.base().minus(self.lent())
    }

    /// Returns true if the VM has no share to spend and cannot expect one
    /// without new permission or a new loan. The start delay is not isolation,
    /// because it ends by itself.
    fn is_isolated(&self, now: Instant) -> bool {
        !self.base_usable && now >= self.usable_from && self.loans_in.is_empty()
    }

    /// The decision for the waiting request at `position` in the queue, counted
    /// from 1.
    fn wait_for(&mut self, position: u32, now: Instant) -> Admission {
        Admission::Wait {
            retry_at: self.bucket.time_until(position, now).map(|wait| now + wait),
        }
    }

    /// The share and tokens that can be lent now, or why none can.
    fn spare(&self, now: Instant) -> Result<Spare, LendRefusal> {
        if !self.base_usable {
            return Err(LendRefusal::BaseUnusable);
        }
        if self.base() != self.target {
            return Err(LendRefusal::Shrinking);
        }
        let unlent = self.unlent_base();
        if self.waiting > 0 || !self.loans_in.is_empty() || unlent.rate() <= 0.0 {
            return Err(LendRefusal::OwnDemand);
        }
        let demand = self.arrivals.per_second(now) * self.cfg.demand_headroom;
        let fraction = 1.0 - demand / unlent.rate();
        if fraction <= 0.0 {
            return Err(LendRefusal::OwnDemand);
        }
        let lendable = |total: f64| (total * fraction).min(total - self.cfg.lend_reserve);
        let share = RateShare::new(unlent.rate() * fraction, lendable(unlent.burst()).max(0.0));
        Ok(Spare {
            share: share.unwrap_or_default(),
            tokens: lendable(self.bucket.tokens()).max(0.0),
        })
    }

    /// Returns true if requests wait, or demand exceeds the rate that would
    /// remain without the loan.
    fn is_needed(&self, loan: &LoanId, now: Instant) -> bool {
        let borrowed = self.loans_in.get(loan).map_or(RateShare::ZERO, |l| l.share);
        let remaining = self.bucket.share().minus(borrowed);
        let demand = self.arrivals.per_second(now) * self.cfg.demand_headroom;
        self.waiting > 0 || demand > remaining.rate()
    }

    /// Creates the next renewal of a loan and records its send time.
    fn next_renewal(&mut self, id: &LoanId, now: Instant) -> Option<Renewal> {
        let loan = self.loans_in.get_mut(id)?;
        loan.renewals += 1;
        loan.renewal = Some((loan.renewals, now));
        Some(Renewal {
            loan: id.clone(),
            number: loan.renewals,
        })
    }
}

/// The share and tokens that a lender does not need itself.
#[derive(Clone, Copy, Debug)]
struct Spare {
    share: RateShare,
    tokens: f64,
}

/// Exponentially weighted moving average of the arrivals per second.
#[derive(Clone, Debug)]
struct ArrivalRate {
    /// Time constant of the average.
    window: Duration,
    /// The average at `updated_at`.
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

/// The duration in seconds, at least 0.001, so that rates divided by it are finite.
fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64().max(1e-3)
}

/// Returns true if `tokens` is between zero and the burst of `share`.
fn tokens_fit(share: RateShare, tokens: f64) -> bool {
    (0.0..=share.burst()).contains(&tokens)
}
