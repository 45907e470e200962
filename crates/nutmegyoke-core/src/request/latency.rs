//! Compares the answer to one request with what its plan expects.

use std::time::{Duration, Instant};

use strum::{Display, EnumIter, IntoStaticStr};

use crate::version::Plan;

/// The pace of one answer, from the arrival of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Latency {
    plan: String,
    first_token: Duration,
    between_tokens: Duration,
    deadline: Duration,
    arrived: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    tokens: u32,
}

/// What a plan expects of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Expectation {
    /// The time from the arrival to the first token.
    FirstToken,
    /// The mean time between the tokens of the answer.
    BetweenTokens,
    /// The time from the arrival to the end.
    Deadline,
}

impl Expectation {
    /// The stable name, as used in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// A measured time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// From the arrival to the first token.
    FirstToken { took: Duration },
    /// From one token to the next.
    BetweenTokens { took: Duration },
}

impl Latency {
    /// Opens the pace of a request that arrives now.
    #[must_use]
    pub fn open(plan: &Plan, now: Instant) -> Self {
        Self {
            plan: plan.name.clone(),
            first_token: plan.first_token,
            between_tokens: plan.between_tokens,
            deadline: plan.deadline,
            arrived: now,
            first: None,
            last: None,
            tokens: 0,
        }
    }

    /// The name of the plan.
    #[must_use]
    pub fn plan(&self) -> &str {
        &self.plan
    }

    /// Takes a streamed token in.
    pub fn record_token(&mut self, now: Instant) -> Sample {
        self.tokens += 1;
        if let Some(last) = self.last.replace(now) {
            let took = now.saturating_duration_since(last);
            return Sample::BetweenTokens { took };
        }
        self.first = Some(now);
        let took = now.saturating_duration_since(self.arrived);
        Sample::FirstToken { took }
    }

    /// Whether the answer met an expectation; `None` if it had nothing to measure
    /// it by, as an answer that is not streamed has no first token.
    #[must_use]
    pub fn met(&self, expectation: Expectation, now: Instant) -> Option<bool> {
        match expectation {
            Expectation::FirstToken => {
                let took = self.first?.saturating_duration_since(self.arrived);
                Some(took <= self.first_token)
            }
            Expectation::BetweenTokens => {
                let took = self.last?.saturating_duration_since(self.first?);
                let mean = took.checked_div(self.tokens - 1)?;
                Some(mean <= self.between_tokens)
            }
            Expectation::Deadline => {
                let took = now.saturating_duration_since(self.arrived);
                Some(took <= self.deadline)
            }
        }
    }
}
