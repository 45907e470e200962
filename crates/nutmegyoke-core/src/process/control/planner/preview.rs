//! A dry run of the planner: the moves that a configuration would cause.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::limiter::LOAD_LEASE;
use super::{Limits, Need, Pending, Planner};
use crate::process::order::{Action, Weights};
use crate::process::report::{Report, Reservation, State};

/// Bounds a preview whose placement does not converge.
const MAX_ROUNDS: u32 = 2000;

/// The moves that a configuration would cause, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Preview {
    /// The loads and unloads, as the rounds order them.
    pub moves: Vec<Move>,
    /// The bytes of the needed items that fit on no engine; 0 if all fit.
    pub shortfall: u64,
    /// The bytes of one copy of every needed item.
    pub needed: u64,
    /// The bytes that all engines together have for weights.
    pub available: u64,
    /// The needed items that fit on no engine.
    pub homeless: Vec<Weights>,
}

/// A load or unload on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Move {
    /// The name of the VM.
    pub vm: String,
    /// The name of the engine on the VM.
    pub endpoint: String,
    /// The load or unload.
    #[serde(flatten)]
    pub action: Action,
}

/// Runs rounds of a copy of `planner` for `needs`, each order taking effect at once,
/// until no more orders follow.
#[must_use]
pub fn run(planner: &Planner, now: Instant, needs: &[Need]) -> Preview {
    let mut planner = planner.clone();
    // The store's limits affect how long the moves take, not which moves there are.
    planner.settings.limits = Limits {
        loads_per_second: f64::from(u32::MAX),
        concurrent_loads: u32::MAX,
        concurrent_adapters: u32::MAX,
    };
    planner.pending.clear();
    planner.reset_limiter(now);
    let mut preview = Preview::default();
    // The leases of older terms, for which the limiter waits, have expired by then.
    let mut time = now + LOAD_LEASE;
    for _ in 0..MAX_ROUNDS {
        time += Duration::from_secs(1);
        planner.plan(time, needs);
        let moves = std::mem::take(&mut planner.pending);
        if moves.is_empty() {
            break;
        }
        for Pending { vm, order, .. } in moves {
            planner.apply(&vm, &order.endpoint, &order.action);
            preview.moves.push(Move {
                vm,
                endpoint: order.endpoint,
                action: order.action,
            });
        }
    }
    let fleet = planner.fleet(needs);
    let is_unplaced = |item: &usize| fleet.reachable(*item).next().is_none();
    let unplaced = (0..needs.len()).filter(is_unplaced);
    preview.homeless = unplaced.map(|item| needs[item].weights.clone()).collect();
    let unplaced = (0..needs.len()).filter(is_unplaced);
    preview.shortfall = unplaced.map(|item| needs[item].bytes).sum();
    preview.needed = needs.iter().map(|need| need.bytes).sum();
    preview.available = planner.capacity();
    preview
}

impl Planner {
    /// The bytes that all engines together have for weights.
    fn capacity(&self) -> u64 {
        let reports = self.agents.values().flat_map(|agent| &agent.reports);
        reports.map(|report| report.bytes).sum()
    }

    /// Applies an order to the stored report of its engine.
    fn apply(&mut self, vm: &str, endpoint: &str, action: &Action) {
        let Some(agent) = self.agents.get_mut(vm) else {
            return;
        };
        let mut reports = agent.reports.iter_mut();
        if let Some(report) = reports.find(|report| report.endpoint == endpoint) {
            apply(report, action);
        }
    }
}

/// Applies an order to a report.
fn apply(report: &mut Report, action: &Action) {
    let rows = report.reservations.get_or_insert_default();
    match action {
        Action::Load { weights, bytes } => rows.push(Reservation {
            weights: weights.clone(),
            bytes: *bytes,
            state: State::Resident,
        }),
        Action::Unload { weights } => rows.retain(|row| row.weights != *weights),
        Action::Turn { stage } => report.stage = *stage,
    }
}
