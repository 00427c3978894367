//! The promises of the soak, and the history of a run that they are checked against.
//!
//! The checks are functions of the recorded history only, so that tests can show that each of them
//! finds a violation. The names of the promises and the details of violations are printed by the
//! soak.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

/// Time from the withdrawal of a key until requests with it must be refused.
pub(super) const KEY_WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);

/// Time from the start of a drain or an evacuation until an endpoint must receive no more requests.
pub(super) const LEAVING_LIMIT: Duration = Duration::from_secs(5);

/// Length of the sliding window in which the requests of a team are counted.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Excess over the limit of a team that users accept: a fraction of the limit, and a number of
/// requests on top.
const RATE_TOLERANCE: (f64, f64) = (0.1, 20.0);

/// Excess over the rate of a cold endpoint that users accept: a factor on the rate, and a number of
/// requests on top.
const COLD_TOLERANCE: (f64, f64) = (1.5, 8.0);

/// Time after the end of a process within which its callers notice that their connections ended.
const STOP_MARGIN: Duration = Duration::from_millis(100);

/// Time after the first response with an announcement within which a VM may still use the endpoint.
const ANNOUNCED_END_LIMIT: Duration = Duration::from_millis(2_500);

/// Time after the request for a pause in which requests that were under way may still arrive.
const PAUSE_MARGIN: Duration = Duration::from_millis(500);

/// Largest number of requests from one VM in the rest of a pause.
const MAX_IN_PAUSE: usize = 2;

/// Smallest fraction of the idempotent requests that must succeed after the recovery deadline.
const MIN_SERVED_FRACTION: f64 = 0.95;

/// Smallest number of idempotent requests after the recovery deadline on which that fraction is
/// judged. Fewer of them break the promise too.
const MIN_JUDGED_REQUESTS: usize = 50;

/// A promise to callers, backend servers or operators. The soak prints the names of the variants.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Promise {
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A successful response is complete, has the endpoint's seal, and belongs to the caller's
    /// request.
    OwnAnswer,
    /// A request that was refused with a status that means "not run" (408, 421, 429 or 503) did not
    /// run, and does not run later.
    TrueRefusal,
    /// No team runs more requests than its limit in any window, apart from the tolerated excess.
    Rate,
    /// No request runs with a key that was withdrawn more than 5 seconds before.
    WithdrawnKey,
    /// Each process puts only increasing versions of the configuration in force.
    Version,
    /// An endpoint that drains, or whose failure domain is evacuated, runs no requests after the
    /// first 5 seconds, unless VMs may not have received the change.
    Leaving,
    /// A cold endpoint receives requests at its cold rate at most, apart from the tolerated excess.
    ColdRate,
    /// An endpoint gets no request from a VM that was sent more than 2.5 s after this VM passed on a
    /// response that announced its end.
    AnnouncedEnd,
    /// An endpoint gets at most two requests from a VM between half a second after it asked this VM
    /// for a pause and the end of the pause.
    Pause,
    /// A process that receives SIGTERM exits with success and in time.
    GracefulStop,
    /// A process that receives SIGTERM cuts no request that it has passed on.
    AnsweredStop,
    /// Requests succeed again after the last fault.
    Recovery,
}

impl Promise {
    /// All promises, in the order of the printed report.
    pub const ALL: [Self; 13] = [
        Self::AtMostOnce,
        Self::OwnAnswer,
        Self::TrueRefusal,
        Self::Rate,
        Self::WithdrawnKey,
        Self::Version,
        Self::Leaving,
        Self::ColdRate,
        Self::AnnouncedEnd,
        Self::Pause,
        Self::GracefulStop,
        Self::AnsweredStop,
        Self::Recovery,
    ];
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The promise that was broken.
    pub promise: Promise,
    /// The evidence, with the ids of the request, team, endpoint or process.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.detail)
    }
}

/// Rate limit of a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Sustained rate in requests per second.
    pub rate: f64,
    /// Requests that may run at once in addition to the sustained rate.
    pub burst: f64,
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The request may run more than once.
    pub idempotent: bool,
    /// Team that the key belongs to.
    pub team: &'static str,
    /// API key that the request carried.
    pub key: String,
    /// When the caller sent the request.
    pub at: Instant,
    /// Number of the VM that it was sent to.
    pub vm: usize,
}

/// Outcome of a request as its caller saw it.
#[derive(Clone, Copy, Debug)]
pub struct RequestOutcome {
    /// HTTP status; zero if the caller received no response.
    pub status: u16,
    /// The response is complete, has the endpoint's seal and belongs to this request.
    pub is_valid: bool,
    /// The connection ended before the end of the response.
    pub is_cut: bool,
    /// When the caller had the response, or gave up.
    pub ended_at: Instant,
    /// The response says that the endpoint leaves.
    pub announces_end: bool,
}

/// Pause that an endpoint asked a VM for.
#[derive(Clone, Copy, Debug)]
pub struct PauseRequest {
    /// Number of the VM.
    pub vm: usize,
    /// Number of the endpoint.
    pub endpoint: usize,
    /// When the endpoint asked for it.
    pub at: Instant,
    /// Its length.
    pub length: Duration,
}

/// Planned stop of the process of a VM.
#[derive(Clone, Copy, Debug)]
pub struct StopPeriod {
    /// Number of the VM.
    pub vm: usize,
    /// When the process received SIGTERM.
    pub from: Instant,
    /// When the process ended; `None` while it runs.
    pub until: Option<Instant>,
}

/// One run of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct RequestRun {
    /// Id of the request; a retried request has several runs with the same id.
    pub id: String,
    /// Number of the endpoint.
    pub endpoint: usize,
    /// When the endpoint started to run it.
    pub at: Instant,
}

/// Period in which an endpoint leaves or is cold.
#[derive(Clone, Copy, Debug)]
pub struct EndpointPeriod {
    /// Number of the endpoint.
    pub endpoint: usize,
    /// Start of the period.
    pub from: Instant,
    /// End of the period; `None` while it lasts.
    pub until: Option<Instant>,
}

/// Everything that callers and endpoints observed in a run, and the actions of operators and faults
/// that the promises depend on.
#[derive(Debug, Default)]
pub struct History {
    /// Requests that callers sent, by id.
    pub sent: HashMap<String, SentRequest>,
    /// Outcomes of the requests that ended, by id.
    pub outcomes: HashMap<String, RequestOutcome>,
    /// Runs of requests at all endpoints, in no order.
    pub runs: Vec<RequestRun>,
    /// Limits by team.
    pub limits: HashMap<&'static str, TeamLimit>,
    /// Withdrawn keys, with the time of their withdrawal.
    pub withdrawn_keys: HashMap<String, Instant>,
    /// Periods in which endpoints drained or were evacuated.
    pub leaving_periods: Vec<EndpointPeriod>,
    /// Periods in which endpoints were cold.
    pub cold_periods: Vec<EndpointPeriod>,
    /// Rate of a cold endpoint in requests per second.
    pub cold_rate: f64,
    /// Start and end of periods in which a VM may not have received the changes in the store.
    pub stale_periods: Vec<(Instant, Instant)>,
    /// Versions of the configuration that each process put in force, oldest first, by log file.
    pub versions: HashMap<String, Vec<u64>>,
    /// Arrivals of requests at all endpoints, also of those that they refused, in no order.
    pub arrivals: Vec<RequestRun>,
    /// Periods in which endpoints announce their end.
    pub announced_ends: Vec<EndpointPeriod>,
    /// Pauses that endpoints asked for.
    pub pauses: Vec<PauseRequest>,
    /// Times at which the process of a VM was killed, paused or stopped, by number of the VM. It may
    /// have missed or lost what endpoints say.
    pub disturbances: Vec<(usize, Instant)>,
    /// Planned stops.
    pub stops: Vec<StopPeriod>,
    /// Descriptions of processes that did not stop as promised.
    pub failed_stops: Vec<String>,
    /// Time from which requests must succeed again; `None` before it is known.
    pub recovery_deadline: Option<Instant>,
}

impl History {
    /// Returns the first violation of each check.
    pub fn violations(&self) -> Vec<Violation> {
        let checks = [
            self.check_runs(),
            self.check_answers(),
            self.check_refusals(),
            self.check_rates(),
            self.check_keys(),
            self.check_versions(),
            self.check_leaving(),
            self.check_cold(),
            self.check_announced_ends(),
            self.check_pauses(),
            self.check_stops(),
            self.check_answered_stops(),
            self.check_recovery(),
        ];
        checks.into_iter().flatten().collect()
    }

    /// Records that the process of an endpoint has ended and another one has its address: what it
    /// said of itself does not bind requests to the new one.
    pub fn end_of_process(&mut self, endpoint: usize, at: Instant) {
        let periods = self.announced_ends.iter_mut().chain(&mut self.cold_periods);
        for period in periods.filter(|period| period.endpoint == endpoint) {
            period.until = Some(period.until.map_or(at, |until| until.min(at)));
        }
        for pause in self.pauses.iter_mut().filter(|p| p.endpoint == endpoint) {
            pause.length = pause.length.min(at.saturating_duration_since(pause.at));
        }
    }

    fn check_runs(&self) -> Option<Violation> {
        let mut seen = HashSet::new();
        let repeated = self.runs.iter().find(|run| {
            let at_most_once = self.sent.get(&run.id).is_some_and(|sent| !sent.idempotent);
            !seen.insert(&run.id) && at_most_once
        })?;
        Some(violation(
            Promise::AtMostOnce,
            format!("id={} ran more than once", repeated.id),
        ))
    }

    fn check_answers(&self) -> Option<Violation> {
        let mut outcomes = self.outcomes.iter();
        let foreign = outcomes.find(|(_, outcome)| outcome.status == 200 && !outcome.is_valid);
        let (id, _) = foreign?;
        Some(violation(
            Promise::OwnAnswer,
            format!("id={id} got an answer that is cut, unsigned or another's"),
        ))
    }

    fn check_refusals(&self) -> Option<Violation> {
        let run_ids: HashSet<&String> = self.runs.iter().map(|run| &run.id).collect();
        let is_untrue = |(id, outcome): &(&String, &RequestOutcome)| {
            matches!(outcome.status, 408 | 421 | 429 | 503) && run_ids.contains(id)
        };
        let untrue: Vec<_> = self.outcomes.iter().filter(is_untrue).collect();
        let (id, outcome) = untrue.first()?;
        Some(violation(
            Promise::TrueRefusal,
            format!(
                "id={id} status={} and it ran; {} such requests so far",
                outcome.status,
                untrue.len()
            ),
        ))
    }

    fn check_rates(&self) -> Option<Violation> {
        self.limits.iter().find_map(|(team, limit)| {
            let is_of_team =
                |run: &&RequestRun| self.sent.get(&run.id).is_some_and(|s| s.team == *team);
            let mut times: Vec<Instant> =
                self.runs.iter().filter(is_of_team).map(|r| r.at).collect();
            times.sort_unstable();
            let allowed = limit.rate * RATE_WINDOW.as_secs_f64() + limit.burst;
            let tolerated = allowed * (1.0 + RATE_TOLERANCE.0) + RATE_TOLERANCE.1;
            let max_count = max_within(&times, RATE_WINDOW);
            (max_count as f64 > tolerated).then(|| {
                violation(
                    Promise::Rate,
                    format!("team={team} ran {max_count} in a window, {tolerated:.0} are borne"),
                )
            })
        })
    }

    fn check_keys(&self) -> Option<Violation> {
        let late = self.runs.iter().find(|run| {
            let key = self.sent.get(&run.id).map(|sent| &sent.key);
            let withdrawn_at = key.and_then(|key| self.withdrawn_keys.get(key));
            withdrawn_at.is_some_and(|at| run.at > *at + KEY_WITHDRAWAL_LIMIT)
        })?;
        Some(violation(
            Promise::WithdrawnKey,
            format!("id={} ran with a withdrawn key", late.id),
        ))
    }

    fn check_versions(&self) -> Option<Violation> {
        let regressed = self.versions.iter().find(|(_, versions)| {
            let mut pairs = versions.windows(2);
            pairs.any(|pair| pair[0] >= pair[1])
        })?;
        Some(violation(
            Promise::Version,
            format!("process={} versions={:?}", regressed.0, regressed.1),
        ))
    }

    fn check_leaving(&self) -> Option<Violation> {
        let late = self.runs.iter().find(|run| {
            self.leaving_periods.iter().any(|period| {
                let deadline = period.from + LEAVING_LIMIT;
                let notice_period = (period.from, run.at);
                period.endpoint == run.endpoint
                    && run.at > deadline
                    && period.until.is_none_or(|until| run.at < until)
                    && !self.overlaps_stale_period(notice_period)
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
        let tolerated = self.cold_rate * COLD_TOLERANCE.0 + COLD_TOLERANCE.1;
        self.cold_periods.iter().find_map(|period| {
            let is_within = |run: &&RequestRun| {
                run.endpoint == period.endpoint
                    && run.at >= period.from
                    && period.until.is_none_or(|until| run.at < until)
            };
            let mut times: Vec<Instant> =
                self.runs.iter().filter(is_within).map(|r| r.at).collect();
            times.sort_unstable();
            let max_count = max_within(&times, second);
            (max_count as f64 > tolerated).then(|| {
                violation(
                    Promise::ColdRate,
                    format!("endpoint {} got {max_count} in a second", period.endpoint),
                )
            })
        })
    }

    fn check_announced_ends(&self) -> Option<Violation> {
        self.announced_ends.iter().find_map(|period| {
            let is_within =
                |at: Instant| at >= period.from && period.until.is_none_or(|until| at < until);
            let of_endpoint = || {
                self.runs
                    .iter()
                    .filter(|run| run.endpoint == period.endpoint)
            };
            // When each VM first passed on the announcement.
            let mut announced: HashMap<usize, Instant> = HashMap::new();
            for run in of_endpoint() {
                let (Some(sent), Some(outcome)) =
                    (self.sent.get(&run.id), self.outcomes.get(&run.id))
                else {
                    continue;
                };
                if outcome.announces_end && outcome.is_valid && is_within(run.at) {
                    let at = announced.entry(sent.vm).or_insert(outcome.ended_at);
                    *at = (*at).min(outcome.ended_at);
                }
            }
            let late = of_endpoint().find(|run| {
                self.sent.get(&run.id).is_some_and(|sent| {
                    announced.get(&sent.vm).is_some_and(|at| {
                        sent.at > *at + ANNOUNCED_END_LIMIT
                            && is_within(run.at)
                            && !self.is_disturbed(sent.vm, *at, run.at)
                    })
                })
            })?;
            Some(violation(
                Promise::AnnouncedEnd,
                format!("id={} ran at endpoint {}", late.id, late.endpoint),
            ))
        })
    }

    fn check_pauses(&self) -> Option<Violation> {
        self.pauses.iter().find_map(|pause| {
            let (from, until) = (pause.at + PAUSE_MARGIN, pause.at + pause.length);
            let early = self.arrivals.iter().filter(|arrival| {
                arrival.endpoint == pause.endpoint
                    && (from..until).contains(&arrival.at)
                    && self.sent.get(&arrival.id).is_some_and(|s| s.vm == pause.vm)
            });
            let early: Vec<&RequestRun> = early.collect();
            let is_broken =
                early.len() > MAX_IN_PAUSE && !self.is_disturbed(pause.vm, pause.at, until);
            is_broken.then(|| {
                let arrivals: Vec<String> = early
                    .iter()
                    .map(|arrival| {
                        let after = arrival.at.saturating_duration_since(pause.at);
                        format!("id={} after {} ms", arrival.id, after.as_millis())
                    })
                    .collect();
                violation(
                    Promise::Pause,
                    format!(
                        "{} requests of vm-{} reached endpoint {} in its pause: {}",
                        early.len(),
                        pause.vm,
                        pause.endpoint,
                        arrivals.join(", ")
                    ),
                )
            })
        })
    }

    /// Returns whether the process of a VM was killed, paused or stopped in a period.
    fn is_disturbed(&self, vm: usize, from: Instant, until: Instant) -> bool {
        let mut disturbances = self.disturbances.iter();
        disturbances.any(|(other, at)| *other == vm && from <= *at && *at <= until)
    }

    fn check_stops(&self) -> Option<Violation> {
        let detail = self.failed_stops.first()?;
        Some(violation(Promise::GracefulStop, detail.clone()))
    }

    fn check_answered_stops(&self) -> Option<Violation> {
        let run_ids: HashSet<&String> = self.runs.iter().map(|run| &run.id).collect();
        let (id, vm) = self.outcomes.iter().find_map(|(id, outcome)| {
            let vm = self.sent.get(id)?.vm;
            let at = outcome.ended_at;
            let in_stop = self.stops.iter().any(|stop| {
                stop.vm == vm
                    && stop.from <= at
                    && stop.until.is_none_or(|until| at <= until + STOP_MARGIN)
            });
            (outcome.is_cut && in_stop && run_ids.contains(id)).then_some((id, vm))
        })?;
        Some(violation(
            Promise::AnsweredStop,
            format!("id={id} ran and was cut as vm-{vm} stopped"),
        ))
    }

    fn check_recovery(&self) -> Option<Violation> {
        let from = self.recovery_deadline?;
        let judged: Vec<&String> = self
            .sent
            .iter()
            .filter(|(id, sent)| {
                sent.idempotent && sent.at > from && self.outcomes.contains_key(*id)
            })
            // A team above its rate limit may have more requests refused than the tolerated
            // fraction.
            .filter(|(id, _)| self.outcomes[*id].status != 429)
            .map(|(id, _)| id)
            .collect();
        let failed = judged.iter().filter(|id| self.outcomes[**id].status != 200);
        let failed: Vec<&&String> = failed.collect();
        let max_failed = judged.len() as f64 * (1.0 - MIN_SERVED_FRACTION);
        if judged.len() < MIN_JUDGED_REQUESTS {
            let detail = format!("only {} requests ended", judged.len());
            return Some(violation(Promise::Recovery, detail));
        }
        (failed.len() as f64 > max_failed).then(|| {
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

    /// Returns whether a VM may have missed changes at some time of the given period.
    fn overlaps_stale_period(&self, (from, until): (Instant, Instant)) -> bool {
        let mut periods = self.stale_periods.iter();
        periods.any(|(start, end)| *start <= until && from <= *end)
    }
}

fn violation(promise: Promise, detail: String) -> Violation {
    Violation { promise, detail }
}

/// Returns the largest number of instants of the sorted `times` within one window.
fn max_within(times: &[Instant], window: Duration) -> usize {
    let mut first = 0;
    let mut max_count = 0;
    for (last, end) in times.iter().enumerate() {
        while *end - times[first] > window {
            first += 1;
        }
        max_count = max_count.max(last + 1 - first);
    }
    max_count
}
