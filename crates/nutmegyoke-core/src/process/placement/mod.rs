//! Decides which models each engine of a service holds.
//!
//! Runs on the gateway whose replica leads, once per service; the gateway sends each
//! step to its engine's steward. Each round compares the copies of every model with the
//! number that its demand requires, and orders a few steps towards it: first for models
//! without a copy, then for those with the highest demand per copy. A copy is evicted
//! only while the model has others.
//!
//! The gateway's event loop also replicates the log, so a round is split into turns, each with
//! a bounded amount of work.
//!
//! * [`fleet`]: the input of a round;
//! * `expected`: the demand before any is measured;
//! * `catalogue`: the models of a round and their copies;
//! * `round`: the choice of steps.
//!
//! The state is in memory: a new leader starts with an empty [`Placement`], and learns
//! what the engines hold from their heartbeats.

mod catalogue;
mod expected;
pub mod fleet;
mod round;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

pub use fleet::{Fleet, Instance};

use crate::version::Model;
use expected::Expected;
use round::{Progress, Round};

/// The time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// The time between two turns of a round, in which the event loop does its other work. A round
/// in turns of 2 ms takes a quarter of the time at most.
const TURN_INTERVAL: Duration = Duration::from_millis(6);

/// The sliding window over which loads from the weight store are counted.
const STORE_WINDOW: Duration = Duration::from_secs(5);

/// The fraction of the store's load rate that is used, so that engines which start their
/// loads late don't exceed the rate together.
const STORE_RATE_FRACTION: f64 = 0.9;

/// How much longer than the load itself a step may take before it is considered lost.
/// Allows for a slow store and for the heartbeat that reports the load.
const ORDER_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// The fraction of an engine's prefill throughput above which a model gets more copies.
/// Beyond a third, prefill slows down decoding for all other requests on the engine.
///
/// Only a model above it, or one without a copy, may evict others. For a model without a
/// copy, another model may lose a copy if its share per remaining copy is below this.
/// When an engine is chosen for a copy, each model to evict there and each step pending
/// there adds this to the engine's cost.
const MAX_SHARE_PER_COPY: f64 = 0.2;

/// The fraction of an engine's prefill throughput that each copy takes once the model has
/// enough copies.
const TARGET_SHARE_PER_COPY: f64 = 0.15;

/// The cost, as a fraction of an engine's prefill throughput, of each request in flight on an engine that
/// has to evict a model: the model stays until its requests end, which takes seconds.
const IN_FLIGHT_COST: f64 = 0.02;

/// The cost reduction, in the same unit, for a warm copy near the engine: it loads several
/// times as fast, and without the store.
const WARM_COPY_BONUS: f64 = 1.0;

/// How many copies of each model are kept, if they fit, so that one survives the loss of
/// an engine.
const BASELINE_COPIES: usize = 2;

/// The fraction of all engines' memory that the baseline copies of all models may take.
const BASELINE_MEMORY_FRACTION: f64 = 0.8;

/// How long a gateway collects heartbeats, from the first one on, before it plans. By then every
/// live engine has sent one.
const STARTUP_DELAY: Duration = Duration::from_millis(1600);

/// The delay if all known engines are empty because all of them were restarted. It is
/// long enough for most engines to send their first heartbeat.
const EMPTY_FLEET_DELAY: Duration = Duration::from_millis(100);

/// The most steps that may be pending for one engine.
const MAX_PENDING_STEPS: usize = 3;

/// An order to one engine: models to evict, and one to load.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The id of the engine.
    pub endpoint: String,
    /// The models to unload first.
    pub unload: Vec<Model>,
    /// The model to load after that.
    pub load: Model,
    /// The demand for the model when the step was ordered, as a fraction of one engine's
    /// prefill throughput; for the log.
    pub share: f64,
    /// The copies of the model when the step was ordered, without this one; for the log.
    pub copies: usize,
}

/// The pending steps and the recent loads from the store.
#[derive(Debug, Default)]
pub struct Placement {
    /// The pending steps of each engine, each with the time when it is considered lost.
    pending: BTreeMap<String, Vec<(Step, Instant)>>,
    /// When the startup delay ends; set in the first round.
    ready_at: Option<Instant>,
    /// When the loads from the store within [`STORE_WINDOW`] were ordered.
    store_loads: VecDeque<Instant>,
    /// How many may be ordered within it, as of the latest round.
    store_allowance: f64,
    /// When the next round is due.
    next_round: Option<Instant>,
    /// The demand before any is measured; set in the first round that may order steps.
    expected: Option<Expected>,
    /// The round in progress, and when its next turn is due.
    round: Option<(Instant, Round)>,
}

impl Placement {
    /// When the next turn is due; `None` before the first one, which is due immediately.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let turn = self.round.as_ref().map(|&(due, _)| due);
        turn.or(self.next_round)
    }

    /// Removes the step that loads `model`, because the engine's steward did not accept it.
    pub fn reject(&mut self, endpoint: &str, model: &Model) {
        if let Some(steps) = self.pending.get_mut(endpoint) {
            steps.retain(|(step, _)| step.load != *model);
        }
    }

    /// Orders the next steps, if a turn is due.
    ///
    /// `started_at` is when the gateway heard of the first engine. `fleet`
    /// is called when a round begins.
    pub fn plan<'a, F>(&mut self, now: Instant, started_at: Instant, fleet: F) -> Vec<Step>
    where
        F: FnOnce() -> Fleet<'a>,
    {
        if self.deadline().is_some_and(|due| now < due) {
            return Vec::new();
        }
        let round = match self.round.take() {
            Some((_, round)) => Some(round),
            None => self.begin_round(now, started_at, fleet()),
        };
        round.map_or_else(Vec::new, |round| self.advance(now, round))
    }

    /// Begins a round, unless the gateway is still collecting heartbeats.
    fn begin_round(
        &mut self,
        now: Instant,
        started_at: Instant,
        mut fleet: Fleet<'_>,
    ) -> Option<Round> {
        self.store_allowance = store_allowance(&fleet);
        self.next_round = Some(now + ROUND_INTERVAL);
        // As long as no engine is known, it is not known either whether all are empty.
        if fleet.instances.is_empty() {
            return None;
        }
        if self.ready_at.is_none() {
            // The previous leader's loads within the window are not known here, so half of
            // the allowance is taken as used.
            let allowed = self.store_allowance / 2.0;
            self.store_loads = std::iter::repeat_n(now, floor(allowed)).collect();
            // If no known engine holds a model, all have just been restarted, and there
            // are no copies to learn of.
            let all_empty = fleet
                .instances
                .iter()
                .all(|instance| instance.models.is_empty());
            let ready_at = if all_empty {
                now + EMPTY_FLEET_DELAY
            } else {
                now.max(started_at + STARTUP_DELAY)
            };
            self.ready_at = Some(ready_at);
            self.next_round = Some(ready_at.min(now + ROUND_INTERVAL));
        }
        self.drop_finished(now, &fleet);
        if self.ready_at.is_some_and(|ready| now < ready) {
            return None;
        }
        let expected = self.expected.get_or_insert_with(|| Expected::open(&fleet));
        expected.apply(now, &mut fleet);
        let pending = self.pending.values().flatten().map(|(step, _)| step);
        Some(Round::open(&fleet, pending))
    }

    /// Orders the steps of one turn of a round.
    fn advance(&mut self, now: Instant, mut round: Round) -> Vec<Step> {
        while self
            .store_loads
            .front()
            .is_some_and(|&at| at + STORE_WINDOW <= now)
        {
            self.store_loads.pop_front();
        }
        let mut steps = Vec::new();
        let mut looks = 0;
        loop {
            let store_has_room = to_f64(self.store_loads.len() + 1) <= self.store_allowance;
            match round.advance(&mut looks, store_has_room) {
                Progress::Step(choice) => {
                    if !choice.warm {
                        self.store_loads.push_back(now);
                    }
                    let step = choice.step;
                    let expires_at = now + choice.load_time + ORDER_TIMEOUT_MARGIN;
                    let pending = self.pending.entry(step.endpoint.clone()).or_default();
                    pending.push((step.clone(), expires_at));
                    steps.push(step);
                }
                Progress::Paused => {
                    self.round = Some((now + TURN_INTERVAL, round));
                    return steps;
                }
                Progress::Done => return steps,
            }
        }
    }

    /// Removes the steps that are done, have timed out or belong to engines that are gone.
    fn drop_finished(&mut self, now: Instant, fleet: &Fleet<'_>) {
        let instances = fleet.instances.iter();
        let instances: HashMap<&str, &Instance<'_>> =
            instances.map(|instance| (instance.id, instance)).collect();
        self.pending.retain(|endpoint, steps| {
            let instance = instances.get(endpoint.as_str());
            steps.retain(|(step, expires_at)| {
                let done = instance.is_none_or(|instance| instance.models.contains(&step.load));
                !done && now < *expires_at
            });
            !steps.is_empty()
        });
    }
}

/// The loads from the store that may be ordered within [`STORE_WINDOW`].
fn store_allowance(fleet: &Fleet<'_>) -> f64 {
    fleet.engine.loads_per_second * STORE_WINDOW.as_secs_f64() * STORE_RATE_FRACTION
}

/// The integer part of a number up to 65,535.
fn floor(number: f64) -> usize {
    (0..usize::from(u16::MAX))
        .find(|&integer| to_f64(integer + 1) > number)
        .unwrap_or(0)
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
