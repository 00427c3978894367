//! Region weights in effect, as the platform stores them, and their steps.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertgrade_coord::lease::FencingToken;
use filbertgrade_coord::names::{NameError, RegionName};
use filbertgrade_coord::weights::{WEIGHT_UNITS, WeightStep, Weights, next_weights_with_pause};
use serde::{Deserialize, Serialize};

use super::routes::{self, Drains};
use super::{Config, ServiceName};

/// Name of the object with the weights in effect.
pub(crate) const STEERING: &str = "steering/weights";

/// The weights in effect.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SteeringTable {
    /// Token of the allocator that wrote the table.
    pub(crate) token: FencingToken,
    /// Counts the steps. An allocator dates the last one by when it first saw
    /// this number, which is never earlier than the write.
    pub(crate) step: u64,
    /// Time after the last step until the next one. It is kept here because a
    /// later configuration may shorten the time to live, while callers still
    /// hold answers with the longer one.
    pub(crate) pause: Duration,
    /// Weights of look-ups: the average of the services in the same steps.
    pub(crate) lookups: Option<Weights>,
    pub(crate) services: BTreeMap<ServiceName, Weights>,
}

impl SteeringTable {
    /// The table that follows, or `None` while nothing changes.
    ///
    /// All services step together, so that look-ups step with them. A service
    /// that the table does not have starts at its target.
    pub(crate) fn next(
        &self,
        config: &Config,
        drains: Drains<'_>,
        last_step: Option<Instant>,
        now: Instant,
    ) -> Option<Self> {
        let pause = config.lookup_ttl + config.shift_settle;
        let cap = cap_units(config.shift_cap);
        let last_step = last_step.filter(|_| self.step > 0);
        let wait = pause.max(self.pause);
        let mut moved = false;
        let mut step = |current: &Weights, target: &Weights| match next_weights_with_pause(
            current, target, cap, last_step, wait, now,
        ) {
            WeightStep::Publish(next) => {
                moved = true;
                next
            }
            WeightStep::Done | WeightStep::Wait { .. } => current.clone(),
        };
        let services: BTreeMap<ServiceName, Weights> = routes::targets(config, drains)
            .into_iter()
            .map(|(name, target)| {
                let weights = match self.services.get(&name) {
                    Some(current) => step(current, &target),
                    None => target,
                };
                (name, weights)
            })
            .collect();
        let average = Weights::average(services.values());
        let lookups = match (&self.lookups, average) {
            (Some(current), Some(average)) => Some(step(current, &average)),
            (_, average) => average,
        };
        let next = Self {
            token: self.token,
            step: self.step + u64::from(moved),
            pause: if moved { pause } else { self.pause },
            lookups,
            services,
        };
        (next != *self).then_some(next)
    }

    /// Reads a stored table; `None` when it is malformed.
    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        let file: SteeringFile = serde_json::from_slice(value).ok()?;
        let services = file.services.iter().map(|(name, units)| {
            let name = ServiceName::try_from(name.as_str()).ok()?;
            Some((name, read_weights(units)?))
        });
        let lookups = match &file.lookups {
            Some(units) => Some(read_weights(units)?),
            None => None,
        };
        Some(Self {
            token: FencingToken::new(file.token),
            step: file.step,
            pause: Duration::from_millis(file.pause_ms),
            lookups,
            services: services.collect::<Option<_>>()?,
        })
    }

    /// The table as it is stored.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let services = self.services.iter();
        let file = SteeringFile {
            token: self.token.get(),
            step: self.step,
            pause_ms: self.pause.as_millis().try_into().unwrap_or(u64::MAX),
            lookups: self.lookups.as_ref().map(write_weights),
            services: services
                .map(|(name, weights)| (name.to_string(), write_weights(weights)))
                .collect(),
        };
        serde_json::to_vec(&file).unwrap_or_default()
    }
}

type Units = BTreeMap<String, u32>;

#[derive(Serialize, Deserialize)]
struct SteeringFile {
    token: u64,
    step: u64,
    pause_ms: u64,
    lookups: Option<Units>,
    services: BTreeMap<String, Units>,
}

fn read_weights(units: &Units) -> Option<Weights> {
    let units = units.iter();
    let units = units.map(|(region, units)| Ok((RegionName::try_from(region.as_str())?, *units)));
    let units: Result<_, NameError> = units.collect();
    Weights::new(units.ok()?).ok()
}

fn write_weights(weights: &Weights) -> Units {
    let units = weights.units().iter();
    units
        .map(|(region, units)| (region.to_string(), *units))
        .collect()
}

/// A cap below one unit still moves, one unit a step.
fn cap_units(cap: f64) -> u32 {
    ((cap * f64::from(WEIGHT_UNITS)) as u32).max(1)
}
