//! Small stand-in endpoints for the demo, the tests and the benches.
//!
//! An [`engine`] answers completions token by token, a [`desk`] is a plain service that
//! counts bookings, and a [`script`] fails in given ways. They announce themselves to
//! their agent as real endpoints do, through [`announcer`].

pub mod announcer;
pub mod desk;
pub mod engine;
pub mod script;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub use announcer::Announcer;
pub use desk::Desk;
pub use engine::Engine;
pub use script::Script;

/// The loopback address with port 0, for which the system picks a free port.
const EPHEMERAL_LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
