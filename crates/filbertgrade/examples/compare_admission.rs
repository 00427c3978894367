//! Compares three schemes that keep each team within its rate across ten VMs:
//! a static split of the rate, local buckets of the whole rate with periodic
//! reconciliation, and share ledgers with loans.
//!
//! `cargo run --release -p filbertgrade --example compare_admission -- [--seed N]`
//!
//! Time and message delays are simulated in one thread. The callers of each team
//! use two of the VMs. They send 95% of the team's rate, except for one team whose
//! callers send five times its rate.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use filbertgrade_coord::bucket::{RateShare, TokenBucket};
use filbertgrade_coord::ledger::{
    Admission, LedgerConfig, LendOutcome, Loan, LoanAction, LoanRequest, LoanReturn, Renewal,
    RenewalReply, ShareLedger,
};
use filbertgrade_coord::names::{NameError, TeamName, VmName};
use filbertgrade_standins::caller::{Limit, count_over_rate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Rates per second of the teams in `examples/vandeputte.toml`. Each burst equals the rate.
const TEAMS: [f64; 8] = [300.0, 240.0, 120.0, 90.0, 60.0, 40.0, 30.0, 20.0];
/// Index of the team that sends five times its rate.
const OVERLOADING_TEAM: usize = 2;
const VMS: usize = 10;
/// Number of VMs that a loan is requested from at a time.
const PEERS_PER_LOAN_REQUEST: usize = 3;
/// Time without load at the start, in which the base shares become usable and the buckets fill.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time with load, after the warm-up.
const DURATION: Duration = Duration::from_secs(60);
/// Maximum wait for a token, as in the entry.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Time between two reports of admissions to the other VMs.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);
/// Simulation step, and therefore the resolution of waits.
const TICK: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug)]
enum Scheme {
    /// Each VM has a fixed share of the rate.
    Static,
    /// Each VM has a bucket of the whole rate and reports its admissions to the others.
    Reconciled,
    /// Each VM has a ledger with a share of the rate and requests loans from the others.
    Loans,
}

/// State of one team at one VM.
struct TeamAtVm {
    limiter: Limiter,
    /// Arrival times of waiting requests.
    queue: VecDeque<Instant>,
    /// Counts loan requests, starting at the VM's index. Determines the VMs that receive the next
    /// one.
    loan_requests: usize,
}

enum Limiter {
    Bucket(TokenBucket),
    /// A bucket of the whole rate. Reported admissions of other VMs are subtracted and can make it
    /// negative.
    Reconciled {
        tokens: f64,
        /// Rate per second of the team, and also the capacity of the bucket.
        limit: f64,
        /// Time up to which the bucket is filled.
        filled_at: Instant,
        /// Admissions since the last report to the other VMs.
        unreported: u32,
    },
    Ledger(Box<ShareLedger>),
}

enum Message {
    LoanRequest(LoanRequest),
    Loan(Loan),
    Return(LoanReturn),
    Renew(Renewal),
    RenewalReply(Renewal, RenewalReply),
    /// Number of admissions of the sender since its last report.
    Admitted(u32),
}

enum Event {
    /// A request of a caller arrives.
    Arrival,
    /// A message from the VM with this index arrives.
    Message(usize, Message),
}

struct Simulation {
    start: Instant,
    rng: StdRng,
    /// By the indexes of VM and team.
    team_at_vm: HashMap<(usize, usize), TeamAtVm>,
    /// Time and identifier of each pending event. Events at the same time are in the order in which
    /// they were scheduled.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    /// By identifier: the indexes of VM and team, and the event.
    events: HashMap<u64, (usize, usize, Event)>,
    next_event_id: u64,
    /// Arrival times of all requests, by team.
    sent: Vec<Vec<Instant>>,
    /// Admission times, by team.
    admitted: Vec<Vec<Instant>>,
    /// Waits of the admitted requests of teams that stay within their rate.
    waits_us: Vec<u128>,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let seed = match args.as_slice() {
        [] => 1,
        [flag, seed] if flag == "--seed" => seed.parse()?,
        _ => return Err("usage: compare_admission [--seed N]".into()),
    };
    let mut results = serde_json::Map::new();
    for (name, scheme) in [
        ("static_split", Scheme::Static),
        ("local_with_reconciliation", Scheme::Reconciled),
        ("ledgers_with_loans", Scheme::Loans),
    ] {
        results.insert(name.to_owned(), Simulation::new(scheme, seed)?.run());
    }
    println!(
        "{}",
        serde_json::json!({ "seed": seed, "results": results })
    );
    Ok(())
}

impl Simulation {
    fn new(scheme: Scheme, seed: u64) -> Result<Self, NameError> {
        let start = Instant::now();
        let mut simulation = Simulation {
            start,
            rng: StdRng::seed_from_u64(seed),
            team_at_vm: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event_id: 0,
            sent: vec![Vec::new(); TEAMS.len()],
            admitted: vec![Vec::new(); TEAMS.len()],
            waits_us: Vec::new(),
        };
        for (team, rate) in TEAMS.iter().enumerate() {
            for vm in 0..VMS {
                let state = TeamAtVm {
                    limiter: Limiter::new(scheme, vm, team, start)?,
                    queue: VecDeque::new(),
                    loan_requests: vm,
                };
                simulation.team_at_vm.insert((vm, team), state);
            }
            simulation.schedule_arrivals(team, *rate);
        }
        Ok(simulation)
    }

    /// Schedules the requests of a team's callers. Only this draws random numbers before the
    /// simulation starts, so the arrivals are the same for every scheme.
    fn schedule_arrivals(&mut self, team: usize, limit: f64) {
        let rate = limit * if team == OVERLOADING_TEAM { 5.0 } else { 0.95 };
        let vms = [team % VMS, (team * 3 + 5) % VMS];
        let mut at = WARM_UP;
        loop {
            let unit: f64 = self.rng.random();
            at += Duration::from_secs_f64(-(1.0 - unit).ln() / rate);
            if at >= WARM_UP + DURATION {
                return;
            }
            let vm = vms[self.rng.random_range(0..vms.len())];
            self.schedule(self.start + at, vm, team, Event::Arrival);
        }
    }

    fn schedule(&mut self, at: Instant, vm: usize, team: usize, event: Event) {
        self.queue.push(Reverse((at, self.next_event_id)));
        self.events.insert(self.next_event_id, (vm, team, event));
        self.next_event_id += 1;
    }

    /// Schedules the arrival of a message at VM `to`.
    fn send(&mut self, now: Instant, from: usize, to: usize, team: usize, message: Message) {
        // One-way latencies within a region and between regions, as in `examples/vandeputte.toml`.
        // VMs are assigned to its three regions in turn.
        let ms = if from % 3 == to % 3 { 0.5 } else { 55.0 };
        let jitter: f64 = self.rng.random_range(1.0..1.1);
        let at = now + Duration::from_secs_f64(ms * jitter / 1_000.0);
        self.schedule(at, to, team, Event::Message(from, message));
    }

    fn run(mut self) -> serde_json::Value {
        let mut now = self.start;
        let mut reconcile_at = now + RECONCILE_INTERVAL;
        while now < self.start + WARM_UP + DURATION + Duration::from_secs(1) {
            now += TICK;
            while let Some(Reverse((at, id))) = self.queue.peek().copied()
                && at <= now
            {
                self.queue.pop();
                if let Some((vm, team, event)) = self.events.remove(&id) {
                    self.handle(at, vm, team, event);
                }
            }
            let reconcile = now >= reconcile_at;
            if reconcile {
                reconcile_at += RECONCILE_INTERVAL;
            }
            for vm in 0..VMS {
                for team in 0..TEAMS.len() {
                    self.serve_waiting(now, vm, team);
                    self.send_ledger_messages(now, vm, team);
                    if reconcile {
                        self.report_admissions(now, vm, team);
                    }
                }
            }
        }
        self.report()
    }

    fn handle(&mut self, now: Instant, vm: usize, team: usize, event: Event) {
        match event {
            Event::Arrival => {
                self.sent[team].push(now);
                if let Some(state) = self.team_at_vm.get_mut(&(vm, team)) {
                    match state.arrive(now) {
                        Some(true) => {
                            self.admitted[team].push(now);
                            if team != OVERLOADING_TEAM {
                                self.waits_us.push(0);
                            }
                        }
                        Some(false) => state.queue.push_back(now),
                        None => {}
                    }
                }
            }
            Event::Message(from, message) => {
                let state = self.team_at_vm.get_mut(&(vm, team));
                if let Some(reply) = state.and_then(|state| state.limiter.receive(now, message)) {
                    self.send(now, vm, from, team, reply);
                }
                self.serve_waiting(now, vm, team);
            }
        }
    }

    /// Admits waiting requests as far as there are tokens, and drops those that waited too long.
    fn serve_waiting(&mut self, now: Instant, vm: usize, team: usize) {
        let Some(state) = self.team_at_vm.get_mut(&(vm, team)) else {
            return;
        };
        while let Some(arrived) = state.queue.front().copied() {
            if now >= arrived + MAX_WAIT {
                state.limiter.abandon(now);
            } else if state.limiter.try_take(now) {
                self.admitted[team].push(now);
                if team != OVERLOADING_TEAM {
                    self.waits_us.push((now - arrived).as_micros());
                }
            } else {
                return;
            }
            state.queue.pop_front();
        }
    }

    /// Sends the renewals, returns and loan requests that a ledger has due.
    fn send_ledger_messages(&mut self, now: Instant, vm: usize, team: usize) {
        let Some(state) = self.team_at_vm.get_mut(&(vm, team)) else {
            return;
        };
        let Limiter::Ledger(ledger) = &mut state.limiter else {
            return;
        };
        let mut out = Vec::new();
        for action in ledger.due_loan_actions(now) {
            match action {
                LoanAction::Renew(r) => out.push((vm_index(&r.loan.lender), Message::Renew(r))),
                LoanAction::Return(r) => out.push((vm_index(&r.loan.lender), Message::Return(r))),
            }
        }
        if let Some(total) = ledger.request_loan(now) {
            let fraction = 1.0 / PEERS_PER_LOAN_REQUEST as f64;
            let share = total.share.scaled(fraction);
            for n in 0..PEERS_PER_LOAN_REQUEST {
                let peer =
                    (vm + 1 + (state.loan_requests * PEERS_PER_LOAN_REQUEST + n) % (VMS - 1)) % VMS;
                let request = LoanRequest {
                    id: total.id.clone(),
                    share,
                    tokens: (total.tokens * fraction).ceil().min(share.burst()),
                };
                out.push((peer, Message::LoanRequest(request)));
            }
            state.loan_requests += 1;
        }
        for (to, message) in out {
            self.send(now, vm, to, team, message);
        }
    }

    /// Reports the number of new admissions to all other VMs.
    fn report_admissions(&mut self, now: Instant, vm: usize, team: usize) {
        let state = self.team_at_vm.get_mut(&(vm, team));
        let Some(Limiter::Reconciled { unreported, .. }) = state.map(|state| &mut state.limiter)
        else {
            return;
        };
        let count = std::mem::take(unreported);
        for to in (0..VMS).filter(|to| *to != vm && count > 0) {
            self.send(now, vm, to, team, Message::Admitted(count));
        }
    }

    fn report(mut self) -> serde_json::Value {
        let (mut over, mut refused_within, mut refused_overloading, mut sent) = (0, 0, 0, 0);
        for (team, rate) in TEAMS.iter().enumerate() {
            let limit = Limit {
                rate: *rate,
                burst: *rate,
            };
            over += count_over_rate(&self.admitted[team], limit, Duration::ZERO);
            let calls = self.sent[team].len() as u64;
            let admissible = calls - count_over_rate(&self.sent[team], limit, Duration::ZERO);
            let refused = admissible.saturating_sub(self.admitted[team].len() as u64);
            if team == OVERLOADING_TEAM {
                refused_overloading += refused;
            } else {
                refused_within += refused;
                sent += calls;
            }
        }
        self.waits_us.sort_unstable();
        let wait_ms = |q: f64| {
            let last = self.waits_us.len().saturating_sub(1);
            let us = self.waits_us.get((last as f64 * q) as usize);
            us.map_or(0.0, |us| *us as f64 / 1_000.0)
        };
        serde_json::json!({
            "over_rate": over,
            "sent_within_rate": sent,
            "refused_within_rate": refused_within,
            "refused_within_rate_of_greedy_team": refused_overloading,
            "wait_ms_within_rate": { "p50": wait_ms(0.5), "p99": wait_ms(0.99) },
        })
    }
}

impl TeamAtVm {
    /// Decides on a new request. Returns `Some(true)` if it is admitted immediately, `Some(false)`
    /// if it has to wait, and `None` if it is refused.
    fn arrive(&mut self, now: Instant) -> Option<bool> {
        if let Limiter::Ledger(ledger) = &mut self.limiter {
            return match ledger.admit(now) {
                Admission::Admitted => Some(true),
                Admission::Wait { .. } => Some(false),
                Admission::Refused(_) => None,
            };
        }
        Some(self.queue.is_empty() && self.limiter.try_take(now))
    }
}

impl Limiter {
    fn new(scheme: Scheme, vm: usize, team: usize, now: Instant) -> Result<Self, NameError> {
        let limit = RateShare::new(TEAMS[team], TEAMS[team]).unwrap_or_default();
        let share = limit.scaled(1.0 / VMS as f64);
        Ok(match scheme {
            Scheme::Static => Limiter::Bucket(TokenBucket::new(share, now)),
            Scheme::Reconciled => Limiter::Reconciled {
                tokens: 0.0,
                limit: TEAMS[team],
                filled_at: now,
                unreported: 0,
            },
            Scheme::Loans => {
                let name = TeamName::try_from(format!("team-{team}").as_str())?;
                let vm = VmName::try_from(format!("vm-{vm}").as_str())?;
                let mut ledger = ShareLedger::new(name, vm, 1, LedgerConfig::default(), now);
                ledger.set_base(now, 1, share);
                ledger.allow_base(now, 1, now + Duration::from_secs(3_600));
                Limiter::Ledger(Box::new(ledger))
            }
        })
    }

    /// Takes one token if there is one.
    fn try_take(&mut self, now: Instant) -> bool {
        match self {
            Limiter::Bucket(bucket) => bucket.try_take(now),
            Limiter::Ledger(ledger) => ledger.retry(now) == Admission::Admitted,
            Limiter::Reconciled {
                tokens,
                limit,
                filled_at,
                unreported,
            } => {
                let elapsed_s = now.saturating_duration_since(*filled_at).as_secs_f64();
                *filled_at = now.max(*filled_at);
                *tokens = (*tokens + *limit * elapsed_s).min(*limit);
                if *tokens < 1.0 {
                    return false;
                }
                *tokens -= 1.0;
                *unreported += 1;
                true
            }
        }
    }

    /// Gives up the wait of one request.
    fn abandon(&mut self, now: Instant) {
        if let Limiter::Ledger(ledger) = self {
            ledger.abandon(now);
        }
    }

    /// Processes a message from another VM and returns the reply, if there is one.
    fn receive(&mut self, now: Instant, message: Message) -> Option<Message> {
        match (self, message) {
            (Limiter::Reconciled { tokens, .. }, Message::Admitted(count)) => {
                *tokens -= f64::from(count);
            }
            (Limiter::Ledger(ledger), message) => match message {
                Message::LoanRequest(request) => {
                    if let LendOutcome::Lent(loan) = ledger.lend(now, &request) {
                        return Some(Message::Loan(loan));
                    }
                }
                Message::Loan(loan) => {
                    ledger.credit(now, &loan);
                }
                Message::Return(returned) => {
                    ledger.accept_return(now, &returned);
                }
                Message::Renew(renewal) => {
                    let reply = ledger.renew(now, &renewal);
                    return Some(Message::RenewalReply(renewal, reply));
                }
                Message::RenewalReply(renewal, reply) => {
                    ledger.apply_renewal_reply(now, &renewal, reply);
                }
                Message::Admitted(_) => {}
            },
            _ => {}
        }
        None
    }
}

/// Returns the index of a VM, which is the last part of its name.
fn vm_index(name: &VmName) -> usize {
    let index = name.as_str().rsplit('-').next();
    index.and_then(|index| index.parse().ok()).unwrap_or(0)
}
