//! The share table, which divides the limits of all teams among the VMs.
//!
//! Each VM has a fraction of the limits, the same for the rate and burst of every
//! team. Fractions are counted in units of 1/10,000. Units move in two steps: one version of
//! the table removes them from a VM, and a later version grants them to others
//! once the VM can no longer be using them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::bucket::RateShare;
use crate::lease::FencingToken;
use crate::names::VmName;

/// Number of units that represent all of a team's limit.
pub const UNITS: u32 = 10_000;

/// Time for which a VM must be absent from the platform's list before the units
/// it has lost may be granted to other VMs.
///
/// It is longer than the sum of the freshness limit (5 s), the loan lease (2 s)
/// and the reclaim margin (500 ms). By then the VM has stopped using its base,
/// and the loans that it granted have ended.
pub const HOLD_OFF: Duration = Duration::from_secs(10);

/// One version of the table with the units of each VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShareTable {
    version: u64,
    token: FencingToken,
    /// Invariant: the sum of the values is at most [`UNITS`]. A VM that lost
    /// its units keeps an entry with zero until it can no longer use them.
    units: BTreeMap<VmName, u32>,
}

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Listed and not leaving.
    Live,
    /// Listed and marked as leaving.
    Leaving,
    /// Not listed; first found missing at this instant.
    AbsentSince(Instant),
}

/// The next action of the allocator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableStep {
    /// The table needs no change.
    Done,
    /// Units cannot be granted yet.
    Wait {
        /// A VM that has not acknowledged the current table.
        vm: VmName,
        /// When its acknowledgement is no longer needed because the VM has been
        /// absent for long enough. `None` if the VM is listed.
        until: Option<Instant>,
    },
    /// Write this table, on condition that the current one is unchanged.
    Publish(ShareTable),
}

/// The error returned when a table contains more than [`UNITS`] units.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the units of a share table add up to {sum}, more than {UNITS}")]
pub struct TooManyUnits {
    sum: u64,
}

impl ShareTable {
    /// Creates a table from its stored fields.
    ///
    /// # Errors
    ///
    /// Returns an error if the units add up to more than [`UNITS`].
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

    /// Version of the table, which increases by one with each publication.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Fencing token of the allocator that wrote the table.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// The units of each VM in the table.
    pub fn units(&self) -> &BTreeMap<VmName, u32> {
        &self.units
    }

    /// The share of a team's limit that the table assigns to a VM; zero if the
    /// VM is not in the table.
    pub fn share(&self, vm: &VmName, limit: RateShare) -> RateShare {
        let units = self.units.get(vm).copied().unwrap_or(0);
        limit.scaled(f64::from(units) / f64::from(UNITS))
    }

    /// Returns the next version of the table with the same units and a new
    /// fencing token.
    ///
    /// A new holder of the allocator lease publishes this first. Conditional
    /// writes that its predecessor still has in flight then fail.
    pub fn with_token(&self, token: FencingToken) -> Self {
        Self {
            version: self.version + 1,
            token,
            units: self.units.clone(),
        }
    }
}

/// The input of [`next_step`].
#[derive(Clone, Copy, Debug)]
pub struct AllocatorView<'a> {
    /// The allocator's own fencing token.
    pub token: FencingToken,
    /// The current table.
    pub table: &'a ShareTable,
    /// When this allocator first read the current table's version.
    pub table_since: Instant,
    /// Every VM in the platform's list, and every other VM in the table.
    pub vms: &'a BTreeMap<VmName, Presence>,
    /// The latest table version that each VM reported to be in effect.
    pub acks: &'a BTreeMap<VmName, u64>,
}

/// Decides the next table on the way to equal units for all live VMs.
///
/// Removals of units are published immediately. An absent VM loses its units
/// immediately as well but keeps an entry in the table, because the list may be
/// wrong. If the VM is running, it must receive the new table or become
/// isolated before other VMs gain its units.
///
/// Units are granted only when each VM in the table has either acknowledged
/// the current version, or been absent for [`HOLD_OFF`] since this version was
/// published.
pub fn next_step(view: AllocatorView<'_>, now: Instant) -> TableStep {
    let targets = targets(view.vms);
    let current = &view.table.units;
    let reduced: BTreeMap<VmName, u32> = current
        .iter()
        .map(|(vm, units)| (vm.clone(), targets.get(vm).map_or(0, |t| *units.min(t))))
        .collect();
    if reduced != *current {
        return TableStep::Publish(view.successor(reduced));
    }
    // At this point no VM in the table has more units than its target, so
    // publishing the targets can only add units.
    let mut granted = targets;
    for vm in current.keys() {
        if !matches!(view.vms.get(vm), Some(Presence::Live)) && !view.has_released_units(vm, now) {
            granted.insert(vm.clone(), 0);
        }
    }
    if granted == *current {
        return TableStep::Done;
    }
    match current.keys().find(|vm| !view.has_released_units(vm, now)) {
        Some(vm) => TableStep::Wait {
            vm: vm.clone(),
            until: view.released_at(vm),
        },
        None => TableStep::Publish(view.successor(granted)),
    }
}

impl AllocatorView<'_> {
    /// The next version of the table, with these units.
    fn successor(&self, units: BTreeMap<VmName, u32>) -> ShareTable {
        ShareTable {
            version: self.table.version + 1,
            token: self.token,
            units,
        }
    }

    /// Returns true if a VM can no longer use more than its units in the current
    /// table.
    fn has_released_units(&self, vm: &VmName, now: Instant) -> bool {
        let acked = self
            .acks
            .get(vm)
            .is_some_and(|version| *version >= self.table.version);
        acked || self.released_at(vm).is_some_and(|at| at <= now)
    }

    /// When an absent VM can no longer use the units that it lost; `None` if the
    /// VM is listed.
    fn released_at(&self, vm: &VmName) -> Option<Instant> {
        match self.vms.get(vm) {
            Some(Presence::AbsentSince(since)) => Some(*since.max(&self.table_since) + HOLD_OFF),
            _ => None,
        }
    }
}

/// Equal units for all live VMs. The remainder goes to the first VMs by name,
/// one unit each.
fn targets(vms: &BTreeMap<VmName, Presence>) -> BTreeMap<VmName, u32> {
    let live: Vec<&VmName> = vms
        .iter()
        .filter(|(_, presence)| **presence == Presence::Live)
        .map(|(vm, _)| vm)
        .collect();
    let count = u32::try_from(live.len()).unwrap_or(u32::MAX).max(1);
    let (each, remainder) = (UNITS / count, UNITS % count);
    live.into_iter()
        .zip(0..)
        .map(|(vm, i)| (vm.clone(), each + u32::from(i < remainder)))
        .collect()
}
