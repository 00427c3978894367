//! A token bucket whose rate and burst may change at any time.

use std::time::{Duration, Instant};

/// A token bucket that starts empty and fills at a constant rate.
///
/// During any interval in which the rate share does not change, at most
/// `burst + rate * length` tokens are taken.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    share: RateShare,
    /// Invariant: `0 <= tokens <= share.burst`.
    tokens: f64,
    /// Time up to which accrued tokens have been added; it never moves backward.
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(share: RateShare, now: Instant) -> Self {
        Self {
            share,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// The current rate and burst.
    pub fn share(&self) -> RateShare {
        self.share
    }

    /// The tokens in the bucket as of the last operation.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens that accrued up to `now`. An earlier `now` has no effect.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + self.share.rate * elapsed.as_secs_f64()).min(self.share.burst);
    }

    /// Takes one token, or returns false if there is less than one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Time from `now` until `count` tokens have become available, if each is
    /// taken as soon as it accrues.
    ///
    /// Returns `None` if the bucket can never supply that many at its current
    /// share, because the rate is zero or the burst is less than one token.
    pub fn time_until(&mut self, count: u32, now: Instant) -> Option<Duration> {
        self.refill(now);
        let missing = f64::from(count) - self.tokens;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        if self.share.rate <= 0.0 || self.share.burst < 1.0 {
            return None;
        }
        // Rounds up to a microsecond. A shorter wait could end just before the
        // token accrues, and would have to be repeated.
        let micros = (missing / self.share.rate * 1e6).ceil();
        // Limits the wait to a year, so that adding it to an `Instant` cannot
        // overflow.
        const MAX_MICROS: f64 = 365.0 * 86_400.0 * 1e6;
        Some(Duration::from_micros(micros.min(MAX_MICROS) as u64))
    }

    /// Adds rate, burst and tokens; tokens above the new burst are dropped.
    pub fn add_share(&mut self, share: RateShare, tokens: f64, now: Instant) {
        self.refill(now);
        self.share = self.share.plus(share);
        self.tokens = (self.tokens + tokens.max(0.0)).min(self.share.burst);
    }

    /// Subtracts rate and burst; tokens above the remaining burst are dropped.
    pub fn remove_share(&mut self, share: RateShare, now: Instant) {
        self.set_share(self.share.minus(share), now);
    }

    /// Replaces the rate and burst; tokens above the new burst are dropped.
    pub fn set_share(&mut self, share: RateShare, now: Instant) {
        self.refill(now);
        self.share = share;
        self.tokens = self.tokens.min(share.burst);
    }

    /// Removes up to `tokens` tokens and returns how many were removed.
    pub fn withdraw(&mut self, tokens: f64, now: Instant) -> f64 {
        self.refill(now);
        let taken = tokens.clamp(0.0, self.tokens);
        self.tokens -= taken;
        taken
    }
}

/// A rate and a burst: all of a team's limit, or a share of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateShare {
    /// Tokens per second; finite and not negative.
    rate: f64,
    /// Tokens; finite and not negative.
    burst: f64,
}

impl RateShare {
    /// A share with a rate and a burst of zero.
    pub const ZERO: RateShare = RateShare {
        rate: 0.0,
        burst: 0.0,
    };

    /// Creates a share of `rate` tokens per second and a burst of `burst` tokens.
    ///
    /// # Errors
    ///
    /// Returns an error if either number is negative, infinite or not a number.
    pub fn new(rate: f64, burst: f64) -> Result<RateShare, RateShareError> {
        for value in [rate, burst] {
            if !value.is_finite() || value < 0.0 {
                return Err(RateShareError { value });
            }
        }
        Ok(RateShare { rate, burst })
    }

    /// Tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Largest number of tokens that a bucket with this share can hold.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Returns true if both rate and burst are zero.
    pub fn is_zero(&self) -> bool {
        *self == RateShare::ZERO
    }

    /// The sum of two shares.
    pub fn plus(self, other: RateShare) -> RateShare {
        RateShare {
            rate: self.rate + other.rate,
            burst: self.burst + other.burst,
        }
    }

    /// The difference of two shares; rate and burst do not go below zero.
    pub fn minus(self, other: RateShare) -> RateShare {
        RateShare {
            rate: (self.rate - other.rate).max(0.0),
            burst: (self.burst - other.burst).max(0.0),
        }
    }

    /// The larger of the two rates with the larger of the two bursts.
    pub fn max(self, other: RateShare) -> RateShare {
        RateShare {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    /// The smaller of the two rates with the smaller of the two bursts.
    pub fn min(self, other: RateShare) -> RateShare {
        RateShare {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }

    /// Multiplies rate and burst by `factor`; a negative factor is treated as zero.
    pub fn scaled(self, factor: f64) -> RateShare {
        let factor = factor.max(0.0);
        RateShare {
            rate: self.rate * factor,
            burst: self.burst * factor,
        }
    }
}

/// The error returned when a rate or burst is negative or not finite.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("a rate or burst must be finite and not negative, got {value}")]
pub struct RateShareError {
    value: f64,
}
