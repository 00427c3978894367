//! What the platform held of the share table and the allocator's lease.

use std::collections::{BTreeMap, BTreeSet};

use filbertgrade_standins::platform::PlatformServer;
use serde::Deserialize;

/// Units that a table may give out.
const UNITS: u64 = 10_000;

/// Every table and holder that was seen.
#[derive(Debug, Default)]
pub(crate) struct Allocation {
    tables: BTreeMap<u64, Table>,
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

impl Allocation {
    /// Notes what the platform holds now.
    pub(crate) fn look(&mut self, platform: &PlatformServer) {
        if let Some((revision, value)) = platform.get("shares/table") {
            let table = || serde_json::from_slice(&value).unwrap();
            self.tables.entry(revision).or_insert_with(table);
        }
        self.holders.extend(self.holder(platform));
    }

    /// VM of the agent that holds the lease.
    pub(crate) fn holder(&self, platform: &PlatformServer) -> Option<String> {
        let (_, value) = platform.get("leases/allocator")?;
        serde_json::from_slice::<Lease>(&value).unwrap().holder
    }

    /// How many agents held the lease.
    pub(crate) fn holders(&self) -> usize {
        self.holders.len()
    }

    /// What is wrong with the tables, or `none`.
    pub(crate) fn faults(&self) -> String {
        let mut faults = Vec::new();
        let mut before: Option<&Table> = None;
        for (revision, table) in &self.tables {
            let sum: u64 = table.units.values().sum();
            if sum > UNITS {
                faults.push(format!("{sum} units at revision {revision}"));
            }
            if let Some(before) = before {
                if table.version != before.version + 1 {
                    faults.push(format!("version {} was not seen", before.version + 1));
                }
                if table.token < before.token {
                    faults.push(format!("token {} came back", table.token));
                }
            }
            before = Some(table);
        }
        let last: u64 = before.map_or(0, |table| table.units.values().sum());
        if last != UNITS {
            faults.push(format!("the last table gives out {last}"));
        }
        if faults.is_empty() {
            faults.push("none".to_owned());
        }
        faults.join(", ")
    }
}
