//! Which faults a run injects, and when.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::node::endpoint::EndpointBehavior;

/// Time at the start without faults, in which the fleet comes up.
pub(super) const CALM_START: Duration = Duration::from_secs(4);

/// Time at the end without faults, in which the fleet must have recovered.
pub(super) const CALM_END: Duration = Duration::from_secs(10);

/// Mean time between the beginnings of two faults.
const MEAN_PAUSE: f64 = 1.2;

/// Shortest and longest fault, in seconds.
const LENGTHS: (f64, f64) = (0.3, 5.0);

/// Part of the faults that come in a series of the same kind.
const SERIES_PART: f64 = 0.2;

/// The faults of one run. The same seed, time and sizes give the same plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// In the order in which they begin.
    pub faults: Vec<PlannedFault>,
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What it is.
    pub fault: Fault,
}

/// What goes wrong, from outside of the processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A VM's process is killed, and started again at the end.
    KillVm(usize),
    /// A VM's process does not run for a while.
    PauseVm(usize),
    /// A VM's process is told to stop, and started again at the end.
    StopVm(usize),
    /// The store takes calls and does not answer.
    StoreSilent,
    /// The store refuses calls.
    StoreBusy,
    /// The store forgets the changes that it had.
    StoreForgets,
    /// Answers of the store to one VM take long.
    StoreSlow(usize),
    /// The store turns one VM away.
    StoreRefuses(usize),
    /// Connections of one VM to the store are reset.
    StoreResets(usize),
    /// Nothing comes back from the store to one VM.
    StoreOneWay(usize),
    /// An endpoint misbehaves.
    Endpoint(usize, EndpointBehavior),
    /// Connections to an endpoint are reset.
    EndpointResets(usize),
    /// Connections to an endpoint carry nothing, in both directions.
    EndpointSilent(usize),
    /// Bytes to an endpoint take long.
    EndpointSlow(usize),
    /// An endpoint says that it drains, and comes back cold.
    Drain(usize),
    /// A failure domain is evacuated, and taken back.
    Evacuate(usize),
    /// A key is withdrawn and another one given out.
    WithdrawKey,
    /// The configuration changes several times in a row.
    Reconfigure,
}

impl Plan {
    /// Draws a plan.
    pub fn new(seed: u64, length: Duration, vms: usize, endpoints: usize, domains: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults: Vec<PlannedFault> = Vec::new();
        let last = length.saturating_sub(CALM_END).as_secs_f64();
        let mut at = CALM_START.as_secs_f64();
        while at < last {
            let series = rng.random_bool(SERIES_PART);
            let fault = match faults.last() {
                Some(before) if series => before.fault,
                _ => draw(&mut rng, vms, endpoints, domains),
            };
            let longest = LENGTHS.1.min(last - at).max(LENGTHS.0);
            let time = rng.random_range(LENGTHS.0..=longest);
            faults.push(PlannedFault {
                at: Duration::from_secs_f64(at),
                length: Duration::from_secs_f64(time),
                fault,
            });
            at += -MEAN_PAUSE * (1.0 - rng.random::<f64>()).ln();
        }
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

fn draw(rng: &mut StdRng, vms: usize, endpoints: usize, domains: usize) -> Fault {
    const CONDUCTS: [EndpointBehavior; 8] = [
        EndpointBehavior::Refuses,
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
    match rng.random_range(0..18) {
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
        10 | 11 => Fault::Endpoint(endpoint, CONDUCTS[rng.random_range(0..CONDUCTS.len())]),
        12 => Fault::EndpointResets(endpoint),
        13 => Fault::EndpointSilent(endpoint),
        14 => Fault::EndpointSlow(endpoint),
        15 => Fault::Drain(endpoint),
        16 => Fault::Evacuate(rng.random_range(0..domains)),
        _ if rng.random_bool(0.5) => Fault::WithdrawKey,
        _ => Fault::Reconfigure,
    }
}
