//! State that lives as long as one connection, and the listeners and pools that open
//! connections.
//!
//! * [`listener`]: accepts connections, which [`http`] or [`link`] serves;
//! * [`account`]: what the connections hold in the account of the process;
//! * [`stream`], [`upload`]: what passes through a connection, counted there;
//! * [`latch`]: the event upon which idle HTTP connections are closed;
//! * [`tally`]: a count of open connections;
//! * [`link`], [`pool`]: capnp-rpc connections to other processes;
//! * [`upstream`]: HTTP connections to endpoints;
//! * [`reply`]: replies of engines to calls of nutmegyoke itself.

pub mod account;
pub mod http;
pub mod latch;
pub mod link;
pub mod listener;
pub mod pool;
pub mod reply;
pub mod stream;
pub mod tally;
pub mod upload;
pub mod upstream;

pub use account::Account;
pub use latch::Latch;
pub use listener::Listener;
pub use pool::Pool;
pub use tally::Tally;
pub use upload::Upload;
