//! Two VMs share a limit of 100 requests per second; all callers use one of them.
//!
//! Run with `cargo run -p filbertgrade-coord --example two_vms`.

use std::error::Error;
use std::time::{Duration, Instant};

use filbertgrade_coord::bucket::Part;
use filbertgrade_coord::ledger::{Admission, LedgerConfig, Lend, LoanAction, ShareLedger};
use filbertgrade_coord::names::{TeamName, VmName};

fn main() -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let mut busy = ledger("gent-a-1", start)?;
    let mut idle = ledger("lyon-a-1", start)?;

    let mut admitted = 0;
    for millis in 0..6_000 {
        let now = start + Duration::from_millis(2_500 + millis);
        // 90 requests per second arrive, and the own half allows 50.
        if millis % 11 == 0 && busy.admit(now) == Admission::Admitted {
            admitted += 1;
        }
        if let Some(ask) = busy.ask(now)
            && let Lend::Parcel(parcel) = idle.lend(now, &ask)
        {
            println!("{millis} ms: borrowed {:.1}/s", parcel.part.rate());
            busy.credit(now, &parcel);
        }
        for action in busy.due(now) {
            match action {
                LoanAction::Renew(renewal) => {
                    let answer = idle.renew(now, &renewal);
                    println!("{millis} ms: renewal {answer:?}");
                    busy.renewed(now, &renewal, answer);
                }
                LoanAction::GiveBack(returned) => {
                    println!("{millis} ms: gave back {:.1} tokens", returned.tokens);
                    idle.take_back(now, &returned);
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
    ledger.set_base(start, 1, Part::new(50.0, 10.0)?);
    ledger.allow_base(start, 1, start + Duration::from_secs(60));
    Ok(ledger)
}
