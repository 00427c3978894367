//! Error types. Each wraps a private kind and has methods that distinguish the cases.

use ipnet::IpNet;

use crate::table::Version;

/// The error for a list of entries that cannot form a table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct BuildError(BuildErrorKind);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BuildErrorKind {
    #[error("entry {index}: {prefix} has bits set after its prefix length")]
    HostBits { index: usize, prefix: IpNet },
    #[error("entry {index}: {prefix} maps to the reserved site 65535")]
    ReservedSite { index: usize, prefix: IpNet },
    #[error("{prefix} appears more than once")]
    Duplicate { prefix: IpNet },
}

impl BuildError {
    /// Returns the prefix of the invalid entry.
    pub fn prefix(&self) -> IpNet {
        match self.0 {
            BuildErrorKind::HostBits { prefix, .. }
            | BuildErrorKind::ReservedSite { prefix, .. }
            | BuildErrorKind::Duplicate { prefix } => prefix,
        }
    }

    /// Reports whether the prefix appears more than once in the list.
    pub fn is_duplicate(&self) -> bool {
        matches!(self.0, BuildErrorKind::Duplicate { .. })
    }
}

impl From<BuildErrorKind> for BuildError {
    fn from(kind: BuildErrorKind) -> BuildError {
        BuildError(kind)
    }
}

/// The error for a delta, or a newer table, that cannot replace the current table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct DeltaError(DeltaErrorKind);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DeltaErrorKind {
    #[error("the delta applies to version {base}, but the table has version {table}")]
    BaseMismatch { base: Version, table: Version },
    #[error("version {new} is not newer than version {base}")]
    NotNewer { base: Version, new: Version },
    #[error("the delta removes {prefix}, which is not in the table")]
    NotInTable { prefix: IpNet },
    #[error("invalid entry in the delta: {0}")]
    InvalidEntry(#[source] BuildError),
}

impl DeltaError {
    /// Reports whether the delta applies to another version than that of the table.
    pub fn is_base_mismatch(&self) -> bool {
        matches!(self.0, DeltaErrorKind::BaseMismatch { .. })
    }

    /// Reports whether the new version is not higher than the current one.
    pub fn is_not_newer(&self) -> bool {
        matches!(self.0, DeltaErrorKind::NotNewer { .. })
    }

    /// Returns the prefix of the invalid entry, or `None` if the versions do not fit.
    pub fn prefix(&self) -> Option<IpNet> {
        match &self.0 {
            DeltaErrorKind::NotInTable { prefix } => Some(*prefix),
            DeltaErrorKind::InvalidEntry(err) => Some(err.prefix()),
            DeltaErrorKind::BaseMismatch { .. } | DeltaErrorKind::NotNewer { .. } => None,
        }
    }
}

impl From<DeltaErrorKind> for DeltaError {
    fn from(kind: DeltaErrorKind) -> DeltaError {
        DeltaError(kind)
    }
}

/// The error for bytes that are not a valid chunk, manifest or delta.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(DecodeErrorKind);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DecodeErrorKind {
    #[error("the input ends in the middle of a value")]
    Truncated,
    #[error("a varint does not fit its type")]
    VarintOverflow,
    #[error("prefix length {len} exceeds the {width} bits of its page")]
    PrefixTooLong { len: u8, width: u8 },
    #[error("an entry maps to the reserved site 65535")]
    ReservedSite,
    #[error("an entry is outside the address range of its page")]
    OutsidePage,
    #[error("entries or pages are not in ascending order")]
    NotAscending,
    #[error("{len} bytes exceed the limit of {limit} bytes")]
    TooLong { len: usize, limit: usize },
    #[error("the digest does not match the content")]
    DigestMismatch,
    #[error("the input does not start with {expected:?}")]
    WrongMagic { expected: &'static str },
    #[error("the pages of a chunk are outside the span in the manifest")]
    OutsideSpan,
    #[error("the chunk spans of a manifest do not cover the address space in order")]
    SpanCoverage,
    #[error("{0}")]
    WrongParts(&'static str),
    #[error("expected {expected} entries, found {found}")]
    EntryCount { expected: u64, found: u64 },
}

impl DecodeError {
    /// Reports whether the input does not match its digest.
    pub fn is_digest_mismatch(&self) -> bool {
        matches!(self.0, DecodeErrorKind::DigestMismatch)
    }

    /// Reports whether the input, or a chunk listed in a manifest, exceeds the length limit.
    pub fn is_too_long(&self) -> bool {
        matches!(self.0, DecodeErrorKind::TooLong { .. })
    }
}

impl From<DecodeErrorKind> for DecodeError {
    fn from(kind: DecodeErrorKind) -> DecodeError {
        DecodeError(kind)
    }
}
