//! What a load observed, and its comparison with the records of the back ends.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use super::Outcome;
use super::load::TeamLoad;
use crate::backend::{BackendRecords, Run};

/// Largest latency in microseconds that histograms tell apart: 10 minutes.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Rate and burst that the system grants a team over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

/// One call of a load.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Value of `x-request-id`.
    pub request_id: String,
    /// Team that sent the request.
    pub team: String,
    /// Whether the request may run again. Everything but `POST` may.
    pub idempotent: bool,
    /// Time when the call began.
    pub sent: Instant,
    /// Time from the planned sending to the end of the call. The timer of the load starts calls up
    /// to 1 ms late, which is included.
    pub latency: Duration,
    /// How the call ended.
    pub outcome: Outcome,
    /// The last VM that was tried.
    pub vm: Option<SocketAddr>,
}

/// What the calls of one team observed.
#[derive(Clone, Debug)]
pub struct TeamReport {
    /// Calls that were made.
    pub sent: u64,
    /// Calls with the whole answer.
    pub served: u64,
    /// Refused calls by cause, in order of their first occurrence.
    pub refused: IndexMap<String, u64>,
    /// Refused calls that were told that the request did not run.
    pub refused_not_run: u64,
    /// Refused calls that the team's limit would have admitted. This is the number of calls that
    /// a full bucket of the limit admits, less those that were not refused. Zero without a limit.
    pub refused_within_rate: u64,
    /// The other refused calls. Zero without a limit.
    pub refused_over_rate: u64,
    /// Calls without an answer.
    pub lost: u64,
    /// Calls whose answer broke off.
    pub cut: u64,
    /// Calls with an answer that is not their own.
    pub wrong_answer: u64,
    /// Calls that were not made because too many were in flight.
    pub skipped: u64,
    /// Latency of served calls in microseconds, from the planned time of sending.
    pub latency_us: Histogram<u64>,
    /// Rate and burst that the system grants the team.
    pub limit: Option<Limit>,
}

impl TeamReport {
    /// Returns the latency in milliseconds that the fraction `quantile` of served calls met.
    #[must_use]
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the fraction of calls that were served, and 1 if there were none.
    #[must_use]
    pub fn served_fraction(&self) -> f64 {
        if self.sent == 0 {
            1.0
        } else {
            self.served as f64 / self.sent as f64
        }
    }

    /// Returns the number of refused calls.
    #[must_use]
    pub fn refused_total(&self) -> u64 {
        self.refused.values().sum()
    }

    fn new(limit: Option<Limit>) -> TeamReport {
        TeamReport {
            sent: 0,
            served: 0,
            refused: IndexMap::new(),
            refused_not_run: 0,
            refused_within_rate: 0,
            refused_over_rate: 0,
            lost: 0,
            cut: 0,
            wrong_answer: 0,
            skipped: 0,
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3)
                .expect("the bounds of the histogram are valid"),
            limit,
        }
    }

    fn add(&mut self, call: &CallRecord) {
        self.sent += 1;
        match &call.outcome {
            Outcome::Whole => {
                self.served += 1;
                let us = u64::try_from(call.latency.as_micros()).unwrap_or(u64::MAX);
                self.latency_us.saturating_record(us);
            }
            Outcome::WrongAnswer => self.wrong_answer += 1,
            Outcome::Cut => self.cut += 1,
            Outcome::Refused { cause, not_run, .. } => {
                *self.refused.entry(cause.clone()).or_default() += 1;
                self.refused_not_run += u64::from(*not_run);
            }
            Outcome::Lost { .. } => self.lost += 1,
        }
    }

    fn judge_refusals(&mut self, sent: &[Instant]) {
        let Some(limit) = self.limit else { return };
        let refused = self.refused_total();
        let admissible = self.sent - count_over_rate(sent, limit, Duration::ZERO);
        let admitted = self.sent - refused;
        self.refused_within_rate = admissible.saturating_sub(admitted).min(refused);
        self.refused_over_rate = refused - self.refused_within_rate;
    }
}

/// What the calls of a load observed.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// The teams in the order of the settings.
    pub teams: IndexMap<String, TeamReport>,
    /// Every call in order of its beginning.
    pub calls: Vec<CallRecord>,
    /// Calls without an answer.
    pub lost: u64,
    /// Those of the lost calls that reached no VM, so no byte of the request left.
    pub lost_unsent: u64,
    /// Calls whose answer broke off.
    pub cut: u64,
    /// Calls with an answer that is not their own.
    pub wrong_answer: u64,
}

/// What a comparison of calls and back ends shows. All counts but `rerun_idempotent` are zero for
/// a correct system.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BackendComparison {
    /// Runs after the first of requests that are not idempotent.
    pub repeated: u64,
    /// Runs after the first of idempotent requests.
    pub rerun_idempotent: u64,
    /// Requests in which a back end saw a key.
    pub key_seen_by_backend: u64,
    /// Requests that arrived at a back end while all its slots were busy.
    pub over_slots: u64,
    /// Requests that ran above burst + rate x length, as [`count_over_rate`] counts them.
    pub over_rate: u64,
    /// Requests that ran although their refusal says that they did not.
    pub ran_after_not_run: u64,
    /// Served requests that no back end ran.
    pub served_without_run: u64,
    /// Requests that ran for another team than the one that sent them, by the `x-team` header.
    pub wrong_team: u64,
}

impl LoadReport {
    pub(super) fn new(teams: &[TeamLoad]) -> LoadReport {
        let reports = teams
            .iter()
            .map(|team| (team.name.clone(), TeamReport::new(team.limit)));
        LoadReport {
            teams: reports.collect(),
            calls: Vec::new(),
            lost: 0,
            lost_unsent: 0,
            cut: 0,
            wrong_answer: 0,
        }
    }

    pub(super) fn add(&mut self, team: &str, calls: Vec<CallRecord>, skipped: u64) {
        let report = &mut self.teams[team];
        report.skipped += skipped;
        for call in &calls {
            report.add(call);
            let unsent = matches!(call.outcome, Outcome::Lost { sent: false });
            self.lost_unsent += u64::from(unsent);
        }
        self.calls.extend(calls);
    }

    pub(super) fn finish(&mut self) {
        self.calls.sort_by_key(|call| call.sent);
        for (name, report) in &mut self.teams {
            let calls = self.calls.iter().filter(|call| call.team == *name);
            let sent: Vec<_> = calls.map(|call| call.sent).collect();
            report.judge_refusals(&sent);
            self.lost += report.lost;
            self.cut += report.cut;
            self.wrong_answer += report.wrong_answer;
        }
    }

    /// Compares the calls with what the back ends observed. Runs of other requests count only in
    /// `key_seen_by_backend` and `over_slots`.
    ///
    /// `jitter` is the longest time by which the way from admission to a back end may differ
    /// between two requests. Zero judges arrivals as if they were admissions.
    #[must_use]
    pub fn compare_with_backends(
        &self,
        backends: &[BackendRecords],
        jitter: Duration,
    ) -> BackendComparison {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in backends.iter().flat_map(|records| &records.runs) {
            runs.entry(run.request_id.as_str()).or_default().push(run);
        }
        let mut joined = BackendComparison {
            key_seen_by_backend: backends.iter().map(|records| records.key_seen).sum(),
            over_slots: backends.iter().map(|records| records.over_slots).sum(),
            ..BackendComparison::default()
        };
        let mut admitted: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
        for call in &self.calls {
            let runs = runs
                .get(call.request_id.as_str())
                .map_or(&[][..], Vec::as_slice);
            joined.add(call, runs);
            // A request that runs again was still admitted once.
            if let Some(first) = runs.iter().map(|run| run.arrived).min() {
                admitted.entry(&call.team).or_default().push(first);
            }
        }
        for (team, arrivals) in admitted {
            if let Some(limit) = self.teams.get(team).and_then(|report| report.limit) {
                joined.over_rate += count_over_rate(&arrivals, limit, jitter);
            }
        }
        joined
    }

    /// Returns the team with the lowest served fraction.
    #[must_use]
    pub fn worst_team(&self) -> Option<(&str, &TeamReport)> {
        let teams = self
            .teams
            .iter()
            .map(|(name, report)| (name.as_str(), report));
        teams.min_by(|(_, a), (_, b)| a.served_fraction().total_cmp(&b.served_fraction()))
    }

    /// Returns the latencies of all teams in microseconds.
    #[must_use]
    pub fn latency_us(&self) -> Histogram<u64> {
        let mut sum = TeamReport::new(None).latency_us;
        for report in self.teams.values() {
            sum.add(&report.latency_us)
                .expect("all histograms have the same bounds");
        }
        sum
    }
}

impl BackendComparison {
    fn add(&mut self, call: &CallRecord, runs: &[&Run]) {
        let again = (runs.len() as u64).saturating_sub(1);
        if call.idempotent {
            self.rerun_idempotent += again;
        } else {
            self.repeated += again;
        }
        let not_run = matches!(call.outcome, Outcome::Refused { not_run: true, .. });
        self.ran_after_not_run += u64::from(not_run && !runs.is_empty());
        let served = call.outcome == Outcome::Whole;
        self.served_without_run += u64::from(served && runs.is_empty());
        let other_team = |run: &&Run| run.team.as_ref().is_some_and(|team| *team != call.team);
        self.wrong_team += u64::from(runs.iter().any(other_team));
    }
}

/// Returns the first arrival of each request that ran, by the value of `x-team`, for windows over
/// several loads. Runs without the header are left out.
#[must_use]
pub fn admitted_by_team(backends: &[BackendRecords]) -> BTreeMap<String, Vec<Instant>> {
    let mut first: HashMap<&str, &Run> = HashMap::new();
    for run in backends.iter().flat_map(|records| &records.runs) {
        let known = first.entry(run.request_id.as_str()).or_insert(run);
        if run.arrived < known.arrived {
            *known = run;
        }
    }
    let mut teams: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for run in first.values() {
        if let Some(team) = &run.team {
            teams.entry(team.clone()).or_default().push(run.arrived);
        }
    }
    teams
}

/// Returns the smallest number of requests without which every window holds at most
/// burst + rate x length. `jitter` lengthens every window by the time by which the observed times
/// may be off from each other. `times` need not be in order.
#[must_use]
pub fn count_over_rate(times: &[Instant], limit: Limit, jitter: Duration) -> u64 {
    // A full bucket that refills at the rate never lacks a token exactly if every window holds.
    let capacity = limit.burst + limit.rate * jitter.as_secs_f64();
    let mut times = times.to_vec();
    times.sort_unstable();
    let (mut tokens, mut over) = (capacity, 0);
    let mut last = times.first().copied();
    for at in times {
        let passed = last.map_or(0.0, |last| (at - last).as_secs_f64());
        tokens = (tokens + passed * limit.rate).min(capacity);
        last = Some(at);
        // The tolerance absorbs rounding of sums that are exact in real numbers.
        if tokens + 1e-9 >= 1.0 {
            tokens -= 1.0;
        } else {
            over += 1;
        }
    }
    over
}
