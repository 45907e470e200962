//! Chooses the endpoint of a request.
//!
//! The [`index`] maps each target to the [`candidate`]s that serve it, so that a
//! choice does not scan the fleet. The [`policy`] compares the candidates by
//! their estimated load, because the reported load is always out of date.

pub mod candidate;
pub mod index;
pub mod policy;

use std::rc::Rc;
use std::time::Instant;

pub use candidate::Candidate;
use index::Index;
pub use policy::Policy;

use crate::process::DataCentre;
use crate::process::directory::Delta;
use crate::process::endpoint::Target;

/// The candidates of the fleet and the policy that chooses among them.
#[derive(Debug)]
pub struct Router<P: Policy> {
    index: Index,
    state: P::State,
    random: fastrand::Rng,
}

impl<P: Policy> Router<P> {
    /// Opens a router for a process in `data_centre`; `seed` seeds the sampling.
    #[must_use]
    pub fn open(data_centre: &DataCentre, seed: u64) -> Self {
        Self {
            index: Index::open(data_centre),
            state: P::State::default(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Applies a change of the directory.
    pub fn apply(&mut self, delta: &Delta) {
        self.index.apply(delta);
    }

    /// Chooses a candidate that serves `target`; `avoid` only if there is no other.
    pub fn choose(
        &mut self,
        now: Instant,
        target: Target<'_>,
        avoid: Option<&Candidate>,
    ) -> Option<Rc<Candidate>> {
        let candidates = self.index.candidates(target)?;
        let query = policy::Query { now, avoid };
        P::choose(&mut self.state, candidates, query, &mut self.random).map(Rc::clone)
    }
}
