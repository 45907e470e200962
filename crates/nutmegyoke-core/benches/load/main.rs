//! The request path at and above capacity, in virtual time.
//!
//! Drives the real machines of an entry and its agents; fakes stand at the
//! interfaces: callers that arrive and give up, and engines with a fixed pace.
//! One customer sends steadily, the other in tenfold bursts. Prints, by load and
//! policy, what docs/MEASURES.md quotes.
//!
//!     cargo bench -p nutmegyoke-core --bench load

mod fifo;
mod fleet;
mod harness;
mod report;
mod workload;

use std::time::Duration;

use harness::Harness;
use report::Report;

/// Loads compared, as shares of the engines' capacity.
const LOADS: [f64; 3] = [0.7, 1.0, 2.0];

/// The virtual time that callers arrive in.
const ARRIVAL_PERIOD: Duration = Duration::from_mins(5);

/// How the fleet meets the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The queue of the first version: first in, first out, 64 an endpoint.
    Fifo,
    /// The fair queue; no request is refused early.
    Fair,
    /// And what can't meet its expectation is refused early.
    Early,
    /// And the plans' limits are in force.
    Admission,
}

impl Policy {
    const ALL: [Self; 4] = [Self::Fifo, Self::Fair, Self::Early, Self::Admission];

    fn name(self) -> &'static str {
        match self {
            Self::Fifo => "FIFO",
            Self::Fair => "fair queue",
            Self::Early => "+ early refusal",
            Self::Admission => "+ plan limits",
        }
    }
}

fn main() {
    Report::print_header();
    for load in LOADS {
        for policy in Policy::ALL {
            let report = Harness::open(policy).run(load, ARRIVAL_PERIOD);
            report.print_row(load, policy);
        }
    }
}
