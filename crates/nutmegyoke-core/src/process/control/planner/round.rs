//! One round of planning: the fleet, the account and the moves decided so far.

use std::time::Instant;

use super::account::Account;
use super::fleet::{Copy, Fleet};
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
    pub elective: bool,
}

/// Memory set aside for an item until its load can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The index of the item.
    pub item: usize,
    /// The index of the engine.
    pub engine: usize,
    /// Whether it serves load alone, not reachability.
    pub elective: bool,
    /// When it lapses.
    pub until: Instant,
}

/// One round.
#[derive(Debug)]
pub struct Round<'a> {
    /// What is, with the decisions so far taken in.
    pub fleet: &'a mut Fleet,
    /// What the store bears.
    pub account: &'a mut Account,
    /// The decisions.
    pub moves: Vec<Move>,
    /// Memory set aside.
    pub claims: Vec<Claim>,
    /// The bytes that items without a place lack.
    pub shortfall: u64,
}

impl Round<'_> {
    /// Loads an item onto an engine with room for it, if the store bears it.
    pub fn load(&mut self, item: usize, engine: usize, elective: bool) -> bool {
        let row = &self.fleet.items[item];
        if !self.account.spend(row.weights.kind) {
            return false;
        }
        let copy = Copy {
            item,
            bytes: row.bytes,
            state: State::Loading,
        };
        self.fleet.hold(engine, copy);
        self.moves.push(Move {
            item,
            engine,
            load: true,
            elective,
        });
        true
    }

    /// Unloads a copy that is spare.
    pub fn unload(&mut self, item: usize, engine: usize, elective: bool) {
        self.fleet.leave(item, engine);
        self.moves.push(Move {
            item,
            engine,
            load: false,
            elective,
        });
    }

    /// Sets memory aside for an item: what is free now, and what will be.
    pub fn claim(&mut self, claim: Claim) {
        let bytes = self.fleet.items[claim.item].bytes;
        let engine = &mut self.fleet.engines[claim.engine];
        let now = bytes.min(engine.free);
        engine.free -= now;
        engine.leaving = engine.leaving.saturating_sub(bytes - now);
        self.claims.push(claim);
    }

    /// Whether memory is set aside for an item.
    #[must_use]
    pub fn claimed(&self, item: usize) -> bool {
        self.claims.iter().any(|claim| claim.item == item)
    }

    /// The copies of an engine that can go one after the other until `bytes` are free.
    ///
    /// Least wanted first; `None` if they do not suffice.
    #[must_use]
    pub fn victims(&self, engine: usize, bytes: u64, keep: usize) -> Option<Vec<usize>> {
        let row = &self.fleet.engines[engine];
        let mut available = row.free + row.leaving;
        if available >= bytes {
            return Some(Vec::new());
        }
        let mut spare: Vec<(u64, usize, u64)> = row
            .copies
            .iter()
            .filter(|copy| copy.item != keep && self.fleet.spare(copy.item, engine))
            .map(|copy| (self.worth(copy.item), copy.item, copy.bytes))
            .collect();
        spare.sort_unstable();
        let mut victims = Vec::new();
        for (_, item, bytes_of) in spare {
            if available >= bytes {
                break;
            }
            victims.push(item);
            available += bytes_of;
        }
        (available >= bytes).then_some(victims)
    }

    /// What a copy of the item is worth, in thousandths of a request a second.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are positive and saturate"
    )]
    fn worth(&self, item: usize) -> u64 {
        let row = &self.fleet.items[item];
        if !row.needed {
            return 0;
        }
        let copies = self.fleet.reachable(item).count();
        1 + (self.fleet.share(item, copies) * 1000.0) as u64
    }
}
