//! State that lives as long as one version of the configuration.
//!
//! Operators write two lists: the plans that customers bought ([`plan`]) and the
//! items that each plan may use ([`grant`]). Both lists and their version number
//! are a [`configuration`]. A fleet whose gateways pass requests through to services
//! is configured by a published [`document`] with its [`routing`].

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
