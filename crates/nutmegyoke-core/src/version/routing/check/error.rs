//! What makes a routing document invalid.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::{Entry, Field, Finding};
use crate::version::routing::{Draft, Fault, Pool, Route, Tenant};

/// Finds all errors of a draft, in the order in which the control plane checks for them. It is
/// valid if there are none.
#[must_use]
pub fn errors(draft: &Draft) -> Vec<Finding<Fault>> {
    let mut found = Vec::new();
    find_duplicate_services(&draft.pools, &mut found);
    let services: BTreeSet<&str> = draft
        .pools
        .iter()
        .map(|pool| pool.service.as_str())
        .collect();
    for (index, route) in draft.routes.iter().enumerate() {
        check_route(index, route, &services, &mut found);
    }
    find_duplicate_prefixes(&draft.routes, &mut found);
    find_shared_keys(draft.tenants.as_deref().unwrap_or_default(), &mut found);
    found
}

fn find_duplicate_services(pools: &[Pool], found: &mut Vec<Finding<Fault>>) {
    let mut names = BTreeSet::new();
    for (pool, row) in pools.iter().enumerate() {
        if !names.insert(&row.service) {
            let fault = Fault::DuplicateService {
                service: row.service.to_string(),
            };
            found.push(Entry::Pool { pool }.field(Field::Name).finding(fault));
        }
    }
}

fn check_route(
    index: usize,
    route: &Route,
    services: &BTreeSet<&str>,
    found: &mut Vec<Finding<Fault>>,
) {
    let entry = Entry::Route { route: index };
    let name = || route.name.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let fault = Fault::InvalidPrefix {
            route: name(),
            prefix: route.prefix.clone(),
        };
        found.push(entry.field(Field::Prefix).finding(fault));
    }
    if route.timeout.is_zero() {
        let fault = Fault::ZeroTimeout { route: name() };
        found.push(entry.field(Field::Timeout).finding(fault));
    }
    let mut unknown = BTreeMap::new();
    for (share, row) in route.shares.iter().enumerate() {
        if !services.contains(row.service.as_str()) {
            unknown.entry(&row.service).or_insert(share);
        }
    }
    for (service, share) in unknown {
        let place = Entry::Share {
            route: index,
            share,
        };
        let fault = Fault::UnknownService {
            route: name(),
            service: service.to_string(),
        };
        found.push(place.field(Field::Service).finding(fault));
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        let fault = Fault::ZeroWeight { route: name() };
        found.push(entry.field(Field::Shares).finding(fault));
    }
}

fn find_duplicate_prefixes(routes: &[Route], found: &mut Vec<Finding<Fault>>) {
    let mut hosts: BTreeMap<&str, Vec<(usize, &Route)>> = BTreeMap::new();
    for (index, route) in routes.iter().enumerate() {
        hosts.entry(&route.host).or_default().push((index, route));
    }
    for routes in hosts.values_mut() {
        // The sort is stable, so the later route of a pair is the later one in the document.
        routes.sort_by_key(|(_, route)| (Reverse(route.prefix.len()), route.prefix.as_str()));
        for pair in routes.windows(2) {
            let [(_, first), (index, second)] = pair else {
                continue;
            };
            if first.prefix == second.prefix {
                let fault = Fault::DuplicatePrefix {
                    first: first.name.clone(),
                    second: second.name.clone(),
                };
                let entry = Entry::Route { route: *index };
                found.push(entry.field(Field::Prefix).finding(fault));
            }
        }
    }
}

fn find_shared_keys(tenants: &[Tenant], found: &mut Vec<Finding<Fault>>) {
    let mut holders: BTreeMap<&str, usize> = BTreeMap::new();
    for (tenant, row) in tenants.iter().enumerate() {
        for (key, text) in row.keys.iter().enumerate() {
            let holder = *holders.entry(text).or_insert(tenant);
            // A tenant may list a key twice.
            if holder != tenant {
                let fault = Fault::SharedKey {
                    first: tenants[holder].name.clone(),
                    second: row.name.clone(),
                    place: tenant + 1,
                };
                found.push(Entry::Key { tenant, key }.whole().finding(fault));
            }
        }
    }
}
