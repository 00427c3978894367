//! Tests of the slot pool: scenario files and random sequences of operations.
//!
//! Script commands: `advance MS`, `endpoint NAME SLOTS [cold]`, `drain NAME`,
//! `undrain NAME`, `restart-ramp NAME`, `rate NAME [PER_SECOND]`,
//! `acquire TEAM [local|remote] [DEADLINE_MS] [COUNT] [AVOIDED_ENDPOINT]`,
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
    pool: SlotPool,
    tickets: BTreeMap<u64, Ticket>,
}

impl Runner {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            now: start,
            pool: SlotPool::new(1, SlotConfig::default()),
            tickets: BTreeMap::new(),
        }
    }

    fn format_grant(&self, grant: &Grant) -> String {
        let until = grant.until.duration_since(self.start).as_millis();
        format!(
            "permit {} on {} until {until}",
            grant.permit.number, grant.endpoint
        )
    }

    fn format_queued(&self, granted: &[QueuedGrant]) -> String {
        let line = |queued: &QueuedGrant| {
            let (team, ticket) = (&queued.request.team, queued.ticket.get());
            format!(
                "{team} ticket {ticket}: {}\n",
                self.format_grant(&queued.grant)
            )
        };
        granted.iter().map(line).collect()
    }

    fn show(&self) -> String {
        let s = self.pool.snapshot(self.now);
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
                let slots = args
                    .next_pos()
                    .ok_or("the number of slots is missing")?
                    .parse()?;
                let temperature = match args.next_pos() {
                    Some("cold") => Temperature::Cold,
                    _ => Temperature::Warm,
                };
                let name = EndpointName::try_from(first)?;
                let granted = self.pool.set_endpoint(now, name, slots, temperature);
                self.format_queued(&granted)
            }
            "drain" | "undrain" => {
                let draining = command.name == "drain";
                let name = EndpointName::try_from(first)?;
                let granted = self.pool.set_draining(now, &name, draining);
                self.format_queued(&granted)
            }
            "rate" => {
                let per_second = args.next_pos().map(str::parse).transpose()?;
                let name = EndpointName::try_from(first)?;
                let granted = self.pool.set_rate(now, &name, per_second);
                self.format_queued(&granted)
            }
            "restart-ramp" => {
                let granted = self.pool.restart_ramp(now, &EndpointName::try_from(first)?);
                self.format_queued(&granted)
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
                    out += &match self.pool.acquire(now, request.clone()) {
                        AcquireOutcome::Granted(grant) => self.format_grant(&grant),
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
                let granted = self.pool.release(now, permit(first)?);
                self.format_queued(&granted)
            }
            "renew" => {
                let renewal = format!("{:?}", self.pool.renew(now, permit(first)?));
                renewal.split(' ').next().unwrap_or_default().to_owned()
            }
            "adopt" => {
                let adopted = self.pool.adopt(now, &EndpointName::try_from(first)?);
                adopted.map_or("None".to_owned(), |grant| self.format_grant(&grant))
            }
            "cancel" => {
                let ticket = *self.tickets.get(&first.parse()?).ok_or("no such ticket")?;
                format!("{}", self.pool.cancel(ticket))
            }
            "expire" => {
                let expired = self.pool.expire(now);
                let permits = expired
                    .permits
                    .iter()
                    .map(|p| format!("ended {}\n", p.number));
                let refused = expired
                    .refused
                    .iter()
                    .map(|(ticket, _, cause)| format!("ticket {}: {cause:?}\n", ticket.get()));
                let out: String = permits.chain(refused).collect();
                out + &self.format_queued(&expired.granted)
            }
            "show" => self.show(),
            name => return Err(format!("unknown command {name}").into()),
        })
    }
}

// Guards against unintended changes of which request gets which slot.
#[rstest]
fn scenario_output_is_unchanged(#[files("tests/slots/scripts/*")] path: std::path::PathBuf) {
    goldenscript::run(&mut Runner::new(), path).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    // Guards against permits in excess of the open slots, slots that remain
    // occupied without a permit, waiting requests that are neither granted nor
    // refused, and slots that remain free while a local request waits.
    #[test]
    fn permits_match_occupied_slots(ops in proptest::collection::vec(any::<(u8, u8, u8)>(), 1..200)) {
        let fail = |message: String| Err(TestCaseError::fail(message));
        let mut now = Instant::now();
        let mut pool = SlotPool::new(1, SlotConfig::default());
        let names = ["e-0", "e-1", "e-2"].map(|n| EndpointName::try_from(n).unwrap());
        let (mut queued, mut decided) = (0usize, 0usize);
        for (op, a, b) in ops {
            let name = &names[usize::from(a) % 3];
            let before = pool.snapshot(now);
            match op % 11 {
                0 => {
                    let temperature = if b % 2 == 0 { Temperature::Warm } else { Temperature::Cold };
                    decided += pool.set_endpoint(now, name.clone(), u32::from(b % 5), temperature).len();
                }
                1 if b % 4 == 0 => decided += pool.remove_endpoint(now, name).len(),
                1 => decided += pool.set_draining(now, name, b % 2 == 0).len(),
                2 => decided += pool.restart_ramp(now, name).len(),
                3 => {
                    now += Duration::from_millis(u64::from(a) * 4);
                    let expired = pool.expire(now);
                    decided += expired.granted.len() + expired.refused.len();
                }
                4 | 5 => {
                    let id = PermitId { incarnation: 1, number: u64::from(a) };
                    decided += pool.release(now, id).len();
                }
                // Time passes without a call of expire(). next_event_at() must
                // then report that a call is due.
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
                    if let AcquireOutcome::Queued(_) = pool.acquire(now, request) {
                        queued += 1;
                    }
                }
            }
            let after = pool.snapshot(now);
            for e in &after.endpoints {
                let old = before.endpoints.iter().find(|o| o.name == e.name).map_or(0, |o| o.in_use);
                if e.in_use > old && (e.in_use > e.open || e.draining) {
                    return fail(format!("a new permit exceeds the open slots: {e:?}"));
                }
            }
            let full = (after.endpoints.iter()).all(|e| e.draining || e.in_use >= e.open);
            let expire_is_due = pool.next_event_at(now).is_some_and(|at| at <= now);
            if !full && !expire_is_due && after.waiting.iter().any(|(team, _)| team.as_str().starts_with("local")) {
                return fail(format!("a local request waits for a free slot: {after:?}"));
            }
            let in_use: u32 = after.endpoints.iter().map(|e| e.in_use).sum();
            if after.permits != in_use as usize {
                return fail(format!("{} permits, {in_use} in use", after.permits));
            }
            let waiting: usize = after.waiting.iter().map(|(_, n)| n).sum();
            if queued != decided + waiting {
                return fail(format!("{queued} queued, {decided} decided, {waiting} waiting"));
            }
        }
    }
}
