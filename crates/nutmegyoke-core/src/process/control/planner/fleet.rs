//! A model of the fleet for one round of planning: the engines, with the copies that
//! they hold or are about to hold.
//!
//! Engines and items refer to each other by index; the indices are valid for one round.

use std::collections::HashMap;

use super::need::Need;
use crate::process::order::Weights;
use crate::process::report::State;

/// The fleet in one round.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The engines.
    pub engines: Vec<Engine>,
    /// The needed items in the order of the needs, then other items that engines hold.
    pub items: Vec<Item>,
    /// The indices of the items, by weights.
    pub index: HashMap<Weights, usize>,
}

/// An engine in one round.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The name of its VM.
    pub vm: String,
    /// Its name on the VM.
    pub endpoint: String,
    /// The index of its data centre.
    pub data_centre: usize,
    /// Memory neither reserved nor earmarked in this round, in bytes.
    pub free_bytes: u64,
    /// Memory that unloads in flight will release, in bytes.
    pub releasing: u64,
    /// Whether an inventory has confirmed its agent's ledger. Until then no moves are
    /// planned for the engine, and its copies don't count as reachable.
    pub ready: bool,
    /// Its share of the request rate, in requests per second.
    pub load: f64,
    /// The copies that it holds, in any state.
    pub copies: Vec<Copy>,
}

/// A copy of an item on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copy {
    /// The index of the item.
    pub item: usize,
    /// The memory that it takes, in bytes.
    pub bytes: u64,
    /// The state of its reservation.
    pub state: State,
}

/// The weights of a model or an adapter in one round.
#[derive(Clone, Debug)]
pub struct Item {
    /// Which weights.
    pub weights: Weights,
    /// The memory that a copy takes, in bytes.
    pub bytes: u64,
    /// For an adapter, the index of its model.
    pub base: Option<usize>,
    /// For a model, the indices of its adapters.
    pub adapters: Vec<usize>,
    /// Whether the configuration needs it.
    pub needed: bool,
    /// The sustained request rate, in requests per second.
    pub rate: f64,
    /// The indices of the engines with a copy in any state.
    pub holders: Vec<usize>,
}

impl Fleet {
    /// Opens a fleet without engines; `rate` gives the request rate by name.
    #[must_use]
    pub fn open(needs: &[Need], rate: impl Fn(&str) -> f64) -> Self {
        let mut fleet = Self::default();
        for need in needs {
            let item = fleet.add(&need.weights, need.bytes, true);
            fleet.items[item].base = need.base;
            fleet.items[item].rate = rate(&need.weights.name);
            if let Some(base) = need.base {
                fleet.items[base].adapters.push(item);
            }
        }
        fleet
    }

    /// Adds an item without copies; returns its index.
    fn add(&mut self, weights: &Weights, bytes: u64, needed: bool) -> usize {
        let index = self.items.len();
        self.index.insert(weights.clone(), index);
        self.items.push(Item {
            weights: weights.clone(),
            bytes,
            base: None,
            adapters: Vec::new(),
            needed,
            rate: 0.0,
            holders: Vec::new(),
        });
        index
    }

    /// The index of an item, which is added as not needed if it is new.
    pub fn item_index(&mut self, weights: &Weights, bytes: u64) -> usize {
        match self.index.get(weights) {
            Some(&index) => index,
            None => self.add(weights, bytes, false),
        }
    }

    /// Adds a copy to an engine and takes its memory from what is free.
    pub fn add_copy(&mut self, engine: usize, copy: Copy) {
        let holder = &mut self.engines[engine];
        holder.free_bytes = holder.free_bytes.saturating_sub(copy.bytes);
        if copy.state == State::Unloading {
            holder.releasing += copy.bytes;
        }
        holder.copies.push(copy);
        self.items[copy.item].holders.push(engine);
    }

    /// The state of an item's copy on an engine, if there is one.
    #[must_use]
    pub fn state(&self, item: usize, engine: usize) -> Option<State> {
        let mut copies = self.engines[engine].copies.iter();
        copies.find(|copy| copy.item == item).map(|copy| copy.state)
    }

    /// Marks a copy as unloading, because its unload was ordered.
    pub fn mark_unloading(&mut self, item: usize, engine: usize) {
        let holder = &mut self.engines[engine];
        if let Some(copy) = holder.copies.iter_mut().find(|copy| copy.item == item) {
            copy.state = State::Unloading;
            holder.releasing += copy.bytes;
        }
    }

    /// The engines on which requests can use the item. An adapter needs its model on
    /// the same engine.
    pub fn reachable(&self, item: usize) -> impl Iterator<Item = usize> + '_ {
        let base = self.items[item].base;
        let resident = |item, engine| self.state(item, engine) == Some(State::Resident);
        let holders = self.items[item].holders.iter().copied();
        holders.filter(move |&engine| {
            let has_base = base.is_none_or(|base| resident(base, engine));
            has_base && self.engines[engine].ready && resident(item, engine)
        })
    }

    /// The engines that are loading the item.
    pub fn loading(&self, item: usize) -> impl Iterator<Item = usize> + '_ {
        let holders = self.items[item].holders.iter().copied();
        holders.filter(move |&engine| self.state(item, engine) == Some(State::Loading))
    }

    /// Whether the item and its adapters stay reachable without the copy on `engine`.
    #[must_use]
    pub fn is_redundant(&self, item: usize, engine: usize) -> bool {
        if self.state(item, engine) != Some(State::Resident) {
            return false;
        }
        let elsewhere = |item| self.reachable(item).any(|holder| holder != engine);
        let row = &self.items[item];
        let mut adapters = row.adapters.iter();
        let adapter_lost = adapters.any(|&adapter| {
            // An adapter that is still loading counts: no other engine had room for it.
            let here = matches!(
                self.state(adapter, engine),
                Some(State::Resident | State::Loading)
            );
            here && self.items[adapter].needed && !elsewhere(adapter)
        });
        !adapter_lost && (!row.needed || elsewhere(item))
    }

    /// Sets the load of each engine, with each item's requests split evenly over its copies.
    pub fn distribute_load(&mut self) {
        for engine in &mut self.engines {
            engine.load = 0.0;
        }
        for item in 0..self.items.len() {
            let engines: Vec<usize> = self.reachable(item).collect();
            let share = self.share(item, engines.len());
            for engine in engines {
                self.engines[engine].load += share;
            }
        }
    }

    /// The requests per second that each of `copies` copies of an item gets.
    ///
    /// 0 for an adapter, because its requests count towards its model.
    #[must_use]
    pub fn share(&self, item: usize, copies: usize) -> f64 {
        let row = &self.items[item];
        if row.base.is_some() || copies == 0 {
            return 0.0;
        }
        let copies = u32::try_from(copies).unwrap_or(u32::MAX);
        row.rate / f64::from(copies)
    }
}
