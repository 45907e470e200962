//! The generated capnp code and the helpers for its fields.

pub mod convert;
pub mod framing;
/// Generated from `schema/link.capnp`.
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unused_qualifications,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod link_capnp;
/// Generated from `schema/mesh.capnp`.
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unused_qualifications,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod mesh_capnp;
/// Generated from `schema/order.capnp`.
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unused_qualifications,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod order_capnp;
/// Generated from `schema/replica.capnp`.
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unused_qualifications,
    reason = "generated code"
)]
#[rustfmt::skip]
pub mod replica_capnp;
