//! Keeps every needed item reachable, those with the highest rates first.
//!
//! If no engine has room for an item, redundant copies are unloaded. If that does not
//! free enough, another item is loaded on a second engine, which makes its first copy
//! redundant for a later round.

use std::time::{Duration, Instant};

use super::round::{Earmark, Round};

/// How long memory stays earmarked for an item that could not be loaded yet.
pub const EARMARK_TTL: Duration = Duration::from_mins(1);

/// Loads the needed items that no request can reach; adds those without an engine to
/// the shortfall.
pub fn run(round: &mut Round<'_>, now: Instant) {
    for item in unreachable_items(round) {
        if !place(round, now, item) {
            round.shortfall += round.fleet.items[item].bytes;
        }
    }
}

/// The needed items that are neither reachable, nor loading, nor earmarked.
///
/// Models come before adapters, then those with higher rates, then larger ones.
fn unreachable_items(round: &Round<'_>) -> Vec<usize> {
    let fleet = &round.fleet;
    let is_handled = |item: usize| {
        fleet.reachable(item).next().is_some()
            || fleet.loading(item).next().is_some()
            || round.has_earmark(item)
    };
    let mut items: Vec<usize> = (0..fleet.items.len())
        .filter(|&item| fleet.items[item].needed && !is_handled(item))
        .collect();
    items.sort_by(|&left, &right| {
        let (left, right) = (&fleet.items[left], &fleet.items[right]);
        let models_first = left.base.is_some().cmp(&right.base.is_some());
        let rates = right.rate.total_cmp(&left.rate);
        models_first
            .then(rates)
            .then(bytes_with_adapters(round, right).cmp(&bytes_with_adapters(round, left)))
    });
    items
}

/// The bytes of an item and all its adapters.
fn bytes_with_adapters(round: &Round<'_>, item: &super::fleet::Item) -> u64 {
    let adapters = item.adapters.iter();
    let adapters = adapters.map(|&adapter| round.fleet.items[adapter].bytes);
    item.bytes + adapters.sum::<u64>()
}

/// Loads an item or prepares its load; returns whether an engine was found for it.
fn place(round: &mut Round<'_>, now: Instant, item: usize) -> bool {
    if let Some(base) = round.fleet.items[item].base {
        return place_adapter(round, now, item, base);
    }
    let bytes = round.fleet.items[item].bytes;
    let total = bytes_with_adapters(round, &round.fleet.items[item]);
    let engine =
        engine_with_room(round, item, total).or_else(|| engine_with_room(round, item, bytes));
    if let Some(engine) = engine {
        // If the limiter permits no load now, a later round orders it.
        if !round.load(item, engine, false) {
            earmark_memory(round, now, item, engine);
        }
        return true;
    }
    let engines = candidates(round, item);
    make_room(round, now, item, &engines, bytes)
}

/// Like [`place`], for an adapter of the model `base`.
fn place_adapter(round: &mut Round<'_>, now: Instant, item: usize, base: usize) -> bool {
    let bytes = round.fleet.items[item].bytes;
    let mut base_engines: Vec<usize> = round.fleet.reachable(base).collect();
    if base_engines.is_empty() {
        // Its model is loading, or is itself handled as unreachable.
        return true;
    }
    base_engines.retain(|&engine| round.fleet.state(item, engine).is_none());
    let fits = |engine: &usize| round.fleet.engines[*engine].free_bytes >= bytes;
    let free_bytes = |engine: &usize| round.fleet.engines[*engine].free_bytes;
    if let Some(engine) = base_engines
        .iter()
        .copied()
        .filter(fits)
        .max_by_key(free_bytes)
    {
        round.load(item, engine, false);
        return true;
    }
    if make_room(round, now, item, &base_engines, bytes) {
        return true;
    }
    // Add a copy of the model on an engine that has room for both.
    if round.fleet.loading(base).next().is_some() || round.has_earmark(base) {
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

/// The engines that accept orders and have neither a copy of nor an earmark for an item.
#[must_use]
pub fn candidates(round: &Round<'_>, item: usize) -> Vec<usize> {
    let fleet = &round.fleet;
    let earmarks = round.earmarks.iter().filter(|earmark| earmark.item == item);
    let earmarked: Vec<usize> = earmarks.map(|earmark| earmark.engine).collect();
    (0..fleet.engines.len())
        .filter(|&engine| fleet.engines[engine].ready && fleet.state(item, engine).is_none())
        .filter(|engine| !earmarked.contains(engine))
        .collect()
}

/// The least loaded candidate with `bytes` free; among equals, the one with most free.
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

/// Makes room for an item on one of `engines`; returns whether that is possible.
///
/// Unloads redundant copies on the engine where the fewest are enough, and earmarks their
/// memory, or else starts to move another item away.
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
        earmark_memory(round, now, item, engine);
        return true;
    }
    relocate(round, item, engines, bytes)
}

/// Loads another item on a second engine, so that its copy on one of `engines` can be
/// unloaded later and the memory used for `item`.
///
/// Chooses the item that takes the fewest bytes; returns whether there is one.
fn relocate(round: &mut Round<'_>, item: usize, engines: &[usize], bytes: u64) -> bool {
    let mut best: Option<(u64, usize, usize)> = None;
    for &engine in engines {
        let row = &round.fleet.engines[engine];
        let missing = bytes.saturating_sub(row.free_bytes + row.releasing);
        for copy in &row.copies {
            let total = bytes_with_adapters(round, &round.fleet.items[copy.item]);
            if copy.bytes < missing || Some(copy.item) == round.fleet.items[item].base {
                continue;
            }
            if best.is_some_and(|(bytes, ..)| bytes <= total) || is_loading(round, copy.item) {
                continue;
            }
            if let Some(target) = other_engine(round, copy.item, engine, total) {
                best = Some((total, copy.item, target));
            }
        }
    }
    let Some((_, relocated, target)) = best else {
        return false;
    };
    round.load(relocated, target, false);
    true
}

/// Whether a copy of the item is being loaded already.
fn is_loading(round: &Round<'_>, item: usize) -> bool {
    round.fleet.loading(item).next().is_some()
}

/// An engine other than `engine` with `bytes` free for the item, and, for an adapter,
/// with its model.
fn other_engine(round: &Round<'_>, item: usize, engine: usize, bytes: u64) -> Option<usize> {
    if let Some(base) = round.fleet.items[item].base {
        let mut base_engines = round.fleet.reachable(base);
        let free = |engine: usize| round.fleet.engines[engine].free_bytes;
        return base_engines.find(|&other| {
            other != engine && free(other) >= bytes && round.fleet.state(item, other).is_none()
        });
    }
    engine_with_room(round, item, bytes).filter(|&other| other != engine)
}

/// Earmarks memory on an engine for an item's load.
fn earmark_memory(round: &mut Round<'_>, now: Instant, item: usize, engine: usize) {
    round.earmark(Earmark {
        item,
        engine,
        rebalancing: false,
        until: now + EARMARK_TTL,
    });
}
