//! A simulated fleet of ledgers with an unreliable network, an allocator and
//! checks of the team's limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertgrade_coord::bucket::RateShare;
use filbertgrade_coord::lease::FencingToken;
use filbertgrade_coord::ledger::{
    Admission, CreditOutcome, LedgerConfig, LedgerSnapshot, LendOutcome, Loan, LoanAction,
    LoanRequest, LoanReturn, Renewal, RenewalReply, ShareLedger,
};
use filbertgrade_coord::names::{TeamName, VmName};
use filbertgrade_coord::share_table::{
    AllocatorView, Presence, ShareTable, TableStep, UNITS, next_step,
};

/// Time for which a copy of the share table permits use of the base.
pub(crate) const FRESH_FOR: Duration = Duration::from_secs(5);

/// Tolerance for rounding errors in sums of shares and tokens.
const EPSILON: f64 = 1e-6;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Message {
    LoanRequest(LoanRequest),
    Loan(Loan),
    Renew(VmName, Renewal),
    RenewReply(Renewal, RenewalReply),
    LoanReturn(LoanReturn),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Op {
    /// Advances the time by this number of milliseconds.
    Advance(u64),
    /// Admits requests until one has to wait.
    Spend(usize),
    RequestLoan(usize),
    /// Sends the renewals and returns that are due.
    RunDueActions(usize),
    ReturnLoans(usize),
    /// Withdraws a waiting request.
    Abandon(usize),
    /// Delivers the message at this position in the network.
    Deliver(usize),
    /// Delivers the message at this position and keeps a copy in the network.
    Duplicate(usize),
    /// Drops the message at this position.
    Lose(usize),
    /// Replaces a VM's ledger by one of a new incarnation.
    Crash(usize),
    /// Pauses a VM: it performs no operation and receives no message.
    Pause(usize),
    Resume(usize),
    /// Applies the current share table at a VM and permits use of the base for 5 s.
    ApplyTable(usize),
    /// Removes a VM from the platform's list.
    Unlist(usize),
    List(usize),
    /// Runs one step of the allocator.
    Allocate,
}

#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) limit: RateShare,
    pub(crate) ledgers: Vec<ShareLedger>,
    /// Messages in transit, with the index of the VM that receives them.
    pub(crate) network: Vec<(usize, Message)>,
    /// Times of all admissions in the fleet.
    pub(crate) admitted: Vec<Instant>,
    paused: Vec<bool>,
    incarnation: u64,
    table: ShareTable,
    table_since: Instant,
    presence: BTreeMap<VmName, Presence>,
    acks: BTreeMap<VmName, u64>,
}

impl Fleet {
    /// Creates a fleet in which the start delay has ended and every VM may use
    /// its base.
    pub(crate) fn new(limit: RateShare, units: &[u32]) -> Self {
        let start = Instant::now();
        let names: Vec<VmName> = (0..units.len()).map(vm).collect();
        let units = names.iter().cloned().zip(units.iter().copied()).collect();
        let mut fleet = Self {
            now: start,
            limit,
            ledgers: names.iter().map(|name| ledger(name, 0, start)).collect(),
            network: Vec::new(),
            admitted: Vec::new(),
            paused: vec![false; names.len()],
            incarnation: 0,
            table: ShareTable::new(1, FencingToken::new(1), units).unwrap(),
            table_since: start,
            presence: names.iter().map(|n| (n.clone(), Presence::Live)).collect(),
            acks: BTreeMap::new(),
        };
        fleet.now += LedgerConfig::default().start_delay();
        for i in 0..names.len() {
            fleet.apply(Op::ApplyTable(i));
        }
        fleet
    }

    /// Applies an operation without checks. Numbers of VMs and messages wrap around.
    fn apply(&mut self, op: Op) {
        let now = self.now;
        let count = self.ledgers.len();
        match op {
            Op::Advance(millis) => self.now += Duration::from_millis(millis),
            Op::Allocate => self.allocate(),
            Op::Deliver(i) if !self.network.is_empty() => {
                let (to, message) = self.network.remove(i % self.network.len());
                self.receive(to, message);
            }
            Op::Duplicate(i) if !self.network.is_empty() => {
                let (to, message) = self.network[i % self.network.len()].clone();
                self.receive(to, message);
            }
            Op::Lose(i) if !self.network.is_empty() => {
                self.network.remove(i % self.network.len());
            }
            Op::Deliver(_) | Op::Duplicate(_) | Op::Lose(_) => {}
            Op::Crash(i) => {
                self.incarnation += 1;
                self.ledgers[i % count] = ledger(&vm(i % count), self.incarnation, now);
                self.paused[i % count] = false;
            }
            Op::Pause(i) => self.paused[i % count] = true,
            Op::Resume(i) => self.paused[i % count] = false,
            Op::Unlist(i) => {
                let presence = self.presence.get_mut(&vm(i % count)).unwrap();
                if *presence == Presence::Live {
                    *presence = Presence::AbsentSince(now);
                }
            }
            Op::List(i) => {
                self.presence.insert(vm(i % count), Presence::Live);
            }
            Op::Spend(i)
            | Op::RequestLoan(i)
            | Op::RunDueActions(i)
            | Op::ReturnLoans(i)
            | Op::Abandon(i)
            | Op::ApplyTable(i) => {
                if !self.paused[i % count] {
                    self.act(i % count, op);
                }
            }
        }
    }

    /// Applies an operation of a single running VM.
    fn act(&mut self, i: usize, op: Op) {
        let now = self.now;
        let ledger = &mut self.ledgers[i];
        match op {
            Op::Spend(_) => {
                while ledger.snapshot(now).waiting > 0 && ledger.retry(now) == Admission::Admitted {
                    self.admitted.push(now);
                }
                while ledger.snapshot(now).waiting == 0 && ledger.admit(now) == Admission::Admitted
                {
                    self.admitted.push(now);
                }
            }
            Op::RequestLoan(_) => {
                if let Some(request) = ledger.request_loan(now) {
                    for to in (0..self.ledgers.len()).filter(|to| *to != i) {
                        self.network
                            .push((to, Message::LoanRequest(request.clone())));
                    }
                }
            }
            Op::RunDueActions(_) => {
                for action in ledger.due_loan_actions(now) {
                    self.network.push(match action {
                        LoanAction::Renew(r) => (index(&r.loan.lender), Message::Renew(vm(i), r)),
                        LoanAction::Return(r) => (index(&r.loan.lender), Message::LoanReturn(r)),
                    });
                }
            }
            Op::ReturnLoans(_) => {
                for r in ledger.return_all_loans(now) {
                    self.network
                        .push((index(&r.loan.lender), Message::LoanReturn(r)));
                }
            }
            Op::Abandon(_) => ledger.abandon(now),
            _ => {
                let version = self.table.version();
                ledger.set_base(now, version, self.table.share(&vm(i), self.limit));
                assert!(ledger.allow_base(now, version, now + FRESH_FOR));
                if let Some(version) = ledger.version_in_effect(now) {
                    self.acks.insert(vm(i), version);
                }
            }
        }
    }

    /// Delivers a message. A paused VM loses it, because the senders' calls time
    /// out before the VM resumes.
    fn receive(&mut self, to: usize, message: Message) {
        if self.paused[to] {
            return;
        }
        let (now, ledger) = (self.now, &mut self.ledgers[to]);
        match message {
            Message::LoanRequest(request) => {
                if let LendOutcome::Lent(loan) = ledger.lend(now, &request) {
                    let to = index(&request.id.borrower);
                    self.network.push((to, Message::Loan(loan)));
                }
            }
            Message::Loan(loan) => {
                ledger.credit(now, &loan);
            }
            Message::Renew(from, renewal) => {
                let reply = ledger.renew(now, &renewal);
                self.network
                    .push((index(&from), Message::RenewReply(renewal, reply)));
            }
            Message::RenewReply(renewal, reply) => ledger.apply_renewal_reply(now, &renewal, reply),
            Message::LoanReturn(returned) => {
                ledger.accept_return(now, &returned);
            }
        }
    }

    fn allocate(&mut self) {
        let view = AllocatorView {
            token: FencingToken::new(1),
            table: &self.table,
            table_since: self.table_since,
            vms: &self.presence,
            acks: &self.acks,
        };
        if let TableStep::Publish(table) = next_step(view, self.now) {
            assert!(table.units().values().sum::<u32>() <= UNITS);
            self.table = table;
            self.table_since = self.now;
        }
    }

    /// Applies an operation. Then checks that the shares and tokens of all VMs
    /// add up to no more than the limit, and that no interval contains more
    /// admissions than the limit allows.
    pub(crate) fn step(&mut self, op: Op) -> Result<(), String> {
        let (tokens_before, checked, started_at) = (self.tokens(), self.admitted.len(), self.now);
        self.apply(op);
        let snapshots = self.snapshots();
        let sum = snapshots
            .iter()
            .fold(RateShare::ZERO, |sum, s| sum.plus(s.share));
        if sum.rate() > self.limit.rate() + EPSILON || sum.burst() > self.limit.burst() + EPSILON {
            return Err(format!("shares add up to {sum:?}"));
        }
        if let Some(over) = snapshots
            .iter()
            .find(|s| s.tokens > s.share.burst() + EPSILON)
        {
            return Err(format!("more tokens than burst: {over:?}"));
        }
        let filled = self.limit.rate() * self.now.duration_since(started_at).as_secs_f64();
        let spent = (self.admitted.len() - checked) as f64;
        if self.tokens() > tokens_before + filled - spent + EPSILON {
            return Err(format!("{tokens_before} tokens became {}", self.tokens()));
        }
        for (j, last) in self.admitted.iter().enumerate().skip(checked) {
            for (i, first) in self.admitted[..=j].iter().enumerate() {
                let length = last.duration_since(*first).as_secs_f64();
                let most = self.limit.burst() + self.limit.rate() * length + EPSILON;
                if (j - i + 1) as f64 > most {
                    return Err(format!("{} admitted within {length} s", j - i + 1));
                }
            }
        }
        Ok(())
    }

    /// The current state of each VM's ledger, whether the VM is paused or not.
    fn snapshots(&self) -> Vec<LedgerSnapshot> {
        (self.ledgers.iter().cloned())
            .map(|mut ledger| ledger.snapshot(self.now))
            .collect()
    }

    /// All tokens in the fleet, including those in transit that the receiver
    /// would accept.
    fn tokens(&self) -> f64 {
        let in_transit = self.network.iter().map(|(to, message)| {
            let mut ledger = self.ledgers[*to].clone();
            match message {
                Message::Loan(loan) => match ledger.credit(self.now, loan) {
                    CreditOutcome::Credited { .. } => loan.tokens,
                    _ => 0.0,
                },
                Message::LoanReturn(returned) if ledger.accept_return(self.now, returned) => {
                    returned.tokens
                }
                _ => 0.0,
            }
        });
        let snapshots = self.snapshots();
        snapshots.iter().map(|s| s.tokens).chain(in_transit).sum()
    }
}

pub(crate) fn vm(i: usize) -> VmName {
    VmName::try_from(format!("vm-{i}").as_str()).unwrap()
}

pub(crate) fn index(vm: &VmName) -> usize {
    vm.as_str()[3..].parse().unwrap()
}

fn ledger(vm: &VmName, incarnation: u64, now: Instant) -> ShareLedger {
    let team = TeamName::try_from("orders").unwrap();
    ShareLedger::new(team, vm.clone(), incarnation, LedgerConfig::default(), now)
}
