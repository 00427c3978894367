//! Follows the store: one task for each kind of object.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{FailureDomainName, RegionName, VmName};
use filbertgrade_coord::rendezvous;
use filbertgrade_coord::steering::deployment::Deployment;
use filbertgrade_coord::steering::endpoint::Endpoint;
use filbertgrade_coord::steering::members::Member;
use filbertgrade_coord::steering::quota::Limit;
use filbertgrade_coord::steering::registry::{Registry, RegistryChange};
use filbertgrade_platform::objects::{self, Kind, NEWEST_CONFIGURATION};
use filbertgrade_platform::store::{Event, Object, StoreClient, StoreError};
use indexmap::IndexMap;
use rand::Rng;
use tokio::sync::watch;

use super::copy::Update;
use super::{Node, member, relay};
use crate::connection::PeerLink;
use crate::logfmt;
use crate::sync::lock;

/// Time for one call besides the wait that a watch asks for. The store answers
/// in milliseconds; in trouble it is many times slower.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause before the next call after one that failed, half of it at random.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause after several calls that failed.
const LONGEST_PAUSE: Duration = Duration::from_millis(900);

/// How long a relay that was of no use is not asked again.
const RELAY_LOST_TIME: Duration = Duration::from_secs(2);

/// Time that the next relay has to reach the store itself before it is asked.
const NEXT_RELAY_AFTER: Duration = Duration::from_millis(250);

/// Time after the start in which a node looks for a relay before it asks the
/// store for everything itself.
const START_TIME: Duration = Duration::from_millis(700);

/// How often a node that looks for a relay reads the list of VMs.
const START_INTERVAL: Duration = Duration::from_millis(200);

/// How often a node that has just started looks whether it knows a relay.
const START_LOOK: Duration = Duration::from_millis(25);

/// Time after the start of a node in which its relay may have started with it
/// and not yet have read the store.
const RELAY_START_TIME: Duration = Duration::from_millis(1_800);

/// How often such a relay is asked.
const RELAY_START_LOOK: Duration = Duration::from_millis(150);

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
    let mut source = Source::new(&node, F::KIND);
    let mut known = None;
    loop {
        match source.next(&node, known, F::WAIT).await {
            Next::Update(update) => {
                known = Some(known.unwrap_or(0).max(update.revision));
                take(&node, &mut follower, update);
            }
            Next::Again => {}
            Next::HistoryGone => known = None,
            Next::Failed => source.pause().await,
        }
    }
}

/// Puts what was read in force.
fn take<F: Follower>(node: &Node, follower: &mut F, update: Update) {
    note_unreadable(F::KIND, update.unreadable);
    node.copies.with(F::KIND, |copy| copy.take(&update));
    let Update {
        whole,
        events,
        revision,
        confirmed_at,
        ..
    } = update;
    if whole {
        let objects = events.into_iter().filter_map(written).collect();
        follower.replace(node, objects, revision);
    } else if !events.is_empty() {
        follower.change(node, events, revision);
    }
    if let Some(at) = confirmed_at {
        follower.confirm(node, at);
    }
}

fn written(event: Event) -> Option<Object> {
    match event {
        Event::Written(object) => Some(object),
        Event::Removed(_) => None,
    }
}

/// Where a kind is read: at the store, or at the node of the region that
/// follows the store for the others.
struct Source {
    kind: Kind,
    client: StoreClient,
    link: Option<(SocketAddr, PeerLink)>,
    back: watch::Receiver<()>,
    relays_lost: watch::Receiver<IndexMap<SocketAddr, Instant>>,
    pause: Duration,
}

/// What came of reading a kind.
enum Next {
    Update(Update),
    Again,
    HistoryGone,
    Failed,
}

impl Source {
    fn new(node: &Node, kind: Kind) -> Self {
        Self {
            kind,
            client: client(node),
            link: None,
            back: node.store_back.subscribe(),
            relays_lost: node.relays_lost.subscribe(),
            pause: RETRY_PAUSE,
        }
    }

    async fn next(&mut self, node: &Node, known: Option<u64>, wait: Duration) -> Next {
        let now = Instant::now();
        match self.relay(node, now) {
            Some(address) => self.pull(node, address, known, wait).await,
            None if is_starting(node, now) => self.start(node, known, wait).await,
            None if self.waits_for_store(node) => self.wait_for_store().await,
            None => self.call(node, known, wait).await,
        }
    }

    /// The first relay that was of use lately.
    fn relay(&mut self, node: &Node, now: Instant) -> Option<SocketAddr> {
        let lost = self.relays_lost.borrow_and_update();
        let is_lost = |relay: &SocketAddr| {
            let at = lost.get(relay);
            at.is_some_and(|at| now < *at + RELAY_LOST_TIME)
        };
        let relays = lock(&node.members).relays(now);
        relays.into_iter().find(|relay| !is_lost(relay))
    }

    /// Reads each kind once, and then the list of VMs until a relay is known.
    ///
    /// Keys need a configuration that the store has confirmed; the other kinds
    /// may be as old as the store pleases until the relay tells what is newer.
    async fn start(&mut self, node: &Node, known: Option<u64>, wait: Duration) -> Next {
        match (self.kind, known) {
            (Kind::Configuration, None) => return self.call(node, known, wait).await,
            (_, None) => {}
            (Kind::Vms, Some(_)) => tokio::time::sleep(START_INTERVAL).await,
            (_, Some(_)) => {
                tokio::time::sleep(START_LOOK).await;
                return Next::Again;
            }
        }
        match self.client.list_stale(self.kind, CALL_TIMEOUT).await {
            Ok(list) if known.is_some_and(|known| list.revision < known) => Next::Again,
            Ok(list) => Next::Update(Update::whole(list, None)),
            Err(error) => {
                let kind = self.kind.as_str();
                let error = logfmt::value(&error);
                log::debug!("event=store_call_failed kind={kind} error={error}");
                Next::Failed
            }
        }
    }

    /// Only the configuration is asked for while the store does not answer, so
    /// that an outage does not multiply the calls.
    fn waits_for_store(&self, node: &Node) -> bool {
        self.kind != Kind::Configuration && lock(&node.store_health).is_failing()
    }

    async fn wait_for_store(&mut self) -> Next {
        tokio::select! {
            _ = self.back.changed() => {}
            () = tokio::time::sleep(LONGEST_PAUSE) => {}
        }
        Next::Again
    }

    async fn pull(
        &mut self,
        node: &Node,
        address: SocketAddr,
        known: Option<u64>,
        wait: Duration,
    ) -> Next {
        let link = match &self.link {
            Some((linked, link)) if *linked == address => link,
            _ => {
                let local = node.settings.load().address;
                let link = PeerLink::new(address, Some(local));
                &self.link.insert((address, link)).1
            }
        };
        let pull = relay::pull(node, link, self.kind, known, wait, CALL_TIMEOUT);
        let result = tokio::select! {
            result = pull => result,
            // Another kind found that the relay is of no use.
            _ = self.relays_lost.changed() => return Next::Again,
        };
        match result {
            Ok(update) => {
                self.pause = RETRY_PAUSE;
                Next::Update(update)
            }
            Err(error) => {
                let now = Instant::now();
                if now.saturating_duration_since(node.started) < RELAY_START_TIME {
                    tokio::time::sleep(RELAY_START_LOOK).await;
                    return Next::Again;
                }
                relay::note_failure(self.kind, &error);
                tokio::time::sleep(NEXT_RELAY_AFTER).await;
                node.relays_lost.send_modify(|lost| {
                    lost.retain(|_, at| now < *at + RELAY_LOST_TIME);
                    lost.insert(address, now);
                });
                Next::Again
            }
        }
    }

    async fn call(&mut self, node: &Node, known: Option<u64>, wait: Duration) -> Next {
        let began = Instant::now();
        self.back.mark_unchanged();
        let confirmed_at = node.copies.with(self.kind, |copy| copy.confirmed_at());
        let age = confirmed_at.map(|at| began.saturating_duration_since(at));
        // Who asks this node for the kind must not wait for a confirmation.
        let (known, wait) = match age {
            None => (None, wait),
            Some(age) if age > wait => (known, Duration::ZERO),
            Some(_) => (known, wait),
        };
        let call = read(&mut self.client, self.kind, known, wait, began);
        let result = tokio::select! {
            result = call => result,
            // The connection may be one that was lost with the store.
            _ = self.back.changed() => return Next::Again,
        };
        match result {
            Ok(update) => {
                self.pause = RETRY_PAUSE;
                answered(node, self.kind);
                // The age of the configuration tells whether the store is lost.
                let collects = self.kind != Kind::Configuration;
                if collects && !update.events.is_empty() && !update.whole {
                    tokio::time::sleep(COLLECT_TIME).await;
                }
                Next::Update(update)
            }
            Err(error) => {
                failed(node, self.kind, began, &error);
                if error.is_history_gone() {
                    Next::HistoryGone
                } else {
                    Next::Failed
                }
            }
        }
    }

    /// Waits longer after each failure in a row.
    async fn pause(&mut self) {
        let part = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.pause.mul_f64(part)).await;
        self.pause = (self.pause * 3 / 2).min(LONGEST_PAUSE);
    }
}

/// The node has just started, and may find a relay among its neighbours.
fn is_starting(node: &Node, now: Instant) -> bool {
    now.saturating_duration_since(node.started) < START_TIME
}

/// Asks the store for what is newer than `known`.
async fn read(
    client: &mut StoreClient,
    kind: Kind,
    known: Option<u64>,
    wait: Duration,
    began: Instant,
) -> Result<Update, StoreError> {
    let Some(revision) = known else {
        let list = client.list(kind, CALL_TIMEOUT).await?;
        return Ok(Update::whole(list, Some(began)));
    };
    let events = client.watch(kind, revision, wait, CALL_TIMEOUT).await?;
    let quiet = events.events.is_empty();
    Ok(Update {
        whole: false,
        confirmed_at: Some(confirmed_at(began, wait, quiet)),
        events: events.events,
        revision: events.revision,
        unreadable: events.unreadable,
    })
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

fn answered(node: &Node, kind: Kind) {
    let kind = kind.as_str();
    metrics::counter!("store_calls_total", "kind" => kind, "result" => "ok").increment(1);
    let outage = lock(&node.store_health).record_success(Instant::now());
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
    if lock(&node.store_health).record_failure(since) {
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
    const WAIT: Duration = Duration::from_millis(600);

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
        lock(&node.store_health).confirm(at);
        node.read.send_replace(());
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
    const WAIT: Duration = Duration::from_millis(2_500);

    fn replace(&mut self, node: &Node, objects: Vec<Object>, revision: u64) {
        let list: Vec<(Arc<str>, Option<Endpoint>)> =
            objects.into_iter().map(registration).collect();
        let now = Instant::now();
        let back_at = back_at(node);
        let count = list.len();
        let removed = {
            let mut registry = lock(&node.registry);
            let before: HashSet<Arc<str>> = ids(&registry);
            registry.replace(list, revision, now, back_at);
            before
                .difference(&ids(&registry))
                .cloned()
                .collect::<Vec<_>>()
        };
        log::info!("event=endpoints_listed revision={revision} count={count}");
        for id in removed {
            log_change(&RegistryChange::Removed(id));
        }
        node.has_endpoints.store(true, Ordering::Release);
        endpoints_changed(node, now);
        node.read.send_replace(());
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

fn ids(registry: &Registry) -> HashSet<Arc<str>> {
    let endpoints = registry.endpoints();
    endpoints
        .map(|endpoint| Arc::clone(&endpoint.key.id))
        .collect()
}

fn back_at(node: &Node) -> Option<Instant> {
    let outage = lock(&node.store_health).last_outage();
    outage.map(|outage| outage.ended_at)
}

/// Another VM has reached the store without an outage for `steady`. Endpoints
/// whose registration is gone have then not lapsed, but left.
pub(super) fn record_peer_store_uptime(node: &Node, steady: Duration, now: Instant) {
    let mut store_health = lock(&node.store_health);
    let Some(outage) = store_health.last_outage() else {
        return;
    };
    if steady < now.saturating_duration_since(outage.started_at) {
        return;
    }
    store_health.discard_local_outage();
    drop(store_health);
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
    const WAIT: Duration = Duration::from_millis(2_500);

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
        let region = node.settings.load().region.clone();
        let mut peers = Vec::new();
        let mut regions: IndexMap<RegionName, usize> = IndexMap::new();
        for member in members.iter().filter(|member| member.vm != me) {
            if member.region == region {
                peers.push(member.vm.clone());
            } else {
                *regions.entry(member.region.clone()).or_default() += 1;
            }
        }
        lock(&node.quotas).set_vms(&peers, &regions);
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
            .timed_out(ENTRY_LIFE, now)
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
