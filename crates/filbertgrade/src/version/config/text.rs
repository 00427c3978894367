//! The canonical text of a configuration, and differences by key path.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;

use super::{Access, Config};

/// One key of the canonical text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigLine {
    /// Key path, for example `services.maatboek.slots`.
    pub path: String,
    /// Value, or the elements of an array, as TOML.
    pub value: ConfigValue,
}

/// Value of a [`ConfigLine`], as TOML.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigValue {
    /// One value.
    One(String),
    /// The elements of an array.
    Many(Vec<String>),
}

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// The key is new.
    Added(ConfigLine),
    /// The key is gone.
    Removed(ConfigLine),
    /// The key has another value.
    Changed {
        /// What is in force.
        from: ConfigLine,
        /// What the file says.
        to: ConfigLine,
    },
}

impl Config {
    /// Every key with its value, in the order of the file. Two configurations
    /// with the same lines are the same.
    #[must_use]
    pub fn lines(&self) -> Vec<ConfigLine> {
        let mut lines = Lines::default();
        lines.one("deployment".into(), quoted(&self.deployment));
        lines.one("lookup.ttl_ms".into(), self.lookup_ttl.as_millis());
        lines.one("shift.cap".into(), float(self.shift_cap));
        lines.one("shift.settle_ms".into(), self.shift_settle.as_millis());
        let network = &self.network;
        lines.one("network.store_region".into(), quoted(&network.store_region));
        for (key, value) in [
            ("domain_latency_ms", network.domain_latency),
            ("region_latency_ms", network.region_latency),
            ("client_latency_ms", network.client_latency),
            ("connect_ms", network.connect_cost),
        ] {
            lines.one(format!("network.{key}"), float(millis(value)));
        }
        lines.one(
            "network.region_bandwidth_mbit".into(),
            network.region_bandwidth_mbit,
        );
        for (name, region) in &self.regions {
            lines.many(
                format!("regions.{name}.failure_domains"),
                &region.failure_domains,
            );
            lines.one(format!("regions.{name}.arrivals"), region.arrivals);
        }
        for (name, service) in &self.services {
            let path = format!("services.{name}");
            lines.one(format!("{path}.open"), service.access == Access::Open);
            lines.one(format!("{path}.slots"), service.slots);
            lines.one(format!("{path}.connections"), service.connections);
            for (region, weight) in &service.weights {
                lines.one(format!("{path}.weights.{region}"), weight);
            }
            for (domain, addresses) in &service.endpoints {
                lines.many(format!("{path}.endpoints.{domain}"), addresses);
            }
        }
        for (name, team) in &self.teams {
            lines.one(format!("teams.{name}.rate"), float(team.rate));
            lines.one(format!("teams.{name}.burst"), float(team.burst));
        }
        let mut blocks: IndexMap<_, Vec<_>> = IndexMap::new();
        for (block, region) in &self.client_blocks {
            blocks.entry(region).or_default().push(block);
        }
        for (region, blocks) in blocks {
            lines.many(format!("client_blocks.{region}"), &blocks);
        }
        lines.0
    }

    /// The canonical text: one dotted key a line. Parsing it gives the same
    /// configuration.
    #[must_use]
    pub fn to_text(&self) -> String {
        self.lines()
            .iter()
            .map(|line| format!("{line}\n"))
            .collect()
    }

    /// What `to` changes, in the order of its keys; removed keys come last.
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
                Some(known) if known != line => changes.push(ConfigChange::Changed {
                    from: known,
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
            Self::One(value) => f.write_str(value),
            Self::Many(values) => write!(f, "[{}]", values.join(", ")),
        }
    }
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(line) => write!(f, "+ {line}"),
            Self::Removed(line) => write!(f, "- {line}"),
            Self::Changed { from, to } => match (&from.value, &to.value) {
                (ConfigValue::Many(old), ConfigValue::Many(new)) => {
                    write!(f, "~ {}:", to.path)?;
                    write_elements(f, old, new)
                }
                (old, new) => write!(f, "~ {}: {old} -> {new}", to.path),
            },
        }
    }
}

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

#[derive(Default)]
struct Lines(Vec<ConfigLine>);

impl Lines {
    fn one(&mut self, path: String, value: impl fmt::Display) {
        let value = ConfigValue::One(value.to_string());
        self.0.push(ConfigLine { path, value });
    }

    fn many(&mut self, path: String, values: &[impl fmt::Display]) {
        let value = ConfigValue::Many(values.iter().map(quoted).collect());
        self.0.push(ConfigLine { path, value });
    }
}

/// Names, addresses and blocks hold no character that TOML escapes.
fn quoted(value: impl fmt::Display) -> String {
    format!("\"{value}\"")
}

/// The debug form keeps every digit and a mark that tells it from an integer.
fn float(value: f64) -> String {
    format!("{value:?}")
}

fn millis(value: Duration) -> f64 {
    value.as_nanos() as f64 / 1e6
}
