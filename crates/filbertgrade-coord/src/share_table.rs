//! The share table: units of every team's rate and burst for each VM.
//!
//! Units move in two steps. A first table version takes units away, and a
//! later one grants them, once nobody can still be using them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::bucket::RateShare;
use crate::lease::FencingToken;
use crate::names::VmName;

/// Units that make up the whole of a team's limit.
pub const UNITS: u32 = 10_000;

/// Time without a VM after which its units may be granted to others.
///
/// It is longer than freshness (5 s), loan lease (2 s) and margin (500 ms)
/// together, so the VM has stopped using its base and loans of it have ended.
pub const HOLD_OFF: Duration = Duration::from_secs(10);

/// The units of each VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShareTable {
    version: u64,
    token: FencingToken,
    /// Invariant: the sum of the values is at most [`UNITS`]. A VM stays with
    /// zero units until it may be forgotten.
    units: BTreeMap<VmName, u32>,
}

/// What the platform's list says about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// In the list.
    Live,
    /// In the list and marked as leaving.
    Leaving,
    /// Not in the list; first missed at this instant.
    AbsentSince(Instant),
}

/// What the allocator does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableStep {
    /// The table is as it should be.
    Done,
    /// Units cannot be granted yet.
    Wait {
        /// A VM that has not acknowledged the table.
        vm: VmName,
        /// When it stops mattering, if it is absent and stays so.
        until: Option<Instant>,
    },
    /// Write this table, on condition that the present one is unchanged.
    Publish(ShareTable),
}

/// The error of a table with more than [`UNITS`] units.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the units of a share table add up to {sum}, more than {UNITS}")]
pub struct TooManyUnits {
    sum: u64,
}

impl ShareTable {
    /// Creates a table from its stored parts.
    ///
    /// # Errors
    ///
    /// Fails if the units add up to more than [`UNITS`].
    pub fn new(
        version: u64,
        token: FencingToken,
        units: BTreeMap<VmName, u32>,
    ) -> Result<Self, TooManyUnits> {
        let sum = units.values().map(|u| u64::from(*u)).sum();
        if sum > u64::from(UNITS) {
            return Err(TooManyUnits { sum });
        }
        Ok(Self {
            version,
            token,
            units,
        })
    }

    /// Grows by one with each published table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Token of the allocator that wrote the table.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// The units of each VM of the table.
    pub fn units(&self) -> &BTreeMap<VmName, u32> {
        &self.units
    }

    /// The part of a team's limit that the table gives to a VM.
    pub fn share(&self, vm: &VmName, limit: RateShare) -> RateShare {
        let units = self.units.get(vm).copied().unwrap_or(0);
        limit.scaled(f64::from(units) / f64::from(UNITS))
    }

    /// The same units under a new holder's token.
    ///
    /// A new holder writes it first, which makes any write of its predecessor fail.
    pub fn with_token(&self, token: FencingToken) -> Self {
        Self {
            version: self.version + 1,
            token,
            units: self.units.clone(),
        }
    }
}

/// What [`next_step`] decides from.
#[derive(Clone, Copy, Debug)]
pub struct AllocatorView<'a> {
    /// The allocator's own token.
    pub token: FencingToken,
    /// The present table.
    pub table: &'a ShareTable,
    /// When this allocator first saw the present table's version.
    pub table_since: Instant,
    /// Every VM in the list, and every VM of the table that is not.
    pub vms: &'a BTreeMap<VmName, Presence>,
    /// The newest table version that each VM reported to be in effect.
    pub acks: &'a BTreeMap<VmName, u64>,
}

/// Decides the next table on the way to equal units for all live VMs.
///
/// A shrink is published at once. An absent VM loses its units in the table
/// at once and keeps an entry, since the list may be wrong: if the VM is
/// alive, it must learn of the loss, or become isolated, before anyone gains.
/// Units are granted only when each VM of the table has acknowledged the
/// present version, or has been absent, and the version published, for
/// [`HOLD_OFF`].
pub fn next_step(view: AllocatorView<'_>, now: Instant) -> TableStep {
    let targets = targets(view.vms);
    let old = &view.table.units;
    let shrunk: BTreeMap<VmName, u32> = old
        .iter()
        .map(|(vm, units)| (vm.clone(), targets.get(vm).map_or(0, |t| *units.min(t))))
        .collect();
    if shrunk != *old {
        return TableStep::Publish(view.successor(shrunk));
    }
    // Here no VM of the table has more than its target, so the targets only grant.
    let mut granted = targets;
    for vm in old.keys() {
        if !matches!(view.vms.get(vm), Some(Presence::Live)) && !view.settled(vm, now) {
            granted.insert(vm.clone(), 0);
        }
    }
    if granted == *old {
        return TableStep::Done;
    }
    match old.keys().find(|vm| !view.settled(vm, now)) {
        Some(vm) => TableStep::Wait {
            vm: vm.clone(),
            until: view.forgotten_at(vm),
        },
        None => TableStep::Publish(view.successor(granted)),
    }
}

impl AllocatorView<'_> {
    fn successor(&self, units: BTreeMap<VmName, u32>) -> ShareTable {
        ShareTable {
            version: self.table.version + 1,
            token: self.token,
            units,
        }
    }

    /// Reports whether a VM can use no more than the present table gives it.
    fn settled(&self, vm: &VmName, now: Instant) -> bool {
        let acked = self
            .acks
            .get(vm)
            .is_some_and(|version| *version >= self.table.version);
        acked || self.forgotten_at(vm).is_some_and(|at| at <= now)
    }

    /// When an absent VM can no longer use units that it lost.
    fn forgotten_at(&self, vm: &VmName) -> Option<Instant> {
        match self.vms.get(vm) {
            Some(Presence::AbsentSince(since)) => Some(*since.max(&self.table_since) + HOLD_OFF),
            _ => None,
        }
    }
}

/// Equal units for all live VMs; the first ones by name get the remainder.
fn targets(vms: &BTreeMap<VmName, Presence>) -> BTreeMap<VmName, u32> {
    let live: Vec<&VmName> = vms
        .iter()
        .filter(|(_, presence)| **presence == Presence::Live)
        .map(|(vm, _)| vm)
        .collect();
    let count = u32::try_from(live.len()).unwrap_or(u32::MAX).max(1);
    let (each, rest) = (UNITS / count, UNITS % count);
    live.into_iter()
        .zip(0..)
        .map(|(vm, i)| (vm.clone(), each + u32::from(i < rest)))
        .collect()
}
