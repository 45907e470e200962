//! One round of the placement, which may take several turns of the event loop.
//!
//! A round works on a snapshot of the fleet in which models and engines are numbers, and each
//! step that it orders changes the counts that depend on it. So a step costs one look at the
//! engines that might take it, in the order of their load, and a turn ends after a bounded
//! number of such looks.

use std::collections::HashMap;

use super::catalogue::{Catalogue, Entry};
use super::{Fleet, IN_FLIGHT_COST, MAX_PENDING_STEPS, MAX_SHARE_PER_COPY, Step};
use super::{WARM_COPY_BONUS, to_f64};
use crate::version::Model;

/// The most copies of one model that one round orders.
const MAX_COPIES: usize = 4;

/// How many engines one turn looks at. Fewer than 100 ns each keep a turn within 2 ms.
const ENGINES_PER_TURN: usize = 16_384;

/// The share per remaining copy below which a model may lose a copy. It is below
/// [`super::TARGET_SHARE_PER_COPY`], so that the copy isn't loaded again at once.
const MAX_SHARE_AFTER_EVICTION: f64 = 0.12;

/// A round in progress.
#[derive(Debug)]
pub struct Round {
    catalogue: Catalogue,
    slots: Vec<Slot>,
    /// The engines by number, least loaded first.
    by_load: Vec<usize>,
    /// The models that need another copy, the next one last.
    shortages: Vec<usize>,
    /// The copies of the last of them that may still be ordered, once they have been counted.
    wanted: Option<usize>,
}

/// An engine in a round. Models are given by their numbers.
#[derive(Debug)]
struct Slot {
    id: String,
    held: Vec<usize>,
    /// The models that pending steps load.
    loading: Vec<usize>,
    /// The models held that pending steps evict.
    evicting: Vec<usize>,
    /// The number of pending steps.
    steps: usize,
    /// The memory left once all pending steps are done, in megabytes. Adapter slots count as
    /// used.
    room_mb: f64,
    in_flight: u32,
    /// The demand for its models as a fraction of its prefill throughput, with the demand for
    /// each model split evenly over the engines that hold it.
    load: f64,
}

/// The next step of a round.
pub struct Choice {
    pub step: Step,
    /// Whether the copy is loaded from a warm one, without the store.
    pub warm: bool,
    /// The time to load the model.
    pub load_time: std::time::Duration,
}

/// What a turn came to.
pub enum Progress {
    /// A step to order.
    Step(Choice),
    /// The turn has looked at enough engines; the round goes on in another one.
    Paused,
    /// There are no more steps.
    Done,
}

/// An engine that could take a copy.
#[derive(Clone, Copy)]
struct Candidate {
    cost: f64,
    slot: usize,
    warm: bool,
}

impl Round {
    /// Begins a round. `pending` are the steps ordered before that are not done.
    pub fn open<'b>(fleet: &Fleet<'_>, pending: impl Iterator<Item = &'b Step>) -> Self {
        let mut catalogue = Catalogue::open(fleet);
        let models_mb = fleet.engine.models_mb();
        let mut slots: Vec<Slot> = Vec::with_capacity(fleet.instances.len());
        for (number, instance) in fleet.instances.iter().enumerate() {
            let models = instance.models.iter();
            let held: Vec<usize> = models
                .map(|model| catalogue.number(model, &fleet.demand))
                .collect();
            for &model in &held {
                let entry = catalogue.entry_mut(model);
                entry.copies += 1;
                entry.loaded += 1;
            }
            for model in instance.warm_copies {
                let model = catalogue.number(model, &fleet.demand);
                catalogue.entry_mut(model).warm.push(number);
            }
            let used: f64 = held.iter().map(|&model| catalogue.entry(model).mb).sum();
            slots.push(Slot {
                id: instance.id.to_owned(),
                held,
                loading: Vec::new(),
                evicting: Vec::new(),
                steps: 0,
                room_mb: models_mb - used,
                in_flight: instance.in_flight,
                load: 0.0,
            });
        }
        for slot in &mut slots {
            let models = slot.held.iter().map(|&model| catalogue.entry(model));
            slot.load = models.map(|entry| entry.share / to_f64(entry.copies)).sum();
        }
        let mut by_load: Vec<usize> = (0..slots.len()).collect();
        by_load.sort_by(|&one, &other| slots[one].load.total_cmp(&slots[other].load));
        let numbers = slots.iter().enumerate();
        let numbers: HashMap<String, usize> = numbers
            .map(|(number, slot)| (slot.id.clone(), number))
            .collect();
        let mut round = Self {
            catalogue,
            slots,
            by_load,
            shortages: Vec::new(),
            wanted: None,
        };
        for step in pending {
            if let Some(&slot) = numbers.get(&step.endpoint) {
                let unload = step.unload.iter();
                let unload: Vec<usize> = unload
                    .map(|model| round.catalogue.number(model, &fleet.demand))
                    .collect();
                let load = round.catalogue.number(&step.load, &fleet.demand);
                round.apply(slot, &unload, load);
            }
        }
        round.shortages = round.catalogue.shortages();
        round.shortages.reverse();
        round
    }

    /// Looks for the next step. `looks` counts the engines that this turn has looked at, and
    /// `store_has_room` says whether a model may be loaded from the store.
    pub fn advance(&mut self, looks: &mut usize, store_has_room: bool) -> Progress {
        while let Some(&model) = self.shortages.last() {
            if *looks >= ENGINES_PER_TURN {
                return Progress::Paused;
            }
            let missing = || self.catalogue.missing_copies(model).min(MAX_COPIES);
            let wanted = self.wanted.unwrap_or_else(missing);
            let best = (wanted > 0)
                .then(|| self.best(model, store_has_room, looks))
                .flatten();
            let Some(best) = best else {
                self.shortages.pop();
                self.wanted = None;
                continue;
            };
            self.wanted = Some(wanted - 1);
            return Progress::Step(self.order(best, model));
        }
        Progress::Done
    }

    /// The cheapest engine for another copy of a model, the first in their order if several are.
    fn best(&self, model: usize, store_has_room: bool, looks: &mut usize) -> Option<Candidate> {
        let warm = &self.catalogue.entry(model).warm;
        let mut best: Option<Candidate> = None;
        let mut offer = |slot: usize, cost: f64, warm| {
            let better = best.is_none_or(|best| {
                let order = cost.total_cmp(&best.cost).then(slot.cmp(&best.slot));
                order.is_lt()
            });
            if better {
                best = Some(Candidate { cost, slot, warm });
            }
            best.map_or(f64::INFINITY, |best| best.cost)
        };
        let mut evictions = Vec::new();
        let mut lowest = f64::INFINITY;
        for &slot in warm {
            *looks += 1;
            if let Some(cost) = self.cost(slot, model, &mut evictions) {
                lowest = offer(slot, cost - WARM_COPY_BONUS, true);
            }
        }
        if !store_has_room {
            return best;
        }
        for &slot in &self.by_load {
            // No engine further on costs less than its load.
            if self.slots[slot].load > lowest {
                break;
            }
            *looks += 1;
            if let Some(cost) = self.cost(slot, model, &mut evictions)
                && warm.binary_search(&slot).is_err()
            {
                lowest = offer(slot, cost, false);
            }
        }
        best
    }

    /// What it costs to load a model at an engine; `None` if it can't or should not.
    /// `evictions` returns the models to evict first.
    fn cost(&self, slot: usize, model: usize, evictions: &mut Vec<usize>) -> Option<f64> {
        let slot = &self.slots[slot];
        let known = slot.loading.contains(&model) || slot.held.contains(&model);
        if known || slot.steps >= MAX_PENDING_STEPS {
            return None;
        }
        self.select_evictions(slot, model, evictions)?;
        let in_flight = if evictions.is_empty() {
            0
        } else {
            slot.in_flight
        };
        let drain_cost = f64::from(in_flight) * IN_FLIGHT_COST;
        let evicted = evictions.iter().map(|&held| self.catalogue.entry(held));
        let crowding: f64 = evicted.map(share_after_eviction).sum();
        let steps = to_f64(evictions.len()) + to_f64(slot.steps);
        Some(slot.load + drain_cost + crowding + steps * MAX_SHARE_PER_COPY)
    }

    /// Selects the models to evict to make room for `model`, which may be none.
    ///
    /// Returns `None` if the models that may be evicted don't free enough memory.
    fn select_evictions(
        &self,
        slot: &Slot,
        model: usize,
        evictions: &mut Vec<usize>,
    ) -> Option<()> {
        evictions.clear();
        let entry = self.catalogue.entry(model);
        let mut missing = entry.mb - slot.room_mb;
        if missing <= 0.0 {
            return Some(());
        }
        let urgent = entry.copies == 0;
        // Nothing is evicted for a copy that only adds redundancy: a model that is idle
        // now may be requested next.
        if !urgent && entry.share / to_f64(entry.copies) <= MAX_SHARE_PER_COPY {
            return None;
        }
        let held = slot.held.iter().copied();
        evictions.extend(held.filter(|held| {
            !slot.evicting.contains(held) && is_evictable(self.catalogue.entry(*held), urgent)
        }));
        // The model whose other copies have the least to take over is evicted first.
        let share = |&held: &usize| share_after_eviction(self.catalogue.entry(held));
        evictions.sort_by(|one, other| share(one).total_cmp(&share(other)));
        let mut count = 0;
        for &held in evictions.iter() {
            missing -= self.catalogue.entry(held).mb;
            count += 1;
            if missing <= 0.0 {
                evictions.truncate(count);
                return Some(());
            }
        }
        None
    }

    /// Orders a copy of `model` at an engine.
    fn order(&mut self, candidate: Candidate, model: usize) -> Choice {
        let mut evictions = Vec::new();
        let slot = &self.slots[candidate.slot];
        // It succeeds as it did when the engine was chosen.
        let _ = self.select_evictions(slot, model, &mut evictions);
        let name = |&number: &usize| -> Model { self.catalogue.entry(number).model.clone() };
        let entry = self.catalogue.entry(model);
        let choice = Choice {
            step: Step {
                endpoint: slot.id.clone(),
                unload: evictions.iter().map(name).collect(),
                load: entry.model.clone(),
                share: entry.share,
                copies: entry.copies,
            },
            warm: candidate.warm,
            load_time: entry.load_time,
        };
        self.apply(candidate.slot, &evictions, model);
        choice
    }

    /// Counts a pending step of an engine.
    fn apply(&mut self, slot: usize, unload: &[usize], load: usize) {
        let slot = &mut self.slots[slot];
        slot.steps += 1;
        for &model in unload {
            // The memory of models that are no longer held is already counted as free.
            if slot.held.contains(&model) && !slot.evicting.contains(&model) {
                slot.evicting.push(model);
                let entry = self.catalogue.entry_mut(model);
                slot.room_mb += entry.mb;
                entry.copies -= 1;
                entry.loaded -= 1;
            }
        }
        slot.loading.push(load);
        let entry = self.catalogue.entry_mut(load);
        slot.room_mb -= entry.mb;
        entry.copies += 1;
    }
}

/// Whether a model may lose one copy. The limit is higher if `urgent`, that is, if the
/// model to load has no copy. A copy that is still loading does not replace one: for seconds there
/// would be none.
fn is_evictable(entry: &Entry, urgent: bool) -> bool {
    let limit = if urgent {
        MAX_SHARE_PER_COPY
    } else {
        MAX_SHARE_AFTER_EVICTION
    };
    entry.loaded > 1 && share_after_eviction(entry) < limit
}

/// The demand for each remaining copy of a model that loses one.
fn share_after_eviction(entry: &Entry) -> f64 {
    entry.share / to_f64(entry.copies.max(2) - 1)
}
