//! Tests of endpoints that register, leave, expire and register again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::registry::{REREGISTRATION_GRACE, Registry, RegistryChange};

use crate::scene::endpoint;

fn written(id: &str, draining: bool) -> RegistryChange {
    let mut endpoint = endpoint(id, "north", 3);
    endpoint.draining = draining;
    RegistryChange::Written(id.into(), Some(endpoint))
}

fn removed(id: &str) -> RegistryChange {
    RegistryChange::Removed(id.into())
}

fn ids(registry: &Registry) -> Vec<String> {
    let mut ids: Vec<String> = registry.endpoints().map(|e| e.key.id.to_string()).collect();
    ids.sort();
    ids
}

/// Guards against a service that loses its endpoints because registrations
/// expired in an outage of the store, and against endpoints that are kept after
/// they have left.
#[test]
fn endpoints_are_kept_after_an_outage_until_the_grace_ends() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.apply(
        [written("a", false), written("b", false), written("c", true)],
        5,
        start,
        None,
    );
    let outage_end = start + Duration::from_secs(10);
    let changes = [removed("a"), removed("b"), removed("c")];
    registry.apply(changes, 9, outage_end, Some(outage_end));
    assert_eq!(
        ids(&registry),
        ["a", "b"],
        "the draining endpoint is not kept"
    );
    registry.apply(
        [written("a", false)],
        10,
        outage_end + Duration::from_millis(500),
        Some(outage_end),
    );
    registry.expire(outage_end + REREGISTRATION_GRACE);
    assert_eq!(ids(&registry), ["a"]);
}

/// Guards against endpoints that get requests for 2 s after they have left,
/// because only this VM could not reach the store.
#[test]
fn kept_endpoints_are_removed_when_the_outage_was_local() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.apply([written("a", false)], 5, start, None);
    registry.apply([removed("a")], 6, start, Some(start));
    assert_eq!(ids(&registry), ["a"]);
    assert!(registry.remove_unregistered());
    assert!(ids(&registry).is_empty());
}

/// Guards against a removal that is delayed although the last outage of the store
/// ended longer ago than the grace.
#[test]
fn removal_takes_effect_immediately_without_a_recent_outage() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.apply([written("a", false)], 5, start, None);
    let outage_end = start + Duration::from_secs(1);
    let now = outage_end + REREGISTRATION_GRACE;
    registry.apply([removed("a")], 6, now, Some(outage_end));
    assert!(ids(&registry).is_empty());
}

/// Guards against an older list that replaces newer state, and against an endpoint
/// that is kept after its registration became unreadable.
#[test]
fn older_lists_are_ignored_and_unreadable_registrations_removed() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.apply([written("a", false)], 5, start, None);
    registry.replace(Vec::new(), 4, start, None);
    assert_eq!(ids(&registry), ["a"]);
    let a: Arc<str> = "a".into();
    registry.apply([RegistryChange::Written(a, None)], 6, start, None);
    assert!(ids(&registry).is_empty());
    registry.replace(
        vec![("b".into(), Some(endpoint("b", "north", 1)))],
        7,
        start,
        None,
    );
    assert_eq!(ids(&registry), ["b"]);
}
