//! Readiness, gauges and JSON state on the agent's operator port.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::Agent;
use crate::process::operator::OperatorPort;
use crate::sync::lock;

/// Creates the operator port of the agent. The agent is ready once it holds a
/// revision of the store.
pub(crate) fn operator_port(agent: &Arc<Agent>) -> OperatorPort {
    let (ready, gauges) = (Arc::clone(agent), Arc::clone(agent));
    let (process, regions, vms) = (Arc::clone(agent), Arc::clone(agent), Arc::clone(agent));
    OperatorPort::new(move || match *ready.revision.borrow() {
        0 => Err("no state has been received from the store or a peer"),
        _ => Ok(()),
    })
    .refresh_gauges(move || set_gauges(&gauges))
    .dump_section("process", move || process_state(&process))
    .dump_section("regions", move || region_evidence(&regions))
    .dump_section("vms", move || vm_list(&vms))
}

fn set_gauges(agent: &Agent) {
    let vm = agent.settings.vm.to_string();
    let validity = agent
        .state()
        .remaining_validity(Instant::now())
        .unwrap_or_default();
    metrics::gauge!("agent_revision", "vm" => vm.clone()).set(*agent.revision.borrow() as f64);
    metrics::gauge!("agent_valid_seconds", "vm" => vm).set(validity.as_secs_f64());
}

fn process_state(agent: &Agent) -> Value {
    let report = lock(&agent.report);
    let report = report.clone();
    let reported_at = *lock(&agent.reported_at);
    let state = agent.state();
    json!({
        "role": "agent",
        "vm": agent.settings.vm.as_str(),
        "region": agent.settings.region.as_str(),
        "failure_domain": agent.settings.failure_domain.as_str(),
        "revision": state.objects.revision(),
        "objects": state.objects.len(),
        // Null while the agent has too little evidence to decide.
        "valid_ms": state.remaining_validity(Instant::now()).map(millis),
        "entry_revision": report.as_ref().map(|report| report.revision),
        "entry_config_version": report.as_ref().map(|report| report.config_version),
        "entry_reported_ms_ago": reported_at.map(|at| millis(at.elapsed())),
    })
}

fn region_evidence(agent: &Agent) -> Value {
    let state = agent.state();
    let ages = state
        .freshness
        .ages(Instant::now(), state.objects.revision());
    let regions = ages.into_iter().map(|ages| {
        json!({
            "region": ages.region.as_str(),
            "confirmed_ms_ago": ages.confirmed.map(|(age, _)| millis(age)),
            "confirmed_revision": ages.confirmed.map(|(_, revision)| revision),
            "heard_ms_ago": ages.last_received.map(millis),
            "revision": ages.revision,
        })
    });
    Value::Array(regions.collect())
}

fn vm_list(agent: &Agent) -> Value {
    let state = agent.state();
    let vms = state.vms.iter().map(|vm| {
        json!({
            "vm": vm.name.as_str(),
            "address": vm.address.to_string(),
            "region": vm.region.as_str(),
            "failure_domain": vm.failure_domain.as_str(),
            "live": vm.is_live(),
        })
    });
    Value::Array(vms.collect())
}

fn millis(age: Duration) -> u64 {
    age.as_millis() as u64
}
