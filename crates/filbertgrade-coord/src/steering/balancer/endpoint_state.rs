//! What one VM believes of an endpoint.

use std::time::{Duration, Instant};

use super::request::{LoadReport, Outcome, Target};
use crate::names::RegionName;
use crate::steering::cold_start::ColdStartLimit;
use crate::steering::endpoint::Endpoint;
use crate::steering::placement::endpoint_hash;

/// Time in which the difference between a load report and the mean of the
/// reports fades, in seconds; about that of a few requests.
const REPORT_FADE: f64 = 0.7;

/// Weight of one load report in their mean.
const REPORT_WEIGHT: f64 = 0.1;

/// Time in which the memory of failures and slowness fades by half, in
/// seconds. Longer keeps endpoints out that have recovered.
const FADE_HALF: f64 = 4.0;

/// Weight of one outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.25;

/// Exponent with which one latency changes an endpoint's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// Range of an endpoint's slowness.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.7..=30.0;

/// First rest of an endpoint that cannot be reached, and the longest.
const REST_FIRST: Duration = Duration::from_millis(250);
const REST_LONGEST: Duration = Duration::from_secs(2);

/// Requests that an endpoint is assumed to hold, in multiples of its slots,
/// before it refuses one.
const QUEUE_GUESS: f64 = 4.0;

#[derive(Debug)]
pub(super) struct EndpointState {
    pub(super) endpoint: Endpoint,
    pub(super) hash: u64,
    pub(super) region: RegionName,
    /// Requests of this VM.
    pub(super) in_flight: u32,
    /// Requests of other VMs at the last report.
    pub(super) others: f64,
    /// Requests of other VMs in the mean of the reports.
    pub(super) others_mean: f64,
    pub(super) reported_at: Option<Instant>,
    /// Requests that it holds at most, learned from its refusals.
    pub(super) capacity: f64,
    /// Share of failures, at `faded_at`.
    pub(super) failures: f64,
    /// Time that it takes in multiples of other endpoints', at `faded_at`.
    pub(super) slowness: f64,
    pub(super) faded_at: Instant,
    pub(super) rest: Option<Rest>,
    /// Another endpoint answered at its address.
    pub(super) mismatched: bool,
    pub(super) cold_until: Option<Instant>,
    /// `None` when this VM may not send to it while it is cold.
    pub(super) cold: Option<ColdStartLimit>,
}

/// An endpoint that cannot be reached gets one request at a time, after a rest.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rest {
    pub(super) until: Instant,
    pub(super) length: Duration,
    pub(super) trial: bool,
}

impl EndpointState {
    pub(super) fn new(endpoint: &Endpoint, region: RegionName, now: Instant) -> Self {
        Self {
            endpoint: endpoint.clone(),
            hash: endpoint_hash(&endpoint.key.id),
            region,
            in_flight: 0,
            others: 0.0,
            others_mean: 0.0,
            reported_at: None,
            capacity: f64::from(endpoint.slots) * QUEUE_GUESS,
            failures: 0.0,
            slowness: 1.0,
            faded_at: now,
            rest: None,
            mismatched: false,
            cold_until: None,
            cold: None,
        }
    }

    /// The endpoint is cold for at least `time` from now.
    pub(super) fn warm_up(&mut self, time: Duration, now: Instant) {
        if time > Duration::ZERO {
            self.cold_until = self.cold_until.max(Some(now + time));
        }
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Requests of all VMs, as far as known.
    pub(super) fn load(&self, now: Instant) -> f64 {
        let age = self.reported_at.map_or(f64::INFINITY, |at| {
            now.saturating_duration_since(at).as_secs_f64()
        });
        let recent = (self.others - self.others_mean) * (-age / REPORT_FADE).exp();
        f64::from(self.in_flight) + (self.others_mean + recent).max(0.0)
    }

    pub(super) fn is_open(&self, now: Instant) -> bool {
        if self.rest.is_some_and(|rest| rest.trial || now < rest.until) {
            return false;
        }
        if !self.is_cold(now) {
            return true;
        }
        self.cold
            .clone()
            .is_some_and(|mut limit| limit.has_token(now))
    }

    pub(super) fn begin(&mut self, now: Instant) {
        self.in_flight += 1;
        if self.is_cold(now)
            && let Some(limit) = &mut self.cold
        {
            limit.try_take(now);
        }
        if let Some(rest) = &mut self.rest {
            rest.trial = true;
        }
    }

    pub(super) fn note_report(&mut self, report: LoadReport, now: Instant) {
        let requests = f64::from(report.requests);
        self.others = (requests - f64::from(self.in_flight)).max(0.0);
        self.others_mean += (self.others - self.others_mean) * REPORT_WEIGHT;
        self.reported_at = Some(now);
        if report.slots > 0 {
            self.endpoint.slots = report.slots;
        }
    }

    pub(super) fn note_outcome(
        &mut self,
        target: &Target,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Duration> {
        match outcome {
            Outcome::Answered { latency, failed } => {
                self.rest = None;
                self.note_failure(failed, now);
                self.note_latency(target, latency, now);
                self.capacity =
                    (self.capacity + 0.1).min(f64::from(self.endpoint.slots) * QUEUE_GUESS);
            }
            Outcome::Refused => self.note_refusal(now),
            Outcome::Mismatched => self.mismatched = true,
            Outcome::Unreachable => return Some(self.begin_rest(now)),
            Outcome::ConnectionLost => {
                self.note_failure(true, now);
                return self.rest.is_some().then(|| self.begin_rest(now));
            }
            Outcome::TimedOut => {
                self.note_failure(true, now);
                self.note_latency(target, target.expected_latency.saturating_mul(4), now);
                return self.rest.is_some().then(|| self.begin_rest(now));
            }
            Outcome::Cancelled => {
                if let Some(rest) = &mut self.rest {
                    rest.trial = false;
                }
            }
        }
        None
    }

    /// The endpoint refused because it is full, or fails to take work although
    /// it is not.
    pub(super) fn note_refusal(&mut self, now: Instant) {
        self.rest = None;
        let load = self.load(now) + 1.0;
        let slots = f64::from(self.endpoint.slots);
        if load > slots {
            self.capacity = load.max(slots);
        } else {
            self.note_failure(true, now);
        }
    }

    pub(super) fn note_failure(&mut self, failed: bool, now: Instant) {
        self.fade(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures += (sample - self.failures) * FAILURE_WEIGHT;
    }

    pub(super) fn note_latency(&mut self, target: &Target, latency: Duration, now: Instant) {
        self.fade(now);
        let expected = target.expected_latency.as_secs_f64().max(0.001);
        let ratio = latency.as_secs_f64() / expected;
        let slowness = self.slowness * ratio.clamp(0.2, 20.0).powf(SLOWNESS_WEIGHT);
        self.slowness = slowness.clamp(*SLOWNESS.start(), *SLOWNESS.end());
    }

    pub(super) fn begin_rest(&mut self, now: Instant) -> Duration {
        let length = match self.rest {
            // Requests that were sent together fail together.
            Some(rest) if !rest.trial => rest.length,
            Some(rest) => (rest.length * 2).min(REST_LONGEST),
            None => REST_FIRST,
        };
        let until = now + length;
        self.rest = Some(Rest {
            until,
            length,
            trial: false,
        });
        length
    }

    pub(super) fn fade(&mut self, now: Instant) {
        self.failures = self.faded(self.failures, 0.0, now);
        self.slowness = self.faded(self.slowness, 1.0, now);
        self.faded_at = self.faded_at.max(now);
    }

    /// `value` as it has come closer to `rest` since `faded_at`.
    pub(super) fn faded(&self, value: f64, rest: f64, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.faded_at).as_secs_f64();
        rest + (value - rest) * 0.5_f64.powf(elapsed / FADE_HALF)
    }
}
