//! How many requests each endpoint holds, as one VM counts them for a region.
//!
//! Answers fleets in which each VM sends an endpoint so few requests that it
//! does not know how many the others have there. For each endpoint one VM of
//! the region keeps count, and the others tell it when a request begins and
//! ends.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::balancer::LoadReport;

/// Time in which a load report fades, in seconds; about that of a few requests.
const REPORT_FADE: f64 = 0.7;

/// Requests that are counted for one endpoint at most, to bound memory.
const MOST_REQUESTS: usize = 1_024;

/// Time after which an endpoint without requests is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Number of a request that the asking VM drew.
pub type Ticket = u64;

/// The requests that a region has at the endpoints that this VM counts for.
#[derive(Debug, Default)]
pub struct LoadBook {
    /// By the hash of the endpoint.
    endpoints: HashMap<u64, Count>,
    pruned_at: Option<Instant>,
}

#[derive(Debug)]
struct Count {
    /// Requests of this region, with the time after which they count no more
    /// because their end was not heard of.
    begun: VecDeque<(Ticket, Instant)>,
    /// Requests of other regions at the last report.
    others: f64,
    reported_at: Instant,
    used_at: Instant,
}

impl LoadBook {
    /// Counts a request that lasts at most `longest`. Returns the requests that
    /// the endpoint held before.
    pub fn begin(&mut self, endpoint: u64, ticket: Ticket, longest: Duration, now: Instant) -> f64 {
        self.prune(now);
        let count = self.endpoints.entry(endpoint).or_insert_with(|| Count {
            begun: VecDeque::new(),
            others: 0.0,
            reported_at: now,
            used_at: now,
        });
        count.used_at = now;
        count.begun.retain(|(_, until)| now < *until);
        let load = count.begun.len() as f64 + count.others(now);
        if count.begun.len() < MOST_REQUESTS {
            count.begun.push_back((ticket, now + longest));
        }
        load
    }

    /// Ends a request, with what the endpoint reported in its answer.
    pub fn end(
        &mut self,
        endpoint: u64,
        ticket: Ticket,
        report: Option<LoadReport>,
        now: Instant,
    ) {
        let Some(count) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let place = count.begun.iter().position(|(begun, _)| *begun == ticket);
        if let Some(place) = place {
            count.begun.remove(place);
        }
        if let Some(report) = report {
            let own = count.begun.len() as f64;
            count.others = (f64::from(report.requests) - own).max(0.0);
            count.reported_at = now;
        }
    }

    fn prune(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        if self.pruned_at.is_some_and(|at| age(at) < IDLE_TIME) {
            return;
        }
        self.pruned_at = Some(now);
        self.endpoints
            .retain(|_, count| !count.begun.is_empty() || age(count.used_at) < IDLE_TIME);
    }
}

impl Count {
    fn others(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported_at);
        self.others * (-age.as_secs_f64() / REPORT_FADE).exp()
    }
}
