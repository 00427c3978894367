//! Versioned state from the platform's store: configuration, keys, drains, the
//! VM list, and the view built from all of them that is in force.

mod client_regions;
mod config;
mod delta;
mod fleet;
mod in_force;
mod keys;
mod names;
mod region_splits;
mod shares;
mod steering;

pub use config::{
    Access, Config, ConfigChange, ConfigError, ConfigFile, ConfigLine, ConfigValue, Fault, Network,
    RegionConfig, ServiceConfig, TeamConfig,
};
pub(crate) use delta::{IncomingDelta, OutgoingDeltas, apply_delta};
pub use fleet::{VmRecord, VmState};
pub use in_force::{AppliedVersion, CONFIG_ROOT, ConfigRoot, InForce, RECENT_APPLIES};
pub use keys::{KeyDigest, KeyRecord, KeySecret, KeyState, KeyTable};
pub use names::ServiceName;
pub(crate) use region_splits::{client_hash, client_position};
pub(crate) use shares::{SHARE_TABLE, decode as decode_share_table, encode as encode_share_table};
pub(crate) use steering::STEERING_WEIGHTS;
