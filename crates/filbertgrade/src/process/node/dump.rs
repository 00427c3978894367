//! Readiness, metrics and dump of a node, as shown on its operator port.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::VmName;
use serde_json::{Value, json};

use super::Node;
use crate::process::operator::OperatorPort;
use crate::sync::lock;

/// Builds the operator port of a node.
pub(super) fn operator_port(node: &Arc<Node>) -> OperatorPort {
    let section = |dump: fn(&Node) -> Value| {
        let node = Arc::clone(node);
        move || dump(&node)
    };
    let ready = Arc::clone(node);
    let gauges = Arc::clone(node);
    OperatorPort::new(move || {
        if ready.is_ready(Instant::now()) {
            Ok(())
        } else {
            Err("no current configuration, or leaving")
        }
    })
    .dump_section("node", section(dump_node))
    .dump_section("vms", section(dump_vms))
    .dump_section("endpoints", section(dump_endpoints))
    .refresh_gauges(move || update_gauges(&gauges))
}

fn update_gauges(node: &Node) {
    let now = Instant::now();
    let version = node.deployment.load().as_ref().map_or(0, |d| d.version);
    metrics::gauge!("configuration_version").set(version as f64);
    let age = lock(&node.store_health).confirmation_age(now);
    metrics::gauge!("configuration_age_seconds").set(age.map_or(f64::NAN, |a| a.as_secs_f64()));
    metrics::gauge!("requests_running").set(node.running_requests.count() as f64);
    metrics::gauge!("caller_connections").set(node.caller_connections.count() as f64);
    metrics::gauge!("vms_running").set(lock(&node.members).running(now).len() as f64);
    metrics::gauge!("body_bytes_free").set(node.body_budget.available() as f64);
}

fn dump_node(node: &Node) -> Value {
    let now = Instant::now();
    let settings = node.settings.load();
    json!({
        "vm": settings.vm.as_str(),
        "incarnation": node.incarnation,
        "ready": node.is_ready(now),
        "leaving": node.is_leaving(),
        "configuration_version": node.deployment.load().as_ref().map(|d| d.version),
        "configuration_age_ms": lock(&node.store_health).confirmation_age(now).map(|a| a.as_millis() as u64),
        "requests": node.running_requests.count(),
    })
}

fn dump_vms(node: &Node) -> Value {
    let running = lock(&node.members).running(Instant::now());
    running.iter().map(VmName::as_str).collect()
}

fn dump_endpoints(node: &Node) -> Value {
    let now = Instant::now();
    lock(&node.balancer)
        .endpoint_estimates(now)
        .map(|estimate| {
            json!({
                "id": &*estimate.endpoint.key.id,
                "service": estimate.endpoint.service.as_str(),
                "address": estimate.endpoint.address.to_string(),
                "draining": estimate.endpoint.draining,
                "in_flight": estimate.in_flight,
                "load": estimate.load,
                "failures": estimate.failures,
                "slowness": estimate.slowness,
                "resting": estimate.ejected,
                "displaced": estimate.displaced,
                "cold": estimate.cold,
                "pausing_since_ms": estimate.pause.map(|pause| millis(now.saturating_duration_since(pause.since))),
                "pausing_for_ms": estimate.pause.map(|pause| millis(pause.until.saturating_duration_since(now))),
                "rate_limit": estimate.rate.per_second(),
            })
        })
        .collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
