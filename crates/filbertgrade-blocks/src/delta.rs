//! The difference between two versions of a table, and its encoding.

use ipnet::IpNet;

use crate::chunk::{Chunk, MAX_CHUNK_BYTES};
use crate::codec::{
    EntryWriter, RecordReader, RecordWriter, put_digest, put_varint, verify_envelope,
};
use crate::entry::{BlockEntry, PageEntry, PageKey, SiteId, locate, prefix_of};
use crate::error::{BuildErrorKind, DecodeError, DecodeErrorKind, DeltaError, DeltaErrorKind};
use crate::table::{Change, Version, validate_and_sort};

/// First bytes of an encoded part.
const MAGIC: &str = "FBD1";

/// Maximum number of changes in one part of an encoded delta. An encoded change takes at most 25
/// bytes, so a part stays within [`MAX_CHUNK_BYTES`].
const CHANGES_PER_PART: usize = 20_000;

/// The changes that turn one version of a table into a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockDelta {
    /// The version that the delta applies to.
    pub base: Version,
    /// The resulting version, which must be higher than `base`.
    pub version: Version,
    /// Entries to add. An entry whose prefix is already present replaces the site.
    pub set: Vec<BlockEntry>,
    /// Prefixes to remove. Each must be in the base version.
    pub removed: Vec<IpNet>,
}

impl BlockDelta {
    /// Encodes the delta in one or more parts of at most [`MAX_CHUNK_BYTES`], each with its own
    /// digest.
    ///
    /// # Errors
    ///
    /// Fails on an invalid entry, or if a prefix appears more than once in `set` and `removed`.
    pub fn encode(&self) -> Result<Vec<Chunk>, DeltaError> {
        let changes = self.sorted_changes()?;
        let parts = changes.len().div_ceil(CHANGES_PER_PART).max(1);
        let mut chunks = Vec::with_capacity(parts);
        for part in 0..parts {
            let start = part * CHANGES_PER_PART;
            let end = changes.len().min(start + CHANGES_PER_PART);
            let mut buf = MAGIC.as_bytes().to_vec();
            for number in [self.base.0, self.version.0, part as u64, parts as u64] {
                put_varint(&mut buf, number.into());
            }
            let removed = encode_records(&changes[start..end], true);
            put_varint(&mut buf, removed.len() as u128);
            buf.extend_from_slice(&removed);
            buf.extend_from_slice(&encode_records(&changes[start..end], false));
            put_digest(&mut buf);
            chunks.push(Chunk::new(buf));
        }
        Ok(chunks)
    }

    /// Decodes a delta from all of its parts, in any order.
    ///
    /// # Errors
    ///
    /// Fails if a part is corrupt or longer than [`MAX_CHUNK_BYTES`], or if the parts do not form
    /// exactly one delta.
    pub fn decode<B: AsRef<[u8]>>(parts: &[B]) -> Result<BlockDelta, DecodeError> {
        let mut decoded = Vec::with_capacity(parts.len());
        for part in parts {
            decoded.push(Part::decode(part.as_ref())?);
        }
        decoded.sort_unstable_by_key(|part| part.index);
        let first = decoded.first().ok_or(DecodeErrorKind::WrongParts(
            "a delta must have at least one part",
        ))?;
        let (base, version) = (first.base, first.version);
        let mut delta = BlockDelta {
            base,
            version,
            set: Vec::new(),
            removed: Vec::new(),
        };
        for (index, part) in decoded.iter().enumerate() {
            if part.index != index as u64 || part.parts != parts.len() as u64 {
                return Err(DecodeErrorKind::WrongParts(
                    "a part of the delta is missing or duplicated",
                )
                .into());
            }
            if (part.base, part.version) != (base, version) {
                return Err(
                    DecodeErrorKind::WrongParts("the parts belong to different deltas").into(),
                );
            }
            delta.removed.extend_from_slice(&part.removed);
            delta.set.extend_from_slice(&part.set);
        }
        Ok(delta)
    }

    /// Validates the changes and returns them sorted by page and address.
    pub(crate) fn sorted_changes(&self) -> Result<Vec<Change>, DeltaError> {
        let set = validate_and_sort(&self.set).map_err(DeltaErrorKind::InvalidEntry)?;
        let mut changes: Vec<Change> = set
            .into_iter()
            .map(|(page_key, entry)| (page_key, entry, false))
            .collect();
        for (index, prefix) in self.removed.iter().enumerate() {
            if prefix.trunc() != *prefix {
                let kind = BuildErrorKind::HostBits {
                    index,
                    prefix: *prefix,
                };
                return Err(DeltaErrorKind::InvalidEntry(kind.into()).into());
            }
            let (page_key, entry) = locate(prefix, SiteId(0));
            changes.push((page_key, entry, true));
        }
        let key = |&(page_key, entry, _): &(PageKey, PageEntry, bool)| (page_key, entry.sort_key());
        changes.sort_unstable_by_key(key);
        for pair in changes.windows(2) {
            if key(&pair[0]) == key(&pair[1]) {
                let kind = BuildErrorKind::Duplicate {
                    prefix: prefix_of(pair[0].0, &pair[0].1),
                };
                return Err(DeltaErrorKind::InvalidEntry(kind.into()).into());
            }
        }
        Ok(changes)
    }
}

/// One decoded part of a delta.
#[derive(Debug)]
struct Part {
    base: Version,
    version: Version,
    /// Position of this part among all parts.
    index: u64,
    /// Number of all parts.
    parts: u64,
    removed: Vec<IpNet>,
    set: Vec<BlockEntry>,
}

impl Part {
    fn decode(bytes: &[u8]) -> Result<Part, DecodeError> {
        let mut reader = verify_envelope(bytes, MAGIC, MAX_CHUNK_BYTES)?;
        let base = Version(reader.varint_as()?);
        let version = Version(reader.varint_as()?);
        let index = reader.varint_as()?;
        let parts = reader.varint_as()?;
        let removed_len = reader.varint_as()?;
        let removed = decode_records(reader.bytes(removed_len)?)?;
        let removed = removed.into_iter().map(|entry| entry.prefix).collect();
        let set = decode_records(reader.rest())?;
        Ok(Part {
            base,
            version,
            index,
            parts,
            removed,
            set,
        })
    }
}

/// Encodes either the removals or the other changes as records.
fn encode_records(changes: &[Change], removals: bool) -> Vec<u8> {
    let mut records = RecordWriter::default();
    for group in changes.chunk_by(|a, b| a.0 == b.0) {
        let mut writer = EntryWriter::new(group[0].0.width());
        for (_, entry, removed) in group {
            if *removed == removals {
                writer.push(entry);
            }
        }
        if writer.len() > 0 {
            records.push(group[0].0, &writer.finish());
        }
    }
    records.finish()
}

fn decode_records(bytes: &[u8]) -> Result<Vec<BlockEntry>, DecodeError> {
    let mut entries = Vec::new();
    for record in RecordReader::new(bytes) {
        let (page_key, page_entries) = record?;
        entries.extend(page_entries.iter().map(|entry| BlockEntry {
            prefix: prefix_of(page_key, entry),
            site: SiteId(entry.site),
        }));
    }
    Ok(entries)
}
