//! Encodings of nutmegyoke's messages, files and records.
//!
//! * Cap'n Proto (capnp) between the project's own processes and in the journal of a
//!   control replica; [`connection::convert`] holds the shared helpers.
//! * JSON for callers, endpoints and operators.
//! * INI for the settings and for the plans and grants lists.
//!
//! As in `nutmegyoke-core`, each folder holds the types of one life span: a request, a
//! connection, a version of the configuration, a process. All decisions are in
//! `nutmegyoke-core`; this crate only converts its types.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

// The generated code refers to its modules by these paths.
pub use connection::link_capnp;
pub use connection::mesh_capnp;
pub use connection::order_capnp;
pub use connection::replica_capnp;
