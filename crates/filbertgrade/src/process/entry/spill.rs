//! Limits the requests that run in another region than the one that the
//! region weights selected (spills).

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use filbertgrade_coord::spill::{SpillConfig, SpillLimit};

use super::slots::SlotCriteria;
use crate::sync::lock;
use crate::version::{InForce, ServiceName};

/// Spill limits of all services at this entry.
#[derive(Debug, Default)]
pub(super) struct SpillLimits {
    limits: Mutex<HashMap<ServiceName, SpillLimit>>,
}

/// Tracks whether a request that is looking for a slot counts as a spill.
///
/// Dropping it undoes the count, unless the request got a slot in another region.
#[derive(Debug)]
pub(super) struct SpillAttempt<'a> {
    limits: &'a SpillLimits,
    service: ServiceName,
    /// `None` until a configuration is in force.
    cfg: Option<SpillConfig>,
    /// Set while the limit counts this request as a spill and the count is to be
    /// undone on drop.
    reserved: bool,
}

impl SpillLimits {
    /// Counts a request and starts tracking it. A retry of the same request is
    /// not counted again.
    pub(super) fn start(&self, view: &InForce, criteria: &SlotCriteria) -> SpillAttempt<'_> {
        let cfg = view.config.as_ref().map(|config| {
            SpillConfig::new(config.shift_cap, config.lookup_ttl + config.shift_settle)
        });
        let spill = SpillAttempt {
            limits: self,
            service: criteria.service.clone(),
            cfg,
            reserved: false,
        };
        if criteria.avoid.is_empty() {
            spill.with_limit(|limit, cfg| limit.record_request(cfg, Instant::now()));
        }
        spill
    }

    fn by_service(&self) -> MutexGuard<'_, HashMap<ServiceName, SpillLimit>> {
        lock(&self.limits)
    }
}

impl SpillAttempt<'_> {
    /// Returns whether the request may use another region than the chosen one,
    /// and counts it as a spill if so.
    pub(super) fn may_spill(&mut self) -> bool {
        if !self.reserved {
            let allowed = self.with_limit(|limit, cfg| limit.try_spill(cfg, Instant::now()));
            self.reserved = allowed.unwrap_or(false);
            if !self.reserved {
                metrics::counter!("spill_refused_total").increment(1);
            }
        }
        self.reserved
    }

    /// Records that the request got a slot, in the chosen region or in another
    /// one.
    pub(super) fn record_placement(&mut self, in_chosen_region: bool) {
        if !in_chosen_region {
            metrics::counter!("spill_total").increment(1);
            self.reserved = false;
        }
    }

    fn with_limit<R>(&self, f: impl FnOnce(&mut SpillLimit, &SpillConfig) -> R) -> Option<R> {
        let cfg = self.cfg.as_ref()?;
        let mut limits = self.limits.by_service();
        let limit = limits
            .entry(self.service.clone())
            .or_insert_with(|| SpillLimit::new(cfg, Instant::now()));
        Some(f(limit, cfg))
    }
}

impl Drop for SpillAttempt<'_> {
    fn drop(&mut self) {
        if self.reserved {
            self.with_limit(SpillLimit::cancel_spill);
        }
    }
}
