//! Tests of the slot book: scenario files and random runs.
//!
//! Script commands: `advance MS`, `endpoint NAME SLOTS [cold]`, `drain NAME`,
//! `undrain NAME`, `cool NAME`, `acquire TEAM [local|remote] [DEADLINE_MS] [COUNT]`,
//! `release PERMIT`, `renew PERMIT`, `adopt NAME`, `cancel TICKET`, `expire all`,
//! `show all`.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{EndpointName, TeamName, VmName};
use filbertgrade_coord::slots::{
    AcquireOutcome, Grant, Origin, PermitId, QueuedGrant, SlotConfig, SlotPool, SlotRequest,
    Temperature, Ticket,
};
use goldenscript::{Command, Context};
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::TestCaseError;
use rstest::rstest;

struct Runner {
    start: Instant,
    now: Instant,
    book: SlotPool,
    tickets: BTreeMap<u64, Ticket>,
}

impl Runner {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            now: start,
            book: SlotPool::new(1, SlotConfig::default()),
            tickets: BTreeMap::new(),
        }
    }

    fn grant(&self, grant: &Grant) -> String {
        let until = grant.until.duration_since(self.start).as_millis();
        format!(
            "permit {} on {} until {until}",
            grant.permit.number, grant.endpoint
        )
    }

    fn late(&self, granted: &[QueuedGrant]) -> String {
        let line = |late: &QueuedGrant| {
            let (team, ticket) = (&late.request.team, late.ticket.get());
            format!("{team} ticket {ticket}: {}\n", self.grant(&late.grant))
        };
        granted.iter().map(line).collect()
    }

    fn show(&self) -> String {
        let s = self.book.snapshot(self.now);
        let endpoint = s.endpoints.iter().map(|e| {
            let drain = if e.draining { " draining" } else { "" };
            format!(
                "{}: {} of {} open of {}{drain}\n",
                e.name, e.in_use, e.open, e.slots
            )
        });
        let waiting = s
            .waiting
            .iter()
            .map(|(team, n)| format!("{team} waits: {n}\n"));
        endpoint.chain(waiting).collect()
    }
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let first = args.next_pos().ok_or("an argument is missing")?;
        let now = self.now;
        let permit = |s: &str| -> Result<PermitId, Box<dyn Error>> {
            Ok(PermitId {
                incarnation: 1,
                number: s.parse()?,
            })
        };
        Ok(match command.name.as_str() {
            "advance" => {
                self.now += Duration::from_millis(first.parse()?);
                format!("at {}", self.now.duration_since(self.start).as_millis())
            }
            "endpoint" => {
                let slots = args.next_pos().ok_or("slots")?.parse()?;
                let temperature = match args.next_pos() {
                    Some("cold") => Temperature::Cold,
                    _ => Temperature::Warm,
                };
                let name = EndpointName::try_from(first)?;
                let granted = self.book.set_endpoint(now, name, slots, temperature);
                self.late(&granted)
            }
            "drain" | "undrain" => {
                let draining = command.name == "drain";
                let name = EndpointName::try_from(first)?;
                let granted = self.book.set_draining(now, &name, draining);
                self.late(&granted)
            }
            "cool" => {
                let granted = self.book.restart_ramp(now, &EndpointName::try_from(first)?);
                self.late(&granted)
            }
            "acquire" => {
                let origin = match args.next_pos() {
                    Some("remote") => Origin::Remote,
                    _ => Origin::Local,
                };
                let deadline = args.next_pos().unwrap_or("10000").parse()?;
                let count: u32 = args.next_pos().unwrap_or("1").parse()?;
                let avoid = args.next_pos().map(EndpointName::try_from);
                let avoid = avoid.transpose()?.into_iter().collect();
                let request = SlotRequest {
                    team: TeamName::try_from(first)?,
                    holder: VmName::try_from("gent-a-1")?,
                    origin,
                    deadline: now + Duration::from_millis(deadline),
                    avoid,
                };
                let mut out = String::new();
                for _ in 0..count {
                    out += &match self.book.acquire(now, request.clone()) {
                        AcquireOutcome::Granted(grant) => self.grant(&grant),
                        AcquireOutcome::Queued(ticket) => {
                            self.tickets.insert(ticket.get(), ticket);
                            format!("ticket {}", ticket.get())
                        }
                        AcquireOutcome::Refused(cause) => format!("{cause:?}"),
                    };
                    out.push('\n');
                }
                out
            }
            "release" => {
                let granted = self.book.release(now, permit(first)?);
                self.late(&granted)
            }
            "renew" => {
                let answer = format!("{:?}", self.book.renew(now, permit(first)?));
                answer.split(' ').next().unwrap_or_default().to_owned()
            }
            "adopt" => {
                let adopted = self.book.adopt(now, &EndpointName::try_from(first)?);
                adopted.map_or("None".to_owned(), |grant| self.grant(&grant))
            }
            "cancel" => {
                let ticket = *self.tickets.get(&first.parse()?).ok_or("no such ticket")?;
                format!("{}", self.book.cancel(ticket))
            }
            "expire" => {
                let expired = self.book.expire(now);
                let permits = expired
                    .permits
                    .iter()
                    .map(|p| format!("ended {}\n", p.number));
                let refused = expired
                    .refused
                    .iter()
                    .map(|(ticket, _, cause)| format!("ticket {}: {cause:?}\n", ticket.get()));
                let out: String = permits.chain(refused).collect();
                out + &self.late(&expired.granted)
            }
            "show" => self.show(),
            name => return Err(format!("unknown command {name}").into()),
        })
    }
}

// Guards against changes of who gets which slot, step by step.
#[rstest]
fn script(#[files("tests/slots/scripts/*")] path: std::path::PathBuf) {
    goldenscript::run(&mut Runner::new(), path).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    // Guards against permits beyond the open slots, a slot that is lost, a
    // waiting request that is neither granted nor refused, and slots that stay
    // free while a local request waits.
    #[test]
    fn permits_and_slots_agree(ops in proptest::collection::vec(any::<(u8, u8, u8)>(), 1..200)) {
        let fail = |fault: String| Err(TestCaseError::fail(fault));
        let mut now = Instant::now();
        let mut book = SlotPool::new(1, SlotConfig::default());
        let names = ["e-0", "e-1", "e-2"].map(|n| EndpointName::try_from(n).unwrap());
        let (mut queued, mut answered) = (0usize, 0usize);
        for (op, a, b) in ops {
            let name = &names[usize::from(a) % 3];
            let before = book.snapshot(now);
            match op % 11 {
                0 => {
                    let temperature = if b % 2 == 0 { Temperature::Warm } else { Temperature::Cold };
                    answered += book.set_endpoint(now, name.clone(), u32::from(b % 5), temperature).len();
                }
                1 if b % 4 == 0 => answered += book.remove_endpoint(now, name).len(),
                1 => answered += book.set_draining(now, name, b % 2 == 0).len(),
                2 => answered += book.restart_ramp(now, name).len(),
                3 => {
                    now += Duration::from_millis(u64::from(a) * 4);
                    let expired = book.expire(now);
                    answered += expired.granted.len() + expired.refused.len();
                }
                4 | 5 => {
                    let id = PermitId { incarnation: 1, number: u64::from(a) };
                    answered += book.release(now, id).len();
                }
                // Time passes without expire(), which next_event_at must ask for.
                6 => now += Duration::from_millis(u64::from(a) * 4),
                _ => {
                    let team = ["local-0", "local-1", "remote"][usize::from(b) % 3];
                    let request = SlotRequest {
                        team: TeamName::try_from(team).unwrap(),
                        holder: VmName::try_from("vm").unwrap(),
                        origin: if team == "remote" { Origin::Remote } else { Origin::Local },
                        deadline: now + Duration::from_millis(u64::from(b) * 20),
                        avoid: Vec::new(),
                    };
                    if let AcquireOutcome::Queued(_) = book.acquire(now, request) {
                        queued += 1;
                    }
                }
            }
            let after = book.snapshot(now);
            for e in &after.endpoints {
                let old = before.endpoints.iter().find(|o| o.name == e.name).map_or(0, |o| o.in_use);
                if e.in_use > old && (e.in_use > e.open || e.draining) {
                    return fail(format!("a new permit exceeds the open slots: {e:?}"));
                }
            }
            let full = (after.endpoints.iter()).all(|e| e.draining || e.in_use >= e.open);
            let asked = book.next_event_at(now).is_some_and(|at| at <= now);
            if !full && !asked && after.waiting.iter().any(|(team, _)| team.as_str().starts_with("local")) {
                return fail(format!("a local request waits for a free slot: {after:?}"));
            }
            let in_use: u32 = after.endpoints.iter().map(|e| e.in_use).sum();
            if after.permits != in_use as usize {
                return fail(format!("{} permits, {in_use} in use", after.permits));
            }
            let waiting: usize = after.waiting.iter().map(|(_, n)| n).sum();
            if queued != answered + waiting {
                return fail(format!("{queued} queued, {answered} answered, {waiting} waiting"));
            }
        }
    }
}
