//! Adds second copies where memory is free, and further copies against lasting overload.

use std::collections::BTreeSet;
use std::time::Instant;

use super::policy::Settings;
use super::reachability::{EARMARK_TTL, candidates};
use super::round::{Earmark, Round};

/// Loads second copies into free memory, on another VM and preferably in another data
/// centre.
///
/// Models come before adapters, and those with the highest rates first.
pub fn add_second_copies(round: &mut Round<'_>) {
    let fleet = &round.fleet;
    let single = |item: &usize| {
        let copies = fleet.reachable(*item).count();
        let row = &fleet.items[*item];
        row.needed && copies == 1 && fleet.loading(*item).next().is_none()
    };
    let mut singles: Vec<usize> = (0..fleet.items.len()).filter(single).collect();
    singles.sort_by(|&left, &right| {
        let (left, right) = (&fleet.items[left], &fleet.items[right]);
        let models_first = left.base.is_some().cmp(&right.base.is_some());
        models_first.then(right.rate.total_cmp(&left.rate))
    });
    for item in singles {
        if let Some(engine) = second_engine(round, item)
            && !round.load(item, engine, false)
        {
            return;
        }
    }
}

/// The best engine on another VM for a second copy of an item: in another data centre,
/// then with the lowest load, then with the most free memory.
fn second_engine(round: &Round<'_>, item: usize) -> Option<usize> {
    let fleet = &round.fleet;
    let row = &fleet.items[item];
    let first = &fleet.engines[fleet.reachable(item).next()?];
    let engines = match row.base {
        Some(base) => fleet.reachable(base).collect(),
        None => candidates(round, item),
    };
    let has_room = |engine: &usize| {
        let engine = &fleet.engines[*engine];
        engine.ready && engine.free_bytes >= row.bytes && engine.vm != first.vm
    };
    let absent = |engine: &usize| fleet.state(item, *engine).is_none();
    engines
        .into_iter()
        .filter(has_room)
        .filter(absent)
        .min_by(|&left, &right| {
            let (left, right) = (&fleet.engines[left], &fleet.engines[right]);
            let same_centre =
                |engine: &super::fleet::Engine| engine.data_centre == first.data_centre;
            let centres = same_centre(left).cmp(&same_centre(right));
            let loads = left.load.total_cmp(&right.load);
            centres
                .then(loads)
                .then(right.free_bytes.cmp(&left.free_bytes))
        })
}

/// The model with the highest rate on each overloaded engine.
#[must_use]
pub fn overloaded_models(round: &Round<'_>, settings: &Settings) -> BTreeSet<usize> {
    let bound = settings.policy.high_utilisation * settings.engine_rate;
    let fleet = &round.fleet;
    let overloaded = fleet.engines.iter().filter(|engine| engine.load > bound);
    let heaviest = overloaded.filter_map(|engine| {
        let models = engine.copies.iter().map(|copy| copy.item);
        models.max_by(|&left, &right| {
            let share = |item| fleet.share(item, fleet.reachable(item).count());
            share(left).total_cmp(&share(right))
        })
    });
    heaviest.collect()
}

/// Adds one copy of a model whose engines have been overloaded for the policy's
/// `min_overload`.
///
/// Returns the moves that this takes, unloads included, or `None` if no copy can or
/// needs to be added. The model may need further copies after this one.
pub fn scale_out(
    round: &mut Round<'_>,
    now: Instant,
    item: usize,
    settings: &Settings,
) -> Option<u32> {
    if round.fleet.items[item].base.is_some() {
        return None;
    }
    let copies = round.fleet.reachable(item).count();
    let target = copies_needed(round, item, settings).max(copies + 1);
    let earmarks = round.earmarks.iter().filter(|earmark| earmark.item == item);
    if copies + round.fleet.loading(item).count() + earmarks.count() >= target {
        return None;
    }
    let share = round.fleet.share(item, target);
    if share < settings.policy.min_gain * settings.engine_rate {
        return None;
    }
    let bytes = round.fleet.items[item].bytes;
    let bound = settings.policy.low_utilisation * settings.engine_rate;
    let mut engines = candidates(round, item);
    // An engine whose load is at most half the bound may go beyond it by this copy.
    engines.retain(|&engine| {
        let load = round.fleet.engines[engine].load;
        load + share <= bound || load <= bound / 2.0
    });
    engines.sort_by(|&left, &right| {
        let load = |engine: usize| round.fleet.engines[engine].load;
        load(left).total_cmp(&load(right))
    });
    for engine in engines {
        if round.fleet.engines[engine].free_bytes >= bytes {
            let loaded = round.load(item, engine, true);
            round.fleet.engines[engine].load += share;
            return loaded.then_some(1);
        }
        let Some(victims) = round.victims(engine, bytes, item) else {
            continue;
        };
        if !victims
            .iter()
            .all(|&victim| can_drop_copy(round, victim, settings))
        {
            continue;
        }
        let unloads = u32::try_from(victims.len()).unwrap_or(u32::MAX);
        for victim in victims {
            round.unload(victim, engine, true);
        }
        round.fleet.engines[engine].load += share;
        let until = now + EARMARK_TTL;
        round.earmark(Earmark {
            item,
            engine,
            rebalancing: true,
            until,
        });
        return Some(unloads.saturating_add(1));
    }
    None
}

/// The number of copies at which each one's share of the requests is within the policy's
/// `low_utilisation`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count of copies is small and positive"
)]
fn copies_needed(round: &Round<'_>, item: usize, settings: &Settings) -> usize {
    let bound = settings.policy.low_utilisation * settings.engine_rate;
    (round.fleet.items[item].rate / bound).ceil() as usize
}

/// Whether an item's other copies can take over the requests of one of its copies.
fn can_drop_copy(round: &Round<'_>, item: usize, settings: &Settings) -> bool {
    let fleet = &round.fleet;
    let copies = fleet.reachable(item).count();
    if fleet.items[item].base.is_some() || copies < 2 {
        return true;
    }
    // Less than 0.05 requests per second more is negligible on any engine.
    let added = fleet.share(item, copies - 1) - fleet.share(item, copies);
    let bound = settings.policy.low_utilisation * settings.engine_rate;
    fleet
        .reachable(item)
        .all(|engine| fleet.engines[engine].load + added <= bound || added < 0.05)
}
