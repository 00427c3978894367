//! Rate limit that an endpoint names for itself in its responses.
//!
//! Designed for an endpoint in need that gets requests from hundreds of VMs: its
//! limit may be below one request a second, so that an equal share for each VM
//! would either exceed the limit in sum or be too small to be used. Therefore one
//! VM, the holder, has the whole rate and grants single tokens to the others.
//!
//! VMs that have the same list of running VMs agree on the holder. While their
//! lists differ, two VMs may grant tokens, so a new holder starts at half of the
//! rate.

use std::time::{Duration, Instant};

use crate::bucket::{RateShare, TokenBucket};
use crate::names::VmName;
use crate::rendezvous;
use crate::steering::endpoint::EndpointKey;
use crate::steering::quota::Grant;

/// Time within which all VMs notice that the list of running VMs has changed.
const HANDOVER_TIME: Duration = Duration::from_secs(4);

/// Share of the rate that a new holder grants until the former one has stopped.
const HANDOVER_SHARE: f64 = 0.5;

/// Time for which unused tokens accumulate, in seconds, beside a single token.
const BURST_SECONDS: f64 = 0.5;

/// Lowest rate in requests a second that is used. Only the response to a request
/// shows that a limit has ended, so an endpoint must get one at times.
const MIN_RATE: f64 = 0.1;

/// How long after it was granted a token permits to send the request. Without a
/// bound, requests that wait for a connection would arrive together.
const TOKEN_VALIDITY: Duration = Duration::from_millis(500);

/// Shortest time for which an endpoint is not tried again after its holder had no
/// token or did not respond.
const MIN_CLOSED_TIME: Duration = Duration::from_millis(50);

/// Longest such time.
const MAX_CLOSED_TIME: Duration = Duration::from_secs(2);

/// A rate that an endpoint names again is only sent to other VMs when they last
/// received it this long ago.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Smallest relative change of a rate that other VMs must know at once.
const RELEVANT_CHANGE: f64 = 0.1;

/// Weight of one request in the moving average of the overflow.
const OVERFLOW_WEIGHT: f64 = 0.1;

/// The rate that an endpoint accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointRate {
    /// It names no limit.
    Unlimited,
    /// Requests a second from all VMs together; finite and not negative.
    PerSecond(f64),
}

/// The rate that an endpoint named in a response.
#[derive(Clone, Debug, PartialEq)]
pub struct RateNotice {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The rate that it named.
    pub rate: EndpointRate,
    /// When a VM received the response, by the clock of this VM.
    pub observed_at: Instant,
}

/// A request for a token, to be sent to the holder of an endpoint's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointTokenRequest {
    /// VM that grants the tokens.
    pub holder: VmName,
    /// The endpoint and its rate, which the holder may not know yet.
    pub notice: RateNotice,
}

/// What one VM knows of the limit of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointLimit {
    rate: EndpointRate,
    observed_at: Instant,
    /// When a response named a rate that differs from the one before.
    changed_at: Instant,
    /// When the rate was last sent to other VMs or received from one.
    shared_at: Option<Instant>,
    /// The VM that grants tokens.
    holder: VmName,
    /// Tokens that this VM may grant; `None` if it is not the holder.
    tokens: Option<HolderTokens>,
    /// Until when this VM does not request a token from the holder.
    closed_until: Instant,
    /// Moving average of the fraction of the requests for its objects that this VM
    /// sends elsewhere because of the limit.
    overflow: f64,
}

/// Tokens of the holder.
#[derive(Clone, Debug)]
struct HolderTokens {
    bucket: TokenBucket,
    /// When the whole rate may be granted.
    handover_ends: Instant,
}

/// Which VM is the holder, and for how long it has been.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) vm: VmName,
    /// It is this VM.
    pub(super) is_local: bool,
    /// When it became the holder at the latest; `None` if that is unknown.
    pub(super) since: Option<Instant>,
}

impl EndpointLimit {
    pub(super) fn new(notice: &RateNotice, holder: Holder, now: Instant) -> Self {
        let mut limit = Self {
            rate: EndpointRate::Unlimited,
            observed_at: notice.observed_at,
            changed_at: notice.observed_at,
            shared_at: None,
            holder: holder.vm.clone(),
            tokens: None,
            closed_until: now,
            overflow: 0.0,
        };
        limit.set_holder(holder, now);
        limit.set_rate(notice, now);
        limit
    }

    pub(super) fn rate(&self) -> EndpointRate {
        self.rate
    }

    pub(super) fn is_limited(&self) -> bool {
        self.rate != EndpointRate::Unlimited
    }

    pub(super) fn notice(&self, endpoint: &EndpointKey) -> RateNotice {
        RateNotice {
            endpoint: endpoint.clone(),
            rate: self.rate,
            observed_at: self.observed_at,
        }
    }

    /// Whether a limit was named, or has ended, within `time`.
    pub(super) fn is_recent(&self, time: Duration, now: Instant) -> bool {
        let since = if self.is_limited() {
            self.observed_at
        } else {
            self.changed_at
        };
        now.saturating_duration_since(since) <= time
    }

    /// Applies a notice unless a newer one is known. Returns true if the rate has
    /// changed so much that it matters.
    pub(super) fn set_rate(&mut self, notice: &RateNotice, now: Instant) -> bool {
        if notice.observed_at < self.observed_at {
            return false;
        }
        self.observed_at = notice.observed_at;
        let changed = is_relevant_change(self.rate, notice.rate);
        if changed {
            self.changed_at = notice.observed_at;
        }
        self.rate = notice.rate;
        self.update_share(now);
        changed
    }

    /// Records that other VMs know the rate.
    pub(super) fn mark_shared(&mut self, at: Instant) {
        self.shared_at = self.shared_at.max(Some(at));
    }

    /// Whether other VMs should be sent the rate again.
    pub(super) fn is_refresh_due(&self, now: Instant) -> bool {
        self.shared_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_INTERVAL)
    }

    /// Replaces the holder. A VM that has just become the holder has no token yet.
    pub(super) fn set_holder(&mut self, holder: Holder, now: Instant) {
        let was_local = self.tokens.is_some();
        self.holder = holder.vm;
        if holder.is_local && !was_local {
            self.tokens = Some(HolderTokens {
                bucket: TokenBucket::new(RateShare::ZERO, now),
                handover_ends: holder.since.unwrap_or(now) + HANDOVER_TIME,
            });
        } else if !holder.is_local {
            self.tokens = None;
        }
        self.update_share(now);
    }

    /// Whether a request may be sent, or a token for it requested, now.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        if !self.is_limited() {
            return true;
        }
        if now < self.closed_until {
            return false;
        }
        let Some(mut tokens) = self.tokens.clone() else {
            return true;
        };
        tokens.bucket.refill(now);
        tokens.bucket.tokens() >= 1.0
    }

    /// Returns the request for a token, or `None` if this VM is the holder.
    pub(super) fn token_request(&self, endpoint: &EndpointKey) -> Option<EndpointTokenRequest> {
        self.tokens.is_none().then(|| EndpointTokenRequest {
            holder: self.holder.clone(),
            notice: self.notice(endpoint),
        })
    }

    /// Takes a token of this VM, if it is the holder.
    pub(super) fn grant(&mut self, now: Instant) -> Grant {
        self.update_share(now);
        let Some(tokens) = &mut self.tokens else {
            return Grant::NotHolder;
        };
        if !self.rate.is_limited() || tokens.bucket.try_take(now) {
            return Grant::Tokens(1);
        }
        let wait = tokens.bucket.time_until(1, now);
        Grant::Empty(wait.unwrap_or(MAX_CLOSED_TIME))
    }

    /// Records that the holder had no token for `wait`, or did not respond.
    pub(super) fn close(&mut self, wait: Duration, now: Instant) {
        self.closed_until = now + wait.clamp(MIN_CLOSED_TIME, MAX_CLOSED_TIME);
    }

    /// Counts a request for one of its objects, which was sent elsewhere because of
    /// the limit or not.
    pub(super) fn record_pick(&mut self, overflows: bool) {
        let sample = f64::from(u8::from(overflows));
        self.overflow += (sample - self.overflow) * OVERFLOW_WEIGHT;
    }

    /// Whether the rate is still used up if one of its `objects` moves to another
    /// endpoint, where all of them get the same number of requests.
    pub(super) fn may_lose_object(&self, objects: u32) -> bool {
        self.overflow * f64::from(objects) > 1.0
    }

    fn update_share(&mut self, now: Instant) {
        let Some(tokens) = &mut self.tokens else {
            return;
        };
        let share = if now < tokens.handover_ends {
            HANDOVER_SHARE
        } else {
            1.0
        };
        let rate = self.rate.usable() * share;
        let share = RateShare::new(rate, 1.0 + rate * BURST_SECONDS);
        tokens
            .bucket
            .set_share(share.unwrap_or(RateShare::ZERO), now);
    }
}

impl EndpointRate {
    /// Requests a second; `None` if there is no limit.
    pub fn per_second(self) -> Option<f64> {
        match self {
            Self::Unlimited => None,
            Self::PerSecond(rate) => Some(rate),
        }
    }

    /// Reads a decimal number of requests a second; `None` if it is not a finite
    /// number that is not negative.
    pub fn parse(text: &str) -> Option<Self> {
        let rate: f64 = text.trim().parse().ok()?;
        (rate.is_finite() && rate >= 0.0).then_some(Self::PerSecond(rate))
    }

    fn is_limited(self) -> bool {
        self != Self::Unlimited
    }

    /// Requests a second that are sent; zero if there is no limit.
    fn usable(self) -> f64 {
        match self {
            Self::Unlimited => 0.0,
            Self::PerSecond(rate) => rate.max(MIN_RATE),
        }
    }
}

/// Whether a token that was taken at `taken_at` still permits to send a request.
pub(super) fn is_token_valid(taken_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(taken_at) <= TOKEN_VALIDITY
}

/// Returns the VM that grants the tokens of the endpoint `id`: one of its region,
/// `nearby`, since most of its requests come from there, and of all VMs if that
/// has none.
pub(super) fn holder<'a>(
    id: &str,
    nearby: &'a [VmName],
    all: impl Iterator<Item = &'a VmName>,
) -> Option<&'a VmName> {
    let key = format!("limit/{id}");
    rendezvous::owner(&key, nearby).or_else(|| rendezvous::owner(&key, all))
}

fn is_relevant_change(old: EndpointRate, new: EndpointRate) -> bool {
    match (old, new) {
        (EndpointRate::PerSecond(old), EndpointRate::PerSecond(new)) => {
            (new - old).abs() > old * RELEVANT_CHANGE
        }
        _ => old != new,
    }
}
