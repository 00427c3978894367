//! What a VM knows of a team from the holders' answers.

use std::time::{Duration, Instant};

use super::rate::Rate;
use super::{DEMAND_TIME, one_token};
use crate::bucket::TokenBucket;

/// How long tokens that were asked for ahead can be used. Older ones would add
/// to a burst.
const AHEAD_LIFETIME: Duration = Duration::from_millis(200);

/// What a VM knows of a team from the holders' answers.
#[derive(Debug)]
pub(super) struct AskedPart {
    pub(super) arrivals: Rate,
    /// Tokens that were asked for ahead, and until when they can be used.
    pub(super) ahead: Option<(u32, Instant)>,
    /// No holder had a token: until when that stands, and the wait it told.
    pub(super) empty: Option<(Instant, Duration)>,
    /// Arrivals that no holder was told.
    pub(super) uncounted: u32,
    /// For requests whose holders cannot be reached.
    pub(super) alone: TokenBucket,
}

impl AskedPart {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            arrivals: Rate::new(DEMAND_TIME, now),
            ahead: None,
            empty: None,
            uncounted: 0,
            alone: one_token(now),
        }
    }

    pub(super) fn take_ahead(&mut self, now: Instant) -> bool {
        match &mut self.ahead {
            Some((tokens, until)) if *tokens > 0 && now < *until => {
                *tokens -= 1;
                true
            }
            _ => false,
        }
    }

    pub(super) fn add_ahead(&mut self, tokens: u32, now: Instant) {
        self.empty = None;
        if tokens > 0 {
            self.ahead = Some((tokens, now + AHEAD_LIFETIME));
        }
    }
}
