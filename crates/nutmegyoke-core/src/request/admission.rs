//! Checks a request against the current configuration.
//!
//! Looks up the plan of the bearer key and the grant of the requested name, and
//! checks that the plan may use the grant. The usage of limits on rate, concurrency
//! and tokens is state of the entry and checked afterwards.

use super::arrival::{Destination, Subject};
use super::{Arrival, Reason};
use crate::version::grant::{self, Item, Repeat};
use crate::version::{Configuration, Grant, Plan};

/// A request that the configuration allows.
#[derive(Clone, Debug)]
pub struct Admission<'a> {
    /// The plan that the request is charged to.
    pub plan: &'a Plan,
    /// The model, adapter or service that serves the request.
    pub destination: Destination,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
}

/// Admits a request if the configuration allows it.
///
/// # Errors
///
/// The reason of the refusal. The request did not run.
pub fn admit<'a>(
    configuration: &'a Configuration,
    arrival: &Arrival<'_>,
) -> Result<Admission<'a>, Reason> {
    let plan = authenticate(configuration, arrival.key)?;
    let (grant, destination, repeat) = match arrival.subject {
        Subject::Completion { name, .. } => {
            let grant = configuration.model(name).ok_or(Reason::UnknownModel)?;
            (grant, destination(&grant.item), Repeat::Repeatable)
        }
        Subject::Call {
            service,
            method,
            path,
        } => {
            let grant = configuration
                .service(service)
                .ok_or(Reason::UnknownService)?;
            let repeat = match &grant.item {
                Item::Service { calls, .. } => grant::repeatability(calls, method, path),
                Item::Model { .. } | Item::Adapter { .. } => Repeat::Once,
            };
            (grant, destination(&grant.item), repeat)
        }
    };
    if !allows(grant, plan) {
        return Err(Reason::NotGranted);
    }
    Ok(Admission {
        plan,
        destination,
        repeat: if arrival.once { Repeat::Once } else { repeat },
    })
}

/// Looks up the plan of a bearer key.
///
/// This needs only the request's headers, so it can run before the body is read.
///
/// # Errors
///
/// The reason of the refusal. The request did not run.
pub fn authenticate<'a>(
    configuration: &'a Configuration,
    key: Option<&str>,
) -> Result<&'a Plan, Reason> {
    if configuration.number() == 0 {
        return Err(Reason::NoConfiguration);
    }
    let plan = key.and_then(|key| configuration.plan_by_key(key));
    plan.ok_or(Reason::BadKey)
}

/// Whether a grant allows a plan to use its item.
#[must_use]
pub fn allows(grant: &Grant, plan: &Plan) -> bool {
    grant.plans.contains(&plan.name)
}

fn destination(item: &Item) -> Destination {
    match item {
        Item::Model { name, .. } => Destination::Model {
            model: name.clone(),
            adapter: None,
        },
        Item::Adapter { name, model, .. } => Destination::Model {
            model: model.clone(),
            adapter: Some(name.clone()),
        },
        Item::Service { name, .. } => Destination::Service {
            service: name.clone(),
        },
    }
}
