//! States of one attempt to run a request on a backend server.
//!
//! The state determines whether the backend server may have run the request,
//! and so whether it may be sent again.

use std::fmt::Debug;

/// Progress of an attempt, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// No byte of the request was sent.
    NotSent,
    /// At least one byte of the request was sent.
    PartlySent,
    /// The whole request was passed to the connection, and at least one byte
    /// of it was sent.
    FullySent,
    /// The headers of the response arrived.
    ResponseStarted,
}

/// What was sent on the connection since the attempt started.
pub trait SendProgress: Debug {
    /// At least one byte of the request was sent.
    fn has_sent_bytes(&self) -> bool;

    /// The whole request body was passed to the connection.
    fn has_sent_body(&self) -> bool;
}

/// Type state for [`AttemptState::NotSent`].
#[derive(Debug)]
pub struct NotSent(());

/// Type state for [`AttemptState::PartlySent`].
#[derive(Debug)]
pub struct PartlySent(());

/// Type state for [`AttemptState::FullySent`].
#[derive(Debug)]
pub struct FullySent(());

/// Type state for [`AttemptState::ResponseStarted`].
#[derive(Debug)]
pub struct ResponseStarted(());

/// One attempt in state `S`. It only moves to later states, and only when the
/// recorded progress shows that the later state was reached.
#[derive(Debug)]
pub struct Attempt<S> {
    _state: S,
}

/// An attempt after its progress was read, one variant per state.
#[derive(Debug)]
pub enum Observed {
    /// See [`AttemptState::NotSent`].
    NotSent(Attempt<NotSent>),
    /// See [`AttemptState::PartlySent`].
    PartlySent(Attempt<PartlySent>),
    /// See [`AttemptState::FullySent`].
    FullySent(Attempt<FullySent>),
}

impl Attempt<NotSent> {
    /// Starts an attempt, of which nothing has been sent yet.
    #[must_use]
    pub fn start() -> Self {
        Self {
            _state: NotSent(()),
        }
    }

    /// Advances the attempt to the state that `progress` shows.
    ///
    /// A result of [`Observed::NotSent`] is final only once the connection is
    /// closed, because until then further bytes may be sent.
    #[must_use]
    pub fn observe(self, progress: &impl SendProgress) -> Observed {
        if progress.has_sent_bytes() {
            Attempt {
                _state: PartlySent(()),
            }
            .observe(progress)
        } else {
            Observed::NotSent(self)
        }
    }
}

impl Attempt<PartlySent> {
    /// Advances the attempt if the whole body was sent as well.
    #[must_use]
    pub fn observe(self, progress: &impl SendProgress) -> Observed {
        if progress.has_sent_body() {
            Observed::FullySent(Attempt {
                _state: FullySent(()),
            })
        } else {
            Observed::PartlySent(self)
        }
    }

    /// Records that the response headers arrived before the whole body was
    /// sent.
    #[must_use]
    pub fn response_started(self) -> Attempt<ResponseStarted> {
        Attempt {
            _state: ResponseStarted(()),
        }
    }
}

impl Attempt<FullySent> {
    /// Records that the response headers arrived.
    #[must_use]
    pub fn response_started(self) -> Attempt<ResponseStarted> {
        Attempt {
            _state: ResponseStarted(()),
        }
    }
}

impl Attempt<ResponseStarted> {
    /// Returns the type state as a value.
    #[must_use]
    pub fn state(&self) -> AttemptState {
        AttemptState::ResponseStarted
    }
}

impl Observed {
    /// Returns the type state as a value.
    #[must_use]
    pub fn state(&self) -> AttemptState {
        match self {
            Self::NotSent(_) => AttemptState::NotSent,
            Self::PartlySent(_) => AttemptState::PartlySent,
            Self::FullySent(_) => AttemptState::FullySent,
        }
    }

    /// Records that the response headers arrived.
    ///
    /// # Errors
    ///
    /// Returns the attempt unchanged when no byte of the request was sent,
    /// because what arrived then is not a response to this request.
    pub fn response_started(self) -> Result<Attempt<ResponseStarted>, Attempt<NotSent>> {
        match self {
            Self::NotSent(attempt) => Err(attempt),
            Self::PartlySent(attempt) => Ok(attempt.response_started()),
            Self::FullySent(attempt) => Ok(attempt.response_started()),
        }
    }
}
