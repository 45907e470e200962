//! Policies that choose among the candidates for a target.

use std::rc::Rc;
use std::time::Instant;

use super::Candidate;
use super::index::Candidates;

/// What a choice depends on besides the candidates.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The current time.
    pub now: Instant,
    /// The candidate of the previous attempt, chosen again only if there is no other.
    pub avoid: Option<&'a Candidate>,
}

/// Chooses among the candidates for a target.
pub trait Policy {
    /// State that the policy keeps between choices.
    type State: Default + std::fmt::Debug;

    /// Chooses a candidate; `None` only if there is none.
    fn choose<'a>(
        state: &mut Self::State,
        candidates: &'a Candidates,
        query: Query<'_>,
        random: &mut fastrand::Rng,
    ) -> Option<&'a Rc<Candidate>>;
}

/// Samples candidates in the entry's data centre, and remote ones if those are full.
///
/// Sampling prevents entries whose reports are equally outdated from all choosing
/// the same candidate. Preferring the same data centre saves network latency.
#[derive(Clone, Copy, Debug)]
pub struct LocalFirst;

/// The number of candidates drawn per sample. [`LocalFirst`] draws a sample in its own
/// data centre and, if needed, another one outside.
const SAMPLES: usize = 3;

/// How much lower than that of the best local candidate the utilisation of a remote one
/// must be, as a fraction of the slots.
const SPILL_MARGIN: f64 = 0.25;

/// The utilisation of the best local candidate from which remote ones are considered, as
/// a fraction of the slots.
const FULL_UTILISATION: f64 = 0.9;

impl Policy for LocalFirst {
    type State = ();

    fn choose<'a>(
        (): &mut (),
        candidates: &'a Candidates,
        query: Query<'_>,
        random: &mut fastrand::Rng,
    ) -> Option<&'a Rc<Candidate>> {
        let cost = |candidate: &Candidate| candidate.utilisation(query.now);
        let local = sample(&candidates.local, SAMPLES, query, random, cost);
        if local.is_some_and(|candidate| cost(candidate) < FULL_UTILISATION) {
            return local;
        }
        let remote = sample(&candidates.remote, SAMPLES, query, random, cost);
        match (local, remote) {
            (Some(local), Some(remote)) if cost(remote) + SPILL_MARGIN < cost(local) => {
                Some(remote)
            }
            (Some(local), _) => Some(local),
            (None, Some(remote)) => Some(remote),
            (None, None) => any_candidate(candidates, query),
        }
    }
}

/// Chooses the candidate with the lowest reported load in a sample, local or remote.
#[derive(Clone, Copy, Debug)]
pub struct PowerOfChoices;

impl Policy for PowerOfChoices {
    type State = ();

    fn choose<'a>(
        (): &mut (),
        candidates: &'a Candidates,
        query: Query<'_>,
        random: &mut fastrand::Rng,
    ) -> Option<&'a Rc<Candidate>> {
        let count = candidates.local.len() + candidates.remote.len();
        let sampled = (0..SAMPLES).filter_map(|_| {
            let index = random.usize(..count.max(1));
            candidates.local.iter().chain(&candidates.remote).nth(index)
        });
        sampled
            .filter(|candidate| is_eligible(candidate, query))
            .min_by_key(|candidate| candidate.load.reported())
            .or_else(|| any_candidate(candidates, query))
    }
}

/// Chooses the candidate with the lowest reported load.
#[derive(Clone, Copy, Debug)]
pub struct LeastReported;

impl Policy for LeastReported {
    type State = ();

    fn choose<'a>(
        (): &mut (),
        candidates: &'a Candidates,
        query: Query<'_>,
        _: &mut fastrand::Rng,
    ) -> Option<&'a Rc<Candidate>> {
        let all = candidates.local.iter().chain(&candidates.remote);
        all.filter(|candidate| is_eligible(candidate, query))
            .min_by_key(|candidate| candidate.load.reported())
            .or_else(|| any_candidate(candidates, query))
    }
}

/// Chooses the candidates in turn.
#[derive(Clone, Copy, Debug)]
pub struct RoundRobin;

impl Policy for RoundRobin {
    type State = usize;

    fn choose<'a>(
        next: &mut usize,
        candidates: &'a Candidates,
        query: Query<'_>,
        _: &mut fastrand::Rng,
    ) -> Option<&'a Rc<Candidate>> {
        *next = next.wrapping_add(1);
        let count = candidates.local.len() + candidates.remote.len();
        let cycle = candidates.local.iter().chain(&candidates.remote).cycle();
        cycle
            .skip(*next % count.max(1))
            .take(count)
            .find(|candidate| is_eligible(candidate, query))
            .or_else(|| any_candidate(candidates, query))
    }
}

/// The cheapest of the sampled candidates; the first eligible one if no sample is
/// eligible.
fn sample<'a, F: Fn(&Candidate) -> f64>(
    candidates: &'a [Rc<Candidate>],
    samples: usize,
    query: Query<'_>,
    random: &mut fastrand::Rng,
    cost: F,
) -> Option<&'a Rc<Candidate>> {
    if candidates.is_empty() {
        return None;
    }
    let drawn = (0..samples).map(|_| &candidates[random.usize(..candidates.len())]);
    let best = drawn
        .filter(|candidate| is_eligible(candidate, query))
        .min_by(|one, other| cost(one).total_cmp(&cost(other)));
    best.or_else(|| {
        candidates
            .iter()
            .find(|candidate| is_eligible(candidate, query))
    })
}

/// Whether a candidate is neither ejected nor the one to avoid.
fn is_eligible(candidate: &Candidate, query: Query<'_>) -> bool {
    candidate.is_available(query.now) && !query.avoid.is_some_and(|avoid| avoid.same_as(candidate))
}

/// Any candidate, ejected or not; the one to avoid only if there is no other.
fn any_candidate<'a>(candidates: &'a Candidates, query: Query<'_>) -> Option<&'a Rc<Candidate>> {
    let mut all = candidates.local.iter().chain(&candidates.remote);
    let other =
        |candidate: &&Rc<Candidate>| !query.avoid.is_some_and(|avoid| avoid.same_as(candidate));
    all.clone().find(other).or_else(|| all.next())
}
