//! Endpoints that come, leave, lapse and come back.

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

/// Guards against a service that is emptied because the store was away, and
/// against endpoints that stay after they have left.
#[test]
fn lapsed_registrations_may_come_back_for_a_while() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.apply(
        [written("a", false), written("b", false), written("c", true)],
        5,
        start,
        None,
    );
    let back = start + Duration::from_secs(10);
    let changes = [removed("a"), removed("b"), removed("c")];
    registry.apply(changes, 9, back, Some(back));
    assert_eq!(
        ids(&registry),
        ["a", "b"],
        "an endpoint that said that it leaves is gone"
    );
    registry.apply(
        [written("a", false)],
        10,
        back + Duration::from_millis(500),
        Some(back),
    );
    registry.expire(back + REREGISTRATION_GRACE);
    assert_eq!(ids(&registry), ["a"]);
}

/// Guards against endpoints that get requests for 2 s after they have left,
/// because this VM alone had lost the store.
#[test]
fn lapsed_registrations_go_at_once_when_the_store_was_not_away() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.apply([written("a", false)], 5, start, None);
    registry.apply([removed("a")], 6, start, Some(start));
    assert_eq!(ids(&registry), ["a"]);
    assert!(registry.drop_lapsed());
    assert!(ids(&registry).is_empty());
}

/// Guards against a removal at a quiet time that takes effect late.
#[test]
fn removal_takes_effect_at_once_without_an_outage() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.apply([written("a", false)], 5, start, None);
    let long_ago = start + Duration::from_secs(1);
    let now = long_ago + REREGISTRATION_GRACE;
    registry.apply([removed("a")], 6, now, Some(long_ago));
    assert!(ids(&registry).is_empty());
}

/// Guards against state that goes back, and registrations of other writers.
#[test]
fn older_lists_and_unreadable_entries_name_nothing() {
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
