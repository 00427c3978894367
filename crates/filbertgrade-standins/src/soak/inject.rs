//! Injects the planned faults into a run and ends them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use super::fleet::{DOMAINS, Vm};
use super::plan::{Fault, Plan, PlannedFault};
use super::promises::{EndpointPeriod, StopPeriod};
use super::{COLD_DURATION, ENDPOINTS, PAUSE, RunState};
use crate::common::lock;
use crate::node::endpoint::EndpointBehavior;
use crate::node::store::StoreFault;
use crate::proxy::{self, Direction};

/// Delay that a proxy adds to a slow direction.
const SLOW_DELAY: Duration = Duration::from_millis(400);

/// Time after a fault in which a VM may not have received all changes in the store yet.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Number of versions that [`Fault::Reconfigure`] publishes.
const RECONFIGURATIONS: u32 = 5;

/// Time between two of these versions.
const RECONFIGURATION_INTERVAL: Duration = Duration::from_millis(80);

type SharedVm = Arc<Mutex<Vm>>;

/// Starts a task for each fault. Each prints its fault when it starts.
pub(super) fn start(state: &Arc<RunState>, vms: &[SharedVm], plan: &Plan) -> Vec<JoinHandle<()>> {
    let started_at = Instant::now();
    plan.faults
        .iter()
        .map(|planned| {
            let planned = planned.clone();
            let state = Arc::clone(state);
            let vms = vms.to_vec();
            tokio::spawn(async move {
                tokio::time::sleep_until((started_at + planned.at).into()).await;
                println!("{planned}");
                record_stale_period(&state, &planned);
                inject(&state, &vms, &planned).await;
            })
        })
        .collect()
}

/// Records the period of a fault in which a VM may not receive changes in the store: the store or
/// the connection to it fails, or the process of the VM is suspended or down.
fn record_stale_period(state: &RunState, planned: &PlannedFault) {
    let now = Instant::now();
    let delays_changes = matches!(
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
    if delays_changes {
        let period = (now, now + planned.length + CATCH_UP_TIME);
        lock(&state.history).stale_periods.push(period);
    }
}

/// Starts a fault, waits for its length and ends it.
async fn inject(state: &RunState, vms: &[SharedVm], planned: &PlannedFault) {
    let length = planned.length;
    if let Fault::KillVm(vm) | Fault::PauseVm(vm) | Fault::StopVm(vm) = planned.fault {
        let ends = [Instant::now(), Instant::now() + length];
        let mut history = lock(&state.history);
        history.disturbances.extend(ends.map(|at| (vm, at)));
    }
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
        Fault::StopVm(vm) => stop(state, vm, &vms[vm], length).await,
        Fault::StoreSilent => inject_store_fault(state, StoreFault::Unresponsive, length).await,
        Fault::StoreBusy => inject_store_fault(state, StoreFault::Busy, length).await,
        Fault::StoreForgets => state.store.discard_history(),
        Fault::StoreSlow(vm) => {
            let slow = proxy::Fault {
                delay: SLOW_DELAY,
                ..proxy::Fault::default()
            };
            inject_store_link_fault(&vms[vm], slow, length).await;
        }
        Fault::StoreOneWay(vm) => {
            let stalled = proxy::Fault {
                stalled: true,
                ..proxy::Fault::default()
            };
            inject_store_link_fault(&vms[vm], stalled, length).await;
        }
        Fault::StoreRefuses(vm) => {
            vms[vm].lock().await.store_proxy.set_refuse(true);
            vms[vm].lock().await.store_proxy.reset_open();
            tokio::time::sleep(length).await;
            vms[vm].lock().await.store_proxy.set_refuse(false);
        }
        Fault::StoreResets(vm) => vms[vm].lock().await.store_proxy.reset_open(),
        Fault::Endpoint(endpoint, behavior) => {
            state.endpoints[endpoint].set_behavior(behavior);
            tokio::time::sleep(length).await;
            state.endpoints[endpoint].set_behavior(EndpointBehavior::Serves);
        }
        Fault::EndpointResets(endpoint) => state.proxies[endpoint].reset_open(),
        Fault::EndpointSilent(endpoint) => state.proxies[endpoint].freeze_open(),
        Fault::EndpointSlow(endpoint) => {
            state.set_delay(endpoint, Direction::ToServer, SLOW_DELAY);
            tokio::time::sleep(length).await;
            state.set_delay(endpoint, Direction::ToServer, state.latency);
        }
        Fault::Drain(endpoint) => drain(state, endpoint, length).await,
        Fault::Announce(endpoint) => announce_end(state, endpoint, length).await,
        Fault::AskForPauses(endpoint) => {
            state.endpoints[endpoint].set_pause(Some(&PAUSE.as_secs_f64().to_string()));
            state.endpoints[endpoint].set_behavior(EndpointBehavior::Refuses);
            tokio::time::sleep(length).await;
            state.endpoints[endpoint].set_behavior(EndpointBehavior::Serves);
            state.endpoints[endpoint].set_pause(None);
        }
        Fault::ReturnAsAnother(endpoint, copy_delay) => {
            return_as_another(state, endpoint, copy_delay, length).await;
        }
        Fault::Evacuate(domain) => evacuate(state, domain, length).await,
        Fault::WithdrawKey => state.withdraw_key(),
        Fault::Reconfigure => {
            for _ in 0..RECONFIGURATIONS {
                state.publish_configuration();
                tokio::time::sleep(RECONFIGURATION_INTERVAL).await;
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

/// Stops the process of a VM with SIGTERM, records it if it does not exit with success in time,
/// and starts it again after `length`.
async fn stop(state: &RunState, number: usize, vm: &SharedVm, length: Duration) {
    let (name, grace, child) = {
        let mut vm = vm.lock().await;
        // A suspended process handles SIGTERM only after SIGCONT.
        vm.signal(Signal::CONT);
        vm.signal(Signal::TERM);
        (vm.name.clone(), vm.stop_grace, vm.take_child())
    };
    let Some(mut child) = child else {
        return;
    };
    let signalled_at = Instant::now();
    let period = {
        let mut history = lock(&state.history);
        history.stops.push(StopPeriod {
            vm: number,
            from: signalled_at,
            until: None,
        });
        history.stops.len() - 1
    };
    let failure = match tokio::time::timeout(grace, child.wait()).await {
        Ok(Ok(status)) if status.success() => None,
        Ok(Ok(status)) => Some(format!("{name} ended with {status}")),
        Ok(Err(error)) => Some(format!("{name}: {error}")),
        Err(_) => Some(format!(
            "{name} runs {:?} after its stop",
            signalled_at.elapsed()
        )),
    };
    lock(&state.history).stops[period].until = Some(Instant::now());
    if let Some(failure) = failure {
        lock(&state.history).failed_stops.push(failure);
        if let Err(error) = child.kill().await {
            println!("{name} is not killed: {error}");
        }
    }
    tokio::time::sleep(length).await;
    restart(vm).await;
}

async fn inject_store_fault(state: &RunState, fault: StoreFault, length: Duration) {
    state.store.set_fault(fault);
    tokio::time::sleep(length).await;
    state.store.set_fault(StoreFault::None);
}

/// Injects a fault into the direction from the store to a VM.
async fn inject_store_link_fault(vm: &SharedVm, fault: proxy::Fault, length: Duration) {
    let set = |fault| async move {
        vm.lock()
            .await
            .store_proxy
            .set_fault(Direction::ToClient, fault);
    };
    set(fault).await;
    tokio::time::sleep(length).await;
    set(proxy::Fault::default()).await;
}

/// Registers an endpoint as draining, and after `length` as ready and cold.
async fn drain(state: &RunState, endpoint: usize, length: Duration) {
    state.register(endpoint, "draining", Duration::ZERO);
    state.start_leaving_period(endpoint);
    tokio::time::sleep(length).await;
    state.end_leaving_period(endpoint);
    let from = Instant::now();
    lock(&state.history).cold_periods.push(EndpointPeriod {
        endpoint,
        from,
        until: Some(from + COLD_DURATION),
    });
    state.register(endpoint, "ready", COLD_DURATION);
}

/// Lets an endpoint announce its end for `length`, and registers it as one that has started again.
async fn announce_end(state: &RunState, endpoint: usize, length: Duration) {
    state.endpoints[endpoint].set_leaving(true);
    lock(&state.history).announced_ends.push(EndpointPeriod {
        endpoint,
        from: Instant::now(),
        until: None,
    });
    tokio::time::sleep(length).await;
    state.endpoints[endpoint].set_leaving(false);
    let until = Instant::now();
    for period in &mut lock(&state.history).announced_ends {
        if period.endpoint == endpoint {
            period.until.get_or_insert(until);
        }
    }
    state.restart(endpoint);
}

/// Lets an endpoint return at its address under another id. Its older registration remains for
/// `length`. Has no effect on an endpoint that is being drained or evacuated.
async fn return_as_another(
    state: &RunState,
    endpoint: usize,
    copy_delay: Duration,
    length: Duration,
) {
    if state.is_leaving(endpoint) {
        return;
    }
    state.endpoints[endpoint].set_copy_delay(Some(copy_delay));
    let old_id = state.replace_process(endpoint);
    tokio::time::sleep(length).await;
    state.endpoints[endpoint].set_copy_delay(None);
    state.store.remove("servers", &old_id);
}

/// Evacuates a failure domain for `length`.
async fn evacuate(state: &RunState, domain: usize, length: Duration) {
    let name = DOMAINS[domain].0;
    let endpoints = || (0..ENDPOINTS).filter(|number| number % DOMAINS.len() == domain);
    state.store.put("evacuations", name, serde_json::json!({}));
    for endpoint in endpoints() {
        state.start_leaving_period(endpoint);
    }
    tokio::time::sleep(length).await;
    for endpoint in endpoints() {
        state.end_leaving_period(endpoint);
    }
    state.store.remove("evacuations", name);
}
