//! What the system needs of the platform's object API.

mod http;

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

pub use http::HttpPlatform;

/// A position in the history of the store. It only grows.
pub type Revision = u64;

/// Name prefixes whose objects every agent holds.
///
/// `attempts/` is left out: its objects are many, short-lived and read only by
/// the entry that wrote them or met them.
pub const WATCHED_PREFIXES: [&str; 6] = [
    "config/",
    "drains/",
    "keys/",
    "shares/",
    "steering/",
    "vms/",
];

/// An object API with versions, conditional updates and watches.
///
/// Each call counts against the platform's budget; a waiting watch counts as
/// one call.
pub trait Platform: Debug + Send + Sync {
    /// Reads one object.
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Object>, PlatformError>>;

    /// Writes one object if `condition` holds, and returns its new revision.
    fn put<'a>(
        &'a self,
        name: &'a str,
        value: Bytes,
        condition: Condition,
    ) -> BoxFuture<'a, Result<Revision, PlatformError>>;

    /// Removes one object if it is still at `revision`, and returns the
    /// revision of the removal.
    fn delete<'a>(
        &'a self,
        name: &'a str,
        revision: Revision,
    ) -> BoxFuture<'a, Result<Revision, PlatformError>>;

    /// Reads all objects whose names start with one of `prefixes`.
    fn list<'a>(&'a self, prefixes: &'a [&'a str])
    -> BoxFuture<'a, Result<Changes, PlatformError>>;

    /// Waits for changes after revision `after`, at most for `wait`. The
    /// result is empty when nothing changed.
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
    /// Name.
    pub name: String,
    /// Revision of the last change to this object.
    pub revision: Revision,
    /// Content; `None` when the object was removed.
    pub value: Option<Bytes>,
}

/// Objects as of one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Revision of the store.
    pub revision: Revision,
    /// Changed objects.
    pub objects: Vec<Object>,
}

/// When a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object is at this revision.
    At(Revision),
    /// Always.
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
    #[error("the store no longer keeps changes that old")]
    HistoryGone,
    #[error("not sent: {0}")]
    NotSent(String),
    #[error("no answer, the call may have taken effect: {0}")]
    NoAnswer(String),
    #[error("refused with status {0}")]
    Refused(u16),
    #[error("answer not understood: {0}")]
    BadAnswer(String),
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
    #[error("the value is not UTF-8, which lists and watches cannot carry")]
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
        Self::new(name, PlatformErrorKind::NoAnswer(cause.to_string()))
    }

    pub(crate) fn refused(name: &str, status: u16) -> Self {
        Self::new(name, PlatformErrorKind::Refused(status))
    }

    pub(crate) fn malformed_response(name: &str, cause: &dyn std::fmt::Display) -> Self {
        Self::new(name, PlatformErrorKind::BadAnswer(cause.to_string()))
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

    /// The condition of a write did not hold, so it took no effect.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        matches!(self.kind, PlatformErrorKind::Conflict(_))
    }

    /// The store dropped the history that a watch asked for; list instead.
    #[must_use]
    pub fn is_history_gone(&self) -> bool {
        matches!(self.kind, PlatformErrorKind::HistoryGone)
    }

    /// A write may have taken effect although no answer arrived.
    #[must_use]
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(
            self.kind,
            PlatformErrorKind::NoAnswer(_)
                | PlatformErrorKind::BadAnswer(_)
                | PlatformErrorKind::TooLong(_)
                | PlatformErrorKind::Refused(500..)
        )
    }

    /// A value is not UTF-8: one to be written was not sent, one that was read
    /// is refused.
    #[must_use]
    pub fn is_not_utf8(&self) -> bool {
        matches!(self.kind, PlatformErrorKind::NotUtf8)
    }

    /// An answer was longer than any that the platform may give.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        matches!(self.kind, PlatformErrorKind::TooLong(_))
    }

    /// The revision that a conflicting object is at; `None` without a conflict
    /// and when the object does not exist.
    #[must_use]
    pub fn current_revision(&self) -> Option<Revision> {
        match self.kind {
            PlatformErrorKind::Conflict(current) => current,
            _ => None,
        }
    }
}
