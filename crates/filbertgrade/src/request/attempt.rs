//! States of one attempt to run a request on a backend server.
//!
//! The state determines whether the backend server may have run the request,
//! and so whether it may be sent again.

use std::fmt::Debug;

/// Progress of an attempt, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// No byte of the request left this VM.
    NotSent,
    /// At least one byte of the request left this VM.
    HeadersSent,
    /// The whole request was passed to the connection, and at least one byte
    /// of it left this VM.
    BodySent,
    /// The headers of the response arrived.
    AnswerBegun,
}

/// What was sent on the connection since the attempt started.
pub trait Evidence: Debug {
    /// At least one byte of the request left this VM.
    fn has_byte_left(&self) -> bool;

    /// The whole request body was passed to the connection.
    fn is_body_done(&self) -> bool;
}

/// Type state for [`AttemptState::NotSent`].
#[derive(Debug)]
pub struct NotSent(());

/// Type state for [`AttemptState::HeadersSent`].
#[derive(Debug)]
pub struct HeadersSent(());

/// Type state for [`AttemptState::BodySent`].
#[derive(Debug)]
pub struct BodySent(());

/// Type state for [`AttemptState::AnswerBegun`].
#[derive(Debug)]
pub struct AnswerBegun(());

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
    /// See [`AttemptState::HeadersSent`].
    HeadersSent(Attempt<HeadersSent>),
    /// See [`AttemptState::BodySent`].
    BodySent(Attempt<BodySent>),
}

impl Attempt<NotSent> {
    /// Creates an attempt of which nothing has been sent.
    #[must_use]
    pub fn begin() -> Self {
        Self {
            _state: NotSent(()),
        }
    }

    /// Advances the attempt to the state that `evidence` shows.
    ///
    /// A result of [`Observed::NotSent`] is final only once the connection is
    /// closed, because until then further bytes may leave.
    #[must_use]
    pub fn observe(self, evidence: &impl Evidence) -> Observed {
        if evidence.has_byte_left() {
            Attempt {
                _state: HeadersSent(()),
            }
            .observe(evidence)
        } else {
            Observed::NotSent(self)
        }
    }
}

impl Attempt<HeadersSent> {
    /// Advances the attempt if the whole body was sent as well.
    #[must_use]
    pub fn observe(self, evidence: &impl Evidence) -> Observed {
        if evidence.is_body_done() {
            Observed::BodySent(Attempt {
                _state: BodySent(()),
            })
        } else {
            Observed::HeadersSent(self)
        }
    }

    /// Records that the response headers arrived before the whole body was
    /// sent.
    #[must_use]
    pub fn answer_begun(self) -> Attempt<AnswerBegun> {
        Attempt {
            _state: AnswerBegun(()),
        }
    }
}

impl Attempt<BodySent> {
    /// Records that the response headers arrived.
    #[must_use]
    pub fn answer_begun(self) -> Attempt<AnswerBegun> {
        Attempt {
            _state: AnswerBegun(()),
        }
    }
}

impl Attempt<AnswerBegun> {
    /// Returns the type state as a value.
    #[must_use]
    pub fn state(&self) -> AttemptState {
        AttemptState::AnswerBegun
    }
}

impl Observed {
    /// Returns the type state as a value.
    #[must_use]
    pub fn state(&self) -> AttemptState {
        match self {
            Self::NotSent(_) => AttemptState::NotSent,
            Self::HeadersSent(_) => AttemptState::HeadersSent,
            Self::BodySent(_) => AttemptState::BodySent,
        }
    }

    /// Records that the response headers arrived.
    ///
    /// # Errors
    ///
    /// Returns the attempt unchanged when no byte of the request had left,
    /// because what arrived then is not a response to this request.
    pub fn answer_begun(self) -> Result<Attempt<AnswerBegun>, Attempt<NotSent>> {
        match self {
            Self::NotSent(attempt) => Err(attempt),
            Self::HeadersSent(attempt) => Ok(attempt.answer_begun()),
            Self::BodySent(attempt) => Ok(attempt.answer_begun()),
        }
    }
}
