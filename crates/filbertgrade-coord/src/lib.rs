//! Coordination parts for a fleet that has a store, and no coordination
//! service of its own.
//!
//! Everything here is a plain function of state and `now`: nothing reads a
//! clock, does I/O or starts a thread. The caller passes the instants at which
//! messages were sent and received, and carries the messages.
//!
//! - [`ledger`] keeps a team within its rate and burst over all VMs. It
//!   stands on [`bucket`], and [`share_table`] divides the limit.
//! - [`slots`] assigns requests to backend servers, fairly by team.
//! - [`versioned`] holds a copy of the store that never moves backward,
//!   [`dissemination`] chooses whom to copy from, and [`freshness`] tells
//!   whether the copy may be relied on.
//! - [`lease`] gives one process at a time a task, with a fencing token, and
//!   [`rendezvous`] divides tasks without agreement.
//! - [`steering`] decides where one VM sends a request, and when it refuses it,
//!   without a message to another VM.
//! - [`weights`] moves traffic between regions in capped steps.
//! - [`names`] holds the checked names that all of them use.
//!
//! # Example
//!
//! A VM without a share of its own borrows from one that has the whole limit:
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use filbertgrade_coord::bucket::RateShare;
//! use filbertgrade_coord::ledger::{Admission, LedgerConfig, LendOutcome, ShareLedger};
//! use filbertgrade_coord::names::{TeamName, VmName};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let start = Instant::now();
//! let team = TeamName::try_from("orders")?;
//! let ledger = |vm: &str| -> Result<ShareLedger, Box<dyn std::error::Error>> {
//!     let vm = VmName::try_from(vm)?;
//!     Ok(ShareLedger::new(team.clone(), vm, 1, LedgerConfig::default(), start))
//! };
//! let mut lender = ledger("gent-a-1")?;
//! let mut borrower = ledger("lyon-a-1")?;
//! lender.set_base(start, 1, RateShare::new(100.0, 20.0)?);
//! lender.allow_base(start, 1, start + Duration::from_secs(60));
//! borrower.set_base(start, 1, RateShare::ZERO);
//! borrower.allow_base(start, 1, start + Duration::from_secs(60));
//!
//! // The base opens 2.5 s after the start and fills at 100 tokens a second.
//! let now = start + Duration::from_secs(3);
//! assert!(matches!(borrower.admit(now), Admission::Wait { .. }));
//! let request = borrower.request_loan(now).expect("a request is waiting");
//! let LendOutcome::Lent(loan) = lender.lend(now, &request) else {
//!     panic!("the lender has no demand of its own");
//! };
//! borrower.credit(now, &loan);
//! assert_eq!(borrower.retry(now), Admission::Admitted);
//! # Ok(())
//! # }
//! ```

pub mod bucket;
pub mod dissemination;
pub mod freshness;
pub mod lease;
pub mod ledger;
pub mod names;
pub mod rendezvous;
pub mod share_table;
pub mod slots;
pub mod spill;
pub mod steering;
pub mod versioned;
pub mod weights;
