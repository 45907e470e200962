//! The accelerator memory of a stand-in engine that takes orders.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use nutmegyoke_core::process::endpoint::Holding;
use nutmegyoke_core::process::order::{Action, Kind, Stage, Stamp, Weights};
use nutmegyoke_core::process::report::{Capacity, Content, Fencing, Inventory};

/// The contents of an engine's memory. Loads are never refused for lack of space, so
/// that only the agent's ledger prevents overcommitment.
#[derive(Debug)]
pub struct Memory {
    capacity: RefCell<Capacity>,
    /// The newest stamp of all orders and inspections since the last restart.
    newest: Cell<Stamp>,
    stage: Cell<Stage>,
    /// The resident weights with their sizes in bytes.
    contents: RefCell<BTreeMap<Weights, u64>>,
    /// The high-water mark of the resident weights, in bytes.
    peak_bytes: Cell<u64>,
}

impl Memory {
    /// Creates an empty memory.
    #[must_use]
    pub fn open(capacity: Capacity) -> Self {
        Self {
            capacity: RefCell::new(capacity),
            newest: Cell::default(),
            stage: Cell::default(),
            contents: RefCell::default(),
            peak_bytes: Cell::default(),
        }
    }

    /// The properties that the engine announces.
    #[must_use]
    pub fn capacity(&self) -> Capacity {
        self.capacity.borrow().clone()
    }

    /// The high-water mark of the resident weights, in bytes.
    #[must_use]
    pub fn peak_bytes(&self) -> u64 {
        self.peak_bytes.get()
    }

    /// Whether a model or adapter called `name` is resident.
    #[must_use]
    pub fn holds(&self, name: &str) -> bool {
        let contents = self.contents.borrow();
        contents.keys().any(|weights| weights.name == name)
    }

    /// The resident models and adapters, as the engine announces them.
    #[must_use]
    pub fn holding(&self) -> Holding {
        let contents = self.contents.borrow();
        let named = |kind| contents.keys().filter(move |row| row.kind == kind);
        Holding::Engine {
            models: named(Kind::Model)
                .map(|row| row.name.as_str().into())
                .collect(),
            adapters: named(Kind::Adapter)
                .map(|row| row.name.as_str().into())
                .collect(),
        }
    }

    /// Whether the engine accepts an order with this stamp and incarnation: always if it
    /// ignores fencing, otherwise if the incarnation is its own and no newer stamp was seen.
    #[must_use]
    pub fn accepts(&self, stamp: Stamp, incarnation: u64) -> bool {
        let capacity = self.capacity.borrow();
        let current = incarnation == capacity.incarnation && stamp >= self.newest.get();
        capacity.fencing == Fencing::Ignored || current
    }

    /// Applies an order, whatever its stamp.
    pub fn apply(&self, stamp: Stamp, action: &Action) {
        self.newest.set(self.newest.get().max(stamp));
        match action {
            Action::Load { weights, bytes } => {
                self.contents.borrow_mut().insert(weights.clone(), *bytes);
            }
            Action::Unload { weights } => {
                self.contents.borrow_mut().remove(weights);
            }
            Action::Turn { stage } => self.stage.set(*stage),
        }
        let held = self.contents.borrow().values().sum();
        self.peak_bytes.set(self.peak_bytes.get().max(held));
    }

    /// Answers an inspection with the resident weights. From then on, orders with an older
    /// stamp are refused, unless the engine ignores fencing.
    #[must_use]
    pub fn inventory(&self, stamp: Stamp) -> Inventory {
        self.newest.set(self.newest.get().max(stamp));
        let contents = self.contents.borrow();
        let contents = contents.iter().map(|(weights, &bytes)| Content {
            weights: weights.clone(),
            bytes,
        });
        Inventory {
            incarnation: self.capacity.borrow().incarnation,
            newest: self.newest.get(),
            stage: self.stage.get(),
            contents: contents.collect(),
        }
    }

    /// Simulates a restart of the engine, after which it holds `contents` and has a new
    /// incarnation.
    pub fn restart(&self, contents: &[(Weights, u64)]) {
        self.capacity.borrow_mut().incarnation += 1;
        self.newest.set(Stamp::default());
        *self.contents.borrow_mut() = contents.iter().cloned().collect();
    }
}
