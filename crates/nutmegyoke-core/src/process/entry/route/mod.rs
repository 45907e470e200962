//! Chooses the endpoint for a request.
//!
//! The [`index`] lists by target the [`place`]s that hold it, so that a choice
//! looks at no other endpoint of the fleet. The [`policy`] chooses among them
//! by what is known of their load, which is always late.

pub mod index;
pub mod place;
pub mod policy;

use std::rc::Rc;
use std::time::Instant;

use index::Index;
pub use place::Place;
pub use policy::Policy;

use crate::process::DataCentre;
use crate::process::directory::Delta;
use crate::process::endpoint::Target;

/// The places of the fleet and the policy that chooses among them.
#[derive(Debug)]
pub struct Router<P: Policy> {
    index: Index,
    memory: P::Memory,
    random: fastrand::Rng,
}

impl<P: Policy> Router<P> {
    /// Opens a router of a process in `data_centre`; `seed` seeds the sampling.
    #[must_use]
    pub fn open(data_centre: &DataCentre, seed: u64) -> Self {
        Self {
            index: Index::open(data_centre),
            memory: P::Memory::default(),
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Follows a change of the directory.
    pub fn learn(&mut self, delta: &Delta) {
        self.index.learn(delta);
    }

    /// Chooses a place that holds `target`, elsewhere than at `avoid` if there is another.
    pub fn choose(
        &mut self,
        now: Instant,
        target: Target<'_>,
        avoid: Option<&Place>,
    ) -> Option<Rc<Place>> {
        let held = self.index.held(target)?;
        let query = policy::Query { now, avoid };
        P::choose(&mut self.memory, held, query, &mut self.random).map(Rc::clone)
    }
}
