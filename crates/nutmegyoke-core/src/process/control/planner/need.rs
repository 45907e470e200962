//! The items that a configuration needs the engines to hold.

use std::collections::HashMap;

use crate::process::order::Weights;
use crate::version::Configuration;
use crate::version::grant::Item;

/// Weights that a plan may use, or the model of an adapter that a plan may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Need {
    /// Which weights.
    pub weights: Weights,
    /// The accelerator memory that one copy takes, in bytes.
    pub bytes: u64,
    /// For an adapter, the index of its model in the list of needs.
    pub base: Option<usize>,
}

/// Lists the needs of a configuration, models before adapters.
///
/// An item that no plan may use is left out, unless it is the model of a needed
/// adapter.
#[must_use]
pub fn list(configuration: &Configuration) -> Vec<Need> {
    let granted = |name: &str| {
        let grant = configuration.model(name);
        grant.is_some_and(|grant| !grant.plans.is_empty())
    };
    let grants = &configuration.lists().grants;
    let mut bases = std::collections::HashSet::new();
    for grant in grants {
        if let Item::Adapter { name, model, .. } = &grant.item
            && granted(name.as_str())
        {
            bases.insert(model.as_str());
        }
    }
    let mut needs = Vec::new();
    let mut index = HashMap::new();
    for grant in grants {
        if let Item::Model { name, bytes } = &grant.item
            && (granted(name.as_str()) || bases.contains(name.as_str()))
        {
            index.insert(name.as_str(), needs.len());
            let weights = Weights::model(name.as_str(), 0);
            let (bytes, base) = (*bytes, None);
            needs.push(Need {
                weights,
                bytes,
                base,
            });
        }
    }
    for grant in grants {
        if let Item::Adapter { name, model, bytes } = &grant.item
            && granted(name.as_str())
        {
            let weights = Weights::adapter(name.as_str(), 0);
            let base = index.get(model.as_str()).copied();
            needs.push(Need {
                weights,
                bytes: *bytes,
                base,
            });
        }
    }
    needs
}
