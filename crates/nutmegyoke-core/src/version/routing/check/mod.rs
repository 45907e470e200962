//! The check of a routing document before it is published.
//!
//! * [`error`]: what makes a document invalid; [`Routing::open`](super::Routing::open) rejects the
//!   first error, so the control plane and the check agree;
//! * [`warning`]: entries of a valid document that have no effect, and limits that conflict;
//! * [`difference`]: the changes from one document to another, and what they mean for clients.
//!
//! A finding names its [`Place`] by the position of an entry and a field of this crate's types.
//! The decoder of the document translates it into the document's own terms.

pub mod difference;
pub mod error;
pub mod warning;

use serde::Serialize;

pub use difference::Difference;
pub use warning::Warning;

/// A finding and its place in the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Finding<T> {
    /// The place in the document.
    pub place: Place,
    /// What was found.
    pub problem: T,
}

/// A place in a routing document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Place {
    /// The entry.
    pub entry: Entry,
    /// The field of the entry; `None` for the entry as a whole.
    pub field: Option<Field>,
}

/// An entry of a routing document. Positions in lists are counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// The document itself.
    Document,
    /// A route.
    Route { route: usize },
    /// A share of a route.
    Share { route: usize, share: usize },
    /// A service.
    Pool { pool: usize },
    /// The engine properties of a service.
    Engine { pool: usize },
    /// A model of a service's engines.
    Model { pool: usize, model: usize },
    /// The limits for clients.
    Limits,
    /// A tenant.
    Tenant { tenant: usize },
    /// A key of a tenant.
    Key { tenant: usize, key: usize },
}

/// A field of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Field {
    Number,
    Tenants,
    Name,
    Host,
    Prefix,
    Semantics,
    Timeout,
    Objective,
    GapObjective,
    Priority,
    MaxAttempts,
    Public,
    Shares,
    Service,
    HealthPath,
    MaxConnections,
    Slots,
    CacheTokens,
    EventTokens,
    WeightsMb,
    AdapterSlots,
    LoadsPerSecond,
    LoadTime,
    Adapters,
    AdapterMb,
    MaxHeaderBytes,
    MaxBodyBytes,
    HeaderTimeout,
    IdleTimeout,
    Unit,
    PlainTokens,
    Rate,
    Burst,
}

impl Entry {
    /// The place of a field of the entry.
    #[must_use]
    pub fn field(self, field: Field) -> Place {
        Place {
            entry: self,
            field: Some(field),
        }
    }

    /// The place of the entry as a whole.
    #[must_use]
    pub fn whole(self) -> Place {
        Place {
            entry: self,
            field: None,
        }
    }
}

impl Place {
    /// A finding at this place.
    pub(super) fn finding<T>(self, problem: T) -> Finding<T> {
        Finding {
            place: self,
            problem,
        }
    }
}
