//! Canonical text of a configuration, and differences between configurations by
//! key path.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;

use super::{Access, Config};

/// One line of the canonical text: a dotted key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigLine {
    /// Key path, for example `services.maatboek.slots`.
    pub path: String,
    /// Value of the key.
    pub value: ConfigValue,
}

/// Value of a [`ConfigLine`], as TOML.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigValue {
    /// A scalar.
    Scalar(String),
    /// The elements of an array, in order.
    Array(Vec<String>),
}

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// The key exists only in the new configuration.
    Added(ConfigLine),
    /// The key exists only in the old configuration.
    Removed(ConfigLine),
    /// The key exists in both configurations with different values.
    Changed {
        /// Line of the old configuration.
        from: ConfigLine,
        /// Line of the new configuration.
        to: ConfigLine,
    },
}

impl Config {
    /// Returns every key with its value, in a fixed order of sections and in the
    /// order of the file within them. Configurations with equal lines are equal.
    #[must_use]
    pub fn lines(&self) -> Vec<ConfigLine> {
        let mut lines = Lines::default();
        lines.scalar("deployment".into(), quoted(&self.deployment));
        lines.scalar("lookup.ttl_ms".into(), self.lookup_ttl.as_millis());
        lines.scalar("shift.cap".into(), float(self.shift_cap));
        lines.scalar("shift.settle_ms".into(), self.shift_settle.as_millis());
        let network = &self.network;
        lines.scalar("network.store_region".into(), quoted(&network.store_region));
        for (key, value) in [
            ("domain_latency_ms", network.domain_latency),
            ("region_latency_ms", network.region_latency),
            ("client_latency_ms", network.client_latency),
            ("connect_ms", network.connect_cost),
        ] {
            lines.scalar(format!("network.{key}"), float(millis(value)));
        }
        lines.scalar(
            "network.region_bandwidth_mbit".into(),
            network.region_bandwidth_mbit,
        );
        for (name, region) in &self.regions {
            lines.array(
                format!("regions.{name}.failure_domains"),
                &region.failure_domains,
            );
            lines.scalar(format!("regions.{name}.arrivals"), region.arrivals);
        }
        for (name, service) in &self.services {
            let path = format!("services.{name}");
            lines.scalar(format!("{path}.open"), service.access == Access::Open);
            lines.scalar(format!("{path}.slots"), service.slots);
            lines.scalar(format!("{path}.connections"), service.connections);
            for (region, weight) in &service.weights {
                lines.scalar(format!("{path}.weights.{region}"), weight);
            }
            for (domain, addresses) in &service.endpoints {
                lines.array(format!("{path}.endpoints.{domain}"), addresses);
            }
        }
        for (name, team) in &self.teams {
            lines.scalar(format!("teams.{name}.rate"), float(team.rate));
            lines.scalar(format!("teams.{name}.burst"), float(team.burst));
        }
        let mut blocks: IndexMap<_, Vec<_>> = IndexMap::new();
        for (block, region) in &self.client_blocks {
            blocks.entry(region).or_default().push(block);
        }
        for (region, blocks) in blocks {
            lines.array(format!("client_blocks.{region}"), &blocks);
        }
        lines.0
    }

    /// Returns the canonical text, with one dotted key per line. Parsing it
    /// yields an equal configuration.
    #[must_use]
    pub fn to_text(&self) -> String {
        self.lines()
            .iter()
            .map(|line| format!("{line}\n"))
            .collect()
    }

    /// Lists the changes from this configuration to `to`, in the order of the
    /// keys of `to`; removed keys come last.
    #[must_use]
    pub fn changes_to(&self, to: &Self) -> Vec<ConfigChange> {
        let by_path = |cfg: &Self| -> IndexMap<String, ConfigLine> {
            let lines = cfg.lines().into_iter();
            lines.map(|line| (line.path.clone(), line)).collect()
        };
        let (mut from, to) = (by_path(self), by_path(to));
        let mut changes = Vec::new();
        for (path, line) in to {
            match from.shift_remove(&path) {
                None => changes.push(ConfigChange::Added(line)),
                Some(previous) if previous != line => changes.push(ConfigChange::Changed {
                    from: previous,
                    to: line,
                }),
                Some(_) => {}
            }
        }
        changes.extend(from.into_values().map(ConfigChange::Removed));
        changes
    }
}

impl fmt::Display for ConfigLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}", self.path, self.value)
    }
}

impl fmt::Display for ConfigValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Scalar(value) => f.write_str(value),
            Self::Array(values) => write!(f, "[{}]", values.join(", ")),
        }
    }
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(line) => write!(f, "+ {line}"),
            Self::Removed(line) => write!(f, "- {line}"),
            Self::Changed { from, to } => match (&from.value, &to.value) {
                (ConfigValue::Array(old), ConfigValue::Array(new)) => {
                    write!(f, "~ {}:", to.path)?;
                    write_elements(f, old, new)
                }
                (old, new) => write!(f, "~ {}: {old} -> {new}", to.path),
            },
        }
    }
}

/// Writes the elements of an array that were removed and added.
fn write_elements(f: &mut fmt::Formatter<'_>, old: &[String], new: &[String]) -> fmt::Result {
    let (before, after): (BTreeSet<_>, BTreeSet<_>) = (old.iter().collect(), new.iter().collect());
    if before == after {
        return f.write_str(" order changed");
    }
    for value in old.iter().filter(|value| !after.contains(value)) {
        write!(f, " -{value}")?;
    }
    for value in new.iter().filter(|value| !before.contains(value)) {
        write!(f, " +{value}")?;
    }
    Ok(())
}

/// Builder of canonical lines.
#[derive(Default)]
struct Lines(Vec<ConfigLine>);

impl Lines {
    fn scalar(&mut self, path: String, value: impl fmt::Display) {
        let value = ConfigValue::Scalar(value.to_string());
        self.0.push(ConfigLine { path, value });
    }

    fn array(&mut self, path: String, values: &[impl fmt::Display]) {
        let value = ConfigValue::Array(values.iter().map(quoted).collect());
        self.0.push(ConfigLine { path, value });
    }
}

/// Formats a TOML string. Names, addresses and blocks contain no character that
/// TOML needs escaped.
fn quoted(value: impl fmt::Display) -> String {
    format!("\"{value}\"")
}

/// Formats a TOML float. The debug format keeps every digit, and always has a
/// decimal point or exponent that distinguishes it from an integer.
fn float(value: f64) -> String {
    format!("{value:?}")
}

fn millis(value: Duration) -> f64 {
    value.as_nanos() as f64 / 1e6
}
