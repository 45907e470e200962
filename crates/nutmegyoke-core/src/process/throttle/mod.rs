//! Keeps the requests to an endpoint within the rate that it names for all gateways together.
//!
//! Endpoints name a [`limit`] in their answers, and gateways tell each other. One gateway, the
//! owner, admits the requests of all gateways to an endpoint, with a [`pacer`].

pub mod limit;
pub mod pacer;

pub use limit::{Limits, Notice, Statement};
pub use pacer::{Pacer, Permit};
