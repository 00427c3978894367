//! What was sent, run and answered, and whether the promises were kept.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

/// Time after which a withdrawn key must not work.
pub(super) const KEY_TIME: Duration = Duration::from_secs(5);

/// Time after which an endpoint that drains or is evacuated gets nothing.
pub(super) const LEAVE_TIME: Duration = Duration::from_secs(5);

/// Window in which a team's requests are counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// What users bear beyond a limit: a part of it, and requests.
const RATE_SLACK: (f64, f64) = (0.1, 20.0);

/// What users bear beyond the rate of a cold endpoint: a factor, and requests.
const COLD_SLACK: (f64, f64) = (1.5, 8.0);

/// Part of the idempotent requests that must be answered at the end.
const SERVED_AT_END: f64 = 0.95;

/// Requests at the end from which that part is judged.
const LEAST_JUDGED: usize = 50;

/// What is promised to callers, backend servers and operators.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Promise {
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// An answer is whole, signed and the caller's own.
    OwnAnswer,
    /// A request that was refused as not run did not run.
    TrueRefusal,
    /// A team gets no more than its limit in any window.
    Rate,
    /// A withdrawn key does not work.
    WithdrawnKey,
    /// The version of the configuration does not go back.
    Version,
    /// An endpoint that drains, or whose failure domain is evacuated, gets
    /// nothing.
    Leaving,
    /// A cold endpoint gets few requests.
    ColdRate,
    /// A process that is told to stop ends well and in time.
    GracefulStop,
    /// Requests are answered again after the last fault.
    Recovery,
}

impl Promise {
    /// All promises, in the order of a report.
    pub const ALL: [Self; 10] = [
        Self::AtMostOnce,
        Self::OwnAnswer,
        Self::TrueRefusal,
        Self::Rate,
        Self::WithdrawnKey,
        Self::Version,
        Self::Leaving,
        Self::ColdRate,
        Self::GracefulStop,
        Self::Recovery,
    ];
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which one.
    pub promise: Promise,
    /// What shows it, with ids.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.detail)
    }
}

/// A team's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond it.
    pub burst: f64,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Sent {
    /// It may run more than once.
    pub idempotent: bool,
    /// Team of the key.
    pub team: &'static str,
    /// Key.
    pub key: String,
    /// When it was sent.
    pub at: Instant,
}

/// How a request ended at its caller.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Status, or zero without an answer.
    pub status: u16,
    /// The answer is whole, signed and to this request.
    pub own: bool,
}

/// A request at an endpoint.
#[derive(Clone, Debug)]
pub struct Ran {
    /// Id of the request.
    pub id: String,
    /// Number of the endpoint.
    pub endpoint: usize,
    /// When.
    pub at: Instant,
}

/// Time in which an endpoint must get nothing, or little.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Number of the endpoint.
    pub endpoint: usize,
    /// From then on.
    pub from: Instant,
    /// Until then, if it ended.
    pub until: Option<Instant>,
}

/// All that callers, endpoints and operators have seen.
#[derive(Debug, Default)]
pub struct Ledger {
    /// By id.
    pub sent: HashMap<String, Sent>,
    /// By id.
    pub ended: HashMap<String, Ended>,
    /// In no order.
    pub ran: Vec<Ran>,
    /// Limits of teams.
    pub limits: HashMap<&'static str, TeamLimit>,
    /// When keys were withdrawn.
    pub withdrawn: HashMap<String, Instant>,
    /// Endpoints that drain or are evacuated.
    pub leaving: Vec<Span>,
    /// Endpoints that are cold.
    pub cold: Vec<Span>,
    /// Requests a second that a cold endpoint takes.
    pub cold_rate: f64,
    /// Times in which a VM may not have heard of changes.
    pub out_of_touch: Vec<(Instant, Instant)>,
    /// Versions that each process put in force, in their order.
    pub versions: HashMap<String, Vec<u64>>,
    /// Processes that did not stop as told.
    pub bad_stops: Vec<String>,
    /// From then on all must be served again.
    pub recovered_at: Option<Instant>,
}

impl Ledger {
    /// The promises that were broken so far.
    pub fn violations(&self) -> Vec<Violation> {
        let checks = [
            self.check_runs(),
            self.check_answers(),
            self.check_rates(),
            self.check_keys(),
            self.check_versions(),
            self.check_leaving(),
            self.check_cold(),
            self.check_stops(),
            self.check_recovery(),
        ];
        checks.into_iter().flatten().collect()
    }

    fn check_runs(&self) -> Option<Violation> {
        let mut met = HashSet::new();
        let twice = self.ran.iter().find(|ran| {
            let once = self.sent.get(&ran.id).is_some_and(|sent| !sent.idempotent);
            !met.insert(&ran.id) && once
        })?;
        Some(violation(
            Promise::AtMostOnce,
            format!("id={} ran more than once", twice.id),
        ))
    }

    fn check_answers(&self) -> Option<Violation> {
        let ran: HashSet<&String> = self.ran.iter().map(|ran| &ran.id).collect();
        self.ended
            .iter()
            .find_map(|(id, ended)| match ended.status {
                200 if !ended.own => Some(violation(
                    Promise::OwnAnswer,
                    format!("id={id} got an answer that is cut, unsigned or another's"),
                )),
                408 | 421 | 429 | 503 if ran.contains(id) => Some(violation(
                    Promise::TrueRefusal,
                    format!("id={id} status={} and it ran", ended.status),
                )),
                _ => None,
            })
    }

    fn check_rates(&self) -> Option<Violation> {
        self.limits.iter().find_map(|(team, limit)| {
            let of_team = |ran: &&Ran| self.sent.get(&ran.id).is_some_and(|s| s.team == *team);
            let mut at: Vec<Instant> = self.ran.iter().filter(of_team).map(|r| r.at).collect();
            at.sort_unstable();
            let whole = limit.rate * RATE_WINDOW.as_secs_f64() + limit.burst;
            let borne = whole * (1.0 + RATE_SLACK.0) + RATE_SLACK.1;
            let most = most_within(&at, RATE_WINDOW);
            (most as f64 > borne).then(|| {
                violation(
                    Promise::Rate,
                    format!("team={team} ran {most} in a window, {borne:.0} are borne"),
                )
            })
        })
    }

    fn check_keys(&self) -> Option<Violation> {
        let late = self.ran.iter().find(|ran| {
            let key = self.sent.get(&ran.id).map(|sent| &sent.key);
            let withdrawn = key.and_then(|key| self.withdrawn.get(key));
            withdrawn.is_some_and(|at| ran.at > *at + KEY_TIME)
        })?;
        Some(violation(
            Promise::WithdrawnKey,
            format!("id={} ran with a withdrawn key", late.id),
        ))
    }

    fn check_versions(&self) -> Option<Violation> {
        let back = self.versions.iter().find(|(_, versions)| {
            let mut pairs = versions.windows(2);
            pairs.any(|pair| pair[0] >= pair[1])
        })?;
        Some(violation(
            Promise::Version,
            format!("process={} versions={:?}", back.0, back.1),
        ))
    }

    fn check_leaving(&self) -> Option<Violation> {
        let late = self.ran.iter().find(|ran| {
            self.leaving.iter().any(|span| {
                let from = span.from + LEAVE_TIME;
                let touch = (span.from, ran.at);
                span.endpoint == ran.endpoint
                    && ran.at > from
                    && span.until.is_none_or(|until| ran.at < until)
                    && !self.is_out_of_touch(touch)
            })
        })?;
        Some(violation(
            Promise::Leaving,
            format!(
                "id={} ran at endpoint {} that leaves",
                late.id, late.endpoint
            ),
        ))
    }

    fn check_cold(&self) -> Option<Violation> {
        let second = Duration::from_secs(1);
        let borne = self.cold_rate * COLD_SLACK.0 + COLD_SLACK.1;
        self.cold.iter().find_map(|span| {
            let within = |ran: &&Ran| {
                ran.endpoint == span.endpoint
                    && ran.at >= span.from
                    && span.until.is_none_or(|until| ran.at < until)
            };
            let mut at: Vec<Instant> = self.ran.iter().filter(within).map(|r| r.at).collect();
            at.sort_unstable();
            let most = most_within(&at, second);
            (most as f64 > borne).then(|| {
                violation(
                    Promise::ColdRate,
                    format!("endpoint {} got {most} in a second", span.endpoint),
                )
            })
        })
    }

    fn check_stops(&self) -> Option<Violation> {
        let bad = self.bad_stops.first()?;
        Some(violation(Promise::GracefulStop, bad.clone()))
    }

    fn check_recovery(&self) -> Option<Violation> {
        let from = self.recovered_at?;
        let judged: Vec<&String> = self
            .sent
            .iter()
            .filter(|(id, sent)| sent.idempotent && sent.at > from && self.ended.contains_key(*id))
            // The rate of a team may refuse more than a part of its requests.
            .filter(|(id, _)| self.ended[*id].status != 429)
            .map(|(id, _)| id)
            .collect();
        let failed = judged.iter().filter(|id| self.ended[**id].status != 200);
        let failed: Vec<&&String> = failed.collect();
        let most = judged.len() as f64 * (1.0 - SERVED_AT_END);
        if judged.len() < LEAST_JUDGED {
            let detail = format!("only {} requests ended", judged.len());
            return Some(violation(Promise::Recovery, detail));
        }
        (failed.len() as f64 > most).then(|| {
            violation(
                Promise::Recovery,
                format!(
                    "{} of {} failed, id={}",
                    failed.len(),
                    judged.len(),
                    failed[0]
                ),
            )
        })
    }

    fn is_out_of_touch(&self, (from, until): (Instant, Instant)) -> bool {
        let mut spans = self.out_of_touch.iter();
        spans.any(|(begin, end)| *begin <= until && from <= *end)
    }
}

fn violation(promise: Promise, detail: String) -> Violation {
    Violation { promise, detail }
}

/// The most instants of a sorted list within one window.
fn most_within(at: &[Instant], window: Duration) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, end) in at.iter().enumerate() {
        while *end - at[first] > window {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
