//! States of one attempt to have a backend server run a request.

use std::fmt::Debug;

/// How far an attempt got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// No byte of the request left this VM.
    NotSent,
    /// At least one byte of the request left this VM.
    HeadersSent,
    /// The whole request was handed to the connection, and bytes left.
    BodySent,
    /// The headers of the answer arrived.
    AnswerBegun,
}

/// What happened on the socket since the attempt began.
pub trait Evidence: Debug {
    /// At least one byte of the request left this VM.
    fn has_byte_left(&self) -> bool;

    /// The end of the request's body was handed to the connection.
    fn is_body_done(&self) -> bool;
}

/// No byte of the request left this VM.
#[derive(Debug)]
pub struct NotSent(());

/// At least one byte of the request left this VM.
#[derive(Debug)]
pub struct HeadersSent(());

/// The whole request was handed to the connection.
#[derive(Debug)]
pub struct BodySent(());

/// The headers of the answer arrived.
#[derive(Debug)]
pub struct AnswerBegun(());

/// One attempt in state `S`. It only moves forward, and only on evidence.
#[derive(Debug)]
pub struct Attempt<S> {
    _state: S,
}

/// The state that an attempt turned out to be in.
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
    /// Begins an attempt.
    #[must_use]
    pub fn begin() -> Self {
        Self {
            _state: NotSent(()),
        }
    }

    /// Looks at what happened on the socket. The result holds only once no
    /// further byte can leave, that is, when the connection is closed.
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
    /// Looks at whether the body is sent as well.
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

    /// The backend server answered before it read the whole body.
    #[must_use]
    pub fn answer_begun(self) -> Attempt<AnswerBegun> {
        Attempt {
            _state: AnswerBegun(()),
        }
    }
}

impl Attempt<BodySent> {
    /// The headers of the answer arrived.
    #[must_use]
    pub fn answer_begun(self) -> Attempt<AnswerBegun> {
        Attempt {
            _state: AnswerBegun(()),
        }
    }
}

impl Attempt<AnswerBegun> {
    /// The state as a value.
    #[must_use]
    pub fn state(&self) -> AttemptState {
        AttemptState::AnswerBegun
    }
}

impl Observed {
    /// The state as a value.
    #[must_use]
    pub fn state(&self) -> AttemptState {
        match self {
            Self::NotSent(_) => AttemptState::NotSent,
            Self::HeadersSent(_) => AttemptState::HeadersSent,
            Self::BodySent(_) => AttemptState::BodySent,
        }
    }

    /// Moves on when the headers of an answer arrived.
    ///
    /// # Errors
    ///
    /// What arrived is no answer to this request when no byte of it left.
    pub fn answer_begun(self) -> Result<Attempt<AnswerBegun>, Attempt<NotSent>> {
        match self {
            Self::NotSent(attempt) => Err(attempt),
            Self::HeadersSent(attempt) => Ok(attempt.answer_begun()),
            Self::BodySent(attempt) => Ok(attempt.answer_begun()),
        }
    }
}
