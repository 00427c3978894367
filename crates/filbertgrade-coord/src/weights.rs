//! Region weights that move toward a target in steps of limited size.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::names::RegionName;

/// Number of units that represent all traffic of a service.
pub const WEIGHT_UNITS: u32 = 10_000;

/// Time after which a published step is in force on every VM.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(8);

/// The fraction of traffic that each region gets, in units of 1/10,000.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Invariant: the values add up to [`WEIGHT_UNITS`].
    units: BTreeMap<RegionName, u32>,
}

/// The error returned when weights do not add up to [`WEIGHT_UNITS`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("region weights add up to {sum} instead of {WEIGHT_UNITS}")]
pub struct WeightsError {
    sum: u64,
}

impl Weights {
    /// Creates weights from the units of each region.
    ///
    /// # Errors
    ///
    /// Returns an error if the units do not add up to [`WEIGHT_UNITS`].
    pub fn new(units: BTreeMap<RegionName, u32>) -> Result<Self, WeightsError> {
        let sum = units.values().map(|u| u64::from(*u)).sum();
        if sum != u64::from(WEIGHT_UNITS) {
            return Err(WeightsError { sum });
        }
        Ok(Self { units })
    }

    /// Creates weights in proportion to the given numbers, for example capacities.
    ///
    /// Negative numbers are treated as zero. Returns `None` if no number is above
    /// zero, or if the sum is not finite. Each region's weight differs from the
    /// exact proportion by less than one unit.
    pub fn from_proportions(proportions: &BTreeMap<RegionName, f64>) -> Option<Self> {
        let non_negative = |value: &f64| value.max(0.0);
        let sum: f64 = proportions.values().map(non_negative).sum();
        if !(sum > 0.0 && sum.is_finite()) {
            return None;
        }
        // Rounds the running sum instead of each summand, so that the units add
        // up to `WEIGHT_UNITS` exactly.
        let last_positive = proportions.iter().rfind(|(_, value)| **value > 0.0)?.0;
        let (mut running, mut assigned) = (0.0, 0);
        let units = proportions
            .iter()
            .map(|(region, value)| {
                running += non_negative(value);
                let cumulative = if region >= last_positive {
                    WEIGHT_UNITS
                } else {
                    ((running / sum * f64::from(WEIGHT_UNITS)).round() as u32).min(WEIGHT_UNITS)
                };
                let units = cumulative - assigned;
                assigned = cumulative;
                (region.clone(), units)
            })
            .collect();
        Some(Self { units })
    }

    /// Returns the average of several weights, or `None` if there are none.
    pub fn average<'a>(weights: impl IntoIterator<Item = &'a Weights>) -> Option<Self> {
        let mut sums: BTreeMap<RegionName, f64> = BTreeMap::new();
        for weights in weights {
            for (region, units) in &weights.units {
                *sums.entry(region.clone()).or_default() += f64::from(*units);
            }
        }
        Self::from_proportions(&sums)
    }

    /// The units of each region.
    pub fn units(&self) -> &BTreeMap<RegionName, u32> {
        &self.units
    }

    /// The units of one region; zero if it is not listed.
    pub fn get(&self, region: &RegionName) -> u32 {
        self.units.get(region).copied().unwrap_or(0)
    }

    /// Number of units that are in a different region in `other`.
    pub fn distance(&self, other: &Weights) -> u32 {
        let gain = |(region, units): (&RegionName, &u32)| other.get(region).saturating_sub(*units);
        let added = other
            .units
            .iter()
            .filter(|(region, _)| !self.units.contains_key(*region))
            .map(|(_, units)| units);
        self.units.iter().map(gain).sum::<u32>() + added.sum::<u32>()
    }
}

/// The next action of the allocator for the weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightStep {
    /// The weights equal the target, or must not move.
    Done,
    /// The previous step may not be in force on every VM yet.
    Wait {
        /// When the next step may be published.
        until: Instant,
    },
    /// Publish these weights.
    Publish(Weights),
}

/// Decides the next weights on the way from `current` to `target`.
///
/// A step moves at most `cap` units; with a cap of zero nothing moves. The cap
/// also applies to traffic of a failed region. Successive steps are at least
/// `time_to_live`, the lifetime of lookup responses, plus
/// [`PROPAGATION_TIME`] apart.
///
/// `last_step` is the time at which the previous step was published. An
/// allocator that does not know it passes the time at which it became the
/// allocator.
pub fn next_weights(
    current: &Weights,
    target: &Weights,
    cap: u32,
    last_step: Option<Instant>,
    time_to_live: Duration,
    now: Instant,
) -> WeightStep {
    let pause = time_to_live + PROPAGATION_TIME;
    next_weights_with_pause(current, target, cap, last_step, pause, now)
}

/// Like [`next_weights`], but takes the whole time between two steps.
///
/// If `pause` is shorter than the lifetime of lookup responses plus the time
/// until a step is in force on every VM, two steps overlap, and more than `cap`
/// units move at once.
pub fn next_weights_with_pause(
    current: &Weights,
    target: &Weights,
    cap: u32,
    last_step: Option<Instant>,
    pause: Duration,
    now: Instant,
) -> WeightStep {
    let distance = current.distance(target);
    if distance == 0 || cap == 0 {
        return WeightStep::Done;
    }
    if let Some(at) = last_step {
        let until = at + pause;
        if now < until {
            return WeightStep::Wait { until };
        }
    }
    if distance <= cap {
        return WeightStep::Publish(target.clone());
    }
    WeightStep::Publish(move_units(current, target, cap, distance))
}

/// Moves exactly `cap` units, in proportion to the total gain or loss of each
/// region.
fn move_units(current: &Weights, target: &Weights, cap: u32, distance: u32) -> Weights {
    let regions: BTreeSet<&RegionName> = current.units.keys().chain(target.units.keys()).collect();
    let old_and_new = |region: &RegionName| (current.get(region), target.get(region));
    let gains = apportion(&regions, cap, distance, |r| {
        let (old, new) = old_and_new(r);
        new.saturating_sub(old)
    });
    let losses = apportion(&regions, cap, distance, |r| {
        let (old, new) = old_and_new(r);
        old.saturating_sub(new)
    });
    let units = regions
        .into_iter()
        .map(|region| {
            let gain = gains.get(region).copied().unwrap_or(0);
            let loss = losses.get(region).copied().unwrap_or(0);
            (region.clone(), current.get(region) + gain - loss)
        })
        .collect();
    Weights { units }
}

/// Divides `cap` among the regions in proportion to `demand`, whose sum over
/// all regions is `total`.
fn apportion<'a>(
    regions: &BTreeSet<&'a RegionName>,
    cap: u32,
    total: u32,
    demand: impl Fn(&RegionName) -> u32,
) -> BTreeMap<&'a RegionName, u32> {
    // Rounds the running sum instead of each summand, so that the result adds
    // up to `cap` exactly.
    let mut running = 0u64;
    let mut assigned = 0u64;
    let mut units = BTreeMap::new();
    for region in regions {
        running += u64::from(demand(region));
        let cumulative = running * u64::from(cap) / u64::from(total);
        let region_units = u32::try_from(cumulative - assigned).unwrap_or(u32::MAX);
        assigned = cumulative;
        units.insert(*region, region_units);
    }
    units
}
