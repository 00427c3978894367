//! Plan of the pieces of a whole copy to fetch within a byte budget.
//!
//! Every function takes `now`, the time on any monotonic clock of the caller, and does no I/O.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use crate::chunk::{ChunkId, Manifest};

/// Names a peer that can serve chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u32);

/// Limits of a fetch.
#[derive(Clone, Debug)]
pub struct FetchConfig {
    /// Bytes per second, counting pieces and `overhead_bytes`. Default 11,000: what a node may
    /// spend on control. With a rate of zero nothing is ever fetched.
    pub bytes_per_s: u32,
    /// Longest piece in bytes. Default 8,192, about 0.75 s of the default rate. Small pieces
    /// spend more on overhead; large ones lose more when a peer vanishes.
    pub piece_bytes: u32,
    /// Bytes that a request and the framing of its reply cost. Default 120.
    pub overhead_bytes: u32,
    /// Time after which a request counts as lost. Default 3 s: a piece at the default rate and
    /// a round trip between regions fit in it twice.
    pub request_timeout: Duration,
    /// Time for which a peer that let a request time out is not asked. It doubles with every
    /// further timeout in a row, up to 32 times. Default 10 s.
    pub peer_pause: Duration,
}

impl Default for FetchConfig {
    fn default() -> FetchConfig {
        FetchConfig {
            bytes_per_s: 11_000,
            piece_bytes: 8_192,
            overhead_bytes: 120,
            request_timeout: Duration::from_secs(3),
            peer_pause: Duration::from_secs(10),
        }
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Ask a peer for a piece.
    Request(PieceRequest),
    /// Do nothing until this time, a reply or a change of peers.
    Wait {
        /// Time on the caller's clock.
        until: Duration,
    },
    /// No peer is known that may be asked, now or later. Add one.
    NoPeers,
    /// Every chunk has arrived.
    Done,
}

/// A piece of a chunk, asked of one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceRequest {
    /// The peer to ask.
    pub peer: PeerId,
    /// Index of the chunk in the manifest.
    pub index: usize,
    /// Name of the chunk.
    pub chunk: ChunkId,
    /// First byte of the piece.
    pub offset: u32,
    /// Length of the piece in bytes.
    pub len: u32,
}

/// What a received piece led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// The piece was stored; more of the chunk is missing.
    Stored,
    /// The chunk at this index is complete and matches its name.
    Chunk {
        /// Index of the chunk in the manifest.
        index: usize,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The piece answers no open request, for example because the request timed out.
    Unexpected,
    /// The piece has another length than asked for. The peer is not asked again.
    WrongLength,
    /// The chunk does not match its name and is fetched again from one peer. The peers that
    /// sent wrong bytes are not asked again: at once if there was one, else when the chunk is
    /// known.
    Corrupt,
}

#[derive(Debug)]
struct ChunkState {
    id: ChunkId,
    len: u32,
    done: bool,
    /// The bytes that have arrived, from the start of the chunk.
    bytes: Vec<u8>,
    /// The pieces that `bytes` consists of, by peer.
    pieces: Vec<(PeerId, Range<usize>)>,
    /// Pieces of an attempt that did not match, with their digests. Once the chunk is known,
    /// they tell which peers sent wrong bytes.
    suspects: Vec<(PeerId, Range<usize>, ChunkId)>,
    /// Set after a mismatch: all bytes must come from one peer, so that a further mismatch
    /// tells which peer is at fault.
    one_source: bool,
    in_flight: bool,
}

impl ChunkState {
    /// Checks the chunk once all bytes are there. Returns the bytes if they match, and the
    /// peers that are known to have sent wrong ones.
    fn complete(&mut self) -> (Option<Vec<u8>>, Vec<PeerId>) {
        let bytes = std::mem::take(&mut self.bytes);
        let pieces = std::mem::take(&mut self.pieces);
        if ChunkId::of(&bytes) == self.id {
            self.done = true;
            let suspects = std::mem::take(&mut self.suspects).into_iter();
            let wrong = suspects.filter(|(_, range, id)| ChunkId::of(&bytes[range.clone()]) != *id);
            let wrong = wrong.map(|(peer, ..)| peer).collect();
            return (Some(bytes), wrong);
        }
        let first = pieces[0].0;
        if pieces.iter().all(|(peer, _)| *peer == first) {
            return (None, vec![first]);
        }
        self.one_source = true;
        self.suspects = pieces
            .into_iter()
            .map(|(peer, range)| (peer, range.clone(), ChunkId::of(&bytes[range])))
            .collect();
        (None, Vec::new())
    }
}

#[derive(Debug)]
struct PeerState {
    request: Option<(PieceRequest, Duration)>,
    paused_until: Duration,
    /// Timeouts since the last reply.
    timeouts: u32,
    asked_bytes: u64,
    banned: bool,
}

/// Decides which piece to ask of which peer. Each peer has at most one open request.
#[derive(Debug)]
pub struct FetchPlan {
    config: FetchConfig,
    chunks: Vec<ChunkState>,
    peers: BTreeMap<PeerId, PeerState>,
    /// Indexes that callers wait for, fetched before the others.
    preferred: Vec<usize>,
    /// Time at which the bytes requested so far are paid for at the configured rate.
    paid_at: Duration,
}

impl FetchPlan {
    /// Starts a fetch of all chunks of a manifest.
    pub fn new(manifest: &Manifest, config: FetchConfig) -> FetchPlan {
        let chunks = manifest.chunks().iter().map(|info| ChunkState {
            id: info.id(),
            len: info.len_bytes() as u32,
            done: false,
            bytes: Vec::new(),
            pieces: Vec::new(),
            suspects: Vec::new(),
            one_source: false,
            in_flight: false,
        });
        FetchPlan {
            config,
            chunks: chunks.collect(),
            peers: BTreeMap::new(),
            preferred: Vec::new(),
            paid_at: Duration::ZERO,
        }
    }

    /// Adds a peer. A known peer keeps its state.
    pub fn add_peer(&mut self, peer: PeerId) {
        self.peers.entry(peer).or_insert(PeerState {
            request: None,
            paused_until: Duration::ZERO,
            timeouts: 0,
            asked_bytes: 0,
            banned: false,
        });
    }

    /// Removes a peer that vanished. Its chunk resumes at another peer where it stopped.
    pub fn remove_peer(&mut self, peer: PeerId) {
        // A banned peer stays known, so that adding it again does not lift the ban.
        if let Some(state) = self.peers.get_mut(&peer) {
            let request = state.request.take();
            if !state.banned {
                self.peers.remove(&peer);
            }
            self.release(request.map(|(request, _)| request));
        }
    }

    /// Fetches the chunk at `index` of the manifest before others, for example because a
    /// look-up needed it.
    pub fn prefer(&mut self, index: usize) {
        if !self.chunks[index].done && !self.preferred.contains(&index) {
            self.preferred.push(index);
        }
    }

    /// Returns the bytes that have yet to arrive.
    pub fn remaining_bytes(&self) -> u64 {
        let open = self.chunks.iter().filter(|chunk| !chunk.done);
        open.map(|chunk| u64::from(chunk.len) - chunk.bytes.len() as u64)
            .sum()
    }

    /// Decides the next step. Call again at once after a request was sent.
    pub fn next(&mut self, now: Duration) -> FetchStep {
        self.expire(now);
        if self.chunks.iter().all(|chunk| chunk.done) {
            return FetchStep::Done;
        }
        if self.peers.values().all(|peer| peer.banned) {
            return FetchStep::NoPeers;
        }
        if self.paid_at > now {
            return FetchStep::Wait {
                until: self.paid_at,
            };
        }
        match self.choose(now) {
            Some(request) => {
                self.send(&request, now);
                FetchStep::Request(request)
            }
            None => FetchStep::Wait {
                until: self.next_event(now),
            },
        }
    }

    /// Takes a piece that a peer sent.
    pub fn received(&mut self, peer: PeerId, index: usize, offset: u32, bytes: &[u8]) -> Received {
        let Some(state) = self.peers.get_mut(&peer) else {
            return Received::Unexpected;
        };
        let Some((request, _)) = state
            .request
            .take_if(|(request, _)| request.index == index && request.offset == offset)
        else {
            return Received::Unexpected;
        };
        let chunk = &mut self.chunks[index];
        chunk.in_flight = false;
        if bytes.len() != request.len as usize {
            state.banned = true;
            return Received::WrongLength;
        }
        state.timeouts = 0;
        let start = chunk.bytes.len();
        chunk.bytes.extend_from_slice(bytes);
        chunk.pieces.push((peer, start..chunk.bytes.len()));
        if chunk.bytes.len() < chunk.len as usize {
            return Received::Stored;
        }
        let (bytes, wrong) = chunk.complete();
        for peer in wrong {
            if let Some(state) = self.peers.get_mut(&peer) {
                state.banned = true;
            }
        }
        let Some(bytes) = bytes else {
            return Received::Corrupt;
        };
        self.preferred.retain(|&preferred| preferred != index);
        Received::Chunk { index, bytes }
    }

    fn expire(&mut self, now: Duration) {
        let timeout = self.config.request_timeout;
        let mut lost = Vec::new();
        for state in self.peers.values_mut() {
            if let Some((request, _)) = state.request.take_if(|(_, sent)| *sent + timeout <= now) {
                state.paused_until = now + self.config.peer_pause * (1 << state.timeouts.min(5));
                state.timeouts += 1;
                lost.push(request);
            }
        }
        for request in lost {
            self.release(Some(request));
        }
    }

    fn release(&mut self, request: Option<PieceRequest>) {
        if let Some(request) = request {
            self.chunks[request.index].in_flight = false;
        }
    }

    /// Chooses preferred chunks first, then those already begun, then the rest in order. The
    /// first in order holds the shortest prefixes, which decide the most addresses.
    fn choose(&mut self, now: Duration) -> Option<PieceRequest> {
        let open = |index: &usize| !self.chunks[*index].done && !self.chunks[*index].in_flight;
        let preferred = self.preferred.iter().copied();
        let begun = (0..self.chunks.len()).filter(|&index| !self.chunks[index].bytes.is_empty());
        let all = 0..self.chunks.len();
        let candidates = preferred.chain(begun).chain(all).filter(open);
        for index in candidates {
            if let Some(peer) = self.choose_peer(index, now) {
                let chunk = &mut self.chunks[index];
                if chunk.one_source && chunk.pieces.iter().any(|(source, _)| *source != peer) {
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

    /// Chooses the idle peer that was asked for the fewest bytes, or the only source that a
    /// chunk may have while that peer can be asked.
    fn choose_peer(&self, index: usize, now: Duration) -> Option<PeerId> {
        let chunk = &self.chunks[index];
        let usable = |state: &PeerState| !state.banned && state.paused_until <= now;
        if chunk.one_source
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
        idle.min_by_key(|(_, state)| state.asked_bytes)
            .map(|(&peer, _)| peer)
    }

    fn send(&mut self, request: &PieceRequest, now: Duration) {
        let cost = request.len + self.config.overhead_bytes;
        let seconds = f64::from(cost) / f64::from(self.config.bytes_per_s);
        self.paid_at = now + Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX / 2);
        self.chunks[request.index].in_flight = true;
        if let Some(state) = self.peers.get_mut(&request.peer) {
            state.asked_bytes += u64::from(cost);
            state.request = Some((request.clone(), now));
        }
    }

    /// Returns when a request times out or a pause ends, whichever is first.
    fn next_event(&self, now: Duration) -> Duration {
        let timeout = self.config.request_timeout;
        let events = self
            .peers
            .values()
            .filter(|state| !state.banned)
            .filter_map(|state| {
                let request = state.request.as_ref().map(|(_, sent)| *sent + timeout);
                request.or((state.paused_until > now).then_some(state.paused_until))
            });
        events.min().unwrap_or(now + timeout)
    }
}
