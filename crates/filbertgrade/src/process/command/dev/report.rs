//! The report of a run, as JSON or as a short table.

use std::fmt::Write;
use std::time::Duration;

use filbertgrade_coord::names::RegionName;
use filbertgrade_standins::backend::BackendRecords;
use filbertgrade_standins::caller::{LoadReport, TeamReport};
use indexmap::IndexMap;
use serde::Serialize;

/// Maximum difference between the times that two requests take from admission
/// to the backend server. It covers the wait for a slot in the caller's region
/// and the transit to another region.
const MAX_TRANSIT_JITTER: Duration = Duration::from_millis(250);

/// Figures of one run. All counts come from the stand-ins for callers and
/// backend servers, not from the deployment itself.
#[derive(Debug, Serialize)]
pub(super) struct DevReport {
    requests: u64,
    lost: u64,
    cut: u64,
    repeated: u64,
    wrong_answer: u64,
    wrong_team: u64,
    ran_after_not_run: u64,
    key_seen_by_backend: u64,
    over_rate: u64,
    over_slots: u64,
    over_connections: u64,
    refused_within_rate: u64,
    refused_over_rate: u64,
    refused: IndexMap<String, u64>,
    teams: IndexMap<String, TeamFigures>,
    latency_ms: LatencyMs,
    added_latency_ms: AddedLatencyMs,
    worst_team: WorstTeam,
    headroom: IndexMap<String, f64>,
    drain_seconds: f64,
    /// Average rate of control traffic by link, for each direction.
    pub(super) control_bytes_per_second_per_link: IndexMap<String, f64>,
}

/// Figures of one team.
#[derive(Debug, Serialize)]
struct TeamFigures {
    sent: u64,
    served: u64,
    refused_within_rate: u64,
    p50_ms: f64,
    p99_ms: f64,
}

/// Latency percentiles of the requests through the deployment.
#[derive(Debug, Serialize)]
struct LatencyMs {
    p50: f64,
    p99: f64,
    p999: f64,
}

/// Latency percentiles minus those of requests sent directly to the backend
/// servers.
#[derive(Debug, Serialize)]
struct AddedLatencyMs {
    p50: f64,
    p99: f64,
}

/// The team with the lowest served fraction of the requests that its rate
/// allows.
#[derive(Debug, Default, Serialize)]
struct WorstTeam {
    name: String,
    served_fraction: f64,
    p99_ms: f64,
}

/// The lowest free fraction of each region's slots during the run.
#[derive(Debug, Default)]
pub(super) struct Headroom {
    min_free: IndexMap<String, f64>,
}

impl Headroom {
    pub(super) fn sample(&mut self, region: &RegionName, free: f64) {
        let min_free = self.min_free.entry(region.to_string()).or_insert(1.0);
        *min_free = min_free.min(free);
    }
}

impl DevReport {
    pub(super) fn new(
        load: &LoadReport,
        direct: &LoadReport,
        records: &[BackendRecords],
        headroom: Headroom,
        drain: Duration,
    ) -> Self {
        let comparison = load.compare_with_backends(records, MAX_TRANSIT_JITTER);
        let latency = load.latency_us();
        let direct = direct.latency_us();
        let ms = |us: u64| us as f64 / 1000.0;
        let at = |quantile: f64| ms(latency.value_at_quantile(quantile));
        let added = |quantile: f64| at(quantile) - ms(direct.value_at_quantile(quantile));
        let teams = load.teams.values();
        let mut refused: IndexMap<String, u64> = IndexMap::new();
        for (cause, count) in teams.clone().flat_map(|team| &team.refused) {
            *refused.entry(cause.clone()).or_default() += count;
        }
        Self {
            requests: teams.clone().map(|team| team.sent).sum(),
            lost: load.lost,
            cut: load.truncated,
            repeated: comparison.repeated,
            wrong_answer: load.wrong_response,
            wrong_team: comparison.wrong_team,
            ran_after_not_run: comparison.ran_after_not_run,
            key_seen_by_backend: comparison.key_seen_by_backend,
            over_rate: comparison.over_rate,
            over_slots: comparison.over_slots,
            over_connections: records.iter().map(|r| r.connections_over_limit).sum(),
            refused_within_rate: teams.clone().map(|team| team.refused_within_rate).sum(),
            refused_over_rate: teams.map(|team| team.refused_over_rate).sum(),
            refused,
            teams: team_figures(load),
            latency_ms: LatencyMs {
                p50: at(0.5),
                p99: at(0.99),
                p999: at(0.999),
            },
            added_latency_ms: AddedLatencyMs {
                p50: added(0.5),
                p99: added(0.99),
            },
            worst_team: WorstTeam::of(load),
            headroom: headroom.min_free,
            drain_seconds: drain.as_secs_f64(),
            control_bytes_per_second_per_link: IndexMap::new(),
        }
    }

    /// The counts that must be zero and are not, as `name=count`.
    ///
    /// `over_slots` is not among them: a backend server without a free slot
    /// refuses the request, which then runs on another one.
    pub(super) fn violations(&self) -> Vec<String> {
        let counts = [
            ("lost", self.lost),
            ("cut", self.cut),
            ("repeated", self.repeated),
            ("wrong_answer", self.wrong_answer),
            ("wrong_team", self.wrong_team),
            ("ran_after_not_run", self.ran_after_not_run),
            ("key_seen_by_backend", self.key_seen_by_backend),
            ("over_rate", self.over_rate),
            ("over_connections", self.over_connections),
        ];
        let violations = counts.into_iter().filter(|(_, count)| *count > 0);
        violations
            .map(|(name, count)| format!("{name}={count}"))
            .collect()
    }

    pub(super) fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    pub(super) fn to_table(&self) -> String {
        let mut table = String::new();
        let mut row = |name: &str, value: String| {
            let _ = writeln!(table, "{name:<24} {value}");
        };
        row("requests", self.requests.to_string());
        row(
            "lost / cut / wrong",
            format!("{} / {} / {}", self.lost, self.cut, self.wrong_answer),
        );
        row("repeated", self.repeated.to_string());
        row("keys seen by servers", self.key_seen_by_backend.to_string());
        row(
            "over rate / slots",
            format!("{} / {}", self.over_rate, self.over_slots),
        );
        row(
            "refused within / over",
            format!("{} / {}", self.refused_within_rate, self.refused_over_rate),
        );
        row(
            "latency p50 p99 p999",
            format!(
                "{:.1} {:.1} {:.1} ms",
                self.latency_ms.p50, self.latency_ms.p99, self.latency_ms.p999
            ),
        );
        row(
            "added p50 p99",
            format!(
                "{:.1} {:.1} ms",
                self.added_latency_ms.p50, self.added_latency_ms.p99
            ),
        );
        row(
            "worst team",
            format!(
                "{} {:.1}% served, p99 {:.1} ms",
                self.worst_team.name,
                self.worst_team.served_fraction * 100.0,
                self.worst_team.p99_ms
            ),
        );
        for (region, min_free) in &self.headroom {
            row(
                &format!("headroom {region}"),
                format!("{:.0}%", min_free * 100.0),
            );
        }
        row("drain", format!("{:.2} s", self.drain_seconds));
        for (link, rate) in &self.control_bytes_per_second_per_link {
            row(&format!("control {link}"), format!("{rate:.0} bytes/s"));
        }
        table
    }
}

fn team_figures(load: &LoadReport) -> IndexMap<String, TeamFigures> {
    let figures = |(name, team): (&String, &TeamReport)| {
        let figures = TeamFigures {
            sent: team.sent,
            served: team.served,
            refused_within_rate: team.refused_within_rate,
            p50_ms: team.latency_ms(0.5),
            p99_ms: team.latency_ms(0.99),
        };
        (name.clone(), figures)
    };
    load.teams.iter().map(figures).collect()
}

impl WorstTeam {
    /// Refusals of requests over a team's rate are expected, so they do not
    /// lower its served fraction.
    fn of(load: &LoadReport) -> Self {
        load.teams
            .iter()
            .map(|(name, team)| {
                let within_rate = team.sent - team.refused_over_rate;
                let served_fraction = if within_rate == 0 {
                    1.0
                } else {
                    team.served as f64 / within_rate as f64
                };
                Self {
                    name: name.clone(),
                    served_fraction,
                    p99_ms: team.latency_ms(0.99),
                }
            })
            .min_by(|a, b| {
                let by_fraction = a.served_fraction.total_cmp(&b.served_fraction);
                by_fraction.then(b.p99_ms.total_cmp(&a.p99_ms))
            })
            .unwrap_or_default()
    }
}
