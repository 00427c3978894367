//! One VM's estimate of the state of an endpoint.

use std::time::{Duration, Instant};

use super::request::{LoadReport, Outcome, Target};
use crate::names::RegionName;
use crate::steering::cold_start::ColdStartLimit;
use crate::steering::endpoint::Endpoint;
use crate::steering::endpoint_limit::EndpointLimit;
use crate::steering::placement::endpoint_hash;

/// Time constant in seconds with which the difference between a load report and
/// the mean of the reports decays. It is about the duration of a few requests,
/// after which the reported ones have ended.
const REPORT_DECAY_SECONDS: f64 = 0.7;

/// Weight of one load report in the moving average of the reports.
const REPORT_WEIGHT: f64 = 0.1;

/// Half-life in seconds of recorded failures and slowness. A longer one keeps
/// endpoints out of use after they have recovered.
const HALF_LIFE_SECONDS: f64 = 4.0;

/// Weight of one outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.25;

/// Exponent applied to the ratio of a measured latency to the expected one
/// before it is multiplied into the endpoint's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// Range to which an endpoint's slowness is limited.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.7..=30.0;

/// Backoff after the first failed connection to an endpoint, and the limit up to
/// which it doubles with each failed probe.
const UNREACHABLE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_secs(2));

/// The same after a response of another endpoint. That is rarely an error, so it
/// costs few requests to find out that it was one.
const DISPLACED_BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(16));

/// How long the load of other VMs is assumed at an endpoint that does not respond. Its
/// first responses take about a second; later, a few requests of this VM say little
/// about those of many others.
const ASSUMED_LOAD_TIME: Duration = Duration::from_secs(2);

/// Requests for each slot that an endpoint is assumed to hold, running and
/// queued, until it refuses one.
const DEFAULT_CAPACITY_PER_SLOT: f64 = 4.0;

#[derive(Debug)]
pub(super) struct EndpointState {
    pub(super) endpoint: Endpoint,
    /// Hash of the endpoint's id.
    pub(super) hash: u64,
    pub(super) region: RegionName,
    /// Requests of this VM at the endpoint.
    pub(super) in_flight: u32,
    /// It has responded to this VM, so that its load report, if it sends any, is known.
    has_responded: bool,
    /// When this VM learned of it.
    known_since: Instant,
    /// Requests of other VMs, while [`is_load_assumed`](Self::is_load_assumed).
    pub(super) assumed_other_load: f64,
    /// Requests of other VMs according to the last load report.
    pub(super) other_load: f64,
    /// Moving average of `other_load` over the load reports.
    pub(super) other_load_mean: f64,
    pub(super) reported_at: Option<Instant>,
    /// Requests that the endpoint holds at most, running and queued, as learned
    /// from its refusals.
    pub(super) capacity: f64,
    /// Moving average of the fraction of requests that fail, as of
    /// `decayed_at`.
    pub(super) failures: f64,
    /// Latency as a multiple of that of the other endpoints, as of
    /// `decayed_at`.
    pub(super) slowness: f64,
    pub(super) decayed_at: Instant,
    /// Set while the endpoint cannot be reached.
    pub(super) ejection: Option<Ejection>,
    /// Set while another endpoint responds at its address. Ends with a response of
    /// the endpoint itself, so that a false one does not exclude it for good.
    pub(super) displaced: Option<Ejection>,
    pub(super) cold_until: Option<Instant>,
    /// Limits the requests of this VM while the endpoint is cold; `None` while it
    /// is warm.
    pub(super) cold_limit: Option<ColdStartLimit>,
    /// The rate that it names; `None` if it has never named one.
    pub(super) limit: Option<EndpointLimit>,
    /// Largest number of requests of this VM at the endpoint after it has paused,
    /// which grows with each response; `None` once it no longer binds.
    pub(super) return_window: Option<u32>,
}

/// The ejection of an endpoint. It receives nothing until the backoff has passed,
/// and then one probe request at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ejection {
    pub(super) until: Instant,
    pub(super) backoff: Duration,
    /// A probe request is in flight.
    pub(super) probing: bool,
}

impl Ejection {
    /// Returns the ejection after another failure. Its backoff doubles only when a
    /// probe has failed: requests that were in flight together fail together.
    fn after(previous: Option<Self>, (first, longest): (Duration, Duration), now: Instant) -> Self {
        let backoff = match previous {
            Some(ejection) if !ejection.probing => ejection.backoff,
            Some(ejection) => (ejection.backoff * 2).min(longest),
            None => first,
        };
        Self {
            until: now + backoff,
            backoff,
            probing: false,
        }
    }

    /// Whether a probe request may be sent.
    fn permits_probe(&self, now: Instant) -> bool {
        !self.probing && now >= self.until
    }
}

impl EndpointState {
    pub(super) fn new(endpoint: &Endpoint, region: RegionName, now: Instant) -> Self {
        Self {
            endpoint: endpoint.clone(),
            hash: endpoint_hash(&endpoint.key.id),
            region,
            in_flight: 0,
            has_responded: false,
            known_since: now,
            assumed_other_load: 0.0,
            other_load: 0.0,
            other_load_mean: 0.0,
            reported_at: None,
            capacity: f64::from(endpoint.slots) * DEFAULT_CAPACITY_PER_SLOT,
            failures: 0.0,
            slowness: 1.0,
            decayed_at: now,
            ejection: None,
            displaced: None,
            cold_until: None,
            cold_limit: None,
            limit: None,
            return_window: None,
        }
    }

    /// Makes this VM return with one request at a time after a pause, and with one
    /// more after each response.
    pub(super) fn limit_return(&mut self) {
        self.return_window = Some(1);
    }

    /// Widens the window after a pause; it ends once it covers all slots.
    fn widen_return_window(&mut self) {
        self.return_window = self
            .return_window
            .map(|window| window + 1)
            .filter(|window| *window < self.endpoint.slots);
    }

    /// Marks the endpoint as cold for at least `time` from now.
    pub(super) fn mark_cold(&mut self, time: Duration, now: Instant) {
        if time > Duration::ZERO {
            self.cold_until = self.cold_until.max(Some(now + time));
        }
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the best known estimate of the requests of all VMs at the
    /// endpoint: this VM's own, plus those of the others from the load reports.
    /// The last report counts most while it is recent, the average afterwards.
    /// Those of the others may be [assumed](Self::is_load_assumed) instead.
    pub(super) fn load(&self, now: Instant) -> f64 {
        if self.is_load_assumed(now) {
            return f64::from(self.in_flight) + self.assumed_other_load;
        }
        let age = self.reported_at.map_or(f64::INFINITY, |at| {
            now.saturating_duration_since(at).as_secs_f64()
        });
        let recent = (self.other_load - self.other_load_mean) * (-age / REPORT_DECAY_SECONDS).exp();
        f64::from(self.in_flight) + (self.other_load_mean + recent).max(0.0)
    }

    /// The endpoint has not responded yet, and is not known for long.
    pub(super) fn is_load_assumed(&self, now: Instant) -> bool {
        !self.has_responded && now.saturating_duration_since(self.known_since) < ASSUMED_LOAD_TIME
    }

    /// Reports whether another endpoint has its address, as far as is known, so that
    /// no request may be sent now.
    pub(super) fn is_displaced(&self, now: Instant) -> bool {
        self.displaced
            .is_some_and(|ejection| !ejection.permits_probe(now))
    }

    pub(super) fn is_limited(&self) -> bool {
        self.limit.as_ref().is_some_and(EndpointLimit::is_limited)
    }

    /// Counts a request for an object of the endpoint if it names a limit: whether it
    /// was sent elsewhere because of that.
    pub(super) fn record_pick(&mut self, overflows: bool) {
        if let Some(limit) = &mut self.limit {
            limit.record_pick(overflows);
        }
    }

    /// Whether one of its `objects` may move to another endpoint because of the limit
    /// that it names.
    pub(super) fn may_lose_object(&self, objects: u32) -> bool {
        self.limit
            .as_ref()
            .is_none_or(|limit| limit.may_lose_object(objects))
    }

    /// Reports whether a request may be sent now, as far as ejection, cold start,
    /// the return after a pause, and the rate that the endpoint names are concerned.
    pub(super) fn is_available(&self, now: Instant) -> bool {
        if self
            .return_window
            .is_some_and(|window| self.in_flight >= window)
        {
            return false;
        }
        if self
            .ejection
            .is_some_and(|ejection| !ejection.permits_probe(now))
        {
            return false;
        }
        if self.limit.as_ref().is_some_and(|limit| !limit.is_open(now)) {
            return false;
        }
        if !self.is_cold(now) {
            return true;
        }
        self.cold_limit
            .clone()
            .is_some_and(|mut limit| limit.has_token(now))
    }

    /// Counts a request that is about to be sent to the endpoint.
    pub(super) fn start_request(&mut self, now: Instant) {
        self.in_flight += 1;
        if self.is_cold(now)
            && let Some(limit) = &mut self.cold_limit
        {
            limit.try_take(now);
        }
        let ejections = [&mut self.ejection, &mut self.displaced];
        for ejection in ejections.into_iter().flatten() {
            ejection.probing = true;
        }
    }

    pub(super) fn record_report(&mut self, report: LoadReport, now: Instant) {
        let requests = f64::from(report.requests);
        self.other_load = (requests - f64::from(self.in_flight)).max(0.0);
        self.other_load_mean += (self.other_load - self.other_load_mean) * REPORT_WEIGHT;
        self.reported_at = Some(now);
        self.has_responded = true;
        if report.slots > 0 {
            self.endpoint.slots = report.slots;
        }
    }

    /// Records the outcome of a request. Returns the backoff if the endpoint is
    /// ejected because of it.
    pub(super) fn record_outcome(
        &mut self,
        target: &Target,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Duration> {
        match outcome {
            Outcome::Responded { latency, failed } => {
                self.has_responded = true;
                self.ejection = None;
                self.displaced = None;
                self.widen_return_window();
                self.record_failure(failed, now);
                self.record_latency(target, latency, now);
                self.capacity = (self.capacity + 0.1)
                    .min(f64::from(self.endpoint.slots) * DEFAULT_CAPACITY_PER_SLOT);
            }
            Outcome::Refused => {
                self.record_refusal(now);
                self.has_responded = true;
            }
            Outcome::Misdirected => {
                self.ejection = None;
                let displaced = Ejection::after(self.displaced, DISPLACED_BACKOFF, now);
                self.displaced = Some(displaced);
            }
            Outcome::Unreachable => {
                self.end_probe();
                return Some(self.eject(now));
            }
            Outcome::ConnectionLost => {
                self.end_probe();
                self.record_failure(true, now);
                return self.ejection.is_some().then(|| self.eject(now));
            }
            Outcome::TimedOut => {
                self.end_probe();
                self.record_failure(true, now);
                self.record_latency(target, target.expected_latency.saturating_mul(4), now);
                return self.ejection.is_some().then(|| self.eject(now));
            }
            Outcome::Cancelled => {
                self.end_probe();
                if let Some(ejection) = &mut self.ejection {
                    ejection.probing = false;
                }
            }
        }
        None
    }

    /// Ends a probe that did not show which endpoint has the address.
    fn end_probe(&mut self) {
        if let Some(ejection) = &mut self.displaced {
            ejection.probing = false;
        }
    }

    /// Records a refusal. If the estimated load exceeds the slots, the endpoint
    /// is full and its capacity is known from now on. Otherwise it has free
    /// slots but does not accept requests, which counts as a failure.
    pub(super) fn record_refusal(&mut self, now: Instant) {
        self.ejection = None;
        self.displaced = None;
        let load = self.load(now) + 1.0;
        let slots = f64::from(self.endpoint.slots);
        if load > slots {
            self.capacity = load.max(slots);
        } else {
            self.record_failure(true, now);
        }
    }

    /// Adds one outcome to the moving average of failures.
    pub(super) fn record_failure(&mut self, failed: bool, now: Instant) {
        self.decay(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures += (sample - self.failures) * FAILURE_WEIGHT;
    }

    pub(super) fn record_latency(&mut self, target: &Target, latency: Duration, now: Instant) {
        self.decay(now);
        let expected = target.expected_latency.as_secs_f64().max(0.001);
        let ratio = latency.as_secs_f64() / expected;
        let slowness = self.slowness * ratio.clamp(0.2, 20.0).powf(SLOWNESS_WEIGHT);
        self.slowness = slowness.clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end());
    }

    /// Ejects the endpoint as unreachable and returns its backoff.
    pub(super) fn eject(&mut self, now: Instant) -> Duration {
        let ejection = Ejection::after(self.ejection, UNREACHABLE_BACKOFF, now);
        self.ejection = Some(ejection);
        ejection.backoff
    }

    pub(super) fn decay(&mut self, now: Instant) {
        self.failures = self.decayed(self.failures, 0.0, now);
        self.slowness = self.decayed(self.slowness, 1.0, now);
        self.decayed_at = self.decayed_at.max(now);
    }

    /// Returns `value` after exponential decay towards `baseline` since
    /// `decayed_at`.
    pub(super) fn decayed(&self, value: f64, baseline: f64, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.decayed_at).as_secs_f64();
        baseline + (value - baseline) * 0.5_f64.powf(elapsed / HALF_LIFE_SECONDS)
    }
}
