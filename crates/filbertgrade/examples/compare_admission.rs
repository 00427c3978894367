//! Compares three ways to keep teams within their rate over ten VMs.
//!
//! `cargo run --release -p filbertgrade --example compare_admission -- [--seed N]`
//!
//! Time and message delays are simulated in one thread. Each team's callers
//! use two of the VMs and send 95% of its rate, one team five times its rate.

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

/// Rates of the teams in `examples/vandeputte.toml`; bursts are equal to them.
const TEAMS: [f64; 8] = [300.0, 240.0, 120.0, 90.0, 60.0, 40.0, 30.0, 20.0];
/// The team that sends five times its rate.
const GREEDY: usize = 2;
const VMS: usize = 10;
const PEERS_PER_ASK: usize = 3;
/// Time without load, in which shares open and buckets fill.
const WARM_UP: Duration = Duration::from_secs(5);
const DURATION: Duration = Duration::from_secs(60);
/// Longest wait for a token, as in the entry.
const LONGEST_WAIT: Duration = Duration::from_millis(500);
const RECONCILE: Duration = Duration::from_millis(250);
/// Resolution of waits.
const TICK: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug)]
enum Scheme {
    Static,
    Reconciled,
    Loans,
}

/// One team at one VM.
struct Cell {
    limiter: Limiter,
    /// Arrival times of waiting requests.
    queue: VecDeque<Instant>,
    asks: usize,
}

enum Limiter {
    Bucket(TokenBucket),
    /// A bucket of the whole limit that other VMs' admissions overdraw.
    Shared {
        tokens: f64,
        limit: f64,
        at: Instant,
        unreported: u32,
    },
    Ledger(Box<ShareLedger>),
}

enum Message {
    Ask(LoanRequest),
    Parcel(Loan),
    Return(LoanReturn),
    Renew(Renewal),
    Renewed(Renewal, RenewalReply),
    Admitted(u32),
}

enum Event {
    Arrival,
    /// A message from a VM.
    Message(usize, Message),
}

struct World {
    start: Instant,
    rng: StdRng,
    cells: HashMap<(usize, usize), Cell>,
    /// Time, order, and the index of VM and team with the event.
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    bodies: HashMap<u64, (usize, usize, Event)>,
    next: u64,
    sent: Vec<Vec<Instant>>,
    admitted: Vec<Vec<Instant>>,
    /// Waits of the requests of the teams within their rate.
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
        results.insert(name.to_owned(), World::new(scheme, seed)?.run());
    }
    println!(
        "{}",
        serde_json::json!({ "seed": seed, "results": results })
    );
    Ok(())
}

impl World {
    fn new(scheme: Scheme, seed: u64) -> Result<Self, NameError> {
        let start = Instant::now();
        let mut world = World {
            start,
            rng: StdRng::seed_from_u64(seed),
            cells: HashMap::new(),
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next: 0,
            sent: vec![Vec::new(); TEAMS.len()],
            admitted: vec![Vec::new(); TEAMS.len()],
            waits_us: Vec::new(),
        };
        for (team, rate) in TEAMS.iter().enumerate() {
            for vm in 0..VMS {
                let cell = Cell {
                    limiter: Limiter::new(scheme, vm, team, start)?,
                    queue: VecDeque::new(),
                    asks: vm,
                };
                world.cells.insert((vm, team), cell);
            }
            world.plan_arrivals(team, *rate);
        }
        Ok(world)
    }

    /// Plans the same arrivals for every scheme, since it draws first.
    fn plan_arrivals(&mut self, team: usize, limit: f64) {
        let rate = limit * if team == GREEDY { 5.0 } else { 0.95 };
        let vms = [team % VMS, (team * 3 + 5) % VMS];
        let mut at = WARM_UP;
        loop {
            let unit: f64 = self.rng.random();
            at += Duration::from_secs_f64(-(1.0 - unit).ln() / rate);
            if at >= WARM_UP + DURATION {
                return;
            }
            let vm = vms[self.rng.random_range(0..vms.len())];
            self.plan(self.start + at, vm, team, Event::Arrival);
        }
    }

    fn plan(&mut self, at: Instant, vm: usize, team: usize, event: Event) {
        self.events.push(Reverse((at, self.next)));
        self.bodies.insert(self.next, (vm, team, event));
        self.next += 1;
    }

    fn send(&mut self, now: Instant, from: usize, to: usize, team: usize, message: Message) {
        // One-way latencies of the deployment: VMs take turns over its regions.
        let ms = if from % 3 == to % 3 { 0.5 } else { 55.0 };
        let jitter: f64 = self.rng.random_range(1.0..1.1);
        let at = now + Duration::from_secs_f64(ms * jitter / 1_000.0);
        self.plan(at, to, team, Event::Message(from, message));
    }

    fn run(mut self) -> serde_json::Value {
        let mut now = self.start;
        let mut reconcile_at = now + RECONCILE;
        while now < self.start + WARM_UP + DURATION + Duration::from_secs(1) {
            now += TICK;
            while let Some(Reverse((at, id))) = self.events.peek().copied()
                && at <= now
            {
                self.events.pop();
                if let Some((vm, team, event)) = self.bodies.remove(&id) {
                    self.handle(at, vm, team, event);
                }
            }
            let reconcile = now >= reconcile_at;
            if reconcile {
                reconcile_at += RECONCILE;
            }
            for vm in 0..VMS {
                for team in 0..TEAMS.len() {
                    self.serve(now, vm, team);
                    self.settle(now, vm, team);
                    if reconcile {
                        self.reconcile(now, vm, team);
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
                if let Some(cell) = self.cells.get_mut(&(vm, team)) {
                    match cell.arrive(now) {
                        Some(true) => {
                            self.admitted[team].push(now);
                            if team != GREEDY {
                                self.waits_us.push(0);
                            }
                        }
                        Some(false) => cell.queue.push_back(now),
                        None => {}
                    }
                }
            }
            Event::Message(from, message) => {
                let cell = self.cells.get_mut(&(vm, team));
                if let Some(reply) = cell.and_then(|cell| cell.limiter.take(now, message)) {
                    self.send(now, vm, from, team, reply);
                }
                self.serve(now, vm, team);
            }
        }
    }

    fn serve(&mut self, now: Instant, vm: usize, team: usize) {
        let Some(cell) = self.cells.get_mut(&(vm, team)) else {
            return;
        };
        while let Some(arrived) = cell.queue.front().copied() {
            if now >= arrived + LONGEST_WAIT {
                cell.limiter.abandon(now);
            } else if cell.limiter.retry(now) {
                self.admitted[team].push(now);
                if team != GREEDY {
                    self.waits_us.push((now - arrived).as_micros());
                }
            } else {
                return;
            }
            cell.queue.pop_front();
        }
    }

    /// Sends what a ledger has to say.
    fn settle(&mut self, now: Instant, vm: usize, team: usize) {
        let Some(cell) = self.cells.get_mut(&(vm, team)) else {
            return;
        };
        let Limiter::Ledger(ledger) = &mut cell.limiter else {
            return;
        };
        let mut out = Vec::new();
        for action in ledger.due_loan_actions(now) {
            match action {
                LoanAction::Renew(r) => out.push((vm_of(&r.loan.lender), Message::Renew(r))),
                LoanAction::Return(r) => out.push((vm_of(&r.loan.lender), Message::Return(r))),
            }
        }
        if let Some(ask) = ledger.request_loan(now) {
            let fraction = 1.0 / PEERS_PER_ASK as f64;
            let share = ask.share.scaled(fraction);
            for n in 0..PEERS_PER_ASK {
                let peer = (vm + 1 + (cell.asks * PEERS_PER_ASK + n) % (VMS - 1)) % VMS;
                let ask = LoanRequest {
                    id: ask.id.clone(),
                    share,
                    tokens: (ask.tokens * fraction).ceil().min(share.burst()),
                };
                out.push((peer, Message::Ask(ask)));
            }
            cell.asks += 1;
        }
        for (to, message) in out {
            self.send(now, vm, to, team, message);
        }
    }

    fn reconcile(&mut self, now: Instant, vm: usize, team: usize) {
        let cell = self.cells.get_mut(&(vm, team));
        let Some(Limiter::Shared { unreported, .. }) = cell.map(|cell| &mut cell.limiter) else {
            return;
        };
        let count = std::mem::take(unreported);
        for to in (0..VMS).filter(|to| *to != vm && count > 0) {
            self.send(now, vm, to, team, Message::Admitted(count));
        }
    }

    fn report(mut self) -> serde_json::Value {
        let (mut over, mut within, mut within_greedy, mut sent) = (0, 0, 0, 0);
        for (team, rate) in TEAMS.iter().enumerate() {
            let limit = Limit {
                rate: *rate,
                burst: *rate,
            };
            over += count_over_rate(&self.admitted[team], limit, Duration::ZERO);
            let calls = self.sent[team].len() as u64;
            let admissible = calls - count_over_rate(&self.sent[team], limit, Duration::ZERO);
            let refused = admissible.saturating_sub(self.admitted[team].len() as u64);
            if team == GREEDY {
                within_greedy += refused;
            } else {
                within += refused;
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
            "refused_within_rate": within,
            "refused_within_rate_of_greedy_team": within_greedy,
            "wait_ms_within_rate": { "p50": wait_ms(0.5), "p99": wait_ms(0.99) },
        })
    }
}

impl Cell {
    /// Decides about a new request: `Some(true)` if it is admitted at once,
    /// `Some(false)` if it waits, and `None` if it is refused.
    fn arrive(&mut self, now: Instant) -> Option<bool> {
        if let Limiter::Ledger(ledger) = &mut self.limiter {
            return match ledger.admit(now) {
                Admission::Admitted => Some(true),
                Admission::Wait { .. } => Some(false),
                Admission::Refused(_) => None,
            };
        }
        Some(self.queue.is_empty() && self.limiter.retry(now))
    }
}

impl Limiter {
    fn new(scheme: Scheme, vm: usize, team: usize, now: Instant) -> Result<Self, NameError> {
        let limit = RateShare::new(TEAMS[team], TEAMS[team]).unwrap_or_default();
        let share = limit.scaled(1.0 / VMS as f64);
        Ok(match scheme {
            Scheme::Static => Limiter::Bucket(TokenBucket::new(share, now)),
            Scheme::Reconciled => Limiter::Shared {
                tokens: 0.0,
                limit: TEAMS[team],
                at: now,
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

    fn retry(&mut self, now: Instant) -> bool {
        match self {
            Limiter::Bucket(bucket) => bucket.try_take(now),
            Limiter::Ledger(ledger) => ledger.retry(now) == Admission::Admitted,
            Limiter::Shared {
                tokens,
                limit,
                at,
                unreported,
            } => {
                let passed = now.saturating_duration_since(*at).as_secs_f64();
                *at = now.max(*at);
                *tokens = (*tokens + *limit * passed).min(*limit);
                if *tokens < 1.0 {
                    return false;
                }
                *tokens -= 1.0;
                *unreported += 1;
                true
            }
        }
    }

    fn abandon(&mut self, now: Instant) {
        if let Limiter::Ledger(ledger) = self {
            ledger.abandon(now);
        }
    }

    /// Takes a message in, and returns the reply.
    fn take(&mut self, now: Instant, message: Message) -> Option<Message> {
        match (self, message) {
            (Limiter::Shared { tokens, .. }, Message::Admitted(count)) => {
                *tokens -= f64::from(count);
            }
            (Limiter::Ledger(ledger), message) => match message {
                Message::Ask(ask) => {
                    if let LendOutcome::Lent(parcel) = ledger.lend(now, &ask) {
                        return Some(Message::Parcel(parcel));
                    }
                }
                Message::Parcel(parcel) => {
                    ledger.credit(now, &parcel);
                }
                Message::Return(returned) => {
                    ledger.accept_return(now, &returned);
                }
                Message::Renew(renewal) => {
                    let answer = ledger.renew(now, &renewal);
                    return Some(Message::Renewed(renewal, answer));
                }
                Message::Renewed(renewal, answer) => {
                    ledger.apply_renewal_reply(now, &renewal, answer);
                }
                Message::Admitted(_) => {}
            },
            _ => {}
        }
        None
    }
}

/// Index of a VM, whose name ends in it.
fn vm_of(name: &VmName) -> usize {
    let index = name.as_str().rsplit('-').next();
    index.and_then(|index| index.parse().ok()).unwrap_or(0)
}
