//! Interface to the platform's object store: the [`Platform`] trait, its client
//! over HTTP and its errors.

mod era;
mod http;

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

pub use http::HttpPlatform;

/// Position in the history of the store. Every write increases it.
///
/// A store that is restored from a copy gives out the numbers of later changes
/// again, and its era rises. The highest 16 bits are the era and the others the
/// store's number, so that revisions are ordered over restores.
pub type Revision = u64;

/// Prefixes of the names of the objects that every agent holds.
///
/// `attempts/` is not among them: its objects are numerous and short-lived, and
/// only entries that handle a request with the same key read them.
pub const WATCHED_PREFIXES: [&str; 6] = [
    "config/",
    "drains/",
    "keys/",
    "shares/",
    "steering/",
    "vms/",
];

/// An object store with revisions, conditional writes and watches.
///
/// Each call counts towards the limit on calls that the platform sets. A watch
/// is one call, however long it waits.
pub trait Platform: Debug + Send + Sync {
    /// Reads one object; `None` when it does not exist.
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Object>, PlatformError>>;

    /// Writes one object if `condition` holds, and returns its new revision.
    fn put<'a>(
        &'a self,
        name: &'a str,
        value: Bytes,
        condition: Condition,
    ) -> BoxFuture<'a, Result<Revision, PlatformError>>;

    /// Removes one object if it is still at `revision`, and returns the revision
    /// of the removal.
    fn delete<'a>(
        &'a self,
        name: &'a str,
        revision: Revision,
    ) -> BoxFuture<'a, Result<Revision, PlatformError>>;

    /// Reads all objects whose names start with one of `prefixes`.
    fn list<'a>(&'a self, prefixes: &'a [&'a str])
    -> BoxFuture<'a, Result<Changes, PlatformError>>;

    /// Waits up to `wait` for changes after revision `after`. The result has no
    /// objects when nothing changed.
    fn watch<'a>(
        &'a self,
        prefixes: &'a [&'a str],
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, PlatformError>>;
}

/// One object of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Name, for example `config/root`.
    pub name: String,
    /// Revision of the last change to this object.
    pub revision: Revision,
    /// Content; `None` when the object was removed.
    pub value: Option<Bytes>,
}

/// Result of a list or a watch: objects as of one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Revision of the store that the result is for.
    pub revision: Revision,
    /// Changed objects, or all objects in the result of a list.
    pub objects: Vec<Object>,
}

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object exists and is at this revision.
    At(Revision),
    /// No condition.
    Always,
}

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
#[error("platform call for {name:?}: {kind}")]
pub struct PlatformError {
    name: String,
    kind: PlatformErrorKind,
}

#[derive(Debug, thiserror::Error)]
enum PlatformErrorKind {
    #[error("conflict, the object is at revision {0:?}")]
    Conflict(Option<Revision>),
    #[error("the store no longer has the changes after the given revision")]
    HistoryGone,
    #[error("not sent: {0}")]
    NotSent(String),
    #[error("no response, the call may have taken effect: {0}")]
    NoResponse(String),
    #[error("refused with status {0}")]
    Refused(u16),
    #[error("unusable response: {0}")]
    MalformedResponse(String),
    #[error("the response is longer than {0} bytes")]
    TooLong(usize),
    #[error("the value is not UTF-8, which lists and watches cannot represent")]
    NotUtf8,
}

impl PlatformError {
    pub(crate) fn conflict(name: &str, current: Option<Revision>) -> Self {
        Self::new(name, PlatformErrorKind::Conflict(current))
    }

    pub(crate) fn history_gone(name: &str) -> Self {
        Self::new(name, PlatformErrorKind::HistoryGone)
    }

    pub(crate) fn not_sent(name: &str, cause: &dyn std::fmt::Display) -> Self {
        Self::new(name, PlatformErrorKind::NotSent(cause.to_string()))
    }

    pub(crate) fn no_response(name: &str, cause: &dyn std::fmt::Display) -> Self {
        Self::new(name, PlatformErrorKind::NoResponse(cause.to_string()))
    }

    pub(crate) fn refused(name: &str, status: u16) -> Self {
        Self::new(name, PlatformErrorKind::Refused(status))
    }

    pub(crate) fn malformed_response(name: &str, cause: &dyn std::fmt::Display) -> Self {
        Self::new(
            name,
            PlatformErrorKind::MalformedResponse(cause.to_string()),
        )
    }

    pub(crate) fn too_long(name: &str, limit: usize) -> Self {
        Self::new(name, PlatformErrorKind::TooLong(limit))
    }

    pub(crate) fn not_utf8(name: &str) -> Self {
        Self::new(name, PlatformErrorKind::NotUtf8)
    }

    fn new(name: &str, kind: PlatformErrorKind) -> Self {
        Self {
            name: name.to_owned(),
            kind,
        }
    }

    /// Reports whether the condition of a write did not hold, so that the write
    /// took no effect.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        matches!(self.kind, PlatformErrorKind::Conflict(_))
    }

    /// Reports whether the store has dropped the history that a watch needs. The
    /// caller must list the objects instead.
    #[must_use]
    pub fn is_history_gone(&self) -> bool {
        matches!(self.kind, PlatformErrorKind::HistoryGone)
    }

    /// Reports whether a write may have taken effect although it was not
    /// confirmed.
    #[must_use]
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(
            self.kind,
            PlatformErrorKind::NoResponse(_)
                | PlatformErrorKind::MalformedResponse(_)
                | PlatformErrorKind::TooLong(_)
                | PlatformErrorKind::Refused(500..)
        )
    }

    /// Reports whether a value is not UTF-8. A write of it was not sent; a read of
    /// it is rejected.
    #[must_use]
    pub fn is_not_utf8(&self) -> bool {
        matches!(self.kind, PlatformErrorKind::NotUtf8)
    }

    /// Reports whether a response exceeded the maximum length for its kind of
    /// call.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        matches!(self.kind, PlatformErrorKind::TooLong(_))
    }

    /// Revision of the object that caused a conflict; `None` when the object does
    /// not exist or the error is not a conflict.
    #[must_use]
    pub fn current_revision(&self) -> Option<Revision> {
        match self.kind {
            PlatformErrorKind::Conflict(current) => current,
            _ => None,
        }
    }
}
