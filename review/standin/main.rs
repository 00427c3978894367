//! Stand-ins for the review cases, and the cases themselves: the platform's
//! store, backend servers and callers, each as the users' pages describe it, and
//! nodes started with the command of the deploy file. Standard library only.
//!
//! `standin CASE DIR` runs a case, writes `record.txt` to DIR and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run.
//! `TROUBLE=0` leaves the disruption out.

mod caller;
mod cases;
mod endpoint;
mod http;
mod node;
mod record;
mod store;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(dir)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE DIR");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    std::process::exit(cases::run(&case, std::path::Path::new(&dir), trouble));
}
