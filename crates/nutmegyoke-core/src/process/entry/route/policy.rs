//! How to choose among the places that hold a target.

use std::rc::Rc;
use std::time::Instant;

use super::Place;
use super::index::Held;

/// What a choice depends on beside the places.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The time.
    pub now: Instant,
    /// The place of the attempt before, chosen again only if there is no other.
    pub avoid: Option<&'a Place>,
}

/// Chooses among the places that hold a target.
pub trait Policy {
    /// What the policy remembers from one choice to the next.
    type Memory: Default + std::fmt::Debug;

    /// Chooses a place; `None` only when there is none.
    fn choose<'a>(
        memory: &mut Self::Memory,
        held: &'a Held,
        query: Query<'_>,
        random: &mut fastrand::Rng,
    ) -> Option<&'a Rc<Place>>;
}

/// Samples places of the own data centre, and others when those are full.
///
/// Sampling keeps entries whose reports are equally late from all choosing the
/// same place; preferring the own data centre saves its latency.
#[derive(Clone, Copy, Debug)]
pub struct NearFirst;

/// Places compared for a choice within one group of places.
const SAMPLES: usize = 3;

/// What a place in another data centre has to be better by, in utilisation.
const SPILL: f64 = 0.25;

/// From this utilisation of the best near place on, others are looked at.
const FULL: f64 = 0.9;

impl Policy for NearFirst {
    type Memory = ();

    fn choose<'a>(
        (): &mut (),
        held: &'a Held,
        query: Query<'_>,
        random: &mut fastrand::Rng,
    ) -> Option<&'a Rc<Place>> {
        let cost = |place: &Place| place.utilisation(query.now);
        let near = sample(&held.near, SAMPLES, query, random, cost);
        if near.is_some_and(|place| cost(place) < FULL) {
            return near;
        }
        let far = sample(&held.far, SAMPLES, query, random, cost);
        match (near, far) {
            (Some(near), Some(far)) if cost(far) + SPILL < cost(near) => Some(far),
            (Some(near), _) => Some(near),
            (None, Some(far)) => Some(far),
            (None, None) => any(held, query),
        }
    }
}

/// Takes the least loaded of sampled places wherever they are.
#[derive(Clone, Copy, Debug)]
pub struct Choices;

impl Policy for Choices {
    type Memory = ();

    fn choose<'a>(
        (): &mut (),
        held: &'a Held,
        query: Query<'_>,
        random: &mut fastrand::Rng,
    ) -> Option<&'a Rc<Place>> {
        let places = held.near.len() + held.far.len();
        let picked = (0..SAMPLES).filter_map(|_| {
            let index = random.usize(..places.max(1));
            held.near.iter().chain(&held.far).nth(index)
        });
        picked
            .filter(|place| allowed(place, query))
            .min_by_key(|place| place.gauge.reported())
            .or_else(|| any(held, query))
    }
}

/// Takes the place whose last report was the lowest.
#[derive(Clone, Copy, Debug)]
pub struct LeastReported;

impl Policy for LeastReported {
    type Memory = ();

    fn choose<'a>(
        (): &mut (),
        held: &'a Held,
        query: Query<'_>,
        _: &mut fastrand::Rng,
    ) -> Option<&'a Rc<Place>> {
        let places = held.near.iter().chain(&held.far);
        places
            .filter(|place| allowed(place, query))
            .min_by_key(|place| place.gauge.reported())
            .or_else(|| any(held, query))
    }
}

/// Takes one place after the other.
#[derive(Clone, Copy, Debug)]
pub struct RoundRobin;

impl Policy for RoundRobin {
    type Memory = usize;

    fn choose<'a>(
        next: &mut usize,
        held: &'a Held,
        query: Query<'_>,
        _: &mut fastrand::Rng,
    ) -> Option<&'a Rc<Place>> {
        *next = next.wrapping_add(1);
        let places = held.near.len() + held.far.len();
        let turn = held.near.iter().chain(&held.far).cycle();
        turn.skip(*next % places.max(1))
            .take(places)
            .find(|place| allowed(place, query))
            .or_else(|| any(held, query))
    }
}

/// The cheapest of some places drawn at random, or of the next allowed ones.
fn sample<'a, F: Fn(&Place) -> f64>(
    places: &'a [Rc<Place>],
    samples: usize,
    query: Query<'_>,
    random: &mut fastrand::Rng,
    cost: F,
) -> Option<&'a Rc<Place>> {
    if places.is_empty() {
        return None;
    }
    let drawn = (0..samples).map(|_| &places[random.usize(..places.len())]);
    let best = drawn
        .filter(|place| allowed(place, query))
        .min_by(|one, other| cost(one).total_cmp(&cost(other)));
    best.or_else(|| places.iter().find(|place| allowed(place, query)))
}

/// Whether a place is neither to be avoided nor known to have just failed.
fn allowed(place: &Place, query: Query<'_>) -> bool {
    place.is_trusted(query.now) && !query.avoid.is_some_and(|avoid| avoid.is(place))
}

/// Any place, if need be one that just failed.
fn any<'a>(held: &'a Held, query: Query<'_>) -> Option<&'a Rc<Place>> {
    let mut places = held.near.iter().chain(&held.far);
    let other = |place: &&Rc<Place>| !query.avoid.is_some_and(|avoid| avoid.is(place));
    places.clone().find(other).or_else(|| places.next())
}
