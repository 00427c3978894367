//! Errors. Each is opaque around a private kind, with methods that tell the cases apart.

use ipnet::IpNet;

use crate::table::Version;

/// A list of entries that makes no valid table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct BuildError(BuildKind);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BuildKind {
    #[error("entry {index}: {prefix} has bits set after its prefix length")]
    HostBits { index: usize, prefix: IpNet },
    #[error("entry {index}: {prefix} maps to the reserved site 65535")]
    ReservedSite { index: usize, prefix: IpNet },
    #[error("{prefix} appears more than once")]
    Repeated { prefix: IpNet },
}

impl BuildError {
    /// Returns the prefix of the offending entry.
    pub fn prefix(&self) -> IpNet {
        match self.0 {
            BuildKind::HostBits { prefix, .. }
            | BuildKind::ReservedSite { prefix, .. }
            | BuildKind::Repeated { prefix } => prefix,
        }
    }

    /// Reports whether a prefix appears twice.
    pub fn is_repeated(&self) -> bool {
        matches!(self.0, BuildKind::Repeated { .. })
    }
}

impl From<BuildKind> for BuildError {
    fn from(kind: BuildKind) -> BuildError {
        BuildError(kind)
    }
}

/// A delta that does not apply to a table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct DeltaError(DeltaKind);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DeltaKind {
    #[error("the delta starts from version {base}, the table has version {table}")]
    Base { base: Version, table: Version },
    #[error("version {new} is not newer than version {base}")]
    Backward { base: Version, new: Version },
    #[error("the delta removes {prefix}, which the table does not hold")]
    Missing { prefix: IpNet },
    #[error("in the delta: {0}")]
    Entry(#[source] BuildError),
}

impl DeltaError {
    /// Reports whether the delta starts from another version than the table's.
    pub fn is_base_mismatch(&self) -> bool {
        matches!(self.0, DeltaKind::Base { .. })
    }

    /// Reports whether the new version is not newer than the present one.
    pub fn is_backward(&self) -> bool {
        matches!(self.0, DeltaKind::Backward { .. })
    }

    /// Returns the prefix of the offending entry, if one entry is at fault.
    pub fn prefix(&self) -> Option<IpNet> {
        match &self.0 {
            DeltaKind::Missing { prefix } => Some(*prefix),
            DeltaKind::Entry(err) => Some(err.prefix()),
            DeltaKind::Base { .. } | DeltaKind::Backward { .. } => None,
        }
    }
}

impl From<DeltaKind> for DeltaError {
    fn from(kind: DeltaKind) -> DeltaError {
        DeltaError(kind)
    }
}

/// Bytes that are no valid chunk, manifest or delta.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(DecodeKind);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DecodeKind {
    #[error("the input ends within a value")]
    Truncated,
    #[error("a varint is longer than its type")]
    Varint,
    #[error("prefix length {len} exceeds the {width} bits of its page")]
    PrefixLength { len: u8, width: u8 },
    #[error("an entry maps to the reserved site 65535")]
    ReservedSite,
    #[error("an entry lies outside its page")]
    OutsidePage,
    #[error("entries or pages are not in ascending order")]
    Order,
    #[error("{len} bytes exceed the limit of {limit} bytes")]
    TooLong { len: usize, limit: usize },
    #[error("the digest does not match the content")]
    Digest,
    #[error("the input does not start with {expected:?}")]
    Magic { expected: &'static str },
    #[error("the pages of a chunk lie outside the span that the manifest gives")]
    Span,
    #[error("the chunk spans of a manifest do not cover the address space in order")]
    Coverage,
    #[error("{0}")]
    Parts(&'static str),
    #[error("expected {expected} entries, found {found}")]
    Count { expected: u64, found: u64 },
}

impl DecodeError {
    /// Reports whether the content does not match its digest.
    pub fn is_digest_mismatch(&self) -> bool {
        matches!(self.0, DecodeKind::Digest)
    }

    /// Reports whether the input was refused for its length.
    pub fn is_too_long(&self) -> bool {
        matches!(self.0, DecodeKind::TooLong { .. })
    }
}

impl From<DecodeKind> for DecodeError {
    fn from(kind: DecodeKind) -> DecodeError {
        DecodeError(kind)
    }
}
