//! Decides, for the requests of one VM, to which endpoint a request is sent and
//! when it is refused.
//!
//! All decisions are functions of state and the time `now`, without clocks and
//! sockets. VMs choose the same endpoints even without exchanging messages,
//! because they rank them by the same hash. Apart from the affinities that other
//! VMs send, a VM learns the state of endpoints from its own requests.
//!
//! - [`deployment`] is the configuration in force.
//! - [`endpoint`] and [`registry`] hold the registered endpoints.
//! - [`placement`] ranks the endpoints of a service for an object. It is
//!   designed for the steady load, in which an endpoint that handled an object
//!   recently is several times as fast.
//! - [`affinity`] records which endpoint serves each object and spreads objects
//!   evenly over the endpoints that rank highest.
//! - [`balancer`] picks an endpoint from the ranking, or refuses the request. It
//!   handles overload and endpoints that are slow or failing.
//! - [`quota`] keeps each team within its rate over all VMs. It is designed for
//!   one team that sends several times its rate.
//! - [`retry`] limits the retries to a service that is already failing.
//! - [`cold_start`] limits the request rate of an endpoint that has just started.
//! - [`endpoint_limit`] keeps all VMs together within the rate that an endpoint in
//!   need names in its responses.
//! - [`store_health`] records how current the copy of the store is, and outages
//!   of the store.
//! - [`store_revision`] orders the states of the store, also over restores.
//! - [`following`] detects connections to the store and to relays that no longer
//!   deliver changes.
//! - [`settings`] holds the settings that a VM gets from the platform.
//! - [`members`] tracks which VMs run, and to which of them callers connect.

pub mod affinity;
pub mod balancer;
pub mod cold_start;
pub mod deployment;
pub mod endpoint;
pub mod endpoint_limit;
pub mod following;
pub mod members;
pub mod placement;
pub mod quota;
pub mod registry;
pub mod retry;
pub mod settings;
pub mod store_health;
pub mod store_revision;
mod window;
