//! A configuration: the plans list and the grants list under one version number.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use super::grant::Item;
use super::{Adapter, Grant, Plan};
use crate::request::arrival::Destination;
use crate::request::claim::RETENTION;

/// A valid configuration, indexed for lookups by requests.
///
/// It is immutable and shared by reference; a newer version replaces the whole value.
#[derive(Clone, Debug)]
pub struct Configuration {
    lists: Lists,
    digest: u64,
    plans: BTreeMap<String, usize>,
    keys: BTreeMap<String, usize>,
    models: BTreeMap<String, usize>,
    services: BTreeMap<String, usize>,
}

/// The two lists as the operator wrote them, with their version number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Lists {
    /// The version number, increased by the operator; 0 stands for no configuration.
    pub number: u64,
    /// The plans that customers have bought.
    pub plans: Vec<Plan>,
    /// The items that each plan may use.
    pub grants: Vec<Grant>,
}

/// Why two lists are not a valid configuration.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Fault {
    /// Two plans have the same name.
    #[display("plan `{name}` is listed twice: rename one")]
    DuplicatePlan { name: String },
    /// Two plans have the same bearer key.
    #[display("plan `{name}` has the key of plan `{other}`: give each plan its own key")]
    DuplicateKey { name: String, other: String },
    /// The deadline of a plan is longer than claims are retained, so a request could run again
    /// under the same key.
    #[display(
        "plan `{name}` has a longer deadline than {} ms, after which a request's key may be \
         forgotten: shorten it",
        RETENTION.as_millis()
    )]
    LongDeadline { name: String },
    /// Two items have the same name: two models or adapters, or two services.
    #[display("item `{name}` is listed twice: rename or remove one")]
    DuplicateItem { name: String },
    /// A grant refers to a plan that is not in the plans list.
    #[display(
        "item `{item}` is granted to the unknown plan `{plan}`: add the plan or remove it here"
    )]
    UnknownPlan { item: String, plan: String },
    /// An adapter refers to a model that is not in the grants list.
    #[display("adapter `{adapter}` belongs to the unknown model `{model}`: add the model first")]
    UnknownModel { adapter: String, model: String },
}

impl Default for Configuration {
    /// The initial state without a configuration: two empty lists with number 0.
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
    /// Validates and indexes both lists.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found. The lists are accepted completely or not at all.
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

    /// The version number; 0 if there is no configuration.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.lists.number
    }

    /// A digest of the content without the number. Equal lists have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The lists as the operator wrote them.
    #[must_use]
    pub fn lists(&self) -> &Lists {
        &self.lists
    }

    /// The plan called `name`.
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

    /// The grant of the model or adapter called `name`.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Grant> {
        self.models
            .get(name)
            .map(|&index| &self.lists.grants[index])
    }

    /// The grant of the item that an admitted request uses.
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

    /// The grant of the plain service called `name`.
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

/// Hashes the content without the number, independent of any encoding.
fn digest(lists: &Lists) -> u64 {
    let mut bytes = Bytes::default();
    lists.plans.hash(&mut bytes);
    lists.grants.hash(&mut bytes);
    bytes.finish()
}

/// Collects the bytes to hash, so that one hash over them is stable across builds.
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
