//! Two VMs share a limit of 100 requests per second, and all callers use the
//! same VM, which borrows from the other.
//!
//! Run with `cargo run -p filbertgrade-coord --example two_vms`.

use std::error::Error;
use std::time::{Duration, Instant};

use filbertgrade_coord::bucket::RateShare;
use filbertgrade_coord::ledger::{Admission, LedgerConfig, LendOutcome, LoanAction, ShareLedger};
use filbertgrade_coord::names::{TeamName, VmName};

fn main() -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let mut busy = ledger("gent-a-1", start)?;
    let mut idle = ledger("lyon-a-1", start)?;

    let mut admitted = 0;
    for millis in 0..6_000 {
        let now = start + Duration::from_millis(2_500 + millis);
        // 90 requests per second arrive, of which the VM's own share admits 50.
        if millis % 11 == 0 && busy.admit(now) == Admission::Admitted {
            admitted += 1;
        }
        if let Some(request) = busy.request_loan(now)
            && let LendOutcome::Lent(loan) = idle.lend(now, &request)
        {
            println!("{millis} ms: borrowed {:.1}/s", loan.share.rate());
            busy.credit(now, &loan);
        }
        for action in busy.due_loan_actions(now) {
            match action {
                LoanAction::Renew(renewal) => {
                    let reply = idle.renew(now, &renewal);
                    println!("{millis} ms: renewal {reply:?}");
                    busy.apply_renewal_reply(now, &renewal, reply);
                }
                LoanAction::Return(returned) => {
                    println!(
                        "{millis} ms: returned a loan with {:.1} tokens",
                        returned.tokens
                    );
                    idle.accept_return(now, &returned);
                }
            }
        }
        while busy.snapshot(now).waiting > 0 && busy.retry(now) == Admission::Admitted {
            admitted += 1;
        }
    }
    let waiting = busy.snapshot(start + Duration::from_millis(8_500)).waiting;
    println!("admitted {admitted} in 6 s, {waiting} waiting");
    Ok(())
}

fn ledger(vm: &str, start: Instant) -> Result<ShareLedger, Box<dyn Error>> {
    let team = TeamName::try_from("orders")?;
    let vm = VmName::try_from(vm)?;
    let mut ledger = ShareLedger::new(team, vm, 1, LedgerConfig::default(), start);
    ledger.set_base(start, 1, RateShare::new(50.0, 10.0)?);
    ledger.allow_base(start, 1, start + Duration::from_secs(60));
    Ok(ledger)
}
