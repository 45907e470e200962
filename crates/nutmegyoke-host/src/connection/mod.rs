//! State that lives as long as one connection: HTTP and capnp-rpc links, listeners and pools.

pub mod http;
pub mod latch;
pub mod link;
pub mod listener;
pub mod pool;
pub mod upstream;

pub use latch::Latch;
pub use listener::Listener;
pub use pool::Pool;
