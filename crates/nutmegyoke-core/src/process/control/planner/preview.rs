//! What a new configuration would move, without moving it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::limiter::LOAD_LEASE;
use super::{Limits, Need, Pending, Planner};
use crate::process::order::{Action, Weights};
use crate::process::report::{Report, Reservation, State};

/// Rounds after which a preview ends even if it has not settled.
const MAX_ROUNDS: u32 = 2000;

/// The moves of a new configuration, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Preview {
    /// The moves.
    pub moves: Vec<Change>,
    /// The bytes of the items that find no place; 0 if the lists fit.
    pub shortfall: u64,
    /// The bytes of one copy of every needed item.
    pub needed: u64,
    /// The bytes that the engines have for weights.
    pub available: u64,
    /// The items that find no place.
    pub homeless: Vec<Weights>,
}

/// One move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// The VM.
    pub vm: String,
    /// The engine on it.
    pub endpoint: String,
    /// What is loaded or unloaded.
    #[serde(flatten)]
    pub action: Action,
}

/// Plans rounds against `needs`, every order taking effect at once.
#[must_use]
pub fn run(planner: &Planner, now: Instant, needs: &[Need]) -> Preview {
    let mut planner = planner.clone();
    // What the store bears decides how long the moves take, not which they are.
    planner.settings.limits = Limits {
        loads_per_second: f64::from(u32::MAX),
        concurrent_loads: u32::MAX,
        concurrent_adapters: u32::MAX,
    };
    planner.pending.clear();
    planner.reset_limiter(now);
    let mut preview = Preview::default();
    let mut time = now + LOAD_LEASE;
    for _ in 0..MAX_ROUNDS {
        time += Duration::from_secs(1);
        planner.plan(time, needs);
        let moves = std::mem::take(&mut planner.pending);
        if moves.is_empty() {
            break;
        }
        for Pending { vm, order, .. } in moves {
            planner.perform(&vm, &order.endpoint, &order.action);
            preview.moves.push(Change {
                vm,
                endpoint: order.endpoint,
                action: order.action,
            });
        }
    }
    let fleet = planner.fleet(needs);
    let homeless = |item: &usize| fleet.reachable(*item).next().is_none();
    let lost = (0..needs.len()).filter(homeless);
    preview.homeless = lost.map(|item| needs[item].weights.clone()).collect();
    let lost = (0..needs.len()).filter(homeless);
    preview.shortfall = lost.map(|item| needs[item].bytes).sum();
    preview.needed = needs.iter().map(|need| need.bytes).sum();
    preview.available = planner.capacity();
    preview
}

impl Planner {
    /// The bytes that the engines have for weights.
    fn capacity(&self) -> u64 {
        let reports = self.agents.values().flat_map(|agent| &agent.reports);
        reports.map(|report| report.bytes).sum()
    }

    /// Lets an order take effect in the reports.
    fn perform(&mut self, vm: &str, endpoint: &str, action: &Action) {
        let Some(agent) = self.agents.get_mut(vm) else {
            return;
        };
        let mut reports = agent.reports.iter_mut();
        if let Some(report) = reports.find(|report| report.endpoint == endpoint) {
            perform(report, action);
        }
    }
}

fn perform(report: &mut Report, action: &Action) {
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
