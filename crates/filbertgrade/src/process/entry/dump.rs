//! Readiness, gauges and state dumps of the entry's operator port.

use std::sync::Arc;
use std::time::Instant;

use serde_json::{Value, json};

use super::Entry;
use crate::process::operator::OperatorPort;

/// Creates the operator port of the entry.
pub(crate) fn operator_port(entry: &Arc<Entry>) -> OperatorPort {
    let (ready, gauges) = (Arc::clone(entry), Arc::clone(entry));
    let (process, in_force) = (Arc::clone(entry), Arc::clone(entry));
    let (shares, slots) = (Arc::clone(entry), Arc::clone(entry));
    OperatorPort::new(move || readiness(&ready))
        .refresh_gauges(move || set_gauges(&gauges))
        .dump_section("process", move || process_state(&process))
        .dump_section("in_force", move || in_force_state(&in_force))
        .dump_section("shares", move || ledgers(&shares))
        .dump_section("slots", move || slot_pools(&slots))
}

fn readiness(entry: &Entry) -> Result<(), &'static str> {
    if entry.is_leaving() {
        return Err("the process is leaving");
    }
    if entry.view().config.is_none() {
        return Err("no configuration is in force");
    }
    if !entry.is_valid(Instant::now()) {
        return Err("the state is not valid: the VM is isolated or its agent does not respond");
    }
    Ok(())
}

fn set_gauges(entry: &Entry) {
    let view = entry.view();
    let vm = entry.settings.vm.to_string();
    metrics::gauge!("entry_revision", "vm" => vm.clone()).set(view.revision as f64);
    metrics::gauge!("entry_config_version", "vm" => vm.clone()).set(view.config_version as f64);
    metrics::gauge!("entry_valid_seconds", "vm" => vm).set(valid_ms(entry) as f64 / 1000.0);
}

fn process_state(entry: &Entry) -> Value {
    json!({
        "role": "entry",
        "vm": entry.settings.vm.as_str(),
        "region": entry.settings.region.as_str(),
        "failure_domain": entry.settings.failure_domain.as_str(),
        "valid_ms": valid_ms(entry),
    })
}

fn in_force_state(entry: &Entry) -> Value {
    let view = entry.view();
    let sorted = |set: Vec<String>| {
        let mut set = set;
        set.sort();
        set
    };
    let drained_servers = view.drained_servers.iter().map(ToString::to_string);
    json!({
        "revision": view.revision,
        "config_version": view.config_version,
        "config": view.config.as_ref().map(|config| config.to_text()),
        "keys": view.keys.len(),
        "vms": view.vms.values().map(|vm| json!({
            "vm": vm.name.as_str(),
            "address": vm.address.to_string(),
            "live": vm.is_live(),
        })).collect::<Vec<_>>(),
        "drained_vms": sorted(view.drained_vms.iter().cloned().collect()),
        "drained_regions": sorted(view.drained_regions.iter().cloned().collect()),
        "drained_servers": sorted(drained_servers.collect()),
    })
}

fn ledgers(entry: &Entry) -> Value {
    let ledgers = entry.admission.snapshots().into_iter();
    let ledgers = ledgers.map(|ledger| {
        json!({
            "team": ledger.team.as_str(),
            "table_version": ledger.table_version,
            "base_rate": ledger.base.rate(),
            "base_usable": ledger.base_usable,
            "rate": ledger.share.rate(),
            "burst": ledger.share.burst(),
            "tokens": ledger.tokens,
            "loans_out": ledger.loans_out.len(),
            "loans_in": ledger.loans_in.len(),
            "waiting": ledger.waiting,
        })
    });
    Value::Array(ledgers.collect())
}

fn slot_pools(entry: &Entry) -> Value {
    let slot_pools = entry.slots.snapshots().into_iter();
    let slot_pools = slot_pools.map(|(service, region, pool)| {
        let endpoints = pool.endpoints.iter().map(|endpoint| {
            json!({
                "endpoint": endpoint.name.as_str(),
                "slots": endpoint.slots,
                "open": endpoint.open,
                "in_use": endpoint.in_use,
                "draining": endpoint.draining,
            })
        });
        let waiting = pool.waiting.iter().map(|(_, waiting)| waiting);
        json!({
            "service": service.as_str(),
            "region": region.as_str(),
            "permits": pool.permits,
            "waiting": waiting.sum::<usize>(),
            "endpoints": endpoints.collect::<Vec<_>>(),
        })
    });
    Value::Array(slot_pools.collect())
}

fn valid_ms(entry: &Entry) -> u64 {
    let now = Instant::now();
    let time_left = entry
        .valid_until
        .load()
        .map(|until| until.saturating_duration_since(now));
    time_left.map_or(0, |time_left| time_left.as_millis() as u64)
}
