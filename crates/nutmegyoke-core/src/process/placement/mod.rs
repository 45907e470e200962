//! Which engine of a service holds which models.
//!
//! Runs at the gateway whose replica leads. Every round compares the copies of
//! each model with what its demand needs and orders single steps towards that:
//! models that nothing holds first, then those with the most work per copy. A
//! copy makes way only while others of its model are left.

mod eviction;
pub mod fleet;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

pub use fleet::{Fleet, Instance};

use crate::version::Model;
use crate::version::routing::Weights;

/// The time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// The window in which loads from the store are counted.
const STORE_WINDOW: Duration = Duration::from_secs(5);

/// The part of the store's rate that is used, so that loads which the engines
/// begin late don't add up to more.
const STORE_RATE_FRACTION: f64 = 0.9;

/// How long an order may take beyond the load before it is given up: the
/// heartbeat that tells of it, and a slow store.
const ORDER_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// The part of its reading speed that an engine spends on one model, above which
/// the model gets more copies. Beyond a third, prompts that are read slow down
/// the answers of all other requests on the engine.
const MAX_SHARE_PER_COPY: f64 = 0.2;

/// The part that each copy has once there are enough.
const TARGET_SHARE_PER_COPY: f64 = 0.15;

/// What a request in flight costs at an engine of which a model has to make way: the
/// model stays until its requests end, which takes seconds.
const IN_FLIGHT_COST: f64 = 0.02;

/// What a copy near the engine is worth: it loads several times as fast, and
/// without the store.
const WARM_COPY_BONUS: f64 = 1.0;

/// Copies of one model that are ordered in one round at most.
const MAX_COPIES_PER_ROUND: usize = 4;

/// Copies of a model that are kept for the loss of an engine, where they fit.
const SPARE_COPIES: usize = 2;

/// The part of all memory that spare copies may take.
const SPARE_MEMORY_FRACTION: f64 = 0.8;

/// How long a gateway listens after its start before it plans: every engine has sent
/// a heartbeat by then, or is gone.
const STARTUP_DELAY: Duration = Duration::from_millis(1600);

/// How long it listens where all engines that it knows are empty, because
/// all have been restarted: long enough for most to have sent their first heartbeat.
const EMPTY_FLEET_DELAY: Duration = Duration::from_millis(100);

/// The steps that an engine is ordered ahead at most.
const MAX_PENDING_STEPS: usize = 3;

/// A step of the placement: models that make way, and one that is loaded.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The engine.
    pub endpoint: String,
    /// The models to unload first.
    pub unload: Vec<Model>,
    /// The model to load then.
    pub load: Model,
    /// What the step was ordered on: the part of an engine's reading speed that the
    /// demand for the model takes, and its copies without this one.
    pub share: f64,
    pub copies: usize,
}

/// The steps under way and the account of the store.
#[derive(Debug, Default)]
pub struct Placement {
    /// The steps that each engine has been ordered, and when each is given up.
    pending: BTreeMap<String, Vec<(Step, Instant)>>,
    /// From when on enough is known of the engines to plan.
    ready_at: Option<Instant>,
    /// When the latest loads were ordered.
    store_loads: VecDeque<Instant>,
    next_round: Option<Instant>,
}

impl Placement {
    /// When the next round is due; `None` before the first, which is due at once.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.next_round
    }

    /// The engine did not take the step that loads `model`.
    pub fn reject(&mut self, endpoint: &str, model: &Model) {
        if let Some(steps) = self.pending.get_mut(endpoint) {
            steps.retain(|(step, _)| step.load != *model);
        }
    }

    /// Orders the next steps, if a round is due. `opened` is when the gateway began to
    /// hear of engines.
    pub fn plan(&mut self, now: Instant, opened: Instant, fleet: &Fleet<'_>) -> Vec<Step> {
        if self.next_round.is_some_and(|next| now < next) {
            return Vec::new();
        }
        if self.next_round.is_none() {
            // What the leader before ordered within the window is not known here.
            let allowed = store_allowance(fleet) / 2.0;
            self.store_loads = std::iter::repeat_n(now, floor(allowed)).collect();
            // Engines that hold nothing have all just started, so nothing is missed.
            let empty = fleet.instances.iter().all(|host| host.models.is_empty());
            let ready = if empty {
                now + EMPTY_FLEET_DELAY
            } else {
                now.max(opened + STARTUP_DELAY)
            };
            self.ready_at = Some(ready);
            self.next_round = Some(ready.min(now + ROUND_INTERVAL));
        } else {
            self.next_round = Some(now + ROUND_INTERVAL);
        }
        self.drop_finished(now, fleet);
        while self
            .store_loads
            .front()
            .is_some_and(|&at| at + STORE_WINDOW <= now)
        {
            self.store_loads.pop_front();
        }
        if self.ready_at.is_some_and(|ready| now < ready) {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for weights in self.shortages(fleet) {
            let missing = self.missing_copies(fleet, weights);
            for _ in 0..missing.min(MAX_COPIES_PER_ROUND) {
                let store = self.store_has_room(fleet);
                let Some((step, warm)) = self.best_step(fleet, weights, store) else {
                    break;
                };
                if !warm {
                    self.store_loads.push_back(now);
                }
                let until = now + weights.load + ORDER_TIMEOUT_MARGIN;
                let pending = self.pending.entry(step.endpoint.clone()).or_default();
                pending.push((step.clone(), until));
                steps.push(step);
            }
        }
        steps
    }

    /// How many copies a model that is short of them lacks.
    fn missing_copies(&self, fleet: &Fleet<'_>, weights: &Weights) -> usize {
        let spare = fleet.spare_copies(SPARE_COPIES, SPARE_MEMORY_FRACTION);
        let copies = self.copy_count(fleet, &weights.model);
        let wanted = copies_for(fleet.share(&weights.model)).max(spare);
        wanted.saturating_sub(copies)
    }

    /// Ends the steps that are done or have taken too long.
    fn drop_finished(&mut self, now: Instant, fleet: &Fleet<'_>) {
        self.pending.retain(|endpoint, steps| {
            let host = fleet.instance(endpoint);
            steps.retain(|(step, until)| {
                let done = host.is_none_or(|host| host.models.contains(&step.load));
                !done && now < *until
            });
            !steps.is_empty()
        });
    }

    /// The steps that an engine has been ordered.
    fn pending(&self, host: &Instance<'_>) -> impl Iterator<Item = &Step> {
        let steps = self.pending.get(host.id).into_iter().flatten();
        steps.map(|(step, _)| step)
    }

    fn store_has_room(&self, fleet: &Fleet<'_>) -> bool {
        to_f64(self.store_loads.len() + 1) <= store_allowance(fleet)
    }

    /// The models that need another copy, the most urgent first.
    fn shortages<'a>(&self, fleet: &Fleet<'a>) -> Vec<&'a Weights> {
        let spare = fleet.spare_copies(SPARE_COPIES, SPARE_MEMORY_FRACTION);
        let mut short: Vec<(bool, f64, &Weights)> = Vec::new();
        for weights in &fleet.engine.models {
            let copies = self.copy_count(fleet, &weights.model);
            let per_copy = fleet.share(&weights.model) / to_f64(copies.max(1));
            if copies < spare || per_copy > MAX_SHARE_PER_COPY {
                short.push((copies == 0, per_copy, weights));
            }
        }
        short.sort_by(|one, other| other.0.cmp(&one.0).then(other.1.total_cmp(&one.1)));
        short.into_iter().map(|(_, _, weights)| weights).collect()
    }

    /// The copies of a model, those on their way included and those that make way not.
    fn copy_count(&self, fleet: &Fleet<'_>, model: &Model) -> usize {
        let held = fleet.instances.iter().filter(|host| {
            let coming = self.pending(host).any(|step| step.load == *model);
            let leaving = self.pending(host).any(|step| step.unload.contains(model));
            coming || (host.models.contains(model) && !leaving)
        });
        held.count()
    }

    /// The best way to one more copy of a model, and whether it spares the store.
    fn best_step(&self, fleet: &Fleet<'_>, weights: &Weights, store: bool) -> Option<(Step, bool)> {
        let free = fleet.instances.iter().filter(|host| {
            let coming = self.pending(host).any(|step| step.load == weights.model);
            let idle = self.pending(host).count() < MAX_PENDING_STEPS;
            idle && !coming && !host.models.contains(&weights.model)
        });
        let ways = free.filter_map(|host| {
            let warm = host.is_warm(&weights.model);
            let unload = self.select_evictions(fleet, host, weights)?;
            let queued = to_f64(self.pending(host).count());
            let busy = if unload.is_empty() { 0 } else { host.in_flight };
            let wait = f64::from(busy) * IN_FLIGHT_COST;
            let cost = host.load + wait + (to_f64(unload.len()) + queued) * MAX_SHARE_PER_COPY;
            let cost = if warm { cost - WARM_COPY_BONUS } else { cost };
            (warm || store).then_some((cost, host, unload, warm))
        });
        let best = ways.min_by(|one, other| one.0.total_cmp(&other.0))?;
        let (_, host, unload, warm) = best;
        let step = Step {
            endpoint: host.id.to_owned(),
            unload,
            load: weights.model.clone(),
            share: fleet.share(&weights.model),
            copies: self.copy_count(fleet, &weights.model),
        };
        Some((step, warm))
    }
}

/// The copies that a model needs whose demand takes `share` of an engine.
fn copies_for(share: f64) -> usize {
    floor(share / TARGET_SHARE_PER_COPY) + 1
}

/// Loads from the store that may be ordered within its window.
fn store_allowance(fleet: &Fleet<'_>) -> f64 {
    fleet.engine.loads_per_second * STORE_WINDOW.as_secs_f64() * STORE_RATE_FRACTION
}

/// The whole part of a small number.
fn floor(number: f64) -> usize {
    (0..usize::from(u16::MAX))
        .find(|&whole| to_f64(whole + 1) > number)
        .unwrap_or(0)
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
