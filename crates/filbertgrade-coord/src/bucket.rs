//! A token bucket whose rate and burst may change while it runs.

use std::time::{Duration, Instant};

/// A token bucket that starts empty and fills at a steady rate.
///
/// Over every window in which the part is constant, at most
/// `burst + rate * length` tokens are taken.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    part: Part,
    /// Invariant: `0 <= tokens <= part.burst`.
    tokens: f64,
    /// Tokens are accounted for up to this instant; it never moves backward.
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(part: Part, now: Instant) -> Self {
        Self {
            part,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// The rate and burst in force.
    pub fn part(&self) -> Part {
        self.part
    }

    /// Tokens as of the last operation.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens that accrued up to `now`. An earlier `now` changes nothing.
    pub fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + self.part.rate * elapsed.as_secs_f64()).min(self.part.burst);
    }

    /// Takes one token, or takes nothing and returns false.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Time from `now` until `count` tokens, taken one by one, have been available.
    ///
    /// Returns `None` if the bucket cannot reach that count by itself: its
    /// rate is zero, or its burst is under one token.
    pub fn time_until(&mut self, count: u32, now: Instant) -> Option<Duration> {
        self.refill(now);
        let missing = f64::from(count) - self.tokens;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        if self.part.rate <= 0.0 || self.part.burst < 1.0 {
            return None;
        }
        // Rounds up to a microsecond, because a shorter wait could end just
        // before the token is there and be repeated.
        let micros = (missing / self.part.rate * 1e6).ceil();
        // Caps the wait at a year, which an `Instant` can always represent.
        const MAX_MICROS: f64 = 365.0 * 86_400.0 * 1e6;
        Some(Duration::from_micros(micros.min(MAX_MICROS) as u64))
    }

    /// Adds capacity and tokens; tokens over the new burst are dropped.
    pub fn add_part(&mut self, part: Part, tokens: f64, now: Instant) {
        self.refill(now);
        self.part = self.part.plus(part);
        self.tokens = (self.tokens + tokens.max(0.0)).min(self.part.burst);
    }

    /// Removes capacity; tokens over the remaining burst are dropped.
    pub fn remove_part(&mut self, part: Part, now: Instant) {
        self.set_part(self.part.minus(part), now);
    }

    /// Replaces the capacity; tokens over the new burst are dropped.
    pub fn set_part(&mut self, part: Part, now: Instant) {
        self.refill(now);
        self.part = part;
        self.tokens = self.tokens.min(part.burst);
    }

    /// Takes up to `tokens` tokens out and returns how many were taken.
    pub fn withdraw(&mut self, tokens: f64, now: Instant) -> f64 {
        self.refill(now);
        let taken = tokens.clamp(0.0, self.tokens);
        self.tokens -= taken;
        taken
    }
}

/// A rate with a burst: the whole of a team's limit, or a part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    /// Tokens per second; finite and not negative.
    rate: f64,
    /// Tokens; finite and not negative.
    burst: f64,
}

impl Part {
    /// No rate and no burst.
    pub const ZERO: Part = Part {
        rate: 0.0,
        burst: 0.0,
    };

    /// Creates a part of `rate` tokens per second and `burst` tokens.
    ///
    /// # Errors
    ///
    /// Fails if either number is negative, infinite or not a number.
    pub fn new(rate: f64, burst: f64) -> Result<Part, PartError> {
        for value in [rate, burst] {
            if !value.is_finite() || value < 0.0 {
                return Err(PartError { value });
            }
        }
        Ok(Part { rate, burst })
    }

    /// Tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Largest number of tokens that may be held.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Reports whether both rate and burst are zero.
    pub fn is_zero(&self) -> bool {
        *self == Part::ZERO
    }

    /// The sum of two parts.
    pub fn plus(self, other: Part) -> Part {
        Part {
            rate: self.rate + other.rate,
            burst: self.burst + other.burst,
        }
    }

    /// The difference of two parts, not below zero.
    pub fn minus(self, other: Part) -> Part {
        Part {
            rate: (self.rate - other.rate).max(0.0),
            burst: (self.burst - other.burst).max(0.0),
        }
    }

    /// The larger rate and the larger burst of two parts.
    pub fn max(self, other: Part) -> Part {
        Part {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    /// The smaller rate and the smaller burst of two parts.
    pub fn min(self, other: Part) -> Part {
        Part {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }

    /// The part times a factor; a factor below zero counts as zero.
    pub fn scaled(self, factor: f64) -> Part {
        let factor = factor.max(0.0);
        Part {
            rate: self.rate * factor,
            burst: self.burst * factor,
        }
    }
}

/// The error of a rate or burst that is negative or not finite.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("a rate or burst must be finite and not negative, got {value}")]
pub struct PartError {
    value: f64,
}
