//! Entries of a document that have no effect, and limits that conflict.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use strum::IntoStaticStr;

use super::{Entry, Field, Finding};
use crate::version::routing::tenant::Unit;
use crate::version::routing::{Allotment, Draft, Pool, Route};
use crate::version::{Model, Service};

/// The number of endpoints that accept requests, by service. Services without any are absent.
pub type Listing = BTreeMap<Service, usize>;

/// Something in a valid document that is likely to be a mistake. The text says what to do
/// about it.
#[derive(Clone, Debug, Display, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Warning {
    /// A route has a host that no request can have.
    #[display(
        "no request of route `{route}` can match: gateways compare the host without its port, and \
         accept printable ASCII characters only; correct `{host}`"
    )]
    UnmatchedHost { route: String, host: String },
    /// A route has a prefix that no path can begin with.
    #[display(
        "no request of route `{route}` can match: a path has no spaces, control characters, `?` or \
         `#`; correct `{prefix}`"
    )]
    UnmatchedPrefix { route: String, prefix: String },
    /// No route sends requests to a service.
    #[display("no route sends requests to service `{service}`: add a route or remove the service")]
    UnroutedService { service: Service },
    /// No endpoint of a service is listed.
    #[display("no endpoint of service `{service}` announces itself: start one or correct the name")]
    UnlistedService { service: Service },
    /// No route sends requests to a service with the model.
    #[display(
        "no route leads to a service with model `{model}`: add a route to `{service}` or remove \
         the model"
    )]
    UnroutedModel { service: Service, model: Model },
    /// The timeout of a route is shorter than its objective, so no request can miss the objective
    /// and succeed.
    #[display(
        "route `{route}` has a timeout of {} ms, shorter than its objective of {} ms: raise the \
         timeout or lower the objective", timeout.as_millis(), objective.as_millis()
    )]
    ShortTimeout {
        route: String,
        timeout: Duration,
        objective: Duration,
    },
    /// A request may run at more endpoints than are listed of a service of its route.
    #[display(
        "route `{route}` allows {attempts} attempts, but service `{service}` has \
         {endpoints} endpoints: lower the attempts or start more"
    )]
    ExcessAttempts {
        route: String,
        attempts: u32,
        service: Service,
        endpoints: usize,
    },
    /// The burst of a tenant is smaller than one request.
    #[display(
        "tenant `{tenant}` has a burst of {burst}, less than the {request} that one request \
         counts: raise the burst"
    )]
    SmallBurst {
        tenant: String,
        burst: f64,
        request: u64,
    },
    /// A tenant's name is listed again with another quota, and a name has only one.
    #[display("tenant `{tenant}` is listed before with another quota: list it once, with all keys")]
    ConflictingQuotas { tenant: String },
    /// The tenants may at once use more tokens than the caches of all listed engines hold.
    #[display(
        "the bursts of all tenants are {bursts} tokens together, but the listed engines hold \
         {capacity} tokens: lower the bursts or start more engines"
    )]
    ExcessTokens { bursts: f64, capacity: u64 },
    /// The tenants may at once send more requests than all listed engines run.
    #[display(
        "the bursts of all tenants are {bursts} requests together, but the listed engines run \
         {capacity} at once: lower the bursts or start more engines"
    )]
    ExcessRequests { bursts: f64, capacity: u64 },
}

/// Finds what is likely to be a mistake in a draft. What depends on the number of endpoints is
/// checked only if the `listing` is known.
#[must_use]
pub fn warnings(draft: &Draft, listing: Option<&Listing>) -> Vec<Finding<Warning>> {
    let mut found = Vec::new();
    for (index, route) in draft.routes.iter().enumerate() {
        check_route(Entry::Route { route: index }, route, listing, &mut found);
    }
    check_pools(draft, listing, &mut found);
    check_tenants(draft, &mut found);
    if let Some(listing) = listing {
        check_bursts(draft, listing, &mut found);
    }
    found
}

fn check_route(
    entry: Entry,
    route: &Route,
    listing: Option<&Listing>,
    found: &mut Vec<Finding<Warning>>,
) {
    let name = || route.name.clone();
    let is_printable = |character: char| matches!(character, ' '..='~');
    if route.host.contains(':') || !route.host.chars().all(is_printable) {
        let host = route.host.clone();
        let problem = Warning::UnmatchedHost {
            route: name(),
            host,
        };
        found.push(entry.field(Field::Host).finding(problem));
    }
    let ends_path =
        |character: char| matches!(character, '?' | '#' | ' ') || character.is_ascii_control();
    if route.prefix.contains(ends_path) {
        let prefix = route.prefix.clone();
        let problem = Warning::UnmatchedPrefix {
            route: name(),
            prefix,
        };
        found.push(entry.field(Field::Prefix).finding(problem));
    }
    if route.timeout < route.objective {
        let problem = Warning::ShortTimeout {
            route: name(),
            timeout: route.timeout,
            objective: route.objective,
        };
        found.push(entry.field(Field::Timeout).finding(problem));
    }
    let services: BTreeSet<&Service> = destinations(route).collect();
    for service in services {
        let Some(&endpoints) = listing.and_then(|listing| listing.get(service)) else {
            continue;
        };
        if usize::try_from(route.max_attempts).is_ok_and(|attempts| attempts > endpoints) {
            let problem = Warning::ExcessAttempts {
                route: name(),
                attempts: route.max_attempts,
                service: service.clone(),
                endpoints,
            };
            found.push(entry.field(Field::MaxAttempts).finding(problem));
        }
    }
}

/// The services to which a route sends requests.
fn destinations(route: &Route) -> impl Iterator<Item = &Service> {
    let shares = route.shares.iter().filter(|share| share.weight > 0);
    shares.map(|share| &share.service)
}

fn check_pools(draft: &Draft, listing: Option<&Listing>, found: &mut Vec<Finding<Warning>>) {
    let routed: BTreeSet<&Service> = draft.routes.iter().flat_map(destinations).collect();
    let is_routed = |pool: &&Pool| routed.contains(&pool.service);
    let engines = draft.pools.iter().filter(is_routed);
    let models = engines.filter_map(|pool| pool.engine.as_ref());
    let models = models.flat_map(|engine| &engine.models);
    let routed_models: BTreeSet<&Model> = models.map(|row| &row.model).collect();
    for (index, pool) in draft.pools.iter().enumerate() {
        let entry = Entry::Pool { pool: index };
        let service = pool.service.clone();
        if !is_routed(&pool) {
            let problem = Warning::UnroutedService {
                service: service.clone(),
            };
            found.push(entry.whole().finding(problem));
        }
        if listing.is_some_and(|listing| listing.get(&service).is_none_or(|&count| count == 0)) {
            let problem = Warning::UnlistedService { service };
            found.push(entry.whole().finding(problem));
        }
        let models = pool.engine.iter().flat_map(|engine| &engine.models);
        for (model, row) in models.enumerate() {
            if !routed_models.contains(&row.model) {
                let place = Entry::Model { pool: index, model };
                let problem = Warning::UnroutedModel {
                    service: pool.service.clone(),
                    model: row.model.clone(),
                };
                found.push(place.whole().finding(problem));
            }
        }
    }
}

fn check_tenants(draft: &Draft, found: &mut Vec<Finding<Warning>>) {
    let mut quotas: BTreeMap<&str, &Allotment> = BTreeMap::new();
    for (index, tenant) in draft.tenants.iter().flatten().enumerate() {
        let entry = Entry::Tenant { tenant: index };
        let quota = &tenant.allotment;
        // A request counts at least 1, which is also the least that a burst has to be.
        let request = quota.cost(None).max(1);
        if quota.is_limited() && quota.burst < to_f64(request) {
            let problem = Warning::SmallBurst {
                tenant: tenant.name.clone(),
                burst: quota.burst,
                request,
            };
            found.push(entry.field(Field::Burst).finding(problem));
        }
        if *quotas.entry(&tenant.name).or_insert(quota) != quota {
            let tenant = tenant.name.clone();
            let problem = Warning::ConflictingQuotas { tenant };
            found.push(entry.field(Field::Name).finding(problem));
        }
    }
}

/// Compares the bursts of all tenants with what the listed engines hold or run at once. A
/// document states no speeds, so rates can't be compared.
fn check_bursts(draft: &Draft, listing: &Listing, found: &mut Vec<Finding<Warning>>) {
    let tenants = draft.tenants.iter().flatten();
    let quotas = tenants.map(|tenant| &tenant.allotment);
    let limited = quotas.filter(|quota| quota.is_limited());
    let (requests, tokens): (Vec<_>, Vec<_>) =
        limited.partition(|quota| quota.unit == Unit::Requests);
    let sum = |quotas: &[&Allotment]| quotas.iter().map(|quota| quota.burst).sum::<f64>();
    let place = Entry::Document.field(Field::Tenants);
    let bursts = sum(&tokens);
    let capacity = cache_tokens(&draft.pools, listing);
    if capacity > 0 && bursts > to_f64(capacity) {
        found.push(place.finding(Warning::ExcessTokens { bursts, capacity }));
    }
    let bursts = sum(&requests);
    if let Some(capacity) = concurrency(&draft.pools, listing)
        && capacity > 0
        && bursts > to_f64(capacity)
    {
        found.push(place.finding(Warning::ExcessRequests { bursts, capacity }));
    }
}

/// The tokens that the caches of all listed engines hold.
fn cache_tokens(pools: &[Pool], listing: &Listing) -> u64 {
    let held = pools.iter().filter_map(|pool| {
        let engine = pool.engine.as_ref()?;
        Some(engine.cache_tokens.saturating_mul(count(pool, listing)))
    });
    held.fold(0, u64::saturating_add)
}

/// The requests that all listed engines run at once; `None` if a service has other endpoints, which
/// may queue any number of requests.
fn concurrency(pools: &[Pool], listing: &Listing) -> Option<u64> {
    let mut sum = 0_u64;
    for pool in pools {
        let slots = u64::from(pool.engine.as_ref()?.slots);
        sum = sum.saturating_add(slots.saturating_mul(count(pool, listing)));
    }
    Some(sum)
}

fn count(pool: &Pool, listing: &Listing) -> u64 {
    let count = listing.get(&pool.service).copied().unwrap_or(0);
    u64::try_from(count).unwrap_or(u64::MAX)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "a comparison of large amounts needs no more than 53 bits"
)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
