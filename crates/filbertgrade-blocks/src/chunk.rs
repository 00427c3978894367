//! The encoded form of a whole table: chunks identified by their SHA-256, and the manifest that
//! lists them.

use std::fmt;
use std::net::IpAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::codec::{
    DIGEST_BYTES, EntryWriter, RecordReader, RecordWriter, put_digest, put_varint, verify_envelope,
};
use crate::entry::{PageEntry, PageKey};
use crate::error::{DecodeError, DecodeErrorKind};
use crate::page::Page;
use crate::table::{BlockTable, Version, page_of};

/// Maximum length of a chunk, a manifest or a part of a delta. The platform stores values of up to
/// 1 MB, and a frame between agents is limited to 1 MiB.
pub const MAX_CHUNK_BYTES: usize = 1_000_000;

/// Once a chunk has this length, it ends before the next boundary page (see
/// [`is_chunk_boundary`]). At 11 KB/s a chunk of this length takes about 6 s to fetch, which limits
/// the time lost to a peer that sends corrupt data.
const MIN_CHUNK_BYTES: usize = 64 * 1024;

/// A chunk that already holds a page ends before the next page that would make it longer than
/// this, boundary or not.
const SOFT_MAX_CHUNK_BYTES: usize = 256 * 1024;

/// Length after which the entries of a page continue in another record, which starts a new chunk.
const MAX_RECORD_BYTES: usize = 128 * 1024;

/// First bytes of an encoded chunk.
const CHUNK_MAGIC: &str = "FBT1";
/// First bytes of an encoded manifest.
const MANIFEST_MAGIC: &str = "FBM1";

/// The SHA-256 digest of a chunk, which identifies it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkId(pub [u8; DIGEST_BYTES]);

impl ChunkId {
    /// Computes the identifier of a chunk from its bytes.
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

/// An encoded chunk, or an encoded part of a delta, with the SHA-256 digest of its bytes.
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

    /// Returns the digest of the bytes.
    pub fn id(&self) -> ChunkId {
        self.id
    }

    /// Returns the encoded bytes. Cloning the `Arc` shares them.
    pub fn bytes(&self) -> &Arc<[u8]> {
        &self.bytes
    }
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The description of one chunk in a manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkInfo {
    id: ChunkId,
    /// Length in bytes, at most [`MAX_CHUNK_BYTES`].
    len: u32,
    /// Ordinals of the pages that the chunk covers, including those without entries.
    span: RangeInclusive<u64>,
}

impl ChunkInfo {
    /// Returns the identifier of the chunk.
    pub fn id(&self) -> ChunkId {
        self.id
    }

    /// Returns the length of the chunk in bytes, at most [`MAX_CHUNK_BYTES`].
    pub fn len_bytes(&self) -> usize {
        self.len as usize
    }

    /// Verifies the bytes of the chunk and returns its entries by page. Memory use is at most 64
    /// times the length of the chunk: an encoded entry takes at least one byte, and a decoded one
    /// takes 32 bytes in a vector of which up to half is spare capacity.
    pub(crate) fn decode(
        &self,
        bytes: &[u8],
    ) -> Result<Vec<(PageKey, Vec<PageEntry>)>, DecodeError> {
        if bytes.len() > MAX_CHUNK_BYTES {
            let kind = DecodeErrorKind::TooLong {
                len: bytes.len(),
                limit: MAX_CHUNK_BYTES,
            };
            return Err(kind.into());
        }
        if ChunkId::of(bytes) != self.id {
            return Err(DecodeErrorKind::DigestMismatch.into());
        }
        let body = bytes.strip_prefix(CHUNK_MAGIC.as_bytes());
        let body = body.ok_or(DecodeErrorKind::WrongMagic {
            expected: CHUNK_MAGIC,
        })?;
        let mut pages = Vec::new();
        for record in RecordReader::new(body) {
            let (page_key, entries) = record?;
            if !self.span.contains(&page_key.ordinal()) {
                return Err(DecodeErrorKind::OutsideSpan.into());
            }
            pages.push((page_key, entries));
        }
        Ok(pages)
    }
}

/// The list of chunks that make up one version of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    version: Version,
    /// Number of entries in the whole table.
    entry_count: u64,
    /// Sorted by span. The spans cover all pages; two of them overlap only where the entries of one
    /// page continue in the next chunk.
    chunks: Vec<ChunkInfo>,
}

impl Manifest {
    /// Returns the version of the table.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the number of entries in the table.
    pub fn entry_count(&self) -> u64 {
        self.entry_count
    }

    /// Returns the chunks, ordered by the pages that they cover.
    pub fn chunks(&self) -> &[ChunkInfo] {
        &self.chunks
    }

    /// Returns the total length of the chunks in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.chunks.iter().map(|chunk| u64::from(chunk.len)).sum()
    }

    /// Returns the indexes of the chunks that cover the page of an address.
    pub fn chunks_for(&self, addr: IpAddr) -> RangeInclusive<usize> {
        self.chunks_of_page(page_of(addr).0)
    }

    pub(crate) fn chunks_of_page(&self, page_key: PageKey) -> RangeInclusive<usize> {
        let ordinal = page_key.ordinal();
        let first = self
            .chunks
            .partition_point(|chunk| *chunk.span.end() < ordinal);
        let end = self
            .chunks
            .partition_point(|chunk| *chunk.span.start() <= ordinal);
        first..=end - 1
    }

    /// Encodes the manifest and appends a digest of the encoded bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = MANIFEST_MAGIC.as_bytes().to_vec();
        put_varint(&mut buf, self.version.0.into());
        put_varint(&mut buf, self.entry_count.into());
        for chunk in &self.chunks {
            put_varint(&mut buf, (*chunk.span.start()).into());
            put_varint(&mut buf, (chunk.span.end() - chunk.span.start()).into());
            put_varint(&mut buf, chunk.len.into());
            buf.extend_from_slice(&chunk.id.0);
        }
        put_digest(&mut buf);
        buf
    }

    /// Decodes a manifest and verifies its digest.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are corrupt or longer than [`MAX_CHUNK_BYTES`], if a listed chunk is
    /// longer than that, or if the chunks do not cover the address space in order.
    pub fn decode(bytes: &[u8]) -> Result<Manifest, DecodeError> {
        let mut reader = verify_envelope(bytes, MANIFEST_MAGIC, MAX_CHUNK_BYTES)?;
        let version = Version(reader.varint_as()?);
        let entry_count = reader.varint_as()?;
        let mut chunks = Vec::new();
        while !reader.is_empty() {
            let start: u64 = reader.varint_as()?;
            let end = start
                .checked_add(reader.varint_as()?)
                .ok_or(DecodeErrorKind::SpanCoverage)?;
            let len: u32 = reader.varint_as()?;
            if len as usize > MAX_CHUNK_BYTES {
                let kind = DecodeErrorKind::TooLong {
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
        check_span_coverage(&chunks)?;
        Ok(Manifest {
            version,
            entry_count,
            chunks,
        })
    }
}

/// A whole table in encoded form.
#[derive(Clone, Debug)]
pub struct EncodedTable {
    /// The list of the chunks, with their digests.
    pub manifest: Manifest,
    /// The chunks, in the order of the manifest.
    pub chunks: Vec<Chunk>,
}

impl BlockTable {
    /// Encodes the whole table.
    ///
    /// Chunk boundaries depend on page keys, so a small change to the table leaves most chunks, and
    /// therefore their identifiers, unchanged.
    pub fn encode(&self) -> EncodedTable {
        let mut writer = ChunkWriter::default();
        for (page_key, page) in self.pages().filter(|(_, page)| page.entry_count() > 0) {
            if page.encoded().len() <= MAX_RECORD_BYTES {
                writer.push(page_key, page.encoded());
            } else {
                for part in split_page(page_key, page) {
                    writer.push(page_key, &part);
                }
            }
        }
        writer.finish_chunk(None);
        let (infos, chunks) = writer.finished.into_iter().unzip();
        let manifest = Manifest {
            version: self.version(),
            entry_count: self.entry_count(),
            chunks: infos,
        };
        EncodedTable { manifest, chunks }
    }
}

/// Groups records into chunks.
#[derive(Debug, Default)]
struct ChunkWriter {
    /// First page ordinal that the current chunk covers.
    first_ordinal: u64,
    /// Page of the last record in the current chunk; `None` while the chunk is empty.
    last_page: Option<PageKey>,
    /// Records of the current chunk.
    records: RecordWriter,
    finished: Vec<(ChunkInfo, Chunk)>,
}

impl ChunkWriter {
    fn push(&mut self, page_key: PageKey, entries: &[u8]) {
        if let Some(last) = self.last_page {
            let len = self.records.len();
            let full = len + entries.len() > SOFT_MAX_CHUNK_BYTES;
            if last == page_key || full || (len >= MIN_CHUNK_BYTES && is_chunk_boundary(page_key)) {
                self.finish_chunk(Some(page_key));
            }
        }
        self.records.push(page_key, entries);
        self.last_page = Some(page_key);
    }

    /// Ends the current chunk. `next` is the page of the record that follows, or `None` at the end
    /// of the table.
    fn finish_chunk(&mut self, next: Option<PageKey>) {
        let mut bytes = CHUNK_MAGIC.as_bytes().to_vec();
        bytes.extend(std::mem::take(&mut self.records).finish());
        let next_ordinal = next.map(PageKey::ordinal);
        let end = match (next_ordinal, self.last_page) {
            (Some(next), Some(last)) if last.ordinal() == next => next,
            (Some(next), _) => next - 1,
            (None, _) => PageKey::MAX_ORDINAL,
        };
        let chunk = Chunk::new(bytes);
        let len = chunk.bytes.len() as u32;
        self.finished.push((
            ChunkInfo {
                id: chunk.id,
                len,
                span: self.first_ordinal..=end,
            },
            chunk,
        ));
        self.first_ordinal = next_ordinal.unwrap_or(PageKey::MAX_ORDINAL);
        self.last_page = None;
    }
}

/// Reports whether a chunk of at least [`MIN_CHUNK_BYTES`] ends before this page. About one page in
/// 16 is a boundary; multiplicative hashing spreads the boundaries evenly over neighbouring keys.
fn is_chunk_boundary(page_key: PageKey) -> bool {
    page_key.ordinal().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 60 == 0
}

/// Encodes the entries of a page that exceeds [`MAX_RECORD_BYTES`] as several records.
fn split_page(page_key: PageKey, page: &Page) -> Vec<Vec<u8>> {
    let mut parts = Vec::new();
    let mut writer = EntryWriter::new(page_key.width());
    for entry in page.entries() {
        writer.push(&entry);
        if writer.len() >= MAX_RECORD_BYTES {
            let full = std::mem::replace(&mut writer, EntryWriter::new(page_key.width()));
            parts.push(full.finish());
        }
    }
    if writer.len() > 0 {
        parts.push(writer.finish());
    }
    parts
}

/// Checks that the chunks cover all pages in order, without gaps.
fn check_span_coverage(chunks: &[ChunkInfo]) -> Result<(), DecodeError> {
    let mut next = 0;
    for chunk in chunks {
        let start = *chunk.span.start();
        // If the entries of a page continue in this chunk, its span starts at the ordinal at which
        // the previous span ended.
        let continues = next > 0 && start == next - 1;
        if (start != next && !continues) || *chunk.span.end() > PageKey::MAX_ORDINAL {
            return Err(DecodeErrorKind::SpanCoverage.into());
        }
        next = chunk.span.end() + 1;
    }
    if next != PageKey::MAX_ORDINAL + 1 {
        return Err(DecodeErrorKind::SpanCoverage.into());
    }
    Ok(())
}
