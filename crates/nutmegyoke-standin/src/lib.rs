//! Small stand-in endpoints for the demo, the tests and the benches.
//!
//! An [`engine`] answers completions token by token; the [`desk`] is a plain
//! service that counts bookings. Both announce themselves to their agent as a
//! real endpoint does, through [`announcer`].

pub mod announcer;
pub mod desk;
pub mod engine;
pub mod script;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub use announcer::Announcer;
pub use desk::Desk;
pub use engine::Engine;
pub use script::Script;

/// A free port of the loopback address.
const EPHEMERAL_LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
