//! The requests that the two customers send.

use std::time::Duration;

/// The period of the bursts.
const PERIOD_SECONDS: f64 = 50.0;

/// The length of the burst at the beginning of each period.
const BURST_SECONDS: f64 = 5.0;

/// The rate during a burst relative to the rate outside of bursts.
const BURST_FACTOR: f64 = 10.0;

/// The steady customer's rate as a fraction of the engines' capacity, at any load.
const STEADY_SHARE: f64 = 0.35;

/// The range of the number of tokens generated for a request.
const GENERATED_TOKENS: std::ops::RangeInclusive<u32> = 32..=96;

/// The number of tokens that each request allows.
pub const MAX_TOKENS: u32 = 96;

/// The mean of [`GENERATED_TOKENS`].
pub const MEAN_TOKENS: u32 = 64;

/// The length of each prompt in tokens.
pub const PROMPT_TOKENS: u32 = 200;

/// A customer, named after its traffic pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Customer {
    Steady,
    Bursty,
}

/// A request of a customer.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The time of arrival, from the start of the run.
    pub at: Duration,
    pub customer: Customer,
    /// Tokens that the engine will generate.
    pub tokens: u32,
}

impl Customer {
    pub const ALL: [Self; 2] = [Self::Steady, Self::Bursty];

    /// The customer's name, which is also its API key.
    pub fn key(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Bursty => "bursty",
        }
    }

    /// The requests per second at a time of the run. `load` is the mean load of both customers
    /// as a fraction of `capacity`, which is in requests per second.
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

/// Generates the requests of a run as Poisson arrivals, sorted by time.
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
            // Thinning: arrivals are drawn at the maximum rate and then dropped at random.
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
