//! Coordination algorithms for a fleet of VMs that share a store but have no
//! coordination service such as a consensus group.
//!
//! Every result depends only on the state and on the time `now` that is passed
//! in: nothing in this crate reads a clock, does I/O or starts a thread. The
//! caller sends and receives the messages, and passes the instants at which
//! they were sent and received.
//!
//! - [`ledger`] keeps a team within its rate and burst over all VMs. It is built
//!   on the token buckets of [`bucket`], and [`share_table`] divides the limit
//!   among the VMs.
//! - [`slots`] assigns the slots of backend servers to requests, fairly by team.
//! - [`spill`] limits how many requests leave their region.
//! - [`versioned`] holds a copy of the store's objects whose revision never
//!   decreases, [`dissemination`] chooses which peers to copy from, and
//!   [`freshness`] decides whether the copy is recent enough to be used.
//! - [`lease`] makes sure that at most one process at a time does a task, and
//!   gives it a fencing token. [`rendezvous`] divides tasks among processes
//!   without messages.
//! - [`steering`] decides, for the requests of one VM, to which endpoint a request
//!   is sent and when it is refused. The choice of an endpoint does not wait for
//!   messages of other VMs.
//! - [`weights`] moves traffic between regions in steps of limited size.
//! - [`names`] has the types for validated names that all modules use.
//!
//! # Example
//!
//! A VM whose own share is zero borrows from a VM that has the whole limit:
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
//! // The base share can be used from 2.5 s after the start, and its bucket
//! // fills at 100 tokens per second.
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
