//! Runs the scenario files of the share ledger.
//!
//! Commands: `advance MS`, `base VM RATE BURST [VERSION]`, `allow VM MS [VERSION]`,
//! `forbid VM`, `admit VM [COUNT]`, `retry VM [COUNT]`, `request VM`, `lend VM`,
//! `credit VM`, `due VM`, `renew VM`, `renewed VM`, `return VM`, `accept VM`,
//! `show VM`.
//!
//! `lend`, `credit`, `renew`, `renewed` and `accept` deliver the latest message
//! of their kind to the VM. The message is kept, so using the command again
//! delivers a duplicate.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

use filbertgrade_coord::bucket::RateShare;
use filbertgrade_coord::ledger::{
    Admission, LedgerConfig, LendOutcome, Loan, LoanAction, LoanRequest, LoanReturn, Renewal,
    RenewalReply, ShareLedger,
};
use filbertgrade_coord::names::{TeamName, VmName};
use goldenscript::{Command, Context};
use rstest::rstest;

/// The ledgers by VM, and the latest message of each kind.
struct Runner {
    start: Instant,
    now: Instant,
    ledgers: BTreeMap<String, ShareLedger>,
    request: Option<LoanRequest>,
    loan: Option<Loan>,
    renewal: Option<Renewal>,
    reply: RenewalReply,
    returned: Option<LoanReturn>,
}

impl Runner {
    /// Milliseconds from the start of the script to `at`.
    fn ms(&self, at: Instant) -> u128 {
        at.duration_since(self.start).as_millis()
    }

    /// The ledger of a VM, created at its first use.
    fn ledger(&mut self, vm: &str) -> Result<&mut ShareLedger, Box<dyn Error>> {
        let (name, now) = (VmName::try_from(vm)?, self.now);
        let team = TeamName::try_from("orders")?;
        Ok(self
            .ledgers
            .entry(vm.to_owned())
            .or_insert_with(|| ShareLedger::new(team, name, 1, LedgerConfig::default(), now)))
    }

    fn show(&mut self, vm: &str) -> Result<String, Box<dyn Error>> {
        let now = self.now;
        let version = self.ledger(vm)?.version_in_effect(now);
        let s = self.ledger(vm)?.snapshot(now);
        let mut out = format!(
            "base {} rate {:.2} burst {:.2} tokens {:.2} waiting {} in effect {version:?}",
            if s.base_usable { "usable" } else { "unusable" },
            s.share.rate(),
            s.share.burst(),
            s.tokens,
            s.waiting,
        );
        for (_, to, share, at) in &s.loans_out {
            let (rate, burst) = (share.rate(), share.burst());
            out += &format!(
                "\nout to {to}: {rate:.2}/s {burst:.2} until {}",
                self.ms(*at)
            );
        }
        for (id, share, at) in &s.loans_in {
            let (rate, burst) = (share.rate(), share.burst());
            out += &format!(
                "\nin from {}: {rate:.2}/s {burst:.2} until {}",
                id.lender,
                self.ms(*at)
            );
        }
        Ok(out)
    }
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let first = args.next_pos().ok_or("a VM or a time is missing")?;
        let now = self.now;
        let vm = first;
        let out = match command.name.as_str() {
            "advance" => {
                self.now += Duration::from_millis(first.parse()?);
                format!("at {}", self.ms(self.now))
            }
            "base" => {
                let rate = args.next_pos().ok_or("the rate is missing")?.parse()?;
                let burst = args.next_pos().ok_or("the burst is missing")?.parse()?;
                let version = args.next_pos().unwrap_or("1").parse()?;
                self.ledger(vm)?
                    .set_base(now, version, RateShare::new(rate, burst)?);
                String::new()
            }
            "allow" => {
                let until = now
                    + Duration::from_millis(
                        args.next_pos().ok_or("the duration is missing")?.parse()?,
                    );
                let version = args.next_pos().unwrap_or("1").parse()?;
                format!("{}", self.ledger(vm)?.allow_base(now, version, until))
            }
            "forbid" => {
                self.ledger(vm)?.forbid_base(now);
                String::new()
            }
            "admit" | "retry" => {
                let mut out = Vec::new();
                for _ in 0..args.next_pos().unwrap_or("1").parse()? {
                    let ledger = self.ledger(vm)?;
                    let admission = match command.name.as_str() {
                        "admit" => ledger.admit(now),
                        _ => ledger.retry(now),
                    };
                    out.push(match admission {
                        Admission::Wait { retry_at } => {
                            format!("Wait until {:?}", retry_at.map(|at| self.ms(at)))
                        }
                        other => format!("{other:?}"),
                    });
                }
                out.join("\n")
            }
            "request" => match self.ledger(vm)?.request_loan(now) {
                None => "None".to_owned(),
                Some(request) => {
                    let (rate, burst) = (request.share.rate(), request.share.burst());
                    let out = format!(
                        "requests {rate:.2}/s {burst:.2} tokens {:.2}",
                        request.tokens
                    );
                    self.request = Some(request);
                    out
                }
            },
            "lend" => {
                let request = self.request.clone().ok_or("no loan was requested")?;
                match self.ledger(vm)?.lend(now, &request) {
                    LendOutcome::Declined(refusal) => format!("{refusal:?}"),
                    LendOutcome::Lent(loan) => {
                        let (rate, burst) = (loan.share.rate(), loan.share.burst());
                        let out = format!("{rate:.2}/s {burst:.2} tokens {:.2}", loan.tokens);
                        self.loan = Some(loan);
                        out
                    }
                }
            }
            "credit" => {
                let loan = self.loan.clone().ok_or("no loan was granted")?;
                let credit = self.ledger(vm)?.credit(now, &loan);
                let debug = format!("{credit:?}");
                debug.split(' ').next().unwrap_or_default().to_owned()
            }
            "due" => {
                let mut out = Vec::new();
                for action in self.ledger(vm)?.due_loan_actions(now) {
                    out.push(match action {
                        LoanAction::Renew(renewal) => {
                            let out = format!("renew {}", renewal.number);
                            self.renewal = Some(renewal);
                            out
                        }
                        LoanAction::Return(returned) => {
                            let out = format!("return {:.2}", returned.tokens);
                            self.returned = Some(returned);
                            out
                        }
                    });
                }
                out.join("\n")
            }
            "renew" => {
                let renewal = self.renewal.clone().ok_or("no renewal was sent")?;
                self.reply = self.ledger(vm)?.renew(now, &renewal);
                format!("{:?}", self.reply)
            }
            "renewed" => {
                let renewal = self.renewal.clone().ok_or("no renewal was sent")?;
                let reply = self.reply;
                self.ledger(vm)?.apply_renewal_reply(now, &renewal, reply);
                String::new()
            }
            "return" => {
                let mut returns = self.ledger(vm)?.return_all_loans(now);
                self.returned = returns.pop();
                format!(
                    "{:.2}",
                    self.returned.as_ref().ok_or("the VM has no loan")?.tokens
                )
            }
            "accept" => {
                let returned = self.returned.clone().ok_or("no loan was returned")?;
                format!("{}", self.ledger(vm)?.accept_return(now, &returned))
            }
            "show" => self.show(vm)?,
            name => return Err(format!("unknown command {name}").into()),
        };
        if let Some(rest) = args.next_pos() {
            return Err(format!("unexpected argument {rest}").into());
        }
        Ok(out)
    }
}

// Guards against unintended changes of the protocol between lender and borrower.
#[rstest]
fn scenario_output_is_unchanged(#[files("tests/ledger/scripts/*")] path: std::path::PathBuf) {
    let start = Instant::now();
    let mut runner = Runner {
        start,
        now: start,
        ledgers: BTreeMap::new(),
        request: None,
        loan: None,
        renewal: None,
        reply: RenewalReply::Declined,
        returned: None,
    };
    goldenscript::run(&mut runner, Path::new(&path)).unwrap();
}
