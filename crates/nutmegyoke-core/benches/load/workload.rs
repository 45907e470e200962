//! The callers of the two customers.

use std::time::Duration;

/// Seconds of a period, of which the first few are a burst.
const PERIOD_SECONDS: f64 = 50.0;
const BURST_SECONDS: f64 = 5.0;

/// How much more a burst sends.
const BURST_FACTOR: f64 = 10.0;

/// The steady customer's share of the engines' capacity, whatever the load.
const STEADY_SHARE: f64 = 0.35;

/// Tokens generated for a request, and the most that its caller allows.
const GENERATED_TOKENS: std::ops::RangeInclusive<u32> = 32..=96;
pub const MAX_TOKENS: u32 = 96;

/// Mean of [`TOKENS`].
pub const MEAN_TOKENS: u32 = 64;

/// Tokens of a prompt.
pub const PROMPT_TOKENS: u32 = 200;

/// A customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Customer {
    Steady,
    Bursty,
}

/// One request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request {
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
    fn rate(self, seconds: f64, load: f64, capacity: f64) -> f64 {
        match self {
            Self::Steady => STEADY_SHARE * capacity,
            Self::Bursty => {
                let mean = (load - STEADY_SHARE) * capacity;
                let base = mean * PERIOD_SECONDS
                    / (PERIOD_SECONDS - BURST_SECONDS + BURST_FACTOR * BURST_SECONDS);
                if seconds % PERIOD_SECONDS < BURST_SECONDS {
                    base * BURST_FACTOR
                } else {
                    base
                }
            }
        }
    }
}

/// Draws the calls of a run: Poisson arrivals, in order.
pub fn generate(
    load: f64,
    capacity: f64,
    duration: Duration,
    random: &mut fastrand::Rng,
) -> Vec<Request> {
    let mut requests = Vec::new();
    for customer in Customer::ALL {
        let max_rate = customer.rate(0.0, load, capacity);
        let mut at = 0.0;
        loop {
            at -= (1.0 - random.f64()).ln() / max_rate;
            if at >= duration.as_secs_f64() {
                break;
            }
            // Thinning: the highest rate is drawn, and the surplus left out.
            if random.f64() * max_rate <= customer.rate(at, load, capacity) {
                requests.push(Request {
                    at: Duration::from_secs_f64(at),
                    customer,
                    tokens: random.u32(GENERATED_TOKENS),
                });
            }
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}
