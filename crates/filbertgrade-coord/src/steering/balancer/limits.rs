//! Endpoints that limit their rate: what this VM learns of the limits, what it
//! sends to other VMs, and the tokens that it grants.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::Balancer;
use super::endpoint_state::EndpointState;
use crate::names::{RegionName, VmName};
use crate::steering::endpoint::EndpointKey;
use crate::steering::endpoint_limit::{EndpointLimit, EndpointRate, Holder, RateNotice, holder};
use crate::steering::quota::Grant;

/// Limits that were named longer ago are not sent to other regions.
const RECENT: Duration = Duration::from_millis(2_500);

/// The running VMs by region, and limits that other VMs are to be sent.
#[derive(Debug, Default)]
pub(super) struct LimitSharing {
    vms: IndexMap<RegionName, Vec<VmName>>,
    /// When `vms` last changed; `None` before it was set.
    vms_changed_at: Option<Instant>,
    /// Endpoints whose rate this VM received in a response and has not sent yet.
    pending: IndexSet<EndpointKey>,
    /// One of them has changed, so that they are to be sent at once.
    is_urgent: bool,
}

impl Balancer {
    /// Replaces the running VMs of each region, which grant the tokens of
    /// endpoints that limit their rate, and whose requests are assumed at endpoints
    /// that have just become known. This VM is one of them.
    pub fn set_vms_by_region(&mut self, vms: IndexMap<RegionName, Vec<VmName>>, now: Instant) {
        if self.limits.vms_changed_at.is_some() && self.limits.vms == vms {
            return;
        }
        self.limits.vms = vms;
        self.limits.vms_changed_at = Some(now);
        for service in self.services.values_mut() {
            for state in service.endpoints.values_mut() {
                if let Some(mut limit) = state.limit.take() {
                    limit.set_holder(self.limits.holder(state, &self.cfg.vm), now);
                    state.limit = Some(limit);
                }
            }
        }
    }

    /// Records the rate that an endpoint named in a response, and returns true if
    /// it differs from the one that was known.
    pub fn record_rate(&mut self, key: &EndpointKey, rate: EndpointRate, now: Instant) -> bool {
        let notice = RateNotice {
            endpoint: key.clone(),
            rate,
            observed_at: now,
        };
        let changed = self.apply_notice(&notice, now);
        let limit = self
            .endpoint_mut(key)
            .and_then(|state| state.limit.as_mut());
        let is_due = limit.is_some_and(|limit| limit.is_limited() && limit.is_refresh_due(now));
        if changed || is_due {
            self.limits.pending.insert(key.clone());
            self.limits.is_urgent |= changed;
        }
        changed
    }

    /// Applies rates that other VMs received in responses.
    pub fn apply_rate_notices(&mut self, notices: &[RateNotice], now: Instant) {
        for notice in notices {
            self.apply_notice(notice, now);
            if let Some(limit) = self.limit_mut(&notice.endpoint) {
                limit.mark_shared(notice.observed_at);
            }
        }
    }

    /// Whether other VMs must be sent a rate at once.
    pub fn has_urgent_rates(&self) -> bool {
        self.limits.is_urgent
    }

    /// Returns the rates that the other VMs of the region are to be sent.
    pub fn take_pending_rates(&mut self, now: Instant) -> Vec<RateNotice> {
        self.limits.is_urgent = false;
        let pending = std::mem::take(&mut self.limits.pending);
        let notices = pending.into_iter().filter_map(|key| {
            let limit = self.limit_mut(&key)?;
            limit.mark_shared(now);
            Some(limit.notice(&key))
        });
        notices.collect()
    }

    /// Returns the limits that were named or have ended recently, to be sent to other
    /// regions.
    pub fn recent_rates(&self, now: Instant) -> Vec<RateNotice> {
        let states = self.services.values();
        let states = states.flat_map(|service| service.endpoints.values());
        let notices = states.filter_map(|state| {
            let limit = state.limit.as_ref()?;
            limit
                .is_recent(RECENT, now)
                .then(|| limit.notice(&state.endpoint.key))
        });
        notices.collect()
    }

    /// Grants another VM a token for a request to an endpoint, if this VM is the
    /// holder of its limit.
    pub fn grant_endpoint_token(&mut self, notice: &RateNotice, now: Instant) -> Grant {
        self.apply_notice(notice, now);
        self.limit_mut(&notice.endpoint)
            .map_or(Grant::NotHolder, |limit| limit.grant(now))
    }

    /// Does not try an endpoint for a while, because the holder of its limit had
    /// no token, or did not respond.
    pub fn close_limited(&mut self, key: &EndpointKey, wait: Duration, now: Instant) {
        if let Some(limit) = self.limit_mut(key) {
            limit.close(wait, now);
        }
    }

    fn apply_notice(&mut self, notice: &RateNotice, now: Instant) -> bool {
        let vm = self.cfg.vm.clone();
        let services = self.services.values_mut();
        let found = services
            .filter_map(|service| service.endpoints.get_mut(&notice.endpoint))
            .next();
        let Some(state) = found else {
            return false;
        };
        if let Some(limit) = &mut state.limit {
            return limit.set_rate(notice, now);
        }
        if notice.rate == EndpointRate::Unlimited {
            return false;
        }
        let holder = self.limits.holder(state, &vm);
        state.limit = Some(EndpointLimit::new(notice, holder, now));
        true
    }

    fn endpoint_mut(&mut self, key: &EndpointKey) -> Option<&mut EndpointState> {
        let mut services = self.services.values_mut();
        services.find_map(|service| service.endpoints.get_mut(key))
    }

    fn limit_mut(&mut self, key: &EndpointKey) -> Option<&mut EndpointLimit> {
        self.endpoint_mut(key)?.limit.as_mut()
    }
}

impl LimitSharing {
    /// Number of running VMs in the region of this one, without this one.
    pub(super) fn other_vms_in(&self, region: &RegionName) -> usize {
        self.vms
            .get(region)
            .map_or(0, |vms| vms.len().saturating_sub(1))
    }

    fn holder(&self, state: &EndpointState, local: &VmName) -> Holder {
        let nearby = self.vms.get(&state.region).map_or(&[][..], Vec::as_slice);
        let vm = holder(&state.endpoint.key.id, nearby, self.vms.values().flatten());
        let vm = vm.unwrap_or(local);
        Holder {
            is_local: vm == local,
            vm: vm.clone(),
            since: self.vms_changed_at,
        }
    }
}
