//! Stored form of the share table.

use std::collections::BTreeMap;

use filbertgrade_coord::lease::FencingToken;
use filbertgrade_coord::names::VmName;
use filbertgrade_coord::share_table::ShareTable;
use serde::{Deserialize, Serialize};

/// Name of the object that holds the share table.
pub(crate) const SHARE_TABLE: &str = "shares/table";

/// Stored form of a [`ShareTable`].
#[derive(Serialize, Deserialize)]
struct ShareTableFile {
    version: u64,
    token: u64,
    units: BTreeMap<String, u32>,
}

/// Decodes a stored table, or returns `None` if it is malformed or assigns more
/// units than there are.
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

/// Encodes the table in its stored form, JSON.
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
