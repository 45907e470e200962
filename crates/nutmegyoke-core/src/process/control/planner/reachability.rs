//! Keeps every item reachable: the most needed without a copy first.
//!
//! Where no engine has room, copies that are spare go first; where there are
//! none, a sole copy is loaded elsewhere, so that it becomes spare.

use std::time::{Duration, Instant};

use super::round::{Claim, Round};

/// How long memory stays set aside for an item that could not be loaded.
pub const CLAIM_TTL: Duration = Duration::from_mins(1);

/// Orders loads for the items that no request can reach.
pub fn run(round: &mut Round<'_>, now: Instant) {
    for item in unreachable_items(round) {
        if !place(round, now, item) {
            round.shortfall += round.fleet.items[item].bytes;
        }
    }
}

/// The needed items without a copy, the most needed first, models before adapters.
fn unreachable_items(round: &Round<'_>) -> Vec<usize> {
    let fleet = &round.fleet;
    let waits = |item: usize| {
        fleet.reachable(item).next().is_some()
            || fleet.loading(item).next().is_some()
            || round.has_claim(item)
    };
    let mut lost: Vec<usize> = (0..fleet.items.len())
        .filter(|&item| fleet.items[item].needed && !waits(item))
        .collect();
    lost.sort_by(|&left, &right| {
        let (left, right) = (&fleet.items[left], &fleet.items[right]);
        let models = left.base.is_some().cmp(&right.base.is_some());
        let rates = right.rate.total_cmp(&left.rate);
        models
            .then(rates)
            .then(bytes_with_adapters(round, right).cmp(&bytes_with_adapters(round, left)))
    });
    lost
}

/// The bytes of an item with its adapters.
fn bytes_with_adapters(round: &Round<'_>, item: &super::fleet::Item) -> u64 {
    let adapters = item.adapters.iter();
    let adapters = adapters.map(|&adapter| round.fleet.items[adapter].bytes);
    item.bytes + adapters.sum::<u64>()
}

/// Finds a place for an item; returns whether it has one or will have.
fn place(round: &mut Round<'_>, now: Instant, item: usize) -> bool {
    if let Some(base) = round.fleet.items[item].base {
        return place_adapter(round, now, item, base);
    }
    let bytes = round.fleet.items[item].bytes;
    let whole = bytes_with_adapters(round, &round.fleet.items[item]);
    let engine =
        engine_with_room(round, item, whole).or_else(|| engine_with_room(round, item, bytes));
    if let Some(engine) = engine {
        // Without a place at the store the load waits for the next round.
        if !round.load(item, engine, false) {
            claim_memory(round, now, item, engine);
        }
        return true;
    }
    let engines = candidates(round, item);
    make_room(round, now, item, &engines, bytes)
}

fn place_adapter(round: &mut Round<'_>, now: Instant, item: usize, base: usize) -> bool {
    let bytes = round.fleet.items[item].bytes;
    let mut beside: Vec<usize> = round.fleet.reachable(base).collect();
    if beside.is_empty() {
        // Its model is on its way, or counted as lost already.
        return true;
    }
    beside.retain(|&engine| round.fleet.state(item, engine).is_none());
    let fits = |engine: &usize| round.fleet.engines[*engine].free_bytes >= bytes;
    let roomiest = |engine: &usize| round.fleet.engines[*engine].free_bytes;
    if let Some(engine) = beside.iter().copied().filter(fits).max_by_key(roomiest) {
        round.load(item, engine, false);
        return true;
    }
    if make_room(round, now, item, &beside, bytes) {
        return true;
    }
    // Another copy of the model, where the adapter fits as well.
    if round.fleet.loading(base).next().is_some() || round.has_claim(base) {
        return true;
    }
    let both = round.fleet.items[base].bytes + bytes;
    if let Some(engine) = engine_with_room(round, base, both) {
        round.load(base, engine, false);
        return true;
    }
    let engines = candidates(round, base);
    make_room(round, now, base, &engines, both)
}

/// The engines onto which an item can be loaded.
#[must_use]
pub fn candidates(round: &Round<'_>, item: usize) -> Vec<usize> {
    let fleet = &round.fleet;
    let claims = round.claims.iter().filter(|claim| claim.item == item);
    let claimed: Vec<usize> = claims.map(|claim| claim.engine).collect();
    (0..fleet.engines.len())
        .filter(|&engine| fleet.engines[engine].ready && fleet.state(item, engine).is_none())
        .filter(|engine| !claimed.contains(engine))
        .collect()
}

/// The least loaded engine with `bytes` free, the roomiest among equals.
fn engine_with_room(round: &Round<'_>, item: usize, bytes: u64) -> Option<usize> {
    let engines = &round.fleet.engines;
    let fits = candidates(round, item).into_iter();
    let fits = fits.filter(|&engine| engines[engine].free_bytes >= bytes);
    fits.min_by(|&left, &right| {
        let (left, right) = (&engines[left], &engines[right]);
        let loads = left.load.total_cmp(&right.load);
        loads.then(right.free_bytes.cmp(&left.free_bytes))
    })
}

/// Unloads what is spare, or moves what is not, until the item fits somewhere.
fn make_room(
    round: &mut Round<'_>,
    now: Instant,
    item: usize,
    engines: &[usize],
    bytes: u64,
) -> bool {
    let keep = round.fleet.items[item].base.unwrap_or(item);
    let options = engines.iter().filter_map(|&engine| {
        let victims = round.victims(engine, bytes, keep)?;
        Some((victims.len(), engine, victims))
    });
    if let Some((_, engine, victims)) = options.min() {
        for victim in victims {
            round.unload(victim, engine, false);
        }
        claim_memory(round, now, item, engine);
        return true;
    }
    relocate(round, item, engines, bytes)
}

/// Loads one sole copy elsewhere, so that the item can take its place later.
fn relocate(round: &mut Round<'_>, item: usize, engines: &[usize], bytes: u64) -> bool {
    let mut best: Option<(u64, usize, usize)> = None;
    for &engine in engines {
        let row = &round.fleet.engines[engine];
        let lacking = bytes.saturating_sub(row.free_bytes + row.releasing);
        for copy in &row.copies {
            let whole = bytes_with_adapters(round, &round.fleet.items[copy.item]);
            if copy.bytes < lacking || Some(copy.item) == round.fleet.items[item].base {
                continue;
            }
            if best.is_some_and(|(bytes, ..)| bytes <= whole) || is_loading(round, copy.item) {
                continue;
            }
            if let Some(target) = other_engine(round, copy.item, engine, whole) {
                best = Some((whole, copy.item, target));
            }
        }
    }
    let Some((_, moved, target)) = best else {
        return false;
    };
    round.load(moved, target, false);
    true
}

/// Whether a second copy of the item is under way already.
fn is_loading(round: &Round<'_>, item: usize) -> bool {
    round.fleet.loading(item).next().is_some()
}

/// An engine, other than `engine`, that has room for the item and its adapters.
fn other_engine(round: &Round<'_>, item: usize, engine: usize, bytes: u64) -> Option<usize> {
    if let Some(base) = round.fleet.items[item].base {
        let mut beside = round.fleet.reachable(base);
        let free = |engine: usize| round.fleet.engines[engine].free_bytes;
        return beside.find(|&other| {
            other != engine && free(other) >= bytes && round.fleet.state(item, other).is_none()
        });
    }
    engine_with_room(round, item, bytes).filter(|&other| other != engine)
}

fn claim_memory(round: &mut Round<'_>, now: Instant, item: usize, engine: usize) {
    round.claim(Claim {
        item,
        engine,
        rebalancing: false,
        until: now + CLAIM_TTL,
    });
}
