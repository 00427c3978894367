//! What a node asks another one in place of the store.

use bytes::Bytes;

/// A question to a relay.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StorePull {
    /// Kind of object, as the relay numbers them.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Revision that the asking node holds, if any.
    #[prost(uint64, optional, tag = "2")]
    pub revision: Option<u64>,
    /// How long to wait for a change.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
}

/// A relay's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreUpdate {
    /// The relay has no copy of the kind, or none that is recent.
    #[prost(bool, tag = "1")]
    pub unavailable: bool,
    /// The events are all objects of the kind.
    #[prost(bool, tag = "2")]
    pub snapshot: bool,
    /// Revision of the store that the relay holds.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The objects or changes, oldest first.
    #[prost(message, repeated, tag = "4")]
    pub events: Vec<StoreEvent>,
    /// How long the relay held the question.
    #[prost(uint64, tag = "5")]
    pub hold_ms: u64,
    /// Age of its newest confirmation.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
    /// Its last outage of the store: how long ago it began and ended.
    #[prost(uint64, optional, tag = "7")]
    pub outage_began_ms: Option<u64>,
    /// See [`StoreUpdate::outage_began_ms`].
    #[prost(uint64, optional, tag = "8")]
    pub outage_ended_ms: Option<u64>,
}

/// An object that was written, or the name of one that was removed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoreEvent {
    /// Name of the object.
    #[prost(string, tag = "1")]
    pub name: String,
    /// It was removed.
    #[prost(bool, tag = "2")]
    pub removed: bool,
    /// Revision of its last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// JSON text.
    #[prost(bytes = "bytes", tag = "4")]
    pub spec: Bytes,
}
