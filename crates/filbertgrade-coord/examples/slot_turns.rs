//! A team with many requests and one with a single request wait for the only
//! slot of an endpoint, and are served in round-robin order.
//!
//! Run with `cargo run -p filbertgrade-coord --example slot_turns`.

use std::error::Error;
use std::time::{Duration, Instant};

use filbertgrade_coord::names::{EndpointName, TeamName, VmName};
use filbertgrade_coord::slots::{
    AcquireOutcome, Origin, SlotConfig, SlotPool, SlotRequest, Temperature,
};

fn main() -> Result<(), Box<dyn Error>> {
    let now = Instant::now();
    let mut pool = SlotPool::new(1, SlotConfig::default());
    pool.set_endpoint(now, EndpointName::try_from("e1")?, 1, Temperature::Warm);

    let mut running = None;
    for team in ["large", "large", "large", "large", "small"] {
        let request = SlotRequest {
            team: TeamName::try_from(team)?,
            holder: VmName::try_from("gent-a-1")?,
            origin: Origin::Local,
            deadline: now + Duration::from_secs(1),
            avoid: Vec::new(),
        };
        match pool.acquire(now, request) {
            AcquireOutcome::Granted(grant) => {
                println!("{team}: granted {}", grant.endpoint);
                running = Some(grant.permit);
            }
            AcquireOutcome::Queued(ticket) => println!("{team}: queued as {}", ticket.get()),
            AcquireOutcome::Refused(cause) => println!("{team}: refused, {cause:?}"),
        }
    }
    while let Some(permit) = running.take() {
        for queued in pool.release(now, permit) {
            println!("{}: granted {}", queued.request.team, queued.grant.endpoint);
            running = Some(queued.grant.permit);
        }
    }
    Ok(())
}
