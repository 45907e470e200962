//! The changes from one routing document to another, and what they mean for clients.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;
use strum::Display as StrumDisplay;

use super::{Entry, Field, Place};
use crate::version::routing::tenant::Unit;
use crate::version::routing::{Draft, Engine, Footprint, Pool, Route, Semantics, Tenant};

/// A change of one entry or field.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Difference {
    /// The document that the place is in.
    pub edition: Edition,
    /// The place of the entry or field.
    pub place: Place,
    /// The entry's name; for an entry of another one, the name of that one.
    pub name: String,
    /// How it changed.
    pub change: Change,
    /// The value before, if it is a field. Keys are secrets and not told.
    pub before: Option<String>,
    /// The value after, if it is a field.
    pub after: Option<String>,
    /// What it means for clients.
    pub effect: Effect,
}

/// One of the two documents that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edition {
    /// The document in force.
    Old,
    /// The document that is checked.
    New,
}

/// How an entry changed.
#[derive(Clone, Copy, Debug, StrumDisplay, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    Added,
    Removed,
    Changed,
}

/// What a change means for clients.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    #[display("publishing the document has no effect, because its number is not higher")]
    NotNewer,
    #[display("requests with its host and prefix take this route")]
    RouteAdded,
    #[display("requests that took it take a route with a shorter prefix or are rejected with 404")]
    RouteRemoved,
    #[display("clients notice nothing; logs and metrics have the new name")]
    Renamed,
    #[display("requests go to other services")]
    Destination,
    #[display("requests are split between the same services in other proportions")]
    Proportions,
    #[display("requests are delivered by other rules on repetition and streaming")]
    Semantics,
    #[display("requests that take longer fail")]
    TimeoutLowered,
    #[display("clients may wait longer for an answer or an error")]
    TimeoutRaised,
    #[display("latency is measured against a stricter objective")]
    ObjectiveLowered,
    #[display("latency is measured against a looser objective")]
    ObjectiveRaised,
    #[display("requests are more urgent than before")]
    MoreUrgent,
    #[display("requests are less urgent than before")]
    LessUrgent,
    #[display("the priorities of the routes apply")]
    RoutePriority,
    #[display("the tenant's priority applies on all routes")]
    TenantPriority,
    #[display("more requests fail when endpoints fail")]
    FewerAttempts,
    #[display("requests are retried at more endpoints")]
    MoreAttempts,
    #[display("requests without a known key are rejected with 401")]
    KeyNeeded,
    #[display("requests need no key")]
    KeyNotNeeded,
    #[display("none, because the document lists no tenants")]
    NoTenants,
    #[display("its endpoints can get requests")]
    ServiceAdded,
    #[display("its endpoints get no more requests")]
    ServiceRemoved,
    #[display("clients notice nothing; endpoints are checked at another path")]
    HealthPath,
    #[display("fewer requests run at once at each endpoint")]
    FewerConnections,
    #[display("more requests may run at once at each endpoint")]
    MoreConnections,
    #[display("requests wait and models are placed by other numbers")]
    Capacity,
    #[display("requests for the model can be served")]
    ModelAdded,
    #[display("requests for the model find no engine of this service")]
    ModelRemoved,
    #[display("larger or slower requests are rejected")]
    LimitLowered,
    #[display("larger or slower requests are accepted")]
    LimitRaised,
    #[display("requests with its keys are accepted")]
    TenantAdded,
    #[display("requests with its keys are rejected with 401, unless another tenant has the key")]
    TenantRemoved,
    #[display("requests with the key are accepted")]
    KeyAdded,
    #[display("requests with the key are rejected with 401")]
    KeyRemoved,
    #[display("requests with the key count for another tenant")]
    KeyMoved,
    #[display("requests beyond the lower quota are rejected with 429")]
    QuotaLowered,
    #[display("requests within the higher quota are no longer rejected")]
    QuotaRaised,
    #[display("the quota counts in another unit")]
    Unit,
    #[display("requests that name no tokens count more")]
    CostRaised,
    #[display("requests that name no tokens count less")]
    CostLowered,
}

/// The rows of a list in both documents, paired by key; rows with equal keys in their order.
type Pair<'a, T> = (Option<(usize, &'a T)>, Option<(usize, &'a T)>);

/// The entry whose fields are compared.
#[derive(Debug)]
struct Comparison<'a> {
    entry: Entry,
    name: &'a str,
    found: &'a mut Vec<Difference>,
}

/// Compares the document in force with another one, entry by entry.
#[must_use]
pub fn differences(old: &Draft, new: &Draft) -> Vec<Difference> {
    let mut found = Vec::new();
    compare_routes(old, new, &mut found);
    compare_pools(&old.pools, &new.pools, &mut found);
    compare_limits(old, new, &mut found);
    compare_tenants(old, new, &mut found);
    if !found.is_empty() && new.number <= old.number {
        let mut document = Comparison {
            entry: Entry::Document,
            name: "",
            found: &mut found,
        };
        let numbers = (old.number.to_string(), new.number.to_string());
        document.put(Field::Number, numbers, Effect::NotNewer);
    }
    found
}

fn pair<'a, T, K: Ord>(old: &'a [T], new: &'a [T], key: impl Fn(&'a T) -> K) -> Vec<Pair<'a, T>> {
    let mut rows: BTreeMap<K, VecDeque<(usize, &T)>> = BTreeMap::new();
    for (index, row) in old.iter().enumerate() {
        rows.entry(key(row)).or_default().push_back((index, row));
    }
    let mut pairs = Vec::new();
    for (index, row) in new.iter().enumerate() {
        let before = rows.get_mut(&key(row)).and_then(VecDeque::pop_front);
        pairs.push((before, Some((index, row))));
    }
    let mut removed: Vec<(usize, &T)> = rows.into_values().flatten().collect();
    removed.sort_by_key(|(index, _)| *index);
    pairs.extend(removed.into_iter().map(|row| (Some(row), None)));
    pairs
}

fn whole(entry: Entry, edition: Edition, name: &str, effect: Effect) -> Difference {
    Difference {
        edition,
        place: entry.whole(),
        name: name.to_owned(),
        change: match edition {
            Edition::Old => Change::Removed,
            Edition::New => Change::Added,
        },
        before: None,
        after: None,
        effect,
    }
}

impl Comparison<'_> {
    fn put(&mut self, field: Field, (before, after): (String, String), effect: Effect) {
        self.found.push(Difference {
            edition: Edition::New,
            place: self.entry.field(field),
            name: self.name.to_owned(),
            change: Change::Changed,
            before: Some(before),
            after: Some(after),
            effect,
        });
    }

    /// Compares values that mean one thing for clients if they are lowered and another one if they
    /// are raised.
    fn order<T: PartialOrd>(
        &mut self,
        field: Field,
        (before, after): (T, T),
        show: impl Fn(&T) -> String,
        (lowered, raised): (Effect, Effect),
    ) {
        if before != after {
            let effect = if after < before { lowered } else { raised };
            self.put(field, (show(&before), show(&after)), effect);
        }
    }

    /// Compares values of which any change means the same for clients.
    fn equal<T: PartialEq>(
        &mut self,
        field: Field,
        (before, after): (T, T),
        show: impl Fn(&T) -> String,
        effect: Effect,
    ) {
        if before != after {
            self.put(field, (show(&before), show(&after)), effect);
        }
    }
}

fn compare_routes(old: &Draft, new: &Draft, found: &mut Vec<Difference>) {
    let key = |route: &Route| (route.host.clone(), route.prefix.clone());
    for rows in pair(&old.routes, &new.routes, key) {
        match rows {
            (Some((_, before)), Some((route, after))) => {
                let comparison = Comparison {
                    entry: Entry::Route { route },
                    name: &after.name,
                    found,
                };
                compare_route(comparison, before, after, new.tenants.is_some());
            }
            (None, Some((route, row))) => {
                let entry = Entry::Route { route };
                found.push(whole(entry, Edition::New, &row.name, Effect::RouteAdded));
            }
            (Some((route, row)), None) => {
                let entry = Entry::Route { route };
                found.push(whole(entry, Edition::Old, &row.name, Effect::RouteRemoved));
            }
            (None, None) => {}
        }
    }
}

fn compare_route(mut row: Comparison<'_>, old: &Route, new: &Route, has_tenants: bool) {
    let names = (&old.name, &new.name);
    row.equal(Field::Name, names, ToString::to_string, Effect::Renamed);
    let services = |route: &Route| {
        let mut services: Vec<String> = route
            .shares
            .iter()
            .map(|share| share.service.to_string())
            .collect();
        services.sort();
        services.dedup();
        services
    };
    let effect = if services(old) == services(new) {
        Effect::Proportions
    } else {
        Effect::Destination
    };
    let splits = (shares(old), shares(new));
    row.equal(Field::Shares, splits, Clone::clone, effect);
    let rules = (semantics(old.semantics), semantics(new.semantics));
    row.equal(
        Field::Semantics,
        rules,
        ToString::to_string,
        Effect::Semantics,
    );
    let timeouts = (Effect::TimeoutLowered, Effect::TimeoutRaised);
    row.order(
        Field::Timeout,
        (old.timeout, new.timeout),
        milliseconds,
        timeouts,
    );
    let objectives = (Effect::ObjectiveLowered, Effect::ObjectiveRaised);
    // Without an objective the decoder sets the timeout.
    if (old.objective, new.objective) != (old.timeout, new.timeout) {
        let pair = (old.objective, new.objective);
        row.order(Field::Objective, pair, milliseconds, objectives);
    }
    let gap = |route: &Route| route.gap_objective.unwrap_or(Duration::MAX);
    row.order(
        Field::GapObjective,
        (gap(old), gap(new)),
        milliseconds,
        objectives,
    );
    let urgency = (Effect::MoreUrgent, Effect::LessUrgent);
    let priorities = (old.priority, new.priority);
    row.order(Field::Priority, priorities, ToString::to_string, urgency);
    let attempts = (old.max_attempts, new.max_attempts);
    row.order(
        Field::MaxAttempts,
        attempts,
        ToString::to_string,
        (Effect::FewerAttempts, Effect::MoreAttempts),
    );
    let effect = match (has_tenants, new.public) {
        (false, _) => Effect::NoTenants,
        (true, true) => Effect::KeyNotNeeded,
        (true, false) => Effect::KeyNeeded,
    };
    let public = (old.public, new.public);
    row.equal(Field::Public, public, ToString::to_string, effect);
}

fn compare_pools(old: &[Pool], new: &[Pool], found: &mut Vec<Difference>) {
    for rows in pair(old, new, |pool| pool.service.clone()) {
        match rows {
            (Some((_, before)), Some((pool, after))) => {
                let name = after.service.as_str();
                compare_pool(pool, name, (before, after), found);
            }
            (None, Some((pool, row))) => {
                let entry = Entry::Pool { pool };
                let name = row.service.as_str();
                found.push(whole(entry, Edition::New, name, Effect::ServiceAdded));
            }
            (Some((pool, row)), None) => {
                let entry = Entry::Pool { pool };
                let name = row.service.as_str();
                found.push(whole(entry, Edition::Old, name, Effect::ServiceRemoved));
            }
            (None, None) => {}
        }
    }
}

fn compare_pool(pool: usize, name: &str, (old, new): (&Pool, &Pool), found: &mut Vec<Difference>) {
    let mut row = Comparison {
        entry: Entry::Pool { pool },
        name,
        found: &mut *found,
    };
    let paths = (&old.health_path, &new.health_path);
    row.equal(
        Field::HealthPath,
        paths,
        ToString::to_string,
        Effect::HealthPath,
    );
    let connections = (old.max_connections, new.max_connections);
    row.order(
        Field::MaxConnections,
        connections,
        |&value| match value {
            u32::MAX => "no limit".to_owned(),
            value => value.to_string(),
        },
        (Effect::FewerConnections, Effect::MoreConnections),
    );
    let entry = Entry::Engine { pool };
    match (&old.engine, &new.engine) {
        (Some(old), Some(new)) => compare_engines(pool, name, (old, new), found),
        (None, Some(_)) => found.push(whole(entry, Edition::New, name, Effect::Capacity)),
        (Some(_), None) => found.push(whole(entry, Edition::Old, name, Effect::Capacity)),
        (None, None) => {}
    }
}

fn compare_engines(
    pool: usize,
    name: &str,
    (old, new): (&Engine, &Engine),
    found: &mut Vec<Difference>,
) {
    let mut row = Comparison {
        entry: Entry::Engine { pool },
        name,
        found: &mut *found,
    };
    let numbers = |engine: &Engine| {
        [
            (Field::Slots, engine.slots.to_string()),
            (Field::CacheTokens, engine.cache_tokens.to_string()),
            (Field::EventTokens, engine.event_tokens.to_string()),
            (Field::WeightsMb, number(engine.weights_mb)),
            (Field::AdapterSlots, engine.adapter_slots.to_string()),
            (Field::LoadsPerSecond, number(engine.loads_per_second)),
        ]
    };
    for ((field, before), (_, after)) in numbers(old).into_iter().zip(numbers(new)) {
        row.equal(field, (before, after), Clone::clone, Effect::Capacity);
    }
    for rows in pair(&old.models, &new.models, |model| model.model.clone()) {
        match rows {
            (Some((_, before)), Some((model, after))) => {
                let row = Comparison {
                    entry: Entry::Model { pool, model },
                    name: after.model.as_str(),
                    found: &mut *found,
                };
                compare_models(row, before, after);
            }
            (None, Some((model, row))) => {
                let entry = Entry::Model { pool, model };
                let name = row.model.as_str();
                found.push(whole(entry, Edition::New, name, Effect::ModelAdded));
            }
            (Some((model, row)), None) => {
                let entry = Entry::Model { pool, model };
                let name = row.model.as_str();
                found.push(whole(entry, Edition::Old, name, Effect::ModelRemoved));
            }
            (None, None) => {}
        }
    }
}

fn compare_models(mut row: Comparison<'_>, old: &Footprint, new: &Footprint) {
    let numbers = |model: &Footprint| {
        [
            (Field::WeightsMb, number(model.mb)),
            (Field::LoadTime, milliseconds(&model.load_time)),
            (Field::Adapters, model.adapters.to_string()),
            (Field::AdapterMb, number(model.adapter_mb)),
        ]
    };
    for ((field, before), (_, after)) in numbers(old).into_iter().zip(numbers(new)) {
        row.equal(field, (before, after), Clone::clone, Effect::Capacity);
    }
}

fn compare_limits(old: &Draft, new: &Draft, found: &mut Vec<Difference>) {
    let mut row = Comparison {
        entry: Entry::Limits,
        name: "",
        found,
    };
    let effects = (Effect::LimitLowered, Effect::LimitRaised);
    let (old, new) = (&old.limits, &new.limits);
    let bytes = (old.max_header_bytes, new.max_header_bytes);
    row.order(Field::MaxHeaderBytes, bytes, ToString::to_string, effects);
    let bytes = (old.max_body_bytes, new.max_body_bytes);
    row.order(Field::MaxBodyBytes, bytes, ToString::to_string, effects);
    let times = (old.header_timeout, new.header_timeout);
    row.order(Field::HeaderTimeout, times, milliseconds, effects);
    let times = (old.idle_timeout, new.idle_timeout);
    row.order(Field::IdleTimeout, times, milliseconds, effects);
}

fn compare_tenants(old: &Draft, new: &Draft, found: &mut Vec<Difference>) {
    let (edition, effect) = match (&old.tenants, &new.tenants) {
        (None, None) => return,
        (Some(old), Some(new)) => return compare_listed_tenants(old, new, found),
        (None, Some(_)) => (Edition::New, Effect::KeyNeeded),
        (Some(_), None) => (Edition::Old, Effect::KeyNotNeeded),
    };
    let mut difference = whole(Entry::Document, edition, "", effect);
    difference.place = Entry::Document.field(Field::Tenants);
    found.push(difference);
}

fn compare_listed_tenants(old: &[Tenant], new: &[Tenant], found: &mut Vec<Difference>) {
    let holders = |tenants: &'_ [Tenant]| -> BTreeMap<String, String> {
        let keys = tenants.iter().flat_map(|tenant| {
            let keys = tenant.keys.iter();
            keys.map(|key| (key.clone(), tenant.name.clone()))
        });
        keys.collect()
    };
    let (old_holders, new_holders) = (holders(old), holders(new));
    for rows in pair(old, new, |tenant| tenant.name.clone()) {
        match rows {
            (Some((former, before)), Some((tenant, after))) => {
                let row = Comparison {
                    entry: Entry::Tenant { tenant },
                    name: &after.name,
                    found: &mut *found,
                };
                compare_quota(row, before, after);
                compare_keys(
                    (former, before),
                    (tenant, after),
                    &old_holders,
                    &new_holders,
                    found,
                );
            }
            (None, Some((tenant, row))) => {
                let entry = Entry::Tenant { tenant };
                found.push(whole(entry, Edition::New, &row.name, Effect::TenantAdded));
            }
            (Some((tenant, row)), None) => {
                let entry = Entry::Tenant { tenant };
                found.push(whole(entry, Edition::Old, &row.name, Effect::TenantRemoved));
                for (key, text) in row.keys.iter().enumerate() {
                    if new_holders.contains_key(text) {
                        let entry = Entry::Key { tenant, key };
                        found.push(whole(entry, Edition::Old, &row.name, Effect::KeyMoved));
                    }
                }
            }
            (None, None) => {}
        }
    }
}

fn compare_keys(
    (former, old): (usize, &Tenant),
    (tenant, new): (usize, &Tenant),
    old_holders: &BTreeMap<String, String>,
    new_holders: &BTreeMap<String, String>,
    found: &mut Vec<Difference>,
) {
    for (key, text) in old.keys.iter().enumerate() {
        if !new.keys.contains(text) {
            let entry = Entry::Key {
                tenant: former,
                key,
            };
            let effect = if new_holders.contains_key(text) {
                Effect::KeyMoved
            } else {
                Effect::KeyRemoved
            };
            found.push(whole(entry, Edition::Old, &old.name, effect));
        }
    }
    for (key, text) in new.keys.iter().enumerate() {
        if !old.keys.contains(text) {
            let entry = Entry::Key { tenant, key };
            let effect = if old_holders.contains_key(text) {
                Effect::KeyMoved
            } else {
                Effect::KeyAdded
            };
            found.push(whole(entry, Edition::New, &new.name, effect));
        }
    }
}

fn compare_quota(mut row: Comparison<'_>, old: &Tenant, new: &Tenant) {
    let priorities = (old.priority, new.priority);
    let effect = match priorities {
        (Some(before), Some(after)) if after < before => Effect::MoreUrgent,
        (Some(_), Some(_)) => Effect::LessUrgent,
        (_, None) => Effect::RoutePriority,
        (None, Some(_)) => Effect::TenantPriority,
    };
    let show = |priority: &Option<u8>| {
        priority.map_or("that of the route".to_owned(), |value| value.to_string())
    };
    row.equal(Field::Priority, priorities, show, effect);
    let (old, new) = (&old.allotment, &new.allotment);
    let unit = |unit: Unit| match unit {
        Unit::Requests => "requests",
        Unit::Tokens { .. } => "tokens",
    };
    let units = (unit(old.unit), unit(new.unit));
    row.equal(Field::Unit, units, ToString::to_string, Effect::Unit);
    if let (Unit::Tokens { plain: before }, Unit::Tokens { plain: after }) = (old.unit, new.unit) {
        let effects = (Effect::CostLowered, Effect::CostRaised);
        let costs = (before, after);
        row.order(Field::PlainTokens, costs, ToString::to_string, effects);
    }
    let effects = if units.0 == units.1 {
        (Effect::QuotaLowered, Effect::QuotaRaised)
    } else {
        (Effect::Unit, Effect::Unit)
    };
    // Without a rate there is no limit.
    let rate = |rate: f64| if rate > 0.0 { rate } else { f64::INFINITY };
    let rates = (rate(old.rate), rate(new.rate));
    row.order(Field::Rate, rates, |&rate| number(rate), effects);
    if old.is_limited() && new.is_limited() {
        let bursts = (old.burst, new.burst);
        row.order(Field::Burst, bursts, |&burst| number(burst), effects);
    }
}

/// Shows the services of a route with their weights, if it has several.
fn shares(route: &Route) -> String {
    if let [only] = &route.shares[..] {
        return only.service.to_string();
    }
    let shares = route.shares.iter();
    let shares = shares.map(|share| format!("{}={}", share.service, share.weight));
    shares.collect::<Vec<_>>().join(" ")
}

fn semantics(semantics: Semantics) -> &'static str {
    match semantics {
        Semantics::Repeatable => "may run repeatedly",
        Semantics::Once => "runs at most once",
        Semantics::Stream { resumable: true } => "resumable stream",
        Semantics::Stream { resumable: false } => "stream that runs at most once",
    }
}

fn milliseconds(duration: &Duration) -> String {
    if *duration == Duration::MAX {
        return "none".to_owned();
    }
    format!("{} ms", duration.as_secs_f64() * 1000.0)
}

/// Shows a number in at most 20 characters or so.
fn number(value: f64) -> String {
    if value.is_infinite() {
        "no limit".to_owned()
    } else if value < 1e15 {
        value.to_string()
    } else {
        format!("{value:e}")
    }
}
