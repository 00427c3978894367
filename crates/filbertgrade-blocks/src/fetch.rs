//! Scheduling of the requests that fetch a whole copy from peers within a byte budget.
//!
//! Nothing here does I/O. The current time is passed in as `now`, the reading of a monotonic clock
//! that the caller chooses.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use crate::chunk::{ChunkId, Manifest};

/// Identifies a peer that can send chunks. The caller assigns the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u32);

/// Byte budget, request size and timeouts of a fetch.
#[derive(Clone, Debug)]
pub struct FetchConfig {
    /// Bandwidth in bytes per second, for pieces and `overhead_bytes` together. Default 11,000, the
    /// bandwidth that a VM may spend on control traffic. With a rate of zero, only one request is
    /// ever made.
    pub bytes_per_s: u32,
    /// Maximum length of a piece in bytes. Default 8,192, about 0.75 s at the default rate. Smaller
    /// pieces cost more overhead; larger ones lose more data when a peer disappears.
    pub piece_bytes: u32,
    /// Bytes charged to the budget for each request and the framing of its response. Default 120.
    pub overhead_bytes: u32,
    /// Time after which a request is considered lost. Default 3 s, at least twice the time that a
    /// piece at the default rate and a round trip between regions take together.
    pub request_timeout: Duration,
    /// Time without requests to a peer after a timeout. It doubles with each consecutive timeout,
    /// up to 32 times this value. Default 10 s.
    pub peer_backoff: Duration,
}

impl Default for FetchConfig {
    fn default() -> FetchConfig {
        FetchConfig {
            bytes_per_s: 11_000,
            piece_bytes: 8_192,
            overhead_bytes: 120,
            request_timeout: Duration::from_secs(3),
            peer_backoff: Duration::from_secs(10),
        }
    }
}

/// The next action of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Send this request to its peer.
    Request(PieceRequest),
    /// Wait until this time, or until a response arrives or the set of peers changes.
    Wait {
        /// Time on the caller's clock.
        until: Duration,
    },
    /// There is no peer, or all peers are banned. The fetch continues once another one is added.
    NoPeers,
    /// Every chunk has been received.
    Done,
}

/// A request to one peer for a range of bytes of a chunk, called a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceRequest {
    /// The peer to send the request to.
    pub peer: PeerId,
    /// Index of the chunk in the manifest.
    pub index: usize,
    /// Identifier of the chunk.
    pub chunk: ChunkId,
    /// Offset of the piece in the chunk, in bytes.
    pub offset: u32,
    /// Length of the piece in bytes.
    pub len: u32,
}

/// The result of receiving a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// The piece was stored; the chunk is still incomplete.
    Stored,
    /// The chunk at this index is complete and matches its identifier.
    Chunk {
        /// Index of the chunk in the manifest.
        index: usize,
        /// Bytes of the chunk.
        bytes: Vec<u8>,
    },
    /// The piece matches no outstanding request, for example because the request timed out. It is
    /// ignored.
    Unexpected,
    /// The length of the piece differs from the requested one. The peer is banned.
    WrongLength,
    /// The chunk does not match its identifier and is fetched again. If all pieces came from one
    /// peer, that peer is banned immediately. Otherwise the chunk is now fetched from a single
    /// peer, and the peers that sent wrong bytes are banned once the correct bytes show which
    /// pieces were wrong.
    Corrupt,
}

/// Progress of one chunk.
#[derive(Debug)]
struct ChunkState {
    id: ChunkId,
    len: u32,
    /// Whether the chunk was received completely and matched its identifier.
    done: bool,
    /// The bytes received so far, from the start of the chunk.
    bytes: Vec<u8>,
    /// The sender and the range of each piece in `bytes`.
    pieces: Vec<(PeerId, Range<usize>)>,
    /// The sender, range and digest of each piece of an attempt that did not match. Once the
    /// correct bytes are known, the digests identify the peers that sent wrong ones.
    suspect_pieces: Vec<(PeerId, Range<usize>, ChunkId)>,
    /// Set after a mismatch of pieces from several peers. All bytes must then come from one peer,
    /// so that another mismatch identifies the faulty peer.
    single_source: bool,
    /// Whether a request for a piece of this chunk is outstanding.
    in_flight: bool,
}

impl ChunkState {
    /// Compares the complete chunk with its identifier. Returns the bytes if they match, and the
    /// peers that are known to have sent wrong ones.
    fn verify(&mut self) -> (Option<Vec<u8>>, Vec<PeerId>) {
        let bytes = std::mem::take(&mut self.bytes);
        let pieces = std::mem::take(&mut self.pieces);
        if ChunkId::of(&bytes) == self.id {
            self.done = true;
            let suspects = std::mem::take(&mut self.suspect_pieces).into_iter();
            let wrong_pieces =
                suspects.filter(|(_, range, id)| ChunkId::of(&bytes[range.clone()]) != *id);
            let wrong = wrong_pieces.map(|(peer, ..)| peer).collect();
            return (Some(bytes), wrong);
        }
        let first = pieces[0].0;
        if pieces.iter().all(|(peer, _)| *peer == first) {
            return (None, vec![first]);
        }
        self.single_source = true;
        self.suspect_pieces = pieces
            .into_iter()
            .map(|(peer, range)| (peer, range.clone(), ChunkId::of(&bytes[range])))
            .collect();
        (None, Vec::new())
    }
}

/// State of one peer.
#[derive(Debug)]
struct PeerState {
    /// The outstanding request and the time at which it was sent.
    request: Option<(PieceRequest, Duration)>,
    /// No request is sent to the peer before this time.
    backoff_until: Duration,
    /// Number of timeouts since the last valid response.
    timeouts: u32,
    /// Bytes charged to the budget for requests to this peer.
    requested_bytes: u64,
    /// Whether the peer sent wrong data and is never used again.
    banned: bool,
}

/// Decides which piece to request from which peer. Each peer has at most one outstanding request.
#[derive(Debug)]
pub struct FetchPlan {
    config: FetchConfig,
    chunks: Vec<ChunkState>,
    peers: BTreeMap<PeerId, PeerState>,
    /// Indexes of the chunks to fetch before the others, in order.
    prioritized: Vec<usize>,
    /// Time at which the configured rate covers all bytes requested so far.
    budget_available_at: Duration,
}

impl FetchPlan {
    /// Creates a plan that fetches all chunks of a manifest. It has no peers yet.
    pub fn new(manifest: &Manifest, config: FetchConfig) -> FetchPlan {
        let chunks = manifest.chunks().iter().map(|info| ChunkState {
            id: info.id(),
            len: info.len_bytes() as u32,
            done: false,
            bytes: Vec::new(),
            pieces: Vec::new(),
            suspect_pieces: Vec::new(),
            single_source: false,
            in_flight: false,
        });
        FetchPlan {
            config,
            chunks: chunks.collect(),
            peers: BTreeMap::new(),
            prioritized: Vec::new(),
            budget_available_at: Duration::ZERO,
        }
    }

    /// Adds a peer. If the peer is already known, its state is kept.
    pub fn add_peer(&mut self, peer: PeerId) {
        self.peers.entry(peer).or_insert(PeerState {
            request: None,
            backoff_until: Duration::ZERO,
            timeouts: 0,
            requested_bytes: 0,
            banned: false,
        });
    }

    /// Removes a peer that is no longer available. Another peer continues the chunk requested from
    /// it after the bytes received so far. If all bytes of the chunk must come from one peer, the
    /// chunk starts over.
    pub fn remove_peer(&mut self, peer: PeerId) {
        // The state of a banned peer is kept, so that adding the peer again does not lift the ban.
        if let Some(state) = self.peers.get_mut(&peer) {
            let request = state.request.take();
            if !state.banned {
                self.peers.remove(&peer);
            }
            self.clear_in_flight(request.map(|(request, _)| request));
        }
    }

    /// Fetches the chunk at `index` of the manifest before the others, for example because a
    /// lookup needs it. Ignored if the manifest has no such chunk.
    pub fn prioritize(&mut self, index: usize) {
        let is_missing = self.chunks.get(index).is_some_and(|chunk| !chunk.done);
        if is_missing && !self.prioritized.contains(&index) {
            self.prioritized.push(index);
        }
    }

    /// Returns the number of chunk bytes still to be received, without overhead.
    pub fn remaining_bytes(&self) -> u64 {
        let unfinished = self.chunks.iter().filter(|chunk| !chunk.done);
        unfinished
            .map(|chunk| u64::from(chunk.len) - chunk.bytes.len() as u64)
            .sum()
    }

    /// Returns the next action. After a [`FetchStep::Request`], send the request and call this
    /// again immediately: there may be another request to send, or a time to wait for.
    pub fn next(&mut self, now: Duration) -> FetchStep {
        self.expire_requests(now);
        if self.chunks.iter().all(|chunk| chunk.done) {
            return FetchStep::Done;
        }
        if self.peers.values().all(|peer| peer.banned) {
            return FetchStep::NoPeers;
        }
        if self.budget_available_at > now {
            return FetchStep::Wait {
                until: self.budget_available_at,
            };
        }
        match self.choose_request(now) {
            Some(request) => {
                self.record_request(&request, now);
                FetchStep::Request(request)
            }
            None => FetchStep::Wait {
                until: self.next_deadline(now),
            },
        }
    }

    /// Processes a piece that a peer sent for the chunk at `index` of the manifest.
    pub fn receive(
        &mut self,
        peer: PeerId,
        index: usize,
        offset: u32,
        bytes: &[u8],
    ) -> ReceiveOutcome {
        let Some(state) = self.peers.get_mut(&peer) else {
            return ReceiveOutcome::Unexpected;
        };
        let Some((request, _)) = state
            .request
            .take_if(|(request, _)| request.index == index && request.offset == offset)
        else {
            return ReceiveOutcome::Unexpected;
        };
        let chunk = &mut self.chunks[index];
        chunk.in_flight = false;
        if bytes.len() != request.len as usize {
            state.banned = true;
            return ReceiveOutcome::WrongLength;
        }
        state.timeouts = 0;
        let start = chunk.bytes.len();
        chunk.bytes.extend_from_slice(bytes);
        chunk.pieces.push((peer, start..chunk.bytes.len()));
        if chunk.bytes.len() < chunk.len as usize {
            return ReceiveOutcome::Stored;
        }
        let (bytes, wrong) = chunk.verify();
        for peer in wrong {
            if let Some(state) = self.peers.get_mut(&peer) {
                state.banned = true;
            }
        }
        let Some(bytes) = bytes else {
            return ReceiveOutcome::Corrupt;
        };
        self.prioritized.retain(|&other| other != index);
        ReceiveOutcome::Chunk { index, bytes }
    }

    /// Drops the requests that timed out, and starts or extends the backoff of their peers.
    fn expire_requests(&mut self, now: Duration) {
        let timeout = self.config.request_timeout;
        let mut lost = Vec::new();
        for state in self.peers.values_mut() {
            if let Some((request, _)) = state.request.take_if(|(_, sent)| *sent + timeout <= now) {
                state.backoff_until = now + self.config.peer_backoff * (1 << state.timeouts.min(5));
                state.timeouts += 1;
                lost.push(request);
            }
        }
        for request in lost {
            self.clear_in_flight(Some(request));
        }
    }

    /// Lets the chunk of a lost request be requested again.
    fn clear_in_flight(&mut self, request: Option<PieceRequest>) {
        if let Some(request) = request {
            self.chunks[request.index].in_flight = false;
        }
    }

    /// Chooses a piece and a peer to request it from. Prioritized chunks come first, then partly
    /// received ones, then the rest in manifest order. The first chunk holds the shortest prefixes,
    /// which apply to the most addresses.
    fn choose_request(&mut self, now: Duration) -> Option<PieceRequest> {
        let requestable =
            |index: &usize| !self.chunks[*index].done && !self.chunks[*index].in_flight;
        let prioritized = self.prioritized.iter().copied();
        let partly_received =
            (0..self.chunks.len()).filter(|&index| !self.chunks[index].bytes.is_empty());
        let all = 0..self.chunks.len();
        let candidates = prioritized
            .chain(partly_received)
            .chain(all)
            .filter(requestable);
        for index in candidates {
            if let Some(peer) = self.choose_peer(index, now) {
                let chunk = &mut self.chunks[index];
                if chunk.single_source && chunk.pieces.iter().any(|(source, _)| *source != peer) {
                    chunk.bytes.clear();
                    chunk.pieces.clear();
                }
                let offset = chunk.bytes.len() as u32;
                let len = (chunk.len - offset).min(self.config.piece_bytes);
                return Some(PieceRequest {
                    peer,
                    index,
                    chunk: chunk.id,
                    offset,
                    len,
                });
            }
        }
        None
    }

    /// Chooses the idle peer with the fewest requested bytes. A chunk with a single source stays
    /// with its peer while that peer is usable.
    fn choose_peer(&self, index: usize, now: Duration) -> Option<PeerId> {
        let chunk = &self.chunks[index];
        let usable = |state: &PeerState| !state.banned && state.backoff_until <= now;
        if chunk.single_source
            && let Some((source, _)) = chunk.pieces.first()
            && let Some(state) = self.peers.get(source)
            && usable(state)
        {
            return state.request.is_none().then_some(*source);
        }
        let idle = self
            .peers
            .iter()
            .filter(|(_, state)| usable(state) && state.request.is_none());
        idle.min_by_key(|(_, state)| state.requested_bytes)
            .map(|(&peer, _)| peer)
    }

    /// Charges a request to the budget and marks it as outstanding.
    fn record_request(&mut self, request: &PieceRequest, now: Duration) {
        let cost = request.len + self.config.overhead_bytes;
        let seconds = f64::from(cost) / f64::from(self.config.bytes_per_s);
        // With a rate of zero, `seconds` is infinite. Half the maximum keeps the sum from
        // overflowing.
        self.budget_available_at =
            now + Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 2);
        self.chunks[request.index].in_flight = true;
        if let Some(state) = self.peers.get_mut(&request.peer) {
            state.requested_bytes += u64::from(cost);
            state.request = Some((request.clone(), now));
        }
    }

    /// Returns the earliest time at which a request times out or a backoff ends.
    fn next_deadline(&self, now: Duration) -> Duration {
        let timeout = self.config.request_timeout;
        let deadlines = self
            .peers
            .values()
            .filter(|state| !state.banned)
            .filter_map(|state| {
                let request = state.request.as_ref().map(|(_, sent)| *sent + timeout);
                request.or((state.backoff_until > now).then_some(state.backoff_until))
            });
        deadlines.min().unwrap_or(now + timeout)
    }
}
