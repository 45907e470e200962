//! Which engine of a service holds which models.
//!
//! Runs at the gateway whose replica leads. Every round compares the copies of
//! each model with what its demand needs and orders single steps towards that:
//! models that nothing holds first, then those with the most work per copy. A
//! copy makes way only while others of its model are left.

pub mod fleet;
mod room;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

pub use fleet::{Fleet, Host};

use crate::version::Model;
use crate::version::routing::Weights;

/// The time between two rounds.
const PERIOD: Duration = Duration::from_millis(400);

/// The window in which loads from the store are counted.
const STORE_WINDOW: Duration = Duration::from_secs(5);

/// The part of the store's rate that is used, so that loads which the engines
/// begin late don't add up to more.
const STORE_SHARE: f64 = 0.9;

/// How long an order may take beyond the load before it is given up: the
/// heartbeat that tells of it, and a slow store.
const ORDER_SLACK: Duration = Duration::from_secs(5);

/// The part of its reading speed that an engine spends on one model, above which
/// the model gets more copies. Beyond a third, prompts that are read slow down
/// the answers of all other requests on the engine.
const BUSY: f64 = 0.2;

/// The part that each copy has once there are enough.
const ENOUGH: f64 = 0.15;

/// What a request in flight costs at an engine of which a model has to make way: the
/// model stays until its requests end, which takes seconds.
const WAIT: f64 = 0.02;

/// What a copy near the engine is worth: it loads several times as fast, and
/// without the store.
const WARM_GAIN: f64 = 1.0;

/// Copies of one model that are ordered in one round at most.
const COPIES_A_ROUND: usize = 4;

/// Copies of a model that are kept for the loss of an engine, where they fit.
const SPARE_COPIES: usize = 2;

/// The part of all memory that spare copies may take.
const SPARE_SHARE: f64 = 0.8;

/// How long a gateway listens after its start before it plans: every engine has sent
/// a heartbeat by then, or is gone.
const LISTEN: Duration = Duration::from_millis(1600);

/// How long it listens where all engines that it knows are empty, because
/// all have been restarted: long enough for most to have sent their first heartbeat.
const LISTEN_TO_EMPTY: Duration = Duration::from_millis(100);

/// The steps that an engine is ordered ahead at most.
const STEPS_AHEAD: usize = 3;

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
    ready: Option<Instant>,
    /// When the latest loads were ordered.
    loads: VecDeque<Instant>,
    next: Option<Instant>,
}

impl Placement {
    /// When the next round is due; `None` before the first, which is due at once.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.next
    }

    /// The engine did not take the step that loads `model`.
    pub fn fail(&mut self, endpoint: &str, model: &Model) {
        if let Some(steps) = self.pending.get_mut(endpoint) {
            steps.retain(|(step, _)| step.load != *model);
        }
    }

    /// Orders the next steps, if a round is due. `opened` is when the gateway began to
    /// hear of engines.
    pub fn plan(&mut self, now: Instant, opened: Instant, fleet: &Fleet<'_>) -> Vec<Step> {
        if self.next.is_some_and(|next| now < next) {
            return Vec::new();
        }
        if self.next.is_none() {
            // What the leader before ordered within the window is not known here.
            let allowed = store_allowance(fleet) / 2.0;
            self.loads = std::iter::repeat_n(now, whole(allowed)).collect();
            // Engines that hold nothing have all just started, so nothing is missed.
            let empty = fleet.hosts.iter().all(|host| host.models.is_empty());
            let ready = if empty {
                now + LISTEN_TO_EMPTY
            } else {
                now.max(opened + LISTEN)
            };
            self.ready = Some(ready);
            self.next = Some(ready.min(now + PERIOD));
        } else {
            self.next = Some(now + PERIOD);
        }
        self.settle(now, fleet);
        while self
            .loads
            .front()
            .is_some_and(|&at| at + STORE_WINDOW <= now)
        {
            self.loads.pop_front();
        }
        if self.ready.is_some_and(|ready| now < ready) {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for weights in self.shortages(fleet) {
            let missing = self.missing(fleet, weights);
            for _ in 0..missing.min(COPIES_A_ROUND) {
                let store = self.store_has_room(fleet);
                let Some((step, warm)) = self.step(fleet, weights, store) else {
                    break;
                };
                if !warm {
                    self.loads.push_back(now);
                }
                let until = now + weights.load_time + ORDER_SLACK;
                let pending = self.pending.entry(step.endpoint.clone()).or_default();
                pending.push((step.clone(), until));
                steps.push(step);
            }
        }
        steps
    }

    /// How many copies a model that is short of them lacks.
    fn missing(&self, fleet: &Fleet<'_>, weights: &Weights) -> usize {
        let spare = fleet.spare_copies(SPARE_COPIES, SPARE_SHARE);
        let copies = self.copies(fleet, &weights.model);
        let wanted = needed(fleet.share(&weights.model)).max(spare);
        wanted.saturating_sub(copies)
    }

    /// Ends the steps that are done or have taken too long.
    fn settle(&mut self, now: Instant, fleet: &Fleet<'_>) {
        self.pending.retain(|endpoint, steps| {
            let host = fleet.host(endpoint);
            steps.retain(|(step, until)| {
                let done = host.is_none_or(|host| host.models.contains(&step.load));
                !done && now < *until
            });
            !steps.is_empty()
        });
    }

    /// The steps that an engine has been ordered.
    fn pending(&self, host: &Host<'_>) -> impl Iterator<Item = &Step> {
        let steps = self.pending.get(host.id).into_iter().flatten();
        steps.map(|(step, _)| step)
    }

    fn store_has_room(&self, fleet: &Fleet<'_>) -> bool {
        count(self.loads.len() + 1) <= store_allowance(fleet)
    }

    /// The models that need another copy, the most urgent first.
    fn shortages<'a>(&self, fleet: &Fleet<'a>) -> Vec<&'a Weights> {
        let spare = fleet.spare_copies(SPARE_COPIES, SPARE_SHARE);
        let mut short: Vec<(bool, f64, &Weights)> = Vec::new();
        for weights in &fleet.engine.models {
            let copies = self.copies(fleet, &weights.model);
            let per_copy = fleet.share(&weights.model) / count(copies.max(1));
            if copies < spare || per_copy > BUSY {
                short.push((copies == 0, per_copy, weights));
            }
        }
        short.sort_by(|one, other| other.0.cmp(&one.0).then(other.1.total_cmp(&one.1)));
        short.into_iter().map(|(_, _, weights)| weights).collect()
    }

    /// The copies of a model, those on their way included and those that make way not.
    fn copies(&self, fleet: &Fleet<'_>, model: &Model) -> usize {
        let held = fleet.hosts.iter().filter(|host| {
            let coming = self.pending(host).any(|step| step.load == *model);
            let leaving = self.pending(host).any(|step| step.unload.contains(model));
            coming || (host.models.contains(model) && !leaving)
        });
        held.count()
    }

    /// The best way to one more copy of a model, and whether it spares the store.
    fn step(&self, fleet: &Fleet<'_>, weights: &Weights, store: bool) -> Option<(Step, bool)> {
        let free = fleet.hosts.iter().filter(|host| {
            let coming = self.pending(host).any(|step| step.load == weights.model);
            let idle = self.pending(host).count() < STEPS_AHEAD;
            idle && !coming && !host.models.contains(&weights.model)
        });
        let ways = free.filter_map(|host| {
            let warm = host.is_warm(&weights.model);
            let unload = self.make_room(fleet, host, weights)?;
            let queued = count(self.pending(host).count());
            let busy = if unload.is_empty() { 0 } else { host.in_flight };
            let wait = f64::from(busy) * WAIT;
            let cost = host.load + wait + (count(unload.len()) + queued) * BUSY;
            let cost = if warm { cost - WARM_GAIN } else { cost };
            (warm || store).then_some((cost, host, unload, warm))
        });
        let best = ways.min_by(|one, other| one.0.total_cmp(&other.0))?;
        let (_, host, unload, warm) = best;
        let step = Step {
            endpoint: host.id.to_owned(),
            unload,
            load: weights.model.clone(),
            share: fleet.share(&weights.model),
            copies: self.copies(fleet, &weights.model),
        };
        Some((step, warm))
    }
}

/// The copies that a model needs whose demand takes `share` of an engine.
fn needed(share: f64) -> usize {
    whole(share / ENOUGH) + 1
}

/// Loads from the store that may be ordered within its window.
fn store_allowance(fleet: &Fleet<'_>) -> f64 {
    fleet.engine.loads_per_second * STORE_WINDOW.as_secs_f64() * STORE_SHARE
}

/// The whole part of a small number.
fn whole(number: f64) -> usize {
    (0..usize::from(u16::MAX))
        .find(|&whole| count(whole + 1) > number)
        .unwrap_or(0)
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
