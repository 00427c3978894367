//! Region weights in effect: their stored form, and their steps towards the
//! targets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use filbertgrade_coord::lease::FencingToken;
use filbertgrade_coord::names::{NameError, RegionName};
use filbertgrade_coord::weights::{WEIGHT_UNITS, WeightStep, Weights, next_weights_with_pause};
use serde::{Deserialize, Serialize};

use super::region_splits::{self, Drains};
use super::{Config, ServiceName};

/// Name of the object that holds the weights in effect.
pub(crate) const STEERING_WEIGHTS: &str = "steering/weights";

/// The region weights in effect, as the allocator published them.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SteeringTable {
    /// Fencing token of the allocator that wrote the table.
    pub(crate) token: FencingToken,
    /// Number of steps so far. An allocator uses the time at which it first saw
    /// this number as the time of the last step. That is never earlier than the
    /// write.
    pub(crate) step: u64,
    /// Minimum time from the last step to the next. It is stored because a later
    /// configuration may shorten the time to live while callers still cache
    /// lookup responses with the longer one.
    pub(crate) pause: Duration,
    /// Weights of lookups, which step towards the average of the services'
    /// weights; `None` while there is no service.
    pub(crate) lookups: Option<Weights>,
    /// Weights of each service's requests.
    pub(crate) services: BTreeMap<ServiceName, Weights>,
}

impl SteeringTable {
    /// Returns the next table to publish, or `None` if nothing changes.
    ///
    /// All services step at the same time, so that lookups step with them. A
    /// service that is not in the table yet starts at its target. `last_step`
    /// is when the allocator first saw the current step.
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
        let min_interval = pause.max(self.pause);
        let mut stepped = false;
        let mut step = |current: &Weights, target: &Weights| match next_weights_with_pause(
            current,
            target,
            cap,
            last_step,
            min_interval,
            now,
        ) {
            WeightStep::Publish(next) => {
                stepped = true;
                next
            }
            WeightStep::Done | WeightStep::Wait { .. } => current.clone(),
        };
        let services: BTreeMap<ServiceName, Weights> = region_splits::targets(config, drains)
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
            step: self.step + u64::from(stepped),
            pause: if stepped { pause } else { self.pause },
            lookups,
            services,
        };
        (next != *self).then_some(next)
    }

    /// Decodes a stored table, or returns `None` if it is malformed.
    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        let file: SteeringFile = serde_json::from_slice(value).ok()?;
        let services = file.services.iter().map(|(name, units)| {
            let name = ServiceName::try_from(name.as_str()).ok()?;
            Some((name, decode_weights(units)?))
        });
        let lookups = match &file.lookups {
            Some(units) => Some(decode_weights(units)?),
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

    /// Encodes the table in its stored form, JSON.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let services = self.services.iter();
        let file = SteeringFile {
            token: self.token.get(),
            step: self.step,
            pause_ms: self.pause.as_millis().try_into().unwrap_or(u64::MAX),
            lookups: self.lookups.as_ref().map(encode_weights),
            services: services
                .map(|(name, weights)| (name.to_string(), encode_weights(weights)))
                .collect(),
        };
        serde_json::to_vec(&file).unwrap_or_default()
    }
}

/// Weight units by region name.
type Units = BTreeMap<String, u32>;

/// Stored form of a [`SteeringTable`].
#[derive(Serialize, Deserialize)]
struct SteeringFile {
    token: u64,
    step: u64,
    pause_ms: u64,
    lookups: Option<Units>,
    services: BTreeMap<String, Units>,
}

fn decode_weights(units: &Units) -> Option<Weights> {
    let units = units.iter();
    let units = units.map(|(region, units)| Ok((RegionName::try_from(region.as_str())?, *units)));
    let units: Result<_, NameError> = units.collect();
    Weights::new(units.ok()?).ok()
}

fn encode_weights(weights: &Weights) -> Units {
    let units = weights.units().iter();
    units
        .map(|(region, units)| (region.to_string(), *units))
        .collect()
}

/// Converts the cap to weight units. A cap below one unit counts as one, so
/// that the weights still reach their target.
fn cap_units(cap: f64) -> u32 {
    ((cap * f64::from(WEIGHT_UNITS)) as u32).max(1)
}
