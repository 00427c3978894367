//! Tests of endpoints that register, leave, expire and register again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::endpoint::Endpoint;
use filbertgrade_coord::steering::registry::{REREGISTRATION_GRACE, Registry, RegistryChange};
use filbertgrade_coord::steering::store_revision::StoreRevision;

use crate::scene::endpoint;

fn written(id: &str, draining: bool) -> RegistryChange {
    let mut endpoint = endpoint(id, "north", 3);
    endpoint.draining = draining;
    RegistryChange::Written(id.into(), Some(endpoint))
}

fn removed(id: &str) -> RegistryChange {
    RegistryChange::Removed(id.into())
}

fn rev(number: u64) -> StoreRevision {
    StoreRevision::first_era(number)
}

/// A revision after the store was restored once.
fn restored(number: u64) -> StoreRevision {
    StoreRevision { era: 1, number }
}

/// A registration that is write number `sequence` of its endpoint.
fn numbered(id: &str, draining: bool, sequence: u64) -> (Arc<str>, Option<Endpoint>) {
    let mut endpoint = endpoint(id, "north", 3);
    endpoint.draining = draining;
    endpoint.sequence = Some(sequence);
    (id.into(), Some(endpoint))
}

fn drains(registry: &Registry, id: &str) -> Option<bool> {
    let mut endpoints = registry.endpoints();
    let found = endpoints.find(|endpoint| &*endpoint.key.id == id);
    found.map(|endpoint| endpoint.draining)
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
        rev(5),
        start,
        None,
    );
    let outage_end = start + Duration::from_secs(10);
    let changes = [removed("a"), removed("b"), removed("c")];
    registry.apply(changes, rev(9), outage_end, Some(outage_end));
    assert_eq!(
        ids(&registry),
        ["a", "b"],
        "the draining endpoint is not kept"
    );
    registry.apply(
        [written("a", false)],
        rev(10),
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
    registry.apply([written("a", false)], rev(5), start, None);
    registry.apply([removed("a")], rev(6), start, Some(start));
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
    registry.apply([written("a", false)], rev(5), start, None);
    let outage_end = start + Duration::from_secs(1);
    let now = outage_end + REREGISTRATION_GRACE;
    registry.apply([removed("a")], rev(6), now, Some(outage_end));
    assert!(ids(&registry).is_empty());
}

/// Guards against an older list that replaces newer state, and against an endpoint
/// that is kept after its registration became unreadable.
#[test]
fn older_lists_are_ignored_and_unreadable_registrations_removed() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.apply([written("a", false)], rev(5), start, None);
    registry.replace(Vec::new(), rev(4), start, None);
    assert_eq!(ids(&registry), ["a"]);
    let a: Arc<str> = "a".into();
    registry.apply([RegistryChange::Written(a, None)], rev(6), start, None);
    assert!(ids(&registry).is_empty());
    registry.replace(
        vec![("b".into(), Some(endpoint("b", "north", 1)))],
        rev(7),
        start,
        None,
    );
    assert_eq!(ids(&registry), ["b"]);
}

/// Guards against endpoints that have left or drain and get requests again, because
/// the store was restored from a copy that names them as ready.
#[test]
fn restored_list_does_not_bring_back_endpoints_that_left() {
    let start = Instant::now();
    let mut registry = Registry::default();
    let copy = vec![
        numbered("gone", false, 1),
        numbered("drains", false, 1),
        numbered("stays", false, 1),
    ];
    registry.replace(copy.clone(), rev(5), start, None);
    let (id, endpoint) = numbered("drains", true, 4);
    let changes = [removed("gone"), RegistryChange::Written(id, endpoint)];
    registry.apply(changes, rev(9), start, None);
    registry.replace(copy.clone(), restored(6), start, None);
    assert_eq!(ids(&registry), ["drains", "stays"]);
    assert_eq!(drains(&registry, "drains"), Some(true));
    // A second list, after the history of the store was discarded.
    registry.replace(copy, restored(7), start, None);
    assert_eq!(ids(&registry), ["drains", "stays"]);
    let (id, endpoint) = numbered("gone", false, 5);
    registry.apply(
        [RegistryChange::Written(id, endpoint)],
        restored(8),
        start,
        None,
    );
    assert_eq!(ids(&registry), ["drains", "gone", "stays"]);
}

/// Guards against endpoints that drain or have left and get requests again, because
/// the store executes an earlier heartbeat of theirs late.
#[test]
fn late_heartbeat_does_not_bring_back_an_endpoint_that_left() {
    let start = Instant::now();
    let mut registry = Registry::default();
    let write = |registry: &mut Registry, revision, (id, endpoint)| {
        let change = RegistryChange::Written(id, endpoint);
        registry.apply([change], rev(revision), start, None);
    };
    write(&mut registry, 5, numbered("a", false, 3));
    write(&mut registry, 6, numbered("a", true, 5));
    write(&mut registry, 7, numbered("a", false, 4));
    assert_eq!(drains(&registry, "a"), Some(true));
    registry.apply([removed("a")], rev(8), start, None);
    write(&mut registry, 9, numbered("a", false, 4));
    assert!(ids(&registry).is_empty());
    registry.replace(vec![numbered("a", false, 5)], rev(10), start, None);
    assert!(ids(&registry).is_empty());
    // Only its registration had lapsed.
    write(&mut registry, 11, numbered("a", false, 6));
    assert_eq!(drains(&registry, "a"), Some(false));
}

/// Guards against a service that loses its endpoints, because their registrations
/// are newer than the copy from which the store was restored, and against ones that
/// stay for good though they are not registered again.
#[test]
fn endpoints_that_the_copy_lacks_are_kept_for_a_while() {
    let start = Instant::now();
    let mut registry = Registry::default();
    let list = vec![numbered("a", false, 1), numbered("b", false, 1)];
    registry.replace(list, rev(5), start, None);
    registry.replace(Vec::new(), restored(3), start, None);
    assert_eq!(ids(&registry), ["a", "b"]);
    let (id, endpoint) = numbered("a", false, 1);
    registry.apply(
        [RegistryChange::Written(id, endpoint)],
        restored(4),
        start,
        None,
    );
    registry.expire(start + REREGISTRATION_GRACE);
    assert_eq!(ids(&registry), ["a"]);
}
