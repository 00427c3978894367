//! Messages with which a node pulls store updates from its relay.

use bytes::Bytes;

/// Requests the changes of one kind of object from a relay.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StorePull {
    /// Number of the kind: 1 is the configuration, 2 the endpoints, 3 the
    /// evacuations, and 4 the VMs.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Revision that the requesting node has. Without it, the relay returns all
    /// objects.
    #[prost(uint64, optional, tag = "2")]
    pub revision: Option<u64>,
    /// Longest time in milliseconds for which the relay waits for a change.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
    /// Era of `revision`. Absent in builds that do not know eras.
    #[prost(uint64, optional, tag = "4")]
    pub era: Option<u64>,
}

/// Reply of a relay to a [`StorePull`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreUpdate {
    /// The relay has no copy of the kind, or the store has not confirmed its
    /// copy recently.
    #[prost(bool, tag = "1")]
    pub unavailable: bool,
    /// The events are all objects of the kind rather than changes.
    #[prost(bool, tag = "2")]
    pub snapshot: bool,
    /// Revision of the store that the relay's copy represents.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The objects or changes, oldest first.
    #[prost(message, repeated, tag = "4")]
    pub events: Vec<StoreEvent>,
    /// How long the relay held the pull before it replied, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub hold_ms: u64,
    /// Time in milliseconds since the store last confirmed the relay's copy.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
    /// How many milliseconds ago the last outage of the store that the relay saw
    /// started. Absent when it saw none.
    #[prost(uint64, optional, tag = "7")]
    pub outage_started_ms: Option<u64>,
    /// How many milliseconds ago this outage ended.
    #[prost(uint64, optional, tag = "8")]
    pub outage_ended_ms: Option<u64>,
    /// Era of `revision`. Absent in builds that do not know eras.
    #[prost(uint64, optional, tag = "9")]
    pub era: Option<u64>,
}

/// A written object, or the name of a removed one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreEvent {
    /// Name of the object.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The object was removed; only `name` is set.
    #[prost(bool, tag = "2")]
    pub removed: bool,
    /// Revision of the last change of the object.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Content of the object as JSON text.
    #[prost(bytes = "bytes", tag = "4")]
    pub spec: Bytes,
}
