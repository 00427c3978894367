//! State of a team on a VM that requests tokens from the team's holders.

use std::time::{Duration, Instant};

use super::rate::EventRate;
use super::{DEMAND_WINDOW, one_token_bucket};
use crate::bucket::TokenBucket;

/// How long prefetched tokens can be used. Older ones would add to a burst.
const PREFETCH_LIFETIME: Duration = Duration::from_millis(200);

/// State of a team on a VM that requests tokens from the team's holders.
#[derive(Debug)]
pub(super) struct RequesterState {
    /// Requests of the team that arrive at this VM.
    pub(super) arrivals: EventRate,
    /// Tokens that were requested in advance, and when they expire.
    pub(super) prefetched: Option<(u32, Instant)>,
    /// Set when neither the holders nor the fallback had a token: until when
    /// requests are refused without another token request, and the wait that is
    /// returned with each refusal.
    pub(super) empty: Option<(Instant, Duration)>,
    /// Arrivals that have not been reported to a holder.
    pub(super) unreported: u32,
    /// Local fallback for requests whose holders cannot be reached.
    pub(super) fallback: TokenBucket,
}

impl RequesterState {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            arrivals: EventRate::new(DEMAND_WINDOW, now),
            prefetched: None,
            empty: None,
            unreported: 0,
            fallback: one_token_bucket(now),
        }
    }

    /// Takes one prefetched token. Returns false when none is left or they have
    /// expired.
    pub(super) fn take_prefetched(&mut self, now: Instant) -> bool {
        match &mut self.prefetched {
            Some((tokens, until)) if *tokens > 0 && now < *until => {
                *tokens -= 1;
                true
            }
            _ => false,
        }
    }

    /// Records a grant. `tokens` are those beyond the one for the current
    /// request; if there are any, they replace those of earlier grants.
    pub(super) fn set_prefetched(&mut self, tokens: u32, now: Instant) {
        self.empty = None;
        if tokens > 0 {
            self.prefetched = Some((tokens, now + PREFETCH_LIFETIME));
        }
    }
}
