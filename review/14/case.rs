//! The part that crashes engines is the eighteenth of a prompt.

#[path = "../harness-3/mod.rs"]
mod harness;

use std::process::ExitCode;

use harness::tainted::{self, Framing, Plot};

const PLOT: Plot = Plot {
    parts: 20,
    place: 18,
    framing: Framing::Chunks,
};

fn main() -> ExitCode {
    harness::run(|record, folder, trouble| tainted::play(record, folder, trouble, PLOT))
}
