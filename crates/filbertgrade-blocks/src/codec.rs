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
    low: u128,
    /// The last two distinct lengths, the last first.
    lens: [u8; 2],
    /// The last three distinct sites, the last first.
    sites: [u16; 3],
}

/// Site codes of the header: an index into [`Context::sites`], or this one.
const SITE_FOLLOWS: u128 = 3;
const SITE_CODES: u128 = 4;

/// Length codes of the header: an index into [`Context::lens`], or this one.
const LEN_FOLLOWS: u128 = 2;
const LEN_CODES: u128 = 3;

impl Context {
    fn new(width: u8) -> Context {
        // The commonest lengths, /24 for IPv4 and /56 and /48 for IPv6, come first.
        let lens = match width {
            16 => [8, 16],
            96 => [24, 16],
            _ => [8, 12],
        };
        Context {
            width,
            low: 0,
            lens,
            sites: [SiteId::RESERVED.0; 3],
        }
    }

    fn advance(&mut self, entry: &Local) {
        self.low = entry.low;
        move_to_front(&mut self.lens, entry.len);
        move_to_front(&mut self.sites, entry.site);
    }
}

/// Puts a value first and drops the last one if the value is new.
fn move_to_front<T: Copy + PartialEq>(recent: &mut [T], value: T) {
    let position = recent.iter().position(|&other| other == value);
    let end = position.unwrap_or(recent.len() - 1);
    recent[..=end].rotate_right(1);
    recent[0] = value;
}

/// Encodes ascending entries of one page.
///
/// An entry is a varint header `(step * 3 + length code) * 4 + site code`, then its length (one
/// byte) and its site (varint) where the codes say so. `step` counts blocks of the entry's own
/// length from the block that holds the first address of the entry before. Blocks of one area
/// alternate between few sites and lengths, so the codes refer to the recent ones.
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
        let Context {
            width,
            low,
            lens,
            sites,
        } = self.context;
        let shift = width - entry.len;
        let step = (entry.low >> shift) - (low >> shift);
        let len_code = lens.iter().position(|&len| len == entry.len);
        let site_code = sites.iter().position(|&site| site == entry.site);
        let len = len_code.map_or(LEN_FOLLOWS, |code| code as u128);
        let site = site_code.map_or(SITE_FOLLOWS, |code| code as u128);
        put_varint(&mut self.buf, (step * LEN_CODES + len) * SITE_CODES + site);
        if len_code.is_none() {
            self.buf.push(entry.len);
        }
        if site_code.is_none() {
            put_varint(&mut self.buf, u128::from(entry.site));
        }
        self.context.advance(entry);
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
    previous: Option<(u128, u8)>,
    reader: Reader<'a>,
}

impl<'a> EntryReader<'a> {
    pub(crate) fn new(width: u8, buf: &'a [u8]) -> EntryReader<'a> {
        EntryReader {
            context: Context::new(width),
            previous: None,
            reader: Reader::new(buf),
        }
    }

    fn read(&mut self) -> Result<Local, DecodeError> {
        let Context {
            width,
            low,
            lens,
            sites,
        } = self.context;
        let header = self.reader.varint()?;
        let len = match header / SITE_CODES % LEN_CODES {
            LEN_FOLLOWS => self.reader.byte()?,
            code => lens[code as usize],
        };
        if len > width {
            return Err(DecodeKind::PrefixLength { len, width }.into());
        }
        let site = match header % SITE_CODES {
            SITE_FOLLOWS => self.reader.number()?,
            code => sites[code as usize],
        };
        if site == SiteId::RESERVED.0 {
            return Err(DecodeKind::ReservedSite.into());
        }
        let shift = width - len;
        let index = (low >> shift) + header / (SITE_CODES * LEN_CODES);
        if index >> len != 0 {
            return Err(DecodeKind::OutsidePage.into());
        }
        let entry = Local {
            low: index << shift,
            len,
            site,
        };
        if self
            .previous
            .is_some_and(|previous| entry.key() <= previous)
        {
            return Err(DecodeKind::Order.into());
        }
        self.context.advance(&entry);
        self.previous = Some(entry.key());
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
