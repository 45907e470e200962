//! Measures the request path below, at and above capacity, in virtual time.
//!
//! Drives the state machines of an entry and its agents with simulated clients,
//! which disconnect at their deadline, and simulated engines, which generate
//! tokens at a fixed rate. One customer sends at a steady rate, the other in
//! bursts of ten times its base rate. Prints a table with one row per load and
//! policy, which docs/MEASURES.md quotes.
//!
//! Run with `cargo bench -p nutmegyoke-core --bench load`.

mod fifo;
mod fleet;
mod harness;
mod report;
mod workload;

use std::time::Duration;

use harness::Harness;
use report::Report;

/// The loads to compare, as fractions of the engines' capacity.
const LOADS: [f64; 3] = [0.7, 1.0, 2.0];

/// How long requests keep arriving, in virtual time.
const ARRIVAL_PERIOD: Duration = Duration::from_mins(5);

/// How the fleet handles overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The baseline: a FIFO queue of at most 64 requests per endpoint, as in the first version.
    Fifo,
    /// The fair queue, without early refusal.
    Fair,
    /// The fair queue, with early refusal of requests that can't meet their expectations.
    Early,
    /// As [`Policy::Early`], with admission control by the plans' limits.
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
