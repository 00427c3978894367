//! The share table as the platform stores it.

use std::collections::BTreeMap;

use filbertgrade_coord::lease::FencingToken;
use filbertgrade_coord::names::VmName;
use filbertgrade_coord::share_table::ShareTable;
use serde::{Deserialize, Serialize};

/// Name of the share table's object.
pub(crate) const SHARE_TABLE: &str = "shares/table";

#[derive(Serialize, Deserialize)]
struct ShareTableFile {
    version: u64,
    token: u64,
    units: BTreeMap<String, u32>,
}

/// Reads a stored table; `None` when it is malformed or gives out too much.
pub(crate) fn decode(value: &[u8]) -> Option<ShareTable> {
    let file: ShareTableFile = serde_json::from_slice(value).ok()?;
    let units = file
        .units
        .into_iter()
        .map(|(vm, units)| Ok((VmName::try_from(vm.as_str())?, units)))
        .collect::<Result<_, filbertgrade_coord::names::NameError>>()
        .ok()?;
    ShareTable::new(file.version, FencingToken::new(file.token), units).ok()
}

/// The table as it is stored.
pub(crate) fn encode(table: &ShareTable) -> Vec<u8> {
    let file = ShareTableFile {
        version: table.version(),
        token: table.token().get(),
        units: table
            .units()
            .iter()
            .map(|(vm, units)| (vm.to_string(), *units))
            .collect(),
    };
    serde_json::to_vec(&file).unwrap_or_default()
}
