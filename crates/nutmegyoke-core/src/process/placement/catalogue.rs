//! The models of a service in one round, by number, with their copies.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{BASELINE_COPIES, BASELINE_MEMORY_FRACTION, TARGET_SHARE_PER_COPY};
use super::{Fleet, floor, to_f64};
use crate::version::Model;
use crate::version::routing::Engine;

/// An engine's prefill throughput in prompt tokens per second. From the users' data
/// sheets, which give the same figure for all their engines.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 38_700.0;

/// A model of the service, or one that an engine holds beside them.
#[derive(Debug)]
pub struct Entry {
    pub model: Model,
    /// The size of the weights in megabytes; 0 if it isn't a model of the service.
    pub mb: f64,
    /// The time to load the weights from the store.
    pub load_time: Duration,
    /// The demand for the model as a fraction of one engine's prefill throughput.
    pub share: f64,
    /// The engines that hold the model and keep it, or load it.
    pub copies: usize,
    /// The engines of these that hold it already.
    pub loaded: usize,
    /// The numbers of the engines that have a warm copy, in ascending order.
    pub warm: Vec<usize>,
}

/// The models by number. Those of the service come first, in its order.
#[derive(Debug)]
pub struct Catalogue {
    entries: Vec<Entry>,
    numbers: HashMap<Model, usize>,
    /// The number of models of the service.
    known: usize,
    /// How many copies of every model are kept in any case.
    baseline: usize,
}

impl Catalogue {
    pub fn open(fleet: &Fleet<'_>) -> Self {
        let mut catalogue = Self {
            entries: Vec::new(),
            numbers: HashMap::new(),
            known: 0,
            baseline: baseline_copies(fleet.engine, fleet.instances.len()),
        };
        for footprint in &fleet.engine.models {
            let number = catalogue.number(&footprint.model, &fleet.demand);
            let entry = &mut catalogue.entries[number];
            entry.mb = footprint.mb;
            entry.load_time = footprint.load_time;
        }
        catalogue.known = catalogue.entries.len();
        catalogue
    }

    /// The number of a model, which is added if it has none.
    pub fn number(&mut self, model: &Model, demand: &BTreeMap<Model, f64>) -> usize {
        if let Some(&number) = self.numbers.get(model) {
            return number;
        }
        let number = self.entries.len();
        self.entries.push(Entry {
            model: model.clone(),
            mb: 0.0,
            load_time: Duration::ZERO,
            share: demand.get(model).copied().unwrap_or(0.0) / PREFILL_TOKENS_PER_SECOND,
            copies: 0,
            loaded: 0,
            warm: Vec::new(),
        });
        self.numbers.insert(model.clone(), number);
        number
    }

    pub fn entry(&self, number: usize) -> &Entry {
        &self.entries[number]
    }

    pub fn entry_mut(&mut self, number: usize) -> &mut Entry {
        &mut self.entries[number]
    }

    /// The models that need another copy: those without one first, then by demand per copy.
    pub fn shortages(&self) -> Vec<usize> {
        let mut shortages: Vec<(bool, f64, usize)> = Vec::new();
        for (number, entry) in self.entries[..self.known].iter().enumerate() {
            let per_copy = entry.share / to_f64(entry.copies.max(1));
            if entry.copies < self.baseline || per_copy > super::MAX_SHARE_PER_COPY {
                shortages.push((entry.copies == 0, per_copy, number));
            }
        }
        shortages.sort_by(|one, other| other.0.cmp(&one.0).then(other.1.total_cmp(&one.1)));
        shortages.into_iter().map(|(_, _, number)| number).collect()
    }

    /// How many more copies a model needs.
    pub fn missing_copies(&self, number: usize) -> usize {
        let entry = &self.entries[number];
        let target = copies_for(entry.share).max(self.baseline);
        target.saturating_sub(entry.copies)
    }
}

/// How many copies of every model are kept: as many as fit into
/// [`BASELINE_MEMORY_FRACTION`] of all memory, from 1 to [`BASELINE_COPIES`].
fn baseline_copies(engine: &Engine, instances: usize) -> usize {
    let memory = to_f64(instances) * engine.weights_mb * BASELINE_MEMORY_FRACTION;
    let one_copy_each: f64 = engine.models.iter().map(|footprint| footprint.mb).sum();
    let fits = |&copies: &usize| to_f64(copies) * one_copy_each <= memory;
    (1..=BASELINE_COPIES).rev().find(fits).unwrap_or(1)
}

/// The copies that a model needs if its demand is `share` of an engine's prefill
/// throughput.
fn copies_for(share: f64) -> usize {
    floor(share / TARGET_SHARE_PER_COPY) + 1
}
