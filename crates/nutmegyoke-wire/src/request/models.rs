//! The answer to `GET /v1/models`.

use nutmegyoke_core::version::Grant;
use nutmegyoke_core::version::grant::Item;
use serde::Serialize;

#[derive(Serialize)]
struct List<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// Encodes the models and adapters among `grants` as JSON.
#[must_use]
pub fn encode<'a>(grants: impl Iterator<Item = &'a Grant>) -> Vec<u8> {
    let models = grants.filter(|grant| !matches!(grant.item, Item::Service { .. }));
    let list = List {
        object: "list",
        data: models
            .map(|grant| Model {
                id: grant.item.name(),
                object: "model",
                owned_by: "nutmegyoke",
            })
            .collect(),
    };
    serde_json::to_vec(&list).unwrap_or_default()
}
