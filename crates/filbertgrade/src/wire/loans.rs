//! Conversions between the ledger's types and their messages.

use filbertgrade_coord::bucket::{RateShare, RateShareError};
use filbertgrade_coord::ledger::{
    self, LoanId, LoanRequest, LoanRequestId, LoanReturn, Renewal, RenewalReply,
};
use filbertgrade_coord::names::{NameError, TeamName};

use super::{Borrow, Id, Loan, LoanRenewed, RenewLoan, ReturnLoan};

/// Why a message about a loan was rejected.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LoanMessageError {
    /// The ask or the loan is not named.
    #[error("the message names no loan")]
    Unnamed,
    /// A name is malformed.
    #[error(transparent)]
    Name(#[from] NameError),
    /// A rate or burst is malformed.
    #[error(transparent)]
    Part(#[from] RateShareError),
}

impl From<(&TeamName, &LoanRequest)> for Borrow {
    fn from((team, ask): (&TeamName, &LoanRequest)) -> Self {
        Self {
            team: team.to_string(),
            ask: Some(Id {
                vm: ask.id.borrower.to_string(),
                incarnation: ask.id.incarnation,
                number: ask.id.number,
            }),
            rate: ask.share.rate(),
            burst: ask.share.burst(),
            tokens: ask.tokens,
        }
    }
}

impl TryFrom<Borrow> for (TeamName, LoanRequest) {
    type Error = LoanMessageError;

    fn try_from(borrow: Borrow) -> Result<Self, LoanMessageError> {
        let id = borrow.ask.ok_or(LoanMessageError::Unnamed)?;
        let ask = LoanRequest {
            id: LoanRequestId {
                borrower: id.vm.as_str().try_into()?,
                incarnation: id.incarnation,
                number: id.number,
            },
            share: RateShare::new(borrow.rate, borrow.burst)?,
            tokens: borrow.tokens,
        };
        Ok((borrow.team.as_str().try_into()?, ask))
    }
}

impl From<Option<ledger::Loan>> for Loan {
    fn from(parcel: Option<ledger::Loan>) -> Self {
        parcel.map_or_else(Self::default, |parcel| Self {
            loan: Some(parcel.id.into()),
            rate: parcel.share.rate(),
            burst: parcel.share.burst(),
            tokens: parcel.tokens,
        })
    }
}

impl Loan {
    /// The parcel that answers `ask`; `None` when nothing was lent.
    pub(crate) fn into_parcel(
        self,
        ask: &LoanRequest,
    ) -> Result<Option<ledger::Loan>, LoanMessageError> {
        let Some(loan) = self.loan else {
            return Ok(None);
        };
        Ok(Some(ledger::Loan {
            id: loan.try_into()?,
            request: ask.id.clone(),
            share: RateShare::new(self.rate, self.burst)?,
            tokens: self.tokens,
        }))
    }
}

impl From<(&TeamName, &Renewal)> for RenewLoan {
    fn from((team, renewal): (&TeamName, &Renewal)) -> Self {
        Self {
            team: team.to_string(),
            loan: Some(renewal.loan.clone().into()),
            number: renewal.number,
        }
    }
}

impl TryFrom<RenewLoan> for (TeamName, Renewal) {
    type Error = LoanMessageError;

    fn try_from(message: RenewLoan) -> Result<Self, LoanMessageError> {
        let loan = message.loan.ok_or(LoanMessageError::Unnamed)?.try_into()?;
        let renewal = Renewal {
            loan,
            number: message.number,
        };
        Ok((message.team.as_str().try_into()?, renewal))
    }
}

impl From<RenewalReply> for LoanRenewed {
    fn from(renewed: RenewalReply) -> Self {
        Self {
            extended: renewed == RenewalReply::Extended,
        }
    }
}

impl From<LoanRenewed> for RenewalReply {
    fn from(message: LoanRenewed) -> Self {
        if message.extended {
            Self::Extended
        } else {
            Self::Declined
        }
    }
}

impl From<(&TeamName, LoanReturn)> for ReturnLoan {
    fn from((team, returned): (&TeamName, LoanReturn)) -> Self {
        Self {
            team: team.to_string(),
            loan: Some(returned.loan.into()),
            tokens: returned.tokens,
        }
    }
}

impl TryFrom<ReturnLoan> for (TeamName, LoanReturn) {
    type Error = LoanMessageError;

    fn try_from(message: ReturnLoan) -> Result<Self, LoanMessageError> {
        let loan = message.loan.ok_or(LoanMessageError::Unnamed)?.try_into()?;
        let returned = LoanReturn {
            loan,
            tokens: message.tokens,
        };
        Ok((message.team.as_str().try_into()?, returned))
    }
}

impl From<LoanId> for Id {
    fn from(loan: LoanId) -> Self {
        Self {
            vm: loan.lender.to_string(),
            incarnation: loan.incarnation,
            number: loan.number,
        }
    }
}

impl TryFrom<Id> for LoanId {
    type Error = NameError;

    fn try_from(id: Id) -> Result<Self, NameError> {
        Ok(Self {
            lender: id.vm.as_str().try_into()?,
            incarnation: id.incarnation,
            number: id.number,
        })
    }
}
