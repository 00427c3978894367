//! Decisions of `filbertgrade_coord::steering`, without clocks and sockets.

mod balancer;
mod fleet;
mod limits;
mod load;
mod registry;
mod scene;
