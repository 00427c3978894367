//! Where one VM sends a request, and when it refuses it.
//!
//! All decisions here are plain functions of state and `now`. VMs reach the
//! same placement without a message, because they rank endpoints by the same
//! hash; what a VM knows beyond that comes from its own requests.
//!
//! - [`deployment`] is the configuration that operators have put in force.
//! - [`endpoint`] and [`registry`] hold the endpoints that exist.
//! - [`placement`] ranks the endpoints of a service for an object. It is
//!   designed for the steady load, in which an endpoint that handled an object
//!   recently is several times as fast.
//! - [`affinity`] records which endpoint serves each object and spreads objects
//!   evenly over the endpoints that rank highest.
//! - [`balancer`] picks an endpoint from the ranking, or refuses the request. It
//!   handles overload and endpoints that are slow or failing.
//! - [`quota`] keeps a team within its rate over all VMs, and answers one team
//!   that sends several times its rate.
//! - [`retry`] limits the retries to a service that is already failing.
//! - [`cold_start`] limits the request rate of an endpoint that has just started.
//! - [`store_health`] records how current the copy of the store is, and outages
//!   of the store.
//! - [`settings`] is what the platform tells a VM at its start.
//! - [`members`] tells which VMs callers should be sent to.

pub mod affinity;
pub mod balancer;
pub mod cold_start;
pub mod deployment;
pub mod endpoint;
pub mod members;
pub mod placement;
pub mod quota;
pub mod registry;
pub mod retry;
pub mod settings;
pub mod store_health;
mod window;
