//! Encodings of nutmegyoke.
//!
//! * capnp between the project's own processes: [`connection::link`] and the
//!   `link` modules of the other folders;
//! * JSON towards callers, endpoints and operators;
//! * INI for settings and for the operators' two lists.
//!
//! The folders follow the life span of what is encoded, as in
//! `nutmegyoke-core`. Nothing here decides anything.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

// The generated code names its own module by this path.
pub use connection::link_capnp;
pub use connection::mesh_capnp;
pub use connection::order_capnp;
pub use connection::replica_capnp;
