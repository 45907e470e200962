//! Which models make way for another one.

use super::{Fleet, Instance, MAX_SHARE_PER_COPY, Placement, to_f64};
use crate::version::Model;
use crate::version::routing::Weights;

/// The part below which the copies that stay can take over that of one that makes
/// way. Below [`super::ENOUGH`], so that it isn't loaded again at once.
const MAX_SHARE_AFTER_EVICTION: f64 = 0.12;

impl Placement {
    /// The models of `host` that have to make way; `None` if not enough may.
    pub(super) fn select_evictions(
        &self,
        fleet: &Fleet<'_>,
        host: &Instance<'_>,
        weights: &Weights,
    ) -> Option<Vec<Model>> {
        let coming = self
            .pending(host)
            .filter_map(|step| fleet.weights(&step.load));
        let coming: f64 = coming.map(|weights| weights.mb).sum();
        // A model that has left already is not held, so its memory counts as room.
        let leaving = self.pending(host).flat_map(|step| &step.unload);
        let leaving: Vec<&Model> = leaving
            .filter(|model| host.models.contains(model))
            .collect();
        let freed = leaving.iter().filter_map(|model| fleet.weights(model));
        let freed: f64 = freed.map(|weights| weights.mb).sum();
        let mut missing = weights.mb + coming - freed - fleet.free_mb(host);
        let mut unload = Vec::new();
        if missing <= 0.0 {
            return Some(unload);
        }
        let copies = self.copy_count(fleet, &weights.model);
        let urgent = copies == 0;
        // A spare copy is not worth another one: what is idle now may be asked for next.
        if !urgent && fleet.share(&weights.model) / to_f64(copies) <= MAX_SHARE_PER_COPY {
            return None;
        }
        let mut idle: Vec<&Model> = host
            .models
            .iter()
            .filter(|model| !leaving.contains(model) && self.is_evictable(fleet, model, urgent))
            .collect();
        // What is asked for least goes first: it has no requests to wait for.
        idle.sort_by(|one, other| fleet.share(one).total_cmp(&fleet.share(other)));
        for model in idle {
            missing -= fleet.weights(model).map_or(0.0, |weights| weights.mb);
            unload.push(model.clone());
            if missing <= 0.0 {
                return Some(unload);
            }
        }
        None
    }

    /// Whether one copy of a model may make way; more readily if `urgent`.
    fn is_evictable(&self, fleet: &Fleet<'_>, model: &Model, urgent: bool) -> bool {
        let copies = self.copy_count(fleet, model);
        let limit = if urgent {
            MAX_SHARE_PER_COPY
        } else {
            MAX_SHARE_AFTER_EVICTION
        };
        copies > 1 && fleet.share(model) / to_f64(copies - 1) < limit
    }
}
