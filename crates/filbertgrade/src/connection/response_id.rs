//! The ids that match the responses on a connection to their requests.

use xxhash_rust::xxh3::xxh3_64;

/// Largest number of requests that a connection carries. Bounds the memory for
/// their ids to 8 KB for each connection.
const MAX_REQUESTS: usize = 1_000;

/// The id that a backend server repeats in its response to a request, as a hash.
///
/// Two ids with the same hash count as the same one, which costs a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseId(u64);

impl From<&[u8]> for ResponseId {
    fn from(id: &[u8]) -> Self {
        Self(xxh3_64(id))
    }
}

/// The ids of the requests that one connection has carried.
#[derive(Debug, Default)]
pub(super) struct CarriedIds {
    /// Each id occurs once. A backend server may send a response a second time, and
    /// the copy of one to an earlier request with the same id could not be told from
    /// the response to the later one.
    ids: Vec<ResponseId>,
    /// Number of requests, including those without an id.
    requests: usize,
}

impl CarriedIds {
    /// Whether the response to a request with this id can be told from a late copy of
    /// any response so far. Without an id only the first one of a connection can.
    pub(super) fn can_tell(&self, id: Option<ResponseId>) -> bool {
        id.map_or(self.requests == 0, |id| !self.ids.contains(&id))
    }

    /// Adds the id of a request that is about to be sent.
    pub(super) fn add(&mut self, id: Option<ResponseId>) {
        self.ids.extend(id);
        self.requests += 1;
    }

    /// Whether the connection must not carry another request.
    pub(super) fn is_full(&self) -> bool {
        self.requests >= MAX_REQUESTS
    }
}
