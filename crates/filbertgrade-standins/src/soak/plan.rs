//! The faults that a run injects and their times, drawn from the seed of the run.
//!
//! The same seed must give the same plan: the number and order of the random draws are part of the
//! behavior. A plan is printed with the variant names of [`Fault`] and [`EndpointBehavior`].

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::node::endpoint::EndpointBehavior;

/// Time without faults at the start of a run, in which the fleet finishes its start.
pub(super) const FAULT_FREE_START: Duration = Duration::from_secs(4);

/// Time at the end of a run in which no fault starts, so that the fleet can recover.
pub(super) const FAULT_FREE_END: Duration = Duration::from_secs(10);

/// Mean time between the starts of two faults, in seconds.
const MEAN_FAULT_INTERVAL_S: f64 = 1.2;

/// Shortest and longest duration of a fault, in seconds.
const FAULT_LENGTH_S: (f64, f64) = (0.3, 5.0);

/// Mean time between the starts of two of the returns under another id, in seconds.
const MEAN_RETURN_INTERVAL_S: f64 = 2.5;

/// Delays of the second copies of an endpoint that returns under another id, in milliseconds. They are
/// shorter than most work, so that a copy arrives where the response to another request is due.
const COPY_DELAYS_MS: [u64; 3] = [1, 5, 12];

/// Added to the seed of the returns under another id, which are drawn apart from the other faults, so
/// that a seed keeps its other faults.
const RETURN_SEED: u64 = 0x7265_7475_726e;

/// Probability that a fault repeats the previous one, on the same VM or endpoint.
const REPEAT_PROBABILITY: f64 = 0.2;

/// The faults of one run. The same seed, length and sizes give the same plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed of the random draws.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// Faults in the order in which they start. They may overlap.
    pub faults: Vec<PlannedFault>,
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// Start, relative to the start of the run.
    pub at: Duration,
    /// Duration. It has no effect on a fault that is a single action, such as a reset.
    pub length: Duration,
    /// Kind and target of the fault.
    pub fault: Fault,
}

/// A fault that is injected from outside the node processes. VMs, endpoints and failure domains are
/// given by their index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process of a VM is killed, and started again at the end of the fault.
    KillVm(usize),
    /// The process of a VM is suspended with SIGSTOP until the end of the fault.
    PauseVm(usize),
    /// The process of a VM receives SIGTERM. Once it has exited, it is started again after the
    /// length of the fault.
    StopVm(usize),
    /// The store accepts calls and does not respond.
    StoreSilent,
    /// The store refuses calls with status 503.
    StoreBusy,
    /// The store discards its history of changes, so watches must list the objects again.
    StoreForgets,
    /// Responses of the store to one VM are delayed.
    StoreSlow(usize),
    /// Open connections of one VM to the store are reset, and new ones too until the end of the
    /// fault.
    StoreRefuses(usize),
    /// Open connections of one VM to the store are reset once.
    StoreResets(usize),
    /// Calls of one VM reach the store, but no response comes back.
    StoreOneWay(usize),
    /// An endpoint handles its requests with the given behavior.
    Endpoint(usize, EndpointBehavior),
    /// Open connections to an endpoint are reset once.
    EndpointResets(usize),
    /// Open connections to an endpoint stop carrying data in both directions, for good.
    EndpointSilent(usize),
    /// Data sent to an endpoint is delayed.
    EndpointSlow(usize),
    /// An endpoint registers as draining, and afterwards as ready and cold.
    Drain(usize),
    /// An endpoint announces its end in its responses, and afterwards is started again.
    Announce(usize),
    /// An endpoint refuses all requests and asks for pauses.
    AskForPauses(usize),
    /// An endpoint has crashed and returns at its address under another id. Its older registration
    /// remains until the end of the fault; the endpoint refuses requests that are meant for it, and
    /// sends each of these refusals a second time after this delay.
    ReturnAsAnother(usize, Duration),
    /// A failure domain is evacuated until the end of the fault.
    Evacuate(usize),
    /// An API key is withdrawn and a new one issued.
    WithdrawKey,
    /// The configuration changes several times in quick succession.
    Reconfigure,
}

impl Plan {
    /// Draws the plan for a seed, the length of the run and the numbers of VMs, endpoints and
    /// failure domains.
    pub fn new(seed: u64, length: Duration, vms: usize, endpoints: usize, domains: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults: Vec<PlannedFault> = Vec::new();
        let last_start = length.saturating_sub(FAULT_FREE_END).as_secs_f64();
        let mut at = FAULT_FREE_START.as_secs_f64();
        let returns = draw_returns(seed, last_start, endpoints);
        while at < last_start {
            let repeats = rng.random_bool(REPEAT_PROBABILITY);
            let fault = match faults.last() {
                Some(previous) if repeats => previous.fault,
                _ => draw(&mut rng, vms, endpoints, domains),
            };
            let longest = FAULT_LENGTH_S.1.min(last_start - at).max(FAULT_LENGTH_S.0);
            let duration = rng.random_range(FAULT_LENGTH_S.0..=longest);
            faults.push(PlannedFault {
                at: Duration::from_secs_f64(at),
                length: Duration::from_secs_f64(duration),
                fault,
            });
            // Exponentially distributed interval, as between independent events.
            at += -MEAN_FAULT_INTERVAL_S * (1.0 - rng.random::<f64>()).ln();
        }
        faults.extend(returns);
        faults.sort_by_key(|planned| planned.at);
        Self {
            seed,
            length,
            faults,
        }
    }
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, length) = (self.at.as_secs_f64(), self.length.as_secs_f64());
        write!(f, "{at:6.2} s for {length:4.2} s  {:?}", self.fault)
    }
}

/// Draws the returns of endpoints under another id.
fn draw_returns(seed: u64, last_start: f64, endpoints: usize) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_add(RETURN_SEED));
    let mut faults = Vec::new();
    let mut at = FAULT_FREE_START.as_secs_f64();
    loop {
        at += -MEAN_RETURN_INTERVAL_S * (1.0 - rng.random::<f64>()).ln();
        if at >= last_start {
            return faults;
        }
        let endpoint = rng.random_range(0..endpoints);
        let delay = COPY_DELAYS_MS[rng.random_range(0..COPY_DELAYS_MS.len())];
        let longest = FAULT_LENGTH_S.1.min(last_start - at).max(FAULT_LENGTH_S.0);
        let length = rng.random_range(FAULT_LENGTH_S.0..=longest);
        faults.push(PlannedFault {
            at: Duration::from_secs_f64(at),
            length: Duration::from_secs_f64(length),
            fault: Fault::ReturnAsAnother(endpoint, Duration::from_millis(delay)),
        });
    }
}

/// Draws the kind and the target of one fault.
fn draw(rng: &mut StdRng, vms: usize, endpoints: usize, domains: usize) -> Fault {
    const BEHAVIORS: [EndpointBehavior; 12] = [
        EndpointBehavior::Refuses,
        EndpointBehavior::RefusesEarly,
        EndpointBehavior::RefusesTwice,
        EndpointBehavior::RunsAndResponds(429),
        EndpointBehavior::RunsAndResponds(503),
        EndpointBehavior::LosesAnswer,
        EndpointBehavior::Silent,
        EndpointBehavior::CrossesAnswers,
        EndpointBehavior::Unsigned,
        EndpointBehavior::CutsAnswers,
        EndpointBehavior::Fails,
        EndpointBehavior::IsAnother,
    ];
    let vm = rng.random_range(0..vms);
    let endpoint = rng.random_range(0..endpoints);
    match rng.random_range(0..20) {
        0 => Fault::KillVm(vm),
        1 => Fault::PauseVm(vm),
        2 => Fault::StopVm(vm),
        3 => Fault::StoreSilent,
        4 => Fault::StoreBusy,
        5 => Fault::StoreForgets,
        6 => Fault::StoreSlow(vm),
        7 => Fault::StoreRefuses(vm),
        8 => Fault::StoreResets(vm),
        9 => Fault::StoreOneWay(vm),
        10 | 11 => Fault::Endpoint(endpoint, BEHAVIORS[rng.random_range(0..BEHAVIORS.len())]),
        12 => Fault::EndpointResets(endpoint),
        13 => Fault::EndpointSilent(endpoint),
        14 => Fault::EndpointSlow(endpoint),
        15 => Fault::Drain(endpoint),
        16 => Fault::Evacuate(rng.random_range(0..domains)),
        17 => Fault::Announce(endpoint),
        18 => Fault::AskForPauses(endpoint),
        _ if rng.random_bool(0.5) => Fault::WithdrawKey,
        _ => Fault::Reconfigure,
    }
}
