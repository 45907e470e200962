//! Tenants: the callers that a routing document knows by their API keys.

use std::collections::BTreeMap;
use std::fmt::{self, Debug, Formatter};
use std::rc::Rc;

use super::Route;

/// The most units that are told apart from one more: 2^53, above which a float skips numbers.
const MAX_UNITS: f64 = 9_007_199_254_740_992.0;

/// A tenant of a routing document.
#[derive(Clone, PartialEq)]
pub struct Tenant {
    /// The name, which endpoints are told.
    pub name: String,
    /// The keys that its requests may carry.
    pub keys: Vec<String>,
    /// The priority of its requests, in place of the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What it may use. In a [`Directory`], limited tenants of one name have the same limits, because
    /// they use a common bucket.
    pub allotment: Allotment,
}

/// What a tenant may use, over all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allotment {
    /// What is counted.
    pub unit: Unit,
    /// The units a second; 0 if there is no limit.
    pub rate: f64,
    /// The units that may be used at once on top.
    pub burst: f64,
}

/// What an allotment counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    #[default]
    Requests,
    /// Tokens of the prompt and of the longest answer.
    Tokens {
        /// The tokens of a request that names none.
        plain: u64,
    },
}

/// The sender of a request, as a routing document tells it.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Caller {
    /// The document lists no tenants, so keys mean nothing.
    #[default]
    Untracked,
    /// The route is public.
    Public,
    /// The tenant that holds the request's key.
    Tenant(Rc<Tenant>),
}

/// The tenants of a valid document by their keys and names.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    by_key: BTreeMap<String, Rc<Tenant>>,
    by_name: BTreeMap<String, Rc<Tenant>>,
}

impl Allotment {
    /// What a request counts that names `tokens`, if it names any.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }

    /// The tokens of a request that names `tokens`, if it names any.
    #[must_use]
    pub fn tokens(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => tokens.unwrap_or(0),
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }

    /// Whether there is a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0
    }

    /// The allotment with numbers that can be added and multiplied without becoming infinite. A
    /// document may name any.
    #[must_use]
    pub fn bounded(&self) -> Self {
        Self {
            unit: self.unit,
            rate: self.rate.min(MAX_UNITS),
            burst: self.burst.min(MAX_UNITS),
        }
    }

    /// Lowers the allotment to the lower rate and the lower burst of both.
    fn lower(&mut self, other: &Self) {
        self.rate = self.rate.min(other.rate);
        self.burst = self.burst.min(other.burst);
    }
}

// Keys are secrets and stay out of logs.
impl Debug for Tenant {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Tenant")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .field("allotment", &self.allotment)
            .finish()
    }
}

impl Tenant {
    /// Whether endpoints can be told the name: no header has a place for control characters.
    #[must_use]
    pub fn is_nameable(&self) -> bool {
        !self.name.contains(char::is_control)
    }
}

impl Caller {
    /// The tenant, if there is one.
    #[must_use]
    pub fn tenant(&self) -> Option<&Rc<Tenant>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Untracked | Self::Public => None,
        }
    }
}

impl Directory {
    /// Lists tenants by their keys and names. No two of them have a key in common.
    pub(super) fn open(mut tenants: Vec<Tenant>) -> Self {
        share_limits(&mut tenants);
        let mut this = Self::default();
        for tenant in tenants.into_iter().map(Rc::new) {
            for key in &tenant.keys {
                this.by_key.insert(key.clone(), Rc::clone(&tenant));
            }
            // The one with a limit is needed, if there is one.
            let known = this.by_name.get(&tenant.name);
            if known.is_none_or(|known| !known.allotment.is_limited()) {
                this.by_name.insert(tenant.name.clone(), tenant);
            }
        }
        this
    }

    /// The tenants whose names endpoints cannot be told, one of each name.
    pub fn unnameable(&self) -> impl Iterator<Item = &Rc<Tenant>> {
        let tenants = self.by_name.values();
        tenants.filter(|tenant| !tenant.is_nameable())
    }

    /// The tenant of this name.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.by_name.get(name)
    }

    /// The sender of a request on `route` with `key`; `None` if no tenant holds the key.
    #[must_use]
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Option<Caller> {
        if route.public {
            return Some(Caller::Public);
        }
        let tenant = self.by_key.get(key?)?;
        Some(Caller::Tenant(Rc::clone(tenant)))
    }
}

/// Gives limited tenants of one name the lowest rate and the lowest burst among them. Each goes on to
/// count in its own unit.
fn share_limits(tenants: &mut [Tenant]) {
    let mut limits: BTreeMap<String, Allotment> = BTreeMap::new();
    let limited = |tenant: &&Tenant| tenant.allotment.is_limited();
    for tenant in tenants.iter().filter(limited) {
        let lowest = limits.entry(tenant.name.clone());
        let lowest = lowest.or_insert(tenant.allotment);
        lowest.lower(&tenant.allotment);
    }
    for tenant in tenants {
        if let Some(lowest) = limits.get(&tenant.name)
            && tenant.allotment.is_limited()
        {
            tenant.allotment.lower(lowest);
        }
    }
}
