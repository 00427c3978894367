//! Handles messages from the entry processes of other VMs.

use std::sync::Arc;

use super::Entry;
use crate::logfmt;
use crate::wire::{
    Body, LoanMessage, LoanMessageError, LoanRenewed, RenewLoan, RequestLoan, ReturnLoan,
};

pub(crate) async fn handle(entry: Arc<Entry>, body: Body) -> Option<Body> {
    match body {
        Body::RequestLoan(borrow) => reply_or_log(lend(&entry, borrow).map(Body::Loan)),
        Body::RenewLoan(renewal) => reply_or_log(renew(&entry, renewal).map(Body::LoanRenewed)),
        Body::ReturnLoan(returned) => {
            if let Err(error) = accept_return(&entry, returned) {
                log::warn!(
                    "event=peer_message_rejected error={}",
                    logfmt::value(&error)
                );
            }
            None
        }
        Body::AcquireSlot(acquire) => Some(entry.slots.serve_acquire(&entry.view(), acquire).await),
        Body::RenewPermit(renewal) => Some(entry.slots.serve_renewal(&entry.view(), renewal)),
        Body::ReleaseSlot(release) => {
            entry.slots.serve_release(&release);
            None
        }
        _ => None,
    }
}

fn lend(entry: &Entry, borrow: RequestLoan) -> Result<LoanMessage, LoanMessageError> {
    let (team, request) = borrow.try_into()?;
    Ok(entry.admission.lend(&team, &request).into())
}

fn renew(entry: &Entry, renewal: RenewLoan) -> Result<LoanRenewed, LoanMessageError> {
    let (team, renewal) = renewal.try_into()?;
    Ok(entry.admission.renew(&team, &renewal).into())
}

fn accept_return(entry: &Entry, returned: ReturnLoan) -> Result<(), LoanMessageError> {
    let (team, returned) = returned.try_into()?;
    entry.admission.accept_return(&team, &returned);
    Ok(())
}

fn reply_or_log(reply: Result<Body, LoanMessageError>) -> Option<Body> {
    reply
        .inspect_err(|error| {
            log::warn!(
                "event=peer_message_rejected error={}",
                logfmt::value(&error)
            );
        })
        .ok()
}
