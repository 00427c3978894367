//! Tests of the decisions in `filbertgrade_coord::steering`. Time is simulated,
//! and no sockets are used.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

mod balancer;
mod endpoint_limits;
mod fleet;
mod following;
mod limits;
mod load;
mod notices;
mod registry;
mod scene;
