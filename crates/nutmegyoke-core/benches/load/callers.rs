//! The callers of the two customers.

use std::time::Duration;

/// Seconds of a period, of which the first few are a burst.
const PERIOD: f64 = 50.0;
const BURST: f64 = 5.0;

/// How much more a burst sends.
const TENFOLD: f64 = 10.0;

/// The steady customer's share of the engines' capacity, whatever the load.
const STEADY: f64 = 0.35;

/// Tokens generated for a request, and the most that its caller allows.
const TOKENS: std::ops::RangeInclusive<u32> = 32..=96;
pub const TOKENS_ALLOWED: u32 = 96;

/// Mean of [`TOKENS`].
pub const TOKENS_MEAN: u32 = 64;

/// Tokens of a prompt.
pub const PROMPT: u32 = 200;

/// A customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Customer {
    Steady,
    Bursty,
}

/// One request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// After the start of the run.
    pub at: Duration,
    pub customer: Customer,
    /// Tokens that the engine will generate.
    pub tokens: u32,
}

impl Customer {
    pub const ALL: [Self; 2] = [Self::Steady, Self::Bursty];

    pub fn key(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Bursty => "bursty",
        }
    }

    /// Requests a second at `at` when the load is `load` of `capacity`.
    fn rate(self, at: f64, load: f64, capacity: f64) -> f64 {
        match self {
            Self::Steady => STEADY * capacity,
            Self::Bursty => {
                let mean = (load - STEADY) * capacity;
                let base = mean * PERIOD / (PERIOD - BURST + TENFOLD * BURST);
                if at % PERIOD < BURST {
                    base * TENFOLD
                } else {
                    base
                }
            }
        }
    }
}

/// Draws the calls of a run: Poisson arrivals, in order.
pub fn draw(load: f64, capacity: f64, length: Duration, random: &mut fastrand::Rng) -> Vec<Call> {
    let mut calls = Vec::new();
    for customer in Customer::ALL {
        let highest = customer.rate(0.0, load, capacity);
        let mut at = 0.0;
        loop {
            at -= (1.0 - random.f64()).ln() / highest;
            if at >= length.as_secs_f64() {
                break;
            }
            // Thinning: the highest rate is drawn, and the surplus left out.
            if random.f64() * highest <= customer.rate(at, load, capacity) {
                calls.push(Call {
                    at: Duration::from_secs_f64(at),
                    customer,
                    tokens: random.u32(TOKENS),
                });
            }
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}
