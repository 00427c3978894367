//! The encoded form of a whole table: chunks named by their SHA-256, and the manifest that
//! lists them.

use std::fmt;
use std::net::IpAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::codec::{
    DIGEST_BYTES, EntryWriter, RecordReader, RecordWriter, check_sealed, put_digest, put_varint,
};
use crate::entry::{Local, Slot};
use crate::error::{DecodeError, DecodeKind};
use crate::page::Page;
use crate::table::{BlockTable, Version, page_of};

/// Longest chunk, manifest or part of a delta, in bytes. The platform stores values of up to
/// 1 MB, and a frame between agents is limited to 1 MiB.
pub const MAX_CHUNK_BYTES: usize = 1_000_000;

/// A chunk ends at the next boundary key after this many bytes. At 11 KB/s a chunk then takes
/// about 6 s, which bounds what a corrupt peer can waste.
const MIN_CHUNK_BYTES: usize = 64 * 1024;

/// A chunk ends before a page that would take it past this many bytes.
const FULL_CHUNK_BYTES: usize = 256 * 1024;

/// Longest record. The entries of a larger page continue in further chunks.
const MAX_RECORD_BYTES: usize = 128 * 1024;

const CHUNK_MAGIC: &str = "FBT1";
const MANIFEST_MAGIC: &str = "FBM1";

/// The SHA-256 of a chunk, which is its name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkId(pub [u8; DIGEST_BYTES]);

impl ChunkId {
    /// Computes the name of a chunk from its bytes.
    pub fn of(bytes: &[u8]) -> ChunkId {
        ChunkId(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for ChunkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ChunkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChunkId({self})")
    }
}

/// Encoded bytes and their name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    id: ChunkId,
    bytes: Arc<[u8]>,
}

impl Chunk {
    pub(crate) fn new(bytes: Vec<u8>) -> Chunk {
        Chunk {
            id: ChunkId::of(&bytes),
            bytes: bytes.into(),
        }
    }

    /// Returns the name.
    pub fn id(&self) -> ChunkId {
        self.id
    }

    /// Returns the bytes.
    pub fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// What a manifest says about one chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkInfo {
    id: ChunkId,
    /// At most [`MAX_CHUNK_BYTES`].
    len: u32,
    /// Ordinals of the slots that the chunk covers, whether or not they hold entries.
    span: RangeInclusive<u64>,
}

impl ChunkInfo {
    /// Returns the name of the chunk.
    pub fn id(&self) -> ChunkId {
        self.id
    }

    /// Returns the length in bytes.
    pub fn len_bytes(&self) -> usize {
        self.len as usize
    }

    /// Checks the bytes of the chunk and returns its entries by page. Memory is at most 64
    /// times the length of the chunk: an entry takes at least one byte, and 32 bytes in a vector
    /// that may be half empty.
    pub(crate) fn decode(&self, bytes: &[u8]) -> Result<Vec<(Slot, Vec<Local>)>, DecodeError> {
        if bytes.len() > MAX_CHUNK_BYTES {
            let kind = DecodeKind::TooLong {
                len: bytes.len(),
                limit: MAX_CHUNK_BYTES,
            };
            return Err(kind.into());
        }
        if ChunkId::of(bytes) != self.id {
            return Err(DecodeKind::Digest.into());
        }
        let body = bytes.strip_prefix(CHUNK_MAGIC.as_bytes());
        let body = body.ok_or(DecodeKind::Magic {
            expected: CHUNK_MAGIC,
        })?;
        let mut pages = Vec::new();
        for record in RecordReader::new(body) {
            let (slot, locals) = record?;
            if !self.span.contains(&slot.ordinal()) {
                return Err(DecodeKind::Span.into());
            }
            pages.push((slot, locals));
        }
        Ok(pages)
    }
}

/// The list of chunks that make up one version of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    version: Version,
    entries: u64,
    /// In order of their spans, which cover all slots. Spans overlap only where the entries of
    /// one page continue in the next chunk.
    chunks: Vec<ChunkInfo>,
}

impl Manifest {
    /// Returns the version of the table.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the number of entries in the table.
    pub fn entry_count(&self) -> u64 {
        self.entries
    }

    /// Returns the chunks in order.
    pub fn chunks(&self) -> &[ChunkInfo] {
        &self.chunks
    }

    /// Returns the total length of the chunks in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.chunks.iter().map(|chunk| u64::from(chunk.len)).sum()
    }

    /// Returns the indexes of the chunks that hold the page of an address.
    pub fn chunks_for(&self, addr: IpAddr) -> RangeInclusive<usize> {
        self.chunks_of(page_of(addr).0)
    }

    pub(crate) fn chunks_of(&self, slot: Slot) -> RangeInclusive<usize> {
        let ordinal = slot.ordinal();
        let first = self
            .chunks
            .partition_point(|chunk| *chunk.span.end() < ordinal);
        let after = self
            .chunks
            .partition_point(|chunk| *chunk.span.start() <= ordinal);
        first..=after - 1
    }

    /// Encodes the manifest, with a digest at the end.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = MANIFEST_MAGIC.as_bytes().to_vec();
        put_varint(&mut buf, self.version.0.into());
        put_varint(&mut buf, self.entries.into());
        for chunk in &self.chunks {
            put_varint(&mut buf, (*chunk.span.start()).into());
            put_varint(&mut buf, (chunk.span.end() - chunk.span.start()).into());
            put_varint(&mut buf, chunk.len.into());
            buf.extend_from_slice(&chunk.id.0);
        }
        put_digest(&mut buf);
        buf
    }

    /// Decodes a manifest.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are corrupt or longer than [`MAX_CHUNK_BYTES`], or if the chunks do not
    /// cover the address space in order.
    pub fn decode(bytes: &[u8]) -> Result<Manifest, DecodeError> {
        let mut reader = check_sealed(bytes, MANIFEST_MAGIC, MAX_CHUNK_BYTES)?;
        let version = Version(reader.number()?);
        let entries = reader.number()?;
        let mut chunks = Vec::new();
        while !reader.is_empty() {
            let start: u64 = reader.number()?;
            let end = start
                .checked_add(reader.number()?)
                .ok_or(DecodeKind::Coverage)?;
            let len: u32 = reader.number()?;
            if len as usize > MAX_CHUNK_BYTES {
                let kind = DecodeKind::TooLong {
                    len: len as usize,
                    limit: MAX_CHUNK_BYTES,
                };
                return Err(kind.into());
            }
            let mut id = [0; DIGEST_BYTES];
            id.copy_from_slice(reader.bytes(DIGEST_BYTES)?);
            chunks.push(ChunkInfo {
                id: ChunkId(id),
                len,
                span: start..=end,
            });
        }
        check_coverage(&chunks)?;
        Ok(Manifest {
            version,
            entries,
            chunks,
        })
    }
}

/// A whole table in encoded form.
#[derive(Clone, Debug)]
pub struct EncodedTable {
    /// The list of chunks.
    pub manifest: Manifest,
    /// The chunks, in the order of the manifest.
    pub chunks: Vec<Chunk>,
}

impl BlockTable {
    /// Encodes the whole table.
    ///
    /// Chunk boundaries depend on page keys, so a small change leaves most chunks, and their
    /// names, as they were.
    pub fn encode(&self) -> EncodedTable {
        let mut writer = ChunkWriter::default();
        for (slot, page) in self.pages().filter(|(_, page)| page.entry_count() > 0) {
            if page.source().len() <= MAX_RECORD_BYTES {
                writer.push(slot, page.source());
            } else {
                for part in split_page(slot, page) {
                    writer.push(slot, &part);
                }
            }
        }
        writer.close(None);
        let (infos, chunks) = writer.done.into_iter().unzip();
        let manifest = Manifest {
            version: self.version(),
            entries: self.entry_count(),
            chunks: infos,
        };
        EncodedTable { manifest, chunks }
    }
}

/// Joins records to chunks.
#[derive(Debug, Default)]
struct ChunkWriter {
    /// First ordinal of the open chunk.
    first: u64,
    /// Slot of the last record of the open chunk.
    last: Option<Slot>,
    records: RecordWriter,
    done: Vec<(ChunkInfo, Chunk)>,
}

impl ChunkWriter {
    fn push(&mut self, slot: Slot, entries: &[u8]) {
        if let Some(last) = self.last {
            let len = self.records.len();
            let full = len + entries.len() > FULL_CHUNK_BYTES;
            if last == slot || full || (len >= MIN_CHUNK_BYTES && is_boundary(slot)) {
                self.close(Some(slot));
            }
        }
        self.records.push(slot, entries);
        self.last = Some(slot);
    }

    /// Ends the open chunk. `next` is the slot of the record that follows, if any does.
    fn close(&mut self, next: Option<Slot>) {
        let mut bytes = CHUNK_MAGIC.as_bytes().to_vec();
        bytes.extend(std::mem::take(&mut self.records).finish());
        let next_first = next.map(Slot::ordinal);
        let end = match (next_first, self.last) {
            (Some(next), Some(last)) if last.ordinal() == next => next,
            (Some(next), _) => next - 1,
            (None, _) => Slot::MAX_ORDINAL,
        };
        let chunk = Chunk::new(bytes);
        let len = chunk.bytes.len() as u32;
        self.done.push((
            ChunkInfo {
                id: chunk.id,
                len,
                span: self.first..=end,
            },
            chunk,
        ));
        self.first = next_first.unwrap_or(Slot::MAX_ORDINAL);
        self.last = None;
    }
}

/// Reports whether a chunk of sufficient length ends before this slot. About one slot in 16
/// is a boundary; multiplicative hashing spreads them evenly over neighbouring keys.
fn is_boundary(slot: Slot) -> bool {
    slot.ordinal().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 60 == 0
}

/// Encodes the entries of a large page in several parts.
fn split_page(slot: Slot, page: &Page) -> Vec<Vec<u8>> {
    let mut parts = Vec::new();
    let mut writer = EntryWriter::new(slot.width());
    for local in page.locals() {
        writer.push(&local);
        if writer.len() >= MAX_RECORD_BYTES {
            let full = std::mem::replace(&mut writer, EntryWriter::new(slot.width()));
            parts.push(full.finish());
        }
    }
    if writer.len() > 0 {
        parts.push(writer.finish());
    }
    parts
}

fn check_coverage(chunks: &[ChunkInfo]) -> Result<(), DecodeError> {
    let mut next = 0;
    for chunk in chunks {
        let start = *chunk.span.start();
        // A span starts where the one before ended when a page continues.
        let continues = next > 0 && start == next - 1;
        if (start != next && !continues) || *chunk.span.end() > Slot::MAX_ORDINAL {
            return Err(DecodeKind::Coverage.into());
        }
        next = chunk.span.end() + 1;
    }
    if next != Slot::MAX_ORDINAL + 1 {
        return Err(DecodeKind::Coverage.into());
    }
    Ok(())
}
