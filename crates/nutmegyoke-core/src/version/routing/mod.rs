//! The routing document of gateways: routes by host and path, services and limits.

pub mod check;
pub mod pool;
pub mod route;
pub mod tenant;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error};
use strum::IntoStaticStr;

pub use pool::{Engine, Footprint, Pool};
pub use route::{Route, Semantics, Share};
pub use tenant::{Allotment, Caller, Tenant};

use super::Service;

/// A decoded routing document that is not validated yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// The version number.
    pub number: u64,
    /// The routes, in any order.
    pub routes: Vec<Route>,
    /// The services.
    pub pools: Vec<Pool>,
    /// The limits for clients.
    pub limits: Limits,
    /// The tenants; `None` if requests need no key.
    pub tenants: Option<Vec<Tenant>>,
}

/// The limits for clients: sizes of requests and timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum length of a request's line and headers, in bytes.
    pub max_header_bytes: usize,
    /// The maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum time that a client may take to send the headers of a request.
    pub header_timeout: Duration,
    /// The maximum time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// A valid routing document.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    number: u64,
    /// The routes by host, in descending order of prefix length.
    hosts: BTreeMap<String, Vec<Rc<Route>>>,
    pools: BTreeMap<Service, Rc<Pool>>,
    limits: Limits,
    /// `None` if requests need no key.
    tenants: Option<tenant::Directory>,
}

/// An error in a routing document. The text says what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// A route refers to a service that the document does not define.
    #[display(
        "route `{route}` leads to the unknown service `{service}`: add the service or correct the name"
    )]
    UnknownService { route: String, service: String },
    /// Two routes have the same host and prefix.
    #[display("routes `{first}` and `{second}` have the same host and prefix: remove one")]
    DuplicatePrefix { first: String, second: String },
    /// All weights of a route are 0, so it has no service to choose.
    #[display("the weights of route `{route}` add up to 0: give one a positive weight")]
    ZeroWeight { route: String },
    /// The timeout of a route is 0, so every request would time out.
    #[display("the timeout of route `{route}` is 0: write a positive number of milliseconds")]
    ZeroTimeout { route: String },
    /// A prefix does not begin and end with a slash.
    #[display("the prefix `{prefix}` of route `{route}` has to begin and end with a slash")]
    InvalidPrefix { route: String, prefix: String },
    /// Two services have the same name.
    #[display("service `{service}` is defined twice: remove one")]
    DuplicateService { service: String },
    /// Two tenants have a key in common, so it is unknown whose requests carry it.
    #[display(
        "tenants `{first}` and `{second}` (number {place}) share a key: give each its own keys"
    )]
    SharedKey {
        first: String,
        second: String,
        /// The place of the second tenant in the document, counted from 1.
        place: usize,
    },
}

impl Routing {
    /// Validates a draft.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] that [`check::error::errors`] finds.
    pub fn open(draft: Draft) -> Result<Rc<Self>, Fault> {
        if let Some(first) = check::error::errors(&draft).into_iter().next() {
            return Err(first.problem);
        }
        let pools = draft.pools.into_iter();
        let pools = pools.map(|pool| (pool.service.clone(), Rc::new(pool)));
        let mut hosts: BTreeMap<String, Vec<Rc<Route>>> = BTreeMap::new();
        for route in draft.routes {
            let host = hosts.entry(route.host.clone()).or_default();
            host.push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        Ok(Rc::new(Self {
            number: draft.number,
            hosts,
            pools: pools.collect(),
            limits: draft.limits,
            tenants: draft.tenants.map(tenant::Directory::open),
        }))
    }

    /// The version number.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The limits for clients.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The route of a request: the route of its host with the longest matching prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The sender of a request on `route` with `key`; `None` if the key is missing or no tenant
    /// holds it.
    #[must_use]
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Option<Caller> {
        match &self.tenants {
            Some(tenants) => tenants.caller(route, key),
            None => Some(Caller::Untracked),
        }
    }

    /// The tenant called `name`.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.tenants.as_ref()?.tenant(name)
    }

    /// The tenants whose names endpoints cannot be told, one of each name.
    pub fn unnameable_tenants(&self) -> impl Iterator<Item = &Rc<Tenant>> {
        let tenants = self.tenants.iter();
        tenants.flat_map(tenant::Directory::unnameable)
    }

    /// The service called `service`.
    #[must_use]
    pub fn pool(&self, service: &str) -> Option<&Rc<Pool>> {
        self.pools.get(service)
    }

    /// The services.
    pub fn pools(&self) -> impl Iterator<Item = &Rc<Pool>> {
        self.pools.values()
    }
}
