//! The node as a real process, against stand-ins for the platform's store and
//! for backend servers.

mod configuration;
mod fleet;
mod requests;
mod scene;
mod standin;
mod stop;
