//! One round of planning: the fleet, the load limiter and the moves decided so far.

use std::time::Instant;

use super::fleet::{Copy, Fleet};
use super::limiter::Limiter;
use crate::process::report::State;

/// A decision to load or unload an item on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The index of the item.
    pub item: usize,
    /// The index of the engine.
    pub engine: usize,
    /// Whether it is a load; otherwise it is an unload.
    pub load: bool,
    /// Whether it relieves overload; otherwise it is for reachability.
    pub rebalancing: bool,
}

/// Memory on an engine that is set aside for an item until its load can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Earmark {
    /// The index of the item.
    pub item: usize,
    /// The index of the engine.
    pub engine: usize,
    /// Whether it relieves overload; otherwise it is for reachability.
    pub rebalancing: bool,
    /// When it expires.
    pub until: Instant,
}

/// One round.
#[derive(Debug)]
pub struct Round<'a> {
    /// The fleet, with the decisions so far applied.
    pub fleet: &'a mut Fleet,
    /// Bounds the loads from the weight store.
    pub limiter: &'a mut Limiter,
    /// The moves decided so far.
    pub moves: Vec<Move>,
    /// The memory earmarks that this round made or renewed.
    pub earmarks: Vec<Earmark>,
    /// The bytes of the items for which no engine was found.
    pub shortfall: u64,
}

impl Round<'_> {
    /// Loads an item onto an engine that has room for it, if the limiter permits it.
    ///
    /// Returns whether the limiter did.
    pub fn load(&mut self, item: usize, engine: usize, rebalancing: bool) -> bool {
        let row = &self.fleet.items[item];
        if !self.limiter.try_acquire(row.weights.kind) {
            return false;
        }
        let copy = Copy {
            item,
            bytes: row.bytes,
            state: State::Loading,
        };
        self.fleet.add_copy(engine, copy);
        self.moves.push(Move {
            item,
            engine,
            load: true,
            rebalancing,
        });
        true
    }

    /// Unloads a redundant copy.
    pub fn unload(&mut self, item: usize, engine: usize, rebalancing: bool) {
        self.fleet.mark_unloading(item, engine);
        self.moves.push(Move {
            item,
            engine,
            load: false,
            rebalancing,
        });
    }

    /// Earmarks an item's memory: first what is free, then what unloads will release.
    pub fn earmark(&mut self, earmark: Earmark) {
        let bytes = self.fleet.items[earmark.item].bytes;
        let engine = &mut self.fleet.engines[earmark.engine];
        let from_free = bytes.min(engine.free_bytes);
        engine.free_bytes -= from_free;
        engine.releasing = engine.releasing.saturating_sub(bytes - from_free);
        self.earmarks.push(earmark);
    }

    /// Whether memory is earmarked for an item on any engine.
    #[must_use]
    pub fn has_earmark(&self, item: usize) -> bool {
        self.earmarks.iter().any(|earmark| earmark.item == item)
    }

    /// The items whose copies to unload from an engine until `bytes` are free.
    ///
    /// Takes the least valuable redundant copies, but never that of `keep`. Returns
    /// `None` if they do not free enough.
    #[must_use]
    pub fn victims(&self, engine: usize, bytes: u64, keep: usize) -> Option<Vec<usize>> {
        let row = &self.fleet.engines[engine];
        let mut available = row.free_bytes + row.releasing;
        if available >= bytes {
            return Some(Vec::new());
        }
        let mut redundant: Vec<(u64, usize, u64)> = row
            .copies
            .iter()
            .filter(|copy| copy.item != keep && self.fleet.is_redundant(copy.item, engine))
            .map(|copy| (self.copy_value(copy.item), copy.item, copy.bytes))
            .collect();
        redundant.sort_unstable();
        let mut victims = Vec::new();
        for (_, item, size) in redundant {
            if available >= bytes {
                break;
            }
            victims.push((item, size));
            available += size;
        }
        if available < bytes {
            return None;
        }
        // A large copy taken last may free enough without the small ones before it.
        victims.retain(|&(_, size)| {
            let unnecessary = available - size >= bytes;
            if unnecessary {
                available -= size;
            }
            !unnecessary
        });
        Some(victims.into_iter().map(|(item, _)| item).collect())
    }

    /// The value of a copy of the item: 1 plus its requests, in thousandths of a request per
    /// second; 0 if the item is not needed.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are positive and saturate"
    )]
    fn copy_value(&self, item: usize) -> u64 {
        let row = &self.fleet.items[item];
        if !row.needed {
            return 0;
        }
        let copies = self.fleet.reachable(item).count();
        1 + (self.fleet.share(item, copies) * 1000.0) as u64
    }
}
