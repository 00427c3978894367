//! What endpoints say of themselves in their responses: that they leave, and that
//! they want no requests for a while.
//!
//! Handles endpoints whose registration is older than what they say: a list of
//! another VM or of a restored store may call an endpoint ready that has announced
//! its end. Such a notice therefore outlives the endpoint's estimates, which are
//! dropped with its registration.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::IndexSet;

use super::Balancer;
use crate::names::ServiceName;
use crate::steering::endpoint::EndpointKey;
use crate::steering::placement::{endpoint_hash, score, unit_interval};

/// Largest number of endpoints that are remembered as leaving. Bounds memory; the
/// oldest have ended long before.
const MAX_LEAVING: usize = 10_000;

/// Time after the end of a pause over which the VMs return, each at another
/// instant, so that they do not return together with all that has waited.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// The notices of endpoints to this VM.
#[derive(Debug, Default)]
pub(super) struct EndpointNotices {
    /// Endpoints that have announced their end, the oldest notice first. Never
    /// taken back: a new process at the same address has another key.
    leaving: IndexSet<EndpointKey>,
    /// When the pauses of endpoints end. Expired ones are removed with the next
    /// notice.
    pauses: HashMap<EndpointKey, Pause>,
}

/// A time in which an endpoint wants no requests from this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// When the endpoint asked for it.
    pub since: Instant,
    /// When it ends. A later notice only extends it.
    pub until: Instant,
}

impl EndpointNotices {
    pub(super) fn is_leaving(&self, key: &EndpointKey) -> bool {
        self.leaving.contains(key)
    }

    /// Returns the pause of an endpoint that has not ended yet.
    pub(super) fn pause(&self, key: &EndpointKey, now: Instant) -> Option<Pause> {
        let pause = self.pauses.get(key).copied();
        pause.filter(|pause| now < pause.until)
    }

    fn record_leaving(&mut self, key: &EndpointKey) -> bool {
        let is_new = self.leaving.insert(key.clone());
        if self.leaving.len() > MAX_LEAVING {
            self.leaving.shift_remove_index(0);
        }
        is_new
    }

    fn record_pause(&mut self, key: &EndpointKey, until: Instant, now: Instant) -> bool {
        self.pauses.retain(|_, pause| now < pause.until);
        let pause = self.pauses.entry(key.clone());
        let pause = pause.or_insert(Pause {
            since: now,
            until: now,
        });
        let is_extended = until > pause.until;
        pause.until = pause.until.max(until);
        is_extended
    }
}

impl Balancer {
    /// Records that an endpoint has announced its end. It receives nothing from
    /// now on, whatever its registration says. Returns true for the first notice.
    pub fn record_leaving(&mut self, key: &EndpointKey) -> bool {
        let is_new = self.notices.record_leaving(key);
        for service in self.services.values_mut() {
            if let Some(state) = service.endpoints.get_mut(key) {
                state.endpoint.draining = true;
            }
        }
        if is_new {
            self.update_region_splits();
        }
        is_new
    }

    /// Records that an endpoint wants no requests from this VM for `time`. Returns
    /// false if a pause that runs already ends later.
    ///
    /// This VM returns within a second after the pause, at an instant that
    /// differs between VMs.
    pub fn record_pause(&mut self, key: &EndpointKey, time: Duration, now: Instant) -> bool {
        let spread = score(endpoint_hash(self.cfg.vm.as_str()), endpoint_hash(&key.id));
        let until = now + time + RETURN_TIME.mul_f64(unit_interval(spread));
        let is_extended = self.notices.record_pause(key, until, now);
        if is_extended {
            for service in self.services.values_mut() {
                if let Some(state) = service.endpoints.get_mut(key) {
                    state.limit_return();
                }
            }
        }
        is_extended
    }

    /// When the first endpoint of the service ends its pause, if all that `ranking`
    /// names are pausing.
    pub(super) fn end_of_pauses(
        &self,
        service: &ServiceName,
        ranking: &[usize],
        now: Instant,
    ) -> Option<Instant> {
        let service = self.services.get(service)?;
        let mut first: Option<Instant> = None;
        for index in ranking {
            let (key, _) = service.endpoints.get_index(*index)?;
            let until = self.notices.pause(key, now)?.until;
            first = Some(first.map_or(until, |known| known.min(until)));
        }
        first
    }
}
