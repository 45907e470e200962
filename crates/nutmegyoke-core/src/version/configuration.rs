//! A whole configuration: both lists under one version number.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use super::grant::Item;
use super::{Adapter, Grant, Plan};
use crate::request::arrival::Destination;
use crate::request::claim::RETENTION;

/// An accepted configuration, indexed for the request path.
///
/// Values of this type are immutable and shared by reference; a newer version
/// replaces the whole value.
#[derive(Clone, Debug)]
pub struct Configuration {
    lists: Lists,
    digest: u64,
    plans: BTreeMap<String, usize>,
    keys: BTreeMap<String, usize>,
    models: BTreeMap<String, usize>,
    services: BTreeMap<String, usize>,
}

/// The two lists as operators write them, under their version number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Lists {
    /// The number that the operator raises; 0 stands for no configuration.
    pub number: u64,
    /// The plans that customers have bought.
    pub plans: Vec<Plan>,
    /// What each plan may use.
    pub grants: Vec<Grant>,
}

/// Why two lists do not form a configuration.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Fault {
    /// Two plans share a name.
    #[display("plan `{name}` is listed twice: rename one")]
    DuplicatePlan { name: String },
    /// Two plans share a bearer key.
    #[display("plan `{name}` has the key of plan `{other}`: give each plan its own key")]
    DuplicateKey { name: String, other: String },
    /// A plan lets a request run for longer than claims are known.
    #[display(
        "plan `{name}` has a longer deadline than {} ms, after which a request's key may be \
         forgotten: shorten it",
        RETENTION.as_millis()
    )]
    LongDeadline { name: String },
    /// Two items of a kind share a name.
    #[display("item `{name}` is listed twice: rename or remove one")]
    DuplicateItem { name: String },
    /// A grant names a plan that is not in the plans list.
    #[display(
        "item `{item}` is granted to the unknown plan `{plan}`: add the plan or remove it here"
    )]
    UnknownPlan { item: String, plan: String },
    /// An adapter names a model that is not in the grants list.
    #[display("adapter `{adapter}` belongs to the unknown model `{model}`: add the model first")]
    UnknownModel { adapter: String, model: String },
}

impl Default for Configuration {
    /// No configuration: two empty lists under the number 0, with their digest.
    fn default() -> Self {
        let lists = Lists::default();
        Self {
            digest: digest(&lists),
            lists,
            plans: BTreeMap::new(),
            keys: BTreeMap::new(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }
}

impl Configuration {
    /// Checks both lists whole and indexes them.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found; nothing is accepted in part.
    pub fn open(lists: Lists) -> Result<Rc<Self>, Fault> {
        let mut this = Self {
            digest: digest(&lists),
            ..Self::default()
        };
        let mut names = BTreeMap::new();
        for (index, plan) in lists.plans.iter().enumerate() {
            if plan.deadline > RETENTION {
                return Err(Fault::LongDeadline {
                    name: plan.name.clone(),
                });
            }
            if names.insert(plan.name.as_str(), index).is_some() {
                return Err(Fault::DuplicatePlan {
                    name: plan.name.clone(),
                });
            }
            if let Some(other) = this.keys.insert(plan.key.clone(), index) {
                return Err(Fault::DuplicateKey {
                    name: plan.name.clone(),
                    other: lists.plans[other].name.clone(),
                });
            }
        }
        for (index, grant) in lists.grants.iter().enumerate() {
            let table = match &grant.item {
                Item::Service { .. } => &mut this.services,
                Item::Model { .. } | Item::Adapter { .. } => &mut this.models,
            };
            let name = grant.item.name();
            if table.insert(name.to_owned(), index).is_some() {
                return Err(Fault::DuplicateItem {
                    name: name.to_owned(),
                });
            }
            if let Some(plan) = grant
                .plans
                .iter()
                .find(|plan| !names.contains_key(plan.as_str()))
            {
                return Err(Fault::UnknownPlan {
                    item: name.to_owned(),
                    plan: plan.clone(),
                });
            }
        }
        check_adapters(&lists, &this.models)?;
        this.plans = names
            .into_iter()
            .map(|(name, index)| (name.to_owned(), index))
            .collect();
        this.lists = lists;
        Ok(Rc::new(this))
    }

    /// The version number; 0 while no configuration is in force.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.lists.number
    }

    /// A digest of the content without the number, equal for equal lists.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The lists as the operator wrote them.
    #[must_use]
    pub fn lists(&self) -> &Lists {
        &self.lists
    }

    /// The plan of this name.
    #[must_use]
    pub fn plan(&self, name: &str) -> Option<&Plan> {
        let index = *self.plans.get(name)?;
        Some(&self.lists.plans[index])
    }

    /// The plan that a bearer key belongs to.
    #[must_use]
    pub fn plan_by_key(&self, key: &str) -> Option<&Plan> {
        self.keys.get(key).map(|&index| &self.lists.plans[index])
    }

    /// The grant of a model, or of an adapter, by the name that callers use.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Grant> {
        self.models
            .get(name)
            .map(|&index| &self.lists.grants[index])
    }

    /// The grant of what an admitted request needs.
    #[must_use]
    pub fn grant(&self, destination: &Destination) -> Option<&Grant> {
        match destination {
            Destination::Model { model, adapter } => {
                let name = adapter.as_ref().map(Adapter::as_str);
                self.model(name.unwrap_or(model.as_str()))
            }
            Destination::Service { service } => self.service(service.as_str()),
        }
    }

    /// The grant of a plain service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Grant> {
        self.services
            .get(name)
            .map(|&index| &self.lists.grants[index])
    }
}

fn check_adapters(lists: &Lists, models: &BTreeMap<String, usize>) -> Result<(), Fault> {
    for grant in &lists.grants {
        let Item::Adapter { name, model, .. } = &grant.item else {
            continue;
        };
        let base = models
            .get(model.as_str())
            .map(|&index| &lists.grants[index].item);
        if !matches!(base, Some(Item::Model { .. })) {
            return Err(Fault::UnknownModel {
                adapter: name.to_string(),
                model: model.to_string(),
            });
        }
    }
    Ok(())
}

/// Hashes the content in a form that depends on no encoding and leaves the number out.
fn digest(lists: &Lists) -> u64 {
    let mut bytes = Bytes::default();
    lists.plans.hash(&mut bytes);
    lists.grants.hash(&mut bytes);
    bytes.finish()
}

/// Collects what is hashed, so that the digest is stable across builds.
#[derive(Default)]
struct Bytes(Vec<u8>);

impl Hasher for Bytes {
    fn write(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    fn finish(&self) -> u64 {
        rapidhash_v3(&self.0)
    }
}
