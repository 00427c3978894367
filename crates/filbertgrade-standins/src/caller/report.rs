//! Results of a load, and their comparison with the records of the backend servers.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use super::Outcome;
use super::load::TeamLoad;
use crate::backend::{BackendRecords, Run};

/// Largest latency in microseconds that the histograms can represent: 10 minutes. Longer latencies
/// are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Rate limit of a team over all VMs together, as a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Sustained number of requests per second.
    pub rate: f64,
    /// Capacity of the token bucket: the largest number of requests at once.
    pub burst: f64,
}

/// One call of a load.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Value of `x-request-id`.
    pub request_id: String,
    /// Team that sent the request.
    pub team: String,
    /// Whether the request may run more than once. Only `POST` requests may not.
    pub idempotent: bool,
    /// Time when the call started.
    pub sent: Instant,
    /// Time from the planned start to the end of the call. The timer of the load starts calls up to
    /// 1 ms late, which is included.
    pub latency: Duration,
    /// How the call ended.
    pub outcome: Outcome,
    /// Address of the last VM that was tried, or `None` if there was no VM to try.
    pub vm: Option<SocketAddr>,
}

/// Results of the calls of one team.
#[derive(Clone, Debug)]
pub struct TeamReport {
    /// Calls that were made.
    pub sent: u64,
    /// Calls that received the complete response.
    pub served: u64,
    /// Number of refused calls by cause, in order of the first occurrence.
    pub refused: IndexMap<String, u64>,
    /// Refused calls whose refusal states that the request did not run.
    pub refused_not_run: u64,
    /// Refused calls that the team's limit would have admitted: the number of calls that a token
    /// bucket with the limit, initially full, admits, less the calls that were not refused. Zero
    /// without a limit.
    pub refused_within_rate: u64,
    /// Refused calls that are not in `refused_within_rate`. Zero without a limit.
    pub refused_over_rate: u64,
    /// Calls without a response.
    pub lost: u64,
    /// Calls whose response body failed or did not end in time.
    pub truncated: u64,
    /// Calls that received a response with an unexpected body.
    pub wrong_response: u64,
    /// Calls that were not made because too many were in flight. They are not part of `sent`.
    pub skipped: u64,
    /// Latency of served calls in microseconds, measured from the planned start.
    pub latency_us: Histogram<u64>,
    /// Rate limit of the team, as in the settings of the load.
    pub limit: Option<Limit>,
}

impl TeamReport {
    /// Returns the latency in milliseconds that the fraction `quantile` of served calls did not
    /// exceed.
    #[must_use]
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the fraction of calls that were served, or 1 if there were no calls.
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
            truncated: 0,
            wrong_response: 0,
            skipped: 0,
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3)
                .expect("the bounds of the histogram are valid"),
            limit,
        }
    }

    fn add(&mut self, call: &CallRecord) {
        self.sent += 1;
        match &call.outcome {
            Outcome::Complete => {
                self.served += 1;
                let us = u64::try_from(call.latency.as_micros()).unwrap_or(u64::MAX);
                self.latency_us.saturating_record(us);
            }
            Outcome::WrongResponse => self.wrong_response += 1,
            Outcome::Truncated => self.truncated += 1,
            Outcome::Refused { cause, not_run, .. } => {
                *self.refused.entry(cause.clone()).or_default() += 1;
                self.refused_not_run += u64::from(*not_run);
            }
            Outcome::Lost { .. } => self.lost += 1,
        }
    }

    /// Divides the refused calls into those within and above the rate limit. `sent` holds the start
    /// time of every call.
    fn classify_refusals(&mut self, sent: &[Instant]) {
        let Some(limit) = self.limit else { return };
        let refused = self.refused_total();
        let admissible = self.sent - count_over_rate(sent, limit, Duration::ZERO);
        let admitted = self.sent - refused;
        self.refused_within_rate = admissible.saturating_sub(admitted).min(refused);
        self.refused_over_rate = refused - self.refused_within_rate;
    }
}

/// Results of the calls of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Results by team, in the order of the settings.
    pub teams: IndexMap<String, TeamReport>,
    /// Every call, in order of start time.
    pub calls: Vec<CallRecord>,
    /// Calls without a response.
    pub lost: u64,
    /// Lost calls that reached no VM, so that no byte of the request was sent.
    pub lost_unsent: u64,
    /// Calls whose response body failed or did not end in time.
    pub truncated: u64,
    /// Calls that received a response with an unexpected body.
    pub wrong_response: u64,
}

/// Result of the comparison of calls with the records of the backend servers. For a correct system,
/// all counts except `rerun_idempotent` are zero.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BackendComparison {
    /// Repeated runs of requests that are not idempotent, not counting the first run of each.
    pub repeated: u64,
    /// Repeated runs of idempotent requests, not counting the first run of each.
    pub rerun_idempotent: u64,
    /// Requests in which a backend server found credentials.
    pub key_seen_by_backend: u64,
    /// Requests that arrived at a backend server while all its slots were busy.
    pub over_slots: u64,
    /// Requests that ran above the rate limit of their team, as [`count_over_rate`] counts them.
    pub over_rate: u64,
    /// Requests that ran although their refusal states that they did not.
    pub ran_after_not_run: u64,
    /// Served requests that no backend server ran.
    pub served_without_run: u64,
    /// Requests that ran with an `x-team` header that names another team than their sender.
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
            truncated: 0,
            wrong_response: 0,
        }
    }

    /// Adds the calls of one team.
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

    /// Sorts the calls and computes the sums and the division of refusals, once all calls are
    /// added.
    pub(super) fn finish(&mut self) {
        self.calls.sort_by_key(|call| call.sent);
        for (name, report) in &mut self.teams {
            let calls = self.calls.iter().filter(|call| call.team == *name);
            let sent: Vec<_> = calls.map(|call| call.sent).collect();
            report.classify_refusals(&sent);
            self.lost += report.lost;
            self.truncated += report.truncated;
            self.wrong_response += report.wrong_response;
        }
    }

    /// Compares the calls with the records of the backend servers. Requests that are not part of
    /// the load count only in `key_seen_by_backend` and `over_slots`.
    ///
    /// `jitter` is the largest difference between two requests in the time from admission to
    /// arrival at a backend server. With zero, arrival times are treated as admission times.
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
        let mut comparison = BackendComparison {
            key_seen_by_backend: backends.iter().map(|records| records.key_seen).sum(),
            over_slots: backends.iter().map(|records| records.over_slots).sum(),
            ..BackendComparison::default()
        };
        let mut admitted: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
        for call in &self.calls {
            let runs = runs
                .get(call.request_id.as_str())
                .map_or(&[][..], Vec::as_slice);
            comparison.add(call, runs);
            // A request that ran repeatedly was admitted only once.
            if let Some(first) = runs.iter().map(|run| run.arrived).min() {
                admitted.entry(&call.team).or_default().push(first);
            }
        }
        for (team, arrivals) in admitted {
            if let Some(limit) = self.teams.get(team).and_then(|report| report.limit) {
                comparison.over_rate += count_over_rate(&arrivals, limit, jitter);
            }
        }
        comparison
    }

    /// Returns the name and the results of the team with the lowest served fraction, or `None` if
    /// there are no teams.
    #[must_use]
    pub fn worst_team(&self) -> Option<(&str, &TeamReport)> {
        let teams = self
            .teams
            .iter()
            .map(|(name, report)| (name.as_str(), report));
        teams.min_by(|(_, a), (_, b)| a.served_fraction().total_cmp(&b.served_fraction()))
    }

    /// Returns the latencies of the served calls of all teams in microseconds.
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
    /// Counts one call and the runs of its request.
    fn add(&mut self, call: &CallRecord, runs: &[&Run]) {
        let reruns = (runs.len() as u64).saturating_sub(1);
        if call.idempotent {
            self.rerun_idempotent += reruns;
        } else {
            self.repeated += reruns;
        }
        let not_run = matches!(call.outcome, Outcome::Refused { not_run: true, .. });
        self.ran_after_not_run += u64::from(not_run && !runs.is_empty());
        let served = call.outcome == Outcome::Complete;
        self.served_without_run += u64::from(served && runs.is_empty());
        let other_team = |run: &&Run| run.team.as_ref().is_some_and(|team| *team != call.team);
        self.wrong_team += u64::from(runs.iter().any(other_team));
    }
}

/// Returns the first arrival time of each request that ran, grouped by the value of `x-team`. With
/// the records of several loads, this allows [`count_over_rate`] to cover all of them. Requests
/// whose first run has no such header are left out.
#[must_use]
pub fn admitted_by_team(backends: &[BackendRecords]) -> BTreeMap<String, Vec<Instant>> {
    let mut first: HashMap<&str, &Run> = HashMap::new();
    for run in backends.iter().flat_map(|records| &records.runs) {
        let earliest = first.entry(run.request_id.as_str()).or_insert(run);
        if run.arrived < earliest.arrived {
            *earliest = run;
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

/// Returns the smallest number of requests that must be removed so that every time window contains
/// at most burst + rate x length of the window. `jitter` is the largest error of the difference
/// between two observed times; each window is treated as longer by it. `times` need not be in
/// order.
#[must_use]
pub fn count_over_rate(times: &[Instant], limit: Limit, jitter: Duration) -> u64 {
    // Every window is within the limit if and only if a token bucket, initially full, never lacks
    // a token.
    let capacity = limit.burst + limit.rate * jitter.as_secs_f64();
    let mut times = times.to_vec();
    times.sort_unstable();
    let (mut tokens, mut excess) = (capacity, 0);
    let mut last = times.first().copied();
    for at in times {
        let elapsed = last.map_or(0.0, |last| (at - last).as_secs_f64());
        tokens = (tokens + elapsed * limit.rate).min(capacity);
        last = Some(at);
        // The tolerance absorbs floating-point rounding errors of the refill.
        if tokens + 1e-9 >= 1.0 {
            tokens -= 1.0;
        } else {
            excess += 1;
        }
    }
    excess
}
