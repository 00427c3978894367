//! Records the history of the share table and of the allocator's lease in the
//! store, for the scenarios to check.

use std::collections::{BTreeMap, BTreeSet};

use filbertgrade_standins::platform::PlatformServer;
use serde::Deserialize;

/// Units that a share table assigns in total.
const UNITS: u64 = 10_000;

/// Every share table and lease holder that was observed.
#[derive(Debug, Default)]
pub(crate) struct AllocationHistory {
    /// Share tables by the revision of the store at which they were written.
    tables: BTreeMap<u64, Table>,
    /// VMs whose agents held the lease.
    holders: BTreeSet<String>,
}

#[derive(Debug, Deserialize)]
struct Table {
    version: u64,
    token: u64,
    units: BTreeMap<String, u64>,
}

#[derive(Debug, Deserialize)]
struct Lease {
    holder: Option<String>,
}

impl AllocationHistory {
    /// Records the share table and the lease that the store holds now.
    pub(crate) fn record(&mut self, platform: &PlatformServer) {
        if let Some((revision, value)) = platform.get("shares/table") {
            let table = || serde_json::from_slice(&value).unwrap();
            self.tables.entry(revision).or_insert_with(table);
        }
        self.holders.extend(self.holder(platform));
    }

    /// VM of the agent that holds the lease; `None` when nobody does.
    pub(crate) fn holder(&self, platform: &PlatformServer) -> Option<String> {
        let (_, value) = platform.get("leases/allocator")?;
        serde_json::from_slice::<Lease>(&value).unwrap().holder
    }

    /// Number of agents that held the lease so far.
    pub(crate) fn holder_count(&self) -> usize {
        self.holders.len()
    }

    /// Describes the violations in the recorded tables; `none` when there are
    /// none.
    pub(crate) fn violations(&self) -> String {
        let mut violations = Vec::new();
        let mut previous: Option<&Table> = None;
        for (revision, table) in &self.tables {
            let sum: u64 = table.units.values().sum();
            if sum > UNITS {
                violations.push(format!("{sum} units at revision {revision}"));
            }
            if let Some(previous) = previous {
                if table.version != previous.version + 1 {
                    violations.push(format!("version {} was not recorded", previous.version + 1));
                }
                if table.token < previous.token {
                    violations.push(format!("token went back to {}", table.token));
                }
            }
            previous = Some(table);
        }
        let last: u64 = previous.map_or(0, |table| table.units.values().sum());
        if last != UNITS {
            violations.push(format!("the last table assigns {last} units"));
        }
        if violations.is_empty() {
            violations.push("none".to_owned());
        }
        violations.join(", ")
    }
}
