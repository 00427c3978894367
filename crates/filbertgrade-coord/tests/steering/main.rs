//! Decisions of `filbertgrade_coord::steering`, without clocks and sockets.

#![expect(
    clippy::unwrap_used,
    reason = "a set-up step that fails must fail the test"
)]

mod balancer;
mod fleet;
mod limits;
mod load;
mod registry;
mod scene;
