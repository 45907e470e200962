//! Selects the models to evict from an engine so that another one fits.

use super::{Fleet, Instance, MAX_SHARE_PER_COPY, Placement, to_f64};
use crate::version::Model;
use crate::version::routing::Footprint;

/// The share per remaining copy below which a model may lose a copy. It is below
/// [`super::TARGET_SHARE_PER_COPY`], so that the copy isn't loaded again at once.
const MAX_SHARE_AFTER_EVICTION: f64 = 0.12;

impl Placement {
    /// The models to evict from `instance` to make room for `footprint`, which may be none.
    ///
    /// Returns `None` if the models that may be evicted don't free enough memory.
    pub(super) fn select_evictions(
        &self,
        fleet: &Fleet<'_>,
        instance: &Instance<'_>,
        footprint: &Footprint,
    ) -> Option<Vec<Model>> {
        let loading = self
            .pending(instance)
            .filter_map(|step| fleet.footprint(&step.load));
        let loading: f64 = loading.map(|footprint| footprint.mb).sum();
        // The memory of models that are no longer held is already counted as free.
        let evicting = self.pending(instance).flat_map(|step| &step.unload);
        let evicting: Vec<&Model> = evicting
            .filter(|model| instance.models.contains(model))
            .collect();
        let freed = evicting.iter().filter_map(|model| fleet.footprint(model));
        let freed: f64 = freed.map(|footprint| footprint.mb).sum();
        let mut missing = footprint.mb + loading - freed - fleet.free_mb(instance);
        let mut unload = Vec::new();
        if missing <= 0.0 {
            return Some(unload);
        }
        let copies = self.copy_count(fleet, &footprint.model);
        let urgent = copies == 0;
        // Nothing is evicted for a copy that only adds redundancy: a model that is idle
        // now may be requested next.
        if !urgent && fleet.share(&footprint.model) / to_f64(copies) <= MAX_SHARE_PER_COPY {
            return None;
        }
        let mut evictable: Vec<&Model> = instance
            .models
            .iter()
            .filter(|model| !evicting.contains(model) && self.is_evictable(fleet, model, urgent))
            .collect();
        // The model with the least demand is evicted first, because it has the fewest
        // requests to wait for.
        evictable.sort_by(|one, other| fleet.share(one).total_cmp(&fleet.share(other)));
        for model in evictable {
            missing -= fleet.footprint(model).map_or(0.0, |footprint| footprint.mb);
            unload.push(model.clone());
            if missing <= 0.0 {
                return Some(unload);
            }
        }
        None
    }

    /// Whether a model may lose one copy. The limit is higher if `urgent`, that is, if the
    /// model to load has no copy.
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
