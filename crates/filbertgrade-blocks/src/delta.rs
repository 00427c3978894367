//! Changes from one version of the table to the next.

use ipnet::IpNet;

use crate::chunk::{Chunk, MAX_CHUNK_BYTES};
use crate::codec::{EntryWriter, RecordReader, RecordWriter, check_sealed, put_digest, put_varint};
use crate::entry::{BlockEntry, Local, SiteId, Slot, locate, prefix_of};
use crate::error::{BuildKind, DecodeError, DecodeKind, DeltaError, DeltaKind};
use crate::table::{Change, Version, locate_all};

const MAGIC: &str = "FBD1";

/// Changes in one part of an encoded delta. An encoded change takes at most 25 bytes, so a part
/// stays within [`MAX_CHUNK_BYTES`].
const CHANGES_PER_PART: usize = 20_000;

/// The changes that turn one version of a table into a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockDelta {
    /// The version that the delta applies to.
    pub base: Version,
    /// The version that results. Higher than `base`.
    pub version: Version,
    /// Entries to add, or to change the site of.
    pub set: Vec<BlockEntry>,
    /// Prefixes to remove. Each must be present.
    pub removed: Vec<IpNet>,
}

impl BlockDelta {
    /// Encodes the delta in parts of at most [`MAX_CHUNK_BYTES`], each with its own digest.
    ///
    /// # Errors
    ///
    /// Fails on invalid or repeated entries.
    pub fn encode(&self) -> Result<Vec<Chunk>, DeltaError> {
        let changes = self.located()?;
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

    /// Decodes all parts of one delta, in any order.
    ///
    /// # Errors
    ///
    /// Fails if a part is corrupt or too long, or if the parts are not those of one delta.
    pub fn decode<B: AsRef<[u8]>>(parts: &[B]) -> Result<BlockDelta, DecodeError> {
        let mut decoded = Vec::with_capacity(parts.len());
        for part in parts {
            decoded.push(Part::decode(part.as_ref())?);
        }
        decoded.sort_unstable_by_key(|part| part.index);
        let head = decoded
            .first()
            .ok_or(DecodeKind::Parts("a delta has at least one part"))?;
        let (base, version) = (head.base, head.version);
        let mut delta = BlockDelta {
            base,
            version,
            set: Vec::new(),
            removed: Vec::new(),
        };
        for (index, part) in decoded.iter().enumerate() {
            if part.index != index as u64 || part.parts != parts.len() as u64 {
                return Err(DecodeKind::Parts("a part of the delta is missing or repeated").into());
            }
            if (part.base, part.version) != (base, version) {
                return Err(DecodeKind::Parts("the parts belong to different deltas").into());
            }
            delta.removed.extend_from_slice(&part.removed);
            delta.set.extend_from_slice(&part.set);
        }
        Ok(delta)
    }

    /// Checks the entries and returns all changes sorted by page and address.
    pub(crate) fn located(&self) -> Result<Vec<Change>, DeltaError> {
        let set = locate_all(&self.set).map_err(DeltaKind::Entry)?;
        let mut changes: Vec<Change> = set
            .into_iter()
            .map(|(slot, local)| (slot, local, false))
            .collect();
        for (index, prefix) in self.removed.iter().enumerate() {
            if prefix.trunc() != *prefix {
                let kind = BuildKind::HostBits {
                    index,
                    prefix: *prefix,
                };
                return Err(DeltaKind::Entry(kind.into()).into());
            }
            let (slot, local) = locate(prefix, SiteId(0));
            changes.push((slot, local, true));
        }
        let key = |&(slot, local, _): &(Slot, Local, bool)| (slot, local.key());
        changes.sort_unstable_by_key(key);
        for pair in changes.windows(2) {
            if key(&pair[0]) == key(&pair[1]) {
                let kind = BuildKind::Repeated {
                    prefix: prefix_of(pair[0].0, &pair[0].1),
                };
                return Err(DeltaKind::Entry(kind.into()).into());
            }
        }
        Ok(changes)
    }
}

/// One decoded part.
#[derive(Debug)]
struct Part {
    base: Version,
    version: Version,
    index: u64,
    parts: u64,
    removed: Vec<IpNet>,
    set: Vec<BlockEntry>,
}

impl Part {
    fn decode(bytes: &[u8]) -> Result<Part, DecodeError> {
        let mut reader = check_sealed(bytes, MAGIC, MAX_CHUNK_BYTES)?;
        let base = Version(reader.number()?);
        let version = Version(reader.number()?);
        let index = reader.number()?;
        let parts = reader.number()?;
        let removed_len = reader.number()?;
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

fn encode_records(changes: &[Change], removals: bool) -> Vec<u8> {
    let mut records = RecordWriter::default();
    for group in changes.chunk_by(|a, b| a.0 == b.0) {
        let mut writer = EntryWriter::new(group[0].0.width());
        for (_, local, removed) in group {
            if *removed == removals {
                writer.push(local);
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
        let (slot, locals) = record?;
        entries.extend(locals.iter().map(|local| BlockEntry {
            prefix: prefix_of(slot, local),
            site: SiteId(local.site),
        }));
    }
    Ok(entries)
}
