//! Conversions between the ledger's types and the messages about loans.

use filbertgrade_coord::bucket::{RateShare, RateShareError};
use filbertgrade_coord::ledger::{
    Loan, LoanId, LoanRequest, LoanRequestId, LoanReturn, Renewal, RenewalReply,
};
use filbertgrade_coord::names::{NameError, TeamName};

use super::{LoanMessage, LoanRenewed, RenewLoan, RequestLoan, ReturnLoan, ScopedId};

/// Why a message about a loan was rejected.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LoanMessageError {
    /// The id of the loan or of the loan request is missing.
    #[error("the id of the loan or of the loan request is missing")]
    MissingId,
    /// A team or VM name is malformed.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The rate or burst is malformed.
    #[error(transparent)]
    Share(#[from] RateShareError),
}

impl From<(&TeamName, &LoanRequest)> for RequestLoan {
    fn from((team, request): (&TeamName, &LoanRequest)) -> Self {
        Self {
            team: team.to_string(),
            request: Some(ScopedId {
                vm: request.id.borrower.to_string(),
                incarnation: request.id.incarnation,
                number: request.id.number,
            }),
            rate: request.share.rate(),
            burst: request.share.burst(),
            tokens: request.tokens,
        }
    }
}

impl TryFrom<RequestLoan> for (TeamName, LoanRequest) {
    type Error = LoanMessageError;

    fn try_from(message: RequestLoan) -> Result<Self, LoanMessageError> {
        let id = message.request.ok_or(LoanMessageError::MissingId)?;
        let request = LoanRequest {
            id: LoanRequestId {
                borrower: id.vm.as_str().try_into()?,
                incarnation: id.incarnation,
                number: id.number,
            },
            share: RateShare::new(message.rate, message.burst)?,
            tokens: message.tokens,
        };
        Ok((message.team.as_str().try_into()?, request))
    }
}

impl From<Option<Loan>> for LoanMessage {
    fn from(loan: Option<Loan>) -> Self {
        loan.map_or_else(Self::default, |loan| Self {
            id: Some(loan.id.into()),
            rate: loan.share.rate(),
            burst: loan.share.burst(),
            tokens: loan.tokens,
        })
    }
}

impl LoanMessage {
    /// Converts the reply to `request` to a loan; `None` when nothing was lent.
    pub(crate) fn into_loan(self, request: &LoanRequest) -> Result<Option<Loan>, LoanMessageError> {
        let Some(id) = self.id else {
            return Ok(None);
        };
        Ok(Some(Loan {
            id: id.try_into()?,
            request: request.id.clone(),
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
        let loan = message
            .loan
            .ok_or(LoanMessageError::MissingId)?
            .try_into()?;
        let renewal = Renewal {
            loan,
            number: message.number,
        };
        Ok((message.team.as_str().try_into()?, renewal))
    }
}

impl From<RenewalReply> for LoanRenewed {
    fn from(reply: RenewalReply) -> Self {
        Self {
            extended: reply == RenewalReply::Extended,
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
        let loan = message
            .loan
            .ok_or(LoanMessageError::MissingId)?
            .try_into()?;
        let returned = LoanReturn {
            loan,
            tokens: message.tokens,
        };
        Ok((message.team.as_str().try_into()?, returned))
    }
}

impl From<LoanId> for ScopedId {
    fn from(loan: LoanId) -> Self {
        Self {
            vm: loan.lender.to_string(),
            incarnation: loan.incarnation,
            number: loan.number,
        }
    }
}

impl TryFrom<ScopedId> for LoanId {
    type Error = NameError;

    fn try_from(id: ScopedId) -> Result<Self, NameError> {
        Ok(Self {
            lender: id.vm.as_str().try_into()?,
            incarnation: id.incarnation,
            number: id.number,
        })
    }
}
