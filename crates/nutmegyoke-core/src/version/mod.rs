//! What lives as long as one version of the configuration.
//!
//! Operators write two lists: the plans that customers bought ([`plan`]) and
//! what each plan may use ([`grant`]). Both together, under a number that the
//! operator raises, are a [`configuration`]. Where the fleet passes requests
//! through to services instead, a published [`document`] gives its [`routing`].

pub mod adapter;
pub mod configuration;
pub mod customer;
pub mod diff;
pub mod document;
pub mod grant;
pub mod model;
pub mod name;
pub mod plan;
pub mod routing;
pub mod service;

pub use adapter::Adapter;
pub use configuration::Configuration;
pub use customer::Customer;
pub use document::Document;
pub use grant::Grant;
pub use model::Model;
pub use plan::Plan;
pub use routing::Routing;
pub use service::Service;
