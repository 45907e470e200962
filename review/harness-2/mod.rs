//! What the cases of the second review share: processes of the project, stand-ins for engines,
//! clients and the operator, and the record of a run. Only the standard library is used.

#![allow(dead_code)]

pub mod engine;
pub mod fleet;
pub mod http;
pub mod record;
