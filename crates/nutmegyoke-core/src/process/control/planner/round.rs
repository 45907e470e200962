//! One round of planning: the fleet, the account and the moves decided so far.

use std::time::Instant;

use super::fleet::{Copy, Fleet};
use super::limiter::Limiter;
use crate::process::report::State;

/// A decision of the planner about one item on one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The index of the item.
    pub item: usize,
    /// The index of the engine.
    pub engine: usize,
    /// Whether it loads; otherwise it unloads.
    pub load: bool,
    /// Whether it serves load alone, not reachability.
    pub rebalancing: bool,
}

/// Memory set aside for an item until its load can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The index of the item.
    pub item: usize,
    /// The index of the engine.
    pub engine: usize,
    /// Whether it serves load alone, not reachability.
    pub rebalancing: bool,
    /// When it lapses.
    pub until: Instant,
}

/// One round.
#[derive(Debug)]
pub struct Round<'a> {
    /// What is, with the decisions so far taken in.
    pub fleet: &'a mut Fleet,
    /// What the store bears.
    pub limiter: &'a mut Limiter,
    /// The decisions.
    pub moves: Vec<Move>,
    /// Memory set aside.
    pub claims: Vec<Claim>,
    /// The bytes that items without a place lack.
    pub shortfall: u64,
}

impl Round<'_> {
    /// Loads an item onto an engine with room for it, if the store bears it.
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

    /// Unloads a copy that is spare.
    pub fn unload(&mut self, item: usize, engine: usize, rebalancing: bool) {
        self.fleet.mark_unloading(item, engine);
        self.moves.push(Move {
            item,
            engine,
            load: false,
            rebalancing,
        });
    }

    /// Sets memory aside for an item: what is free now, and what will be.
    pub fn claim(&mut self, claim: Claim) {
        let bytes = self.fleet.items[claim.item].bytes;
        let engine = &mut self.fleet.engines[claim.engine];
        let now = bytes.min(engine.free_bytes);
        engine.free_bytes -= now;
        engine.releasing = engine.releasing.saturating_sub(bytes - now);
        self.claims.push(claim);
    }

    /// Whether memory is set aside for an item.
    #[must_use]
    pub fn has_claim(&self, item: usize) -> bool {
        self.claims.iter().any(|claim| claim.item == item)
    }

    /// The copies of an engine that can go one after the other until `bytes` are free.
    ///
    /// Least wanted first; `None` if they do not suffice.
    #[must_use]
    pub fn victims(&self, engine: usize, bytes: u64, keep: usize) -> Option<Vec<usize>> {
        let row = &self.fleet.engines[engine];
        let mut available = row.free_bytes + row.releasing;
        if available >= bytes {
            return Some(Vec::new());
        }
        let mut spare: Vec<(u64, usize, u64)> = row
            .copies
            .iter()
            .filter(|copy| copy.item != keep && self.fleet.is_redundant(copy.item, engine))
            .map(|copy| (self.copy_value(copy.item), copy.item, copy.bytes))
            .collect();
        spare.sort_unstable();
        let mut victims = Vec::new();
        for (_, item, size) in spare {
            if available >= bytes {
                break;
            }
            victims.push((item, size));
            available += size;
        }
        if available < bytes {
            return None;
        }
        // Small copies collected before a large one are often not in the way.
        victims.retain(|&(_, size)| {
            let needless = available - size >= bytes;
            if needless {
                available -= size;
            }
            !needless
        });
        Some(victims.into_iter().map(|(item, _)| item).collect())
    }

    /// What a copy of the item is worth, in thousandths of a request a second.
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
