//! Lists the places that hold a target.

use std::collections::HashMap;
use std::rc::Rc;

use super::Place;
use crate::process::directory::Delta;
use crate::process::endpoint::{Holding, Phase, Target};
use crate::process::{DataCentre, Endpoint, Member};
use crate::version::{Adapter, Model, Service};

/// The places that hold one target.
#[derive(Debug, Default)]
pub struct Held {
    /// Those in the own data centre.
    pub near: Vec<Rc<Place>>,
    /// All others.
    pub far: Vec<Rc<Place>>,
}

/// The places by target, kept up to date by changes of the directory.
#[derive(Debug)]
pub struct Index {
    data_centre: DataCentre,
    models: HashMap<Model, Group>,
    services: HashMap<Service, Held>,
    vms: HashMap<String, Vec<Row>>,
}

/// The places of a model, and of each adapter on it.
#[derive(Debug, Default)]
struct Group {
    held: Held,
    adapters: HashMap<Adapter, Held>,
}

/// An endpoint that is listed.
#[derive(Debug)]
struct Row {
    place: Rc<Place>,
    holding: Holding,
}

impl Index {
    /// Opens an empty index of a process in `data_centre`.
    #[must_use]
    pub fn open(data_centre: &DataCentre) -> Self {
        Self {
            data_centre: data_centre.clone(),
            models: HashMap::new(),
            services: HashMap::new(),
            vms: HashMap::new(),
        }
    }

    /// The places that hold `target`, if any ever did.
    #[must_use]
    pub fn held(&self, target: Target<'_>) -> Option<&Held> {
        match target {
            Target::Model {
                model,
                adapter: None,
            } => self.models.get(model).map(|group| &group.held),
            Target::Model {
                model,
                adapter: Some(adapter),
            } => self.models.get(model)?.adapters.get(adapter),
            Target::Service { service } => self.services.get(service),
        }
    }

    /// Follows a change of the directory.
    pub fn learn(&mut self, delta: &Delta) {
        let mut before = HashMap::new();
        if delta.snapshot {
            self.models.clear();
            self.services.clear();
            before = std::mem::take(&mut self.vms);
        }
        for name in &delta.gone {
            self.remove(name);
        }
        for member in &delta.members {
            let name = &member.vm.name;
            let rows = self.remove(name).or_else(|| before.remove(name));
            self.insert(member, &rows.unwrap_or_default());
        }
    }

    fn insert(&mut self, member: &Member, before: &[Row]) {
        let near = member.data_centre == self.data_centre;
        let ready = member.endpoints.iter();
        let ready = ready.filter(|endpoint| endpoint.phase == Phase::Ready);
        let rows: Vec<Row> = ready
            .map(|endpoint| row(member, endpoint, before))
            .collect();
        for row in &rows {
            self.each(&row.holding, |held| {
                let list = if near { &mut held.near } else { &mut held.far };
                list.push(Rc::clone(&row.place));
            });
        }
        if !rows.is_empty() {
            self.vms.insert(member.vm.name.clone(), rows);
        }
    }

    fn remove(&mut self, vm: &str) -> Option<Vec<Row>> {
        let rows = self.vms.remove(vm)?;
        for row in &rows {
            self.each(&row.holding, |held| {
                held.near.retain(|place| place.vm != vm);
                held.far.retain(|place| place.vm != vm);
            });
        }
        Some(rows)
    }

    /// Visits the list of each target that an endpoint serves.
    fn each<F: FnMut(&mut Held)>(&mut self, holding: &Holding, mut visit: F) {
        match holding {
            Holding::Engine { models, adapters } => {
                for model in models {
                    let group = self.models.entry(model.clone()).or_default();
                    visit(&mut group.held);
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

/// Lists an endpoint; what is known of its load is kept over changes of its row.
fn row(member: &Member, endpoint: &Endpoint, before: &[Row]) -> Row {
    let known = before.iter().map(|row| &row.place).find(|place| {
        place.endpoint == endpoint.name && place.incarnation == member.vm.incarnation
    });
    let place = Place {
        vm: member.vm.name.clone(),
        incarnation: member.vm.incarnation,
        address: member.address,
        endpoint: endpoint.name.clone(),
        slots: endpoint.slots,
        gauge: known
            .map(|place| Rc::clone(&place.gauge))
            .unwrap_or_default(),
    };
    Row {
        place: Rc::new(place),
        holding: endpoint.holding.clone(),
    }
}
