//! Requests that run in another region than the one that the weights chose.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use filbertgrade_coord::spill::{SpillConfig, SpillLimit};

use super::slots::SlotAsk;
use crate::sync::lock;
use crate::version::{InForce, ServiceName};

/// The limits of all services at this entry.
#[derive(Debug, Default)]
pub(super) struct Spills {
    limits: Mutex<HashMap<ServiceName, SpillLimit>>,
}

/// One request that looks for a slot.
///
/// Dropping it frees the place among those that left, unless it runs elsewhere.
#[derive(Debug)]
pub(super) struct Spill<'a> {
    spills: &'a Spills,
    service: ServiceName,
    /// `None` before a configuration is in force.
    cfg: Option<SpillConfig>,
    left: bool,
}

impl Spills {
    /// Counts a request. Another try of the same request is not counted again.
    pub(super) fn start(&self, view: &InForce, ask: &SlotAsk) -> Spill<'_> {
        let cfg = view.config.as_ref().map(|config| {
            SpillConfig::new(config.shift_cap, config.lookup_ttl + config.shift_settle)
        });
        let spill = Spill {
            spills: self,
            service: ask.service.clone(),
            cfg,
            left: false,
        };
        if ask.avoid.is_empty() {
            spill.with_limit(|limit, cfg| limit.record_request(cfg, Instant::now()));
        }
        spill
    }

    fn limits(&self) -> MutexGuard<'_, HashMap<ServiceName, SpillLimit>> {
        lock(&self.limits)
    }
}

impl Spill<'_> {
    /// The request may go to another region than the chosen one.
    pub(super) fn may_leave(&mut self) -> bool {
        if !self.left {
            let allowed = self.with_limit(|limit, cfg| limit.try_spill(cfg, Instant::now()));
            self.left = allowed.unwrap_or(false);
            if !self.left {
                metrics::counter!("spill_refused_total").increment(1);
            }
        }
        self.left
    }

    /// The request got a slot, in the chosen region or in another one.
    pub(super) fn runs_in(&mut self, chosen: bool) {
        if !chosen {
            metrics::counter!("spill_total").increment(1);
            self.left = false;
        }
    }

    fn with_limit<R>(&self, f: impl FnOnce(&mut SpillLimit, &SpillConfig) -> R) -> Option<R> {
        let cfg = self.cfg.as_ref()?;
        let mut limits = self.spills.limits();
        let limit = limits
            .entry(self.service.clone())
            .or_insert_with(|| SpillLimit::new(cfg, Instant::now()));
        Some(f(limit, cfg))
    }
}

impl Drop for Spill<'_> {
    fn drop(&mut self) {
        if self.left {
            self.with_limit(SpillLimit::cancel_spill);
        }
    }
}
