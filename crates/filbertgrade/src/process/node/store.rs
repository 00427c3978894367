//! Follows the store: one task for each kind of object.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{FailureDomainName, VmName};
use filbertgrade_coord::rendezvous;
use filbertgrade_coord::steering::deployment::Deployment;
use filbertgrade_coord::steering::endpoint::Endpoint;
use filbertgrade_coord::steering::members::Member;
use filbertgrade_coord::steering::quota::Limit;
use filbertgrade_coord::steering::registry::RegistryChange;
use filbertgrade_platform::objects::{self, Kind, NEWEST_CONFIGURATION};
use filbertgrade_platform::store::{Event, Object, StoreClient, StoreError};
use indexmap::IndexMap;
use rand::Rng;

use super::{Node, member};
use crate::logfmt;
use crate::sync::lock;

/// Time for one call besides the wait that a watch asks for. The store answers
/// in milliseconds; in trouble it is many times slower.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause before the next call after one that failed, half of it at random.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time for which changes that come together are collected before they are
/// asked for, because each answer is a call.
const COLLECT_TIME: Duration = Duration::from_millis(150);

/// Silence after which an entry of a VM is removed from the store.
const ENTRY_LIFE: Duration = Duration::from_secs(30);

/// How one kind of object is followed.
trait Follower: Send + 'static {
    const KIND: Kind;

    /// Longest wait of a watch. Its end tells that the connection still works.
    const WAIT: Duration;

    /// Takes all objects as of `revision`.
    fn replace(&mut self, node: &Node, objects: Vec<Object>, revision: u64);

    /// Takes changes up to `revision`.
    fn change(&mut self, node: &Node, events: Vec<Event>, revision: u64);

    /// What the store held until `at` is known.
    fn confirm(&mut self, _node: &Node, _at: Instant) {}
}

/// Begins to follow the store.
pub(super) fn follow(node: &Arc<Node>) {
    tokio::spawn(run(Arc::clone(node), Configuration));
    tokio::spawn(run(Arc::clone(node), Endpoints));
    tokio::spawn(run(Arc::clone(node), Evacuations::default()));
    tokio::spawn(run(Arc::clone(node), Vms::default()));
    tokio::spawn(keep_listed(Arc::clone(node)));
}

fn client(node: &Node) -> StoreClient {
    let settings = node.settings.load();
    StoreClient::new(settings.store, settings.address)
}

async fn run<F: Follower>(node: Arc<Node>, mut follower: F) {
    let mut client = client(&node);
    loop {
        let began = Instant::now();
        match client.list(F::KIND, CALL_TIMEOUT).await {
            Ok(list) => {
                answered(&node, F::KIND);
                note_unreadable(F::KIND, list.unreadable);
                let revision = list.revision;
                follower.replace(&node, list.objects, revision);
                follower.confirm(&node, began);
                watch(&node, &mut client, &mut follower, revision).await;
            }
            Err(error) => failed(&node, F::KIND, began, &error),
        }
        pause().await;
    }
}

/// Watches until the history that is asked for is gone.
async fn watch<F: Follower>(
    node: &Node,
    client: &mut StoreClient,
    follower: &mut F,
    mut revision: u64,
) {
    let mut back = node.store_back.subscribe();
    loop {
        let began = Instant::now();
        back.mark_unchanged();
        let call = client.watch(F::KIND, revision, F::WAIT, CALL_TIMEOUT);
        let result = tokio::select! {
            result = call => result,
            // The connection may be one that was lost with the store.
            _ = back.changed() => continue,
        };
        match result {
            Ok(events) => {
                answered(node, F::KIND);
                note_unreadable(F::KIND, events.unreadable);
                revision = revision.max(events.revision);
                let quiet = events.events.is_empty();
                if !quiet {
                    follower.change(node, events.events, revision);
                }
                follower.confirm(node, confirmed_at(began, F::WAIT, quiet));
                if !quiet {
                    tokio::time::sleep(COLLECT_TIME).await;
                }
            }
            Err(error) => {
                failed(node, F::KIND, began, &error);
                if error.is_history_gone() {
                    return;
                }
                pause().await;
            }
        }
    }
}

/// Until when an answer proves that nothing else had changed. A watch without
/// a change is answered when its wait is over.
fn confirmed_at(began: Instant, wait: Duration, quiet: bool) -> Instant {
    if quiet && began.elapsed() >= wait {
        began + wait
    } else {
        began
    }
}

async fn pause() {
    let part = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(RETRY_PAUSE.mul_f64(part)).await;
}

fn answered(node: &Node, kind: Kind) {
    let kind = kind.as_str();
    metrics::counter!("store_calls_total", "kind" => kind, "result" => "ok").increment(1);
    let outage = lock(&node.evidence).answered(Instant::now());
    if let Some(outage) = outage {
        node.store_back.send_replace(());
        log::info!(
            "event=store_regained kind={kind} outage_ms={}",
            outage.as_millis()
        );
    }
}

fn failed(node: &Node, kind: Kind, began: Instant, error: &StoreError) {
    let kind = kind.as_str();
    metrics::counter!("store_calls_total", "kind" => kind, "result" => "failed").increment(1);
    if error.is_history_gone() {
        log::info!("event=store_history_gone kind={kind}");
        return;
    }
    // A watch that was cut after a long wait worked until then.
    let now = Instant::now();
    let since = now
        .checked_sub(CALL_TIMEOUT)
        .map_or(began, |at| at.max(began));
    if lock(&node.evidence).failed(since) {
        log::warn!(
            "event=store_lost kind={kind} error={}",
            logfmt::value(error)
        );
    } else {
        log::debug!(
            "event=store_call_failed kind={kind} error={}",
            logfmt::value(error)
        );
    }
}

fn note_unreadable(kind: Kind, count: usize) {
    if count > 0 {
        log::warn!(
            "event=objects_unreadable kind={} count={count}",
            kind.as_str()
        );
    }
}

fn note_fault(kind: Kind, name: &str, fault: &objects::ObjectFault) {
    log::warn!(
        "event=object_ignored kind={} name={} cause={}",
        kind.as_str(),
        logfmt::value(name),
        logfmt::value(fault),
    );
}

struct Configuration;

impl Follower for Configuration {
    const KIND: Kind = Kind::Configuration;
    // Withdrawn keys must stop working within seconds, also when an open
    // connection to the store went silent.
    const WAIT: Duration = Duration::from_millis(1_200);

    fn replace(&mut self, node: &Node, objects: Vec<Object>, revision: u64) {
        for object in objects {
            read_configuration(node, &object, revision);
        }
    }

    fn change(&mut self, node: &Node, events: Vec<Event>, revision: u64) {
        for event in events {
            if let Event::Written(object) = event {
                read_configuration(node, &object, revision);
            }
        }
    }

    fn confirm(&mut self, node: &Node, at: Instant) {
        lock(&node.evidence).confirm(at);
    }
}

fn read_configuration(node: &Node, object: &Object, revision: u64) {
    if object.name != NEWEST_CONFIGURATION {
        return;
    }
    match objects::configuration(&object.spec) {
        Ok(deployment) => put_in_force(node, deployment, revision),
        Err(fault) => note_fault(Kind::Configuration, &object.name, &fault),
    }
}

fn put_in_force(node: &Node, deployment: Deployment, revision: u64) {
    let now = Instant::now();
    let old = node.deployment.load_full();
    let old_version = old.as_ref().map_or(0, |old| old.version);
    if old.is_some() && deployment.version <= old_version {
        return;
    }
    let deployment = Arc::new(deployment);
    let limits = deployment.teams.values().map(|team| {
        let limit = Limit {
            rate: team.rate,
            burst: team.burst,
        };
        (team.name.clone(), limit)
    });
    lock(&node.quotas).set_limits(limits, now);
    lock(&node.balancer).set_deployment(Arc::clone(&deployment));
    log::info!(
        "event=configuration_in_force version={} previous={old_version} revision={revision} routes={} teams={} keys={}",
        deployment.version,
        deployment.routes.iter().count(),
        deployment.teams.len(),
        deployment.keys.len(),
    );
    node.deployment.store(Some(deployment));
}

struct Endpoints;

impl Follower for Endpoints {
    const KIND: Kind = Kind::Endpoints;
    const WAIT: Duration = Duration::from_secs(4);

    fn replace(&mut self, node: &Node, objects: Vec<Object>, revision: u64) {
        let list = objects.into_iter().map(registration).collect();
        let now = Instant::now();
        let back_at = back_at(node);
        lock(&node.registry).replace(list, revision, now, back_at);
        node.has_endpoints.store(true, Ordering::Release);
        endpoints_changed(node, now);
    }

    fn change(&mut self, node: &Node, events: Vec<Event>, revision: u64) {
        let changes: Vec<RegistryChange> = events
            .into_iter()
            .map(|event| match event {
                Event::Written(object) => {
                    let (id, endpoint) = registration(object);
                    RegistryChange::Written(id, endpoint)
                }
                Event::Removed(id) => RegistryChange::Removed(id.into()),
            })
            .collect();
        for change in &changes {
            log_change(change);
        }
        let now = Instant::now();
        let back_at = back_at(node);
        lock(&node.registry).apply(changes, revision, now, back_at);
        endpoints_changed(node, now);
    }
}

fn back_at(node: &Node) -> Option<Instant> {
    let outage = lock(&node.evidence).last_outage();
    outage.map(|outage| outage.ended_at)
}

/// Another VM has reached the store without an outage for `steady`. Endpoints
/// whose registration is gone have then not lapsed, but left.
pub(super) fn heard_steady(node: &Node, steady: Duration, now: Instant) {
    let mut evidence = lock(&node.evidence);
    let Some(outage) = evidence.last_outage() else {
        return;
    };
    if steady < now.saturating_duration_since(outage.began_at) {
        return;
    }
    evidence.outage_was_own();
    drop(evidence);
    log::info!("event=outage_was_own");
    if lock(&node.registry).drop_lapsed() {
        endpoints_changed(node, now);
    }
}

fn registration(object: Object) -> (Arc<str>, Option<Endpoint>) {
    let endpoint = objects::endpoint(&object.name, &object.spec)
        .inspect_err(|fault| note_fault(Kind::Endpoints, &object.name, fault))
        .ok();
    (object.name.into(), endpoint)
}

fn log_change(change: &RegistryChange) {
    match change {
        RegistryChange::Written(id, Some(endpoint)) => log::info!(
            "event=endpoint_registered endpoint={} service={} address={} draining={} cold_ms={}",
            logfmt::value(id),
            endpoint.service,
            endpoint.address,
            endpoint.draining,
            endpoint.cold_for.as_millis(),
        ),
        RegistryChange::Written(_, None) => {}
        RegistryChange::Removed(id) => {
            log::info!("event=endpoint_removed endpoint={}", logfmt::value(id));
        }
    }
}

/// Gives the balancer the endpoints that count as existing.
pub(super) fn endpoints_changed(node: &Node, now: Instant) {
    let registry = lock(&node.registry);
    lock(&node.balancer).set_endpoints(registry.endpoints(), now);
}

#[derive(Default)]
struct Evacuations {
    names: HashSet<FailureDomainName>,
}

impl Evacuations {
    fn put_in_force(&self, node: &Node, revision: u64) {
        let names: Vec<&FailureDomainName> = self.names.iter().collect();
        let list = logfmt::list(&names);
        log::info!("event=evacuations_in_force revision={revision} failure_domains={list}");
        lock(&node.balancer).set_evacuated(self.names.clone(), Instant::now());
    }
}

impl Follower for Evacuations {
    const KIND: Kind = Kind::Evacuations;
    const WAIT: Duration = Duration::from_secs(4);

    fn replace(&mut self, node: &Node, objects: Vec<Object>, revision: u64) {
        self.names = objects.iter().filter_map(|o| evacuation(&o.name)).collect();
        self.put_in_force(node, revision);
    }

    fn change(&mut self, node: &Node, events: Vec<Event>, revision: u64) {
        for event in events {
            match event {
                Event::Written(object) => self.names.extend(evacuation(&object.name)),
                Event::Removed(name) => {
                    self.names.retain(|known| known.as_str() != name);
                }
            }
        }
        self.put_in_force(node, revision);
    }
}

fn evacuation(name: &str) -> Option<FailureDomainName> {
    objects::evacuation(name)
        .inspect_err(|fault| note_fault(Kind::Evacuations, name, fault))
        .ok()
}

/// The VMs that are listed, with the revisions of their entries.
#[derive(Default)]
struct Vms {
    members: IndexMap<VmName, (Member, u64)>,
}

impl Vms {
    fn add(&mut self, object: &Object) {
        match objects::member(&object.name, &object.spec) {
            Ok(member) => {
                self.members
                    .insert(member.vm.clone(), (member, object.revision));
            }
            Err(fault) => note_fault(Kind::Vms, &object.name, &fault),
        }
    }

    fn put_in_force(&self, node: &Node) {
        let now = Instant::now();
        let me = node.settings.load().vm.clone();
        let members: Vec<Member> = self.members.values().map(|(m, _)| m.clone()).collect();
        let peers: Vec<VmName> = self
            .members
            .keys()
            .filter(|vm| **vm != me)
            .cloned()
            .collect();
        lock(&node.quotas).set_peers(&peers);
        if lock(&node.members).set_listed(members, now) {
            log::info!("event=vms_listed count={}", self.members.len());
        }
        let listed = self
            .members
            .get(&me)
            .is_some_and(|(member, _)| member.incarnation == node.incarnation);
        node.listed.store(listed, Ordering::Release);
        lock(&node.entries).clone_from(&self.members);
    }
}

impl Follower for Vms {
    const KIND: Kind = Kind::Vms;
    const WAIT: Duration = Duration::from_secs(8);

    fn replace(&mut self, node: &Node, objects: Vec<Object>, _revision: u64) {
        self.members.clear();
        for object in &objects {
            self.add(object);
        }
        self.put_in_force(node);
    }

    fn change(&mut self, node: &Node, events: Vec<Event>, _revision: u64) {
        for event in events {
            match event {
                Event::Written(object) => self.add(&object),
                Event::Removed(name) => {
                    self.members.shift_remove(name.as_str());
                }
            }
        }
        self.put_in_force(node);
    }
}

/// Time between two looks at the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Keeps this VM listed, and removes entries of VMs that are gone.
async fn keep_listed(node: Arc<Node>) {
    let mut client = client(&node);
    if !node.is_leaving() {
        enlist(&node, &mut client).await;
    }
    loop {
        tokio::time::sleep(LIST_INTERVAL).await;
        if node.is_leaving() {
            return;
        }
        if !node.listed.load(Ordering::Acquire) {
            enlist(&node, &mut client).await;
        }
        remove_silent(&node, &mut client).await;
    }
}

async fn enlist(node: &Node, client: &mut StoreClient) {
    let began = Instant::now();
    let me = member(&node.settings.load(), node.incarnation);
    let spec = objects::member_spec(&me);
    let name = me.vm.as_str();
    let mut written = client.create(Kind::Vms, name, &spec, CALL_TIMEOUT).await;
    if written.as_ref().is_err_and(StoreError::is_conflict) {
        written = client.replace(Kind::Vms, name, &spec, CALL_TIMEOUT).await;
    }
    match written {
        Ok(()) => answered(node, Kind::Vms),
        Err(error) => failed(node, Kind::Vms, began, &error),
    }
}

/// Takes this VM off the list, because it is about to stop.
pub(super) async fn delist(node: Arc<Node>) {
    let vm = node.settings.load().vm.clone();
    let revision = lock(&node.entries)
        .get(&vm)
        .filter(|(member, _)| member.incarnation == node.incarnation)
        .map(|(_, revision)| *revision);
    let Some(revision) = revision else {
        return;
    };
    let removed = client(&node)
        .delete(Kind::Vms, vm.as_str(), Some(revision), CALL_TIMEOUT)
        .await;
    if let Err(error) = removed {
        // Other VMs remove the entry after a while.
        log::warn!("event=not_delisted error={}", logfmt::value(&error));
    }
}

/// Removes entries of VMs that have been silent for long. One VM does it, so
/// that the calls do not grow with the fleet.
async fn remove_silent(node: &Node, client: &mut StoreClient) {
    let now = Instant::now();
    let silent: Vec<VmName> = {
        let members = lock(&node.members);
        let running = members.running(now);
        let me = &node.settings.load().vm;
        members
            .silent(ENTRY_LIFE, now)
            .map(|member| member.vm.clone())
            .filter(|vm| rendezvous::owner(vm.as_str(), running.iter()) == Some(me))
            .collect()
    };
    for vm in silent {
        let revision = lock(&node.entries).get(&vm).map(|(_, revision)| *revision);
        let removed = client
            .delete(Kind::Vms, vm.as_str(), revision, CALL_TIMEOUT)
            .await;
        match removed {
            Ok(()) => log::info!("event=silent_vm_delisted vm={vm}"),
            Err(error) => {
                log::debug!("event=not_delisted vm={vm} error={}", logfmt::value(&error));
            }
        }
    }
}
