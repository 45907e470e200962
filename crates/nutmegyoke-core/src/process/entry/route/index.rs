//! Maps each target to the candidates that serve it.
//!
//! The index follows the changes of the directory. The estimated load of a candidate
//! is preserved as long as its agent's incarnation is the same.

use std::collections::HashMap;
use std::rc::Rc;

use super::Candidate;
use crate::process::directory::Delta;
use crate::process::endpoint::{Holding, Phase, Target};
use crate::process::{DataCentre, Endpoint, Member};
use crate::version::{Adapter, Model, Service};

/// The candidates that serve one target.
#[derive(Debug, Default)]
pub struct Candidates {
    /// Candidates in the same data centre as this process.
    pub local: Vec<Rc<Candidate>>,
    /// Candidates in other data centres.
    pub remote: Vec<Rc<Candidate>>,
}

/// The candidates by target, updated by changes of the directory.
#[derive(Debug)]
pub struct Index {
    data_centre: DataCentre,
    models: HashMap<Model, Group>,
    services: HashMap<Service, Candidates>,
    vms: HashMap<String, Vec<Listing>>,
}

/// The candidates of a model, and of every adapter of that model.
#[derive(Debug, Default)]
struct Group {
    candidates: Candidates,
    adapters: HashMap<Adapter, Candidates>,
}

/// An indexed endpoint and the targets that it serves.
#[derive(Debug)]
struct Listing {
    candidate: Rc<Candidate>,
    holding: Holding,
}

impl Index {
    /// Opens an empty index for a process in `data_centre`.
    #[must_use]
    pub fn open(data_centre: &DataCentre) -> Self {
        Self {
            data_centre: data_centre.clone(),
            models: HashMap::new(),
            services: HashMap::new(),
            vms: HashMap::new(),
        }
    }

    /// The candidates that serve `target`; `None` if it has had none since the last
    /// snapshot.
    #[must_use]
    pub fn candidates(&self, target: Target<'_>) -> Option<&Candidates> {
        match target {
            Target::Model {
                model,
                adapter: None,
            } => self.models.get(model).map(|group| &group.candidates),
            Target::Model {
                model,
                adapter: Some(adapter),
            } => self.models.get(model)?.adapters.get(adapter),
            Target::Service { service } => self.services.get(service),
        }
    }

    /// Applies a change of the directory.
    pub fn apply(&mut self, delta: &Delta) {
        let mut previous = HashMap::new();
        if delta.snapshot {
            self.models.clear();
            self.services.clear();
            previous = std::mem::take(&mut self.vms);
        }
        for name in &delta.gone {
            self.remove(name);
        }
        for member in &delta.members {
            let name = &member.vm.name;
            let listings = self.remove(name).or_else(|| previous.remove(name));
            self.insert(member, &listings.unwrap_or_default());
        }
    }

    fn insert(&mut self, member: &Member, previous: &[Listing]) {
        let local = member.data_centre == self.data_centre;
        let ready = member.endpoints.iter();
        let ready = ready.filter(|endpoint| endpoint.phase == Phase::Ready);
        let listings: Vec<Listing> = ready
            .map(|endpoint| listing(member, endpoint, previous))
            .collect();
        for listing in &listings {
            self.for_each_target(&listing.holding, |candidates| {
                let list = if local {
                    &mut candidates.local
                } else {
                    &mut candidates.remote
                };
                list.push(Rc::clone(&listing.candidate));
            });
        }
        if !listings.is_empty() {
            self.vms.insert(member.vm.name.clone(), listings);
        }
    }

    fn remove(&mut self, vm: &str) -> Option<Vec<Listing>> {
        let listings = self.vms.remove(vm)?;
        for listing in &listings {
            self.for_each_target(&listing.holding, |candidates| {
                candidates.local.retain(|candidate| candidate.vm != vm);
                candidates.remote.retain(|candidate| candidate.vm != vm);
            });
        }
        Some(listings)
    }

    /// Calls `visit` with the candidates of every target that an endpoint serves.
    fn for_each_target<F: FnMut(&mut Candidates)>(&mut self, holding: &Holding, mut visit: F) {
        match holding {
            Holding::Engine { models, adapters } => {
                for model in models {
                    let group = self.models.entry(model.clone()).or_default();
                    visit(&mut group.candidates);
                    for adapter in adapters {
                        visit(group.adapters.entry(adapter.clone()).or_default());
                    }
                }
            }
            Holding::Service { service } => {
                visit(self.services.entry(service.clone()).or_default());
            }
        }
    }
}

/// Builds the listing of an endpoint, with the load of its previous listing if
/// the agent's incarnation is the same.
fn listing(member: &Member, endpoint: &Endpoint, previous: &[Listing]) -> Listing {
    let existing = previous
        .iter()
        .map(|listing| &listing.candidate)
        .find(|candidate| {
            candidate.endpoint == endpoint.name && candidate.incarnation == member.vm.incarnation
        });
    let candidate = Candidate {
        vm: member.vm.name.clone(),
        incarnation: member.vm.incarnation,
        address: member.address,
        endpoint: endpoint.name.clone(),
        slots: endpoint.slots,
        load: existing
            .map(|candidate| Rc::clone(&candidate.load))
            .unwrap_or_default(),
    };
    Listing {
        candidate: Rc::new(candidate),
        holding: endpoint.holding.clone(),
    }
}
