//! The engines and what they hold or are about to hold, for one round of planning.

use std::collections::HashMap;

use super::need::Need;
use crate::process::order::Weights;
use crate::process::report::State;

/// The fleet in one round.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The engines.
    pub engines: Vec<Engine>,
    /// The needed items first, then what is held without need.
    pub items: Vec<Item>,
    /// The items by their weights.
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
    /// Bytes neither reserved nor set aside in this round.
    pub free_bytes: u64,
    /// Bytes that unloads under way will release.
    pub releasing: u64,
    /// Whether it takes orders.
    pub ready: bool,
    /// Requests a second that it gets.
    pub load: f64,
    /// What it holds.
    pub copies: Vec<Copy>,
}

/// An item on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copy {
    /// The index of the item.
    pub item: usize,
    /// The memory that it takes, in bytes.
    pub bytes: u64,
    /// Its state.
    pub state: State,
}

/// Weights in one round.
#[derive(Clone, Debug)]
pub struct Item {
    /// Which weights.
    pub weights: Weights,
    /// The memory of a copy, in bytes.
    pub bytes: u64,
    /// Of an adapter, the index of its model.
    pub base: Option<usize>,
    /// Of a model, the indices of its adapters.
    pub adapters: Vec<usize>,
    /// Whether a plan may use it.
    pub needed: bool,
    /// Requests a second.
    pub rate: f64,
    /// The engines with a copy in any state.
    pub holders: Vec<usize>,
}

impl Fleet {
    /// Opens a fleet without engines.
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

    /// The index of weights, which are added without need if they are new.
    pub fn item_index(&mut self, weights: &Weights, bytes: u64) -> usize {
        match self.index.get(weights) {
            Some(&index) => index,
            None => self.add(weights, bytes, false),
        }
    }

    /// Notes a copy on an engine; its bytes are no longer free.
    pub fn add_copy(&mut self, engine: usize, copy: Copy) {
        let row = &mut self.engines[engine];
        row.free_bytes = row.free_bytes.saturating_sub(copy.bytes);
        if copy.state == State::Unloading {
            row.releasing += copy.bytes;
        }
        row.copies.push(copy);
        self.items[copy.item].holders.push(engine);
    }

    /// The state of an item on an engine.
    #[must_use]
    pub fn state(&self, item: usize, engine: usize) -> Option<State> {
        let mut copies = self.engines[engine].copies.iter();
        copies.find(|copy| copy.item == item).map(|copy| copy.state)
    }

    /// Notes that an unload of a copy is ordered.
    pub fn mark_unloading(&mut self, item: usize, engine: usize) {
        let row = &mut self.engines[engine];
        if let Some(copy) = row.copies.iter_mut().find(|copy| copy.item == item) {
            copy.state = State::Unloading;
            row.releasing += copy.bytes;
        }
    }

    /// The engines on which requests reach the item: an adapter needs its model beside it.
    pub fn reachable(&self, item: usize) -> impl Iterator<Item = usize> + '_ {
        let base = self.items[item].base;
        let resident = |item, engine| self.state(item, engine) == Some(State::Resident);
        let holders = self.items[item].holders.iter().copied();
        holders.filter(move |&engine| {
            let based = base.is_none_or(|base| resident(base, engine));
            based && self.engines[engine].ready && resident(item, engine)
        })
    }

    /// The engines onto which the item is being loaded.
    pub fn loading(&self, item: usize) -> impl Iterator<Item = usize> + '_ {
        let holders = self.items[item].holders.iter().copied();
        holders.filter(move |&engine| self.state(item, engine) == Some(State::Loading))
    }

    /// Whether a copy can go and every item it serves stays reachable.
    #[must_use]
    pub fn is_redundant(&self, item: usize, engine: usize) -> bool {
        if self.state(item, engine) != Some(State::Resident) {
            return false;
        }
        let elsewhere = |item| self.reachable(item).any(|holder| holder != engine);
        let row = &self.items[item];
        let mut adapters = row.adapters.iter();
        let stranded = adapters.any(|&adapter| {
            // One that is still loading counts: it was sent here for want of another place.
            let here = matches!(
                self.state(adapter, engine),
                Some(State::Resident | State::Loading)
            );
            here && self.items[adapter].needed && !elsewhere(adapter)
        });
        !stranded && (!row.needed || elsewhere(item))
    }

    /// Spreads each item's requests evenly over its copies.
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

    /// The requests a second that each of `copies` copies of an item gets.
    ///
    /// A request for an adapter is counted at its model already.
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
