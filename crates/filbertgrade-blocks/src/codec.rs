//! The byte encoding: varints, entries as differences to the entry before, records of entries by
//! page, and digests.

use sha2::{Digest, Sha256};

use crate::entry::{PageEntry, PageKey, SiteId};
use crate::error::{DecodeError, DecodeErrorKind};

/// Maximum length of a varint: 128 bits in groups of 7.
const MAX_VARINT_BYTES: usize = 19;

/// Appends an unsigned LEB128 varint.
pub(crate) fn put_varint(buf: &mut Vec<u8>, mut value: u128) {
    while value >= 0x80 {
        buf.push(value as u8 | 0x80);
        value >>= 7;
    }
    buf.push(value as u8);
}

/// Reads values from a byte slice. Reading past the end is an error.
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

    /// Reads `len` bytes.
    pub(crate) fn bytes(&mut self, len: usize) -> Result<&'a [u8], DecodeError> {
        let (head, rest) = self
            .buf
            .split_at_checked(len)
            .ok_or(DecodeErrorKind::Truncated)?;
        self.buf = rest;
        Ok(head)
    }

    /// Reads all remaining bytes.
    pub(crate) fn rest(&mut self) -> &'a [u8] {
        std::mem::take(&mut self.buf)
    }

    pub(crate) fn byte(&mut self) -> Result<u8, DecodeError> {
        Ok(self.bytes(1)?[0])
    }

    /// Reads an unsigned LEB128 varint of up to 128 bits.
    pub(crate) fn varint(&mut self) -> Result<u128, DecodeError> {
        let mut value = 0u128;
        for index in 0..MAX_VARINT_BYTES {
            let byte = self.byte()?;
            let group = u128::from(byte & 0x7f);
            let shift = 7 * index as u32;
            if group << shift >> shift != group {
                return Err(DecodeErrorKind::VarintOverflow.into());
            }
            value |= group << shift;
            if byte < 0x80 {
                return Ok(value);
            }
        }
        Err(DecodeErrorKind::VarintOverflow.into())
    }

    /// Reads a varint and converts it to `T`. A value that does not fit is an error.
    pub(crate) fn varint_as<T: TryFrom<u128>>(&mut self) -> Result<T, DecodeError> {
        T::try_from(self.varint()?).map_err(|_| DecodeErrorKind::VarintOverflow.into())
    }
}

/// State that the encoding of the next entry depends on. The writer and the reader update it in the
/// same way after each entry.
#[derive(Clone, Copy, Debug)]
struct EntryContext {
    /// Address bits that the page distinguishes; see [`PageKey::width`].
    width: u8,
    /// Offset of the previous entry.
    offset: u128,
    /// The last two distinct prefix lengths, most recent first.
    recent_lens: [u8; 2],
    /// The last three distinct sites, most recent first.
    recent_sites: [u16; 3],
}

/// Site code of a header if the site follows it explicitly. Lower codes are indexes into
/// [`EntryContext::recent_sites`].
const EXPLICIT_SITE: u128 = 3;
/// Number of site codes.
const SITE_CODES: u128 = 4;

/// Length code of a header if the prefix length follows it explicitly. Lower codes are indexes into
/// [`EntryContext::recent_lens`].
const EXPLICIT_LEN: u128 = 2;
/// Number of length codes.
const LEN_CODES: u128 = 3;

impl EntryContext {
    fn new(width: u8) -> EntryContext {
        // Starts with the most common lengths, /24 for IPv4 and /56 and /48 for IPv6, less the bits
        // that the page key fixes.
        let recent_lens = match width {
            16 => [8, 16],
            96 => [24, 16],
            _ => [8, 12],
        };
        EntryContext {
            width,
            offset: 0,
            recent_lens,
            recent_sites: [SiteId::RESERVED.0; 3],
        }
    }

    /// Updates the context after `entry` was written or read.
    fn advance(&mut self, entry: &PageEntry) {
        self.offset = entry.offset;
        move_to_front(&mut self.recent_lens, entry.len);
        move_to_front(&mut self.recent_sites, entry.site);
    }
}

/// Moves a value to the front. If it is new, the last value is dropped.
fn move_to_front<T: Copy + PartialEq>(recent: &mut [T], value: T) {
    let position = recent.iter().position(|&other| other == value);
    let end = position.unwrap_or(recent.len() - 1);
    recent[..=end].rotate_right(1);
    recent[0] = value;
}

/// Encodes entries of one page, which must be in ascending order.
///
/// An entry is a varint header `(step * 3 + length code) * 4 + site code`, followed by its prefix
/// length (one byte) and its site (varint) if the codes are [`EXPLICIT_LEN`] and [`EXPLICIT_SITE`].
/// `step` is the distance from the previous entry in blocks of this entry's length: it is counted
/// from the block that holds the first address of the previous entry. Neighbouring blocks alternate
/// between few sites and lengths, so the other codes refer to the recent ones.
#[derive(Debug)]
pub(crate) struct EntryWriter {
    context: EntryContext,
    buf: Vec<u8>,
}

impl EntryWriter {
    pub(crate) fn new(width: u8) -> EntryWriter {
        EntryWriter {
            context: EntryContext::new(width),
            buf: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, entry: &PageEntry) {
        let EntryContext {
            width,
            offset,
            recent_lens,
            recent_sites,
        } = self.context;
        let shift = width - entry.len;
        let step = (entry.offset >> shift) - (offset >> shift);
        let len_code = recent_lens.iter().position(|&len| len == entry.len);
        let site_code = recent_sites.iter().position(|&site| site == entry.site);
        let len = len_code.map_or(EXPLICIT_LEN, |code| code as u128);
        let site = site_code.map_or(EXPLICIT_SITE, |code| code as u128);
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

/// Decodes the output of [`EntryWriter`], and checks the order of the entries and that they lie in
/// the page.
#[derive(Debug)]
pub(crate) struct EntryReader<'a> {
    context: EntryContext,
    /// Sort key of the previous entry.
    previous: Option<(u128, u8)>,
    reader: Reader<'a>,
}

impl<'a> EntryReader<'a> {
    pub(crate) fn new(width: u8, buf: &'a [u8]) -> EntryReader<'a> {
        EntryReader {
            context: EntryContext::new(width),
            previous: None,
            reader: Reader::new(buf),
        }
    }

    fn read(&mut self) -> Result<PageEntry, DecodeError> {
        let EntryContext {
            width,
            offset,
            recent_lens,
            recent_sites,
        } = self.context;
        let header = self.reader.varint()?;
        let len = match header / SITE_CODES % LEN_CODES {
            EXPLICIT_LEN => self.reader.byte()?,
            code => recent_lens[code as usize],
        };
        if len > width {
            return Err(DecodeErrorKind::PrefixTooLong { len, width }.into());
        }
        let site = match header % SITE_CODES {
            EXPLICIT_SITE => self.reader.varint_as()?,
            code => recent_sites[code as usize],
        };
        if site == SiteId::RESERVED.0 {
            return Err(DecodeErrorKind::ReservedSite.into());
        }
        let shift = width - len;
        let index = (offset >> shift) + header / (SITE_CODES * LEN_CODES);
        if index >> len != 0 {
            return Err(DecodeErrorKind::OutsidePage.into());
        }
        let entry = PageEntry {
            offset: index << shift,
            len,
            site,
        };
        if self
            .previous
            .is_some_and(|previous| entry.sort_key() <= previous)
        {
            return Err(DecodeErrorKind::NotAscending.into());
        }
        self.context.advance(&entry);
        self.previous = Some(entry.sort_key());
        Ok(entry)
    }
}

impl Iterator for EntryReader<'_> {
    type Item = Result<PageEntry, DecodeError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.reader.is_empty() {
            None
        } else {
            Some(self.read())
        }
    }
}

/// Encodes records. A record holds entries of one page; records are in ascending page order.
///
/// A record consists of the difference of its page ordinal to the previous one as a varint, the
/// length of the encoded entries in bytes as a varint, and the entries. The entries of a page may
/// continue in a record of another chunk.
#[derive(Debug, Default)]
pub(crate) struct RecordWriter {
    buf: Vec<u8>,
    /// Page ordinal of the previous record, or 0 before the first.
    previous: u64,
}

impl RecordWriter {
    pub(crate) fn push(&mut self, page_key: PageKey, entries: &[u8]) {
        let ordinal = page_key.ordinal();
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

/// Decodes the output of [`RecordWriter`], one record at a time.
#[derive(Debug)]
pub(crate) struct RecordReader<'a> {
    reader: Reader<'a>,
    /// Page ordinal of the previous record.
    previous: Option<u64>,
}

impl<'a> RecordReader<'a> {
    pub(crate) fn new(buf: &'a [u8]) -> RecordReader<'a> {
        RecordReader {
            reader: Reader::new(buf),
            previous: None,
        }
    }

    fn read(&mut self) -> Result<(PageKey, Vec<PageEntry>), DecodeError> {
        let step: u64 = self.reader.varint_as()?;
        if self.previous.is_some() && step == 0 {
            return Err(DecodeErrorKind::NotAscending.into());
        }
        let ordinal = self.previous.unwrap_or(0).checked_add(step);
        let page_key = ordinal
            .and_then(PageKey::from_ordinal)
            .ok_or(DecodeErrorKind::OutsideSpan)?;
        self.previous = ordinal;
        let len = self.reader.varint_as()?;
        let encoded = self.reader.bytes(len)?;
        let entries = EntryReader::new(page_key.width(), encoded).collect::<Result<_, _>>()?;
        Ok((page_key, entries))
    }
}

impl Iterator for RecordReader<'_> {
    type Item = Result<(PageKey, Vec<PageEntry>), DecodeError>;

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

/// Appends the SHA-256 digest of the whole buffer.
pub(crate) fn put_digest(buf: &mut Vec<u8>) {
    let digest = Sha256::digest(&buf);
    buf.extend_from_slice(&digest);
}

/// Checks the length limit, the trailing digest and the leading magic bytes, in this order. Returns
/// a reader of the bytes between magic and digest.
pub(crate) fn verify_envelope<'a>(
    bytes: &'a [u8],
    magic: &'static str,
    limit: usize,
) -> Result<Reader<'a>, DecodeError> {
    if bytes.len() > limit {
        return Err(DecodeErrorKind::TooLong {
            len: bytes.len(),
            limit,
        }
        .into());
    }
    let split = bytes
        .len()
        .checked_sub(DIGEST_BYTES)
        .ok_or(DecodeErrorKind::Truncated)?;
    let (content, digest) = bytes.split_at(split);
    if Sha256::digest(content).as_slice() != digest {
        return Err(DecodeErrorKind::DigestMismatch.into());
    }
    let body = content.strip_prefix(magic.as_bytes());
    Ok(Reader::new(
        body.ok_or(DecodeErrorKind::WrongMagic { expected: magic })?,
    ))
}
