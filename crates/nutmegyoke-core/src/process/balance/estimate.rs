//! The expected time of a request at an endpoint, and the cost of sending it there.

use serde::Serialize;

/// The work of each request that an engine runs already, in prompt tokens: its tokens are computed
/// in the same steps as the prompt.
const RUNNING_TOKENS: f64 = 60.0;

/// The work of the step in which the first token is computed, in prompt tokens.
const STEP_TOKENS: f64 = 400.0;

/// Prefilling a prompt stalls the stream of each running request. This costs, for each of them,
/// the time to prefill the prompt divided by this number.
const STALL_DIVISOR: f64 = 10.0;

/// The time of a request at a plain endpoint with all slots taken is longer by this share, because
/// its load is not known exactly and a request may have to wait.
const FULL_WAIT: f64 = 0.3;

/// The round trip to another data centre, in milliseconds.
const ROUND_TRIP_MS: f64 = 2.0;

/// The share of its objective that a request may lose by staying in its data centre. About 10 KB
/// of prompt and answer are charged if it does not, while a response within the objective is worth
/// the same as an earlier one.
const REMOTE_SHARE: f64 = 1.0 / 8.0;

/// The cost of a failed request, in objectives. A response that is late by half of the objective
/// costs about as much by [`LATE_WEIGHT`], and is worth a third; a failed request is worth nothing.
const FAILURE_OBJECTIVES: f64 = 3.0;

/// The expected time beyond this share of the objective counts three times. The estimate is not
/// exact, and a response after the objective is worth a third, so that a response that may be late
/// goes to an endpoint with room, although another data centre or an uncached prefix costs more.
const LATE_FROM: f64 = 0.5;
const LATE_WEIGHT: f64 = 2.0;

/// The most that an unknown load may make the choice random, in milliseconds and as a share of the
/// objective. Less than an adapter load or a shared prefix that is prefilled again costs.
const MAX_SPREAD_MS: f64 = 40.0;
const MAX_SPREAD_SHARE: f64 = 1.0 / 16.0;

/// The share of the standard deviation of the load by which the choice is random.
const SPREAD_DEVIATIONS: f64 = 0.5;

/// The cost of an endpoint that takes no further request at once, in milliseconds: more than any
/// queue that is worth waiting in.
const FULL_MS: f64 = 2500.0;

/// The expected time of a request at an endpoint, and what it was derived from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Estimate {
    /// The expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// The cost of the choice, in milliseconds: the expected time, and what it costs others.
    pub cost_ms: f64,
    /// The work until the first event: prompt tokens for an engine, and a request, longer if it
    /// waits for a slot, for a plain endpoint.
    pub work: f64,
    /// The share of that work that this gateway knows exactly.
    pub known: f64,
    /// The learned milliseconds for each unit of work.
    pub ms_per_unit: f64,
    /// The load that other gateways reported, aged until now: prompt tokens ahead for an engine,
    /// requests for a plain endpoint.
    pub others: f64,
    /// The mean age of these reports, in milliseconds.
    pub age_ms: f64,
    /// The place of the endpoint in the rendezvous order in its data centre, counted from 0.
    pub place: usize,
    /// The prompt tokens that the endpoint is expected to have in its cache; the log has them in the
    /// inputs of the choice already.
    #[serde(skip)]
    pub kept: u32,
    /// The expected share of requests that fail.
    pub failing: f64,
    /// The difference of costs below which the choice was random, in milliseconds.
    pub spread_ms: f64,
}

/// What an engine has to do before and beside a request, in prompt tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    /// The work ahead of it that this gateway sent.
    pub ahead: f64,
    /// The work ahead of it that other gateways are expected to have sent.
    pub others: f64,
    /// The request's own prompt, without what is cached.
    pub uncached: f64,
    /// The number of requests at the engine.
    pub running: f64,
}

/// The state of an endpoint that costs time whatever the work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Penalty {
    /// The objective of the request, in milliseconds.
    pub objective_ms: f64,
    /// Known delays before the first event, in milliseconds: late requests, an adapter to load.
    pub delay_ms: f64,
    /// Costs that are not delays, in milliseconds.
    pub extra_ms: f64,
    /// Whether the endpoint is in another data centre.
    pub remote: bool,
    /// Whether the endpoint takes no further request at once.
    pub full: bool,
    /// The expected share of requests that fail.
    pub failing: f64,
}

impl Penalty {
    fn cost_ms(&self) -> f64 {
        let remote = if self.remote {
            self.objective_ms * REMOTE_SHARE
        } else {
            0.0
        };
        let full = if self.full { FULL_MS } else { 0.0 };
        self.extra_ms + remote + full + self.failing * FAILURE_OBJECTIVES * self.objective_ms
    }

    /// What an expected time costs beyond itself, because the response may be late.
    fn lateness_ms(&self, expected_ms: f64) -> f64 {
        (expected_ms - self.objective_ms * LATE_FROM).max(0.0) * LATE_WEIGHT
    }

    fn delay_ms(&self) -> f64 {
        self.delay_ms + if self.remote { ROUND_TRIP_MS } else { 0.0 }
    }

    fn spread_ms(&self, deviation_ms: f64) -> f64 {
        let limit = MAX_SPREAD_MS.min(self.objective_ms * MAX_SPREAD_SHARE);
        (deviation_ms * SPREAD_DEVIATIONS).min(limit)
    }
}

impl Estimate {
    /// The estimate with thousandths at most, as the log shows it.
    #[must_use]
    pub fn rounded(self) -> Self {
        let round = |value: f64| (value * 1e3).round() / 1e3;
        Self {
            expected_ms: round(self.expected_ms),
            cost_ms: round(self.cost_ms),
            work: round(self.work),
            known: round(self.known),
            ms_per_unit: round(self.ms_per_unit),
            others: round(self.others),
            age_ms: round(self.age_ms),
            failing: round(self.failing),
            spread_ms: round(self.spread_ms),
            ..self
        }
    }

    /// The estimate for an engine that takes `ms_per_unit` for a prompt token. `deviation` is the
    /// standard deviation of the work ahead.
    #[must_use]
    pub fn engine(work: Work, ms_per_unit: f64, deviation: f64, penalty: Penalty) -> Self {
        let known = work.ahead + work.uncached + STEP_TOKENS;
        let tokens = known + work.others + work.running * RUNNING_TOKENS;
        let expected_ms = tokens * ms_per_unit + penalty.delay_ms();
        let stalls_ms = work.running * work.uncached / STALL_DIVISOR * ms_per_unit;
        Self {
            expected_ms,
            cost_ms: expected_ms + stalls_ms + penalty.lateness_ms(expected_ms) + penalty.cost_ms(),
            work: tokens,
            known: known / tokens,
            ms_per_unit,
            others: work.others,
            failing: penalty.failing,
            spread_ms: penalty.spread_ms(deviation * ms_per_unit),
            ..Self::default()
        }
    }

    /// The estimate for a plain endpoint with `load` requests on `slots` slots, which takes
    /// `ms_per_unit` for a request. `deviation` is the standard deviation of the load.
    #[must_use]
    pub fn plain(
        load: f64,
        slots: f64,
        ms_per_unit: f64,
        deviation: f64,
        penalty: Penalty,
    ) -> Self {
        let taken = (load + 1.0) / slots;
        let work = taken.max(1.0);
        let expected_ms = work * ms_per_unit + penalty.delay_ms();
        let wait_ms = taken * taken * FULL_WAIT * ms_per_unit;
        Self {
            expected_ms,
            cost_ms: expected_ms + wait_ms + penalty.lateness_ms(expected_ms) + penalty.cost_ms(),
            work,
            known: 1.0 / work,
            ms_per_unit,
            failing: penalty.failing,
            spread_ms: penalty.spread_ms(deviation / slots * ms_per_unit),
            ..Self::default()
        }
    }
}
