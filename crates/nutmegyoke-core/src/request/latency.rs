//! Measures the latency of an answer against the expectations of its plan.

use std::time::{Duration, Instant};

use strum::{Display, EnumIter, IntoStaticStr};

use crate::version::Plan;

/// The latency of one answer, measured from the arrival of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Latency {
    plan: String,
    first_token: Duration,
    between_tokens: Duration,
    deadline: Duration,
    arrived_at: Instant,
    first_token_at: Option<Instant>,
    last_token_at: Option<Instant>,
    tokens: u32,
}

/// A latency expectation of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Expectation {
    /// The time from the arrival to the first token.
    FirstToken,
    /// The mean time between the tokens of the answer.
    BetweenTokens,
    /// The time from the arrival to the end of the answer.
    Deadline,
}

impl Expectation {
    /// The stable name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// A latency measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// The time from the arrival to the first token.
    FirstToken { took: Duration },
    /// The time since the previous token.
    BetweenTokens { took: Duration },
}

impl Latency {
    /// Starts the measurement for a request that arrived at `now`.
    #[must_use]
    pub fn open(plan: &Plan, now: Instant) -> Self {
        Self {
            plan: plan.name.clone(),
            first_token: plan.first_token,
            between_tokens: plan.between_tokens,
            deadline: plan.deadline,
            arrived_at: now,
            first_token_at: None,
            last_token_at: None,
            tokens: 0,
        }
    }

    /// The name of the plan.
    #[must_use]
    pub fn plan(&self) -> &str {
        &self.plan
    }

    /// Records a streamed token and returns its latency.
    pub fn record_token(&mut self, now: Instant) -> Sample {
        self.tokens += 1;
        if let Some(last) = self.last_token_at.replace(now) {
            let took = now.saturating_duration_since(last);
            return Sample::BetweenTokens { took };
        }
        self.first_token_at = Some(now);
        let took = now.saturating_duration_since(self.arrived_at);
        Sample::FirstToken { took }
    }

    /// Whether the answer met an expectation. `None` if it cannot be measured, for
    /// example the first token of an answer that was not streamed.
    #[must_use]
    pub fn met(&self, expectation: Expectation, now: Instant) -> Option<bool> {
        match expectation {
            Expectation::FirstToken => {
                let took = self
                    .first_token_at?
                    .saturating_duration_since(self.arrived_at);
                Some(took <= self.first_token)
            }
            Expectation::BetweenTokens => {
                let took = self
                    .last_token_at?
                    .saturating_duration_since(self.first_token_at?);
                let mean = took.checked_div(self.tokens - 1)?;
                Some(mean <= self.between_tokens)
            }
            Expectation::Deadline => {
                let took = now.saturating_duration_since(self.arrived_at);
                Some(took <= self.deadline)
            }
        }
    }
}
