//! What lives as long as one connection.

pub mod http;
pub mod link;
pub mod listener;
pub mod pool;

pub use listener::Listener;
pub use pool::Pool;
