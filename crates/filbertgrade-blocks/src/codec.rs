//! Varints, the delta encoding of entries, and records of entries by page.

use sha2::{Digest, Sha256};

use crate::entry::{Local, SiteId, Slot};
use crate::error::{DecodeError, DecodeKind};

/// Longest varint: 128 bits in groups of 7.
const MAX_VARINT_BYTES: usize = 19;

/// Appends an unsigned LEB128 varint.
pub(crate) fn put_varint(buf: &mut Vec<u8>, mut value: u128) {
    while value >= 0x80 {
        buf.push(value as u8 | 0x80);
        value >>= 7;
    }
    buf.push(value as u8);
}

/// Reads from a byte slice, with a typed error at its end.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    buf: &'a [u8],
}

impl<'a> Reader<'a> {
    pub(crate) fn new(buf: &'a [u8]) -> Reader<'a> {
        Reader { buf }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    pub(crate) fn bytes(&mut self, len: usize) -> Result<&'a [u8], DecodeError> {
        let (head, rest) = self
            .buf
            .split_at_checked(len)
            .ok_or(DecodeKind::Truncated)?;
        self.buf = rest;
        Ok(head)
    }

    pub(crate) fn rest(&mut self) -> &'a [u8] {
        std::mem::take(&mut self.buf)
    }

    pub(crate) fn byte(&mut self) -> Result<u8, DecodeError> {
        Ok(self.bytes(1)?[0])
    }

    pub(crate) fn varint(&mut self) -> Result<u128, DecodeError> {
        let mut value = 0u128;
        for index in 0..MAX_VARINT_BYTES {
            let byte = self.byte()?;
            let group = u128::from(byte & 0x7f);
            let shift = 7 * index as u32;
            if group << shift >> shift != group {
                return Err(DecodeKind::Varint.into());
            }
            value |= group << shift;
            if byte < 0x80 {
                return Ok(value);
            }
        }
        Err(DecodeKind::Varint.into())
    }

    /// Reads a varint that must fit the target type.
    pub(crate) fn number<T: TryFrom<u128>>(&mut self) -> Result<T, DecodeError> {
        T::try_from(self.varint()?).map_err(|_| DecodeKind::Varint.into())
    }
}

/// What the next entry is encoded against.
#[derive(Clone, Copy, Debug)]
struct Context {
    width: u8,
    previous: Local,
    first: bool,
}

impl Context {
    fn new(width: u8) -> Context {
        // The commonest lengths, /24 and /56, as the length before the first entry.
        let len = match width {
            16 => 8,
            96 => 24,
            _ => 0,
        };
        let previous = Local {
            low: 0,
            len,
            site: SiteId::RESERVED.0,
        };
        Context {
            width,
            previous,
            first: true,
        }
    }
}

/// Encodes ascending entries of one page.
///
/// An entry is a varint `step << 2 | same_len << 1 | same_site`, then its length (one byte) and
/// its site (varint) where they differ from the entry before. `step` counts blocks of the
/// entry's own length from the block that holds the first address of the entry before.
#[derive(Debug)]
pub(crate) struct EntryWriter {
    context: Context,
    buf: Vec<u8>,
}

impl EntryWriter {
    pub(crate) fn new(width: u8) -> EntryWriter {
        EntryWriter {
            context: Context::new(width),
            buf: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, entry: &Local) {
        let previous = self.context.previous;
        let shift = self.context.width - entry.len;
        let step = (entry.low >> shift) - (previous.low >> shift);
        let same_len = entry.len == previous.len;
        let same_site = entry.site == previous.site;
        put_varint(
            &mut self.buf,
            step << 2 | u128::from(same_len) << 1 | u128::from(same_site),
        );
        if !same_len {
            self.buf.push(entry.len);
        }
        if !same_site {
            put_varint(&mut self.buf, u128::from(entry.site));
        }
        self.context.previous = *entry;
    }

    pub(crate) fn len(&self) -> usize {
        self.buf.len()
    }

    pub(crate) fn finish(self) -> Vec<u8> {
        self.buf
    }
}

/// Decodes what [`EntryWriter`] wrote and checks order and bounds.
#[derive(Debug)]
pub(crate) struct EntryReader<'a> {
    context: Context,
    reader: Reader<'a>,
}

impl<'a> EntryReader<'a> {
    pub(crate) fn new(width: u8, buf: &'a [u8]) -> EntryReader<'a> {
        EntryReader {
            context: Context::new(width),
            reader: Reader::new(buf),
        }
    }

    fn read(&mut self) -> Result<Local, DecodeError> {
        let Context {
            width,
            previous,
            first,
        } = self.context;
        let header = self.reader.varint()?;
        let len = if header & 2 != 0 {
            previous.len
        } else {
            self.reader.byte()?
        };
        if len > width {
            return Err(DecodeKind::PrefixLength { len, width }.into());
        }
        let site = if header & 1 != 0 {
            previous.site
        } else {
            self.reader.number()?
        };
        if site == SiteId::RESERVED.0 {
            return Err(DecodeKind::ReservedSite.into());
        }
        let shift = width - len;
        let index = (previous.low >> shift) + (header >> 2);
        if index >> len != 0 {
            return Err(DecodeKind::OutsidePage.into());
        }
        let entry = Local {
            low: index << shift,
            len,
            site,
        };
        if !first && entry.key() <= previous.key() {
            return Err(DecodeKind::Order.into());
        }
        self.context = Context {
            width,
            previous: entry,
            first: false,
        };
        Ok(entry)
    }
}

impl Iterator for EntryReader<'_> {
    type Item = Result<Local, DecodeError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.reader.is_empty() {
            None
        } else {
            Some(self.read())
        }
    }
}

/// Appends records: the entries of pages in ascending slot order.
///
/// A record is the varint step from the ordinal of the slot before, the varint length of the
/// entries in bytes, and the entries. A page may continue in another chunk with the same slot.
#[derive(Debug, Default)]
pub(crate) struct RecordWriter {
    buf: Vec<u8>,
    previous: u64,
}

impl RecordWriter {
    pub(crate) fn push(&mut self, slot: Slot, entries: &[u8]) {
        let ordinal = slot.ordinal();
        put_varint(&mut self.buf, u128::from(ordinal - self.previous));
        put_varint(&mut self.buf, entries.len() as u128);
        self.buf.extend_from_slice(entries);
        self.previous = ordinal;
    }

    pub(crate) fn len(&self) -> usize {
        self.buf.len()
    }

    pub(crate) fn finish(self) -> Vec<u8> {
        self.buf
    }
}

/// Decodes what [`RecordWriter`] wrote, one record at a time.
#[derive(Debug)]
pub(crate) struct RecordReader<'a> {
    reader: Reader<'a>,
    previous: Option<u64>,
}

impl<'a> RecordReader<'a> {
    pub(crate) fn new(buf: &'a [u8]) -> RecordReader<'a> {
        RecordReader {
            reader: Reader::new(buf),
            previous: None,
        }
    }

    fn read(&mut self) -> Result<(Slot, Vec<Local>), DecodeError> {
        let step: u64 = self.reader.number()?;
        if self.previous.is_some() && step == 0 {
            return Err(DecodeKind::Order.into());
        }
        let ordinal = self.previous.unwrap_or(0).checked_add(step);
        let slot = ordinal
            .and_then(Slot::from_ordinal)
            .ok_or(DecodeKind::Span)?;
        self.previous = ordinal;
        let len = self.reader.number()?;
        let entries = self.reader.bytes(len)?;
        let locals = EntryReader::new(slot.width(), entries).collect::<Result<_, _>>()?;
        Ok((slot, locals))
    }
}

impl Iterator for RecordReader<'_> {
    type Item = Result<(Slot, Vec<Local>), DecodeError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.reader.is_empty() {
            None
        } else {
            Some(self.read())
        }
    }
}

/// Number of bytes in a SHA-256 digest.
pub(crate) const DIGEST_BYTES: usize = 32;

/// Appends the SHA-256 digest of everything before it.
pub(crate) fn put_digest(buf: &mut Vec<u8>) {
    let digest = Sha256::digest(&buf);
    buf.extend_from_slice(&digest);
}

/// Checks length, digest and magic, and returns what lies between magic and digest.
pub(crate) fn check_sealed<'a>(
    bytes: &'a [u8],
    magic: &'static str,
    limit: usize,
) -> Result<Reader<'a>, DecodeError> {
    if bytes.len() > limit {
        return Err(DecodeKind::TooLong {
            len: bytes.len(),
            limit,
        }
        .into());
    }
    let split = bytes
        .len()
        .checked_sub(DIGEST_BYTES)
        .ok_or(DecodeKind::Truncated)?;
    let (content, digest) = bytes.split_at(split);
    if Sha256::digest(content).as_slice() != digest {
        return Err(DecodeKind::Digest.into());
    }
    let body = content.strip_prefix(magic.as_bytes());
    Ok(Reader::new(
        body.ok_or(DecodeKind::Magic { expected: magic })?,
    ))
}
