//! Begins and ends faults as planned.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use super::fleet::{DOMAINS, STOP_TIME, Vm};
use super::plan::{Fault, Plan, PlannedFault};
use super::promises::Span;
use super::{COLD_TIME, ENDPOINTS, World};
use crate::common::lock;
use crate::node::endpoint::EndpointBehavior;
use crate::node::store::StoreFault;
use crate::proxy::{self, Direction};

/// Delay of a slow way.
const SLOW: Duration = Duration::from_millis(400);

/// Time after a fault of the store in which a VM may not have caught up.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Changes of the configuration in a row.
const CHANGES: u32 = 5;

/// Time between them.
const CHANGE_PAUSE: Duration = Duration::from_millis(80);

type SharedVm = Arc<Mutex<Vm>>;

/// Starts a task for each fault.
pub(super) fn start(world: &Arc<World>, vms: &[SharedVm], plan: &Plan) -> Vec<JoinHandle<()>> {
    let began = Instant::now();
    plan.faults
        .iter()
        .map(|planned| {
            let planned = planned.clone();
            let world = Arc::clone(world);
            let vms = vms.to_vec();
            tokio::spawn(async move {
                tokio::time::sleep_until((began + planned.at).into()).await;
                println!("{planned}");
                note_out_of_touch(&world, &planned);
                inject(&world, &vms, &planned).await;
            })
        })
        .collect()
}

/// VMs may not hear of changes while the store or their way to it fails, and
/// not while they are suspended.
fn note_out_of_touch(world: &World, planned: &PlannedFault) {
    let now = Instant::now();
    let touches = matches!(
        planned.fault,
        Fault::StoreSilent
            | Fault::StoreBusy
            | Fault::StoreForgets
            | Fault::StoreSlow(_)
            | Fault::StoreRefuses(_)
            | Fault::StoreResets(_)
            | Fault::StoreOneWay(_)
            | Fault::PauseVm(_)
            | Fault::KillVm(_)
            | Fault::StopVm(_)
    );
    if touches {
        let span = (now, now + planned.length + CATCH_UP);
        lock(&world.ledger).out_of_touch.push(span);
    }
}

async fn inject(world: &World, vms: &[SharedVm], planned: &PlannedFault) {
    let length = planned.length;
    match planned.fault {
        Fault::KillVm(vm) => {
            vms[vm].lock().await.kill().await;
            tokio::time::sleep(length).await;
            restart(&vms[vm]).await;
        }
        Fault::PauseVm(vm) => {
            vms[vm].lock().await.signal(Signal::STOP);
            tokio::time::sleep(length).await;
            vms[vm].lock().await.signal(Signal::CONT);
        }
        Fault::StopVm(vm) => stop(world, &vms[vm], length).await,
        Fault::StoreSilent => store_trouble(world, StoreFault::Unresponsive, length).await,
        Fault::StoreBusy => store_trouble(world, StoreFault::Busy, length).await,
        Fault::StoreForgets => world.store.forget_history(),
        Fault::StoreSlow(vm) => {
            let slow = proxy::Fault {
                delay: SLOW,
                ..proxy::Fault::default()
            };
            store_fault(&vms[vm], slow, length).await;
        }
        Fault::StoreOneWay(vm) => {
            let silent = proxy::Fault {
                stalled: true,
                ..proxy::Fault::default()
            };
            store_fault(&vms[vm], silent, length).await;
        }
        Fault::StoreRefuses(vm) => {
            vms[vm].lock().await.store.set_refuse(true);
            vms[vm].lock().await.store.cut_open();
            tokio::time::sleep(length).await;
            vms[vm].lock().await.store.set_refuse(false);
        }
        Fault::StoreResets(vm) => vms[vm].lock().await.store.cut_open(),
        Fault::Endpoint(endpoint, behavior) => {
            world.endpoints[endpoint].set_behavior(behavior);
            tokio::time::sleep(length).await;
            world.endpoints[endpoint].set_behavior(EndpointBehavior::Serves);
        }
        Fault::EndpointResets(endpoint) => world.proxies[endpoint].cut_open(),
        Fault::EndpointSilent(endpoint) => world.proxies[endpoint].freeze_open(),
        Fault::EndpointSlow(endpoint) => {
            let slow = proxy::Fault {
                delay: SLOW,
                ..proxy::Fault::default()
            };
            world.proxies[endpoint].set_fault(Direction::ToServer, slow);
            tokio::time::sleep(length).await;
            world.proxies[endpoint].set_fault(Direction::ToServer, proxy::Fault::default());
        }
        Fault::Drain(endpoint) => drain(world, endpoint, length).await,
        Fault::Evacuate(domain) => evacuate(world, domain, length).await,
        Fault::WithdrawKey => world.withdraw_key(),
        Fault::Reconfigure => {
            for _ in 0..CHANGES {
                world.configure();
                tokio::time::sleep(CHANGE_PAUSE).await;
            }
        }
    }
}

async fn restart(vm: &SharedVm) {
    let mut vm = vm.lock().await;
    if let Err(error) = vm.start() {
        println!("{} is not started: {error}", vm.name);
    }
}

async fn stop(world: &World, vm: &SharedVm, length: Duration) {
    let (name, child) = {
        let mut vm = vm.lock().await;
        // A paused process takes the signal when it runs again.
        vm.signal(Signal::CONT);
        vm.signal(Signal::TERM);
        (vm.name.clone(), vm.take_child())
    };
    let Some(mut child) = child else {
        return;
    };
    let began = Instant::now();
    let fault = match tokio::time::timeout(STOP_TIME, child.wait()).await {
        Ok(Ok(status)) if status.success() => None,
        Ok(Ok(status)) => Some(format!("{name} ended with {status}")),
        Ok(Err(error)) => Some(format!("{name}: {error}")),
        Err(_) => Some(format!("{name} runs {:?} after its stop", began.elapsed())),
    };
    if let Some(fault) = fault {
        lock(&world.ledger).bad_stops.push(fault);
        if let Err(error) = child.kill().await {
            println!("{name} is not killed: {error}");
        }
    }
    tokio::time::sleep(length).await;
    restart(vm).await;
}

async fn store_trouble(world: &World, trouble: StoreFault, length: Duration) {
    world.store.set_fault(trouble);
    tokio::time::sleep(length).await;
    world.store.set_fault(StoreFault::None);
}

async fn store_fault(vm: &SharedVm, fault: proxy::Fault, length: Duration) {
    let set = |fault| async move {
        vm.lock().await.store.set_fault(Direction::ToClient, fault);
    };
    set(fault).await;
    tokio::time::sleep(length).await;
    set(proxy::Fault::default()).await;
}

async fn drain(world: &World, endpoint: usize, length: Duration) {
    world.register(endpoint, "draining", Duration::ZERO);
    world.begin_leaving(endpoint);
    tokio::time::sleep(length).await;
    world.end_leaving(endpoint);
    let from = Instant::now();
    lock(&world.ledger).cold.push(Span {
        endpoint,
        from,
        until: Some(from + COLD_TIME),
    });
    world.register(endpoint, "ready", COLD_TIME);
}

async fn evacuate(world: &World, domain: usize, length: Duration) {
    let name = DOMAINS[domain].0;
    let within = || (0..ENDPOINTS).filter(|number| number % DOMAINS.len() == domain);
    world.store.put("evacuations", name, serde_json::json!({}));
    for endpoint in within() {
        world.begin_leaving(endpoint);
    }
    tokio::time::sleep(length).await;
    for endpoint in within() {
        world.end_leaving(endpoint);
    }
    world.store.remove("evacuations", name);
}
