//! Region weights that move toward their target in capped steps.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::names::RegionName;

/// Units that make up all of the traffic.
pub const WEIGHT_UNITS: u32 = 10_000;

/// Time for a published step to be in force everywhere.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(8);

/// The share of traffic that each region gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Invariant: the values add up to [`WEIGHT_UNITS`].
    units: BTreeMap<RegionName, u32>,
}

/// The error of weights that do not add up to [`WEIGHT_UNITS`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("region weights add up to {sum} instead of {WEIGHT_UNITS}")]
pub struct WeightsError {
    sum: u64,
}

impl Weights {
    /// Creates weights from units of each region.
    ///
    /// # Errors
    ///
    /// Fails if the units do not add up to [`WEIGHT_UNITS`].
    pub fn new(units: BTreeMap<RegionName, u32>) -> Result<Self, WeightsError> {
        let sum = units.values().map(|u| u64::from(*u)).sum();
        if sum != u64::from(WEIGHT_UNITS) {
            return Err(WeightsError { sum });
        }
        Ok(Self { units })
    }

    /// Creates weights in proportion to relative numbers.
    ///
    /// Returns `None` if no number is above zero. Rounding error stays below
    /// one unit for each region.
    pub fn from_proportions(parts: &BTreeMap<RegionName, f64>) -> Option<Self> {
        let part = |value: &f64| value.max(0.0);
        let sum: f64 = parts.values().map(part).sum();
        if !(sum > 0.0 && sum.is_finite()) {
            return None;
        }
        // Rounds the running sum, so that the units add up exactly.
        let last_with_part = parts.iter().rfind(|(_, value)| **value > 0.0)?.0;
        let (mut running, mut given) = (0.0, 0);
        let units = parts
            .iter()
            .map(|(region, value)| {
                running += part(value);
                let upto = if region >= last_with_part {
                    WEIGHT_UNITS
                } else {
                    ((running / sum * f64::from(WEIGHT_UNITS)).round() as u32).min(WEIGHT_UNITS)
                };
                let units = upto - given;
                given = upto;
                (region.clone(), units)
            })
            .collect();
        Some(Self { units })
    }

    /// Returns the average of several weights, `None` if there are none.
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

    /// Units that change their region between two weights.
    pub fn distance(&self, other: &Weights) -> u32 {
        let gain = |(region, units): (&RegionName, &u32)| other.get(region).saturating_sub(*units);
        let new = other
            .units
            .iter()
            .filter(|(region, _)| !self.units.contains_key(*region))
            .map(|(_, units)| units);
        self.units.iter().map(gain).sum::<u32>() + new.sum::<u32>()
    }
}

/// What the allocator does next about the weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightStep {
    /// The weights are at the target.
    Done,
    /// The last step may not be in force everywhere yet.
    Wait {
        /// When the next step may be published.
        until: Instant,
    },
    /// Publish these weights.
    Publish(Weights),
}

/// Decides the next weights on the way from `current` to `target`.
///
/// A step moves at most `cap` units, a cap of zero moves nothing. The next
/// step follows after `time_to_live` of look-up answers plus 8 s.
/// `last_step` is when the newest step was published; an allocator that does
/// not know it passes the instant at which it became the allocator. A failed
/// region does not lift the cap.
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

/// Decides like [`next_weights`], with the whole time between two steps given.
///
/// A `pause` below the time to live of look-up answers plus the time in which
/// a step comes into force lets two steps overlap, so that more than `cap`
/// moves at once.
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
    WeightStep::Publish(moved(current, target, cap, distance))
}

/// Moves exactly `cap` units, in proportion to what each region gains or loses.
fn moved(current: &Weights, target: &Weights, cap: u32, distance: u32) -> Weights {
    let regions: BTreeSet<&RegionName> = current.units.keys().chain(target.units.keys()).collect();
    let diff = |region: &RegionName| (current.get(region), target.get(region));
    let gains = apportion(&regions, cap, distance, |r| {
        let (old, new) = diff(r);
        new.saturating_sub(old)
    });
    let losses = apportion(&regions, cap, distance, |r| {
        let (old, new) = diff(r);
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

/// Splits `cap` in proportion to `want`, which adds up to `total`.
fn apportion<'a>(
    regions: &BTreeSet<&'a RegionName>,
    cap: u32,
    total: u32,
    want: impl Fn(&RegionName) -> u32,
) -> BTreeMap<&'a RegionName, u32> {
    // Rounds the running sum, so that the parts add up to `cap` exactly.
    let mut wanted = 0u64;
    let mut given = 0u64;
    let mut parts = BTreeMap::new();
    for region in regions {
        wanted += u64::from(want(region));
        let upto = wanted * u64::from(cap) / u64::from(total);
        let part = u32::try_from(upto - given).unwrap_or(u32::MAX);
        given = upto;
        parts.insert(*region, part);
    }
    parts
}
